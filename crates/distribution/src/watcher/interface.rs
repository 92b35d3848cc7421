//! The types shared by a watcher and its driver.

use std::time::Duration;

use crate::lease::Nonce;
use crate::message::ToRelay;
use crate::state::State;
use crate::transfer::Progress;
use crate::{ControllerId, Digest, MachineId, Number};

/// Checks whether this program can apply the state of a revision; the error is the reason why it cannot.
pub type Check = Box<dyn Fn(&State, Number) -> Result<(), String> + Send>;

/// Draws a nonce from the operating system's random number generator. A predictable nonce could be granted in
/// advance, and the lease would then last too long.
pub type DrawNonce = Box<dyn FnMut() -> Nonce + Send>;

/// Configuration of a watcher.
pub struct WatcherConfig {
    /// The number of this controller.
    pub controller: ControllerId,
    /// The number of relays, which are indexed in the order of preference (see [`super::relay_order`]).
    pub relays: usize,
    /// The longest time from a decision until its messages are sent, which is part of the stated bound on
    /// contradicting revisions.
    pub activation_delay: Duration,
    /// Whether a regional lease, which control machines of the region grant, is accepted while no quorum of
    /// acceptors answers.
    pub regional: bool,
    /// Checks whether this program can apply a state.
    pub check: Check,
    /// Draws the nonces of lease requests.
    pub nonce: DrawNonce,
}

/// A write to the disk, to be completed before the outputs after it are carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Replaces all stored bytes atomically.
    Replace(Vec<u8>),
    /// Appends to the stored bytes. If the write is torn, the bytes before it stay valid.
    Append(Vec<u8>),
}

/// An action for the driver. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatcherOutput {
    /// Open a connection to this relay, then call [`super::Watcher::on_connected`], or [`super::Watcher::on_closed`]
    /// on failure.
    Connect(usize),
    /// Close the connection to this relay, or stop opening it.
    Close(usize),
    /// Send a message to this relay.
    Send(usize, ToRelay),
    /// Write to the disk.
    Store(StoreRequest),
    /// The active or the prepared revision changed.
    Changed,
    /// This program cannot apply a certified revision.
    Unfit { number: Number, reason: String },
}

/// Why a watcher withholds decisions that depend on exclusive keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// Nothing is stored, and no lease has confirmed that the program's own file is still current.
    Unsure,
    /// The watcher has no unexpired lease.
    NoLease,
    /// Other controllers may act on a revision that this watcher does not hold or cannot apply.
    Behind,
}

/// The revisions that govern decisions at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acting {
    /// The active revision; 0 is the program's own file.
    pub active: Number,
    /// A later revision that the watcher has reported as prepared, and that other controllers may activate at
    /// any time.
    pub prepared: Option<Number>,
    /// Why decisions that depend on exclusive keys are withheld; `None` if they are allowed.
    pub hold_reason: Option<HoldReason>,
}

/// Status of a watcher, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatcherStatus {
    pub acting: Acting,
    /// The root of the active state.
    pub active_root: Digest,
    /// The highest revision known to be certified.
    pub certified: Number,
    /// The highest revision whose activation is known to be allowed.
    pub allowed: Number,
    /// The last received revision, if this program cannot apply it.
    pub unfit: Option<Number>,
    /// When the lease expires.
    pub lease_until: Option<Duration>,
    /// Whether the lease was granted by control machines of the region only, without a quorum of acceptors.
    pub regional: bool,
    /// The longest time for which two controllers may act on contradicting revisions.
    pub bound: Duration,
    /// The index of the serving relay, and the control machine that it claims to be.
    pub serving: Option<(usize, Option<MachineId>)>,
    /// The index of the relay that is being tried.
    pub trying: Option<usize>,
    /// Progress of the current snapshot transfer.
    pub transfer: Option<Progress>,
    /// Connections that were closed because of invalid messages.
    pub relays_refused: u64,
    /// The index of the last refused relay, and the reason.
    pub last_refusal: Option<(usize, String)>,
}

//! The types that a driver of a watcher deals with.

use std::time::Duration;

use crate::lease::Nonce;
use crate::message::ToRelay;
use crate::state::State;
use crate::transfer::Progress;
use crate::{ControllerId, Digest, MachineId, Number};

/// Whether this program can act on the state of a revision, or why it can't.
pub type Check = Box<dyn Fn(&State, Number) -> Result<(), String> + Send>;

/// Draws a nonce from the system's source of randomness: one that can be foretold makes leases too long.
pub type DrawNonce = Box<dyn FnMut() -> Nonce + Send>;

/// What a watcher is given.
pub struct WatcherConfig {
    pub controller: ControllerId,
    /// How many relays there are, in the order of preference (see [`super::relay_order`]).
    pub relays: usize,
    /// How long what was decided may still take to go out, for the bound that is stated.
    pub late: Duration,
    /// Whether a lease for which control machines vouch is taken where no quorum of acceptors answers.
    pub regional: bool,
    pub check: Check,
    pub nonce: DrawNonce,
}

/// What is to be written to the disk, before anything that stands behind it in the output is carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// These bytes take the place of all that was stored, as a whole or not at all.
    Replace(Vec<u8>),
    /// These bytes go behind what is stored. Where that is cut off, the rest still counts.
    Append(Vec<u8>),
}

/// What a watcher wants done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatcherOutput {
    /// A connection to this relay is to be opened; then [`super::Watcher::opened`] or [`super::Watcher::closed`].
    Connect(usize),
    /// The connection to this relay is to be closed, or no more to be opened.
    Close(usize),
    Send(usize, ToRelay),
    Store(StoreRequest),
    /// What it acts on, or has prepared, is another.
    Changed,
    /// A certified revision can't be acted on here.
    Unfit {
        number: Number,
        reason: String,
    },
}

/// Why a watcher holds back what an exclusive key governs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// It has nothing stored, and had no lease that showed its file to be still what holds.
    Unsure,
    /// No quorum of acceptors has granted a lease that still lasts.
    NoLease,
    /// Others act on a revision that it does not have, or can't act on.
    Behind,
}

/// What a watcher acts on at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acting {
    /// The revision that it acts on; 0 is the program's own file.
    pub active: Number,
    /// A later one that it has said to have, and that others may act on at any time.
    pub prepared: Option<Number>,
    pub held: Option<HoldReason>,
}

/// What a watcher knows, for its operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatcherStatus {
    pub acting: Acting,
    /// The root of the state that it acts on.
    pub active_root: Digest,
    /// The highest revision that it knows to be certified.
    pub certified: Number,
    /// The highest revision that it knows to be allowed to be acted on.
    pub allowed: Number,
    /// The highest revision that it can't act on, if it is the last one that it has.
    pub unfit: Option<Number>,
    pub lease_until: Option<Duration>,
    /// Whether that lease rests on control machines that vouched, without a quorum of acceptors.
    pub regional: bool,
    /// How long two controllers may act on contradicting revisions at most.
    pub bound: Duration,
    /// The place of the relay that serves, and the control machine that it says it is.
    pub serving: Option<(usize, Option<MachineId>)>,
    /// The place of the relay that is tried.
    pub trying: Option<usize>,
    /// How far the transfer of a snapshot has come, while there is one.
    pub transfer: Option<Progress>,
    /// Connections that were left because of what came on them.
    pub relays_refused: u64,
    /// The place of the relay that was refused last, and why.
    pub last_refusal: Option<(usize, String)>,
}

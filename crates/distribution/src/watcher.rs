//! A controller's side: it holds the state, prepares what is certified and acts on what is allowed.
//!
//! | module | job |
//! |---|---|
//! | `interface` | the types that a driver deals with |
//! | `revisions` | which revisions are held, and what is taken from a relay |
//! | `lease_requests` | nonces that were drawn, and the lease that came of them |
//! | `links` | which relay serves, which one is tried, which are left alone for a while |
//! | `stored` | what outlives the process |
//! | `relay_order` | a controller's relays in the order of its preference |

mod interface;
mod relay_order;
mod stored;

pub use interface::{
    Acting, Check, DrawNonce, HoldReason, StoreRequest, WatcherConfig, WatcherOutput, WatcherStatus,
};
pub use relay_order::relay_order;
pub use stored::{Stored, StoredFault, StoredRevision};

use std::time::Duration;

use crate::message::ToWatcher;
use crate::state::State;
use crate::Hand;

/// Prepares certified revisions and acts on allowed ones. It does no I/O: relays are meant by their place in the order
/// of preference, and a driver carries out what is put in `out`, in that order.
pub struct Watcher<H> {
    hand: H,
    config: WatcherConfig,
    own: State,
}

#[allow(unused_variables)]
impl<H: Hand> Watcher<H> {
    /// A watcher that acts on what it stored, or else on `own`, the state of the program's own file.
    pub fn new(
        hand: H, config: WatcherConfig, own: State, stored: Option<Stored>, seed: u64, now: Duration,
    ) -> Self {
        Self { hand, config, own }
    }

    /// The connection to a relay, which [`WatcherOutput::Connect`] asked for, is open.
    pub fn opened(&mut self, now: Duration, relay: usize, out: &mut Vec<WatcherOutput>) {
        todo!()
    }

    /// The connection to a relay is closed, could not be opened, or carried what is no message. Not to be called for one
    /// that [`WatcherOutput::Close`] asked to close.
    pub fn closed(&mut self, now: Duration, relay: usize, out: &mut Vec<WatcherOutput>) {
        todo!()
    }

    /// A relay said something.
    pub fn heard(&mut self, now: Duration, relay: usize, message: ToWatcher, out: &mut Vec<WatcherOutput>) {
        todo!()
    }

    /// Does what is due.
    pub fn tend(&mut self, now: Duration, out: &mut Vec<WatcherOutput>) {
        todo!()
    }

    /// When [`Watcher::tend`] wants to be called. To be asked again after each call of another method.
    pub fn next_due(&self) -> Duration {
        todo!()
    }

    /// What it may act on. It is to be asked just before each decision that a revision governs: a process that stood
    /// still for longer than its lease learns here that it did.
    pub fn acting(&self, now: Duration) -> Acting {
        todo!()
    }

    /// The state of the revision that it acts on.
    pub fn active_state(&self) -> &State {
        &self.own
    }

    /// The state of the revision that others may act on at any time.
    pub fn prepared_state(&self) -> Option<&State> {
        todo!()
    }

    /// What it knows, for its operator.
    pub fn status(&self, now: Duration) -> WatcherStatus {
        todo!()
    }

    /// The keys of members and the list of acceptors are others from now on.
    pub fn take_hand(&mut self, hand: H) {
        self.hand = hand;
    }
}

//! A control machine: its part in the agreement, and the relay of its watchers.

mod config;
mod output;

use std::time::Duration;

pub use config::{Config, ConfigFault};
pub use output::{CloseReason, ConnectionId, ControlOutput, Stored, StoredItem};

use crate::message::{ControlStatus, PeerMessage, ToRelay};
use crate::state::State;
use crate::{Hand, MachineId};

/// A control machine without I/O: the driver carries its outputs out in their order.
pub struct ControlMachine<H: Hand> {
    config: Config,
    hand: H,
}

impl<H: Hand> ControlMachine<H> {
    /// A machine that goes on with what it stored, or begins with `genesis`, the state of revision 0 that is the same at
    /// all machines.
    pub fn new(config: Config, hand: H, stored: Stored, genesis: State, seed: u64, now: Duration) -> Self {
        let _ = (stored, genesis, seed, now);
        Self { config, hand }
    }

    /// Takes another ring, for instance one without an author whose key was revoked.
    pub fn take_hand(&mut self, now: Duration, hand: H) {
        let _ = (now, hand, &self.hand, &self.config);
        todo!()
    }

    /// The connection to another control machine stands.
    pub fn peer_up(&mut self, now: Duration, peer: MachineId, out: &mut Vec<ControlOutput>) {
        let _ = (now, peer, out);
        todo!()
    }

    /// The connection to another control machine broke.
    pub fn peer_down(&mut self, now: Duration, peer: MachineId) {
        let _ = (now, peer);
        todo!()
    }

    /// A message of another control machine; the transport vouches for who sent it.
    pub fn peer_message(
        &mut self, now: Duration, from: MachineId, message: PeerMessage, out: &mut Vec<ControlOutput>,
    ) {
        let _ = (now, from, message, out);
        todo!()
    }

    /// Somebody connected: a watcher, or an operator's tool.
    pub fn watcher_opened(&mut self, now: Duration, connection: ConnectionId, out: &mut Vec<ControlOutput>) {
        let _ = (now, connection, out);
        todo!()
    }

    /// A message on such a connection.
    pub fn watcher_message(
        &mut self, now: Duration, connection: ConnectionId, message: ToRelay, out: &mut Vec<ControlOutput>,
    ) {
        let _ = (now, connection, message, out);
        todo!()
    }

    /// Such a connection is gone.
    pub fn watcher_closed(&mut self, now: Duration, connection: ConnectionId) {
        let _ = (now, connection);
        todo!()
    }

    /// Does what is due.
    pub fn tend(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let _ = (now, out);
        todo!()
    }

    /// When [`ControlMachine::tend`] wants to be called at the latest.
    pub fn next_due(&self) -> Duration {
        todo!()
    }

    /// What an operator is shown.
    pub fn status(&self, now: Duration) -> ControlStatus {
        let _ = now;
        todo!()
    }

    /// The state of the highest certified revision that is here.
    pub fn state(&self) -> &State {
        todo!()
    }
}

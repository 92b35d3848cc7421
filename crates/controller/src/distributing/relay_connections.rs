//! Connections to relays: frames in and out, with both buffers bounded.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use badgerledge_deployment::RelayPlace;
use badgerledge_distribution::message::{
    decode, encode, FrameFault, ToRelay, ToWatcher, MAX_RELAY_BODY_BYTES, MAX_WATCHER_BODY_BYTES,
};
use badgerledge_reactor::{Bounds, Reactor, SocketId};
use metrics::counter;

use crate::telemetry;

/// Bytes of a frame beside its body, rounded up: its length and mark are shorter.
const FRAME_OVERHEAD_BYTES: usize = 64;
/// Buffers of a connection: one frame of the greatest length each way.
const BUFFERS: Bounds = Bounds {
    input: MAX_RELAY_BODY_BYTES + FRAME_OVERHEAD_BYTES,
    output: MAX_WATCHER_BODY_BYTES + FRAME_OVERHEAD_BYTES,
};
/// A relay in another region answers within some tenths of a second.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A watcher's connections to relays. Relays are identified by their index in its order of preference.
pub struct RelayConnections {
    relays: Vec<RelayPlace>,
    /// The local address that connections go out from; the system chooses where none is set.
    from: Option<IpAddr>,
    connections: BTreeMap<usize, SocketId>,
}

impl RelayConnections {
    /// Starts without any connection.
    pub fn new(relays: Vec<RelayPlace>, from: Option<IpAddr>) -> Self {
        Self { relays, from, connections: BTreeMap::new() }
    }

    /// The relay at an index.
    pub fn relay(&self, index: usize) -> Option<&RelayPlace> {
        self.relays.get(index)
    }

    /// The index of the relay that a connection leads to.
    pub fn index_of(&self, connection: SocketId) -> Option<usize> {
        self.connections.iter().find(|(_, known)| **known == connection).map(|(index, _)| *index)
    }

    /// The connection to a relay.
    pub fn connection(&self, index: usize) -> Option<SocketId> {
        self.connections.get(&index).copied()
    }

    /// Begins a connection. Returns false if no socket could be opened.
    pub fn connect(&mut self, reactor: &mut Reactor, index: usize) -> bool {
        self.close(reactor, index);
        let Some(relay) = self.relays.get(index) else { return false };
        match reactor.connect_from(self.from, relay.at, CONNECT_TIMEOUT, BUFFERS) {
            Ok(connection) => {
                self.connections.insert(index, connection);
                true
            }
            Err(fault) => {
                tracing::debug!(
                    target: "badgerledge_controller::distributing::relay_lines",
                    machine = relay.machine,
                    at = %relay.at,
                    "no connection to a relay could be begun: {fault}"
                );
                false
            }
        }
    }

    /// Closes the connection to a relay, if there is one.
    pub fn close(&mut self, reactor: &mut Reactor, index: usize) {
        if let Some(connection) = self.connections.remove(&index) {
            reactor.close(connection);
        }
    }

    /// Forgets a connection that has ended; returns the index of its relay.
    pub fn remove_closed(&mut self, connection: SocketId) -> Option<usize> {
        let index = self.index_of(connection)?;
        self.connections.remove(&index);
        Some(index)
    }

    /// Queues a message on a relay's connection. Returns false if its output is full because the relay does
    /// not read.
    pub fn send(&mut self, reactor: &mut Reactor, index: usize, message: &ToRelay) -> bool {
        let Some(connection) = self.connections.get(&index) else { return true };
        let frame = encode(message);
        counter!(telemetry::DISTRIBUTION_SENT_BYTES).increment(frame.len() as u64);
        reactor.send(*connection, &[&frame])
    }

    /// The next complete message from a relay.
    ///
    /// # Errors
    /// If the input is not a frame of the protocol.
    pub fn next_message(&self, reactor: &mut Reactor, index: usize) -> Result<Option<ToWatcher>, FrameFault> {
        let Some(connection) = self.connection(index) else { return Ok(None) };
        let Some((message, frame_length)) = decode(reactor.input(connection), MAX_RELAY_BODY_BYTES)? else {
            return Ok(None);
        };
        reactor.consume(connection, frame_length);
        counter!(telemetry::DISTRIBUTION_RECEIVED_BYTES).increment(frame_length as u64);
        Ok(Some(message))
    }
}

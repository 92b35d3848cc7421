//! Connections to relays: frames in and out, bounded both ways.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use badgerledge_deployment::RelayPlace;
use badgerledge_distribution::message::{
    decode, encode, FrameFault, ToRelay, ToWatcher, MAX_RELAY_BODY_BYTES, MAX_WATCHER_BODY_BYTES,
};
use badgerledge_reactor::{Bounds, Line, Reactor};
use metrics::counter;

use crate::watch;

/// Beside the body of a frame: more than its length and mark.
const FRAME_HEADER: usize = 64;
const BOUNDS: Bounds =
    Bounds { input: MAX_RELAY_BODY_BYTES + FRAME_HEADER, output: MAX_WATCHER_BODY_BYTES + FRAME_HEADER };
/// A relay in another region answers in some tenths of a second.
const CONNECT_WITHIN: Duration = Duration::from_secs(2);

/// The connections of a watcher. Relays are meant by their place in its order of preference.
pub struct RelayLines {
    relays: Vec<RelayPlace>,
    /// The address of this machine that connections go out from; any where none is named.
    from: Option<IpAddr>,
    lines: BTreeMap<usize, Line>,
}

impl RelayLines {
    pub fn new(relays: Vec<RelayPlace>, from: Option<IpAddr>) -> Self {
        Self { relays, from, lines: BTreeMap::new() }
    }

    pub fn relay(&self, place: usize) -> Option<&RelayPlace> {
        self.relays.get(place)
    }

    /// The place of the relay that a line leads to.
    pub fn place_of(&self, line: Line) -> Option<usize> {
        self.lines.iter().find(|(_, known)| **known == line).map(|(place, _)| *place)
    }

    pub fn line(&self, place: usize) -> Option<Line> {
        self.lines.get(&place).copied()
    }

    /// Begins a connection; false where not even a socket could be had.
    pub fn connect(&mut self, reactor: &mut Reactor, place: usize) -> bool {
        self.close(reactor, place);
        let Some(relay) = self.relays.get(place) else { return false };
        match reactor.connect_from(self.from, relay.at, CONNECT_WITHIN, BOUNDS) {
            Ok(line) => {
                self.lines.insert(place, line);
                true
            }
            Err(fault) => {
                tracing::debug!(machine = relay.machine, at = %relay.at, "no connection to a relay: {fault}");
                false
            }
        }
    }

    pub fn close(&mut self, reactor: &mut Reactor, place: usize) {
        if let Some(line) = self.lines.remove(&place) {
            reactor.close(line);
        }
    }

    /// A line has ended by itself: the place of its relay.
    pub fn ended(&mut self, line: Line) -> Option<usize> {
        let place = self.place_of(line)?;
        self.lines.remove(&place);
        Some(place)
    }

    /// Gives a message to a relay's connection; false where it does not fit, since the relay takes nothing.
    pub fn send(&mut self, reactor: &mut Reactor, place: usize, message: &ToRelay) -> bool {
        let Some(line) = self.lines.get(&place) else { return true };
        let frame = encode(message);
        counter!(watch::DISTRIBUTION_SENT_BYTES).increment(frame.len() as u64);
        reactor.send(*line, &[&frame])
    }

    /// The next message that has come from a relay whole.
    ///
    /// # Errors
    /// Where what came is no frame of the protocol.
    pub fn next_message(&self, reactor: &mut Reactor, place: usize) -> Result<Option<ToWatcher>, FrameFault> {
        let Some(line) = self.line(place) else { return Ok(None) };
        let Some((message, used)) = decode(reactor.input(line), MAX_RELAY_BODY_BYTES)? else {
            return Ok(None);
        };
        reactor.consume(line, used);
        counter!(watch::DISTRIBUTION_RECEIVED_BYTES).increment(used as u64);
        Ok(Some(message))
    }
}

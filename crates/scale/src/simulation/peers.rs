//! Streams between simulated control machines, as `badgerledge-relay` has them: each machine makes one of its own to each
//! other, signs what it sends on it, and takes it as up for as long as pings are answered.

use std::time::Duration;

use badgerledge_distribution::message::{decode, PeerMessage, MAX_RELAY_BODY_BYTES};

use super::connections::{ConnectionId, End, OPENER};
use super::hand::{CHECK_COST, SIGN_COST};
use super::members::PeerLink;
use super::network::wire_bytes;
use super::{Event, Simulation, LEAST_STEP};

/// Bytes of an envelope around a message: sender, receiver, life, session, sequence number, signature.
const ENVELOPE: usize = 96;
/// A machine pings so often, and takes a stream as lost that was silent so long (`crates/relay/src/peers.rs`).
pub const PING_EVERY: Duration = Duration::from_millis(500);
const SILENT_AFTER: Duration = Duration::from_millis(2500);
/// Pauses between tries to connect: doubled from the first up to the longest (`crates/relay/src/backoff.rs`).
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

impl Simulation {
    /// A machine that starts connects to all others.
    pub(super) fn connect_all_peers(&mut self, machine: u16) {
        let life = self.machines[usize::from(machine)].life;
        for other in (0..self.machines.len() as u16).filter(|other| *other != machine) {
            self.queue.push(self.now + LEAST_STEP, Event::ConnectPeer(machine, other, life));
        }
    }

    pub(super) fn connect_peer(&mut self, machine: u16, other: u16, life: u32) {
        let seat = &self.machines[usize::from(machine)];
        if seat.state.is_none() || seat.life != life || seat.peers.contains_key(&other) {
            return;
        }
        let zone = seat.zone;
        let connection = self.dial(End::Machine(machine), zone, other);
        let link = PeerLink { connection, up: false, heard: self.now };
        self.machines[usize::from(machine)].peers.insert(other, link);
    }

    /// A stream is made: it is up once a challenge and a pong have come, a round trip and a half later.
    pub(super) fn peer_opened(&mut self, id: ConnectionId, machine: u16, other: u16) {
        let zones = [machine, other].map(|machine| self.machines[usize::from(machine)].zone);
        let wait = self.paths.one_way(zones[1], zones[0]) + self.paths.opening(zones[0], zones[1]);
        if let Some(link) = self.machines[usize::from(machine)].peers.get_mut(&other) {
            link.heard = self.now + wait;
        }
        self.queue.push(self.now + wait, Event::PeerUp(id));
    }

    pub(super) fn peer_up(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(id).filter(|connection| connection.open == [true, true])
        else {
            return;
        };
        let [End::Machine(machine), End::Machine(other)] = connection.ends else { return };
        if self.life_of(End::Machine(machine)) != Some(connection.lives[OPENER]) {
            return;
        }
        let now = self.now;
        let seat = &mut self.machines[usize::from(machine)];
        let Some(link) = seat.peers.get_mut(&other).filter(|link| link.connection == id) else { return };
        (link.up, link.heard) = (true, now);
        seat.failed_tries.remove(&other);
        self.with_machine(machine, |state, now, out| state.on_peer_connected(now, other, out));
    }

    /// A machine's stream to another one is gone, or never came up.
    pub(super) fn peer_lost(&mut self, id: ConnectionId, machine: u16, other: u16) {
        let seat = &mut self.machines[usize::from(machine)];
        let Some(link) = seat.peers.get(&other).filter(|link| link.connection == id) else { return };
        let was_up = link.up;
        seat.peers.remove(&other);
        let tries = seat.failed_tries.entry(other).or_insert(0);
        let pause = FIRST_PAUSE.saturating_mul(1 << (*tries).min(5)).min(LONGEST_PAUSE);
        *tries += 1;
        let life = seat.life;
        let at = self.now + pause / 2 + self.paths.part(pause / 2);
        self.queue.push(at, Event::ConnectPeer(machine, other, life));
        if was_up {
            self.with_machine(machine, |state, now, _| state.on_peer_closed(now, other));
        }
    }

    pub(super) fn send_to_peer(&mut self, machine: u16, other: u16, frame: Vec<u8>) {
        let seat = &mut self.machines[usize::from(machine)];
        let Some(link) = seat.peers.get(&other).filter(|link| link.up) else { return };
        let connection = link.connection;
        seat.used.cpu += SIGN_COST;
        self.count_machine(machine, frame.len() + ENVELOPE, false);
        self.send(connection, OPENER, frame);
    }

    pub(super) fn peer_frame(&mut self, machine: u16, from: u16, bytes: &[u8]) {
        self.count_machine(machine, bytes.len() + ENVELOPE, true);
        self.machines[usize::from(machine)].used.cpu += CHECK_COST;
        self.with_machine(machine, |state, now, out| {
            if let Ok(Some((message, _))) = decode::<PeerMessage>(bytes, MAX_RELAY_BODY_BYTES) {
                state.on_peer_message(now, from, message, out);
            }
        });
    }

    /// Pings all streams that are up, and closes those on which none was answered for too long.
    pub(super) fn ping_peers(&mut self) {
        let mut silent = Vec::new();
        for machine in 0..self.machines.len() as u16 {
            let others: Vec<u16> = self.machines[usize::from(machine)].peers.keys().copied().collect();
            for other in others {
                if let Some(lost) = self.ping(machine, other) {
                    silent.push((lost, machine, other));
                }
            }
        }
        for (connection, machine, other) in silent {
            self.connections.shut_both(connection);
            self.peer_lost(connection, machine, other);
        }
        self.queue.push(self.now + PING_EVERY, Event::PingPeers);
    }

    /// Pings one stream; gives its connection where it has been silent too long.
    fn ping(&mut self, machine: u16, other: u16) -> Option<ConnectionId> {
        let link = self.machines[usize::from(machine)].peers.get(&other).filter(|link| link.up)?;
        let id = link.connection;
        let connection = self.connections.get(id)?;
        let alive = self.life_of(connection.ends[1]) == Some(connection.lives[1]);
        let reached = alive && !self.paths.is_cut(connection.zones[0], connection.zones[1]);
        let now = self.now;
        let link = self.machines[usize::from(machine)].peers.get_mut(&other)?;
        if !reached {
            return (now >= link.heard + SILENT_AFTER).then_some(id);
        }
        link.heard = now;
        for place in [machine, other].map(usize::from) {
            let used = &mut self.machines[place].used;
            used.cpu += SIGN_COST + CHECK_COST;
            used.bytes_in += wire_bytes(ENVELOPE + PING);
            used.bytes_out += wire_bytes(ENVELOPE + PING);
            used.messages += 2;
        }
        None
    }
}

/// Bytes of a ping or a pong beside its envelope.
const PING: usize = 12;

//! Both ends' connections over the event loop, as the session table's [`Wires`].

use std::net::SocketAddr;
use std::time::Duration;

use badgerledge_core::interface::{JobId, StreamerId};
use badgerledge_reactor::{Line, Reactor};
use badgerledge_signalling::viewers;

use crate::configuration::Place;
use crate::front::Front;
use crate::pool::Pool;
use crate::wires::Wires;

/// A datagram between controllers holds this much at most.
const DATAGRAM: usize = 256;

pub struct Ends {
    pub reactor: Reactor,
    pub now: Duration,
    pub front: Front,
    pub pool: Pool,
    pub place: Place,
    /// The socket to the other controllers.
    pub peers: Option<Line>,
}

impl Wires for Ends {
    fn answer(&mut self, line: Line, message: &[u8]) -> bool {
        let taken = self.front.answer(line, message, &mut self.reactor);
        self.front.note_answered(line, viewers::session(message), self.now);
        taken
    }

    fn release(&mut self, line: Line, wire_id: u64, message: Vec<u8>) {
        self.front.release(line, wire_id, message, self.now, &mut self.reactor);
    }

    fn trust(&mut self, line: Line) {
        self.front.trust(line, self.now, &mut self.reactor);
    }

    fn join(&mut self, job: JobId, wire_id: u64, streamer: StreamerId, offer: Vec<u8>) {
        self.pool.join(job, wire_id, streamer, offer, self.now, &mut self.reactor);
    }

    fn withdraw(&mut self, job: JobId, wire_id: u64, streamer: StreamerId) {
        self.pool.withdraw(job, wire_id, streamer, self.now, &mut self.reactor);
    }

    fn say(&mut self, streamer: StreamerId, message: Vec<u8>) {
        self.pool.say(streamer, message, self.now, &mut self.reactor);
    }

    fn probe(&mut self, streamer: StreamerId) {
        self.pool.probe(streamer, self.now, &mut self.reactor);
    }

    fn drop_idle(&mut self, streamer: StreamerId) {
        self.pool.drop_idle(streamer, &mut self.reactor);
    }

    fn signal(&mut self, peer: Option<u16>, bytes: &[u8]) {
        let at = match peer {
            Some(peer) => self.place.peers.get(usize::from(peer)).copied(),
            None => self.place.peers_all,
        };
        let (Some(line), Some(at)) = (self.peers, at) else { return };
        if bytes.len() <= DATAGRAM {
            self.reactor.send_to(line, SocketAddr::V4(at), bytes);
        }
    }
}

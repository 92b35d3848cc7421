//! Datagrams on their way in: what is checked, in which order, and what each kind leads to.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{Event, Gossip, Transport};
use crate::envelope::{self, Fault, Header, ACK, ANYONE, ASK, DIGEST, MESSAGE, NACK, NEWS, PING};
use crate::statement::Keyring;
use crate::Member;

impl<H: Keyring> Gossip<H> {
    /// Takes a datagram that came from an address.
    pub fn handle_datagram(
        &mut self, now: Duration, from: SocketAddrV4, bytes: &[u8], out: &mut impl Transport,
        events: &mut Vec<Event>,
    ) -> Result<(), Fault> {
        let taken = self.take(now, from, bytes, out, events);
        match taken {
            Ok(()) => self.counts.taken += 1,
            Err(fault) => *self.counts.dropped.entry(fault).or_default() += 1,
        }
        taken
    }

    /// Checks a datagram from the cheapest test to the most expensive one, and takes it where all pass.
    fn take(
        &mut self, now: Duration, from: SocketAddrV4, bytes: &[u8], out: &mut impl Transport,
        events: &mut Vec<Event>,
    ) -> Result<(), Fault> {
        let (header, body, signed, signature) = envelope::open(bytes)?;
        if !self.keyring.knows(header.from) || header.from == self.me {
            return Err(Fault::Stranger);
        }
        if header.to != self.me && !(header.to == ANYONE && header.kind == PING) {
            return Err(Fault::Elsewhere);
        }
        let window = self.windows.get(&header.from).copied().unwrap_or_default();
        if header.life == window.life() && !window.accepts(header.life, header.counter) {
            return Err(Fault::Replayed);
        }
        // A member's address may be feigned: that uses up this member's rate, and nobody else's.
        let source = self.addresses.get(&from).copied();
        if !self.rate_limits.admit_signatures(now, source, 1) {
            return Err(Fault::RateLimited);
        }
        self.counts.checked += 1;
        if !self.keyring.signed(header.from, signed, &signature) {
            return Err(Fault::Unsigned);
        }
        if header.life < window.life() {
            self.tell_stale(now, header.from, from, out);
            return Err(Fault::Stale);
        }
        self.windows.entry(header.from).or_default().record(header.life, header.counter);
        self.view.heard(now, header.from);
        self.take_body(now, &header, from, source, body, out, events);
        Ok(())
    }

    /// Takes the body of a datagram whose signature holds.
    #[allow(clippy::too_many_arguments)]
    fn take_body(
        &mut self, now: Duration, header: &Header, from: SocketAddrV4, source: Option<Member>, body: &[u8],
        out: &mut impl Transport, events: &mut Vec<Event>,
    ) {
        let number = body.get(..2).map(|two| u16::from_be_bytes([two[0], two[1]]));
        let fixed = match header.kind {
            PING | ACK | NACK => 2,
            ASK => 4,
            NEWS => 0,
            _ => body.len(),
        };
        // The statements first: what is answered may depend on them.
        let behind = self.take_statements(now, source, body.get(fixed..).unwrap_or(&[]), events);
        let cost = match header.kind {
            PING => 1.0,
            ASK => 2.0,
            DIGEST => 4.0,
            _ => 0.0,
        };
        if !self.rate_limits.admit_answer(now, header.from, cost) {
            *self.counts.dropped.entry(Fault::RateLimited).or_default() += 1;
            return;
        }
        match (header.kind, number) {
            (PING, Some(number)) => self.pinged(now, header, from, number, behind, out),
            (ACK, Some(number)) => self.acked(now, header.from, number, out),
            (NACK, Some(number)) => self.nacked(header.from, number),
            (ASK, Some(number)) => {
                if let Some(target) = body.get(2..4).map(|two| u16::from_be_bytes([two[0], two[1]])) {
                    self.asked(now, header.from, number, target, out);
                }
            }
            (DIGEST, Some(begin)) => self.compared(now, header, begin, &body[2..], out),
            (MESSAGE, _) => events.push(Event::Message(header.from, body.to_vec())),
            _ => {}
        }
    }
}

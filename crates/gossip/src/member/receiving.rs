//! Datagrams on their way in: what is checked, in which order, and what each kind leads to.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{Event, Gossip, Transport};
use crate::envelope::{self, Fault, Head, ACK, ANYONE, ASK, DIGEST, MESSAGE, NACK, NEWS, PING};
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
        let (head, body, signed, signature) = envelope::open(bytes)?;
        if !self.keyring.knows(head.from) || head.from == self.me {
            return Err(Fault::Stranger);
        }
        if head.to != self.me && !(head.to == ANYONE && head.kind == PING) {
            return Err(Fault::Elsewhere);
        }
        let window = self.windows.get(&head.from).copied().unwrap_or_default();
        if head.life == window.life() && !window.may(head.life, head.counter) {
            return Err(Fault::Replayed);
        }
        // A member's address may be feigned: that costs this member's ration, and nobody else's.
        let source = self.addresses.get(&from).copied();
        if !self.ration.take(now, source, 1) {
            return Err(Fault::Rationed);
        }
        self.counts.checked += 1;
        if !self.keyring.signed(head.from, signed, &signature) {
            return Err(Fault::Unsigned);
        }
        if head.life < window.life() {
            self.tell_stale(now, head.from, from, out);
            return Err(Fault::Stale);
        }
        self.windows.entry(head.from).or_default().note(head.life, head.counter);
        self.view.heard(now, head.from);
        self.take_body(now, &head, from, source, body, out, events);
        Ok(())
    }

    /// Takes the body of a datagram whose signature holds.
    #[allow(clippy::too_many_arguments)]
    fn take_body(
        &mut self, now: Duration, head: &Head, from: SocketAddrV4, source: Option<Member>, body: &[u8],
        out: &mut impl Transport, events: &mut Vec<Event>,
    ) {
        let number = body.get(..2).map(|two| u16::from_be_bytes([two[0], two[1]]));
        let fixed = match head.kind {
            PING | ACK | NACK => 2,
            ASK => 4,
            NEWS => 0,
            _ => body.len(),
        };
        // The statements first: what is answered may depend on them.
        let behind = self.take_statements(now, source, body.get(fixed..).unwrap_or(&[]), events);
        let cost = match head.kind {
            PING => 1.0,
            ASK => 2.0,
            DIGEST => 4.0,
            _ => 0.0,
        };
        if !self.ration.answers(now, head.from, cost) {
            *self.counts.dropped.entry(Fault::Rationed).or_default() += 1;
            return;
        }
        match (head.kind, number) {
            (PING, Some(number)) => self.pinged(now, head, from, number, behind, out),
            (ACK, Some(number)) => self.acked(now, head.from, number, out),
            (NACK, Some(number)) => self.nacked(head.from, number),
            (ASK, Some(number)) => {
                if let Some(target) = body.get(2..4).map(|two| u16::from_be_bytes([two[0], two[1]])) {
                    self.asked(now, head.from, number, target, out);
                }
            }
            (DIGEST, Some(begin)) => self.compared(now, head, begin, &body[2..], out),
            (MESSAGE, _) => events.push(Event::Message(head.from, body.to_vec())),
            _ => {}
        }
    }
}

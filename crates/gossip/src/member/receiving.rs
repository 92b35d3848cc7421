//! Processing of received datagrams: which checks are made, in which order, and how each kind is handled.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{Event, Gossip, Transport};
use crate::envelope::{self, Fault, Header, ACK, ANYONE, DIGEST, MESSAGE, NACK, PING, PING_REQ, STATEMENTS};
use crate::statement::Keyring;
use crate::Member;

impl<H: Keyring> Gossip<H> {
    /// Processes a datagram received from an address.
    pub fn handle_datagram(
        &mut self, now: Duration, from: SocketAddrV4, bytes: &[u8], out: &mut impl Transport,
        events: &mut Vec<Event>,
    ) -> Result<(), Fault> {
        let result = self.process_datagram(now, from, bytes, out, events);
        match result {
            Ok(()) => self.counts.taken += 1,
            Err(fault) => *self.counts.dropped.entry(fault).or_default() += 1,
        }
        result
    }

    /// Checks a datagram, cheapest check first, and handles it if all pass.
    fn process_datagram(
        &mut self, now: Duration, from: SocketAddrV4, bytes: &[u8], out: &mut impl Transport,
        events: &mut Vec<Event>,
    ) -> Result<(), Fault> {
        let (header, body, signed, signature) = envelope::open(bytes)?;
        if !self.keyring.knows(header.from) || header.from == self.local_id {
            return Err(Fault::Stranger);
        }
        if header.to != self.local_id && !(header.to == ANYONE && header.kind == PING) {
            return Err(Fault::Elsewhere);
        }
        let window = self.windows.get(&header.from).copied().unwrap_or_default();
        if header.process_incarnation == window.process_incarnation()
            && !window.accepts(header.process_incarnation, header.counter)
        {
            return Err(Fault::Replayed);
        }
        // A forged source address of a member uses up that member's rate limit only.
        let source = self.addresses.get(&from).copied();
        if !self.rate_limits.admit_signatures(now, source, 1) {
            return Err(Fault::RateLimited);
        }
        self.counts.checked += 1;
        if !self.keyring.signed(header.from, signed, &signature) {
            return Err(Fault::Unsigned);
        }
        if header.process_incarnation < window.process_incarnation() {
            self.send_stale_notice(now, header.from, from, out);
            return Err(Fault::Stale);
        }
        self.windows.entry(header.from).or_default().record(header.process_incarnation, header.counter);
        self.view.record_contact(now, header.from);
        self.handle_body(now, &header, from, source, body, out, events);
        Ok(())
    }

    /// Handles the body of a datagram with a valid signature.
    #[allow(clippy::too_many_arguments)]
    fn handle_body(
        &mut self, now: Duration, header: &Header, from: SocketAddrV4, source: Option<Member>, body: &[u8],
        out: &mut impl Transport, events: &mut Vec<Event>,
    ) {
        let number = body.get(..2).map(|bytes| u16::from_be_bytes([bytes[0], bytes[1]]));
        let fixed_bytes = match header.kind {
            PING | ACK | NACK => 2,
            PING_REQ => 4,
            STATEMENTS => 0,
            _ => body.len(),
        };
        // The statements come first, since the answer may depend on them.
        let sender_is_outdated =
            self.take_statements(now, source, body.get(fixed_bytes..).unwrap_or(&[]), events);
        let cost = match header.kind {
            PING => 1.0,
            PING_REQ => 2.0,
            DIGEST => 4.0,
            _ => 0.0,
        };
        if !self.rate_limits.admit_answer(now, header.from, cost) {
            *self.counts.dropped.entry(Fault::RateLimited).or_default() += 1;
            return;
        }
        match (header.kind, number) {
            (PING, Some(number)) => self.handle_ping(now, header, from, number, sender_is_outdated, out),
            (ACK, Some(number)) => self.handle_ack(now, header.from, number, out),
            (NACK, Some(number)) => self.handle_nack(header.from, number),
            (PING_REQ, Some(number)) => {
                if let Some(target) = body.get(2..4).map(|bytes| u16::from_be_bytes([bytes[0], bytes[1]])) {
                    self.handle_indirect_probe_request(now, header.from, number, target, out);
                }
            }
            (DIGEST, Some(first_member)) => {
                self.answer_comparison(now, header, first_member, &body[2..], out)
            }
            (MESSAGE, _) => events.push(Event::Message(header.from, body.to_vec())),
            _ => {}
        }
    }
}

//! Sending of datagrams: choice of recipients, byte budget, and added statements.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{Gossip, Transport};
use crate::envelope::{self, Header, ANYONE, MAX_DATAGRAM_BYTES, PING};
use crate::probe::shuffle;
use crate::statement::{Keyring, SIGNATURE_BYTES};
use crate::view::{MemberEntry, MemberState};
use crate::Member;

impl<H: Keyring> Gossip<H> {
    /// Up to `count` random members that are alive, except this one and `but`.
    pub(super) fn random_members(&mut self, count: usize, excluded: Option<Member>) -> Vec<Member> {
        let candidate = |(member, known): (Member, &MemberEntry)| {
            let is_candidate =
                member != self.local_id && Some(member) != excluded && known.state == MemberState::Alive;
            is_candidate.then_some(member)
        };
        // Each member is chosen with the same probability (reservoir sampling).
        let mut chosen = Vec::with_capacity(count);
        for (seen, member) in self.view.members().filter_map(candidate).enumerate() {
            if chosen.len() < count {
                chosen.push(member);
            } else {
                let index = (self.rng.unit_interval() * (seen + 1) as f64) as usize;
                chosen.get_mut(index).into_iter().for_each(|slot| *slot = member);
            }
        }
        shuffle(&mut chosen, &mut self.rng);
        chosen
    }

    /// Sends a datagram to a member at the address in its record. Returns whether it was sent.
    pub(super) fn send(
        &mut self, now: Duration, kind: u8, to: Member, body: &[u8], with_statements: bool,
        out: &mut impl Transport,
    ) -> bool {
        let Some(at) = self.view.get(to).map(|known| known.record.at) else { return false };
        self.send_at(now, kind, (to, at), body, with_statements, out)
    }

    /// Sends a datagram to a member at an address. Returns whether it was sent.
    pub(super) fn send_at(
        &mut self, now: Duration, kind: u8, to: (Member, SocketAddrV4), body: &[u8], with_statements: bool,
        out: &mut impl Transport,
    ) -> bool {
        let header = Header {
            kind,
            from: self.local_id,
            to: to.0,
            process_incarnation: self.process_incarnation(),
            counter: self.counter + 1,
        };
        let mut bytes = envelope::begin(&header);
        bytes.extend(body);
        if with_statements {
            self.add_statements(now, to.0, kind, &mut bytes);
        }
        if !self.budget.take(now, bytes.len() + SIGNATURE_BYTES) {
            self.counts.held_back += 1;
            return false;
        }
        self.counter += 1;
        bytes.extend(self.keyring.sign(&bytes));
        self.counts.signed += 1;
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.send(to.1, &bytes);
        true
    }

    /// Adds statements as far as there is room: first those that the recipient itself must receive, then the
    /// most urgent ones.
    fn add_statements(&mut self, now: Duration, to: Member, kind: u8, bytes: &mut Vec<u8>) {
        let room = |bytes: &Vec<u8>| MAX_DATAGRAM_BYTES - SIGNATURE_BYTES - bytes.len();
        let accused = self.view.get(to).is_some_and(|known| known.state != MemberState::Alive);
        let own_statements =
            (to == ANYONE || kind == PING && accused).then(|| self.view.statements(self.local_id));
        let recipient_statements = accused.then(|| self.view.statements(to));
        for statement in
            recipient_statements.into_iter().flatten().rev().chain(own_statements.into_iter().flatten())
        {
            if statement.size() <= room(bytes) {
                statement.write(Duration::ZERO, bytes);
            }
        }
        let (members, room) = (self.view.active_count(), room(bytes));
        self.outbox.fill(now, members, room, bytes);
    }
}

//! Datagrams on their way out: to whom, within the ceiling, with as many statements as fit.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{Gossip, Transport};
use crate::envelope::{self, Header, ANYONE, MAX_DATAGRAM_BYTES, PING};
use crate::probe::shuffle;
use crate::statement::{Keyring, SIGNATURE_BYTES};
use crate::view::{Known, MemberState};
use crate::Member;

impl<H: Keyring> Gossip<H> {
    /// Some other members that take part, drawn by chance.
    pub(super) fn some_members(&mut self, count: usize, but: Option<Member>) -> Vec<Member> {
        let part = |(member, known): (Member, &Known)| {
            let ours = member != self.me && Some(member) != but && known.state == MemberState::Alive;
            ours.then_some(member)
        };
        // Each of all is among the chosen with the same chance (reservoir sampling).
        let mut chosen = Vec::with_capacity(count);
        for (seen, member) in self.view.members().filter_map(part).enumerate() {
            if chosen.len() < count {
                chosen.push(member);
            } else {
                let at = (self.chance.unit_interval() * (seen + 1) as f64) as usize;
                chosen.get_mut(at).into_iter().for_each(|place| *place = member);
            }
        }
        shuffle(&mut chosen, &mut self.chance);
        chosen
    }

    /// Sends a datagram to a member at the address of its record. Tells whether it went.
    pub(super) fn send(
        &mut self, now: Duration, kind: u8, to: Member, body: &[u8], statements: bool,
        out: &mut impl Transport,
    ) -> bool {
        let Some(at) = self.view.get(to).map(|known| known.record.at) else { return false };
        self.send_at(now, kind, (to, at), body, statements, out)
    }

    /// Sends a datagram to a member at an address. Tells whether it went.
    pub(super) fn send_at(
        &mut self, now: Duration, kind: u8, to: (Member, SocketAddrV4), body: &[u8], statements: bool,
        out: &mut impl Transport,
    ) -> bool {
        let header = Header { kind, from: self.me, to: to.0, life: self.life(), counter: self.counter + 1 };
        let mut bytes = envelope::begin(&header);
        bytes.extend(body);
        if statements {
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

    /// First what the receiver itself has to know, then what is most urgent, as much as fits.
    fn add_statements(&mut self, now: Duration, to: Member, kind: u8, bytes: &mut Vec<u8>) {
        let room = |bytes: &Vec<u8>| MAX_DATAGRAM_BYTES - SIGNATURE_BYTES - bytes.len();
        let accused = self.view.get(to).is_some_and(|known| known.state != MemberState::Alive);
        let own = (to == ANYONE || kind == PING && accused).then(|| self.view.statements(self.me));
        let theirs = accused.then(|| self.view.statements(to));
        for statement in theirs.into_iter().flatten().rev().chain(own.into_iter().flatten()) {
            if statement.size() <= room(bytes) {
                statement.write(Duration::ZERO, bytes);
            }
        }
        let (members, room) = (self.view.taking_part(), room(bytes));
        self.outbox.fill(now, members, room, bytes);
    }
}

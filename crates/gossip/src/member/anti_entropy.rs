//! Anti-entropy: members compare digests of what they hold, and send each other what differs.

use std::time::Duration;

use super::{Gossip, Transport};
use crate::envelope::{Header, DIGEST, MAX_BODY_BYTES, MAX_DATAGRAM_BYTES, NEWS};
use crate::probe::shuffle;
use crate::statement::{Keyring, Statement};
use crate::Member;

/// A comparison that found a difference is followed by another one after about this time.
const COMPARE_SOON: Duration = Duration::from_millis(300);
/// Members compared in one datagram: a byte for each.
const SLICE: usize = MAX_BODY_BYTES - 3;
/// Records that one comparison is answered with at most; the next one brings the rest.
const ANSWERED: usize = 16;

impl<H: Keyring> Gossip<H> {
    /// Shows one other member what is held here of a part of the ring; it answers with what differs.
    pub(super) fn compare(&mut self, now: Duration, out: &mut impl Transport) {
        let Some(to) = self.some_members(1, None).first().copied() else { return };
        let ring = self.keyring.ring();
        if self.compared_to >= ring.len() {
            self.compared_to = 0;
        }
        let from = self.compared_to;
        let slice = &ring[from..ring.len().min(from + SLICE)];
        let mut body = slice.first().copied().unwrap_or_default().to_be_bytes().to_vec();
        body.push(slice.len() as u8);
        let salt = (self.counter + 1) as u8;
        body.extend(slice.iter().map(|member| self.view.digest(*member, salt)));
        self.compared_to = from + slice.len();
        if self.budget.spares(now, MAX_DATAGRAM_BYTES) {
            self.send(now, DIGEST, to, &body, false, out);
        }
    }

    /// Answers a comparison with what differs.
    pub(super) fn compared(
        &mut self, now: Duration, header: &Header, begin: Member, told: &[u8], out: &mut impl Transport,
    ) {
        let Some((count, digests)) = told.split_first() else { return };
        let ring = self.keyring.ring();
        let Some(begin) = ring.iter().position(|member| *member == begin) else { return };
        let slice = ring[begin..].iter().zip(digests.iter().take(usize::from(*count)));
        let differs =
            |(member, digest): &(&Member, &u8)| self.view.digest(**member, header.counter as u8) != **digest;
        let mut differ: Vec<Member> = slice.filter(differs).map(|(member, _)| *member).collect();
        if differ.is_empty() {
            return;
        }
        // This member lacks something, or the other does: it compares again soon itself.
        let soon = now + COMPARE_SOON.mul_f64(0.5 + self.chance.unit_interval());
        self.next_compare = self.next_compare.min(soon);
        shuffle(&mut differ, &mut self.chance);
        let statements = differ.iter().flat_map(|member| self.view.statements(*member));
        let statements: Vec<Statement> = statements.take(ANSWERED).collect();
        let mut body = Vec::new();
        for statement in &statements {
            if body.len() + statement.size() > MAX_BODY_BYTES {
                self.answer(now, header.from, &mut body, out);
            }
            statement.write(Duration::ZERO, &mut body);
        }
        self.answer(now, header.from, &mut body, out);
    }

    /// Sends the statements collected so far, if any, as far as the ceiling allows.
    fn answer(&mut self, now: Duration, with: Member, body: &mut Vec<u8>, out: &mut impl Transport) {
        let body = std::mem::take(body);
        if !body.is_empty() && self.budget.spares(now, MAX_DATAGRAM_BYTES) {
            self.send(now, NEWS, with, &body, false, out);
        }
    }
}

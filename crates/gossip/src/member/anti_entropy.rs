//! Anti-entropy: members compare digests of their views, and send each other the statements that differ.

use std::time::Duration;

use super::{Gossip, Transport};
use crate::envelope::{Header, DIGEST, MAX_BODY_BYTES, MAX_DATAGRAM_BYTES, STATEMENTS};
use crate::probe::shuffle;
use crate::statement::{Keyring, Statement};
use crate::Member;

/// Approximate delay before the next comparison after one that found a difference.
const FOLLOW_UP_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of members compared in one datagram, at one byte each.
const MAX_COMPARED_MEMBERS: usize = MAX_BODY_BYTES - 3;
/// Maximum number of statements in the answer to one comparison; the next comparison gets the rest.
const MAX_ANSWERED_STATEMENTS: usize = 16;

impl<H: Keyring> Gossip<H> {
    /// Sends digests for a part of the ring to another member, which answers with what differs.
    pub(super) fn start_comparison(&mut self, now: Duration, out: &mut impl Transport) {
        let Some(to) = self.random_members(1, None).first().copied() else { return };
        let ring = self.keyring.ring();
        if self.comparison_start >= ring.len() {
            self.comparison_start = 0;
        }
        let start = self.comparison_start;
        let slice = &ring[start..ring.len().min(start + MAX_COMPARED_MEMBERS)];
        let mut body = slice.first().copied().unwrap_or_default().to_be_bytes().to_vec();
        body.push(slice.len() as u8);
        let salt = (self.counter + 1) as u8;
        body.extend(slice.iter().map(|member| self.view.digest(*member, salt)));
        self.comparison_start = start + slice.len();
        if self.budget.has_reserve(now, MAX_DATAGRAM_BYTES) {
            self.send(now, DIGEST, to, &body, false, out);
        }
    }

    /// Answers a comparison with the statements that differ.
    pub(super) fn answer_comparison(
        &mut self, now: Duration, header: &Header, first_member: Member, received: &[u8],
        out: &mut impl Transport,
    ) {
        let Some((count, digests)) = received.split_first() else { return };
        let ring = self.keyring.ring();
        let Some(start) = ring.iter().position(|member| *member == first_member) else { return };
        let slice = ring[start..].iter().zip(digests.iter().take(usize::from(*count)));
        let differs =
            |(member, digest): &(&Member, &u8)| self.view.digest(**member, header.counter as u8) != **digest;
        let mut differing: Vec<Member> = slice.filter(differs).map(|(member, _)| *member).collect();
        if differing.is_empty() {
            return;
        }
        // Either this member or the other lacks something, so this one starts a comparison of its own soon.
        let follow_up_at = now + FOLLOW_UP_DELAY.mul_f64(0.5 + self.rng.unit_interval());
        self.next_comparison_at = self.next_comparison_at.min(follow_up_at);
        shuffle(&mut differing, &mut self.rng);
        let statements = differing.iter().flat_map(|member| self.view.statements(*member));
        let statements: Vec<Statement> = statements.take(MAX_ANSWERED_STATEMENTS).collect();
        let mut body = Vec::new();
        for statement in &statements {
            if body.len() + statement.size() > MAX_BODY_BYTES {
                self.send_answer(now, header.from, &mut body, out);
            }
            statement.write(Duration::ZERO, &mut body);
        }
        self.send_answer(now, header.from, &mut body, out);
    }

    /// Sends the statements collected so far, if there are any and the byte budget allows it.
    fn send_answer(&mut self, now: Duration, to: Member, body: &mut Vec<u8>, out: &mut impl Transport) {
        let body = std::mem::take(body);
        if !body.is_empty() && self.budget.has_reserve(now, MAX_DATAGRAM_BYTES) {
            self.send(now, STATEMENTS, to, &body, false, out);
        }
    }
}

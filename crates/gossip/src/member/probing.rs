//! Probes: pings, indirect probes through helpers, and what is made of their answers (SWIM sections 3 and 4.1).

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{takes_part, Event, Gossip, Transport};
use crate::envelope::{Header, ACK, ANYONE, ASK, NACK, PING};
use crate::probe::{IndirectProbe, Probe};
use crate::statement::{Accusation, Claim, Keyring};
use crate::view::PERIOD;
use crate::Member;

/// A probed member answers within this on a healthy network, most of the time many times over.
const ANSWERS_WITHIN: Duration = Duration::from_millis(300);
/// Members that are asked to probe one that did not answer (SWIM section 4.1: three make a false alarm rare at ten
/// in a hundred lost).
pub(super) const HELPERS: usize = 3;
/// A helper says that it has no answer after this part of its own wait.
const NACK_WITHIN: Duration = Duration::from_millis(250);

impl<H: Keyring> Gossip<H> {
    /// Begins a protocol period: pings the next member in turn (SWIM section 3).
    pub(super) fn begin_probe(&mut self, now: Duration, out: &mut impl Transport) {
        // Health stretches the period too, so that the wait for an answer stays inside of it.
        self.next_period = now + self.health.stretch(PERIOD);
        let (me, view) = (self.me, &self.view);
        let part = |member: Member| member != me && takes_part(view.get(member));
        let all = || view.members().map(|(member, _)| member).filter(|member| part(*member)).collect();
        let Some(target) = self.probes.next_target(part, all, &mut self.chance) else { return };
        let number = self.probes.next_number();
        self.probes.out = Some(Probe {
            target,
            number,
            ask_at: now + self.health.stretch(ANSWERS_WITHIN),
            over_at: self.next_period,
            helpers: Vec::new(),
            nacks: Vec::new(),
            asked: false,
            answered: false,
        });
        if !self.send(now, PING, target, &number.to_be_bytes(), true, out) {
            // Not sent is not unanswered.
            self.probes.out = None;
        }
    }

    /// Asks others to probe one that has not answered.
    pub(super) fn probe_steps(&mut self, now: Duration, out: &mut impl Transport) {
        let due =
            self.probes.out.as_ref().filter(|probe| !probe.asked && !probe.answered && probe.ask_at <= now);
        let Some((target, number)) = due.map(|probe| (probe.target, probe.number)) else { return };
        let helpers = self.some_members(HELPERS, Some(target));
        let body = [number.to_be_bytes(), target.to_be_bytes()].concat();
        let sent: Vec<Member> =
            helpers.into_iter().filter(|to| self.send(now, ASK, *to, &body, true, out)).collect();
        if let Some(probe) = &mut self.probes.out {
            (probe.asked, probe.helpers) = (true, sent);
        }
    }

    /// Ends a protocol period: a member that has not answered is suspected, and accused before others.
    pub(super) fn end_probe(&mut self, now: Duration, events: &mut Vec<Event>) {
        let Some(probe) = self.probes.out.take() else { return };
        if probe.answered {
            return self.health.improve();
        }
        let missed = probe.helpers.len().saturating_sub(probe.nacks.len()) as u32;
        // Helpers that say nothing either speak against this member; where none could be asked, so does the probe.
        self.health.worsen(if probe.helpers.is_empty() { 1 } else { missed });
        let Some(known) = self.view.get(probe.target).filter(|known| takes_part(Some(known))) else { return };
        let accusation =
            Accusation { subject: probe.target, incarnation: known.record.incarnation, author: self.me };
        self.counts.accusations += 1;
        self.counts.signed += 1;
        let statement = Claim::Accusation(accusation).sign(&self.keyring);
        self.take_accusation(now, accusation, statement, events);
    }

    /// Tells those who asked for an indirect probe that there was no answer in time.
    pub(super) fn nack_expired(&mut self, now: Duration, out: &mut impl Transport) {
        for probe in self.probes.take_expired_indirect(now) {
            self.send(now, NACK, probe.asker, &probe.asker_number.to_be_bytes(), true, out);
        }
    }

    /// A ping that no probe waits for.
    pub(super) fn ping_at(&mut self, now: Duration, to: Member, at: SocketAddrV4, out: &mut impl Transport) {
        let number = self.probes.next_number();
        self.send_at(now, PING, (to, at), &number.to_be_bytes(), true, out);
    }

    /// Answers a ping.
    pub(super) fn pinged(
        &mut self, now: Duration, header: &Header, from: SocketAddrV4, number: u16, behind: bool,
        out: &mut impl Transport,
    ) {
        let mut body = number.to_be_bytes().to_vec();
        if header.to == ANYONE || behind {
            // It does not know whom it asked, or not what was answered to it long ago.
            self.view
                .statements(self.me)
                .iter()
                .for_each(|statement| statement.write(Duration::ZERO, &mut body));
        }
        self.send_at(now, ACK, (header.from, from), &body, true, out);
    }

    /// Takes an answer to a ping of this member's own, or of one that another asked for.
    pub(super) fn acked(&mut self, now: Duration, from: Member, number: u16, out: &mut impl Transport) {
        if let Some(probe) = self.probes.out.as_mut().filter(|probe| probe.number == number) {
            // Of the target itself, or of a helper that heard it.
            probe.answered |= probe.target == from || probe.helpers.contains(&from);
        }
        if let Some(probe) = self.probes.take_answered_indirect(from, number) {
            self.send(now, ACK, probe.asker, &probe.asker_number.to_be_bytes(), true, out);
        }
    }

    /// Notes that a helper has no answer from the probed member either.
    pub(super) fn nacked(&mut self, from: Member, number: u16) {
        let Some(probe) = self.probes.out.as_mut().filter(|probe| probe.number == number) else { return };
        if probe.helpers.contains(&from) && !probe.nacks.contains(&from) {
            probe.nacks.push(from);
        }
    }

    /// Probes a member on behalf of one that had no answer from it (SWIM's ping-req).
    pub(super) fn asked(
        &mut self, now: Duration, asker: Member, asker_number: u16, target: Member, out: &mut impl Transport,
    ) {
        if target == self.me || self.view.get(target).is_none() {
            return;
        }
        let number = self.probes.next_number();
        let nack_at = now + NACK_WITHIN;
        if self.probes.add_indirect(IndirectProbe { number, target, asker, asker_number, nack_at }) {
            self.send(now, PING, target, &number.to_be_bytes(), true, out);
        }
    }
}

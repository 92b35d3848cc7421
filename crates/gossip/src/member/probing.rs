//! Probing: pings, indirect probes through helpers, and the evaluation of their answers (SWIM sections 3 and
//! 4.1).

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{is_active, Event, Gossip, Transport};
use crate::envelope::{Header, ACK, ANYONE, NACK, PING, PING_REQ};
use crate::probe::{IndirectProbe, Probe};
use crate::statement::{Accusation, Claim, Keyring};
use crate::view::PROBE_PERIOD;
use crate::Member;

/// Time within which a probed member answers on a healthy network.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of members asked to probe one that did not answer (SWIM section 4.1: three make a false alarm rare
/// at ten percent loss).
pub(super) const HELPER_COUNT: usize = 3;
/// Time after which a helper reports that it received no answer.
const NACK_DELAY: Duration = Duration::from_millis(250);

impl<H: Keyring> Gossip<H> {
    /// Begins a protocol period: pings the next member in turn (SWIM section 3).
    pub(super) fn begin_probe(&mut self, now: Duration, out: &mut impl Transport) {
        // The period is extended with the health score too, so that the timeout stays within the period.
        self.next_period = now + self.health.stretch(PROBE_PERIOD);
        let (local_id, view) = (self.local_id, &self.view);
        let is_candidate = |member: Member| member != local_id && is_active(view.get(member));
        let all =
            || view.members().map(|(member, _)| member).filter(|member| is_candidate(*member)).collect();
        let Some(target) = self.probes.next_target(is_candidate, all, &mut self.rng) else { return };
        let number = self.probes.next_number();
        self.probes.current = Some(Probe {
            target,
            number,
            ask_helpers_at: now + self.health.stretch(ANSWER_TIMEOUT),
            ends_at: self.next_period,
            helpers: Vec::new(),
            nacks: Vec::new(),
            helpers_asked: false,
            answered: false,
        });
        if !self.send(now, PING, target, &number.to_be_bytes(), true, out) {
            // A ping that was not sent can't be unanswered.
            self.probes.current = None;
        }
    }

    /// Asks helpers to probe a member that has not answered in time.
    pub(super) fn ask_helpers(&mut self, now: Duration, out: &mut impl Transport) {
        let due = self
            .probes
            .current
            .as_ref()
            .filter(|probe| !probe.helpers_asked && !probe.answered && probe.ask_helpers_at <= now);
        let Some((target, number)) = due.map(|probe| (probe.target, probe.number)) else { return };
        let helpers = self.random_members(HELPER_COUNT, Some(target));
        let body = [number.to_be_bytes(), target.to_be_bytes()].concat();
        let sent: Vec<Member> =
            helpers.into_iter().filter(|to| self.send(now, PING_REQ, *to, &body, true, out)).collect();
        if let Some(probe) = &mut self.probes.current {
            (probe.helpers_asked, probe.helpers) = (true, sent);
        }
    }

    /// Ends a protocol period: a member that has not answered is suspected and accused.
    pub(super) fn end_probe(&mut self, now: Duration, events: &mut Vec<Event>) {
        let Some(probe) = self.probes.current.take() else { return };
        if probe.answered {
            return self.health.improve();
        }
        let silent_helpers = probe.helpers.len().saturating_sub(probe.nacks.len()) as u32;
        // Helpers that are silent too indicate a fault of the local member; if no helper could be asked, so
        // does the missing answer.
        self.health.worsen(if probe.helpers.is_empty() { 1 } else { silent_helpers });
        let Some(known) = self.view.get(probe.target).filter(|known| is_active(Some(known))) else { return };
        let accusation = Accusation {
            subject: probe.target,
            incarnation: known.record.incarnation,
            author: self.local_id,
        };
        self.counts.accusations += 1;
        self.counts.signed += 1;
        let statement = Claim::Accusation(accusation).sign(&self.keyring);
        self.take_accusation(now, accusation, statement, events);
    }

    /// Reports to those who requested an indirect probe that there was no answer in time.
    pub(super) fn send_expired_nacks(&mut self, now: Duration, out: &mut impl Transport) {
        for probe in self.probes.take_expired_indirect(now) {
            self.send(now, NACK, probe.requester, &probe.requester_number.to_be_bytes(), true, out);
        }
    }

    /// Sends a ping that no probe waits for.
    pub(super) fn ping_at(&mut self, now: Duration, to: Member, at: SocketAddrV4, out: &mut impl Transport) {
        let number = self.probes.next_number();
        self.send_at(now, PING, (to, at), &number.to_be_bytes(), true, out);
    }

    /// Answers a ping.
    pub(super) fn handle_ping(
        &mut self, now: Duration, header: &Header, address: SocketAddrV4, number: u16,
        sender_is_outdated: bool, out: &mut impl Transport,
    ) {
        let mut body = number.to_be_bytes().to_vec();
        if header.to == ANYONE || sender_is_outdated {
            // The sender does not know whom it pinged, or has an outdated incarnation of this member.
            self.view
                .statements(self.local_id)
                .iter()
                .for_each(|statement| statement.write(Duration::ZERO, &mut body));
        }
        self.send_at(now, ACK, (header.from, address), &body, true, out);
    }

    /// Handles an answer to a ping of this member's own, or of an indirect probe.
    pub(super) fn handle_ack(&mut self, now: Duration, from: Member, number: u16, out: &mut impl Transport) {
        if let Some(probe) = self.probes.current.as_mut().filter(|probe| probe.number == number) {
            // The answer may come from the target, or from a helper that received it.
            probe.answered |= probe.target == from || probe.helpers.contains(&from);
        }
        if let Some(probe) = self.probes.take_answered_indirect(from, number) {
            self.send(now, ACK, probe.requester, &probe.requester_number.to_be_bytes(), true, out);
        }
    }

    /// Records that a helper received no answer from the probed member either.
    pub(super) fn handle_nack(&mut self, from: Member, number: u16) {
        let Some(probe) = self.probes.current.as_mut().filter(|probe| probe.number == number) else { return };
        if probe.helpers.contains(&from) && !probe.nacks.contains(&from) {
            probe.nacks.push(from);
        }
    }

    /// Probes a member on behalf of one that received no answer from it (SWIM's ping-req).
    pub(super) fn handle_indirect_probe_request(
        &mut self, now: Duration, requester: Member, requester_number: u16, target: Member,
        out: &mut impl Transport,
    ) {
        if target == self.local_id || self.view.get(target).is_none() {
            return;
        }
        let number = self.probes.next_number();
        let nack_at = now + NACK_DELAY;
        if self.probes.add_indirect(IndirectProbe { number, target, requester, requester_number, nack_at }) {
            self.send(now, PING, target, &number.to_be_bytes(), true, out);
        }
    }
}

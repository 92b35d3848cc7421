//! Carries out what the agreement asks for, and tells it what this machine holds.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use badgerledge_revisions::message::Message;
use badgerledge_revisions::{Head, MemberOutput};

use crate::change::Summary;
use crate::control::batches::Fitness;
use crate::control::ledger::Revision;
use crate::control::sequencer::{BuildContext, Proposal, Standing};
use crate::control::{ControlMachine, ControlOutput, StoredItem};
use crate::message::{PeerMessage, ToWatcher};
use crate::{Certified, Digest, MachineId, Signed, Signer};

/// Things that follow from each other at once: a vote, a certificate, a word to act, the next batch. More than that wait for
/// the next call.
const ROUNDS: usize = 8;

impl<H: Signer> ControlMachine<H> {
    pub(super) fn agreement_message(
        &mut self, now: Duration, from: MachineId, bytes: &[u8], out: &mut Vec<ControlOutput>,
    ) {
        // That a machine is off for good is an author's word, and authors of the agreement are the machines themselves here.
        let Some(word) =
            Message::read(bytes).filter(|word| !matches!(word, Message::Removal(_) | Message::ListReport(_)))
        else {
            return;
        };
        let mut given = Vec::new();
        self.revisions.receive(now, from, word, &mut given);
        self.carry_out(now, given, out);
    }

    pub(super) fn carry_out(
        &mut self, now: Duration, given: Vec<MemberOutput>, out: &mut Vec<ControlOutput>,
    ) {
        let mut given = VecDeque::from(given);
        while let Some(next) = given.pop_front() {
            match next {
                MemberOutput::Send(to, bytes) => {
                    out.push(ControlOutput::ToPeer(to, PeerMessage::Agreement(bytes)))
                }
                MemberOutput::Store(bytes) => out.push(ControlOutput::Store(StoredItem::Agreement(bytes))),
                MemberOutput::Fetch(signed, from) => {
                    let text = signed.head.text;
                    let Some(summary) = self.batches.get(&text).map(|held| held.summary) else {
                        out.push(ControlOutput::ToPeer(from, PeerMessage::GetBatch { digest: text }));
                        continue;
                    };
                    let mut more = Vec::new();
                    self.revisions.take_own_text(now, Arc::from(summary.text().to_vec()), &mut more);
                    given.extend(more);
                }
                // The batch is stored, and with it its summary, which is the text.
                MemberOutput::StoreText(..) | MemberOutput::Changed | MemberOutput::Unusable(..) => {}
            }
        }
    }

    /// Goes on as far as what is known allows.
    pub(super) fn settle(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        for _ in 0..ROUNDS {
            let before = (self.certified.0, self.ledger.number(), self.revisions.may_activate());
            self.note_certified(now);
            self.advance(now, out);
            self.allow(now, out);
            self.report_ready(now, out);
            self.propose_next(now, out);
            if before == (self.certified.0, self.ledger.number(), self.revisions.may_activate()) {
                break;
            }
        }
        out.extend(self.checkpoints.due(now, &self.ledger).map(ControlOutput::Store));
    }

    fn note_certified(&mut self, now: Duration) {
        let number = self.revisions.latest_certified().map_or(0, Certified::number);
        if number > self.certified.0 {
            self.certified = (number, now);
            self.rival_at = None;
        }
        self.catch_up.set_behind(now, self.ledger.number() < self.certified.0);
    }

    /// Applies what is certified, if the batches that lead there are here.
    fn advance(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let top = self.revisions.latest_certified().filter(|top| top.number() > self.ledger.number());
        let Some(top) = top.cloned() else { return };
        let last = top.signed.head.text;
        let Some(steps) = self.batches.chain(self.ledger.latest(), &last, self.hand()) else { return };
        for step in steps {
            out.extend(self.batches.take_to_store(&step.text).map(ControlOutput::Store));
            let Some(held) = self.batches.get(&step.text) else { return };
            let number = held.batch.number;
            let proof = (step.text == last).then(|| (top.clone(), held.summary));
            let exclusive = (self.exclusive_check)(self.ledger.state(), &step.edits);
            self.revisions.classify(number, exclusive);
            self.checkpoints.batch(held.bytes.len());
            self.outcomes.applied(number, &held.batch.changes);
            self.ledger.advance(Revision { number, proof, state: step.state }, &step.edits);
            for answer in self.sequencer.certified(now, number, Some(&step.text)) {
                self.answer(answer, out);
            }
        }
        self.advanced(now, out);
    }

    /// A later state is here.
    fn advanced(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let summary = self.ledger.latest().proof.as_ref().map(|(_, summary)| *summary);
        if let Some(summary) = summary {
            self.take_text(now, &summary, out);
        }
        self.tell_settled(out);
        self.relay.advanced(now, &self.ledger, out);
        self.catch_up.set_behind(now, self.ledger.number() < self.certified.0);
        self.judge_candidates(now, out);
    }

    fn take_text(&mut self, now: Duration, summary: &Summary, out: &mut Vec<ControlOutput>) {
        let mut given = Vec::new();
        self.revisions.take_own_text(now, Arc::from(summary.text().to_vec()), &mut given);
        self.carry_out(now, given, out);
    }

    /// A batch came, proposed or asked for.
    pub(super) fn take_batch(
        &mut self, now: Duration, from: MachineId, summary: Summary, bytes: Vec<u8>,
        out: &mut Vec<ControlOutput>,
    ) {
        if let Some(text) = self.keep_batch(summary, bytes) {
            let next = self.batches.get(&text).is_some_and(|held| held.batch.number == self.certified.0 + 1);
            if next && from != self.config.me {
                self.rival_at.get_or_insert(now);
            }
            self.judge(now, &text, out);
        }
    }

    fn keep_batch(&mut self, summary: Summary, bytes: Vec<u8>) -> Option<Digest> {
        let certified = self.revisions.latest_certified().map(|top| top.signed.head.text);
        let revisions = &self.revisions;
        let needed = |text: &Digest| certified == Some(*text) || revisions.text_by_digest(text).is_some();
        self.batches.take(summary, bytes, self.ledger.number(), needed)
    }

    /// Looks again at the batches for the next number.
    pub(super) fn judge_candidates(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let next: Vec<Digest> =
            self.batches.of_number(self.ledger.number() + 1).map(|(text, _)| *text).collect();
        for text in next {
            self.judge(now, &text, out);
        }
    }

    /// Lets the agreement vote for a batch, if this machine is an acceptor, its state is that of the last certified revision,
    /// and the batch is in order. What it may vote for is on its disk before.
    fn judge(&mut self, now: Duration, text: &Digest, out: &mut Vec<ControlOutput>) {
        let certified = self.revisions.next().0 - 1;
        let acceptor = self.hand().acceptors().contains(&self.config.me);
        if !acceptor || self.ledger.number() != certified || self.revisions.is_vote_permitted(text) {
            return;
        }
        let Some(held) = self.batches.get(text) else { return };
        let (summary, fitness) =
            (held.summary, held.fitness(&self.ledger, &self.revisions.signer().0, &mut self.state_check));
        if fitness == Fitness::Unfit {
            return;
        }
        out.extend(self.batches.take_to_store(text).map(ControlOutput::Store));
        self.revisions.permit_vote(*text, fitness == Fitness::Applicable);
        self.take_text(now, &summary, out);
    }

    /// A part of a state that was asked for came.
    pub(super) fn take_state(
        &mut self, now: Duration, from: MachineId, part: ToWatcher, out: &mut Vec<ControlOutput>,
    ) {
        let hand = &self.revisions.signer().0;
        let (caught, requests) = self.catch_up.take(now, from, part, &self.ledger, hand);
        out.extend(requests.into_iter().map(|request| ControlOutput::ToPeer(from, request)));
        let Some(caught) = caught.filter(|caught| caught.revision.number > self.ledger.number()) else {
            return;
        };
        let number = caught.revision.number;
        let certificate = caught.revision.proof.as_ref().map(|(certificate, _)| certificate.clone());
        match caught.edits {
            Some(edits) => self.ledger.advance(caught.revision, &edits),
            None => self.ledger.jump(caught.revision),
        }
        // What changed on the way is not known.
        self.revisions.classify(number, true);
        self.outcomes.skipped(number);
        self.checkpoints.skipped();
        self.catch_up.caught(now);
        if let Some(certificate) = certificate {
            let mut given = Vec::new();
            self.revisions.take_certified(now, certificate, &mut given);
            self.carry_out(now, given, out);
        }
        for answer in self.sequencer.certified(now, number, None) {
            self.answer(answer, out);
        }
        self.note_certified(now);
        self.advanced(now, out);
    }

    /// Asks another machine for its state, if this one's is behind and nothing came for some time.
    pub(super) fn ask_for_state(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let Some(before) = self.catch_up.wants_to_ask(now) else { return };
        let me = self.config.me;
        let members = self.hand().members();
        let heard = members.iter().copied().filter(|peer| *peer != me && self.peers.is_heard(now, *peer));
        let mut others: Vec<MachineId> = heard.collect();
        if others.len() > 1 {
            others.retain(|peer| Some(*peer) != before);
        }
        let at = (self.chance.unit_interval() * others.len() as f64) as usize;
        let machine = others.get(at).copied().unwrap_or(me);
        let request = self.catch_up.ask(now, machine, &self.ledger);
        if machine != me {
            out.push(ControlOutput::ToPeer(machine, request));
        }
    }

    /// Hands down that the highest certified revision may be acted on.
    fn allow(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let Some(top) = self.revisions.latest_certified().filter(|_| self.revisions.may_activate()) else {
            return;
        };
        self.ledger.take_goes(top);
        self.relay.allowed(now, top.number(), &top.activation_grants, &self.ledger, out);
    }

    /// Says to the agreement that this machine's watchers are ready, or have had the time.
    fn report_ready(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let Some(number) = self.relay.ready(now) else { return };
        let mut given = Vec::new();
        self.revisions.subtree_ready(now, number, &mut given);
        self.carry_out(now, given, out);
    }

    fn standing(&self) -> Standing {
        let (certified, certified_at) = self.certified;
        let allowed = certified == 0 || self.revisions.may_activate();
        Standing { certified, certified_at, allowed, rival_at: self.rival_at }
    }

    /// When the next batch may be built.
    pub(super) fn batch_due(&self) -> Option<Duration> {
        let able = self.ledger.number() == self.certified.0;
        self.sequencer.due(&self.standing()).filter(|_| able)
    }

    fn propose_next(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        if self.batch_due().is_none_or(|due| now < due) {
            return;
        }
        let standing = self.standing();
        let hand = &self.revisions.signer().0;
        let (ledger, outcomes, check) = (&self.ledger, &self.outcomes, &mut self.state_check);
        let context = BuildContext { ledger, outcomes, hand, check };
        let (proposal, answers) = self.sequencer.build(now, &standing, context, &mut self.chance);
        for answer in answers {
            self.answer(answer, out);
        }
        if let Some(proposal) = proposal {
            self.propose(now, proposal, out);
        }
    }

    /// Sends a batch to all machines and proposes its summary.
    fn propose(&mut self, now: Duration, proposal: Proposal, out: &mut Vec<ControlOutput>) {
        let (summary, bytes) = (proposal.built.summary, proposal.built.bytes);
        let me = self.config.me;
        for peer in self.hand().members().iter().copied().filter(|peer| *peer != me) {
            let bytes = bytes.clone();
            out.push(ControlOutput::ToPeer(peer, PeerMessage::Batch { summary, bytes }));
        }
        let (number, before) = self.revisions.next();
        let kept = self.keep_batch(summary, bytes).filter(|_| number == proposal.number);
        let Some(text) = kept else { return self.sequencer.not_proposed(now) };
        out.extend(self.batches.take_to_store(&text).map(ControlOutput::Store));
        self.judge(now, &text, out);
        let head = Head::new(number, before, me, &summary.text());
        let signed = Signed { head, signature: self.hand().sign(&head.signed_bytes()) };
        let mut given = Vec::new();
        if self.revisions.push(now, signed, Arc::from(summary.text().to_vec()), &mut given).is_err() {
            self.sequencer.not_proposed(now);
        }
        self.carry_out(now, given, out);
    }
}

//! Executes the outputs of consensus, and reports to it what this machine has stored and prepared.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use badgerledge_revisions::message::Message;
use badgerledge_revisions::{Head, MemberOutput};

use crate::change::Summary;
use crate::control::batches::BatchVerdict;
use crate::control::ledger::Revision;
use crate::control::sequencer::{AgreementStatus, BuildContext, Proposal};
use crate::control::{ControlMachine, ControlOutput, StoredItem};
use crate::message::{PeerMessage, ToWatcher};
use crate::{Certified, Digest, MachineId, Signed, Signer};

/// The maximum number of steps made in one call where each enables the next: a vote, a certificate, an
/// activation, the next batch. Further steps are left to the next call.
const MAX_STEPS: usize = 8;

impl<H: Signer> ControlMachine<H> {
    pub(super) fn on_agreement_message(
        &mut self, now: Duration, from: MachineId, bytes: &[u8], out: &mut Vec<ControlOutput>,
    ) {
        // Removals and list reports must be signed by an author. The authors of this consensus group are the
        // machines themselves, so these messages are not accepted.
        let Some(message) = Message::read(bytes)
            .filter(|message| !matches!(message, Message::Removal(_) | Message::ListReport(_)))
        else {
            return;
        };
        let mut member_outputs = Vec::new();
        self.revisions.receive(now, from, message, &mut member_outputs);
        self.execute(now, member_outputs, out);
    }

    pub(super) fn execute(
        &mut self, now: Duration, member_outputs: Vec<MemberOutput>, out: &mut Vec<ControlOutput>,
    ) {
        let mut member_outputs = VecDeque::from(member_outputs);
        while let Some(next) = member_outputs.pop_front() {
            match next {
                MemberOutput::Send(to, bytes) => {
                    out.push(ControlOutput::ToPeer(to, PeerMessage::Agreement(bytes)))
                }
                MemberOutput::Store(bytes) => out.push(ControlOutput::Store(StoredItem::Agreement(bytes))),
                MemberOutput::Fetch(signed, from) => {
                    let text = signed.head.text;
                    let Some(summary) = self.batches.get(&text).map(|record| record.summary) else {
                        out.push(ControlOutput::ToPeer(from, PeerMessage::GetBatch { digest: text }));
                        continue;
                    };
                    let mut further_outputs = Vec::new();
                    self.revisions.take_own_text(
                        now,
                        Arc::from(summary.text().to_vec()),
                        &mut further_outputs,
                    );
                    member_outputs.extend(further_outputs);
                }
                // The text is the summary of a batch, and is stored with the batch.
                MemberOutput::StoreText(..) | MemberOutput::Changed | MemberOutput::Unusable(..) => {}
            }
        }
    }

    /// Makes all steps that have become possible, up to [`MAX_STEPS`].
    pub(super) fn make_progress(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        for _ in 0..MAX_STEPS {
            let before = (self.certified.0, self.ledger.number(), self.revisions.may_activate());
            self.update_certified(now);
            self.advance(now, out);
            self.send_activation(now, out);
            self.report_ready(now, out);
            self.propose_next(now, out);
            if before == (self.certified.0, self.ledger.number(), self.revisions.may_activate()) {
                break;
            }
        }
        out.extend(self.checkpoints.due(now, &self.ledger).map(ControlOutput::Store));
    }

    fn update_certified(&mut self, now: Duration) {
        let number = self.revisions.latest_certified().map_or(0, Certified::number);
        if number > self.certified.0 {
            self.certified = (number, now);
            self.competing_batch_at = None;
        }
        self.catch_up.set_behind(now, self.ledger.number() < self.certified.0);
    }

    /// Applies the batches up to the latest certified revision, if all of them are here.
    fn advance(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let latest =
            self.revisions.latest_certified().filter(|latest| latest.number() > self.ledger.number());
        let Some(latest) = latest.cloned() else { return };
        let last = latest.signed.head.text;
        let Some(steps) = self.batches.chain(self.ledger.latest(), &last, self.signer()) else { return };
        for step in steps {
            out.extend(self.batches.take_to_store(&step.text).map(ControlOutput::Store));
            let Some(record) = self.batches.get(&step.text) else { return };
            let number = record.batch.number;
            let proof = (step.text == last).then(|| (latest.clone(), record.summary));
            let exclusive = (self.exclusive_check)(self.ledger.state(), &step.edits);
            self.revisions.classify(number, exclusive);
            self.checkpoints.on_batch(record.bytes.len());
            self.outcomes.on_applied(number, &record.batch.changes);
            self.ledger.advance(Revision { number, proof, state: step.state }, &step.edits);
            for reply in self.sequencer.on_certified(now, number, Some(&step.text)) {
                self.send_rejection(reply, out);
            }
        }
        self.on_advanced(now, out);
    }

    /// The ledger has advanced to a later state.
    fn on_advanced(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let summary = self.ledger.latest().proof.as_ref().map(|(_, summary)| *summary);
        if let Some(summary) = summary {
            self.provide_text(now, &summary, out);
        }
        self.report_settled(out);
        self.relay.on_advanced(now, &self.ledger, out);
        self.catch_up.set_behind(now, self.ledger.number() < self.certified.0);
        self.evaluate_candidates(now, out);
    }

    fn provide_text(&mut self, now: Duration, summary: &Summary, out: &mut Vec<ControlOutput>) {
        let mut member_outputs = Vec::new();
        self.revisions.take_own_text(now, Arc::from(summary.text().to_vec()), &mut member_outputs);
        self.execute(now, member_outputs, out);
    }

    /// Receives a batch that was proposed, or that this machine requested.
    pub(super) fn on_batch(
        &mut self, now: Duration, from: MachineId, summary: Summary, bytes: Vec<u8>,
        out: &mut Vec<ControlOutput>,
    ) {
        if let Some(text) = self.insert_batch(summary, bytes) {
            let is_next =
                self.batches.get(&text).is_some_and(|record| record.batch.number == self.certified.0 + 1);
            if is_next && from != self.config.machine {
                self.competing_batch_at.get_or_insert(now);
            }
            self.evaluate(now, &text, out);
        }
    }

    fn insert_batch(&mut self, summary: Summary, bytes: Vec<u8>) -> Option<Digest> {
        let certified = self.revisions.latest_certified().map(|latest| latest.signed.head.text);
        let revisions = &self.revisions;
        let is_needed = |text: &Digest| certified == Some(*text) || revisions.text_by_digest(text).is_some();
        self.batches.insert_new(summary, bytes, self.ledger.number(), is_needed)
    }

    /// Evaluates the batches for the next number again.
    pub(super) fn evaluate_candidates(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let candidates: Vec<Digest> =
            self.batches.of_number(self.ledger.number() + 1).map(|(text, _)| *text).collect();
        for text in candidates {
            self.evaluate(now, &text, out);
        }
    }

    /// Permits a vote for a batch if this machine is an acceptor, its state is that of the latest certified
    /// revision, and the batch is valid. The batch is stored before the vote is permitted.
    fn evaluate(&mut self, now: Duration, text: &Digest, out: &mut Vec<ControlOutput>) {
        let certified = self.revisions.next().0 - 1;
        let is_acceptor = self.signer().acceptors().contains(&self.config.machine);
        if !is_acceptor || self.ledger.number() != certified || self.revisions.is_vote_permitted(text) {
            return;
        }
        let Some(record) = self.batches.get(text) else { return };
        let (summary, verdict) =
            (record.summary, record.verdict(&self.ledger, &self.revisions.signer().0, &mut self.state_check));
        if verdict == BatchVerdict::Invalid {
            return;
        }
        out.extend(self.batches.take_to_store(text).map(ControlOutput::Store));
        self.revisions.permit_vote(*text, verdict == BatchVerdict::Applicable);
        self.provide_text(now, &summary, out);
    }

    /// Receives a part of a state that this machine requested.
    pub(super) fn on_state_part(
        &mut self, now: Duration, from: MachineId, part: ToWatcher, out: &mut Vec<ControlOutput>,
    ) {
        let signer = &self.revisions.signer().0;
        let (caught_up, requests) = self.catch_up.on_part(now, from, part, &self.ledger, signer);
        out.extend(requests.into_iter().map(|request| ControlOutput::ToPeer(from, request)));
        let Some(caught_up) = caught_up.filter(|caught_up| caught_up.revision.number > self.ledger.number())
        else {
            return;
        };
        let number = caught_up.revision.number;
        let certificate = caught_up.revision.proof.as_ref().map(|(certificate, _)| certificate.clone());
        match caught_up.edits {
            Some(edits) => self.ledger.advance(caught_up.revision, &edits),
            None => self.ledger.jump(caught_up.revision),
        }
        // The changes in between are unknown, so the revision counts as exclusive.
        self.revisions.classify(number, true);
        self.outcomes.on_skipped(number);
        self.checkpoints.on_skipped();
        self.catch_up.on_caught_up(now);
        if let Some(certificate) = certificate {
            let mut member_outputs = Vec::new();
            self.revisions.take_certified(now, certificate, &mut member_outputs);
            self.execute(now, member_outputs, out);
        }
        for reply in self.sequencer.on_certified(now, number, None) {
            self.send_rejection(reply, out);
        }
        self.update_certified(now);
        self.on_advanced(now, out);
    }

    /// Requests the state of another machine if this one's is behind and the last request timed out.
    pub(super) fn request_state(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let Some(before) = self.catch_up.request_due(now) else { return };
        let local_id = self.config.machine;
        let members = self.signer().members();
        let reachable =
            members.iter().copied().filter(|peer| *peer != local_id && self.peers.is_reachable(now, *peer));
        let mut candidates: Vec<MachineId> = reachable.collect();
        if candidates.len() > 1 {
            candidates.retain(|peer| Some(*peer) != before);
        }
        let index = (self.rng.unit_interval() * candidates.len() as f64) as usize;
        let machine = candidates.get(index).copied().unwrap_or(local_id);
        let request = self.catch_up.request(now, machine, &self.ledger);
        if machine != local_id {
            out.push(ControlOutput::ToPeer(machine, request));
        }
    }

    /// Has the relay send the activation of the highest certified revision, once it is allowed.
    fn send_activation(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let Some(latest) = self.revisions.latest_certified().filter(|_| self.revisions.may_activate()) else {
            return;
        };
        self.ledger.add_activation_grants(latest);
        self.relay.on_activation_allowed(now, latest.number(), &latest.activation_grants, &self.ledger, out);
    }

    /// Reports to consensus that this machine's watchers are ready, or that the time for it is over.
    fn report_ready(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        let Some(number) = self.relay.ready_number(now) else { return };
        let mut member_outputs = Vec::new();
        self.revisions.subtree_ready(now, number, &mut member_outputs);
        self.execute(now, member_outputs, out);
    }

    fn agreement_status(&self) -> AgreementStatus {
        let (certified, certified_at) = self.certified;
        let activation_allowed = certified == 0 || self.revisions.may_activate();
        AgreementStatus {
            certified,
            certified_at,
            activation_allowed,
            competing_batch_at: self.competing_batch_at,
        }
    }

    /// When the next batch may be built; `None` while this machine's state is behind.
    pub(super) fn batch_due(&self) -> Option<Duration> {
        let is_current = self.ledger.number() == self.certified.0;
        self.sequencer.due(&self.agreement_status()).filter(|_| is_current)
    }

    fn propose_next(&mut self, now: Duration, out: &mut Vec<ControlOutput>) {
        if self.batch_due().is_none_or(|due| now < due) {
            return;
        }
        let agreement_status = self.agreement_status();
        let signer = &self.revisions.signer().0;
        let (ledger, outcomes, check) = (&self.ledger, &self.outcomes, &mut self.state_check);
        let context = BuildContext { ledger, outcomes, signer, check };
        let (proposal, replies) = self.sequencer.build(now, &agreement_status, context, &mut self.rng);
        for reply in replies {
            self.send_rejection(reply, out);
        }
        if let Some(proposal) = proposal {
            self.propose(now, proposal, out);
        }
    }

    /// Sends a batch to all machines and proposes its summary as the next revision.
    fn propose(&mut self, now: Duration, proposal: Proposal, out: &mut Vec<ControlOutput>) {
        let (summary, bytes) = (proposal.built.summary, proposal.built.bytes);
        let local_id = self.config.machine;
        for peer in self.signer().members().iter().copied().filter(|peer| *peer != local_id) {
            let bytes = bytes.clone();
            out.push(ControlOutput::ToPeer(peer, PeerMessage::Batch { summary, bytes }));
        }
        let (number, before) = self.revisions.next();
        let inserted = self.insert_batch(summary, bytes).filter(|_| number == proposal.number);
        let Some(text) = inserted else { return self.sequencer.on_proposal_failed(now) };
        out.extend(self.batches.take_to_store(&text).map(ControlOutput::Store));
        self.evaluate(now, &text, out);
        let head = Head::new(number, before, local_id, &summary.text());
        let signed = Signed { head, signature: self.signer().sign(&head.signed_bytes()) };
        let mut member_outputs = Vec::new();
        if self.revisions.push(now, signed, Arc::from(summary.text().to_vec()), &mut member_outputs).is_err()
        {
            self.sequencer.on_proposal_failed(now);
        }
        self.execute(now, member_outputs, out);
    }
}

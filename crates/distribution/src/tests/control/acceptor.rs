//! Tests of what an acceptor votes for: only a batch that it has, whose changes are all admitted, and that
//! results in the root of its summary.

use std::time::Duration;

use badgerledge_revisions::message::Message;
use badgerledge_revisions::{Ballot, Head};

use super::super::edits::{entry, put};
use super::super::sample::change;
use super::super::signer::DigestSigner;
use crate::change::{Batch, Change, Summary};
use crate::control::{Config, ControlMachine, ControlOutput, Stored, StoredItem};
use crate::message::PeerMessage;
use crate::state::State;
use crate::{MachineId, Signed, Signer};

const ACCEPTORS: MachineId = 3;
/// The machine that proposes.
const PROPOSER: MachineId = 1;

fn genesis() -> State {
    State::from_entries((0..9).map(|n| entry(&format!("title {n}"), b"old"))).unwrap()
}

struct Acceptor {
    machine: ControlMachine<DigestSigner>,
    now: Duration,
}

impl Acceptor {
    fn new() -> Self {
        let now = Duration::from_secs(1000);
        let signer = DigestSigner::new(0, ACCEPTORS);
        let machine = ControlMachine::new(Config::new(0, 1), signer, Stored::founding(), genesis(), 1, now);
        Self { machine, now }
    }

    fn receive(&mut self, message: PeerMessage) -> Vec<ControlOutput> {
        let mut out = Vec::new();
        self.machine.on_peer_message(self.now, PROPOSER, message, &mut out);
        out
    }

    fn receive_agreement(&mut self, message: Message) -> Vec<ControlOutput> {
        self.receive(PeerMessage::Agreement(message.write()))
    }

    /// Proposes a summary as the next revision, and returns the acceptor's outputs.
    fn propose(&mut self, round: u32, summary: &Summary) -> Vec<ControlOutput> {
        let head = Head::new(1, [0; 32], PROPOSER, &summary.text());
        let signature = DigestSigner::new(PROPOSER, ACCEPTORS).sign(&head.signed_bytes());
        let ballot = Ballot { round, proposer: PROPOSER, incarnation: 1 };
        self.receive_agreement(Message::Prepare { number: 1, ballot });
        self.receive_agreement(Message::Head(Signed { head, signature }));
        self.receive_agreement(Message::Accept { number: 1, ballot, digest: head.digest() })
    }
}

fn has_vote(out: &[ControlOutput]) -> bool {
    out.iter().any(|output| match output {
        ControlOutput::ToPeer(_, PeerMessage::Agreement(bytes)) => {
            matches!(Message::read(bytes), Some(Message::Vote(_)))
        }
        _ => false,
    })
}

fn requests_batch(out: &[ControlOutput]) -> bool {
    out.iter().any(|output| matches!(output, ControlOutput::ToPeer(PROPOSER, PeerMessage::GetBatch { .. })))
}

/// The summary and encoding of a batch of these changes, as its proposer sends them.
fn batch_of(number: u32, previous: &State, changes: Vec<Change>) -> (Summary, Vec<u8>) {
    let batch = Batch { number, previous_root: previous.root(), changes };
    let mut state = previous.clone();
    for change in &batch.changes {
        state.apply(&change.edits).unwrap();
        let sequence = change.id.sequence.to_be_bytes().to_vec();
        let key = crate::change::author_key(change.id.author);
        state.apply(&[crate::state::Edit { key, value: Some(sequence) }]).unwrap();
    }
    let bytes = batch.encode();
    (Summary::of(state.root(), &bytes), bytes)
}

#[test]
fn it_stores_a_valid_batch_and_then_votes_for_it() {
    let (summary, bytes) = batch_of(1, &genesis(), vec![change(1, 1, 0, vec![put("title 1", "new")])]);
    let mut acceptor = Acceptor::new();
    let without_batch = acceptor.propose(1, &summary);
    assert!(!has_vote(&without_batch) && requests_batch(&without_batch));
    let out = acceptor.receive(PeerMessage::Batch { summary, bytes: bytes.clone() });
    let stored = StoredItem::Batch { number: 1, summary, bytes };
    assert!(out.contains(&ControlOutput::Store(stored)));
    let with_batch = acceptor.propose(2, &summary);
    assert!(has_vote(&with_batch));
    let vote = with_batch.iter().position(|output| has_vote(std::slice::from_ref(output)));
    let agreement = |output: &ControlOutput| matches!(output, ControlOutput::Store(StoredItem::Agreement(_)));
    assert!(with_batch.iter().position(agreement) < vote, "its vote must be stored before it is sent");
}

#[test]
fn it_votes_for_no_invalid_batch() {
    let valid = || change(1, 1, 0, vec![put("title 1", "new")]);
    let mut forged = valid();
    forged.signature[5] ^= 1;
    let mut reserved = vec![put("title 1", "new")];
    reserved[0].key = "\0author/1".to_owned();
    let other = State::from_entries([entry("title 1", b"other")]).unwrap();
    let (mut wrong_root, bytes) = batch_of(1, &genesis(), vec![valid()]);
    wrong_root.root[0] ^= 1;
    let cases = [
        ("a forged change", batch_of(1, &genesis(), vec![forged])),
        ("a base that does not exist", batch_of(1, &genesis(), vec![change(1, 1, 5, valid().edits)])),
        ("a reserved key", batch_of(1, &genesis(), vec![change(1, 1, 0, reserved)])),
        ("a change twice", batch_of(1, &genesis(), vec![valid(), valid()])),
        ("two changes of one key", batch_of(1, &genesis(), vec![valid(), change(2, 1, 0, valid().edits)])),
        ("no changes", batch_of(1, &genesis(), vec![])),
        ("another state", batch_of(1, &other, vec![valid()])),
        ("another number", batch_of(2, &genesis(), vec![valid()])),
        ("another root", (wrong_root, bytes)),
    ];
    for (case, (summary, bytes)) in cases {
        let mut acceptor = Acceptor::new();
        acceptor.receive(PeerMessage::Batch { summary, bytes });
        assert!(!has_vote(&acceptor.propose(1, &summary)), "{case}");
        acceptor.now += Duration::from_secs(1);
        assert!(!has_vote(&acceptor.propose(2, &summary)), "{case}, second proposal");
        // It still votes for a valid batch.
        let (summary, bytes) = batch_of(1, &genesis(), vec![valid()]);
        acceptor.receive(PeerMessage::Batch { summary, bytes });
        assert!(has_vote(&acceptor.propose(3, &summary)), "after {case}");
    }
}

/// A head signed by another machine than its proposer is rejected, and so are bytes that do not match the
/// summary.
#[test]
fn it_rejects_heads_and_batches_that_do_not_match() {
    let (summary, bytes) = batch_of(1, &genesis(), vec![change(1, 1, 0, vec![put("title 1", "new")])]);
    let mut acceptor = Acceptor::new();
    let mut truncated = bytes.clone();
    truncated.pop();
    acceptor.receive(PeerMessage::Batch { summary, bytes: truncated });
    assert!(!has_vote(&acceptor.propose(1, &summary)));
    acceptor.receive(PeerMessage::Batch { summary, bytes });
    let head = Head::new(1, [0; 32], PROPOSER, &summary.text());
    let signature = DigestSigner::new(2, ACCEPTORS).sign(&head.signed_bytes());
    let ballot = Ballot { round: 9, proposer: PROPOSER, incarnation: 1 };
    let mut other_acceptor = Acceptor::new();
    other_acceptor.receive_agreement(Message::Prepare { number: 1, ballot });
    other_acceptor.receive_agreement(Message::Head(Signed { head, signature }));
    assert!(!has_vote(&other_acceptor.receive_agreement(Message::Accept {
        number: 1,
        ballot,
        digest: head.digest()
    })));
}

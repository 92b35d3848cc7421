//! What an acceptor votes for: only a batch that it holds, all changes of which are admitted, and that leads to the root that is
//! named.

use std::time::Duration;

use badgerledge_revisions::message::Message;
use badgerledge_revisions::{Ballot, Head};

use super::super::edits::{entry, put};
use super::super::hand::DigestHand;
use super::super::sample::change;
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
    machine: ControlMachine<DigestHand>,
    now: Duration,
}

impl Acceptor {
    fn new() -> Self {
        let now = Duration::from_secs(1000);
        let hand = DigestHand::new(0, ACCEPTORS);
        let machine = ControlMachine::new(Config::new(0, 1), hand, Stored::founding(), genesis(), 1, now);
        Self { machine, now }
    }

    fn hear(&mut self, message: PeerMessage) -> Vec<ControlOutput> {
        let mut out = Vec::new();
        self.machine.peer_message(self.now, PROPOSER, message, &mut out);
        out
    }

    fn hear_word(&mut self, word: Message) -> Vec<ControlOutput> {
        self.hear(PeerMessage::Agreement(word.write()))
    }

    /// Proposes a summary as the next revision's, and gives what the acceptor does about it.
    fn propose(&mut self, round: u32, summary: &Summary) -> Vec<ControlOutput> {
        let head = Head::new(1, [0; 32], PROPOSER, &summary.text());
        let signature = DigestHand::new(PROPOSER, ACCEPTORS).sign(&head.signed_bytes());
        let ballot = Ballot { round, proposer: PROPOSER, incarnation: 1 };
        self.hear_word(Message::Prepare { number: 1, ballot });
        self.hear_word(Message::Head(Signed { head, signature }));
        self.hear_word(Message::Accept { number: 1, ballot, digest: head.digest() })
    }
}

fn votes(out: &[ControlOutput]) -> bool {
    out.iter().any(|output| match output {
        ControlOutput::ToPeer(_, PeerMessage::Agreement(bytes)) => {
            matches!(Message::read(bytes), Some(Message::Vote(_)))
        }
        _ => false,
    })
}

fn asks_for_batch(out: &[ControlOutput]) -> bool {
    out.iter().any(|output| matches!(output, ControlOutput::ToPeer(PROPOSER, PeerMessage::GetBatch { .. })))
}

/// A batch of these changes as its proposer sends it.
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
fn it_votes_once_it_holds_a_batch_in_order_and_stores_it_before() {
    let (summary, bytes) = batch_of(1, &genesis(), vec![change(1, 1, 0, vec![put("title 1", "new")])]);
    let mut acceptor = Acceptor::new();
    let without = acceptor.propose(1, &summary);
    assert!(!votes(&without) && asks_for_batch(&without));
    let out = acceptor.hear(PeerMessage::Batch { summary, bytes: bytes.clone() });
    let stored = StoredItem::Batch { number: 1, summary, bytes };
    assert!(out.contains(&ControlOutput::Store(stored)));
    let with = acceptor.propose(2, &summary);
    assert!(votes(&with));
    let vote = with.iter().position(|output| votes(std::slice::from_ref(output)));
    let agreement = |output: &ControlOutput| matches!(output, ControlOutput::Store(StoredItem::Agreement(_)));
    assert!(with.iter().position(agreement) < vote, "what it signed is on its disk before");
}

#[test]
fn it_votes_for_no_batch_that_is_not_in_order() {
    let good = || change(1, 1, 0, vec![put("title 1", "new")]);
    let mut forged = good();
    forged.signature[5] ^= 1;
    let mut reserved = vec![put("title 1", "new")];
    reserved[0].key = "\0author/1".to_owned();
    let other = State::from_entries([entry("title 1", b"other")]).unwrap();
    let (mut wrong_root, bytes) = batch_of(1, &genesis(), vec![good()]);
    wrong_root.root[0] ^= 1;
    let cases = [
        ("a forged change", batch_of(1, &genesis(), vec![forged])),
        ("a base that there is not", batch_of(1, &genesis(), vec![change(1, 1, 5, good().edits)])),
        ("the protocol's own key", batch_of(1, &genesis(), vec![change(1, 1, 0, reserved)])),
        ("a change twice", batch_of(1, &genesis(), vec![good(), good()])),
        ("two of one key", batch_of(1, &genesis(), vec![good(), change(2, 1, 0, good().edits)])),
        ("no changes", batch_of(1, &genesis(), vec![])),
        ("another state", batch_of(1, &other, vec![good()])),
        ("another number", batch_of(2, &genesis(), vec![good()])),
        ("another root", (wrong_root, bytes)),
    ];
    for (case, (summary, bytes)) in cases {
        let mut acceptor = Acceptor::new();
        acceptor.hear(PeerMessage::Batch { summary, bytes });
        assert!(!votes(&acceptor.propose(1, &summary)), "{case}");
        acceptor.now += Duration::from_secs(1);
        assert!(!votes(&acceptor.propose(2, &summary)), "{case}, asked again");
        // It goes on with a good one.
        let (summary, bytes) = batch_of(1, &genesis(), vec![good()]);
        acceptor.hear(PeerMessage::Batch { summary, bytes });
        assert!(votes(&acceptor.propose(3, &summary)), "after {case}");
    }
}

/// A head that another machine signed is none of the proposer's; bytes that are not the batch that a summary names are
/// none.
#[test]
fn it_takes_no_head_or_batch_that_is_not_what_it_says() {
    let (summary, bytes) = batch_of(1, &genesis(), vec![change(1, 1, 0, vec![put("title 1", "new")])]);
    let mut acceptor = Acceptor::new();
    let mut torn = bytes.clone();
    torn.pop();
    acceptor.hear(PeerMessage::Batch { summary, bytes: torn });
    assert!(!votes(&acceptor.propose(1, &summary)));
    acceptor.hear(PeerMessage::Batch { summary, bytes });
    let head = Head::new(1, [0; 32], PROPOSER, &summary.text());
    let signature = DigestHand::new(2, ACCEPTORS).sign(&head.signed_bytes());
    let ballot = Ballot { round: 9, proposer: PROPOSER, incarnation: 1 };
    let mut fresh = Acceptor::new();
    fresh.hear_word(Message::Prepare { number: 1, ballot });
    fresh.hear_word(Message::Head(Signed { head, signature }));
    assert!(!votes(&fresh.hear_word(Message::Accept { number: 1, ballot, digest: head.digest() })));
}

//! Tests of a relay on its own: what it sends to each watcher, and its limits. There is one control machine,
//! which is the only acceptor.

use std::collections::BTreeMap;
use std::time::Duration;

use super::edits::{entry, put};
use super::sample::change;
use super::signer::DigestSigner;
use crate::control::{CloseReason, Config, ConnectionId, ControlMachine, ControlOutput, Stored};
use crate::lease::{leaf, Grant, NonceTree};
use crate::message::{ControlStatus, PeerMessage, ToRelay, ToWatcher};
use crate::state::{Edit, State};
use crate::{ControllerId, Digest, Number};

fn duration_s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

struct Harness {
    machine: ControlMachine<DigestSigner>,
    now: Duration,
    sent: BTreeMap<ConnectionId, Vec<ToWatcher>>,
    closed: BTreeMap<ConnectionId, CloseReason>,
    pushes: u64,
}

/// A state of entries whose values have `bytes` bytes.
fn state(entries: usize, bytes: usize) -> State {
    State::from_entries((0..entries).map(|n| entry(&format!("title {n}"), &vec![7; bytes]))).unwrap()
}

impl Harness {
    fn new(config: Config, genesis: State) -> Self {
        let now = Duration::from_secs(1000);
        let machine =
            ControlMachine::new(config, DigestSigner::new(0, 1), Stored::founding(), genesis, 5, now);
        Self { machine, now, sent: BTreeMap::new(), closed: BTreeMap::new(), pushes: 0 }
    }

    fn small() -> Self {
        Self::new(Config::new(0, 1), state(20, 10))
    }

    fn call(
        &mut self, call: impl FnOnce(&mut ControlMachine<DigestSigner>, Duration, &mut Vec<ControlOutput>),
    ) {
        let mut out = Vec::new();
        call(&mut self.machine, self.now, &mut out);
        for output in out {
            match output {
                ControlOutput::ToWatcher(to, message) => self.sent.entry(to).or_default().push(*message),
                ControlOutput::CloseWatcher(connection, reason) => {
                    self.closed.insert(connection, reason);
                }
                ControlOutput::Store(_) | ControlOutput::ToPeer(..) => {}
            }
        }
    }

    fn send(&mut self, connection: ConnectionId, message: ToRelay) {
        self.call(|machine, now, out| machine.on_watcher_message(now, connection, message, out));
    }

    fn run(&mut self, seconds: f64) {
        let until = self.now + duration_s(seconds);
        while self.now < until {
            self.now = until.min(self.machine.next_poll_at().max(self.now + duration_s(0.001)));
            self.call(ControlMachine::poll);
        }
    }

    fn open(&mut self, connection: ConnectionId) {
        self.call(|machine, now, out| machine.on_watcher_connected(now, connection, out));
    }

    fn hello(&mut self, connection: ConnectionId, held: Number, root: Digest) {
        self.open(connection);
        let controller = connection as ControllerId;
        self.send(connection, ToRelay::Hello { controller, active: held, held, root });
    }

    /// Connects a watcher that has prepared the machine's latest revision.
    fn watcher(&mut self, connection: ConnectionId) {
        let (held, root) = (self.machine.number(), self.machine.state().root());
        self.hello(connection, held, root);
    }

    fn push(&mut self, edits: Vec<Edit>) {
        self.pushes += 1;
        let change = change(1, self.pushes, self.machine.number(), edits);
        let tool = 1_000_000 + self.pushes;
        self.open(tool);
        self.send(tool, ToRelay::Push(change));
        self.run(4.0);
    }

    fn take_sent(&mut self, connection: ConnectionId) -> Vec<ToWatcher> {
        self.sent.remove(&connection).unwrap_or_default()
    }

    fn status(&self) -> ControlStatus {
        self.machine.status(self.now)
    }
}

/// The base, the number and the count of edits of each delta.
fn deltas(sent: &[ToWatcher]) -> Vec<(Number, Number, usize)> {
    let delta = |message: &ToWatcher| match message {
        ToWatcher::Delta { certificate, base, edits, .. } => Some((*base, certificate.number(), edits.len())),
        _ => None,
    };
    sent.iter().filter_map(delta).collect()
}

fn activated(sent: &[ToWatcher]) -> Vec<Number> {
    let number = |message: &ToWatcher| match message {
        ToWatcher::Activate { number, .. } => Some(*number),
        _ => None,
    };
    sent.iter().filter_map(number).collect()
}

#[test]
fn one_update_is_outstanding_and_later_revisions_are_merged() {
    let mut harness = Harness::small();
    harness.watcher(1);
    assert_eq!(harness.take_sent(1), [ToWatcher::Welcome { relay: 0, number: 0 }]);
    for value in ["a", "b", "c"] {
        harness.push(vec![put("title 1", value), put(&format!("title {value}"), "x")]);
    }
    // Three edits: two of titles, and the author's sequence number.
    assert_eq!(deltas(&harness.take_sent(1)), [(0, 1, 3)]);
    harness.send(1, ToRelay::Prepared { number: 1 });
    // The merged delta has one edit of each key, regardless of the number of revisions.
    assert_eq!(deltas(&harness.take_sent(1)), [(1, 3, 4)]);
    harness.send(1, ToRelay::Prepared { number: 3 });
    let sent = harness.take_sent(1);
    assert_eq!((deltas(&sent), activated(&sent)), (vec![], vec![3]));
}

/// A change waits for all watchers, but at most two seconds.
#[test]
fn a_silent_watcher_is_waited_for_a_limited_time_and_listed() {
    let mut harness = Harness::small();
    (1..4).for_each(|connection| harness.watcher(connection));
    harness.pushes = 1;
    let change = change(1, 1, 0, vec![put("title 1", "a")]);
    harness.open(50);
    harness.send(50, ToRelay::Push(change));
    harness.run(0.5);
    for connection in [1, 2] {
        harness.send(connection, ToRelay::Prepared { number: 1 });
    }
    let status = harness.status();
    assert_eq!((status.certified, status.active, status.watchers), (1, 0, 3));
    assert_eq!((status.prepared, status.lagging), (2, vec![3]));
    harness.run(2.0);
    assert_eq!(harness.status().active, 1);
    assert_eq!(activated(&harness.take_sent(1)), [1]);
    assert_eq!(activated(&harness.take_sent(3)), [] as [Number; 0]);
    harness.send(3, ToRelay::Prepared { number: 1 });
    assert_eq!(activated(&harness.take_sent(3)), [1]);
}

#[test]
fn a_watcher_that_cannot_act_on_a_revision_delays_nothing() {
    let mut harness = Harness::small();
    (1..3).for_each(|connection| harness.watcher(connection));
    harness.open(50);
    harness.send(50, ToRelay::Push(change(1, 1, 0, vec![put("title 1", "a")])));
    harness.run(0.5);
    harness.send(1, ToRelay::Prepared { number: 1 });
    harness.send(2, ToRelay::Unfit { number: 1, reason: "no".to_owned() });
    harness.run(0.1);
    assert_eq!(harness.status().active, 1);
    // The watcher is still offered the next revision.
    harness.take_sent(2);
    harness.pushes = 1;
    harness.push(vec![put("title 1", "b")]);
    assert_eq!(deltas(&harness.take_sent(2)).len(), 1);
}

/// 617 watchers of a zone connect at once: some are admitted immediately, others are queued, and the rest are
/// told to retry, at different times.
#[test]
fn the_watchers_of_a_zone_are_admitted_at_a_limited_rate() {
    let mut harness = Harness::small();
    (1..=617).for_each(|connection| harness.watcher(connection));
    let admitted = |harness: &Harness| harness.status().watchers;
    let initially_admitted = admitted(&harness);
    assert!((100..110).contains(&initially_admitted), "{initially_admitted}");
    let mut retry_times_ms: Vec<u32> = Vec::new();
    for connection in 1..=617 {
        for message in harness.take_sent(connection) {
            if let ToWatcher::Busy { retry_after_ms } = message {
                retry_times_ms.push(retry_after_ms);
            }
        }
    }
    assert_eq!(retry_times_ms.len(), harness.closed.len());
    let seconds: std::collections::BTreeSet<u32> = retry_times_ms.iter().map(|at| at / 1000).collect();
    assert!(seconds.len() >= 5, "they retry in seconds {seconds:?}");
    harness.run(1.5);
    assert_eq!(admitted(&harness) as usize, 617 - retry_times_ms.len());
    // Each watcher that retries at the time it was given is admitted.
    let mut retries: Vec<(u32, u64)> = retry_times_ms.into_iter().zip(2000..).collect();
    retries.sort_unstable();
    let started_at = harness.now;
    for (at, connection) in retries {
        let wait = (started_at + Duration::from_millis(at.into())).saturating_sub(harness.now);
        harness.run(wait.as_secs_f64());
        harness.watcher(connection);
    }
    harness.run(1.5);
    assert_eq!(admitted(&harness), 617);
}

#[test]
fn connections_are_limited_and_a_controller_has_one() {
    let mut harness = Harness::new(Config { max_connections: 3, ..Config::new(0, 1) }, state(5, 5));
    (1..=4).for_each(|connection| harness.open(connection));
    assert_eq!(harness.closed, BTreeMap::from([(4, CloseReason::Full(3))]));
    let root = harness.machine.state().root();
    for connection in [1, 2] {
        harness.send(connection, ToRelay::Hello { controller: 7, active: 0, held: 0, root });
    }
    assert_eq!(harness.closed.get(&1), Some(&CloseReason::Replaced));
    assert_eq!(harness.status().watchers, 1);
}

#[test]
fn invalid_messages_and_floods_close_the_connection() {
    let root = [0; 32];
    let hello = ToRelay::Hello { controller: 1, active: 0, held: 0, root };
    let before_hello = [
        ToRelay::Prepared { number: 1 },
        ToRelay::RequestLease { nonce: [1; 16], active: 0 },
        ToRelay::GetGroups { groups: vec![0] },
        ToRelay::Unfit { number: 1, reason: String::new() },
    ];
    for message in before_hello {
        let mut harness = Harness::small();
        harness.open(1);
        harness.send(1, message.clone());
        assert_eq!(harness.closed.get(&1), Some(&CloseReason::Protocol), "{message:?}");
    }
    let after_hello = [
        (ToRelay::GetGroups { groups: vec![64] }, CloseReason::Protocol),
        (ToRelay::GetBuckets { buckets: vec![4096] }, CloseReason::Protocol),
        (ToRelay::Hello { controller: 2, active: 0, held: 0, root }, CloseReason::Protocol),
    ];
    for (message, reason) in after_hello {
        let mut harness = Harness::small();
        harness.open(1);
        harness.send(1, hello.clone());
        harness.send(1, message.clone());
        assert_eq!(harness.closed.get(&1), Some(&reason), "{message:?}");
    }
    let mut harness = Harness::small();
    harness.open(1);
    (0..401).for_each(|_| harness.send(1, ToRelay::GetStatus));
    assert_eq!(harness.closed.get(&1), Some(&CloseReason::Flood));
}

#[test]
fn silent_and_unacknowledged_connections_are_closed() {
    let mut harness = Harness::small();
    (1..3).for_each(|connection| harness.watcher(connection));
    harness.push(vec![put("title 1", "a")]);
    harness.send(1, ToRelay::Prepared { number: 1 });
    for second in 0..32u8 {
        // Both request leases; the second one never reports that it has prepared the revision.
        for connection in [1, 2] {
            harness.send(connection, ToRelay::RequestLease { nonce: [second; 16], active: 0 });
        }
        harness.run(1.0);
    }
    assert_eq!(harness.closed, BTreeMap::from([(2, CloseReason::Silent), (1_000_001, CloseReason::Silent)]));
    harness.run(31.0);
    assert_eq!(harness.closed.get(&1), Some(&CloseReason::Silent));
}

/// A snapshot is sent at 8 kB/s after the first 256 kB.
#[test]
fn a_snapshot_is_sent_at_a_limited_rate() {
    let mut harness = Harness::new(Config::new(0, 1), state(6000, 100));
    harness.push(vec![put("title 1", "a")]);
    harness.hello(1, 0, [9; 32]);
    let sent = harness.take_sent(1);
    assert!(matches!(sent[..], [ToWatcher::Welcome { .. }, ToWatcher::Snapshot { .. }]), "{sent:?}");
    let mut bytes = 0;
    let started_at = harness.now;
    for chunk in (0..4096u16).collect::<Vec<_>>().chunks(32) {
        harness.send(1, ToRelay::GetBuckets { buckets: chunk.to_vec() });
        let mut received = 0;
        while received < 32 {
            for message in harness.take_sent(1) {
                if let ToWatcher::Bucket { entries, .. } = message {
                    received += 1;
                    bytes += entries.iter().map(|entry| entry.key.len() + entry.value.len()).sum::<usize>();
                }
            }
            if received < 32 {
                harness.run(0.25);
            }
        }
        let seconds = (harness.now - started_at).as_secs_f64();
        assert!(bytes as f64 <= 256.0 * 1024.0 + 8.0 * 1024.0 * (seconds + 1.0), "{bytes} in {seconds} s");
    }
    let seconds = (harness.now - started_at).as_secs_f64();
    assert!(bytes > 600_000 && seconds < 70.0, "{bytes} bytes in {seconds} s");
    assert!(!harness.closed.contains_key(&1));
}

/// All nonces that arrive within a quarter of a second are in one tree, and each watcher's proof is valid for
/// its active revision.
#[test]
fn lease_requests_are_batched_and_each_proof_is_valid() {
    let mut harness = Harness::small();
    (1..=9).for_each(|connection| harness.watcher(connection));
    harness.run(0.3);
    (1..=9u8).for_each(|n| harness.send(n.into(), ToRelay::RequestLease { nonce: [n; 16], active: 0 }));
    harness.run(0.3);
    let signer = DigestSigner::new(0, 1);
    let mut roots = std::collections::BTreeSet::new();
    for connection in 1..=9 {
        let sent = harness.take_sent(connection);
        let proof = sent.iter().find_map(|message| match message {
            ToWatcher::Lease(proof) => Some(proof),
            _ => None,
        });
        let proof = proof.expect("a lease");
        assert_eq!(proof.check(connection as ControllerId, 0, &signer), Ok(()));
        roots.insert(proof.grants[0].root);
    }
    assert_eq!(roots.len(), 1);
}

/// Once an acceptor has allowed a revision, its grants name it, so that a watcher with an older active
/// revision gets no lease.
#[test]
fn a_grant_names_the_allowed_revision() {
    let mut harness = Harness::small();
    harness.watcher(1);
    harness.push(vec![put("title 1", "a")]);
    assert_eq!(harness.status().active, 1);
    harness.take_sent(1);
    harness.send(1, ToRelay::RequestLease { nonce: [1; 16], active: 0 });
    harness.run(2.0);
    let sent = harness.take_sent(1);
    let behind = sent.iter().any(|message| match message {
        ToWatcher::Lease(proof) => proof.check(1, 0, &DigestSigner::new(0, 1)).is_err(),
        _ => false,
    });
    assert!(behind, "{sent:?}");
}

#[test]
fn invalid_changes_are_rejected_with_a_reason() {
    use crate::change::Rejection;
    let mut harness = Harness::small();
    harness.open(1);
    let mut forged = change(1, 1, 0, vec![put("title 1", "a")]);
    forged.signature[0] ^= 1;
    let cases = [(forged, Rejection::Author(1)), (change(1, 1, 0, vec![]), Rejection::Empty)];
    for (change, rejection) in cases {
        harness.send(1, ToRelay::Push(change.clone()));
        harness.run(1.0);
        assert_eq!(
            harness.take_sent(1),
            [ToWatcher::PushOutcome { change: change.id, outcome: Err(rejection) }]
        );
    }
    let before = harness.machine.state().root();
    harness.run(12.0);
    assert_eq!((harness.machine.number(), harness.machine.state().root()), (0, before));
}

/// Changes beyond the limit of pending ones are rejected as busy immediately.
#[test]
fn changes_beyond_the_limit_are_rejected_as_busy() {
    use crate::change::Rejection;
    let mut harness = Harness::small();
    let mut busy = 0;
    for n in 0..600u64 {
        let tool = 100 + n;
        harness.open(tool);
        harness.send(tool, ToRelay::Push(change(n as u16, 1, 0, vec![put(&format!("key {n}"), "a")])));
        let messages = harness.take_sent(tool);
        busy += usize::from(messages.iter().any(|message| {
            matches!(message, ToWatcher::PushOutcome { outcome: Err(Rejection::Busy(_)), .. })
        }));
    }
    assert_eq!(busy, 600 - 512);
    harness.run(5.0);
    assert_eq!(harness.machine.state().len(), 20 + 512 * 2);
}

/// A grant that names a later revision than the watcher's, for instance from an acceptor that lost its disk,
/// does not count: the others are a quorum without it, in any order of arrival. If they are not, the watcher
/// gets the refusal a moment later.
#[test]
fn grants_that_name_a_later_revision_are_not_counted() {
    let signer = |me| DigestSigner::new(me, 3);
    for (third, is_granted) in [(0, true), (5, false)] {
        let now = Duration::from_secs(1000);
        let (config, genesis) = (Config::new(0, 1), state(5, 5));
        let machine = ControlMachine::new(config, signer(0), Stored::founding(), genesis, 5, now);
        let (sent, closed) = (BTreeMap::new(), BTreeMap::new());
        let mut harness = Harness { machine, now, sent, closed, pushes: 0 };
        harness.watcher(1);
        harness.run(0.3);
        harness.send(1, ToRelay::RequestLease { nonce: [1; 16], active: 0 });
        harness.run(0.3);
        let root = NonceTree::new(vec![leaf(1, &[1; 16])]).root();
        let proof_of = |sent: Vec<ToWatcher>| {
            sent.into_iter().find_map(|message| match message {
                ToWatcher::Lease(proof) => Some(proof),
                _ => None,
            })
        };
        for (acceptor, allowed) in [(1, 5), (2, third)] {
            let grant = PeerMessage::Grant(Grant::sign(&signer(acceptor), acceptor, root, allowed));
            harness.call(|machine, now, out| machine.on_peer_message(now, acceptor, grant, out));
        }
        let immediate = proof_of(harness.take_sent(1));
        assert_eq!(immediate.is_some(), is_granted);
        harness.run(1.0);
        let proof = immediate.or_else(|| proof_of(harness.take_sent(1))).expect("an answer");
        assert_eq!(proof.check(1, 0, &signer(0)).is_ok(), is_granted);
    }
}

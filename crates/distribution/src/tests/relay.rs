//! A relay by itself: what it sends to each watcher, and the bounds of it. One control machine, which is the only acceptor.

use std::collections::BTreeMap;
use std::time::Duration;

use super::edits::{entry, put};
use super::hand::DigestHand;
use super::sample::change;
use crate::control::{CloseReason, Config, ConnectionId, ControlMachine, ControlOutput, Stored};
use crate::lease::{leaf, Grant, NonceTree};
use crate::message::{ControlStatus, PeerMessage, ToRelay, ToWatcher};
use crate::state::{Edit, State};
use crate::{ControllerId, Digest, Number};

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

struct Rig {
    machine: ControlMachine<DigestHand>,
    now: Duration,
    sent: BTreeMap<ConnectionId, Vec<ToWatcher>>,
    closed: BTreeMap<ConnectionId, CloseReason>,
    pushes: u64,
}

/// A state of entries of so many bytes.
fn state(entries: usize, bytes: usize) -> State {
    State::from_entries((0..entries).map(|n| entry(&format!("title {n}"), &vec![7; bytes]))).unwrap()
}

impl Rig {
    fn new(config: Config, genesis: State) -> Self {
        let now = Duration::from_secs(1000);
        let machine = ControlMachine::new(config, DigestHand::new(0, 1), Stored::founding(), genesis, 5, now);
        Self { machine, now, sent: BTreeMap::new(), closed: BTreeMap::new(), pushes: 0 }
    }

    fn small() -> Self {
        Self::new(Config::new(0, 1), state(20, 10))
    }

    fn act(&mut self, act: impl FnOnce(&mut ControlMachine<DigestHand>, Duration, &mut Vec<ControlOutput>)) {
        let mut out = Vec::new();
        act(&mut self.machine, self.now, &mut out);
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

    fn say(&mut self, connection: ConnectionId, message: ToRelay) {
        self.act(|machine, now, out| machine.watcher_message(now, connection, message, out));
    }

    fn run(&mut self, seconds: f64) {
        let until = self.now + secs(seconds);
        while self.now < until {
            self.now = until.min(self.machine.next_due().max(self.now + secs(0.001)));
            self.act(ControlMachine::tend);
        }
    }

    fn open(&mut self, connection: ConnectionId) {
        self.act(|machine, now, out| machine.watcher_opened(now, connection, out));
    }

    fn hello(&mut self, connection: ConnectionId, held: Number, root: Digest) {
        self.open(connection);
        let controller = connection as ControllerId;
        self.say(connection, ToRelay::Hello { controller, active: held, held, root });
    }

    /// A watcher that holds what the machine holds.
    fn watcher(&mut self, connection: ConnectionId) {
        let (held, root) = (self.machine.number(), self.machine.state().root());
        self.hello(connection, held, root);
    }

    fn push(&mut self, edits: Vec<Edit>) {
        self.pushes += 1;
        let change = change(1, self.pushes, self.machine.number(), edits);
        let tool = 1_000_000 + self.pushes;
        self.open(tool);
        self.say(tool, ToRelay::Push(change));
        self.run(4.0);
    }

    fn take(&mut self, connection: ConnectionId) -> Vec<ToWatcher> {
        self.sent.remove(&connection).unwrap_or_default()
    }

    fn status(&self) -> ControlStatus {
        self.machine.status(self.now)
    }
}

/// The base, the number and how many edits.
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
fn one_update_is_outstanding_and_the_next_one_is_merged() {
    let mut rig = Rig::small();
    rig.watcher(1);
    assert_eq!(rig.take(1), [ToWatcher::Welcome { relay: 0, number: 0 }]);
    for value in ["a", "b", "c"] {
        rig.push(vec![put("title 1", value), put(&format!("title {value}"), "x")]);
    }
    // Two edits and the author's sequence number.
    assert_eq!(deltas(&rig.take(1)), [(0, 1, 3)]);
    rig.say(1, ToRelay::Prepared { number: 1 });
    // One edit of each key, whatever the number of revisions.
    assert_eq!(deltas(&rig.take(1)), [(1, 3, 4)]);
    rig.say(1, ToRelay::Prepared { number: 3 });
    let sent = rig.take(1);
    assert_eq!((deltas(&sent), activated(&sent)), (vec![], vec![3]));
}

/// A change waits for all watchers, no longer than two seconds for any.
#[test]
fn a_silent_watcher_is_waited_for_a_bounded_time_and_named() {
    let mut rig = Rig::small();
    (1..4).for_each(|connection| rig.watcher(connection));
    rig.pushes = 1;
    let change = change(1, 1, 0, vec![put("title 1", "a")]);
    rig.open(50);
    rig.say(50, ToRelay::Push(change));
    rig.run(0.5);
    for connection in [1, 2] {
        rig.say(connection, ToRelay::Prepared { number: 1 });
    }
    let status = rig.status();
    assert_eq!((status.certified, status.active, status.watchers), (1, 0, 3));
    assert_eq!((status.prepared, status.lagging), (2, vec![3]));
    rig.run(2.0);
    assert_eq!(rig.status().active, 1);
    assert_eq!(activated(&rig.take(1)), [1]);
    assert_eq!(activated(&rig.take(3)), [] as [Number; 0]);
    rig.say(3, ToRelay::Prepared { number: 1 });
    assert_eq!(activated(&rig.take(3)), [1]);
}

#[test]
fn a_watcher_whose_program_cannot_act_on_it_holds_nothing_up() {
    let mut rig = Rig::small();
    (1..3).for_each(|connection| rig.watcher(connection));
    rig.open(50);
    rig.say(50, ToRelay::Push(change(1, 1, 0, vec![put("title 1", "a")])));
    rig.run(0.5);
    rig.say(1, ToRelay::Prepared { number: 1 });
    rig.say(2, ToRelay::Unfit { number: 1, reason: "no".to_owned() });
    rig.run(0.1);
    assert_eq!(rig.status().active, 1);
    // It is offered the next one.
    rig.take(2);
    rig.pushes = 1;
    rig.push(vec![put("title 1", "b")]);
    assert_eq!(deltas(&rig.take(2)).len(), 1);
}

/// A zone's 617 at once: some come in at once, others in their turn, the rest are told when to come back, not all at once.
#[test]
fn a_zones_watchers_come_in_by_tokens() {
    let mut rig = Rig::small();
    (1..=617).for_each(|connection| rig.watcher(connection));
    let welcomed = |rig: &Rig| rig.status().watchers;
    let at_once = welcomed(&rig);
    assert!((100..110).contains(&at_once), "{at_once}");
    let mut returns: Vec<u32> = Vec::new();
    for connection in 1..=617 {
        for message in rig.take(connection) {
            if let ToWatcher::Busy { retry_after_ms } = message {
                returns.push(retry_after_ms);
            }
        }
    }
    assert_eq!(returns.len(), rig.closed.len());
    let seconds: std::collections::BTreeSet<u32> = returns.iter().map(|at| at / 1000).collect();
    assert!(seconds.len() >= 5, "they come back in {seconds:?}");
    rig.run(1.5);
    assert_eq!(welcomed(&rig) as usize, 617 - returns.len());
    // Each that comes back when it was told to is let in.
    let mut back: Vec<(u32, u64)> = returns.into_iter().zip(2000..).collect();
    back.sort_unstable();
    let begun = rig.now;
    for (at, connection) in back {
        let wait = (begun + Duration::from_millis(at.into())).saturating_sub(rig.now);
        rig.run(wait.as_secs_f64());
        rig.watcher(connection);
    }
    rig.run(1.5);
    assert_eq!(welcomed(&rig), 617);
}

#[test]
fn connections_are_bounded_and_a_controller_has_one() {
    let mut rig = Rig::new(Config { connections: 3, ..Config::new(0, 1) }, state(5, 5));
    (1..=4).for_each(|connection| rig.open(connection));
    assert_eq!(rig.closed, BTreeMap::from([(4, CloseReason::Full(3))]));
    let root = rig.machine.state().root();
    for connection in [1, 2] {
        rig.say(connection, ToRelay::Hello { controller: 7, active: 0, held: 0, root });
    }
    assert_eq!(rig.closed.get(&1), Some(&CloseReason::Replaced));
    assert_eq!(rig.status().watchers, 1);
}

#[test]
fn messages_out_of_place_and_floods_close_the_connection() {
    let root = [0; 32];
    let hello = ToRelay::Hello { controller: 1, active: 0, held: 0, root };
    let wrong = [
        ToRelay::Prepared { number: 1 },
        ToRelay::RequestLease { nonce: [1; 16], active: 0 },
        ToRelay::GetGroups { groups: vec![0] },
        ToRelay::Unfit { number: 1, reason: String::new() },
    ];
    for message in wrong {
        let mut rig = Rig::small();
        rig.open(1);
        rig.say(1, message.clone());
        assert_eq!(rig.closed.get(&1), Some(&CloseReason::Protocol), "{message:?}");
    }
    let after_hello = [
        (ToRelay::GetGroups { groups: vec![64] }, CloseReason::Protocol),
        (ToRelay::GetBuckets { buckets: vec![4096] }, CloseReason::Protocol),
        (ToRelay::Hello { controller: 2, active: 0, held: 0, root }, CloseReason::Protocol),
    ];
    for (message, reason) in after_hello {
        let mut rig = Rig::small();
        rig.open(1);
        rig.say(1, hello.clone());
        rig.say(1, message.clone());
        assert_eq!(rig.closed.get(&1), Some(&reason), "{message:?}");
    }
    let mut rig = Rig::small();
    rig.open(1);
    (0..401).for_each(|_| rig.say(1, ToRelay::GetStatus));
    assert_eq!(rig.closed.get(&1), Some(&CloseReason::Flood));
}

#[test]
fn who_says_nothing_or_does_not_acknowledge_is_closed() {
    let mut rig = Rig::small();
    (1..3).for_each(|connection| rig.watcher(connection));
    rig.push(vec![put("title 1", "a")]);
    rig.say(1, ToRelay::Prepared { number: 1 });
    for second in 0..32u8 {
        // Both ask for leases; the second one never says to have the revision.
        for connection in [1, 2] {
            rig.say(connection, ToRelay::RequestLease { nonce: [second; 16], active: 0 });
        }
        rig.run(1.0);
    }
    assert_eq!(rig.closed, BTreeMap::from([(2, CloseReason::Silent), (1_000_001, CloseReason::Silent)]));
    rig.run(31.0);
    assert_eq!(rig.closed.get(&1), Some(&CloseReason::Silent));
}

/// A snapshot goes out at 8 kB a second beyond the first 256 kB.
#[test]
fn a_snapshot_goes_at_a_bounded_rate() {
    let mut rig = Rig::new(Config::new(0, 1), state(6000, 100));
    rig.push(vec![put("title 1", "a")]);
    rig.hello(1, 0, [9; 32]);
    let sent = rig.take(1);
    assert!(matches!(sent[..], [ToWatcher::Welcome { .. }, ToWatcher::Snapshot { .. }]), "{sent:?}");
    let mut bytes = 0;
    let begun = rig.now;
    for chunk in (0..4096u16).collect::<Vec<_>>().chunks(32) {
        rig.say(1, ToRelay::GetBuckets { buckets: chunk.to_vec() });
        let mut came = 0;
        while came < 32 {
            for message in rig.take(1) {
                if let ToWatcher::Bucket { entries, .. } = message {
                    came += 1;
                    bytes += entries.iter().map(|entry| entry.key.len() + entry.value.len()).sum::<usize>();
                }
            }
            if came < 32 {
                rig.run(0.25);
            }
        }
        let seconds = (rig.now - begun).as_secs_f64();
        assert!(bytes as f64 <= 256.0 * 1024.0 + 8.0 * 1024.0 * (seconds + 1.0), "{bytes} in {seconds} s");
    }
    let seconds = (rig.now - begun).as_secs_f64();
    assert!(bytes > 600_000 && seconds < 70.0, "{bytes} bytes in {seconds} s");
    assert!(!rig.closed.contains_key(&1));
}

/// All nonces of a quarter of a second are one tree, and each watcher's proof holds for what it acts on.
#[test]
fn leases_are_gathered_and_each_proof_holds() {
    let mut rig = Rig::small();
    (1..=9).for_each(|connection| rig.watcher(connection));
    rig.run(0.3);
    (1..=9u8).for_each(|n| rig.say(n.into(), ToRelay::RequestLease { nonce: [n; 16], active: 0 }));
    rig.run(0.3);
    let hand = DigestHand::new(0, 1);
    let mut roots = std::collections::BTreeSet::new();
    for connection in 1..=9 {
        let sent = rig.take(connection);
        let proof = sent.iter().find_map(|message| match message {
            ToWatcher::Lease(proof) => Some(proof),
            _ => None,
        });
        let proof = proof.expect("a lease");
        assert_eq!(proof.check(connection as ControllerId, 0, &hand), Ok(()));
        roots.insert(proof.grants[0].root);
    }
    assert_eq!(roots.len(), 1);
}

/// After it allowed a revision an acceptor's grants name it, so that who acts on an older one gets no lease.
#[test]
fn a_grant_names_what_was_allowed() {
    let mut rig = Rig::small();
    rig.watcher(1);
    rig.push(vec![put("title 1", "a")]);
    assert_eq!(rig.status().active, 1);
    rig.take(1);
    rig.say(1, ToRelay::RequestLease { nonce: [1; 16], active: 0 });
    rig.run(2.0);
    let sent = rig.take(1);
    let behind = sent.iter().any(|message| match message {
        ToWatcher::Lease(proof) => proof.check(1, 0, &DigestHand::new(0, 1)).is_err(),
        _ => false,
    });
    assert!(behind, "{sent:?}");
}

#[test]
fn what_is_pushed_is_refused_with_a_reason() {
    use crate::change::Rejection;
    let mut rig = Rig::small();
    rig.open(1);
    let mut forged = change(1, 1, 0, vec![put("title 1", "a")]);
    forged.signature[0] ^= 1;
    let cases = [(forged, Rejection::Author(1)), (change(1, 1, 0, vec![]), Rejection::Empty)];
    for (change, rejection) in cases {
        rig.say(1, ToRelay::Push(change.clone()));
        rig.run(1.0);
        assert_eq!(rig.take(1), [ToWatcher::PushOutcome { change: change.id, outcome: Err(rejection) }]);
    }
    let before = rig.machine.state().root();
    rig.run(12.0);
    assert_eq!((rig.machine.number(), rig.machine.state().root()), (0, before));
}

/// More changes than are taken at one time: those beyond are told so at once.
#[test]
fn changes_beyond_the_bound_are_told_to_try_later() {
    use crate::change::Rejection;
    let mut rig = Rig::small();
    let mut busy = 0;
    for n in 0..600u64 {
        let tool = 100 + n;
        rig.open(tool);
        rig.say(tool, ToRelay::Push(change(n as u16, 1, 0, vec![put(&format!("key {n}"), "a")])));
        let told = rig.take(tool);
        busy += usize::from(told.iter().any(|message| {
            matches!(message, ToWatcher::PushOutcome { outcome: Err(Rejection::Busy(_)), .. })
        }));
    }
    assert_eq!(busy, 600 - 512);
    rig.run(5.0);
    assert_eq!(rig.machine.state().len(), 20 + 512 * 2);
}

/// An acceptor that lost its disk names a later revision than there is: the others' grants are a quorum without it, whichever
/// comes first. Where there is none, the watcher hears so a moment later.
#[test]
fn grants_that_name_a_later_revision_are_not_counted() {
    let hand = |me| DigestHand::new(me, 3);
    for (third, fits) in [(0, true), (5, false)] {
        let now = Duration::from_secs(1000);
        let (config, genesis) = (Config::new(0, 1), state(5, 5));
        let machine = ControlMachine::new(config, hand(0), Stored::founding(), genesis, 5, now);
        let (sent, closed) = (BTreeMap::new(), BTreeMap::new());
        let mut rig = Rig { machine, now, sent, closed, pushes: 0 };
        rig.watcher(1);
        rig.run(0.3);
        rig.say(1, ToRelay::RequestLease { nonce: [1; 16], active: 0 });
        rig.run(0.3);
        let root = NonceTree::new(vec![leaf(1, &[1; 16])]).root();
        let proof_of = |sent: Vec<ToWatcher>| {
            sent.into_iter().find_map(|message| match message {
                ToWatcher::Lease(proof) => Some(proof),
                _ => None,
            })
        };
        for (acceptor, allowed) in [(1, 5), (2, third)] {
            let grant = PeerMessage::Grant(Grant::sign(&hand(acceptor), acceptor, root, allowed));
            rig.act(|machine, now, out| machine.peer_message(now, acceptor, grant, out));
        }
        let at_once = proof_of(rig.take(1));
        assert_eq!(at_once.is_some(), fits);
        rig.run(1.0);
        let proof = at_once.or_else(|| proof_of(rig.take(1))).expect("an answer");
        assert_eq!(proof.check(1, 0, &hand(0)).is_ok(), fits);
    }
}

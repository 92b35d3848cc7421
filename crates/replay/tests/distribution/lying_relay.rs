//! A relay that lies: a stand-in between controllers and a control machine that forges what only acceptors can say, or
//! replays what they once said.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use badgerledge_distribution::change::Summary;
use badgerledge_distribution::lease::{leaf, Grant, LeaseProof, Nonce, NonceTree};
use badgerledge_distribution::message::{
    decode, encode, ToRelay, ToWatcher, MAX_RELAY_BODY_BYTES, MAX_WATCHER_BODY_BYTES,
};
use badgerledge_distribution::state::{Edit, State};
use badgerledge_distribution::{Certified, ControllerId, MachineId, Signed};
use badgerledge_revisions::message::ActivationGrant;
use badgerledge_revisions::Head;
use serde::de::DeserializeOwned;

use crate::fleet::{play, Shape, IN_FORCE, PATIENCE, STAND_IN};
use crate::old_and_new::{left, old_is_not_served_past_the_bound, push_change, shape, NEW, OLD};

const FORGED: [u8; 64] = [7; 64];
const ACCEPTORS: [MachineId; 3] = [0, 1, 2];

/// What the stand-in does, shared with its threads.
#[derive(Default)]
struct Conduct {
    /// Where it passes all on to while it is honest.
    upstream: Mutex<Option<SocketAddr>>,
    /// It answers requests for leases itself, with what was once granted.
    replays: AtomicBool,
    granted: Mutex<Vec<LeaseProof>>,
    /// Lies that it told.
    lies: AtomicUsize,
}

struct StandIn {
    at: SocketAddr,
    conduct: Arc<Conduct>,
}

impl StandIn {
    fn new() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let at = listener.local_addr().unwrap();
        let conduct = Arc::new(Conduct::default());
        let shared = conduct.clone();
        // Its threads end with their streams, and this one with the test's process.
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let conduct = shared.clone();
                std::thread::spawn(move || serve(stream, &conduct));
            }
        });
        Self { at, conduct }
    }

    fn lies(&self) -> usize {
        self.conduct.lies.load(Ordering::Relaxed)
    }
}

/// Calls back with each message of a stream until it ends, or is to end.
fn each_message<M: DeserializeOwned>(mut stream: TcpStream, longest: usize, mut take: impl FnMut(M) -> bool) {
    let (mut held, mut bytes) = (Vec::new(), [0; 64 * 1024]);
    while let Ok(count @ 1..) = stream.read(&mut bytes) {
        held.extend_from_slice(&bytes[..count]);
        while let Ok(Some((message, used))) = decode::<M>(&held, longest) {
            held.drain(..used);
            if !take(message) {
                return;
            }
        }
    }
}

fn serve(stream: TcpStream, conduct: &Arc<Conduct>) {
    let upstream = *conduct.upstream.lock().unwrap();
    match upstream.and_then(|at| TcpStream::connect(at).ok()) {
        Some(upstream) => serve_between(stream, upstream, conduct),
        None => serve_forged(stream, conduct),
    }
}

/// Passes all on. What was granted is kept, and while it replays it takes the place of all answers.
fn serve_between(mut stream: TcpStream, mut upstream: TcpStream, conduct: &Arc<Conduct>) {
    let (down, from_upstream, shared) =
        (stream.try_clone().unwrap(), upstream.try_clone().unwrap(), conduct.clone());
    std::thread::spawn(move || {
        let mut down = down;
        each_message(from_upstream, MAX_RELAY_BODY_BYTES, |message: ToWatcher| {
            if shared.replays.load(Ordering::Relaxed) {
                return true;
            }
            if let ToWatcher::Lease(proof) = &message {
                shared.granted.lock().unwrap().push(proof.clone());
            }
            down.write_all(&encode(&message)).is_ok()
        });
    });
    let watcher = stream.try_clone().unwrap();
    each_message(watcher, MAX_WATCHER_BODY_BYTES, |message: ToRelay| {
        if !conduct.replays.load(Ordering::Relaxed) {
            return upstream.write_all(&encode(&message)).is_ok();
        }
        if let ToRelay::RequestLease { .. } = message {
            let granted = conduct.granted.lock().unwrap().clone();
            conduct.lies.fetch_add(granted.len(), Ordering::Relaxed);
            return granted
                .into_iter()
                .all(|proof| stream.write_all(&encode(&ToWatcher::Lease(proof))).is_ok());
        }
        true
    });
}

/// Forges something else for each controller in turn.
fn serve_forged(mut stream: TcpStream, conduct: &Conduct) {
    let (watcher, mut caller) = (stream.try_clone().unwrap(), 0);
    each_message(watcher, MAX_WATCHER_BODY_BYTES, |message: ToRelay| {
        let answers = match message {
            ToRelay::Hello { controller, root, .. } => {
                caller = controller;
                let welcome = ToWatcher::Welcome { relay: STAND_IN, number: 1 };
                let forged = match controller % 3 {
                    1 => vec![forged_revision(root)],
                    2 => vec![forged_word_to_act()],
                    _ => Vec::new(),
                };
                conduct.lies.fetch_add(forged.len(), Ordering::Relaxed);
                [vec![welcome], forged].concat()
            }
            ToRelay::RequestLease { nonce, .. } => {
                conduct.lies.fetch_add(1, Ordering::Relaxed);
                vec![forged_lease(caller, nonce)]
            }
            _ => Vec::new(),
        };
        answers.iter().all(|answer| stream.write_all(&encode(answer)).is_ok())
    });
}

/// All is in order in it but for the signatures.
fn forged_lease(controller: ControllerId, nonce: Nonce) -> ToWatcher {
    let tree = NonceTree::new(vec![leaf(controller, &nonce)]);
    let grant = |acceptor| Grant { acceptor, root: tree.root(), allowed: 0, signature: FORGED };
    let grants = ACCEPTORS.map(grant).to_vec();
    ToWatcher::Lease(LeaseProof { nonce, index: 0, path: tree.path(0), grants })
}

fn forged_revision(base_root: [u8; 32]) -> ToWatcher {
    let edits = vec![Edit { key: "title 7".to_owned(), value: None }];
    let summary = Summary::of(State::new().root(), b"batch");
    let head = Head::new(1, [0; 32], 0, &summary.text());
    let signed = Signed { head, signature: FORGED };
    let certificate = Certified { signed, votes: Vec::new(), activation_grants: forged_goes(head.digest()) };
    ToWatcher::Delta { certificate, summary, base: 0, base_root, edits }
}

fn forged_word_to_act() -> ToWatcher {
    ToWatcher::Activate { number: 1, activation_grants: forged_goes([1; 32]) }
}

fn forged_goes(digest: [u8; 32]) -> Vec<ActivationGrant> {
    ACCEPTORS
        .map(|keeper| ActivationGrant { acceptor: keeper, number: 1, digest, signature: FORGED })
        .to_vec()
}

#[test]
fn a_relay_that_forges_is_left_and_changes_come_by_the_others() {
    let stand_in = StandIn::new();
    play(Shape { stand_in: Some(stand_in.at), ..shape() }, |fleet| {
        for controller in 0..3 {
            let refused = "badgerledge_distribution_relays_refused_total";
            fleet.wait(PATIENCE, "the stand-in is refused", |fleet| fleet.metric(controller, refused) >= 1.0);
            assert_ne!(fleet.wait_served(controller), usize::from(STAND_IN));
            assert_eq!(fleet.metric(controller, "badgerledge_revision_active"), 0.0);
            assert_eq!(fleet.set_up(controller, 7), 200);
        }
        assert!(stand_in.lies() >= 3);
        let begun = push_change(fleet, 0);
        fleet.wait_set_ups(left(begun, IN_FORCE), &[0, 1, 2], NEW, 200);
    });
}

#[test]
fn a_relay_that_replays_old_leases_keeps_nobody_on_the_old_configuration() {
    let stand_in = StandIn::new();
    play(Shape { stand_in: Some(stand_in.at), ..shape() }, |fleet| {
        stand_in.conduct.replays.store(false, Ordering::Relaxed);
        *stand_in.conduct.upstream.lock().unwrap() = Some(fleet.machines[0].at);
        // It was left for a minute for what it said before it knew of a control machine.
        fleet.controllers[0].kill_and_restart();
        fleet.controllers[0].wait_listed(1);
        fleet.wait(PATIENCE, "the stand-in serves", |fleet| fleet.serves(0) == Some(usize::from(STAND_IN)));
        let end = fleet.end_of(0);
        for relay in 0..3 {
            fleet.network.change_between(true, relay, end, |way| way.blocked = true);
        }
        assert_eq!(fleet.set_up(0, OLD), 200);
        stand_in.conduct.replays.store(true, Ordering::Relaxed);
        let begun = push_change(fleet, 1);
        fleet.wait_set_ups(left(begun, IN_FORCE), &[1, 2], NEW, 200);
        let last = old_is_not_served_past_the_bound(fleet, 0, Instant::now());
        eprintln!(
            "served by the old configuration until {last:?} after; {} old leases came",
            stand_in.lies()
        );
        assert!(stand_in.lies() > 0);
        stand_in.conduct.replays.store(false, Ordering::Relaxed);
        fleet.network.heal();
        fleet.wait_set_ups(IN_FORCE, &[0, 1, 2], NEW, 200);
    });
}

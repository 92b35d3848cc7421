//! Plays from seeds: cuts one way and both, losses, stalls, deaths with and without disks, pushes on both sides of a
//! split, doubles of changes. What must hold is in `net/checks.rs`.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::super::edits::put;
use super::super::net::{region_of, Broken, Net, Node, EXCLUSIVE};
use crate::{ControllerId, MachineId, Number};

/// Steps come at most so far apart: about a lease.
const STEP_SECONDS: f64 = 5.0;
/// After the network is whole: pauses of watchers, a catch-up, and the next change.
const HEALING_SECONDS: f64 = 60.0;

/// Plays at a time.
const THREADS: u64 = 4;

struct Size {
    machines: MachineId,
    acceptors: MachineId,
    watchers: ControllerId,
    /// How long cut-off regions go on; zero: they hold back.
    apart: Duration,
}

/// How long cut-off regions go on in plays where they do: some steps.
const APART: Duration = Duration::from_secs(20);

fn size_of(seed: u64) -> Size {
    let machines = [3, 5, 7][seed as usize % 3];
    let acceptors = if machines < 5 { 3 } else { [3, 5][seed as usize / 3 % 2] };
    Size { machines, acceptors, watchers: 8, apart: Duration::ZERO }
}

/// Two machines or three in each region.
fn size_apart(seed: u64) -> Size {
    let machines = [6, 7, 9][seed as usize % 3];
    Size { machines, acceptors: [3, 5][seed as usize / 3 % 2], watchers: 9, apart: APART }
}

fn drawn(net: &mut Net, below: usize) -> usize {
    (net.chance.unit_interval() * below as f64) as usize
}

fn drawn_machine(net: &mut Net, size: &Size) -> MachineId {
    drawn(net, size.machines.into()) as MachineId
}

fn drawn_watcher(net: &mut Net, size: &Size) -> ControllerId {
    drawn(net, size.watchers as usize) as ControllerId
}

fn push(net: &mut Net, size: &Size) {
    let at = drawn_machine(net, size);
    let author = 1 + drawn(net, 3) as u16;
    let exclusive = !size.apart.is_zero() && net.chance.unit_interval() < 0.4;
    let kind = if exclusive { EXCLUSIVE } else { "title " };
    let key = format!("{kind}{}", drawn(net, 5));
    let value = format!("{}", drawn(net, 1000));
    let base = net.machines[usize::from(at)].machine.as_ref().map_or(0, |machine| machine.number());
    // Now and then against an older revision.
    let back = if net.chance.unit_interval() < 0.2 { 2 } else { 0 };
    net.push_on(at, author, base.saturating_sub(back), vec![put(&key, &value)]);
}

/// A change that was pushed before, at another machine.
fn push_again(net: &mut Net, size: &Size) {
    let (at, back) = (drawn_machine(net, size), drawn(net, 3));
    if let Some(change) = net.changes.iter().rev().nth(back).cloned() {
        net.push_change(at, change);
    }
}

fn drawn_node(net: &mut Net, size: &Size) -> Node {
    if net.chance.unit_interval() < 0.7 {
        return Node::Machine(drawn_machine(net, size));
    }
    Node::Watcher(drawn_watcher(net, size))
}

fn kill_one_machine(net: &mut Net, size: &Size) {
    let who = drawn_machine(net, size);
    let wiped = net.chance.unit_interval() < 0.5 && net.all_acceptors_vote();
    net.kill_machine(who, wiped);
    let pause = 3.0 * net.chance.unit_interval();
    net.run_for(pause);
    net.start_machine(who);
}

fn kill_half(net: &mut Net, size: &Size) {
    let odd = drawn(net, 2) as MachineId;
    let half: Vec<MachineId> = (0..size.machines).filter(|machine| machine % 2 == odd).collect();
    half.iter().for_each(|machine| net.kill_machine(*machine, false));
    let pause = 3.0 * net.chance.unit_interval();
    net.run_for(pause);
    half.iter().for_each(|machine| net.start_machine(*machine));
}

fn stall(net: &mut Net, size: &Size) {
    let until = net.now + Duration::from_secs_f64(8.0 * net.chance.unit_interval());
    match drawn_node(net, size) {
        Node::Machine(me) => net.machines[usize::from(me)].stalled_until = until,
        Node::Watcher(me) => net.watchers[me as usize].stalled_until = until,
        Node::Tool(_) => {}
    }
}

fn step(net: &mut Net, size: &Size) {
    match drawn(net, 14) {
        0..=3 => push(net, size),
        4 => {
            let ends = (drawn_node(net, size), drawn_node(net, size));
            net.cut.insert(ends);
        }
        5 => {
            let region = drawn(net, 3) as u32;
            net.split(|node| region_of(node) == region);
            push(net, size);
            push(net, size);
        }
        6 => net.cut.clear(),
        7 => stall(net, size),
        8 => kill_one_machine(net, size),
        9 => kill_half(net, size),
        10 => {
            let who = drawn_watcher(net, size);
            let wiped = net.chance.unit_interval() < 0.3;
            net.kill_watcher(who, wiped);
            net.start_watcher(who);
        }
        11 => push_again(net, size),
        12 => (0..4).for_each(|_| push(net, size)),
        _ => net.loss = net.chance.unit_interval() * 0.2,
    }
}

/// One play: what does not hold at its end, and what was seen in it.
fn play(seed: u64, broken: Broken) -> (Vec<String>, Net) {
    play_with(size_of(seed), seed, broken)
}

/// The same where regions apart go on.
fn play_apart(seed: u64, broken: Broken) -> (Vec<String>, Net) {
    play_with(size_apart(seed), seed, broken)
}

fn play_with(size: Size, seed: u64, broken: Broken) -> (Vec<String>, Net) {
    let mut net = Net::with_apart(size.machines, size.acceptors, size.watchers, seed, size.apart);
    net.set_broken(broken);
    net.run_for(6.0);
    for _ in 0..10 {
        step(&mut net, &size);
        let pause = STEP_SECONDS * net.chance.unit_interval();
        net.run_for(pause);
    }
    net.cut.clear();
    net.loss = 0.01;
    net.run_for(HEALING_SECONDS);
    (net.faults_at_the_end(), net)
}

/// What a play that broke nothing came to.
struct Came {
    certified: Number,
    tally: [usize; 4],
    longest: Duration,
    regional_leases: usize,
}

type Play = fn(u64, Broken) -> (Vec<String>, Net);

/// Does the same for each seed, on some threads; a play does not depend on any other.
fn for_each_seed<T: Send>(seeds: Range<u64>, of: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let share = |thread: u64| seeds.clone().skip(thread as usize).step_by(THREADS as usize);
    std::thread::scope(|scope| {
        let of = &of;
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| {
                let share = share(thread);
                scope.spawn(move || share.map(of).collect::<Vec<T>>())
            })
            .collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// Tells how many regional leases there were.
fn plays(play: Play, seeds: Range<u64>) -> usize {
    let count = seeds.end - seeds.start;
    let all = for_each_seed(seeds, |seed| {
        let (faults, net) = play(seed, Broken::default());
        assert!(faults.is_empty(), "seed {seed}: {faults:?}");
        Came {
            certified: net.seen.highest(),
            tally: net.seen.tally(),
            longest: net.seen.longest,
            regional_leases: net.seen.regional_leases,
        }
    });
    let of_tally = |which: usize| all.iter().map(|came| came.tally[which]).sum::<usize>();
    let [taken, rejected, unknown, unanswered] = [0, 1, 2, 3].map(of_tally);
    let certified: Number = all.iter().map(|came| came.certified).sum();
    let regional = all.iter().map(|came| came.regional_leases).sum();
    let longest = all.iter().map(|came| came.longest).max().unwrap_or_default();
    println!(
        "{count} plays, none broken: {certified} revisions; {taken} pushes taken, {rejected} rejected, \
         {unknown} unknown, {unanswered} unanswered by machines that died; longest contradiction {longest:.2?}; \
         {regional} regional leases"
    );
    let enough = taken as u64 > count && rejected as u64 > count / 4;
    assert!(enough, "too little happened for a proof: {taken} taken, {rejected} rejected");
    regional
}

#[test]
fn what_must_hold_holds_in_plays_from_seeds() {
    assert_eq!(plays(play, 0..150), 0);
}

#[test]
#[ignore = "takes minutes"]
fn thousands_of_plays() {
    assert_eq!(plays(play, 1000..5000), 0);
}

#[test]
fn what_must_hold_holds_in_plays_with_regions_apart() {
    assert!(plays(play_apart, 0..150) > 1000);
}

#[test]
#[ignore = "takes minutes"]
fn thousands_of_plays_with_regions_apart() {
    assert!(plays(play_apart, 1000..5000) > 20_000);
}

/// What a play of some kind of fault shows, in so many seeds.
fn shows(broken: Broken, seeds: u64, fault: &str) -> bool {
    shows_in(play, broken, seeds, fault)
}

fn shows_in(play: Play, broken: Broken, seeds: u64, fault: &str) -> bool {
    let shown = AtomicBool::new(false);
    for_each_seed(0..seeds, |seed| {
        if shown.load(Ordering::Relaxed) {
            return;
        }
        if play(seed, broken).0.iter().any(|found| found.contains(fault)) {
            shown.store(true, Ordering::Relaxed);
        }
    });
    shown.into_inner()
}

/// The checks bite: with what each guards taken out, a play fails by it.
#[test]
fn each_check_fails_where_what_it_guards_is_taken_out() {
    let whole = Broken::default();
    assert!(shows(Broken { no_lease: true, ..whole }, 150, "contradicting"));
    assert!(shows(Broken { blind_grants: true, ..whole }, 150, "contradicting"));
    assert!(shows(Broken { no_updates: true, ..whole }, 10, "don't act on"));
    assert!(shows(Broken { twisted_outcomes: true, ..whole }, 20, "told"));
    assert!(shows_in(play_apart, Broken { nothing_exclusive: true, ..whole }, 150, "contradicting"));
    assert!(shows_in(play_apart, Broken { vouches_always: true, ..whole }, 150, "contradicting"));
    assert!(shows_in(play_apart, Broken { no_lease: true, ..whole }, 150, "contradicting"));
}

//! Seeded simulations with partitions in one or both directions, loss, stalls, restarts with and without
//! disks, pushes on both sides of a partition, and duplicate changes. The invariants are in `net/checks.rs`.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::super::edits::put;
use super::super::net::{region_of, DisabledMechanisms, Net, Node, EXCLUSIVE};
use crate::{ControllerId, MachineId, Number};

/// The maximum time between steps: about the duration of a lease.
const MAX_STEP_S: f64 = 5.0;
/// The time after the network is healed: enough for retry delays of watchers, a catch-up, and the next
/// change.
const HEALING_S: f64 = 60.0;

/// The number of simulations that run in parallel.
const THREADS: u64 = 4;

struct Size {
    machines: MachineId,
    acceptors: MachineId,
    watchers: ControllerId,
    /// How long partitioned regions continue with their configuration; zero: they stop acting.
    max_partition: Duration,
}

/// How long partitioned regions continue in simulations with that setting: some steps.
const MAX_PARTITION: Duration = Duration::from_secs(20);

fn size_of(seed: u64) -> Size {
    let machines = [3, 5, 7][seed as usize % 3];
    let acceptors = if machines < 5 { 3 } else { [3, 5][seed as usize / 3 % 2] };
    Size { machines, acceptors, watchers: 8, max_partition: Duration::ZERO }
}

/// Sizes with two or three machines in each region.
fn size_with_regional_leases(seed: u64) -> Size {
    let machines = [6, 7, 9][seed as usize % 3];
    Size { machines, acceptors: [3, 5][seed as usize / 3 % 2], watchers: 9, max_partition: MAX_PARTITION }
}

fn random_below(net: &mut Net, below: usize) -> usize {
    (net.rng.unit_interval() * below as f64) as usize
}

fn random_machine(net: &mut Net, size: &Size) -> MachineId {
    random_below(net, size.machines.into()) as MachineId
}

fn random_watcher(net: &mut Net, size: &Size) -> ControllerId {
    random_below(net, size.watchers as usize) as ControllerId
}

fn push(net: &mut Net, size: &Size) {
    let at = random_machine(net, size);
    let author = 1 + random_below(net, 3) as u16;
    let exclusive = !size.max_partition.is_zero() && net.rng.unit_interval() < 0.4;
    let prefix = if exclusive { EXCLUSIVE } else { "title " };
    let key = format!("{prefix}{}", random_below(net, 5));
    let value = format!("{}", random_below(net, 1000));
    let base = net.machines[usize::from(at)].machine.as_ref().map_or(0, |machine| machine.number());
    // Some changes are based on an older revision.
    let steps_back = if net.rng.unit_interval() < 0.2 { 2 } else { 0 };
    net.push_on(at, author, base.saturating_sub(steps_back), vec![put(&key, &value)]);
}

/// Pushes an earlier change again, to a random machine.
fn push_again(net: &mut Net, size: &Size) {
    let (at, steps_back) = (random_machine(net, size), random_below(net, 3));
    if let Some(change) = net.changes.iter().rev().nth(steps_back).cloned() {
        net.push_change(at, change);
    }
}

fn random_node(net: &mut Net, size: &Size) -> Node {
    if net.rng.unit_interval() < 0.7 {
        return Node::Machine(random_machine(net, size));
    }
    Node::Watcher(random_watcher(net, size))
}

fn kill_one_machine(net: &mut Net, size: &Size) {
    let target = random_machine(net, size);
    let wiped = net.rng.unit_interval() < 0.5 && net.all_acceptors_vote();
    net.kill_machine(target, wiped);
    let pause = 3.0 * net.rng.unit_interval();
    net.run_for(pause);
    net.start_machine(target);
}

fn kill_half(net: &mut Net, size: &Size) {
    let remainder = random_below(net, 2) as MachineId;
    let half: Vec<MachineId> = (0..size.machines).filter(|machine| machine % 2 == remainder).collect();
    half.iter().for_each(|machine| net.kill_machine(*machine, false));
    let pause = 3.0 * net.rng.unit_interval();
    net.run_for(pause);
    half.iter().for_each(|machine| net.start_machine(*machine));
}

fn stall(net: &mut Net, size: &Size) {
    let until = net.now + Duration::from_secs_f64(8.0 * net.rng.unit_interval());
    match random_node(net, size) {
        Node::Machine(node_id) => net.machines[usize::from(node_id)].stalled_until = until,
        Node::Watcher(node_id) => net.watchers[node_id as usize].stalled_until = until,
        Node::Tool(_) => {}
    }
}

fn step(net: &mut Net, size: &Size) {
    match random_below(net, 14) {
        0..=3 => push(net, size),
        4 => {
            let link = (random_node(net, size), random_node(net, size));
            net.cut.insert(link);
        }
        5 => {
            let region = random_below(net, 3) as u32;
            net.split(|node| region_of(node) == region);
            push(net, size);
            push(net, size);
        }
        6 => net.cut.clear(),
        7 => stall(net, size),
        8 => kill_one_machine(net, size),
        9 => kill_half(net, size),
        10 => {
            let target = random_watcher(net, size);
            let wiped = net.rng.unit_interval() < 0.3;
            net.kill_watcher(target, wiped);
            net.start_watcher(target);
        }
        11 => push_again(net, size),
        12 => (0..4).for_each(|_| push(net, size)),
        _ => net.loss = net.rng.unit_interval() * 0.2,
    }
}

/// Runs one simulation. Returns the violated invariants, and the network.
fn simulate(seed: u64, disabled: DisabledMechanisms) -> (Vec<String>, Net) {
    simulate_size(size_of(seed), seed, disabled)
}

/// Like [`simulate`], with partitioned regions that continue.
fn simulate_with_regional_leases(seed: u64, disabled: DisabledMechanisms) -> (Vec<String>, Net) {
    simulate_size(size_with_regional_leases(seed), seed, disabled)
}

fn simulate_size(size: Size, seed: u64, disabled: DisabledMechanisms) -> (Vec<String>, Net) {
    let mut net =
        Net::with_max_partition(size.machines, size.acceptors, size.watchers, seed, size.max_partition);
    net.disable(disabled);
    net.run_for(6.0);
    for _ in 0..10 {
        step(&mut net, &size);
        let pause = MAX_STEP_S * net.rng.unit_interval();
        net.run_for(pause);
    }
    net.cut.clear();
    net.loss = 0.01;
    net.run_for(HEALING_S);
    (net.final_faults(), net)
}

/// The results of a simulation without violations.
struct SimulationResult {
    certified: Number,
    outcomes: [usize; 4],
    longest_contradiction: Duration,
    regional_leases: usize,
}

type Simulation = fn(u64, DisabledMechanisms) -> (Vec<String>, Net);

/// Calls a function for each seed, on several threads; the simulations are independent.
fn for_each_seed<T: Send>(seeds: Range<u64>, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let thread_seeds = |thread: u64| seeds.clone().skip(thread as usize).step_by(THREADS as usize);
    std::thread::scope(|scope| {
        let run = &run;
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| {
                let seeds = thread_seeds(thread);
                scope.spawn(move || seeds.map(run).collect::<Vec<T>>())
            })
            .collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// Runs simulations that must have no violations. Returns the number of regional leases.
fn run_simulations(simulate: Simulation, seeds: Range<u64>) -> usize {
    let count = seeds.end - seeds.start;
    let all = for_each_seed(seeds, |seed| {
        let (faults, net) = simulate(seed, DisabledMechanisms::default());
        assert!(faults.is_empty(), "seed {seed}: {faults:?}");
        SimulationResult {
            certified: net.observed.highest(),
            outcomes: net.observed.count_outcomes(),
            longest_contradiction: net.observed.longest_contradiction,
            regional_leases: net.observed.regional_leases,
        }
    });
    let total = |kind: usize| all.iter().map(|result| result.outcomes[kind]).sum::<usize>();
    let [accepted, rejected, unknown, unanswered] = [0, 1, 2, 3].map(total);
    let certified: Number = all.iter().map(|result| result.certified).sum();
    let regional = all.iter().map(|result| result.regional_leases).sum();
    let longest_contradiction =
        all.iter().map(|result| result.longest_contradiction).max().unwrap_or_default();
    println!(
        "{count} simulations without violations: {certified} revisions; {accepted} pushes accepted, \
         {rejected} rejected, {unknown} unknown, {unanswered} unanswered by machines that stopped; \
         longest contradiction {longest_contradiction:.2?}; {regional} regional leases"
    );
    let enough = accepted as u64 > count && rejected as u64 > count / 4;
    assert!(enough, "too few outcomes for a meaningful test: {accepted} accepted, {rejected} rejected");
    regional
}

#[test]
fn invariants_hold_in_seeded_simulations() {
    assert_eq!(run_simulations(simulate, 0..150), 0);
}

#[test]
#[ignore = "takes minutes"]
fn thousands_of_simulations() {
    assert_eq!(run_simulations(simulate, 1000..5000), 0);
}

#[test]
fn invariants_hold_in_simulations_with_regional_leases() {
    assert!(run_simulations(simulate_with_regional_leases, 0..150) > 1000);
}

#[test]
#[ignore = "takes minutes"]
fn thousands_of_simulations_with_regional_leases() {
    assert!(run_simulations(simulate_with_regional_leases, 1000..5000) > 20_000);
}

/// Whether, with a mechanism disabled, a violation with this text occurs within the first `seeds` seeds.
fn violates(disabled: DisabledMechanisms, seeds: u64, expected: &str) -> bool {
    violates_in(simulate, disabled, seeds, expected)
}

fn violates_in(simulate: Simulation, disabled: DisabledMechanisms, seeds: u64, expected: &str) -> bool {
    let violated = AtomicBool::new(false);
    for_each_seed(0..seeds, |seed| {
        if violated.load(Ordering::Relaxed) {
            return;
        }
        if simulate(seed, disabled).0.iter().any(|fault| fault.contains(expected)) {
            violated.store(true, Ordering::Relaxed);
        }
    });
    violated.into_inner()
}

/// For each check, a simulation violates it when the mechanism that guards it is disabled.
#[test]
fn each_check_fails_when_its_mechanism_is_disabled() {
    let none = DisabledMechanisms::default();
    assert!(violates(DisabledMechanisms { no_lease: true, ..none }, 150, "contradicting"));
    assert!(violates(DisabledMechanisms { grants_without_revision: true, ..none }, 150, "contradicting"));
    assert!(violates(DisabledMechanisms { no_updates: true, ..none }, 10, "don't act on"));
    assert!(violates(DisabledMechanisms { wrong_outcomes: true, ..none }, 20, "reported"));
    assert!(violates_in(
        simulate_with_regional_leases,
        DisabledMechanisms { nothing_exclusive: true, ..none },
        150,
        "contradicting"
    ));
    assert!(violates_in(
        simulate_with_regional_leases,
        DisabledMechanisms { always_vouches: true, ..none },
        150,
        "contradicting"
    ));
    assert!(violates_in(
        simulate_with_regional_leases,
        DisabledMechanisms { no_lease: true, ..none },
        150,
        "contradicting"
    ));
}

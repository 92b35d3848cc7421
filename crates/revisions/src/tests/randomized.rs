//! Randomized simulations, each from its seed: one-way and two-way partitions, losses, stalls, crashes with
//! and without loss of the disk, and pushes on both sides of a partition. In none are two different revisions
//! certified with one number, and in none do two members have contradicting revisions active for longer than
//! the bound.

use std::time::Duration;

use super::simulation::{Faults, Simulation};
use crate::{ActivationMode, Member};

fn secs(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

/// One simulation. Returns the highest count of revisions certified with one number, the longest
/// contradiction, the bound on it, and the number of revisions that became active.
fn simulate(seed: u64, faults: Faults) -> (usize, Duration, Duration, usize) {
    let (members, acceptors) =
        ([3, 5, 8][seed as usize % 3], [3, 5][seed as usize / 3 % 2].min(3 + seed as u16 % 3));
    simulate_size(seed, members, acceptors.min(members), faults)
}

/// The same for a given size. Durations are scaled with the lease, whatever the size.
fn simulate_size(
    seed: u64, members: Member, acceptors: Member, faults: Faults,
) -> (usize, Duration, Duration, usize) {
    let mode = if seed.is_multiple_of(2) { ActivationMode::Wait } else { ActivationMode::Hold };
    let mut sim = Simulation::new(members, acceptors, mode, seed);
    sim.faults = faults;
    let time_scale = crate::lease_duration_for(usize::from(members)).as_secs_f64() / 3.0;
    sim.run(sim.now + secs(3.0 * time_scale));
    for step in 0..7 {
        let member = (sim.rng.unit_interval() * f64::from(members)) as Member;
        let other = (sim.rng.unit_interval() * f64::from(members)) as Member;
        match (sim.rng.unit_interval() * 11.0) as u32 {
            0..=3 => sim.push(member, 1 + step % 2, &[step as u8, member as u8]),
            4 => drop(sim.cut.insert((member, other))),
            5 => {
                let side = |other: Member| other % 2 == member % 2;
                let all = (0..members).flat_map(|from| (0..members).map(move |to| (from, to)));
                sim.cut.extend(all.filter(|(from, to)| side(*from) != side(*to)));
                sim.push(member, 1, &[step as u8, 100]);
                sim.push((member + 1) % members, 2, &[step as u8, 101]);
            }
            6 => sim.cut.clear(),
            7 => sim.stall(member, secs(6.0 * time_scale)),
            // Only one acceptor at a time is without its disk; the protocol does not tolerate more.
            8 => {
                let others_know = (0..acceptors).all(|acceptor| {
                    acceptor == member
                        || sim.acceptor(acceptor).is_some_and(|acceptor| !acceptor.is_recovering())
                });
                sim.kill(member, others_know);
                sim.run(sim.now + secs(0.3));
                sim.start(member);
            }
            // Half of the members are killed at an arbitrary moment.
            9 => {
                let half: Vec<Member> = (0..members).filter(|member| member % 2 == other % 2).collect();
                half.iter().for_each(|member| sim.kill(*member, false));
                let wait_s = time_scale * sim.rng.unit_interval();
                sim.run(sim.now + secs(wait_s));
                half.iter().for_each(|member| sim.start(*member));
            }
            _ => sim.loss = sim.rng.unit_interval() * 0.3,
        }
        let wait_s = 4.0 * time_scale * sim.rng.unit_interval();
        sim.run(sim.now + secs(wait_s));
    }
    sim.cut.clear();
    sim.loss = 0.0;
    sim.run(sim.now + secs(20.0 * time_scale));
    let max_certified = sim.certified.values().map(std::collections::BTreeSet::len).max().unwrap_or(0);
    (max_certified, sim.longest_contradiction, sim.bound(), sim.activated_at.len())
}

/// Simulations of one size with the same checks.
fn check_seeds(seeds: std::ops::Range<u64>, members: Member, acceptors: Member) -> usize {
    let (mut worst, mut activated, runs) = (0.0f64, 0, seeds.end - seeds.start);
    for seed in seeds {
        let (max_certified, longest, bound, changes) =
            simulate_size(seed, members, acceptors, Faults::default());
        assert!(
            max_certified <= 1,
            "{members} members, seed {seed}: {max_certified} certified with one number"
        );
        assert!(
            longest <= bound,
            "{members} members, seed {seed}: contradicting for {longest:?} of {bound:?}"
        );
        worst = worst.max(longest.as_secs_f64() / bound.as_secs_f64());
        activated += changes - 1;
    }
    println!("{members} members, {acceptors} acceptors: {runs} runs, none failed, {activated} revisions activated, longest contradiction {worst:.2} of the bound");
    activated
}

#[test]
fn thirty_members_keep_the_bound() {
    assert!(check_seeds(0..6, 30, 5) > 2);
}

#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn seeds_of_30_members() {
    check_seeds(100..1100, 30, 5);
}

#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn seeds_of_100_members() {
    check_seeds(100..200, 100, 5);
}

#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn seeds_of_300_members() {
    check_seeds(100..116, 300, 5);
}

#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn seeds_of_1000_members() {
    check_seeds(100..102, 1000, 7);
}

#[test]
fn one_revision_per_number_and_contradictions_stay_within_the_bound() {
    let mut activated = 0;
    for seed in 0..150 {
        let (max_certified, longest, bound, changes) = simulate(seed, Faults::default());
        assert!(max_certified <= 1, "seed {seed}: {max_certified} certified with one number");
        assert!(longest <= bound, "seed {seed}: contradicting for {longest:?} of {bound:?}");
        activated += changes;
    }
    assert!(activated > 225, "too few changes were activated for a meaningful check: {activated}");
}

/// The checks detect faults: without leases the bound is violated.
#[test]
fn without_leases_the_bound_check_fails() {
    let ignore_leases = Faults { ignore_leases: true, ..Faults::default() };
    assert!((0..600).any(|seed| {
        let (_, longest, bound, _) = simulate(seed, ignore_leases);
        longest > bound
    }));
}

/// In a healthy fleet of a hundred members a change becomes active everywhere within seconds.
#[test]
fn a_push_becomes_active_on_all_of_a_hundred_members() {
    let mut sim = Simulation::new(100, 3, ActivationMode::Wait, 5);
    sim.run(sim.now + secs(20.0));
    sim.push(7, 1, b"one");
    let started_at = sim.now;
    while sim.active().iter().any(|active| *active != 1) {
        sim.run(sim.now + secs(0.5));
        assert!(sim.now < started_at + secs(60.0), "{:?}", sim.active());
    }
}

/// Ten thousand simulations, run by hand: `cargo test --release -p badgerledge-revisions -- --ignored
/// --nocapture`.
#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn ten_thousand_seeds() {
    let (mut worst, mut activated) = (0.0f64, 0);
    for seed in 0..10_000 {
        let (max_certified, longest, bound, changes) = simulate(seed, Faults::default());
        assert!(max_certified <= 1, "seed {seed}: {max_certified} certified with one number");
        assert!(longest <= bound, "seed {seed}: contradicting for {longest:?} of {bound:?}");
        worst = worst.max(longest.as_secs_f64() / bound.as_secs_f64());
        activated += changes;
    }
    println!("10,000 runs: none failed, {activated} revisions activated, longest contradiction {worst:.2} of the bound");
}

/// Time from a push until each member activates it, by fleet size and loss, in simulated time. Run by hand
/// like the one above; `badgerledge-gossip-lab pushes` draws its output.
#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn times_from_a_push_to_activation() {
    for members in [3, 30, 100, 300, 1000] {
        for loss in [0.0, 0.1, 0.3] {
            let (mut times, mut longest) = (Vec::new(), 0.0f64);
            for seed in 0..if members < 300 { 20 } else { 3 } {
                let mut sim = Simulation::new(members, 3, ActivationMode::Wait, seed);
                sim.run(sim.now + secs(30.0));
                sim.loss = loss;
                let (started_at, bound) = (sim.now, sim.bound());
                sim.push(members - 1, 1, b"one");
                let mut activated = vec![None; usize::from(members)];
                while activated.iter().any(Option::is_none) && sim.now < started_at + secs(600.0) {
                    sim.run(sim.now + secs(0.1));
                    for (at, _) in activated.iter_mut().zip(sim.active()).filter(|one| one.1 == 1) {
                        at.get_or_insert((sim.now - started_at).as_secs_f64());
                    }
                }
                times.extend(activated.iter().map(|at| at.unwrap_or(f64::INFINITY)));
                longest = longest.max(sim.longest_contradiction.as_secs_f64() / bound.as_secs_f64());
            }
            times.sort_by(f64::total_cmp);
            let at = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize];
            let line = serde_json::json!({"members": members, "loss": loss, "p50_s": at(0.5), "p99_s": at(0.99),
                "last_s": at(1.0), "contradiction_of_bound": longest});
            println!("{line}");
        }
    }
}

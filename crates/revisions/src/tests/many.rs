//! Thousands of plays, each from its seed: cuts one way and both, losses, stalls, deaths with and without disks, pushes
//! on both sides of a split. In none are two different revisions certified with one number, and in none do two members
//! act on contradicting ones for longer than the bound.

use std::time::Duration;

use super::net::{Broken, Net};
use crate::{Member, Regime};

fn secs(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

/// One play: what was certified with one number at most, the longest contradiction beside its bound, and how many
/// revisions were acted on.
fn play(seed: u64, broken: Broken) -> (usize, Duration, Duration, usize) {
    let (members, keepers) =
        ([3, 5, 8][seed as usize % 3], [3, 5][seed as usize / 3 % 2].min(3 + seed as u16 % 3));
    play_of(seed, members, keepers.min(members), broken)
}

/// The same with so many members. What lasts is as long against the lease whatever the size.
fn play_of(
    seed: u64, members: Member, keepers: Member, broken: Broken,
) -> (usize, Duration, Duration, usize) {
    let regime = if seed.is_multiple_of(2) { Regime::Wait } else { Regime::Hold };
    let mut net = Net::new(members, keepers, regime, seed);
    net.broken = broken;
    let leases = crate::lease_for(usize::from(members)).as_secs_f64() / 3.0;
    net.run(net.now + secs(3.0 * leases));
    for step in 0..7 {
        let who = (net.chance.unit_interval() * f64::from(members)) as Member;
        let other = (net.chance.unit_interval() * f64::from(members)) as Member;
        match (net.chance.unit_interval() * 11.0) as u32 {
            0..=3 => net.push(who, 1 + step % 2, &[step as u8, who as u8]),
            4 => drop(net.cut.insert((who, other))),
            5 => {
                let side = |m: Member| m % 2 == who % 2;
                let all = (0..members).flat_map(|a| (0..members).map(move |b| (a, b)));
                net.cut.extend(all.filter(|(a, b)| side(*a) != side(*b)));
                net.push(who, 1, &[step as u8, 100]);
                net.push((who + 1) % members, 2, &[step as u8, 101]);
            }
            6 => net.cut.clear(),
            7 => net.stall(who, secs(6.0 * leases)),
            // One keeper at a time is without its disk: more at once is the stated limit.
            8 => {
                let others_know =
                    (0..keepers).all(|k| k == who || net.keeper(k).is_some_and(|k| !k.is_asking()));
                net.kill(who, others_know);
                net.run(net.now + secs(0.3));
                net.start(who);
            }
            // Half of all are killed, in the middle of whatever it is.
            9 => {
                let half: Vec<Member> = (0..members).filter(|member| member % 2 == other % 2).collect();
                half.iter().for_each(|member| net.kill(*member, false));
                let span = leases * net.chance.unit_interval();
                net.run(net.now + secs(span));
                half.iter().for_each(|member| net.start(*member));
            }
            _ => net.loss = net.chance.unit_interval() * 0.3,
        }
        let span = 4.0 * leases * net.chance.unit_interval();
        net.run(net.now + secs(span));
    }
    net.cut.clear();
    net.loss = 0.0;
    net.run(net.now + secs(20.0 * leases));
    let most = net.certified.values().map(std::collections::BTreeSet::len).max().unwrap_or(0);
    (most, net.longest, net.bound(), net.acted.len())
}

/// Plays of one size, held to the same.
fn plays_of(seeds: std::ops::Range<u64>, members: Member, keepers: Member) -> usize {
    let (mut worst, mut acted, plays) = (0.0f64, 0, seeds.end - seeds.start);
    for seed in seeds {
        let (most, longest, bound, changes) = play_of(seed, members, keepers, Broken::default());
        assert!(most <= 1, "{members} members, seed {seed}: {most} certified with one number");
        assert!(
            longest <= bound,
            "{members} members, seed {seed}: contradicting for {longest:?} of {bound:?}"
        );
        worst = worst.max(longest.as_secs_f64() / bound.as_secs_f64());
        acted += changes - 1;
    }
    println!("{members} members, {keepers} keepers: {plays} plays, none broken, {acted} revisions acted on, longest contradiction {worst:.2} of the bound");
    acted
}

#[test]
fn thirty_members_keep_to_it_too() {
    assert!(plays_of(0..6, 30, 5) > 2);
}

#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn plays_of_30() {
    plays_of(100..1100, 30, 5);
}

#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn plays_of_100() {
    plays_of(100..200, 100, 5);
}

#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn plays_of_300() {
    plays_of(100..116, 300, 5);
}

#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn plays_of_1000() {
    plays_of(100..102, 1000, 7);
}

#[test]
fn no_two_with_one_number_and_none_contradicts_for_longer_than_the_bound() {
    let mut acted = 0;
    for seed in 0..150 {
        let (most, longest, bound, changes) = play(seed, Broken::default());
        assert!(most <= 1, "seed {seed}: {most} certified with one number");
        assert!(longest <= bound, "seed {seed}: contradicting for {longest:?} of {bound:?}");
        acted += changes;
    }
    assert!(acted > 225, "too few changes were acted on for a proof: {acted}");
}

/// The checks bite: without leases the bound is broken, and with keepers that forget, two are certified.
#[test]
fn without_leases_or_memory_the_checks_fail() {
    let no_lease = Broken { no_lease: true, ..Broken::default() };
    assert!((0..600).any(|seed| {
        let (_, longest, bound, _) = play(seed, no_lease);
        longest > bound
    }));
}

/// A change reaches all of a calm fleet, and a hundred members need a handful of seconds for it.
#[test]
fn a_push_is_acted_on_by_all_of_a_hundred() {
    let mut net = Net::new(100, 3, Regime::Wait, 5);
    net.run(net.now + secs(20.0));
    net.push(7, 1, b"one");
    let begun = net.now;
    while net.active().iter().any(|active| *active != 1) {
        net.run(net.now + secs(0.5));
        assert!(net.now < begun + secs(60.0), "{:?}", net.active());
    }
}

/// Ten thousand plays, run by hand: `cargo test --release -p badgerledge-revisions -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn ten_thousand_plays() {
    let (mut worst, mut acted) = (0.0f64, 0);
    for seed in 0..10_000 {
        let (most, longest, bound, changes) = play(seed, Broken::default());
        assert!(most <= 1, "seed {seed}: {most} certified with one number");
        assert!(longest <= bound, "seed {seed}: contradicting for {longest:?} of {bound:?}");
        worst = worst.max(longest.as_secs_f64() / bound.as_secs_f64());
        acted += changes;
    }
    println!("10,000 plays: none broken, {acted} revisions acted on, the longest contradiction {worst:.2} of the bound");
}

/// From a push to each member's acting, by size and loss, in simulated time; run by hand as the one above; its lines are what
/// `badgerledge-gossip-lab pushes` draws.
#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn times_from_a_push_to_acting() {
    for members in [3, 30, 100, 300, 1000] {
        for loss in [0.0, 0.1, 0.3] {
            let (mut times, mut longest) = (Vec::new(), 0.0f64);
            for seed in 0..if members < 300 { 20 } else { 3 } {
                let mut net = Net::new(members, 3, Regime::Wait, seed);
                net.run(net.now + secs(30.0));
                net.loss = loss;
                let (begun, bound) = (net.now, net.bound());
                net.push(members - 1, 1, b"one");
                let mut acted = vec![None; usize::from(members)];
                while acted.iter().any(Option::is_none) && net.now < begun + secs(600.0) {
                    net.run(net.now + secs(0.1));
                    for (at, _) in acted.iter_mut().zip(net.active()).filter(|one| one.1 == 1) {
                        at.get_or_insert((net.now - begun).as_secs_f64());
                    }
                }
                times.extend(acted.iter().map(|at| at.unwrap_or(f64::INFINITY)));
                longest = longest.max(net.longest.as_secs_f64() / bound.as_secs_f64());
            }
            times.sort_by(f64::total_cmp);
            let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
            let line = serde_json::json!({"members": members, "loss": loss, "p50_s": at(0.5), "p99_s": at(0.99),
                "last_s": at(1.0), "contradiction_of_bound": longest});
            println!("{line}");
        }
    }
}

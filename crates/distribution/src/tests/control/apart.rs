//! Regions apart: a region that is cut off goes on for a stated time, and exclusive changes elsewhere wait for it that long
//! at most.

use std::time::Duration;

use super::super::edits::put;
use super::super::net::{region_of, Broken, Net, Node};
use super::IN_FORCE_WITHIN;
use crate::lease::{contradiction_bound, LEASE};
use crate::{ControllerId, MachineId, Number};

const MACHINES: MachineId = 6;
const ACCEPTORS: MachineId = 5;
const WATCHERS: ControllerId = 18;
const APART: Duration = Duration::from_secs(60);
/// What an exclusive change waits at most, beside its ordinary time: the lease at another clock's pace.
const WAITS: f64 = 60.0 * 1.01;
/// The region that is cut off: machines 2, an acceptor, and 5.
const CUT_OFF: u32 = 2;

fn settled_apart(seed: u64, broken: Broken) -> Net {
    settled_with(MACHINES, seed, broken)
}

fn settled_with(machines: MachineId, seed: u64, broken: Broken) -> Net {
    let mut net = Net::with_apart(machines, ACCEPTORS, WATCHERS, seed, APART);
    net.set_broken(broken);
    net.run_for(8.0);
    net.push(0, 1, vec![put("title 0", "first")]);
    net.run_until_acting(1, IN_FORCE_WITHIN);
    net.run_for(2.0);
    assert_eq!(net.active(), vec![Some(1); WATCHERS as usize]);
    net
}

fn cut_off(net: &mut Net) {
    net.split(|node| region_of(node) == CUT_OFF);
}

/// What the watchers of the region that is cut off, or of all others, act on.
fn acting(net: &Net, inside: bool) -> Vec<Option<Number>> {
    let active = net.active();
    let of_side = |me: &u32| (region_of(Node::Watcher(*me)) == CUT_OFF) == inside;
    (0..WATCHERS).filter(of_side).map(|me| active[me as usize]).collect()
}

fn all_act(net: &Net, inside: bool, number: Number) -> bool {
    acting(net, inside).iter().all(|active| *active == Some(number))
}

fn all_hold(net: &Net, inside: bool) -> bool {
    acting(net, inside).iter().all(Option::is_none)
}

/// Runs until it holds, and tells after how many seconds.
#[track_caller]
fn seconds_until(net: &mut Net, within: f64, mut holds: impl FnMut(&Net) -> bool) -> f64 {
    let begun = net.now;
    while !holds(net) {
        net.run_for(0.1);
        let took = (net.now - begun).as_secs_f64();
        assert!(took < within, "not in {within} s: {:?}", net.active());
    }
    (net.now - begun).as_secs_f64()
}

/// A region that is cut off admits under its old configuration for the stated time, and not for longer. Nobody in it ever
/// holds back before that.
#[test]
fn a_region_that_is_cut_off_goes_on_for_the_stated_time() {
    let mut net = settled_apart(40, Broken::default());
    cut_off(&mut net);
    let least = APART.as_secs_f64() - 4.0;
    let begun = net.now;
    while (net.now - begun).as_secs_f64() < least {
        net.run_for(0.1);
        assert!(all_act(&net, true, 1), "{:?} after {:?}", acting(&net, true), net.now - begun);
    }
    seconds_until(&mut net, 4.0 + LEASE.as_secs_f64() + 1.0, |net| all_hold(net, true));
    net.cut.clear();
    net.run_until_acting(1, IN_FORCE_WITHIN);
    net.check("apart and back");
}

/// With the setting off a region holds back after a lease, and nothing of this is said.
#[test]
fn off_a_region_holds_back_and_nothing_is_said() {
    let mut net = super::settled(MACHINES, ACCEPTORS, WATCHERS, 41);
    cut_off(&mut net);
    seconds_until(&mut net, LEASE.as_secs_f64() + 1.0, |net| all_hold(net, true));
    net.push(0, 1, vec![put("exclusive 1", "new")]);
    seconds_until(&mut net, IN_FORCE_WITHIN, |net| all_act(net, false, 2));
    assert_eq!(net.seen.apart_messages, 0);
    net.cut.clear();
    net.run_until_acting(2, IN_FORCE_WITHIN);
    net.check("off");
}

/// A free change is in force at once where the quorum is.
#[test]
fn a_free_change_waits_for_nobody() {
    let mut net = settled_apart(42, Broken::default());
    cut_off(&mut net);
    net.push(0, 1, vec![put("title 1", "new")]);
    seconds_until(&mut net, IN_FORCE_WITHIN, |net| all_act(net, false, 2));
    assert!(all_act(&net, true, 1));
    net.run_for(20.0);
    assert!(all_act(&net, true, 1), "{:?}", acting(&net, true));
    net.cut.clear();
    net.run_until_acting(2, IN_FORCE_WITHIN);
    net.check("free");
}

/// An exclusive change waits for the region, no longer than the stated time. What is free and comes after it is prepared
/// everywhere else meanwhile, and so has its effect.
#[test]
fn an_exclusive_change_waits_for_the_stated_time_at_most() {
    let mut net = settled_apart(43, Broken::default());
    cut_off(&mut net);
    let begun = net.now;
    net.push(0, 1, vec![put("exclusive 1", "new")]);
    net.run_for(10.0);
    for (key, revision) in [("title 1", 3), ("title 2", 4)] {
        let push = net.push(1, 2, vec![put(key, "new")]);
        let prepared = |net: &Net| net.seen.outcome(push) == Some(&Ok(revision)) && net.has_prepared(CUT_OFF);
        seconds_until(&mut net, IN_FORCE_WITHIN, prepared);
        assert!(all_act(&net, false, 1) && all_act(&net, true, 1), "{:?}", net.active());
    }
    let waits = net.machine(0).apart_status(net.now).waits_ms;
    let machines: Vec<MachineId> = waits.iter().map(|(machine, _)| *machine).collect();
    assert_eq!(machines, [2, 5]);
    seconds_until(&mut net, WAITS + IN_FORCE_WITHIN, |net| all_act(net, false, 4));
    let took = (net.now - begun).as_secs_f64();
    assert!(took > APART.as_secs_f64() - 4.0, "in force after {took} s");
    assert!(took < WAITS + IN_FORCE_WITHIN, "in force after {took} s");
    net.run_for(10.0);
    assert!(all_hold(&net, true));
    net.cut.clear();
    net.run_until_acting(4, IN_FORCE_WITHIN);
    net.check("exclusive");
}

/// A controller that starts without its disk while an exclusive change waits is given the last revision that may be acted on
/// first.
#[test]
fn a_watcher_without_its_disk_does_not_wait_for_the_exclusive_change() {
    let mut net = settled_apart(55, Broken::default());
    cut_off(&mut net);
    net.push(0, 1, vec![put("exclusive 1", "new")]);
    net.run_for(8.0);
    let outside = [0, 1, 3, 4];
    outside.iter().for_each(|me| net.kill_watcher(*me, true));
    outside.iter().for_each(|me| net.start_watcher(*me));
    seconds_until(&mut net, IN_FORCE_WITHIN, |net| all_act(net, false, 1) && net.has_prepared(CUT_OFF));
    seconds_until(&mut net, WAITS + IN_FORCE_WITHIN, |net| all_act(net, false, 2));
    net.cut.clear();
    net.run_until_acting(2, IN_FORCE_WITHIN);
    net.check("without its disk");
}

/// A region that is cut off in the middle of an exclusive change: where its machines had said to have it, they vouch for the
/// old one no more, and nobody waits for them.
#[test]
fn a_region_is_cut_off_in_the_middle_of_an_exclusive_change() {
    let (mut held, mut went_on) = (0, 0);
    for step in 1..20 {
        let mut net = settled_apart(53, Broken::default());
        net.push(0, 1, vec![put("exclusive 1", "new")]);
        net.run_for(0.05 * f64::from(step));
        cut_off(&mut net);
        net.run_for(2.0 * LEASE.as_secs_f64());
        let others_act = all_act(&net, false, 2);
        let region_goes_on = acting(&net, true).contains(&Some(1));
        assert!(!(others_act && region_goes_on), "cut off at step {step}: {:?}", net.active());
        held += u32::from(others_act);
        went_on += u32::from(region_goes_on);
        net.cut.clear();
        net.run_until_acting(2, IN_FORCE_WITHIN);
        net.check("cut off in the middle");
    }
    assert!(held > 0 && went_on > 0, "{held} and {went_on}: all was on one side");
}

/// A region that was not waited for any more is back for moments only: it may renew its leases, and must not go on with the
/// old configuration.
#[test]
fn a_region_that_is_back_for_a_moment_does_not_go_on_as_it_was() {
    let mut net = settled_apart(54, Broken::default());
    cut_off(&mut net);
    net.push(0, 1, vec![put("exclusive 1", "new")]);
    seconds_until(&mut net, WAITS + IN_FORCE_WITHIN, |net| all_act(net, false, 2));
    net.run_for(2.0 * LEASE.as_secs_f64());
    for step in 1..30 {
        net.cut.clear();
        net.run_for(0.05 * f64::from(step % 10));
        cut_off(&mut net);
        net.run_for(LEASE.as_secs_f64());
        assert!(!acting(&net, true).contains(&Some(1)), "step {step}: {:?}", net.active());
    }
    net.cut.clear();
    net.run_until_acting(2, IN_FORCE_WITHIN);
    net.check("back for moments");
}

/// Once the region is back it is not waited for any more.
#[test]
fn an_exclusive_change_is_in_force_when_the_region_is_back() {
    let mut net = settled_apart(44, Broken::default());
    cut_off(&mut net);
    net.push(0, 1, vec![put("exclusive 1", "new")]);
    net.run_for(25.0);
    assert!(all_act(&net, false, 1) && all_act(&net, true, 1), "{:?}", net.active());
    net.cut.clear();
    seconds_until(&mut net, IN_FORCE_WITHIN, |net| all_act(net, false, 2) && all_act(net, true, 2));
    net.check("exclusive and back");
}

/// With all machines there an exclusive change waits for nobody.
#[test]
fn an_exclusive_change_takes_its_ordinary_time_where_all_are_there() {
    let mut net = settled_apart(45, Broken::default());
    for revision in 2..6 {
        net.push(0, 1, vec![put("exclusive 1", &revision.to_string())]);
        let took = net.run_until_acting(revision, IN_FORCE_WITHIN).as_secs_f64();
        assert!(took < 6.0, "{took} s");
    }
    net.check("exclusive, whole");
}

/// A machine that died with its relay lease is waited for that long at most; one that is started again, only until it has
/// prepared the change.
#[test]
fn a_dead_machine_is_waited_for_until_it_is_back_or_its_lease_is_over() {
    for (back, within) in [(true, IN_FORCE_WITHIN), (false, WAITS + IN_FORCE_WITHIN)] {
        for wiped in [false, true] {
            let mut net = settled_apart(46, Broken::default());
            net.kill_machine(5, wiped);
            net.push(0, 1, vec![put("exclusive 1", "new")]);
            net.run_for(10.0);
            assert!(net.active().iter().all(|active| *active == Some(1)), "{:?}", net.active());
            if back {
                net.start_machine(5);
            }
            seconds_until(&mut net, within, |net| all_act(net, false, 2) && all_act(net, true, 2));
            net.start_machine(5);
            net.run_for(10.0);
            net.check("dead machine");
        }
    }
}

/// A relay of the region that is cut off starts anew, without its memory and its lease: alone the other one can't keep the
/// region, which holds back.
#[test]
fn a_relay_that_starts_anew_in_a_region_apart_vouches_for_nothing() {
    for wiped in [false, true] {
        let mut net = settled_apart(47, Broken::default());
        cut_off(&mut net);
        net.run_for(10.0);
        net.kill_machine(5, wiped);
        net.start_machine(5);
        seconds_until(&mut net, LEASE.as_secs_f64() + 2.0, |net| all_hold(net, true));
        net.push(0, 1, vec![put("exclusive 1", "new")]);
        seconds_until(&mut net, WAITS + IN_FORCE_WITHIN, |net| all_act(net, false, 2));
        assert!(all_hold(&net, true));
        net.cut.clear();
        net.run_until_acting(2, IN_FORCE_WITHIN);
        net.check("relay reborn apart");
    }
}

/// Acceptors that start anew while a region is apart don't know what they granted: they wait for the whole time again, and
/// the others for a quorum of them, with all leases in order.
#[test]
fn acceptors_that_start_anew_wait_again() {
    // Two of the four that are reached: the others must not go on without them. Three: with the other one they are a quorum,
    // if they thought that nobody had a lease.
    for reborn in [&[0, 1][..], &[0, 1, 3]] {
        let mut net = settled_apart(48, Broken::default());
        cut_off(&mut net);
        net.push(0, 1, vec![put("exclusive 1", "new")]);
        net.run_for(40.0);
        for acceptor in reborn {
            net.kill_machine(*acceptor, false);
            net.start_machine(*acceptor);
            net.run_for(3.0);
        }
        let begun = net.now;
        while !all_act(&net, false, 2) {
            net.run_for(0.1);
            let all = acting(&net, false);
            assert!(all.iter().all(Option::is_some), "{all:?} after {:?}", net.now - begun);
            assert!((net.now - begun).as_secs_f64() < WAITS + IN_FORCE_WITHIN);
        }
        net.run_for(3.0 * LEASE.as_secs_f64());
        net.cut.clear();
        net.run_until_acting(2, IN_FORCE_WITHIN);
        net.check("acceptors reborn");
    }
}

/// One of a region's three machines that lies can't keep its watchers on an old revision; two can, and the check sees it.
#[test]
fn one_machine_that_lies_extends_nothing() {
    for liars in [1, 2] {
        let mut net = settled_with(9, 49, Broken::default());
        net.false_vouchers = [2, 5].into_iter().take(liars).collect();
        cut_off(&mut net);
        net.push(0, 1, vec![put("exclusive 1", "new")]);
        seconds_until(&mut net, WAITS + IN_FORCE_WITHIN, |net| all_act(net, false, 2));
        net.run_for(3.0 * LEASE.as_secs_f64());
        let contradicting = net.seen.longest > contradiction_bound(super::super::net::LATE);
        assert_eq!(contradicting, liars > 1, "{:?}", acting(&net, true));
        assert_eq!(all_hold(&net, true), liars == 1, "{:?}", acting(&net, true));
    }
}

/// Where machines take nothing for exclusive, a change goes into force while the region goes on: the check sees it.
#[test]
fn the_check_fails_where_nothing_waits() {
    let mut net = settled_apart(50, Broken { nothing_exclusive: true, ..Broken::default() });
    cut_off(&mut net);
    net.push(0, 1, vec![put("exclusive 1", "new")]);
    net.run_for(30.0);
    let faults = net.seen.faults();
    assert!(faults.iter().any(|fault| fault.contains("contradicting")), "{faults:?}");
}

/// Ways that are cut in one direction only: what the region hears, or what is heard of it, is cut.
#[test]
fn a_region_that_only_hears_or_is_only_heard() {
    for out in [false, true] {
        let mut net = settled_apart(51, Broken::default());
        cut_off(&mut net);
        let open = |(from, _): &(Node, Node)| (region_of(*from) == CUT_OFF) == out;
        net.cut.retain(|ends| open(ends));
        net.push(0, 1, vec![put("exclusive 1", "new")]);
        seconds_until(&mut net, WAITS + IN_FORCE_WITHIN, |net| all_act(net, false, 2));
        net.run_for(10.0);
        net.cut.clear();
        net.run_until_acting(2, IN_FORCE_WITHIN);
        net.check(&format!("one way, out {out}"));
    }
}

/// All regions lose each other: each goes on for the stated time.
#[test]
fn all_regions_lose_each_other() {
    let mut net = settled_apart(52, Broken::default());
    for region in 0..3 {
        net.split(|node| region_of(node) == region);
    }
    let begun = net.now;
    while (net.now - begun).as_secs_f64() < APART.as_secs_f64() - 4.0 {
        net.run_for(0.1);
        let active = net.active();
        assert!(active.iter().all(|acting| *acting == Some(1)), "{active:?} after {:?}", net.now - begun);
    }
    net.cut.clear();
    net.run_until_acting(1, IN_FORCE_WITHIN);
    net.check("all apart");
}

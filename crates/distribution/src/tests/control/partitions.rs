//! Tests of partitioned regions: such a region continues with its configuration for a stated time, and
//! exclusive changes elsewhere wait for it at most that long.

use std::time::Duration;

use super::super::edits::put;
use super::super::net::{region_of, DisabledMechanisms, Net, Node};
use super::MAX_ACTIVATION_S;
use crate::lease::{contradiction_bound, LEASE};
use crate::{ControllerId, MachineId, Number};

const MACHINES: MachineId = 6;
const ACCEPTORS: MachineId = 5;
const WATCHERS: ControllerId = 18;
const MAX_PARTITION: Duration = Duration::from_secs(60);
/// The maximum wait of an exclusive change in seconds, in addition to its usual time: the relay lease with a
/// clock that runs 1 % slower.
const MAX_WAIT_S: f64 = 60.0 * 1.01;
/// The partitioned region. It has machine 2, an acceptor, and machine 5.
const PARTITIONED_REGION: u32 = 2;

fn settled_with_regional_leases(seed: u64, disabled: DisabledMechanisms) -> Net {
    settled_with_machines(MACHINES, seed, disabled)
}

fn settled_with_machines(machines: MachineId, seed: u64, disabled: DisabledMechanisms) -> Net {
    let mut net = Net::with_max_partition(machines, ACCEPTORS, WATCHERS, seed, MAX_PARTITION);
    net.disable(disabled);
    net.run_for(8.0);
    net.push(0, 1, vec![put("title 0", "first")]);
    net.run_until_acting(1, MAX_ACTIVATION_S);
    net.run_for(2.0);
    assert_eq!(net.active(), vec![Some(1); WATCHERS as usize]);
    net
}

fn partition(net: &mut Net) {
    net.split(|node| region_of(node) == PARTITIONED_REGION);
}

/// The active revisions of the watchers inside the partitioned region, or of all others.
fn active_revisions(net: &Net, inside: bool) -> Vec<Option<Number>> {
    let active = net.active();
    let on_side = |node_id: &u32| (region_of(Node::Watcher(*node_id)) == PARTITIONED_REGION) == inside;
    (0..WATCHERS).filter(on_side).map(|node_id| active[node_id as usize]).collect()
}

fn all_active(net: &Net, inside: bool, number: Number) -> bool {
    active_revisions(net, inside).iter().all(|active| *active == Some(number))
}

fn none_active(net: &Net, inside: bool) -> bool {
    active_revisions(net, inside).iter().all(Option::is_none)
}

/// Runs until `holds` is true, and returns after how many seconds.
#[track_caller]
fn run_until(net: &mut Net, max_s: f64, mut holds: impl FnMut(&Net) -> bool) -> f64 {
    let started_at = net.now;
    while !holds(net) {
        net.run_for(0.1);
        let elapsed_s = (net.now - started_at).as_secs_f64();
        assert!(elapsed_s < max_s, "not in {max_s} s: {:?}", net.active());
    }
    (net.now - started_at).as_secs_f64()
}

/// A partitioned region acts on its old configuration for the stated time, and no longer. None of its
/// watchers stops acting before.
#[test]
fn a_partitioned_region_continues_for_the_stated_time() {
    let mut net = settled_with_regional_leases(40, DisabledMechanisms::default());
    partition(&mut net);
    let min_s = MAX_PARTITION.as_secs_f64() - 4.0;
    let started_at = net.now;
    while (net.now - started_at).as_secs_f64() < min_s {
        net.run_for(0.1);
        assert!(
            all_active(&net, true, 1),
            "{:?} after {:?}",
            active_revisions(&net, true),
            net.now - started_at
        );
    }
    run_until(&mut net, 4.0 + LEASE.as_secs_f64() + 1.0, |net| none_active(net, true));
    net.cut.clear();
    net.run_until_acting(1, MAX_ACTIVATION_S);
    net.check("partitioned and reconnected");
}

/// With the setting off, a region stops acting when its leases expire, and no messages about regional leases
/// are sent.
#[test]
fn without_the_setting_a_region_stops_and_sends_no_regional_messages() {
    let mut net = super::settled_network(MACHINES, ACCEPTORS, WATCHERS, 41);
    partition(&mut net);
    run_until(&mut net, LEASE.as_secs_f64() + 1.0, |net| none_active(net, true));
    net.push(0, 1, vec![put("exclusive 1", "new")]);
    run_until(&mut net, MAX_ACTIVATION_S, |net| all_active(net, false, 2));
    assert_eq!(net.observed.regional_messages, 0);
    net.cut.clear();
    net.run_until_acting(2, MAX_ACTIVATION_S);
    net.check("off");
}

/// A change that is not exclusive is activated without a wait on the side of the quorum.
#[test]
fn a_change_that_is_not_exclusive_does_not_wait() {
    let mut net = settled_with_regional_leases(42, DisabledMechanisms::default());
    partition(&mut net);
    net.push(0, 1, vec![put("title 1", "new")]);
    run_until(&mut net, MAX_ACTIVATION_S, |net| all_active(net, false, 2));
    assert!(all_active(&net, true, 1));
    net.run_for(20.0);
    assert!(all_active(&net, true, 1), "{:?}", active_revisions(&net, true));
    net.cut.clear();
    net.run_until_acting(2, MAX_ACTIVATION_S);
    net.check("not exclusive");
}

/// An exclusive change waits for the region, but no longer than the stated time. Later changes that are not
/// exclusive are meanwhile prepared everywhere else, and are activated together with it.
#[test]
fn an_exclusive_change_waits_for_the_stated_time_at_most() {
    let mut net = settled_with_regional_leases(43, DisabledMechanisms::default());
    partition(&mut net);
    let started_at = net.now;
    net.push(0, 1, vec![put("exclusive 1", "new")]);
    net.run_for(10.0);
    for (key, revision) in [("title 1", 3), ("title 2", 4)] {
        let push = net.push(1, 2, vec![put(key, "new")]);
        let prepared = |net: &Net| {
            net.observed.outcome(push) == Some(&Ok(revision)) && net.has_prepared(PARTITIONED_REGION)
        };
        run_until(&mut net, MAX_ACTIVATION_S, prepared);
        assert!(all_active(&net, false, 1) && all_active(&net, true, 1), "{:?}", net.active());
    }
    let waits = net.machine(0).partition_status(net.now).waits_ms;
    let machines: Vec<MachineId> = waits.iter().map(|(machine, _)| *machine).collect();
    assert_eq!(machines, [2, 5]);
    run_until(&mut net, MAX_WAIT_S + MAX_ACTIVATION_S, |net| all_active(net, false, 4));
    let elapsed_s = (net.now - started_at).as_secs_f64();
    assert!(elapsed_s > MAX_PARTITION.as_secs_f64() - 4.0, "active after {elapsed_s} s");
    assert!(elapsed_s < MAX_WAIT_S + MAX_ACTIVATION_S, "active after {elapsed_s} s");
    net.run_for(10.0);
    assert!(none_active(&net, true));
    net.cut.clear();
    net.run_until_acting(4, MAX_ACTIVATION_S);
    net.check("exclusive");
}

/// A controller that starts without its disk while an exclusive change waits first receives the last revision
/// whose activation is allowed.
#[test]
fn a_watcher_without_its_disk_does_not_wait_for_the_exclusive_change() {
    let mut net = settled_with_regional_leases(55, DisabledMechanisms::default());
    partition(&mut net);
    net.push(0, 1, vec![put("exclusive 1", "new")]);
    net.run_for(8.0);
    let outside = [0, 1, 3, 4];
    outside.iter().for_each(|node_id| net.kill_watcher(*node_id, true));
    outside.iter().for_each(|node_id| net.start_watcher(*node_id));
    run_until(&mut net, MAX_ACTIVATION_S, |net| {
        all_active(net, false, 1) && net.has_prepared(PARTITIONED_REGION)
    });
    run_until(&mut net, MAX_WAIT_S + MAX_ACTIVATION_S, |net| all_active(net, false, 2));
    net.cut.clear();
    net.run_until_acting(2, MAX_ACTIVATION_S);
    net.check("without its disk");
}

/// A region is partitioned in the middle of an exclusive change. If its machines had already reported that
/// they prepared it, they no longer vouch for the old revision, and the others do not wait for them.
#[test]
fn a_region_is_partitioned_in_the_middle_of_an_exclusive_change() {
    let (mut activated, mut continued) = (0, 0);
    for step in 1..20 {
        let mut net = settled_with_regional_leases(53, DisabledMechanisms::default());
        net.push(0, 1, vec![put("exclusive 1", "new")]);
        net.run_for(0.05 * f64::from(step));
        partition(&mut net);
        net.run_for(2.0 * LEASE.as_secs_f64());
        let others_activated = all_active(&net, false, 2);
        let region_continues = active_revisions(&net, true).contains(&Some(1));
        assert!(!(others_activated && region_continues), "cut off at step {step}: {:?}", net.active());
        activated += u32::from(others_activated);
        continued += u32::from(region_continues);
        net.cut.clear();
        net.run_until_acting(2, MAX_ACTIVATION_S);
        net.check("partitioned in the middle");
    }
    assert!(
        activated > 0 && continued > 0,
        "activated {activated} times, continued {continued} times: one case is missing"
    );
}

/// The wait for a region is over, and it is reconnected only for moments. It may renew its leases then, but
/// must not act on the old configuration again.
#[test]
fn a_region_reconnected_for_moments_does_not_act_on_the_old_revision() {
    let mut net = settled_with_regional_leases(54, DisabledMechanisms::default());
    partition(&mut net);
    net.push(0, 1, vec![put("exclusive 1", "new")]);
    run_until(&mut net, MAX_WAIT_S + MAX_ACTIVATION_S, |net| all_active(net, false, 2));
    net.run_for(2.0 * LEASE.as_secs_f64());
    for step in 1..30 {
        net.cut.clear();
        net.run_for(0.05 * f64::from(step % 10));
        partition(&mut net);
        net.run_for(LEASE.as_secs_f64());
        assert!(!active_revisions(&net, true).contains(&Some(1)), "step {step}: {:?}", net.active());
    }
    net.cut.clear();
    net.run_until_acting(2, MAX_ACTIVATION_S);
    net.check("reconnected for moments");
}

/// Once the region is reconnected, the change is activated without a further wait.
#[test]
fn an_exclusive_change_is_activated_when_the_region_is_reconnected() {
    let mut net = settled_with_regional_leases(44, DisabledMechanisms::default());
    partition(&mut net);
    net.push(0, 1, vec![put("exclusive 1", "new")]);
    net.run_for(25.0);
    assert!(all_active(&net, false, 1) && all_active(&net, true, 1), "{:?}", net.active());
    net.cut.clear();
    run_until(&mut net, MAX_ACTIVATION_S, |net| all_active(net, false, 2) && all_active(net, true, 2));
    net.check("exclusive and reconnected");
}

/// With all machines connected, an exclusive change takes no longer than others.
#[test]
fn an_exclusive_change_is_not_delayed_when_all_are_connected() {
    let mut net = settled_with_regional_leases(45, DisabledMechanisms::default());
    for revision in 2..6 {
        net.push(0, 1, vec![put("exclusive 1", &revision.to_string())]);
        let elapsed_s = net.run_until_acting(revision, MAX_ACTIVATION_S).as_secs_f64();
        assert!(elapsed_s < 6.0, "{elapsed_s} s");
    }
    net.check("exclusive, all connected");
}

/// A machine that stopped while it had a relay lease is waited for at most the stated time; if it is
/// restarted, only until it has prepared the change.
#[test]
fn a_stopped_machine_is_waited_for_until_it_is_back_or_its_lease_expires() {
    for (restart, max_s) in [(true, MAX_ACTIVATION_S), (false, MAX_WAIT_S + MAX_ACTIVATION_S)] {
        for wiped in [false, true] {
            let mut net = settled_with_regional_leases(46, DisabledMechanisms::default());
            net.kill_machine(5, wiped);
            net.push(0, 1, vec![put("exclusive 1", "new")]);
            net.run_for(10.0);
            assert!(net.active().iter().all(|active| *active == Some(1)), "{:?}", net.active());
            if restart {
                net.start_machine(5);
            }
            run_until(&mut net, max_s, |net| all_active(net, false, 2) && all_active(net, true, 2));
            net.start_machine(5);
            net.run_for(10.0);
            net.check("stopped machine");
        }
    }
}

/// A relay of the partitioned region restarts and has lost its lease. The other one alone cannot grant
/// regional leases, so the region stops acting.
#[test]
fn a_relay_restarted_in_a_partitioned_region_does_not_vouch() {
    for wiped in [false, true] {
        let mut net = settled_with_regional_leases(47, DisabledMechanisms::default());
        partition(&mut net);
        net.run_for(10.0);
        net.kill_machine(5, wiped);
        net.start_machine(5);
        run_until(&mut net, LEASE.as_secs_f64() + 2.0, |net| none_active(net, true));
        net.push(0, 1, vec![put("exclusive 1", "new")]);
        run_until(&mut net, MAX_WAIT_S + MAX_ACTIVATION_S, |net| all_active(net, false, 2));
        assert!(none_active(&net, true));
        net.cut.clear();
        net.run_until_acting(2, MAX_ACTIVATION_S);
        net.check("relay restarted in a partition");
    }
}

/// Acceptors that restart while a region is partitioned do not know which relay leases they granted. They
/// wait for the whole time again, and the others wait for a quorum of them; the leases of all other watchers
/// stay valid.
#[test]
fn restarted_acceptors_wait_again() {
    // Two of the four connected acceptors: the others must not continue without them. Three of them: with the
    // other one they would be a quorum if they assumed that no machine had a lease.
    for restarted in [&[0, 1][..], &[0, 1, 3]] {
        let mut net = settled_with_regional_leases(48, DisabledMechanisms::default());
        partition(&mut net);
        net.push(0, 1, vec![put("exclusive 1", "new")]);
        net.run_for(40.0);
        for acceptor in restarted {
            net.kill_machine(*acceptor, false);
            net.start_machine(*acceptor);
            net.run_for(3.0);
        }
        let started_at = net.now;
        while !all_active(&net, false, 2) {
            net.run_for(0.1);
            let others = active_revisions(&net, false);
            assert!(others.iter().all(Option::is_some), "{others:?} after {:?}", net.now - started_at);
            assert!((net.now - started_at).as_secs_f64() < MAX_WAIT_S + MAX_ACTIVATION_S);
        }
        net.run_for(3.0 * LEASE.as_secs_f64());
        net.cut.clear();
        net.run_until_acting(2, MAX_ACTIVATION_S);
        net.check("acceptors restarted");
    }
}

/// One faulty machine of a region's three cannot keep its watchers on an old revision. Two can, and the check
/// detects it.
#[test]
fn one_faulty_machine_cannot_extend_regional_leases() {
    for faulty_count in [1, 2] {
        let mut net = settled_with_machines(9, 49, DisabledMechanisms::default());
        net.false_vouchers = [2, 5].into_iter().take(faulty_count).collect();
        partition(&mut net);
        net.push(0, 1, vec![put("exclusive 1", "new")]);
        run_until(&mut net, MAX_WAIT_S + MAX_ACTIVATION_S, |net| all_active(net, false, 2));
        net.run_for(3.0 * LEASE.as_secs_f64());
        let contradicting =
            net.observed.longest_contradiction > contradiction_bound(super::super::net::ACTIVATION_DELAY);
        assert_eq!(contradicting, faulty_count > 1, "{:?}", active_revisions(&net, true));
        assert_eq!(none_active(&net, true), faulty_count == 1, "{:?}", active_revisions(&net, true));
    }
}

/// If machines classify nothing as exclusive, a change is activated while the region acts on the old
/// revision. The check detects it.
#[test]
fn the_check_fails_if_nothing_is_exclusive() {
    let mut net = settled_with_regional_leases(
        50,
        DisabledMechanisms { nothing_exclusive: true, ..DisabledMechanisms::default() },
    );
    partition(&mut net);
    net.push(0, 1, vec![put("exclusive 1", "new")]);
    net.run_for(30.0);
    let faults = net.observed.faults();
    assert!(faults.iter().any(|fault| fault.contains("contradicting")), "{faults:?}");
}

/// The region is partitioned in one direction only: it receives nothing, or nothing that it sends arrives.
#[test]
fn a_region_is_partitioned_in_one_direction() {
    for out in [false, true] {
        let mut net = settled_with_regional_leases(51, DisabledMechanisms::default());
        partition(&mut net);
        let open = |(from, _): &(Node, Node)| (region_of(*from) == PARTITIONED_REGION) == out;
        net.cut.retain(|ends| open(ends));
        net.push(0, 1, vec![put("exclusive 1", "new")]);
        run_until(&mut net, MAX_WAIT_S + MAX_ACTIVATION_S, |net| all_active(net, false, 2));
        net.run_for(10.0);
        net.cut.clear();
        net.run_until_acting(2, MAX_ACTIVATION_S);
        net.check(&format!("one direction, out {out}"));
    }
}

/// All regions are partitioned from each other: each continues for the stated time.
#[test]
fn all_regions_are_partitioned_from_each_other() {
    let mut net = settled_with_regional_leases(52, DisabledMechanisms::default());
    for region in 0..3 {
        net.split(|node| region_of(node) == region);
    }
    let started_at = net.now;
    while (net.now - started_at).as_secs_f64() < MAX_PARTITION.as_secs_f64() - 4.0 {
        net.run_for(0.1);
        let active = net.active();
        assert!(
            active.iter().all(|acting| *acting == Some(1)),
            "{active:?} after {:?}",
            net.now - started_at
        );
    }
    net.cut.clear();
    net.run_until_acting(1, MAX_ACTIVATION_S);
    net.check("all partitioned");
}

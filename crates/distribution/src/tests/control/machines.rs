//! Tests of control machines that stop, are partitioned, slow, restarted without their state, or faulty.

use std::time::Duration;

use super::super::edits::put;
use super::super::net::{region_of, Node};
use super::{assert_active_in_time, settled_network};
use crate::MachineId;

/// A machine that is a relay only, not an acceptor.
const RELAY_ONLY: MachineId = 4;

#[test]
fn a_relay_is_killed_in_the_middle_of_a_change() {
    for after in [0.05, 0.2, 0.4, 0.8] {
        let mut net = settled_network(5, 3, 12, 3);
        net.push(0, 1, vec![put("title 1", "new")]);
        net.run_for(after);
        net.kill_machine(RELAY_ONLY, false);
        assert_active_in_time(&mut net, 2);
        net.start_machine(RELAY_ONLY);
        net.run_for(10.0);
        assert_eq!(net.machine(RELAY_ONLY).number(), 2);
        net.check("a relay killed");
    }
}

/// The machine that builds batches is killed while changes are pending: the next one takes them over.
#[test]
fn the_sequencer_is_killed_in_the_middle_of_a_change() {
    for after in [0.1, 0.2, 0.3, 0.5] {
        let mut net = settled_network(5, 3, 12, 4);
        let push = net.push(RELAY_ONLY, 1, vec![put("title 1", "new")]);
        net.run_for(after);
        net.kill_machine(0, false);
        assert_active_in_time(&mut net, 2);
        net.run_for(11.0);
        assert_eq!(net.observed.outcome(push), Some(&Ok(2)), "killed after {after} s");
        net.start_machine(0);
        net.run_for(10.0);
        net.check("the sequencer killed");
    }
}

/// No message of a relay reaches another machine, while it receives theirs and is connected to its watchers.
/// It cannot obtain leases, so its watchers switch to other relays.
#[test]
fn a_relay_whose_messages_to_other_machines_are_lost() {
    let mut net = settled_network(5, 3, 12, 5);
    let others = (0..RELAY_ONLY).map(|other| (Node::Machine(RELAY_ONLY), Node::Machine(other)));
    net.cut.extend(others.collect::<Vec<_>>());
    net.push(0, 1, vec![put("title 1", "new")]);
    assert_active_in_time(&mut net, 2);
    net.run_for(10.0);
    assert_eq!(net.machine(RELAY_ONLY).status(net.now).watchers, 0);
    net.check("outgoing messages lost");
}

/// A relay that is stalled for 2.5 of each 3 seconds delays a change, but does not block it.
#[test]
fn a_relay_is_slow_but_running() {
    let mut net = settled_network(5, 3, 12, 6);
    net.push(0, 1, vec![put("title 1", "new")]);
    let others: Vec<u32> = (0..12).filter(|watcher| region_of(Node::Watcher(*watcher)) != 1).collect();
    let mut elapsed_s = 0.0;
    while net.observed.highest() < 2 || net.lagging().iter().any(|watcher| others.contains(watcher)) {
        net.machines[usize::from(RELAY_ONLY)].stalled_until = net.now + Duration::from_secs_f64(2.5);
        net.run_for(3.0);
        elapsed_s += 3.0;
        assert!(elapsed_s <= 18.0, "{:?}", net.active());
    }
    net.run_for(30.0);
    net.check("slow");
}

/// An acceptor that lost its disk in the middle of a change recovers its state from the others.
#[test]
fn an_acceptor_restarts_without_its_state() {
    for (after, pause) in [(0.1, 0.5), (0.4, 0.1), (1.0, 3.0)] {
        let mut net = settled_network(5, 3, 12, 7);
        net.push(0, 1, vec![put("title 1", "new")]);
        net.run_for(after);
        net.kill_machine(1, true);
        net.run_for(pause);
        net.start_machine(1);
        assert_active_in_time(&mut net, 2);
        net.run_for(6.0);
        assert_eq!(net.machine(1).number(), 2);
        assert_eq!(net.machine(1).state().root(), net.machine(0).state().root());
        assert!(!net.machine(1).is_voting(), "it may have voted for the next number");
        net.check("restarted without its state");
    }
}

/// Two of three acceptors certified a revision that the third did not receive. One of the two loses its disk,
/// and the other is partitioned. The one without its disk must not vote for another revision with that
/// number. With `forgets_votes` it does, and the check detects it.
#[test]
fn an_acceptor_without_its_state_does_not_certify_a_contradicting_revision() {
    for forgets_votes in [false, true] {
        let mut net = settled_network(3, 3, 3, 24);
        net.disabled.forgets_votes = forgets_votes;
        net.split(|node| node == Node::Machine(2));
        net.push(0, 1, vec![put("title 1", "one")]);
        net.run_for(6.0);
        assert_eq!((net.observed.highest(), net.machine(2).number()), (2, 1));
        net.kill_machine(1, true);
        net.cut.clear();
        net.split(|node| node == Node::Machine(0));
        net.start_machine(1);
        net.run_for(6.0);
        net.push(2, 2, vec![put("title 1", "other")]);
        net.run_for(14.0);
        let twice = net.observed.faults().iter().any(|fault| fault.contains("certified with number 2"));
        assert_eq!(twice, forgets_votes, "{:?}", net.observed.faults());
        if !forgets_votes {
            net.cut.clear();
            net.run_for(40.0);
            net.check("restarted beside a lagging acceptor");
        }
    }
}

/// A faulty relay reports that its watchers prepared a revision, but sends them nothing: they stop acting,
/// and switch to other relays.
#[test]
fn a_relay_falsely_reports_its_watchers_as_ready() {
    let mut net = settled_network(5, 3, 12, 8);
    let watchers = |node_id: &MachineId| net.machine(*node_id).status(net.now).watchers;
    let faulty = (0..5).max_by_key(watchers).unwrap();
    assert!(watchers(&faulty) > 0);
    net.faulty_relays.insert(faulty);
    net.push(0, 1, vec![put("title 1", "new")]);
    assert_active_in_time(&mut net, 2);
    net.check("faulty relay");
}

/// A zone fails with its watchers and machines, one of which is an acceptor. The others continue, and the
/// whole zone restarts at once.
#[test]
fn a_zone_fails_with_its_control_machines() {
    let mut net = settled_network(6, 3, 30, 9);
    let machines: Vec<MachineId> = (0..6).filter(|node_id| region_of(Node::Machine(*node_id)) == 0).collect();
    let watchers: Vec<u32> = (0..30).filter(|node_id| region_of(Node::Watcher(*node_id)) == 0).collect();
    machines.iter().for_each(|node_id| net.kill_machine(*node_id, false));
    watchers.iter().for_each(|node_id| net.kill_watcher(*node_id, false));
    net.push(1, 1, vec![put("title 1", "new")]);
    assert_active_in_time(&mut net, 2);
    machines.iter().for_each(|node_id| net.start_machine(*node_id));
    watchers.iter().for_each(|node_id| net.start_watcher(*node_id));
    assert_active_in_time(&mut net, 2);
    net.check("a zone lost");
}

/// A partitioned region stops acting, and catches up when it is reconnected.
#[test]
fn a_region_is_partitioned_for_some_time() {
    let mut net = settled_network(6, 5, 18, 10);
    net.split(|node| region_of(node) == 2);
    for revision in 2..8 {
        net.push(0, 1, vec![put("title 1", &revision.to_string())]);
        net.run_for(8.0);
    }
    let highest = net.observed.highest();
    assert_eq!(highest, 7);
    let active = net.active();
    let cut_off = (0..18).filter(|node_id| region_of(Node::Watcher(*node_id)) == 2);
    assert!(cut_off.map(|node_id| active[node_id as usize]).all(|acting| acting.is_none()));
    net.cut.clear();
    assert_active_in_time(&mut net, highest);
    net.check("a region cut off");
}

/// A machine that was stopped for some revisions gets a delta; one without its disk gets a snapshot.
#[test]
fn a_machine_that_is_behind_catches_up() {
    for wiped in [false, true] {
        let mut net = settled_network(5, 3, 6, 11);
        net.kill_machine(RELAY_ONLY, wiped);
        for revision in 2..6 {
            net.push(0, 1, vec![put("title 1", &revision.to_string())]);
            assert_active_in_time(&mut net, revision);
        }
        net.start_machine(RELAY_ONLY);
        net.run_for(8.0);
        assert_eq!(net.machine(RELAY_ONLY).number(), 5);
        // It restores the same state from its disk.
        net.kill_machine(RELAY_ONLY, false);
        net.start_machine(RELAY_ONLY);
        assert_eq!(net.machine(RELAY_ONLY).number(), 5);
        net.check("lagging machine");
    }
}

/// All machines stop at once and restore their state.
#[test]
fn all_machines_restart_at_once() {
    let mut net = settled_network(5, 3, 12, 12);
    net.push(3, 1, vec![put("title 1", "new")]);
    net.run_for(0.35);
    (0..5).for_each(|node_id| net.kill_machine(node_id, false));
    (0..5).for_each(|node_id| net.start_machine(node_id));
    net.push(2, 2, vec![put("title 2", "new")]);
    net.run_for(30.0);
    assert!(net.observed.highest() >= 2);
    net.check("all restarted");
}

//! Tests of watchers that change their relay, are slow, or restart at the same time.

use std::time::Duration;

use super::super::edits::put;
use super::super::net::{region_of, Node};
use super::{assert_active_in_time, settled_network};
use crate::MachineId;

/// A watcher loses its relay between receiving a revision and activating it.
#[test]
fn a_watcher_changes_its_relay_in_the_middle_of_a_change() {
    for after in [0.2, 0.4, 0.5, 0.6, 0.8] {
        let mut net = settled_network(5, 3, 12, 20);
        net.push(0, 1, vec![put("title 1", "new")]);
        net.run_for(after);
        // Only the connection to the watcher's current relay is cut.
        let serving =
            (0..5 as MachineId).max_by_key(|node_id| net.machine(*node_id).status(net.now).watchers).unwrap();
        net.cut.insert((Node::Watcher(4), Node::Machine(serving)));
        net.cut.insert((Node::Machine(serving), Node::Watcher(4)));
        assert_active_in_time(&mut net, 2);
        net.check("another relay");
    }
}

/// A stalled watcher is waited for a limited time, must not act when it resumes, and then gets the newest
/// revision in one step.
#[test]
fn a_slow_watcher_gets_the_newest_revision() {
    let mut net = settled_network(5, 3, 12, 21);
    net.watchers[5].stalled_until = net.now + Duration::from_secs(25);
    for revision in 2..5 {
        net.push(0, 1, vec![put("title 1", &revision.to_string())]);
        let started_at = net.now;
        while net.lagging() != [5] || net.observed.highest() < revision {
            net.run_for(0.05);
            assert!(net.now < started_at + Duration::from_secs(8), "{:?}", net.active());
        }
    }
    let deltas = net.observed.deltas;
    assert_active_in_time(&mut net, 4);
    assert!(net.observed.deltas - deltas <= 3, "{} deltas", net.observed.deltas - deltas);
    net.check("slow watcher");
}

/// Half of a zone's watchers restart at once in the middle of a change, half of these without their disks.
#[test]
fn half_of_a_zone_restarts_at_once() {
    let mut net = settled_network(6, 3, 60, 22);
    let half: Vec<u32> =
        (0..60).filter(|node_id| region_of(Node::Watcher(*node_id)) == 0 && node_id % 2 == 0).collect();
    net.push(1, 1, vec![put("title 1", "new")]);
    net.run_for(0.3);
    half.iter().for_each(|node_id| net.kill_watcher(*node_id, node_id % 4 == 0));
    half.iter().for_each(|node_id| net.start_watcher(*node_id));
    assert_active_in_time(&mut net, 2);
    net.check("half a zone");
}

/// A watcher without its disk continues a snapshot where it was, although its stream breaks again and again.
#[test]
fn an_interrupted_snapshot_is_continued() {
    let mut net = settled_network(5, 3, 4, 23);
    // The machines' logs no longer reach back to revision 0, which the watcher starts from.
    let many = (0..1000).map(|n| put(&format!("big {n}"), &"x".repeat(100))).collect::<Vec<_>>();
    for (round, chunk) in many.chunks(250).enumerate() {
        net.push(0, 1, chunk.to_vec());
        assert_active_in_time(&mut net, 2 + round as u32);
    }
    (0..5).for_each(|node_id| net.kill_machine(node_id, false));
    net.forget_logs();
    (0..5).for_each(|node_id| net.start_machine(node_id));
    net.run_for(10.0);
    net.kill_watcher(2, true);
    net.start_watcher(2);
    for _ in 0..4 {
        net.run_for(2.0);
        net.break_streams_of(Node::Watcher(2));
    }
    let buckets = net.observed.buckets;
    assert!(buckets > 0, "the stream broke before any bucket was received");
    net.run_until_acting(5, 60.0);
    let distinct = 1000;
    assert!(net.observed.buckets <= distinct + 150, "{} buckets were sent", net.observed.buckets);
    net.check("a snapshot cut off");
}

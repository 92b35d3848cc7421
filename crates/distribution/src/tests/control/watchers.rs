//! Watchers that change their relay, are slow, or start at once.

use std::time::Duration;

use super::super::edits::put;
use super::super::net::{region_of, Node};
use super::{acted_on_in_time, settled};
use crate::MachineId;

/// Between hearing of a revision and acting on it a watcher loses its relay.
#[test]
fn a_watcher_changes_its_relay_in_the_middle_of_a_change() {
    for after in [0.2, 0.4, 0.5, 0.6, 0.8] {
        let mut net = settled(5, 3, 12, 20);
        net.push(0, 1, vec![put("title 1", "new")]);
        net.run_for(after);
        // Its relay is the only one that it can't reach any more.
        let serving = (0..5 as MachineId).max_by_key(|me| net.machine(*me).status(net.now).watchers).unwrap();
        net.cut.insert((Node::Watcher(4), Node::Machine(serving)));
        net.cut.insert((Node::Machine(serving), Node::Watcher(4)));
        acted_on_in_time(&mut net, 2);
        net.check("another relay");
    }
}

/// One that stands still is waited for a bounded time, holds back when it wakes, and is then given the newest in one step.
#[test]
fn a_slow_watcher_is_given_the_newest() {
    let mut net = settled(5, 3, 12, 21);
    net.watchers[5].stalled_until = net.now + Duration::from_secs(25);
    for revision in 2..5 {
        net.push(0, 1, vec![put("title 1", &revision.to_string())]);
        let begun = net.now;
        while net.behind() != [5] || net.seen.highest() < revision {
            net.run_for(0.05);
            assert!(net.now < begun + Duration::from_secs(8), "{:?}", net.active());
        }
    }
    let deltas = net.seen.deltas;
    acted_on_in_time(&mut net, 4);
    assert!(net.seen.deltas - deltas <= 3, "{} deltas", net.seen.deltas - deltas);
    net.check("slow watcher");
}

/// Half of a zone's watchers restart at once, half of them without disks, in the middle of a change.
#[test]
fn half_of_a_zone_restarts_at_once() {
    let mut net = settled(6, 3, 60, 22);
    let half: Vec<u32> = (0..60).filter(|me| region_of(Node::Watcher(*me)) == 0 && me % 2 == 0).collect();
    net.push(1, 1, vec![put("title 1", "new")]);
    net.run_for(0.3);
    half.iter().for_each(|me| net.kill_watcher(*me, me % 4 == 0));
    half.iter().for_each(|me| net.start_watcher(*me));
    acted_on_in_time(&mut net, 2);
    net.check("half a zone");
}

/// A watcher without a disk whose stream breaks again and again while it gets a snapshot goes on where it was.
#[test]
fn a_snapshot_is_cut_off_halfway() {
    let mut net = settled(5, 3, 4, 23);
    // The log no longer reaches the program's own file.
    let many = (0..1000).map(|n| put(&format!("big {n}"), &"x".repeat(100))).collect::<Vec<_>>();
    for (round, chunk) in many.chunks(250).enumerate() {
        net.push(0, 1, chunk.to_vec());
        acted_on_in_time(&mut net, 2 + round as u32);
    }
    (0..5).for_each(|me| net.kill_machine(me, false));
    net.forget_logs();
    (0..5).for_each(|me| net.start_machine(me));
    net.run_for(10.0);
    net.kill_watcher(2, true);
    net.start_watcher(2);
    for _ in 0..4 {
        net.run_for(2.0);
        net.break_streams_of(Node::Watcher(2));
    }
    let buckets = net.seen.buckets;
    assert!(buckets > 0, "it was cut off before anything came");
    net.run_until_acting(5, 60.0);
    let distinct = 1000;
    assert!(net.seen.buckets <= distinct + 150, "{} buckets were sent", net.seen.buckets);
    net.check("a snapshot cut off");
}

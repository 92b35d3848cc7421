//! Control machines that die, are cut off, slow, reborn or lying.

use std::time::Duration;

use super::super::edits::put;
use super::super::net::{region_of, Node};
use super::{acted_on_in_time, settled};
use crate::MachineId;

/// A machine without its part in the agreement: relay alone.
const PLAIN: MachineId = 4;

#[test]
fn a_relay_is_killed_in_the_middle_of_a_change() {
    for after in [0.05, 0.2, 0.4, 0.8] {
        let mut net = settled(5, 3, 12, 3);
        net.push(0, 1, vec![put("title 1", "new")]);
        net.run_for(after);
        net.kill_machine(PLAIN, false);
        acted_on_in_time(&mut net, 2);
        net.start_machine(PLAIN);
        net.run_for(10.0);
        assert_eq!(net.machine(PLAIN).number(), 2);
        net.check("a relay killed");
    }
}

/// The one that makes batches is killed with changes in its hands: the next one takes them over.
#[test]
fn the_sequencer_is_killed_in_the_middle_of_a_change() {
    for after in [0.1, 0.2, 0.3, 0.5] {
        let mut net = settled(5, 3, 12, 4);
        let push = net.push(PLAIN, 1, vec![put("title 1", "new")]);
        net.run_for(after);
        net.kill_machine(0, false);
        acted_on_in_time(&mut net, 2);
        net.run_for(11.0);
        assert_eq!(net.seen.outcome(push), Some(&Ok(2)), "killed after {after} s");
        net.start_machine(0);
        net.run_for(10.0);
        net.check("the sequencer killed");
    }
}

/// A relay whose words reach no other machine, while it hears them and its watchers hear it: it can hand down no lease, and its
/// watchers go elsewhere.
#[test]
fn cut_off_upwards_yet_heard_downwards() {
    let mut net = settled(5, 3, 12, 5);
    let others = (0..PLAIN).map(|other| (Node::Machine(PLAIN), Node::Machine(other)));
    net.cut.extend(others.collect::<Vec<_>>());
    net.push(0, 1, vec![put("title 1", "new")]);
    acted_on_in_time(&mut net, 2);
    net.run_for(10.0);
    assert_eq!(net.machine(PLAIN).status(net.now).watchers, 0);
    net.check("cut off upwards");
}

/// A relay that stands still for 2.5 of each 3 seconds delays a change, and does not hold it up.
#[test]
fn slow_rather_than_dead() {
    let mut net = settled(5, 3, 12, 6);
    net.push(0, 1, vec![put("title 1", "new")]);
    let others: Vec<u32> = (0..12).filter(|watcher| region_of(Node::Watcher(*watcher)) != 1).collect();
    let mut took = 0.0;
    while net.seen.highest() < 2 || net.behind().iter().any(|watcher| others.contains(watcher)) {
        net.machines[usize::from(PLAIN)].stalled_until = net.now + Duration::from_secs_f64(2.5);
        net.run_for(3.0);
        took += 3.0;
        assert!(took <= 18.0, "{:?}", net.active());
    }
    net.run_for(30.0);
    net.check("slow");
}

/// An acceptor that lost its disk in the middle of a change asks the others, and gets its state from them.
#[test]
fn reborn_without_its_state() {
    for (after, pause) in [(0.1, 0.5), (0.4, 0.1), (1.0, 3.0)] {
        let mut net = settled(5, 3, 12, 7);
        net.push(0, 1, vec![put("title 1", "new")]);
        net.run_for(after);
        net.kill_machine(1, true);
        net.run_for(pause);
        net.start_machine(1);
        acted_on_in_time(&mut net, 2);
        net.run_for(6.0);
        assert_eq!(net.machine(1).number(), 2);
        assert_eq!(net.machine(1).state().root(), net.machine(0).state().root());
        assert!(!net.machine(1).votes(), "it may have voted for the next number");
        net.check("reborn");
    }
}

/// Two of three acceptors certified a revision that the third did not hear of. One of them loses its disk, the other one is cut
/// off. It votes for no other with that number; one that forgets does, and the check sees it.
#[test]
fn reborn_where_only_it_could_contradict() {
    for forgets in [false, true] {
        let mut net = settled(3, 3, 3, 24);
        net.broken.forgets = forgets;
        net.split(|node| node == Node::Machine(2));
        net.push(0, 1, vec![put("title 1", "one")]);
        net.run_for(6.0);
        assert_eq!((net.seen.highest(), net.machine(2).number()), (2, 1));
        net.kill_machine(1, true);
        net.cut.clear();
        net.split(|node| node == Node::Machine(0));
        net.start_machine(1);
        net.run_for(6.0);
        net.push(2, 2, vec![put("title 1", "other")]);
        net.run_for(14.0);
        let twice = net.seen.faults().iter().any(|fault| fault.contains("certified with number 2"));
        assert_eq!(twice, forgets, "{:?}", net.seen.faults());
        if !forgets {
            net.cut.clear();
            net.run_for(40.0);
            net.check("reborn beside one that is behind");
        }
    }
}

/// A relay that says its watchers have a revision and sends them nothing: they hold back, and go elsewhere.
#[test]
fn lying_about_those_it_stands_for() {
    let mut net = settled(5, 3, 12, 8);
    let watchers = |me: &MachineId| net.machine(*me).status(net.now).watchers;
    let liar = (0..5).max_by_key(watchers).unwrap();
    assert!(watchers(&liar) > 0);
    net.liars.insert(liar);
    net.push(0, 1, vec![put("title 1", "new")]);
    acted_on_in_time(&mut net, 2);
    net.check("lying");
}

/// A zone with its machines and watchers, one acceptor among them, is gone; the others go on, and it comes back at once.
#[test]
fn a_zone_is_lost_with_its_control_machines() {
    let mut net = settled(6, 3, 30, 9);
    let machines: Vec<MachineId> = (0..6).filter(|me| region_of(Node::Machine(*me)) == 0).collect();
    let watchers: Vec<u32> = (0..30).filter(|me| region_of(Node::Watcher(*me)) == 0).collect();
    machines.iter().for_each(|me| net.kill_machine(*me, false));
    watchers.iter().for_each(|me| net.kill_watcher(*me, false));
    net.push(1, 1, vec![put("title 1", "new")]);
    acted_on_in_time(&mut net, 2);
    machines.iter().for_each(|me| net.start_machine(*me));
    watchers.iter().for_each(|me| net.start_watcher(*me));
    acted_on_in_time(&mut net, 2);
    net.check("a zone lost");
}

/// A region that is cut off holds back, and has what it missed when it is back.
#[test]
fn a_region_is_cut_off_for_some_time() {
    let mut net = settled(6, 5, 18, 10);
    net.split(|node| region_of(node) == 2);
    for revision in 2..8 {
        net.push(0, 1, vec![put("title 1", &revision.to_string())]);
        net.run_for(8.0);
    }
    let highest = net.seen.highest();
    assert_eq!(highest, 7);
    let active = net.active();
    let cut_off = (0..18).filter(|me| region_of(Node::Watcher(*me)) == 2);
    assert!(cut_off.map(|me| active[me as usize]).all(|acting| acting.is_none()));
    net.cut.clear();
    acted_on_in_time(&mut net, highest);
    net.check("a region cut off");
}

/// A machine that was off while the log of the others went on gets a delta; one without anything gets a snapshot.
#[test]
fn a_machine_that_is_behind_catches_up() {
    for wiped in [false, true] {
        let mut net = settled(5, 3, 6, 11);
        net.kill_machine(PLAIN, wiped);
        for revision in 2..6 {
            net.push(0, 1, vec![put("title 1", &revision.to_string())]);
            acted_on_in_time(&mut net, revision);
        }
        net.start_machine(PLAIN);
        net.run_for(8.0);
        assert_eq!(net.machine(PLAIN).number(), 5);
        // What it stored leads there again.
        net.kill_machine(PLAIN, false);
        net.start_machine(PLAIN);
        assert_eq!(net.machine(PLAIN).number(), 5);
        net.check("behind");
    }
}

/// All machines end at once and find their state again.
#[test]
fn all_machines_restart_at_once() {
    let mut net = settled(5, 3, 12, 12);
    net.push(3, 1, vec![put("title 1", "new")]);
    net.run_for(0.35);
    (0..5).for_each(|me| net.kill_machine(me, false));
    (0..5).for_each(|me| net.start_machine(me));
    net.push(2, 2, vec![put("title 2", "new")]);
    net.run_for(30.0);
    assert!(net.seen.highest() >= 2);
    net.check("all restarted");
}

//! Processes that fail in the middle of a change, and ways that are cut: the change is in force within the plan's bound
//! wherever it can be, and nobody acts on the old configuration past the stated bound elsewhere.

use std::time::{Duration, Instant};

use badgerledge_distribution::change::Rejection;
use rustix::process::Signal;

use crate::fleet::{bound, play, Fleet, IN_FORCE, PATIENCE};
use crate::harness::{status, RtspPeer};
use crate::old_and_new::{left, old_is_not_served_past_the_bound, push_change, shape, NEW, OLD};

/// The relay of a controller, and another control machine.
fn relay_of(fleet: &Fleet, controller: usize) -> (usize, usize) {
    let serves = fleet.wait_served(controller);
    (serves, (serves + 1) % fleet.machines.len())
}

/// Nothing passes between a controller and these relays.
fn cut_from_relays(fleet: &Fleet, controller: usize, relays: &[usize]) {
    let end = fleet.end_of(controller);
    relays.iter().for_each(|relay| fleet.network.change_between(true, *relay, end, |way| way.blocked = true));
}

#[test]
fn a_relay_is_killed_in_the_middle_of_a_change() {
    play(shape(), |fleet| {
        let (relay, other) = relay_of(fleet, 0);
        // So its controller can't have prepared the change when it dies.
        cut_from_relays(fleet, 0, &[relay]);
        let begun = push_change(fleet, other);
        fleet.machines[relay].kill();
        fleet.wait_set_ups(left(begun, IN_FORCE), &[0, 1, 2], NEW, 200);
        assert_ne!(fleet.wait_served(0), relay);
    });
}

#[test]
fn a_relay_cut_off_upwards_is_left_for_another() {
    play(shape(), |fleet| {
        let (relay, other) = relay_of(fleet, 0);
        let others: Vec<usize> = (0..3).filter(|machine| *machine != relay).collect();
        for peer in others {
            fleet.network.change_between(false, relay, peer, |way| way.blocked = true);
        }
        let begun = push_change(fleet, other);
        fleet.wait_set_ups(left(begun, IN_FORCE), &[0, 1, 2], NEW, 200);
        assert_ne!(fleet.wait_served(0), relay);
    });
}

#[test]
fn a_controller_with_a_relay_cut_off_upwards_alone_holds_back_in_time() {
    play(shape(), |fleet| {
        let (relay, other) = relay_of(fleet, 0);
        let others: Vec<usize> = (0..3).filter(|machine| *machine != relay).collect();
        for peer in &others {
            fleet.network.change_between(false, relay, *peer, |way| way.blocked = true);
        }
        cut_from_relays(fleet, 0, &others);
        let mut plays = RtspPeer::to(fleet.controllers[0].at);
        plays.set_up(1, OLD, 0xfff, "");
        assert_eq!(status(&plays.receive_message()), 200);
        let begun = push_change(fleet, other);
        fleet.wait_set_ups(left(begun, IN_FORCE), &[1], NEW, 200);
        let last = old_is_not_served_past_the_bound(fleet, 0, Instant::now());
        eprintln!("served by the old configuration until {last:?} after");
        // What plays plays on while new joins are held back.
        plays.send("OPTIONS * RTSP/1.0\nCSeq: 2\n\n");
        assert_eq!(status(&plays.receive_message()), 200);
        assert_eq!(fleet.metric(0, "badgerledge_subscriptions_playing"), 1.0);
        fleet.network.heal();
        fleet.wait_set_ups(IN_FORCE, &[0, 1, 2], NEW, 200);
    });
}

#[test]
fn a_relay_that_is_slow_rather_than_dead_is_left() {
    play(shape(), |fleet| {
        let (relay, other) = relay_of(fleet, 0);
        // Grants come too late for most of a lease, and the change too.
        let ends: Vec<usize> = (0..3).map(|controller| fleet.end_of(controller)).collect();
        fleet.network.with(move |links| {
            links.watchers.change_links(&[relay], &ends, |way| way.delay = Duration::from_secs(5));
        });
        let begun = push_change(fleet, other);
        fleet.wait_set_ups(left(begun, IN_FORCE), &[0, 1, 2], NEW, 200);
        // It is kept until another has shown that it serves.
        fleet.wait(left(begun, IN_FORCE), "another relay serves", |fleet| {
            fleet.serves(0).is_some_and(|serves| serves != relay)
        });
    });
}

#[test]
fn a_control_machine_that_hangs_holds_a_change_up_for_a_lease_at_most() {
    play(shape(), |fleet| {
        let (relay, other) = relay_of(fleet, 0);
        fleet.machines[relay].signal(Signal::STOP);
        let begun = push_change(fleet, other);
        fleet.wait_set_ups(left(begun, IN_FORCE), &[0, 1, 2], NEW, 200);
        assert_ne!(fleet.wait_served(0), relay);
        fleet.machines[relay].signal(Signal::CONT);
    });
}

#[test]
fn a_control_machine_reborn_without_its_state_catches_up_and_serves() {
    play(shape(), |fleet| {
        let (relay, other) = relay_of(fleet, 0);
        fleet.push_edits(relay, "[title 20]\nroom_type = clip\nfirst_cell = 0\ncopies = 1\n");
        fleet.wait_set_ups(IN_FORCE, &[0, 1, 2], 0x20, 200);
        fleet.machines[relay].kill();
        fleet.machines[relay].forget_state();
        let begun = push_change(fleet, other);
        fleet.machines[relay].restart();
        fleet.wait_set_ups(left(begun, IN_FORCE), &[0, 1, 2], NEW, 200);
        fleet.wait(left(begun, IN_FORCE), "the reborn machine has what the others have", |fleet| {
            fleet.machines[relay].status().is_some_and(|status| status.certified == 2 && status.active == 2)
        });
        // It serves a controller that reaches no other.
        let others: Vec<usize> = (0..3).filter(|machine| *machine != relay).collect();
        cut_from_relays(fleet, 0, &others);
        fleet.wait(PATIENCE, "the reborn machine serves", |fleet| fleet.serves(0) == Some(relay));
        fleet.wait_set_ups(PATIENCE, &[0], NEW, 200);
    });
}

#[test]
fn a_controller_changes_its_relay_in_the_middle_of_a_change() {
    play(shape(), |fleet| {
        let (relay, other) = relay_of(fleet, 0);
        cut_from_relays(fleet, 0, &[relay]);
        let begun = push_change(fleet, other);
        let end = fleet.end_of(0);
        fleet.network.change_between(true, relay, end, |way| {
            way.blocked = false;
            way.reset_streams = true;
        });
        fleet.wait_set_ups(left(begun, IN_FORCE), &[0, 1, 2], NEW, 200);
        assert_ne!(fleet.wait_served(0), relay);
    });
}

/// A controller that ends before it has prepared a change, and comes back while the others act on it.
fn restarted(with_disk: bool) {
    play(shape(), |fleet| {
        // Nothing of the change reaches it, also not by a relay that it tries beside the one that serves: what it stored,
        // or its file, is the old configuration.
        cut_from_relays(fleet, 0, &[0, 1, 2]);
        let begun = push_change(fleet, 1);
        fleet.controllers[0].kill();
        if !with_disk {
            fleet.forget_state(0);
        }
        fleet.wait_set_ups(left(begun, IN_FORCE), &[1, 2], NEW, 200);
        let acted_on = Instant::now();
        fleet.controllers[0].restart();
        fleet.controllers[0].wait_listed(1);
        let last = old_is_not_served_past_the_bound(fleet, 0, acted_on);
        assert_eq!(last, Duration::ZERO, "without a lease of its own nothing is served");
        fleet.network.heal();
        fleet.wait_set_ups(IN_FORCE, &[0], NEW, 200);
    });
}

#[test]
fn a_controller_is_restarted_with_its_disk_during_a_change() {
    restarted(true);
}

#[test]
fn a_controller_is_restarted_without_its_disk_during_a_change() {
    restarted(false);
}

#[test]
fn two_authors_push_on_both_sides_of_a_split() {
    play(shape(), |fleet| {
        for peer in [1, 2] {
            fleet.network.change_between(false, 0, peer, |way| way.blocked = true);
        }
        let title = |id: &str, copies: u32| {
            format!("[title {id}]\nroom_type = clip\nfirst_cell = 0\ncopies = {copies}\n")
        };
        let alone = fleet.change(0, 0, &title("30", 1));
        let conflicts = fleet.change(0, 0, &title("31", 2));
        let together = fleet.change(1, 0, &title("31", 1));
        let outcome = fleet.push(0, &alone, Duration::from_secs(3));
        assert!(!matches!(outcome, Ok(Ok(_))), "certified without a quorum: {outcome:?}");
        let begun = Instant::now();
        assert_eq!(fleet.push_through(1, &together), 1);
        fleet.wait_set_ups(left(begun, IN_FORCE), &[0, 1, 2], 0x31, 200);
        assert_ne!(fleet.set_up(0, 0x30), 200);
        fleet.network.heal();
        let caught_up =
            |fleet: &Fleet| fleet.machines[0].status().is_some_and(|status| status.certified >= 1);
        fleet.wait(IN_FORCE, "the machine that was cut off has the revision", caught_up);
        // Of the same key: it is rejected with the key and the revision that changed it; or, by a machine that caught up
        // by a snapshot and does not know what each revision changed, with the oldest base that it can judge.
        match fleet.push_until_known(0, &conflicts) {
            Err(Rejection::Conflict { key, base: 0, changed_in: 1 }) => assert_eq!(key, "title 31"),
            Err(Rejection::BaseTooOld(0, 1..)) => {}
            other => panic!("{other:?}"),
        }
        // Of another key: it is taken on top, in the same cases as it stands or made anew.
        let begun = Instant::now();
        match fleet.push_until_known(0, &alone) {
            Ok(_) => {}
            Err(Rejection::BaseTooOld(0, 1..)) => {
                fleet.push_edits(0, &title("30", 1));
            }
            other => panic!("{other:?}"),
        }
        fleet.wait_set_ups(left(begun, IN_FORCE), &[0, 1, 2], 0x30, 200);
        fleet.wait_set_ups(left(begun, IN_FORCE), &[0, 1, 2], 0x31, 200);
    });
}

#[test]
fn a_controller_that_stood_still_for_longer_than_its_lease_notices_before_it_decides() {
    play(shape(), |fleet| {
        assert_eq!(fleet.set_up(0, OLD), 200);
        fleet.controllers[0].signal(Signal::STOP);
        let begun = push_change(fleet, 1);
        fleet.wait_set_ups(left(begun, IN_FORCE), &[1, 2], NEW, 200);
        let acted_on = Instant::now();
        // Nothing of the change is on its way to it.
        cut_from_relays(fleet, 0, &[0, 1, 2]);
        // Viewers that ask while it stands still: they are what it finds first.
        let waiting: Vec<_> = (0..8).map(|viewer| ask_without_waiting(fleet, viewer)).collect();
        std::thread::sleep((bound() + Duration::from_millis(500)).saturating_sub(acted_on.elapsed()));
        fleet.controllers[0].signal(Signal::CONT);
        for mut talk in waiting {
            let answer = talk.receive_message();
            assert_ne!(status(&answer), 200, "served by the old configuration");
        }
        fleet.network.heal();
        fleet.wait_set_ups(IN_FORCE, &[0, 1, 2], NEW, 200);
    });
}

fn ask_without_waiting(fleet: &Fleet, viewer: u64) -> RtspPeer {
    let mut talk = RtspPeer::to(fleet.controllers[0].at);
    talk.set_up(1, OLD, 0x1000 + viewer, "");
    talk
}

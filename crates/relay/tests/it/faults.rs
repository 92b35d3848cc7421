//! Machines that are killed, lose their disk, or are cut off in one direction.

use std::time::Duration;

use rustix::process::Signal;

use crate::harness::{Harness, IN_FORCE_TIMEOUT};
use crate::watcher::TestWatcher;

/// A failed direction is detected within 2.5 s, and metrics and logs are updated once a second.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(6);

/// A machine requests a state that it did not receive after 1.5 s, and again after 3 s.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(6);

fn kill_relay_during_change(loses_disk: bool) {
    let mut harness = Harness::new();
    let mut watcher = TestWatcher::connect(harness.relay(4), 104, harness.ring());
    // The watcher delays the change, so that the relay is killed before the change is in force.
    watcher.reports_prepared = false;
    harness.push(3, "0", 1, 13);
    harness.until(IN_FORCE_TIMEOUT, "the watcher has revision 1", || watcher.poll() && watcher.prepared == 1);
    harness.kill(4);
    harness.until(IN_FORCE_TIMEOUT, "the watcher's connection closes", || !watcher.poll());
    if loses_disk {
        harness.lose_disk(4);
    }
    // The watcher moves to another relay in the middle of the change.
    watcher.reports_prepared = true;
    watcher.move_to(harness.relay(3));
    harness.until(IN_FORCE_TIMEOUT, "the watcher activates revision 1", || {
        watcher.poll() && watcher.active == 1
    });
    harness.wait_for_active(1);
    harness.start(4);
    harness.wait_for_listening(4);
    harness.wait_for_active(1);
    // The machine learns the certificate first and requests the state a moment later.
    harness.until(CATCH_UP_TIMEOUT, "machine 4 has the state of revision 1", || {
        harness.status(4).is_some_and(|status| status.root == watcher.state.root())
    });
    // The restarted relay serves watchers again.
    watcher.move_to(harness.relay(4));
    harness.push(4, "1", 2, 14);
    harness.until(IN_FORCE_TIMEOUT, "the watcher activates revision 2", || {
        watcher.poll() && watcher.active == 2
    });
    assert_eq!(watcher.cells(), "14");
}

#[test]
fn a_relay_killed_during_a_change_recovers() {
    kill_relay_during_change(false);
}

#[test]
fn a_relay_killed_during_a_change_recovers_without_its_state() {
    kill_relay_during_change(true);
}

/// An acceptor that lost its disk asks the others what it may have signed before it votes again; meanwhile the two others
/// form a quorum.
#[test]
fn an_acceptor_recovers_without_its_disk() {
    let mut harness = Harness::new();
    harness.push(3, "0", 1, 13);
    harness.wait_for_active(1);
    harness.kill(1);
    harness.push(3, "1", 2, 14);
    harness.lose_disk(1);
    harness.start(1);
    harness.wait_for_listening(1);
    harness.wait_for_active(2);
    harness.push(3, "2", 3, 15);
    harness.push(3, "3", 4, 16);
    harness.wait_for_active(4);
    // Now the recovered acceptor is needed for a quorum.
    harness.kill(0);
    harness.push(3, "4", 5, 17);
    harness.wait_for_active(5);
}

/// Nothing passes from machine 4 to the others, but their messages reach it.
#[test]
fn a_machine_cut_off_in_one_direction_delays_a_change_by_at_most_a_lease() {
    let harness = Harness::with_proxy();
    let proxy = harness.proxy.as_ref().unwrap();
    let mut watcher = TestWatcher::connect(harness.relay(3), 103, harness.ring());
    harness.until(IN_FORCE_TIMEOUT, "the watcher has a lease", || watcher.poll() && watcher.is_leased());
    proxy.cut(&[4], &[0, 1, 2, 3]);
    harness.until(DETECTION_TIMEOUT, "machine 4 is reported down", || {
        harness.log(0).contains("a control machine stopped answering")
            && harness.metric(4, "badgerledge_relay_peers") == Some(0.0)
    });
    harness.push(3, "0", 1, 13);
    harness.until(IN_FORCE_TIMEOUT, "the watcher activates revision 1", || {
        watcher.poll() && watcher.active == 1
    });
    proxy.heal();
    harness.wait_for_active(1);
    harness.push(4, "1", 2, 14);
    harness.wait_for_active(2);
}

/// The machine that creates batches is cut off in one direction: another one takes over.
#[test]
fn another_machine_takes_over_when_the_one_that_creates_batches_is_cut_off_in_one_direction() {
    let harness = Harness::with_proxy();
    let proxy = harness.proxy.as_ref().unwrap();
    harness.push(3, "0", 1, 13);
    proxy.cut(&[0], &[1, 2, 3, 4]);
    harness.push(3, "1", 2, 14);
    harness.until(IN_FORCE_TIMEOUT, "revision 2 is in force at the others", || {
        (1..5).all(|number| harness.status(number).is_some_and(|status| status.active == 2))
    });
    proxy.heal();
    harness.wait_for_active(2);
}

/// A stopped process keeps its sockets open but sends nothing. Changes wait for it for at most a lease.
#[test]
fn a_frozen_machine_delays_a_change_by_at_most_a_lease_and_catches_up() {
    let harness = Harness::new();
    harness.signal(2, Signal::STOP);
    harness.until(DETECTION_TIMEOUT, "machine 2 is reported down", || {
        harness.log(0).contains("a control machine stopped answering")
    });
    harness.push(3, "0", 1, 13);
    harness.until(IN_FORCE_TIMEOUT, "revision 1 is in force at the others", || {
        [0, 1, 3, 4].iter().all(|number| harness.status(*number).is_some_and(|status| status.active == 1))
    });
    harness.signal(2, Signal::CONT);
    harness.wait_for_active(1);
}

/// Two of three acceptors cannot write their state: nothing is certified, and no state is lost.
#[test]
fn acceptors_send_nothing_until_their_state_can_be_written() {
    let harness = Harness::new();
    harness.push(3, "0", 1, 13);
    harness.wait_for_active(1);
    // A folder at the name of the temporary file that the consensus state is written to.
    let obstacles = [1, 2].map(|number| harness.state(number).join("agreement.fresh"));
    obstacles.iter().for_each(|obstacle| std::fs::create_dir(obstacle).unwrap());
    let (code, output) = harness.change(3, "1", 2, 14);
    assert_eq!(code, 3, "{output}");
    assert!(output.contains("push the same change again"), "{output}");
    assert!([0, 1, 2, 3, 4]
        .iter()
        .all(|number| harness.status(*number).is_none_or(|status| status.certified == 1)));
    assert!(harness.log(1).contains("no messages are sent until it succeeds"));
    obstacles.iter().for_each(|obstacle| std::fs::remove_dir(obstacle).unwrap());
    harness.push(3, "1", 2, 14);
    harness.wait_for_active(2);
}

//! Subscriptions that are handed over to a controller process, and what its streamers and viewers say about
//! them before. Connections are read in no particular order, so anything may arrive before its hand-over.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::process::Signal;

use crate::harness::TIMEOUT;
use crate::platform_harness::{
    list, name_service, Controller, Streamer, Viewer, FAILED, NORMAL, RELEASE, SILENT,
};

/// Long enough for a message to be handled, also beside load.
const HANDLED: Duration = Duration::from_millis(200);
const MOVED: u8 = 31;

/// A controller that is connected to a streamer, at which the subscription 10 plays.
fn connected() -> (Streamer, Controller, Viewer) {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&streamer]);
    let mut viewer = controller.viewer();
    viewer.establish(10);
    streamer.wait_for("offer", 10);
    (streamer, controller, viewer)
}

/// Stops a controller, which must hold this many subscriptions then.
fn stop_holding(mut controller: Controller, held: usize) {
    controller.signal(Signal::TERM);
    controller.wait_log(&["shutting down", &format!("held={held}")]);
    controller.exits_within(TIMEOUT);
}

/// Guards against a viewer that is never told: a streamer sends the release of a subscription on the first
/// connection that a restarted controller opens, which may be before the front hands that subscription over.
/// The release was dropped, and the subscription then held as one that plays.
#[test]
fn a_release_that_arrives_before_its_handover_is_passed_on() {
    let (streamer, controller, _viewer) = connected();
    for (wire_id, cause, told) in [(20, NORMAL, NORMAL), (21, FAILED, FAILED), (22, MOVED, FAILED)] {
        streamer.release(wire_id, cause);
        std::thread::sleep(HANDLED);
        let mut front = controller.viewer();
        front.hand_over(wire_id, &streamer);
        assert_eq!(front.receive(), (RELEASE, wire_id, vec![told]), "cause {cause}");
    }
    stop_holding(controller, 1);
}

/// Guards against ending what plays: in the time between the first set-ups and the hand-overs after a restart,
/// streamers report the progress of what plays. The controller ended all of it as unknown, then held it as
/// playing, and no viewer was told.
#[test]
fn subscriptions_that_report_progress_before_their_handover_are_not_ended() {
    const PLAYING: std::ops::Range<u64> = 20..92;
    let (streamer, controller, _viewer) = connected();
    for _ in 0..8 {
        PLAYING.for_each(|wire_id| streamer.report_progress(wire_id));
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut front = controller.viewer();
    PLAYING.for_each(|wire_id| front.hand_over(wire_id, &streamer));
    std::thread::sleep(HANDLED);
    PLAYING.for_each(|wire_id| streamer.report_progress(wire_id));
    let received = streamer.take_received(HANDLED);
    let ended = received.iter().filter(|message| message["op"] == "end").count();
    assert_eq!(ended, 0, "subscriptions that play were ended");
    for wire_id in PLAYING {
        streamer.release(wire_id, NORMAL);
        assert_eq!(front.receive(), (RELEASE, wire_id, vec![NORMAL]));
    }
    stop_holding(controller, 1);
}

/// Guards against a subscription that plays to nobody: its viewer left on one connection before another, with
/// its hand-over, was read.
#[test]
fn a_subscription_whose_viewer_left_before_its_handover_is_ended() {
    let (streamer, controller, _viewer) = connected();
    let mut leaving = controller.viewer();
    leaving.cancel(20);
    std::thread::sleep(HANDLED);
    let mut front = controller.viewer();
    front.hand_over(20, &streamer);
    streamer.wait_for("end", 20);
    assert_eq!(front.receive(), (RELEASE, 20, vec![NORMAL]));
    stop_holding(controller, 1);
}

/// Guards against a subscription that is held for good: it had ended here, and the front, which had not heard
/// of that yet, handed it over once more.
#[test]
fn a_handover_of_a_subscription_that_has_ended_is_answered_with_its_release() {
    let (streamer, controller, viewer) = connected();
    drop(viewer);
    std::thread::sleep(HANDLED);
    streamer.release(10, NORMAL);
    std::thread::sleep(HANDLED);
    for _ in 0..2 {
        let mut front = controller.viewer();
        front.hand_over(10, &streamer);
        assert_eq!(front.receive(), (RELEASE, 10, vec![NORMAL]));
        assert!(front.receives_nothing_for(HANDLED), "it is told once");
    }
    stop_holding(controller, 0);
}

/// Guards against a release without a way: the front hands over once more what the controller already holds,
/// on a new connection. The controller did not take that connection for one of viewers, and closed it.
#[test]
fn a_second_handover_carries_the_release_on_its_connection() {
    let (streamer, controller, viewer) = connected();
    drop(viewer);
    std::thread::sleep(HANDLED);
    let mut front = controller.viewer();
    front.hand_over(10, &streamer);
    // Longer than a connection on which nothing is owed stays open.
    assert!(front.receives_nothing_for(Duration::from_millis(2500)));
    streamer.release(10, NORMAL);
    assert_eq!(front.receive(), (RELEASE, 10, vec![NORMAL]));
    stop_holding(controller, 0);
}

/// A hand-over that names another streamer than the one where the subscription plays changes nothing.
#[test]
fn a_contradicting_handover_does_not_affect_a_subscription() {
    let (streamer, controller, mut viewer) = connected();
    let mut other = Streamer::new(2);
    for id in [streamer.id + 7, 2] {
        other.id = id;
        controller.viewer().hand_over(10, &other);
    }
    std::thread::sleep(HANDLED);
    streamer.release(10, NORMAL);
    assert_eq!(viewer.receive(), (RELEASE, 10, vec![NORMAL]));
    stop_holding(controller, 0);
}

/// Guards against a viewer that is told too late or never: its connection has ended, and on the others set-ups
/// only wait or were refused. The release waited for a viewer who is served.
#[test]
fn a_release_goes_on_a_connection_on_which_set_ups_wait_or_were_refused() {
    let (streamer, controller, mut viewer) = connected();
    viewer.establish(11);
    streamer.wait_for("offer", 11);
    drop(viewer);
    let mut test_connection = controller.viewer();
    test_connection.send(52, 1, &[(75, "\0")]);
    assert_eq!(test_connection.receive().0, 53);
    streamer.mode.store(SILENT, Ordering::SeqCst);
    streamer.release(10, NORMAL);
    std::thread::sleep(HANDLED);
    let mut waiting = controller.viewer();
    waiting.set_up_with(30, "1000", "v=0");
    assert_eq!(waiting.receive(), (RELEASE, 10, vec![NORMAL]), "while a set-up waits");
    waiting.send(16, 10, &[]);
    let refusal = waiting.receive();
    assert_eq!((refusal.0, refusal.1), (RELEASE, 30), "the set-up is refused");
    streamer.release(11, NORMAL);
    assert_eq!(waiting.receive(), (RELEASE, 11, vec![NORMAL]), "after a set-up was refused");
    assert!(test_connection.receives_nothing_for(HANDLED), "a health checker is sent no release");
    waiting.send(16, 11, &[]);
    stop_holding(controller, 0);
}

/// Guards against a release that reaches nobody: its connection ends unread, and the process gets no processor
/// time in which to notice that, for up to two seconds.
#[test]
fn a_release_unread_on_a_connection_that_ends_while_the_process_is_stopped_is_sent_again() {
    let (streamer, controller, viewer) = connected();
    streamer.release(10, NORMAL);
    std::thread::sleep(HANDLED);
    controller.signal(Signal::STOP);
    drop(viewer);
    let mut front = controller.viewer();
    front.set_up(30);
    std::thread::sleep(Duration::from_millis(1900));
    controller.signal(Signal::CONT);
    let received = [front.receive(), front.receive()];
    assert!(received.contains(&(RELEASE, 10, vec![NORMAL])), "{received:?}");
    front.cancel(30);
    stop_holding(controller, 0);
}

//! At most one join of a request may be outstanding at a time, and only its own end may end it. The tests
//! judge by what streamers receive.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{json, Value};

use crate::platform_harness::{list, name_service, Controller, Streamer, Viewer, ACCEPTING, SILENT};

/// Long enough for a message that was caused by another to arrive, far below the time-out of a join.
const QUIET: Duration = Duration::from_millis(300);
/// How much later one connection of a streamer may be read than another.
const READ_DELAY: Duration = Duration::from_millis(25);

const WIRE_ID: u64 = 10;

fn end(cause: u8) -> Value {
    json!({"op": "end", "call": format!("{WIRE_ID:016x}"), "with": {}, "why": cause})
}

fn accept() -> Value {
    json!({"op": "accept", "call": format!("{WIRE_ID:016x}"), "with": {}, "desc": "v=0"})
}

/// A controller with one streamer that leaves the answers to the test, and a viewer whose first join was
/// refused with this cause on the streamer's first connection, and whose second join is outstanding.
fn with_a_join_after_a_refusal(cause: u8) -> (Controller, Streamer, Viewer) {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&streamer]);
    streamer.mode.store(SILENT, Ordering::SeqCst);
    let mut viewer = controller.viewer();
    viewer.set_up_with(WIRE_ID, "4000", "v=0");
    streamer.wait_for("offer", WIRE_ID);
    streamer.send_on(0, &end(cause));
    streamer.wait_for("offer", WIRE_ID);
    (controller, streamer, viewer)
}

/// Guards against a second copy of a refusal ending the next join of that request: a further join then went
/// out while that one was outstanding.
#[test]
fn a_second_copy_of_a_refusal_does_not_end_the_next_join() {
    for cause in [41, 47, 102] {
        let (_controller, streamer, mut viewer) = with_a_join_after_a_refusal(cause);
        streamer.send_on(0, &end(cause));
        let received = streamer.take_received(QUIET);
        assert_eq!(received, Vec::<Value>::new(), "cause {cause}: the second join is still outstanding");
        streamer.send(&accept());
        assert_eq!(viewer.receive().0, 9);
    }
}

/// Guards against a second copy of a refusal ending the session that a later join set up.
#[test]
fn a_second_copy_of_a_refusal_does_not_end_a_playing_session() {
    for cause in [41, 47, 102] {
        let (_controller, streamer, mut viewer) = with_a_join_after_a_refusal(cause);
        streamer.send(&accept());
        assert_eq!(viewer.receive().0, 9);
        streamer.send_on(0, &end(cause));
        assert!(viewer.receives_nothing_for(QUIET), "cause {cause}: the session plays on");
        // Its own end is still passed on.
        streamer.send(&end(16));
        assert_eq!(viewer.receive(), (12, WIRE_ID, vec![16]));
    }
}

/// A release may arrive on any open connection once that of its set-up is closed, also on one on which an
/// earlier join of that request was refused.
#[test]
fn a_release_is_passed_on_from_another_connection_once_its_own_is_closed() {
    let (_controller, streamer, mut viewer) = with_a_join_after_a_refusal(47);
    streamer.send(&accept());
    assert_eq!(viewer.receive().0, 9);
    if streamer.connections.lock().unwrap().len() > 1 {
        let own = streamer.connections.lock().unwrap().pop().unwrap();
        own.shutdown(std::net::Shutdown::Both).unwrap();
        std::thread::sleep(QUIET);
    }
    streamer.send_on(0, &end(16));
    assert_eq!(viewer.receive(), (12, WIRE_ID, vec![16]));
}

/// Guards against two outstanding joins of one request: the end of a join that timed out and the offer of the
/// next one are sent on different connections, and a streamer may read them in either order.
#[test]
fn the_next_join_is_not_read_before_the_end_of_the_one_that_timed_out() {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&streamer]);
    streamer.mode.store(SILENT, Ordering::SeqCst);
    streamer.read_first_connection_late(READ_DELAY);
    let mut viewer = controller.viewer();
    viewer.set_up_with(WIRE_ID, "4000", "v=0");
    let received = streamer.take_received(Duration::from_secs(1));
    let operations: Vec<_> = received.iter().filter_map(|message| message["op"].as_str()).collect();
    assert!(operations.len() >= 4, "two joins timed out: {operations:?}");
    for (message, operation) in operations.iter().enumerate() {
        let expected = if message % 2 == 0 { "offer" } else { "end" };
        assert_eq!(*operation, expected, "message {message} of {operations:?}");
    }
    streamer.mode.store(ACCEPTING, Ordering::SeqCst);
}

/// Guards against an end for the next join of a request: the answer to a join that timed out arrived just before
/// the next one was sent to that streamer, and was ended by its id once more. The end that was sent when the join
/// timed out cuts it already.
#[test]
fn an_answer_that_crosses_its_end_does_not_end_the_next_join() {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&streamer]);
    streamer.mode.store(SILENT, Ordering::SeqCst);
    let mut viewer = controller.viewer();
    viewer.set_up_with(WIRE_ID, "4000", "v=0");
    streamer.wait_for("end", WIRE_ID);
    streamer.send_on(0, &accept());
    let received = streamer.take_received(QUIET);
    let operations: Vec<_> = received.iter().filter_map(|message| message["op"].as_str()).collect();
    assert_eq!(operations, ["offer"], "the next join, and no end");
    streamer.send(&accept());
    assert_eq!(viewer.receive().0, 9);
}

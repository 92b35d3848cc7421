//! What a streamer had said, or was being told, on a connection that is lost while others to it are open.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::platform_harness::{
    list, name_service, Controller, Streamer, Viewer, EXITED, NORMAL, RELEASE, RELEASE_TIMEOUT, SILENT,
};

/// A controller with two connections to a streamer, on which nothing waits: the subscriptions 10 and 20 were set
/// up on the first, 21 on the second.
fn two_connections() -> (Streamer, Controller, Viewer) {
    let (streamer, controller) = Controller::with_one_streamer();
    let mut viewer = controller.viewer();
    viewer.establish(10);
    streamer.wait_for("offer", 10);
    streamer.mode.store(SILENT, Ordering::SeqCst);
    for wire_id in [20, 21] {
        viewer.set_up_with(wire_id, "4000", "v=0");
        streamer.wait_for("offer", wire_id);
    }
    for (connection, wire_id) in [(0, 20), (1, 21)] {
        let call = format!("{wire_id:016x}");
        streamer.send_on(connection, &json!({"op": "accept", "call": call, "with": {}, "desc": "v=0"}));
        assert_eq!(viewer.receive().1, wire_id);
    }
    assert_eq!(streamer.connection_count(), 2);
    (streamer, controller, viewer)
}

/// Waits until the controller opens another connection, on which the streamer repeats the release of 10, and
/// checks that its viewer hears it.
fn expect_release_on_next_connection(streamer: &Streamer, viewer: &mut Viewer, lost_at: Instant) {
    while streamer.connection_count() < 3 {
        assert!(lost_at.elapsed() < RELEASE_TIMEOUT, "no connection is opened");
        std::thread::sleep(Duration::from_millis(5));
    }
    streamer.release(10, NORMAL);
    while viewer.receive() != (RELEASE, 10, vec![NORMAL]) {}
    assert!(lost_at.elapsed() < RELEASE_TIMEOUT);
}

/// Guards against a viewer that is never told: the release of its subscription was written behind an answer that
/// stopped short, and the streamer repeats it on the next connection only. None was opened while others were.
#[test]
fn a_release_behind_an_answer_that_stops_short_is_fetched() {
    let (streamer, _controller, mut viewer) = two_connections();
    let lost_at = Instant::now();
    streamer.send_raw_on(0, b"{\"op\":\"accept\",\"call\":\"00000000");
    streamer.send_raw_on(0, b"{\"op\":\"end\",\"call\":\"000000000000000a\",\"with\":{},\"why\":16}\n");
    expect_release_on_next_connection(&streamer, &mut viewer, lost_at);
}

/// The same, as the connection is reset or breaks off inside an answer.
#[test]
fn a_release_that_a_reset_or_a_break_takes_with_it_is_fetched() {
    for resets in [true, false] {
        let (streamer, _controller, mut viewer) = two_connections();
        let lost_at = Instant::now();
        if !resets {
            streamer.send_raw_on(0, b"{\"op\":\"acc");
        }
        streamer.close(0, resets);
        expect_release_on_next_connection(&streamer, &mut viewer, lost_at);
    }
}

/// Guards against a subscription that plays for nobody: the streamer's answer was lost with its connection, and the
/// viewer is served elsewhere or refused.
#[test]
fn a_join_whose_answer_may_be_lost_is_ended_on_another_connection() {
    let (streamer, _controller, mut viewer) = two_connections();
    viewer.set_up_with(30, "4000", "v=0");
    streamer.wait_for("offer", 30);
    streamer.close(1, true);
    // The next join follows after 50 ms, and is given up 0.75 s later.
    let received = streamer.take_received(Duration::from_millis(300));
    let of_session = received.iter().filter(|message| message["call"] == format!("{:016x}", 30));
    let kinds: Vec<_> = of_session.map(|message| message["op"].as_str().unwrap()).collect();
    assert_eq!(kinds, ["end", "offer"]);
}

/// Guards against the same, as the end of a join that was given up is lost with its connection.
#[test]
fn the_end_of_a_join_that_is_lost_with_its_connection_is_sent_again() {
    let (streamer, _controller, mut viewer) = two_connections();
    viewer.set_up_with(30, "4000", "v=0");
    streamer.wait_for("offer", 30);
    viewer.cancel(30);
    streamer.wait_for("end", 30);
    streamer.close(1, true);
    streamer.wait_for("end", 30);
}

/// Guards against viewers who are told that their subscriptions are over while these play on: a streamer that
/// reports nothing by itself took no new connections for a while, and was not asked on the ones that were open.
#[test]
fn a_quiet_streamer_that_takes_no_new_connections_is_not_given_up() {
    let streamer = Streamer::new(1);
    let names = name_service(list(1, &[&streamer]));
    let controller = Controller::start_with(names, &[&streamer], |configuration| {
        configuration["settings"]["familyInfo"]["toldEveryUs"] = json!(0);
    });
    let mut viewer = controller.viewer();
    viewer.establish(10);
    streamer.wait_for("offer", 10);
    streamer.mode.store(EXITED, Ordering::SeqCst);
    assert!(viewer.receives_nothing_for(Duration::from_secs(8)));
    streamer.release(10, NORMAL);
    assert_eq!(viewer.receive(), (RELEASE, 10, vec![NORMAL]));
}

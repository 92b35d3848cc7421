//! Life cycles of a subscription in which streamers, viewers or the list service fail or leave at an
//! inconvenient time.

use std::time::Duration;

use badgerledge_core::interface::Health;
use rustix::process::Signal;

use crate::harness::{complete_join, first_join, header, status, with_streamers, RtspPeer};

#[test]
fn a_subscription_is_set_up_played_and_torn_down() {
    let (_list, _controller, streamers) = with_streamers(1, "");
    let mut viewer = RtspPeer::to(_controller.at);
    viewer.set_up(4, 8, 9, "Max-Rung: 1\n");
    let (mut join, request) = streamers[0].join();
    assert_eq!((header(&request, "Viewer"), header(&request, "Rung")), ("9".into(), "1".into()));
    complete_join(&mut join, &request);
    let granted = viewer.receive();
    assert_eq!((status(&granted), header(&granted, "CSeq")), (200, "4".into()));
    let session = header(&granted, "Session").split(';').next().unwrap().to_owned();
    viewer.send(&format!("PLAY rtsp://h/8 RTSP/1.0\nCSeq: 5\nSession: {session}\n\n"));
    assert_eq!(status(&viewer.receive()), 200);
    assert_eq!(viewer.receive(), "$0 12", "media received before PLAY was buffered");
    join.send_media(b"second");
    assert_eq!(viewer.receive(), "$0 6");
    viewer.send(&format!("PAUSE rtsp://h/8 RTSP/1.0\nCSeq: 6\nSession: {session}\n\n"));
    assert_eq!(status(&viewer.receive_message()), 200);
    assert!(join.receive().starts_with("PAUSE"));
    viewer.send(&format!("GET_PARAMETER rtsp://h/8 RTSP/1.0\nCSeq: 7\nSession: {session}\n\n"));
    assert_eq!(status(&viewer.receive_message()), 200);
    viewer.send(&format!("TEARDOWN rtsp://h/8 RTSP/1.0\nCSeq: 8\nSession: {session}\n\n"));
    assert_eq!(status(&viewer.receive_message()), 200);
    assert!(join.receive_message().starts_with("TEARDOWN"));
    assert_eq!(join.receive_message(), "", "the connection is closed");
}

#[test]
fn a_streamer_that_fails_between_setup_and_play_is_replaced_by_another() {
    let (_list, controller, streamers) = with_streamers(2, "");
    let mut viewer = RtspPeer::to(controller.at);
    viewer.set_up(1, 7, 9, "");
    // Either streamer may be chosen first; the chosen one fails after granting SETUP.
    let (chosen, first) = first_join(&streamers);
    let (mut join, request) = first;
    join.answer(&request, "200 OK");
    assert!(join.receive().starts_with("PLAY"));
    drop(join);
    let (mut join, request) = streamers[1 - chosen].join();
    complete_join(&mut join, &request);
    assert_eq!(status(&viewer.receive()), 200);
}

#[test]
fn a_retry_on_a_new_connection_waits_for_the_join_of_the_first() {
    let (_list, controller, streamers) = with_streamers(1, "");
    let mut first = RtspPeer::to(controller.at);
    first.set_up(1, 8, 9, "");
    let (mut join, request) = streamers[0].join();
    let mut second = RtspPeer::to(controller.at);
    second.set_up(1, 8, 9, "Marks: retry\n");
    assert!(
        streamers[0].receives_no_join(Duration::from_millis(150)),
        "a subscription has only one join in progress"
    );
    complete_join(&mut join, &request);
    assert_eq!(
        (status(&first.receive()), status(&second.receive())),
        (500, 200),
        "the newest connection gets the stream"
    );
}

#[test]
fn a_retry_on_the_same_connection_gets_its_own_answer_in_order() {
    let (_list, controller, streamers) = with_streamers(1, "");
    let mut viewer = RtspPeer::to(controller.at);
    viewer.set_up(1, 8, 9, "");
    viewer.set_up(2, 8, 9, "Marks: retry\n");
    viewer.send("OPTIONS * RTSP/1.0\nCSeq: 3\n\n");
    let (mut join, request) = streamers[0].join();
    assert!(streamers[0].receives_no_join(Duration::from_millis(100)));
    complete_join(&mut join, &request);
    let answers = [viewer.receive(), viewer.receive(), viewer.receive()];
    assert_eq!(answers.each_ref().map(|answer| header(answer, "CSeq")), ["1", "2", "3"]);
    assert!(answers.iter().all(|answer| status(answer) == 200), "{answers:?}");
}

#[test]
fn a_join_ends_when_its_viewer_leaves_at_any_stage() {
    let (_list, controller, streamers) = with_streamers(1, "");
    for point in 0..4 {
        let mut viewer = RtspPeer::to(controller.at);
        viewer.set_up(1, 8, 100 + point, "");
        let (mut join, request) = streamers[0].join();
        if point > 0 {
            join.answer(&request, "200 OK");
            assert!(join.receive().starts_with("PLAY"));
        }
        if point > 1 {
            join.answer("CSeq: 2", "200 OK");
        }
        if point > 2 {
            join.send_media(b"packet");
            assert_eq!(status(&viewer.receive()), 200);
        }
        drop(viewer);
        let last = join.receive_message();
        assert_eq!(last.starts_with("TEARDOWN"), point > 0, "at point {point}: {last}");
        assert!(
            last.is_empty() || join.receive_message().is_empty(),
            "at point {point} the connection is closed"
        );
    }
    controller.wait_metric("badgerledge_subscriptions_held", |held| held == 0.0);
}

#[test]
fn a_viewer_is_answered_in_time_although_its_streamer_is_silent() {
    let (_list, controller, _streamers) = with_streamers(1, "");
    let mut viewer = RtspPeer::to(controller.at);
    viewer.set_up(1, 8, 9, "Client-Timeout: 900\n");
    // Joins are never answered, but some answer must reach the viewer before its time-out.
    let answer = viewer.receive();
    assert!([500, 503, 504].contains(&status(&answer)), "{answer}");
}

#[test]
fn a_join_refused_by_one_streamer_goes_to_another() {
    let (_list, controller, streamers) = with_streamers(2, "");
    let mut viewer = RtspPeer::to(controller.at);
    viewer.set_up(1, 7, 9, "");
    let (chosen, (mut join, request)) = first_join(&streamers);
    join.answer(&request, "453 Not Enough Bandwidth");
    let (mut join, request) = streamers[1 - chosen].join();
    complete_join(&mut join, &request);
    assert_eq!(status(&viewer.receive()), 200);
}

#[test]
fn a_draining_streamer_gets_no_new_joins() {
    let (list, controller, streamers) = with_streamers(2, "");
    list.publish(0, streamers[0].at, Health::Draining);
    controller.wait_log("serves");
    // Title 8 has a copy on the first cell only: once the update has arrived, it is throttled at once.
    std::thread::sleep(Duration::from_millis(300));
    let mut viewer = RtspPeer::to(controller.at);
    viewer.set_up(1, 8, 9, "");
    let answer = viewer.receive();
    assert_eq!(status(&answer), 503);
    assert!(header(&answer, "Come-Back-Ms").parse::<u64>().unwrap() >= 500);
    assert!(streamers[0].receives_no_join(Duration::from_millis(100)));
    let mut viewer = RtspPeer::to(controller.at);
    viewer.set_up(1, 7, 10, "");
    let (mut join, request) = streamers[1].join();
    complete_join(&mut join, &request);
    assert_eq!(status(&viewer.receive()), 200);
}

#[test]
fn a_broken_stream_closes_the_viewers_connection_after_a_bye() {
    let (_list, controller, streamers) = with_streamers(1, "");
    let mut viewer = RtspPeer::to(controller.at);
    viewer.set_up(1, 8, 9, "");
    let (mut join, request) = streamers[0].join();
    complete_join(&mut join, &request);
    let granted = viewer.receive();
    let session = header(&granted, "Session").split(';').next().unwrap().to_owned();
    viewer.send(&format!("PLAY rtsp://h/8 RTSP/1.0\nCSeq: 2\nSession: {session}\n\n"));
    assert_eq!((status(&viewer.receive()), viewer.receive()), (200, "$0 12".to_owned()));
    drop(join);
    assert_eq!(
        (viewer.receive(), viewer.receive()),
        ("$1 8".to_owned(), String::new()),
        "BYE, then the connection is closed"
    );
}

#[test]
fn a_restarted_controller_uses_its_stored_list_without_the_list_service() {
    let (list, mut controller, streamers) = with_streamers(2, "");
    // The stored copy is written about a second after the last update of the list.
    std::thread::sleep(Duration::from_millis(1800));
    drop(list);
    controller.kill_and_restart();
    controller.wait_listed(2);
    let mut viewer = RtspPeer::to(controller.at);
    viewer.set_up(1, 7, 9, "");
    let (_, (mut join, request)) = first_join(&streamers);
    complete_join(&mut join, &request);
    assert_eq!(status(&viewer.receive()), 200);
}

#[test]
fn sighup_reloads_the_catalogue_and_sigterm_stops_in_order() {
    let (_list, mut controller, streamers) = with_streamers(1, "");
    controller.write("titles.ini", "[title 9]\nroom_type = clip\nfirst_cell = 0\ncopies = 1\n");
    controller.signal(Signal::HUP);
    controller.wait_log("the catalogue was reloaded");
    let mut viewer = RtspPeer::to(controller.at);
    viewer.set_up(1, 8, 9, "");
    assert_eq!(status(&viewer.receive()), 404, "title 8 was removed");
    viewer.set_up(2, 9, 9, "");
    let (mut join, request) = streamers[0].join();
    complete_join(&mut join, &request);
    assert_eq!(status(&viewer.receive()), 200);
    controller.write("titles.ini", "[title 9]\nroom_type = clip\nfirst_cell = 0\n");
    controller.signal(Signal::HUP);
    controller.wait_log("copies: this key is missing; keeping the previous catalogue");
    controller.signal(Signal::TERM);
    assert!(controller.exits_successfully());
}

/// Guards against set-ups that a process leaves without an answer as it ends: one with a join outstanding, and
/// one that arrives together with the signal.
#[test]
fn set_ups_that_wait_are_answered_when_the_process_stops() {
    let (_list, mut controller, streamers) = with_streamers(1, "");
    let mut joining = RtspPeer::to(controller.at);
    joining.set_up(1, 8, 9, "");
    let (_join, _request) = streamers[0].join();
    controller.signal(Signal::STOP);
    let mut unread = RtspPeer::to(controller.at);
    unread.set_up(1, 7, 10, "");
    controller.signal(Signal::TERM);
    controller.signal(Signal::CONT);
    assert_eq!(status(&joining.receive()), 500, "its join may have run");
    let refused = unread.receive();
    assert_eq!((status(&refused), header(&refused, "Retry-After").is_empty()), (503, false));
    drop((joining, unread));
    assert!(controller.exits_successfully());
}

/// Guards against a join that is begun as the process stops: a set-up was read in the same turn of the loop as the
/// signal, its join was never sent, and its viewer was told that it may have run.
#[test]
fn a_set_up_that_is_read_together_with_the_signal_is_refused() {
    let (_list, mut controller, _streamers) = with_streamers(1, "");
    let mut viewer = RtspPeer::to(controller.at);
    viewer.send("OPTIONS * RTSP/1.0\nCSeq: 1\n\n");
    assert_eq!(status(&viewer.receive()), 200, "its connection is accepted");
    controller.signal(Signal::STOP);
    viewer.set_up(2, 7, 10, "");
    controller.signal(Signal::TERM);
    controller.signal(Signal::CONT);
    let refused = viewer.receive();
    assert_eq!((status(&refused), header(&refused, "Retry-After").is_empty()), (503, false));
    drop(viewer);
    assert!(controller.exits_successfully());
}

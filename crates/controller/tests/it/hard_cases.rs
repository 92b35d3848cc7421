//! Each hard case of a subscription, with streamers and viewers that do just that.

use std::time::Duration;

use badgerledge_core::interface::Health;
use rustix::process::Signal;

use crate::rig::{first_join, flow, header, status, with_streamers, Talk};

#[test]
fn a_subscription_is_set_up_played_and_torn_down() {
    let (_list, _controller, streamers) = with_streamers(1, "");
    let mut viewer = Talk::to(_controller.at);
    viewer.set_up(4, 8, 9, "Max-Rung: 1\n");
    let (mut join, asked) = streamers[0].join();
    assert_eq!((header(&asked, "Viewer"), header(&asked, "Rung")), ("9".into(), "1".into()));
    flow(&mut join, &asked);
    let granted = viewer.hear();
    assert_eq!((status(&granted), header(&granted, "CSeq")), (200, "4".into()));
    let session = header(&granted, "Session").split(';').next().unwrap().to_owned();
    viewer.say(&format!("PLAY rtsp://h/8 RTSP/1.0\nCSeq: 5\nSession: {session}\n\n"));
    assert_eq!(status(&viewer.hear()), 200);
    assert_eq!(viewer.hear(), "$0 12", "what came before PLAY was held");
    join.media(b"second");
    assert_eq!(viewer.hear(), "$0 6");
    viewer.say(&format!("PAUSE rtsp://h/8 RTSP/1.0\nCSeq: 6\nSession: {session}\n\n"));
    assert_eq!(status(&viewer.hear_message()), 200);
    assert!(join.hear().starts_with("PAUSE"));
    viewer.say(&format!("GET_PARAMETER rtsp://h/8 RTSP/1.0\nCSeq: 7\nSession: {session}\n\n"));
    assert_eq!(status(&viewer.hear_message()), 200);
    viewer.say(&format!("TEARDOWN rtsp://h/8 RTSP/1.0\nCSeq: 8\nSession: {session}\n\n"));
    assert_eq!(status(&viewer.hear_message()), 200);
    assert!(join.hear_message().starts_with("TEARDOWN"));
    assert_eq!(join.hear_message(), "", "and the connection ends");
}

#[test]
fn a_streamer_that_dies_after_setup_and_before_play_is_followed_by_another() {
    let (_list, controller, streamers) = with_streamers(2, "");
    let mut viewer = Talk::to(controller.at);
    viewer.set_up(1, 7, 9, "");
    // Either may be chosen first: whichever it is dies when it has granted SETUP.
    let (order, first) = first_join(&streamers);
    let (mut join, asked) = first;
    join.answer(&asked, "200 OK");
    assert!(join.hear().starts_with("PLAY"));
    drop(join);
    let (mut join, asked) = streamers[1 - order].join();
    flow(&mut join, &asked);
    assert_eq!(status(&viewer.hear()), 200);
}

#[test]
fn a_retry_on_a_new_connection_joins_the_wait_of_the_first() {
    let (_list, controller, streamers) = with_streamers(1, "");
    let mut first = Talk::to(controller.at);
    first.set_up(1, 8, 9, "");
    let (mut join, asked) = streamers[0].join();
    let mut second = Talk::to(controller.at);
    second.set_up(1, 8, 9, "Marks: retry\n");
    assert!(streamers[0].is_left_alone(Duration::from_millis(150)), "one subscription has one join out");
    flow(&mut join, &asked);
    assert_eq!(
        (status(&first.hear()), status(&second.hear())),
        (500, 200),
        "the newest line gets the stream"
    );
}

#[test]
fn a_retry_on_the_same_connection_gets_its_own_answer_in_order() {
    let (_list, controller, streamers) = with_streamers(1, "");
    let mut viewer = Talk::to(controller.at);
    viewer.set_up(1, 8, 9, "");
    viewer.set_up(2, 8, 9, "Marks: retry\n");
    viewer.say("OPTIONS * RTSP/1.0\nCSeq: 3\n\n");
    let (mut join, asked) = streamers[0].join();
    assert!(streamers[0].is_left_alone(Duration::from_millis(100)));
    flow(&mut join, &asked);
    let answers = [viewer.hear(), viewer.hear(), viewer.hear()];
    assert_eq!(answers.each_ref().map(|answer| header(answer, "CSeq")), ["1", "2", "3"]);
    assert!(answers.iter().all(|answer| status(answer) == 200), "{answers:?}");
}

#[test]
fn a_viewer_that_leaves_takes_its_join_with_it_at_every_point() {
    let (_list, controller, streamers) = with_streamers(1, "");
    for point in 0..4 {
        let mut viewer = Talk::to(controller.at);
        viewer.set_up(1, 8, 100 + point, "");
        let (mut join, asked) = streamers[0].join();
        if point > 0 {
            join.answer(&asked, "200 OK");
            assert!(join.hear().starts_with("PLAY"));
        }
        if point > 1 {
            join.answer("CSeq: 2", "200 OK");
        }
        if point > 2 {
            join.media(b"packet");
            assert_eq!(status(&viewer.hear()), 200);
        }
        drop(viewer);
        let last = join.hear_message();
        assert_eq!(last.starts_with("TEARDOWN"), point > 0, "at point {point}: {last}");
        assert!(last.is_empty() || join.hear_message().is_empty(), "at point {point} the connection ends");
    }
    controller.wait_metric("badgerledge_subscriptions_held", |held| held == 0.0);
}

#[test]
fn a_silent_streamer_costs_the_viewer_an_answer_in_time() {
    let (_list, controller, _streamers) = with_streamers(1, "");
    let mut viewer = Talk::to(controller.at);
    viewer.set_up(1, 8, 9, "Client-Timeout: 900\n");
    // Its joins are never answered; whatever the answer is, it is there before the viewer gives up.
    let answer = viewer.hear();
    assert!([500, 503, 504].contains(&status(&answer)), "{answer}");
}

#[test]
fn a_streamer_that_turns_a_join_away_is_left_for_another() {
    let (_list, controller, streamers) = with_streamers(2, "");
    let mut viewer = Talk::to(controller.at);
    viewer.set_up(1, 7, 9, "");
    let (order, (mut join, asked)) = first_join(&streamers);
    join.answer(&asked, "453 Not Enough Bandwidth");
    let (mut join, asked) = streamers[1 - order].join();
    flow(&mut join, &asked);
    assert_eq!(status(&viewer.hear()), 200);
}

#[test]
fn nothing_new_goes_to_a_streamer_that_drains() {
    let (list, controller, streamers) = with_streamers(2, "");
    list.learn(0, streamers[0].at, Health::Draining);
    controller.wait_log("serves");
    // Title 8 lies on the first cell alone: once the word is in, it is throttled at once.
    std::thread::sleep(Duration::from_millis(300));
    let mut viewer = Talk::to(controller.at);
    viewer.set_up(1, 8, 9, "");
    let answer = viewer.hear();
    assert_eq!(status(&answer), 503);
    assert!(header(&answer, "Come-Back-Ms").parse::<u64>().unwrap() >= 500);
    assert!(streamers[0].is_left_alone(Duration::from_millis(100)));
    let mut viewer = Talk::to(controller.at);
    viewer.set_up(1, 7, 10, "");
    let (mut join, asked) = streamers[1].join();
    flow(&mut join, &asked);
    assert_eq!(status(&viewer.hear()), 200);
}

#[test]
fn a_stream_that_breaks_ends_the_viewers_connection_with_a_farewell() {
    let (_list, controller, streamers) = with_streamers(1, "");
    let mut viewer = Talk::to(controller.at);
    viewer.set_up(1, 8, 9, "");
    let (mut join, asked) = streamers[0].join();
    flow(&mut join, &asked);
    let granted = viewer.hear();
    let session = header(&granted, "Session").split(';').next().unwrap().to_owned();
    viewer.say(&format!("PLAY rtsp://h/8 RTSP/1.0\nCSeq: 2\nSession: {session}\n\n"));
    assert_eq!((status(&viewer.hear()), viewer.hear()), (200, "$0 12".to_owned()));
    drop(join);
    assert_eq!((viewer.hear(), viewer.hear()), ("$1 8".to_owned(), String::new()), "BYE, and the end");
}

#[test]
fn a_killed_controller_comes_back_with_its_last_list_though_the_service_is_gone() {
    let (list, mut controller, streamers) = with_streamers(2, "");
    // The stored copy is written within a second or so of the list's last word.
    std::thread::sleep(Duration::from_millis(1800));
    drop(list);
    controller.kill_and_restart();
    controller.wait_listed(2);
    let mut viewer = Talk::to(controller.at);
    viewer.set_up(1, 7, 9, "");
    let (_, (mut join, asked)) = first_join(&streamers);
    flow(&mut join, &asked);
    assert_eq!(status(&viewer.hear()), 200);
}

#[test]
fn signals_end_it_in_order_and_have_the_catalogue_read_anew() {
    let (_list, mut controller, streamers) = with_streamers(1, "");
    controller.write("titles.ini", "[title 9]\nroom_type = clip\nfirst_cell = 0\ncopies = 1\n");
    controller.signal(Signal::HUP);
    controller.wait_log("read anew");
    let mut viewer = Talk::to(controller.at);
    viewer.set_up(1, 8, 9, "");
    assert_eq!(status(&viewer.hear()), 404, "title 8 is gone");
    viewer.set_up(2, 9, 9, "");
    let (mut join, asked) = streamers[0].join();
    flow(&mut join, &asked);
    assert_eq!(status(&viewer.hear()), 200);
    controller.write("titles.ini", "[title 9]\nroom_type = clip\nfirst_cell = 0\n");
    controller.signal(Signal::HUP);
    controller.wait_log("copies: this key is missing; the catalogue read before goes on counting");
    controller.signal(Signal::TERM);
    assert!(controller.wait_end());
}

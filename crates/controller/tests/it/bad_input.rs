//! Bad input and full tables: each has its status or a close, and every other subscription plays on.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::rig::{header, status, Backdrop, Controller, Talk};

fn with_good_streamers(more: &str) -> (Backdrop, Controller) {
    let backdrop = Backdrop::new(true);
    let controller = Controller::start(backdrop.list, more);
    controller.wait_listed(4);
    (backdrop, controller)
}

/// A viewer that plays.
fn playing(controller: &Controller, viewer: u64) -> Talk {
    let mut talk = Talk::to(controller.at);
    talk.set_up(1, 7, viewer, "");
    let granted = talk.hear();
    assert_eq!(status(&granted), 200, "{granted}");
    let session = header(&granted, "Session").split(';').next().unwrap().to_owned();
    talk.say(&format!("PLAY rtsp://h/7 RTSP/1.0\nCSeq: 2\nSession: {session}\n\n"));
    assert_eq!(status(&talk.hear()), 200);
    talk
}

/// The accounts of what came, as anybody may ask for them while it runs.
#[test]
fn live_accounts_say_what_was_relayed() {
    let (_list, controller) = with_good_streamers("");
    let mut viewer = playing(&controller, 1);
    plays_on(&mut viewer);
    let labels = "badgerledge_crossed_set_ups_total{from=\"a\",to=\"a\",room_type=\"clip\"}";
    controller.wait_metric(labels, |count| count == 1.0);
    controller.wait_accounts(|accounts| {
        let whole = accounts.whole();
        let one = whole.values().next();
        whole.len() == 1
            && one.is_some_and(|one| one.set_ups == 1 && one.media_bytes > 1000 && one.subscription_ms > 0)
    });
}

/// Media goes on: some packets come now that were not sent before.
fn plays_on(talk: &mut Talk) {
    for _ in 0..20 {
        let frame = talk.hear();
        assert!(frame.starts_with('$'), "{frame:?}");
    }
}

#[test]
fn each_kind_of_bad_input_has_its_status_and_its_end() {
    let (_list, controller) = with_good_streamers("");
    let mut other = playing(&controller, 1);
    let bounded = |bytes: &[u8]| {
        let mut talk = Talk::to(controller.at);
        let _ = talk.stream.write_all(bytes);
        let answer = talk.hear();
        assert!(answer.is_empty() || talk.hear().is_empty(), "the connection ends");
        status(&answer)
    };
    assert_eq!(bounded(b"\x16\x03\x01 no RTSP at all\r\n\r\n"), 400);
    assert_eq!(bounded(format!("OPTIONS * RTSP/1.0\r\n{}", "X-Filler: more\r\n".repeat(70)).as_bytes()), 400);
    assert_eq!(bounded(format!("OPTIONS * RTSP/1.0\r\nX: {}", "a".repeat(9000)).as_bytes()), 400);
    assert_eq!(bounded(format!("SETUP rtsp://h/{} RTSP/1.0\r\n", "a".repeat(3000)).as_bytes()), 414);
    assert_eq!(bounded(b"SETUP rtsp://h/7 RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 4000000000\r\n\r\n"), 413);
    // Frames on channels that nobody set up: closed after some, without an answer.
    assert_eq!(bounded(&b"$\x05\x00\x02xx".repeat(100)), 0);
    // A flood of requests behind a SETUP that waits for its answer.
    let behind = format!(
        "SETUP rtsp://h/7 RTSP/1.0\r\nCSeq: 1\r\nTransport: RTP/AVP/TCP;interleaved=0-1\r\n\r\n{}",
        "OPTIONS * RTSP/1.0\r\nCSeq: 2\r\n\r\n".repeat(12)
    );
    assert_eq!(bounded(behind.as_bytes()), 0);
    // And of SETUPs, each of which would wait for the same answer.
    let again =
        "SETUP rtsp://h/7 RTSP/1.0\r\nCSeq: 1\r\nTransport: RTP/AVP/TCP;interleaved=0-1\r\n\r\n".repeat(20);
    assert_eq!(bounded(again.as_bytes()), 0);
    plays_on(&mut other);
    assert_eq!(controller.metric("badgerledge_input_faults_total"), Some(8.0));
    assert_eq!(
        controller.log().matches("input of a viewer").count(),
        5,
        "one line each:\n{}",
        controller.log()
    );
}

#[test]
fn requests_that_are_wrong_in_themselves_are_answered_and_the_connection_lives() {
    let (_list, controller) = with_good_streamers("");
    let mut talk = Talk::to(controller.at);
    let mut answered = |text: &str| {
        talk.say(text);
        status(&talk.hear())
    };
    let tcp = "Transport: RTP/AVP/TCP;interleaved=0-1\n";
    assert_eq!(answered("OPTIONS * RTSP/2.0\nCSeq: 1\n\n"), 505);
    assert_eq!(answered("DESCRIBE rtsp://h/ffff RTSP/1.0\nCSeq: 1\n\n"), 404);
    assert_eq!(answered(&format!("SETUP rtsp://h/ffff RTSP/1.0\nCSeq: 1\n{tcp}\n")), 404);
    assert_eq!(answered(&format!("SETUP rtsp://h/7 RTSP/1.0\nCSeq: 1\n{tcp}Room-Type: attic\n\n")), 400);
    assert_eq!(answered(&format!("SETUP rtsp://h/7 RTSP/1.0\nCSeq: 1\n{tcp}Viewer: zz\n\n")), 400);
    assert_eq!(answered("SETUP rtsp://h/7 RTSP/1.0\nCSeq: 1\nTransport: RTP/AVP;unicast\n\n"), 461);
    assert_eq!(answered("PLAY rtsp://h/7 RTSP/1.0\nCSeq: 1\nSession: none\n\n"), 454);
    assert_eq!(answered("SET_PARAMETER rtsp://h/7 RTSP/1.0\nCSeq: 1\nContent-Length: 4\n\nx: 1"), 451);
    assert_eq!(answered("OPTIONS * RTSP/1.0\nCSeq: 1\n\n"), 200);
}

#[test]
fn a_thousand_idle_connections_and_a_slow_sender_stop_nobody() {
    let (_list, controller) = with_good_streamers("");
    let mut other = playing(&controller, 1);
    let idle: Vec<TcpStream> = (0..1000).map(|_| TcpStream::connect(controller.at).unwrap()).collect();
    controller.wait_metric("badgerledge_connections", |count| count > 1000.0);
    let mut slow = Talk::to(controller.at);
    for byte in b"OPTIONS".chunks(1) {
        slow.stream.write_all(byte).unwrap();
        std::thread::sleep(Duration::from_millis(20));
    }
    plays_on(&mut other);
    let mut one_more = playing(&controller, 2);
    plays_on(&mut one_more);
    // After ten seconds the slow one gets its status, a little later the idle ones their end.
    slow.stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    assert_eq!((status(&slow.hear()), slow.hear()), (408, String::new()));
    let mut last = Talk::new(idle.into_iter().next_back().unwrap());
    last.stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    assert_eq!(last.hear(), "");
    plays_on(&mut other);
}

#[test]
fn at_the_bound_of_subscriptions_and_of_connections_viewers_are_throttled() {
    let (_list, controller) = with_good_streamers("subscriptions = 4\n");
    let mut held: Vec<Talk> = (1..=4).map(|viewer| playing(&controller, viewer)).collect();
    let mut over = Talk::to(controller.at);
    over.set_up(1, 7, 50, "");
    let answer = over.hear();
    assert_eq!(status(&answer), 503, "the table of subscriptions is full");
    let wait: u64 = header(&answer, "Come-Back-Ms").parse().unwrap();
    assert!((500..=8000).contains(&wait), "{wait}");
    assert_eq!(header(&answer, "Retry-After"), wait.div_ceil(1000).to_string());
    // The fifth connection is the last that is served; more are answered and ended.
    let mut crowd = Talk::to(controller.at);
    crowd.set_up(1, 7, 51, "");
    let answer = crowd.hear();
    assert_eq!((status(&answer), header(&answer, "CSeq")), (503, "1".into()));
    assert_eq!(crowd.hear(), "");
    held.iter_mut().for_each(plays_on);
    // One that leaves makes room.
    held.pop();
    controller.wait_metric("badgerledge_subscriptions_held", |held| held == 3.0);
    drop(over);
    std::thread::sleep(Duration::from_millis(50));
    plays_on(&mut playing(&controller, 60));
}

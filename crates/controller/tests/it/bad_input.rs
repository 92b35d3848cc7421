//! Invalid input and exhausted limits: each gets its status or a close, and all other subscriptions continue
//! to play.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::harness::{header, status, Controller, Environment, RtspPeer};

fn with_working_streamers(more: &str) -> (Environment, Controller) {
    let environment = Environment::new(true);
    let controller = Controller::start(environment.list, more);
    controller.wait_listed(4);
    (environment, controller)
}

/// Connects a viewer and has it play.
fn playing(controller: &Controller, viewer: u64) -> RtspPeer {
    let mut peer = RtspPeer::to(controller.at);
    peer.set_up(1, 7, viewer, "");
    let granted = peer.receive();
    assert_eq!(status(&granted), 200, "{granted}");
    let session = header(&granted, "Session").split(';').next().unwrap().to_owned();
    peer.send(&format!("PLAY rtsp://h/7 RTSP/1.0\nCSeq: 2\nSession: {session}\n\n"));
    assert_eq!(status(&peer.receive()), 200);
    peer
}

/// The accounts can be requested while the controller runs.
#[test]
fn accounts_of_a_running_controller_include_what_was_relayed() {
    let (_list, controller) = with_working_streamers("");
    let mut viewer = playing(&controller, 1);
    assert_media_continues(&mut viewer);
    let labels = "badgerledge_crossed_set_ups_total{from=\"a\",to=\"a\",room_type=\"clip\"}";
    controller.wait_metric(labels, |count| count == 1.0);
    controller.wait_accounts(|accounts| {
        let whole = accounts.totals();
        let first = whole.values().next();
        whole.len() == 1
            && first.is_some_and(|amount| {
                amount.set_ups == 1 && amount.media_bytes > 1000 && amount.subscription_ms > 0
            })
    });
}

/// Checks that media still arrives: twenty more frames.
fn assert_media_continues(peer: &mut RtspPeer) {
    for _ in 0..20 {
        let frame = peer.receive();
        assert!(frame.starts_with('$'), "{frame:?}");
    }
}

#[test]
fn each_kind_of_invalid_input_gets_its_status_and_closes_the_connection() {
    let (_list, controller) = with_working_streamers("");
    let mut other = playing(&controller, 1);
    let status_of_input = |bytes: &[u8]| {
        let mut peer = RtspPeer::to(controller.at);
        let _ = peer.stream.write_all(bytes);
        let answer = peer.receive();
        assert!(answer.is_empty() || peer.receive().is_empty(), "the connection is closed");
        status(&answer)
    };
    assert_eq!(status_of_input(b"\x16\x03\x01 no RTSP at all\r\n\r\n"), 400);
    assert_eq!(
        status_of_input(format!("OPTIONS * RTSP/1.0\r\n{}", "X-Filler: more\r\n".repeat(70)).as_bytes()),
        400
    );
    assert_eq!(status_of_input(format!("OPTIONS * RTSP/1.0\r\nX: {}", "a".repeat(9000)).as_bytes()), 400);
    assert_eq!(status_of_input(format!("SETUP rtsp://h/{} RTSP/1.0\r\n", "a".repeat(3000)).as_bytes()), 414);
    assert_eq!(
        status_of_input(b"SETUP rtsp://h/7 RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 4000000000\r\n\r\n"),
        413
    );
    // Frames on channels that were not set up: closed after some, without an answer.
    assert_eq!(status_of_input(&b"$\x05\x00\x02xx".repeat(100)), 0);
    // A flood of requests behind a pending SETUP.
    let pipelined_requests = format!(
        "SETUP rtsp://h/7 RTSP/1.0\r\nCSeq: 1\r\nTransport: RTP/AVP/TCP;interleaved=0-1\r\n\r\n{}",
        "OPTIONS * RTSP/1.0\r\nCSeq: 2\r\n\r\n".repeat(12)
    );
    assert_eq!(status_of_input(pipelined_requests.as_bytes()), 0);
    // A flood of SETUPs, each of which would wait for the same answer.
    let repeated_setups =
        "SETUP rtsp://h/7 RTSP/1.0\r\nCSeq: 1\r\nTransport: RTP/AVP/TCP;interleaved=0-1\r\n\r\n".repeat(20);
    assert_eq!(status_of_input(repeated_setups.as_bytes()), 0);
    assert_media_continues(&mut other);
    assert_eq!(controller.metric("badgerledge_input_faults_total"), Some(8.0));
    assert_eq!(
        controller.log().matches("input of a viewer").count(),
        5,
        "one line each:\n{}",
        controller.log()
    );
}

#[test]
fn invalid_requests_are_answered_and_the_connection_stays_open() {
    let (_list, controller) = with_working_streamers("");
    let mut peer = RtspPeer::to(controller.at);
    let mut status_of = |text: &str| {
        peer.send(text);
        status(&peer.receive())
    };
    let transport = "Transport: RTP/AVP/TCP;interleaved=0-1\n";
    assert_eq!(status_of("OPTIONS * RTSP/2.0\nCSeq: 1\n\n"), 505);
    assert_eq!(status_of("DESCRIBE rtsp://h/ffff RTSP/1.0\nCSeq: 1\n\n"), 404);
    assert_eq!(status_of(&format!("SETUP rtsp://h/ffff RTSP/1.0\nCSeq: 1\n{transport}\n")), 404);
    assert_eq!(
        status_of(&format!("SETUP rtsp://h/7 RTSP/1.0\nCSeq: 1\n{transport}Room-Type: attic\n\n")),
        400
    );
    assert_eq!(status_of(&format!("SETUP rtsp://h/7 RTSP/1.0\nCSeq: 1\n{transport}Viewer: zz\n\n")), 400);
    assert_eq!(status_of("SETUP rtsp://h/7 RTSP/1.0\nCSeq: 1\nTransport: RTP/AVP;unicast\n\n"), 461);
    assert_eq!(status_of("PLAY rtsp://h/7 RTSP/1.0\nCSeq: 1\nSession: none\n\n"), 454);
    assert_eq!(status_of("SET_PARAMETER rtsp://h/7 RTSP/1.0\nCSeq: 1\nContent-Length: 4\n\nx: 1"), 451);
    assert_eq!(status_of("OPTIONS * RTSP/1.0\nCSeq: 1\n\n"), 200);
}

#[test]
fn a_thousand_idle_connections_and_a_slow_sender_do_not_affect_others() {
    let (_list, controller) = with_working_streamers("");
    let mut other = playing(&controller, 1);
    let idle: Vec<TcpStream> = (0..1000).map(|_| TcpStream::connect(controller.at).unwrap()).collect();
    controller.wait_metric("badgerledge_connections", |count| count > 1000.0);
    let mut slow = RtspPeer::to(controller.at);
    for byte in b"OPTIONS".chunks(1) {
        slow.stream.write_all(byte).unwrap();
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_media_continues(&mut other);
    let mut one_more = playing(&controller, 2);
    assert_media_continues(&mut one_more);
    // After ten seconds the slow sender gets its status; the idle connections are closed a little later.
    slow.stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    assert_eq!((status(&slow.receive()), slow.receive()), (408, String::new()));
    let mut last = RtspPeer::new(idle.into_iter().next_back().unwrap());
    last.stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    assert_eq!(last.receive(), "");
    assert_media_continues(&mut other);
}

#[test]
fn viewers_over_the_limits_of_subscriptions_and_connections_are_throttled() {
    let (_list, controller) = with_working_streamers("subscriptions = 4\n");
    let mut within_limit: Vec<RtspPeer> = (1..=4).map(|viewer| playing(&controller, viewer)).collect();
    let mut over_subscriptions = RtspPeer::to(controller.at);
    over_subscriptions.set_up(1, 7, 50, "");
    let answer = over_subscriptions.receive();
    assert_eq!(status(&answer), 503, "the table of subscriptions is full");
    let wait: u64 = header(&answer, "Come-Back-Ms").parse().unwrap();
    assert!((500..=8000).contains(&wait), "{wait}");
    assert_eq!(header(&answer, "Retry-After"), wait.div_ceil(1000).to_string());
    // The fifth connection is the last one within the limit; further ones are answered and closed.
    let mut over_limit = RtspPeer::to(controller.at);
    over_limit.set_up(1, 7, 51, "");
    let answer = over_limit.receive();
    assert_eq!((status(&answer), header(&answer, "CSeq")), (503, "1".into()));
    assert_eq!(over_limit.receive(), "");
    within_limit.iter_mut().for_each(assert_media_continues);
    // A viewer that leaves makes room for another.
    within_limit.pop();
    controller.wait_metric("badgerledge_subscriptions_held", |held| held == 3.0);
    drop(over_subscriptions);
    std::thread::sleep(Duration::from_millis(50));
    assert_media_continues(&mut playing(&controller, 60));
}

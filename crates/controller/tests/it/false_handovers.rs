//! Clients that claim subscriptions which no streamer knows, beside viewers.

use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::platform_harness::{list, name_service, Controller, Streamer, Viewer};

const RELEASE: u8 = 12;
const ANSWER: u8 = 9;
const NORMAL: u8 = 16;
const FAILED: u8 = 41;
/// A viewer must be told of the end of its subscription within this time of the release by the streamer.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1050);
/// Ids of subscriptions that nobody knows start here.
const UNKNOWN: u64 = 1 << 60;

/// Guards against releases of viewers' subscriptions that go to clients with false claims and to nobody else: the
/// connection that served the viewer has ended, and the front has another one that serves viewers.
#[test]
fn releases_do_not_go_to_clients_with_false_claims() {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[&streamer])), &[&streamer]);
    let mut first = controller.viewer();
    first.establish(1);
    let mut front = controller.viewer();
    front.establish(2);
    let mut clients: Vec<Viewer> = (0..40).map(|_| controller.viewer()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.hand_over(UNKNOWN + number as u64, &streamer);
        // One of a streamer that there is not is refused at once.
        client.send_hand_over(2 * UNKNOWN + number as u64, 77);
        assert_eq!(client.receive(), (RELEASE, 2 * UNKNOWN + number as u64, vec![FAILED]));
    }
    drop(first);
    sleep(Duration::from_millis(200));
    streamer.release(1, NORMAL);
    let released_at = Instant::now();
    assert_eq!(front.receive(), (RELEASE, 1, vec![NORMAL]));
    assert!(released_at.elapsed() < RELEASE_TIMEOUT);
    for client in &clients {
        assert!(client.receives_nothing_for(Duration::from_millis(20)), "another's release");
    }
}

/// Guards against the same while hundreds of silent clients connect: connections with false claims were kept in
/// place of those that serve viewers.
#[test]
fn connections_that_serve_viewers_are_kept_in_a_crowd_beside_false_claims() {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[&streamer])), &[&streamer]);
    let mut fronts: Vec<Viewer> = (0..5).map(|_| controller.viewer()).collect();
    for (number, front) in fronts.iter_mut().enumerate() {
        front.establish(1 + number as u64);
    }
    let mut clients: Vec<Viewer> = (0..40).map(|_| controller.viewer()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.hand_over(UNKNOWN + number as u64, &streamer);
    }
    sleep(Duration::from_millis(100));
    let crowd: Vec<_> = (0..200).map(|_| TcpStream::connect(controller.at)).collect();
    sleep(Duration::from_millis(500));
    for (number, front) in fronts.iter_mut().enumerate() {
        let wire_id = 1 + number as u64;
        streamer.release(wire_id, NORMAL);
        assert_eq!(front.receive(), (RELEASE, wire_id, vec![NORMAL]));
    }
    drop(crowd);
}

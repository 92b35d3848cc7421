//! Clients that claim subscriptions which no streamer knows, beside viewers.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use crate::platform_harness::{
    hand_over, Controller, Streamer, Viewer, ANSWER, FAILED, NORMAL, RELEASE, RELEASE_TIMEOUT,
};

/// Ids of subscriptions that nobody knows start here.
const UNKNOWN: u64 = 1 << 60;

/// A client that claims subscriptions under ever new ids at full speed, and reads what it is sent.
struct FalseClient {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<u64>,
}

impl FalseClient {
    fn start(controller: &Controller, streamer: &Streamer, number: u64) -> Self {
        let mut stream = TcpStream::connect(controller.at).unwrap();
        let mut reader = stream.try_clone().unwrap();
        spawn(move || while matches!(reader.read(&mut [0; 4096]), Ok(count) if count > 0) {});
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, streamer_id) = (stop.clone(), streamer.id);
        let thread = spawn(move || {
            let mut claimed = 0;
            while !stopped.load(Ordering::SeqCst) {
                let ids = (claimed..claimed + 64).map(|id| UNKNOWN + (number << 32) + id);
                let frames: Vec<u8> = ids.flat_map(|id| hand_over(id, streamer_id)).collect();
                if stream.write_all(&frames).is_err() {
                    break;
                }
                claimed += 64;
            }
            claimed
        });
        Self { stop, thread }
    }

    /// Stops the client, and returns how many subscriptions it has claimed.
    fn stop(self) -> u64 {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().unwrap()
    }
}

/// Guards against clients whose claims fill the streamers' links: the set-ups of viewers were refused, or
/// answered long after their time. The claims come in the time in which a front hands over, and at any speed.
#[test]
fn claims_of_unknown_subscriptions_do_not_affect_set_ups() {
    let (streamer, controller) = Controller::with_one_streamer();
    let clients: Vec<_> = (0..4).map(|number| FalseClient::start(&controller, &streamer, number)).collect();
    let mut front = controller.viewer();
    for wire_id in 1..=20 {
        let sent_at = Instant::now();
        // The load that the streamer reports is that of what really plays.
        streamer.report_link(wire_id - 1, 0.1);
        front.set_up(wire_id);
        let (kind, id, _) = front.receive();
        assert_eq!((kind, id), (ANSWER, wire_id), "set-up {wire_id}");
        assert!(sent_at.elapsed() < Duration::from_secs(2), "{:?}", sent_at.elapsed());
        sleep(Duration::from_millis(100));
    }
    let claimed: u64 = clients.into_iter().map(FalseClient::stop).sum();
    assert!(claimed > 10_000, "{claimed}");
}

/// Guards against a restart after which a flood of false claims takes the place of what the front hands over:
/// its viewers were told that their subscriptions are over, or were not told when they were.
#[test]
fn true_handovers_are_kept_beside_a_flood_of_false_ones() {
    let (streamer, controller) = Controller::with_one_streamer();
    let clients: Vec<_> = (0..4).map(|number| FalseClient::start(&controller, &streamer, number)).collect();
    sleep(Duration::from_secs(1));
    let mut fronts: Vec<Viewer> = (0..8).map(|_| controller.viewer()).collect();
    for wire_id in 1..=200 {
        fronts[wire_id as usize % 8].hand_over(wire_id, &streamer);
    }
    sleep(Duration::from_secs(1));
    for wire_id in 1..=200 {
        streamer.release(wire_id, NORMAL);
        let released_at = Instant::now();
        assert_eq!(fronts[wire_id as usize % 8].receive(), (RELEASE, wire_id, vec![NORMAL]));
        assert!(released_at.elapsed() < RELEASE_TIMEOUT);
    }
    for client in clients {
        client.stop();
    }
}

/// Guards against releases of viewers' subscriptions that go to clients with false claims and to nobody else: the
/// connection that served the viewer has ended, and the front has another one that serves viewers.
#[test]
fn releases_do_not_go_to_clients_with_false_claims() {
    let (streamer, controller) = Controller::with_one_streamer();
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
    let (streamer, controller) = Controller::with_one_streamer();
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

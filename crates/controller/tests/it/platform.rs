//! The controller as a process on the platform, between small stand-ins of viewers, streamers and the name
//! service.

use std::io::{Read, Write};
use std::net::Shutdown;
use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::json;
use tempfile::TempDir;

use crate::harness::TIMEOUT;
use crate::platform_harness::{
    configuration, list, name_service, Controller, Streamer, EXITED, SILENT, TRUNCATING,
};

#[test]
fn subscriptions_survive_faulty_peers_discovery_changes_and_shutdown() {
    let (first_streamer, second_streamer, third_streamer) =
        (Streamer::new(1), Streamer::new(2), Streamer::new(3));
    let listed = list(1, &[&first_streamer, &second_streamer]);
    let mut controller = Controller::start(name_service(listed.clone()), &[&first_streamer]);
    let mut viewer = controller.viewer();
    viewer.send(52, 1, &[(75, "\0")]);
    assert_eq!(viewer.receive(), (53, 1, vec![1]));

    // Normal operation: a subscription is accepted; its end is passed on from its streamer, and from a viewer
    // on whatever connection.
    viewer.establish(10);
    let offer = first_streamer.wait_for("offer", 10);
    assert_eq!(
        (&offer["with"]["class"], &offer["with"]["key"]),
        (&json!("tour"), &json!("7f3a9c21e0b4d655"))
    );
    first_streamer.send(&json!({"op": "end", "call": format!("{:016x}", 10), "with": {}, "why": 16}));
    assert_eq!(viewer.receive(), (12, 10, vec![16]));
    viewer.establish(11);
    controller.viewer().send(12, 11, &[(75, "\x10")]);
    first_streamer.wait_for("end", 11);

    // A streamer is added by DNS. The first one sends truncated answers, then none: all set-ups still reach
    // the second.
    listed.lock().unwrap().0 = 2;
    first_streamer.mode.store(TRUNCATING, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(500));
    (20..24).for_each(|wire_id| viewer.establish(wire_id));
    first_streamer.mode.store(SILENT, Ordering::SeqCst);
    (24..28).for_each(|wire_id| viewer.establish(wire_id));
    second_streamer.wait_for("offer", 27);

    // Unreadable input and silence are closed within three seconds, and no other connection is affected.
    let started = Instant::now();
    let mut faulty_clients = [controller.viewer(), controller.viewer()];
    faulty_clients[0].0.write_all(&[0xff; 20_000]).unwrap();
    for client in &mut faulty_clients {
        assert!(matches!(client.0.read(&mut [0; 16]), Ok(0) | Err(_)));
    }
    assert!(started.elapsed() < Duration::from_secs(3));

    // The name service moves: an invalid file changes nothing, then the new address gives a new list.
    let config = controller.folder.path().join("config.json");
    std::fs::write(&config, "{").unwrap();
    controller.signal(Signal::HUP);
    viewer.establish(30);
    let moved = name_service(list(3, &[&third_streamer]));
    std::fs::write(&config, configuration(controller.at, moved, &[]).to_string()).unwrap();
    controller.signal(Signal::HUP);
    std::thread::sleep(Duration::from_millis(500));
    viewer.establish(31);
    third_streamer.wait_for("offer", 31);

    // SIGTERM with a set-up pending: it is answered, tests fail from then on, and the process exits once no
    // subscription is held.
    third_streamer.mode.store(SILENT, Ordering::SeqCst);
    viewer.set_up(40);
    third_streamer.wait_for("offer", 40);
    controller.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(100));
    viewer.send(52, 2, &[(75, "\0")]);
    assert_eq!(viewer.receive(), (53, 2, vec![0]));
    assert_eq!(viewer.receive().1, 40, "a final answer");
    for wire_id in (20..28).chain([30, 31]) {
        viewer.send(12, wire_id, &[(75, "\x10")]);
    }
    controller.exits_within(TIMEOUT);
}

/// A lost connection to a streamer does not end its subscriptions: the next connection delivers pending
/// messages. When a streamer's process has exited, its subscriptions end, well within the eight seconds
/// allowed.
#[test]
fn a_subscription_outlives_its_connection_but_not_its_streamer() {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&streamer]);
    let mut viewer = controller.viewer();
    let cut = || {
        for connection in streamer.connections.lock().unwrap().drain(..) {
            connection.shutdown(Shutdown::Both).unwrap();
        }
    };
    (10..13).for_each(|wire_id| viewer.establish(wire_id));
    cut();
    std::thread::sleep(Duration::from_millis(600));
    streamer.send(&json!({"op": "end", "call": format!("{:016x}", 10), "with": {}, "why": 41}));
    assert_eq!(viewer.receive(), (12, 10, vec![41]));
    streamer.mode.store(EXITED, Ordering::SeqCst);
    let started = Instant::now();
    cut();
    assert_eq!([viewer.receive(), viewer.receive()], [(12, 11, vec![41]), (12, 12, vec![41])]);
    assert!(started.elapsed() < Duration::from_secs(2));
}

/// Guards against a misdirected release: the connection that a subscription was set up on had been closed to
/// make room, and its release went to the connection used last, which was a tester's. This did no harm: other
/// viewers' connections exist, or the release waits for one.
#[test]
fn a_release_whose_connection_is_closed_goes_to_viewers_and_not_to_testers() {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&streamer]);
    let (mut viewer, mut other, mut tester) = (controller.viewer(), controller.viewer(), controller.viewer());
    other.establish(11);
    viewer.establish(10);
    tester.send(52, 1, &[(75, "\0")]);
    assert_eq!(tester.receive(), (53, 1, vec![1]));
    drop(viewer);
    std::thread::sleep(Duration::from_millis(100));
    streamer.send(&json!({"op": "end", "call": format!("{:016x}", 10), "with": {}, "why": 16}));
    assert_eq!(other.receive(), (12, 10, vec![16]));
}

/// Guards against a request that is lost without a trace: the log must name the set-up, which side ended its
/// connection, and the step that the set-up was at.
#[test]
fn a_set_up_whose_connection_ends_is_logged_with_its_step() {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&streamer]);
    let mut viewer = controller.viewer();
    streamer.mode.store(SILENT, Ordering::SeqCst);
    viewer.set_up(0x51);
    streamer.wait_for("offer", 0x51);
    drop(viewer);
    controller.wait_log(&["WARN", "0000000000000051", "by=Viewer", "with a join out"]);
}

#[test]
fn an_unreadable_configuration_gives_a_single_line_error() {
    let folder = TempDir::new().unwrap();
    let config = folder.path().join("config.json");
    std::fs::write(&config, r#"{"seed":"12","listen":"nowhere","settings":{}}"#).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerledge-controller"));
    let output = command.arg("platform").env("GW_CONFIG", &config).output().unwrap();
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success());
    assert_eq!(said.lines().count(), 1, "{said}");
    assert!(said.contains("config.json") && said.contains("listen = nowhere"), "{said}");
}

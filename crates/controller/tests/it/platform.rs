//! The platform's way in as a process: one day of seconds between small stand-ins of viewers, streamers and the
//! name service.

use std::io::{Read, Write};
use std::net::Shutdown;
use std::process::Command;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::json;
use tempfile::TempDir;

use crate::platform_rig::{list, name_service, told, Controller, Streamer, ENDS, GARBLES, SILENT};
use crate::rig::PATIENCE;

#[test]
fn a_day_on_the_platform() {
    let (one, two, three) = (Streamer::new(1), Streamer::new(2), Streamer::new(3));
    let listed = list(1, &[&one, &two]);
    let mut controller = Controller::start(name_service(listed.clone()), &[&one]);
    let mut viewer = controller.viewer();
    viewer.send(52, 1, &[(75, "\0")]);
    assert_eq!(viewer.hears(), (53, 1, vec![1]));

    // Calm: it stands, its streamer's end is passed on, a viewer's too, on whatever connection.
    viewer.plays(10);
    let offer = one.hears("offer", 10);
    assert_eq!(
        (&offer["with"]["class"], &offer["with"]["key"]),
        (&json!("tour"), &json!("7f3a9c21e0b4d655"))
    );
    one.say(&json!({"op": "end", "call": format!("{:016x}", 10), "with": {}, "why": 16}));
    assert_eq!(viewer.hears(), (12, 10, vec![16]));
    viewer.plays(11);
    controller.viewer().send(12, 11, &[(75, "\x10")]);
    one.hears("end", 11);

    // A streamer comes by DNS; the first one garbles, then says nothing: all still get to the second.
    listed.lock().unwrap().0 = 2;
    one.mode.store(GARBLES, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(500));
    (20..24).for_each(|wire_id| viewer.plays(wire_id));
    one.mode.store(SILENT, Ordering::SeqCst);
    (24..28).for_each(|wire_id| viewer.plays(wire_id));
    two.hears("offer", 27);

    // What cannot be read is closed within three seconds, silence too, and nobody else notices.
    let begun = Instant::now();
    let mut rude = [controller.viewer(), controller.viewer()];
    rude[0].0.write_all(&[0xff; 20_000]).unwrap();
    for rude in &mut rude {
        assert!(matches!(rude.0.read(&mut [0; 16]), Ok(0) | Err(_)));
    }
    assert!(begun.elapsed() < Duration::from_secs(3));

    // The name service moves: a file that is no use changes nothing, then the new address tells a new list.
    let config = controller.folder.path().join("config.json");
    std::fs::write(&config, "{").unwrap();
    controller.signal(Signal::HUP);
    viewer.plays(30);
    let moved = name_service(list(3, &[&three]));
    std::fs::write(&config, told(controller.at, moved, &[]).to_string()).unwrap();
    controller.signal(Signal::HUP);
    std::thread::sleep(Duration::from_millis(500));
    viewer.plays(31);
    three.hears("offer", 31);

    // SIGTERM with a set-up open: it is answered, tests fail from then on, and the process ends once nothing is held.
    three.mode.store(SILENT, Ordering::SeqCst);
    viewer.set_up(40);
    three.hears("offer", 40);
    controller.signal(Signal::TERM);
    std::thread::sleep(Duration::from_millis(100));
    viewer.send(52, 2, &[(75, "\0")]);
    assert_eq!(viewer.hears(), (53, 2, vec![0]));
    assert_eq!(viewer.hears().1, 40, "a final answer");
    for wire_id in (20..28).chain([30, 31]) {
        viewer.send(12, wire_id, &[(75, "\x10")]);
    }
    controller.ends_within(PATIENCE);
}

/// A cut connection ends nothing by itself: the next one brings what there is to say. A streamer whose process is
/// gone takes down what stood there, well within the eight seconds there are.
#[test]
fn what_stands_outlives_its_connection_but_not_its_streamer() {
    let one = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&one]);
    let mut viewer = controller.viewer();
    let cut = || {
        for line in one.lines.lock().unwrap().drain(..) {
            line.shutdown(Shutdown::Both).unwrap();
        }
    };
    (10..13).for_each(|wire_id| viewer.plays(wire_id));
    cut();
    std::thread::sleep(Duration::from_millis(600));
    one.say(&json!({"op": "end", "call": format!("{:016x}", 10), "with": {}, "why": 41}));
    assert_eq!(viewer.hears(), (12, 10, vec![41]));
    one.mode.store(ENDS, Ordering::SeqCst);
    let begun = Instant::now();
    cut();
    assert_eq!([viewer.hears(), viewer.hears()], [(12, 11, vec![41]), (12, 12, vec![41])]);
    assert!(begun.elapsed() < Duration::from_secs(2));
}

/// Found on the long day: the connection that a subscription was set up on had given way, and its release went on the one
/// used last, which was a tester's. Harm: none, other viewers' connections are there or the release waits for one.
#[test]
fn a_release_whose_connection_is_gone_goes_to_viewers_and_not_to_testers() {
    let one = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&one]);
    let (mut viewer, mut other, mut tester) = (controller.viewer(), controller.viewer(), controller.viewer());
    other.plays(11);
    viewer.plays(10);
    tester.send(52, 1, &[(75, "\0")]);
    assert_eq!(tester.hears(), (53, 1, vec![1]));
    drop(viewer);
    std::thread::sleep(Duration::from_millis(100));
    one.say(&json!({"op": "end", "call": format!("{:016x}", 10), "with": {}, "why": 16}));
    assert_eq!(other.hears(), (12, 10, vec![16]));
}

/// A request of the full fleet had no answer, and nothing told where it was lost: the log names the set-up, who ended
/// its connection and the step it stood at.
#[test]
fn a_set_up_whose_connection_ends_is_named_in_the_log_with_its_step() {
    let one = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[])), &[&one]);
    let mut viewer = controller.viewer();
    one.mode.store(SILENT, Ordering::SeqCst);
    viewer.set_up(0x51);
    one.hears("offer", 0x51);
    drop(viewer);
    controller.logs(&["WARN", "0000000000000051", "by=Viewer", "with a join out"]);
}

#[test]
fn a_configuration_that_cannot_be_read_is_one_plain_error() {
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

//! Clients that leave with requests unread.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::process::Signal;

use crate::platform_harness::{set_up, Controller, Viewer, ANSWER, RELEASE, SILENT};

const REJECTED: u8 = 96;
/// Long enough for all that is read to be placed.
const PLACED: Duration = Duration::from_millis(500);

/// Sends set-ups until the connection takes no more, and returns how many bytes that were.
fn fill(stream: &mut TcpStream) -> usize {
    stream.set_nonblocking(true).unwrap();
    let frames: Vec<u8> = (100..4_000).flat_map(|wire_id| set_up(wire_id, "4000", "v=0")).collect();
    let mut sent = 0;
    while sent < frames.len() {
        match stream.write(&frames[sent..]) {
            Ok(count) => sent += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => panic!("{error}"),
        }
    }
    sent
}

/// Guards against requests that are sent on although their client has closed its connection: more than is read at
/// once lay unread, and the end behind it.
#[test]
fn set_ups_of_a_client_that_closed_with_much_unread_are_not_sent_on() {
    let (streamer, controller) = Controller::with_one_streamer();
    let Viewer(mut stream) = controller.viewer();
    // The process finds all of it at once.
    controller.signal(Signal::STOP);
    let sent = fill(&mut stream);
    assert!(sent > 64 * 1024, "{sent}");
    drop(stream);
    std::thread::sleep(Duration::from_millis(100));
    controller.signal(Signal::CONT);
    assert!(streamer.take_received(PLACED).is_empty());
    controller.viewer().establish(1);
}

/// Set-ups are served if their client stays, whatever their length: also where a read takes exactly what there is
/// room for, and nothing follows.
#[test]
fn set_ups_of_a_client_that_sends_much_at_once_are_served() {
    /// Two frames with descriptions of this length fill the input buffer of a connection.
    const HALF_BUFFER: usize = 8_193 - 95;
    let (_streamer, controller) = Controller::with_one_streamer();
    for description_bytes in [3, HALF_BUFFER - 1, HALF_BUFFER, HALF_BUFFER + 1] {
        let mut viewer = controller.viewer();
        let description = "v".repeat(description_bytes);
        controller.signal(Signal::STOP);
        for wire_id in 0..4 {
            viewer.set_up_with(10 * description_bytes as u64 + wire_id, "4000", &description);
        }
        controller.signal(Signal::CONT);
        let kinds = [(); 4].map(|()| viewer.receive().0);
        assert_eq!(kinds, [ANSWER; 4], "{description_bytes}");
    }
}

/// Guards against an id that runs twice: its client left while its join was out, and came again with the same id.
#[test]
fn an_id_that_comes_again_after_its_client_left_is_not_run_again() {
    let (streamer, controller) = Controller::with_one_streamer();
    streamer.mode.store(SILENT, Ordering::SeqCst);
    let mut first = controller.viewer();
    first.set_up(1);
    streamer.wait_for("offer", 1);
    drop(first);
    streamer.wait_for("end", 1);
    let mut again = controller.viewer();
    again.set_up(1);
    assert_eq!(again.receive(), (RELEASE, 1, vec![REJECTED]));
    assert!(streamer.take_received(PLACED).is_empty());
}

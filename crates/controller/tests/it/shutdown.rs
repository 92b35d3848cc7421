//! Shutdown of a controller on the platform: the platform kills the process at a known time after SIGTERM,
//! while viewers keep sending on open connections. By then each set-up must have its final answer, and the
//! process must have exited, whatever streamers do.

use std::io::{ErrorKind, Read};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::json;

use crate::platform_harness::{list, name_service, Controller, Streamer, Viewer, SILENT};

/// SIGKILL follows SIGTERM after the longest client timeout, counted as three seconds at most, and this time.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// A set-up that crosses the close of a connection by at most this time is sent again by the client.
const CROSSING: Duration = Duration::from_millis(50);

/// Viewers with open connections, each of which sends set-ups at this interval.
const VIEWERS: u64 = 6;
const SET_UP_INTERVAL: Duration = Duration::from_millis(20);

/// What a viewer saw on its connection until that ended.
#[derive(Default)]
struct Record {
    /// When each set-up was sent; those without an answer at the end of the connection.
    sent: Vec<(u64, Instant)>,
    answered: Vec<u64>,
    ended_at: Option<Instant>,
}

impl Record {
    /// The set-ups without an answer that did not cross the close of the connection.
    fn lost(&self) -> Vec<u64> {
        let ended_at = self.ended_at.expect("the connection ended");
        let unanswered = self.sent.iter().filter(|(wire_id, _)| !self.answered.contains(wire_id));
        unanswered
            .filter(|(_, sent_at)| *sent_at + CROSSING < ended_at)
            .map(|(wire_id, _)| *wire_id)
            .collect()
    }
}

/// Sends set-ups on one connection until it ends, and records the answers.
fn keep_sending(mut viewer: Viewer, first_wire_id: u64, timeout: Duration) -> Record {
    viewer.0.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
    let (mut record, mut next_at, mut input) = (Record::default(), Instant::now(), Vec::new());
    loop {
        if Instant::now() >= next_at {
            next_at += SET_UP_INTERVAL;
            let wire_id = first_wire_id + record.sent.len() as u64;
            if viewer.try_set_up(wire_id, &timeout.as_millis().to_string()).is_ok() {
                record.sent.push((wire_id, Instant::now()));
            }
        }
        let mut bytes = [0; 4096];
        match viewer.0.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => input.extend_from_slice(&bytes[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
        while let Some(length) = input.get(..2).map(|bytes| u16::from_be_bytes([bytes[0], bytes[1]])) {
            let length = 2 + usize::from(length);
            if input.len() < length {
                break;
            }
            record.answered.push(u64::from_be_bytes(input[3..11].try_into().unwrap()));
            input.drain(..length);
        }
    }
    record.ended_at = Some(Instant::now());
    record
}

/// Stops a controller under load as the platform does, and checks that nothing is lost and that the process
/// exits before it would be killed. One streamer does not answer from the signal on, and the process gets no
/// processor time for `stopped` as it is signalled.
fn check_shutdown(client_timeout: Duration, stopped: Duration) {
    let (accepting, silent) = (Streamer::new(1), Streamer::new(2));
    let listed = list(2, &[&accepting, &silent]);
    let mut controller = Controller::start_with(name_service(listed), &[&accepting, &silent], |settings| {
        let profile = &mut settings["settings"]["profiles"][0];
        profile["deadlineUs"] = json!(client_timeout.as_micros() as u64);
        profile["aimUs"] = json!(client_timeout.as_micros() as u64 / 2);
    });
    let mut playing = controller.viewer();
    playing.establish(1);
    let records: Vec<Record> = std::thread::scope(|scope| {
        let viewers: Vec<_> = (1..=VIEWERS)
            .map(|number| {
                let viewer = controller.viewer();
                scope.spawn(move || keep_sending(viewer, number * 1_000_000, client_timeout))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        silent.mode.store(SILENT, Ordering::SeqCst);
        if !stopped.is_zero() {
            controller.signal(Signal::STOP);
        }
        controller.signal(Signal::TERM);
        let killed_at = Instant::now() + client_timeout.min(Duration::from_secs(3)) + KILL_MARGIN;
        std::thread::sleep(stopped);
        controller.signal(Signal::CONT);
        let mut exited = false;
        while !exited && Instant::now() < killed_at {
            exited = controller.child.try_wait().unwrap().is_some();
            std::thread::sleep(Duration::from_millis(2));
        }
        if !exited {
            controller.child.kill().unwrap();
        }
        viewers.into_iter().map(|viewer| viewer.join().unwrap()).collect()
    });
    let log = controller.log();
    let lost: Vec<u64> = records.iter().flat_map(Record::lost).collect();
    let sent: usize = records.iter().map(|record| record.sent.len()).sum();
    assert!(lost.is_empty(), "{} of {sent} set-ups are lost: {lost:?}\n{log}", lost.len());
    let status = controller.child.wait().unwrap();
    assert!(status.success(), "the process exits by itself before it is killed: {status}\n{log}");
}

/// Guards against a process that serves on as long as a session plays, and is killed with set-ups pending.
#[test]
fn a_stopping_process_answers_every_set_up_and_exits_before_it_is_killed() {
    check_shutdown(Duration::from_millis(4000), Duration::ZERO);
}

/// The same with short client timeouts: the process is killed soon after SIGTERM.
#[test]
fn a_stopping_process_with_short_client_timeouts_exits_before_it_is_killed() {
    check_shutdown(Duration::from_millis(600), Duration::ZERO);
}

/// Guards against a shutdown that is counted from when a delayed process reads its signal: the platform counts
/// from when it sends it.
#[test]
fn a_process_that_is_stopped_as_it_is_signalled_exits_before_it_is_killed() {
    check_shutdown(Duration::from_millis(600), Duration::from_millis(700));
}

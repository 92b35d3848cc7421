//! A streamer that starts at the address of one that has gone, before the list tells so.

use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;

use crate::harness::TIMEOUT;
use crate::platform_harness::{
    list, name_service, Controller, List, Streamer, Viewer, ANSWER, EXITED, FAILED, NORMAL, RELEASE, SILENT,
};

/// Long enough for a query to the name service and for what follows its answer.
const LIST_KNOWN: Duration = Duration::from_millis(600);

/// A process that replaces another one at its address: when it started, and the list that will name it.
struct Replacement {
    streamer: Streamer,
    list: List,
    started_unix_ms: u64,
}

impl Replacement {
    /// Ends the process of a streamer, and starts another at its address.
    fn of(gone: &Streamer, list: List) -> Self {
        gone.mode.store(EXITED, Ordering::SeqCst);
        (0..gone.connection_count()).for_each(|connection| gone.close(connection, true));
        // The listener ends with the next connection.
        let _ = TcpStream::connect(gone.at);
        let end = Instant::now() + TIMEOUT;
        let listener = loop {
            match TcpListener::bind(gone.at) {
                Ok(listener) => break listener,
                Err(error) => assert!(Instant::now() < end, "{error}"),
            }
            sleep(Duration::from_millis(1));
        };
        let started_unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        Self { streamer: Streamer::at(2, listener), list, started_unix_ms }
    }

    /// Has the list name it, with or without its start.
    fn name(&self, with_start: bool) {
        let started = if with_start { self.started_unix_ms } else { 0 };
        *self.list.lock().unwrap() = (2, vec![(self.streamer.id, self.streamer.at, started)]);
    }
}

fn playing_at_first_streamer() -> (Streamer, List, Controller, Viewer) {
    let streamer = Streamer::new(1);
    let list = list(1, &[&streamer]);
    let controller = Controller::start(name_service(list.clone()), &[&streamer]);
    let mut viewer = controller.viewer();
    viewer.establish(10);
    (streamer, list, controller, viewer)
}

/// Guards against subscriptions that play on although their viewers are told that they are over: a new process had
/// accepted them before the list named it, and they were taken for those of the process before it.
#[test]
fn subscriptions_that_a_new_process_accepted_before_it_was_listed_are_its_own() {
    for (delay_ms, with_start) in [(100, true), (1200, true), (100, false)] {
        let (streamer, list, _controller, mut viewer) = playing_at_first_streamer();
        let new = Replacement::of(&streamer, list);
        sleep(Duration::from_millis(20));
        viewer.establish(20);
        sleep(Duration::from_millis(delay_ms));
        new.name(with_start);
        assert_eq!(viewer.receive(), (RELEASE, 10, vec![FAILED]), "it ended with the first process");
        assert!(viewer.receives_nothing_for(LIST_KNOWN), "{delay_ms} ms, {with_start}");
        let ended = new.streamer.take_received(Duration::from_millis(50));
        assert!(ended.iter().all(|message| message["op"] != "end"), "{ended:?}");
        new.streamer.release(20, NORMAL);
        assert_eq!(viewer.receive(), (RELEASE, 20, vec![NORMAL]));
    }
}

/// Guards against a join that runs twice: it was out at the new process as the list named that, was given up with
/// its connection, and sent again.
#[test]
fn a_join_that_is_out_at_a_new_process_as_it_is_listed_goes_on() {
    let (streamer, list, _controller, mut viewer) = playing_at_first_streamer();
    let new = Replacement::of(&streamer, list);
    new.streamer.mode.store(SILENT, Ordering::SeqCst);
    sleep(Duration::from_millis(20));
    viewer.set_up_with(20, "4000", "v=0");
    new.streamer.wait_for("offer", 20);
    new.name(true);
    assert_eq!(viewer.receive(), (RELEASE, 10, vec![FAILED]));
    new.streamer.send(&json!({"op": "accept", "call": format!("{:016x}", 20), "with": {}, "desc": "v=0"}));
    assert_eq!(viewer.receive().0, ANSWER);
    let received = new.streamer.take_received(LIST_KNOWN);
    assert!(received.iter().all(|message| message["op"] == "test"), "{received:?}");
}

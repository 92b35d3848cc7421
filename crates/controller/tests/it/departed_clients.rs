//! Clients that leave with requests unread.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::platform_harness::{list, name_service, Controller, Streamer, SILENT};

const RELEASE: u8 = 12;
const REJECTED: u8 = 96;
/// Long enough for all that is read to be placed.
const PLACED: Duration = Duration::from_millis(500);

fn start() -> (Streamer, Controller) {
    let streamer = Streamer::new(1);
    let controller = Controller::start(name_service(list(1, &[&streamer])), &[&streamer]);
    (streamer, controller)
}

/// Guards against an id that runs twice: its client left while its join was out, and came again with the same id.
#[test]
fn an_id_that_comes_again_after_its_client_left_is_not_run_again() {
    let (streamer, controller) = start();
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

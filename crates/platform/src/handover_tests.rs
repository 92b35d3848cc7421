//! Sessions that are handed over, of which anybody may claim any number.

use std::time::Duration;

use crate::session_table::streamer_id;
use crate::tests::Harness;

/// The memory of the harness's table allows this many unconfirmed sessions.
const MAX_CLAIMS: u64 = 32 * 200;
const RELEASE_AS_FAILED: (u8, u8) = (12, 41);

fn is_held(harness: &Harness, wire_id: u64) -> bool {
    harness.sessions.is_playing_at(streamer_id(0), wire_id)
}

/// Guards against false hand-overs that fill links and make others' set-ups wait: only what a streamer has
/// spoken of reaches the decision module, and what came on the same connection.
#[test]
fn a_handover_is_decided_on_once_its_streamer_speaks_of_it() {
    let mut harness = Harness::new();
    (100..103).for_each(|wire_id| harness.hand_over(1, wire_id, streamer_id(0)));
    (200..203).for_each(|wire_id| harness.hand_over(2, wire_id, streamer_id(0)));
    harness.advance(20);
    assert_eq!((harness.sessions.len(), harness.sessions.store.claims.len()), (6, 6));
    assert!(harness.transport.serving.is_empty());
    harness.report(streamer_id(1), 100, "tier").unwrap();
    assert_eq!(harness.sessions.store.claims.len(), 6, "it plays at another streamer");
    harness.report(streamer_id(0), 100, "tier").unwrap();
    assert_eq!(harness.sessions.store.claims.len(), 3);
    harness.hand_over(1, 103, streamer_id(0));
    assert_eq!(harness.sessions.store.claims.len(), 3);
    assert_eq!(harness.transport.serving.iter().copied().collect::<Vec<_>>(), [1]);
    // A viewer that is served does not make what is claimed on its connection true.
    harness.set_up(2, 5, &[]);
    harness.advance(20);
    assert!(harness.answer(5).is_some());
    assert_eq!(harness.sessions.store.claims.len(), 3);
    // Whether confirmed or not, a release reaches the viewer.
    for wire_id in [100, 103, 200] {
        let (now, streamer) = (harness.now, streamer_id(0));
        harness.sessions.ended_by_streamer(now, streamer, wire_id, 16, None, &mut harness.transport);
        assert_eq!(harness.transport.frames_of(wire_id), [(12, 16)]);
    }
    harness.advance(20);
}

/// Guards against taking in what nobody can hand over any more: the front does so after a start. What is held
/// already may be named at any time.
#[test]
fn an_unknown_session_is_not_taken_in_once_no_handover_is_due() {
    let mut harness = Harness::new();
    let now = harness.now;
    harness.sessions.record_ready(now);
    harness.advance(9_900);
    harness.hand_over(1, 100, streamer_id(0));
    harness.advance(200);
    harness.hand_over(1, 101, streamer_id(0));
    harness.hand_over(2, 100, streamer_id(0));
    assert!(is_held(&harness, 100) && !is_held(&harness, 101));
    assert_eq!(harness.transport.frames_of(101), [RELEASE_AS_FAILED]);
    assert_eq!(harness.transport.frames_of(100), []);
}

/// Guards against a flood that takes the room of the front's hand-overs after a restart: each connection has its
/// part, and what is confirmed keeps its place.
#[test]
fn a_flood_on_some_connections_leaves_room_for_others() {
    const FLOODS: u64 = 4;
    let mut harness = Harness::new();
    harness.hand_over(1, 1, streamer_id(0));
    harness.report(streamer_id(0), 1, "tier").unwrap();
    for wire_id in 0..2 * MAX_CLAIMS {
        harness.hand_over(10 + wire_id % FLOODS, 1_000_000 + wire_id, streamer_id(0));
    }
    assert_eq!(harness.sessions.store.claims.len() as u64, MAX_CLAIMS);
    // The front, on connections that nothing has confirmed yet.
    let front = |n: u64| (2 + n % 3, 100 + n);
    for (connection, wire_id) in (0..900).map(front) {
        harness.hand_over(connection, wire_id, streamer_id(0));
    }
    assert!((0..900).map(front).all(|(_, wire_id)| is_held(&harness, wire_id)));
    assert!(is_held(&harness, 1));
    assert_eq!(harness.sessions.store.claims.len() as u64, MAX_CLAIMS);
    harness.advance(20);
    // Releases of what was turned away go on no other connection than its own.
    let on_others = harness.transport.viewer_frames.iter().filter(|(connection, _)| *connection < 10);
    assert_eq!(on_others.count(), 0);
}

/// Guards against a seat that is given away while the session that has it is not confirmed.
#[test]
fn an_unconfirmed_handover_holds_its_seat() {
    let mut harness = Harness::with_seats(1);
    harness.hand_over(1, 100, streamer_id(0));
    harness.set_up(2, 5, &[]);
    harness.advance(3_000);
    assert_eq!(harness.transport.frames_of(5), [(12, 42)], "its one seat is taken");
    harness.sessions.ended_by_viewer(harness.now, 1, 100, &mut harness.transport);
    harness.set_up(2, 6, &[]);
    harness.advance(30);
    assert!(harness.answer(6).is_some());
}

/// Guards against an unknown session that is reported before its hand-over and then taken for unconfirmed.
#[test]
fn a_session_that_was_reported_before_its_handover_is_confirmed_by_that() {
    let mut harness = Harness::new();
    let (now, streamer) = (harness.now, streamer_id(0));
    assert!(!harness.sessions.is_orphan(now, streamer, 100));
    harness.hand_over(1, 100, streamer_id(0));
    assert_eq!(harness.sessions.store.claims.len(), 0);
    harness.advance(Duration::from_secs(1).as_millis() as u64);
    assert!(is_held(&harness, 100));
}

//! The memory of ended and unknown sessions, with the time passed in.

use std::time::Duration;

use badgerledge_core::interface::StreamerId;

use crate::ended_sessions::{EndedSession, EndedSessions};
use crate::expiring_map::ExpiringMap;
use crate::release_causes::{FAILED, MOVED, NORMAL};
use crate::session_table::streamer_id;

const LIMIT: usize = 4;

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn streamer() -> StreamerId {
    streamer_id(1)
}

fn released(release_cause: u8) -> Option<EndedSession> {
    Some(EndedSession { release_cause, plays_on: false })
}

#[test]
fn entries_expire_and_the_oldest_makes_room() {
    let mut map = ExpiringMap::new(secs(10), 2);
    assert_eq!(map.get_or_insert(secs(0), 1, 'a'), &'a');
    assert_eq!(map.get_or_insert(secs(1), 1, 'b'), &'a', "the first value stays");
    map.get_or_insert(secs(2), 2, 'c');
    assert_eq!(map.get(secs(9), &1), Some(&'a'));
    assert_eq!(map.get(secs(10), &1), None);
    map.get_or_insert(secs(10), 3, 'd');
    map.get_or_insert(secs(10), 4, 'e');
    assert_eq!([2, 3, 4].map(|key| map.get(secs(10), &key).copied()), [None, Some('d'), Some('e')]);
}

/// Guards against taking the refusal of a join, or what another streamer says, for the end of a session.
#[test]
fn only_releases_by_its_own_streamer_end_a_session() {
    let mut sessions = EndedSessions::new(LIMIT);
    for (wire_id, cause) in [(1, 34), (2, 47), (3, 102)] {
        sessions.record_release(secs(1), wire_id, streamer(), cause);
        assert_eq!(sessions.find(secs(1), wire_id, streamer()), None, "cause {cause}");
    }
    for (wire_id, cause, owed) in [(4, NORMAL, NORMAL), (5, MOVED, FAILED), (6, FAILED, FAILED)] {
        sessions.record_release(secs(1), wire_id, streamer(), cause.into());
        assert_eq!(sessions.find(secs(1), wire_id, streamer()), released(owed));
        assert_eq!(sessions.find(secs(1), wire_id, streamer_id(2)), None);
    }
}

/// Guards against a flood of ends of sessions that never were: it must not displace what streamers said.
#[test]
fn a_flood_by_viewers_does_not_displace_releases() {
    let mut sessions = EndedSessions::new(LIMIT);
    sessions.record_release(secs(1), 1, streamer(), NORMAL.into());
    (1000..3000).for_each(|wire_id| sessions.record_left(secs(1), wire_id));
    assert_eq!(sessions.find(secs(1), 1, streamer()), released(NORMAL));
    assert_eq!(sessions.find(secs(1), 1000, streamer()), None, "the oldest are forgotten");
    assert_eq!(sessions.find(secs(1), 2999, streamer()).map(|ended| ended.plays_on), Some(true));
}

/// Guards against ending what a restarted process will be handed: an unknown session is left playing until no
/// hand-over can come any more, counted from the first health check that passed.
#[test]
fn an_unknown_session_is_ended_once_no_handover_can_come() {
    let mut sessions = EndedSessions::new(LIMIT);
    assert!(!sessions.must_be_ended(secs(1), 1, streamer()), "not ready yet");
    assert!(!sessions.must_be_ended(secs(40), 1, streamer()), "not ready yet");
    sessions.record_ready(secs(41));
    sessions.record_ready(secs(100));
    assert!(!sessions.must_be_ended(secs(41), 1, streamer()));
    assert!(!sessions.must_be_ended(secs(50), 1, streamer()));
    assert!(sessions.must_be_ended(secs(51), 1, streamer()));
    // Its hand-over, should it come after all, is answered with its release.
    let ended = sessions.find(secs(52), 1, streamer());
    assert_eq!(ended, Some(EndedSession { release_cause: FAILED, plays_on: true }));
    // One that is first reported later has its own time.
    assert!(!sessions.must_be_ended(secs(60), 2, streamer()));
    assert!(!sessions.must_be_ended(secs(69), 2, streamer()));
    assert!(sessions.must_be_ended(secs(70), 2, streamer()));
}

/// A session that has ended here is ended at once where it still plays; if a streamer had answered it, that is
/// the only one.
#[test]
fn a_session_that_is_over_is_ended_at_once_where_it_plays_on() {
    let mut sessions = EndedSessions::new(LIMIT);
    sessions.record(secs(1), 1, Some(streamer()), NORMAL);
    sessions.record(secs(1), 2, None, FAILED);
    assert!(sessions.must_be_ended(secs(2), 1, streamer()));
    assert!(!sessions.must_be_ended(secs(2), 1, streamer_id(2)));
    assert!(
        sessions.must_be_ended(secs(2), 2, streamer()) && sessions.must_be_ended(secs(2), 2, streamer_id(2))
    );
    assert_eq!(sessions.find(secs(61), 1, streamer()), None, "forgotten after a minute");
}

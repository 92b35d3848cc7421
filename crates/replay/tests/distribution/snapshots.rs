//! A controller that is far behind gets the state in parts, and goes on where they ended.

use crate::fleet::{play, Fleet, Shape, IN_FORCE, PATIENCE};

/// Titles of a state that is larger than what a relay hands down to one controller at once; the rest takes some seconds
/// at its rate.
const TITLES: u32 = 3_900;
/// What a relay hands down at once, but for the last part.
const AT_ONCE: usize = 240 * 1024;
/// Two controllers that prefer different relays.
const CUT_OFF: usize = 2;
const UNDISTURBED: usize = 1;

#[test]
fn a_snapshot_that_is_cut_off_goes_on_at_another_relay() {
    play(Shape { more_titles: TITLES, behind: 2, ..Shape::default() }, |fleet| {
        let (relay, other) = (fleet.wait_served(CUT_OFF), fleet.wait_served(UNDISTURBED));
        assert_ne!(relay, other);
        fleet.push_edits(other, "[title a]\nroom_type = clip\nfirst_cell = 0\ncopies = 4\n");
        fleet.wait(PATIENCE, "the first parts came", |fleet| received(fleet, CUT_OFF) > AT_ONCE);
        assert!(
            fleet.metric(CUT_OFF, "badgerledge_revision_active") < 1.0,
            "all came at once: nothing is left to go on with"
        );
        fleet.machines[relay].kill();
        let at_kill = received(fleet, CUT_OFF);
        let took = fleet.wait_set_ups(IN_FORCE, &[CUT_OFF, UNDISTURBED], 0xa, 200);
        let (cut_off, whole) = (received(fleet, CUT_OFF), received(fleet, UNDISTURBED));
        eprintln!(
            "{at_kill} bytes before its relay was gone, {cut_off} in all; {whole} undisturbed; {took:?}"
        );
        // What had come is not sent again.
        assert!(
            cut_off < whole + (at_kill / 2).min(whole / 4),
            "{cut_off} bytes, where {whole} are the whole"
        );
        fleet.wait_set_ups(IN_FORCE, &[0, 1, 2], 0x1000 + 77, 200);
    });
}

/// Bytes that came to a controller from all relays.
fn received(fleet: &Fleet, controller: usize) -> usize {
    let end = fleet.end_of(controller);
    (0..fleet.machines.len()).map(|relay| fleet.network.bytes(relay, end)).sum()
}

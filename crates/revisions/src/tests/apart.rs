//! Relay leases by themselves: which revisions count as exclusive, and until when a member is waited for.

use std::time::Duration;

use crate::apart::Apart;

const TERM: Duration = Duration::from_secs(100);
/// The member that is asked about, and its lives.
const MEMBER: u16 = 4;
const FIRST: u32 = 7;
const SECOND: u32 = 8;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(1000 + seconds)
}

fn new() -> Apart {
    Apart::new(at(0), TERM, 3)
}

#[test]
fn revisions_that_were_not_judged_are_exclusive() {
    let mut apart = new();
    assert_eq!(apart.highest_exclusive(0, 3), Some(3), "what was known before is nothing");
    assert_eq!(apart.highest_exclusive(3, 3), None);
    assert_eq!(apart.highest_exclusive(3, 4), Some(4));
    apart.judge(4, false, 3);
    apart.judge(5, true, 3);
    apart.judge(6, false, 3);
    assert_eq!(apart.highest_exclusive(3, 4), None);
    assert_eq!(apart.highest_exclusive(3, 6), Some(5));
    assert_eq!(apart.highest_exclusive(5, 6), None);
    assert_eq!(apart.highest_exclusive(5, 7), Some(7));
    // Left out: 7 and 8.
    apart.judge(9, false, 3);
    assert_eq!(apart.highest_exclusive(6, 9), Some(9));
    assert_eq!(apart.highest_exclusive(9, 9), None);
    // Told twice, and too late.
    apart.judge(9, true, 3);
    apart.judge(4, true, 3);
    assert_eq!(apart.highest_exclusive(3, 4), None);
}

#[test]
fn a_member_is_waited_for_until_its_lease_is_over_or_it_has_acknowledged() {
    let mut apart = new();
    let over = |from: Duration| Some(from + Duration::from_secs(101));
    assert_eq!(apart.waits_until(MEMBER, 5), over(at(0)), "who it granted to before its birth is not known");
    assert!(apart.asked(at(10), MEMBER, (FIRST, 3), None));
    assert_eq!(apart.waits_until(MEMBER, 5), over(at(10)));
    // Revision 5 is exclusive, and waits: no lease is renewed to who has not acknowledged it.
    assert!(!apart.asked(at(20), MEMBER, (FIRST, 4), Some(5)));
    assert_eq!(apart.waits_until(MEMBER, 5), over(at(10)));
    assert!(apart.asked(at(30), MEMBER, (FIRST, 5), Some(5)));
    assert_eq!(apart.waits_until(MEMBER, 5), None);
    assert_eq!(apart.waits_until(MEMBER, 6), over(at(30)));
    // An older request that comes late takes nothing back.
    apart.asked(at(31), MEMBER, (FIRST, 3), Some(5));
    assert_eq!(apart.waits_until(MEMBER, 5), None);
}

/// What one life acknowledged binds no later one, and what it was granted died with it.
#[test]
fn each_life_of_a_member_acknowledges_for_itself() {
    let mut apart = new();
    assert!(apart.asked(at(10), MEMBER, (FIRST, 5), Some(5)));
    assert!(!apart.asked(at(20), MEMBER, (SECOND, 0), Some(5)));
    assert_eq!(apart.waits_until(MEMBER, 5), None, "it has no lease of this keeper");
    assert!(apart.asked(at(21), MEMBER, (SECOND, 0), None));
    assert!(apart.waits_until(MEMBER, 5).is_some());
    // What the former one still had under way counts for nothing.
    assert!(!apart.asked(at(22), MEMBER, (FIRST, 5), Some(5)));
    assert!(apart.waits_until(MEMBER, 5).is_some());
}

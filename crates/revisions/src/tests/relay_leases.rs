//! Relay leases in isolation: which revisions count as exclusive, and until when a member is waited for.

use std::time::Duration;

use crate::relay_leases::RelayLeases;

const TERM: Duration = Duration::from_secs(100);
/// The member that holds the lease, and its incarnations.
const MEMBER: u16 = 4;
const FIRST_INCARNATION: u32 = 7;
const SECOND_INCARNATION: u32 = 8;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(1000 + seconds)
}

fn new() -> RelayLeases {
    RelayLeases::new(at(0), TERM, 3)
}

#[test]
fn unclassified_revisions_are_exclusive() {
    let mut leases = new();
    assert_eq!(leases.highest_exclusive(0, 3), Some(3), "nothing is known of earlier revisions");
    assert_eq!(leases.highest_exclusive(3, 3), None);
    assert_eq!(leases.highest_exclusive(3, 4), Some(4));
    leases.classify(4, false, 3);
    leases.classify(5, true, 3);
    leases.classify(6, false, 3);
    assert_eq!(leases.highest_exclusive(3, 4), None);
    assert_eq!(leases.highest_exclusive(3, 6), Some(5));
    assert_eq!(leases.highest_exclusive(5, 6), None);
    assert_eq!(leases.highest_exclusive(5, 7), Some(7));
    // Revisions 7 and 8 were skipped.
    leases.classify(9, false, 3);
    assert_eq!(leases.highest_exclusive(6, 9), Some(9));
    assert_eq!(leases.highest_exclusive(9, 9), None);
    // A second classification, or a late one, has no effect.
    leases.classify(9, true, 3);
    leases.classify(4, true, 3);
    assert_eq!(leases.highest_exclusive(3, 4), None);
}

#[test]
fn a_member_is_waited_for_until_its_lease_expires_or_it_acknowledges() {
    let mut leases = new();
    let expires = |from: Duration| Some(from + Duration::from_secs(101));
    assert_eq!(leases.wait_ends_at(MEMBER, 5), expires(at(0)), "grants before its start are unknown");
    assert!(leases.record_request(at(10), MEMBER, (FIRST_INCARNATION, 3), None));
    assert_eq!(leases.wait_ends_at(MEMBER, 5), expires(at(10)));
    // The exclusive revision 5 is pending: the lease of a member that has not acknowledged it is not renewed.
    assert!(!leases.record_request(at(20), MEMBER, (FIRST_INCARNATION, 4), Some(5)));
    assert_eq!(leases.wait_ends_at(MEMBER, 5), expires(at(10)));
    assert!(leases.record_request(at(30), MEMBER, (FIRST_INCARNATION, 5), Some(5)));
    assert_eq!(leases.wait_ends_at(MEMBER, 5), None);
    assert_eq!(leases.wait_ends_at(MEMBER, 6), expires(at(30)));
    // A delayed older request does not revoke the acknowledgement.
    leases.record_request(at(31), MEMBER, (FIRST_INCARNATION, 3), Some(5));
    assert_eq!(leases.wait_ends_at(MEMBER, 5), None);
}

/// Acknowledgements and leases of one incarnation do not carry over to the next.
#[test]
fn each_incarnation_acknowledges_for_itself() {
    let mut leases = new();
    assert!(leases.record_request(at(10), MEMBER, (FIRST_INCARNATION, 5), Some(5)));
    assert!(!leases.record_request(at(20), MEMBER, (SECOND_INCARNATION, 0), Some(5)));
    assert_eq!(leases.wait_ends_at(MEMBER, 5), None, "it has no lease from this acceptor");
    assert!(leases.record_request(at(21), MEMBER, (SECOND_INCARNATION, 0), None));
    assert!(leases.wait_ends_at(MEMBER, 5).is_some());
    // A delayed request of the earlier incarnation has no effect.
    assert!(!leases.record_request(at(22), MEMBER, (FIRST_INCARNATION, 5), Some(5)));
    assert!(leases.wait_ends_at(MEMBER, 5).is_some());
}

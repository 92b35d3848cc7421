//! Unit tests and generated runs of the weighing of reports.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};

use crate::credit::MIN_CREDIT;
use crate::{item, FailureKind, FailureReports, REPORT_LIFETIME};

const T0: Duration = Duration::from_secs(1000);
const A: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
const B: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 2);

fn write(streamer: SocketAddrV4, elapsed: Duration) -> [u8; 8] {
    item::write((streamer, FailureKind::Lost), elapsed)
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn reports_of_a_single_member_are_never_believed() {
    let mut reports = FailureReports::default();
    for n in 0..1000 {
        let now = T0 + ms(n * 100);
        // The content differs each time: more recent observations, and other streamers too.
        let items = [write(A, ms(n % 3 * 100)), write(B, Duration::ZERO), write(A, Duration::ZERO)];
        assert!(reports.take_bulletin(now, 7, ms(n % 400), &items).is_empty());
        assert!(!reports.believes(now, A) && !reports.believes(now, B));
    }
}

#[test]
fn reports_of_two_members_are_believed_until_they_expire() {
    let mut reports = FailureReports::default();
    assert!(reports.take_bulletin(T0, 1, ms(200), &[write(A, ms(300))]).is_empty());
    assert_eq!(reports.take_bulletin(T0, 2, ms(200), &[write(A, ms(100))]), [(A, FailureKind::Lost)]);
    assert!(reports.believes(T0 + ms(500), A));
    assert!(!reports.believes(T0 + REPORT_LIFETIME, A));
    // A late bulletin counts with its age.
    let mut late = FailureReports::default();
    late.take_bulletin(T0, 1, ms(5000), &[write(A, ms(3000))]);
    assert!(late.take_bulletin(T0, 2, ms(5000), &[write(A, ms(3000))]).is_empty());
}

#[test]
fn a_believed_failure_is_returned_again_at_intervals() {
    let mut reports = FailureReports::default();
    let mut returned_at = Vec::new();
    for n in 0..100u64 {
        let now = T0 + ms(n * 100);
        let author = 1 + (n % 4) as u16;
        returned_at.extend(
            reports.take_bulletin(now, author, Duration::ZERO, &[write(A, Duration::ZERO)]).iter().map(|_| n),
        );
    }
    // With the second report, and then every three seconds.
    assert_eq!(returned_at, [1, 31, 61, 91]);
}

#[test]
fn an_own_loss_and_one_report_are_believed() {
    let mut reports = FailureReports::default();
    reports.observe_join(T0, A, false);
    assert!(!reports.believes(T0, A));
    assert_eq!(
        reports.take_bulletin(T0, 1, Duration::ZERO, &[write(A, Duration::ZERO)]),
        [(A, FailureKind::Lost)]
    );
}

#[test]
fn a_successful_join_clears_earlier_reports() {
    let mut reports = FailureReports::default();
    for member in 1..9 {
        reports.take_bulletin(T0, member, Duration::ZERO, &[write(A, Duration::ZERO)]);
    }
    assert!(reports.believes(T0, A));
    reports.observe_join(T0 + ms(100), A, true);
    assert!(!reports.believes(T0 + ms(100), A));
    // The same reports again, which were on their way since before the join.
    for member in 1..9 {
        assert!(reports.take_bulletin(T0 + ms(300), member, ms(300), &[write(A, Duration::ZERO)]).is_empty());
    }
}

#[test]
fn contradicted_members_lose_credit_and_regain_it_by_agreeing() {
    let mut reports = FailureReports::default();
    for n in 0..12 {
        let now = T0 + Duration::from_secs(20 * n);
        reports.take_bulletin(now, 1, Duration::ZERO, &[write(A, Duration::ZERO)]);
        reports.observe_join(now + ms(200), A, true);
    }
    assert_eq!(reports.weight(1), 0.0);
    let now = T0 + Duration::from_secs(1000);
    reports.take_bulletin(now, 1, Duration::ZERO, &[write(B, Duration::ZERO)]);
    assert!(reports.take_bulletin(now, 2, Duration::ZERO, &[write(B, Duration::ZERO)]).is_empty());
    for n in 0..12 {
        let now = now + Duration::from_secs(20 * n);
        reports.take_bulletin(now, 1, Duration::ZERO, &[write(A, Duration::ZERO)]);
        reports.observe_join(now + ms(200), A, false);
    }
    assert!(reports.weight(1) > MIN_CREDIT);
}

#[test]
fn a_report_is_judged_once() {
    let mut reports = FailureReports::default();
    reports.take_bulletin(T0, 1, Duration::ZERO, &[write(A, Duration::ZERO)]);
    let first = reports.weight(1);
    reports.observe_join(T0 + ms(100), A, false);
    let agreed = reports.weight(1);
    assert!(agreed > first);
    (0..50).for_each(|n| reports.observe_join(T0 + ms(200 + n), A, false));
    assert_eq!(reports.weight(1), agreed);
}

#[test]
fn only_own_losses_are_published_and_only_while_fresh() {
    let mut reports = FailureReports::default();
    reports.take_bulletin(T0, 1, Duration::ZERO, &[write(A, Duration::ZERO)]);
    assert!(reports.items(T0).is_empty());
    reports.observe_join(T0, B, false);
    assert_eq!(reports.items(T0 + ms(500)), [write(B, ms(500))]);
    assert!(reports.items(T0 + Duration::from_secs(5)).is_empty());
    reports.observe_join(T0 + ms(600), B, true);
    assert!(reports.items(T0 + ms(700)).is_empty());
}

/// Whatever one faulty member reports, however often, and whatever correct members report on other streamers:
/// a streamer that only the faulty member reports is never believed to be failing.
#[test]
fn a_faulty_member_alone_is_never_believed_on_generated_runs() {
    fn harmless(steps: Vec<(u8, u16, bool)>) -> bool {
        let (mut reports, mut now) = (FailureReports::default(), T0);
        steps.iter().all(|(member, wait, is_faulty)| {
            now += ms(u64::from(wait % 700));
            if *is_faulty {
                reports.take_bulletin(
                    now,
                    99,
                    ms(u64::from(*member)),
                    &[write(A, Duration::ZERO), write(B, Duration::ZERO)],
                );
            } else if member % 3 == 0 {
                reports.observe_join(
                    now,
                    if wait % 2 == 0 { A } else { B },
                    *member % 2 == 0 || wait % 2 == 0,
                );
            } else {
                reports.take_bulletin(now, u16::from(*member), Duration::ZERO, &[write(B, Duration::ZERO)]);
            }
            !reports.believes(now, A)
        })
    }
    let gen = Gen::from_size_and_seed(200, 5);
    QuickCheck::new().rng(gen).tests(500).quickcheck(harmless as fn(Vec<(u8, u16, bool)>) -> bool);
}

/// Strain is independent of losses: two reports make it believed, and it is cleared by a local observation of
/// ease but not by a join that succeeds. Losses take precedence where not all items fit.
#[test]
fn strain_is_reported_beside_losses() {
    let mut reports = FailureReports::default();
    let items = [item::write((A, FailureKind::Strained), Duration::ZERO)];
    assert!(reports.take_bulletin(T0, 1, Duration::ZERO, &items).is_empty());
    reports.observe_join(T0, A, true);
    assert_eq!(reports.take_bulletin(T0 + ms(10), 2, Duration::ZERO, &items), [(A, FailureKind::Strained)]);
    assert!(!reports.believes(T0 + ms(10), A), "strain is not a loss");
    reports.observe_strain(T0 + ms(20), A, true);
    assert!(
        reports.take_bulletin(T0 + ms(30), 3, ms(100), &items).is_empty(),
        "it was observed at ease since"
    );
    (0..20).for_each(|n| reports.observe_strain(T0, SocketAddrV4::new(Ipv4Addr::LOCALHOST, 100 + n), false));
    reports.observe_join(T0, B, false);
    let items = reports.items(T0);
    assert_eq!((items.len(), items[0]), (11, write(B, Duration::ZERO)));
}

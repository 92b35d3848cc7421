//! Tests of snapshot transfers: complete, interrupted, with a changing target, and with invalid parts.

use quickcheck::QuickCheck;

use super::edits::{entry, plain, put, titles, AnyEdit};
use crate::state::{Entry, State, BUCKETS_PER_GROUP};
use crate::transfer::{
    PartOutcome, PartRequest, Progress, Transfer, TransferFault, BUCKET_WINDOW, GROUP_WINDOW,
};

fn begin(own: &State, target: &State) -> Transfer {
    Transfer::begin(own.clone(), target.root(), &target.group_digests()).unwrap()
}

/// Answers all current requests from `source`. Returns the number of parts.
fn answer(transfer: &mut Transfer, source: &State) -> usize {
    let requests = transfer.next_requests();
    let mut parts = 0;
    for request in requests {
        match request {
            PartRequest::Groups(groups) => {
                assert!(groups.len() <= GROUP_WINDOW);
                parts += groups.len();
                for group in groups {
                    transfer.receive_group(group, source.group(group)).unwrap();
                }
            }
            PartRequest::Buckets(buckets) => {
                assert!(buckets.len() <= BUCKET_WINDOW);
                parts += buckets.len();
                for bucket in buckets {
                    transfer.receive_bucket(bucket, source.bucket(bucket)).unwrap();
                }
            }
        }
    }
    parts
}

/// Answers requests until there are none. Returns the number of parts.
fn complete(transfer: &mut Transfer, source: &State) -> usize {
    std::iter::from_fn(|| Some(answer(transfer, source)).filter(|parts| *parts > 0)).sum()
}

/// The first buckets that are requested.
fn first_buckets(transfer: &mut Transfer, source: &State) -> Vec<u16> {
    for _ in 0..100 {
        let requests = transfer.next_requests();
        assert!(!requests.is_empty());
        for request in requests {
            match request {
                PartRequest::Groups(groups) => groups.iter().for_each(|group| {
                    transfer.receive_group(*group, source.group(*group)).unwrap();
                }),
                PartRequest::Buckets(buckets) => return buckets,
            }
        }
    }
    panic!("no buckets are requested");
}

#[test]
fn a_transfer_leads_from_any_state_to_any_other() {
    fn property(from: Vec<AnyEdit>, to: Vec<AnyEdit>) -> bool {
        let (mut own, mut target) = (State::new(), State::new());
        own.apply(&plain(&from)).unwrap();
        target.apply(&plain(&to)).unwrap();
        let mut transfer = begin(&own, &target);
        complete(&mut transfer, &target);
        transfer.finished() == Some(&target) && transfer.progress().groups_left == 0
    }
    QuickCheck::new().quickcheck(property as fn(Vec<AnyEdit>, Vec<AnyEdit>) -> bool);
}

#[test]
fn only_differing_parts_are_requested() {
    let own = titles(20_000);
    let mut target = own.clone();
    target.apply(&[put("title 00000007", "other"), put("new", "1")]).unwrap();
    let mut transfer = begin(&own, &target);
    assert_eq!(complete(&mut transfer, &target), 4);
    assert_eq!(transfer.finished(), Some(&target));
    let Progress { buckets_received, bytes_received, .. } = transfer.progress();
    assert!(
        buckets_received == 2 && bytes_received < 2 * 20_000 * 80 / 4096 * 3,
        "{:?}",
        transfer.progress()
    );
    assert_eq!(begin(&own, &own).finished(), Some(&own));
}

#[test]
fn the_window_bounds_the_outstanding_parts() {
    let target = titles(20_000);
    let mut transfer = begin(&State::new(), &target);
    let first = transfer.next_requests();
    assert_eq!(first, [PartRequest::Groups((0..GROUP_WINDOW as u8).collect())]);
    assert_eq!(transfer.next_requests(), []);
    transfer.receive_group(0, target.group(0)).unwrap();
    let next = transfer.next_requests();
    assert!(matches!(&next[..], [PartRequest::Buckets(buckets)] if buckets.len() == BUCKET_WINDOW));
    assert_eq!(transfer.next_requests(), []);
    // More is requested once half of it arrived.
    for group in 1..GROUP_WINDOW as u8 / 2 {
        transfer.receive_group(group, target.group(group)).unwrap();
        let next = transfer.next_requests();
        let expected = if group == GROUP_WINDOW as u8 / 2 - 1 { GROUP_WINDOW / 2 } else { 0 };
        let requested = next.iter().map(|request| match request {
            PartRequest::Groups(groups) => groups.len(),
            PartRequest::Buckets(_) => panic!("over the window: {next:?}"),
        });
        assert_eq!(requested.sum::<usize>(), expected);
    }
}

/// A relay accepts 50 messages a second from a watcher, and 400 at once.
#[test]
fn a_complete_state_takes_few_requests() {
    let target = titles(40_000);
    let mut transfer = begin(&State::new(), &target);
    let mut outstanding = std::collections::VecDeque::new();
    let mut requests = 0;
    while transfer.finished().is_none() {
        for request in transfer.next_requests() {
            requests += 1;
            match request {
                PartRequest::Groups(groups) => outstanding.extend(groups.into_iter().map(Err)),
                PartRequest::Buckets(buckets) => outstanding.extend(buckets.into_iter().map(Ok)),
            }
        }
        match outstanding.pop_front().unwrap() {
            Ok(bucket) => transfer.receive_bucket(bucket, target.bucket(bucket)).unwrap(),
            Err(group) => transfer.receive_group(group, target.group(group)).unwrap(),
        };
    }
    assert!(requests <= 4096 / (BUCKET_WINDOW / 2) + 64 / (GROUP_WINDOW / 2) + 2, "{requests}");
}

#[test]
fn groups_that_do_not_lead_to_the_root_are_refused_at_once() {
    let target = titles(100);
    let mut groups = target.group_digests();
    let begin_with = |groups: &[_]| Transfer::begin(State::new(), target.root(), groups).map(|_| ());
    assert_eq!(begin_with(&groups[..63]), Err(TransferFault::Root(63)));
    assert_eq!(begin_with(&[]), Err(TransferFault::Root(0)));
    groups.swap(0, 1);
    assert_eq!(begin_with(&groups), Err(TransferFault::Root(64)));
    let mut transfer = begin(&State::new(), &target);
    assert!(transfer.retarget(titles(101).root(), &groups).is_err());
    assert_eq!(transfer.root(), target.root());
    complete(&mut transfer, &target);
    assert_eq!(transfer.finished(), Some(&target));
}

#[test]
fn unrequested_duplicate_or_altered_parts_are_refused() {
    let target = titles(20_000);
    let mut transfer = begin(&State::new(), &target);
    assert_eq!(transfer.receive_group(0, target.group(0)), Err(TransferFault::UnrequestedGroup(0)));
    assert_eq!(transfer.receive_bucket(0, target.bucket(0)), Err(TransferFault::UnrequestedBucket(0)));
    transfer.next_requests();
    let mut incomplete = target.group(0);
    incomplete.pop();
    assert_eq!(transfer.receive_group(0, incomplete), Err(TransferFault::GroupDigest(0)));
    let outside = vec![(BUCKETS_PER_GROUP, [0; 32])];
    assert_eq!(
        transfer.receive_group(0, outside),
        Err(TransferFault::GroupBucket { group: 0, bucket: BUCKETS_PER_GROUP })
    );
    let twice = vec![target.group(0)[0]; 2];
    let bucket = twice[0].0;
    assert_eq!(transfer.receive_group(0, twice), Err(TransferFault::GroupBucket { group: 0, bucket }));
    assert_eq!(transfer.receive_group(200, vec![]), Err(TransferFault::UnrequestedGroup(200)));
    transfer.receive_group(0, target.group(0)).unwrap();
    assert_eq!(transfer.receive_group(0, target.group(0)), Err(TransferFault::UnrequestedGroup(0)));

    let bucket = first_buckets(&mut transfer, &target)[0];
    let mut altered = target.bucket(bucket);
    altered[0].value.push(0);
    assert_eq!(transfer.receive_bucket(bucket, altered), Err(TransferFault::BucketDigest(bucket)));
    assert_eq!(transfer.receive_bucket(bucket, vec![]), Err(TransferFault::BucketDigest(bucket)));
    transfer.receive_bucket(bucket, target.bucket(bucket)).unwrap();
    let again = transfer.receive_bucket(bucket, target.bucket(bucket));
    assert_eq!(again, Err(TransferFault::UnrequestedBucket(bucket)));
    assert_eq!(transfer.receive_bucket(5000, vec![]), Err(TransferFault::UnrequestedBucket(5000)));
}

/// A bucket with the certified digest whose keys belong to another bucket. Only acceptors could have
/// certified such a state.
#[test]
fn a_bucket_of_foreign_keys_is_refused() {
    let foreign: Vec<Entry> = vec![entry("a", b"1")];
    let bucket = (crate::state::bucket_of("a") + 1) % 4096;
    let listed = vec![(bucket, crate::state::bucket_digest(&foreign))];
    let group = (bucket / BUCKETS_PER_GROUP) as u8;
    let mut groups = State::new().group_digests();
    groups[usize::from(group)] = crate::state::group_digest(&listed);
    let root = crate::state::root_of_groups(&groups).unwrap();
    let mut transfer = Transfer::begin(State::new(), root, &groups).unwrap();
    transfer.next_requests();
    transfer.receive_group(group, listed).unwrap();
    transfer.next_requests();
    let taken = transfer.receive_bucket(bucket, foreign);
    assert!(matches!(taken, Err(TransferFault::BucketState { .. })), "{taken:?}");
    assert_eq!(transfer.finished(), None);
}

#[test]
fn a_closed_connection_loses_no_received_part() {
    let target = titles(5_000);
    let mut uninterrupted = begin(&State::new(), &target);
    let parts = complete(&mut uninterrupted, &target);
    let mut interrupted = begin(&State::new(), &target);
    let mut received = 0;
    for _ in 0..10_000 {
        if interrupted.finished().is_some() {
            break;
        }
        received += answer(&mut interrupted, &target);
        // Requested, and lost with the connection.
        interrupted.next_requests();
        interrupted.disconnected();
    }
    assert_eq!((received, interrupted.progress()), (parts, uninterrupted.progress()));
}

#[test]
fn received_buckets_are_kept_for_a_newer_target() {
    let (old, mut new) = (titles(5_000), titles(5_000));
    new.apply(&[put("title 00000007", "other"), put("new", "1")]).unwrap();
    let mut transfer = begin(&State::new(), &old);
    for _ in 0..10_000 {
        if transfer.progress().buckets_received < 2000 {
            answer(&mut transfer, &old);
        }
    }
    let outstanding = first_buckets(&mut transfer, &old);
    transfer.retarget(new.root(), &new.group_digests()).unwrap();
    // An answer to an earlier request may arrive once, and is refused the second time.
    let outdated = outstanding[0];
    assert_eq!(transfer.receive_bucket(outdated, old.bucket(outdated)), Ok(PartOutcome::Outdated));
    let twice = transfer.receive_bucket(outdated, old.bucket(outdated));
    assert_eq!(twice, Err(TransferFault::UnrequestedBucket(outdated)));
    complete(&mut transfer, &new);
    assert_eq!(transfer.finished(), Some(&new));
    let all: usize = (0..64).map(|group| new.group(group).len()).sum();
    assert!(transfer.progress().buckets_received <= all + 2, "{:?} of {all}", transfer.progress());
}

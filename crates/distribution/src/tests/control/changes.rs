//! Tests of the outcomes of changes.

use super::super::edits::put;
use super::super::net::{region_of, Net, Node};
use super::{assert_active_in_time, settled_network, MAX_ACTIVATION_S};
use crate::change::Rejection;

/// Ten changes in 8.64 s, ten times the planned mean rate, with 1 % loss and 80 ms between regions.
#[test]
fn changes_at_ten_times_the_mean_rate_are_active_in_time() {
    let mut net = Net::new(25, 7, 50, 1);
    net.run_for(10.0);
    let started_at = net.now;
    let mut pushes = Vec::new();
    for change in 0..10u16 {
        let at = change * 7 % 25;
        pushes.push((net.now, net.push(at, 1 + change % 3, vec![put(&format!("title {change}"), "new")])));
        net.run_for(0.864);
    }
    let mut worst_s = 0.0f64;
    for (pushed_at, push) in pushes {
        while net.observed.outcome(push).is_none() {
            net.run_for(0.05);
        }
        let outcome = net.observed.outcome(push).cloned();
        let Some(Ok(number)) = outcome else { panic!("{outcome:?}") };
        let by_all = net.observed.active_at_all(number, 50);
        while net.observed.active_at_all(number, 50).is_none() {
            net.run_for(0.05);
            assert!((net.now - pushed_at).as_secs_f64() < MAX_ACTIVATION_S, "{:?}", net.active());
        }
        let at = by_all.or(net.observed.active_at_all(number, 50)).expect("all act");
        worst_s = worst_s.max((at - pushed_at).as_secs_f64());
    }
    println!(
        "the last of 50 watchers is active {worst_s:.2} s after a push, {:?} in all",
        net.now - started_at
    );
    assert!(worst_s < MAX_ACTIVATION_S);
    net.check("ten times the mean");
}

/// On the side of a partition without a quorum of acceptors no change is accepted, and the author gets the
/// outcome unknown; on the other side the other author's change is accepted. After the partition both sides
/// have the same state.
#[test]
fn two_authors_on_both_sides_of_a_split() {
    let mut net = settled_network(6, 5, 18, 13);
    net.split(|node| region_of(node) == 2);
    let minority = net.push(2, 1, vec![put("title 1", "minority")]);
    let majority = net.push(0, 2, vec![put("title 1", "majority")]);
    net.run_for(14.0);
    assert_eq!(net.observed.outcome(majority), Some(&Ok(2)));
    assert_eq!(net.observed.outcome(minority), Some(&Err(Rejection::Unknown)));
    net.cut.clear();
    net.run_for(40.0);
    assert_eq!(net.machine(2).state().get("title 1"), Some(&b"majority"[..]));
    net.check("split");
}

/// Of two changes of one key with the same base one is accepted. The author of the other is told which
/// revision changed the key.
#[test]
fn of_two_changes_of_a_key_one_is_rejected_and_others_go_in_one_batch() {
    let mut net = settled_network(5, 3, 6, 14);
    let pushes = [(1, "title 1"), (2, "title 1"), (3, "title 2")]
        .map(|(author, key)| net.push(author, author, vec![put(key, "new")]));
    net.run_for(6.0);
    let outcomes = pushes.map(|push| net.observed.outcome(push).cloned());
    let conflict = Err(Rejection::Conflict { key: "title 1".to_owned(), base: 1, changed_in: 2 });
    assert_eq!(outcomes, [Some(Ok(2)), Some(conflict), Some(Ok(2))]);
    net.check("one key");
}

/// The same change is pushed to several machines, and again later: it is applied once, and each push gets the
/// same outcome.
#[test]
fn a_change_that_is_pushed_again_is_applied_once() {
    let mut net = settled_network(5, 3, 6, 15);
    let first = net.push(1, 1, vec![put("title 1", "new")]);
    let change = net.changes.last().cloned().unwrap();
    let second = net.push_change(4, change.clone());
    net.run_for(6.0);
    let later = net.push_change(3, change);
    net.push(2, 1, vec![put("title 1", "newer")]);
    net.run_for(6.0);
    for push in [first, second, later] {
        assert_eq!(net.observed.outcome(push), Some(&Ok(2)));
    }
    assert_eq!(net.observed.highest(), 3);
    net.check("pushed again");
}

/// A change by an author whose key was revoked is rejected. One that an acceptor had voted for before may
/// still be certified, and blocks no later change.
#[test]
fn an_authors_key_is_revoked_in_the_middle_of_a_change() {
    for after in [0.0, 0.2, 0.3, 0.4, 0.5] {
        let mut net = settled_network(5, 3, 6, 16);
        net.push(4, 1, vec![put("title 1", "stolen")]);
        net.run_for(after);
        net.revoke(1);
        let other = net.push(3, 2, vec![put("title 2", "new")]);
        net.run_for(16.0);
        assert!(matches!(net.observed.outcome(other), Some(Ok(2 | 3))), "{:?}", net.observed.outcome(other));
        let after_it = net.push(3, 1, vec![put("title 3", "stolen")]);
        net.run_for(2.0);
        assert_eq!(net.observed.outcome(after_it), Some(&Err(Rejection::Author(1))));
        net.check("revoked");
    }
}

/// A change whose base revision is not yet known to its relay waits for it; if there is no such revision, it
/// is rejected.
#[test]
fn a_change_against_a_later_revision_waits_for_it() {
    let mut net = settled_network(5, 3, 6, 17);
    let early = net.push_on(4, 2, 2, vec![put("title 5", "early")]);
    net.push(0, 1, vec![put("title 1", "new")]);
    let never = net.push_on(4, 3, 40, vec![put("title 5", "never")]);
    net.run_for(12.0);
    assert_eq!(net.observed.outcome(early), Some(&Ok(3)));
    assert_eq!(net.observed.outcome(never), Some(&Err(Rejection::BaseAhead(40, 3))));
    net.check("a later revision");
}

/// Two acceptors that cannot reach each other both build batches: all changes are still accepted.
#[test]
fn two_sequencers_at_once_make_progress() {
    let mut net = settled_network(5, 5, 10, 18);
    net.cut.extend([(Node::Machine(0), Node::Machine(1)), (Node::Machine(1), Node::Machine(0))]);
    net.run_for(4.0);
    let mut pushes = Vec::new();
    for round in 0..6 {
        pushes.push(net.push(0, 1, vec![put(&format!("title {round}"), "of 0")]));
        pushes.push(net.push(1, 2, vec![put(&format!("title {}", 50 + round), "of 1")]));
        net.run_for(2.0);
    }
    net.run_for(20.0);
    let accepted = pushes.iter().filter(|push| matches!(net.observed.outcome(**push), Some(Ok(_)))).count();
    assert_eq!(accepted, 12);
    net.cut.clear();
    let highest = net.observed.highest();
    assert_active_in_time(&mut net, highest);
    net.check("two sequencers");
}

/// Makes all machines reject a state in which titles 1 and 2 are both new.
fn refuse_titles_1_and_2_together(net: &mut Net) {
    for node_id in 0..5 {
        net.with_machine(node_id, |machine, _, _| {
            machine.set_state_check(Box::new(|_, after| {
                let is_new = |key: &str| after.get(key) == Some(b"new");
                match is_new("title 1") && is_new("title 2") {
                    true => Err("titles 1 and 2 cannot both be new".to_owned()),
                    false => Ok(()),
                }
            }));
        });
    }
}

/// Two changes that are valid alone but not together are pushed at the same time: one is accepted, the other
/// is rejected with the reason, and unrelated changes are accepted.
#[test]
fn of_two_changes_that_are_invalid_together_one_is_rejected() {
    let mut net = settled_network(5, 3, 6, 23);
    refuse_titles_1_and_2_together(&mut net);
    let pushes = [
        net.push(0, 1, vec![put("title 1", "new")]),
        net.push(1, 2, vec![put("title 2", "new")]),
        net.push(2, 3, vec![put("title 3", "new")]),
        net.push(3, 4, vec![put("title 4", "new")]),
    ];
    net.run_for(15.0);
    let outcomes = pushes.map(|push| net.observed.outcome(push).cloned());
    let refused = |outcome: &&Option<_>| matches!(outcome, Some(Err(Rejection::State(_))));
    let accepted = |outcome: &&Option<_>| matches!(outcome, Some(Ok(_)));
    assert_eq!(outcomes[..2].iter().filter(refused).count(), 1, "{outcomes:?}");
    assert_eq!(outcomes.iter().filter(accepted).count(), 3, "{outcomes:?}");
    net.run_for(20.0);
    net.check("changes that are invalid together");
}

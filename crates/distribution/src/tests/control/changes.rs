//! What becomes of changes.

use super::super::edits::put;
use super::super::net::{region_of, Net, Node};
use super::{acted_on_in_time, settled, IN_FORCE_WITHIN};
use crate::change::Rejection;

/// Ten changes in 8.64 s, ten times the plan's mean, with 1 in 100 lost and 80 ms between regions.
#[test]
fn changes_at_ten_times_the_mean_are_in_force_in_time() {
    let mut net = Net::new(25, 7, 50, 1);
    net.run_for(10.0);
    let begun = net.now;
    let mut pushes = Vec::new();
    for change in 0..10u16 {
        let at = change * 7 % 25;
        pushes.push((net.now, net.push(at, 1 + change % 3, vec![put(&format!("title {change}"), "new")])));
        net.run_for(0.864);
    }
    let mut worst = 0.0f64;
    for (pushed_at, push) in pushes {
        while net.seen.outcome(push).is_none() {
            net.run_for(0.05);
        }
        let outcome = net.seen.outcome(push).cloned();
        let Some(Ok(number)) = outcome else { panic!("{outcome:?}") };
        let by_all = net.seen.acted_by_all(number, 50);
        while net.seen.acted_by_all(number, 50).is_none() {
            net.run_for(0.05);
            assert!((net.now - pushed_at).as_secs_f64() < IN_FORCE_WITHIN, "{:?}", net.active());
        }
        let at = by_all.or(net.seen.acted_by_all(number, 50)).expect("all act");
        worst = worst.max((at - pushed_at).as_secs_f64());
    }
    println!("the last of 50 watchers acts {worst:.2} s after a push, {:?} in all", net.now - begun);
    assert!(worst < IN_FORCE_WITHIN);
    net.check("ten times the mean");
}

/// On the side without a quorum of acceptors nothing is taken, and its author learns that it is not known; on the other side the
/// other author's change is taken. When the split is over the two states are one.
#[test]
fn two_authors_on_both_sides_of_a_split() {
    let mut net = settled(6, 5, 18, 13);
    net.split(|node| region_of(node) == 2);
    let alone = net.push(2, 1, vec![put("title 1", "alone")]);
    let most = net.push(0, 2, vec![put("title 1", "most")]);
    net.run_for(14.0);
    assert_eq!(net.seen.outcome(most), Some(&Ok(2)));
    assert_eq!(net.seen.outcome(alone), Some(&Err(Rejection::Unknown)));
    net.cut.clear();
    net.run_for(40.0);
    assert_eq!(net.machine(2).state().get("title 1"), Some(&b"most"[..]));
    net.check("split");
}

/// Changes of one key against one base: one is taken, the other one's author learns which revision changed the key.
#[test]
fn of_two_changes_of_a_key_one_is_rejected_and_others_go_in_one_batch() {
    let mut net = settled(5, 3, 6, 14);
    let pushes = [(1, "title 1"), (2, "title 1"), (3, "title 2")]
        .map(|(author, key)| net.push(author, author, vec![put(key, "new")]));
    net.run_for(6.0);
    let outcomes = pushes.map(|push| net.seen.outcome(push).cloned());
    let conflict = Err(Rejection::Conflict { key: "title 1".to_owned(), base: 1, changed_in: 2 });
    assert_eq!(outcomes, [Some(Ok(2)), Some(conflict), Some(Ok(2))]);
    net.check("one key");
}

/// The same change pushed at several machines, and again later, is applied once, and its author hears the same.
#[test]
fn a_change_that_is_pushed_again_is_applied_once() {
    let mut net = settled(5, 3, 6, 15);
    let first = net.push(1, 1, vec![put("title 1", "new")]);
    let change = net.changes.last().cloned().unwrap();
    let second = net.push_change(4, change.clone());
    net.run_for(6.0);
    let later = net.push_change(3, change);
    net.push(2, 1, vec![put("title 1", "newer")]);
    net.run_for(6.0);
    for push in [first, second, later] {
        assert_eq!(net.seen.outcome(push), Some(&Ok(2)));
    }
    assert_eq!(net.seen.highest(), 3);
    net.check("pushed again");
}

/// A change of an author whose key was revoked is rejected; one that an acceptor had voted for may still be certified, and stops
/// nothing.
#[test]
fn an_authors_key_is_revoked_in_the_middle_of_a_change() {
    for after in [0.0, 0.2, 0.3, 0.4, 0.5] {
        let mut net = settled(5, 3, 6, 16);
        net.push(4, 1, vec![put("title 1", "stolen")]);
        net.run_for(after);
        net.revoke(1);
        let other = net.push(3, 2, vec![put("title 2", "new")]);
        net.run_for(16.0);
        assert!(matches!(net.seen.outcome(other), Some(Ok(2 | 3))), "{:?}", net.seen.outcome(other));
        let after_it = net.push(3, 1, vec![put("title 3", "stolen")]);
        net.run_for(2.0);
        assert_eq!(net.seen.outcome(after_it), Some(&Err(Rejection::Author(1))));
        net.check("revoked");
    }
}

/// A change against a revision that its relay does not know yet waits for it; against one that there is not, it is rejected.
#[test]
fn a_change_against_a_later_revision_waits_for_it() {
    let mut net = settled(5, 3, 6, 17);
    let early = net.push_on(4, 2, 2, vec![put("title 5", "early")]);
    net.push(0, 1, vec![put("title 1", "new")]);
    let never = net.push_on(4, 3, 40, vec![put("title 5", "never")]);
    net.run_for(12.0);
    assert_eq!(net.seen.outcome(early), Some(&Ok(3)));
    assert_eq!(net.seen.outcome(never), Some(&Err(Rejection::BaseAhead(40, 3))));
    net.check("a later revision");
}

/// Two acceptors that both take themselves for the one that makes batches, since they don't hear each other.
#[test]
fn two_sequencers_at_once_get_on() {
    let mut net = settled(5, 5, 10, 18);
    net.cut.extend([(Node::Machine(0), Node::Machine(1)), (Node::Machine(1), Node::Machine(0))]);
    net.run_for(4.0);
    let mut pushes = Vec::new();
    for round in 0..6 {
        pushes.push(net.push(0, 1, vec![put(&format!("title {round}"), "of 0")]));
        pushes.push(net.push(1, 2, vec![put(&format!("title {}", 50 + round), "of 1")]));
        net.run_for(2.0);
    }
    net.run_for(20.0);
    let taken = pushes.iter().filter(|push| matches!(net.seen.outcome(**push), Some(Ok(_)))).count();
    assert_eq!(taken, 12);
    net.cut.clear();
    let highest = net.seen.highest();
    acted_on_in_time(&mut net, highest);
    net.check("two sequencers");
}

/// Has all machines refuse a state in which titles 1 and 2 are both new.
fn refuse_titles_1_and_2_together(net: &mut Net) {
    for me in 0..5 {
        net.with_machine(me, |machine, _, _| {
            machine.set_state_check(Box::new(|_, after| {
                let is_new = |key: &str| after.get(key) == Some(b"new");
                match is_new("title 1") && is_new("title 2") {
                    true => Err("titles 1 and 2 can't both be new".to_owned()),
                    false => Ok(()),
                }
            }));
        });
    }
}

/// Two changes that fit alone and not together, pushed at once: one is taken, the other one is rejected with the reason, and
/// those that have nothing to do with them are taken.
#[test]
fn of_two_changes_that_do_not_fit_together_one_is_rejected() {
    let mut net = settled(5, 3, 6, 23);
    refuse_titles_1_and_2_together(&mut net);
    let pushes = [
        net.push(0, 1, vec![put("title 1", "new")]),
        net.push(1, 2, vec![put("title 2", "new")]),
        net.push(2, 3, vec![put("title 3", "new")]),
        net.push(3, 4, vec![put("title 4", "new")]),
    ];
    net.run_for(15.0);
    let outcomes = pushes.map(|push| net.seen.outcome(push).cloned());
    let refused = |outcome: &&Option<_>| matches!(outcome, Some(Err(Rejection::State(_))));
    let taken = |outcome: &&Option<_>| matches!(outcome, Some(Ok(_)));
    assert_eq!(outcomes[..2].iter().filter(refused).count(), 1, "{outcomes:?}");
    assert_eq!(outcomes.iter().filter(taken).count(), 3, "{outcomes:?}");
    net.run_for(20.0);
    net.check("changes that don't fit together");
}

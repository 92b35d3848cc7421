//! Under a gate: votes only for what the driver holds, prepared only once it says so, news to all at once.

use std::time::Duration;

use super::net::Net;
use crate::propose::AGAIN;
use crate::{digest, Member, Number, Regime};

const PATIENCE: Duration = Duration::from_secs(4);
const TEXT: &[u8] = b"stands for more";

fn secs(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

/// Five members, three of them keepers, that have settled; nothing is lost between them.
fn gated() -> Net {
    let mut net = Net::new(5, 3, Regime::Hold, 3);
    net.loss = 0.0;
    (0..5).for_each(|me| net.with(me, |member, now, _| member.gated(now, PATIENCE)));
    net.run(net.now + secs(5.0));
    net
}

fn let_vote(net: &mut Net, keepers: &[Member], again: bool) {
    keepers.iter().for_each(|me| net.with(*me, |member, _, _| member.let_vote(digest(TEXT), again)));
}

fn ready(net: &mut Net, members: &[Member], number: Number) {
    members.iter().for_each(|me| net.with(*me, |member, now, out| member.subtree_ready(now, number, out)));
}

fn certified(net: &Net) -> Vec<Number> {
    let top = |seat: &super::net::Seat| seat.member.as_ref().map_or(0, |member| member.next().0 - 1);
    net.seats.iter().map(top).collect()
}

#[test]
fn a_keeper_votes_only_for_what_it_was_let_and_is_asked_again() {
    let mut net = gated();
    net.push(4, 1, TEXT);
    net.run(net.now + secs(5.0));
    assert_eq!(certified(&net), [0; 5]);
    assert!(net.seats.iter().all(|seat| !seat.member.as_ref().unwrap().position(net.now).refuses));
    let_vote(&mut net, &[1], false);
    net.run(net.now + secs(3.0));
    assert_eq!(certified(&net), [0; 5], "one of three");
    // A second one that may vote only where another did.
    let_vote(&mut net, &[2], true);
    net.run(net.now + secs(3.0));
    assert_eq!(certified(&net), [1; 5]);
}

#[test]
fn what_may_be_voted_for_only_where_another_did_is_not_voted_for_first() {
    let mut net = gated();
    net.push(4, 1, TEXT);
    let_vote(&mut net, &[0, 1, 2], true);
    net.run(net.now + secs(6.0));
    assert_eq!(certified(&net), [0; 5]);
    // What was named before is taken back with another ring.
    net.with(0, |member, _, _| member.let_vote(digest(TEXT), false));
    net.with(0, |member, _, _| member.forget_votable());
    net.run(net.now + secs(3.0));
    assert_eq!(certified(&net), [0; 5]);
}

/// A quorum's certificate is with all a way after the proposer has it, not after some beats of the gossip.
#[test]
fn a_certificate_and_words_to_act_go_to_all_at_once() {
    let mut net = gated();
    let_vote(&mut net, &[0, 1, 2], false);
    net.push(4, 1, TEXT);
    // Prepare, promise, accept, the text, which takes four ways; then it is asked for again, vote, and the certificate.
    net.run(net.now + net.delay * 9 + AGAIN);
    assert_eq!(certified(&net), [1; 5]);
    // All have the text some ways later.
    net.run(net.now + net.delay * 6);
    assert_eq!(net.active(), [0; 5]);
    ready(&mut net, &[0, 1, 2, 3, 4], 1);
    net.run(net.now + net.delay * 3);
    assert_eq!(net.active(), [1; 5]);
}

/// The word to act waits for each member's driver, for no other member longer than the patience.
#[test]
fn the_word_to_act_waits_for_what_hangs_below_a_member() {
    let mut net = gated();
    let_vote(&mut net, &[0, 1, 2], false);
    net.push(4, 1, TEXT);
    let begun = net.now;
    net.run(net.now + secs(1.0));
    ready(&mut net, &[0, 1, 2, 3], 1);
    net.run(begun + secs(3.0));
    assert_eq!((certified(&net), net.active()), (vec![1; 5], vec![0; 5]));
    let status = net.seats[0].member.as_ref().unwrap().status(net.now);
    assert_eq!(status.waited_for, [4]);
    net.run(begun + PATIENCE + secs(2.0));
    assert_eq!(net.active(), [1; 5]);
}

/// What a lease must name: the highest number that a keeper gave the word for; nothing from others, and from one that lost its disk until it
/// knows.
#[test]
fn what_may_be_granted() {
    let grantable =
        |net: &Net, me: usize| net.seats[me].member.as_ref().and_then(|member| member.grantable());
    let mut net = gated();
    assert_eq!([0, 1, 3].map(|me| grantable(&net, me)), [Some(0), Some(0), None]);
    let_vote(&mut net, &[0, 1, 2], false);
    net.push(4, 1, TEXT);
    net.run(net.now + secs(2.0));
    assert_eq!(grantable(&net, 0), Some(0), "certified, and nobody may act on it");
    ready(&mut net, &[0, 1, 2, 3, 4], 1);
    assert_eq!(grantable(&net, 0), Some(0), "it does not know of the others yet");
    net.run(net.now + secs(1.0));
    assert_eq!([0, 1, 2].map(|me| grantable(&net, me)), [Some(1); 3]);
    net.kill(1, true);
    net.start(1);
    assert_eq!(grantable(&net, 1), None);
    net.run(net.now + secs(3.0));
    assert!(grantable(&net, 1) >= Some(1));
}

/// A certificate that comes with a state counts as one that came by words; one that does not hold is nothing.
#[test]
fn a_certificate_that_comes_by_another_way() {
    let mut net = gated();
    let_vote(&mut net, &[0, 1, 2], false);
    for other in 0..4 {
        net.cut.extend([(4, other), (other, 4)]);
    }
    net.push(3, 1, TEXT);
    net.run(net.now + secs(2.0));
    assert_eq!(certified(&net), [1, 1, 1, 1, 0]);
    let top = net.seats[0].member.as_ref().unwrap().top().cloned().unwrap();
    let mut too_few = top.clone();
    too_few.votes.truncate(1);
    net.with(4, |member, now, out| assert!(!member.take_certified(now, too_few, out)));
    net.with(4, |member, now, out| assert!(member.take_certified(now, top, out)));
    assert_eq!(certified(&net), [1; 5]);
}

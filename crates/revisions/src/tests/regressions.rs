//! Regression tests, each for one specific failure.

use std::sync::Arc;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};

use super::simulation::{signed, test_signature, Simulation, AUTHORS};
use crate::learner::Learner;
use crate::message::{MemberRemoval, Message, Vote};
use crate::requests::{self, Request};
use crate::{
    Acceptor, AcceptorState, ActivationMode, Ballot, HoldReason, Refused, StoredState, StoredStateError,
};

fn secs(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

fn settled(mode: ActivationMode) -> Simulation {
    let mut sim = Simulation::new(5, 3, mode, 11);
    sim.run(sim.now + secs(5.0));
    sim.push(4, 1, b"one");
    sim.run(sim.now + secs(8.0));
    assert_eq!(sim.active(), [1; 5]);
    sim
}

fn partition(sim: &mut Simulation, member: u16) {
    for other in (0..5).filter(|other| *other != member) {
        sim.cut.extend([(member, other), (other, member)]);
    }
}

/// Under `wait` a change waits for a partitioned member and names it; that member keeps working, and an
/// author's statement that it is removed lets the change proceed. Under `hold` the member goes on hold after
/// a lease, and the change proceeds by itself.
#[test]
fn a_partitioned_member_is_waited_for_or_held() {
    for mode in [ActivationMode::Wait, ActivationMode::Hold] {
        let mut sim = settled(mode);
        partition(&mut sim, 4);
        sim.push(3, 1, b"two");
        sim.run(sim.now + secs(12.0));
        let partitioned = sim.nodes[4].member.as_ref().unwrap().active_revision(sim.now);
        if mode == ActivationMode::Hold {
            assert_eq!((partitioned.active, partitioned.held), (1, Some(HoldReason::NoLease)));
            assert_eq!(sim.active(), [2, 2, 2, 2, 1]);
            continue;
        }
        assert_eq!((partitioned.active, partitioned.held), (1, None));
        let status = sim.nodes[0].member.as_ref().unwrap().status(sim.now);
        assert_eq!((status.waited_for, status.active_revision.active), (vec![4], 1));
        let mut removal =
            MemberRemoval { member: 4, sequence: 1, removed: true, author: 1, signature: [0; 64] };
        removal.signature = test_signature(AUTHORS + 1, &removal.signed_bytes());
        sim.with(2, |member, now, out| assert!(member.add_removal(now, removal, out)));
        sim.run(sim.now + secs(8.0));
        assert_eq!(sim.active(), [2, 2, 2, 2, 1]);
    }
}

/// While no change is pending, the loss of all acceptors has no effect under `wait`, and puts members on hold
/// under `hold`.
#[test]
fn loss_of_all_acceptors() {
    for (mode, held) in [(ActivationMode::Wait, None), (ActivationMode::Hold, Some(HoldReason::NoLease))] {
        let mut sim = settled(mode);
        (0..3).for_each(|acceptor| sim.kill(acceptor, false));
        sim.run(sim.now + secs(30.0));
        sim.kill(3, false);
        sim.start(3);
        for member in [3, 4] {
            assert_eq!(sim.nodes[member].member.as_ref().unwrap().active_revision(sim.now).held, held);
        }
    }
}

/// A member that was suspended for longer than its lease, in the middle of a change, notices before it
/// decides.
#[test]
fn a_lease_expires_while_a_member_is_suspended() {
    let mut sim = settled(ActivationMode::Wait);
    partition(&mut sim, 4);
    sim.push(3, 1, b"two");
    sim.run(sim.now + secs(3.0));
    sim.cut.clear();
    while sim.nodes[4].member.as_ref().unwrap().active_revision(sim.now).prepared.is_none() {
        sim.run(sim.now + secs(0.01));
    }
    let member = sim.nodes[4].member.as_ref().unwrap();
    let reported_at = sim.now;
    assert_eq!(member.active_revision(reported_at).held, None);
    assert_eq!(member.active_revision(reported_at + secs(20.0)).held, Some(HoldReason::NoLease));
}

/// An acceptor restarted without its disk votes again only once enough numbers were certified that no vote of
/// its previous incarnation can count.
#[test]
fn an_acceptor_restarted_without_its_disk() {
    let mut sim = settled(ActivationMode::Wait);
    sim.kill(1, true);
    sim.start(1);
    sim.run(sim.now + secs(5.0));
    assert_eq!(sim.acceptor(1).unwrap().state().no_vote_through, 2);
    for (number, text) in [(2, b"two"), (3, b"abc")] {
        sim.push(1, 1, text);
        sim.run(sim.now + secs(10.0));
        assert_eq!(sim.active(), [number; 5]);
    }
    let mut acceptor = Acceptor::recovering();
    assert_eq!(acceptor.highest_involved(), None);
    assert!(!acceptor.add_recovery_answer(0, 3, 3) && acceptor.add_recovery_answer(2, 7, 3));
    assert_eq!(acceptor.state().no_vote_through, 8);
}

#[test]
fn invalid_pushes_are_refused_without_effect() {
    let mut sim = settled(ActivationMode::Wait);
    let (number, before) = sim.nodes[2].member.as_ref().unwrap().next();
    let good = signed(number, before, 1, b"text");
    let mut forged = good;
    forged.signature[0] ^= 1;
    let cases = [
        (forged, &b"text"[..], Refused::Author(1)),
        (signed(1, before, 1, b"text"), b"text", Refused::Number(1, 2)),
        (signed(9, before, 1, b"text"), b"text", Refused::Number(9, 2)),
        (signed(number, [7; 32], 1, b"text"), b"text", Refused::Predecessor(1)),
        (good, b"tex", Refused::Length(3, 4)),
        (good, b"tixt", Refused::Digest),
    ];
    sim.with(2, |member, now, out| {
        for (signed, text, reason) in cases {
            assert_eq!(member.push(now, signed, Arc::from(text), out), Err(reason));
        }
        assert!(out.is_empty());
    });
}

#[test]
fn truncated_or_corrupted_messages_and_state_are_rejected() {
    let stored = StoredState {
        acceptor: Some(AcceptorState { number: 3, ..AcceptorState::default() }),
        ..StoredState::default()
    }
    .write();
    assert_eq!(StoredState::read(&stored).unwrap().acceptor.unwrap().number, 3);
    for cut in 0..stored.len() {
        assert!(StoredState::read(&stored[..cut]).is_err());
        let mut flipped = stored.clone();
        flipped[cut] ^= 4;
        assert!(matches!(
            StoredState::read(&flipped),
            Err(StoredStateError::UnknownFormat | StoredStateError::DigestMismatch)
        ));
    }
    // The previous version lacked the last two fields, and must remain readable.
    let body = &stored[36..stored.len() - 2];
    let old_version = [&b"blr1"[..], &crate::digest(body), body].concat();
    assert_eq!(StoredState::read(&old_version).unwrap().acceptor.unwrap().number, 3);
    let message = Message::Head(signed(1, [0; 32], 1, b"text")).write();
    assert!(message.len() <= 176, "it must fit into one gossip datagram");
    assert!(Message::read(&message).is_some());
    assert!((0..message.len()).all(|cut| Message::read(&message[..cut]).is_none()));
}

/// A stolen author key floods the members with heads: another author's revision is still certified and
/// activated.
#[test]
fn a_flood_from_a_stolen_key_does_not_block_other_authors() {
    let mut sim = settled(ActivationMode::Wait);
    let (number, before) = sim.nodes[0].member.as_ref().unwrap().next();
    let flood = |sim: &mut Simulation, from: u32| {
        for n in from..from + 300 {
            let message = Message::Head(signed(number + n % 7, before, 9, &n.to_be_bytes()));
            (0..5).for_each(|to| {
                sim.with(to, |member, now, out| member.receive(now, 4 - to / 2, message.clone(), out))
            });
        }
    };
    flood(&mut sim, 0);
    sim.push(2, 1, b"good");
    for step in 1..20 {
        flood(&mut sim, step * 300);
        sim.run(sim.now + secs(0.2));
    }
    sim.run(sim.now + secs(5.0));
    assert_eq!(sim.active(), [2; 5]);
}

/// A text is certified only if acceptors have it, and one surviving acceptor is enough to distribute it.
#[test]
fn a_certified_text_survives_the_loss_of_its_proposer() {
    let mut sim = settled(ActivationMode::Wait);
    sim.push(4, 1, b"two");
    while sim.nodes[0].member.as_ref().unwrap().next().0 < 3 {
        sim.run(sim.now + secs(0.01));
    }
    sim.kill(4, true);
    sim.kill(1, false);
    sim.run(sim.now + secs(2.0));
    sim.start(1);
    sim.start(4);
    sim.run(sim.now + secs(12.0));
    assert_eq!(sim.active(), [2; 5]);
}

/// A member whose build can't activate a revision does not report it as prepared. The change waits for that
/// member and names it, and a later revision that all can activate supersedes it.
#[test]
fn a_revision_that_one_build_rejects() {
    let mut sim = Simulation::new(5, 3, ActivationMode::Wait, 3);
    sim.refuses = Some((4, b"new key".to_vec()));
    sim.run(sim.now + secs(5.0));
    sim.start(4);
    sim.run(sim.now + secs(5.0));
    sim.push(0, 1, b"new key");
    sim.run(sim.now + secs(8.0));
    assert_eq!(sim.active(), [0; 5]);
    assert_eq!(sim.nodes[0].member.as_ref().unwrap().status(sim.now).waited_for, [4]);
    sim.push(1, 2, b"old keys");
    sim.run(sim.now + secs(8.0));
    assert_eq!(sim.active(), [2; 5]);
}

/// Decoders neither panic on arbitrary bytes nor accept what they would not encode the same.
#[test]
fn decoders_handle_arbitrary_bytes() {
    fn is_consistent(kind: u8, bytes: Vec<u8>) -> bool {
        let message = [&b"rv1"[..], &[kind % 16], &bytes].concat();
        let round_trips =
            Message::read(&message).is_none_or(|read| Message::read(&read.write()) == Some(read));
        let line = String::from_utf8_lossy(&bytes).into_owned();
        let _ = (StoredState::read(&bytes), requests::decode_head(&line), requests::decode_removal(&line));
        let incomplete = requests::parse_line::<Request>(&bytes).is_ok_and(|read| read.is_none());
        round_trips && (incomplete || bytes.contains(&b'\n'))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 11))
        .tests(20_000)
        .quickcheck(is_consistent as fn(u8, Vec<u8>) -> bool);
}

/// Guards against a change that is never activated although no member is named as waited for. It happens when
/// all members have prepared it, the acceptors grant its activation at the same moment, the byte limit of the
/// gossip drops all grants, and none is resent.
#[test]
fn lost_activation_grants_are_resent() {
    let mut sim = settled(ActivationMode::Wait);
    partition(&mut sim, 4);
    sim.push(3, 1, b"two");
    sim.run(sim.now + secs(4.0));
    for (first, second) in [(0, 1), (1, 2), (0, 2)] {
        sim.cut.extend([(first, second), (second, first)]);
    }
    sim.cut.retain(|(from, to)| *from != 4 && *to != 4);
    // Member 3, which is no acceptor, does not forward grants to the acceptors or to member 4.
    sim.cut.extend((0..3).map(|acceptor| (acceptor, 3)).chain((0..3).map(|acceptor| (acceptor, 4))));
    sim.with(4, |member, now, out| {
        let (number, before) = (2, member.next().1);
        member.receive(now, 3, Message::Head(signed(number, before, 1, b"two")), out);
    });
    let certified = sim.nodes[3].member.as_ref().unwrap().learner.latest.clone().unwrap();
    sim.with(4, |member, now, out| {
        certified.votes.iter().for_each(|vote| member.receive(now, 3, Message::Vote(*vote), out));
    });
    sim.run(sim.now + secs(8.0));
    assert_eq!(sim.active(), [1; 5], "each acceptor knows only its own grant");
    sim.cut.clear();
    sim.run(sim.now + secs(8.0));
    assert_eq!(sim.active(), [2; 5]);
}

/// Lets acceptors accept what member 4 pushes, and loses all their votes.
fn accept_without_replies(sim: &mut Simulation, author: u16, text: &[u8]) {
    sim.push(4, author, text);
    // On the first accept request the acceptors fetch the text, on the next one they accept; no reply
    // arrives.
    let has_text = |sim: &Simulation, acceptor: u16| {
        let member = sim.nodes[usize::from(acceptor)].member.as_ref().unwrap();
        member.text_by_digest(&crate::digest(text)).is_some()
    };
    for _ in 0..5_000 {
        if (0..3).filter(|acceptor| has_text(sim, *acceptor)).count() >= 2 {
            break;
        }
        sim.run(sim.now + Duration::from_millis(1));
    }
    sim.cut.extend(
        (0..5)
            .flat_map(|from| (0..5).map(move |to| (from, to)))
            .filter(|(from, to)| from != to && *from != 4),
    );
    sim.run(sim.now + secs(1.0));
    let accepted = |acceptor: u16| sim.acceptor(acceptor).unwrap().state().accepted.is_some();
    assert!(
        (0..3).filter(|acceptor| accepted(*acceptor)).count() >= 2
            && sim.nodes[4].member.as_ref().unwrap().next().0 == 2
    );
}

/// Guards against a number that can never be certified. It happens when acceptors have accepted a text and
/// its author's key is then revoked: they must name the text to the next proposer, since it may be certified,
/// and members must still accept its head.
#[test]
fn a_text_accepted_before_its_key_was_revoked_does_not_block_the_number() {
    let mut sim = settled(ActivationMode::Wait);
    accept_without_replies(&mut sim, 9, b"thief");
    sim.kill(4, false);
    sim.revoke(9);
    sim.cut.clear();
    sim.start(4);
    sim.push(3, 1, b"good");
    sim.run(sim.now + secs(15.0));
    // The text of the stolen key may have been certified, and therefore is; the next one is the other
    // author's.
    sim.push(3, 1, b"good");
    sim.run(sim.now + secs(15.0));
    let texts: Vec<_> =
        sim.nodes.iter().map(|node| node.member.as_ref().unwrap().active_text().to_vec()).collect();
    assert_eq!(texts, vec![b"good".to_vec(); 5]);
    assert!(sim.certified.values().all(|digests| digests.len() == 1));
    // A head signed with the revoked key is refused unless an acceptor had voted for it.
    let (number, before) = sim.nodes[2].member.as_ref().unwrap().next();
    let late_head = Message::Head(signed(number, before, 9, b"late"));
    sim.with(2, |member, now, out| member.receive(now, 3, late_head, out));
    let digest = signed(number, before, 9, b"late").head.digest();
    assert!(sim.nodes[2].member.as_ref().unwrap().learner.head(&digest).is_none());
}

/// Guards against votes for a head that no member has, which block a number permanently. All acceptors are
/// killed after they accepted, and the member that pushed is lost: the acceptors must restore the head and
/// the text from their disks.
#[test]
fn acceptors_killed_after_voting_restore_head_and_text() {
    let mut sim = settled(ActivationMode::Wait);
    accept_without_replies(&mut sim, 1, b"two");
    sim.kill(4, true);
    (0..3).for_each(|acceptor| sim.kill(acceptor, false));
    sim.cut.clear();
    (0..3).for_each(|acceptor| sim.start(acceptor));
    sim.run(sim.now + secs(1.0));
    sim.push(3, 2, b"other");
    sim.run(sim.now + secs(20.0));
    sim.start(4);
    sim.run(sim.now + secs(20.0));
    assert_eq!(sim.active(), [2; 5]);
    assert!(sim.certified.values().all(|digests| digests.len() == 1));
}

/// Texts that flood an acceptor between its vote and the certificate must not evict the text that it voted
/// for, which others still have to fetch.
#[test]
fn a_flood_does_not_evict_the_accepted_text() {
    let mut sim = settled(ActivationMode::Wait);
    accept_without_replies(&mut sim, 1, b"two");
    sim.kill(4, true);
    for n in 0..20u8 {
        for acceptor in 0..3 {
            sim.with(acceptor, |member, _, _| {
                let text = [b'x', n];
                member.cache_text(crate::digest(&text), Arc::from(&text[..]));
            });
        }
    }
    sim.cut.clear();
    sim.push(3, 2, b"other");
    sim.run(sim.now + secs(20.0));
    sim.start(4);
    sim.run(sim.now + secs(20.0));
    assert_eq!(sim.active(), [2; 5]);
}

/// Guards against a member with an outdated file that activates it beside the latest revision. A member
/// without its disk stored messages while it was on hold, was killed, and took the stored state that it then
/// found as confirmed.
#[test]
fn a_member_without_its_disk_stays_unconfirmed_after_another_kill() {
    let mut sim = settled(ActivationMode::Wait);
    sim.push(0, 1, b"two");
    sim.run(sim.now + secs(8.0));
    sim.kill(2, true);
    partition(&mut sim, 2);
    sim.start(2);
    assert_eq!(sim.nodes[2].member.as_ref().unwrap().active_revision(sim.now).held, Some(HoldReason::Unsure));
    let latest = sim.nodes[0].member.as_ref().unwrap().learner.latest.clone().unwrap();
    sim.with(2, |member, now, out| {
        member.receive(now, 0, Message::Head(latest.signed), out);
        latest.votes.iter().for_each(|vote| member.receive(now, 0, Message::Vote(*vote), out));
    });
    sim.kill(2, false);
    sim.start(2);
    assert!(sim.nodes[2].member.as_ref().unwrap().active_revision(sim.now + secs(0.1)).held.is_some());
}

/// Two of three acceptors certified a head in a ballot. If a third member first receives a vote of one of
/// them in a higher ballot, it must still recognize the certificate, since it is sent no other.
#[test]
fn a_vote_in_a_higher_ballot_does_not_hide_a_certificate() {
    let sim = Simulation::new(3, 3, ActivationMode::Hold, 1);
    let signer = |local_id: u16| sim.signer_of(local_id);
    let head = signed(1, [0; 32], 1, b"one");
    let vote = |acceptor: u16, round: u32| {
        let ballot = Ballot { round, proposer: 0, incarnation: 1 };
        Vote::sign(&signer(acceptor), acceptor, 1, ballot, head.head.digest())
    };
    let mut learner = Learner::default();
    assert!(learner.add_head(head, &signer(2)));
    for round in [5, 9, 7] {
        learner.add_vote(vote(0, round), &signer(2));
    }
    // The votes that a member which knows the certificate sends.
    for acceptor in [0, 1] {
        learner.add_vote(vote(acceptor, 3), &signer(2));
    }
    assert!(learner.update_latest(&signer(2)));
    assert!(learner.latest.is_some_and(|latest| latest.holds(&signer(2))));
}

/// Lease requests must spread out although all members start at the same moment, as they do when a change
/// reaches them. An acceptor at its byte limit that is asked by all at once would answer the same few each
/// time, and the others would stay on hold.
#[test]
fn lease_requests_are_spread_out() {
    let mut sim = Simulation::new(20, 3, ActivationMode::Hold, 1);
    sim.run(sim.now + Duration::from_secs(30));
    let requests =
        sim.nodes.iter().filter_map(|node| node.member.as_ref()).map(|member| member.next_lease_request_at);
    let request_times: std::collections::BTreeSet<Duration> = requests.collect();
    assert!(request_times.len() > 15, "{request_times:?}");
}

//! Driver gate: acceptors vote only for permitted texts, members count as prepared only when their driver
//! says so, and certificates and grants are sent to all members at once.

use std::time::Duration;

use super::simulation::Simulation;
use crate::proposal::RESEND_INTERVAL;
use crate::{digest, ActivationMode, Member, Number};

const MAX_WAIT: Duration = Duration::from_secs(4);
const TEXT: &[u8] = b"stands for more";

fn secs(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

/// Five members, three of them acceptors, after start-up, on a network without loss.
fn gated_simulation() -> Simulation {
    let mut sim = Simulation::new(5, 3, ActivationMode::Hold, 3);
    sim.loss = 0.0;
    (0..5).for_each(|local_id| sim.with(local_id, |member, now, _| member.enable_gate(now, MAX_WAIT)));
    sim.run(sim.now + secs(5.0));
    sim
}

fn permit_vote(sim: &mut Simulation, acceptors: &[Member], again: bool) {
    acceptors
        .iter()
        .for_each(|local_id| sim.with(*local_id, |member, _, _| member.permit_vote(digest(TEXT), again)));
}

fn ready(sim: &mut Simulation, members: &[Member], number: Number) {
    members
        .iter()
        .for_each(|local_id| sim.with(*local_id, |member, now, out| member.subtree_ready(now, number, out)));
}

fn certified(sim: &Simulation) -> Vec<Number> {
    let certified_number =
        |node: &super::simulation::Node| node.member.as_ref().map_or(0, |member| member.next().0 - 1);
    sim.nodes.iter().map(certified_number).collect()
}

#[test]
fn an_acceptor_votes_only_for_permitted_texts() {
    let mut sim = gated_simulation();
    sim.push(4, 1, TEXT);
    sim.run(sim.now + secs(5.0));
    assert_eq!(certified(&sim), [0; 5]);
    assert!(sim.nodes.iter().all(|node| !node.member.as_ref().unwrap().position(sim.now).refuses));
    permit_vote(&mut sim, &[1], false);
    sim.run(sim.now + secs(3.0));
    assert_eq!(certified(&sim), [0; 5], "one vote of three");
    // A second acceptor, which may vote only after another one.
    permit_vote(&mut sim, &[2], true);
    sim.run(sim.now + secs(3.0));
    assert_eq!(certified(&sim), [1; 5]);
}

#[test]
fn a_text_permitted_only_after_another_vote_gets_no_first_vote() {
    let mut sim = gated_simulation();
    sim.push(4, 1, TEXT);
    permit_vote(&mut sim, &[0, 1, 2], true);
    sim.run(sim.now + secs(6.0));
    assert_eq!(certified(&sim), [0; 5]);
    // Permissions are revoked when the ring changes.
    sim.with(0, |member, _, _| member.permit_vote(digest(TEXT), false));
    sim.with(0, |member, _, _| member.revoke_vote_permits());
    sim.run(sim.now + secs(3.0));
    assert_eq!(certified(&sim), [0; 5]);
}

/// All members have a certificate one network delay after the proposer has it, not after several gossip
/// intervals.
#[test]
fn certificates_and_grants_go_to_all_members_at_once() {
    let mut sim = gated_simulation();
    permit_vote(&mut sim, &[0, 1, 2], false);
    sim.push(4, 1, TEXT);
    // Prepare, promise, accept, and the text, which takes four delays; then the request is resent, the vote,
    // and the certificate.
    sim.run(sim.now + sim.delay * 9 + RESEND_INTERVAL);
    assert_eq!(certified(&sim), [1; 5]);
    // All members have fetched the text a few delays later.
    sim.run(sim.now + sim.delay * 6);
    assert_eq!(sim.active(), [0; 5]);
    ready(&mut sim, &[0, 1, 2, 3, 4], 1);
    sim.run(sim.now + sim.delay * 3);
    assert_eq!(sim.active(), [1; 5]);
}

/// Activation waits for each member's driver, but for other members no longer than the limit.
#[test]
fn activation_waits_for_members_drivers() {
    let mut sim = gated_simulation();
    permit_vote(&mut sim, &[0, 1, 2], false);
    sim.push(4, 1, TEXT);
    let started_at = sim.now;
    sim.run(sim.now + secs(1.0));
    ready(&mut sim, &[0, 1, 2, 3], 1);
    sim.run(started_at + secs(3.0));
    assert_eq!((certified(&sim), sim.active()), (vec![1; 5], vec![0; 5]));
    let status = sim.nodes[0].member.as_ref().unwrap().status(sim.now);
    assert_eq!(status.waited_for, [4]);
    sim.run(started_at + MAX_WAIT + secs(2.0));
    assert_eq!(sim.active(), [1; 5]);
}

/// A lease names the highest number whose activation the acceptor granted. Members that are not acceptors,
/// and acceptors that lost their disk and have not recovered, can't grant one.
#[test]
fn grantable_numbers() {
    let grantable_number = |sim: &Simulation, local_id: usize| {
        sim.nodes[local_id].member.as_ref().and_then(|member| member.grantable_number())
    };
    let mut sim = gated_simulation();
    assert_eq!([0, 1, 3].map(|local_id| grantable_number(&sim, local_id)), [Some(0), Some(0), None]);
    permit_vote(&mut sim, &[0, 1, 2], false);
    sim.push(4, 1, TEXT);
    sim.run(sim.now + secs(2.0));
    assert_eq!(grantable_number(&sim, 0), Some(0), "certified, but not activated");
    ready(&mut sim, &[0, 1, 2, 3, 4], 1);
    assert_eq!(grantable_number(&sim, 0), Some(0), "the readiness of the others is not known yet");
    sim.run(sim.now + secs(1.0));
    assert_eq!([0, 1, 2].map(|local_id| grantable_number(&sim, local_id)), [Some(1); 3]);
    sim.kill(1, true);
    sim.start(1);
    assert_eq!(grantable_number(&sim, 1), None);
    sim.run(sim.now + secs(3.0));
    assert!(grantable_number(&sim, 1) >= Some(1));
}

/// A certificate that arrives with a state is equivalent to one assembled from messages; an invalid one is
/// rejected.
#[test]
fn a_certificate_from_another_path() {
    let mut sim = gated_simulation();
    permit_vote(&mut sim, &[0, 1, 2], false);
    for other in 0..4 {
        sim.cut.extend([(4, other), (other, 4)]);
    }
    sim.push(3, 1, TEXT);
    sim.run(sim.now + secs(2.0));
    assert_eq!(certified(&sim), [1, 1, 1, 1, 0]);
    let certificate = sim.nodes[0].member.as_ref().unwrap().latest_certified().cloned().unwrap();
    let mut too_few = certificate.clone();
    too_few.votes.truncate(1);
    sim.with(4, |member, now, out| assert!(!member.take_certified(now, too_few, out)));
    sim.with(4, |member, now, out| assert!(member.take_certified(now, certificate, out)));
    assert_eq!(certified(&sim), [1; 5]);
}

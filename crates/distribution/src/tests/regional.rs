//! Regional leases: proofs that show nothing, and bounds of the setting.

use std::time::Duration;

use super::hand::DigestHand;
use super::sample::regional_proof;
use crate::control::{Config, ConfigFault, LEAST_APART, MOST_APART};
use crate::lease::{LeaseFault, MAX_GRANTS};
use crate::regional::{RegionalGrant, RegionalProof};
use crate::{MachineId, Number};

/// The watcher that sample proofs are for.
const WATCHER: u32 = 3;

fn check(proof: &RegionalProof, acting: Number) -> Result<(), LeaseFault> {
    proof.check(WATCHER, acting, &DigestHand::new(MachineId::MAX, 7))
}

#[test]
fn two_machines_that_vouch_are_a_lease() {
    assert_eq!(check(&regional_proof(&[0, 1]), 12), Ok(()));
    assert_eq!(check(&regional_proof(&[6, 2, 4]), 13), Ok(()));
}

#[test]
fn one_machine_is_none_however_often_it_vouches() {
    assert_eq!(check(&regional_proof(&[]), 12), Err(LeaseFault::TooFew(0, 2)));
    assert_eq!(check(&regional_proof(&[1]), 12), Err(LeaseFault::TooFew(1, 2)));
    assert_eq!(check(&regional_proof(&[1, 1, 1]), 12), Err(LeaseFault::TooFew(1, 2)));
}

#[test]
fn a_machine_that_knows_of_a_later_revision_vouches_for_no_earlier_one() {
    let mut proof = regional_proof(&[0, 1]);
    assert_eq!(check(&proof, 11), Err(LeaseFault::TooFew(2, 2)));
    let root = proof.grants[0].root;
    proof.grants[0] = RegionalGrant::sign(&DigestHand::new(0, 7), 0, root, 13);
    assert_eq!(check(&proof, 12), Err(LeaseFault::TooFew(2, 2)));
    assert_eq!(check(&proof, 13), Ok(()));
}

#[test]
fn what_nobody_signed_shows_nothing() {
    // Of no machine of the ring, of another one's key, over another root, for another watcher.
    let strange = regional_proof(&[1, 9]);
    assert_eq!(check(&strange, 12), Err(LeaseFault::Unsigned(1, 1, 2)));
    let mut renamed = regional_proof(&[1, 1]);
    renamed.grants[1].machine = 2;
    assert_eq!(check(&renamed, 12), Err(LeaseFault::Unsigned(1, 1, 2)));
    let mut lowered = regional_proof(&[1, 2]);
    lowered.grants[1].allowed = 3;
    assert_eq!(check(&lowered, 12), Err(LeaseFault::Unsigned(1, 1, 2)));
    let mut moved = regional_proof(&[1, 2]);
    moved.index = 2;
    assert!(check(&moved, 12).is_err_and(|fault| fault.is_forged()));
    let other = regional_proof(&[1, 2]).check(WATCHER + 1, 12, &DigestHand::new(MachineId::MAX, 7));
    assert!(other.is_err_and(|fault| fault.is_forged()));
    let mut long = regional_proof(&[1, 2]);
    long.grants = vec![long.grants[0]; MAX_GRANTS + 1];
    assert_eq!(check(&long, 12), Err(LeaseFault::TooMany(MAX_GRANTS + 1)));
}

#[test]
fn the_time_apart_is_bounded() {
    let with = |apart| Config { apart, ..Config::new(0, 1) }.check();
    for taken in [Duration::ZERO, LEAST_APART, Duration::from_secs(3600), MOST_APART] {
        assert_eq!(with(taken), Ok(()));
    }
    for refused in [Duration::from_secs(1), MOST_APART + Duration::from_secs(1)] {
        assert_eq!(with(refused), Err(ConfigFault::Apart(refused)));
    }
}

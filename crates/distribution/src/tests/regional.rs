//! Tests of regional leases: invalid proofs, and the limits of the setting.

use std::time::Duration;

use super::sample::regional_proof;
use super::signer::DigestSigner;
use crate::control::{Config, ConfigFault, MAX_PARTITION, MIN_PARTITION};
use crate::lease::{LeaseFault, MAX_GRANTS};
use crate::regional::{RegionalGrant, RegionalProof};
use crate::{MachineId, Number};

/// The watcher for which sample proofs are made.
const WATCHER: u32 = 3;

fn check(proof: &RegionalProof, active: Number) -> Result<(), LeaseFault> {
    proof.check(WATCHER, active, &DigestSigner::new(MachineId::MAX, 7))
}

#[test]
fn two_machines_that_vouch_are_enough_for_a_lease() {
    assert_eq!(check(&regional_proof(&[0, 1]), 12), Ok(()));
    assert_eq!(check(&regional_proof(&[6, 2, 4]), 13), Ok(()));
}

#[test]
fn one_machine_is_not_enough_however_often_it_vouches() {
    assert_eq!(check(&regional_proof(&[]), 12), Err(LeaseFault::TooFew(0, 2)));
    assert_eq!(check(&regional_proof(&[1]), 12), Err(LeaseFault::TooFew(1, 2)));
    assert_eq!(check(&regional_proof(&[1, 1, 1]), 12), Err(LeaseFault::TooFew(1, 2)));
}

#[test]
fn a_grant_for_a_later_revision_does_not_count_for_an_earlier_one() {
    let mut proof = regional_proof(&[0, 1]);
    assert_eq!(check(&proof, 11), Err(LeaseFault::TooFew(2, 2)));
    let root = proof.grants[0].root;
    proof.grants[0] = RegionalGrant::sign(&DigestSigner::new(0, 7), 0, root, 13);
    assert_eq!(check(&proof, 12), Err(LeaseFault::TooFew(2, 2)));
    assert_eq!(check(&proof, 13), Ok(()));
}

#[test]
fn proofs_with_invalid_signatures_are_rejected() {
    // Cases: no machine of the ring, the key of another machine, another root, another watcher.
    let unknown_machine = regional_proof(&[1, 9]);
    assert_eq!(check(&unknown_machine, 12), Err(LeaseFault::Unsigned(1, 1, 2)));
    let mut renamed = regional_proof(&[1, 1]);
    renamed.grants[1].machine = 2;
    assert_eq!(check(&renamed, 12), Err(LeaseFault::Unsigned(1, 1, 2)));
    let mut lowered = regional_proof(&[1, 2]);
    lowered.grants[1].allowed = 3;
    assert_eq!(check(&lowered, 12), Err(LeaseFault::Unsigned(1, 1, 2)));
    let mut wrong_index = regional_proof(&[1, 2]);
    wrong_index.index = 2;
    assert!(check(&wrong_index, 12).is_err_and(|fault| fault.is_forged()));
    let other = regional_proof(&[1, 2]).check(WATCHER + 1, 12, &DigestSigner::new(MachineId::MAX, 7));
    assert!(other.is_err_and(|fault| fault.is_forged()));
    let mut too_long = regional_proof(&[1, 2]);
    too_long.grants = vec![too_long.grants[0]; MAX_GRANTS + 1];
    assert_eq!(check(&too_long, 12), Err(LeaseFault::TooMany(MAX_GRANTS + 1)));
}

#[test]
fn the_partition_time_is_limited() {
    let check_config = |max_partition| Config { max_partition, ..Config::new(0, 1) }.check();
    for valid in [Duration::ZERO, MIN_PARTITION, Duration::from_secs(3600), MAX_PARTITION] {
        assert_eq!(check_config(valid), Ok(()));
    }
    for invalid in [Duration::from_secs(1), MAX_PARTITION + Duration::from_secs(1)] {
        assert_eq!(check_config(invalid), Err(ConfigFault::MaxPartition(invalid)));
    }
}

//! Leases: paths of trees of all sizes, and proofs that show nothing.

use std::time::Duration;

use super::certified::{good_proof, hand, proof};
use crate::lease::{bound, leaf, root_from, Grant, LeaseFault, NonceTree, LEASE, MAX_DEPTH, MAX_GRANTS};
use crate::{Digest, MachineId, Number};

fn leaves(count: u32) -> Vec<Digest> {
    (0..count).map(|controller| leaf(controller, &[7; 16])).collect()
}

#[test]
fn each_path_leads_from_its_leaf_alone_to_the_root() {
    for count in 1..40 {
        let leaves = leaves(count);
        let tree = NonceTree::new(leaves.clone());
        for (index, own) in leaves.iter().enumerate() {
            let path = tree.path(index);
            let leads = |leaf: Digest, index: usize, path: &[Digest]| {
                root_from(leaf, index as u32, path) == Some(tree.root())
            };
            assert!(leads(*own, index, &path));
            assert!(!leads(leaf(count, &[7; 16]), index, &path));
            assert!(!leads(*own, index ^ 1, &path));
            for at in 0..path.len() {
                let mut other = path.clone();
                other[at][0] ^= 1;
                assert!(!leads(*own, index, &other));
                assert!(!leads(*own, index, &path[..at]));
            }
        }
    }
}

#[test]
fn no_two_lists_of_leaves_share_a_root() {
    let mut roots: Vec<Digest> = (0..40).map(|count| NonceTree::new(leaves(count)).root()).collect();
    let three = leaves(3);
    roots.push(NonceTree::new([&three[..], &three[2..]].concat()).root());
    roots.push(NonceTree::new(three.iter().rev().copied().collect()).root());
    // The top of a tree of four, as it stands in one of eight, is no tree of one leaf.
    let top_of_four = NonceTree::new(leaves(8)).path(4)[2];
    roots.push(NonceTree::new(vec![top_of_four]).root());
    // What is an inner node of one tree is no leaf of another.
    let beside = NonceTree::new(leaves(4)).path(0)[1];
    roots.push(NonceTree::new(vec![beside]).root());
    let count = roots.len();
    roots.sort_unstable();
    roots.dedup();
    assert_eq!(roots.len(), count);
}

#[test]
fn a_path_of_no_tree_leads_nowhere() {
    let own = leaf(1, &[7; 16]);
    assert!(root_from(own, 0, &[]).is_some());
    assert_eq!(root_from(own, 1, &[]), None);
    assert_eq!(root_from(own, 4, &[[0; 32]; 2]), None);
    assert!(root_from(own, 0, &[[0; 32]; MAX_DEPTH]).is_some());
    assert_eq!(root_from(own, 0, &[[0; 32]; MAX_DEPTH + 1]), None);
    assert_eq!(root_from(own, u32::MAX, &[[0; 32]; 64]), None);
}

#[test]
fn a_tree_holds_no_more_than_its_depth_allows() {
    let tree = NonceTree::new(vec![[1; 32]; (1 << MAX_DEPTH) + 1]);
    assert_eq!(tree.path(0).len(), MAX_DEPTH);
    assert_eq!(tree.path(1 << MAX_DEPTH), Vec::<Digest>::new());
}

fn checked(grants: &[(MachineId, Number)]) -> Result<(), LeaseFault> {
    proof(&[(1, [1; 16]), (2, [2; 16])], 1, grants).check(2, 10, &hand(0))
}

#[test]
fn a_quorum_of_acceptors_is_counted_by_what_each_allowed() {
    assert_eq!(checked(&[(0, 10), (1, 9), (2, 0)]), Ok(()));
    assert_eq!(checked(&[(0, 10), (1, 9)]), Err(LeaseFault::TooFew(2, 3)));
    assert_eq!(checked(&[]), Err(LeaseFault::TooFew(0, 3)));
    // One that allowed a higher revision does not count, and takes nothing from the others.
    assert_eq!(checked(&[(0, 10), (1, 11), (2, 10)]), Err(LeaseFault::Behind(11)));
    assert_eq!(checked(&[(0, 10), (1, 11), (2, 10), (4, 10)]), Ok(()));
    // The same acceptor twice is one.
    assert_eq!(checked(&[(0, 10), (1, 10), (1, 10)]), Err(LeaseFault::TooFew(2, 3)));
}

#[test]
fn what_acceptors_of_the_ring_did_not_sign_does_not_count() {
    assert_eq!(checked(&[(0, 10), (1, 10), (5, 10)]), Err(LeaseFault::Unsigned(1, 2, 3)));
    let good = good_proof(2, [2; 16], 10);
    let other_tree = good_proof(2, [3; 16], 10);
    type Spoil = fn(&mut Grant);
    let spoils: [Spoil; 4] = [
        |grant| grant.signature[0] ^= 1,
        |grant| grant.allowed -= 1,
        |grant| grant.acceptor = 3,
        |grant| grant.root[0] ^= 1,
    ];
    for spoil in spoils {
        let mut spoiled = good.clone();
        spoil(&mut spoiled.grants[1]);
        assert_eq!(spoiled.check(2, 10, &hand(0)), Err(LeaseFault::Unsigned(1, 2, 3)));
    }
    let mut replayed = good.clone();
    replayed.grants = other_tree.grants;
    assert_eq!(replayed.check(2, 10, &hand(0)), Err(LeaseFault::Unsigned(3, 0, 3)));
    // Another watcher's lease is none of this one's.
    assert_eq!(good.check(3, 10, &hand(0)), Err(LeaseFault::Unsigned(3, 0, 3)));
    assert_eq!(good.check(2, 10, &hand(0)), Ok(()));
}

#[test]
fn a_proof_out_of_bounds_is_refused() {
    let mut long = good_proof(2, [2; 16], 10);
    long.grants = vec![long.grants[0]; MAX_GRANTS + 1];
    assert_eq!(long.check(2, 10, &hand(0)), Err(LeaseFault::TooMany(MAX_GRANTS + 1)));
    let mut deep = good_proof(2, [2; 16], 10);
    deep.path = vec![[0; 32]; MAX_DEPTH + 1];
    assert_eq!(deep.check(2, 10, &hand(0)), Err(LeaseFault::Path(MAX_DEPTH + 1, 1)));
}

#[test]
fn faults_of_the_relay_are_told_from_those_of_acceptors() {
    let forged = [LeaseFault::Path(0, 1), LeaseFault::TooMany(40), LeaseFault::Unsigned(1, 2, 3)];
    assert!(forged.iter().all(LeaseFault::is_forged));
    assert!(!LeaseFault::TooFew(2, 3).is_forged() && !LeaseFault::Behind(11).is_forged());
}

#[test]
fn the_bound_is_a_lease_on_the_slowest_clock_and_what_is_late() {
    assert_eq!(LEASE, Duration::from_secs(6));
    assert_eq!(bound(Duration::from_millis(250)), Duration::from_millis(6060 + 250));
}

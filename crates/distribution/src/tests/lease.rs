//! Tests of leases: paths in trees of all sizes, and proofs that grant nothing.

use std::time::Duration;

use super::certified::{good_proof, proof, signer};
use crate::lease::{
    contradiction_bound, leaf, root_of_path, Grant, LeaseFault, NonceTree, LEASE, MAX_DEPTH, MAX_GRANTS,
};
use crate::{Digest, MachineId, Number};

fn leaves(count: u32) -> Vec<Digest> {
    (0..count).map(|controller| leaf(controller, &[7; 16])).collect()
}

#[test]
fn each_path_leads_to_the_root_only_from_its_leaf() {
    for count in 1..40 {
        let leaves = leaves(count);
        let tree = NonceTree::new(leaves.clone());
        for (index, own_leaf) in leaves.iter().enumerate() {
            let path = tree.path(index);
            let leads_to_root = |leaf: Digest, index: usize, path: &[Digest]| {
                root_of_path(leaf, index as u32, path) == Some(tree.root())
            };
            assert!(leads_to_root(*own_leaf, index, &path));
            assert!(!leads_to_root(leaf(count, &[7; 16]), index, &path));
            assert!(!leads_to_root(*own_leaf, index ^ 1, &path));
            for step in 0..path.len() {
                let mut changed = path.clone();
                changed[step][0] ^= 1;
                assert!(!leads_to_root(*own_leaf, index, &changed));
                assert!(!leads_to_root(*own_leaf, index, &path[..step]));
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
    // The top of a tree of four leaves, as it occurs in a tree of eight, is not a tree of one leaf.
    let top_of_four = NonceTree::new(leaves(8)).path(4)[2];
    roots.push(NonceTree::new(vec![top_of_four]).root());
    // An inner node of one tree is not a leaf of another.
    let sibling = NonceTree::new(leaves(4)).path(0)[1];
    roots.push(NonceTree::new(vec![sibling]).root());
    let count = roots.len();
    roots.sort_unstable();
    roots.dedup();
    assert_eq!(roots.len(), count);
}

#[test]
fn a_path_that_no_tree_has_leads_to_no_root() {
    let own_leaf = leaf(1, &[7; 16]);
    assert!(root_of_path(own_leaf, 0, &[]).is_some());
    assert_eq!(root_of_path(own_leaf, 1, &[]), None);
    assert_eq!(root_of_path(own_leaf, 4, &[[0; 32]; 2]), None);
    assert!(root_of_path(own_leaf, 0, &[[0; 32]; MAX_DEPTH]).is_some());
    assert_eq!(root_of_path(own_leaf, 0, &[[0; 32]; MAX_DEPTH + 1]), None);
    assert_eq!(root_of_path(own_leaf, u32::MAX, &[[0; 32]; 64]), None);
}

#[test]
fn a_tree_holds_no_more_than_its_depth_allows() {
    let tree = NonceTree::new(vec![[1; 32]; (1 << MAX_DEPTH) + 1]);
    assert_eq!(tree.path(0).len(), MAX_DEPTH);
    assert_eq!(tree.path(1 << MAX_DEPTH), Vec::<Digest>::new());
}

fn check_grants(grants: &[(MachineId, Number)]) -> Result<(), LeaseFault> {
    proof(&[(1, [1; 16]), (2, [2; 16])], 1, grants).check(2, 10, &signer(0))
}

#[test]
fn a_quorum_counts_only_acceptors_that_allowed_no_higher_revision() {
    assert_eq!(check_grants(&[(0, 10), (1, 9), (2, 0)]), Ok(()));
    assert_eq!(check_grants(&[(0, 10), (1, 9)]), Err(LeaseFault::TooFew(2, 3)));
    assert_eq!(check_grants(&[]), Err(LeaseFault::TooFew(0, 3)));
    // A grant that allows a higher revision does not count, and does not invalidate the others.
    assert_eq!(check_grants(&[(0, 10), (1, 11), (2, 10)]), Err(LeaseFault::Behind(11)));
    assert_eq!(check_grants(&[(0, 10), (1, 11), (2, 10), (4, 10)]), Ok(()));
    // Two grants of the same acceptor count once.
    assert_eq!(check_grants(&[(0, 10), (1, 10), (1, 10)]), Err(LeaseFault::TooFew(2, 3)));
}

#[test]
fn grants_that_no_acceptor_of_the_ring_signed_do_not_count() {
    assert_eq!(check_grants(&[(0, 10), (1, 10), (5, 10)]), Err(LeaseFault::Unsigned(1, 2, 3)));
    let valid = good_proof(2, [2; 16], 10);
    let other_tree = good_proof(2, [3; 16], 10);
    type Forge = fn(&mut Grant);
    let forgeries: [Forge; 4] = [
        |grant| grant.signature[0] ^= 1,
        |grant| grant.allowed -= 1,
        |grant| grant.acceptor = 3,
        |grant| grant.root[0] ^= 1,
    ];
    for forge in forgeries {
        let mut forged = valid.clone();
        forge(&mut forged.grants[1]);
        assert_eq!(forged.check(2, 10, &signer(0)), Err(LeaseFault::Unsigned(1, 2, 3)));
    }
    let mut replayed = valid.clone();
    replayed.grants = other_tree.grants;
    assert_eq!(replayed.check(2, 10, &signer(0)), Err(LeaseFault::Unsigned(3, 0, 3)));
    // The lease of another watcher is not valid for this one.
    assert_eq!(valid.check(3, 10, &signer(0)), Err(LeaseFault::Unsigned(3, 0, 3)));
    assert_eq!(valid.check(2, 10, &signer(0)), Ok(()));
}

#[test]
fn a_proof_out_of_bounds_is_refused() {
    let mut too_long = good_proof(2, [2; 16], 10);
    too_long.grants = vec![too_long.grants[0]; MAX_GRANTS + 1];
    assert_eq!(too_long.check(2, 10, &signer(0)), Err(LeaseFault::TooMany(MAX_GRANTS + 1)));
    let mut too_deep = good_proof(2, [2; 16], 10);
    too_deep.path = vec![[0; 32]; MAX_DEPTH + 1];
    assert_eq!(too_deep.check(2, 10, &signer(0)), Err(LeaseFault::Path(MAX_DEPTH + 1, 1)));
}

#[test]
fn faults_of_the_relay_are_distinguished_from_those_of_acceptors() {
    let forged = [LeaseFault::Path(0, 1), LeaseFault::TooMany(40), LeaseFault::Unsigned(1, 2, 3)];
    assert!(forged.iter().all(LeaseFault::is_forged));
    assert!(!LeaseFault::TooFew(2, 3).is_forged() && !LeaseFault::Behind(11).is_forged());
}

#[test]
fn the_bound_is_a_lease_on_the_slowest_clock_plus_the_activation_delay() {
    assert_eq!(LEASE, Duration::from_secs(6));
    assert_eq!(contradiction_bound(Duration::from_millis(250)), Duration::from_millis(6060 + 250));
}

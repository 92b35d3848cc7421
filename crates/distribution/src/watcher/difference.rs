//! Comparison of two states.

use std::collections::BTreeMap;

use crate::state::{Edit, State, GROUPS};
use crate::Digest;

/// The edits that lead from one state to another. Only buckets with different digests are compared.
pub(crate) fn difference(from: &State, to: &State) -> Vec<Edit> {
    let (old, new) = (from.group_digests(), to.group_digests());
    let differs = |group: &u8| old.get(usize::from(*group)) != new.get(usize::from(*group));
    let mut edits = Vec::new();
    for group in (0..GROUPS).filter(differs) {
        let old: BTreeMap<u16, Digest> = from.group(group).into_iter().collect();
        let new: BTreeMap<u16, Digest> = to.group(group).into_iter().collect();
        let mut buckets: Vec<u16> = old.keys().chain(new.keys()).copied().collect();
        buckets.sort_unstable();
        buckets.dedup();
        for bucket in buckets.into_iter().filter(|bucket| old.get(bucket) != new.get(bucket)) {
            append_bucket_difference(from, to, bucket, &mut edits);
        }
    }
    edits
}

fn append_bucket_difference(from: &State, to: &State, bucket: u16, edits: &mut Vec<Edit>) {
    for old in from.bucket(bucket) {
        if to.get(&old.key).is_none() {
            edits.push(Edit { key: old.key, value: None });
        }
    }
    for new in to.bucket(bucket) {
        if from.get(&new.key) != Some(&new.value[..]) {
            edits.push(Edit { key: new.key, value: Some(new.value) });
        }
    }
}

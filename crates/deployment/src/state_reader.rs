//! Reads the states of revisions as configurations. Consecutive revisions differ in few keys, so a state is
//! read as a difference to the one before it: only buckets whose digests differ are compared, and unchanged
//! titles are not parsed again.

use std::collections::BTreeMap;
use std::sync::Arc;

use badgerledge_distribution::state::State;
use badgerledge_distribution::Digest;

use crate::entries::{is_reserved, parse_title, text_from_entries, title_id};
use crate::RevisionText;

/// Number of cached states: the active one, the prepared one, and the next.
const CACHED_STATES: usize = 3;

/// The keys in which two states differ, with the values of the second one.
type Differences = BTreeMap<String, Option<Vec<u8>>>;

/// Reads states, and caches the most recent ones.
#[derive(Debug, Default)]
pub struct StateReader {
    /// States with their texts, the most recently read one last.
    cache: Vec<(State, Arc<RevisionText>)>,
}

impl StateReader {
    /// The configuration of a state.
    ///
    /// # Errors
    /// Says what is invalid.
    pub fn read(&mut self, state: &State) -> Result<Arc<RevisionText>, String> {
        let root = state.root();
        if let Some(index) = self.cache.iter().position(|(cached, _)| cached.root() == root) {
            let found = self.cache.remove(index);
            let text = found.1.clone();
            self.cache.push(found);
            return Ok(text);
        }
        let text = match self.cache.last() {
            Some((before, text)) => text_from_earlier(before, text, state)?,
            None => Arc::new(text_from_state(state)?),
        };
        if self.cache.len() >= CACHED_STATES {
            self.cache.remove(0);
        }
        self.cache.push((state.clone(), text.clone()));
        Ok(text)
    }
}

/// Reads the text of a state without an earlier one.
fn text_from_state(state: &State) -> Result<RevisionText, String> {
    let text = text_from_entries(state.entries()).map_err(|fault| fault.to_string())?;
    RevisionText::read(text.as_bytes())
}

/// Reads the text of a state from that of an earlier state: only changed titles are parsed.
fn text_from_earlier(
    before: &State, before_text: &Arc<RevisionText>, state: &State,
) -> Result<Arc<RevisionText>, String> {
    let mut titles = Vec::new();
    for (key, value) in differences(before, state).iter().filter(|(key, _)| !is_reserved(key)) {
        match title_id(key).map_err(|fault| fault.to_string())? {
            Some(id) => {
                let parsed = value.as_ref().map(|value| parse_title(key, value)).transpose();
                let title = parsed.map_err(|fault| fault.to_string())?.flatten().map(|(_, title)| title);
                titles.push((id, title));
            }
            // A setting changed: it may have removed the room type of unchanged titles, so the whole state is
            // read.
            None => return Ok(Arc::new(text_from_state(state)?)),
        }
    }
    if titles.is_empty() {
        return Ok(before_text.clone());
    }
    Ok(Arc::new(before_text.with_titles(titles)?))
}

/// The keys in which two states differ; unchanged groups and buckets are skipped by their digests.
fn differences(before: &State, after: &State) -> Differences {
    let mut differences = Differences::new();
    for (group, (old, new)) in before.group_digests().iter().zip(after.group_digests()).enumerate() {
        if *old == new {
            continue;
        }
        let group = group as u8;
        let (old, new): (BTreeMap<u16, Digest>, BTreeMap<u16, Digest>) =
            (before.group(group).into_iter().collect(), after.group(group).into_iter().collect());
        for bucket in old.keys().chain(new.keys()).filter(|bucket| old.get(bucket) != new.get(bucket)) {
            bucket_differences(before, after, *bucket, &mut differences);
        }
    }
    differences
}

fn bucket_differences(before: &State, after: &State, bucket: u16, differences: &mut Differences) {
    let old: BTreeMap<String, Vec<u8>> =
        before.bucket(bucket).into_iter().map(|entry| (entry.key, entry.value)).collect();
    let mut new: BTreeMap<String, Vec<u8>> =
        after.bucket(bucket).into_iter().map(|entry| (entry.key, entry.value)).collect();
    for (key, value) in old {
        match new.remove(&key) {
            Some(new_value) if new_value == value => {}
            new_value => drop(differences.insert(key, new_value)),
        }
    }
    differences.extend(new.into_iter().map(|(key, value)| (key, Some(value))));
}

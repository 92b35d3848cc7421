//! Reads the states of revisions as configurations. Two revisions in a row differ in few keys, so a state is read from the
//! one before it: only buckets whose digests differ are looked at, and titles that did not change are not read again.

use std::collections::BTreeMap;
use std::sync::Arc;

use badgerledge_distribution::state::State;
use badgerledge_distribution::Digest;

use crate::entries::{is_reserved, text_of, title_id, title_of};
use crate::Text;

/// States that are kept with what was read of them: the one that is acted on, the prepared one, and the next.
const KEPT: usize = 3;

/// The keys in which two states differ, with the values of the second one.
type Differences = BTreeMap<String, Option<Vec<u8>>>;

/// Reads states, and remembers the last ones.
#[derive(Debug, Default)]
pub struct StateReader {
    /// The latest one last.
    kept: Vec<(State, Arc<Text>)>,
}

impl StateReader {
    /// The configuration that a state holds.
    ///
    /// # Errors
    /// Says what is not in order.
    pub fn read(&mut self, state: &State) -> Result<Arc<Text>, String> {
        let root = state.root();
        if let Some(at) = self.kept.iter().position(|(kept, _)| kept.root() == root) {
            let found = self.kept.remove(at);
            let text = found.1.clone();
            self.kept.push(found);
            return Ok(text);
        }
        let text = match self.kept.last() {
            Some((before, text)) => next_text(before, text, state)?,
            None => Arc::new(whole_text(state)?),
        };
        if self.kept.len() >= KEPT {
            self.kept.remove(0);
        }
        self.kept.push((state.clone(), text.clone()));
        Ok(text)
    }
}

fn whole_text(state: &State) -> Result<Text, String> {
    let text = text_of(state.entries()).map_err(|fault| fault.to_string())?;
    Text::read(text.as_bytes())
}

/// The text of a state, of which that of an earlier one was read.
fn next_text(before: &State, read: &Arc<Text>, state: &State) -> Result<Arc<Text>, String> {
    let mut titles = Vec::new();
    for (key, value) in differences(before, state).iter().filter(|(key, _)| !is_reserved(key)) {
        match title_id(key).map_err(|fault| fault.to_string())? {
            Some(id) => {
                let read = value.as_ref().map(|value| title_of(key, value)).transpose();
                let title = read.map_err(|fault| fault.to_string())?.flatten().map(|(_, title)| title);
                titles.push((id, title));
            }
            // A setting: a room type may have gone that titles have, so all is read.
            None => return Ok(Arc::new(whole_text(state)?)),
        }
    }
    if titles.is_empty() {
        return Ok(read.clone());
    }
    Ok(Arc::new(read.with_titles(titles)?))
}

fn differences(before: &State, after: &State) -> Differences {
    let mut found = Differences::new();
    for (group, (old, new)) in before.group_digests().iter().zip(after.group_digests()).enumerate() {
        if *old == new {
            continue;
        }
        let group = group as u8;
        let (old, new): (BTreeMap<u16, Digest>, BTreeMap<u16, Digest>) =
            (before.group(group).into_iter().collect(), after.group(group).into_iter().collect());
        for bucket in old.keys().chain(new.keys()).filter(|bucket| old.get(bucket) != new.get(bucket)) {
            bucket_differences(before, after, *bucket, &mut found);
        }
    }
    found
}

fn bucket_differences(before: &State, after: &State, bucket: u16, found: &mut Differences) {
    let old: BTreeMap<String, Vec<u8>> =
        before.bucket(bucket).into_iter().map(|entry| (entry.key, entry.value)).collect();
    let mut new: BTreeMap<String, Vec<u8>> =
        after.bucket(bucket).into_iter().map(|entry| (entry.key, entry.value)).collect();
    for (key, value) in old {
        match new.remove(&key) {
            Some(now) if now == value => {}
            now => drop(found.insert(key, now)),
        }
    }
    found.extend(new.into_iter().map(|(key, value)| (key, Some(value))));
}

//! The configuration that a fleet starts with, and the changes that authors push.

use std::collections::VecDeque;
use std::time::Duration;

use badgerledge_distribution::change::Change;
use badgerledge_distribution::state::{Edit, Entry, State, StateFault};
use badgerledge_distribution::{Author, Number, Signature};

use crate::scenario::Load;

fn key(index: u32) -> String {
    format!("section-{:02}\tkey-{index:06}", index % 40)
}

/// A value of so many bytes that tells its version.
fn value(version: u64, bytes: u32) -> Vec<u8> {
    let digits = version.to_string();
    digits.bytes().chain(std::iter::repeat(b'.')).take(bytes as usize).collect()
}

/// The configuration at the start.
///
/// # Errors
/// Where it is over a state's bounds.
pub fn genesis(load: &Load) -> Result<State, StateFault> {
    let entry = |index| Entry { key: key(index), value: value(0, load.entry_bytes) };
    State::from_entries((0..load.entries).map(entry))
}

/// An author's changes, in turn, of keys that no other author changes.
#[derive(Clone, Debug)]
pub struct AuthorsChanges {
    author: Author,
    load: Load,
    sequence: u64,
    next_key: u32,
}

impl AuthorsChanges {
    pub fn new(author: Author, load: &Load) -> Self {
        Self { author, load: load.clone(), sequence: 0, next_key: u32::from(author) }
    }

    /// The next change, on this base.
    pub fn next(&mut self, base: Number, sign: impl FnOnce(Author, &[u8]) -> Signature) -> Change {
        self.sequence += 1;
        let mut edits = Vec::new();
        for _ in 0..self.load.edits {
            let value = value(self.sequence, self.load.entry_bytes);
            edits.push(Edit { key: key(self.next_key), value: Some(value) });
            self.next_key += self.load.at_once;
            if self.next_key >= self.load.entries {
                self.next_key = u32::from(self.author);
            }
        }
        let author = self.author;
        Change::sign(author, self.sequence, base, edits, |bytes| sign(author, bytes))
    }
}

/// A change that waits for its outcome, and those behind it: an author pushes one at a time.
#[derive(Debug)]
pub struct Pushes {
    changes: AuthorsChanges,
    /// The highest revision that the author knows.
    base: Number,
    /// When each was to be pushed, with its place among all changes of the run.
    waiting: VecDeque<usize>,
    current: Option<(usize, Change)>,
    /// It was sent, and has no outcome yet.
    sent: bool,
    pub next_try: Duration,
}

/// A push without an outcome is made again, at another machine, after this.
pub const PUSH_AGAIN: Duration = Duration::from_secs(5);
/// A push that was put off is made again after this.
pub const PUSH_PUT_OFF: Duration = Duration::from_secs(1);

impl Pushes {
    pub fn new(author: Author, load: &Load) -> Self {
        Self {
            changes: AuthorsChanges::new(author, load),
            base: 0,
            waiting: VecDeque::new(),
            current: None,
            sent: false,
            next_try: Duration::MAX,
        }
    }

    /// A change is to be pushed; `place` is its place among all changes of the run.
    pub fn add(&mut self, now: Duration, place: usize) {
        self.waiting.push_back(place);
        if self.current.is_none() {
            self.next_try = now;
        }
    }

    /// The change that is under way, or the next one.
    pub fn current(&mut self, sign: impl FnOnce(Author, &[u8]) -> Signature) -> Option<&Change> {
        if self.current.is_none() {
            let place = self.waiting.pop_front()?;
            self.current = Some((place, self.changes.next(self.base, sign)));
        }
        self.current.as_ref().map(|(_, change)| change)
    }

    /// The current change was sent.
    pub fn sent(&mut self, now: Duration) {
        self.next_try = now + PUSH_AGAIN;
        self.sent = true;
    }

    /// Whether the current change was sent, and its outcome has not come in time.
    pub fn is_overdue(&self, now: Duration) -> bool {
        self.sent && now >= self.next_try
    }

    /// The current change is sent again as soon as may be.
    pub fn retry(&mut self, now: Duration) {
        (self.sent, self.next_try) = (false, now);
    }

    /// Whether this is the outcome of the current change, and its place among all.
    pub fn outcome_of(&self, sequence: u64) -> Option<usize> {
        let (place, change) = self.current.as_ref()?;
        (change.id.sequence == sequence).then_some(*place)
    }

    /// The current change has its outcome; the author knows this revision now.
    pub fn settled(&mut self, now: Duration, base: Number) {
        (self.current, self.sent) = (None, false);
        self.base = self.base.max(base);
        self.next_try = if self.waiting.is_empty() { Duration::MAX } else { now };
    }

    /// The current change is to be pushed again a little later.
    pub fn put_off(&mut self, now: Duration) {
        (self.sent, self.next_try) = (false, now + PUSH_PUT_OFF);
    }
}

//! The configuration that a fleet starts with, and the changes that authors push.

use std::collections::VecDeque;
use std::time::Duration;

use anyhow::{Context, Result};
use badgerledge_deployment::{entries, kinds};
use badgerledge_distribution::change::Change;
use badgerledge_distribution::state::{Edit, State};
use badgerledge_distribution::{Author, Number, Signature};
use badgerledge_settings::IniFile;

use crate::scenario::{Fleet, Load};

/// Cells that titles lie on.
const CELLS: u32 = 4;
/// Bytes of a title's lines beside the name of its room type.
pub const TITLE_BYTES: u32 = 40;

/// The room type of all titles; its name makes a title's entry as long as the load says.
fn room_type(load: &Load) -> String {
    let length = load.entry_bytes.saturating_sub(TITLE_BYTES).max(1);
    "r".repeat(length as usize)
}

fn key(index: u32) -> String {
    format!("title {:x}", 0x1000 + index)
}

/// The lines of a title, in their canonical form.
fn title(cell: u32, load: &Load) -> String {
    format!("copies = 1\nfirst_cell = {}\nroom_type = {}\n", cell % CELLS, room_type(load))
}

/// The name of a zone.
pub fn zone_name(zone: u16) -> String {
    format!("zone-{zone}")
}

/// The settings that all controllers share, without titles.
pub fn shared_settings(fleet: &Fleet, load: &Load) -> String {
    let zones: Vec<String> = (0..fleet.zones()).map(zone_name).collect();
    format!(
        "[fleet]\nzones = {}\nkinds = k\nkind_streams = 50\ncells = {CELLS}\nracks = 2\nlink_unit_kb = 1000\n\
         links_kb = 4000\nuplink_kb = 2000\nreport = x0, x1\n[ladder]\nrates_kb = 10, 20\nbenefit = 0.5, 1\n\
         [room_type {}]\njoin_objective_ms = 1000\nclient_timeout_ms = 2000\nbenefit = 1\n\
         [rules]\ndrain_grace_ms = 200\n",
        zones.join(", "),
        room_type(load)
    )
}

/// The titles at the start.
pub fn titles(load: &Load) -> String {
    (0..load.entries).map(|index| format!("[{}]\n{}", key(index), title(0, load))).collect()
}

/// The state of revision 0.
///
/// # Errors
/// Where it is over a state's bounds.
pub fn genesis(fleet: &Fleet, load: &Load) -> Result<State> {
    let sheet = IniFile::parse("the first configuration", &(shared_settings(fleet, load) + &titles(load)))?;
    let entries = entries::entries_from_text(&kinds::canonical(&sheet)).context("the first configuration")?;
    State::from_entries(entries).context("[load] entries")
}

/// An author's changes, in turn, of keys that no other author changes.
#[derive(Clone, Debug)]
pub struct AuthorsChanges {
    author: Author,
    load: Load,
    sequence: u64,
    next_key: u32,
    version: u32,
    /// Titles that this author brought.
    brought: u32,
}

impl AuthorsChanges {
    pub fn new(author: Author, load: &Load) -> Self {
        Self { author, load: load.clone(), sequence: 0, next_key: u32::from(author), version: 1, brought: 0 }
    }

    /// The next change, on this base.
    pub fn next(&mut self, base: Number, sign: impl FnOnce(Author, &[u8]) -> Signature) -> Change {
        self.sequence += 1;
        let edits = match self.load.is_exclusive(self.sequence) {
            true => self.moved(),
            false => self.new_titles(),
        };
        let author = self.author;
        Change::sign(author, self.sequence, base, edits, |bytes| sign(author, bytes))
    }

    /// Titles that lie elsewhere from then on.
    fn moved(&mut self) -> Vec<Edit> {
        let mut edits = Vec::new();
        for _ in 0..self.load.edits {
            let lines = title(self.version, &self.load);
            edits.push(Edit { key: key(self.next_key), value: Some(lines.into_bytes()) });
            self.next_key += self.load.at_once;
            if self.next_key >= self.load.entries {
                self.next_key = u32::from(self.author);
                // Each round of its titles moves them on.
                self.version += 1;
            }
        }
        edits
    }

    /// Titles that come.
    fn new_titles(&mut self) -> Vec<Edit> {
        let mut edits = Vec::new();
        for _ in 0..self.load.edits {
            let index = self.load.entries + self.brought * self.load.at_once + u32::from(self.author);
            self.brought += 1;
            edits.push(Edit { key: key(index), value: Some(title(0, &self.load).into_bytes()) });
        }
        edits
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

//! Revisions of a day: pushes by operators, ways between controllers that fail one way or both, processes that are
//! killed, stopped or lose their disks; and what reached the streamers, held against the bound.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

use anyhow::{bail, Context, Result};
use badgerledge_core::interface::Asked;
use badgerledge_deployment::kinds::canonical;
use badgerledge_deployment::Shared;
use badgerledge_revision_tool::{Client, Push, Voice};
use badgerledge_revisions::order::Report;
use badgerledge_revisions::{bound, lease_for};
use badgerledge_settings::{one_of, within, Sheet};
use badgerledge_ways::Way;
use garde::Validate;
use serde::Deserialize;

/// `[revisions]` of a day.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct RevisionsDay {
    /// So many controllers, the first ones, certify.
    #[garde(custom(within(1, 7)))]
    pub keepers: u16,
    #[garde(custom(one_of(&["wait", "hold"])))]
    pub regime: String,
    /// Whether positions of lists are told to other members.
    #[garde(skip)]
    #[serde(default = "yes")]
    pub lists: bool,
    /// Whether all that run at the end must act on the same revision, none of them held back.
    #[garde(skip)]
    #[serde(default)]
    pub settles: bool,
    /// How many revisions must be acted on by the end.
    #[garde(skip)]
    #[serde(default)]
    pub acted_on: u32,
}

fn yes() -> bool {
    true
}

/// `[push NAME]`: an operator changes one key of what a controller acts on, and pushes it there.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct PushDay {
    #[garde(custom(within(0.0, 3600.0)))]
    pub at_s: f64,
    #[garde(skip)]
    pub controller: usize,
    #[garde(skip)]
    pub section: String,
    #[garde(skip)]
    pub key: String,
    #[garde(skip)]
    pub value: String,
}

/// `[way NAME]`: how what goes from some controllers to others fares for a while. Ends are numbers, `zone NAME`, `keepers`,
/// `others` (all that are not) or `all`.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct WayDay {
    #[garde(custom(within(0.0, 3600.0)))]
    pub at_s: f64,
    #[garde(custom(within(0.0, 3600.0)))]
    pub for_s: f64,
    #[garde(skip)]
    pub from: Vec<String>,
    #[garde(skip)]
    pub to: Vec<String>,
    /// The way back too.
    #[garde(skip)]
    #[serde(default)]
    pub both: bool,
    #[garde(skip)]
    #[serde(default)]
    pub cut: bool,
    #[garde(custom(within(0.0, 1.0)))]
    #[serde(default)]
    pub loss: f64,
    #[garde(custom(within(0.0, 1.0)))]
    #[serde(default)]
    pub doubled: f64,
    #[garde(custom(within(0, 60_000)))]
    #[serde(default)]
    pub late_ms: u64,
    #[garde(custom(within(0, 60_000)))]
    #[serde(default)]
    pub spread_ms: u64,
    /// Bytes a second of a stream; 0 is as fast as it comes.
    #[garde(skip)]
    #[serde(default)]
    pub slow: u64,
    #[garde(skip)]
    #[serde(default)]
    pub reset: bool,
    #[garde(skip)]
    #[serde(default)]
    pub half_open: bool,
}

impl WayDay {
    pub fn way(&self) -> Way {
        Way {
            cut: self.cut,
            loss: self.loss,
            doubled: self.doubled,
            late: Duration::from_millis(self.late_ms),
            spread: Duration::from_millis(self.spread_ms),
            slow: Some(self.slow).filter(|slow| *slow > 0),
            reset: self.reset,
            half_open: self.half_open,
        }
    }
}

/// `[process NAME]`: controllers are killed or stopped for a while, by number.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ProcessDay {
    #[garde(custom(within(0.0, 3600.0)))]
    pub at_s: f64,
    #[garde(custom(within(0.0, 3600.0)))]
    pub for_s: f64,
    #[garde(length(min = 1))]
    pub controllers: Vec<usize>,
    #[garde(custom(one_of(&["kill", "stop"])))]
    pub what: String,
    /// Killed, they also lose what they stored.
    #[garde(skip)]
    #[serde(default)]
    pub without_disk: bool,
}

/// All of a day.
#[derive(Clone, Debug)]
pub struct Script {
    pub told: RevisionsDay,
    pub pushes: Vec<(String, PushDay)>,
    pub ways: Vec<WayDay>,
    pub processes: Vec<ProcessDay>,
}

/// A set-up as it came to a streamer.
#[derive(Clone, Copy, Debug)]
pub struct SetUp {
    pub at: Duration,
    /// The streamer's cell, and the title's first cell and copies.
    pub cell: u32,
    pub first_cell: u32,
    pub copies: u32,
}

/// What a push came to: its exit code, or what was wrong on the way.
pub type Pushed = (String, Result<u8, String>);

/// Operators at work, each in a thread: their programs wait for answers.
pub struct Operators {
    folder: PathBuf,
    own: Vec<SocketAddr>,
    tell: Sender<Pushed>,
    heard: Receiver<Pushed>,
    out: usize,
}

impl Operators {
    pub fn new(folder: &Path, own: &[SocketAddr]) -> Self {
        let (tell, heard) = channel();
        Self { folder: folder.to_owned(), own: own.to_vec(), tell, heard, out: 0 }
    }

    pub fn push(&mut self, name: &str, told: &PushDay) {
        let Some(at) = self.own.get(told.controller).copied() else { return };
        let (name, told, folder, tell) =
            (name.to_owned(), told.clone(), self.folder.clone(), self.tell.clone());
        self.out += 1;
        std::thread::spawn(move || {
            let code = push(&name, &told, &folder, at).map_err(|fault| format!("{fault:#}"));
            let _ = tell.send((name, code));
        });
    }

    /// What all pushes came to.
    pub fn all(&mut self) -> Vec<Pushed> {
        (0..std::mem::take(&mut self.out)).filter_map(|_| self.heard.recv().ok()).collect()
    }

    /// What each controller that runs says of itself.
    pub fn reports(&self, running: &[usize]) -> Vec<(usize, Result<Report>)> {
        let ask =
            |number: &usize| (*number, Client::connect(self.own[*number]).and_then(|mut one| one.status()));
        running.iter().map(ask).collect()
    }
}

fn push(name: &str, told: &PushDay, folder: &Path, at: SocketAddr) -> Result<u8> {
    let latest = Client::connect(at)?.latest()?;
    let text = with_value(&latest, &told.section, &told.key, &told.value)?;
    let file = folder.join(format!("push-{name}.ini"));
    std::fs::write(&file, text).with_context(|| file.display().to_string())?;
    badgerledge_revision_tool::push(
        &Push { at, key: folder.join(AUTHOR), file, catalogue: None, wait: 0 },
        &Voice { json: true },
    )
}

/// The author's key in a day's folder.
pub const AUTHOR: &str = "key-author";

/// The text with another value of a key, in its one form.
fn with_value(text: &str, section: &str, key: &str, value: &str) -> Result<String> {
    let head = format!("[{section}]\n");
    if !text.contains(&head) {
        bail!("the text has no section {section}");
    }
    let mut within = false;
    let mut changed = String::new();
    for line in text.lines() {
        let starts = line.starts_with('[');
        within = if starts { line == head.trim_end() } else { within };
        let ours = within && line.split_once('=').is_some_and(|(name, _)| name.trim() == key);
        if !ours {
            changed += line;
            changed += "\n";
        }
        if starts && within {
            changed += &format!("{key} = {value}\n");
        }
    }
    let sheet = Sheet::parse("a push", &changed)?;
    Shared::of(&sheet)?;
    Ok(canonical(&sheet))
}

/// What came of a day's revisions.
#[derive(Clone, Debug)]
pub struct Revised {
    pub told: RevisionsDay,
    pub pushed: Vec<Pushed>,
    /// How long set-ups came that only an earlier number of cells allows, after the first that only a later one does.
    pub overlap: Duration,
    pub bound: Duration,
    /// Changes of the number of cells that were seen in set-ups.
    pub seen: usize,
    /// Set-ups that no number of cells allows.
    pub strays: usize,
    /// What each running controller acts on in the end, and whether it holds back.
    pub active: Vec<(usize, Option<(u32, bool)>)>,
}

impl Revised {
    pub fn good(&self) -> bool {
        let first = self.active.first().and_then(|one| one.1);
        let same = self.active.iter().all(|one| one.1 == first) && first.is_some_and(|(_, held)| !held);
        let acted = first.map_or(0, |one| one.0) >= self.told.acted_on;
        self.overlap <= self.bound
            && self.seen > 0
            && self.strays == 0
            && (!self.told.settles || same && acted)
    }
}

impl std::fmt::Display for Revised {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let word = if self.good() { "in order" } else { "NOT in order" };
        let mut acting: BTreeMap<String, usize> = BTreeMap::new();
        for (_, one) in &self.active {
            let name = one.map_or("no answer".to_owned(), |(number, held)| {
                format!("{number}{}", if held { ", held back" } else { "" })
            });
            *acting.entry(name).or_default() += 1;
        }
        writeln!(
            f,
            "revisions  {word}: contradicting set-ups for {:.2} s at most ({:.2} allowed), {} changes of cells seen, {} strays; \
             in the end {:?}",
            self.overlap.as_secs_f64(),
            self.bound.as_secs_f64(),
            self.seen,
            self.strays,
            acting
        )?;
        for (name, code) in &self.pushed {
            writeln!(f, "push  {name}: {code:?}")?;
        }
        Ok(())
    }
}

/// How long two controllers may act on contradicting revisions in a day.
pub fn day_bound(members: usize, tick: Duration) -> Duration {
    bound(lease_for(members), tick * 2)
}

/// Holds the set-ups that came to streamers against each other: one that only one of all numbers of cells allows shows
/// that this number was acted on then; and after the first that shows a later one, it may be for so long. Gives the
/// longest that it was, how many pairs of numbers were seen, and set-ups that none allows.
pub fn judge(set_ups: &[SetUp], cells: &BTreeSet<u32>) -> (Duration, usize, usize) {
    let mut shown: BTreeMap<u32, (Duration, Duration)> = BTreeMap::new();
    let mut strays = 0;
    for set_up in set_ups {
        let asked = Asked { first_cell: set_up.first_cell, copies: set_up.copies, ..Asked::default() };
        let allowed: Vec<u32> =
            cells.iter().copied().filter(|cells| asked.held_by(set_up.cell, *cells)).collect();
        match allowed[..] {
            [] => strays += 1,
            [one] => {
                let (first, last) = shown.entry(one).or_insert((set_up.at, set_up.at));
                (*first, *last) = (set_up.at.min(*first), set_up.at.max(*last));
            }
            _ => {}
        }
    }
    let mut spans: Vec<(Duration, Duration)> = shown.into_values().collect();
    spans.sort_unstable();
    let mut longest = Duration::ZERO;
    for (n, before) in spans.iter().enumerate() {
        let over = spans[n + 1..].iter().map(|after| before.1.saturating_sub(after.0));
        longest = over.fold(longest, Duration::max);
    }
    (longest, spans.len().saturating_sub(1), strays)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn set_up(at: u64, cell: u32) -> SetUp {
        SetUp { at: Duration::from_millis(at), cell, first_cell: 5, copies: 1 }
    }

    /// A title whose first cell is 5 lies on cell 1 of 4 and on cell 2 of 3.
    #[test]
    fn set_ups_under_two_rules_at_once_are_found() {
        let cells = BTreeSet::from([3, 4]);
        let good = [set_up(0, 1), set_up(900, 1), set_up(1000, 2), set_up(2000, 2)];
        assert_eq!(judge(&good, &cells), (Duration::ZERO, 1, 0));
        let late = [set_up(0, 1), set_up(1000, 2), set_up(1700, 1), set_up(9000, 2)];
        assert_eq!(judge(&late, &cells), (Duration::from_millis(700), 1, 0));
        assert_eq!(judge(&[set_up(0, 0)], &cells), (Duration::ZERO, 0, 1));
    }

    #[test]
    fn a_key_is_changed_in_its_section_alone() {
        let text = "[room_type a]\nbenefit = 1\nfloor = 1\n[room_type b]\nbenefit = 1\n";
        assert!(with_value(text, "room_type c", "benefit", "2").is_err());
        let within = "[room_type a]\nbenefit = 1\nfloor = 1\n[room_type b]\nbenefit = 2\n";
        let sheet = |text: &str| Sheet::parse("x", text).unwrap();
        let changed: String = text.replace("[room_type b]\nbenefit = 1\n", "[room_type b]\nbenefit = 2\n");
        assert_eq!(canonical(&sheet(&changed)), canonical(&sheet(within)));
    }
}

//! Operators of a day, who push revisions with the program that people use.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{bail, Context, Result};
use badgerledge_deployment::kinds::canonical;
use badgerledge_revision_tool::{Client, OutputFormat, Push};
use badgerledge_revisions::requests::Report;
use badgerledge_settings::Sheet;

use crate::script::PushDay;

/// What a push came to: its exit code, or what was wrong on the way.
pub type Pushed = (String, Result<u8, String>);

/// Operators at work, each in a thread: their programs wait for answers.
pub struct Operators {
    folder: PathBuf,
    own: Vec<SocketAddr>,
    tell: Sender<Pushed>,
    heard: Receiver<Pushed>,
    out: usize,
    /// What each controller said to act on when it was last asked, where the day wants to know.
    acts_on: Arc<Mutex<BTreeMap<usize, u32>>>,
}

/// Each controller is asked what it acts on this often.
const ASK_EVERY: Duration = Duration::from_millis(250);

impl Operators {
    pub fn new(folder: &Path, own: &[SocketAddr]) -> Self {
        let (tell, heard) = channel();
        Self { folder: folder.to_owned(), own: own.to_vec(), tell, heard, out: 0, acts_on: Arc::default() }
    }

    /// Asks each controller over and over what it acts on, until this is dropped.
    pub fn watch(&self) {
        for (number, at) in self.own.iter().copied().enumerate() {
            let acts_on = Arc::downgrade(&self.acts_on);
            std::thread::spawn(move || {
                while let Some(acts_on) = acts_on.upgrade() {
                    let said = Client::connect(at).and_then(|mut one| one.status());
                    if let (Ok(report), Ok(mut acts_on)) = (said, acts_on.lock()) {
                        acts_on.insert(number, report.active);
                    }
                    drop(acts_on);
                    std::thread::sleep(ASK_EVERY);
                }
            });
        }
    }

    /// Those that said to act on a revision when they were last asked.
    pub fn acting_on(&self, revision: u32) -> Vec<usize> {
        let acts_on = self.acts_on.lock().map(|acts_on| acts_on.clone()).unwrap_or_default();
        acts_on.into_iter().filter(|(_, active)| *active == revision).map(|(number, _)| number).collect()
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

    /// The text that a controller acts on.
    pub fn active(&self, number: usize) -> Result<String> {
        Client::connect(self.own[number])?.active_text()
    }

    /// What each controller that runs says of itself.
    pub fn reports(&self, running: &[usize]) -> Vec<(usize, Result<Report>)> {
        let ask =
            |number: &usize| (*number, Client::connect(self.own[*number]).and_then(|mut one| one.status()));
        running.iter().map(ask).collect()
    }
}

fn push(name: &str, told: &PushDay, folder: &Path, at: SocketAddr) -> Result<u8> {
    let latest = Client::connect(at)?.latest_text()?;
    let mut text = with_value(&latest, told)?;
    for line in told.also.iter().flat_map(|also| also.split("; ")) {
        let line_of =
            line.split_once(": ").and_then(|(section, rest)| Some((section, rest.split_once(" = ")?)));
        let (section, (key, value)) =
            line_of.with_context(|| format!("{line}: SECTION: KEY = VALUE is taken"))?;
        let (section, key, value) = (section.to_owned(), key.to_owned(), value.to_owned());
        text = with_value(&text, &PushDay { section, key, value, remove: false, ..told.clone() })?;
    }
    let key = folder.join(author_key(told.author));
    let one = |file: PathBuf, text: String| {
        std::fs::write(&file, text).with_context(|| file.display().to_string())?;
        let push = Push { at, key: key.clone(), file, catalogue: None, wait: 0 };
        badgerledge_revision_tool::push(&push, &OutputFormat { json: true })
    };
    let code = one(folder.join(format!("push-{name}.ini")), text.clone())?;
    for turn in 0..told.flood {
        // Each is in order, and another text for the same number or the next.
        let other = PushDay {
            section: "prices".to_owned(),
            key: "moves".to_owned(),
            value: format!("{}", 0.01 + 0.0001 * f64::from(turn)),
            ..told.clone()
        };
        let _ = one(folder.join(format!("push-{name}-flood.ini")), with_value(&text, &other)?)?;
    }
    Ok(code)
}

/// The file of an author's key in a day's folder.
pub fn author_key(author: u16) -> String {
    format!("key-author-{author}")
}

/// The text with what a push changes, in its one form. What it comes to may be out of order: that is for who takes it to say.
fn with_value(text: &str, told: &PushDay) -> Result<String> {
    let PushDay { section, key, value, remove, .. } = told;
    let head = format!("[{section}]");
    let (mut within, mut found) = (false, false);
    let mut changed = String::new();
    for line in text.lines() {
        let starts = line.starts_with('[');
        within = if starts { line == head } else { within };
        found |= within;
        let whole = within && key.is_empty() && *remove;
        let ours = within && line.split_once('=').is_some_and(|(name, _)| name.trim() == key);
        if !ours && !whole {
            changed += line;
            changed += "\n";
        }
        if starts && within && !remove && !key.is_empty() {
            changed += &format!("{key} = {value}\n");
        }
    }
    if *remove && !found {
        bail!("the text has no section {section}");
    }
    if !found {
        // A section that comes as a whole is told as lines, parted by semicolons.
        let lines = if key.is_empty() { value.replace("; ", "\n") } else { format!("{key} = {value}") };
        changed += &format!("{head}\n{lines}\n");
    }
    Ok(canonical(&Sheet::parse("a push", &changed)?))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(section: &str, key: &str, value: &str, remove: bool) -> PushDay {
        let (section, key, value) = (section.to_owned(), key.to_owned(), value.to_owned());
        let (at_s, controller, author, flood) = (0.0, 0, 0, 0);
        let also = None;
        PushDay { at_s, controller, section, key, value, also, remove, author, flood, comes_to: None }
    }

    #[test]
    fn a_key_is_changed_in_its_section_alone() {
        let text = "[room_type a]\nbenefit = 1\nfloor = 1\n[room_type b]\nbenefit = 1\n";
        let with = |told: PushDay| with_value(text, &told).unwrap();
        let changed = text.replace("[room_type b]\nbenefit = 1\n", "[room_type b]\nbenefit = 2\n");
        assert_eq!(with(told("room_type b", "benefit", "2", false)), changed);
        assert_eq!(with(told("room_type a", "floor", "", true)), text.replace("floor = 1\n", ""));
        assert_eq!(with(told("room_type b", "", "", true)), text[..text.find("[room_type b]").unwrap()]);
        assert!(with_value(text, &told("room_type c", "", "", true)).is_err());
        let come = with(told("title 2a", "", "copies = 1; first_cell = 3; room_type = a", false));
        assert!(with(told("prices", "moves", "0.1", false)).ends_with("[prices]\nmoves = 0.1\n"));
        assert_eq!(come, format!("{text}[title 2a]\ncopies = 1\nfirst_cell = 3\nroom_type = a\n"));
    }
}

//! `badgerledge-revision`: checks, compares, pushes and watches revisions of the shared settings.

mod client;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::{bail, Context, Result};
use badgerledge_catalogue::Catalogue;
use badgerledge_deployment::kinds::{canonical, changes, revised, Change, Kind, Side};
use badgerledge_deployment::SHARED_SECTIONS;
use badgerledge_keys::{PrivateKey, Role};
use badgerledge_revisions::message::MemberRemoval;
use badgerledge_revisions::requests::{self, Report, Request, Response};
use badgerledge_revisions::{digest, Head, Member, Signed};
use badgerledge_settings::Sheet;
use clap::{Parser, Subcommand};
use serde_json::json;

pub use crate::client::Client;

/// Revisions of the settings that all controllers share.
///
/// Exit codes: 0 done; 1 something was wrong on the way; 2 refused, and nothing has changed; 3 certified or pushed, and
/// not acted on in the time given.
#[derive(Parser)]
#[command(name = "badgerledge-revision", version)]
struct Command {
    /// A line of JSON for each thing said
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Says whether a file's shared sections are in order, and their digest
    Check {
        file: PathBuf,
        /// A file of titles that goes with it, where the titles go with revisions
        #[arg(long)]
        catalogue: Option<PathBuf>,
    },
    /// Says what changes from one file to another, or from what a controller acts on
    Diff {
        /// The file that counts now
        #[arg(required_unless_present = "at")]
        from: Option<PathBuf>,
        /// The file that is to count
        #[arg(long)]
        to: PathBuf,
        /// Take what the controller at this address acts on as what counts now
        #[arg(long, conflicts_with = "from")]
        at: Option<SocketAddr>,
        /// A file of titles that goes with the one that is to count
        #[arg(long)]
        catalogue: Option<PathBuf>,
    },
    /// Makes a file's shared sections the next revision, and waits until they are acted on
    Push(Push),
    /// The same with the file that counted before: going back is a new number
    Back(Push),
    /// Says what controllers act on, who is waited for, and who holds back
    Status {
        /// Where they take orders: the address of their gossip
        #[arg(required = true)]
        at: Vec<SocketAddr>,
    },
    /// Says that a member is off for good, so that no change waits for it; what it acts on, if it is not, is not bounded
    Force {
        #[arg(long)]
        at: SocketAddr,
        #[arg(long)]
        key: PathBuf,
        /// The member's number
        #[arg(long)]
        gone: Member,
        /// It is there again, and waited for
        #[arg(long)]
        back: bool,
    },
    /// Makes the state of a keeper that was never there, in its state folder
    Found { state: PathBuf },
}

#[derive(clap::Args)]
pub struct Push {
    /// A controller that takes orders: the address of its gossip
    #[arg(long)]
    pub at: SocketAddr,
    /// The author's private key
    #[arg(long)]
    pub key: PathBuf,
    /// An INI file with all shared sections, and where the titles go with revisions all titles; others are passed over
    pub file: PathBuf,
    /// A file of titles that goes with it
    #[arg(long)]
    pub catalogue: Option<PathBuf>,
    /// How long to wait until that controller acts on it, in seconds; 0 does not wait
    #[arg(long, default_value_t = 60)]
    pub wait: u64,
}

pub const DONE: u8 = 0;
pub const REFUSED: u8 = 2;
pub const NOT_YET: u8 = 3;

/// Runs the program on these arguments, the first of them its name.
pub fn main_with(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command = Command::parse_from(arguments);
    match carry_out(command.what, &Voice { json: command.json }) {
        Ok(code) => ExitCode::from(code),
        Err(fault) => {
            eprintln!("badgerledge-revision: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

/// How things are said.
pub struct Voice {
    pub json: bool,
}

impl Voice {
    fn say(&self, line: serde_json::Value, text: &str) {
        if self.json {
            println!("{line}");
        } else {
            println!("{text}");
        }
    }
}

fn carry_out(what: What, voice: &Voice) -> Result<u8> {
    match what {
        What::Check { file, catalogue } => {
            let text = canonical(&read(&file, catalogue.as_deref())?);
            let of = hex::encode(digest(text.as_bytes()));
            let (path, bytes) = (file.display().to_string(), text.len());
            voice.say(
                json!({"file": path, "bytes": bytes, "digest": of}),
                &format!("{path}: in order, {bytes} bytes, {of}"),
            );
            Ok(DONE)
        }
        What::Diff { from, to, at, catalogue } => {
            let from = match (from, at) {
                (Some(from), _) => read(&from, None)?,
                (None, Some(at)) => Sheet::parse(&at.to_string(), &Client::connect(at)?.active()?)?,
                (None, None) => bail!("a file or --at is wanted"),
            };
            tell_changes(&changes(&from, &read(&to, catalogue.as_deref())?), voice);
            Ok(DONE)
        }
        What::Push(told) | What::Back(told) => push(&told, voice),
        What::Status { at } => {
            for at in at {
                tell_status(at, &Client::connect(at)?.status()?, voice);
            }
            Ok(DONE)
        }
        What::Force { at, key, gone, back } => force(at, &key, gone, !back, voice),
        What::Found { state } => {
            badgerledge_controller::revising::create_state(&state)?;
            let path = state.display().to_string();
            voice.say(json!({"founded": path}), &format!("{path}: a keeper's state, with nothing signed"));
            Ok(DONE)
        }
    }
}

/// A file whose shared sections are in order, with its titles or those of another file.
fn read(file: &Path, catalogue: Option<&Path>) -> Result<Sheet> {
    let mut sheet = Sheet::read(file)?;
    if let Some(titles) = catalogue {
        let text = sheet.copy(&SHARED_SECTIONS) + &Catalogue::read(titles)?.text();
        sheet = Sheet::parse(&format!("{} with {}", file.display(), titles.display()), &text)?;
    }
    revised(&sheet)?;
    Ok(sheet)
}

fn author(key: &Path) -> Result<(PrivateKey, Member)> {
    let private = PrivateKey::read(key)?;
    match private.role() {
        Role::Author(author) => Ok((private, author)),
        role => bail!("{}: the key of {role}; revisions are signed by an author", key.display()),
    }
}

/// Makes a file's shared sections the next revision.
///
/// # Errors
/// Where the key, the file or the controller is not in order; what the controller refuses is an exit code.
pub fn push(told: &Push, voice: &Voice) -> Result<u8> {
    let (private, author) = author(&told.key)?;
    let sheet = read(&told.file, told.catalogue.as_deref())?;
    let text = canonical(&sheet);
    let mut client = Client::connect(told.at)?;
    let latest = Sheet::parse("certified", &client.latest()?)?;
    let found = changes(&latest, &sheet);
    tell_changes(&found, voice);
    if found.is_empty() {
        return Ok(DONE);
    }
    let before = client.status()?;
    let follows = hex::decode(&before.digest).ok().and_then(|of| of.try_into().ok()).context("a digest")?;
    let head = Head::new(before.certified + 1, follows, author, text.as_bytes());
    let signed = Signed { head, signature: private.sign(&head.signed_bytes()) };
    let order = Request::Push { head: requests::to_hex(&signed), bytes: text.len() };
    let begun = Instant::now();
    match client.ask(&order, text.as_bytes())? {
        (Response::Taken, _) => {}
        (Response::Refused(why), _) => {
            voice.say(json!({"refused": why}), &format!("refused: {why}"));
            return Ok(REFUSED);
        }
        (other, _) => bail!("{}: answers {other:?}", told.at),
    }
    let number = head.number;
    voice.say(json!({"pushed": number}), &format!("revision {number} is pushed"));
    wait_for(&mut client, told, &signed, begun, voice)
}

/// Waits until the controller acts on it, saying who is waited for.
fn wait_for(client: &mut Client, told: &Push, signed: &Signed, begun: Instant, voice: &Voice) -> Result<u8> {
    let (number, ours) = (signed.head.number, hex::encode(signed.head.digest()));
    let mut said = None;
    while begun.elapsed() < Duration::from_secs(told.wait) {
        let status = client.status()?;
        if status.certified == number && status.digest != ours {
            let why = format!("another revision was certified as {number}");
            voice.say(json!({"refused": why}), &format!("refused: {why}"));
            return Ok(REFUSED);
        }
        if status.active >= number {
            let ms = begun.elapsed().as_millis() as u64;
            voice.say(
                json!({"active": number, "ms": ms}),
                &format!("revision {number} is acted on, after {ms} ms"),
            );
            return Ok(DONE);
        }
        let now = (status.certified >= number, status.waited_for);
        if said.as_ref() != Some(&now) {
            let (certified, waited_for) = &now;
            let text = match certified {
                true => format!("certified; waits for {waited_for:?}"),
                false => "waits for the keepers".to_owned(),
            };
            voice.say(json!({"certified": certified, "waited_for": waited_for}), &text);
            said = Some(now);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    if told.wait > 0 {
        voice.say(
            json!({"not_yet": number}),
            &format!("revision {number} is not acted on yet; `status` says who is waited for"),
        );
        return Ok(NOT_YET);
    }
    Ok(DONE)
}

fn force(at: SocketAddr, key: &Path, member: Member, gone: bool, voice: &Voice) -> Result<u8> {
    let (private, author) = author(key)?;
    // Later than all words before it, by this operator's clock: one that is behind is refused, and says so.
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
    let mut word =
        MemberRemoval { member, sequence: since.as_secs() as u32, removed: gone, author, signature: [0; 64] };
    word.signature = private.sign(&word.signed_bytes());
    match Client::connect(at)?.ask(&Request::Gone { gone: requests::to_hex(&word) }, &[])? {
        (Response::Taken, _) => {
            let how = if gone { "is waited for no more" } else { "is waited for" };
            voice.say(json!({"member": member, "gone": gone}), &format!("member {member} {how}"));
            Ok(DONE)
        }
        (Response::Refused(why), _) => {
            voice.say(json!({"refused": why}), &format!("refused: {why}"));
            Ok(REFUSED)
        }
        (other, _) => bail!("{at}: answers {other:?}"),
    }
}

fn tell_changes(found: &[Change], voice: &Voice) {
    if found.is_empty() {
        voice.say(json!({"changes": 0}), "nothing changes");
    }
    for change in found {
        let Change { section, key, from, to, kind } = change;
        let (kind, effect) = effect(*kind);
        let shown = |value: &Option<String>| value.clone().unwrap_or_else(|| "(not given)".to_owned());
        voice.say(
            json!({"section": section, "key": key, "from": from, "to": to, "kind": kind, "effect": effect}),
            &format!("[{section}] {key}: {} to {}, {kind}: {effect}", shown(from), shown(to)),
        );
    }
}

/// A kind's name, and what a change of such a key will do.
fn effect(kind: Kind) -> (&'static str, &'static str) {
    match kind {
        Kind::Free => ("free", "each acts on it once it has it"),
        Kind::Exclusive => ("exclusive", "nobody acts on it before all that are not excused have it"),
        Kind::Stricter(side) => (
            "stricter",
            match side {
                Side::Lower => "until all have it, each that has it keeps to the lower value",
                Side::Higher => "until all have it, each that has it keeps to the higher value",
                Side::LowerBut0 => {
                    "until all have it, each that has it keeps to the lower value, 0 being none"
                }
                Side::False => "until all have it, each that has it does what both permit",
            },
        ),
    }
}

fn tell_status(at: SocketAddr, told: &Report, voice: &Voice) {
    let mut text = format!(
        "{at} member {}: acts on {} ({}), certified {}, {}, contradictions end within {} ms",
        told.member, told.active, told.source, told.certified, told.regime, told.bound_ms
    );
    if let Some(prepared) = told.prepared {
        text += &format!("; prepared {prepared}");
    }
    if !told.waited_for.is_empty() {
        text += &format!("; waits for {:?}", told.waited_for);
    }
    if let Some(held) = &told.held {
        text += &format!("; holds new joins back ({held})");
    }
    if let Some(keeper) = &told.keeper {
        text += &format!("; keeper, {keeper}");
    }
    let mut line = serde_json::to_value(told).unwrap_or_default();
    line["at"] = json!(at);
    voice.say(line, &text);
}

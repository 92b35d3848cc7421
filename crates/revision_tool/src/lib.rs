//! The `badgerledge-revision` command line tool: checks, compares and pushes revisions of the shared settings, and shows
//! their status on controllers.

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
/// Exit codes: 0 success; 1 error; 2 refused, nothing has changed; 3 pushed or certified, but not active within the time
/// given.
#[derive(Parser)]
#[command(name = "badgerledge-revision", version)]
struct Command {
    /// Print one line of JSON per result instead of text
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Validates a file's shared sections and prints their digest
    Check {
        file: PathBuf,
        /// The file of titles to include, where titles are part of revisions
        #[arg(long)]
        catalogue: Option<PathBuf>,
    },
    /// Shows the changes from one file to another, or from the active revision of a controller
    Diff {
        /// The current file
        #[arg(required_unless_present = "at")]
        from: Option<PathBuf>,
        /// The new file
        #[arg(long)]
        to: PathBuf,
        /// Compare with the active revision of the controller at this address instead of a file
        #[arg(long, conflicts_with = "from")]
        at: Option<SocketAddr>,
        /// The file of titles to include in the new file
        #[arg(long)]
        catalogue: Option<PathBuf>,
    },
    /// Pushes a file's shared sections as the next revision, and waits until it is active
    Push(Push),
    /// Pushes an earlier file: a rollback is a new revision with a new number
    Back(Push),
    /// Shows each controller's active revision, the members it waits for, and whether it holds back new joins
    Status {
        /// The gossip address of each controller, which also takes requests
        #[arg(required = true)]
        at: Vec<SocketAddr>,
    },
    /// Removes a member for good, so that no change waits for it. If it still runs, nothing bounds how long it acts on an
    /// old revision
    Force {
        #[arg(long)]
        at: SocketAddr,
        #[arg(long)]
        key: PathBuf,
        /// The member's number
        #[arg(long)]
        gone: Member,
        /// Restore the member: changes wait for it again
        #[arg(long)]
        back: bool,
    },
    /// Creates the initial state of a new acceptor in its state folder
    Found { state: PathBuf },
}

/// Arguments of `push` and `back`.
#[derive(clap::Args)]
pub struct Push {
    /// The gossip address of a controller, which also takes requests
    #[arg(long)]
    pub at: SocketAddr,
    /// The author's private key
    #[arg(long)]
    pub key: PathBuf,
    /// An INI file with all shared sections, and with all titles where titles are part of revisions; other sections are
    /// ignored
    pub file: PathBuf,
    /// The file of titles to include
    #[arg(long)]
    pub catalogue: Option<PathBuf>,
    /// How long to wait until the revision is active on that controller, in seconds; 0 does not wait
    #[arg(long, default_value_t = 60)]
    pub wait: u64,
}

/// Exit code: the command succeeded.
pub const DONE: u8 = 0;
/// Exit code: refused, and nothing has changed.
pub const REFUSED: u8 = 2;
/// Exit code: pushed or certified, but not active within the time given.
pub const NOT_YET: u8 = 3;

/// Runs the program with these arguments; the first one is the program name.
pub fn main_with(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command = Command::parse_from(arguments);
    match run(command.what, &OutputFormat { json: command.json }) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("badgerledge-revision: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Where results go: standard output, as text or as JSON.
pub struct OutputFormat {
    /// Print JSON lines instead of text.
    pub json: bool,
}

impl OutputFormat {
    fn print(&self, json_line: serde_json::Value, text: &str) {
        if self.json {
            println!("{json_line}");
        } else {
            println!("{text}");
        }
    }
}

fn run(what: What, output: &OutputFormat) -> Result<u8> {
    match what {
        What::Check { file, catalogue } => {
            let text = canonical(&read(&file, catalogue.as_deref())?);
            let digest_hex = hex::encode(digest(text.as_bytes()));
            let (path, bytes) = (file.display().to_string(), text.len());
            output.print(
                json!({"file": path, "bytes": bytes, "digest": digest_hex}),
                &format!("{path}: valid, {bytes} bytes, digest {digest_hex}"),
            );
            Ok(DONE)
        }
        What::Diff { from, to, at, catalogue } => {
            let from = match (from, at) {
                (Some(from), _) => read(&from, None)?,
                (None, Some(at)) => Sheet::parse(&at.to_string(), &Client::connect(at)?.active_text()?)?,
                (None, None) => bail!("a file or --at is required"),
            };
            print_changes(&changes(&from, &read(&to, catalogue.as_deref())?), output);
            Ok(DONE)
        }
        What::Push(arguments) | What::Back(arguments) => push(&arguments, output),
        What::Status { at } => {
            for address in at {
                print_status(address, &Client::connect(address)?.status()?, output);
            }
            Ok(DONE)
        }
        What::Force { at, key, gone, back } => force(at, &key, gone, !back, output),
        What::Found { state } => {
            badgerledge_controller::revising::create_state(&state)?;
            let path = state.display().to_string();
            output.print(
                json!({"founded": path}),
                &format!("{path}: created the state of a new acceptor, which has signed nothing"),
            );
            Ok(DONE)
        }
    }
}

/// Reads and validates a file's shared sections, with its own titles or those of another file.
fn read(file: &Path, catalogue: Option<&Path>) -> Result<Sheet> {
    let mut sheet = Sheet::read(file)?;
    if let Some(titles) = catalogue {
        let text = sheet.copy(&SHARED_SECTIONS) + &Catalogue::read(titles)?.text();
        sheet = Sheet::parse(&format!("{} with {}", file.display(), titles.display()), &text)?;
    }
    revised(&sheet)?;
    Ok(sheet)
}

/// Reads an author's private key.
fn read_author_key(key: &Path) -> Result<(PrivateKey, Member)> {
    let private = PrivateKey::read(key)?;
    match private.role() {
        Role::Author(author) => Ok((private, author)),
        role => bail!("{}: this is the key of {role}, but revisions are signed by an author", key.display()),
    }
}

/// Pushes a file's shared sections as the next revision and returns the exit code.
///
/// # Errors
/// If the key or the file is invalid, or the controller cannot be reached. A refusal by the controller is an exit code.
pub fn push(arguments: &Push, output: &OutputFormat) -> Result<u8> {
    let (private, author) = read_author_key(&arguments.key)?;
    let sheet = read(&arguments.file, arguments.catalogue.as_deref())?;
    let text = canonical(&sheet);
    let mut client = Client::connect(arguments.at)?;
    let latest = Sheet::parse("certified", &client.latest_text()?)?;
    let changes = changes(&latest, &sheet);
    print_changes(&changes, output);
    if changes.is_empty() {
        return Ok(DONE);
    }
    let status = client.status()?;
    let predecessor = hex::decode(&status.digest)
        .ok()
        .and_then(|bytes| bytes.try_into().ok())
        .context("invalid digest in the controller's status")?;
    let head = Head::new(status.certified + 1, predecessor, author, text.as_bytes());
    let signed = Signed { head, signature: private.sign(&head.signed_bytes()) };
    let request = Request::Push { head: requests::to_hex(&signed), bytes: text.len() };
    let pushed_at = Instant::now();
    match client.send_request(&request, text.as_bytes())? {
        (Response::Taken, _) => {}
        (Response::Refused(reason), _) => {
            output.print(json!({"refused": reason}), &format!("refused: {reason}"));
            return Ok(REFUSED);
        }
        (other, _) => bail!("{}: unexpected response to the push: {other:?}", arguments.at),
    }
    let number = head.number;
    output.print(json!({"pushed": number}), &format!("pushed revision {number}"));
    wait_until_active(&mut client, arguments, &signed, pushed_at, output)
}

/// Waits until the revision is active on the controller, and prints which members it waits for.
fn wait_until_active(
    client: &mut Client, arguments: &Push, signed: &Signed, pushed_at: Instant, output: &OutputFormat,
) -> Result<u8> {
    let (number, own_digest) = (signed.head.number, hex::encode(signed.head.digest()));
    let mut last_progress = None;
    while pushed_at.elapsed() < Duration::from_secs(arguments.wait) {
        let status = client.status()?;
        if status.certified == number && status.digest != own_digest {
            let reason = format!("another revision was certified as {number}");
            output.print(json!({"refused": reason}), &format!("refused: {reason}"));
            return Ok(REFUSED);
        }
        if status.active >= number {
            let ms = pushed_at.elapsed().as_millis() as u64;
            output.print(
                json!({"active": number, "ms": ms}),
                &format!("revision {number} is active after {ms} ms"),
            );
            return Ok(DONE);
        }
        let progress = (status.certified >= number, status.waited_for);
        if last_progress.as_ref() != Some(&progress) {
            let (certified, waited_for) = &progress;
            let text = match certified {
                true => format!("certified; waiting for members {waited_for:?}"),
                false => "waiting for the acceptors to certify it".to_owned(),
            };
            output.print(json!({"certified": certified, "waited_for": waited_for}), &text);
            last_progress = Some(progress);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    if arguments.wait > 0 {
        output.print(
            json!({"not_yet": number}),
            &format!("revision {number} is not active yet; `status` shows which members it waits for"),
        );
        return Ok(NOT_YET);
    }
    Ok(DONE)
}

/// Removes a member from those that changes wait for, or restores it.
fn force(at: SocketAddr, key: &Path, member: Member, removed: bool, output: &OutputFormat) -> Result<u8> {
    let (private, author) = read_author_key(key)?;
    // The sequence number is this machine's clock in seconds, so that it exceeds that of earlier statements. With a clock
    // that is behind, the statement is refused with that reason.
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
    let mut removal =
        MemberRemoval { member, sequence: since_epoch.as_secs() as u32, removed, author, signature: [0; 64] };
    removal.signature = private.sign(&removal.signed_bytes());
    match Client::connect(at)?.send_request(&Request::Gone { gone: requests::to_hex(&removal) }, &[])? {
        (Response::Taken, _) => {
            let effect = if removed {
                "is removed: no change waits for it"
            } else {
                "is restored: changes wait for it"
            };
            output.print(json!({"member": member, "gone": removed}), &format!("member {member} {effect}"));
            Ok(DONE)
        }
        (Response::Refused(reason), _) => {
            output.print(json!({"refused": reason}), &format!("refused: {reason}"));
            Ok(REFUSED)
        }
        (other, _) => bail!("{at}: unexpected response to the removal: {other:?}"),
    }
}

fn print_changes(changes: &[Change], output: &OutputFormat) {
    if changes.is_empty() {
        output.print(json!({"changes": 0}), "no changes");
    }
    for change in changes {
        let Change { section, key, from, to, kind } = change;
        let (kind, effect) = effect(*kind);
        let display = |value: &Option<String>| value.clone().unwrap_or_else(|| "(unset)".to_owned());
        output.print(
            json!({"section": section, "key": key, "from": from, "to": to, "kind": kind, "effect": effect}),
            &format!("[{section}] {key}: {} to {}, {kind}: {effect}", display(from), display(to)),
        );
    }
}

/// The name of a kind of setting, and how a change of such a setting takes effect.
fn effect(kind: Kind) -> (&'static str, &'static str) {
    match kind {
        Kind::Free => ("free", "each controller applies it on receipt"),
        Kind::Exclusive => ("exclusive", "no controller applies it before all members, except excused ones, have it"),
        Kind::Stricter(side) => (
            "stricter",
            match side {
                Side::Lower => "until all have it, each controller that has it applies the lower value",
                Side::Higher => "until all have it, each controller that has it applies the higher value",
                Side::LowerBut0 => {
                    "until all have it, each controller that has it applies the lower value, where 0 means none"
                }
                Side::False => "until all have it, each controller that has it does only what both values permit",
            },
        ),
    }
}

fn print_status(address: SocketAddr, report: &Report, output: &OutputFormat) {
    let mut text = format!(
        "{address} member {}: active {} ({}), certified {}, {}, contradictions end within {} ms",
        report.member, report.active, report.source, report.certified, report.regime, report.bound_ms
    );
    if let Some(prepared) = report.prepared {
        text += &format!("; prepared {prepared}");
    }
    if !report.waited_for.is_empty() {
        text += &format!("; waits for members {:?}", report.waited_for);
    }
    if let Some(hold_reason) = &report.held {
        text += &format!("; holds back new joins ({hold_reason})");
    }
    if let Some(acceptor) = &report.keeper {
        text += &format!("; acceptor, {acceptor}");
    }
    let mut json_line = serde_json::to_value(report).unwrap_or_default();
    json_line["at"] = json!(address);
    output.print(json_line, &text);
}

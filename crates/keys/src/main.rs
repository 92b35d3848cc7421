//! `badgerledge-keys`: generates, lists, checks and revokes the keys of controllers.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{bail, Context, Result};
use badgerledge_gossip::{Member, MAX_MEMBERS};
use badgerledge_keys::{PrivateKey, Ring, Role};
use badgerledge_settings::IniFile;
use clap::{Parser, Subcommand};

/// Manages the keys with which controllers sign their messages to each other.
#[derive(Parser)]
#[command(name = "badgerledge-keys", version)]
struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Generates a private key in a new file, and adds its public key to a ring
    Make {
        /// The number of the member that owns the key
        #[arg(long, required_unless_present = "author")]
        member: Option<Member>,
        /// The number of the author of revisions that owns the key
        #[arg(long, conflicts_with = "member")]
        author: Option<Member>,
        /// The file of the private key; must not exist yet
        #[arg(long)]
        out: PathBuf,
        /// The ring's INI file; created if it does not exist
        #[arg(long)]
        ring: PathBuf,
    },
    /// Sets the acceptors, the members that certify revisions: an odd number, each with a persistent disk
    Keepers {
        ring: PathBuf,
        /// The numbers of the members
        #[arg(required = true, value_delimiter = ',')]
        members: Vec<Member>,
    },
    /// Lists the members of a ring with their valid keys
    List { ring: PathBuf },
    /// Checks that a private key is valid and in the ring
    Check { ring: PathBuf, key: PathBuf },
    /// Revokes a public key in a ring; controllers apply it when they next read the file
    Revoke {
        ring: PathBuf,
        /// The public key, in hex
        key: String,
    },
}

fn main() -> ExitCode {
    match run(Command::parse().what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("badgerledge-keys: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(what: What) -> Result<()> {
    match what {
        What::Make { member, author, out, ring } => {
            let role = author.map(Role::Author).or(member.map(Role::Member));
            make(role.context("--member or --author is required")?, &out, &ring)
        }
        What::Keepers { ring, members } => set_acceptors(&ring, &members),
        What::List { ring } => list(&Ring::read(&ring)?),
        What::Check { ring, key } => {
            let private = PrivateKey::read(&key)?;
            let (role, public) = (private.role(), private.public_hex());
            if !Ring::read(&ring)?.has_public_key(&private) {
                bail!("{role} has no valid key {public} in {}", ring.display());
            }
            println!("{}: in order, {role}, {public}", key.display());
            Ok(())
        }
        What::Revoke { ring, key } => revoke(&ring, &key),
    }
}

/// The sections of a ring: name, valid keys (of `keepers`: the members), and revoked keys.
type Sections = Vec<(String, Vec<String>, Vec<String>)>;

/// Reads and validates the sections of a ring; none if the file does not exist.
fn read_sections(path: &Path) -> Result<Sections> {
    if !path.exists() {
        return Ok(Vec::new());
    }
    let sheet = IniFile::read(path)?;
    Ring::of(&sheet)?;
    let list = |section: &str, key: &str| -> Vec<String> {
        let value = sheet.value(section, key).unwrap_or_default();
        value
            .split(',')
            .map(|element| element.trim().to_owned())
            .filter(|element| !element.is_empty())
            .collect()
    };
    let read_section = |section: &str| {
        let keys = if section == "keepers" { "members" } else { "keys" };
        (section.to_owned(), list(section, keys), list(section, "revoked"))
    };
    Ok(sheet.sections().map(read_section).collect())
}

/// Validates a ring and replaces its file atomically: controllers read either the old or the new ring.
fn write(path: &Path, sections: &Sections) -> Result<()> {
    let mut text = String::new();
    for (section, keys, revoked) in sections {
        let key = if section == "keepers" { "members" } else { "keys" };
        text += &format!("[{section}]\n{key} = {}\n", keys.join(", "));
        if !revoked.is_empty() {
            text += &format!("revoked = {}\n", revoked.join(", "));
        }
        text += "\n";
    }
    Ring::of(&IniFile::parse(&path.display().to_string(), &text)?)?;
    let new_file = path.with_extension("fresh");
    let mut file = File::create(&new_file).with_context(|| new_file.display().to_string())?;
    file.write_all(text.as_bytes()).and_then(|()| file.sync_all()).context("writing the ring")?;
    std::fs::rename(&new_file, path).with_context(|| path.display().to_string())
}

/// Generates a key in a new file, and adds its public key to the ring.
fn make(role: Role, out: &Path, ring: &Path) -> Result<()> {
    let (Role::Member(number) | Role::Author(number)) = role;
    if usize::from(number) >= MAX_MEMBERS {
        bail!("{role}: the number must be between 0 and {}", MAX_MEMBERS - 1);
    }
    let mut sections = read_sections(ring)?;
    let private = PrivateKey::generate(role)?;
    let name = role.to_string();
    match sections.iter_mut().find(|section| section.0 == name) {
        Some((_, keys, _)) if keys.len() >= 2 => {
            bail!("{role} already has two valid keys; revoke one first");
        }
        Some((_, keys, _)) => keys.push(private.public_hex()),
        None => sections.push((name, vec![private.public_hex()], Vec::new())),
    }
    private.write(out)?;
    write(ring, &sections)?;
    println!("{}: {role}, {}", out.display(), private.public_hex());
    Ok(())
}

/// Sets the members that certify revisions.
fn set_acceptors(ring: &Path, members: &[Member]) -> Result<()> {
    let mut sections = read_sections(ring)?;
    sections.retain(|section| section.0 != "keepers");
    let numbers: Vec<String> = members.iter().map(Member::to_string).collect();
    println!("{}: {} certify revisions", ring.display(), numbers.join(", "));
    sections.push(("keepers".to_owned(), numbers, Vec::new()));
    write(ring, &sections)
}

/// Prints the valid keys of all members.
fn list(ring: &Ring) -> Result<()> {
    for member in ring.members() {
        for key in ring.member_keys(*member) {
            println!("member {member:<5} {}", hex::encode(key.to_bytes()));
        }
    }
    Ok(())
}

/// Moves a key from the valid to the revoked keys of its owner.
fn revoke(path: &Path, key: &str) -> Result<()> {
    let mut sections = read_sections(path)?;
    let Some((name, keys, revoked)) =
        sections.iter_mut().find(|section| section.1.iter().any(|valid| valid == key))
    else {
        bail!("{}: no member or author has the valid key {key}", path.display());
    };
    keys.retain(|valid| valid != key);
    revoked.push(key.to_owned());
    println!("{name}: {key} is revoked, {} left", keys.len());
    write(path, &sections)
}

//! `badgerledge-keys`: makes, lists, checks and revokes the keys of controllers.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{bail, Context, Result};
use badgerledge_gossip::{Member, MAX_MEMBERS};
use badgerledge_keys::{PrivateKey, Ring, Role};
use badgerledge_settings::Sheet;
use clap::{Parser, Subcommand};

/// Keys that controllers sign their words to each other with.
#[derive(Parser)]
#[command(name = "badgerledge-keys", version)]
struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Makes a private key in a new file, and adds its public half to a ring
    Make {
        /// The member whose key it is
        #[arg(long, required_unless_present = "author")]
        member: Option<Member>,
        /// The author of revisions whose key it is
        #[arg(long, conflicts_with = "member")]
        author: Option<Member>,
        /// The new file of the private key
        #[arg(long)]
        out: PathBuf,
        /// The ring's INI file; made where it is not there
        #[arg(long)]
        ring: PathBuf,
    },
    /// Names the members that certify revisions: an odd count, each with a disk that it keeps
    Keepers {
        ring: PathBuf,
        /// Their numbers
        #[arg(required = true, value_delimiter = ',')]
        members: Vec<Member>,
    },
    /// Lists the members of a ring with the keys that hold
    List { ring: PathBuf },
    /// Says whether a private key is in order and in the ring
    Check { ring: PathBuf, key: PathBuf },
    /// Revokes a public key in a ring; controllers take it at their next look at the file
    Revoke {
        ring: PathBuf,
        /// The public key, in hex
        key: String,
    },
}

fn main() -> ExitCode {
    match carry_out(Command::parse().what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("badgerledge-keys: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn carry_out(what: What) -> Result<()> {
    match what {
        What::Make { member, author, out, ring } => {
            let role = author.map(Role::Author).or(member.map(Role::Member));
            make(role.context("--member or --author is wanted")?, &out, &ring)
        }
        What::Keepers { ring, members } => keepers(&ring, &members),
        What::List { ring } => list(&Ring::read(&ring)?),
        What::Check { ring, key } => {
            let private = PrivateKey::read(&key)?;
            let (role, public) = (private.role(), private.public());
            if !Ring::read(&ring)?.holds_public(&private) {
                bail!("{role} has no key {public} in {} that holds", ring.display());
            }
            println!("{}: in order, {role}, {public}", key.display());
            Ok(())
        }
        What::Revoke { ring, key } => revoke(&ring, &key),
    }
}

/// What a ring says of each member and author: whose, keys, and revoked ones.
type Lines = Vec<(String, Vec<String>, Vec<String>)>;

fn lines(path: &Path) -> Result<Lines> {
    if !path.exists() {
        return Ok(Vec::new());
    }
    let sheet = Sheet::read(path)?;
    Ring::of(&sheet)?;
    let list = |section: &str, key: &str| -> Vec<String> {
        let told = sheet.value(section, key).unwrap_or_default();
        told.split(',').map(|one| one.trim().to_owned()).filter(|one| !one.is_empty()).collect()
    };
    let one = |section: &str| {
        let keys = if section == "keepers" { "members" } else { "keys" };
        (section.to_owned(), list(section, keys), list(section, "revoked"))
    };
    Ok(sheet.sections().map(one).collect())
}

/// Writes a ring beside the old one and puts it in its place: a controller reads the one or the other, whole.
fn write(path: &Path, lines: &Lines) -> Result<()> {
    let mut text = String::new();
    for (section, keys, revoked) in lines {
        let key = if section == "keepers" { "members" } else { "keys" };
        text += &format!("[{section}]\n{key} = {}\n", keys.join(", "));
        if !revoked.is_empty() {
            text += &format!("revoked = {}\n", revoked.join(", "));
        }
        text += "\n";
    }
    Ring::of(&Sheet::parse(&path.display().to_string(), &text)?)?;
    let fresh = path.with_extension("fresh");
    let mut file = File::create(&fresh).with_context(|| fresh.display().to_string())?;
    file.write_all(text.as_bytes()).and_then(|()| file.sync_all()).context("writing the ring")?;
    std::fs::rename(&fresh, path).with_context(|| path.display().to_string())
}

fn make(role: Role, out: &Path, ring: &Path) -> Result<()> {
    let (Role::Member(number) | Role::Author(number)) = role;
    if usize::from(number) >= MAX_MEMBERS {
        bail!("{role}: 0 to {} is taken", MAX_MEMBERS - 1);
    }
    let mut lines = lines(ring)?;
    let private = PrivateKey::make(role)?;
    let name = role.to_string();
    match lines.iter_mut().find(|line| line.0 == name) {
        Some((_, keys, _)) if keys.len() >= 2 => {
            bail!("{role} has two keys already; revoke one first");
        }
        Some((_, keys, _)) => keys.push(private.public()),
        None => lines.push((name, vec![private.public()], Vec::new())),
    }
    private.write(out)?;
    write(ring, &lines)?;
    println!("{}: {role}, {}", out.display(), private.public());
    Ok(())
}

fn keepers(ring: &Path, members: &[Member]) -> Result<()> {
    let mut lines = lines(ring)?;
    lines.retain(|line| line.0 != "keepers");
    let names: Vec<String> = members.iter().map(Member::to_string).collect();
    println!("{}: {} certify revisions", ring.display(), names.join(", "));
    lines.push(("keepers".to_owned(), names, Vec::new()));
    write(ring, &lines)
}

fn list(ring: &Ring) -> Result<()> {
    for member in ring.members() {
        for key in ring.keys(*member) {
            println!("member {member:<5} {}", hex::encode(key.to_bytes()));
        }
    }
    Ok(())
}

fn revoke(path: &Path, key: &str) -> Result<()> {
    let mut lines = lines(path)?;
    let Some((name, keys, revoked)) = lines.iter_mut().find(|line| line.1.iter().any(|held| held == key))
    else {
        bail!("{}: nobody has the key {key}", path.display());
    };
    keys.retain(|held| held != key);
    revoked.push(key.to_owned());
    println!("{name}: {key} is revoked, {} left", keys.len());
    write(path, &lines)
}

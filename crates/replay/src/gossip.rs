//! Gossip of a day: keys for all controllers, liars among them, and what their logs say of each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use badgerledge_core::interface::StreamerId;
use badgerledge_gossip::statement::ITEM_BYTES;
use badgerledge_gossip::{Event, Gossip, Member, Transport};
use badgerledge_keys::{Keys, PrivateKey, Ring, Role};
use badgerledge_reactor::{Reactor, ReactorEvent, SocketId};
use badgerledge_settings::{within, Sheet};
use garde::Validate;
use serde::Deserialize;

use crate::operators::author_key;

/// `[gossip]` of a day.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct GossipDay {
    /// Members with good keys that say, over and over, that a healthy streamer loses joins.
    #[garde(custom(within(0, 16)))]
    #[serde(default)]
    pub liars: u32,
    /// Payload bytes that no controller may send in any second.
    #[garde(custom(within(1, 1_000_000)))]
    pub ceiling_bytes: usize,
    /// All live controllers must hold for dead those that were killed for good, so long after it.
    #[garde(custom(within(1.0, 600.0)))]
    pub settled_within_s: f64,
    /// Ways are cut and processes stopped on this day: who is not reached for long is rightly held for dead.
    #[garde(skip)]
    #[serde(default)]
    pub splits: bool,
    /// Whether strain of streamers is told beside lost joins.
    #[garde(skip)]
    #[serde(default)]
    pub strain: bool,
}

const RING: &str = "ring.ini";
/// Authors of a day, so that one is left when another's key is revoked.
const AUTHORS: Member = 2;

/// Where keys and ring of a day lie.
pub struct KeyFolder(PathBuf);

impl KeyFolder {
    /// Makes a key for each member.
    pub fn make(folder: &Path, members: u32, keepers: u16) -> Result<Self> {
        let made = Self(folder.to_owned());
        let mut ring = String::new();
        for member in 0..members {
            let key = PrivateKey::make(Role::Member(member as Member))?;
            ring += &format!("[member {member}]\nkeys = {}\n", key.public());
            // A folder that was kept from an earlier run has keys already; they are not in this ring.
            let _ = std::fs::remove_file(made.key(member));
            key.write(&made.key(member))?;
        }
        if keepers > 0 {
            for number in 0..AUTHORS {
                let author = PrivateKey::make(Role::Author(number))?;
                ring += &format!("[author {number}]\nkeys = {}\n", author.public());
                let path = folder.join(author_key(number));
                let _ = std::fs::remove_file(&path);
                author.write(&path)?;
            }
            let names: Vec<String> = (0..keepers).map(|keeper| keeper.to_string()).collect();
            ring += &format!("[keepers]\nmembers = {}\n", names.join(", "));
        }
        std::fs::write(made.ring(), ring).with_context(|| made.ring().display().to_string())?;
        Ok(made)
    }

    /// An author's key holds no more from the next reading of the ring on.
    pub fn revoke(folder: &Path, author: Member) -> Result<()> {
        let path = folder.join(RING);
        let ring = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
        let key = PrivateKey::read(&folder.join(author_key(author)))?.public();
        let whole = format!("keys = {key}\n");
        // In one step: whoever reads it reads the one or the other.
        let beside = folder.join("ring.new");
        std::fs::write(&beside, ring.replace(&whole, &format!("{whole}revoked = {key}\n")))?;
        std::fs::rename(&beside, &path).with_context(|| path.display().to_string())
    }

    pub fn ring(&self) -> PathBuf {
        self.0.join(RING)
    }

    pub fn key(&self, member: u32) -> PathBuf {
        self.0.join(format!("key-{member}"))
    }

    fn keys(&self, member: u32) -> Result<Keys> {
        let private = PrivateKey::read(&self.key(member))?;
        Keys::new(private, Ring::of(&Sheet::read(&self.ring())?)?)
            .context("a key that the ring does not hold")
    }
}

/// A lie is told anew this often, in new words.
const LIES_EVERY: Duration = Duration::from_millis(500);

/// A member that gossips as all do, but for what it says of one streamer.
pub struct Liar {
    gossip: Gossip<Keys>,
    line: SocketId,
    of: StreamerId,
    lies_at: Duration,
}

/// Sends what gossip says on its line.
fn transport(reactor: &Reactor, line: SocketId) -> impl Transport + '_ {
    move |to: SocketAddrV4, bytes: &[u8]| {
        reactor.send_to(line, SocketAddr::V4(to), bytes);
    }
}

impl Liar {
    pub fn new(
        reactor: &mut Reactor, keys: &KeyFolder, member: u32, seeds: &[SocketAddr], of: StreamerId, seed: u64,
    ) -> Result<Self> {
        let (line, at) = reactor.bind_datagrams(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let v4 = |at: &SocketAddr| match at {
            SocketAddr::V4(at) => Some(*at),
            SocketAddr::V6(_) => None,
        };
        let at = v4(&at).context("an IPv4 address")?;
        let seeds = seeds.iter().filter_map(v4).collect();
        let now = reactor.now();
        let gossip = Gossip::new(member as Member, keys.keys(member)?, 1, at, seeds, now, seed);
        Ok(Self { gossip, line, of, lies_at: now })
    }

    pub fn next_due(&self) -> Duration {
        self.gossip.next_due().min(self.lies_at)
    }

    pub fn take(&mut self, reactor: &Reactor, now: Duration, happening: &ReactorEvent) -> bool {
        let ReactorEvent::Datagram { socket: line, from: SocketAddr::V4(from), bytes } = happening else {
            return false;
        };
        if *line == self.line {
            let mut events: Vec<Event> = Vec::new();
            let _ = self.gossip.handle_datagram(
                now,
                *from,
                bytes,
                &mut transport(reactor, self.line),
                &mut events,
            );
        }
        *line == self.line
    }

    pub fn tend(&mut self, reactor: &Reactor, now: Duration) {
        if now >= self.lies_at {
            self.lies_at = now + LIES_EVERY;
            self.gossip.publish(now, vec![lie(self.of)]);
        }
        if now >= self.gossip.next_due() {
            self.gossip.tick(now, &mut transport(reactor, self.line), &mut Vec::new());
        }
    }
}

/// That joins are lost on a streamer at this moment (the item's form is the failure-reports package's).
fn lie(of: StreamerId) -> [u8; ITEM_BYTES] {
    let mut item = [0; ITEM_BYTES];
    item[..4].copy_from_slice(&of.ip().octets());
    item[4..6].copy_from_slice(&of.port().to_be_bytes());
    item[6] = 1;
    item
}

/// What the logs of the controllers that lived to the end say of the others.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    /// Seconds from the killing to the last live controller's holding the last killed one for dead; nothing where
    /// one never did.
    pub settled_s: Option<f64>,
    /// Pairs of live controllers of which one held the other for dead at any time.
    pub false_deaths: usize,
    /// Times that a streamer was set aside by what others said, and that it was the one lied about.
    pub believed: usize,
    pub lies_believed: usize,
}

/// Joins that were lost by a streamer's silence or end, by all logs.
pub fn joins_lost(folder: &Path, controllers: usize) -> usize {
    let log = |number| std::fs::read_to_string(folder.join(format!("controller-{number}.log")));
    let logs = (0..controllers).filter_map(|number| log(number).ok());
    logs.map(|log| log.lines().filter(|line| line.contains("join lost streamer=")).count()).sum()
}

/// Reads the logs. `killed` are controllers that were killed for good, at that wall time.
pub fn membership(
    folder: &Path, controllers: usize, killed: &BTreeSet<usize>, killed_at: Option<SystemTime>,
    lied_of: Option<StreamerId>,
) -> Membership {
    let mut found = Membership::default();
    let since = killed_at.and_then(|at| at.duration_since(UNIX_EPOCH).ok()).unwrap_or_default().as_secs_f64();
    let (mut last, mut all) = (0.0f64, true);
    for number in (0..controllers).filter(|number| !killed.contains(number)) {
        let log =
            std::fs::read_to_string(folder.join(format!("controller-{number}.log"))).unwrap_or_default();
        let mut dead: BTreeMap<usize, f64> = BTreeMap::new();
        for line in log.lines() {
            if line.contains("believed to be in trouble") {
                found.believed += 1;
                let lied = lied_of.is_some_and(|of| line.contains(&format!("streamer={of}")));
                found.lies_believed += usize::from(lied);
            }
            let Some((member, standing, at)) = standing(line) else { continue };
            match standing {
                "Dead" if !killed.contains(&member) && member < controllers => found.false_deaths += 1,
                "Dead" => {
                    dead.insert(member, at);
                }
                "Alive" => {
                    dead.remove(&member);
                }
                _ => {}
            }
        }
        all &= killed.iter().all(|member| dead.contains_key(member));
        last = dead.values().copied().fold(last, f64::max);
    }
    found.settled_s = (all && !killed.is_empty()).then_some(last - since);
    found
}

/// A line that tells how a member stands, and its time in seconds of the day it was written in.
fn standing(line: &str) -> Option<(usize, &str, f64)> {
    let (_, told) = line.split_once(" member member=")?;
    let (member, told) = told.split_once(" standing=")?;
    Some((member.parse().ok()?, told.trim(), seconds(line.split_whitespace().next()?)?))
}

/// Seconds since 1970 of a time as logs have it (RFC 3339, UTC).
fn seconds(text: &str) -> Option<f64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.split(':').map(|part| part.parse::<f64>().ok());
    let (hour, minute, second) = (time.next()??, time.next()??, time.next()??);
    // Days from the civil calendar, with years that begin in March.
    let (years, months) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let days =
        365 * years + years / 4 - years / 100 + years / 400 + (153 * months + 2) / 5 + day - 1 - 719_468;
    Some(days as f64 * 86_400.0 + hour * 3600.0 + minute * 60.0 + second)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_of_logs_are_read() {
        assert_eq!(seconds("1970-01-01T00:00:01.5Z"), Some(1.5));
        assert_eq!(seconds("2026-12-01T15:00:00Z"), Some(1_796_137_200.0));
        assert_eq!(seconds("2024-02-29T00:00:00Z"), Some(1_709_164_800.0));
        assert_eq!(seconds("yesterday"), None);
    }

    #[test]
    fn lines_of_standings_are_read() {
        let line = "2026-12-01T15:00:00.000000Z  INFO badgerledge_controller::gossiping: member member=17 standing=Dead";
        assert_eq!(standing(line), Some((17, "Dead", 1_796_137_200.0)));
        assert_eq!(standing("2026-12-01T15:00:00Z INFO other"), None);
    }
}

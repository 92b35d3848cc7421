//! What came of a day.

use std::fmt;

use badgerledge_standins::{Steps, Tally, SWING};
use badgerledge_witness::{RuleResult, RULES};
use serde_json::{json, Value};

use crate::gossip::{GossipDay, Membership};
use crate::revisions::Revised;

pub struct Report {
    pub seed: u64,
    pub rules: [RuleResult; 6],
    pub tally: Tally,
    pub viewers: badgerledge_standins::ViewerCounts,
    /// What the viewers of each controller had.
    pub served: Vec<badgerledge_standins::Served>,
    pub streamers: badgerledge_standins::StreamerCounts,
    /// Subscriptions that played at one time, at most.
    pub peak: usize,
    pub controller_starts: Vec<u32>,
    /// Controllers that ended by themselves.
    pub controllers_crashed: Vec<usize>,
    /// All ended with success when they were told to.
    pub orderly_ends: bool,
    pub list_lines: u64,
    /// Messages between controllers, handed on and lost.
    pub messages: (u64, u64),
    /// Media that crossed between buildings, by room type.
    pub crossed: Vec<Crossed>,
    /// What crossed in the worst ten seconds, and what the budget allows in them, kB; nothing where there is none.
    pub budget: Option<(f64, f64)>,
    pub gossip: Option<Gossiped>,
    pub revisions: Option<Revised>,
    /// How long one controller was told that a streamer is off and another was not, for each that is in the end.
    pub contradicting_lists: Vec<std::time::Duration>,
    /// Joins that controllers lost by a streamer's silence or end, by their logs.
    pub joins_lost: usize,
    /// Within how many in 100 the two counts of it must agree, if they must.
    pub accounts_within: Option<f64>,
}

/// What the controllers' gossip came to.
#[derive(Clone, Debug)]
pub struct Gossiped {
    pub told: GossipDay,
    pub membership: Membership,
    /// Controllers that were killed for good.
    pub killed: usize,
    /// The most payload bytes that any controller sent in any second, from the sockets, and the mean in a second.
    pub worst_second: usize,
    pub mean: f64,
    /// Set-ups that came to the streamer that was lied about, and to each other one on average.
    pub lied_of: Option<(u64, f64)>,
}

/// A streamer that is lied about gets at least this part of what the others get on average: what chance and the
/// titles' places leave at least, with room.
const LEAST_USE: f64 = 0.5;

impl Gossiped {
    /// Whether the ceiling was kept, the dead were known for dead in time, and lies had no effect.
    pub fn good(&self) -> bool {
        let settled = |s: f64| s <= self.told.settled_within_s;
        self.worst_second <= self.told.ceiling_bytes
            && (self.killed == 0 || self.membership.settled_s.is_some_and(settled))
            && (self.membership.false_deaths == 0 || self.told.splits)
            && self.membership.lies_believed == 0
            && self.lied_of.is_none_or(|(its, others)| its as f64 >= LEAST_USE * others)
    }
}

impl fmt::Display for Gossiped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (word, m) = (if self.good() { "in order" } else { "NOT in order" }, &self.membership);
        writeln!(
            f,
            "gossip  {word}: {} bytes at most in a second of a controller ({} allowed), {:.0} in the mean; {} killed for good, \
             known to all others after {} s ({} allowed); {} false deaths; {} times a streamer set aside by hearsay",
            self.worst_second,
            self.told.ceiling_bytes,
            self.mean,
            self.killed,
            m.settled_s.map_or("-".to_owned(), |s| format!("{s:.1}")),
            self.told.settled_within_s,
            m.false_deaths,
            m.believed
        )?;
        if let Some((its, others)) = self.lied_of {
            writeln!(
                f,
                "liars  {}: the streamer they spoke of got {its} set-ups, the others {others:.1} on average; believed {} times",
                self.told.liars, m.lies_believed
            )?;
        }
        Ok(())
    }
}

/// Media of one room type that crossed, in bytes: by the controllers' accounts, of which so much is an estimate's
/// error, and by the streamers' own counts.
#[derive(Clone, Debug)]
pub struct Crossed {
    pub room_type: String,
    pub accounts: u64,
    pub error: u64,
    pub streamers: u64,
}

impl Crossed {
    /// By how many in 100 the accounts are off.
    pub fn off(&self) -> f64 {
        let truth = self.streamers.max(1) as f64;
        100.0 * (self.accounts as f64 - self.streamers as f64) / truth
    }
}

impl Report {
    /// Whether every rule was put to the test, but for those named, and all were kept.
    pub fn kept(&self, untested: &[usize]) -> bool {
        let good = |(n, rule): (usize, &RuleResult)| {
            rule.violations == 0 && (rule.checks > 0 || untested.contains(&(n + 1)))
        };
        self.accounts_match()
            && self.gossip.as_ref().is_none_or(Gossiped::good)
            && self.revisions.as_ref().is_none_or(Revised::good)
            && self.budget_kept()
            && self.rules.iter().enumerate().all(good)
            && self.controllers_crashed.is_empty()
            && self.orderly_ends
    }

    /// Whether the accounts agree with the streamers' counts as far as the day wants it.
    pub fn accounts_match(&self) -> bool {
        self.accounts_within.is_none_or(|within| {
            self.crossed.iter().all(|crossed| crossed.streamers > 0 && crossed.off().abs() <= within)
        })
    }

    /// Whether what crossed stayed within the budget in every ten seconds.
    pub fn budget_kept(&self) -> bool {
        self.budget.is_none_or(|(worst, most)| worst <= most)
    }

    /// All figures.
    pub fn json(&self) -> Value {
        let rules = self.rules.iter().zip(RULES).map(|(rule, name)| {
            json!({"rule": name, "tested": rule.checks, "broken": rule.violations, "examples": rule.examples})
        });
        let (worst_type, worst_name) = self.tally.worst_room_type();
        let room_types =
            self.tally.room_types().map(|(name, service)| json!({"name": name, "service": service}));
        let (v, s) = (&self.viewers, &self.streamers);
        json!({
            "version": env!("CARGO_PKG_VERSION"),
            "seed": self.seed,
            "rules": rules.collect::<Vec<_>>(),
            "service": {"whole": self.tally.whole(), "worst_10_s": self.tally.worst_window(),
                "worst_room_type": worst_type, "worst_room_type_name": worst_name,
                "room_types": room_types.collect::<Vec<_>>(),
                "seconds": self.tally.seconds(),
                "steps": self.tally.steps().iter().map(|s| (s.up, s.down, s.swings)).collect::<Vec<_>>()},
            "viewers": {"asks": v.asks, "plays": v.plays, "throttled": v.throttled, "terminated": v.terminated,
                "no_answer": v.no_answer, "moved": v.moved, "breaks": v.breaks, "gave_up": v.gave_up,
                "media_bytes": v.media_bytes, "peak_playing": self.peak},
            "streamers": {"set_ups": s.set_ups, "turned_away": s.turned_away, "fell": s.fell,
                "media_bytes": s.media_bytes},
            "controllers": {"starts": self.controller_starts, "crashed": self.controllers_crashed,
                "orderly_ends": self.orderly_ends},
            "crossed": self.crossed.iter().map(|c| json!({"room_type": c.room_type, "accounts": c.accounts,
                "error": c.error, "streamers": c.streamers, "off_percent": c.off()})).collect::<Vec<_>>(),
            "budget": self.budget.map(|(worst, most)| json!({"worst_10_s_kb": worst, "most_kb": most})),
            "gossip": self.gossip.as_ref().map(|g| json!({"worst_second_bytes": g.worst_second,
                "mean_bytes": g.mean, "killed": g.killed, "settled_s": g.membership.settled_s,
                "false_deaths": g.membership.false_deaths, "believed": g.membership.believed,
                "lies_believed": g.membership.lies_believed, "lied_of": g.lied_of})),
            "revisions": self.revisions.as_ref().map(|r| json!({"overlap_s": r.overlap.as_secs_f64(),
                "bound_s": r.bound.as_secs_f64(), "changes_seen": r.seen, "strays": r.strays,
                "pushed": r.pushed.iter().map(|(name, code)| json!([name, code.clone().ok()])).collect::<Vec<_>>(),
                "active": r.active})),
            "contradicting_lists_s": self.contradicting_lists.iter().map(|span| span.as_secs_f64()).collect::<Vec<_>>(),
            "joins_lost": self.joins_lost,
            "list_lines": self.list_lines,
            "messages": {"passed": self.messages.0, "lost": self.messages.1},
        })
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, (rule, name)) in self.rules.iter().zip(RULES).enumerate() {
            let word = match (rule.violations, rule.checks) {
                (0, 0) => "not put to the test",
                (0, _) => "kept",
                _ => "BROKEN",
            };
            let (tested, broken) = (rule.checks, rule.violations);
            writeln!(f, "rule {}  {name:<62} {word}: tested {tested}, broken {broken}", n + 1)?;
            for example in &rule.examples {
                writeln!(f, "        {example}")?;
            }
        }
        let (worst, name) = self.tally.worst_room_type();
        let (whole, window) = (self.tally.whole(), self.tally.worst_window());
        writeln!(
            f,
            "service  whole day {whole:.3}, worst 10 s {window:.3}, worst room type {worst:.3} ({name})"
        )?;
        let all = |of: fn(&Steps) -> u64| -> u64 { self.tally.steps().iter().map(of).sum() };
        let (up, down, swings) = (all(|s| s.up), all(|s| s.down), all(|s| s.swings));
        writeln!(
            f,
            "steps  {up} up, {down} down; {swings} took back one of less than {} s before",
            SWING.as_secs()
        )?;
        let v = &self.viewers;
        writeln!(
            f,
            "viewers  {} asks: {} play, {} throttled, {} terminated, {} without an answer; {} moved, {} breaks, \
             {} gave up; {} played at once at most",
            v.asks, v.plays, v.throttled, v.terminated, v.no_answer, v.moved, v.breaks, v.gave_up, self.peak
        )?;
        let s = &self.streamers;
        writeln!(
            f,
            "streamers  {} set-ups, {} turned away, {} fell over, {:.1} MB of media; {} joins lost by their silence or end; \
             {} starts of {} controllers",
            s.set_ups,
            s.turned_away,
            s.fell,
            s.media_bytes as f64 / 1e6,
            self.joins_lost,
            self.controller_starts.iter().sum::<u32>(),
            self.controller_starts.len()
        )?;
        for crossed in &self.crossed {
            let Crossed { room_type, accounts, error, streamers } = crossed;
            let (accounts, error) = (*accounts as f64 / 1e6, *error as f64 / 1e6);
            writeln!(
                f,
                "crossed  {room_type:<16} {accounts:.2} MB by the accounts (estimates may be off by {error:.2}), {:.2} MB by the \
                 streamers: {:+.2}%",
                *streamers as f64 / 1e6,
                crossed.off()
            )?;
        }
        if let Some(gossip) = &self.gossip {
            write!(f, "{gossip}")?;
        }
        if let Some(revisions) = &self.revisions {
            write!(f, "{revisions}")?;
        }
        if !self.contradicting_lists.is_empty() {
            let mut spans: Vec<f64> =
                self.contradicting_lists.iter().map(|span| span.as_secs_f64()).collect();
            spans.sort_by(f64::total_cmp);
            let (middle, last) = (spans[spans.len() / 2], spans[spans.len() - 1]);
            writeln!(f, "lists  contradicted each other on {} streamers for {middle:.2} s at the median, {last:.2} at most", spans.len())?;
        }
        if let Some((worst, most)) = self.budget {
            let word = if self.budget_kept() { "kept" } else { "BROKEN" };
            writeln!(f, "budget  {word}: {worst:.0} kB crossed in the worst 10 s, {most:.0} at most")?;
        }
        if let Some(within) = self.accounts_within {
            let word = if self.accounts_match() { "match" } else { "DO NOT match" };
            writeln!(f, "accounts  {word} within {within}% for each room type")?;
        }
        if !self.controllers_crashed.is_empty() || !self.orderly_ends {
            writeln!(f, "controllers that ended by themselves: {:?}", self.controllers_crashed)?;
        }
        Ok(())
    }
}

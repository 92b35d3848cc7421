//! Reports by other controllers of streamers that fail, weighed against what was seen here. No I/O, no clock, no wire.
//!
//! A controller publishes what it saw itself: joins lost on a streamer, with how many and how long ago
//! ([`FailureReports::items`]). What others publish is weighed by how many report it, how their earlier reports agreed
//! with what was then seen here, and how old it is. One member's report alone never sets a streamer aside; a join that
//! works here clears all reports before it. Beside losses it shares strain: joins turned away for want of room, streams
//! that come short, links asked for more than they give; a sign of ease here clears that. The only thing that comes of
//! it is that others are asked first for a while, which breaks no rule whoever lies: see `docs/gossip.md` for what a
//! majority of liars can do.

mod credit;
mod item;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::interface::StreamerId;
use badgerledge_gossip::statement::{ITEM_BYTES, MAX_ITEMS};
use badgerledge_gossip::Member;

use crate::credit::Credit;
pub use crate::item::Kind;

/// A streamer, and what is wrong with it.
pub type Trouble = (StreamerId, Kind);

/// A report fades to nothing within this: a streamer that was silent for longer is on the list as gone, or works.
const REPORT_LIFETIME: Duration = Duration::from_secs(8);
/// Own losses are published for this long after the last of them.
const PUBLISHED_FOR: Duration = Duration::from_secs(4);
/// What it takes to believe: two members of good credit, both fresh, or more that are older or of less.
const BELIEF_THRESHOLD: f64 = 1.2;
/// A belief that reports go on backing is returned again after this: within the time that the module sets a streamer aside.
const ALERT_EVERY: Duration = Duration::from_secs(3);
/// Streamers of which something is held at most; of more, what is oldest goes.
const MAX_STREAMERS: usize = 4096;
/// Members whose reports are held of one streamer: more would add nothing.
const MAX_REPORTERS: usize = 8;

/// What was seen here of one streamer.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    lost: u32,
    last_lost: Option<Duration>,
    last_good: Option<Duration>,
}

/// One member's report of one streamer.
#[derive(Clone, Copy, Debug)]
struct Report {
    author: Member,
    seen: Duration,
    /// It has already counted for or against its author.
    judged: bool,
}

/// What was seen here, what others reported, and how far each of them is believed.
#[derive(Clone, Debug, Default)]
pub struct FailureReports {
    observations: BTreeMap<Trouble, Observation>,
    reports: BTreeMap<Trouble, Vec<Report>>,
    credits: BTreeMap<Member, Credit>,
    /// When a streamer was last returned as believed to be in trouble, and how many times in a row.
    alerts: BTreeMap<Trouble, (Duration, u32)>,
}

impl FailureReports {
    /// A join here came to something: it plays, or was lost in silence or by its streamer's end.
    pub fn observe_join(&mut self, now: Duration, streamer: StreamerId, well: bool) {
        self.observe(now, (streamer, Kind::Lost), well);
    }

    /// A streamer here turned a join away, delivered short or had a full link; or is at ease.
    pub fn observe_strain(&mut self, now: Duration, streamer: StreamerId, well: bool) {
        self.observe(now, (streamer, Kind::Strained), well);
    }

    /// Notes what was seen here of a streamer, and judges by it the reports that hold.
    fn observe(&mut self, now: Duration, of: Trouble, well: bool) {
        make_room(&mut self.observations, |own| own.last_lost.max(own.last_good));
        let own = self.observations.entry(of).or_default();
        if well {
            *own = Observation { last_good: Some(now), ..Observation::default() };
        } else {
            (own.lost, own.last_lost) = (own.lost.saturating_add(1), Some(now));
        }
        for report in self.reports.get_mut(&of).into_iter().flatten() {
            // A report is put to the test once, by what is seen while it holds.
            if !report.judged && now < report.seen + REPORT_LIFETIME {
                report.judged = true;
                self.credits.entry(report.author).or_default().count(!well);
            }
        }
        if well {
            self.reports.remove(&of);
            self.alerts.remove(&of);
        }
    }

    /// Takes a member's bulletin of that age. Returns the streamers that are now believed to be in trouble.
    pub fn take_bulletin(
        &mut self, now: Duration, author: Member, age: Duration, items: &[[u8; ITEM_BYTES]],
    ) -> Vec<Trouble> {
        let mut believed = Vec::new();
        for item in items {
            let Some((of, since)) = item::read(item) else { continue };
            let seen = now.saturating_sub(age + since);
            if now >= seen + REPORT_LIFETIME || self.cleared(of, seen) {
                continue;
            }
            self.add_report(of, Report { author, seen, judged: false });
            if self.believes_of(now, of) && self.alert_is_due(now, of) {
                believed.push(of);
            }
        }
        believed
    }

    /// Whether a belief is to be returned now: when it begins, and again while reports go on coming.
    fn alert_is_due(&mut self, now: Duration, of: Trouble) -> bool {
        make_room(&mut self.alerts, |(last, _)| Some(*last));
        let (last, times) = self.alerts.entry(of).or_insert((Duration::ZERO, 0));
        let due = *times == 0 || now >= *last + ALERT_EVERY;
        if due {
            (*last, *times) = (now, *times + 1);
        }
        due
    }

    /// Whether a join worked here after that time.
    fn cleared(&self, of: Trouble, seen: Duration) -> bool {
        self.observations.get(&of).and_then(|own| own.last_good).is_some_and(|good| good >= seen)
    }

    /// Keeps a report: the latest of each member, and of the members those that reported last.
    fn add_report(&mut self, of: Trouble, report: Report) {
        make_room(&mut self.reports, |reports| reports.iter().map(|report| report.seen).max());
        let reports = self.reports.entry(of).or_default();
        if let Some(held) = reports.iter_mut().find(|held| held.author == report.author) {
            // Published again it is the same report, unless what it tells of is later.
            held.judged &= report.seen <= held.seen + REPORT_LIFETIME;
            held.seen = held.seen.max(report.seen);
        } else if reports.len() < MAX_REPORTERS {
            reports.push(report);
        } else if let Some(oldest) = reports.iter_mut().min_by_key(|held| held.seen) {
            if oldest.seen < report.seen {
                *oldest = report;
            }
        }
    }

    /// Whether a streamer is believed to be in trouble. Never by one member's report alone; what was seen here counts
    /// as one more.
    pub fn believes(&self, now: Duration, streamer: StreamerId) -> bool {
        self.believes_of(now, (streamer, Kind::Lost))
    }

    fn believes_of(&self, now: Duration, of: Trouble) -> bool {
        let fresh =
            |seen: Duration| 1.0 - now.saturating_sub(seen).as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        let reports = self.reports.get(&of).into_iter().flatten();
        let weighed = reports.map(|report| self.credit(report.author).weight() * fresh(report.seen));
        let own = self.observations.get(&of).and_then(|own| own.last_lost).map(fresh);
        let all: Vec<f64> = weighed.chain(own).filter(|weight| *weight > 0.0).collect();
        all.len() >= 2 && all.iter().sum::<f64>() >= BELIEF_THRESHOLD
    }

    fn credit(&self, member: Member) -> Credit {
        self.credits.get(&member).copied().unwrap_or_default()
    }

    /// What a member's reports weigh here, of 1.
    pub fn weight(&self, member: Member) -> f64 {
        self.credit(member).weight()
    }

    /// A member is gone from the ring: nothing that it reported counts.
    pub fn forget(&mut self, member: Member) {
        self.credits.remove(&member);
        self.reports.values_mut().for_each(|reports| reports.retain(|report| report.author != member));
        self.reports.retain(|_, reports| !reports.is_empty());
    }

    /// The streamers that [`FailureReports::items`] names.
    pub fn streamers(&self, now: Duration) -> Vec<StreamerId> {
        self.fresh_losses(now).into_iter().map(|(_, (streamer, _), _)| streamer).collect()
    }

    /// What to publish: the streamers on which joins were lost here of late and none has worked since, the gravest
    /// first. Nobody else's reports are repeated as one's own.
    pub fn items(&self, now: Duration) -> Vec<[u8; ITEM_BYTES]> {
        self.fresh_losses(now).into_iter().map(|(_, of, since)| item::write(of, since)).collect()
    }

    /// The gravest first; a loss is graver than any strain.
    fn fresh_losses(&self, now: Duration) -> Vec<(u32, Trouble, Duration)> {
        let lost = |(of, own): (&Trouble, &Observation)| {
            let since = now.saturating_sub(own.last_lost?);
            (since < PUBLISHED_FOR).then_some((own.lost, *of, since))
        };
        let mut all: Vec<(u32, Trouble, Duration)> = self.observations.iter().filter_map(lost).collect();
        all.sort_by(|a, b| a.1 .1.cmp(&b.1 .1).then(b.cmp(a)));
        all.truncate(MAX_ITEMS);
        all
    }
}

/// Makes room in a table that is full: what is oldest goes.
fn make_room<K: Ord + Copy, T>(table: &mut BTreeMap<K, T>, last: impl Fn(&T) -> Option<Duration>) {
    if table.len() >= MAX_STREAMERS {
        let oldest = table.iter().min_by_key(|(_, held)| last(held)).map(|(of, _)| *of);
        oldest.map(|of| table.remove(&of));
    }
}

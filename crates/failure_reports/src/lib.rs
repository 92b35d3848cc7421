//! Reports by other controllers on failing streamers, weighed against local observations. The crate does no
//! I/O, reads no clock and has no wire format but that of an item.
//!
//! A controller publishes its own observations: joins lost on a streamer, with their number and time
//! ([`FailureReports::items`]). Reports of others are weighed by the number of members that make them, by how
//! their earlier reports agreed with local observations, and by age. A single member's report never sets a
//! streamer aside, and a join that succeeds locally clears all earlier reports. Besides losses, strain is
//! shared: joins refused for lack of capacity, streams that deliver less than requested, overloaded links; a
//! local observation that the streamer is at ease clears it. The only effect is that other streamers are
//! tried first for a while, which violates no rule whatever faulty members report: see `docs/gossip.md` for
//! the effect of a majority of faulty members.

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
pub use crate::item::FailureKind;

/// A streamer and the kind of failure.
pub type Failure = (StreamerId, FailureKind);

/// Age at which a report has no weight left: a streamer that was silent for longer is off the list, or works.
const REPORT_LIFETIME: Duration = Duration::from_secs(8);
/// How long own losses are published after the last of them.
const PUBLICATION_PERIOD: Duration = Duration::from_secs(4);
/// Total weight at which a failure is believed: two fresh reports by members of good credit, or more reports
/// that are older or by members of less credit.
const BELIEF_THRESHOLD: f64 = 1.2;
/// Interval after which a failure that is still reported is returned again; shorter than the time for which
/// the module sets a streamer aside.
const ALERT_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum number of entries in each table; beyond it the oldest one is evicted.
const MAX_STREAMERS: usize = 4096;
/// Maximum number of members whose reports on one streamer are kept; more would add nothing.
const MAX_REPORTERS: usize = 8;

/// Local observations of one streamer.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    lost: u32,
    last_lost: Option<Duration>,
    last_good: Option<Duration>,
}

/// One member's report on one streamer.
#[derive(Clone, Copy, Debug)]
struct Report {
    author: Member,
    observed_at: Duration,
    /// Whether it has already counted for or against its author.
    judged: bool,
}

/// Local observations, reports of others, and the credit of each member.
#[derive(Clone, Debug, Default)]
pub struct FailureReports {
    observations: BTreeMap<Failure, Observation>,
    reports: BTreeMap<Failure, Vec<Report>>,
    credits: BTreeMap<Member, Credit>,
    /// When each failure was last returned as believed, and how many times in a row.
    alerts: BTreeMap<Failure, (Duration, u32)>,
}

impl FailureReports {
    /// Records the outcome of a local join: it plays, or was lost because the streamer was silent or ended.
    pub fn observe_join(&mut self, now: Duration, streamer: StreamerId, succeeded: bool) {
        self.observe(now, (streamer, FailureKind::Lost), succeeded);
    }

    /// Records that a streamer refused a join, delivered less than requested or had a full link; or, with
    /// `is_good`, that it is at ease.
    pub fn observe_strain(&mut self, now: Duration, streamer: StreamerId, at_ease: bool) {
        self.observe(now, (streamer, FailureKind::Strained), at_ease);
    }

    /// Records a local observation of a streamer, and judges current reports by it.
    fn observe(&mut self, now: Duration, failure: Failure, is_good: bool) {
        make_room(&mut self.observations, |observation| observation.last_lost.max(observation.last_good));
        let observation = self.observations.entry(failure).or_default();
        if is_good {
            *observation = Observation { last_good: Some(now), ..Observation::default() };
        } else {
            (observation.lost, observation.last_lost) = (observation.lost.saturating_add(1), Some(now));
        }
        for report in self.reports.get_mut(&failure).into_iter().flatten() {
            // A report is judged once, by an observation made while it is current.
            if !report.judged && now < report.observed_at + REPORT_LIFETIME {
                report.judged = true;
                self.credits.entry(report.author).or_default().count(!is_good);
            }
        }
        if is_good {
            self.reports.remove(&failure);
            self.alerts.remove(&failure);
        }
    }

    /// Takes a member's bulletin of the given age. Returns the failures that are now believed.
    pub fn take_bulletin(
        &mut self, now: Duration, author: Member, age: Duration, items: &[[u8; ITEM_BYTES]],
    ) -> Vec<Failure> {
        let mut believed = Vec::new();
        for item in items {
            let Some((failure, elapsed)) = item::read(item) else { continue };
            let observed_at = now.saturating_sub(age + elapsed);
            if now >= observed_at + REPORT_LIFETIME || self.is_cleared(failure, observed_at) {
                continue;
            }
            self.add_report(failure, Report { author, observed_at, judged: false });
            if self.believes_failure(now, failure) && self.alert_is_due(now, failure) {
                believed.push(failure);
            }
        }
        believed
    }

    /// Whether a believed failure is to be returned now: when it becomes believed, and repeatedly while
    /// reports continue.
    fn alert_is_due(&mut self, now: Duration, failure: Failure) -> bool {
        make_room(&mut self.alerts, |(last_alert, _)| Some(*last_alert));
        let (last_alert, alerts) = self.alerts.entry(failure).or_insert((Duration::ZERO, 0));
        let due = *alerts == 0 || now >= *last_alert + ALERT_INTERVAL;
        if due {
            (*last_alert, *alerts) = (now, *alerts + 1);
        }
        due
    }

    /// Whether a join has succeeded locally since that time.
    fn is_cleared(&self, failure: Failure, observed_at: Duration) -> bool {
        self.observations
            .get(&failure)
            .and_then(|observation| observation.last_good)
            .is_some_and(|last_good| last_good >= observed_at)
    }

    /// Stores a report: the latest of each member, and of the members those with the latest reports.
    fn add_report(&mut self, failure: Failure, report: Report) {
        make_room(&mut self.reports, |reports| reports.iter().map(|report| report.observed_at).max());
        let reports = self.reports.entry(failure).or_default();
        if let Some(known) = reports.iter_mut().find(|known| known.author == report.author) {
            // A repetition is the same report, unless what it reports was observed after the earlier one
            // expired.
            known.judged &= report.observed_at <= known.observed_at + REPORT_LIFETIME;
            known.observed_at = known.observed_at.max(report.observed_at);
        } else if reports.len() < MAX_REPORTERS {
            reports.push(report);
        } else if let Some(oldest) = reports.iter_mut().min_by_key(|known| known.observed_at) {
            if oldest.observed_at < report.observed_at {
                *oldest = report;
            }
        }
    }

    /// Whether a streamer is believed to be failing. A single member's report is never enough; a local
    /// observation counts as one more report.
    pub fn believes(&self, now: Duration, streamer: StreamerId) -> bool {
        self.believes_failure(now, (streamer, FailureKind::Lost))
    }

    fn believes_failure(&self, now: Duration, failure: Failure) -> bool {
        let freshness = |observed_at: Duration| {
            1.0 - now.saturating_sub(observed_at).as_secs_f64() / REPORT_LIFETIME.as_secs_f64()
        };
        let reports = self.reports.get(&failure).into_iter().flatten();
        let weights =
            reports.map(|report| self.credit(report.author).weight() * freshness(report.observed_at));
        let own_loss =
            self.observations.get(&failure).and_then(|observation| observation.last_lost).map(freshness);
        let weights: Vec<f64> = weights.chain(own_loss).filter(|weight| *weight > 0.0).collect();
        weights.len() >= 2 && weights.iter().sum::<f64>() >= BELIEF_THRESHOLD
    }

    fn credit(&self, member: Member) -> Credit {
        self.credits.get(&member).copied().unwrap_or_default()
    }

    /// The weight of a member's reports, from 0 to 1.
    pub fn weight(&self, member: Member) -> f64 {
        self.credit(member).weight()
    }

    /// Removes a member that is no longer in the ring, with its reports.
    pub fn forget(&mut self, member: Member) {
        self.credits.remove(&member);
        self.reports.values_mut().for_each(|reports| reports.retain(|report| report.author != member));
        self.reports.retain(|_, reports| !reports.is_empty());
    }

    /// The streamers that [`FailureReports::items`] names.
    pub fn streamers(&self, now: Duration) -> Vec<StreamerId> {
        self.fresh_losses(now).into_iter().map(|(_, (streamer, _), _)| streamer).collect()
    }

    /// The items to publish: streamers on which joins were lost locally of late and none has succeeded since,
    /// the most severe first. Reports of others are not repeated.
    pub fn items(&self, now: Duration) -> Vec<[u8; ITEM_BYTES]> {
        self.fresh_losses(now)
            .into_iter()
            .map(|(_, failure, elapsed)| item::write(failure, elapsed))
            .collect()
    }

    /// Own recent losses, the most severe first; any loss is more severe than strain.
    fn fresh_losses(&self, now: Duration) -> Vec<(u32, Failure, Duration)> {
        let recent_loss = |(failure, observation): (&Failure, &Observation)| {
            let elapsed = now.saturating_sub(observation.last_lost?);
            (elapsed < PUBLICATION_PERIOD).then_some((observation.lost, *failure, elapsed))
        };
        let mut losses: Vec<(u32, Failure, Duration)> =
            self.observations.iter().filter_map(recent_loss).collect();
        losses.sort_by(|a, b| a.1 .1.cmp(&b.1 .1).then(b.cmp(a)));
        losses.truncate(MAX_ITEMS);
        losses
    }
}

/// Evicts the oldest entry of a table that is full.
fn make_room<K: Ord + Copy, T>(table: &mut BTreeMap<K, T>, last_at: impl Fn(&T) -> Option<Duration>) {
    if table.len() >= MAX_STREAMERS {
        let oldest = table.iter().min_by_key(|(_, entry)| last_at(entry)).map(|(key, _)| *key);
        oldest.map(|key| table.remove(&key));
    }
}

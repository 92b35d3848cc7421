//! What members say of themselves and of their part in a roll, kept by a conductor.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::count_log::{CountLog, CountReport, Counted, ReportFault};
use crate::plan::Member;
use crate::state::Arm;

/// A member's word. Words may come late, twice or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    pub member: Member,
    /// Numbers the words of one life upwards.
    pub sequence: u64,
    /// The epoch of the state that it acts on; 0 where it knows none.
    pub epoch: u64,
    pub arm: Arm,
    /// It serves.
    pub ready: bool,
    /// Restarts on the new side of this plan that nobody ordered.
    pub restarts: u32,
    pub broke_a_rule: bool,
    pub near_a_limit: bool,
    pub refuses: bool,
    pub said: CountReport,
}

/// The last word of a member.
#[derive(Clone, Debug)]
pub struct LastReport {
    pub report: Report,
    /// When it came, by the conductor's clock.
    pub at: Duration,
    /// Since when it has been ready on this side in this life, as far as was heard.
    pub ready_since: Option<Duration>,
}

/// The last words of all.
#[derive(Clone, Debug)]
pub struct Reports {
    heard: CountLog,
    last: BTreeMap<Member, LastReport>,
}

impl Reports {
    /// `most` bounds the requests a second that a member can claim to have served.
    pub fn new(most: f64) -> Self {
        Self { heard: CountLog::new(most), last: BTreeMap::new() }
    }

    /// Takes a word. One that is older than the last one changes nothing.
    ///
    /// # Errors
    /// Where its counts can't be true; nothing has changed then.
    pub fn take(&mut self, now: Duration, report: Report) -> Result<(), ReportFault> {
        let order = |report: &Report| (report.said.life, report.sequence);
        let before = self.last.get(&report.member);
        if before.is_some_and(|before| order(&before.report) >= order(&report)) {
            return Ok(());
        }
        self.heard.take(now, report.member, &report.said)?;
        let same = |before: &&LastReport| {
            before.report.arm == report.arm && before.report.said.life == report.said.life
        };
        let since = before.filter(same).and_then(|before| before.ready_since);
        let ready_since = report.ready.then_some(since.unwrap_or(now));
        self.last.insert(report.member, LastReport { report, at: now, ready_since });
        Ok(())
    }

    pub fn last(&self, member: Member) -> Option<&LastReport> {
        self.last.get(&member)
    }

    /// All that a member counted.
    pub fn counted(&self, member: Member) -> Vec<Counted> {
        self.heard.of(member)
    }

    /// The last word of a member that came within this time.
    pub fn fresh(&self, now: Duration, member: Member, within: Duration) -> Option<&LastReport> {
        self.last(member).filter(|last| now.saturating_sub(last.at) <= within)
    }
}

impl LastReport {
    /// Whether it has been ready on this side for so long.
    pub fn is_settled(&self, now: Duration, arm: Arm, settle: Duration) -> bool {
        let long = |since: Duration| now.saturating_sub(since) >= settle;
        self.report.arm == arm && self.ready_since.is_some_and(long)
    }
}

//! Positions of streamer lists. Each controller has its own connection to the list service, and its list may
//! lag by seconds. A member that hears of a later position than its own refreshes its list at once. Removals
//! and drains that members report take effect before the own list shows them, but only in the safe direction:
//! such a streamer is tried last, and a report of the opposite has no effect.
//!
//! **A faulty member** can cause at most two refreshes a second, until three of its positions were not
//! confirmed by the service. Its reports are then ignored for a minute, after each further one for twice as
//! long, up to an hour. It can't set a streamer aside on its own: two members that are not currently ignored
//! must report it, and their reports lapse when the own list reaches their position, or after some seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Member;

/// Minimum interval between refreshes at the list service, for all reports together.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// A position that the own list has not reached after this time counts as wrong. A service answers in far
/// less.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);
/// After this number of wrong positions in a row a member is ignored; each further one doubles the time.
const MAX_WRONG_POSITIONS: u32 = 3;
const IGNORE_DURATION: Duration = Duration::from_secs(60);
const MAX_IGNORE_DURATION: Duration = Duration::from_secs(3600);
/// How long reports about a streamer count if the own list does not reach their position before.
const REPORT_LIFETIME: Duration = Duration::from_secs(4);
/// How many members must report a streamer.
const MIN_REPORTERS: usize = 2;
/// Maximum number of streamers in one message.
pub const MAX_REMOVALS_PER_MESSAGE: usize = 7;
/// Maximum number of streamers about which reports are kept.
const MAX_REPORTED_STREAMERS: usize = 256;

/// Position of a list: the run of the list service (`epoch`) and the change within it. A later run begins
/// again with lower numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListPosition {
    pub epoch: u64,
    pub revision: u64,
}

/// A streamer process, identified by its address and start time: a process started later at that address is
/// another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RemovedStreamer {
    pub ip: [u8; 4],
    pub port: u16,
    pub start: u64,
}

/// A member's report about its list: its position, and the streamers that its last changes removed or
/// drained.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListReport {
    pub position: ListPosition,
    pub removed: Vec<RemovedStreamer>,
}

#[derive(Debug, Default)]
struct MemberReports {
    position: ListPosition,
    /// A position that is still to be confirmed, and since when.
    unconfirmed: Option<(ListPosition, Duration)>,
    wrong_positions: u32,
    ignored_until: Duration,
}

/// The position of the own list, and what other members report about theirs.
#[derive(Debug, Default)]
pub struct ListPositions {
    own: ListPosition,
    /// Streamers recently removed from or drained in the own list, with the time, newest last.
    own_removals: Vec<(Duration, RemovedStreamer)>,
    members: BTreeMap<Member, MemberReports>,
    reports: BTreeMap<RemovedStreamer, BTreeMap<Member, (Duration, ListPosition)>>,
    refresh_at: Duration,
    refresh_wanted: bool,
}

impl ListPositions {
    /// The own list has reached `position`; the changes on the way removed or drained these streamers.
    pub fn update_own_position(
        &mut self, now: Duration, position: ListPosition, off: impl IntoIterator<Item = RemovedStreamer>,
    ) {
        self.own = position;
        self.own_removals.extend(off.into_iter().map(|off| (now, off)));
        self.own_removals.retain(|(at, _)| now < *at + REPORT_LIFETIME);
        let excess = self.own_removals.len().saturating_sub(MAX_REMOVALS_PER_MESSAGE);
        self.own_removals.drain(..excess);
        // For changes up to this position the own list decides.
        for reports in self.reports.values_mut() {
            reports.retain(|_, (_, at)| at.epoch != position.epoch || at.revision > position.revision);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
    }

    /// What this member reports about its own list.
    pub fn own_report(&self, now: Duration) -> ListReport {
        let off = self
            .own_removals
            .iter()
            .filter(|(at, _)| now < *at + REPORT_LIFETIME)
            .map(|(_, off)| *off)
            .collect();
        ListReport { position: self.own, removed: off }
    }

    /// Whether a position is unknown here: a later change of this run, or any change of another run. Which of
    /// two runs is later can't be told from the epochs, so both are refreshed from the service, which knows.
    fn is_unknown(&self, position: ListPosition) -> bool {
        position.epoch != self.own.epoch || position.revision > self.own.revision
    }

    /// Takes a member's report. Returns the streamers that now have enough reports to be treated as removed.
    pub fn receive_report(
        &mut self, now: Duration, from: Member, report: &ListReport,
    ) -> Vec<RemovedStreamer> {
        self.check_unconfirmed(now);
        let unknown = self.is_unknown(report.position);
        let member = self.members.entry(from).or_default();
        let repeated = member.position == report.position;
        member.position = report.position;
        if now < member.ignored_until || !unknown {
            return Vec::new();
        }
        if !repeated {
            self.refresh_wanted = true;
            member.unconfirmed.get_or_insert((report.position, now));
        }
        let mut confirmed = Vec::new();
        for off in report.removed.iter().take(MAX_REMOVALS_PER_MESSAGE) {
            if self.reports.len() >= MAX_REPORTED_STREAMERS && !self.reports.contains_key(off) {
                continue;
            }
            let reports = self.reports.entry(*off).or_default();
            reports.retain(|_, (at, _)| now < *at + REPORT_LIFETIME);
            let before = reports.len();
            reports.insert(from, (now, report.position));
            if before < MIN_REPORTERS && reports.len() >= MIN_REPORTERS {
                confirmed.push(*off);
            }
        }
        confirmed
    }

    /// Compares the positions that members reported with that of the own list.
    fn check_unconfirmed(&mut self, now: Duration) {
        let own = self.own;
        for member in self.members.values_mut() {
            let Some((reported, since)) = member.unconfirmed else { continue };
            if reported.epoch == own.epoch && reported.revision <= own.revision {
                (member.unconfirmed, member.wrong_positions) = (None, 0);
            } else if now >= since + CONFIRMATION_TIMEOUT {
                member.unconfirmed = None;
                member.wrong_positions += 1;
                if member.wrong_positions >= MAX_WRONG_POSITIONS {
                    let doubled = IGNORE_DURATION
                        * 2u32.saturating_pow(member.wrong_positions - MAX_WRONG_POSITIONS).min(64);
                    member.ignored_until = now + doubled.min(MAX_IGNORE_DURATION);
                }
            }
        }
    }

    /// Whether the list is to be refreshed from the service now.
    pub fn take_refresh(&mut self, now: Duration) -> bool {
        self.check_unconfirmed(now);
        let due = self.refresh_wanted && now >= self.refresh_at;
        if due {
            (self.refresh_wanted, self.refresh_at) = (false, now + REFRESH_INTERVAL);
        }
        due
    }

    /// When [`ListPositions::take_refresh`] is to be called next.
    pub fn next_due(&self) -> Option<Duration> {
        self.refresh_wanted.then_some(self.refresh_at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(epoch: u64, revision: u64) -> ListPosition {
        ListPosition { epoch, revision }
    }

    fn off(port: u16) -> RemovedStreamer {
        RemovedStreamer { ip: [127, 0, 0, 1], port, start: 1 }
    }

    fn report(position: ListPosition, off: &[RemovedStreamer]) -> ListReport {
        ListReport { position, removed: off.to_vec() }
    }

    fn ms(n: u64) -> Duration {
        Duration::from_millis(100_000 + n)
    }

    #[test]
    fn a_later_position_is_asked_for_at_once_and_an_older_one_is_nothing() {
        let mut lists = ListPositions::default();
        lists.update_own_position(ms(0), at(7, 10), []);
        assert!(
            lists.receive_report(ms(1), 1, &report(at(7, 10), &[])).is_empty() && !lists.take_refresh(ms(1))
        );
        lists.receive_report(ms(2), 1, &report(at(7, 9), &[]));
        assert!(!lists.take_refresh(ms(2)));
        lists.receive_report(ms(3), 1, &report(at(7, 11), &[]));
        assert!(lists.take_refresh(ms(3)) && !lists.take_refresh(ms(4)));
        // After a restart the service counts from the beginning, so a lower number of another epoch is new.
        lists.receive_report(ms(600), 2, &report(at(8, 1), &[]));
        assert!(lists.take_refresh(ms(600)));
    }

    /// A streamer is set aside only on the reports of two members, and not for a position that the own list
    /// has reached.
    #[test]
    fn one_member_sets_no_streamer_aside() {
        let mut lists = ListPositions::default();
        lists.update_own_position(ms(0), at(7, 10), []);
        for n in 0..50 {
            assert!(lists.receive_report(ms(n), 1, &report(at(7, 11 + n), &[off(5)])).is_empty());
        }
        assert_eq!(lists.receive_report(ms(60), 2, &report(at(7, 11), &[off(5), off(6)])), [off(5)]);
        assert!(
            lists.receive_report(ms(61), 3, &report(at(7, 11), &[off(5)])).is_empty(),
            "the streamer is already reported"
        );
        lists.update_own_position(ms(70), at(7, 12), []);
        assert!(lists.receive_report(ms(71), 2, &report(at(7, 12), &[off(6)])).is_empty());
        let own = lists.own_report(ms(71));
        assert_eq!((own.position, own.removed.len()), (at(7, 12), 0));
        lists.update_own_position(ms(80), at(7, 13), (0..20).map(off));
        assert_eq!(lists.own_report(ms(81)).removed.len(), MAX_REMOVALS_PER_MESSAGE);
    }

    /// A faulty member that reports positions which never come causes a limited number of refreshes, and is
    /// then ignored.
    #[test]
    fn a_liar_is_bounded() {
        let mut lists = ListPositions::default();
        lists.update_own_position(ms(0), at(7, 10), []);
        let mut refreshes = 0;
        for n in 0..600 {
            lists.receive_report(ms(n * 100), 1, &report(at(7, 1000 + n), &[off(5)]));
            refreshes += u32::from(lists.take_refresh(ms(n * 100)));
        }
        assert!(refreshes <= 25, "{refreshes} refreshes in a minute");
        lists.receive_report(ms(60_050), 2, &report(at(7, 11), &[]));
        assert!(lists.take_refresh(ms(60_050)), "reports of others still count");
    }
}

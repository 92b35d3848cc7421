//! Times at which subscriptions are moved off their streamers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_core::interface::{JobId, StreamerId};

/// Which subscription is moved off which streamer, and when. Each subscription has at most one entry.
#[derive(Debug, Default)]
pub struct MoveSchedule {
    /// Time and subscription of each move.
    due: BTreeSet<(Duration, JobId)>,
    /// Time and streamer of each subscription's move.
    moves: BTreeMap<JobId, (Duration, StreamerId)>,
}

impl MoveSchedule {
    /// Schedules moves in the given order, evenly over the interval after `now`, so that the holders of the titles receive
    /// SETUPs at a constant rate. The caller shuffles the order; otherwise the same subscriptions would move first at every
    /// change. A subscription that is already scheduled keeps its time if that is the earlier one.
    pub fn schedule_evenly(&mut self, now: Duration, interval: Duration, moves: &[(JobId, StreamerId)]) {
        let count = moves.len().max(1) as u32;
        for (index, (job, streamer)) in moves.iter().enumerate() {
            let due_at = now + interval * index as u32 / count;
            if let Some((scheduled_at, _)) = self.moves.get(job).copied() {
                if scheduled_at <= due_at {
                    continue;
                }
                self.due.remove(&(scheduled_at, *job));
            }
            self.due.insert((due_at, *job));
            self.moves.insert(*job, (due_at, *streamer));
        }
    }

    /// Removes a subscription that no longer has to move: a later change lets it stay, or it has ended.
    pub fn cancel(&mut self, job: JobId) {
        if let Some((due_at, _)) = self.moves.remove(&job) {
            self.due.remove(&(due_at, job));
        }
    }

    /// The time of the next move.
    pub fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|due| due.0)
    }

    /// Removes and returns the next due move. The subscription may have left that streamer since it was scheduled.
    pub fn pop_due(&mut self, now: Duration) -> Option<(JobId, StreamerId)> {
        let (due_at, job) = self.due.first().copied().filter(|due| due.0 <= now)?;
        self.due.remove(&(due_at, job));
        self.moves.remove(&job).map(|(_, streamer)| (job, streamer))
    }

    /// The number of scheduled moves.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether no move is scheduled.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}

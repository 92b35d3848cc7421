//! Subscriptions that are to be moved off their streamers, each at its time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_core::interface::{JobId, StreamerId};

/// Which subscription is to leave which streamer, and when. Each leaves once at most.
#[derive(Debug, Default)]
pub struct MoveSchedule {
    due: BTreeSet<(Duration, JobId)>,
    from: BTreeMap<JobId, (Duration, StreamerId)>,
}

impl MoveSchedule {
    /// Lets these leave within a time, spread evenly over it, so that the holders of their titles get no more set-ups in
    /// any part of it than in another. In the order given: by chance, or whoever is first suffers from every change.
    /// One that was to leave already keeps its time where it is the sooner one.
    pub fn spread(&mut self, now: Duration, within: Duration, leavers: &[(JobId, StreamerId)]) {
        let count = leavers.len().max(1) as u32;
        for (turn, (job, from)) in leavers.iter().enumerate() {
            let at = now + within * turn as u32 / count;
            if let Some((before, _)) = self.from.get(job).copied() {
                if before <= at {
                    continue;
                }
                self.due.remove(&(before, *job));
            }
            self.due.insert((at, *job));
            self.from.insert(*job, (at, *from));
        }
    }

    /// One need not leave any more: a later change lets it stay, or it has ended.
    pub fn cancel(&mut self, job: JobId) {
        if let Some((at, _)) = self.from.remove(&job) {
            self.due.remove(&(at, job));
        }
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|due| due.0)
    }

    /// The next whose time has come, and the streamer that it was to leave: it may be elsewhere by now.
    pub fn pop_due(&mut self, now: Duration) -> Option<(JobId, StreamerId)> {
        let (at, job) = self.due.first().copied().filter(|due| due.0 <= now)?;
        self.due.remove(&(at, job));
        self.from.remove(&job).map(|(_, from)| (job, from))
    }

    pub fn len(&self) -> usize {
        self.due.len()
    }

    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}

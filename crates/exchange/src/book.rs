//! The subscription records: plain state and the checks that keep it consistent. Nothing is sent from here.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_core::interface::{Ending, Health, JobId, StreamerId, SubscriptionRequest};
use tracing::Span;

use crate::Line;

/// The join of a subscription that is outstanding or that it plays on.
#[derive(Clone, Debug)]
pub struct Join {
    /// Its number among the joins of the subscription, from 0.
    pub number: u16,
    pub streamer: StreamerId,
    pub sent: Duration,
    /// When it times out unless it plays.
    pub until: Duration,
    /// SETUP was sent, with this rung.
    pub set_up: Option<Option<u8>>,
    /// The streamer granted PLAY; the first media packet has arrived.
    pub granted: bool,
    pub media: bool,
}

impl Join {
    /// Whether media flows to the viewer.
    pub fn flows(&self) -> bool {
        self.granted && self.media
    }
}

/// A subscription that was admitted and has not ended.
#[derive(Debug)]
pub struct Held {
    pub asked: SubscriptionRequest,
    pub taken: Duration,
    /// Connections that wait for the answer; the viewer's current one is last.
    pub waiting: Vec<Line>,
    /// The connection that it plays on.
    pub plays_to: Option<Line>,
    /// When it must be answered, whether or not the decision module has decided.
    pub last_call: Duration,
    pub joins: u16,
    pub join: Option<Join>,
    pub rung: Option<u8>,
    pub span: Span,
}

/// Maximum of connections that wait for one answer: a viewer that retries on more is terminated on the
/// newest.
pub const WAITING: usize = 4;

/// Maximum of ended unsafe subscriptions that are remembered: one is forgotten too soon only if some thousand
/// viewers a second lose theirs.
const MAX_REMEMBERED: usize = 4096;

/// All subscriptions of a controller, with their indexes.
#[derive(Debug, Default)]
pub struct Book {
    subscriptions: BTreeMap<JobId, Held>,
    /// By viewer and title, and by connection.
    by_viewer: BTreeMap<(u64, u64), JobId>,
    by_connection: BTreeMap<Line, JobId>,
    /// When a subscription must be checked: at its join's time limit or its answer deadline.
    due: BTreeSet<(Duration, JobId)>,
    last_job: JobId,
    /// Streamers that are draining or removed from the list.
    unavailable: BTreeSet<StreamerId>,
    /// Viewers and titles of unsafe room types that were recently terminated, and until when retries are
    /// rejected.
    recently_terminated: BTreeMap<(u64, u64), Duration>,
}

impl Book {
    /// The record of a subscription.
    pub fn get(&self, job: JobId) -> Option<&Held> {
        self.subscriptions.get(&job)
    }

    /// The number of subscriptions.
    pub fn len(&self) -> usize {
        self.subscriptions.len()
    }

    /// Whether there are no subscriptions.
    pub fn is_empty(&self) -> bool {
        self.subscriptions.is_empty()
    }

    /// The number of playing subscriptions.
    pub fn playing(&self) -> usize {
        self.subscriptions.values().filter(|subscription| subscription.plays_to.is_some()).count()
    }

    /// All connections that wait or play, with their subscriptions.
    pub fn lines(&self) -> impl Iterator<Item = (Line, JobId)> + '_ {
        self.by_connection.iter().map(|(connection, job)| (*connection, *job))
    }

    /// The id of the next subscription. Ids count up and wrap after 2^32 subscriptions, long after the
    /// earlier ones have ended.
    pub fn next_job(&self) -> JobId {
        let mut job = self.last_job.wrapping_add(1);
        while self.subscriptions.contains_key(&job) {
            job = job.wrapping_add(1);
        }
        job
    }

    /// All playing subscriptions, with their joins.
    pub fn flowing(&self) -> impl Iterator<Item = (JobId, &Held, &Join)> + '_ {
        let playing = self.subscriptions.iter().filter(|(_, subscription)| subscription.plays_to.is_some());
        playing.filter_map(|(job, subscription)| Some((*job, subscription, subscription.join.as_ref()?)))
    }

    /// All outstanding joins that do not play yet.
    pub fn out(&self) -> impl Iterator<Item = (JobId, &Held, &Join)> + '_ {
        let waiting = self.subscriptions.iter().filter(|(_, subscription)| subscription.plays_to.is_none());
        waiting.filter_map(|(job, subscription)| Some((*job, subscription, subscription.join.as_ref()?)))
    }

    /// The subscription that a connection waits for or plays.
    pub fn of_line(&self, connection: Line) -> Option<JobId> {
        self.by_connection.get(&connection).copied()
    }

    /// The subscription of a viewer to a title.
    pub fn of_viewer(&self, request: &SubscriptionRequest) -> Option<JobId> {
        self.by_viewer.get(&(request.path_key, request.title)).copied()
    }

    /// Adds a record for a new subscription, and returns its id.
    pub fn open(
        &mut self, connection: Line, request: SubscriptionRequest, taken: Duration, last_call: Duration,
    ) -> JobId {
        let job = self.next_job();
        self.last_job = job;
        let span = tracing::info_span!("subscription", job, viewer = request.path_key, title = request.title);
        let subscription = Held {
            asked: request,
            taken,
            waiting: vec![connection],
            plays_to: None,
            last_call,
            joins: 0,
            join: None,
            rung: None,
            span,
        };
        self.by_viewer.insert((request.path_key, request.title), job);
        self.by_connection.insert(connection, job);
        self.due.insert((last_call, job));
        self.subscriptions.insert(job, subscription);
        job
    }

    /// Adds a connection that waits for the same answer, unless there are too many. The answer is due when
    /// the first of them times out.
    pub fn wait_too(&mut self, job: JobId, connection: Line, last_call: Duration) -> bool {
        let Some(subscription) = self.subscriptions.get_mut(&job) else { return false };
        if subscription.waiting.contains(&connection) {
            return true;
        }
        if subscription.waiting.len() >= WAITING || self.by_connection.contains_key(&connection) {
            return false;
        }
        subscription.waiting.push(connection);
        self.by_connection.insert(connection, job);
        if last_call < subscription.last_call {
            subscription.last_call = last_call;
            self.due.insert((last_call, job));
        }
        true
    }

    /// Removes a connection from its subscription, and returns the subscription.
    pub fn leave(&mut self, connection: Line) -> Option<JobId> {
        let job = self.by_connection.remove(&connection)?;
        let subscription = self.subscriptions.get_mut(&job)?;
        subscription.waiting.retain(|waiting| *waiting != connection);
        subscription.plays_to = subscription.plays_to.filter(|viewer| *viewer != connection);
        Some(job)
    }

    /// Adds a join; none may be outstanding. Returns its number.
    pub fn join(&mut self, job: JobId, streamer: StreamerId, sent: Duration, until: Duration) -> Option<u16> {
        let subscription = self
            .subscriptions
            .get_mut(&job)
            .filter(|subscription| subscription.join.is_none() && subscription.plays_to.is_none())?;
        let number = subscription.joins;
        subscription.joins += 1;
        subscription.join =
            Some(Join { number, streamer, sent, until, set_up: None, granted: false, media: false });
        self.due.insert((until, job));
        Some(number)
    }

    /// The join of that number, if it is outstanding or plays.
    pub fn current(&mut self, job: JobId, number: u16) -> Option<&mut Join> {
        self.subscriptions.get_mut(&job)?.join.as_mut().filter(|join| join.number == number)
    }

    /// Removes a join, if it is outstanding or plays.
    pub fn end_join(&mut self, job: JobId, number: u16) -> Option<Join> {
        self.current(job, number)?;
        self.subscriptions.get_mut(&job)?.join.take()
    }

    /// Records the rung of a subscription, and returns its record.
    pub fn set_rung(&mut self, job: JobId, rung: u8) -> Option<&Held> {
        let subscription = self.subscriptions.get_mut(&job)?;
        subscription.rung = Some(rung);
        Some(subscription)
    }

    /// Changes the cells that hold its title.
    pub fn relocate(&mut self, job: JobId, first_cell: u32, copies: u32) {
        if let Some(subscription) = self.subscriptions.get_mut(&job) {
            (subscription.asked.first_cell, subscription.asked.copies) = (first_cell, copies);
        }
    }

    /// All subscriptions, in order of their ids.
    pub fn all(&self) -> impl Iterator<Item = (JobId, &Held)> + '_ {
        self.subscriptions.iter().map(|(job, subscription)| (*job, subscription))
    }

    /// Marks the subscription as playing on its newest connection; returns that one, and the others, which
    /// must be answered differently.
    pub fn play(&mut self, job: JobId) -> Option<(Line, Vec<Line>)> {
        let subscription = self.subscriptions.get_mut(&job)?;
        let viewer = subscription.waiting.pop()?;
        subscription.plays_to = Some(viewer);
        let abandoned = std::mem::take(&mut subscription.waiting);
        for connection in &abandoned {
            self.by_connection.remove(connection);
        }
        Some((viewer, abandoned))
    }

    /// Passes a playing subscription to a newer connection of its viewer, and returns the previous one.
    pub fn hand_over(&mut self, job: JobId, connection: Line) -> Option<Line> {
        let subscription = self.subscriptions.get_mut(&job)?;
        let previous = subscription.plays_to.replace(connection)?;
        self.by_connection.remove(&previous);
        self.by_connection.insert(connection, job);
        Some(previous)
    }

    /// Remembers an ended subscription that must not be set up twice and may have run.
    pub fn remember_unsafe(&mut self, request: &SubscriptionRequest, until: Duration) {
        if self.recently_terminated.len() >= MAX_REMEMBERED {
            let oldest =
                self.recently_terminated.iter().min_by_key(|(_, until)| **until).map(|(viewer, _)| *viewer);
            oldest.map(|viewer| self.recently_terminated.remove(&viewer));
        }
        self.recently_terminated.insert((request.path_key, request.title), until);
    }

    /// Whether such a subscription ended so recently that its viewer sent this request before it knew.
    pub fn ended_unsafe(&mut self, request: &SubscriptionRequest, now: Duration) -> bool {
        self.recently_terminated.retain(|_, until| *until > now);
        self.recently_terminated.contains_key(&(request.path_key, request.title))
    }

    /// Removes the record of a subscription from the table and all indexes, and returns it.
    pub fn close(&mut self, job: JobId) -> Option<Held> {
        let subscription = self.subscriptions.remove(&job)?;
        let viewer = (subscription.asked.path_key, subscription.asked.title);
        if self.by_viewer.get(&viewer) == Some(&job) {
            self.by_viewer.remove(&viewer);
        }
        for connection in subscription.waiting.iter().chain(&subscription.plays_to) {
            self.by_connection.remove(connection);
        }
        Some(subscription)
    }

    /// When the next subscription must be checked.
    pub fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|due| due.0)
    }

    /// Returns the next subscription that is overdue. Outdated times of subscriptions that have progressed
    /// are skipped.
    pub fn overdue(&mut self, now: Duration) -> Option<JobId> {
        while let Some((at, job)) = self.due.first().copied().filter(|due| due.0 <= now) {
            self.due.remove(&(at, job));
            let Some(subscription) =
                self.subscriptions.get(&job).filter(|subscription| subscription.plays_to.is_none())
            else {
                continue;
            };
            if subscription.last_call <= now
                || subscription.join.as_ref().is_some_and(|join| join.until <= now)
            {
                return Some(job);
            }
        }
        None
    }

    /// Applies a list entry.
    pub fn listed(&mut self, streamer: StreamerId, health: Health) {
        match health {
            Health::Ready => self.unavailable.remove(&streamer),
            Health::Draining | Health::Gone => self.unavailable.insert(streamer),
        };
    }

    /// Begins a complete list: streamers that it does not name are gone.
    pub fn relist(&mut self, known: impl Iterator<Item = StreamerId>) {
        self.unavailable.extend(known);
    }

    /// Whether a streamer accepts new joins: the list may have changed while a connection was established.
    pub fn may_send(&self, streamer: StreamerId) -> bool {
        !self.unavailable.contains(&streamer)
    }
}

/// How a streamer's response to SETUP or PLAY ends a join; `None` if it does not. 453 and 503 are sent before
/// anything is set up (RFC 2326 sections 11.3.6 and 7.1.1), so they prove that the join never ran, but only
/// until SETUP was granted.
pub fn ending(status: u16, set_up: bool) -> Option<Ending> {
    match status {
        200..=299 => None,
        453 | 503 if !set_up => Some(Ending::Full),
        _ => Some(Ending::Error),
    }
}

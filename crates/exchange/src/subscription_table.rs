//! The subscription records: plain state and the checks that keep it consistent. Nothing is sent from here.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_core::interface::{Ending, Health, JobId, StreamerId, SubscriptionRequest};
use tracing::Span;

use crate::ConnectionId;

/// The join of a subscription that is outstanding or that it plays on.
#[derive(Clone, Debug)]
pub struct Join {
    /// Its number among the joins of the subscription, from 0.
    pub number: u16,
    pub streamer: StreamerId,
    pub sent_at: Duration,
    /// When it times out unless it plays.
    pub times_out_at: Duration,
    /// SETUP was sent, with this rung.
    pub set_up_rung: Option<Option<u8>>,
    /// The streamer granted PLAY; the first media packet has arrived.
    pub play_granted: bool,
    pub media_received: bool,
}

impl Join {
    /// Whether media flows to the viewer.
    pub fn plays(&self) -> bool {
        self.play_granted && self.media_received
    }
}

/// A subscription that was admitted and has not ended.
#[derive(Debug)]
pub struct SubscriptionRecord {
    pub request: SubscriptionRequest,
    pub admitted_at: Duration,
    /// Connections that wait for the answer; the viewer's current one is last.
    pub waiting_connections: Vec<ConnectionId>,
    /// The connection that it plays on.
    pub playing_connection: Option<ConnectionId>,
    /// When it must be answered, whether or not the decision module has decided.
    pub answer_deadline: Duration,
    pub join_count: u16,
    pub join: Option<Join>,
    pub rung: Option<u8>,
    pub span: Span,
}

/// Maximum of connections that wait for one answer: a viewer that retries on more is terminated on the
/// newest.
pub const MAX_WAITING_CONNECTIONS: usize = 4;

/// Maximum of ended unsafe subscriptions that are remembered: one is forgotten too soon only if some thousand
/// viewers a second lose theirs.
const MAX_REMEMBERED: usize = 4096;

/// All subscriptions of a controller, with their indexes.
#[derive(Debug, Default)]
pub struct SubscriptionTable {
    subscriptions: BTreeMap<JobId, SubscriptionRecord>,
    /// By viewer and title, and by connection.
    by_viewer: BTreeMap<(u64, u64), JobId>,
    by_connection: BTreeMap<ConnectionId, JobId>,
    /// When a subscription must be checked: at its join's time limit or its answer deadline.
    due: BTreeSet<(Duration, JobId)>,
    last_job: JobId,
    /// Streamers that are draining or removed from the list.
    unavailable: BTreeSet<StreamerId>,
    /// Viewers and titles of unsafe room types that were recently terminated, and until when retries are
    /// rejected.
    recently_terminated: BTreeMap<(u64, u64), Duration>,
}

impl SubscriptionTable {
    /// The record of a subscription.
    pub fn get(&self, job: JobId) -> Option<&SubscriptionRecord> {
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
    pub fn playing_count(&self) -> usize {
        self.subscriptions.values().filter(|subscription| subscription.playing_connection.is_some()).count()
    }

    /// All connections that wait or play, with their subscriptions.
    pub fn connections(&self) -> impl Iterator<Item = (ConnectionId, JobId)> + '_ {
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
    pub fn playing_joins(&self) -> impl Iterator<Item = (JobId, &SubscriptionRecord, &Join)> + '_ {
        let playing =
            self.subscriptions.iter().filter(|(_, subscription)| subscription.playing_connection.is_some());
        playing.filter_map(|(job, subscription)| Some((*job, subscription, subscription.join.as_ref()?)))
    }

    /// All outstanding joins that do not play yet.
    pub fn outstanding_joins(&self) -> impl Iterator<Item = (JobId, &SubscriptionRecord, &Join)> + '_ {
        let waiting =
            self.subscriptions.iter().filter(|(_, subscription)| subscription.playing_connection.is_none());
        waiting.filter_map(|(job, subscription)| Some((*job, subscription, subscription.join.as_ref()?)))
    }

    /// The subscription that a connection waits for or plays.
    pub fn job_of_connection(&self, connection: ConnectionId) -> Option<JobId> {
        self.by_connection.get(&connection).copied()
    }

    /// The subscription of a viewer to a title.
    pub fn job_of_viewer(&self, request: &SubscriptionRequest) -> Option<JobId> {
        self.by_viewer.get(&(request.path_key, request.title)).copied()
    }

    /// Adds a record for a new subscription, and returns its id.
    pub fn insert(
        &mut self, connection: ConnectionId, request: SubscriptionRequest, admitted_at: Duration,
        answer_deadline: Duration,
    ) -> JobId {
        let job = self.next_job();
        self.last_job = job;
        let span = tracing::info_span!(target: "badgerledge_exchange::book", "subscription", job, viewer = request.path_key, title = request.title);
        let subscription = SubscriptionRecord {
            request,
            admitted_at,
            waiting_connections: vec![connection],
            playing_connection: None,
            answer_deadline,
            join_count: 0,
            join: None,
            rung: None,
            span,
        };
        self.by_viewer.insert((request.path_key, request.title), job);
        self.by_connection.insert(connection, job);
        self.due.insert((answer_deadline, job));
        self.subscriptions.insert(job, subscription);
        job
    }

    /// Adds a connection that waits for the same answer, unless there are too many. The answer is due when
    /// the first of them times out.
    pub fn add_waiting(&mut self, job: JobId, connection: ConnectionId, answer_deadline: Duration) -> bool {
        let Some(subscription) = self.subscriptions.get_mut(&job) else { return false };
        if subscription.waiting_connections.contains(&connection) {
            return true;
        }
        if subscription.waiting_connections.len() >= MAX_WAITING_CONNECTIONS
            || self.by_connection.contains_key(&connection)
        {
            return false;
        }
        subscription.waiting_connections.push(connection);
        self.by_connection.insert(connection, job);
        if answer_deadline < subscription.answer_deadline {
            subscription.answer_deadline = answer_deadline;
            self.due.insert((answer_deadline, job));
        }
        true
    }

    /// Removes a connection from its subscription, and returns the subscription.
    pub fn remove_connection(&mut self, connection: ConnectionId) -> Option<JobId> {
        let job = self.by_connection.remove(&connection)?;
        let subscription = self.subscriptions.get_mut(&job)?;
        subscription.waiting_connections.retain(|waiting| *waiting != connection);
        subscription.playing_connection =
            subscription.playing_connection.filter(|viewer| *viewer != connection);
        Some(job)
    }

    /// Adds a join; none may be outstanding. Returns its number.
    pub fn start_join(
        &mut self, job: JobId, streamer: StreamerId, sent_at: Duration, times_out_at: Duration,
    ) -> Option<u16> {
        let subscription = self.subscriptions.get_mut(&job).filter(|subscription| {
            subscription.join.is_none() && subscription.playing_connection.is_none()
        })?;
        let number = subscription.join_count;
        subscription.join_count += 1;
        subscription.join = Some(Join {
            number,
            streamer,
            sent_at,
            times_out_at,
            set_up_rung: None,
            play_granted: false,
            media_received: false,
        });
        self.due.insert((times_out_at, job));
        Some(number)
    }

    /// The join of that number, if it is outstanding or plays.
    pub fn current_join(&mut self, job: JobId, number: u16) -> Option<&mut Join> {
        self.subscriptions.get_mut(&job)?.join.as_mut().filter(|join| join.number == number)
    }

    /// Removes a join, if it is outstanding or plays.
    pub fn end_join(&mut self, job: JobId, number: u16) -> Option<Join> {
        self.current_join(job, number)?;
        self.subscriptions.get_mut(&job)?.join.take()
    }

    /// Records the rung of a subscription, and returns its record.
    pub fn set_rung(&mut self, job: JobId, rung: u8) -> Option<&SubscriptionRecord> {
        let subscription = self.subscriptions.get_mut(&job)?;
        subscription.rung = Some(rung);
        Some(subscription)
    }

    /// Changes the cells that hold its title.
    pub fn relocate(&mut self, job: JobId, first_cell: u32, copies: u32) {
        if let Some(subscription) = self.subscriptions.get_mut(&job) {
            (subscription.request.first_cell, subscription.request.copies) = (first_cell, copies);
        }
    }

    /// All subscriptions, in order of their ids.
    pub fn all(&self) -> impl Iterator<Item = (JobId, &SubscriptionRecord)> + '_ {
        self.subscriptions.iter().map(|(job, subscription)| (*job, subscription))
    }

    /// Marks the subscription as playing on its newest connection; returns that one, and the others, which
    /// must be answered differently.
    pub fn set_playing(&mut self, job: JobId) -> Option<(ConnectionId, Vec<ConnectionId>)> {
        let subscription = self.subscriptions.get_mut(&job)?;
        let viewer = subscription.waiting_connections.pop()?;
        subscription.playing_connection = Some(viewer);
        let abandoned = std::mem::take(&mut subscription.waiting_connections);
        for connection in &abandoned {
            self.by_connection.remove(connection);
        }
        Some((viewer, abandoned))
    }

    /// Passes a playing subscription to a newer connection of its viewer, and returns the previous one.
    pub fn move_to_connection(&mut self, job: JobId, connection: ConnectionId) -> Option<ConnectionId> {
        let subscription = self.subscriptions.get_mut(&job)?;
        let previous = subscription.playing_connection.replace(connection)?;
        self.by_connection.remove(&previous);
        self.by_connection.insert(connection, job);
        Some(previous)
    }

    /// Remembers an ended subscription that must not be set up twice and may have run.
    pub fn remember_terminated(&mut self, request: &SubscriptionRequest, until: Duration) {
        if self.recently_terminated.len() >= MAX_REMEMBERED {
            let oldest =
                self.recently_terminated.iter().min_by_key(|(_, until)| **until).map(|(viewer, _)| *viewer);
            oldest.map(|viewer| self.recently_terminated.remove(&viewer));
        }
        self.recently_terminated.insert((request.path_key, request.title), until);
    }

    /// Whether such a subscription ended so recently that its viewer sent this request before it knew.
    pub fn was_recently_terminated(&mut self, request: &SubscriptionRequest, now: Duration) -> bool {
        self.recently_terminated.retain(|_, until| *until > now);
        self.recently_terminated.contains_key(&(request.path_key, request.title))
    }

    /// Removes the record of a subscription from the table and all indexes, and returns it.
    pub fn remove(&mut self, job: JobId) -> Option<SubscriptionRecord> {
        let subscription = self.subscriptions.remove(&job)?;
        let viewer = (subscription.request.path_key, subscription.request.title);
        if self.by_viewer.get(&viewer) == Some(&job) {
            self.by_viewer.remove(&viewer);
        }
        for connection in subscription.waiting_connections.iter().chain(&subscription.playing_connection) {
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
    pub fn next_overdue(&mut self, now: Duration) -> Option<JobId> {
        while let Some((at, job)) = self.due.first().copied().filter(|due| due.0 <= now) {
            self.due.remove(&(at, job));
            let Some(subscription) =
                self.subscriptions.get(&job).filter(|subscription| subscription.playing_connection.is_none())
            else {
                continue;
            };
            if subscription.answer_deadline <= now
                || subscription.join.as_ref().is_some_and(|join| join.times_out_at <= now)
            {
                return Some(job);
            }
        }
        None
    }

    /// Applies a list entry.
    pub fn apply_list_entry(&mut self, streamer: StreamerId, health: Health) {
        match health {
            Health::Ready => self.unavailable.remove(&streamer),
            Health::Draining | Health::Gone => self.unavailable.insert(streamer),
        };
    }

    /// Begins a complete list: streamers that it does not name are gone.
    pub fn begin_complete_list(&mut self, known: impl Iterator<Item = StreamerId>) {
        self.unavailable.extend(known);
    }

    /// Whether a streamer accepts new joins: the list may have changed while a connection was established.
    pub fn accepts_joins(&self, streamer: StreamerId) -> bool {
        !self.unavailable.contains(&streamer)
    }
}

/// How a streamer's response to SETUP or PLAY ends a join; `None` if it does not. 453 and 503 are sent before
/// anything is set up (RFC 2326 sections 11.3.6 and 7.1.1), so they prove that the join never ran, but only
/// until SETUP was granted.
pub fn join_ending(status: u16, set_up: bool) -> Option<Ending> {
    match status {
        200..=299 => None,
        453 | 503 if !set_up => Some(Ending::Full),
        _ => Some(Ending::Error),
    }
}

//! The records of subscriptions: plain state, with the checks that keep it whole. Nothing is sent from here.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_core::interface::{Ending, Health, JobId, StreamerId, SubscriptionRequest};
use tracing::Span;

use crate::Line;

/// The join of a subscription that is out, or that it plays on.
#[derive(Clone, Debug)]
pub struct Join {
    /// Its number among the subscription's joins, from 0.
    pub number: u16,
    pub streamer: StreamerId,
    pub sent: Duration,
    /// When it is given up, while it is not playing.
    pub until: Duration,
    /// SETUP has gone, with this rung.
    pub set_up: Option<Option<u8>>,
    /// The streamer granted PLAY; and a first packet of media came.
    pub granted: bool,
    pub media: bool,
}

impl Join {
    pub fn flows(&self) -> bool {
        self.granted && self.media
    }
}

/// One subscription that was taken and is not over.
#[derive(Debug)]
pub struct Held {
    pub asked: SubscriptionRequest,
    pub taken: Duration,
    /// Lines that wait for the answer: the newest is the viewer's present one.
    pub waiting: Vec<Line>,
    /// The line that it plays to.
    pub plays_to: Option<Line>,
    /// When it must have its answer whatever the module does.
    pub last_call: Duration,
    pub joins: u16,
    pub join: Option<Join>,
    pub rung: Option<u8>,
    pub span: Span,
}

/// Lines that may wait for one answer: a viewer that retries on more connections than this is terminated on the
/// newest.
pub const WAITING: usize = 4;

/// Ends of unsafe subscriptions that are kept in mind: some thousand viewers a second would have to lose theirs for
/// one to be forgotten too soon.
const REMEMBERED: usize = 4096;

/// All subscriptions of a controller.
#[derive(Debug, Default)]
pub struct Book {
    held: BTreeMap<JobId, Held>,
    /// By viewer and title, and by line.
    by_viewer: BTreeMap<(u64, u64), JobId>,
    by_line: BTreeMap<Line, JobId>,
    /// When a subscription is looked at: its join's end, or its last call.
    due: BTreeSet<(Duration, JobId)>,
    last_job: JobId,
    /// Streamers that the list says drain or are gone.
    off: BTreeSet<StreamerId>,
    /// Viewers and titles of unsafe room types that were terminated of late, and until when that counts.
    ended_unsafe: BTreeMap<(u64, u64), Duration>,
}

impl Book {
    pub fn get(&self, job: JobId) -> Option<&Held> {
        self.held.get(&job)
    }

    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub fn playing(&self) -> usize {
        self.held.values().filter(|held| held.plays_to.is_some()).count()
    }

    /// All lines that wait or are played to, with their subscriptions.
    pub fn lines(&self) -> impl Iterator<Item = (Line, JobId)> + '_ {
        self.by_line.iter().map(|(line, job)| (*line, *job))
    }

    /// The id that the next subscription gets. Ids count up; over 2^32 subscriptions they come again, long after
    /// the first.
    pub fn next_job(&self) -> JobId {
        let mut job = self.last_job.wrapping_add(1);
        while self.held.contains_key(&job) {
            job = job.wrapping_add(1);
        }
        job
    }

    /// All subscriptions that play, with their joins.
    pub fn flowing(&self) -> impl Iterator<Item = (JobId, &Held, &Join)> + '_ {
        let joined = self.held.iter().filter(|(_, held)| held.plays_to.is_some());
        joined.filter_map(|(job, held)| Some((*job, held, held.join.as_ref()?)))
    }

    /// All joins that are out, and not playing.
    pub fn out(&self) -> impl Iterator<Item = (JobId, &Held, &Join)> + '_ {
        let waiting = self.held.iter().filter(|(_, held)| held.plays_to.is_none());
        waiting.filter_map(|(job, held)| Some((*job, held, held.join.as_ref()?)))
    }

    pub fn of_line(&self, line: Line) -> Option<JobId> {
        self.by_line.get(&line).copied()
    }

    pub fn of_viewer(&self, asked: &SubscriptionRequest) -> Option<JobId> {
        self.by_viewer.get(&(asked.path_key, asked.title)).copied()
    }

    /// Opens a record and names it.
    pub fn open(
        &mut self, line: Line, asked: SubscriptionRequest, taken: Duration, last_call: Duration,
    ) -> JobId {
        let job = self.next_job();
        self.last_job = job;
        let span = tracing::info_span!("subscription", job, viewer = asked.path_key, title = asked.title);
        let held = Held {
            asked,
            taken,
            waiting: vec![line],
            plays_to: None,
            last_call,
            joins: 0,
            join: None,
            rung: None,
            span,
        };
        self.by_viewer.insert((asked.path_key, asked.title), job);
        self.by_line.insert(line, job);
        self.due.insert((last_call, job));
        self.held.insert(job, held);
        job
    }

    /// Lets a further line wait for the same answer, unless too many do. The answer is due when the first of
    /// them gives up.
    pub fn wait_too(&mut self, job: JobId, line: Line, last_call: Duration) -> bool {
        let Some(held) = self.held.get_mut(&job) else { return false };
        if held.waiting.contains(&line) {
            return true;
        }
        if held.waiting.len() >= WAITING || self.by_line.contains_key(&line) {
            return false;
        }
        held.waiting.push(line);
        self.by_line.insert(line, job);
        if last_call < held.last_call {
            held.last_call = last_call;
            self.due.insert((last_call, job));
        }
        true
    }

    /// Takes a line off its subscription, and tells which that was.
    pub fn leave(&mut self, line: Line) -> Option<JobId> {
        let job = self.by_line.remove(&line)?;
        let held = self.held.get_mut(&job)?;
        held.waiting.retain(|waiting| *waiting != line);
        held.plays_to = held.plays_to.filter(|viewer| *viewer != line);
        Some(job)
    }

    /// Sends a join: none may be out.
    pub fn join(&mut self, job: JobId, streamer: StreamerId, sent: Duration, until: Duration) -> Option<u16> {
        let held = self.held.get_mut(&job).filter(|held| held.join.is_none() && held.plays_to.is_none())?;
        let number = held.joins;
        held.joins += 1;
        held.join = Some(Join { number, streamer, sent, until, set_up: None, granted: false, media: false });
        self.due.insert((until, job));
        Some(number)
    }

    /// The join of that number, if it is the one that is out or plays.
    pub fn current(&mut self, job: JobId, number: u16) -> Option<&mut Join> {
        self.held.get_mut(&job)?.join.as_mut().filter(|join| join.number == number)
    }

    /// Takes a join away, if it is the one that is out or plays.
    pub fn end_join(&mut self, job: JobId, number: u16) -> Option<Join> {
        self.current(job, number)?;
        self.held.get_mut(&job)?.join.take()
    }

    pub fn set_rung(&mut self, job: JobId, rung: u8) -> Option<&Held> {
        let held = self.held.get_mut(&job)?;
        held.rung = Some(rung);
        Some(held)
    }

    /// Its title lies elsewhere from now on.
    pub fn relocate(&mut self, job: JobId, first_cell: u32, copies: u32) {
        if let Some(held) = self.held.get_mut(&job) {
            (held.asked.first_cell, held.asked.copies) = (first_cell, copies);
        }
    }

    /// All subscriptions, in order.
    pub fn all(&self) -> impl Iterator<Item = (JobId, &Held)> + '_ {
        self.held.iter().map(|(job, held)| (*job, held))
    }

    /// The subscription plays: its newest line gets it, the others are told otherwise.
    pub fn play(&mut self, job: JobId) -> Option<(Line, Vec<Line>)> {
        let held = self.held.get_mut(&job)?;
        let viewer = held.waiting.pop()?;
        held.plays_to = Some(viewer);
        let others = std::mem::take(&mut held.waiting);
        for line in &others {
            self.by_line.remove(line);
        }
        Some((viewer, others))
    }

    /// Hands a subscription that plays to a newer line of its viewer, and tells which line had it.
    pub fn hand_over(&mut self, job: JobId, line: Line) -> Option<Line> {
        let held = self.held.get_mut(&job)?;
        let before = held.plays_to.replace(line)?;
        self.by_line.remove(&before);
        self.by_line.insert(line, job);
        Some(before)
    }

    /// Keeps in mind that a subscription that must not be set up twice has ended without a promise.
    pub fn remember_unsafe(&mut self, asked: &SubscriptionRequest, until: Duration) {
        if self.ended_unsafe.len() >= REMEMBERED {
            let first = self.ended_unsafe.iter().min_by_key(|(_, until)| **until).map(|(viewer, _)| *viewer);
            first.map(|viewer| self.ended_unsafe.remove(&viewer));
        }
        self.ended_unsafe.insert((asked.path_key, asked.title), until);
    }

    /// Whether such a one ended so lately that a request of its viewer was sent before its end was known.
    pub fn ended_unsafe(&mut self, asked: &SubscriptionRequest, now: Duration) -> bool {
        self.ended_unsafe.retain(|_, until| *until > now);
        self.ended_unsafe.contains_key(&(asked.path_key, asked.title))
    }

    /// Ends a subscription: its record is handed out, and no index knows it any more.
    pub fn close(&mut self, job: JobId) -> Option<Held> {
        let held = self.held.remove(&job)?;
        let viewer = (held.asked.path_key, held.asked.title);
        if self.by_viewer.get(&viewer) == Some(&job) {
            self.by_viewer.remove(&viewer);
        }
        for line in held.waiting.iter().chain(&held.plays_to) {
            self.by_line.remove(line);
        }
        Some(held)
    }

    /// When a subscription is next to be looked at.
    pub fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|due| due.0)
    }

    /// The next subscription whose time has come. Old times of one that went on since are passed over.
    pub fn overdue(&mut self, now: Duration) -> Option<JobId> {
        while let Some((at, job)) = self.due.first().copied().filter(|due| due.0 <= now) {
            self.due.remove(&(at, job));
            let Some(held) = self.held.get(&job).filter(|held| held.plays_to.is_none()) else { continue };
            if held.last_call <= now || held.join.as_ref().is_some_and(|join| join.until <= now) {
                return Some(job);
            }
        }
        None
    }

    /// What the list says of a streamer.
    pub fn listed(&mut self, streamer: StreamerId, health: Health) {
        match health {
            Health::Ready => self.off.remove(&streamer),
            Health::Draining | Health::Gone => self.off.insert(streamer),
        };
    }

    /// A complete list begins: streamers that it does not name are gone.
    pub fn relist(&mut self, known: impl Iterator<Item = StreamerId>) {
        self.off.extend(known);
    }

    /// Whether a streamer may be sent something new: the list may have changed while a connection was made.
    pub fn may_send(&self, streamer: StreamerId) -> bool {
        !self.off.contains(&streamer)
    }
}

/// How a streamer's answer to SETUP or PLAY ends a join; nothing where it goes on. 453 and 503 are given before
/// anything is set up (RFC 2326 sections 11.3.6 and 7.1.1), so they prove that the join never ran. They prove
/// nothing once SETUP was granted.
pub fn ending(status: u16, set_up: bool) -> Option<Ending> {
    match status {
        200..=299 => None,
        453 | 503 if !set_up => Some(Ending::Full),
        _ => Some(Ending::Error),
    }
}

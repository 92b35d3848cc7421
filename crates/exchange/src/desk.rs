//! Carries out what the module decides.

use std::time::Duration;

use badgerledge_core::interface::{DecisionSink, Ending, JobId, StreamerId, SubscriptionRequest};

use crate::book::{Book, Join};
use crate::{Admission, Line};

/// What the exchange has done at the ends of connections. All of it is done at once or queued; nothing is
/// answered through here.
pub trait Carrier {
    /// Answers all SETUPs that wait on a line: the subscription plays.
    fn grant(&mut self, viewer: Line, job: JobId);
    /// Answers all SETUPs that wait on a line: 503, and when to come back, where a time is named.
    fn throttle(&mut self, viewer: Line, cool_down: Duration);
    /// Answers all SETUPs that wait on a line: 504 where no answer came in time, 500 otherwise.
    fn terminate(&mut self, viewer: Line, late: bool);
    /// Begins a join: connects, and tells [`crate::Floor::join_opened`].
    fn open_join(&mut self, job: JobId, number: u16, streamer: StreamerId);
    /// Sends SETUP on a join that has opened.
    fn set_up(&mut self, job: JobId, number: u16, asked: &SubscriptionRequest, rung: Option<u8>);
    /// Sends PLAY on a join that was set up.
    fn play(&mut self, job: JobId, number: u16);
    /// Sends a new rung on a join that plays.
    fn step(&mut self, job: JobId, number: u16, rung: u8);
    /// Ends a join at once: TEARDOWN where it was set up, and the connection closed before anything else goes.
    fn end_join(&mut self, job: JobId, number: u16);
    /// Sends a viewer back to this controller: REDIRECT.
    fn redirect(&mut self, viewer: Line);
    /// Tells a viewer that its stream has ended: BYE, and the connection closed.
    fn farewell(&mut self, viewer: Line);
    /// What a join came to: it plays, or ended so before or after.
    fn came_to(&mut self, streamer: StreamerId, ending: Option<Ending>);
    fn remind(&mut self, from_now: Duration, token: u64);
    fn probe(&mut self, streamer: StreamerId);
    fn signal(&mut self, peer: Option<u16>, bytes: &[u8]);
    fn observe(&mut self, want: bool);
    fn list_all(&mut self);
}

/// The module's writer: the book and the carrier together.
pub(crate) struct Desk<'a, C> {
    pub book: &'a mut Book,
    pub admission: &'a mut Admission,
    pub carrier: &'a mut C,
    pub now: Duration,
    /// What the module is still to be told, in order.
    pub owed: &'a mut Vec<Owed>,
    /// Room types that must not be set up twice.
    pub unsafe_types: &'a mut Vec<usize>,
    /// New joins are held back, and viewers are told to come back after this.
    pub hold: Option<Duration>,
}

/// A call that the module is owed: the end of a join, or that it flows. It is made in the next round, or in the
/// one that is on.
pub(crate) enum Owed {
    Flowing(JobId, u16, StreamerId, Duration),
    Outcome(JobId, u16, StreamerId, Ending, bool, Duration, Vec<f64>),
}

impl<C: Carrier> Desk<'_, C> {
    /// Ends a subscription's record, with whatever join is out, and gives back its place.
    pub fn close(&mut self, job: JobId) -> Option<crate::book::Held> {
        let held = self.book.close(job)?;
        self.admission.leave(self.now);
        if let Some(join) = &held.join {
            self.carrier.end_join(job, join.number);
        }
        Some(held)
    }

    /// A subscription was terminated: for an unsafe room type that is kept in mind for as long as its viewer may have
    /// sent another request meanwhile. Viewers of those stay away once they know. Guards rule 2 against a retry that
    /// waited unread while this process was stopped. Harm: a viewer that comes again all the same is turned away.
    pub fn keep_in_mind(&mut self, asked: &SubscriptionRequest) {
        if self.unsafe_types.contains(&asked.room_type) {
            self.book.remember_unsafe(asked, self.now + asked.client_timeout);
        }
    }

    fn owe_cancelled(&mut self, job: JobId, join: &Join) {
        let latency = self.now - join.sent;
        let Join { number, streamer, .. } = *join;
        self.owed.push(Owed::Outcome(job, number, streamer, Ending::Cancelled, true, latency, Vec::new()));
    }

    fn answer(&mut self, job: JobId, mut answer: impl FnMut(&mut C, Line)) {
        // One that the module ends after its stream has started has had its answer.
        if self.book.get(job).is_none_or(|held| held.plays_to.is_some()) {
            return;
        }
        let Some(held) = self.close(job) else { return };
        if let Some(join) = &held.join {
            self.owe_cancelled(job, join);
        }
        held.waiting.iter().for_each(|line| answer(self.carrier, *line));
    }
}

impl<C: Carrier> DecisionSink for Desk<'_, C> {
    fn send_join(&mut self, job: JobId, streamer: StreamerId, try_until: Duration) {
        let Some(number) = self.book.join(job, streamer, self.now, try_until) else {
            // It has a join out, plays, or is over: the bench's `moot`.
            let moot = Owed::Outcome(job, u16::MAX, streamer, Ending::Moot, true, Duration::ZERO, Vec::new());
            return self.owed.push(moot);
        };
        if let Some(cool_down) = self.hold {
            // Decided, and not to be done: it never left. Its viewer hears so at once.
            return self.answer(job, |carrier, line| carrier.throttle(line, cool_down));
        }
        if let Some(held) = self.book.get(job) {
            held.span.in_scope(|| tracing::debug!(%streamer, number, rung = held.rung, "join"));
        }
        self.carrier.open_join(job, number, streamer);
    }

    fn throttle(&mut self, job: JobId, cool_down: Duration) {
        if let Some(held) = self.book.get(job) {
            held.span.in_scope(|| tracing::info!(cool_down_ms = cool_down.as_millis() as u64, "throttled"));
        }
        self.answer(job, |carrier, line| carrier.throttle(line, cool_down));
    }

    fn respond_error(&mut self, job: JobId) {
        let Some(held) = self.book.get(job) else { return };
        let late = self.now >= held.taken + held.asked.client_timeout;
        held.span.in_scope(|| tracing::info!(late, "terminated"));
        let asked = held.asked;
        self.keep_in_mind(&asked);
        self.answer(job, |carrier, line| carrier.terminate(line, late));
    }

    fn set_rung(&mut self, job: JobId, rung: u8) {
        let Some(held) = self.book.set_rung(job, rung) else { return };
        if let Some(join) = held.join.as_ref().filter(|join| join.flows()) {
            held.span.in_scope(|| tracing::debug!(rung, "step"));
            self.carrier.step(job, join.number, rung);
        }
    }

    fn move_subscription(&mut self, job: JobId) {
        let Some(held) = self.close(job) else { return };
        held.span.in_scope(|| tracing::info!("moved"));
        if let Some(join) = &held.join {
            self.owe_cancelled(job, join);
        }
        held.waiting.iter().chain(&held.plays_to).for_each(|line| self.carrier.redirect(*line));
    }

    fn cancel(&mut self, job: JobId, join: u16) {
        // A join whose stream has started is not withdrawn.
        let flows = self.book.current(job, join).is_none_or(|join| join.flows());
        if let Some(ended) = (!flows).then(|| self.book.end_join(job, join)).flatten() {
            self.carrier.end_join(job, join);
            let latency = self.now - ended.sent;
            let ending = Ending::Cancelled;
            self.owed.push(Owed::Outcome(job, join, ended.streamer, ending, false, latency, Vec::new()));
        }
    }

    fn set_timer(&mut self, from_now: Duration, token: u64) {
        self.carrier.remind(from_now, token);
    }

    fn send_probe(&mut self, streamer: StreamerId) {
        self.carrier.probe(streamer);
    }

    // Each join has a connection of its own, closed with it: none is idle.
    fn close_connection(&mut self, _streamer: StreamerId) {}

    fn send_to_peers(&mut self, peer: Option<u16>, bytes: &[u8]) {
        self.carrier.signal(peer, bytes);
    }

    fn watch_list(&mut self, want: bool) {
        self.carrier.observe(want);
    }

    fn request_full_list(&mut self) {
        self.carrier.list_all();
    }

    fn log_info(&mut self, line: &str) {
        tracing::info!(target: "module", "{line}");
    }

    fn log_error(&mut self, line: &str) {
        tracing::error!(target: "module", "{line}");
    }
}

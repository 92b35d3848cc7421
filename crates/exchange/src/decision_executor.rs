//! Carries out the decisions of the decision module.

use std::time::Duration;

use badgerledge_core::interface::{DecisionSink, Ending, JobId, StreamerId, SubscriptionRequest};

use crate::subscription_table::{Join, SubscriptionTable};
use crate::{Admission, ConnectionId};

/// The actions of the exchange on connections. All of them are done at once or queued; no results are
/// returned through here.
pub trait Transport {
    /// Answers all SETUPs that wait on a connection: the subscription plays.
    fn grant(&mut self, viewer: ConnectionId, job: JobId);
    /// Answers all SETUPs that wait on a connection with 503, and with a cool-down unless it is zero.
    fn throttle(&mut self, viewer: ConnectionId, cool_down: Duration);
    /// Answers all SETUPs that wait on a connection: 504 if no answer came in time, 500 otherwise.
    fn terminate(&mut self, viewer: ConnectionId, late: bool);
    /// Starts a join: connects, and reports [`crate::JoinEvents::join_opened`] once established.
    fn open_join(&mut self, job: JobId, number: u16, streamer: StreamerId);
    /// Sends SETUP on an established join.
    fn set_up(&mut self, job: JobId, number: u16, asked: &SubscriptionRequest, rung: Option<u8>);
    /// Sends PLAY on a join that was set up.
    fn play(&mut self, job: JobId, number: u16);
    /// Sends a new rung on a playing join.
    fn step(&mut self, job: JobId, number: u16, rung: u8);
    /// Ends a join at once: sends TEARDOWN if it was set up, and closes the connection before anything else
    /// is sent.
    fn end_join(&mut self, job: JobId, number: u16);
    /// Sends REDIRECT, which sends a viewer back to this controller.
    fn redirect(&mut self, viewer: ConnectionId);
    /// Tells a viewer that its stream has ended: sends BYE and closes the connection.
    fn send_bye(&mut self, viewer: ConnectionId);
    /// Reports the result of a join, which shows whether its streamer fails: `None` if it plays, otherwise
    /// how it ended.
    fn join_result(&mut self, streamer: StreamerId, ending: Option<Ending>);
    /// Sets a reminder for the decision module.
    fn remind(&mut self, from_now: Duration, token: u64);
    /// Probes a streamer.
    fn probe(&mut self, streamer: StreamerId);
    /// Sends a message to one other controller, or to all.
    fn send_to_peers(&mut self, peer: Option<u16>, bytes: &[u8]);
    /// Subscribes to changes of the streamer list, or unsubscribes.
    fn watch_list(&mut self, want: bool);
    /// Requests the complete streamer list.
    fn request_full_list(&mut self);
}

/// Implements the decision module's [`DecisionSink`] on the subscription table and the transport.
pub(crate) struct DecisionExecutor<'a, C> {
    pub subscriptions: &'a mut SubscriptionTable,
    pub admission: &'a mut Admission,
    pub transport: &'a mut C,
    pub now: Duration,
    /// Outcomes that the decision module has not received yet, in order.
    pub pending_outcomes: &'a mut Vec<PendingOutcome>,
    /// Room types that must not be set up twice.
    pub unsafe_room_types: &'a mut Vec<usize>,
    /// Set while new joins are held back: viewers are throttled with this cool-down.
    pub hold_cool_down: Option<Duration>,
}

/// An outcome that the decision module must be told: that a join plays or has ended. Delivered in the current
/// round or the next one.
pub(crate) enum PendingOutcome {
    /// The job, the number of its join, its streamer and the latency.
    Playing(JobId, u16, StreamerId, Duration),
    /// The job, the number of its join, its streamer, how it ended, whether the subscription is over, the
    /// latency and the load that the streamer reported.
    Ended(JobId, u16, StreamerId, Ending, bool, Duration, Vec<f64>),
}

impl<C: Transport> DecisionExecutor<'_, C> {
    /// Ends a subscription: removes its record, ends its join and frees its place.
    pub fn close(&mut self, job: JobId) -> Option<crate::subscription_table::SubscriptionRecord> {
        let subscription = self.subscriptions.remove(job)?;
        self.admission.leave(self.now);
        if let Some(join) = &subscription.join {
            self.transport.end_join(job, join.number);
        }
        Some(subscription)
    }

    /// Remembers a terminated subscription of an unsafe room type for as long as its viewer may have sent
    /// another request meanwhile; viewers of these room types do not retry once they know. Guards rule 2
    /// against a retry that waited unread while this process was stopped. A viewer that deliberately retries
    /// within this time is rejected.
    pub fn remember_if_unsafe(&mut self, request: &SubscriptionRequest) {
        if self.unsafe_room_types.contains(&request.room_type) {
            self.subscriptions.remember_terminated(request, self.now + request.client_timeout);
        }
    }

    fn push_cancelled(&mut self, job: JobId, join: &Join) {
        let latency = self.now - join.sent_at;
        let Join { number, streamer, .. } = *join;
        self.pending_outcomes.push(PendingOutcome::Ended(
            job,
            number,
            streamer,
            Ending::Cancelled,
            true,
            latency,
            Vec::new(),
        ));
    }

    fn answer(&mut self, job: JobId, mut answer: impl FnMut(&mut C, ConnectionId)) {
        // A subscription that ends after its stream has started was answered before.
        if self.subscriptions.get(job).is_none_or(|subscription| subscription.playing_connection.is_some()) {
            return;
        }
        let Some(subscription) = self.close(job) else { return };
        if let Some(join) = &subscription.join {
            self.push_cancelled(job, join);
        }
        subscription.waiting_connections.iter().for_each(|connection| answer(self.transport, *connection));
    }
}

impl<C: Transport> DecisionSink for DecisionExecutor<'_, C> {
    fn send_join(&mut self, job: JobId, streamer: StreamerId, try_until: Duration) {
        let Some(number) = self.subscriptions.start_join(job, streamer, self.now, try_until) else {
            // The subscription has an outstanding join, plays or is over: reported as moot, as the simulator
            // does.
            let moot = PendingOutcome::Ended(
                job,
                u16::MAX,
                streamer,
                Ending::Moot,
                true,
                Duration::ZERO,
                Vec::new(),
            );
            return self.pending_outcomes.push(moot);
        };
        if let Some(cool_down) = self.hold_cool_down {
            // New joins are held back, so this one is not sent and its viewer is throttled at once.
            return self.answer(job, |transport, connection| transport.throttle(connection, cool_down));
        }
        if let Some(subscription) = self.subscriptions.get(job) {
            subscription.span.in_scope(|| {
                tracing::debug!(
                    target: "badgerledge_exchange::desk",
                    %streamer,
                    number,
                    rung = subscription.rung,
                    "join"
                )
            });
        }
        self.transport.open_join(job, number, streamer);
    }

    fn throttle(&mut self, job: JobId, cool_down: Duration) {
        if let Some(subscription) = self.subscriptions.get(job) {
            subscription.span.in_scope(|| {
                tracing::info!(
                    target: "badgerledge_exchange::desk",
                    cool_down_ms = cool_down.as_millis() as u64,
                    "throttled"
                )
            });
        }
        self.answer(job, |transport, connection| transport.throttle(connection, cool_down));
    }

    fn respond_error(&mut self, job: JobId) {
        let Some(subscription) = self.subscriptions.get(job) else { return };
        let late = self.now >= subscription.admitted_at + subscription.request.client_timeout;
        subscription
            .span
            .in_scope(|| tracing::info!(target: "badgerledge_exchange::desk", late, "terminated"));
        let request = subscription.request;
        self.remember_if_unsafe(&request);
        self.answer(job, |transport, connection| transport.terminate(connection, late));
    }

    fn set_rung(&mut self, job: JobId, rung: u8) {
        let Some(subscription) = self.subscriptions.set_rung(job, rung) else { return };
        if let Some(join) = subscription.join.as_ref().filter(|join| join.plays()) {
            subscription
                .span
                .in_scope(|| tracing::debug!(target: "badgerledge_exchange::desk", rung, "step"));
            self.transport.step(job, join.number, rung);
        }
    }

    fn move_subscription(&mut self, job: JobId) {
        let Some(subscription) = self.close(job) else { return };
        subscription.span.in_scope(|| tracing::info!(target: "badgerledge_exchange::desk", "moved"));
        if let Some(join) = &subscription.join {
            self.push_cancelled(job, join);
        }
        subscription
            .waiting_connections
            .iter()
            .chain(&subscription.playing_connection)
            .for_each(|connection| self.transport.redirect(*connection));
    }

    fn cancel(&mut self, job: JobId, join: u16) {
        // A join whose stream has started is not withdrawn.
        let playing = self.subscriptions.current_join(job, join).is_none_or(|join| join.plays());
        if let Some(ended) = (!playing).then(|| self.subscriptions.end_join(job, join)).flatten() {
            self.transport.end_join(job, join);
            let latency = self.now - ended.sent_at;
            let ending = Ending::Cancelled;
            self.pending_outcomes.push(PendingOutcome::Ended(
                job,
                join,
                ended.streamer,
                ending,
                false,
                latency,
                Vec::new(),
            ));
        }
    }

    fn set_timer(&mut self, from_now: Duration, token: u64) {
        self.transport.remind(from_now, token);
    }

    fn send_probe(&mut self, streamer: StreamerId) {
        self.transport.probe(streamer);
    }

    // Each join has its own connection, which is closed with it: none is idle.
    fn close_connection(&mut self, _streamer: StreamerId) {}

    fn send_to_peers(&mut self, peer: Option<u16>, bytes: &[u8]) {
        self.transport.send_to_peers(peer, bytes);
    }

    fn watch_list(&mut self, want: bool) {
        self.transport.watch_list(want);
    }

    fn request_full_list(&mut self) {
        self.transport.request_full_list();
    }

    fn log_info(&mut self, text: &str) {
        tracing::info!(target: "module", "{text}");
    }

    fn log_error(&mut self, text: &str) {
        tracing::error!(target: "module", "{text}");
    }
}

//! Takes the module's decisions as they are made, and carries each out at once.

use std::time::Duration;

use badgerledge_core::interface::{DecisionSink, Ending, JobId, Listing, StreamerId};
use badgerledge_signalling::{streamers, viewers};

use crate::calls::{trace, Calls, Due, Offered};
use crate::causes::{CUT, THROTTLED};
use crate::phase::Phase;
use crate::unanswered::{By, Step};
use crate::wires::Wires;

/// How long a streamer has to end what was moved before it is told to.
const MOVED_WITHIN: Duration = Duration::from_millis(600);

pub struct Dispatcher<'a, W> {
    pub now: Duration,
    pub calls: &'a mut Calls,
    pub wires: &'a mut W,
}

impl<W: Wires> Dispatcher<'_, W> {
    /// The final answer to a call that no join is out for.
    fn answer(&mut self, job: JobId, cause: u8, cool_down: Duration) {
        let Some(call) = self.calls.get(job).filter(|call| call.phase.is_open()) else { return };
        let (line, wire_id) = (call.line, call.wire_id);
        if !self.wires.answer(line, &viewers::release(wire_id, cause, cool_down)) {
            self.calls.note_unanswered(self.now, job, By::Network, Some(Step::NotTaken));
        }
        let Some(call) = self.calls.drop_call(job) else { return };
        trace(wire_id, "answered", (cause, cool_down));
        self.calls.withdraw_join(self.now, job, &call, self.wires);
    }
}

impl<W: Wires> DecisionSink for Dispatcher<'_, W> {
    fn send_join(&mut self, job: JobId, streamer: StreamerId, try_until: Duration) {
        let (now, most) = (self.now, self.calls.terms.most_joins);
        let Some(call) = self.calls.get_mut(job) else { return };
        let join = call.joins;
        if call.phase != Phase::Waiting || now >= call.until || join >= most {
            let over = !call.phase.is_open();
            return self.calls.outcome(now, job, (streamer, join, now), Ending::Moot, over, Vec::new());
        }
        (call.joins, call.sent, call.phase) = (join + 1, now, Phase::Out(streamer));
        let until = try_until.min(call.until);
        let (wire_id, rung) = (call.wire_id, call.rung);
        let offered = self.calls.get(job).and_then(|call| call.offered.as_deref());
        let Some(Offered { room_type, title, description }) = offered else { return };
        let name = &self.calls.terms.room_types[*room_type];
        let left = until.saturating_sub(now);
        // It was checked for length when it came.
        let offer = streamers::offer(wire_id, name, title, left, rung, description).unwrap_or_default();
        self.calls.due.insert((until, Due::Join(job, join)));
        self.wires.join(job, wire_id, streamer, offer);
    }

    fn throttle(&mut self, job: JobId, cool_down: Duration) {
        self.answer(job, THROTTLED, cool_down);
    }

    fn respond_error(&mut self, job: JobId) {
        self.answer(job, CUT, Duration::ZERO);
    }

    fn set_rung(&mut self, job: JobId, rung: u8) {
        let Some(call) = self.calls.get_mut(job) else { return };
        call.rung = Some(rung);
        if let Phase::Stands(streamer) = call.phase {
            self.wires.say(streamer, streamers::step(call.wire_id, rung));
        }
    }

    fn move_subscription(&mut self, job: JobId) {
        let Some(call) = self.calls.get_mut(job) else { return };
        if let Phase::Stands(streamer) = call.phase {
            call.phase = Phase::Leaves(streamer);
            trace(call.wire_id, "moved", streamer);
            let (line, wire_id, message) = (call.line, call.wire_id, viewers::moved(call.wire_id));
            // On its way it is lost for no harm: its streamer ends what was not moved.
            if !self.wires.answer(line, &message) {
                self.wires.release(line, wire_id, message);
            }
            self.calls.due.insert((self.now + MOVED_WITHIN, Due::Moved(job)));
        }
    }

    fn cancel(&mut self, job: JobId, join: u16) {
        let Some(call) = self.calls.get_mut(job).filter(|call| call.joins == join + 1) else { return };
        if let Phase::Out(streamer) = call.phase {
            call.phase = Phase::Waiting;
            let (wire_id, sent) = (call.wire_id, call.sent);
            self.wires.withdraw(job, wire_id, streamer);
            self.calls.outcome(self.now, job, (streamer, join, sent), Ending::Cancelled, false, Vec::new());
        }
    }

    fn set_timer(&mut self, from_now: Duration, token: u64) {
        // Never in the round that is being answered.
        let at = self.now + from_now.max(Duration::from_micros(1));
        self.calls.due.insert((at, Due::Module(token)));
    }

    fn send_probe(&mut self, streamer: StreamerId) {
        self.wires.probe(streamer);
    }

    fn close_connection(&mut self, streamer: StreamerId) {
        self.wires.drop_idle(streamer);
    }

    fn send_to_peers(&mut self, peer: Option<u16>, bytes: &[u8]) {
        self.wires.signal(peer, bytes);
    }

    fn watch_list(&mut self, _want: bool) {
        self.request_full_list();
    }

    /// The list is asked for all the time; that it came is told.
    fn request_full_list(&mut self) {
        self.calls.arrivals.push(Box::new(|module| {
            module.list_begins(Listing::Changes);
            module.list_ends(Listing::Changes);
        }));
    }

    fn log_info(&mut self, line: &str) {
        tracing::info!(line, "the module");
    }

    fn log_error(&mut self, line: &str) {
        tracing::error!(line, "the module gave in");
    }
}

//! All calls from their set-ups to their ends, in the sets they are counted in, and what the module has yet to hear of
//! them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::time::Duration;

use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{Ending, JobId, StreamerId};
use badgerledge_reactor::Line;
use badgerledge_signalling::streamers;

use crate::asked::Terms;
use crate::phase::Phase;
use crate::unanswered::{By, Lost, Step, Unanswered};
use crate::wires::Wires;

/// What is passed on to streamers until one has answered.
pub struct Offered {
    pub room_type: usize,
    pub title: String,
    pub description: String,
}

pub struct Call {
    /// The id that viewers and streamers name it by.
    pub wire_id: u64,
    /// The viewer's connection that its set-up came on.
    pub line: Line,
    /// When its set-up was heard.
    pub came: Duration,
    /// When the viewer gives up, less what the way back takes.
    pub until: Duration,
    pub offered: Option<Box<Offered>>,
    pub rung: Option<u8>,
    pub joins: u16,
    pub sent: Duration,
    pub phase: Phase,
}

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Join(JobId, u16),
    LastCall(JobId),
    Moved(JobId),
    Module(u64),
}

/// A record for the module, on its way into the call that takes its fields.
pub type Arrival = Box<dyn FnOnce(&mut Controller)>;

/// All calls, and what the module has yet to hear of them.
pub struct Calls {
    pub terms: Terms,
    pub all: BTreeMap<JobId, Call>,
    pub by_wire_id: BTreeMap<u64, JobId>,
    /// Calls without an answer, by the viewer's connection.
    pub open: BTreeMap<Line, BTreeSet<JobId>>,
    /// Calls that stand or leave, by streamer.
    pub standing: BTreeMap<StreamerId, BTreeSet<JobId>>,
    pub due: BTreeSet<(Duration, Due)>,
    pub arrivals: Vec<Arrival>,
    pub next_job: JobId,
    pub open_count: usize,
    /// Set-ups whose connection ended before their answer.
    pub unanswered: Unanswered,
}

impl Calls {
    pub fn get(&self, job: JobId) -> Option<&Call> {
        self.all.get(&job)
    }

    pub fn get_mut(&mut self, job: JobId) -> Option<&mut Call> {
        self.all.get_mut(&job)
    }

    /// The call of a subscription.
    #[cfg(test)]
    pub fn job(&self, wire_id: u64) -> Option<JobId> {
        self.by_wire_id.get(&wire_id).copied()
    }

    pub fn keep(&mut self, call: Call) -> JobId {
        let job = self.next_job;
        self.next_job = self.next_job.wrapping_add(1);
        self.by_wire_id.insert(call.wire_id, job);
        match call.phase {
            Phase::Stands(streamer) => drop(self.standing.entry(streamer).or_default().insert(job)),
            _ => {
                self.open.entry(call.line).or_default().insert(job);
                self.open_count += 1;
            }
        }
        self.all.insert(job, call);
        job
    }

    /// Takes a call out of the set it is counted in.
    pub fn uncount(&mut self, job: JobId) {
        let Some(call) = self.all.get(&job) else { return };
        match call.phase {
            Phase::Waiting | Phase::Out(_) => {
                self.open_count -= 1;
                if let Some(open) = self.open.get_mut(&call.line) {
                    open.remove(&job);
                    if open.is_empty() {
                        self.open.remove(&call.line);
                    }
                }
            }
            Phase::Stands(streamer) | Phase::Leaves(streamer) => {
                if let Some(standing) = self.standing.get_mut(&streamer) {
                    standing.remove(&job);
                    if standing.is_empty() {
                        self.standing.remove(&streamer);
                    }
                }
            }
        }
    }

    pub fn stand(&mut self, job: JobId, streamer: StreamerId) {
        self.uncount(job);
        let Some(call) = self.all.get_mut(&job) else { return };
        (call.phase, call.offered) = (Phase::Stands(streamer), None);
        let last_call = (call.until, Due::LastCall(job));
        self.standing.entry(streamer).or_default().insert(job);
        self.due.remove(&last_call);
    }

    pub fn drop_call(&mut self, job: JobId) -> Option<Call> {
        self.uncount(job);
        let call = self.all.remove(&job)?;
        self.by_wire_id.remove(&call.wire_id);
        self.due.remove(&(call.until, Due::LastCall(job)));
        Some(call)
    }

    /// Tells the module how a join ended, or what had stood.
    pub fn outcome(
        &mut self, now: Duration, job: JobId, call: (StreamerId, u16, Duration), ending: Ending, over: bool,
        usage: Vec<f64>,
    ) {
        let (streamer, join, sent) = call;
        let latency = now.saturating_sub(sent);
        self.arrivals.push(Box::new(move |module| {
            module.outcome(job, streamer, join, ending, over, latency, &usage);
        }));
    }

    /// Takes back the join that is out for a call that was dropped, if one is, and tells the module.
    pub fn withdraw_join(&mut self, now: Duration, job: JobId, call: &Call, wires: &mut impl Wires) {
        let Phase::Out(streamer) = call.phase else { return };
        wires.withdraw(job, call.wire_id, streamer);
        let join = (streamer, call.joins - 1, call.sent);
        self.outcome(now, job, join, Ending::Cancelled, true, Vec::new());
    }

    /// Counts a set-up whose viewer will not hear its answer, at the step that it is at or the one named.
    pub fn note_unanswered(&mut self, now: Duration, job: JobId, by: By, step: Option<Step>) {
        let Some(call) = self.all.get(&job) else { return };
        let (at, streamer) = Step::of(call.phase, call.joins);
        let (wire_id, held) = (call.wire_id, now.saturating_sub(call.came));
        self.unanswered.note(now, &Lost { wire_id, by, step: step.unwrap_or(at), streamer, held });
    }

    pub fn usage(&self, load: Option<&str>) -> Vec<f64> {
        load.map_or_else(Vec::new, |load| streamers::parse_load_report(load, &self.terms.report))
    }
}

/// What becomes of a subscription, for who looks for one; nothing is written unless that is asked for.
pub fn trace(wire_id: u64, what: &str, of: impl Debug) {
    tracing::trace!(wire_id = format_args!("{wire_id:016x}"), ?of, "{what}");
}

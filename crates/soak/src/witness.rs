//! Judges the record of a run by the protocol's rules and figures, with the slack that it allows. Does no I/O.

use std::time::Duration;

use serde::Serialize;

use crate::messages::HARMLESS;
use crate::plan::{Plan, SINGLE_SHOT};
use crate::record::{Answer, Join, Life, Record, Request};

/// Every time limit is longer by this.
const SLACK: Duration = Duration::from_millis(50);
/// A request that crosses the close of a connection by at most this time is sent again.
const CROSSING: Duration = Duration::from_millis(50);
/// An answer this long after its request's time is not lost yet.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// SIGKILL may find requests unanswered that came this soon after SIGTERM.
const EXCUSED_AFTER_SIGNAL: Duration = Duration::from_millis(700);
/// No attempt may begin for a client that left longer ago.
const ATTEMPT_AFTER_LEAVING: Duration = Duration::from_millis(100);
/// A session that is over is released within this time.
const RELEASE_WITHIN: Duration = Duration::from_secs(1);
/// The same if no release could be sent at first.
const RELEASE_LATEST: Duration = Duration::from_secs(8);
const DRAIN_GRACE: Duration = Duration::from_millis(500);
const READY_WITHIN: Duration = Duration::from_secs(10);

/// A rule that a run broke.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    pub rule: &'static str,
    pub at: Duration,
    /// The request, if it concerns one.
    pub request: Option<u64>,
    pub what: String,
}

/// Judges a whole run that ended at `ended_at`.
pub fn judge(plan: &Plan, record: &Record, ended_at: Duration) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, request) in &record.requests {
        let judged = [
            lost(record, request, ended_at),
            wrong_answer(request),
            two_joins_out(request),
            set_up_twice(request),
            wrong_refusal(request),
            attempt_for_a_client_that_left(record, request),
            drained(request),
            not_released(record, request, ended_at),
        ];
        violations.extend(
            judged.into_iter().flatten().map(|violation| Violation { request: Some(*id), ..violation }),
        );
    }
    violations.extend(record.lives.iter().flat_map(|life| judge_life(plan, life, ended_at)));
    violations.extend(record.unreadable.iter().map(|(at, what)| violation("unreadable", *at, what.clone())));
    violations.sort_by_key(|violation| violation.at);
    violations
}

fn violation(rule: &'static str, at: Duration, what: String) -> Violation {
    Violation { rule, at, request: None, what }
}

/// A request that was taken and has no answer, or a late one.
fn lost(record: &Record, request: &Request, ended_at: Duration) -> Option<Violation> {
    let sent_at = request.sent_at?;
    let life = &record.lives[request.life];
    let latest = sent_at + request.timeout + LATE_ANSWER + SLACK;
    if let Some((at, _)) = request.answers.first() {
        let left_first = request.left_at.is_some_and(|left_at| left_at < *at);
        let stopped = stopped_between(life, sent_at, *at);
        let late = *at > latest + stopped && !left_first;
        return late
            .then(|| violation("lost", *at, format!("answered {:?} after it was sent", *at - sent_at)));
    }
    if request.left_at.is_some() || request.not_taken {
        return None;
    }
    let Some(cut_at) = request.cut_at else {
        let stopped = stopped_between(life, sent_at, ended_at);
        return (ended_at > latest + stopped).then(|| violation("lost", latest, "never answered".to_owned()));
    };
    if life.crash || excused_by_the_kill(life, sent_at, cut_at) {
        return None;
    }
    if cut_at > latest + stopped_between(life, sent_at, cut_at) {
        return Some(violation("lost", latest, "not answered before its connection ended".to_owned()));
    }
    let crossed = cut_at <= sent_at + CROSSING && !request.sent_again;
    (!crossed).then(|| {
        let after = life.terminated_at.and_then(|at| cut_at.checked_sub(at));
        violation(
            "lost",
            cut_at,
            format!("connection ended {:?} after it was sent, {after:?} after SIGTERM", cut_at - sent_at),
        )
    })
}

/// Whether the process was killed with this request pending, and the request came early enough.
fn excused_by_the_kill(life: &Life, sent_at: Duration, cut_at: Duration) -> bool {
    let Some((terminated_at, killed_at)) = life.terminated_at.zip(life.killed_at) else { return false };
    cut_at >= killed_at && sent_at <= terminated_at + EXCUSED_AFTER_SIGNAL
}

/// The time for which the rig had stopped the process.
fn stopped_between(life: &Life, from: Duration, until: Duration) -> Duration {
    let overlap = |(start, end): &(Duration, Duration)| (*end).min(until).saturating_sub((*start).max(from));
    life.stopped.iter().map(overlap).sum()
}

/// A second final answer, or one that no streamer made. The release of a session that was accepted may come
/// again, on another connection, if the one that it was sent on ends before its client acknowledges it.
fn wrong_answer(request: &Request) -> Option<Violation> {
    let (mut accepted, mut over) = (false, false);
    for (at, answer) in &request.answers {
        let wrong = match answer {
            Answer::Accepted { genuine: false } => Some("accepted with what no streamer made"),
            Answer::Accepted { .. } if accepted || over => Some("accepted after a final answer"),
            Answer::Moved if !accepted || over => Some("moved without a session"),
            Answer::Released { .. } if over && !accepted => Some("refused after a final answer"),
            _ => None,
        };
        if let Some(what) = wrong {
            return Some(violation("answers", *at, what.to_owned()));
        }
        accepted |= matches!(answer, Answer::Accepted { .. });
        over |= matches!(answer, Answer::Released { .. });
    }
    None
}

/// Two joins of one request outstanding at the same time, or one while its session plays.
fn two_joins_out(request: &Request) -> Option<Violation> {
    let mut joins = request.joins.iter().collect::<Vec<_>>();
    joins.sort_by_key(|join| join.arrived_at);
    joins.windows(2).find_map(|pair| {
        let (first, second) = (pair[0], pair[1]);
        let out_until = first.ended.map_or(Duration::MAX, |(at, _)| at);
        let is_accepted = |(at, answer): &(Duration, Answer)| {
            matches!(answer, Answer::Accepted { .. }) && *at <= second.arrived_at
        };
        let accepted = request.answers.iter().any(is_accepted);
        if second.arrived_at < out_until {
            return Some(violation(
                "duplicates",
                second.arrived_at,
                format!("at {:08x} while one is out at {:08x}", second.streamer, first.streamer),
            ));
        }
        accepted.then(|| {
            violation("duplicates", second.arrived_at, "a join after the request was accepted".to_owned())
        })
    })
}

/// A room type that may not be set up twice, joined again after a join that may have run.
fn set_up_twice(request: &Request) -> Option<Violation> {
    if request.room_type != SINGLE_SHOT {
        return None;
    }
    let earlier = request.joins.split_last().map_or(&[][..], |(_, earlier)| earlier);
    let ran = |join: &&Join| join.ended.is_none_or(|(_, end)| !end.never_ran());
    earlier.iter().find(ran).map(|join| {
        violation("set up twice", join.arrived_at, "joined again after a join that may have run".to_owned())
    })
}

/// A request that may have run and may not be repeated, refused as harmless to repeat.
fn wrong_refusal(request: &Request) -> Option<Violation> {
    let (at, Answer::Released { cause }) = request.answers.first()? else { return None };
    let may_have_run = request.joins.iter().any(|join| join.ended.is_none_or(|(_, end)| !end.never_ran()));
    let wrong = request.room_type == SINGLE_SHOT && may_have_run && HARMLESS.contains(cause);
    wrong.then(|| violation("wrong refusal", *at, format!("cause {cause} after a join that may have run")))
}

/// A join that arrived long after its client had left. A process that is stopped between its decision and the
/// write of it cannot know.
fn attempt_for_a_client_that_left(record: &Record, request: &Request) -> Option<Violation> {
    let left_at = request.left_at?;
    let life = &record.lives[request.life];
    let late = |join: &&Join| {
        let stopped = stopped_between(life, left_at, join.arrived_at);
        join.arrived_at > left_at + ATTEMPT_AFTER_LEAVING + SLACK + stopped
    };
    request.joins.iter().find(late).map(|join| {
        let after = join.arrived_at - left_at;
        violation("attempt after leaving", join.arrived_at, format!("{after:?} after its client had left"))
    })
}

/// A join at a streamer that the controller had been told drains or is gone.
fn drained(request: &Request) -> Option<Violation> {
    request.joins.iter().find_map(|join| {
        let told_at = join.unlisted_at.filter(|told_at| join.arrived_at > *told_at + DRAIN_GRACE + SLACK)?;
        let after = join.arrived_at - told_at;
        Some(violation(
            "drains",
            join.arrived_at,
            format!("{after:?} after {:08x} was unlisted", join.streamer),
        ))
    })
}

/// A session that is over and whose client was not told in time, by a process that ran all the while.
fn not_released(record: &Record, request: &Request, ended_at: Duration) -> Option<Violation> {
    let over_at = request.session_ended_at?;
    let life = &record.lives[request.life];
    let released = |(_, answer): &&(Duration, Answer)| !matches!(answer, Answer::Accepted { .. });
    let told_at = request.answers.iter().find(released).map(|(at, _)| *at);
    let latest = over_at + RELEASE_LATEST + RELEASE_WITHIN + SLACK + stopped_between(life, over_at, ended_at);
    let process_ended = [life.terminated_at, life.killed_at, life.exited_at.map(|(at, _)| at)];
    let ran_throughout = process_ended.into_iter().flatten().all(|at| at > latest);
    let left = request.left_at.is_some_and(|left_at| left_at <= over_at + RELEASE_WITHIN);
    if left || !ran_throughout || told_at.map_or(ended_at, |at| at) <= latest {
        return None;
    }
    Some(violation("not released", latest, format!("its session was over at {over_at:?}")))
}

fn judge_life(plan: &Plan, life: &Life, ended_at: Duration) -> Vec<Violation> {
    let mut violations = Vec::new();
    let end = life.exited_at.map_or(ended_at, |(at, _)| at);
    let stopped = stopped_between(life, life.started_at, end);
    let ready_by = life.started_at + READY_WITHIN + stopped;
    let late = life.ready_at.map_or(life.terminated_at.is_none() && end > ready_by, |at| at > ready_by);
    if late {
        violations.push(violation("readiness", ready_by, format!("process {} is not ready", life.process)));
    }
    if life.max_descriptors > plan.max_sockets {
        let what = format!("{} descriptors of {}", life.max_descriptors, plan.max_sockets);
        violations.push(violation("limits", end, what));
    }
    if life.max_memory_kb > plan.memory_mb as u64 * 1024 {
        violations.push(violation("limits", end, format!("{} kB of memory", life.max_memory_kb)));
    }
    match (life.exited_at, life.terminated_at) {
        (Some((at, _)), None) if !life.crash => {
            violations.push(violation("crash", at, format!("process {} exited by itself", life.process)))
        }
        (Some((at, false)), Some(_)) if life.killed_at.is_none() => violations.push(violation(
            "crash",
            at,
            format!("process {} failed as it shut down", life.process),
        )),
        _ => {}
    }
    if let Some(killed_at) = life.killed_at.filter(|_| !life.crash) {
        let what = format!("process {} had to be killed", life.process);
        violations.push(violation("shutdown", killed_at, what));
    }
    let served_for = life.terminated_at.unwrap_or(end).saturating_sub(life.ready_at.unwrap_or(end));
    if life.accepted == 0 && served_for > Duration::from_secs(3) {
        violations.push(violation("serves nobody", end, format!("process {}", life.process)));
    }
    violations
}

//! Each rule's judge convicts a made-up record and acquits one just inside the figure.

use std::time::Duration;

use crate::plan::{Plan, SINGLE_SHOT};
use crate::record::{Answer, Join, JoinEnd, Life, Record, Request};
use crate::witness::judge;

const ACCEPTED: Answer = Answer::Accepted { genuine: true };

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A process that was ready at once and is there until the end.
fn life() -> Life {
    Life { ready_at: Some(ms(100)), accepted: 1, ..Life::default() }
}

/// A request of 1 s that was sent at second 10 and accepted soon.
fn request() -> Request {
    Request {
        timeout: ms(1000),
        sent_at: Some(ms(10_000)),
        answers: vec![(ms(10_050), ACCEPTED)],
        joins: vec![join(10_010, Some((10_040, JoinEnd::Accepted)))],
        ..Request::default()
    }
}

fn join(arrived_ms: u64, ended: Option<(u64, JoinEnd)>) -> Join {
    Join {
        streamer: 1,
        connection: 7,
        arrived_at: ms(arrived_ms),
        ended: ended.map(|(at, end)| (ms(at), end)),
        unlisted_at: None,
    }
}

/// The rules that a run of 60 s with this request and process breaks.
fn broken(request: Request, life: Life) -> Vec<&'static str> {
    let mut record = Record { lives: vec![life], ..Record::default() };
    record.requests.insert(1, request);
    let plan = Plan::draw(1, ms(60_000));
    judge(&plan, &record, ms(60_000)).into_iter().map(|violation| violation.rule).collect()
}

/// Checks that the first request breaks exactly this rule and the second none.
fn check(rule: &'static str, breaks: Request, keeps: Request) {
    assert_eq!(broken(breaks, life()), [rule]);
    assert_eq!(broken(keeps, life()), [""; 0]);
}

/// The same for a process.
fn check_life(rule: &'static str, breaks: Life, keeps: Life) {
    assert_eq!(broken(request(), breaks), [rule]);
    assert_eq!(broken(request(), keeps), [""; 0]);
}

#[test]
fn an_answer_over_half_a_second_late_is_lost() {
    let answered_at = |at| Request {
        answers: vec![(ms(at), Answer::Released { cause: 41 })],
        joins: Vec::new(),
        ..request()
    };
    check("lost", answered_at(11_551), answered_at(11_550));
    check("lost", Request { answers: Vec::new(), joins: Vec::new(), ..request() }, request());
}

#[test]
fn a_time_for_which_the_process_was_stopped_extends_the_limit() {
    let late = Request { answers: vec![(ms(11_900), ACCEPTED)], ..request() };
    let stopped = |until| Life { stopped: vec![(ms(10_100), ms(until))], ..life() };
    assert_eq!(broken(late.clone(), stopped(10_449)), ["lost"]);
    assert_eq!(broken(late, stopped(10_450)), [""; 0]);
}

#[test]
fn a_request_without_an_answer_at_the_end_of_its_connection_is_lost_unless_it_crossed_the_close() {
    let cut_at = |at, sent_again| {
        let cut = Request { answers: Vec::new(), joins: Vec::new(), cut_at: Some(ms(at)), ..request() };
        Request { sent_again, ..cut }
    };
    check("lost", cut_at(10_051, false), cut_at(10_050, false));
    check("lost", cut_at(10_020, true), cut_at(10_020, false));
    let not_taken = Request { not_taken: true, ..cut_at(10_020, true) };
    assert_eq!(broken(Request { cut_at: None, ..not_taken }, life()), [""; 0]);
}

#[test]
fn the_kill_excuses_requests_that_came_soon_after_the_signal() {
    let cut = Request { answers: Vec::new(), joins: Vec::new(), cut_at: Some(ms(11_000)), ..request() };
    let killed = |terminated_ms| Life {
        terminated_at: Some(ms(terminated_ms)),
        killed_at: Some(ms(10_999)),
        exited_at: Some((ms(11_000), false)),
        ..life()
    };
    assert_eq!(broken(cut.clone(), killed(9_299)), ["shutdown", "lost"]);
    assert_eq!(broken(cut.clone(), killed(9_300)), ["shutdown"]);
    // A process that exits by itself has no such excuse.
    let exited = Life { killed_at: None, exited_at: Some((ms(11_000), true)), ..killed(9_300) };
    assert_eq!(broken(cut.clone(), exited), ["lost"]);
    let crashed = Life { crash: true, terminated_at: None, ..killed(9_300) };
    assert_eq!(broken(cut, crashed), [""; 0]);
}

#[test]
fn a_second_final_answer_is_wrong_and_a_repeated_release_of_a_session_is_not() {
    let released = Answer::Released { cause: 16 };
    let answers = |answers: &[Answer]| Request {
        answers: answers.iter().map(|answer| (ms(10_050), *answer)).collect(),
        ..request()
    };
    check("answers", answers(&[released, released]), answers(&[ACCEPTED, released, released]));
    check("answers", answers(&[ACCEPTED, ACCEPTED]), answers(&[ACCEPTED, Answer::Moved]));
    check("answers", answers(&[Answer::Accepted { genuine: false }]), answers(&[ACCEPTED]));
    check("answers", answers(&[Answer::Moved]), answers(&[ACCEPTED, Answer::Moved, released]));
}

#[test]
fn joins_of_one_request_may_not_overlap() {
    let two = |ended, second| Request {
        answers: vec![(ms(10_700), Answer::Released { cause: 41 })],
        joins: vec![join(10_010, ended), join(second, Some((10_690, JoinEnd::Withdrawn)))],
        ..request()
    };
    let withdrawn = Some((10_600, JoinEnd::Withdrawn));
    check("duplicates", two(withdrawn, 10_599), two(withdrawn, 10_600));
    check("duplicates", two(None, 10_650), two(withdrawn, 10_650));
    let accepted = Some((10_040, JoinEnd::Accepted));
    let after_accept = Request { answers: vec![(ms(10_050), ACCEPTED)], ..two(accepted, 10_051) };
    let crossing = Request { answers: vec![(ms(10_050), ACCEPTED)], ..two(accepted, 10_049) };
    check("duplicates", after_accept, crossing);
}

#[test]
fn a_single_shot_request_is_not_joined_again_or_refused_as_harmless_once_it_may_have_run() {
    let again = |cause| Request {
        room_type: SINGLE_SHOT,
        joins: vec![
            join(10_010, Some((10_020, JoinEnd::Refused { cause }))),
            join(10_030, Some((10_040, JoinEnd::Accepted))),
        ],
        ..request()
    };
    check("set up twice", again(41), again(34));
    let refused = |cause| Request {
        room_type: SINGLE_SHOT,
        answers: vec![(ms(10_100), Answer::Released { cause })],
        joins: vec![join(10_010, Some((10_090, JoinEnd::Withdrawn)))],
        ..request()
    };
    check("wrong refusal", refused(42), refused(41));
}

#[test]
fn no_attempt_begins_long_after_its_client_left() {
    let left = |arrived| Request {
        left_at: Some(ms(10_005)),
        joins: vec![join(arrived, None)],
        answers: Vec::new(),
        ..request()
    };
    check("attempt after leaving", left(10_156), left(10_155));
    let stopped = |until| Life { stopped: vec![(ms(10_000), ms(until))], ..life() };
    assert_eq!(broken(left(10_200), stopped(10_049)), ["attempt after leaving"]);
    assert_eq!(broken(left(10_200), stopped(10_050)), [""; 0]);
}

#[test]
fn nothing_new_goes_to_a_draining_streamer_after_the_grace() {
    let drained = |told_ms| {
        let mut drained = request();
        drained.joins[0].unlisted_at = Some(ms(told_ms));
        drained
    };
    check("drains", drained(9_459), drained(9_460));
}

#[test]
fn a_session_that_is_over_is_released_in_time() {
    let over = |released_ms| Request {
        answers: vec![(ms(10_050), ACCEPTED), (ms(released_ms), Answer::Released { cause: 16 })],
        session_ended_at: Some(ms(20_000)),
        ..request()
    };
    check("not released", over(29_051), over(29_050));
    let never = Request { answers: vec![(ms(10_050), ACCEPTED)], ..over(0) };
    assert_eq!(broken(never.clone(), life()), ["not released"]);
    let shut_down = Life { terminated_at: Some(ms(25_000)), exited_at: Some((ms(26_000), true)), ..life() };
    assert_eq!(broken(never, shut_down), [""; 0]);
}

#[test]
fn a_process_is_ready_in_time_stays_within_its_limits_and_exits_only_when_told() {
    let plan = Plan::draw(1, ms(60_000));
    let ready = |at| Life { ready_at: Some(ms(at)), ..life() };
    check_life("readiness", ready(10_001), ready(10_000));
    let descriptors = |count| Life { max_descriptors: count, ..life() };
    check_life("limits", descriptors(plan.max_sockets + 1), descriptors(plan.max_sockets));
    let memory = |kb| Life { max_memory_kb: kb, ..life() };
    check_life("limits", memory(plan.memory_mb as u64 * 1024 + 1), memory(plan.memory_mb as u64 * 1024));
    let exited = |terminated: Option<u64>, success| Life {
        terminated_at: terminated.map(ms),
        exited_at: Some((ms(30_000), success)),
        ..life()
    };
    check_life("crash", exited(None, true), exited(Some(29_000), true));
    check_life("crash", exited(Some(29_000), false), exited(Some(29_000), true));
    check_life("serves nobody", Life { accepted: 0, ..life() }, life());
}

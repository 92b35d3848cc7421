//! Checks the six rules from the messages that viewers, streamers and the list service see, never from what a
//! controller reports about itself.
//!
//! The test doubles for these parties report each event in order; [`RuleChecker::results`] then returns for
//! each rule how often it was checked and violated, with the first examples. A killed or stopped controller
//! is not responsible for the requests that it held.

mod cold_streamer;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use badgerledge_core::interface::StreamerId;
use badgerledge_deployment::Shared;

use cold_streamer::ColdStreamer;

/// The six rules, in order of their numbers.
pub const RULES: [&str; 6] = [
    "one answer before the client timeout",
    "never two joins out, unsafe room types never set up twice",
    "nothing new to a draining or gone streamer after the grace",
    "a cold streamer is not pushed over",
    "floors and seats are kept",
    "further joins stay within their budget",
];

/// The result for one rule.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleResult {
    pub checks: u64,
    pub violations: u64,
    /// Descriptions of the first few violations.
    pub examples: Vec<String>,
}

/// Violations that are described; further ones are only counted.
const MAX_EXAMPLES: usize = 5;
/// Upper bound for the transit of a list update from the list service to a controller, and of a SETUP from a
/// controller to a streamer: loopback, but on a busy machine.
const MAX_TRANSIT: Duration = Duration::from_millis(100);

/// A viewer's request on one of its connections.
#[derive(Debug)]
struct Request {
    viewer: u64,
    title: u64,
    room_type: usize,
    controller: u32,
    sent_at: Duration,
    client_timeout: Duration,
    answers: u32,
    /// Its controller was killed or stopped, or its viewer abandoned it: it needs no answer.
    excused: bool,
    /// The process that it was sent to has ended, so nobody knows of it any more.
    void: bool,
    /// The subscription it belongs to: a retry during the first try belongs to the same one.
    subscription: u64,
}

/// Joins of one subscription, over all of its requests.
#[derive(Debug, Default)]
struct Subscription {
    /// SETUPs at streamers that are not proven to have never run.
    possibly_ran: u32,
    /// All SETUPs at streamers.
    joins: u32,
}

/// An outstanding SETUP at a streamer.
#[derive(Debug)]
struct OutstandingJoin {
    viewer: u64,
    title: u64,
    room_type: usize,
    controller: Option<u32>,
    request: Option<u64>,
}

/// State of one controller since its start.
#[derive(Debug, Default)]
struct ControllerState {
    requests: VecDeque<Duration>,
    further_joins: VecDeque<Duration>,
    /// Streamers that the controller was told are draining or gone, and since when.
    unavailable: BTreeMap<StreamerId, Duration>,
    /// Seats in use by title and room type.
    seats: BTreeMap<(u64, usize), u32>,
    running: bool,
}

/// Follows the events of a run and checks the rules.
pub struct RuleChecker {
    shared: Shared,
    rules: [RuleResult; 6],
    requests: BTreeMap<u64, Request>,
    subscriptions: BTreeMap<u64, Subscription>,
    /// The latest request of a viewer for a title.
    latest_request: BTreeMap<(u64, u64), u64>,
    outstanding_joins: BTreeMap<u64, OutstandingJoin>,
    /// Outstanding joins by viewer and title.
    outstanding_counts: BTreeMap<(u64, u64), u32>,
    controllers: BTreeMap<u32, ControllerState>,
    cold_streamers: BTreeMap<StreamerId, ColdStreamer>,
    /// When the first and the last controller was told that a streamer is draining or gone.
    unavailable_since: BTreeMap<StreamerId, (Duration, Duration)>,
    /// All SETUPs at streamers: the time, the streamer and the title.
    set_ups: Vec<(Duration, StreamerId, u64)>,
}

impl RuleChecker {
    /// Creates a checker for these settings.
    pub fn new(shared: Shared) -> Self {
        Self {
            shared,
            rules: Default::default(),
            requests: BTreeMap::new(),
            subscriptions: BTreeMap::new(),
            latest_request: BTreeMap::new(),
            outstanding_joins: BTreeMap::new(),
            outstanding_counts: BTreeMap::new(),
            controllers: BTreeMap::new(),
            cold_streamers: BTreeMap::new(),
            unavailable_since: BTreeMap::new(),
            set_ups: Vec::new(),
        }
    }

    /// For each streamer that is draining or gone at the end: how long after the first controller the last
    /// one was told.
    pub fn list_contradictions(&self) -> Vec<Duration> {
        self.unavailable_since.values().map(|(first, last)| *last - *first).collect()
    }

    /// All SETUPs at streamers: the time, the streamer and the title.
    pub fn set_ups(&self) -> &[(Duration, StreamerId, u64)] {
        &self.set_ups
    }

    fn count_check(&mut self, rule: usize) {
        self.rules[rule - 1].checks += 1;
    }

    fn report_violation(&mut self, rule: usize, describe: impl FnOnce() -> String) {
        let result = &mut self.rules[rule - 1];
        result.violations += 1;
        if result.examples.len() < MAX_EXAMPLES {
            result.examples.push(describe());
        }
    }

    /// A controller process has started; requests held by an earlier one are void.
    pub fn controller_up(&mut self, controller: u32) {
        let held_requests = self
            .requests
            .values_mut()
            .filter(|request| request.controller == controller && request.answers == 0);
        held_requests.for_each(|request| (request.excused, request.void) = (true, true));
        self.controllers.insert(controller, ControllerState { running: true, ..ControllerState::default() });
    }

    /// A controller was killed or stopped: it is no longer responsible for the requests that it holds.
    pub fn controller_down(&mut self, controller: u32) {
        if let Some(state) = self.controllers.get_mut(&controller) {
            state.running = false;
        }
        let held_requests = self
            .requests
            .values_mut()
            .filter(|request| request.controller == controller && request.answers == 0);
        held_requests.for_each(|request| request.excused = true);
    }

    /// A stopped controller continues with its state.
    pub fn controller_resumed(&mut self, controller: u32) {
        self.controllers.entry(controller).or_default().running = true;
    }

    /// A viewer sent SETUP to a controller. `id` numbers the requests of all viewers.
    #[allow(clippy::too_many_arguments)]
    pub fn request_sent(
        &mut self, now: Duration, id: u64, controller: u32, viewer: u64, title: u64, room_type: usize,
        client_timeout: Duration,
    ) {
        let state = self.controllers.entry(controller).or_default();
        state.requests.push_back(now);
        let excused = !state.running;
        let previous =
            self.latest_request.get(&(viewer, title)).and_then(|previous| self.requests.get(previous));
        let previous = previous
            .filter(|previous| previous.answers == 0 && previous.controller == controller && !previous.void);
        let subscription = previous.map_or(id, |previous| previous.subscription);
        self.subscriptions.entry(subscription).or_default();
        let (sent_at, answers) = (now, 0);
        let request = Request {
            viewer,
            title,
            room_type,
            controller,
            sent_at,
            client_timeout,
            answers,
            excused,
            void: false,
            subscription,
        };
        self.requests.insert(id, request);
        self.latest_request.insert((viewer, title), id);
    }

    /// A viewer received the final answer to a SETUP, with this status.
    pub fn answer_received(&mut self, now: Duration, id: u64, status: u16) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answers += 1;
        let (answers, took, max) = (request.answers, now - request.sent_at, request.client_timeout);
        let (excused, room_type, viewer) = (request.excused, request.room_type, request.viewer);
        let possibly_ran =
            self.subscriptions.get(&request.subscription).map_or(0, |subscription| subscription.possibly_ran);
        self.count_check(1);
        if answers > 1 {
            self.report_violation(1, || format!("request {id} has {answers} answers"));
        }
        if took > max && !excused {
            self.report_violation(1, || {
                format!("request {id} was answered after {took:?}, later than its timeout of {max:?}")
            });
        }
        if status == 503 && self.is_unsafe(room_type) && possibly_ran > 0 {
            self.report_violation(2, || {
                format!("viewer {viewer:x} of an unsafe room type was throttled after a join that may have run, at {now:?}")
            });
        }
    }

    /// A viewer abandoned a request before its timeout.
    pub fn request_abandoned(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.excused = true;
        }
    }

    /// A request has reached its client timeout: without an answer the rule is violated.
    pub fn request_timed_out(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.excused && request.answers == 0)
        else {
            return;
        };
        let (viewer, title, controller) = (request.viewer, request.title, request.controller);
        self.count_check(1);
        self.report_violation(1, || {
            format!(
                "request {id} of viewer {viewer:x} for title {title:x} at controller {controller} had no answer"
            )
        });
    }

    fn is_unsafe(&self, room_type: usize) -> bool {
        self.shared
            .room_types
            .get(room_type)
            .is_some_and(|(_, room_type)| room_type.set_up_again == "single_shot")
    }

    /// The list service reported the state of a streamer to a controller.
    pub fn list_update_sent(
        &mut self, now: Duration, controller: u32, streamer: StreamerId, unavailable: bool,
    ) {
        let state = self.controllers.entry(controller).or_default();
        if unavailable {
            if !state.unavailable.contains_key(&streamer) {
                self.unavailable_since.entry(streamer).or_insert((now, now)).1 = now;
            }
            state.unavailable.entry(streamer).or_insert(now);
        } else {
            self.unavailable_since.remove(&streamer);
            state.unavailable.remove(&streamer);
        }
    }

    /// A streamer process started, cold, with this capacity in sessions.
    pub fn streamer_started(&mut self, now: Duration, streamer: StreamerId, capacity: f64) {
        let cold = ColdStreamer::new(now, capacity, &self.shared.rules);
        self.cold_streamers.insert(streamer, cold);
    }

    /// A streamer received SETUP on a connection that `join` numbers. Returns whether this overloaded it.
    #[allow(clippy::too_many_arguments)]
    pub fn set_up_received(
        &mut self, now: Duration, join: u64, streamer: StreamerId, viewer: u64, title: u64, room_type: usize,
        rung: u8,
    ) -> bool {
        self.set_ups.push((now, streamer, title));
        let request = self.latest_request.get(&(viewer, title)).copied();
        let controller =
            request.and_then(|request| self.requests.get(&request)).map(|request| request.controller);
        self.outstanding_joins
            .insert(join, OutstandingJoin { viewer, title, room_type, controller, request });
        self.check_outstanding(viewer, title);
        if let Some(request) = request {
            self.check_request(now, request);
        }
        if let Some(controller) = controller {
            self.check_unavailable(now, controller, streamer);
            self.check_seats(controller, title, room_type);
        }
        self.check_floor(room_type, rung);
        let Some(cold) = self.cold_streamers.get_mut(&streamer).filter(|cold| cold.is_warming_up(now)) else {
            return false;
        };
        let overloaded = cold.record_set_up(now);
        self.count_check(4);
        if overloaded {
            self.report_violation(4, || format!("{streamer} fell over while cold, at {now:?}"));
        }
        overloaded
    }

    /// Rule 2, second half: one outstanding join for each viewer and title.
    fn check_outstanding(&mut self, viewer: u64, title: u64) {
        let count = self.outstanding_counts.entry((viewer, title)).or_default();
        *count += 1;
        let count = *count;
        self.count_check(2);
        if count > 1 {
            self.report_violation(2, || {
                format!("viewer {viewer:x} has {count} joins out for title {title:x}")
            });
        }
    }

    /// Rules 2 and 6: earlier joins of the same subscription, and the budget for further joins.
    fn check_request(&mut self, now: Duration, id: u64) {
        let Some(request) = self.requests.get(&id) else { return };
        let (room_type, controller, viewer) = (request.room_type, request.controller, request.viewer);
        let Some(subscription) = self.subscriptions.get_mut(&request.subscription) else { return };
        subscription.possibly_ran += 1;
        subscription.joins += 1;
        let (possibly_ran, joins) = (subscription.possibly_ran, subscription.joins);
        if self.is_unsafe(room_type) && possibly_ran > 1 {
            self.report_violation(2, || {
                format!(
                    "viewer {viewer:x} of an unsafe room type was set up {possibly_ran} times, at {now:?}"
                )
            });
        }
        let window = Duration::from_millis(self.shared.rules.budget_window_ms);
        if joins < 2 || window.is_zero() {
            return;
        }
        let state = self.controllers.entry(controller).or_default();
        state.further_joins.push_back(now);
        // The controller sees the edges of its window up to the transit time earlier.
        state.further_joins.retain(|at| *at + window > now + MAX_TRANSIT);
        state.requests.retain(|at| *at + window + MAX_TRANSIT > now);
        let (further_joins, requests) = (state.further_joins.len() as f64, state.requests.len() as f64);
        let max = f64::from(self.shared.rules.budget_few) + self.shared.rules.budget_share * requests;
        self.count_check(6);
        if further_joins > max {
            self.report_violation(6, || {
                format!("controller {controller}: {further_joins} further joins, at most {max:.1} allowed")
            });
        }
    }

    fn check_unavailable(&mut self, now: Duration, controller: u32, streamer: StreamerId) {
        let grace = Duration::from_millis(self.shared.rules.drain_grace_ms) + MAX_TRANSIT;
        let Some(state) = self.controllers.get(&controller) else { return };
        let since = state.unavailable.get(&streamer).copied();
        // Each join counts as a check once the controller knows of a streamer that is draining or gone.
        if !state.unavailable.is_empty() {
            self.count_check(3);
        }
        if let Some(since) = since.filter(|since| *since + grace < now) {
            let late_by = now - since;
            self.report_violation(3, || {
                format!("controller {controller}: SETUP to {streamer}, off for it since {late_by:?}")
            });
        }
    }

    fn check_seats(&mut self, controller: u32, title: u64, room_type: usize) {
        let max = self.shared.room_types.get(room_type).map_or(0, |(_, room_type)| room_type.seats);
        let seats =
            self.controllers.entry(controller).or_default().seats.entry((title, room_type)).or_default();
        *seats += 1;
        let seats = *seats;
        if max == 0 {
            return;
        }
        self.count_check(5);
        if seats > max {
            self.report_violation(5, || {
                format!("controller {controller}: {seats} seats of {max} for title {title:x}")
            });
        }
    }

    /// Checks the rung set by a SETUP or SET_PARAMETER.
    pub fn check_floor(&mut self, room_type: usize, rung: u8) {
        let Some((name, room_type)) = self.shared.room_types.get(room_type) else { return };
        let (name, floor) = (name.clone(), room_type.floor);
        if floor == 0 {
            return;
        }
        self.count_check(5);
        if rung < floor {
            self.report_violation(5, || format!("room type {name} at rung {rung}, under its floor {floor}"));
        }
    }

    /// The rung of a playing join was changed.
    pub fn rung_changed(&mut self, join: u64, rung: u8) {
        if let Some(outstanding) = self.outstanding_joins.get(&join) {
            self.check_floor(outstanding.room_type, rung);
        }
    }

    /// A streamer rejected a SETUP before setting anything up: it never ran.
    pub fn set_up_rejected(&mut self, join: u64) {
        let request = self
            .outstanding_joins
            .get(&join)
            .and_then(|outstanding| outstanding.request)
            .and_then(|request| self.requests.get(&request));
        let subscription = request.and_then(|request| self.subscriptions.get_mut(&request.subscription));
        if let Some(subscription) = subscription {
            subscription.possibly_ran = subscription.possibly_ran.saturating_sub(1);
        }
        self.join_ended(join);
    }

    /// The connection of a join has closed at its streamer, or the streamer has ended.
    pub fn join_ended(&mut self, join: u64) {
        let Some(outstanding) = self.outstanding_joins.remove(&join) else { return };
        if let Some(count) = self.outstanding_counts.get_mut(&(outstanding.viewer, outstanding.title)) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.outstanding_counts.remove(&(outstanding.viewer, outstanding.title));
            }
        }
        let state = outstanding.controller.and_then(|controller| self.controllers.get_mut(&controller));
        if let Some(seats) =
            state.and_then(|state| state.seats.get_mut(&(outstanding.title, outstanding.room_type)))
        {
            *seats = seats.saturating_sub(1);
        }
    }

    /// Returns the result for each rule.
    pub fn results(&self) -> [RuleResult; 6] {
        self.rules.clone()
    }
}

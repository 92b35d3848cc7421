//! Joins that a whole fleet of controllers sends to a cold streamer, where each controller has its own start
//! and its own clock, as real processes have. The streamer's budget limits their sum, with a random excess of
//! at most twice its square root plus two.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use serde_json::{json, Value};

use crate::decide::Controller;
use crate::interface::{
    DecisionSink, Ending, Health, JobId, Listing, Start, StreamerId, SubscriptionRequest,
};
use crate::load_reports::{self, LoadReport};
use crate::random::Rng;
use crate::state::NetworkLink;

const TICK: Duration = Duration::from_millis(10);
const WARM_UP: Duration = Duration::from_secs(10);
const WINDOW: Duration = Duration::from_secs(2);
const COLD_START_FRACTION: f64 = 0.4;
const BUDGET_MULTIPLE: f64 = 2.5;
/// Budget of the coldest streamer as a multiple of the requests per streamer, where a start is listed late.
const BUDGET_RATIO: f64 = 1.5;
/// Cells of a fleet, each with its streamer; the cold one is the first.
const CELLS: u32 = 36;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn streamer(cell: u32) -> StreamerId {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, cell as u16)
}

fn test_settings(index: u32, controllers: u32, stream_capacity: f64) -> Value {
    json!({
        "balancers": controllers, "me": index, "discovery": "automatic", "tickUs": 10_000, "weights": "nominal",
        "zone": 0,
        "profiles": [{"aimUs": 1_500_000, "effect": "free", "group": "all", "windowUs": 5_000_000, "worth": 1.0}],
        "familyInfo": {"positions": CELLS, "groups": 2, "classScale": [1.0], "classTop": [2],
            "floorByClass": [0], "licenceCap": [0], "kindStreams": [stream_capacity], "linkUnitKb": 1e6,
            "levelKb": [100.0, 200.0, 400.0], "ladderWorth": [0.3, 0.6, 1.0], "uplinkKb": 1e7,
            "toldLateUs": 500_000, "toldEveryUs": 3_000_000, "stall": 7.0},
        "obligations": {"coldFrom": COLD_START_FRACTION, "coldUs": WARM_UP.as_micros() as u64,
            "tipAfterUs": WINDOW.as_micros() as u64, "tipMultiple": BUDGET_MULTIPLE, "drainGraceUs": 0,
            "budgetFree": 100, "extraRatio": 1.0, "countedOverUs": 5_000_000},
        "permissions": {"maxAttempts": 3, "retryAfter": true, "maxRetryAfterUs": 500_000, "probing": true,
            "peers": true},
        "prices": {"probe": 0.08, "peer": 0.01},
        "report": {"fields": ["x0"], "how": "answers"}})
}

/// The decisions of a controller in one round.
#[derive(Default)]
pub struct Decisions {
    pub joins: Vec<(JobId, StreamerId)>,
    ended: Vec<JobId>,
    timers: Vec<(Duration, u64)>,
}

impl DecisionSink for Decisions {
    fn send_join(&mut self, job: JobId, streamer: StreamerId, _try_until: Duration) {
        self.joins.push((job, streamer));
    }
    fn throttle(&mut self, job: JobId, _cool_down: Duration) {
        self.ended.push(job);
    }
    fn respond_error(&mut self, job: JobId) {
        self.ended.push(job);
    }
    fn set_timer(&mut self, from_now: Duration, token: u64) {
        self.timers.push((from_now, token));
    }
    fn set_rung(&mut self, _job: JobId, _rung: u8) {}
    fn move_subscription(&mut self, _job: JobId) {}
    fn cancel(&mut self, _job: JobId, _join: u16) {}
    fn send_probe(&mut self, _streamer: StreamerId) {}
    fn close_connection(&mut self, _streamer: StreamerId) {}
    fn send_to_peers(&mut self, _peer: Option<u16>, _bytes: &[u8]) {}
    fn watch_list(&mut self, _want: bool) {}
    fn request_full_list(&mut self) {}
    fn log_info(&mut self, _line: &str) {}
    fn log_error(&mut self, _line: &str) {}
}

/// One process, whose clock is `clock_offset` ahead of the fleet's.
struct Process {
    controller: Controller,
    clock_offset: Duration,
    timers: BTreeSet<(Duration, u64)>,
    next: JobId,
    /// Time of its next request, and the interval between its requests.
    next_request_at: Duration,
    request_interval: Duration,
}

struct Fleet {
    now: Duration,
    controllers: u32,
    stream_capacity: f64,
    processes: Vec<Process>,
    rng: Rng,
    /// The listed start of each cell's streamer on the fleet's clock; zero is long past.
    listed: BTreeMap<u32, Duration>,
    /// Times of the joins to the first cell's streamer.
    joins_to_first_cell: Vec<Duration>,
    /// Whether requests are for titles with three holders anywhere; otherwise only the first cell holds them.
    three_holders: bool,
}

impl Fleet {
    /// Starts processes long before the test, each with a subscription that was handed over.
    fn new(controllers: u32, stream_capacity: f64, seed: u64) -> Self {
        let listed = (0..CELLS).map(|cell| (cell, Duration::ZERO)).collect();
        let (processes, joins_to_first_cell) = (Vec::new(), Vec::new());
        let (now, rng) = (Duration::from_secs(1000), Rng(seed));
        let mut fleet = Self {
            now,
            controllers,
            stream_capacity,
            processes,
            rng,
            listed,
            joins_to_first_cell,
            three_holders: false,
        };
        for index in 0..controllers {
            let process = fleet.start_process(index);
            fleet.processes.push(process);
        }
        // The handover tells each controller that the whole fleet started with it.
        for index in 0..controllers as usize {
            let playing = SubscriptionRequest { copies: CELLS, ..request(1) };
            fleet.round(index, |c| c.resumed(JobId::MAX, playing, streamer(1)));
        }
        fleet.advance(ms(100));
        fleet
    }

    /// Starts a process with its own clock and with the present list.
    fn start_process(&mut self, index: u32) -> Process {
        let Value::Object(options) = test_settings(index, self.controllers, self.stream_capacity) else {
            unreachable!("an object")
        };
        let clock_offset = Duration::from_secs(3000) + self.rng.random_duration(Duration::from_secs(3000));
        let seed = (self.rng.unit_interval() * 1e15) as u64;
        let mut controller = Controller::new(self.now + clock_offset, seed, options);
        let listed_start = |at: Duration| match at {
            Duration::ZERO => Start::default(),
            at => Start { at: at + clock_offset, number: at.as_millis() as u64 },
        };
        let mut decisions = Decisions::default();
        let send_list = |c: &mut Controller, _: &mut Decisions| {
            c.list_begins(Listing::Cached);
            for (cell, at) in &self.listed {
                c.list_entry(streamer(*cell), 0, 0, *cell, Health::Ready, 1.0, listed_start(*at));
            }
            c.list_ends(Listing::Cached);
        };
        controller.round(self.now + clock_offset, send_list, &mut decisions);
        let timers = decisions.timers.iter().map(|(from, token)| (self.now + *from, *token)).collect();
        let (next_request_at, request_interval) = (Duration::MAX, Duration::MAX);
        Process { controller, clock_offset, timers, next: 0, next_request_at, request_interval }
    }

    /// Kills a process and restarts it at once.
    fn restart(&mut self, index: usize) {
        let (next_request_at, request_interval) =
            (self.processes[index].next_request_at, self.processes[index].request_interval);
        let process = self.start_process(index as u32);
        self.processes[index] = Process { next_request_at, request_interval, ..process };
    }

    /// Lets the first cell's streamer fail under a subscription that each of these processes has there.
    fn fail_first_streamer(&mut self, processes: impl Iterator<Item = usize>) {
        for index in processes.collect::<Vec<_>>() {
            const PLAYING: JobId = JobId::MAX - 1;
            self.round(index, |c| c.resumed(PLAYING, request(1), streamer(0)));
            self.round(index, |c| c.outcome(PLAYING, streamer(0), 0, Ending::Reset, true, ms(1000), &[]));
        }
    }

    /// Lets each process send requests at this interval, with a random first one.
    fn request_every(&mut self, request_interval: Duration) {
        for process in &mut self.processes {
            (process.next_request_at, process.request_interval) =
                (self.now + self.rng.random_duration(request_interval), request_interval);
        }
    }

    /// Lists a start of the first cell's streamer for these processes.
    fn list_start(&mut self, processes: impl Iterator<Item = usize>, at: Duration) {
        self.listed.insert(0, at);
        for index in processes.collect::<Vec<_>>() {
            let start = Start { at: at + self.processes[index].clock_offset, number: at.as_millis() as u64 };
            self.round(index, |c| {
                c.list_begins(Listing::Changes);
                c.list_entry(streamer(0), 0, 0, 0, Health::Ready, 1.0, start);
                c.list_ends(Listing::Changes);
            });
        }
    }

    /// Reports to all processes that the first cell's link is empty and all others are half used.
    fn report_first_streamer_empty(&mut self) {
        let report = |cell| LoadReport {
            network_link: NetworkLink::Link(streamer(cell)),
            utilization: if cell == 0 { 0.0 } else { 0.5 },
            age: ms(0),
        };
        let message = load_reports::encode(&(0..CELLS).map(report).collect::<Vec<_>>());
        (0..self.processes.len())
            .for_each(|index| self.round(index, |c| c.receive_load_reports(0, &message)));
    }

    /// Runs rounds of one process until no join is left: each join is served and its subscription ends at
    /// once.
    fn round(&mut self, index: usize, arrivals: impl FnOnce(&mut Controller)) {
        let mut decisions = Decisions::default();
        let (now, process) = (self.now, &mut self.processes[index]);
        let clock = now + process.clock_offset;
        process.controller.round(clock, |c, _| arrivals(c), &mut decisions);
        while let Some((job, streamer_id)) = decisions.joins.pop() {
            self.joins_to_first_cell.extend((streamer_id == streamer(0)).then_some(now));
            let finish = |c: &mut Controller, _: &mut Decisions| {
                c.join_served(job, 0, streamer_id, ms(1));
                c.outcome(job, streamer_id, 0, Ending::Served, true, ms(1), &[]);
            };
            process.controller.round(clock, finish, &mut decisions);
        }
        process.timers.extend(decisions.timers.into_iter().map(|(from, token)| (now + from, token)));
    }

    fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += TICK;
            for index in 0..self.processes.len() {
                self.tick(index);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let (now, process) = (self.now, &mut self.processes[index]);
        if process.next_request_at <= now {
            process.next_request_at += process.request_interval;
            process.next += 1;
            let job = process.next;
            let first_cell = (self.rng.unit_interval() * f64::from(CELLS)) as u32;
            let requested = if self.three_holders {
                SubscriptionRequest { first_cell, ..request(3) }
            } else {
                request(1)
            };
            self.round(index, |c| c.request(job, requested));
        }
        while let Some((at, token)) = self.processes[index].timers.first().copied().filter(|r| r.0 <= now) {
            self.processes[index].timers.remove(&(at, token));
            self.round(index, |c| c.timer_fired(token));
        }
    }

    /// Checks the joins sent from `start` on against the budget of a streamer that started then.
    fn check_budget(&self, start: Duration, context: &str) {
        let joins_to_first_cell: Vec<Duration> =
            self.joins_to_first_cell.iter().copied().filter(|at| *at >= start).collect();
        for window_end in &joins_to_first_cell {
            let joins = joins_to_first_cell
                .iter()
                .filter(|at| *at <= window_end && **at + WINDOW > *window_end)
                .count() as f64;
            let age = ((*window_end - start).as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
            let warm_fraction = COLD_START_FRACTION + (1.0 - COLD_START_FRACTION) * age;
            let budget = BUDGET_MULTIPLE * self.stream_capacity / WARM_UP.as_secs_f64()
                * warm_fraction
                * WINDOW.as_secs_f64();
            let max_joins = budget + 2.0 * budget.sqrt() + 2.0;
            assert!(
                joins <= max_joins,
                "{context}: {joins} joins in a window at {age:.2} of its warm-up, {max_joins:.1} at most"
            );
        }
    }
}

/// A request for a title that only the first `copies` cells hold.
fn request(copies: u32) -> SubscriptionRequest {
    SubscriptionRequest { client_timeout: ms(4000), copies, max_rung: 2, ..SubscriptionRequest::default() }
}

const CONTROLLERS: [u32; 5] = [3, 20, 30, 300, 350];

/// Turns were computed from the start on each process's own clock, so that between real processes they
/// overlapped. All requests are for what only the cold streamer holds, so that every turn is used.
#[test]
fn turns_at_a_cold_streamer_are_disjoint_despite_different_clocks() {
    for (controllers, seed) in CONTROLLERS.into_iter().zip(1..) {
        for stream_capacity in [1.0, 20.0, controllers as f64 * 0.9] {
            let mut fleet = Fleet::new(controllers, stream_capacity, seed);
            let start = fleet.now;
            fleet.request_every(ms(if controllers > 100 { 500 } else { 100 }));
            fleet.list_start(0..controllers as usize, start);
            fleet.advance(WARM_UP - ms(100));
            fleet.check_budget(start, &format!("{controllers} processes, {stream_capacity} streams"));
            let own_part = BUDGET_MULTIPLE * stream_capacity / f64::from(controllers) * WINDOW.as_secs_f64()
                / WARM_UP.as_secs_f64();
            if own_part < 0.5 {
                // Each whole join of half the budget is one process's turn, and is used as it comes.
                let budget = |age: f64| {
                    BUDGET_MULTIPLE
                        * stream_capacity
                        * (COLD_START_FRACTION * age + (1.0 - COLD_START_FRACTION) * age.powi(3) / 3.0)
                };
                let joins_sent = fleet.joins_to_first_cell.iter().filter(|at| **at >= start).count() as f64;
                let expected_turns = 0.5 * budget(1.0);
                assert!(
                    (joins_sent - expected_turns).abs() <= 0.15 * expected_turns + 2.0,
                    "{controllers}, {stream_capacity}: {joins_sent} joins for {expected_turns} turns"
                );
                let count = |to: Duration| {
                    fleet.joins_to_first_cell.iter().filter(|at| **at >= start && **at <= to).count() as f64
                };
                for at in fleet.joins_to_first_cell.iter().filter(|at| **at >= start + WINDOW) {
                    let age = (*at - start).as_secs_f64() / WARM_UP.as_secs_f64();
                    let max_joins = 0.5 * budget(age) + 1.0;
                    assert!(
                        count(*at) <= max_joins,
                        "{controllers}, {stream_capacity}: {} joins, turns for {max_joins}",
                        count(*at)
                    );
                }
            }
        }
    }
}

/// A killed process forgets the joins it sent; after its restart it must not use its part a second time.
#[test]
fn restarted_processes_do_not_get_their_part_twice() {
    for (controllers, seed) in CONTROLLERS.into_iter().zip(11..) {
        for stream_capacity in [20.0, controllers as f64 * 2.0] {
            let mut fleet = Fleet::new(controllers, stream_capacity, seed);
            let start = fleet.now;
            fleet.request_every(ms(250));
            fleet.list_start(0..controllers as usize, start);
            for batch in 0..10 {
                fleet.advance(ms(900));
                (0..controllers as usize)
                    .filter(|index| index % 10 == batch)
                    .for_each(|index| fleet.restart(index));
            }
            fleet.check_budget(start, &format!("{controllers} processes, a tenth restarted each 0.9 s"));
        }
    }
}

/// Seven in ten processes have just started, as has a streamer whose start is not listed for a while; the
/// others saw it fail. All receive reports that it is empty, so that all prefer it.
#[test]
fn late_listed_start_stays_within_budget() {
    for (controllers, seed) in CONTROLLERS.into_iter().zip(21..) {
        for delay in [ms(1500), ms(4500)] {
            let request_interval = ms(700);
            // The budget as a multiple of the requests per streamer in a window; on the platform it is about
            // six times.
            let requests_per_window = f64::from(controllers) / f64::from(CELLS) * WINDOW.as_secs_f64()
                / request_interval.as_secs_f64();
            let stream_capacity = BUDGET_RATIO * requests_per_window * WARM_UP.as_secs_f64()
                / (BUDGET_MULTIPLE * COLD_START_FRACTION * WINDOW.as_secs_f64());
            let mut fleet = Fleet::new(controllers, stream_capacity, seed);
            fleet.request_every(request_interval);
            fleet.three_holders = true;
            fleet.advance(ms(1000));
            fleet.fail_first_streamer(0..controllers as usize);
            let restarted = (0..controllers as usize).filter(|index| index % 10 < 7);
            let start = fleet.now;
            restarted.for_each(|index| fleet.restart(index));
            fleet.advance(ms(10));
            fleet.report_first_streamer_empty();
            fleet.advance(delay);
            fleet.list_start(0..controllers as usize, start);
            fleet.advance(ms(3000));
            fleet.check_budget(start, &format!("{controllers} processes, start listed {delay:?} late"));
        }
    }
}

/// A streamer that fails while it warms up may restart before the list shows it, and then is as cold as after
/// any start.
#[test]
fn streamer_that_fails_while_warming_up_counts_as_cold() {
    for (controllers, seed) in CONTROLLERS.into_iter().zip(31..) {
        let mut fleet = Fleet::new(controllers, f64::from(controllers) * 20.0, seed);
        let first = fleet.now;
        fleet.request_every(ms(200));
        fleet.list_start(0..controllers as usize, first);
        fleet.advance(ms(7500));
        fleet.check_budget(first, "before it fails");
        fleet.fail_first_streamer(0..controllers as usize);
        let second = fleet.now;
        fleet.advance(ms(1500));
        fleet.check_budget(second, &format!("{controllers} processes, second start not listed"));
        fleet.list_start(0..controllers as usize, second);
        fleet.advance(WARM_UP - ms(1600));
        fleet.check_budget(second, &format!("{controllers} processes, second start listed late"));
    }
}

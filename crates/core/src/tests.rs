//! Checks the decisions against a simple model of the rules on generated events, and single cases of failures
//! that occurred.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen};
use serde_json::{json, Value};

use crate::decide::Controller;
use crate::interface::{
    DecisionSink, Ending, Health, JobId, Listing, Start, StreamerId, SubscriptionRequest,
};
use crate::load_reports::{self, LinkName, LoadReport};
use crate::state::NetworkLink;

const CELLS: u32 = 6;

/// A duration in milliseconds.
fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A start as all controllers of a simulation know it, on the simulation's one clock.
fn start_at(at: Duration) -> Start {
    Start { at, number: at.as_micros() as u64 }
}

pub fn streamer(cell: u32) -> StreamerId {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, cell as u16)
}

fn test_settings(effect: &str, group: &str) -> Value {
    json!({
        "balancers": 2, "discovery": "automatic", "tickUs": 10_000, "weights": "nominal",
        "profiles": [
            {"aimUs": 1_000_000, "effect": effect, "group": group, "windowUs": 900_000, "worth": 1.0},
            {"aimUs": 1_000_000, "effect": "free", "group": "all", "windowUs": 5_000_000, "worth": 3.0}],
        "familyInfo": {"positions": CELLS, "groups": 2, "classScale": [1.0, 1.2], "classTop": [2, 1],
            "floorByClass": [1, 0], "licenceCap": [2, 0], "kindStreams": [20], "linkUnitKb": 1000.0,
            "levelKb": [100.0, 200.0, 400.0], "ladderWorth": [0.3, 0.6, 1.0], "uplinkKb": 2000.0,
            "toldLateUs": 500_000, "toldEveryUs": 3_000_000, "stall": 7.0},
        "obligations": {"coldFrom": 0.4, "coldUs": 10_000_000, "tipAfterUs": 2_000_000, "tipMultiple": 2.5,
            "drainGraceUs": 0, "budgetFree": 2, "extraRatio": 0.2, "countedOverUs": 5_000_000},
        "permissions": {"maxAttempts": 3, "retryAfter": true, "maxRetryAfterUs": 500_000},
        "report": {"fields": ["x0"], "how": "answers"}, "zone": 0})
}

fn request(room_type: usize, title: u32, copies: u32) -> SubscriptionRequest {
    let client_timeout = ms(3000);
    let (max_rung, title) = (2, u64::from(title));
    SubscriptionRequest {
        title,
        room_type,
        client_timeout,
        first_cell: title as u32,
        copies,
        max_rung,
        ..Default::default()
    }
}

/// The model's record of one attempt.
#[derive(Clone, Debug)]
struct Attempt {
    request: SubscriptionRequest,
    deadline: Duration,
    join_count: u16,
    join: Option<(StreamerId, Duration)>,
    sent_at: Duration,
    playing: bool,
    possibly_ran: Vec<(StreamerId, Duration)>,
    rung: u8,
    ended: bool,
}

/// Checks each decision against the rules, in their simplest form.
struct RuleChecker {
    now: Duration,
    settings: Value,
    list: BTreeMap<StreamerId, (u32, Health, Duration)>,
    attempts: BTreeMap<JobId, Attempt>,
    joins_sent: Vec<(Duration, StreamerId)>,
    request_times: Vec<Duration>,
    retry_join_times: Vec<Duration>,
    timers: BTreeSet<(Duration, u64)>,
    rung_steps: usize,
    moved: Vec<JobId>,
    probed: Vec<StreamerId>,
    sent_messages: Vec<Vec<u8>>,
}

impl RuleChecker {
    fn number(&self, path: &str) -> f64 {
        self.settings.pointer(path).and_then(Value::as_f64).unwrap()
    }

    fn count_within(&self, times: &[Duration], window_us: f64) -> f64 {
        times.iter().filter(|t| (self.now - **t).as_micros() as f64 <= window_us).count() as f64
    }

    fn finish(&mut self, job: JobId) -> Attempt {
        let attempt = self.attempts.get_mut(&job).expect("an answer names a known subscription");
        assert!(!attempt.ended && !attempt.playing, "subscription {job} is answered twice");
        assert!(attempt.join.is_none(), "subscription {job} is answered while a join is outstanding");
        attempt.ended = true;
        attempt.clone()
    }

    fn effect(&self, attempt: &Attempt, key: &str) -> String {
        self.settings["profiles"][attempt.request.room_type][key].as_str().unwrap().to_owned()
    }
}

impl DecisionSink for RuleChecker {
    fn send_join(&mut self, job: JobId, id: StreamerId, until: Duration) {
        let (cell, health, came_up) = self.list[&id];
        let attempt = self.attempts[&job].clone();
        assert!(
            !attempt.ended && !attempt.playing && self.now < attempt.deadline,
            "a join after the deadline of {job}"
        );
        assert!(attempt.join.is_none(), "two outstanding joins for {job}");
        assert_eq!(health, Health::Ready, "a join to a streamer that is draining or has departed");
        assert!(
            (cell + CELLS - attempt.request.first_cell % CELLS) % CELLS < attempt.request.copies,
            "not a holder"
        );
        let effect = self.effect(&attempt, "effect");
        let group = self.effect(&attempt, "group");
        assert!(effect != "single_shot" || attempt.possibly_ran.is_empty(), "single_shot set up twice");
        for (streamer, sent_at) in attempt.possibly_ran.iter().filter(|_| effect == "guarded") {
            assert!(group == "all" || *streamer == id, "guarded: another group");
            assert!((self.now - *sent_at).as_micros() <= 900_000, "guarded: out of its window");
        }
        let seats = self.settings["familyInfo"]["licenceCap"][attempt.request.room_type].as_u64().unwrap();
        let same_title = |t: &&Attempt| {
            let takes_seat = t.join.is_some() || t.playing && !t.ended;
            takes_seat
                && t.request.title == attempt.request.title
                && t.request.room_type == attempt.request.room_type
        };
        assert!(
            seats == 0 || (self.attempts.values().filter(same_title).count() as u64) < seats,
            "no seat is free"
        );
        self.joins_sent.push((self.now, id));
        if came_up > Duration::ZERO && self.now - came_up < ms(10_000) {
            let warm_fraction = 0.4 + 0.6 * (self.now - came_up).as_secs_f64() / 10.0;
            let joins_there: Vec<_> = self.joins_sent.iter().filter(|s| s.1 == id).map(|s| s.0).collect();
            let recent_joins = joins_there.iter().filter(|t| self.now - **t < ms(2000)).count() as f64;
            assert!(
                recent_joins <= 2.5 * 20.0 / 10.0 * warm_fraction * 2.0 / 2.0,
                "a cold streamer gets more joins than its budget"
            );
        }
        if attempt.join_count > 0 {
            self.retry_join_times.push(self.now);
            let window = self.number("/obligations/countedOverUs");
            let max_retries = 2.0 + 0.2 * self.count_within(&self.request_times, window - 1.0);
            assert!(
                self.count_within(&self.retry_join_times, window) <= max_retries,
                "over the budget of repeated joins"
            );
        }
        let attempt = self.attempts.get_mut(&job).unwrap();
        attempt.join_count += 1;
        assert!(attempt.join_count <= 3, "more joins than allowed");
        (attempt.join, attempt.sent_at) = (Some((id, until.min(attempt.deadline))), self.now);
    }

    fn throttle(&mut self, job: JobId, cool_down: Duration) {
        let attempt = self.finish(job);
        assert!(cool_down <= ms(500));
        let harmless = match self.effect(&attempt, "effect").as_str() {
            "single_shot" => attempt.possibly_ran.is_empty(),
            "guarded" => attempt.possibly_ran.is_empty() || self.effect(&attempt, "group") == "all",
            _ => true,
        };
        assert!(harmless, "throttled though a join may have run");
    }

    fn respond_error(&mut self, job: JobId) {
        self.finish(job);
    }

    fn set_rung(&mut self, job: JobId, rung: u8) {
        self.rung_steps += 1;
        let attempt = self.attempts.get_mut(&job).unwrap();
        let floor = self.settings["familyInfo"]["floorByClass"][attempt.request.room_type].as_u64().unwrap();
        let top = self.settings["familyInfo"]["classTop"][attempt.request.room_type].as_u64().unwrap();
        assert!(rung <= attempt.request.max_rung && u64::from(rung) <= top, "a rung above the highest");
        assert!(u64::from(rung) >= floor, "a rung below the floor");
        attempt.rung = rung;
    }

    fn move_subscription(&mut self, job: JobId) {
        assert!(self.attempts[&job].playing, "only a playing subscription is moved");
        self.attempts.get_mut(&job).unwrap().ended = true;
        self.moved.push(job);
    }

    fn set_timer(&mut self, from_now: Duration, token: u64) {
        self.timers.insert((self.now + from_now, token));
    }

    fn cancel(&mut self, _job: JobId, _join: u16) {}
    fn send_probe(&mut self, id: StreamerId) {
        assert!(self.settings["permissions"]["probing"] == true && self.list.contains_key(&id));
        self.probed.push(id);
    }
    fn close_connection(&mut self, _streamer: StreamerId) {}
    fn send_to_peers(&mut self, _peer: Option<u16>, bytes: &[u8]) {
        self.sent_messages.push(bytes.to_vec());
    }
    fn watch_list(&mut self, _want: bool) {}
    fn request_full_list(&mut self) {}
    fn log_info(&mut self, _line: &str) {}
    fn log_error(&mut self, _line: &str) {}
}

/// One controller, whose decisions the rule checker receives.
struct Simulation {
    controller: Controller,
    checker: RuleChecker,
    next: JobId,
}

impl Simulation {
    fn new(settings: Value) -> Self {
        let now = ms(100_000);
        let seed = 7 + settings["me"].as_u64().unwrap_or(0);
        let Value::Object(options) = settings.clone() else { panic!("settings are an object") };
        let checker = RuleChecker {
            now,
            settings,
            list: BTreeMap::new(),
            attempts: BTreeMap::new(),
            joins_sent: Vec::new(),
            request_times: Vec::new(),
            retry_join_times: Vec::new(),
            timers: BTreeSet::new(),
            rung_steps: 0,
            moved: Vec::new(),
            probed: Vec::new(),
            sent_messages: Vec::new(),
        };
        Self { controller: Controller::new(now, seed, options), checker, next: 0 }
    }

    fn round(&mut self, arrivals: impl FnOnce(&mut Controller, &mut RuleChecker)) {
        let now = self.checker.now;
        self.controller.round(now, arrivals, &mut self.checker);
    }

    fn list_streamer(&mut self, cell: u32, health: Health, came_up: Duration) {
        self.checker.list.insert(streamer(cell), (cell, health, came_up));
        self.round(|c, _| {
            c.list_begins(Listing::Changes);
            c.list_entry(streamer(cell), 0, 0, cell, health, 1.0, start_at(came_up));
            c.list_ends(Listing::Changes);
        });
    }

    fn list_all_streamers(&mut self) {
        (0..CELLS).for_each(|cell| self.list_streamer(cell, Health::Ready, Duration::ZERO));
    }

    fn submit(&mut self, request: SubscriptionRequest, playing_on: Option<StreamerId>) -> JobId {
        let (job, now) = (self.next, self.checker.now);
        self.next += 1;
        let (deadline, playing) = (now + request.client_timeout, playing_on.is_some());
        let (possibly_ran, rung) = (vec![], 0);
        let attempt = Attempt {
            request,
            deadline,
            join_count: 0,
            join: None,
            sent_at: now,
            playing,
            possibly_ran,
            rung,
            ended: false,
        };
        self.checker.attempts.insert(job, attempt);
        match playing_on {
            Some(playing_on) => self.round(|c, _| c.resumed(job, request, playing_on)),
            None => {
                self.checker.request_times.push(now);
                self.round(|c, _| c.request(job, request));
            }
        }
        job
    }

    /// Hands over subscriptions at the top rung of one streamer, and lets their rates be known for a while.
    fn hand_over_at_top_rung(&mut self, count: usize) -> Vec<JobId> {
        let jobs: Vec<_> = (0..count).map(|_| self.submit(request(0, 0, 1), Some(streamer(0)))).collect();
        jobs.iter().for_each(|job| self.round(|c, _| c.progress(*job, streamer(0), 2, 2.0)));
        self.advance(ms(600));
        jobs
    }

    /// Ends the outstanding join, or the subscription that plays.
    fn finish_join(&mut self, job: JobId, ending: Ending) {
        let now = self.checker.now;
        let attempt = self.checker.attempts.get_mut(&job).unwrap();
        let Some((id, _)) = attempt.join.take() else { return };
        if ending == Ending::Served {
            attempt.playing = true;
            return self.round(|c, _| c.join_served(job, 0, id, ms(50)));
        }
        if !ending.proves_it_never_ran() {
            attempt.possibly_ran.push((id, attempt.sent_at));
        }
        let latency = now - attempt.sent_at;
        self.round(|c, _| c.outcome(job, id, 0, ending, false, latency, &[]));
    }

    /// Advances the time tick by tick: joins time out, timers fire, and overdue answers are detected.
    fn advance(&mut self, duration: Duration) {
        let until = self.checker.now + duration;
        while self.checker.now < until {
            self.checker.now += ms(10);
            let now = self.checker.now;
            let timed_out =
                self.checker.attempts.iter().filter(|(_, t)| t.join.is_some_and(|join| join.1 <= now));
            for job in timed_out.map(|(job, _)| *job).collect::<Vec<_>>() {
                self.finish_join(job, Ending::Timeout);
            }
            while let Some(&(at, token)) = self.checker.timers.first().filter(|r| r.0 <= now) {
                self.checker.timers.remove(&(at, token));
                self.round(|c, _| c.timer_fired(token));
            }
            let answer_overdue = |t: &Attempt| !t.ended && !t.playing && t.deadline + ms(20) < now;
            assert!(!self.checker.attempts.values().any(answer_overdue), "a final answer is overdue");
        }
    }

    /// The streamer of the outstanding join.
    fn joined_streamer(&self, job: JobId) -> Option<StreamerId> {
        self.checker.attempts[&job].join.map(|o| o.0)
    }
}

/// Runs generated events: arrivals, list changes, reports, and ends of joins.
fn run_events(events: &[(u8, u8)], effect: &str, group: &str) {
    let endings = [Ending::Served, Ending::Served, Ending::Error, Ending::Full, Ending::ConnectFailed];
    let healths = [Health::Ready, Health::Draining, Health::Gone];
    let mut settings = test_settings(effect, group);
    settings["permissions"]["probing"] = json!(true);
    let mut simulation = Simulation::new(settings);
    simulation.list_all_streamers();
    for &(kind, number) in events {
        let number = u32::from(number);
        let joining: Vec<_> =
            simulation.checker.attempts.iter().filter(|t| t.1.join.is_some()).map(|t| *t.0).collect();
        match kind % 8 {
            0..=3 => {
                simulation.submit(request(usize::from(kind & 1), number % 4, 1 + number % 4), None);
            }
            4 if !joining.is_empty() => {
                simulation.finish_join(joining[number as usize % joining.len()], endings[number as usize % 5])
            }
            5 => {
                let now = simulation.checker.now;
                simulation.list_streamer(number % CELLS, healths[number as usize % 3], now);
            }
            6 => {
                let reporting =
                    simulation.checker.attempts.iter().find(|t| t.1.playing && !t.1.ended).map(|t| *t.0);
                let (kind, value) = ([1, 3][number as usize % 2], f64::from(number) / 128.0);
                reporting.into_iter().for_each(|job| {
                    simulation.round(|c, _| c.progress(job, streamer(number % CELLS), kind, value))
                });
            }
            _ => simulation.advance(ms(u64::from(number) * 8)),
        }
    }
    simulation.advance(ms(5000));
}

#[test]
fn rules_hold_for_generated_events() {
    for (seed, effect, group) in
        [(1, "free", "all"), (2, "guarded", "all"), (3, "guarded", "cell"), (4, "single_shot", "all")]
    {
        let mut gen = Gen::from_size_and_seed(120, seed);
        for _ in 0..30 {
            run_events(&Vec::<(u8, u8)>::arbitrary(&mut gen), effect, group);
        }
    }
}

#[test]
fn subscription_without_streamers_is_throttled_by_join_objective() {
    let mut simulation = Simulation::new(test_settings("free", "all"));
    let job = simulation.submit(request(1, 0, 3), None);
    simulation.advance(ms(1100));
    assert!(simulation.checker.attempts[&job].ended);
}

#[test]
fn subscription_waits_for_list_within_join_objective() {
    let mut simulation = Simulation::new(test_settings("free", "all"));
    let job = simulation.submit(request(1, 0, 3), None);
    simulation.advance(ms(300));
    simulation.list_all_streamers();
    simulation.advance(ms(100));
    assert!(simulation.joined_streamer(job).is_some());
}

#[test]
fn avoided_holder_is_used_if_it_is_the_only_one() {
    let mut simulation = Simulation::new(test_settings("free", "all"));
    simulation.list_all_streamers();
    let reporter = simulation.submit(request(1, 0, 1), Some(streamer(0)));
    simulation.round(|c, _| c.progress(reporter, streamer(0), 1, 0.5));
    let job = simulation.submit(request(1, 0, 1), None);
    assert_eq!(simulation.joined_streamer(job), Some(streamer(0)));
}

#[test]
fn excess_is_cut_once_until_measurements_show_it() {
    let mut simulation = Simulation::new(test_settings("free", "all"));
    simulation.list_all_streamers();
    let jobs = simulation.hand_over_at_top_rung(4);
    simulation.round(|c, _| c.progress(jobs[0], streamer(0), 3, 1.6));
    simulation.advance(ms(400));
    let rung_steps = simulation.checker.rung_steps;
    assert!(rung_steps > 0, "an excess is cut");
    simulation.round(|c, _| c.progress(jobs[0], streamer(0), 3, 1.6));
    simulation.advance(ms(400));
    assert_eq!(
        simulation.checker.rung_steps, rung_steps,
        "a report from before the cut causes no further cut"
    );
}

#[test]
fn handed_over_subscriptions_keep_rung_until_reports_arrive() {
    let mut simulation = Simulation::new(test_settings("free", "all"));
    simulation.list_all_streamers();
    for n in 0..3 {
        simulation.submit(request(0, n, 3), Some(streamer(n)));
    }
    simulation.advance(ms(3000));
    assert_eq!(simulation.checker.rung_steps, 0);
}

#[test]
fn streamer_with_short_delivery_and_no_full_link_is_avoided() {
    let least_loaded = |delivered: f64| {
        let mut simulation = Simulation::new(test_settings("free", "all"));
        simulation.list_all_streamers();
        let jobs: Vec<_> =
            [0, 1, 1, 2, 2].iter().map(|n| simulation.submit(request(1, 0, 3), Some(streamer(*n)))).collect();
        simulation.round(|c, _| c.progress(jobs[0], streamer(0), 1, delivered));
        let job = simulation.submit(request(1, 0, 3), None);
        simulation.joined_streamer(job)
    };
    assert_eq!(least_loaded(1.0), Some(streamer(0)));
    assert_ne!(least_loaded(0.5), Some(streamer(0)));
}

#[test]
fn delivered_fraction_counts_as_measurement_without_load_reports() {
    let mut simulation = Simulation::new(test_settings("free", "all"));
    simulation.list_all_streamers();
    let jobs = simulation.hand_over_at_top_rung(2);
    simulation.round(|c, _| c.progress(jobs[0], streamer(0), 3, 0.95));
    simulation.advance(ms(1000));
    assert_eq!(simulation.checker.rung_steps, 0);
    simulation.round(|c, _| c.progress(jobs[0], streamer(0), 1, 0.7));
    simulation.advance(ms(400));
    assert!(simulation.checker.rung_steps > 0, "rungs are lowered by the delivered fraction");
}

#[test]
fn many_controllers_neither_overload_nor_starve_a_cold_streamer() {
    let controllers = 120;
    let simulation = |me: usize| {
        let mut settings = test_settings("free", "all");
        (settings["balancers"], settings["me"]) = (json!(controllers), json!(me));
        Simulation::new(settings)
    };
    let mut simulations: Vec<Simulation> = (0..controllers).map(simulation).collect();
    let start = ms(103_000);
    for simulation in &mut simulations {
        simulation.advance(ms(3000));
        simulation.list_streamer(0, Health::Ready, start);
        for _ in 0..10 {
            let job = simulation.submit(request(1, 0, 1), None);
            simulation.advance(ms(1000));
            simulation.finish_join(job, Ending::Served);
        }
    }
    let joins_sent: Vec<Duration> =
        simulations.iter().flat_map(|d| &d.checker.joins_sent).map(|s| s.0).collect();
    assert!(joins_sent.len() >= 10, "only {} joins in a whole warm-up", joins_sent.len());
    for until in joins_sent.iter().filter(|t| **t < start + ms(10_000)) {
        let warm_fraction = 0.4 + 0.6 * ((*until - start).as_secs_f64() / 10.0).powi(2);
        let joins_in_window = joins_sent.iter().filter(|t| *t <= until && **t + ms(2000) > *until).count();
        assert!(
            joins_in_window as f64 <= 2.5 * 20.0 / 10.0 * warm_fraction * 2.0 + 1.0,
            "{joins_in_window} joins in a window"
        );
    }
}

#[test]
fn estimated_utilization_lowers_no_rung() {
    let mut simulation = Simulation::new(test_settings("free", "all"));
    simulation.list_all_streamers();
    let jobs: Vec<_> =
        [0, 1, 1].iter().map(|n| simulation.submit(request(0, 0, 3), Some(streamer(*n)))).collect();
    for (job, n) in jobs.iter().zip([0, 1, 1]) {
        simulation.round(|c, _| c.progress(*job, streamer(n), 2, 2.0));
    }
    simulation.advance(ms(600));
    simulation.round(|c, _| c.progress(jobs[0], streamer(0), 3, 0.95));
    simulation.advance(ms(1000));
    assert_eq!(simulation.checker.rung_steps, 0, "the streamer with two subscriptions was not measured");
}

#[test]
fn controllers_with_equal_estimates_choose_differently() {
    let chosen_cell = |me: u32| {
        let mut settings = test_settings("free", "all");
        (settings["balancers"], settings["me"]) = (json!(40), json!(me));
        (settings["familyInfo"]["positions"], settings["familyInfo"]["groups"]) = (json!(60), json!(6));
        let mut simulation = Simulation::new(settings);
        for cell in 0..60 {
            // Two recent starts make the first rack emptier than the others, and all controllers know it from
            // the list.
            let came_up = if cell == 0 || cell == 6 { ms(99_000) } else { Duration::ZERO };
            simulation.list_streamer(cell, Health::Ready, came_up);
        }
        let measured = simulation.submit(request(1, 0, 60), Some(streamer(1)));
        simulation.round(|c, _| c.progress(measured, streamer(1), 3, 0.5));
        simulation.advance(ms(600));
        let job = simulation.submit(request(1, 0, 60), None);
        u32::from(simulation.joined_streamer(job).expect("it is placed").port())
    };
    let in_first_rack = (0..40).filter(|me| chosen_cell(*me) % 6 == 0).count();
    assert!(in_first_rack < 20, "{in_first_rack} of 40 went to one rack");
}

#[test]
fn streamer_that_answers_no_probe_is_avoided() {
    for answers in [true, false] {
        let mut settings = test_settings("free", "all");
        settings["permissions"]["probing"] = json!(true);
        let mut simulation = Simulation::new(settings);
        simulation.list_all_streamers();
        for n in 1..3 {
            simulation.submit(request(1, 0, 3), Some(streamer(n)));
        }
        let job = simulation.submit(request(1, 0, 3), None);
        let probed = simulation.checker.probed.clone();
        assert_eq!(
            (probed.len(), simulation.joined_streamer(job)),
            (2, None),
            "the join waits for the probe results"
        );
        for id in probed.iter().filter(|_| answers) {
            simulation.round(|c, _| c.probe_result(*id, Ending::Served, ms(3), &[0.0]));
        }
        simulation.advance(ms(60));
        assert_eq!(probed.contains(&simulation.joined_streamer(job).expect("it is placed")), answers);
        assert_eq!(simulation.checker.probed.len(), 2);
    }
}

/// A simulation of one of many controllers, with this price of a probe.
fn simulation_with_probe_price(me: u32, probe_price: f64) -> Simulation {
    let mut settings = test_settings("free", "all");
    (settings["balancers"], settings["me"]) = (json!(1.2), json!(me));
    settings["permissions"]["probing"] = json!(true);
    settings["permissions"]["peers"] = json!(true);
    settings["permissions"]["keepaliveUs"] = json!(30_000_000);
    settings["prices"] = json!({"probe": probe_price, "peer": 0.01, "handshake": 0.08});
    settings["familyInfo"]["uplinkKb"] = json!(20_000.0);
    let mut simulation = Simulation::new(settings);
    simulation.list_all_streamers();
    simulation
}

/// With 300 controllers each one knew few links and paid for two probes per join. Shared measurements replace
/// the probes. They could send all joins to one streamer (the rivals test below covers that), or hide a
/// silent streamer: they count for three report intervals only.
#[test]
fn expensive_probes_are_replaced_by_shared_measurements() {
    let messages_at = |probe_price| {
        let mut simulation = simulation_with_probe_price(0, probe_price);
        for _ in 0..4 {
            simulation.submit(request(1, 3, 1), None);
        }
        for n in 0..3 {
            let playing = simulation.submit(request(1, 9, 6), Some(streamer(n)));
            simulation.round(|c, _| c.progress(playing, streamer(n), 3, [0.9, 0.2, 0.9][n as usize]));
        }
        simulation.advance(ms(2000));
        simulation.checker.sent_messages
    };
    assert_eq!(messages_at(0.011), Vec::<Vec<u8>>::new(), "a probe is worth its price");
    let messages = messages_at(0.08);
    assert_eq!(messages.len(), 1, "once, until the next progress reports");
    let mut simulation = simulation_with_probe_price(1, 0.08);
    simulation.round(|c, _| c.receive_load_reports(0, &messages[0]));
    let job = simulation.submit(request(1, 0, 3), None);
    assert_eq!((simulation.joined_streamer(job), simulation.checker.probed.len()), (Some(streamer(1)), 0));
    simulation.advance(ms(10_000));
    let job = simulation.submit(request(1, 0, 3), None);
    assert_eq!(
        (simulation.joined_streamer(job), simulation.checker.probed.len()),
        (None, 1),
        "peers report nothing about a silent streamer"
    );
}

/// A join that waited for its connection arrived after the window in which it may be repeated. The check
/// counts the connect time for open connections too, so a window hardly longer than that allows no
/// repetition.
#[test]
fn guarded_join_is_not_repeated_if_it_could_arrive_after_its_window() {
    let retried = |lost_after_ms: u64| {
        let mut settings = test_settings("guarded", "all");
        settings["permissions"]["connectTimeoutUs"] = json!(250_000);
        let mut simulation = Simulation::new(settings);
        simulation.list_all_streamers();
        simulation.checker.now += ms(30_000);
        let job = simulation.submit(request(0, 0, 6), None);
        assert!(simulation.joined_streamer(job).is_some());
        simulation.advance(ms(lost_after_ms));
        simulation.finish_join(job, Ending::Reset);
        simulation.advance(ms(50));
        simulation.joined_streamer(job).is_some()
    };
    assert!(retried(300), "a window of 0.9 s leaves time for it");
    assert!(!retried(450 + 250), "it could arrive 0.95 s after the first");
}

/// No list is capped: with 1,024 controllers and as many streamers joins are placed and load reports are
/// applied.
#[test]
fn fleet_of_1024_controllers_and_streamers_is_served() {
    let mut settings = test_settings("free", "all");
    (settings["balancers"], settings["me"]) = (json!(1024), json!(1023));
    (settings["familyInfo"]["positions"], settings["familyInfo"]["groups"]) = (json!(1024), json!(200));
    let mut simulation = Simulation::new(settings);
    simulation.round(|c, _| {
        c.list_begins(Listing::Cached);
        let all = (0..1024).map(|cell| (streamer(cell), cell));
        all.for_each(|(id, cell)| c.list_entry(id, 0, 0, cell, Health::Ready, 1.0, Start::default()));
        c.list_ends(Listing::Cached);
    });
    let all = (0..1024).map(|cell| (streamer(cell), (cell, Health::Ready, ms(0))));
    simulation.checker.list.extend(all);
    let reports = (0..42).map(|n| LoadReport {
        network_link: NetworkLink::Link(streamer(1000 + n)),
        utilization: 2.0,
        age: ms(0),
    });
    let message = load_reports::encode(&reports.collect::<Vec<_>>());
    simulation.round(|c, _| c.receive_load_reports(1022, &message));
    let jobs: Vec<_> = (0..24).map(|n| simulation.submit(request(1, 1000 + n, 1), None)).collect();
    assert!(
        jobs.iter().all(|job| simulation.joined_streamer(*job).is_none()),
        "their only holders are reported overfull"
    );
    let jobs: Vec<_> = (0..20).map(|n| simulation.submit(request(1, 50 * n, 3), None)).collect();
    assert!(jobs.iter().all(|job| simulation.joined_streamer(*job).is_some()));
}

/// All controllers receive the same load reports, and by then others have joined the least loaded streamer.
/// The price is that a join may go to a holder that is fuller by what others may have added.
#[test]
fn joins_spread_by_what_rivals_may_have_added() {
    let joins_to_least_loaded = |controllers: u32| {
        let joins_least_loaded = |me: u32| {
            let mut settings = test_settings("free", "all");
            (settings["balancers"], settings["me"]) = (json!(controllers), json!(me));
            (settings["permissions"]["probing"], settings["permissions"]["peers"]) =
                (json!(true), json!(true));
            settings["prices"] = json!({"probe": 0.08, "peer": 0.01});
            settings["familyInfo"]["uplinkKb"] = json!(20_000.0);
            let mut simulation = Simulation::new(settings);
            simulation.list_all_streamers();
            for n in 0..3 {
                let playing = simulation.submit(request(1, 0, 3), Some(streamer(n)));
                simulation.round(|c, _| c.progress(playing, streamer(n), 3, if n == 0 { 0.3 } else { 0.5 }));
            }
            simulation.advance(ms(800));
            let job = simulation.submit(request(1, 0, 3), None);
            simulation.joined_streamer(job) == Some(streamer(0))
        };
        (0..40).filter(|me| joins_least_loaded(*me)).count()
    };
    assert_eq!(joins_to_least_loaded(2), 40, "the least loaded");
    assert!(
        joins_to_least_loaded(300) < 30,
        "{} of 40 went to the least loaded by an old measurement",
        joins_to_least_loaded(300)
    );
}

/// A new connection has a price, as crossing a zone has, so a join may go to a holder that is fuller by that
/// much.
#[test]
fn holder_with_open_connection_is_preferred() {
    let mut simulation = simulation_with_probe_price(1, 0.0);
    simulation.submit(request(1, 9, 6), Some(streamer(5)));
    let report_utilizations = |simulation: &mut Simulation, utilizations: [f64; 3]| {
        let report = |(n, utilization)| {
            simulation.round(|c, _| c.probe_result(streamer(n), Ending::Served, ms(1), &[utilization]))
        };
        (0..).zip(utilizations).for_each(report);
    };
    report_utilizations(&mut simulation, [0.5; 3]);
    let playing = simulation.submit(request(1, 2, 1), None);
    simulation.finish_join(playing, Ending::Served);
    simulation.advance(ms(600));
    report_utilizations(&mut simulation, [0.47, 0.47, 0.5]);
    let job = simulation.submit(request(1, 0, 3), None);
    assert_eq!(simulation.joined_streamer(job), Some(streamer(2)));
}

#[test]
fn load_reports_round_trip_and_truncated_messages_give_none() {
    fn round_trips(utilizations: Vec<u8>, random_bytes: Vec<u8>) -> bool {
        let network_link = |n: usize| {
            if n.is_multiple_of(3) {
                NetworkLink::Uplink(n as u32)
            } else {
                NetworkLink::Link(streamer(n as u32))
            }
        };
        let reports = utilizations.iter().enumerate().map(|(n, utilization)| LoadReport {
            network_link: network_link(n),
            utilization: f64::from(*utilization) * 0.01,
            age: ms(50 * n as u64),
        });
        let reports: Vec<_> = reports.take(40).collect();
        let bytes = load_reports::encode(&reports);
        let mut expected: Vec<_> = reports.iter().collect();
        expected.sort_by_key(|report| matches!(report.network_link, NetworkLink::Uplink(_)));
        let link_name = |network_link| match network_link {
            NetworkLink::Link(id) => LinkName::Link(load_reports::streamer_name(id)),
            NetworkLink::Uplink(number) => LinkName::Uplink(number),
        };
        let expected = expected.into_iter().map(|report| LoadReport {
            network_link: link_name(report.network_link),
            utilization: report.utilization,
            age: report.age,
        });
        load_reports::decode(&random_bytes);
        bytes.len() <= 256 && load_reports::decode(&bytes) == expected.collect::<Vec<_>>()
    }
    let rng = Gen::from_size_and_seed(60, 7);
    quickcheck::QuickCheck::new().rng(rng).quickcheck(round_trips as fn(Vec<u8>, Vec<u8>) -> bool);
    assert!(load_reports::decode(&[1, 0, 0, 0, 0, 9]).is_empty() && load_reports::decode(&[0, 1]).is_empty());
}

#[test]
fn joins_stay_within_crossing_budget_and_caps_apply_at_once() {
    let mut simulation = Simulation::new(test_settings("free", "all"));
    for cell in 0..CELLS {
        simulation.checker.list.insert(streamer(cell), (cell, Health::Ready, Duration::ZERO));
        simulation.round(|c, _| {
            c.list_begins(Listing::Changes);
            c.list_entry(streamer(cell), 1, 0, cell, Health::Ready, 1.0, Start::default());
            c.list_ends(Listing::Changes);
            c.set_crossing_budget(None, 1e9);
            c.set_crossing_budget(Some(1), 150.0);
        });
    }
    // The lowest rung of this room type has 120 kB/s, the next one 240 kB/s.
    let (first, second) =
        (simulation.submit(request(1, 0, 3), None), simulation.submit(request(1, 0, 3), None));
    assert_eq!(
        (
            simulation.joined_streamer(first).is_some(),
            simulation.checker.attempts[&first].rung,
            simulation.joined_streamer(second)
        ),
        (true, 0, None)
    );
    simulation.round(|c, _| c.set_crossing_budget(Some(1), 1e9));
    simulation.advance(ms(100));
    assert!(simulation.joined_streamer(second).is_some(), "the budget no longer limits it");
    let at_top = simulation.hand_over_at_top_rung(1)[0];
    let rung_steps = simulation.checker.rung_steps;
    simulation.round(|c, out| c.set_rung_cap(at_top, Some(1), out));
    simulation.round(|c, out| c.set_rung_cap(at_top, Some(0), out));
    assert_eq!(
        (simulation.checker.rung_steps, simulation.checker.attempts[&at_top].rung),
        (rung_steps + 1, 1),
        "no cap lowers a rung below the floor"
    );
}

/// Where all holders are full even for the lowest rung, further viewers would stall each other. A stale
/// measurement could refuse joins without need, so it counts for ten seconds only.
#[test]
fn holder_measured_full_takes_no_join() {
    for (utilization, placed) in [(1.2, false), (0.5, true)] {
        let mut simulation = Simulation::new(test_settings("free", "all"));
        simulation.list_all_streamers();
        for n in 0..3 {
            let playing = simulation.submit(request(1, 9, 6), Some(streamer(n)));
            simulation.round(|c, _| c.progress(playing, streamer(n), 3, utilization));
        }
        let job = simulation.submit(request(1, 0, 3), None);
        assert_eq!(simulation.joined_streamer(job).is_some(), placed);
        simulation.advance(ms(1100));
        assert_eq!(simulation.checker.attempts[&job].ended, !placed, "it is answered by its join objective");
    }
}

/// Rungs stayed low where only probes report utilization, since nothing else shows headroom. Probes could
/// cost more than they gain, so none is sent where no rung may rise.
#[test]
fn own_streamers_are_probed_and_rungs_rise_if_only_probes_report() {
    let mut settings = test_settings("free", "all");
    (settings["permissions"]["probing"], settings["familyInfo"]["toldEveryUs"]) = (json!(true), json!(0));
    settings["report"]["how"] = json!("probe");
    let mut simulation = Simulation::new(settings);
    simulation.list_all_streamers();
    let job = simulation.submit(request(0, 0, 3), Some(streamer(0)));
    for _ in 0..8 {
        simulation.advance(ms(1000));
        for id in std::mem::take(&mut simulation.checker.probed) {
            simulation.round(|c, _| c.probe_result(id, Ending::Served, ms(1), &[0.1]));
        }
    }
    assert_eq!(simulation.checker.attempts[&job].rung, 2, "nobody else plays there");
    simulation.advance(ms(8000));
    assert!(simulation.checker.probed.is_empty(), "at the top rung no probe is needed");
}

/// After a crowd left, rungs stayed low for the whole step interval. Where excesses come and go, rungs may
/// now change more often.
#[test]
fn rungs_rise_sooner_after_a_cut_than_after_a_raise() {
    let mut simulation = Simulation::new(test_settings("free", "all"));
    simulation.list_all_streamers();
    let jobs = simulation.hand_over_at_top_rung(2);
    simulation.round(|c, _| c.progress(jobs[0], streamer(0), 3, 1.6));
    simulation.advance(ms(400));
    let cut: Vec<_> = jobs.iter().filter(|job| simulation.checker.attempts[job].rung < 2).copied().collect();
    assert!(!cut.is_empty(), "an excess is cut");
    for _ in 0..4 {
        simulation.advance(ms(3000));
        simulation.round(|c, _| c.progress(jobs[0], streamer(0), 3, 0.3));
        simulation.advance(ms(400));
    }
    assert!(cut.iter().any(|job| simulation.checker.attempts[job].rung == 2), "there is headroom again");
}

/// The settings' total over all links describes the fleet at the start; links must not seem larger when
/// streamers leave.
#[test]
fn departed_streamers_make_no_link_larger() {
    let settings = crate::settings::Settings::new(
        json!({"weights": "none", "familyInfo": {"kindStreams": [20], "linkUnitKb": 1000.0, "linksKb": 6000.0}})
            .as_object()
            .cloned()
            .unwrap(),
    );
    let mut network_links = crate::state::NetworkLinks::default();
    let mut streamers: BTreeMap<_, _> = (0..6)
        .map(|cell| (streamer(cell), crate::state::Streamer::new(Health::Ready, Duration::ZERO)))
        .collect();
    for _ in 0..2 {
        network_links.rebuild(&streamers, &settings);
        assert_eq!(network_links.get(crate::state::NetworkLink::Link(streamer(0))).nominal_capacity, 1000.0);
        streamers.values_mut().skip(2).for_each(|s| s.health = Health::Gone);
    }
}

/// A request that arrived late, after its controller had been stopped, was placed again only once its time
/// was up. Waits and probes must not outlast the time left; such a request may be rejected a moment sooner.
#[test]
fn request_with_little_time_left_is_answered_in_time() {
    for (time_left, probing) in [(ms(865), false), (ms(45), false), (ms(25), true)] {
        let mut settings = test_settings("free", "all");
        settings["permissions"]["probing"] = json!(probing);
        let mut simulation = Simulation::new(settings);
        simulation.list_all_streamers();
        for n in 0..3 {
            let playing = simulation.submit(request(1, 9, 6), Some(streamer(n)));
            let utilization = if probing { 0.5 } else { 1.2 };
            simulation.round(|c, _| c.progress(playing, streamer(n), 3, utilization));
        }
        simulation.advance(ms(if probing { 11_000 } else { 10 }));
        let job =
            simulation.submit(SubscriptionRequest { client_timeout: time_left, ..request(1, 0, 3) }, None);
        assert!(!probing || simulation.joined_streamer(job).is_some(), "there is no time for a probe");
        simulation.advance(time_left.saturating_sub(ms(5)));
        let attempt = &simulation.checker.attempts[&job];
        assert!(
            attempt.ended || attempt.join.is_some(),
            "neither answered nor joined with {time_left:?} left"
        );
    }
}

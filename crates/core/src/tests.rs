//! A slow, plain model of the rules watches the module on generated days; and a small test for each failure
//! that was found.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen};
use serde_json::{json, Value};

use crate::decide::Controller;
use crate::interface::{Asked, Ending, Health, JobId, Listing, Start, StreamerId, Writer};
use crate::state::Pipe;
use crate::words::{self, Named, Word};

const CELLS: u32 = 6;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A start as all of a day's instances know it, on the one clock of the day.
fn started(at: Duration) -> Start {
    Start { at, number: at.as_micros() as u64 }
}

fn streamer(cell: u32) -> StreamerId {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, cell as u16)
}

fn settings(effect: &str, group: &str) -> Value {
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

fn asked(room_type: usize, title: u32, copies: u32) -> Asked {
    let client_timeout = ms(3000);
    let (max_rung, title) = (2, u64::from(title));
    Asked {
        title,
        room_type,
        client_timeout,
        first_cell: title as u32,
        copies,
        max_rung,
        ..Default::default()
    }
}

/// What the model knows of one try.
#[derive(Clone, Debug)]
struct Try {
    asked: Asked,
    ends: Duration,
    joins: u16,
    out: Option<(StreamerId, Duration)>,
    sent: Duration,
    plays: bool,
    ran: Vec<(StreamerId, Duration)>,
    rung: u8,
    over: bool,
}

/// The rules, each written as plainly as it reads.
struct Model {
    now: Duration,
    told: Value,
    list: BTreeMap<StreamerId, (u32, Health, Duration)>,
    tries: BTreeMap<JobId, Try>,
    sends: Vec<(Duration, StreamerId)>,
    requests: Vec<Duration>,
    further: Vec<Duration>,
    reminders: BTreeSet<(Duration, u64)>,
    steps: usize,
    shifted: Vec<JobId>,
    probed: Vec<StreamerId>,
    said: Vec<Vec<u8>>,
}

impl Model {
    fn figure(&self, path: &str) -> f64 {
        self.told.pointer(path).and_then(Value::as_f64).unwrap()
    }

    fn within(&self, times: &[Duration], us: f64) -> f64 {
        times.iter().filter(|t| (self.now - **t).as_micros() as f64 <= us).count() as f64
    }

    fn end(&mut self, job: JobId) -> Try {
        let one = self.tries.get_mut(&job).expect("an answer names a known subscription");
        assert!(!one.over && !one.plays, "subscription {job} is answered twice");
        assert!(one.out.is_none(), "subscription {job} is answered with a join out");
        one.over = true;
        one.clone()
    }

    fn effect(&self, one: &Try, key: &str) -> String {
        self.told["profiles"][one.asked.room_type][key].as_str().unwrap().to_owned()
    }
}

impl Writer for Model {
    fn pass_on(&mut self, job: JobId, id: StreamerId, until: Duration) {
        let (cell, health, came_up) = self.list[&id];
        let one = self.tries[&job].clone();
        assert!(!one.over && !one.plays && self.now < one.ends, "a join after the end of {job}");
        assert!(one.out.is_none(), "two joins out for {job}");
        assert_eq!(health, Health::Ready, "a join to a streamer that drains or is gone");
        assert!((cell + CELLS - one.asked.first_cell % CELLS) % CELLS < one.asked.copies, "not a holder");
        let effect = self.effect(&one, "effect");
        let group = self.effect(&one, "group");
        assert!(effect != "single_shot" || one.ran.is_empty(), "single_shot set up twice");
        for (at, sent) in one.ran.iter().filter(|_| effect == "guarded") {
            assert!(group == "all" || *at == id, "guarded: another group");
            assert!((self.now - *sent).as_micros() <= 900_000, "guarded: out of its window");
        }
        let seats = self.told["familyInfo"]["licenceCap"][one.asked.room_type].as_u64().unwrap();
        let same = |t: &&Try| {
            let held = t.out.is_some() || t.plays && !t.over;
            held && t.asked.title == one.asked.title && t.asked.room_type == one.asked.room_type
        };
        assert!(seats == 0 || (self.tries.values().filter(same).count() as u64) < seats, "no seat is free");
        self.sends.push((self.now, id));
        if came_up > Duration::ZERO && self.now - came_up < ms(10_000) {
            let warm = 0.4 + 0.6 * (self.now - came_up).as_secs_f64() / 10.0;
            let there: Vec<_> = self.sends.iter().filter(|s| s.1 == id).map(|s| s.0).collect();
            let sent = there.iter().filter(|t| self.now - **t < ms(2000)).count() as f64;
            assert!(sent <= 2.5 * 20.0 / 10.0 * warm * 2.0 / 2.0, "a cold streamer is pushed");
        }
        if one.joins > 0 {
            self.further.push(self.now);
            let span = self.figure("/obligations/countedOverUs");
            let most = 2.0 + 0.2 * self.within(&self.requests, span - 1.0);
            assert!(self.within(&self.further, span) <= most, "over the join budget");
        }
        let one = self.tries.get_mut(&job).unwrap();
        one.joins += 1;
        assert!(one.joins <= 3, "more joins than allowed");
        (one.out, one.sent) = (Some((id, until.min(one.ends))), self.now);
    }

    fn shed(&mut self, job: JobId, cool_down: Duration) {
        let one = self.end(job);
        assert!(cool_down <= ms(500));
        let harmless = match self.effect(&one, "effect").as_str() {
            "single_shot" => one.ran.is_empty(),
            "guarded" => one.ran.is_empty() || self.effect(&one, "group") == "all",
            _ => true,
        };
        assert!(harmless, "throttled though a join may have run");
    }

    fn respond_error(&mut self, job: JobId) {
        self.end(job);
    }

    fn step_to(&mut self, job: JobId, rung: u8) {
        self.steps += 1;
        let one = self.tries.get_mut(&job).unwrap();
        let floor = self.told["familyInfo"]["floorByClass"][one.asked.room_type].as_u64().unwrap();
        let top = self.told["familyInfo"]["classTop"][one.asked.room_type].as_u64().unwrap();
        assert!(rung <= one.asked.max_rung && u64::from(rung) <= top, "a rung above the highest");
        assert!(u64::from(rung) >= floor, "a rung under the floor");
        one.rung = rung;
    }

    fn shift(&mut self, job: JobId) {
        assert!(self.tries[&job].plays, "only what plays is moved");
        self.tries.get_mut(&job).unwrap().over = true;
        self.shifted.push(job);
    }

    fn remind(&mut self, from_now: Duration, token: u64) {
        self.reminders.insert((self.now + from_now, token));
    }

    fn cancel(&mut self, _job: JobId, _join: u16) {}
    fn health_check(&mut self, id: StreamerId) {
        assert!(self.told["permissions"]["probing"] == true && self.list.contains_key(&id));
        self.probed.push(id);
    }
    fn close(&mut self, _streamer: StreamerId) {}
    fn signal(&mut self, _peer: Option<u16>, bytes: &[u8]) {
        self.said.push(bytes.to_vec());
    }
    fn observe(&mut self, _want: bool) {}
    fn list_all(&mut self) {}
    fn emit(&mut self, _line: &str) {}
    fn give_in(&mut self, _line: &str) {}
}

/// One instance with the model that watches it.
struct Day {
    controller: Controller,
    model: Model,
    next: JobId,
}

impl Day {
    fn new(told: Value) -> Self {
        let now = ms(100_000);
        let seed = 7 + told["me"].as_u64().unwrap_or(0);
        let Value::Object(options) = told.clone() else { panic!("settings are an object") };
        let model = Model {
            now,
            told,
            list: BTreeMap::new(),
            tries: BTreeMap::new(),
            sends: Vec::new(),
            requests: Vec::new(),
            further: Vec::new(),
            reminders: BTreeSet::new(),
            steps: 0,
            shifted: Vec::new(),
            probed: Vec::new(),
            said: Vec::new(),
        };
        Self { controller: Controller::new(now, seed, options), model, next: 0 }
    }

    fn round(&mut self, arrivals: impl FnOnce(&mut Controller, &mut Model)) {
        let now = self.model.now;
        self.controller.round(now, arrivals, &mut self.model);
    }

    fn list(&mut self, cell: u32, health: Health, came_up: Duration) {
        self.model.list.insert(streamer(cell), (cell, health, came_up));
        self.round(|c, _| {
            c.list_begins(Listing::Changes);
            c.list_entry(streamer(cell), 0, 0, cell, health, 1.0, started(came_up));
            c.list_ends(Listing::Changes);
        });
    }

    fn all_listed(&mut self) {
        (0..CELLS).for_each(|cell| self.list(cell, Health::Ready, Duration::ZERO));
    }

    fn take(&mut self, asked: Asked, at: Option<StreamerId>) -> JobId {
        let (job, now) = (self.next, self.model.now);
        self.next += 1;
        let (ends, plays) = (now + asked.client_timeout, at.is_some());
        let (ran, rung) = (vec![], 0);
        let one = Try { asked, ends, joins: 0, out: None, sent: now, plays, ran, rung, over: false };
        self.model.tries.insert(job, one);
        match at {
            Some(at) => self.round(|c, _| c.resumed(job, asked, at)),
            None => {
                self.model.requests.push(now);
                self.round(|c, _| c.request(job, asked));
            }
        }
        job
    }

    /// Subscriptions handed over at the top rung of one streamer, with their rates known for a while.
    fn handed_over_at_the_top(&mut self, count: usize) -> Vec<JobId> {
        let jobs: Vec<_> = (0..count).map(|_| self.take(asked(0, 0, 1), Some(streamer(0)))).collect();
        jobs.iter().for_each(|job| self.round(|c, _| c.progress(*job, streamer(0), 2, 2.0)));
        self.pass(ms(600));
        jobs
    }

    /// Ends the join that is out, or the stream that plays.
    fn ends(&mut self, job: JobId, ending: Ending) {
        let now = self.model.now;
        let one = self.model.tries.get_mut(&job).unwrap();
        let Some((id, _)) = one.out.take() else { return };
        if ending == Ending::Served {
            one.plays = true;
            return self.round(|c, _| c.flowing(job, 0, id, ms(50)));
        }
        if !ending.proves_it_never_ran() {
            one.ran.push((id, one.sent));
        }
        let latency = now - one.sent;
        self.round(|c, _| c.outcome(job, id, 0, ending, false, latency, &[]));
    }

    /// Lets time pass in ticks; joins run out, reminders come, and overdue answers are found.
    fn pass(&mut self, span: Duration) {
        let until = self.model.now + span;
        while self.model.now < until {
            self.model.now += ms(10);
            let now = self.model.now;
            let out = self.model.tries.iter().filter(|(_, t)| t.out.is_some_and(|o| o.1 <= now));
            for job in out.map(|(job, _)| *job).collect::<Vec<_>>() {
                self.ends(job, Ending::Timeout);
            }
            while let Some(&(at, token)) = self.model.reminders.first().filter(|r| r.0 <= now) {
                self.model.reminders.remove(&(at, token));
                self.round(|c, _| c.fired(token));
            }
            let owed = |t: &Try| !t.over && !t.plays && t.ends + ms(20) < now;
            assert!(!self.model.tries.values().any(owed), "a final answer is overdue");
        }
    }

    fn out(&self, job: JobId) -> Option<StreamerId> {
        self.model.tries[&job].out.map(|o| o.0)
    }
}

/// Plays generated moments: what comes in, and how joins end.
fn play(moments: &[(u8, u8)], effect: &str, group: &str) {
    let endings = [Ending::Served, Ending::Served, Ending::Error, Ending::Full, Ending::ConnectFailed];
    let healths = [Health::Ready, Health::Draining, Health::Gone];
    let mut told = settings(effect, group);
    told["permissions"]["probing"] = json!(true);
    let mut day = Day::new(told);
    day.all_listed();
    for &(what, which) in moments {
        let n = u32::from(which);
        let out: Vec<_> = day.model.tries.iter().filter(|t| t.1.out.is_some()).map(|t| *t.0).collect();
        match what % 8 {
            0..=3 => {
                day.take(asked(usize::from(what & 1), n % 4, 1 + n % 4), None);
            }
            4 if !out.is_empty() => day.ends(out[n as usize % out.len()], endings[n as usize % 5]),
            5 => {
                let now = day.model.now;
                day.list(n % CELLS, healths[n as usize % 3], now);
            }
            6 => {
                let notes = day.model.tries.iter().find(|t| t.1.plays && !t.1.over).map(|t| *t.0);
                let (kind, x) = ([1, 3][n as usize % 2], f64::from(n) / 128.0);
                notes
                    .into_iter()
                    .for_each(|job| day.round(|c, _| c.progress(job, streamer(n % CELLS), kind, x)));
            }
            _ => day.pass(ms(u64::from(which) * 8)),
        }
    }
    day.pass(ms(5000));
}

#[test]
fn the_rules_hold_on_generated_days() {
    for (seed, effect, group) in
        [(1, "free", "all"), (2, "guarded", "all"), (3, "guarded", "cell"), (4, "single_shot", "all")]
    {
        let mut gen = Gen::from_size_and_seed(120, seed);
        for _ in 0..30 {
            play(&Vec::<(u8, u8)>::arbitrary(&mut gen), effect, group);
        }
    }
}

#[test]
fn without_any_streamer_a_subscription_is_throttled_by_its_join_objective() {
    let mut day = Day::new(settings("free", "all"));
    let job = day.take(asked(1, 0, 3), None);
    day.pass(ms(1100));
    assert!(day.model.tries[&job].over);
}

#[test]
fn a_subscription_waits_for_the_list_while_that_helps() {
    let mut day = Day::new(settings("free", "all"));
    let job = day.take(asked(1, 0, 3), None);
    day.pass(ms(300));
    day.all_listed();
    day.pass(ms(100));
    assert!(day.out(job).is_some());
}

#[test]
fn a_holder_set_aside_is_used_where_there_is_no_other() {
    let mut day = Day::new(settings("free", "all"));
    day.all_listed();
    let short = day.take(asked(1, 0, 1), Some(streamer(0)));
    day.round(|c, _| c.progress(short, streamer(0), 1, 0.5));
    let job = day.take(asked(1, 0, 1), None);
    assert_eq!(day.out(job), Some(streamer(0)));
}

#[test]
fn one_excess_is_given_back_once_until_a_measure_can_show_it() {
    let mut day = Day::new(settings("free", "all"));
    day.all_listed();
    let jobs = day.handed_over_at_the_top(4);
    day.round(|c, _| c.progress(jobs[0], streamer(0), 3, 1.6));
    day.pass(ms(400));
    let steps = day.model.steps;
    assert!(steps > 0, "an excess is given back");
    day.round(|c, _| c.progress(jobs[0], streamer(0), 3, 1.6));
    day.pass(ms(400));
    assert_eq!(day.model.steps, steps, "a note from before the cut cuts no more");
}

#[test]
fn subscriptions_handed_over_are_not_stepped_before_their_notes_are_in() {
    let mut day = Day::new(settings("free", "all"));
    day.all_listed();
    for n in 0..3 {
        day.take(asked(0, n, 3), Some(streamer(n)));
    }
    day.pass(ms(3000));
    assert_eq!(day.model.steps, 0);
}

#[test]
fn a_streamer_that_delivers_short_without_a_full_pipe_is_left_alone() {
    let least_loaded = |noted: f64| {
        let mut day = Day::new(settings("free", "all"));
        day.all_listed();
        let jobs: Vec<_> =
            [0, 1, 1, 2, 2].iter().map(|n| day.take(asked(1, 0, 3), Some(streamer(*n)))).collect();
        day.round(|c, _| c.progress(jobs[0], streamer(0), 1, noted));
        let job = day.take(asked(1, 0, 3), None);
        day.out(job)
    };
    assert_eq!(least_loaded(1.0), Some(streamer(0)));
    assert_ne!(least_loaded(0.5), Some(streamer(0)));
}

#[test]
fn a_delivered_share_counts_as_a_measure_where_reports_stay_out() {
    let mut day = Day::new(settings("free", "all"));
    day.all_listed();
    let jobs = day.handed_over_at_the_top(2);
    day.round(|c, _| c.progress(jobs[0], streamer(0), 3, 0.95));
    day.pass(ms(1000));
    assert_eq!(day.model.steps, 0);
    day.round(|c, _| c.progress(jobs[0], streamer(0), 1, 0.7));
    day.pass(ms(400));
    assert!(day.model.steps > 0, "rungs fall by what was delivered");
}

#[test]
fn a_cold_streamer_is_neither_pushed_nor_left_unused_by_many_controllers() {
    let many = 120;
    let day = |me: usize| {
        let mut told = settings("free", "all");
        (told["balancers"], told["me"]) = (json!(many), json!(me));
        Day::new(told)
    };
    let mut days: Vec<Day> = (0..many).map(day).collect();
    let start = ms(103_000);
    for day in &mut days {
        day.pass(ms(3000));
        day.list(0, Health::Ready, start);
        for _ in 0..10 {
            let job = day.take(asked(1, 0, 1), None);
            day.pass(ms(1000));
            day.ends(job, Ending::Served);
        }
    }
    let sends: Vec<Duration> = days.iter().flat_map(|d| &d.model.sends).map(|s| s.0).collect();
    assert!(sends.len() >= 10, "only {} joins in a whole warm-up", sends.len());
    for to in sends.iter().filter(|t| **t < start + ms(10_000)) {
        let warm = 0.4 + 0.6 * ((*to - start).as_secs_f64() / 10.0).powi(2);
        let within = sends.iter().filter(|t| *t <= to && **t + ms(2000) > *to).count();
        assert!(within as f64 <= 2.5 * 20.0 / 10.0 * warm * 2.0 + 1.0, "{within} joins in a window");
    }
}

#[test]
fn a_guess_lowers_no_rung() {
    let mut day = Day::new(settings("free", "all"));
    day.all_listed();
    let jobs: Vec<_> = [0, 1, 1].iter().map(|n| day.take(asked(0, 0, 3), Some(streamer(*n)))).collect();
    for (job, n) in jobs.iter().zip([0, 1, 1]) {
        day.round(|c, _| c.progress(*job, streamer(n), 2, 2.0));
    }
    day.pass(ms(600));
    day.round(|c, _| c.progress(jobs[0], streamer(0), 3, 0.95));
    day.pass(ms(1000));
    assert_eq!(day.model.steps, 0, "nobody measured the streamer with two");
}

#[test]
fn controllers_that_guess_alike_do_not_choose_alike() {
    let chosen = |me: u32| {
        let mut told = settings("free", "all");
        (told["balancers"], told["me"]) = (json!(40), json!(me));
        (told["familyInfo"]["positions"], told["familyInfo"]["groups"]) = (json!(60), json!(6));
        let mut day = Day::new(told);
        for cell in 0..60 {
            // Two started just now leave the first rack emptier than others, and the list tells everybody.
            let came_up = if cell == 0 || cell == 6 { ms(99_000) } else { Duration::ZERO };
            day.list(cell, Health::Ready, came_up);
        }
        let heard = day.take(asked(1, 0, 60), Some(streamer(1)));
        day.round(|c, _| c.progress(heard, streamer(1), 3, 0.5));
        day.pass(ms(600));
        let job = day.take(asked(1, 0, 60), None);
        u32::from(day.out(job).expect("it is placed").port())
    };
    let in_first_rack = (0..40).filter(|me| chosen(*me) % 6 == 0).count();
    assert!(in_first_rack < 20, "{in_first_rack} of 40 went to one rack");
}

#[test]
fn a_streamer_that_answers_no_probe_is_passed_over() {
    for answers in [true, false] {
        let mut told = settings("free", "all");
        told["permissions"]["probing"] = json!(true);
        let mut day = Day::new(told);
        day.all_listed();
        for n in 1..3 {
            day.take(asked(1, 0, 3), Some(streamer(n)));
        }
        let job = day.take(asked(1, 0, 3), None);
        let probed = day.model.probed.clone();
        assert_eq!((probed.len(), day.out(job)), (2, None), "the join waits for the answers");
        for id in probed.iter().filter(|_| answers) {
            day.round(|c, _| c.echo(*id, Ending::Served, ms(3), &[0.0]));
        }
        day.pass(ms(60));
        assert_eq!(probed.contains(&day.out(job).expect("it is placed")), answers);
        assert_eq!(day.model.probed.len(), 2);
    }
}

/// A day of a fleet of many controllers with this price of a probe.
fn of_many(me: u32, probe: f64) -> Day {
    let mut told = settings("free", "all");
    (told["balancers"], told["me"]) = (json!(1.2), json!(me));
    told["permissions"]["probing"] = json!(true);
    told["permissions"]["peers"] = json!(true);
    told["permissions"]["keepaliveUs"] = json!(30_000_000);
    told["prices"] = json!({"probe": probe, "peer": 0.01, "handshake": 0.08});
    told["familyInfo"]["uplinkKb"] = json!(20_000.0);
    let mut day = Day::new(told);
    day.all_listed();
    day
}

/// Found on the days of 300 controllers: each knew a few links, and paid two probes for a join to know more. A word
/// could send all to one streamer (below), or stand for one that is silent (it counts for three notes).
#[test]
fn where_looks_cost_much_a_controller_tells_what_it_measured_and_others_need_no_look() {
    let said = |probe| {
        let mut day = of_many(0, probe);
        for _ in 0..4 {
            day.take(asked(1, 3, 1), None);
        }
        for n in 0..3 {
            let held = day.take(asked(1, 9, 6), Some(streamer(n)));
            day.round(|c, _| c.progress(held, streamer(n), 3, [0.9, 0.2, 0.9][n as usize]));
        }
        day.pass(ms(2000));
        day.model.said
    };
    assert_eq!(said(0.011), Vec::<Vec<u8>>::new(), "a look is worth its price");
    let said = said(0.08);
    assert_eq!(said.len(), 1, "once, till the next notes");
    let mut day = of_many(1, 0.08);
    day.round(|c, _| c.peer(0, &said[0]));
    let job = day.take(asked(1, 0, 3), None);
    assert_eq!((day.out(job), day.model.probed.len()), (Some(streamer(1)), 0));
    day.pass(ms(10_000));
    let job = day.take(asked(1, 0, 3), None);
    assert_eq!((day.out(job), day.model.probed.len()), (None, 1), "of a silent one nobody tells");
}

/// Found by reading: a join that waited for its connection arrived after the window in which it may be repeated. Harm: where
/// the window is hardly longer than a connection takes, a connection that is open is not used either.
#[test]
fn a_guarded_request_is_not_repeated_where_that_could_arrive_out_of_its_window() {
    let further = |lost_after: u64| {
        let mut told = settings("guarded", "all");
        told["permissions"]["connectTimeoutUs"] = json!(250_000);
        let mut day = Day::new(told);
        day.all_listed();
        day.model.now += ms(30_000);
        let job = day.take(asked(0, 0, 6), None);
        assert!(day.out(job).is_some());
        day.pass(ms(lost_after));
        day.ends(job, Ending::Reset);
        day.pass(ms(50));
        day.out(job).is_some()
    };
    assert!(further(300), "a window of 0.9 s has time for it");
    assert!(!further(450 + 250), "it could come 0.95 s after the first");
}

/// No list is capped: with 1,024 controllers and as many streamers joins are placed, and words are taken.
#[test]
fn a_fleet_of_1024_controllers_and_streamers_is_served() {
    let mut told = settings("free", "all");
    (told["balancers"], told["me"]) = (json!(1024), json!(1023));
    (told["familyInfo"]["positions"], told["familyInfo"]["groups"]) = (json!(1024), json!(200));
    let mut day = Day::new(told);
    day.round(|c, _| {
        c.list_begins(Listing::Cached);
        let all = (0..1024).map(|cell| (streamer(cell), cell));
        all.for_each(|(id, cell)| c.list_entry(id, 0, 0, cell, Health::Ready, 1.0, Start::default()));
        c.list_ends(Listing::Cached);
    });
    let all = (0..1024).map(|cell| (streamer(cell), (cell, Health::Ready, ms(0))));
    day.model.list.extend(all);
    let words = (0..42).map(|n| Word { pipe: Pipe::Link(streamer(1000 + n)), used: 2.0, age: ms(0) });
    let said = words::write(&words.collect::<Vec<_>>());
    day.round(|c, _| c.peer(1022, &said));
    let jobs: Vec<_> = (0..24).map(|n| day.take(asked(1, 1000 + n, 1), None)).collect();
    assert!(jobs.iter().all(|job| day.out(*job).is_none()), "their only holders are told to be overfull");
    let jobs: Vec<_> = (0..20).map(|n| day.take(asked(1, 50 * n, 3), None)).collect();
    assert!(jobs.iter().all(|job| day.out(*job).is_some()));
}

/// All hear the same words, and by then others have joined where it was emptiest. Harm: a join goes to a holder that
/// is fuller by what others may have added.
#[test]
fn what_others_may_have_added_since_spreads_joins() {
    let first = |balancers: u32| {
        let chosen = |me: u32| {
            let mut told = settings("free", "all");
            (told["balancers"], told["me"]) = (json!(balancers), json!(me));
            (told["permissions"]["probing"], told["permissions"]["peers"]) = (json!(true), json!(true));
            told["prices"] = json!({"probe": 0.08, "peer": 0.01});
            told["familyInfo"]["uplinkKb"] = json!(20_000.0);
            let mut day = Day::new(told);
            day.all_listed();
            for n in 0..3 {
                let held = day.take(asked(1, 0, 3), Some(streamer(n)));
                day.round(|c, _| c.progress(held, streamer(n), 3, if n == 0 { 0.3 } else { 0.5 }));
            }
            day.pass(ms(800));
            let job = day.take(asked(1, 0, 3), None);
            day.out(job) == Some(streamer(0))
        };
        (0..40).filter(|me| chosen(*me)).count()
    };
    assert_eq!(first(2), 40, "the least loaded");
    assert!(first(300) < 30, "{} of 40 went to the least loaded by an old measure", first(300));
}

/// A new connection has its price, as crossing has. Harm: a join goes to a holder fuller by as much.
#[test]
fn of_like_holders_one_with_a_connection_is_taken() {
    let mut day = of_many(1, 0.0);
    day.take(asked(1, 9, 6), Some(streamer(5)));
    let full = |day: &mut Day, full: [f64; 3]| {
        let echo = |(n, full)| day.round(|c, _| c.echo(streamer(n), Ending::Served, ms(1), &[full]));
        (0..).zip(full).for_each(echo);
    };
    full(&mut day, [0.5; 3]);
    let held = day.take(asked(1, 2, 1), None);
    day.ends(held, Ending::Served);
    day.pass(ms(600));
    full(&mut day, [0.47, 0.47, 0.5]);
    let job = day.take(asked(1, 0, 3), None);
    assert_eq!(day.out(job), Some(streamer(2)));
}

#[test]
fn words_are_read_as_written_and_what_is_not_whole_is_none() {
    fn holds(uses: Vec<u8>, noise: Vec<u8>) -> bool {
        let pipe = |n: usize| {
            if n.is_multiple_of(3) {
                Pipe::Uplink(n as u32)
            } else {
                Pipe::Link(streamer(n as u32))
            }
        };
        let words = uses.iter().enumerate().map(|(n, used)| Word {
            pipe: pipe(n),
            used: f64::from(*used) * 0.01,
            age: ms(50 * n as u64),
        });
        let words: Vec<_> = words.take(40).collect();
        let bytes = words::write(&words);
        let mut expected: Vec<_> = words.iter().collect();
        expected.sort_by_key(|word| matches!(word.pipe, Pipe::Uplink(_)));
        let named = |pipe| match pipe {
            Pipe::Link(id) => Named::Link(words::name(id)),
            Pipe::Uplink(number) => Named::Uplink(number),
        };
        let expected = expected.into_iter().map(|w| Word { pipe: named(w.pipe), used: w.used, age: w.age });
        words::read(&noise);
        bytes.len() <= 256 && words::read(&bytes) == expected.collect::<Vec<_>>()
    }
    let chance = Gen::from_size_and_seed(60, 7);
    quickcheck::QuickCheck::new().rng(chance).quickcheck(holds as fn(Vec<u8>, Vec<u8>) -> bool);
    assert!(words::read(&[1, 0, 0, 0, 0, 9]).is_empty() && words::read(&[0, 1]).is_empty());
}

#[test]
fn under_a_budget_joins_cross_within_what_is_left_and_caps_lower_at_once() {
    let mut day = Day::new(settings("free", "all"));
    for cell in 0..CELLS {
        day.model.list.insert(streamer(cell), (cell, Health::Ready, Duration::ZERO));
        day.round(|c, _| {
            c.list_begins(Listing::Changes);
            c.list_entry(streamer(cell), 1, 0, cell, Health::Ready, 1.0, Start::default());
            c.list_ends(Listing::Changes);
            c.crossing(None, 1e9);
            c.crossing(Some(1), 150.0);
        });
    }
    // The lowest rung of this room type asks 120 kB a second, the next 240.
    let (first, second) = (day.take(asked(1, 0, 3), None), day.take(asked(1, 0, 3), None));
    assert_eq!((day.out(first).is_some(), day.model.tries[&first].rung, day.out(second)), (true, 0, None));
    day.round(|c, _| c.crossing(Some(1), 1e9));
    day.pass(ms(100));
    assert!(day.out(second).is_some(), "nothing holds it any more");
    let top = day.handed_over_at_the_top(1)[0];
    let steps = day.model.steps;
    day.round(|c, out| c.cap(top, Some(1), out));
    day.round(|c, out| c.cap(top, Some(0), out));
    assert_eq!((day.model.steps, day.model.tries[&top].rung), (steps + 1, 1), "no cap goes under the floor");
}

/// Guards against viewers that stall each other where all holders are full even for the lowest rung. It could
/// harm where a measure is stale; it counts for ten seconds only.
#[test]
fn a_holder_measured_full_takes_no_more() {
    for (full, placed) in [(1.2, false), (0.5, true)] {
        let mut day = Day::new(settings("free", "all"));
        day.all_listed();
        for n in 0..3 {
            let held = day.take(asked(1, 9, 6), Some(streamer(n)));
            day.round(|c, _| c.progress(held, streamer(n), 3, full));
        }
        let job = day.take(asked(1, 0, 3), None);
        assert_eq!(day.out(job).is_some(), placed);
        day.pass(ms(1100));
        assert_eq!(day.model.tries[&job].over, !placed, "it is answered by its join objective");
    }
}

/// Guards against rungs that stay low where reports come by probe alone: nothing else tells of room. Looks
/// could cost more than they earn; none is made where nothing may rise.
#[test]
fn where_only_probes_tell_own_streamers_are_looked_at_and_rungs_rise() {
    let mut told = settings("free", "all");
    (told["permissions"]["probing"], told["familyInfo"]["toldEveryUs"]) = (json!(true), json!(0));
    told["report"]["how"] = json!("probe");
    let mut day = Day::new(told);
    day.all_listed();
    let job = day.take(asked(0, 0, 3), Some(streamer(0)));
    for _ in 0..8 {
        day.pass(ms(1000));
        for id in std::mem::take(&mut day.model.probed) {
            day.round(|c, _| c.echo(id, Ending::Served, ms(1), &[0.1]));
        }
    }
    assert_eq!(day.model.tries[&job].rung, 2, "nobody else plays there");
    day.pass(ms(8000));
    assert!(day.model.probed.is_empty(), "at the top nothing is to be learned");
}

/// Guards against waiting out the whole rest after a crowd has left. It could harm where excesses come and go.
#[test]
fn after_a_cut_rungs_rise_again_sooner_than_between_raises() {
    let mut day = Day::new(settings("free", "all"));
    day.all_listed();
    let jobs = day.handed_over_at_the_top(2);
    day.round(|c, _| c.progress(jobs[0], streamer(0), 3, 1.6));
    day.pass(ms(400));
    let cut: Vec<_> = jobs.iter().filter(|job| day.model.tries[job].rung < 2).copied().collect();
    assert!(!cut.is_empty(), "an excess is given back");
    for _ in 0..4 {
        day.pass(ms(3000));
        day.round(|c, _| c.progress(jobs[0], streamer(0), 3, 0.3));
        day.pass(ms(400));
    }
    assert!(cut.iter().any(|job| day.model.tries[job].rung == 2), "there is room again");
}

/// Guards against taking links for larger while streamers are away: all links together are told as of the start.
#[test]
fn what_leaves_the_list_makes_no_link_larger() {
    let told = crate::told::Told::new(
        json!({"weights": "none", "familyInfo": {"kindStreams": [20], "linkUnitKb": 1000.0, "linksKb": 6000.0}})
            .as_object()
            .cloned()
            .unwrap(),
    );
    let mut pipes = crate::state::Pipes::default();
    let mut streamers: BTreeMap<_, _> = (0..6)
        .map(|cell| (streamer(cell), crate::state::Streamer::new(Health::Ready, Duration::ZERO)))
        .collect();
    for _ in 0..2 {
        pipes.lay(&streamers, &told);
        assert_eq!(pipes.of(crate::state::Pipe::Link(streamer(0))).stated, 1000.0);
        streamers.values_mut().skip(2).for_each(|s| s.health = Health::Gone);
    }
}

/// Found by a hunt: a viewer who came late, after a controller's standstill, was looked at again only once its time
/// was up. Guards against waits and probes that outlast what is left; it gives such a request up a moment sooner.
#[test]
fn a_request_with_little_time_left_is_answered_within_it() {
    for (left, probing) in [(ms(865), false), (ms(45), false), (ms(25), true)] {
        let mut told = settings("free", "all");
        told["permissions"]["probing"] = json!(probing);
        let mut day = Day::new(told);
        day.all_listed();
        for n in 0..3 {
            let held = day.take(asked(1, 9, 6), Some(streamer(n)));
            let full = if probing { 0.5 } else { 1.2 };
            day.round(|c, _| c.progress(held, streamer(n), 3, full));
        }
        day.pass(ms(if probing { 11_000 } else { 10 }));
        let job = day.take(Asked { client_timeout: left, ..asked(1, 0, 3) }, None);
        assert!(!probing || day.out(job).is_some(), "there is no time for a probe");
        day.pass(left.saturating_sub(ms(5)));
        let one = &day.model.tries[&job];
        assert!(one.over || one.out.is_some(), "nothing was done with {left:?} left");
    }
}

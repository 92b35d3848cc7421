//! A slow, plain model of the rules watches the exchange and the module on generated sequences of events in any
//! order; and a small test for each hard case.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use badgerledge_core::interface::{Ending, Health, JobId, Listing, Start, StreamerId, SubscriptionRequest};
use quickcheck::{Arbitrary, Gen};
use serde_json::{json, Value};

use crate::{Admission, Carrier, Exchange, Floor, Line};

mod changing;

const CELLS: u32 = 6;
const SEATS: usize = 2;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn streamer(cell: u32) -> StreamerId {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 100 + cell as u16)
}

fn told() -> Value {
    let profile = |effect: &str| json!({"aimUs": 600_000, "effect": effect, "group": "all", "worth": 1.0});
    json!({
        "balancers": 2, "discovery": "automatic", "tickUs": 10_000, "weights": "nominal",
        "profiles": [profile("free"), profile("single_shot")],
        "familyInfo": {"positions": CELLS, "groups": 2, "classScale": [1.0, 1.0], "classTop": [2, 2],
            "floorByClass": [1, 0], "licenceCap": [SEATS, 0], "kindStreams": [20], "linkUnitKb": 1000.0,
            "levelKb": [100.0, 200.0, 400.0], "ladderWorth": [0.3, 0.6, 1.0], "uplinkKb": 2000.0},
        "obligations": {"coldFrom": 0.4, "coldUs": 0, "tipAfterUs": 0, "drainGraceUs": 0,
            "budgetFree": 1, "extraRatio": 0.5, "countedOverUs": 5_000_000},
        "permissions": {"maxAttempts": 3, "retryAfter": true, "maxRetryAfterUs": 500_000},
        "report": {"fields": ["x0"], "how": "answers"}, "zone": 0})
}

fn asked(viewer: u64, room_type: usize) -> SubscriptionRequest {
    let client_timeout = ms(2000);
    SubscriptionRequest {
        title: 1,
        path_key: viewer,
        room_type,
        client_timeout,
        copies: 4,
        max_rung: 2,
        ..SubscriptionRequest::default()
    }
}

/// One viewer's line, as the viewer sees it.
#[derive(Debug)]
struct Seen {
    ends: Duration,
    answers: usize,
    left: bool,
}

/// One join, as its streamer sees it.
#[derive(Debug)]
struct Sent {
    viewer: u64,
    streamer: StreamerId,
    set_up: bool,
    proven_unrun: bool,
    out: bool,
}

/// Both ends of the wire, and the rules, each written as plainly as it reads.
#[derive(Default)]
struct Ends {
    now: Duration,
    lines: BTreeMap<Line, Seen>,
    joins: BTreeMap<(JobId, u16), Sent>,
    viewers: BTreeMap<JobId, (u64, usize)>,
    off: BTreeSet<StreamerId>,
    asks: Vec<Duration>,
    further: Vec<Duration>,
    redirected: Vec<Line>,
    steps: Vec<(JobId, u8)>,
    reminders: BTreeSet<(Duration, u64)>,
    granted: BTreeMap<Line, JobId>,
    throttled: Vec<Line>,
}

impl Ends {
    fn answer(&mut self, line: Line) {
        let seen = self.lines.get_mut(&line).expect("only lines that asked are answered");
        seen.answers += 1;
        assert_eq!(seen.answers, 1, "rule 1: line {line} has more than one answer");
        assert!(self.now <= seen.ends, "rule 1: line {line} is answered after its viewer gave up");
    }

    fn out(&self) -> Vec<(JobId, u16)> {
        self.joins.iter().filter(|(_, join)| join.out).map(|(id, _)| *id).collect()
    }

    fn check_budget(&mut self) {
        let span = ms(5000);
        let asks = self.asks.iter().filter(|at| **at + span > self.now).count();
        let further = self.further.iter().filter(|at| **at + span > self.now).count();
        assert!(further as f64 <= 1.0 + 0.5 * asks as f64, "rule 6: {further} further joins for {asks}");
    }
}

impl Carrier for Ends {
    fn grant(&mut self, viewer: Line, job: JobId) {
        self.answer(viewer);
        self.granted.insert(viewer, job);
    }

    fn throttle(&mut self, viewer: Line, _cool_down: Duration) {
        self.throttled.push(viewer);
        self.answer(viewer);
    }

    fn terminate(&mut self, viewer: Line, _late: bool) {
        self.answer(viewer);
    }

    fn open_join(&mut self, job: JobId, number: u16, streamer: StreamerId) {
        let (viewer, room_type) = self.viewers[&job];
        let mine = |join: &&Sent| join.viewer == viewer && join.out;
        assert_eq!(self.joins.values().filter(mine).count(), 0, "rule 2: viewer {viewer} has a join out");
        let earlier = self.joins.iter().filter(|(id, _)| id.0 == job);
        let ran = earlier.filter(|(_, join)| join.set_up && !join.proven_unrun).count();
        assert!(room_type == 0 || ran == 0, "rule 2: an unsafe room type is set up again");
        assert!(!self.off.contains(&streamer), "rule 3: {streamer} is off");
        if number > 0 {
            self.further.push(self.now);
            self.check_budget();
        }
        let of_type = |id: &(JobId, u16)| self.viewers[&id.0].1 == 0;
        let seats = self.joins.iter().filter(|(id, join)| join.out && of_type(id)).count();
        assert!(room_type != 0 || seats < SEATS, "rule 5: no seat is free");
        let join = Sent { viewer, streamer, set_up: false, proven_unrun: false, out: true };
        assert!(self.joins.insert((job, number), join).is_none(), "joins are numbered");
    }

    fn set_up(&mut self, job: JobId, number: u16, asked: &SubscriptionRequest, rung: Option<u8>) {
        assert!(asked.room_type != 0 || rung.is_none_or(|rung| rung >= 1), "rule 5: under the floor");
        assert!(rung.is_none_or(|rung| rung <= asked.max_rung));
        let join = self.joins.get_mut(&(job, number)).unwrap();
        assert!(join.out && !join.set_up);
        join.set_up = true;
        let at = join.streamer;
        assert!(!self.off.contains(&at), "rule 3: SETUP to {at} which is off");
    }

    fn play(&mut self, job: JobId, number: u16) {
        assert!(self.joins[&(job, number)].out);
    }

    fn step(&mut self, job: JobId, number: u16, rung: u8) {
        assert!(self.joins[&(job, number)].out);
        assert!(self.viewers[&job].1 != 0 || rung >= 1, "rule 5: a step under the floor");
        self.steps.push((job, rung));
    }

    fn end_join(&mut self, job: JobId, number: u16) {
        self.joins.get_mut(&(job, number)).unwrap().out = false;
    }

    fn redirect(&mut self, viewer: Line) {
        self.redirected.push(viewer);
    }

    fn farewell(&mut self, viewer: Line) {
        if let Some(seen) = self.lines.get_mut(&viewer) {
            seen.left = true;
        }
    }

    fn came_to(&mut self, _streamer: StreamerId, _ending: Option<Ending>) {}
    fn remind(&mut self, from_now: Duration, token: u64) {
        self.reminders.insert((self.now + from_now.max(ms(1)), token));
    }

    fn probe(&mut self, _streamer: StreamerId) {}
    fn signal(&mut self, _peer: Option<u16>, _bytes: &[u8]) {}
    fn observe(&mut self, _want: bool) {}
    fn list_all(&mut self) {}
}

/// What may come in. Numbers pick among what there is, so that every sequence is a possible one.
#[derive(Clone, Debug)]
enum Event {
    /// On a line that asked before, and still waits, or on a new one.
    Ask {
        viewer: u8,
        again: bool,
    },
    Leave {
        line: u8,
        orderly: bool,
    },
    Opened(u8),
    SetUp(u8, u16),
    Granted(u8, u16),
    Media(u8),
    /// All the steps that take a join to the point where it plays.
    Flow(u8),
    Ended(u8, u8),
    Note(u8, u8),
    List {
        cell: u8,
        health: u8,
        complete: bool,
    },
    Wait(u16),
    /// A change of settings or titles does something to one of the subscriptions.
    Change(u8, u8),
    /// The next events come in the same round.
    Together(Box<Event>, Box<Event>),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 21 {
            0..=3 => Event::Ask { viewer: a % 5, again: b % 4 == 0 },
            4 => Event::Leave { line: a, orderly: b % 2 == 0 },
            5..=6 => Event::Opened(a),
            7..=8 => Event::SetUp(a, [200, 200, 200, 453, 503, 500][usize::from(b) % 6]),
            9 => Event::Granted(a, if b % 5 == 0 { 500 } else { 200 }),
            10 => Event::Media(a),
            11 => Event::Ended(a, b),
            12 => Event::Note(a, b),
            13 => Event::List { cell: a % CELLS as u8, health: b % 4, complete: a % 2 == 0 },
            14..=15 => Event::Flow(a),
            16..=17 => Event::Wait(u16::arbitrary(g) % 900),
            18 => Event::Change(a, b),
            _ => Event::Together(Box::arbitrary(g), Box::arbitrary(g)),
        }
    }
}

/// An exchange between its two ends.
struct Rig {
    exchange: Exchange,
    ends: Ends,
    next_line: Line,
}

impl Rig {
    fn new() -> Self {
        let Value::Object(told) = told() else { unreachable!() };
        let ends = Ends { now: ms(1000), ..Ends::default() };
        let mut rig = Self { exchange: Exchange::new(ends.now, 5, told, 20), ends, next_line: 1 };
        rig.round(|floor| {
            floor.list_begins(Listing::Complete, std::iter::empty());
            for cell in 0..CELLS {
                floor.list_entry(streamer(cell), 0, 0, cell, Health::Ready, 1.0, Start::default());
            }
            floor.list_ends(Listing::Complete);
        });
        rig
    }

    fn round(&mut self, feed: impl FnOnce(&mut Floor<'_, '_, Ends>)) {
        let now = self.ends.now;
        let due: Vec<u64> =
            self.ends.reminders.iter().take_while(|due| due.0 <= now).map(|due| due.1).collect();
        self.ends.reminders.retain(|due| due.0 > now);
        self.exchange.round(now, &mut self.ends, |floor| {
            due.into_iter().for_each(|token| floor.fired(token));
            feed(floor);
        });
        for (line, job) in self.exchange.book().lines() {
            let (viewer, room_type) = self.ends.viewers[&job];
            assert!(room_type < 2, "line {line} belongs to viewer {viewer}");
        }
    }

    /// Lets time pass, with a round wherever one is due and each tick of ten milliseconds.
    fn wait(&mut self, span: Duration) {
        let end = self.ends.now + span;
        while self.ends.now < end {
            self.ends.now += ms(10);
            self.round(|_| {});
        }
    }

    fn ask(&mut self, viewer: u64, line: Line) {
        let asked = asked(viewer, (viewer % 2) as usize);
        let now = self.ends.now;
        let seen = Seen { ends: now + asked.client_timeout, answers: 0, left: false };
        self.ends.lines.entry(line).or_insert(seen);
        self.ends.asks.push(now);
        // The exchange numbers subscriptions one by one: the next is known before the module decides.
        let next = self.exchange.book().next_job();
        self.ends.viewers.insert(next, (viewer, asked.room_type));
        self.round(|floor| floor.viewer_asks(line, asked, now));
    }

    fn new_line(&mut self) -> Line {
        self.next_line += 1;
        self.next_line
    }

    /// A join picked by a number: mostly one that is out, else any old one.
    fn pick(&self, number: u8) -> Option<(JobId, u16)> {
        let out = self.ends.out();
        let all: Vec<_> =
            if number.is_multiple_of(8) { self.ends.joins.keys().copied().collect() } else { out };
        all.get(usize::from(number) % all.len().max(1)).copied()
    }

    fn act(&mut self, event: &Event) {
        match event {
            Event::Ask { viewer, again } => {
                let viewer = u64::from(*viewer) + 1;
                let job = self.exchange.book().of_viewer(&asked(viewer, 0));
                let held = job.and_then(|job| self.exchange.book().get(job));
                let old = held.and_then(|held| held.waiting.last().copied()).filter(|_| *again);
                let line = old.unwrap_or_else(|| self.new_line());
                self.ask(viewer, line);
            }
            Event::Leave { line, orderly } => {
                let open: Vec<Line> =
                    self.ends.lines.iter().filter(|(_, seen)| !seen.left).map(|(line, _)| *line).collect();
                let Some(line) = open.get(usize::from(*line) % open.len().max(1)).copied() else { return };
                if let Some(seen) = self.ends.lines.get_mut(&line) {
                    seen.left = true;
                }
                self.round(|floor| floor.viewer_left(line, *orderly));
            }
            Event::Opened(number) => self.join(*number, |ends, id| {
                (!ends.joins[&id].set_up)
                    .then_some(Box::new(move |floor| floor.steps().join_opened(id.0, id.1)))
            }),
            Event::SetUp(number, status) => {
                let status = *status;
                self.join(*number, move |ends, id| {
                    let join = ends.joins.get_mut(&id)?;
                    join.proven_unrun |= matches!(status, 453 | 503) && join.set_up && join.out;
                    join.set_up.then_some(Box::new(move |floor| {
                        floor.steps().join_set_up(id.0, id.1, status, &[0.5])
                    }))
                });
            }
            Event::Granted(number, status) => {
                let status = *status;
                self.join(*number, move |ends, id| {
                    ends.joins[&id]
                        .set_up
                        .then_some(Box::new(move |floor| floor.steps().join_granted(id.0, id.1, status, &[])))
                });
            }
            Event::Media(number) => self.join(*number, |ends, id| {
                ends.joins[&id].set_up.then_some(Box::new(move |floor| floor.steps().join_media(id.0, id.1)))
            }),
            Event::Flow(number) => {
                for event in [
                    Event::Opened(*number),
                    Event::SetUp(*number, 200),
                    Event::Granted(*number, 200),
                    Event::Media(*number),
                ] {
                    self.act(&event);
                }
            }
            Event::Ended(number, how) => {
                let how = *how;
                self.join(*number, move |ends, id| {
                    let join = ends.joins.get_mut(&id)?;
                    let ending = if join.set_up { Ending::Reset } else { Ending::ConnectFailed };
                    let ending = if join.set_up && how % 3 == 0 { Ending::Served } else { ending };
                    Some(Box::new(move |floor| floor.steps().join_ends(id.0, id.1, ending, &[])))
                });
            }
            Event::Note(number, value) => {
                let (kind, value) = (value % 5, f64::from(*value) / 128.0);
                self.join(*number, move |_, id| {
                    Some(Box::new(move |floor| floor.join_note(id.0, id.1, kind, value)))
                });
            }
            Event::List { cell, health, complete } => self.list(u32::from(*cell), *health, *complete),
            Event::Change(number, what) => self.change(*number, *what),
            Event::Wait(span) => self.wait(ms(u64::from(*span))),
            Event::Together(first, second) => {
                self.act(first);
                self.act(second);
            }
        }
    }

    fn join(
        &mut self, number: u8,
        act: impl FnOnce(&mut Ends, (JobId, u16)) -> Option<Box<dyn FnOnce(&mut Floor<'_, '_, Ends>)>>,
    ) {
        let Some(id) = self.pick(number) else { return };
        if let Some(feed) = act(&mut self.ends, id) {
            self.round(feed);
        }
    }

    fn list(&mut self, cell: u32, health: u8, complete: bool) {
        let health = match health {
            0 => Health::Draining,
            1 => Health::Gone,
            _ => Health::Ready,
        };
        match health {
            Health::Ready => self.ends.off.remove(&streamer(cell)),
            _ => self.ends.off.insert(streamer(cell)),
        };
        let off = self.ends.off.clone();
        let how = if complete { Listing::Complete } else { Listing::Changes };
        self.round(|floor| {
            floor.list_begins(how, (0..CELLS).map(streamer));
            for other in (0..CELLS).filter(|other| complete || *other == cell) {
                let id = streamer(other);
                let health = if off.contains(&id) { Health::Gone } else { Health::Ready };
                floor.list_entry(id, 0, 0, other, health, 1.0, Start::default());
            }
            floor.list_ends(how);
        });
    }

    /// After the longest wait every line that still wanted an answer has one.
    fn settle(&mut self) {
        self.wait(ms(2100));
        for (line, seen) in &self.ends.lines {
            assert!(seen.answers == 1 || seen.left, "rule 1: line {line} has no answer: {seen:?}");
        }
        assert!(self.exchange.book().len() <= 20, "the bound of subscriptions holds");
    }
}

#[test]
fn the_rules_are_kept_on_generated_sequences_in_any_order() {
    let mut plays = 0;
    for seed in 0..150 {
        let mut gen = Gen::from_size_and_seed(100, seed);
        let mut rig = Rig::new();
        for _ in 0..250 {
            rig.act(&Event::arbitrary(&mut gen));
        }
        rig.settle();
        plays += rig.ends.granted.len();
    }
    assert!(plays > 300, "only {plays} subscriptions played: the sequences test too little");
}

/// Takes a join to the point where it plays.
fn flow(rig: &mut Rig, id: (JobId, u16)) {
    rig.round(|floor| {
        floor.steps().join_opened(id.0, id.1);
        floor.steps().join_set_up(id.0, id.1, 200, &[]);
        floor.steps().join_granted(id.0, id.1, 200, &[]);
        floor.steps().join_media(id.0, id.1);
    });
}

fn only_out(rig: &Rig) -> (JobId, u16) {
    let out = rig.ends.out();
    assert_eq!(out.len(), 1, "{out:?}");
    out[0]
}

#[test]
fn a_streamer_that_dies_after_setup_and_before_play_costs_a_join_but_no_answer() {
    let mut rig = Rig::new();
    rig.ask(2, 1);
    let first = only_out(&rig);
    rig.round(|floor| {
        floor.steps().join_opened(first.0, first.1);
        floor.steps().join_set_up(first.0, first.1, 200, &[]);
        floor.steps().join_ends(first.0, first.1, Ending::Reset, &[]);
    });
    let second = only_out(&rig);
    assert_ne!(rig.ends.joins[&first].streamer, rig.ends.joins[&second].streamer);
    flow(&mut rig, second);
    assert_eq!((rig.ends.lines[&1].answers, rig.ends.granted.get(&1)), (1, Some(&second.0)));
}

#[test]
fn an_unsafe_room_type_is_terminated_not_set_up_again_when_its_streamer_dies() {
    let mut rig = Rig::new();
    rig.ask(1, 1);
    let first = only_out(&rig);
    rig.round(|floor| {
        floor.steps().join_opened(first.0, first.1);
        floor.steps().join_ends(first.0, first.1, Ending::Reset, &[]);
    });
    assert!(rig.ends.out().is_empty());
    assert_eq!(rig.ends.lines[&1].answers, 1);
}

#[test]
fn a_retry_while_the_first_is_out_waits_for_the_same_join() {
    let mut rig = Rig::new();
    rig.ask(2, 1);
    let first = only_out(&rig);
    rig.wait(ms(100));
    rig.ask(2, 2);
    rig.ask(2, 1);
    assert_eq!(only_out(&rig), first);
    flow(&mut rig, first);
    assert_eq!((rig.ends.lines[&1].answers, rig.ends.lines[&2].answers), (1, 1));
    assert_eq!(rig.ends.granted.keys().collect::<Vec<_>>(), [&2], "the newest line gets the stream");
}

/// Found by a bad day: the line given up was throttled, which says that a further try does no harm.
#[test]
fn a_line_given_up_for_a_newer_one_is_terminated_not_throttled() {
    let mut rig = Rig::new();
    rig.ask(1, 1);
    let first = only_out(&rig);
    rig.ask(1, 2);
    flow(&mut rig, first);
    assert_eq!((rig.ends.throttled.len(), rig.ends.lines[&1].answers), (0, 1));
}

#[test]
fn a_viewer_that_asks_again_while_it_plays_takes_its_stream_to_the_new_line() {
    let mut rig = Rig::new();
    rig.ask(1, 1);
    let first = only_out(&rig);
    flow(&mut rig, first);
    rig.ask(1, 2);
    assert_eq!(only_out(&rig), first, "an unsafe room type is not set up again");
    assert!(rig.ends.lines[&1].left);
    assert_eq!(rig.ends.granted.get(&2), Some(&first.0));
    rig.round(|floor| floor.viewer_left(1, false));
    assert_eq!(only_out(&rig), first, "the old line has no part in it any more");
    rig.round(|floor| floor.viewer_left(2, true));
    assert!(rig.ends.out().is_empty());
}

/// Found by a short day: a retry waited unread while the controller was stopped, and its first try had ended.
#[test]
fn a_retry_read_after_the_unsafe_first_try_was_terminated_gets_the_same_end() {
    let mut rig = Rig::new();
    rig.ask(1, 1);
    let first = only_out(&rig);
    rig.round(|floor| floor.steps().join_opened(first.0, first.1));
    rig.wait(ms(400));
    assert_eq!(rig.ends.lines[&1].answers, 1, "terminated: it may have run");
    rig.ask(1, 2);
    assert_eq!((rig.ends.lines[&2].answers, rig.ends.out().len(), rig.ends.throttled.len()), (1, 0, 0));
    // Viewers of safe room types may come again at once.
    rig.ask(2, 3);
    assert_eq!(rig.ends.out().len(), 1);
}

#[test]
fn the_answer_and_the_time_out_in_one_round_give_the_answer() {
    let mut rig = Rig::new();
    rig.ask(2, 1);
    let first = only_out(&rig);
    let until = rig.exchange.book().get(first.0).unwrap().join.as_ref().unwrap().until;
    rig.ends.now = until + ms(1);
    flow(&mut rig, first);
    assert_eq!(rig.ends.granted.get(&1), Some(&first.0));
    assert_eq!(rig.ends.joins.len(), 1);
}

#[test]
fn an_answer_that_comes_after_its_join_was_given_up_changes_nothing() {
    let mut rig = Rig::new();
    rig.ask(2, 1);
    let first = only_out(&rig);
    rig.round(|floor| floor.steps().join_opened(first.0, first.1));
    rig.wait(ms(400));
    let second = only_out(&rig);
    assert_eq!(second, (first.0, 1));
    rig.round(|floor| {
        floor.steps().join_set_up(first.0, first.1, 200, &[]);
        floor.steps().join_granted(first.0, first.1, 200, &[]);
        floor.steps().join_media(first.0, first.1);
    });
    assert!(rig.ends.granted.is_empty());
    flow(&mut rig, second);
    assert_eq!(rig.ends.lines[&1].answers, 1);
}

#[test]
fn a_drain_told_while_the_connection_is_made_sends_the_join_elsewhere() {
    let mut rig = Rig::new();
    rig.ask(2, 1);
    let first = only_out(&rig);
    let cell = u32::from(rig.ends.joins[&first].streamer.port()) - 100;
    rig.list(cell, 0, false);
    rig.round(|floor| floor.steps().join_opened(first.0, first.1));
    let second = only_out(&rig);
    assert!(!rig.ends.joins[&first].set_up);
    assert_ne!(rig.ends.joins[&second].streamer, rig.ends.joins[&first].streamer);
}

#[test]
fn a_list_change_a_drain_and_a_death_in_the_round_of_the_join_are_kept_apart() {
    let mut rig = Rig::new();
    rig.ask(2, 1);
    let first = only_out(&rig);
    let at = rig.ends.joins[&first].streamer;
    rig.ends.off.insert(at);
    rig.round(|floor| {
        floor.list_begins(Listing::Changes, std::iter::empty());
        floor.list_entry(at, 0, 0, u32::from(at.port()) - 100, Health::Draining, 1.0, Start::default());
        floor.list_ends(Listing::Changes);
        floor.steps().join_opened(first.0, first.1);
        floor.steps().join_ends(first.0, first.1, Ending::Reset, &[]);
    });
    let second = only_out(&rig);
    assert_ne!(rig.ends.joins[&second].streamer, at);
}

#[test]
fn the_exchange_answers_in_time_where_the_module_cannot() {
    // A stopped program: no round for longer than the viewer waits, but for the last fifty milliseconds.
    let mut rig = Rig::new();
    rig.ask(2, 1);
    rig.ends.now += ms(1951);
    rig.round(|_| {});
    assert_eq!(rig.ends.lines[&1].answers, 1);
    assert!(rig.ends.out().is_empty());
}

#[test]
fn a_viewer_that_leaves_frees_its_join_and_its_seat() {
    let mut rig = Rig::new();
    rig.ask(2, 1);
    rig.ask(4, 2);
    assert_eq!(rig.ends.out().len(), 2);
    rig.ask(6, 3);
    assert_eq!(rig.ends.out().len(), 2, "two seats for the title");
    rig.round(|floor| floor.viewer_left(1, false));
    rig.wait(ms(60));
    assert_eq!(rig.ends.out().len(), 2, "the freed seat is taken");
    assert!(rig.ends.lines[&3].answers == 0);
}

#[test]
fn viewers_turned_away_come_back_spread_at_the_pace_of_departures() {
    let mut admission = Admission::new(1, 3);
    assert_eq!(admission.take(ms(0)), Ok(()));
    let waits: Vec<Duration> = (0..20).map(|_| admission.take(ms(10)).unwrap_err()).collect();
    assert!(waits.iter().all(|wait| (ms(500)..=ms(8000)).contains(wait)), "{waits:?}");
    assert!(waits[7] > waits[0] + ms(2000), "{waits:?}");
    admission.leave(ms(100));
    assert_eq!(admission.take(ms(100)), Ok(()));
    // Departures at fifty a second bring the queue on faster.
    for at in 0..500 {
        admission.leave(ms(20 * at));
        let _ = admission.take(ms(20 * at));
    }
    let quick = admission.take(ms(10_000)).unwrap_err();
    assert!(quick <= ms(1000), "{quick:?}");
}

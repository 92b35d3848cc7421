//! Checks the exchange and the decision module against a simple model of the rules, on generated sequences of
//! events in any order; and one small test for each special case.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use badgerledge_core::interface::{Ending, Health, JobId, Listing, Start, StreamerId, SubscriptionRequest};
use quickcheck::{Arbitrary, Gen};
use serde_json::{json, Value};

use crate::{Admission, ConnectionId, EventHandler, Exchange, Transport};

mod settings_changes;

const CELLS: u32 = 6;
const SEATS: usize = 2;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn streamer(cell: u32) -> StreamerId {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 100 + cell as u16)
}

fn settings() -> Value {
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

fn request(viewer: u64, room_type: usize) -> SubscriptionRequest {
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

/// A viewer's connection, as the viewer sees it.
#[derive(Debug)]
struct ViewerConnection {
    gives_up_at: Duration,
    answers: usize,
    left: bool,
}

/// A join, as its streamer sees it.
#[derive(Debug)]
struct StreamerJoin {
    viewer: u64,
    streamer: StreamerId,
    set_up: bool,
    proven_unrun: bool,
    outstanding: bool,
}

/// Test double for viewers and streamers that checks the rules.
#[derive(Default)]
struct CheckingTransport {
    now: Duration,
    connections: BTreeMap<ConnectionId, ViewerConnection>,
    joins: BTreeMap<(JobId, u16), StreamerJoin>,
    viewers: BTreeMap<JobId, (u64, usize)>,
    unavailable: BTreeSet<StreamerId>,
    requests: Vec<Duration>,
    further_joins: Vec<Duration>,
    redirected: Vec<ConnectionId>,
    steps: Vec<(JobId, u8)>,
    reminders: BTreeSet<(Duration, u64)>,
    granted: BTreeMap<ConnectionId, JobId>,
    throttled: Vec<ConnectionId>,
}

impl CheckingTransport {
    fn answer(&mut self, connection: ConnectionId) {
        let connection_state =
            self.connections.get_mut(&connection).expect("only connections with a request are answered");
        connection_state.answers += 1;
        assert_eq!(connection_state.answers, 1, "rule 1: connection {connection} has more than one answer");
        assert!(
            self.now <= connection_state.gives_up_at,
            "rule 1: connection {connection} is answered after its viewer gave up"
        );
    }

    fn outstanding(&self) -> Vec<(JobId, u16)> {
        self.joins.iter().filter(|(_, join)| join.outstanding).map(|(id, _)| *id).collect()
    }

    fn check_budget(&mut self) {
        let window = ms(5000);
        let requests = self.requests.iter().filter(|at| **at + window > self.now).count();
        let further_joins = self.further_joins.iter().filter(|at| **at + window > self.now).count();
        assert!(
            further_joins as f64 <= 1.0 + 0.5 * requests as f64,
            "rule 6: {further_joins} further joins for {requests} requests"
        );
    }
}

impl Transport for CheckingTransport {
    fn grant(&mut self, viewer: ConnectionId, job: JobId) {
        self.answer(viewer);
        self.granted.insert(viewer, job);
    }

    fn throttle(&mut self, viewer: ConnectionId, _cool_down: Duration) {
        self.throttled.push(viewer);
        self.answer(viewer);
    }

    fn terminate(&mut self, viewer: ConnectionId, _late: bool) {
        self.answer(viewer);
    }

    fn open_join(&mut self, job: JobId, number: u16, streamer: StreamerId) {
        let (viewer, room_type) = self.viewers[&job];
        let same_viewer = |join: &&StreamerJoin| join.viewer == viewer && join.outstanding;
        assert_eq!(
            self.joins.values().filter(same_viewer).count(),
            0,
            "rule 2: viewer {viewer} has an outstanding join"
        );
        let earlier = self.joins.iter().filter(|(id, _)| id.0 == job);
        let ran = earlier.filter(|(_, join)| join.set_up && !join.proven_unrun).count();
        assert!(room_type == 0 || ran == 0, "rule 2: an unsafe room type is set up again");
        assert!(!self.unavailable.contains(&streamer), "rule 3: {streamer} is draining or gone");
        if number > 0 {
            self.further_joins.push(self.now);
            self.check_budget();
        }
        let of_type = |id: &(JobId, u16)| self.viewers[&id.0].1 == 0;
        let seats = self.joins.iter().filter(|(id, join)| join.outstanding && of_type(id)).count();
        assert!(room_type != 0 || seats < SEATS, "rule 5: no seat is free");
        let join = StreamerJoin { viewer, streamer, set_up: false, proven_unrun: false, outstanding: true };
        assert!(self.joins.insert((job, number), join).is_none(), "joins are numbered");
    }

    fn set_up(&mut self, job: JobId, number: u16, asked: &SubscriptionRequest, rung: Option<u8>) {
        assert!(asked.room_type != 0 || rung.is_none_or(|rung| rung >= 1), "rule 5: under the floor");
        assert!(rung.is_none_or(|rung| rung <= asked.max_rung));
        let join = self.joins.get_mut(&(job, number)).unwrap();
        assert!(join.outstanding && !join.set_up);
        join.set_up = true;
        let streamer = join.streamer;
        assert!(
            !self.unavailable.contains(&streamer),
            "rule 3: SETUP to {streamer}, which is draining or gone"
        );
    }

    fn play(&mut self, job: JobId, number: u16) {
        assert!(self.joins[&(job, number)].outstanding);
    }

    fn step(&mut self, job: JobId, number: u16, rung: u8) {
        assert!(self.joins[&(job, number)].outstanding);
        assert!(self.viewers[&job].1 != 0 || rung >= 1, "rule 5: a step under the floor");
        self.steps.push((job, rung));
    }

    fn end_join(&mut self, job: JobId, number: u16) {
        self.joins.get_mut(&(job, number)).unwrap().outstanding = false;
    }

    fn redirect(&mut self, viewer: ConnectionId) {
        self.redirected.push(viewer);
    }

    fn send_bye(&mut self, viewer: ConnectionId) {
        if let Some(connection_state) = self.connections.get_mut(&viewer) {
            connection_state.left = true;
        }
    }

    fn join_result(&mut self, _streamer: StreamerId, _ending: Option<Ending>) {}
    fn remind(&mut self, from_now: Duration, token: u64) {
        self.reminders.insert((self.now + from_now.max(ms(1)), token));
    }

    fn probe(&mut self, _streamer: StreamerId) {}
    fn send_to_peers(&mut self, _peer: Option<u16>, _bytes: &[u8]) {}
    fn watch_list(&mut self, _want: bool) {}
    fn request_full_list(&mut self) {}
}

/// Events of viewers, streamers and the list. Numbers select among what exists, so that every sequence is
/// possible.
#[derive(Clone, Debug)]
enum Event {
    /// On a connection that already waits, or on a new one.
    Request {
        viewer: u8,
        again: bool,
    },
    Leave {
        connection: u8,
        orderly: bool,
    },
    Opened(u8),
    SetUp(u8, u16),
    Granted(u8, u16),
    Media(u8),
    /// All the events that lead a join to the point where it plays.
    Play(u8),
    Ended(u8, u8),
    ProgressReport(u8, u8),
    List {
        cell: u8,
        health: u8,
        complete: bool,
    },
    AdvanceTime(u16),
    /// A change of settings or titles affects one of the subscriptions.
    SettingsChange(u8, u8),
    /// Two events in a row.
    Both(Box<Event>, Box<Event>),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 21 {
            0..=3 => Event::Request { viewer: a % 5, again: b % 4 == 0 },
            4 => Event::Leave { connection: a, orderly: b % 2 == 0 },
            5..=6 => Event::Opened(a),
            7..=8 => Event::SetUp(a, [200, 200, 200, 453, 503, 500][usize::from(b) % 6]),
            9 => Event::Granted(a, if b % 5 == 0 { 500 } else { 200 }),
            10 => Event::Media(a),
            11 => Event::Ended(a, b),
            12 => Event::ProgressReport(a, b),
            13 => Event::List { cell: a % CELLS as u8, health: b % 4, complete: a % 2 == 0 },
            14..=15 => Event::Play(a),
            16..=17 => Event::AdvanceTime(u16::arbitrary(g) % 900),
            18 => Event::SettingsChange(a, b),
            _ => Event::Both(Box::arbitrary(g), Box::arbitrary(g)),
        }
    }
}

/// An exchange with its test double.
struct Harness {
    exchange: Exchange,
    transport: CheckingTransport,
    next_connection: ConnectionId,
}

impl Harness {
    fn new() -> Self {
        let Value::Object(settings) = settings() else { unreachable!() };
        let transport = CheckingTransport { now: ms(1000), ..CheckingTransport::default() };
        let mut harness =
            Self { exchange: Exchange::new(transport.now, 5, settings, 20), transport, next_connection: 1 };
        harness.round(|handler| {
            handler.list_begins(Listing::Complete, std::iter::empty());
            for cell in 0..CELLS {
                handler.list_entry(streamer(cell), 0, 0, cell, Health::Ready, 1.0, Start::default());
            }
            handler.list_ends(Listing::Complete);
        });
        harness
    }

    fn round(&mut self, feed: impl FnOnce(&mut EventHandler<'_, '_, CheckingTransport>)) {
        let now = self.transport.now;
        let due: Vec<u64> =
            self.transport.reminders.iter().take_while(|due| due.0 <= now).map(|due| due.1).collect();
        self.transport.reminders.retain(|due| due.0 > now);
        self.exchange.round(now, &mut self.transport, |handler| {
            due.into_iter().for_each(|token| handler.reminder_due(token));
            feed(handler);
        });
        for (connection, job) in self.exchange.subscriptions().connections() {
            let (viewer, room_type) = self.transport.viewers[&job];
            assert!(room_type < 2, "connection {connection} belongs to viewer {viewer}");
        }
    }

    /// Advances the time, with a round every tick of ten milliseconds.
    fn advance(&mut self, duration: Duration) {
        let end = self.transport.now + duration;
        while self.transport.now < end {
            self.transport.now += ms(10);
            self.round(|_| {});
        }
    }

    fn request(&mut self, viewer: u64, connection: ConnectionId) {
        let asked = request(viewer, (viewer % 2) as usize);
        let now = self.transport.now;
        let connection_state =
            ViewerConnection { gives_up_at: now + asked.client_timeout, answers: 0, left: false };
        self.transport.connections.entry(connection).or_insert(connection_state);
        self.transport.requests.push(now);
        // The exchange numbers subscriptions in sequence, so the next id is known before the decision module
        // decides.
        let next = self.exchange.subscriptions().next_job();
        self.transport.viewers.insert(next, (viewer, asked.room_type));
        self.round(|handler| handler.viewer_requested(connection, asked, now));
    }

    fn new_connection(&mut self) -> ConnectionId {
        self.next_connection += 1;
        self.next_connection
    }

    /// Selects a join by number: usually an outstanding one, otherwise any.
    fn pick(&self, number: u8) -> Option<(JobId, u16)> {
        let out = self.transport.outstanding();
        let all: Vec<_> =
            if number.is_multiple_of(8) { self.transport.joins.keys().copied().collect() } else { out };
        all.get(usize::from(number) % all.len().max(1)).copied()
    }

    fn act(&mut self, event: &Event) {
        match event {
            Event::Request { viewer, again } => {
                let viewer = u64::from(*viewer) + 1;
                let job = self.exchange.subscriptions().job_of_viewer(&request(viewer, 0));
                let subscription = job.and_then(|job| self.exchange.subscriptions().get(job));
                let previous = subscription
                    .and_then(|subscription| subscription.waiting_connections.last().copied())
                    .filter(|_| *again);
                let connection = previous.unwrap_or_else(|| self.new_connection());
                self.request(viewer, connection);
            }
            Event::Leave { connection, orderly } => {
                let open: Vec<ConnectionId> = self
                    .transport
                    .connections
                    .iter()
                    .filter(|(_, connection_state)| !connection_state.left)
                    .map(|(connection, _)| *connection)
                    .collect();
                let Some(connection) = open.get(usize::from(*connection) % open.len().max(1)).copied() else {
                    return;
                };
                if let Some(connection_state) = self.transport.connections.get_mut(&connection) {
                    connection_state.left = true;
                }
                self.round(|handler| handler.viewer_left(connection, *orderly));
            }
            Event::Opened(number) => self.join(*number, |transport, id| {
                (!transport.joins[&id].set_up)
                    .then_some(Box::new(move |handler| handler.join_events().join_opened(id.0, id.1)))
            }),
            Event::SetUp(number, status) => {
                let status = *status;
                self.join(*number, move |transport, id| {
                    let join = transport.joins.get_mut(&id)?;
                    join.proven_unrun |= matches!(status, 453 | 503) && join.set_up && join.outstanding;
                    join.set_up.then_some(Box::new(move |handler| {
                        handler.join_events().join_set_up(id.0, id.1, status, &[0.5])
                    }))
                });
            }
            Event::Granted(number, status) => {
                let status = *status;
                self.join(*number, move |transport, id| {
                    transport.joins[&id].set_up.then_some(Box::new(move |handler| {
                        handler.join_events().join_granted(id.0, id.1, status, &[])
                    }))
                });
            }
            Event::Media(number) => self.join(*number, |transport, id| {
                transport.joins[&id]
                    .set_up
                    .then_some(Box::new(move |handler| handler.join_events().join_media(id.0, id.1)))
            }),
            Event::Play(number) => {
                for event in [
                    Event::Opened(*number),
                    Event::SetUp(*number, 200),
                    Event::Granted(*number, 200),
                    Event::Media(*number),
                ] {
                    self.act(&event);
                }
            }
            Event::Ended(number, mode) => {
                let mode = *mode;
                self.join(*number, move |transport, id| {
                    let join = transport.joins.get_mut(&id)?;
                    let ending = if join.set_up { Ending::Reset } else { Ending::ConnectFailed };
                    let ending = if join.set_up && mode % 3 == 0 { Ending::Served } else { ending };
                    Some(Box::new(move |handler| handler.join_events().join_ended(id.0, id.1, ending, &[])))
                });
            }
            Event::ProgressReport(number, value) => {
                let (kind, value) = (value % 5, f64::from(*value) / 128.0);
                self.join(*number, move |_, id| {
                    Some(Box::new(move |handler| handler.progress_report(id.0, id.1, kind, value)))
                });
            }
            Event::List { cell, health, complete } => self.list(u32::from(*cell), *health, *complete),
            Event::SettingsChange(number, effect) => self.apply_change(*number, *effect),
            Event::AdvanceTime(millis) => self.advance(ms(u64::from(*millis))),
            Event::Both(first, second) => {
                self.act(first);
                self.act(second);
            }
        }
    }

    fn join(
        &mut self, number: u8,
        act: impl FnOnce(
            &mut CheckingTransport,
            (JobId, u16),
        ) -> Option<Box<dyn FnOnce(&mut EventHandler<'_, '_, CheckingTransport>)>>,
    ) {
        let Some(id) = self.pick(number) else { return };
        if let Some(feed) = act(&mut self.transport, id) {
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
            Health::Ready => self.transport.unavailable.remove(&streamer(cell)),
            _ => self.transport.unavailable.insert(streamer(cell)),
        };
        let off = self.transport.unavailable.clone();
        let listing = if complete { Listing::Complete } else { Listing::Changes };
        self.round(|handler| {
            handler.list_begins(listing, (0..CELLS).map(streamer));
            for other in (0..CELLS).filter(|other| complete || *other == cell) {
                let id = streamer(other);
                let health = if off.contains(&id) { Health::Gone } else { Health::Ready };
                handler.list_entry(id, 0, 0, other, health, 1.0, Start::default());
            }
            handler.list_ends(listing);
        });
    }

    /// After the longest client timeout every connection that still waits must have been answered.
    fn settle(&mut self) {
        self.advance(ms(2100));
        for (connection, connection_state) in &self.transport.connections {
            assert!(
                connection_state.answers == 1 || connection_state.left,
                "rule 1: connection {connection} has no answer: {connection_state:?}"
            );
        }
        assert!(self.exchange.subscriptions().len() <= 20, "the maximum of subscriptions is kept");
    }
}

#[test]
fn the_rules_hold_on_generated_sequences_of_events() {
    let mut playing = 0;
    for seed in 0..150 {
        let mut gen = Gen::from_size_and_seed(100, seed);
        let mut harness = Harness::new();
        for _ in 0..250 {
            harness.act(&Event::arbitrary(&mut gen));
        }
        harness.settle();
        playing += harness.transport.granted.len();
    }
    assert!(playing > 300, "only {playing} subscriptions played: the sequences test too little");
}

/// Leads a join to the point where it plays.
fn play(harness: &mut Harness, id: (JobId, u16)) {
    harness.round(|handler| {
        handler.join_events().join_opened(id.0, id.1);
        handler.join_events().join_set_up(id.0, id.1, 200, &[]);
        handler.join_events().join_granted(id.0, id.1, 200, &[]);
        handler.join_events().join_media(id.0, id.1);
    });
}

fn only_outstanding(harness: &Harness) -> (JobId, u16) {
    let out = harness.transport.outstanding();
    assert_eq!(out.len(), 1, "{out:?}");
    out[0]
}

#[test]
fn a_streamer_that_dies_after_setup_and_before_play_costs_a_join_but_no_answer() {
    let mut harness = Harness::new();
    harness.request(2, 1);
    let first = only_outstanding(&harness);
    harness.round(|handler| {
        handler.join_events().join_opened(first.0, first.1);
        handler.join_events().join_set_up(first.0, first.1, 200, &[]);
        handler.join_events().join_ended(first.0, first.1, Ending::Reset, &[]);
    });
    let second = only_outstanding(&harness);
    assert_ne!(harness.transport.joins[&first].streamer, harness.transport.joins[&second].streamer);
    play(&mut harness, second);
    assert_eq!(
        (harness.transport.connections[&1].answers, harness.transport.granted.get(&1)),
        (1, Some(&second.0))
    );
}

#[test]
fn an_unsafe_room_type_is_terminated_not_set_up_again_when_its_streamer_dies() {
    let mut harness = Harness::new();
    harness.request(1, 1);
    let first = only_outstanding(&harness);
    harness.round(|handler| {
        handler.join_events().join_opened(first.0, first.1);
        handler.join_events().join_ended(first.0, first.1, Ending::Reset, &[]);
    });
    assert!(harness.transport.outstanding().is_empty());
    assert_eq!(harness.transport.connections[&1].answers, 1);
}

#[test]
fn a_retry_during_an_outstanding_join_waits_for_the_same_join() {
    let mut harness = Harness::new();
    harness.request(2, 1);
    let first = only_outstanding(&harness);
    harness.advance(ms(100));
    harness.request(2, 2);
    harness.request(2, 1);
    assert_eq!(only_outstanding(&harness), first);
    play(&mut harness, first);
    assert_eq!(
        (harness.transport.connections[&1].answers, harness.transport.connections[&2].answers),
        (1, 1)
    );
    assert_eq!(
        harness.transport.granted.keys().collect::<Vec<_>>(),
        [&2],
        "the newest connection gets the stream"
    );
}

/// Guards against throttling an abandoned connection, which would tell the viewer that a retry does no harm.
#[test]
fn a_connection_abandoned_for_a_newer_one_is_terminated_not_throttled() {
    let mut harness = Harness::new();
    harness.request(1, 1);
    let first = only_outstanding(&harness);
    harness.request(1, 2);
    play(&mut harness, first);
    assert_eq!((harness.transport.throttled.len(), harness.transport.connections[&1].answers), (0, 1));
}

#[test]
fn a_new_request_of_a_playing_viewer_moves_the_stream_to_the_new_connection() {
    let mut harness = Harness::new();
    harness.request(1, 1);
    let first = only_outstanding(&harness);
    play(&mut harness, first);
    harness.request(1, 2);
    assert_eq!(only_outstanding(&harness), first, "an unsafe room type is not set up again");
    assert!(harness.transport.connections[&1].left);
    assert_eq!(harness.transport.granted.get(&2), Some(&first.0));
    harness.round(|handler| handler.viewer_left(1, false));
    assert_eq!(only_outstanding(&harness), first, "the old connection does not affect it any more");
    harness.round(|handler| handler.viewer_left(2, true));
    assert!(harness.transport.outstanding().is_empty());
}

/// Guards against a retry that waited unread while the controller was stopped, and whose first try had ended.
#[test]
fn a_retry_read_after_the_unsafe_first_try_was_terminated_is_terminated_too() {
    let mut harness = Harness::new();
    harness.request(1, 1);
    let first = only_outstanding(&harness);
    harness.round(|handler| handler.join_events().join_opened(first.0, first.1));
    harness.advance(ms(400));
    assert_eq!(harness.transport.connections[&1].answers, 1, "terminated: it may have run");
    harness.request(1, 2);
    assert_eq!(
        (
            harness.transport.connections[&2].answers,
            harness.transport.outstanding().len(),
            harness.transport.throttled.len()
        ),
        (1, 0, 0)
    );
    // Viewers of safe room types may retry at once.
    harness.request(2, 3);
    assert_eq!(harness.transport.outstanding().len(), 1);
}

#[test]
fn an_answer_in_the_round_of_the_time_out_counts() {
    let mut harness = Harness::new();
    harness.request(2, 1);
    let first = only_outstanding(&harness);
    let until = harness.exchange.subscriptions().get(first.0).unwrap().join.as_ref().unwrap().times_out_at;
    harness.transport.now = until + ms(1);
    play(&mut harness, first);
    assert_eq!(harness.transport.granted.get(&1), Some(&first.0));
    assert_eq!(harness.transport.joins.len(), 1);
}

#[test]
fn an_answer_after_the_time_out_of_its_join_is_ignored() {
    let mut harness = Harness::new();
    harness.request(2, 1);
    let first = only_outstanding(&harness);
    harness.round(|handler| handler.join_events().join_opened(first.0, first.1));
    harness.advance(ms(400));
    let second = only_outstanding(&harness);
    assert_eq!(second, (first.0, 1));
    harness.round(|handler| {
        handler.join_events().join_set_up(first.0, first.1, 200, &[]);
        handler.join_events().join_granted(first.0, first.1, 200, &[]);
        handler.join_events().join_media(first.0, first.1);
    });
    assert!(harness.transport.granted.is_empty());
    play(&mut harness, second);
    assert_eq!(harness.transport.connections[&1].answers, 1);
}

#[test]
fn a_drain_reported_while_connecting_sends_the_join_elsewhere() {
    let mut harness = Harness::new();
    harness.request(2, 1);
    let first = only_outstanding(&harness);
    let cell = u32::from(harness.transport.joins[&first].streamer.port()) - 100;
    harness.list(cell, 0, false);
    harness.round(|handler| handler.join_events().join_opened(first.0, first.1));
    let second = only_outstanding(&harness);
    assert!(!harness.transport.joins[&first].set_up);
    assert_ne!(harness.transport.joins[&second].streamer, harness.transport.joins[&first].streamer);
}

#[test]
fn a_drain_and_a_reset_in_the_round_of_the_join_are_handled_separately() {
    let mut harness = Harness::new();
    harness.request(2, 1);
    let first = only_outstanding(&harness);
    let joined_at = harness.transport.joins[&first].streamer;
    harness.transport.unavailable.insert(joined_at);
    harness.round(|handler| {
        handler.list_begins(Listing::Changes, std::iter::empty());
        handler.list_entry(
            joined_at,
            0,
            0,
            u32::from(joined_at.port()) - 100,
            Health::Draining,
            1.0,
            Start::default(),
        );
        handler.list_ends(Listing::Changes);
        handler.join_events().join_opened(first.0, first.1);
        handler.join_events().join_ended(first.0, first.1, Ending::Reset, &[]);
    });
    let second = only_outstanding(&harness);
    assert_ne!(harness.transport.joins[&second].streamer, joined_at);
}

#[test]
fn the_exchange_answers_in_time_if_the_module_cannot() {
    // A stopped process: no round until fifty milliseconds before the viewer gives up.
    let mut harness = Harness::new();
    harness.request(2, 1);
    harness.transport.now += ms(1951);
    harness.round(|_| {});
    assert_eq!(harness.transport.connections[&1].answers, 1);
    assert!(harness.transport.outstanding().is_empty());
}

#[test]
fn a_viewer_that_leaves_frees_its_join_and_its_seat() {
    let mut harness = Harness::new();
    harness.request(2, 1);
    harness.request(4, 2);
    assert_eq!(harness.transport.outstanding().len(), 2);
    harness.request(6, 3);
    assert_eq!(harness.transport.outstanding().len(), 2, "two seats for the title");
    harness.round(|handler| handler.viewer_left(1, false));
    harness.advance(ms(60));
    assert_eq!(harness.transport.outstanding().len(), 2, "the freed seat is taken");
    assert!(harness.transport.connections[&3].answers == 0);
}

#[test]
fn cool_downs_spread_retries_at_the_rate_of_departures() {
    let mut admission = Admission::new(1, 3);
    assert_eq!(admission.admit(ms(0)), Ok(()));
    let cool_downs: Vec<Duration> = (0..20).map(|_| admission.admit(ms(10)).unwrap_err()).collect();
    assert!(cool_downs.iter().all(|cool_down| (ms(500)..=ms(8000)).contains(cool_down)), "{cool_downs:?}");
    assert!(cool_downs[7] > cool_downs[0] + ms(2000), "{cool_downs:?}");
    admission.leave(ms(100));
    assert_eq!(admission.admit(ms(100)), Ok(()));
    // Departures at fifty a second move the queue faster.
    for at in 0..500 {
        admission.leave(ms(20 * at));
        let _ = admission.admit(ms(20 * at));
    }
    let quick = admission.admit(ms(10_000)).unwrap_err();
    assert!(quick <= ms(1000), "{quick:?}");
}

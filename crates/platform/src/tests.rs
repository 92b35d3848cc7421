//! Compares the session table with a simple model of what viewers and streamers see, on generated events in
//! any order; and one small test for each special case.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{DecisionSink, Ending, Health, Listing, Start, StreamerId};
use badgerledge_reactor::SocketId;
use badgerledge_signalling::viewers::{self, Parameters};
use badgerledge_signalling::Fault;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::{json, Value};

use crate::dispatcher::Dispatcher;
use crate::join_id::JoinId;
use crate::request::PlatformSettings;
use crate::session_table::{streamer_id, ListEntry, SessionTable};
use crate::streamer_pool::LossReason;
use crate::transport::Transport;
use crate::unanswered::{ClosedBy, Step as ReachedStep, UnansweredCounts, UnansweredSetUp};

const START: Duration = Duration::from_secs(1000);
const STREAMERS: u32 = 4;
/// The streamers' connection that joins are answered on.
const STREAMER_CONNECTION: SocketId = 900;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn settings() -> Value {
    let profile = |name: &str| {
        json!({"name": name, "aimUs": 1_500_000, "deadlineUs": 4_000_000, "effect": "free", "group": "all",
            "worth": 1.0})
    };
    json!({
        "balancers": 1, "me": 0, "discovery": "automatic", "tickUs": 10_000, "weights": "nominal", "zone": 0,
        "profiles": [profile("tour"), profile("show")], "failureDomains": ["a"], "hostTypes": ["std"],
        "familyInfo": {"positions": STREAMERS, "groups": 2, "classScale": [1.0, 1.0], "classTop": [2, 2],
            "floorByClass": [0, 0], "licenceCap": [0, 0], "kindStreams": [20], "linkUnitKb": 1000.0,
            "levelKb": [100.0, 200.0, 400.0], "ladderWorth": [0.3, 0.6, 1.0], "uplinkKb": 4000.0,
            "toldEveryUs": 3_000_000, "toldLateUs": 500_000},
        "obligations": {"coldFrom": 0.4, "coldUs": 0, "tipAfterUs": 0, "drainGraceUs": 500_000},
        "permissions": {"maxAttempts": 3, "retryAfter": true, "maxRetryAfterUs": 2_000_000,
            "connectTimeoutUs": 250_000, "keepaliveUs": 30_000_000, "maxStreams": 32},
        "report": {"fields": ["x0", "x1"], "how": "answers"}})
}

/// Test double that records what viewers and streamers are sent.
#[derive(Default)]
pub struct RecordingTransport {
    /// Frames sent on each viewers' connection.
    pub viewer_frames: Vec<(SocketId, Vec<u8>)>,
    /// Outstanding joins at streamers.
    pub outstanding: BTreeMap<u64, (JoinId, StreamerId)>,
    /// Messages to streamers on their playing sessions.
    pub streamer_messages: Vec<(StreamerId, String)>,
    full_connections: BTreeSet<SocketId>,
    pub serving: BTreeSet<SocketId>,
    probes: Vec<StreamerId>,
    /// What lost streamers are told if they come back.
    pub ended_at_lost: Vec<(StreamerId, u64)>,
}

impl Transport for RecordingTransport {
    fn answer(&mut self, connection: SocketId, message: &[u8]) -> bool {
        let accepts = !self.full_connections.contains(&connection);
        if accepts {
            self.viewer_frames.push((connection, message.to_vec()));
        }
        accepts
    }
    fn release(&mut self, connection: SocketId, _wire_id: u64, message: Vec<u8>) {
        self.viewer_frames.push((connection, message));
    }
    fn mark_viewers(&mut self, _connection: SocketId) {}
    fn mark_claiming(&mut self, _connection: SocketId) {}
    fn mark_serving(&mut self, connection: SocketId) {
        self.serving.insert(connection);
    }
    fn is_serving(&self, connection: SocketId) -> bool {
        self.serving.contains(&connection)
    }
    fn join(&mut self, join: JoinId, wire_id: u64, streamer: StreamerId, offer: Vec<u8>) {
        let offer: Value = serde_json::from_slice(&offer).expect("a whole line");
        assert_eq!(offer["call"], json!(format!("{wire_id:016x}")));
        assert_eq!(self.outstanding.insert(wire_id, (join, streamer)), None, "two outstanding joins");
    }
    fn withdraw_join(&mut self, join: JoinId, wire_id: u64, streamer: StreamerId) {
        assert_eq!(
            self.outstanding.remove(&wire_id),
            Some((join, streamer)),
            "a withdrawn join was outstanding"
        );
    }
    fn send(&mut self, streamer: StreamerId, _wire_id: u64, message: Vec<u8>) {
        self.streamer_messages.push((streamer, String::from_utf8(message).expect("text")));
    }
    fn end_at_lost_streamer(&mut self, streamer: StreamerId, wire_id: u64) {
        self.ended_at_lost.push((streamer, wire_id));
    }
    fn probe(&mut self, streamer: StreamerId) {
        self.probes.push(streamer);
    }
    fn close_idle(&mut self, _streamer: StreamerId) {}
    fn send_to_peers(&mut self, _peer: Option<u16>, _bytes: &[u8]) {}
}

impl RecordingTransport {
    /// Types and causes of the frames sent for a session.
    pub fn frames_of(&self, wire_id: u64) -> Vec<(u8, u8)> {
        let type_and_cause = |(_, frame): &(SocketId, Vec<u8>)| {
            let own = frame[3..11] == wire_id.to_be_bytes();
            own.then(|| (frame[2], if frame[2] == 12 { frame[14] } else { 0 }))
        };
        self.viewer_frames.iter().filter_map(type_and_cause).collect()
    }
}

pub struct Harness {
    pub sessions: SessionTable,
    pub transport: RecordingTransport,
    pub now: Duration,
    /// Viewers' connections on which more has arrived than was read.
    unread: BTreeSet<SocketId>,
    next_round: Duration,
}

impl Harness {
    pub fn new() -> Self {
        Self::with_seats(0)
    }

    /// A table of which one title may hold so many sessions in a room type; 0 if there is no limit.
    pub fn with_seats(seats: u64) -> Self {
        let mut settings = settings();
        settings["familyInfo"]["licenceCap"] = json!([seats, seats]);
        let Value::Object(settings) = settings else { unreachable!("an object") };
        let platform_settings = PlatformSettings::new(&settings);
        let sessions = SessionTable::new(Controller::new(START, 7, settings), platform_settings, 32);
        let mut harness = Self {
            sessions,
            transport: RecordingTransport::default(),
            now: START,
            unread: BTreeSet::new(),
            next_round: START,
        };
        let entries = (0..STREAMERS).map(|n| entry(n, Health::Ready)).collect();
        harness.sessions.apply_list(Listing::Cached, entries);
        harness.advance(10);
        harness
    }

    /// Advances the time, round by round.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(10) {
            self.now += ms(10);
            self.sessions.run_timers(self.now, &mut self.transport);
            if self.now >= self.next_round && self.sessions.has_inputs() {
                self.next_round = self.now + ms(10);
                self.sessions.round(self.now, &mut self.transport);
            }
        }
    }

    pub fn set_up(&mut self, connection: SocketId, wire_id: u64, change: &[(&str, &str)]) {
        let mut fields = BTreeMap::from([
            ("class", "tour"),
            ("left", "2000"),
            ("title", "7f3a9c21e0b4d655"),
            ("hint", "8200.0"),
            ("extras", "home:0;copies:4;top:2;viewer:00000000b4d65521"),
            ("desc", "9d41\r\nm=audio"),
        ]);
        fields.extend(change.iter().copied());
        let codes = [("class", 33), ("left", 36), ("title", 45), ("hint", 63), ("extras", 48), ("desc", 78)];
        let mut parameters = Vec::new();
        for (name, code) in codes.iter().filter(|(name, _)| fields[name] != "-") {
            parameters.push(*code);
            parameters.extend((fields[name].len() as u16).to_be_bytes());
            parameters.extend(fields[name].bytes());
        }
        let mut frame = ((9 + parameters.len()) as u16).to_be_bytes().to_vec();
        frame.push(1);
        frame.extend(wire_id.to_be_bytes());
        frame.extend(parameters);
        let mut handler = Handler { harness: self, connection };
        viewers::decode(&frame, &mut handler).expect("a frame");
        if !self.unread.contains(&connection) {
            self.sessions.input_read(connection);
        }
    }

    /// Hands over a session that plays at a streamer.
    pub fn hand_over(&mut self, connection: SocketId, wire_id: u64, streamer: StreamerId) {
        let number = u32::from(*streamer.ip());
        let extras = format!("home:0;copies:4;top:2;viewer:00000000b4d65521;at:s-{number:08x}");
        self.set_up(connection, wire_id, &[("extras", &extras), ("left", "4294967")]);
    }

    pub fn answer(&mut self, wire_id: u64) -> Option<StreamerId> {
        let (join, streamer) = self.transport.outstanding.remove(&wire_id)?;
        self.sessions.join_answered(self.now, join, STREAMER_CONNECTION, "a500\r\nc=IN", &mut self.transport);
        Some(streamer)
    }

    /// A streamer reports the progress of a session.
    pub fn report(&mut self, streamer: StreamerId, wire_id: u64, kind: &str) -> Result<(), Fault> {
        self.sessions.progress_report(streamer, wire_id, kind, 0.5, &mut self.transport)
    }

    /// A join ends as its connection fails.
    fn join_is_lost(&mut self, wire_id: u64, ending: Ending) {
        if let Some((join, _)) = self.transport.outstanding.remove(&wire_id) {
            self.sessions.join_lost(self.now, join, ending);
        }
    }

    fn join_ends(&mut self, wire_id: u64, ending: Ending) {
        if let Some((join, _)) = self.transport.outstanding.remove(&wire_id) {
            self.sessions.join_ended(self.now, join, ending, Some("x0:0.4;x1:0.2"));
        }
    }
}

struct Handler<'a> {
    harness: &'a mut Harness,
    connection: SocketId,
}

impl viewers::MessageHandler for Handler<'_> {
    fn set_up(&mut self, wire_id: u64, parameters: Parameters<'_>) {
        let harness = &mut *self.harness;
        harness.sessions.set_up(harness.now, self.connection, wire_id, parameters, &mut harness.transport);
    }
    fn malformed_set_up(&mut self, wire_id: u64) {
        self.harness.sessions.reject(self.harness.now, self.connection, wire_id, &mut self.harness.transport);
    }
    fn ended(&mut self, wire_id: u64) {
        self.harness.sessions.ended_by_viewer(
            self.harness.now,
            self.connection,
            wire_id,
            &mut self.harness.transport,
        );
    }
    fn tested(&mut self, _session: u64) {}
    fn release_acknowledged(&mut self, _session: u64) {}
}

fn entry(number: u32, health: Health) -> ListEntry {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, number as u16);
    let id = streamer_id(number);
    ListEntry { id, address, zone: 0, kind: 0, cell: number, health, weight: 4.0, started: Start::default() }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    SetUp(SocketId),
    ViewerEnds(u64, bool),
    ViewerDisconnects(SocketId),
    ConnectionFull(SocketId),
    Answer(u64),
    JoinEnds(u64, u8),
    Release(u64, u8),
    StreamerLost(u32),
    Listed(u32, bool),
    AdvanceTime(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (wire_id, connection) = (u64::arbitrary(g) % 24, SocketId::arbitrary(g) % 3);
        let number = u32::arbitrary(g) % STREAMERS;
        match u8::arbitrary(g) % 16 {
            0..=3 => Step::SetUp(connection),
            4 => Step::ViewerEnds(wire_id, bool::arbitrary(g)),
            5 => Step::ViewerDisconnects(connection),
            6 => Step::ConnectionFull(connection),
            7..=9 => Step::Answer(wire_id),
            10 => Step::JoinEnds(wire_id, u8::arbitrary(g)),
            11 => Step::Release(wire_id, u8::arbitrary(g)),
            12 => Step::StreamerLost(number),
            13 => Step::Listed(number, bool::arbitrary(g)),
            _ => Step::AdvanceTime(u8::arbitrary(g)),
        }
    }
}

/// What the model knows of a session.
#[derive(Default)]
struct ModelViewer {
    connection: SocketId,
    plays_at: Option<StreamerId>,
    was_answered: bool,
    left: bool,
    was_released: bool,
}

fn run(steps: &[Step]) {
    let mut harness = Harness::new();
    let mut model: BTreeMap<u64, ModelViewer> = BTreeMap::new();
    for step in steps {
        match *step {
            Step::SetUp(connection) => {
                let wire_id = model.len() as u64;
                harness.set_up(connection, wire_id, &[]);
                model.insert(wire_id, ModelViewer { connection, ..ModelViewer::default() });
            }
            Step::ViewerEnds(wire_id, elsewhere) => {
                let Some(viewer) = model.get_mut(&wire_id) else { continue };
                let connection = viewer.connection + u64::from(elsewhere);
                harness.sessions.ended_by_viewer(harness.now, connection, wire_id, &mut harness.transport);
                if viewer.plays_at.take().is_some() || !elsewhere && !viewer.was_answered {
                    viewer.left = true;
                }
            }
            Step::ViewerDisconnects(connection) => {
                harness.sessions.viewer_disconnected(
                    harness.now,
                    connection,
                    ClosedBy::Viewer,
                    &mut harness.transport,
                );
                model
                    .values_mut()
                    .filter(|viewer| viewer.connection == connection && !viewer.was_answered)
                    .for_each(|viewer| viewer.left = true);
            }
            Step::ConnectionFull(connection) => drop(harness.transport.full_connections.insert(connection)),
            Step::Answer(wire_id) => {
                let full = model
                    .get(&wire_id)
                    .is_some_and(|viewer| harness.transport.full_connections.contains(&viewer.connection));
                let Some(streamer) = harness.answer(wire_id) else { continue };
                let viewer = model.get_mut(&wire_id).expect("known");
                if !full {
                    (viewer.plays_at, viewer.was_answered) = (Some(streamer), true);
                }
            }
            Step::JoinEnds(wire_id, n) => {
                let all = [Ending::Full, Ending::Error, Ending::Reset, Ending::ConnectFailed, Ending::Moot];
                let ending = all[usize::from(n) % all.len()];
                match n % 2 {
                    0 => harness.join_ends(wire_id, ending),
                    _ => harness.join_is_lost(wire_id, ending),
                }
            }
            Step::Release(wire_id, n) => {
                let Some(streamer) = model.get(&wire_id).and_then(|viewer| viewer.plays_at) else { continue };
                let cause = [16, 31, 41][usize::from(n) % 3];
                harness.sessions.ended_by_streamer(
                    harness.now,
                    streamer,
                    wire_id,
                    cause,
                    None,
                    &mut harness.transport,
                );
                let viewer = model.get_mut(&wire_id).expect("known");
                (viewer.plays_at, viewer.left, viewer.was_released) =
                    (None, viewer.left || cause == 31, cause != 31);
            }
            Step::StreamerLost(number) => {
                let streamer = streamer_id(number);
                harness.sessions.streamer_lost(
                    harness.now,
                    streamer,
                    LossReason::ProcessEnded,
                    &mut harness.transport,
                );
                for viewer in model.values_mut().filter(|viewer| viewer.plays_at == Some(streamer)) {
                    (viewer.plays_at, viewer.was_released) = (None, true);
                }
            }
            Step::Listed(number, ready) => {
                let health = if ready { Health::Ready } else { Health::Draining };
                harness.sessions.apply_list(Listing::Changes, vec![entry(number, health)]);
            }
            Step::AdvanceTime(n) => harness.advance(u64::from(n) * 4),
        }
    }
    harness.advance(4000);
    for (wire_id, viewer) in &model {
        let frames = harness.transport.frames_of(*wire_id);
        let answers = frames.iter().filter(|frame| frame.0 == 9).count();
        let releases = frames.iter().filter(|frame| frame.0 == 12).count();
        let full = harness.transport.full_connections.contains(&viewer.connection);
        // One final answer: either that it plays or a release; none if the viewer left or accepts no output.
        assert_eq!(answers, usize::from(viewer.was_answered), "{wire_id}: {frames:?}");
        let expected =
            usize::from(if viewer.was_answered { viewer.was_released } else { !viewer.left && !full });
        assert!(
            releases == expected || full || viewer.left && releases <= 1,
            "{wire_id}: {releases} of {expected}"
        );
        assert_eq!(
            harness.sessions.playing_streamers().count() > 0,
            model.values().any(|viewer| viewer.plays_at.is_some())
        );
    }
    assert!(harness.transport.outstanding.is_empty(), "a join is still outstanding");
    let playing = model.values().filter(|viewer| viewer.plays_at.is_some()).count();
    assert_eq!(harness.sessions.len(), playing, "the session table holds exactly the playing sessions");
    for number in 0..STREAMERS {
        harness.sessions.streamer_lost(
            harness.now,
            streamer_id(number),
            LossReason::ProcessEnded,
            &mut harness.transport,
        );
    }
    assert!(harness.sessions.is_empty() && harness.sessions.next_timer().is_some());
}

#[test]
fn each_set_up_gets_one_answer_and_one_join_at_a_time() {
    fn holds(steps: Vec<Step>) -> bool {
        run(&steps);
        true
    }
    let gen = Gen::from_size_and_seed(120, 11);
    QuickCheck::new().rng(gen).tests(300).quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn an_answer_and_a_later_release_are_forwarded_at_once() {
    let mut harness = Harness::new();
    harness.set_up(1, 5, &[]);
    harness.advance(10);
    let streamer = harness.answer(5).expect("it was sent in the next round");
    assert_eq!(harness.transport.frames_of(5), [(9, 0)]);
    // A progress report or a release from another streamer is ignored.
    let other = streamer_id(99);
    harness.report(other, 5, "wire").unwrap();
    harness.sessions.ended_by_streamer(harness.now, other, 5, 16, None, &mut harness.transport);
    assert!(harness.sessions.is_playing_at(streamer, 5) && harness.report(streamer, 5, "wine").is_err());
    harness.sessions.ended_by_streamer(harness.now, streamer, 5, 16, None, &mut harness.transport);
    harness.sessions.ended_by_streamer(harness.now, streamer, 5, 16, None, &mut harness.transport);
    assert_eq!(harness.transport.frames_of(5), [(9, 0), (12, 16)]);
}

/// Guards against values that no viewer has: they would distort every decision.
#[test]
fn set_ups_with_values_out_of_range_are_rejected() {
    let mut harness = Harness::new();
    let extras = |text: &'static str| ("extras", text);
    let wrong = [
        ("class", "gold"),
        ("class", "-"),
        ("left", "0"),
        ("left", "-5"),
        ("left", "1e3"),
        ("left", "99999999999999999999"),
        ("title", "7f3a"),
        ("title", "-"),
        ("hint", "NaN"),
        ("hint", "-1"),
        ("hint", "1e300"),
        ("desc", "-"),
        extras("home:0;copies:0;top:2;viewer:00000000b4d65521"),
        extras("home:4;copies:1;top:2;viewer:00000000b4d65521"),
        extras("home:0.5;copies:1;top:2;viewer:00000000b4d65521"),
        extras("home:0;copies:5;top:2;viewer:00000000b4d65521"),
        extras("home:0;copies:1;top:3;viewer:00000000b4d65521"),
        extras("home:inf;copies:1;top:2;viewer:00000000b4d65521"),
        extras("home:0;copies:1;top:2"),
        extras("-"),
    ];
    for (wire_id, change) in wrong.iter().enumerate() {
        harness.set_up(1, wire_id as u64, &[*change]);
        assert_eq!(harness.transport.frames_of(wire_id as u64), [(12, 96)], "{change:?}");
    }
    harness.set_up(1, 99, &[("desc", &"\u{1}".repeat(3000))]);
    assert_eq!(harness.transport.frames_of(99), [(12, 96)], "too long once it is escaped");
    harness.advance(50);
    assert!(harness.transport.outstanding.is_empty() && harness.sessions.is_empty());
}

/// Guards against a hostile viewer that uses the id of another's pending request. Ids are normally unique.
#[test]
fn reusing_the_id_of_a_pending_request_does_not_affect_it() {
    let mut harness = Harness::new();
    harness.set_up(1, 5, &[]);
    harness.set_up(2, 5, &[("desc", "other")]);
    harness.advance(10);
    assert_eq!(
        harness.transport.viewer_frames.iter().map(|(connection, _)| *connection).collect::<Vec<_>>(),
        [2]
    );
    assert!(harness.answer(5).is_some());
    // On the same connection the two cannot be distinguished: one final answer ends both.
    harness.set_up(1, 6, &[]);
    harness.set_up(1, 6, &[]);
    harness.advance(10);
    assert_eq!(harness.transport.frames_of(6), [(12, 96)]);
    assert!(!harness.transport.outstanding.contains_key(&6));
}

/// A viewer that cancels is gone, whichever connection it says so on, so no join continues. A stranger that
/// knows a pending id ends that request; its viewer learns so at once and is not left without an answer.
#[test]
fn a_set_up_cancelled_on_another_connection_gets_its_answer() {
    let mut harness = Harness::new();
    harness.set_up(1, 5, &[]);
    harness.advance(10);
    assert!(harness.transport.outstanding.contains_key(&5));
    harness.sessions.ended_by_viewer(harness.now, 2, 5, &mut harness.transport);
    assert!(harness.transport.outstanding.is_empty() && harness.sessions.is_empty());
    harness.sessions.ended_by_viewer(harness.now, 1, 5, &mut harness.transport);
    harness.advance(3000);
    assert_eq!(
        harness.transport.viewer_frames.iter().map(|(connection, _)| *connection).collect::<Vec<_>>(),
        [1]
    );
    assert_eq!(harness.transport.frames_of(5), [(12, 41)]);
    assert!(harness.transport.outstanding.is_empty(), "no further join");
}

/// Guards against set-ups that a process leaves without an answer as it exits. One of which nothing was sent
/// is refused as harmless, one with a join failed; a session that plays is left as it is, since the next
/// process takes it over.
#[test]
fn closing_answers_every_pending_set_up_and_leaves_what_plays() {
    let mut harness = Harness::new();
    for wire_id in 1..=3 {
        harness.set_up(1, wire_id, &[]);
    }
    harness.advance(10);
    assert!(harness.answer(1).is_some());
    harness.set_up(1, 4, &[]);
    harness.sessions.close_pending(harness.now, &mut harness.transport);
    assert!(harness.sessions.pending_count() == 0 && harness.transport.outstanding.is_empty());
    assert_eq!(harness.transport.frames_of(1), [(9, 0)]);
    for wire_id in 2..=3 {
        assert_eq!(harness.transport.frames_of(wire_id), [(12, 41)]);
    }
    assert_eq!(harness.transport.frames_of(4), [(12, 42)]);
    assert!(!harness.transport.streamer_messages.iter().any(|(_, message)| message.contains("\"end\"")));
    // From then on every set-up is refused at once.
    harness.set_up(1, 5, &[]);
    assert_eq!(harness.transport.frames_of(5), [(12, 42)]);
    harness.advance(1000);
    assert!(harness.transport.outstanding.is_empty(), "no join after closing began");
}

/// The next join of a session is not sent before the streamer of a lost one has had time to read its end, and
/// at once where the streamer refused it or nothing was sent. A viewer that leaves meanwhile ends the session.
#[test]
fn the_next_join_waits_until_the_end_of_a_lost_one_is_read() {
    for (ending, waits) in [(Ending::Reset, true), (Ending::ConnectFailed, false), (Ending::Moot, false)] {
        let mut harness = Harness::new();
        harness.set_up(1, 1, &[("left", "4000")]);
        harness.advance(10);
        harness.join_is_lost(1, ending);
        harness.advance(30);
        assert_eq!(harness.transport.outstanding.is_empty(), waits, "{ending:?}");
        harness.advance(40);
        assert!(!harness.transport.outstanding.is_empty(), "{ending:?}");
    }
    let mut harness = Harness::new();
    harness.set_up(1, 1, &[("left", "4000")]);
    harness.advance(10);
    harness.join_is_lost(1, Ending::Reset);
    harness.advance(10);
    harness.sessions.ended_by_viewer(harness.now, 1, 1, &mut harness.transport);
    harness.advance(200);
    assert!(harness.sessions.is_empty() && harness.transport.outstanding.is_empty());
    assert_eq!(harness.transport.frames_of(1), []);
}

/// Guards against an end that is late being applied to the next join of the same session.
#[test]
fn an_end_or_answer_of_an_earlier_join_does_not_affect_the_present_one() {
    let mut harness = Harness::new();
    harness.set_up(1, 1, &[("left", "4000")]);
    harness.advance(10);
    let (first_join, _) = harness.transport.outstanding[&1];
    harness.join_ends(1, Ending::Reset);
    harness.advance(200);
    let (second_join, _) = harness.transport.outstanding[&1];
    assert_eq!((first_join.job, first_join.number + 1), (second_join.job, second_join.number));
    harness.sessions.join_ended(harness.now, first_join, Ending::Reset, None);
    harness.sessions.join_answered(
        harness.now,
        first_join,
        STREAMER_CONNECTION,
        "late",
        &mut harness.transport,
    );
    harness.advance(200);
    assert_eq!(harness.transport.outstanding.get(&1).map(|entry| entry.0), Some(second_join));
    assert_eq!(harness.transport.frames_of(1), []);
    assert!(harness.answer(1).is_some());
    assert_eq!(harness.transport.frames_of(1), [(9, 0)]);
}

/// A session that was moved away ends on both sides as the process exits: nobody else would end it.
#[test]
fn closing_ends_a_session_that_was_moved_away() {
    let mut harness = moving();
    let messages_before = harness.transport.streamer_messages.len();
    harness.sessions.close_pending(harness.now, &mut harness.transport);
    assert!(harness.sessions.is_empty());
    let ended = &harness.transport.streamer_messages[messages_before..];
    assert!(ended.len() == 1 && ended[0].1.contains("\"end\""), "{ended:?}");
}

/// During a shutdown a pending set-up is answered by the time limit, no join begins that could not be answered
/// by then, and a set-up without the time of a join is refused at once.
#[test]
fn answers_come_by_the_time_limit_of_a_shutdown() {
    let mut harness = Harness::new();
    harness.set_up(1, 1, &[("left", "4000")]);
    harness.advance(10);
    let limit = harness.now + ms(2000);
    harness.sessions.limit_answers(limit);
    harness.advance(400);
    harness.set_up(1, 2, &[("left", "4000")]);
    harness.advance(10);
    assert_eq!(harness.transport.frames_of(2), [], "there is time for a join");
    harness.advance(200);
    harness.set_up(1, 3, &[("left", "4000")]);
    assert_eq!(harness.transport.frames_of(3), [(12, 42)], "less time than the join objective");
    let mut last_join_at = harness.now;
    while !harness.sessions.is_empty() {
        let joins_before = harness.sessions.store.counts.joins;
        harness.advance(10);
        if harness.sessions.store.counts.joins > joins_before {
            last_join_at = harness.now;
        }
        assert!(harness.now <= limit, "answered in time");
    }
    // Failed, or refused by the decision module, whose room type allows that.
    for wire_id in [1, 2] {
        let frames = harness.transport.frames_of(wire_id);
        assert!(frames == [(12, 41)] || frames == [(12, 42)], "{frames:?}");
    }
    assert!(last_join_at + ms(750) <= limit, "a join has the time in which others time out");
    assert!(harness.transport.outstanding.is_empty());
}

/// The settings limit the cool-down that the session table sends itself, and memory limits the pending
/// set-ups of one connection.
#[test]
fn the_cool_down_of_a_flood_is_limited_by_the_settings() {
    let throttled = |change: &dyn Fn(&mut Value)| {
        let mut settings = settings();
        change(&mut settings);
        let Value::Object(settings) = settings else { unreachable!("an object") };
        let mut harness = Harness::new();
        harness.sessions = SessionTable::new(
            Controller::new(START, 7, settings.clone()),
            PlatformSettings::new(&settings),
            64,
        );
        (0..300).for_each(|wire_id| harness.set_up(1, wire_id, &[]));
        (harness.transport.viewer_frames.len(), harness.transport.viewer_frames[0].1[15..].to_vec())
    };
    let cool_down_field = |ms: &[u8]| [&[51, 0, ms.len() as u8][..], ms].concat();
    assert_eq!(throttled(&|_| {}), (300 - 256, cool_down_field(b"500")));
    assert_eq!(
        throttled(&|settings| settings["permissions"]["maxRetryAfterUs"] = json!(90_000)).1,
        cool_down_field(b"90")
    );
    assert_eq!(
        throttled(&|settings| settings["permissions"]["retryAfter"] = json!(false)).1,
        Vec::<u8>::new()
    );
}

#[test]
fn a_handed_over_session_plays_unless_its_streamer_is_gone() {
    let mut harness = Harness::new();
    let at = "home:0;copies:4;top:2;viewer:00000000b4d65521;at:s-00000002";
    // Its timeout is unbounded, and it gets no answer, nor does a duplicate.
    harness.set_up(1, 5, &[("extras", at), ("left", "4294967")]);
    harness.set_up(1, 5, &[("extras", at), ("left", "4294967")]);
    harness.set_up(1, 6, &[("extras", &at.replace("0002", "0077"))]);
    assert_eq!((harness.transport.frames_of(5), harness.transport.frames_of(6)), (vec![], vec![(12, 41)]));
    assert!(harness.sessions.is_playing_at(streamer_id(2), 5) && harness.sessions.len() == 1);
    // A start reported after the session began ends it; an earlier one is the process that it plays on.
    harness.sessions.streamer_restarted(harness.now, streamer_id(2), START, &mut harness.transport);
    assert!(harness.sessions.is_playing_at(streamer_id(2), 5));
    harness.sessions.streamer_restarted(
        harness.now,
        streamer_id(2),
        harness.now + ms(1),
        &mut harness.transport,
    );
    assert_eq!(harness.transport.frames_of(5), [(12, 41)]);
}

/// Guards against a viewer that floods one connection. A front end that sends more at once is throttled.
#[test]
fn a_flood_on_one_connection_is_throttled_and_others_are_not() {
    let mut harness = Harness::new();
    (0..300).for_each(|wire_id| harness.set_up(1, wire_id, &[]));
    let throttled = harness.transport.viewer_frames.len();
    assert!(throttled > 100 && harness.transport.viewer_frames.iter().all(|(_, frame)| frame[14] == 42));
    harness.set_up(2, 999, &[]);
    assert!(harness.transport.frames_of(999).is_empty());
}

/// A request that the decision module gives up on gets its final answer at once, with a cool-down.
#[test]
fn a_request_the_module_gives_up_on_is_answered_in_the_same_round() {
    let mut harness = Harness::new();
    let removed = (0..STREAMERS).map(|n| entry(n, Health::Gone)).collect();
    harness.sessions.apply_list(Listing::Changes, removed);
    harness.set_up(1, 5, &[]);
    harness.advance(20);
    assert_eq!(harness.transport.frames_of(5), [(12, 42)]);
    let frame = &harness.transport.viewer_frames[0].1;
    assert_eq!((frame[15], frame.len() > 18), (51, true), "it carries a cool-down");
}

/// Guards against a session whose streamer ends it in the moment it is moved: the move fails, and the viewer
/// must still get its release. A release after a move is ignored by viewers.
#[test]
fn an_end_that_crosses_a_move_releases_the_viewer_and_the_end_of_the_move_does_not() {
    for (cause, expected) in
        [(31, vec![(51, 0)]), (16, vec![(51, 0), (12, 16)]), (41, vec![(51, 0), (12, 41)])]
    {
        let mut harness = moving();
        harness.sessions.ended_by_streamer(
            harness.now,
            streamer_id(0),
            5,
            cause,
            None,
            &mut harness.transport,
        );
        assert_eq!(harness.transport.frames_of(5), expected);
        assert!(harness.sessions.is_empty());
    }
    // If the streamer does not end it, the streamer is told to and the viewer is released.
    let mut harness = moving();
    harness.advance(700);
    assert_eq!(
        (harness.transport.frames_of(5), harness.transport.streamer_messages.len()),
        (vec![(51, 0), (12, 16)], 1)
    );
    assert!(harness.sessions.is_empty());
}

/// A session that the decision module has just moved.
fn moving() -> Harness {
    let mut harness = Harness::new();
    harness.hand_over(1, 5, streamer_id(0));
    let job = harness.sessions.store.job(5).expect("the session exists");
    Dispatcher { now: harness.now, store: &mut harness.sessions.store, transport: &mut harness.transport }
        .move_subscription(job);
    harness
}

fn count_of(unanswered: &UnansweredCounts, closed_by: ClosedBy, step: ReachedStep) -> u64 {
    unanswered.all().filter(|one| (one.0, one.1) == (closed_by, step)).map(|one| one.2).sum()
}

/// Each set-up whose connection closes before its answer must be counted by who closed it and the step it had
/// reached, so that a lost request can be located; one that was answered is not counted.
#[test]
fn an_unanswered_set_up_is_counted_with_its_step() {
    let mut harness = Harness::new();
    let unanswered_at =
        |harness: &Harness, closed_by, step| count_of(&harness.sessions.store.unanswered, closed_by, step);
    harness.set_up(1, 0xa1, &[]);
    harness.sessions.viewer_disconnected(harness.now, 1, ClosedBy::Viewer, &mut harness.transport);
    assert_eq!(unanswered_at(&harness, ClosedBy::Viewer, ReachedStep::Unplaced), 1);

    harness.set_up(2, 0xa2, &[]);
    harness.advance(20);
    assert!(harness.transport.outstanding.contains_key(&0xa2));
    harness.sessions.viewer_disconnected(harness.now, 2, ClosedBy::Us, &mut harness.transport);
    assert_eq!(unanswered_at(&harness, ClosedBy::Us, ReachedStep::JoinOut), 1);

    harness.set_up(3, 0xa3, &[]);
    harness.advance(20);
    harness.join_ends(0xa3, Ending::Error);
    harness.sessions.viewer_disconnected(harness.now, 3, ClosedBy::Unreadable, &mut harness.transport);
    assert_eq!(unanswered_at(&harness, ClosedBy::Unreadable, ReachedStep::Between), 1);

    harness.set_up(4, 0xa4, &[]);
    harness.advance(20);
    harness.transport.full_connections.insert(4);
    harness.answer(0xa4);
    assert_eq!(unanswered_at(&harness, ClosedBy::Network, ReachedStep::NotTaken), 1);

    harness.set_up(5, 0xa5, &[]);
    harness.advance(20);
    assert!(harness.answer(0xa5).is_some());
    harness.sessions.viewer_disconnected(harness.now, 5, ClosedBy::Us, &mut harness.transport);
    assert_eq!(harness.sessions.store.unanswered.all().map(|(_, _, count)| count).sum::<u64>(), 4);
}

/// A crowd that sends set-ups and closes is counted in full, and costs one log line a second.
#[test]
fn unanswered_set_ups_are_logged_at_most_once_a_second() {
    let mut unanswered = UnansweredCounts::default();
    let set_up = UnansweredSetUp {
        wire_id: 7,
        closed_by: ClosedBy::Viewer,
        step: ReachedStep::Unplaced,
        streamer: None,
        age: ms(3),
    };
    let logged = (0..3000).filter(|n| unanswered.record(START + ms(*n), &set_up)).count();
    assert_eq!((logged, count_of(&unanswered, ClosedBy::Viewer, ReachedStep::Unplaced)), (3, 3000));
}

/// Guards against sessions that play on for nobody: their streamer was given up without being told. One whose
/// process has ended is told nothing. What was handed over counts, too, if nothing has confirmed it.
#[test]
fn a_streamer_that_is_given_up_is_told_to_end_its_sessions() {
    for (reason, told) in [(LossReason::Unreachable, vec![5, 6]), (LossReason::ProcessEnded, vec![])] {
        let mut harness = Harness::new();
        harness.set_up(1, 5, &[]);
        harness.advance(10);
        let streamer = harness.answer(5).expect("a join");
        harness.hand_over(1, 6, streamer);
        harness.sessions.streamer_lost(harness.now, streamer, reason, &mut harness.transport);
        let ended: Vec<u64> = harness.transport.ended_at_lost.iter().map(|(_, wire_id)| *wire_id).collect();
        assert_eq!(ended, told, "{reason:?}");
        assert_eq!(harness.transport.frames_of(5), [(9, 0), (12, 41)]);
        assert_eq!(harness.transport.frames_of(6), [(12, 41)]);
    }
}

/// Guards against a session that runs twice: its client left, and came again with the same id, while a streamer may
/// still have run the first join. An id that no join was sent for may come again.
#[test]
fn an_id_that_has_run_is_rejected() {
    let mut harness = Harness::new();
    harness.set_up(1, 5, &[]);
    harness.sessions.viewer_disconnected(harness.now, 1, ClosedBy::Viewer, &mut harness.transport);
    harness.set_up(2, 5, &[]);
    harness.advance(10);
    assert!(harness.transport.outstanding.contains_key(&5), "the first was never sent");
    harness.sessions.viewer_disconnected(harness.now, 2, ClosedBy::Viewer, &mut harness.transport);
    harness.set_up(3, 5, &[]);
    harness.advance(100);
    assert_eq!((harness.transport.frames_of(5), harness.transport.outstanding.len()), (vec![(12, 96)], 0));
    harness.set_up(3, 6, &[]);
    harness.advance(10);
    harness.answer(6).expect("a join");
    harness.sessions.ended_by_viewer(harness.now, 3, 6, &mut harness.transport);
    harness.set_up(3, 6, &[]);
    harness.advance(100);
    assert_eq!(harness.transport.frames_of(6), [(9, 0), (12, 96)]);
    // Forgotten after a minute, when no streamer can have anything to say of it.
    harness.advance(61_000);
    harness.set_up(3, 6, &[]);
    harness.advance(10);
    assert!(harness.transport.outstanding.contains_key(&6));
}

/// Guards against joins for a client that has left already: its set-ups were sent on while its end, or what it took
/// back, was behind them and not read yet. Whoever does not leave is served once all is read.
#[test]
fn set_ups_are_placed_once_all_that_arrived_with_them_is_read() {
    let mut harness = Harness::new();
    harness.unread.extend([1, 2]);
    for wire_id in [5, 6] {
        harness.set_up(1, wire_id, &[]);
    }
    harness.set_up(2, 7, &[]);
    harness.advance(100);
    assert!(harness.transport.outstanding.is_empty());
    harness.sessions.ended_by_viewer(harness.now, 1, 5, &mut harness.transport);
    harness.sessions.viewer_disconnected(harness.now, 2, ClosedBy::Viewer, &mut harness.transport);
    harness.sessions.input_read(1);
    harness.sessions.input_read(2);
    harness.advance(20);
    assert_eq!(harness.transport.outstanding.keys().copied().collect::<Vec<_>>(), [6]);
    // A client that never stops sending has its answer in time all the same.
    harness.set_up(1, 8, &[]);
    harness.advance(2_000);
    assert_eq!(harness.transport.frames_of(8), [(12, 41)]);
}

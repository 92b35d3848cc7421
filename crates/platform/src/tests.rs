//! The session table beside a slow, plain model of what viewers and streamers see, on generated events in any order;
//! and a small test for each hard case.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{DecisionSink, Ending, Health, JobId, Listing, Start, StreamerId};
use badgerledge_reactor::Line;
use badgerledge_signalling::viewers::{self, Parameters};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::{json, Value};

use crate::asked::Terms;
use crate::dispatcher::Dispatcher;
use crate::session_table::{streamer_id, ListEntry, SessionTable};
use crate::unanswered::{By, Lost, Step as Stood, Unanswered};
use crate::wires::Wires;

const ORIGIN: Duration = Duration::from_secs(1000);
const STREAMERS: u32 = 4;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn options() -> Value {
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

/// Both ends, as they see it.
#[derive(Default)]
struct Ends {
    /// Frames that each connection of viewers was sent.
    sent: Vec<(Line, Vec<u8>)>,
    /// Joins that are out at a streamer.
    out: BTreeMap<u64, (JobId, StreamerId)>,
    /// What a streamer was told on subscriptions that stand there.
    said: Vec<(StreamerId, String)>,
    full: BTreeSet<Line>,
    probes: Vec<StreamerId>,
}

impl Wires for Ends {
    fn answer(&mut self, line: Line, message: &[u8]) -> bool {
        let takes = !self.full.contains(&line);
        if takes {
            self.sent.push((line, message.to_vec()));
        }
        takes
    }
    fn release(&mut self, line: Line, _wire_id: u64, message: Vec<u8>) {
        self.sent.push((line, message));
    }
    fn trust(&mut self, _line: Line) {}
    fn join(&mut self, job: JobId, wire_id: u64, streamer: StreamerId, offer: Vec<u8>) {
        let offer: Value = serde_json::from_slice(&offer).expect("a whole line");
        assert_eq!(offer["call"], json!(format!("{wire_id:016x}")));
        assert_eq!(self.out.insert(wire_id, (job, streamer)), None, "two joins out");
    }
    fn withdraw(&mut self, job: JobId, wire_id: u64, streamer: StreamerId) {
        assert_eq!(self.out.remove(&wire_id), Some((job, streamer)), "what is given up was out");
    }
    fn say(&mut self, streamer: StreamerId, message: Vec<u8>) {
        self.said.push((streamer, String::from_utf8(message).expect("text")));
    }
    fn probe(&mut self, streamer: StreamerId) {
        self.probes.push(streamer);
    }
    fn drop_idle(&mut self, _streamer: StreamerId) {}
    fn signal(&mut self, _peer: Option<u16>, _bytes: &[u8]) {}
}

impl Ends {
    /// Kinds and causes of the frames that a subscription was sent.
    fn told(&self, wire_id: u64) -> Vec<(u8, u8)> {
        let of = |(_, frame): &(Line, Vec<u8>)| {
            let own = frame[3..11] == wire_id.to_be_bytes();
            own.then(|| (frame[2], if frame[2] == 12 { frame[14] } else { 0 }))
        };
        self.sent.iter().filter_map(of).collect()
    }
}

struct Play {
    sessions: SessionTable,
    ends: Ends,
    now: Duration,
    next_round: Duration,
}

impl Play {
    fn new() -> Self {
        let Value::Object(options) = options() else { unreachable!("an object") };
        let terms = Terms::new(&options);
        let sessions = SessionTable::new(Controller::new(ORIGIN, 7, options), terms, 32);
        let mut play = Self { sessions, ends: Ends::default(), now: ORIGIN, next_round: ORIGIN };
        let entries = (0..STREAMERS).map(|n| entry(n, Health::Ready)).collect();
        play.sessions.list(Listing::Cached, entries);
        play.pass(10);
        play
    }

    /// Lets time pass, round by round.
    fn pass(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(10) {
            self.now += ms(10);
            self.sessions.fall_due(self.now, &mut self.ends);
            if self.now >= self.next_round && self.sessions.has_news() {
                self.next_round = self.now + ms(10);
                self.sessions.round(self.now, &mut self.ends);
            }
        }
    }

    fn set_up(&mut self, line: Line, wire_id: u64, change: &[(&str, &str)]) {
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
        let mut ear = Ear { play: self, line };
        viewers::decode(&frame, &mut ear).expect("a frame");
    }

    fn answer(&mut self, wire_id: u64) -> Option<StreamerId> {
        let (job, streamer) = self.ends.out.remove(&wire_id)?;
        self.sessions.answered(self.now, job, "a500\r\nc=IN", &mut self.ends);
        Some(streamer)
    }

    fn join_ends(&mut self, wire_id: u64, ending: Ending) {
        if let Some((job, _)) = self.ends.out.remove(&wire_id) {
            self.sessions.join_ended(self.now, job, ending, Some("x0:0.4;x1:0.2"));
        }
    }
}

struct Ear<'a> {
    play: &'a mut Play,
    line: Line,
}

impl viewers::MessageHandler for Ear<'_> {
    fn set_up(&mut self, wire_id: u64, parameters: Parameters<'_>) {
        let play = &mut *self.play;
        play.sessions.set_up(play.now, self.line, wire_id, parameters, &mut play.ends);
    }
    fn malformed_set_up(&mut self, wire_id: u64) {
        self.play.sessions.turn_away(self.play.now, self.line, wire_id, &mut self.play.ends);
    }
    fn ended(&mut self, wire_id: u64) {
        self.play.sessions.ended_by_viewer(self.play.now, self.line, wire_id, &mut self.play.ends);
    }
    fn tested(&mut self, _session: u64) {}
    fn release_acknowledged(&mut self, _session: u64) {}
}

fn entry(number: u32, health: Health) -> ListEntry {
    let at = SocketAddrV4::new(Ipv4Addr::LOCALHOST, number as u16);
    let id = streamer_id(number);
    ListEntry { id, at, zone: 0, kind: 0, cell: number, health, weight: 4.0, came_up: Start::default() }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    SetUp(Line),
    GiveUp(u64, bool),
    Gone(Line),
    Full(Line),
    Answer(u64),
    JoinEnds(u64, u8),
    Release(u64, u8),
    Lost(u32),
    Listed(u32, bool),
    Pass(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (wire_id, line) = (u64::arbitrary(g) % 24, Line::arbitrary(g) % 3);
        let number = u32::arbitrary(g) % STREAMERS;
        match u8::arbitrary(g) % 16 {
            0..=3 => Step::SetUp(line),
            4 => Step::GiveUp(wire_id, bool::arbitrary(g)),
            5 => Step::Gone(line),
            6 => Step::Full(line),
            7..=9 => Step::Answer(wire_id),
            10 => Step::JoinEnds(wire_id, u8::arbitrary(g)),
            11 => Step::Release(wire_id, u8::arbitrary(g)),
            12 => Step::Lost(number),
            13 => Step::Listed(number, bool::arbitrary(g)),
            _ => Step::Pass(u8::arbitrary(g)),
        }
    }
}

/// What the plain model knows of a subscription.
#[derive(Default)]
struct Seen {
    line: Line,
    stands: Option<StreamerId>,
    stood: bool,
    left: bool,
    over: bool,
}

fn play(steps: &[Step]) {
    let mut play = Play::new();
    let mut seen: BTreeMap<u64, Seen> = BTreeMap::new();
    for step in steps {
        match *step {
            Step::SetUp(line) => {
                let wire_id = seen.len() as u64;
                play.set_up(line, wire_id, &[]);
                seen.insert(wire_id, Seen { line, ..Seen::default() });
            }
            Step::GiveUp(wire_id, elsewhere) => {
                let Some(call) = seen.get_mut(&wire_id) else { continue };
                let line = call.line + u64::from(elsewhere);
                play.sessions.ended_by_viewer(play.now, line, wire_id, &mut play.ends);
                if call.stands.take().is_some() || !elsewhere && !call.stood {
                    call.left = true;
                }
            }
            Step::Gone(line) => {
                play.sessions.viewer_gone(play.now, line, By::Viewer, &mut play.ends);
                seen.values_mut().filter(|c| c.line == line && !c.stood).for_each(|c| c.left = true);
            }
            Step::Full(line) => drop(play.ends.full.insert(line)),
            Step::Answer(wire_id) => {
                let full = seen.get(&wire_id).is_some_and(|call| play.ends.full.contains(&call.line));
                let Some(streamer) = play.answer(wire_id) else { continue };
                let call = seen.get_mut(&wire_id).expect("known");
                if !full {
                    (call.stands, call.stood) = (Some(streamer), true);
                }
            }
            Step::JoinEnds(wire_id, n) => {
                let all = [Ending::Full, Ending::Error, Ending::Reset, Ending::ConnectFailed, Ending::Moot];
                play.join_ends(wire_id, all[usize::from(n) % all.len()]);
            }
            Step::Release(wire_id, n) => {
                let Some(streamer) = seen.get(&wire_id).and_then(|call| call.stands) else { continue };
                let cause = [16, 31, 41][usize::from(n) % 3];
                play.sessions.ended_by_streamer(play.now, streamer, wire_id, cause, None, &mut play.ends);
                let call = seen.get_mut(&wire_id).expect("known");
                (call.stands, call.left, call.over) = (None, call.left || cause == 31, cause != 31);
            }
            Step::Lost(number) => {
                let streamer = streamer_id(number);
                play.sessions.lost(play.now, streamer, Duration::MAX, &mut play.ends);
                for call in seen.values_mut().filter(|call| call.stands == Some(streamer)) {
                    (call.stands, call.over) = (None, true);
                }
            }
            Step::Listed(number, ready) => {
                let health = if ready { Health::Ready } else { Health::Draining };
                play.sessions.list(Listing::Changes, vec![entry(number, health)]);
            }
            Step::Pass(n) => play.pass(u64::from(n) * 4),
        }
    }
    play.pass(4000);
    for (wire_id, call) in &seen {
        let told = play.ends.told(*wire_id);
        let answers = told.iter().filter(|told| told.0 == 9).count();
        let releases = told.iter().filter(|told| told.0 == 12).count();
        let full = play.ends.full.contains(&call.line);
        // One final answer: that it stands, or a release; none where the viewer left or takes nothing.
        assert_eq!(answers, usize::from(call.stood), "{wire_id}: {told:?}");
        let owed = usize::from(if call.stood { call.over } else { !call.left && !full });
        assert!(releases == owed || full || call.left && releases <= 1, "{wire_id}: {releases} of {owed}");
        assert_eq!(play.sessions.stands_at().count() > 0, seen.values().any(|call| call.stands.is_some()));
    }
    assert!(play.ends.out.is_empty(), "a join is left out");
    let standing = seen.values().filter(|call| call.stands.is_some()).count();
    assert_eq!(play.sessions.len(), standing, "what the session table holds stands");
    for number in 0..STREAMERS {
        play.sessions.lost(play.now, streamer_id(number), Duration::MAX, &mut play.ends);
    }
    assert!(play.sessions.is_empty() && play.sessions.next_due().is_some());
}

#[test]
fn one_answer_each_one_join_out_and_no_call_left() {
    fn holds(steps: Vec<Step>) -> bool {
        play(&steps);
        true
    }
    let gen = Gen::from_size_and_seed(120, 11);
    QuickCheck::new().rng(gen).tests(300).quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn an_answer_goes_on_at_once_and_a_release_after_it() {
    let mut play = Play::new();
    play.set_up(1, 5, &[]);
    play.pass(10);
    let streamer = play.answer(5).expect("it was sent in the next round");
    assert_eq!(play.ends.told(5), [(9, 0)]);
    // A note or a release of another streamer means nothing.
    let other = streamer_id(99);
    play.sessions.noted(other, 5, "wire", 0.5).unwrap();
    play.sessions.ended_by_streamer(play.now, other, 5, 16, None, &mut play.ends);
    assert!(play.sessions.stands(streamer, 5) && play.sessions.noted(streamer, 5, "wine", 0.5).is_err());
    play.sessions.ended_by_streamer(play.now, streamer, 5, 16, None, &mut play.ends);
    play.sessions.ended_by_streamer(play.now, streamer, 5, 16, None, &mut play.ends);
    assert_eq!(play.ends.told(5), [(9, 0), (12, 16)]);
}

/// Guards against figures that no viewer has: they would be wrong in every decision. Harm: none seen.
#[test]
fn what_is_out_of_range_is_turned_away_at_once_and_never_passed_on() {
    let mut play = Play::new();
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
        play.set_up(1, wire_id as u64, &[*change]);
        assert_eq!(play.ends.told(wire_id as u64), [(12, 96)], "{change:?}");
    }
    play.set_up(1, 99, &[("desc", &"\u{1}".repeat(3000))]);
    assert_eq!(play.ends.told(99), [(12, 96)], "too long once it is escaped");
    play.pass(50);
    assert!(play.ends.out.is_empty() && play.sessions.is_empty());
}

/// Guards against a hostile viewer that names another's open request. Harm: none, usual ids are new each time.
#[test]
fn the_id_of_an_open_request_again_does_not_touch_it() {
    let mut play = Play::new();
    play.set_up(1, 5, &[]);
    play.set_up(2, 5, &[("desc", "other")]);
    play.pass(10);
    assert_eq!(play.ends.sent.iter().map(|(line, _)| *line).collect::<Vec<_>>(), [2]);
    assert!(play.answer(5).is_some());
    // On the same connection the two cannot be told apart: one final answer ends both.
    play.set_up(1, 6, &[]);
    play.set_up(1, 6, &[]);
    play.pass(10);
    assert_eq!(play.ends.told(6), [(12, 96)]);
    assert!(!play.ends.out.contains_key(&6));
}

/// Who cancels has gone, on whatever connection it says so: no attempt goes on. Harm: a stranger that knows an open id ends
/// that request, whose viewer hears so at once and is not left without an answer.
#[test]
fn what_is_given_up_on_another_connection_ends_with_its_answer() {
    let mut play = Play::new();
    play.set_up(1, 5, &[]);
    play.pass(10);
    assert!(play.ends.out.contains_key(&5));
    play.sessions.ended_by_viewer(play.now, 2, 5, &mut play.ends);
    assert!(play.ends.out.is_empty() && play.sessions.is_empty());
    play.sessions.ended_by_viewer(play.now, 1, 5, &mut play.ends);
    play.pass(3000);
    assert_eq!(play.ends.sent.iter().map(|(line, _)| *line).collect::<Vec<_>>(), [1]);
    assert_eq!(play.ends.told(5), [(12, 41)]);
    assert!(play.ends.out.is_empty(), "no further join");
}

/// After SIGTERM nothing that is held may end with the process alone: both ends hear of each call.
#[test]
fn what_is_held_as_the_process_ends_has_its_answer_or_its_release_at_both_ends() {
    let mut play = Play::new();
    for wire_id in 1..=3 {
        play.set_up(1, wire_id, &[]);
    }
    play.pass(10);
    assert!(play.answer(1).is_some());
    play.set_up(1, 4, &[]);
    play.sessions.end_all(play.now, &mut play.ends);
    assert!(play.sessions.is_empty() && play.ends.out.is_empty());
    assert_eq!(play.ends.told(1), [(9, 0), (12, 41)]);
    for wire_id in 2..=4 {
        assert_eq!(play.ends.told(wire_id), [(12, 41)]);
    }
    let ends: Vec<_> = play.ends.said.iter().filter(|(_, said)| said.contains("\"end\"")).collect();
    assert!(ends.len() == 1 && ends[0].1.contains("0000000000000001"), "{ends:?}");
}

/// What the settings allow bounds what the session table names itself, and memory bounds what one connection may have open.
#[test]
fn a_flood_is_told_to_stay_away_only_as_long_as_the_settings_allow() {
    let named = |change: &dyn Fn(&mut Value)| {
        let mut told = options();
        change(&mut told);
        let Value::Object(told) = told else { unreachable!("an object") };
        let mut play = Play::new();
        play.sessions = SessionTable::new(Controller::new(ORIGIN, 7, told.clone()), Terms::new(&told), 64);
        (0..300).for_each(|wire_id| play.set_up(1, wire_id, &[]));
        (play.ends.sent.len(), play.ends.sent[0].1[15..].to_vec())
    };
    let away = |ms: &[u8]| [&[51, 0, ms.len() as u8][..], ms].concat();
    assert_eq!(named(&|_| {}), (300 - 256, away(b"500")));
    assert_eq!(named(&|told| told["permissions"]["maxRetryAfterUs"] = json!(90_000)).1, away(b"90"));
    assert_eq!(named(&|told| told["permissions"]["retryAfter"] = json!(false)).1, Vec::<u8>::new());
}

#[test]
fn what_is_handed_over_stands_unless_its_streamer_is_gone() {
    let mut play = Play::new();
    let at = "home:0;copies:4;top:2;viewer:00000000b4d65521;at:s-00000002";
    // Its wait has no end, and it wants no answer, the second time neither.
    play.set_up(1, 5, &[("extras", at), ("left", "4294967")]);
    play.set_up(1, 5, &[("extras", at), ("left", "4294967")]);
    play.set_up(1, 6, &[("extras", &at.replace("0002", "0077"))]);
    assert_eq!((play.ends.told(5), play.ends.told(6)), (vec![], vec![(12, 41)]));
    assert!(play.sessions.stands(streamer_id(2), 5) && play.sessions.len() == 1);
    // A start told later than what stands there ends it; one told earlier is the one it stands on.
    play.sessions.lost(play.now, streamer_id(2), ORIGIN, &mut play.ends);
    assert!(play.sessions.stands(streamer_id(2), 5));
    play.sessions.lost(play.now, streamer_id(2), play.now + ms(1), &mut play.ends);
    assert_eq!(play.ends.told(5), [(12, 41)]);
}

/// Guards against a viewer that floods one connection. Harm: a front that sends more in one wait is throttled.
#[test]
fn a_flood_on_one_connection_is_throttled_and_others_are_not() {
    let mut play = Play::new();
    (0..300).for_each(|wire_id| play.set_up(1, wire_id, &[]));
    let throttled = play.ends.sent.len();
    assert!(throttled > 100 && play.ends.sent.iter().all(|(_, frame)| frame[14] == 42));
    play.set_up(2, 999, &[]);
    assert!(play.ends.told(999).is_empty());
}

/// A request that the module has given up on has its final answer at once, with a time to come back.
#[test]
fn what_is_given_up_on_is_answered_in_that_round() {
    let mut play = Play::new();
    let gone = (0..STREAMERS).map(|n| entry(n, Health::Gone)).collect();
    play.sessions.list(Listing::Changes, gone);
    play.set_up(1, 5, &[]);
    play.pass(20);
    assert_eq!(play.ends.told(5), [(12, 42)]);
    let frame = &play.ends.sent[0].1;
    assert_eq!((frame[15], frame.len() > 18), (51, true), "it names how long to stay away");
}

/// Found on the long day: a streamer ended a subscription in the very moment in which it was moved, and its viewer, whose
/// move came to nothing, was not told. Harm: none, a release after a move means nothing to a viewer.
#[test]
fn an_end_that_crosses_a_move_is_told_and_the_moves_own_end_is_not() {
    for (cause, told) in [(31, vec![(51, 0)]), (16, vec![(51, 0), (12, 16)]), (41, vec![(51, 0), (12, 41)])] {
        let mut play = moving();
        play.sessions.ended_by_streamer(play.now, streamer_id(0), 5, cause, None, &mut play.ends);
        assert_eq!(play.ends.told(5), told);
        assert!(play.sessions.is_empty());
    }
    // A streamer that says nothing is told, and so is the viewer.
    let mut play = moving();
    play.pass(700);
    assert_eq!((play.ends.told(5), play.ends.said.len()), (vec![(51, 0), (12, 16)], 1));
    assert!(play.sessions.is_empty());
}

/// A subscription that the module has just moved.
fn moving() -> Play {
    let mut play = Play::new();
    let at = "home:0;copies:4;top:2;viewer:00000000b4d65521;at:s-00000000";
    play.set_up(1, 5, &[("extras", at), ("left", "4294967")]);
    let job = play.sessions.calls.job(5).expect("it is held");
    Dispatcher { now: play.now, calls: &mut play.sessions.calls, wires: &mut play.ends }
        .move_subscription(job);
    play
}

fn counted(unanswered: &Unanswered, by: By, step: Stood) -> u64 {
    unanswered.all().filter(|one| (one.0, one.1) == (by, step)).map(|one| one.2).sum()
}

/// A request was lost on the fleet with nothing in the program that told where: each set-up whose connection ends
/// without its answer is counted by who ended it and the step it stood at; one that was answered is not.
#[test]
fn a_set_up_whose_connection_ends_without_its_answer_is_counted_with_its_step() {
    let mut play = Play::new();
    let lost = |play: &Play, by, step| counted(&play.sessions.calls.unanswered, by, step);
    play.set_up(1, 0xa1, &[]);
    play.sessions.viewer_gone(play.now, 1, By::Viewer, &mut play.ends);
    assert_eq!(lost(&play, By::Viewer, Stood::Unplaced), 1);

    play.set_up(2, 0xa2, &[]);
    play.pass(20);
    assert!(play.ends.out.contains_key(&0xa2));
    play.sessions.viewer_gone(play.now, 2, By::Us, &mut play.ends);
    assert_eq!(lost(&play, By::Us, Stood::JoinOut), 1);

    play.set_up(3, 0xa3, &[]);
    play.pass(20);
    play.join_ends(0xa3, Ending::Error);
    play.sessions.viewer_gone(play.now, 3, By::Unreadable, &mut play.ends);
    assert_eq!(lost(&play, By::Unreadable, Stood::Between), 1);

    play.set_up(4, 0xa4, &[]);
    play.pass(20);
    play.ends.full.insert(4);
    play.answer(0xa4);
    assert_eq!(lost(&play, By::Network, Stood::NotTaken), 1);

    play.set_up(5, 0xa5, &[]);
    play.pass(20);
    assert!(play.answer(0xa5).is_some());
    play.sessions.viewer_gone(play.now, 5, By::Us, &mut play.ends);
    assert_eq!(play.sessions.calls.unanswered.all().map(|(_, _, count)| count).sum::<u64>(), 4);
}

/// A crowd that asks and closes is counted whole, and costs the log a line a second.
#[test]
fn a_crowd_of_ended_connections_costs_a_line_a_second() {
    let mut unanswered = Unanswered::default();
    let lost = Lost { wire_id: 7, by: By::Viewer, step: Stood::Unplaced, streamer: None, held: ms(3) };
    let said = (0..3000).filter(|n| unanswered.note(ORIGIN + ms(*n), &lost)).count();
    assert_eq!((said, counted(&unanswered, By::Viewer, Stood::Unplaced)), (3, 3000));
}

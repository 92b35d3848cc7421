//! Viewers' connections. Each is bounded in time until it has sent something whole, and only one without an open
//! set-up gives way to another. Releases of what was served earlier go out on connections that served viewers, so
//! the most recently used of those are kept however many others come.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use badgerledge_reactor::{Bounds, Line, Reactor};
use badgerledge_signalling::MAX_MESSAGE_BYTES;

/// A whole frame, and the answers to a flood of them.
pub const BOUNDS: Bounds = Bounds { input: MAX_MESSAGE_BYTES + 2, output: 4 * MAX_MESSAGE_BYTES };
/// A connection that was sent nothing, and has nothing open, for this long is closed, and one that owes the rest of a
/// frame. Under the three seconds in which one that sends what cannot be read must hear something.
const QUIET: Duration = Duration::from_secs(2);
/// A set-up follows its connection sooner than this, even where the machine is late.
const ON_ITS_WAY: Duration = Duration::from_millis(500);
/// One connection in so many is kept for those that served viewers and were used last: a release goes out on any of
/// them, and where all had given way to a crowd none could be sent until a viewer is served again.
const RESERVED_SHARE: usize = 4;
/// Releases that wait for a viewers' connection, at most: more are those of a front that is gone.
const OWED: usize = 4096;
/// How long a release waits for the front's connections to come back: by then nobody waits for it.
const OWED_FOR: Duration = Duration::from_secs(8);

/// How long a release counts as on its way: viewers say within a few milliseconds that they heard it, and must hear it
/// within a second. One that went out longer ago than this was heard, or its viewer never says so.
const UNHEARD_FOR: Duration = Duration::from_secs(1);

struct Viewer {
    since: Duration,
    /// When a set-up of it was last heard, else its start.
    asked: Duration,
    used: Duration,
    /// Something was sent to it.
    told: bool,
    /// The set-up that was answered last on it, and when.
    answered: Option<(u64, Duration)>,
    /// A set-up of it was answered, or handed over: it is viewers', and not a tester's.
    trusted: bool,
    /// Since when a part of a frame waits for its rest.
    part: Option<Duration>,
}

impl Viewer {
    fn value(&self, now: Duration, reserved: bool) -> Value {
        if reserved {
            return Value::Reserved;
        }
        if self.trusted {
            return Value::Served;
        }
        if self.told {
            return Value::Refused;
        }
        if now < self.since + ON_ITS_WAY {
            return Value::New;
        }
        Value::Silent
    }
}

/// A release, since when it is where it is, and the connection that it belongs to or went out on.
struct Release {
    since: Duration,
    line: Line,
    wire_id: u64,
    message: Vec<u8>,
}

pub struct Front {
    lines: BTreeMap<Line, Viewer>,
    /// Sent, and not said to have been heard by their viewers; oldest first.
    unheard: VecDeque<Release>,
    /// They wait for a connection.
    owed: Vec<Release>,
    most: usize,
}

/// Which connection without an open set-up gives way first, from the least to the most valuable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Value {
    /// Told nothing, though a set-up on its way would have come by now.
    Silent,
    /// Told something, but no viewer was ever served on it.
    Refused,
    /// It served viewers, and enough others did so later.
    Served,
    /// A first set-up may be on its way: a request on a connection that is closed is lost to its viewer.
    New,
    /// It served viewers, and is among the last used that did: releases need it.
    Reserved,
}

impl Front {
    pub fn new(most: usize) -> Self {
        Self { lines: BTreeMap::new(), unheard: VecDeque::new(), owed: Vec::new(), most }
    }

    pub fn lines(&self) -> impl Iterator<Item = Line> + '_ {
        self.lines.keys().copied()
    }

    /// Whether something is owed: a release that waits for a connection or whose connection may yet end before it is
    /// heard, or bytes that are not written.
    pub fn owes(&self, now: Duration, reactor: &Reactor) -> bool {
        let waits = self.owed.iter().any(|owed| now < owed.since + OWED_FOR);
        let unheard = self.unheard.iter().any(|unheard| now < unheard.since + UNHEARD_FOR);
        waits || unheard || self.lines().any(|line| reactor.unwritten(line) > 0)
    }

    pub fn is(&self, line: Line) -> bool {
        self.lines.contains_key(&line)
    }

    /// Whether one more connection needs another's place.
    pub fn is_full(&self) -> bool {
        self.lines.len() >= self.most
    }

    /// The connection without an open set-up that gives way first: of the least valuable ones the one unused for longest.
    pub fn gives_way(&self, now: Duration, open: impl Fn(Line) -> bool) -> Option<Line> {
        let reserved = self.reserved();
        let idle = self.lines.iter().filter(|(line, _)| !open(**line));
        let ranked = idle.map(|(line, viewer)| {
            let value = viewer.value(now, reserved.contains(line));
            (value, viewer.used, *line)
        });
        ranked.min().map(|(_, _, line)| line)
    }

    /// Those that served viewers and were used last.
    fn reserved(&self) -> BTreeSet<Line> {
        let served = self.lines.iter().filter(|(_, viewer)| viewer.trusted);
        let mut by_use: Vec<_> = served.map(|(line, viewer)| (viewer.used, *line)).collect();
        by_use.sort_unstable();
        let most = self.most.div_ceil(RESERVED_SHARE);
        by_use.into_iter().rev().take(most).map(|(_, line)| line).collect()
    }

    /// A connection came in.
    pub fn accepted(&mut self, line: Line, now: Duration) {
        let viewer = Viewer {
            asked: now,
            since: now,
            used: now,
            told: false,
            answered: None,
            trusted: false,
            part: None,
        };
        self.lines.insert(line, viewer);
    }

    /// A connection has ended. Releases that were just sent on it, and not heard, go again on another.
    pub fn gone(&mut self, line: Line, now: Duration, reactor: &mut Reactor) {
        self.lines.remove(&line);
        let (lost, others) = self.unheard.drain(..).partition(|unheard| unheard.line == line);
        self.unheard = others;
        for unheard in VecDeque::into_iter(lost).filter(|unheard| now < unheard.since + UNHEARD_FOR) {
            self.release(line, unheard.wire_id, unheard.message, now, reactor);
        }
    }

    /// Bytes came; `part` of a frame is left of them.
    pub fn read(&mut self, line: Line, now: Duration, part: bool) {
        let Some(viewer) = self.lines.get_mut(&line) else { return };
        viewer.used = now;
        viewer.part = part.then(|| viewer.part.unwrap_or(now));
    }

    /// A set-up came: it may be given up, and then no answer is owed on which to count the connection as told.
    pub fn asked(&mut self, line: Line, now: Duration) {
        self.lines.entry(line).and_modify(|viewer| viewer.asked = now);
    }

    /// The set-up that was answered last on a connection, and when.
    pub fn answered_last(&self, line: Line) -> Option<(u64, Duration)> {
        self.lines.get(&line)?.answered
    }

    /// Notes which set-up the answer just given was for.
    pub fn note_answered(&mut self, line: Line, wire_id: u64, now: Duration) {
        self.lines.entry(line).and_modify(|viewer| viewer.answered = Some((wire_id, now)));
    }

    pub fn answer(&mut self, line: Line, message: &[u8], reactor: &mut Reactor) -> bool {
        let Some(viewer) = self.lines.get_mut(&line) else { return false };
        viewer.told = true;
        reactor.send(line, &[message])
    }

    /// What came on it could only come from the front.
    pub fn trust(&mut self, line: Line, now: Duration, reactor: &mut Reactor) {
        let Some(viewer) = self.lines.get_mut(&line) else { return };
        viewer.trusted = true;
        for owed in std::mem::take(&mut self.owed) {
            if now < owed.since + OWED_FOR {
                self.release_since(owed, now, reactor);
            }
        }
    }

    /// A release on that connection, on another of the front's, or once there is one.
    pub fn release(
        &mut self, line: Line, wire_id: u64, message: Vec<u8>, now: Duration, reactor: &mut Reactor,
    ) {
        self.release_since(Release { since: now, line, wire_id, message }, now, reactor);
    }

    /// The same, for one that was owed since some time: where it has to wait it does not wait anew.
    fn release_since(&mut self, release: Release, now: Duration, reactor: &mut Reactor) {
        let Release { since, line, wire_id, message } = release;
        let own = self.answer(line, &message, reactor).then_some(line);
        let sent = own.or_else(|| {
            let others = self.lines.iter().filter(|(_, viewer)| viewer.trusted);
            let mut others: Vec<_> = others.map(|(line, viewer)| (viewer.used, *line)).collect();
            others.sort_unstable();
            let mut others = others.into_iter().rev().map(|(_, line)| line);
            others.find(|line| self.answer(*line, &message, reactor))
        });
        tracing::trace!(wire_id = format_args!("{wire_id:016x}"), own = line, ?sent, "a release");
        while self.unheard.front().is_some_and(|unheard| unheard.since + UNHEARD_FOR <= now) {
            self.unheard.pop_front();
        }
        match sent {
            Some(line) if self.unheard.len() < OWED => {
                self.unheard.push_back(Release { since: now, line, wire_id, message });
            }
            None if self.owed.len() < OWED => self.owed.push(Release { since, line, wire_id, message }),
            _ => {}
        }
    }

    /// A viewer says that it heard a release.
    pub fn release_heard(&mut self, wire_id: u64) {
        self.unheard.retain(|unheard| unheard.wire_id != wire_id);
    }

    /// The connections whose time is up.
    pub fn late(&self, now: Duration, open: impl Fn(Line) -> bool) -> Vec<Line> {
        self.lines.keys().copied().filter(|line| self.is_late(*line, now, &open)).collect()
    }

    /// Whether a connection's time is up. One that subscriptions were handed over on is told nothing until they end.
    pub fn is_late(&self, line: Line, now: Duration, open: impl Fn(Line) -> bool) -> bool {
        self.lines.get(&line).is_some_and(|viewer| {
            let quiet = !viewer.told && !viewer.trusted && now >= viewer.asked + QUIET;
            let part = viewer.part.is_some_and(|since| now >= since + QUIET);
            (quiet || part) && !open(line)
        })
    }
}

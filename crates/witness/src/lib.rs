//! Judges the six rules from the bytes at viewers' and streamers' ends and from what the list service sent, never
//! from what a controller says of itself.
//!
//! Those who hold these ends call a method for each thing they saw, in the order they saw it; [`Witness::verdict`]
//! then says of each rule how often it was put to the test and how often it was broken, with the first examples.
//! What a killed or stopped controller held is no longer its duty.

mod cold;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use badgerledge_core::interface::StreamerId;
use badgerledge_deployment::Shared;

use cold::Cold;

/// The rules, in the order of the brief.
pub const RULES: [&str; 6] = [
    "one answer before the client timeout",
    "never two joins out, unsafe room types never set up twice",
    "nothing new to a draining or gone streamer after the grace",
    "a cold streamer is not pushed over",
    "floors and seats are kept",
    "further joins stay within their budget",
];

/// What was seen of one rule.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Judged {
    pub tested: u64,
    pub broken: u64,
    /// The first few breaches.
    pub examples: Vec<String>,
}

/// Breaches that are told in words; the rest is counted.
const EXAMPLES: usize = 5;
/// What passes between a word's way out at the list service and its way in at a controller, and between a SETUP's
/// way out and in: loopback, but on a busy machine.
const ON_THE_WAY: Duration = Duration::from_millis(100);

/// A viewer's request, on one of its connections.
#[derive(Debug)]
struct Ask {
    viewer: u64,
    title: u64,
    room_type: usize,
    controller: u32,
    at: Duration,
    client_timeout: Duration,
    answers: u32,
    excused: bool,
    /// The process that it was sent to is dead: nobody knows of it any more.
    void: bool,
    /// The subscription that it asks for: a retry while the first try is out asks for the same.
    subscription: u64,
}

/// What was seen of one subscription, over its tries.
#[derive(Debug, Default)]
struct Subscription {
    /// SETUPs at streamers for it that were not proven never to have run.
    ran: u32,
    /// All SETUPs at streamers for it.
    joins: u32,
}

/// A SETUP at a streamer.
#[derive(Debug)]
struct Out {
    viewer: u64,
    title: u64,
    room_type: usize,
    controller: Option<u32>,
    ask: Option<u64>,
}

/// What was seen of one controller since its start.
#[derive(Debug, Default)]
struct Seen {
    asks: VecDeque<Duration>,
    further: VecDeque<Duration>,
    /// Streamers that it was told are off, since when.
    off: BTreeMap<StreamerId, Duration>,
    /// Seats taken by title and room type.
    seats: BTreeMap<(u64, usize), u32>,
    up: bool,
}

pub struct Witness {
    shared: Shared,
    rules: [Judged; 6],
    asks: BTreeMap<u64, Ask>,
    subscriptions: BTreeMap<u64, Subscription>,
    /// The newest ask of a viewer for a title.
    newest: BTreeMap<(u64, u64), u64>,
    outs: BTreeMap<u64, Out>,
    /// Joins out by viewer and title.
    out_of: BTreeMap<(u64, u64), u32>,
    controllers: BTreeMap<u32, Seen>,
    cold: BTreeMap<StreamerId, Cold>,
    /// When the first and the last controller was told that a streamer is off.
    told_off: BTreeMap<StreamerId, (Duration, Duration)>,
    /// All set-ups at streamers: when, where, and the title.
    set_ups: Vec<(Duration, StreamerId, u64)>,
}

impl Witness {
    pub fn new(shared: Shared) -> Self {
        Self {
            shared,
            rules: Default::default(),
            asks: BTreeMap::new(),
            subscriptions: BTreeMap::new(),
            newest: BTreeMap::new(),
            outs: BTreeMap::new(),
            out_of: BTreeMap::new(),
            controllers: BTreeMap::new(),
            cold: BTreeMap::new(),
            told_off: BTreeMap::new(),
            set_ups: Vec::new(),
        }
    }

    /// For each streamer that is off in the end, how long one controller was told so and another was not.
    pub fn contradicting_lists(&self) -> Vec<Duration> {
        self.told_off.values().map(|(first, last)| *last - *first).collect()
    }

    /// All set-ups that came to streamers: when, where, and the title.
    pub fn set_ups(&self) -> &[(Duration, StreamerId, u64)] {
        &self.set_ups
    }

    fn tested(&mut self, rule: usize) {
        self.rules[rule - 1].tested += 1;
    }

    fn broken(&mut self, rule: usize, why: impl FnOnce() -> String) {
        let judged = &mut self.rules[rule - 1];
        judged.broken += 1;
        if judged.examples.len() < EXAMPLES {
            judged.examples.push(why());
        }
    }

    /// A controller process runs from now on; what was seen of an earlier one is void.
    pub fn controller_up(&mut self, controller: u32) {
        let held = self.asks.values_mut().filter(|ask| ask.controller == controller && ask.answers == 0);
        held.for_each(|ask| (ask.excused, ask.void) = (true, true));
        self.controllers.insert(controller, Seen { up: true, ..Seen::default() });
    }

    /// A controller was killed, or stopped for a while: the requests that it holds are not its duty any more.
    pub fn controller_down(&mut self, controller: u32) {
        if let Some(seen) = self.controllers.get_mut(&controller) {
            seen.up = false;
        }
        let held = self.asks.values_mut().filter(|ask| ask.controller == controller && ask.answers == 0);
        held.for_each(|ask| ask.excused = true);
    }

    /// A stopped controller goes on, with all that it knew.
    pub fn controller_goes_on(&mut self, controller: u32) {
        self.controllers.entry(controller).or_default().up = true;
    }

    /// A viewer sent SETUP to a controller. `ask` numbers the viewer's requests.
    #[allow(clippy::too_many_arguments)]
    pub fn asked(
        &mut self, now: Duration, ask: u64, controller: u32, viewer: u64, title: u64, room_type: usize,
        client_timeout: Duration,
    ) {
        let seen = self.controllers.entry(controller).or_default();
        seen.asks.push_back(now);
        let excused = !seen.up;
        let first = self.newest.get(&(viewer, title)).and_then(|first| self.asks.get(first));
        let first = first.filter(|first| first.answers == 0 && first.controller == controller && !first.void);
        let subscription = first.map_or(ask, |first| first.subscription);
        self.subscriptions.entry(subscription).or_default();
        let (at, answers) = (now, 0);
        let made = Ask {
            viewer,
            title,
            room_type,
            controller,
            at,
            client_timeout,
            answers,
            excused,
            void: false,
            subscription,
        };
        self.asks.insert(ask, made);
        self.newest.insert((viewer, title), ask);
    }

    /// A final answer to a SETUP came to its viewer: the status.
    pub fn answered(&mut self, now: Duration, ask: u64, status: u16) {
        let Some(asked) = self.asks.get_mut(&ask) else { return };
        asked.answers += 1;
        let (answers, took, most) = (asked.answers, now - asked.at, asked.client_timeout);
        let (excused, room_type, viewer) = (asked.excused, asked.room_type, asked.viewer);
        let ran = self.subscriptions.get(&asked.subscription).map_or(0, |subscription| subscription.ran);
        self.tested(1);
        if answers > 1 {
            self.broken(1, || format!("ask {ask} has {answers} answers"));
        }
        if took > most && !excused {
            self.broken(1, || format!("ask {ask} was answered after {took:?}, over its {most:?}"));
        }
        if status == 503 && self.is_unsafe(room_type) && ran > 0 {
            self.broken(2, || {
                format!("viewer {viewer:x} of an unsafe room type was throttled after a join that may have run, at {now:?}")
            });
        }
    }

    /// A viewer gave a request up by itself before its time.
    pub fn gave_up(&mut self, ask: u64) {
        if let Some(asked) = self.asks.get_mut(&ask) {
            asked.excused = true;
        }
    }

    /// The viewer's time is over: without an answer the rule is broken.
    pub fn timed_out(&mut self, ask: u64) {
        let Some(asked) = self.asks.get(&ask).filter(|asked| !asked.excused && asked.answers == 0) else {
            return;
        };
        let (viewer, title, controller) = (asked.viewer, asked.title, asked.controller);
        self.tested(1);
        self.broken(1, || {
            format!(
                "ask {ask} of viewer {viewer:x} for title {title:x} at controller {controller} had no answer"
            )
        });
    }

    fn is_unsafe(&self, room_type: usize) -> bool {
        self.shared.room_types.get(room_type).is_some_and(|(_, told)| told.set_up_again == "single_shot")
    }

    /// The list service sent a controller what it says of a streamer.
    pub fn told(&mut self, now: Duration, controller: u32, streamer: StreamerId, off: bool) {
        let seen = self.controllers.entry(controller).or_default();
        if off {
            if !seen.off.contains_key(&streamer) {
                self.told_off.entry(streamer).or_insert((now, now)).1 = now;
            }
            seen.off.entry(streamer).or_insert(now);
        } else {
            self.told_off.remove(&streamer);
            seen.off.remove(&streamer);
        }
    }

    /// A streamer's process started, cold, with so many places.
    pub fn started(&mut self, now: Duration, streamer: StreamerId, places: f64) {
        let cold = Cold::new(now, places, &self.shared.rules);
        self.cold.insert(streamer, cold);
    }

    /// SETUP came to a streamer, on a connection that `join` numbers. Tells whether it fell over by it.
    #[allow(clippy::too_many_arguments)]
    pub fn set_up(
        &mut self, now: Duration, join: u64, streamer: StreamerId, viewer: u64, title: u64, room_type: usize,
        rung: u8,
    ) -> bool {
        self.set_ups.push((now, streamer, title));
        let ask = self.newest.get(&(viewer, title)).copied();
        let controller = ask.and_then(|ask| self.asks.get(&ask)).map(|ask| ask.controller);
        self.outs.insert(join, Out { viewer, title, room_type, controller, ask });
        self.check_out(viewer, title);
        if let Some(ask) = ask {
            self.check_ask(now, ask);
        }
        if let Some(controller) = controller {
            self.check_drain(now, controller, streamer);
            self.check_seats(controller, title, room_type);
        }
        self.check_floor(room_type, rung);
        let Some(cold) = self.cold.get_mut(&streamer).filter(|cold| cold.counts(now)) else { return false };
        let fell = cold.take(now);
        self.tested(4);
        if fell {
            self.broken(4, || format!("{streamer} fell over while cold, at {now:?}"));
        }
        fell
    }

    /// Rule 2, its second half: one join out for a viewer and title.
    fn check_out(&mut self, viewer: u64, title: u64) {
        let out = self.out_of.entry((viewer, title)).or_default();
        *out += 1;
        let out = *out;
        self.tested(2);
        if out > 1 {
            self.broken(2, || format!("viewer {viewer:x} has {out} joins out for title {title:x}"));
        }
    }

    /// Rules 2 and 6 of a request: what has run before, and the budget of further joins.
    fn check_ask(&mut self, now: Duration, ask: u64) {
        let Some(asked) = self.asks.get(&ask) else { return };
        let (room_type, controller, viewer) = (asked.room_type, asked.controller, asked.viewer);
        let Some(subscription) = self.subscriptions.get_mut(&asked.subscription) else { return };
        subscription.ran += 1;
        subscription.joins += 1;
        let (ran, joins) = (subscription.ran, subscription.joins);
        if self.is_unsafe(room_type) && ran > 1 {
            self.broken(2, || {
                format!("viewer {viewer:x} of an unsafe room type was set up {ran} times, at {now:?}")
            });
        }
        let span = Duration::from_millis(self.shared.rules.budget_window_ms);
        if joins < 2 || span.is_zero() {
            return;
        }
        let seen = self.controllers.entry(controller).or_default();
        seen.further.push_back(now);
        // The edges of a window are seen here a little later than there.
        seen.further.retain(|at| *at + span > now + ON_THE_WAY);
        seen.asks.retain(|at| *at + span + ON_THE_WAY > now);
        let (further, taken) = (seen.further.len() as f64, seen.asks.len() as f64);
        let most = f64::from(self.shared.rules.budget_few) + self.shared.rules.budget_share * taken;
        self.tested(6);
        if further > most {
            self.broken(6, || format!("controller {controller}: {further} further joins, {most:.1} at most"));
        }
    }

    fn check_drain(&mut self, now: Duration, controller: u32, streamer: StreamerId) {
        let grace = Duration::from_millis(self.shared.rules.drain_grace_ms) + ON_THE_WAY;
        let Some(seen) = self.controllers.get(&controller) else { return };
        let since = seen.off.get(&streamer).copied();
        // Each join is a test once the controller was told of any streamer that is off.
        if !seen.off.is_empty() {
            self.tested(3);
        }
        if let Some(since) = since.filter(|since| *since + grace < now) {
            let late = now - since;
            self.broken(3, || {
                format!("controller {controller}: SETUP to {streamer}, off for it since {late:?}")
            });
        }
    }

    fn check_seats(&mut self, controller: u32, title: u64, room_type: usize) {
        let most = self.shared.room_types.get(room_type).map_or(0, |(_, told)| told.seats);
        let seats =
            self.controllers.entry(controller).or_default().seats.entry((title, room_type)).or_default();
        *seats += 1;
        let taken = *seats;
        if most == 0 {
            return;
        }
        self.tested(5);
        if taken > most {
            self.broken(5, || {
                format!("controller {controller}: {taken} seats of {most} for title {title:x}")
            });
        }
    }

    /// A rung was set, by SETUP or SET_PARAMETER.
    pub fn check_floor(&mut self, room_type: usize, rung: u8) {
        let Some((name, told)) = self.shared.room_types.get(room_type) else { return };
        let (name, floor) = (name.clone(), told.floor);
        if floor == 0 {
            return;
        }
        self.tested(5);
        if rung < floor {
            self.broken(5, || format!("room type {name} at rung {rung}, under its floor {floor}"));
        }
    }

    /// The rung of a join that plays was set.
    pub fn stepped(&mut self, join: u64, rung: u8) {
        if let Some(out) = self.outs.get(&join) {
            self.check_floor(out.room_type, rung);
        }
    }

    /// The streamer turned a SETUP away unseen: it never ran.
    pub fn turned_away(&mut self, join: u64) {
        let ask = self.outs.get(&join).and_then(|out| out.ask).and_then(|ask| self.asks.get(&ask));
        let subscription = ask.and_then(|ask| self.subscriptions.get_mut(&ask.subscription));
        if let Some(subscription) = subscription {
            subscription.ran = subscription.ran.saturating_sub(1);
        }
        self.join_over(join);
    }

    /// A join's connection has ended at the streamer, or the streamer with it.
    pub fn join_over(&mut self, join: u64) {
        let Some(out) = self.outs.remove(&join) else { return };
        if let Some(count) = self.out_of.get_mut(&(out.viewer, out.title)) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.out_of.remove(&(out.viewer, out.title));
            }
        }
        let seen = out.controller.and_then(|controller| self.controllers.get_mut(&controller));
        if let Some(seats) = seen.and_then(|seen| seen.seats.get_mut(&(out.title, out.room_type))) {
            *seats = seats.saturating_sub(1);
        }
    }

    /// Of each rule, what was seen.
    pub fn verdict(&self) -> [Judged; 6] {
        self.rules.clone()
    }
}

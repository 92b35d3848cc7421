//! Every decision of badgerledge: where a subscription plays, at which rung, and when it is moved.
//!
//! How it is called: one `Controller` per instance; once a round `round(now, arrivals, &mut out)`, where
//! `arrivals` feeds each record that came in, in order, to the method that takes its fields; then the due
//! work runs. Decisions go straight into `out`. The interface is `interface.rs` beside this file, the
//! plain records are in `state.rs`. The mechanism and each departure from it: `docs/design.md`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde_json::{Map, Value};

use crate::chance::{scattered, Chance};
use crate::interface::{Asked, Ending, Health, JobId, Listing, Start, StreamerId, Writer};
use crate::state::{forget, Pipe, Pipes, Streamer, Subscription};
use crate::told::Told;
use crate::words::{self, Named, Word};

mod sums;

/// Share of a pipe that rungs may fill: 0.95 to 1.0 did better on all than 0.84, the design's 0.9 and 1.05.
const MARK: f64 = 0.94;
/// The design's tick.
const MOVE_TICK: Duration = Duration::from_secs(5);
/// Between two steps of one subscription: well over what a step costs, under the claim of 3 a minute.
const REST: Duration = Duration::from_secs(20);
const FRESH: Duration = Duration::from_secs(10); // A measure counts this long, some notes' time.
/// Between two looks at what waits, for a probe's answer too: 99 in 100 take 2 ms, a round is 10.
const LOOK: Duration = Duration::from_millis(40);
/// Holders probed for one join: one, two or three came out alike, two least uneven.
const LOOKED_AT: usize = 2;
/// What a join's look earns, of a subscription: 0.05 to 0.17 on four of the days with 300 controllers.
const EARNED: f64 = 0.1;
/// Own streamers are looked at again after this: 10 s came out alike, all the time cost more than it earned.
const LOOK_AGAIN: Duration = Duration::from_secs(6);
/// Part of the room, or of the excess, that who looked alone acts on: 0.8 did worse, its own part too.
const ALONE: f64 = 0.5;
const SURGE: f64 = 3.0; // Seconds in which requests are lately taken: a burst rises in as many.
/// A pipe that would be asked for more takes no join: 0.95 and 1.05 did worse, 1.2 worse where all is full.
const FULL: f64 = 1.0;
/// Tokens of the reminders: the one periodic timer, and the earliest of all else that is due.
const TOKEN_BEAT: u64 = 1;
const TOKEN_DUE: u64 = 2;

#[derive(Default)]
pub struct Controller {
    now: Duration,
    born: Duration,
    pub(crate) told: Told,
    chance: Chance,
    streamers: BTreeMap<StreamerId, Streamer>,
    pipes: Pipes,
    subs: BTreeMap<JobId, Subscription>,
    /// Subscriptions that wait for something, by when to look at them again.
    due: BTreeSet<(Duration, JobId)>,
    reminded: Option<Duration>,
    beat_at: Duration,
    move_at: Duration,
    /// Subscriptions were handed over: the day began with this instance.
    handed_over: bool,
    ask_list_at: Option<Duration>,
    taken: f64,
    /// The same, fading, and when it was last counted.
    lately: (Duration, f64),
    requests: VecDeque<Duration>,
    further: VecDeque<Duration>,
    /// Sum and count of the lives seen, and of the hints.
    lived: (f64, f64),
    hints: (f64, f64),
    price: f64,
    /// How full others make the usual uplink and the usual link.
    usual_use: [f64; 2],
    /// One throw a round decides all steps by chance, so that a link and its uplink agree.
    dice: f64,
    /// What may still cross from a building, or from any, in new joins, kB a second, where a budget is told.
    crossing: BTreeMap<Option<u16>, f64>,
}

impl Controller {
    pub fn new(now: Duration, seed: u64, options: Map<String, Value>) -> Self {
        let told = Told::new(options);
        let ask_list_at = (told.text("/discovery") == "subscribe").then_some(now);
        let (born, move_at, chance) = (now, now + MOVE_TICK, Chance(seed));
        Self { now, born, move_at, ask_list_at, told, chance, ..Self::default() }
    }

    /// One round: all that came in, then all that is due.
    pub fn round<W: Writer>(&mut self, now: Duration, arrivals: impl FnOnce(&mut Self, &mut W), out: &mut W) {
        (self.now, self.dice) = (now, self.chance.share());
        arrivals(self, out);
        if self.ask_list_at.take_if(|at| *at <= now).is_some() {
            out.observe(true);
        }
        while let Some((_, job)) = self.due.first().copied().filter(|due| due.0 <= now) {
            self.due.pop_first();
            if self.subs.get(&job).is_some_and(|s| s.at.is_none()) {
                self.place(job, out);
            }
        }
        if now >= self.beat_at {
            self.beat(out);
        }
        let reminded = self.reminded.unwrap_or(Duration::MAX);
        if let Some(at) = self.due.first().map(|due| due.0).filter(|at| *at < reminded) {
            self.reminded = Some(at);
            out.remind(at - now, TOKEN_DUE);
        }
    }

    fn beat<W: Writer>(&mut self, out: &mut W) {
        let beat = Duration::from_millis(200); // Far under the time between notes: a cut follows its note.
        self.beat_at = self.now + beat;
        out.remind(beat, TOKEN_BEAT);
        self.note_usual_use();
        self.price = self.fleet_price();
        self.look_round(out);
        self.shape(out);
        self.speak(out);
        if self.now >= self.move_at {
            // The random part keeps controllers from moving at one moment.
            self.move_at = self.now + MOVE_TICK.mul_f64(0.9 + 0.2 * self.chance.share());
            self.move_some(out);
        }
    }

    pub fn request(&mut self, job: JobId, asked: Asked) {
        self.requests.push_back(self.now);
        self.taken += 1.0;
        self.lately = (self.now, self.pace() * SURGE + 1.0);
        let hint = asked.hinted.map_or((0.0, 0.0), |hint| (hint.as_secs_f64(), 1.0));
        self.hints = (self.hints.0 + hint.0, self.hints.1 + hint.1);
        self.subs.insert(job, Subscription { asked, taken: self.now, ..Default::default() });
        self.due.insert((self.now, job));
    }

    pub fn resumed(&mut self, job: JobId, asked: Asked, streamer: StreamerId) {
        self.handed_over = true;
        // It may step once the first notes are in: they come each `toldEveryUs`, and late.
        let stepped = (self.now + self.told.every + self.told.late()).saturating_sub(REST);
        let (taken, plays, noted) = (self.now, true, true);
        self.subs.insert(job, Subscription { asked, taken, stepped, plays, noted, ..Default::default() });
        self.settle(job, Some(streamer), self.told.floor(&asked));
    }

    pub fn flowing(&mut self, job: JobId, _join: u16, streamer: StreamerId, _latency: Duration) {
        self.judge(streamer, true);
        if let Some(sub) = self.subs.get_mut(&job) {
            (sub.plays, sub.stepped) = (true, self.now);
        }
    }

    /// Notes on a playing subscription: 1 short delivery, 2 the rung, 3 the link, 4 the rack's uplink.
    pub fn progress(&mut self, job: JobId, streamer: StreamerId, kind: u8, value: f64) {
        let last = if self.told.lists("/report/fields", "x1") { 4 } else { 3 };
        let late = self.told.late();
        let Some(sub) = self.subs.get_mut(&job) else { return };
        // The notes that come with a set-up tell of now.
        let noted = sub.noted;
        sub.noted |= kind == last;
        let late = if noted { late } else { Duration::ZERO };
        match kind {
            1 => self.short(streamer, value),
            2 => self.settle(job, Some(streamer), value.max(0.0) as u8),
            3 => self.measure(Pipe::Link(streamer), value, late, false),
            4 => self.measure(self.uplink(streamer), value, late, false),
            _ => {}
        }
    }

    pub fn outcome(
        &mut self, job: JobId, streamer: StreamerId, _join: u16, ending: Ending, over: bool,
        _latency: Duration, usage: &[f64],
    ) {
        self.take_report(streamer, usage);
        let played = self.subs.get(&job).is_some_and(|s| s.plays);
        self.note_ending(streamer, ending, played);
        let Some(sub) = self.subs.get_mut(&job) else { return };
        if over {
            let life = (self.now - sub.taken).as_secs_f64();
            self.lived = if played { (self.lived.0 + life, self.lived.1 + 1.0) } else { self.lived };
            return drop(self.drop_sub(job));
        }
        if !ending.proves_it_never_ran() {
            sub.ran.push((streamer, sub.sent));
        }
        sub.tried.push(streamer);
        sub.plays = false;
        self.settle(job, None, 0);
        self.due.insert((self.now, job));
    }

    pub fn echo(&mut self, streamer: StreamerId, ending: Ending, _latency: Duration, usage: &[f64]) {
        let echoed = (ending == Ending::Served).then_some(self.now);
        self.streamers.entry(streamer).and_modify(|s| s.echoed = echoed.unwrap_or(s.echoed));
        self.take_report(streamer, usage);
    }

    /// Another tells what it measured. It says what others ask where nothing newer is known here; what this
    /// instance may ask goes by its own measures alone.
    pub fn peer(&mut self, _peer: u32, bytes: &[u8]) {
        for word in words::read(bytes) {
            let named = |name| self.streamers.keys().find(|id| words::name(**id) == name);
            let pipe = match word.pipe {
                Named::Link(name) => named(name).map(|id| Pipe::Link(*id)),
                Named::Uplink(number) => Some(Pipe::Uplink(number)),
            };
            let Some(pipe) = pipe else { continue };
            let (size, at) = (self.size(pipe), self.now.saturating_sub(word.age));
            let Some(g) = self.pipes.all.get_mut(&pipe) else { continue };
            g.told_at = self.now;
            if at > g.measured_at {
                g.others = (word.used * size - g.asked_at(at)).max(0.0);
                (g.measured, g.measured_at) = (true, at);
            }
        }
    }

    /// A fact told: what may cross from a building, or from any, in new joins, kB a second. Without a budget
    /// nothing is told.
    pub fn crossing(&mut self, from: Option<u16>, left: f64) {
        self.crossing.insert(from, left);
    }

    /// A fact told: the highest rung for now of a subscription that crosses. It is lowered at once, since
    /// what crosses is counted by the second.
    pub fn cap<W: Writer>(&mut self, job: JobId, cap: Option<u8>, out: &mut W) {
        let Some(sub) = self.subs.get_mut(&job) else { return };
        sub.cap = cap;
        let sub = sub.clone();
        let top = self.top(&sub);
        if sub.plays && sub.rung > top {
            self.subs.entry(job).and_modify(|s| s.stepped = self.now);
            self.settle(job, sub.at, top);
            out.step_to(job, top);
        }
    }

    /// A fact told: several others lost joins on a streamer lately. It does what a streak of own losses does,
    /// until a join works here. Guards against losing them oneself; harm: one wrongly blamed gets less.
    pub fn hearsay(&mut self, streamer: StreamerId) {
        self.set_aside(streamer);
    }

    pub fn list_entry(
        &mut self, id: StreamerId, zone: u16, kind: usize, cell: u32, health: Health, weight: f64,
        came_up: Start,
    ) {
        let s = self.streamers.entry(id).or_insert_with(|| Streamer::new(health, self.now));
        if came_up.at > s.came_up {
            // What was held against the old process is void.
            (s.served, s.terminated, s.away_until, s.broke) = (0.0, 0.0, Duration::ZERO, None);
            self.pipes.all.entry(Pipe::Link(id)).or_default().measured = false;
        }
        (s.zone, s.kind, s.cell, s.health, s.weight) = (zone, kind, cell, health, weight);
        (s.came_up, s.start, s.listed) = (came_up.at, came_up.number, true);
    }

    pub fn list_ends(&mut self, how: Listing) {
        if matches!(how, Listing::Complete | Listing::Cached) {
            self.streamers.values_mut().filter(|s| !s.listed).for_each(|s| s.health = Health::Gone);
        }
        forget(&mut self.streamers, &mut self.pipes, &self.subs);
        self.pipes.lay(&self.streamers, &self.told);
        self.sum_up();
        if how == Listing::Failed && self.told.text("/discovery") == "subscribe" {
            // Asked again after a second and a random part, well inside `askWithinUs`.
            let wait = Duration::from_secs(1) + self.chance.span(Duration::from_secs(1));
            self.ask_list_at = Some(self.now + wait);
        }
    }

    /// Share of its capacity that a link has warmed to: how is not told; the square errs to the safe side.
    fn warmth(&self, pipe: Pipe) -> f64 {
        let Pipe::Link(id) = pipe else { return 1.0 };
        let came_up = self.streamers.get(&id).map_or(Duration::ZERO, |s| s.came_up);
        if came_up.is_zero() || self.now >= came_up + self.told.warm_up {
            return 1.0;
        }
        let grown = self.now.saturating_sub(came_up).as_secs_f64() / self.told.warm_up.as_secs_f64();
        self.told.cold_from + (1.0 - self.told.cold_from) * grown.powi(2)
    }

    /// What others ask of a pipe: as measured, or for an uplink the sum over its links. A measure fades as
    /// long as it counts: what is not heard of is taken to be as full as what is.
    fn others(&self, pipe: Pipe) -> f64 {
        let (g, link) = (self.pipes.of(pipe), matches!(pipe, Pipe::Link(_)));
        if !link && !g.measured {
            return g.rack.iter().map(|id| self.others(Pipe::Link(*id))).sum();
        }
        let age = self.now.saturating_sub(g.measured_at).as_secs_f64();
        let fresh = if g.measured { (2.0 - age / FRESH.as_secs_f64()).clamp(0.0, 1.0) } else { 0.0 };
        let usual = self.usual_use[usize::from(link)] * self.warmth(pipe);
        fresh * g.others + (1.0 - fresh) * usual * self.size(pipe)
    }

    /// Lowered after short delivery by less than the design's 0.1 for 60 s: most causes are gone sooner.
    fn mark(&self, pipe: Pipe) -> f64 {
        let lowered = self.pipes.of(pipe).short_at.is_some_and(|at| self.now < at + Duration::from_secs(15));
        MARK - if lowered { 0.05 } else { 0.0 }
    }

    /// Sets a late measure against what this instance asked at that time; the rest is others'.
    fn measure(&mut self, pipe: Pipe, ratio: f64, late: Duration, alone: bool) {
        let (size, then) = (self.size(pipe), self.now.saturating_sub(late));
        let Some(g) = self.pipes.all.get_mut(&pipe) else { return };
        g.others = (ratio * size - g.asked_at(then)).max(0.0);
        (g.measured, g.measured_at, g.seen_at) = (true, self.now, self.now);
        self.allow(pipe, alone);
        // An uplink that nobody reports goes by its links and its stated size.
        let Pipe::Link(id) = pipe else { return };
        if !self.pipes.of(self.uplink(id)).measured {
            self.allow(self.uplink(id), alone);
        }
    }

    /// What this instance may ask until the next measure, which all who play there see at once: each gives
    /// back its part of an excess, then waits until that can show, or takes its part of the room. A part
    /// smaller than a step is a whole step by chance, be there three controllers or hundreds.
    fn allow(&mut self, pipe: Pipe, alone: bool) {
        // Rungs stay while use is this close to the mark: a step of one subscription is about as much.
        const BAND: f64 = 0.1;
        let (size, mark, late) = (self.size(pipe), self.mark(pipe), self.told.late());
        let total = self.use_of(pipe) * size;
        let room = mark * size - total;
        let chance = self.dice * self.usual_step(pipe, room > 0.0);
        let Some(g) = self.pipes.all.get_mut(&pipe) else { return };
        // What is told to nobody else at that time leaves more of the room to the one who looked.
        let share = g.asks / total.max(1.0);
        let part = if alone { share.max(ALONE) } else { share };
        if room < -BAND * size {
            if self.now >= g.cut_until {
                g.allowance = (g.asks + room * part + chance).min(g.asks);
                g.cut_until = self.now + late + Duration::from_millis(1500);
            }
        } else if room > BAND * size {
            // A raise leaves a twentieth free: true rates lie above the ladder's as often as below.
            g.allowance = g.asks + (room - 0.05 * size) * part + chance;
        } else {
            g.allowance = g.asks;
        }
    }

    /// The share delivered at a streamer, by a note not older than the next would be.
    fn delivered(&self, id: StreamerId) -> f64 {
        let noted = self.streamers.get(&id).map(|s| s.delivered);
        noted.filter(|(at, _)| self.now < *at + Duration::from_millis(1500)).map_or(1.0, |(_, share)| share)
    }

    /// Short delivery. A link known to be full explains it; so does the uplink where all of the rack that
    /// this instance hears of deliver short. Else the streamer itself ails: it is set aside, and what plays
    /// there may move; lower rungs would not help. Harm: a lone streamer is blamed for its uplink a while.
    fn short(&mut self, id: StreamerId, delivered: f64) {
        let delivered = delivered.max(0.01);
        self.streamers.entry(id).and_modify(|s| s.delivered = (self.now, delivered));
        if delivered >= 0.98 {
            return;
        }
        let (link, uplink) = (Pipe::Link(id), self.uplink(id));
        if self.use_of(link) > 0.9 {
            return self.fell_short(link, delivered);
        }
        let rack = self.pipes.of(uplink).rack.iter();
        let heard = rack.filter(|peer| self.pipes.of(Pipe::Link(**peer)).asks > 0.0);
        let best = heard.map(|peer| self.delivered(*peer)).fold(delivered, f64::max);
        if best >= 0.98 || self.use_of(uplink) < 0.6 {
            return self.set_aside(id);
        }
        self.fell_short(uplink, best);
    }

    /// A pipe that delivers this share was asked for so much more, whatever was last measured: reports may be
    /// late or stay out.
    fn fell_short(&mut self, pipe: Pipe, delivered: f64) {
        let (late, size, others) = (self.told.late(), self.size(pipe), self.others(pipe));
        let Some(g) = self.pipes.all.get_mut(&pipe) else { return };
        g.short_at = Some(self.now);
        let asked = others + g.asked_at(self.now.saturating_sub(late));
        if asked * delivered < size {
            self.measure(pipe, 1.0 / delivered, late, false);
        }
    }

    fn take_report(&mut self, id: StreamerId, usage: &[f64]) {
        let late = Duration::from_millis(500); // Reports are refreshed now and then, and travel.
        let alone = !self.told.together && self.now > self.born + FRESH / 2; // At a start all look at once.
        for (i, &value) in usage.iter().enumerate() {
            match self.told.item("/report/fields", i) {
                "x0" => self.measure(Pipe::Link(id), value, late, alone),
                "x1" => self.measure(self.uplink(id), value, late, alone),
                _ => {}
            }
        }
    }

    fn note_ending(&mut self, id: StreamerId, ending: Ending, played: bool) {
        let full_for = Duration::from_millis(600) + self.chance.span(Duration::from_millis(800));
        let Some(s) = self.streamers.get_mut(&id) else { return };
        match ending {
            Ending::Served | Ending::Cancelled | Ending::Moot => return,
            // A full streamer is busy, not ill: it is left alone for about a second.
            Ending::Full => return s.full_until = self.now + full_for,
            Ending::Error => {}
            Ending::Timeout | Ending::ConnectFailed | Ending::Reset => s.broke = Some(self.now),
        }
        // A stream is lost only with its streamer.
        match played {
            true => self.set_aside(id),
            false => self.judge(id, false),
        }
    }

    /// Counts a join for or against a streamer, and sets it aside when its share of failures lies far over
    /// the fleet's median.
    fn judge(&mut self, id: StreamerId, well: bool) {
        let lost = |s: &Streamer| s.terminated / (s.served + s.terminated).max(1.0);
        let Some(s) = self.streamers.get_mut(&id) else { return };
        // Halved every 8 s: some joins come to each streamer in that time.
        let fade = 0.5f64.powf((self.now - s.faded).as_secs_f64() / 8.0);
        (s.served, s.terminated, s.faded) = (s.served * fade, s.terminated * fade, self.now);
        if well {
            s.served += 1.0;
            s.away_until = Duration::ZERO;
            return;
        }
        s.terminated += 1.0;
        let share = lost(s);
        let mut shares: Vec<f64> = self.streamers.values().map(lost).collect();
        shares.sort_by(f64::total_cmp);
        // Two in five over the median: one lost join of two is enough, one of four is not.
        if share > shares[shares.len() / 2] + 0.4 {
            self.set_aside(id);
        }
    }

    /// It comes back after a fixed time, short since a try at a dead one costs little, with a random part.
    fn set_aside(&mut self, id: StreamerId) {
        let until = self.now + Duration::from_secs(4) + self.chance.span(Duration::from_secs(3));
        self.streamers.entry(id).and_modify(|s| s.away_until = s.away_until.max(until));
    }

    /// Rule 4: whether one more join may go to a streamer that is, or may be, cold. This instance's part is
    /// 1/`balancers` of what the window allows. A part under one whole join comes by turns: half of what all
    /// may send is counted in whole joins from the start on, and each `balancers`th is this instance's, good
    /// for one window. Either way all together stay under the budget, each keeping it alone.
    fn cold_allows(&self, id: StreamerId, s: &Streamer) -> bool {
        let (whole, window) = (self.told.warm_up.as_secs_f64(), self.told.window);
        let sent_within = |span: Duration| s.sent.iter().filter(|t| **t + span > self.now).count() as f64;
        // Trouble may mean a start that the list has not told yet, also of one that warms up from the last.
        let broke = s.broke.is_some_and(|broke| self.now < broke + self.told.warm_up * 2);
        let cold = !broke && !s.came_up.is_zero() && self.now < s.came_up + self.told.warm_up;
        if whole <= 0.0 || window.is_zero() || !cold && !broke {
            // So may a time before this instance's birth; who knows nothing spreads its joins by itself.
            let late_born = !self.handed_over && self.now < self.born + self.told.warm_up;
            return !late_born || sent_within(window + window) < 1.0;
        }
        let (from, since) = (self.told.cold_from, if cold { s.came_up } else { Duration::ZERO });
        let grows = if cold { (1.0 - from) / (3.0 * whole * whole) } else { 0.0 };
        let pace = self.told.multiple * self.told.places(s.kind) / whole;
        let sendable = |at: Duration| {
            let age = at.saturating_sub(since).as_secs_f64();
            pace * (from * age + grows * age.powi(3)) / self.told.balancers
        };
        let before = self.now.saturating_sub(window);
        let first = (scattered(id, s.start) + self.told.figure("/me", 0.0)) / self.told.balancers;
        let turns = |at: Duration| (0.5 * sendable(at) + first).floor();
        let part = f64::max(sendable(self.now) - sendable(before), turns(self.now) - turns(before));
        sent_within(window) + 1.0 <= part && self.now >= self.born + window
    }

    /// The design's load: remaining work over capacity. An uplink binds like a link.
    fn load(&self, id: StreamerId) -> f64 {
        let (link, uplink) = (Pipe::Link(id), self.use_of(self.uplink(id)));
        let here = self.subs.values().filter(|x| x.at == Some(id) && x.asked.hinted.is_some());
        let work = here.map(|x| self.told.rate(&x.asked, x.rung) * (self.hint_factor(x) - 1.0)).sum::<f64>();
        let link = self.use_of(link) + work / self.size(link);
        // A little of the lesser, so that streamers of one full rack still differ.
        link.max(uplink) + 0.2 * link.min(uplink)
    }

    /// The hinted time left over the mean hint, within the design's bounds.
    fn hint_factor(&self, sub: &Subscription) -> f64 {
        let Some(hint) = sub.asked.hinted else { return 1.0 };
        let left = hint.saturating_sub(self.now - sub.taken).as_secs_f64();
        (left * self.hints.1 / self.hints.0.max(0.1)).clamp(0.5, 2.0)
    }

    fn usable(&self, sub: &Subscription, id: StreamerId, s: &Streamer) -> bool {
        s.health == Health::Ready
            && s.listed
            && s.full_until <= self.now
            && sub.asked.held_by(s.cell, self.told.cells)
            && self.effect_allows(sub, id)
            && self.cold_allows(id, s)
            && self.may_cross(sub, s)
            && self.fits(sub, id)
    }

    /// Whether a link and its uplink, as lately measured, can carry one more at its floor.
    fn fits(&self, sub: &Subscription, id: StreamerId) -> bool {
        let least = self.told.rate(&sub.asked, self.told.floor(&sub.asked));
        [Pipe::Link(id), self.uplink(id)].into_iter().all(|pipe| {
            !self.pipes.of(pipe).fresh(self.now, FRESH) || self.use_of(pipe) + least / self.size(pipe) <= FULL
        })
    }

    /// Under a budget for crossing, whether a join at its floor fits what is left of it.
    fn may_cross(&self, sub: &Subscription, s: &Streamer) -> bool {
        let least = self.told.rate(&sub.asked, self.told.floor(&sub.asked));
        self.left_to_cross(s.zone).is_none_or(|(_, left)| least <= left)
    }

    /// What is left of the budget that binds between a building and this one, if any, and whose it is.
    fn left_to_cross(&self, from: u16) -> Option<(Option<u16>, f64)> {
        let of = |from| self.crossing.get(&from).map(|left| (from, *left));
        of(Some(from)).or_else(|| of(None)).filter(|_| from != self.told.zone)
    }

    /// Under a budget for crossing, the highest rung up to this one that fits what is left, which is spent.
    fn cross(&mut self, id: StreamerId, sub: &Subscription, rung: u8) -> u8 {
        let from = self.streamers.get(&id).map_or(self.told.zone, |s| s.zone);
        let Some((whose, left)) = self.left_to_cross(from) else { return rung };
        let (floor, rate) = (self.told.floor(&sub.asked), |rung| self.told.rate(&sub.asked, rung));
        let rung = (floor..=rung).rev().find(|rung| rate(*rung) <= left).unwrap_or(floor);
        let left = left - rate(rung);
        self.crossing.insert(whose, left);
        rung
    }

    /// The highest rung for now: what viewer, room type and ladder allow, and the cap where one was told.
    fn top(&self, sub: &Subscription) -> u8 {
        let (top, floor) = (self.told.top(&sub.asked), self.told.floor(&sub.asked));
        sub.cap.map_or(top, |cap| top.min(cap.max(floor)))
    }

    /// Whether a streamer's link was lately measured; a cold one's joins are spread by turns. What
    /// others told counts for three notes: of one that is silent they say no more.
    fn heard_of(&self, id: StreamerId) -> bool {
        let g = self.pipes.of(Pipe::Link(id));
        let told = g.fresh(self.now, self.told.every * 3);
        told || g.measured && self.now < g.seen_at + FRESH || self.warmth(Pipe::Link(id)) < 1.0
    }

    /// Of these, all that this instance hears of and some three drawn from the rest (1.5 or 6: no better).
    /// All guess alike: the least loaded by guess would draw hundreds to one streamer or rack at once.
    fn drawn(&mut self, ids: &[StreamerId]) -> BTreeSet<StreamerId> {
        let heard: BTreeSet<_> = ids.iter().copied().filter(|id| self.heard_of(*id)).collect();
        let unheard = (ids.len() - heard.len()) as f64;
        ids.iter().copied().filter(|id| self.chance.share() * unheard < 3.0 || heard.contains(id)).collect()
    }

    /// Whether a connection to a streamer is likely open, by its idle time. One that was made for notes alone
    /// is paid for by its first join.
    fn connected(&self, s: &Streamer) -> bool {
        let idle = self.told.span("/permissions/keepaliveUs", Duration::ZERO);
        self.now < s.sent.back().copied().unwrap_or_default().max(s.looked) + idle
    }

    /// The holders that may be used, least loaded first; those that are set aside come last.
    fn holders(&mut self, job: JobId) -> Vec<StreamerId> {
        let Some(sub) = self.subs.get(&job).cloned() else { return Vec::new() };
        let price = |path| self.told.figure(path, 0.0);
        let usual = if self.words_pay() { self.usual_rate() } else { 0.0 };
        // Twice a connection's price did better than once: 0.773 and 0.749 on six days of 300 controllers.
        let (crossing, handshake) = (price("/prices/crossZone"), 2.0 * price("/prices/handshake"));
        let usable = self.streamers.iter().filter(|(id, s)| self.usable(&sub, **id, s));
        let ids: Vec<_> = usable.map(|(id, _)| *id).collect();
        let drawn = self.drawn(&ids);
        let mut found = Vec::new();
        for id in ids {
            let s = &self.streamers[&id];
            let far = if s.zone == self.told.zone { 0.0 } else { crossing };
            let away = s.away_until > self.now || sub.tried.contains(&id) || s.silent(self.now, FRESH);
            let new = if self.connected(s) { 0.0 } else { handshake };
            // All see the same reports: a random part; with words as wide as what others may have added.
            let added = self.rivals(Pipe::Link(id)) * usual / self.size(Pipe::Link(id));
            let load = self.load(id) + far + new + added.max(0.04) * self.chance.share();
            found.push(((away, !drawn.contains(&id)), load, id));
        }
        found.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        found.into_iter().map(|found| found.2).collect()
    }

    /// Rule 2 for room types that must not be set up twice.
    fn effect_allows(&self, sub: &Subscription, id: StreamerId) -> bool {
        let same_group = |a: StreamerId| match (self.streamers.get(&a), self.streamers.get(&id)) {
            (Some(a), Some(b)) => match self.told.word(&sub.asked, "group") {
                "all" => true,
                "zone" => a.zone == b.zone,
                _ => a.cell == b.cell,
            },
            _ => false,
        };
        match self.told.word(&sub.asked, "effect") {
            "single_shot" => sub.ran.is_empty(),
            "guarded" => {
                let window =
                    self.told.span(&format!("/profiles/{}/windowUs", sub.asked.room_type), Duration::ZERO);
                // A join counts when it arrives, and may wait for its connection first.
                let arrives = self.now + self.told.span("/permissions/connectTimeoutUs", Duration::ZERO);
                sub.ran.iter().all(|(at, sent)| same_group(*at) && arrives <= *sent + window)
            }
            _ => true,
        }
    }

    /// Rule 2 again: whether a final answer may say that a further try does no harm.
    fn may_throttle(&self, sub: &Subscription) -> bool {
        match self.told.word(&sub.asked, "effect") {
            "single_shot" => sub.ran.is_empty(),
            "guarded" => sub.ran.is_empty() || self.told.word(&sub.asked, "group") == "all",
            _ => true,
        }
    }

    /// Rule 5: a free seat for the title and room type, joins that are out included.
    fn seat_free(&self, asked: &Asked) -> bool {
        let seats = self.told.nth("/familyInfo/licenceCap", asked.room_type, 0.0) as usize;
        let same = |s: &&Subscription| s.asked.title == asked.title && s.asked.room_type == asked.room_type;
        seats == 0 || self.subs.values().filter(same).filter(|s| s.at.is_some()).count() < seats
    }

    /// Rule 6: whether one more further join fits its budget.
    fn budget_allows(&mut self) -> bool {
        let span = self.told.span("/obligations/countedOverUs", Duration::ZERO);
        // One tick more is kept of the joins, so that an edge counted otherwise breaks nothing.
        let tick = self.told.span("/tickUs", Duration::from_millis(10));
        self.requests.retain(|t| *t + span > self.now);
        self.further.retain(|t| *t + span + tick >= self.now);
        let ratio = self.told.figure("/obligations/extraRatio", 0.0);
        let most = self.told.figure("/obligations/budgetFree", 0.0) + ratio * self.requests.len() as f64;
        span.is_zero() || self.further.len() as f64 + 1.0 <= most
    }

    /// Sends a subscription to its holder, lets it wait, or gives it up at once.
    fn place<W: Writer>(&mut self, job: JobId, out: &mut W) {
        let Some(sub) = self.subs.get(&job).cloned() else { return };
        let most = self.told.figure("/permissions/maxAttempts", 1.0).max(1.0) as u32;
        let again = sub.ran.is_empty() || self.streamers.keys().any(|id| self.effect_allows(&sub, *id));
        if sub.joins >= most || self.now >= sub.taken + sub.asked.client_timeout || !again {
            return self.give_up(job, out);
        }
        let free = self.seat_free(&sub.asked) && (sub.joins == 0 || self.budget_allows());
        let hope = |s: &Streamer| s.health == Health::Ready && sub.asked.held_by(s.cell, self.told.cells);
        let hope = self.streamers.is_empty() || self.streamers.values().any(hope);
        let wait = LOOK.max(Duration::from_millis(self.due.len() as u64 / 4)); // Thousands cost much.
        let holders = if free { self.holders(job) } else { Vec::new() };
        match holders.first().copied() {
            Some(id) if self.worth_a_look(&sub, id) => {
                self.subs.entry(job).and_modify(|s| s.looked = true);
                self.due.insert((self.now + LOOK, job));
                let looks = if self.words_pay() { 1 } else { LOOKED_AT };
                let unheard = holders.into_iter().filter(|id| !self.heard_of(*id)).take(looks);
                let unheard = unheard.filter(|id| self.streamers[id].looked + LOOK <= self.now);
                unheard.collect::<Vec<_>>().into_iter().for_each(|id| self.look(id, out));
            }
            Some(id) => self.join(job, id, sub.joins + 1 >= most, out),
            // Waiting helps while the join objective can still be met: a place, a seat or the list may come.
            None if hope && self.now + wait < sub.taken + self.told.join_objective(&sub.asked) => {
                self.due.insert((self.now + wait, job));
            }
            None => self.give_up(job, out),
        }
    }

    /// A join to a streamer not heard of waits once for probes, while its time allows: a viewer may be late.
    fn worth_a_look(&self, sub: &Subscription, id: StreamerId) -> bool {
        let time = self.now + LOOK < sub.taken + self.told.join_objective(&sub.asked);
        time && !sub.looked && self.told.probes_tell && !self.heard_of(id)
    }

    fn look<W: Writer>(&mut self, id: StreamerId, out: &mut W) {
        self.streamers.entry(id).and_modify(|s| s.looked = self.now);
        out.health_check(id);
    }

    /// Whether a subscription would step up were there room, and what it earned would pay for a look.
    fn may_rise(&self, sub: &Subscription) -> bool {
        let Some(step) = self.step(sub, sub.rung).filter(|step| step.0 >= self.price) else { return false };
        let price = self.told.figure("/prices/probe", 0.0) * self.told.usual_benefit() * self.life();
        let short = sub.at.is_some_and(|id| self.delivered(id) < 0.98);
        // One look in five is taken to find room.
        let pays = 0.2 * step.0 * step.1 * self.left(sub) > price;
        sub.plays && !short && pays && self.now >= sub.stepped + REST
    }

    /// A probe to each streamer where something may rise and that nothing was heard of for a while.
    fn look_round<W: Writer>(&mut self, out: &mut W) {
        let rising = self.subs.values().filter(|s| self.told.probes_tell && self.may_rise(s));
        let unheard = rising.filter_map(|s| s.at).filter(|id| {
            let looked = self.streamers.get(id).map_or(Duration::ZERO, |s| s.looked);
            let heard = looked.max(self.pipes.of(Pipe::Link(*id)).measured_at);
            heard.is_zero() || heard + LOOK_AGAIN <= self.now
        });
        let unheard: BTreeSet<_> = unheard.collect();
        unheard.into_iter().for_each(|id| self.look(id, out));
    }

    /// Whether words stand in for looks: looks cost more than they earn, and words less than looks.
    fn words_pay(&self) -> bool {
        let (told, every) = (&self.told, self.told.every.as_secs_f64());
        let looks = told.figure("/prices/probe", 0.0) * LOOKED_AT as f64;
        let taken = (self.mean_pace() * every).max(0.01) * 256.0;
        let word = told.figure("/prices/peer", 1.0) * (self.streamers.len() * words::LINK) as f64 / taken;
        told.probes_tell && told.allowed("/permissions/peers") && looks > EARNED && word < looks
    }

    /// Tells all what this instance measured and nobody told since the last notes: the draft's SERVSTAT, told
    /// by who hears it. One of all speaks a beat.
    fn speak<W: Writer>(&mut self, out: &mut W) {
        let (now, every) = (self.now, self.told.every);
        if !self.words_pay() || self.chance.share() * self.told.balancers >= 1.0 {
            return;
        }
        let untold = self.pipes.all.iter();
        let untold = untold.filter(|(_, g)| now < g.seen_at + every && g.told_at + every <= now);
        let word = |pipe, seen_at| Word { pipe, used: self.use_of(pipe), age: now - seen_at };
        let words: Vec<_> = untold.take(words::LINKS).map(|(pipe, g)| word(*pipe, g.seen_at)).collect();
        words.iter().for_each(|word| self.pipes.all.entry(word.pipe).or_default().told_at = now);
        if !words.is_empty() {
            out.signal(None, &words::write(&words));
        }
    }

    fn join<W: Writer>(&mut self, job: JobId, id: StreamerId, last: bool, out: &mut W) {
        let now = self.now;
        let Some(sub) = self.subs.get_mut(&job) else { return };
        (sub.sent, sub.noted) = (now, false);
        sub.joins += 1;
        let sub = sub.clone();
        self.further.extend((sub.joins > 1).then_some(now));
        self.streamers.entry(id).and_modify(|s| s.note_sent(now));
        let floor = self.told.floor(&sub.asked);
        self.settle(job, Some(id), floor);
        // The highest rung under the mark, shared with this instance's others there by what a step earns.
        let rung = self.fill(self.uplink(id), Some(id)).get(&job).copied().unwrap_or(floor);
        let rung = self.cross(id, &sub, rung);
        self.settle(job, Some(id), rung);
        if (rung > floor || sub.joins > 1) && rung <= self.top(&sub) {
            out.step_to(job, rung);
        }
        let ends = sub.taken + sub.asked.client_timeout;
        // A lost join leaves time for two more within the join objective; the last has all that is left.
        let patience = self.told.join_objective(&sub.asked).mul_f64(0.5);
        out.pass_on(job, id, if last { ends } else { ends.min(now + patience) });
    }

    /// Ends a subscription at once, and names a time to come back where allowed.
    fn give_up<W: Writer>(&mut self, job: JobId, out: &mut W) {
        let Some(sub) = self.drop_sub(job) else { return };
        if !self.may_throttle(&sub) {
            return out.respond_error(job);
        }
        // Half a second to one: a place or the list may have come by then, and viewers do not come as one.
        let wait = Duration::from_millis(500) + self.chance.span(Duration::from_millis(500));
        let most = self.told.span("/permissions/maxRetryAfterUs", Duration::ZERO);
        let named = self.told.allowed("/permissions/retryAfter");
        out.shed(job, if named { wait.min(most) } else { Duration::ZERO });
    }

    /// What this instance may ask of a pipe between measures: its allowance, for a join its part of the room
    /// among all that may have joined since, and never less than it asks while that is under the mark.
    fn budget(&self, pipe: Pipe, joining: bool) -> f64 {
        let g = self.pipes.of(pipe);
        let room = self.mark(pipe) * self.size(pipe) - self.others(pipe);
        g.allowance.max(match joining {
            true => g.asks + (room - g.asks) / (1.0 + self.rivals(pipe)),
            // Nor before any measure: a guess lowers nothing.
            false if g.asks <= room || g.allowance == 0.0 => g.asks,
            false => 0.0,
        })
    }

    /// Requests taken a second of late: a count that fades within seconds.
    fn pace(&self) -> f64 {
        self.lately.1 * (-(self.now - self.lately.0).as_secs_f64() / SURGE).exp() / SURGE
    }

    /// The same, no less than the mean since its birth.
    fn mean_pace(&self) -> f64 {
        self.pace().max(self.taken / (self.now - self.born).as_secs_f64().max(1.0))
    }

    /// Joins that others may have sent since a pipe was last measured, were all as busy as this instance.
    fn rivals(&self, pipe: Pipe) -> f64 {
        let since = self.now.saturating_sub(self.pipes.of(pipe).measured_at).min(FRESH).as_secs_f64();
        self.mean_pace() * (self.told.balancers - 1.0) * since * self.pipes.of(pipe).rack.len().max(1) as f64
            / self.streamers.len().max(1) as f64
    }

    /// What the next rung would earn for its rate, and that rate; nothing at the top.
    fn step(&self, sub: &Subscription, rung: u8) -> Option<(f64, f64)> {
        let [now, next] =
            [rung, rung.saturating_add(1)].map(|rung| self.told.rung(sub.asked.room_type, rung));
        let rate = (next.0 - now.0).max(1e-9);
        // What plays keeps its rung unless another earns far more with it: a switch costs, twice here.
        let held = if sub.plays && rung < sub.rung { 4.0 } else { 1.0 };
        (rung < self.top(sub)).then_some((held * (next.1 - now.1) / rate, rate))
    }

    /// The least that a step earns for its rate, were this instance's part of all links and uplinks given
    /// to its subscriptions, best steps first. Room met above that is left for those who come.
    fn fleet_price(&self) -> f64 {
        let ready = self.streamers.iter().filter(|(_, s)| s.health == Health::Ready);
        let links: f64 = ready.map(|(id, _)| self.size(Pipe::Link(*id))).sum();
        let racks = self.pipes.all.keys().filter(|pipe| matches!(pipe, Pipe::Uplink(_)));
        let even = MARK * links.min(racks.map(|rack| self.size(*rack)).sum()) / self.told.balancers;
        let placed = || self.subs.values().filter(|s| s.at.is_some());
        let own: f64 = placed().map(|s| self.told.rate(&s.asked, s.rung)).sum();
        // Viewers are spread unevenly: half way, in ratio, to the part that goes by what this instance asks.
        let used = self.usual_use[0].max(self.usual_use[1]) / (1.0 - 1.0 / self.told.balancers).max(0.5);
        let mut left = if used > 0.0 { (even * own * MARK / used.max(0.1)).sqrt() } else { even };
        let mut steps = Vec::new();
        for sub in placed() {
            let fresh = Subscription { asked: sub.asked, ..Default::default() };
            left -= self.told.rate(&sub.asked, self.told.floor(&sub.asked));
            steps.extend((self.told.floor(&sub.asked)..).map_while(|rung| self.step(&fresh, rung)));
        }
        steps.sort_by(|a, b| b.0.total_cmp(&a.0));
        let first_out = steps.into_iter().find(|step| {
            left -= step.1;
            left < 0.0
        });
        first_out.map_or(0.0, |step| step.0)
    }

    /// Fills a rack's links and its uplink with this instance's subscriptions: from their floors up, always
    /// the step that earns most for its rate, while link and uplink have room.
    fn fill(&self, uplink: Pipe, joining: Option<StreamerId>) -> BTreeMap<JobId, u8> {
        let mut links: BTreeMap<StreamerId, f64> = BTreeMap::new();
        let mut left = self.budget(uplink, joining.is_some());
        let next = |sub, rung| self.step(sub, rung).filter(|step| step.0 >= self.price);
        let mut open = Vec::new();
        for (job, sub) in &self.subs {
            let Some(id) = sub.at.filter(|id| self.uplink(*id) == uplink) else { continue };
            let link = links.entry(id).or_insert_with(|| self.budget(Pipe::Link(id), joining == Some(id)));
            let floor = self.told.floor(&sub.asked);
            *link -= self.told.rate(&sub.asked, floor);
            left -= self.told.rate(&sub.asked, floor);
            open.push((*job, sub, id, floor, next(sub, floor)));
        }
        loop {
            let steps = open.iter().enumerate().filter_map(|(i, o)| Some((i, o.4?)));
            let Some((i, (_, rate))) = steps.max_by(|a, b| a.1 .0.total_cmp(&b.1 .0)) else { break };
            let (_, sub, id, rung, step) = &mut open[i];
            let Some(link) = links.get_mut(id).filter(|link| **link >= rate && left >= rate) else {
                *step = None;
                continue;
            };
            (*link, left, *rung) = (*link - rate, left - rate, *rung + 1);
            *step = next(sub, *rung);
        }
        open.into_iter().map(|o| (o.0, o.3)).collect()
    }

    /// Each beat: lowers what is over its allowance at once, raises what has room, seldom for any one.
    fn shape<W: Writer>(&mut self, out: &mut W) {
        let own = self.subs.values().filter_map(|s| Some(self.uplink(s.at?)));
        for uplink in own.collect::<BTreeSet<_>>() {
            let over = |c: &Self, pipe| c.pipes.of(pipe).asks > c.budget(pipe, false) + 1e-6;
            let over_uplink = over(self, uplink);
            for (job, rung) in self.fill(uplink, None) {
                let Some(sub) = self.subs.get_mut(&job) else { continue };
                let Some(id) = sub.at.filter(|_| sub.plays && rung != sub.rung) else { continue };
                let (lower, rested) = (rung < sub.rung, self.now >= sub.stepped + REST);
                if rested && !lower || lower && (over_uplink || over(self, Pipe::Link(id))) {
                    // After a cut it rests 8 s: a crowd leaves as it came (12 and 20 s did worse).
                    let stepped = self.now.saturating_sub(Duration::from_secs(12 * u64::from(lower)));
                    self.subs.entry(job).and_modify(|s| s.stepped = stepped);
                    self.settle(job, Some(id), rung);
                    out.step_to(job, rung);
                }
            }
        }
    }

    /// The design's tick: own subscriptions go from A to a holder y when LB + x <= LA - x with its margin,
    /// y has room under the mark, and the move earns more than its price. The design's cap of two a tick.
    fn move_some<W: Writer>(&mut self, out: &mut W) {
        for _ in 0..2 {
            let mut best: Option<(f64, JobId)> = None;
            let well = self.streamers.iter().filter(|(_, s)| s.away_until <= self.now);
            let drawn = self.drawn(&well.map(|(y, _)| *y).collect::<Vec<_>>());
            let fit: Vec<_> = drawn.iter().map(|y| (*y, &self.streamers[y], self.load(*y))).collect();
            for (job, sub) in self.subs.iter().filter(|(_, s)| s.plays && !s.asked.moved) {
                let Some(a) = sub.at else { continue };
                // What delivers short is at least that full.
                let delivered = self.delivered(a);
                let la = self.load(a).max(if delivered < 0.98 { 1.0 / delivered } else { 0.0 });
                for (y, s, lb) in fit.iter().filter(|(y, _, lb)| *y != a && la - lb > 0.1) {
                    let gain = self.move_gain(sub, (a, la, delivered), (*y, *lb));
                    if gain > best.map_or(0.0, |b| b.0) && self.usable(sub, *y, s) {
                        best = Some((gain, *job));
                    }
                }
            }
            let Some((_, job)) = best else { return };
            self.drop_sub(job);
            out.shift(job);
        }
    }

    /// The mean life so far, in seconds, with four of half a minute counted in.
    fn life(&self) -> f64 {
        (120.0 + self.lived.0) / (4.0 + self.lived.1)
    }

    /// What is left of a subscription, in seconds.
    fn left(&self, sub: &Subscription) -> f64 {
        let age = self.now - sub.taken;
        match sub.asked.hinted {
            Some(hint) => hint.saturating_sub(age).as_secs_f64(),
            // Lives differ: what is left is the mean less the age, and a quarter of it for the long ones.
            None => (self.life() - age.as_secs_f64()).max(self.life() / 4.0),
        }
    }

    /// What a move would earn, in seconds of benefit, less its price; nothing where the design forbids it.
    fn move_gain(
        &self, sub: &Subscription, (a, la, delivered): (StreamerId, f64, f64), (y, lb): (StreamerId, f64),
    ) -> f64 {
        let rate = |rung| self.told.rate(&sub.asked, rung);
        let x = rate(sub.rung) * self.hint_factor(sub) / self.size(Pipe::Link(y));
        let (link, uplink) = (Pipe::Link(y), self.uplink(y));
        let fits = |pipe, rung| self.use_of(pipe) + rate(rung) / self.size(pipe) < self.mark(pipe);
        let room = |rung: &u8| fits(link, *rung) && (self.uplink(a) == uplink || fits(uplink, *rung));
        if lb + x > la - x || la - lb <= 2.0 * x + 0.1 || !room(&sub.rung) {
            return 0.0;
        }
        // What fill would hold back by the price is not counted on.
        let paid = |r: &u8| *r <= sub.rung || self.step(sub, *r - 1).is_some_and(|s| s.0 >= self.price);
        let best = (sub.rung..=self.top(sub)).rev().find(|r| room(r) && paid(r)).unwrap_or(sub.rung);
        let missing = (0.98 - delivered).max(0.0) * self.told.figure("/familyInfo/stall", 5.0);
        let kept = self.told.earns(&sub.asked, sub.rung) * (1.0 - missing).max(0.0);
        let higher = self.told.earns(&sub.asked, best) - kept;
        let price = self.told.figure("/prices/moves", 0.0) * self.told.usual_benefit() * self.life();
        // Gains are reckoned from rough figures; and a second is lost on the way.
        0.7 * higher * self.left(sub) - price - self.told.earns(&sub.asked, sub.rung)
    }
}

//! Which relay serves, which one is tried, and which are left alone for a while.
//!
//! At most two connections are open: that of the relay that serves and that of one that is tried. A relay that serves
//! badly is kept until another has shown that it serves (make before break); one that breaks the protocol is left at
//! once. Pauses grow with each attempt that fails, up to a bound, and are spread by chance.

use std::time::Duration;

use badgerledge_core::random::Rng;
use thiserror::Error;

use crate::lease::{LEASE, REQUESTS_IN_A_LEASE};
use crate::{MachineId, Number};

/// A connection that is not open after so long is given up.
const CONNECT_PATIENCE: Duration = Duration::from_secs(2);
/// A relay that has not answered the first message after so long is left.
const WELCOME_PATIENCE: Duration = Duration::from_secs(1);
/// A relay that has shown no grants of a quorum for so long is silent.
const GRANT_PATIENCE: Duration = Duration::from_secs(LEASE.as_secs() / 2);
/// A relay that has begun no update for so long, while one is wanted, lags.
const OFFER_PATIENCE: Duration = Duration::from_secs(3);
/// A relay that has sent no part for so long, while parts are asked for, lags.
const PART_PATIENCE: Duration = Duration::from_secs(15);
/// A relay under which an update is wanted for so long lags, whatever it sends.
/// Longer than most snapshots take at the rate at which relays send them.
const UPDATE_PATIENCE: Duration = Duration::from_secs(600);
/// A relay that has been silent for so long is left, also where no other serves.
const SILENCE_PATIENCE: Duration = Duration::from_secs(30);
/// After so much good service a more preferred relay is tried, and after as much chance again.
const RETURN_AFTER: Duration = Duration::from_secs(60);
const RETURN_SPREAD: Duration = Duration::from_secs(15);
/// After so much good service of one relay the failures of all are forgotten.
const FORGIVE_AFTER: Duration = Duration::from_secs(10);
/// A relay that broke the protocol is not tried for so long.
const REFUSED_PAUSE: Duration = Duration::from_secs(60);
/// What a relay asks for before it is tried again is held to, within these.
const BUSY_PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(60));
/// The pause before a relay that failed is tried again: doubled with each failure.
const RELAY_PAUSE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(30));
/// The pause before any relay is tried after one failed: doubled with each failure.
const ATTEMPT_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));
/// So many updates of a relay may lead to nothing in a row.
const MOST_RESTARTS: u32 = 8;

/// What came on a connection contradicts what came on it before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum Contradiction {
    #[error("it answers more first messages than it was sent")]
    SecondWelcome,
    #[error("it was control machine {0} and says that it is {1}")]
    Machine(MachineId, MachineId),
    #[error("it offered revision {0} and now says {1}")]
    WentBack(Number, Number),
    #[error("{0} of its updates in a row led to nothing")]
    Restarts(u32),
}

/// What a link wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkAction {
    Connect(usize),
    Close(usize),
    AskLease(usize),
}

/// Why a relay is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Leave {
    /// It could not be reached, was silent or lagged, or another one is preferred.
    Failed,
    /// It is at its bound and asks for this pause.
    Busy(Duration),
    /// It broke the protocol, or sent what does not verify.
    Refused,
    /// It has no more than the relay that serves.
    NoBetter,
    /// Another relay serves; there is nothing against this one.
    NotNeeded,
}

/// What the links go by besides what they see themselves.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted {
    /// The highest revision whose state is held.
    pub held: Number,
    /// The highest that is known to be certified.
    pub certified: Number,
    /// Since when an update is known to be wanted.
    pub since: Option<Duration>,
    /// The relay that parts of a snapshot are asked of.
    pub source: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Closed,
    Connecting,
    /// Connected; it has not answered the first message.
    Greeting,
    Welcomed,
}

/// What is known of one relay.
#[derive(Clone, Debug)]
struct Link {
    phase: Phase,
    /// When the phase began.
    since: Duration,
    /// It is not tried before that.
    avoid_until: Duration,
    failures: u32,
    /// It showed grants when it was left, and would serve where no other does.
    is_spare: bool,
    machine: Option<MachineId>,
    /// The highest revision that it says it holds, and since when it says so.
    claimed: Number,
    claimed_at: Duration,
    /// First messages that it was sent and has not answered.
    greetings: u32,
    /// When it last showed grants of a quorum.
    granted: Option<Duration>,
    /// When it last began an update or brought a part of one.
    updated: Option<Duration>,
    next_ask: Duration,
    /// Whether it was ever asked for parts of a snapshot.
    asked_parts: bool,
    /// Updates that it began and that led to nothing, since the last one that did.
    restarts: u32,
}

impl Link {
    fn new(now: Duration) -> Self {
        Self {
            phase: Phase::Closed,
            since: now,
            avoid_until: now,
            failures: 0,
            is_spare: false,
            machine: None,
            claimed: 0,
            claimed_at: now,
            greetings: 0,
            granted: None,
            updated: None,
            next_ask: now,
            asked_parts: false,
            restarts: 0,
        }
    }

    fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Greeting | Phase::Welcomed)
    }

    fn enter(&mut self, now: Duration, phase: Phase) {
        (self.phase, self.since) = (phase, now);
    }

    /// When it counts as silent.
    fn silent_at(&self) -> Duration {
        self.since.max(self.granted.unwrap_or_default()) + GRANT_PATIENCE
    }

    /// When it lags behind what is wanted.
    fn lags_at(&self, place: usize, wanted: &Wanted) -> Option<Duration> {
        let claims_more = (self.claimed > wanted.held).then_some(self.claimed_at);
        let since = wanted.since.or(claims_more)?.max(self.since);
        let patience = if wanted.source == Some(place) { PART_PATIENCE } else { OFFER_PATIENCE };
        let last = since.max(self.updated.unwrap_or_default());
        Some((last + patience).min(since + UPDATE_PATIENCE))
    }

    /// When another relay is looked for while this one serves.
    fn suspect_at(&self, place: usize, wanted: &Wanted) -> Duration {
        let silent = self.silent_at();
        self.lags_at(place, wanted).map_or(silent, |lags| lags.min(silent))
    }

    /// When it is given up, by itself, while it is tried or serves.
    fn gives_up_at(&self) -> Option<Duration> {
        match self.phase {
            Phase::Closed => None,
            Phase::Connecting => Some(self.since + CONNECT_PATIENCE),
            Phase::Greeting => Some(self.since + WELCOME_PATIENCE),
            Phase::Welcomed => Some(self.silent_at() - GRANT_PATIENCE + SILENCE_PATIENCE),
        }
    }
}

/// All relays, by their place in the order of preference.
pub(super) struct Links {
    links: Vec<Link>,
    chance: Rng,
    serving: Option<usize>,
    trying: Option<usize>,
    /// No relay is tried before that.
    next_attempt: Duration,
    attempts: u32,
    /// Since when the present relay serves well.
    good_since: Duration,
    /// The more preferred relay that is tried next while the present one serves well.
    returning: Option<usize>,
    /// How much longer than the least this time before a return is tried.
    return_spread: Duration,
    refused: u64,
}

impl Links {
    pub fn new(relays: usize, seed: u64, now: Duration) -> Self {
        let mut chance = Rng(seed);
        let return_spread = chance.random_duration(RETURN_SPREAD);
        Self {
            links: vec![Link::new(now); relays],
            chance,
            serving: None,
            trying: None,
            next_attempt: now,
            attempts: 0,
            good_since: now,
            returning: None,
            return_spread,
            refused: 0,
        }
    }

    pub fn serving(&self) -> Option<(usize, Option<MachineId>)> {
        let place = self.serving?;
        Some((place, self.links.get(place)?.machine))
    }

    pub fn trying(&self) -> Option<usize> {
        self.trying
    }

    /// Connections that were left because of what came on them.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    pub fn is_open(&self, place: usize) -> bool {
        self.links.get(place).is_some_and(Link::is_open)
    }

    /// The relays whose connections are open.
    pub fn open(&self) -> impl Iterator<Item = usize> + '_ {
        self.links.iter().enumerate().filter(|(_, link)| link.is_open()).map(|(place, _)| place)
    }

    /// A connection is open. Tells whether it was asked for.
    pub fn opened(&mut self, now: Duration, place: usize) -> bool {
        let connecting = |link: &&mut Link| link.phase == Phase::Connecting;
        let Some(link) = self.links.get_mut(place).filter(connecting) else { return false };
        let (avoid_until, failures) = (link.avoid_until, link.failures);
        *link = Link { avoid_until, failures, phase: Phase::Greeting, ..Link::new(now) };
        true
    }

    /// It was sent a first message.
    pub fn greeted(&mut self, place: usize) {
        if let Some(link) = self.links.get_mut(place) {
            link.greetings = link.greetings.saturating_add(1);
        }
    }

    /// It answered a first message.
    ///
    /// # Errors
    /// Where it contradicts what it said before on this connection.
    pub fn welcomed(
        &mut self, now: Duration, place: usize, machine: MachineId, number: Number,
    ) -> Result<(), Contradiction> {
        let Some(link) = self.links.get_mut(place) else { return Ok(()) };
        link.greetings = link.greetings.checked_sub(1).ok_or(Contradiction::SecondWelcome)?;
        if let Some(before) = link.machine.replace(machine).filter(|before| *before != machine) {
            return Err(Contradiction::Machine(before, machine));
        }
        if link.phase == Phase::Greeting {
            link.enter(now, Phase::Welcomed);
        }
        self.offered(now, place, number)
    }

    /// It says that it holds this revision.
    ///
    /// # Errors
    /// Where it said before that it holds a higher one.
    pub fn offered(&mut self, now: Duration, place: usize, number: Number) -> Result<(), Contradiction> {
        let Some(link) = self.links.get_mut(place) else { return Ok(()) };
        if number < link.claimed {
            return Err(Contradiction::WentBack(link.claimed, number));
        }
        if number > link.claimed {
            (link.claimed, link.claimed_at) = (number, now);
        }
        Ok(())
    }

    /// It began an update or brought a part of one.
    pub fn updated(&mut self, now: Duration, place: usize) {
        if let Some(link) = self.links.get_mut(place) {
            link.updated = Some(now);
        }
    }

    /// An update that it began led to a revision.
    pub fn completed(&mut self, now: Duration, place: usize) {
        self.updated(now, place);
        if let Some(link) = self.links.get_mut(place) {
            link.restarts = 0;
        }
    }

    /// An update that it began led to nothing.
    ///
    /// # Errors
    /// Where that happened too often on this connection.
    pub fn restarted(&mut self, place: usize) -> Result<(), Contradiction> {
        let Some(link) = self.links.get_mut(place) else { return Ok(()) };
        link.restarts += 1;
        match link.restarts > MOST_RESTARTS {
            true => Err(Contradiction::Restarts(link.restarts)),
            false => Ok(()),
        }
    }

    /// It is asked for parts of a snapshot.
    pub fn asks_parts(&mut self, place: usize) {
        if let Some(link) = self.links.get_mut(place) {
            link.asked_parts = true;
        }
    }

    /// Whether it was asked for parts of a snapshot on this connection.
    pub fn was_asked_parts(&self, place: usize) -> bool {
        self.links.get(place).is_some_and(|link| link.asked_parts)
    }

    /// It showed grants of a quorum over a nonce of this watcher.
    pub fn granted(&mut self, now: Duration, place: usize) {
        if let Some(link) = self.links.get_mut(place) {
            link.granted = Some(now);
        }
    }

    /// A lease is asked for at once on the connection of the relay that serves.
    pub fn ask_soon(&mut self, now: Duration) {
        let serving = self.serving.and_then(|place| self.links.get_mut(place));
        if let Some(link) = serving {
            link.next_ask = link.next_ask.min(now);
        }
    }

    /// The connection to a relay is gone.
    pub fn closed(&mut self, now: Duration, place: usize) {
        if self.links.get(place).is_some_and(|link| link.phase != Phase::Closed) {
            self.leave(now, place, Leave::Failed);
        }
    }

    /// Leaves a relay; its connection is to be closed.
    pub fn leave(&mut self, now: Duration, place: usize, why: Leave) {
        let share = self.chance.unit_interval();
        let Some(link) = self.links.get_mut(place) else { return };
        link.enter(now, Phase::Closed);
        link.is_spare = matches!(why, Leave::NoBetter | Leave::NotNeeded);
        let pause = match why {
            Leave::NotNeeded => Duration::ZERO,
            Leave::Refused => REFUSED_PAUSE,
            Leave::Busy(pause) => pause.clamp(BUSY_PAUSE.0, BUSY_PAUSE.1).mul_f64(1.0 + share / 4.0),
            Leave::Failed | Leave::NoBetter => growing_pause(RELAY_PAUSE, link.failures, share),
        };
        link.avoid_until = now + pause;
        let served = link.granted.is_some();
        if matches!(why, Leave::Failed | Leave::NoBetter) {
            link.failures = link.failures.saturating_add(1);
        }
        self.refused += u64::from(why == Leave::Refused);
        if self.serving == Some(place) {
            self.serving = None;
            self.recall_spares(now, served);
        }
        if self.trying == Some(place) {
            self.trying = None;
            if let Some(next) = self.returning.as_mut() {
                *next = place + 1;
            }
        }
        if why != Leave::NotNeeded {
            let pause = growing_pause(ATTEMPT_PAUSE, self.attempts, self.chance.unit_interval());
            self.next_attempt = self.next_attempt.max(now + pause);
            self.attempts = self.attempts.saturating_add(1);
        }
    }

    /// Nobody serves any more: relays that were left only because another one served may be tried at once.
    fn recall_spares(&mut self, now: Duration, served: bool) {
        for link in self.links.iter_mut().filter(|link| link.is_spare) {
            link.avoid_until = now;
        }
        if served {
            (self.attempts, self.next_attempt) = (0, now);
        }
    }

    fn leave_and_close(&mut self, now: Duration, place: usize, why: Leave, actions: &mut Vec<LinkAction>) {
        self.leave(now, place, why);
        actions.push(LinkAction::Close(place));
    }

    fn is_suspect(&self, now: Duration, place: usize, wanted: &Wanted) -> bool {
        self.links.get(place).is_some_and(|link| now >= link.suspect_at(place, wanted))
    }

    fn is_silent(&self, now: Duration, place: usize) -> bool {
        self.links.get(place).is_some_and(|link| now >= link.silent_at())
    }

    /// Does what is due.
    pub fn tend(&mut self, now: Duration, wanted: &Wanted, actions: &mut Vec<LinkAction>) {
        self.give_up(now, actions);
        self.promote(now, wanted, actions);
        self.judge_service(now, wanted, actions);
        self.attempt(now, wanted, actions);
        self.ask(now, actions);
    }

    /// Leaves relays that were silent for too long.
    fn give_up(&mut self, now: Duration, actions: &mut Vec<LinkAction>) {
        let mut due = Vec::new();
        for place in [self.serving, self.trying].into_iter().flatten() {
            let Some(link) = self.links.get(place) else { continue };
            let tried_long = self.trying == Some(place) && self.serving.is_some();
            let silent = tried_long && link.phase == Phase::Welcomed && now >= link.silent_at();
            if silent || link.gives_up_at().is_some_and(|at| now >= at) {
                due.push(place);
            }
        }
        for place in due {
            self.leave_and_close(now, place, Leave::Failed, actions);
        }
    }

    /// Lets the relay that is tried serve, once it has shown that it does, or none serves.
    fn promote(&mut self, now: Duration, wanted: &Wanted, actions: &mut Vec<LinkAction>) {
        let Some(place) = self.trying else { return };
        let Some(link) = self.links.get(place).filter(|link| link.phase == Phase::Welcomed) else { return };
        let Some(serving) = self.serving else { return self.serve(now, place) };
        if link.granted.is_none() {
            return;
        }
        let no_better = link.claimed < wanted.certified || self.lags(now, serving, wanted, link.claimed);
        let overtaken = self.has_overtaken(place, serving);
        if no_better && !overtaken && !self.is_silent(now, serving) {
            return self.leave_and_close(now, place, Leave::NoBetter, actions);
        }
        // Another one is tried while it is suspect, or to return to a more preferred one.
        let why = if self.returning.is_none() { Leave::Failed } else { Leave::NotNeeded };
        self.leave_and_close(now, serving, why, actions);
        self.serve(now, place);
    }

    /// Whether the serving relay is left for its lag, and one that claims this revision would be no better.
    fn lags(&self, now: Duration, serving: usize, wanted: &Wanted, claimed: Number) -> bool {
        self.is_suspect(now, serving, wanted) && claimed <= wanted.held
    }

    fn serve(&mut self, now: Duration, place: usize) {
        (self.serving, self.trying, self.returning) = (Some(place), None, None);
        self.good_since = now;
        self.return_spread = self.chance.random_duration(RETURN_SPREAD);
    }

    /// Looks at how the present relay serves: well for long, and a more preferred one is tried; badly, and any other.
    fn judge_service(&mut self, now: Duration, wanted: &Wanted, actions: &mut Vec<LinkAction>) {
        let Some(serving) = self.serving else { return self.returning = None };
        if self.is_suspect(now, serving, wanted) {
            (self.good_since, self.returning) = (now, None);
            return;
        }
        if now >= self.good_since + FORGIVE_AFTER {
            self.attempts = 0;
            self.links.iter_mut().for_each(|link| link.failures = 0);
        }
        if self.returning.is_none() {
            if let Some(place) = self.trying.filter(|trying| !self.has_overtaken(*trying, serving)) {
                self.leave_and_close(now, place, Leave::NotNeeded, actions);
            }
            if serving > 0 && now >= self.return_at() {
                self.returning = Some(0);
            }
        }
        if self.returning.is_some_and(|next| next >= serving) {
            (self.good_since, self.returning) = (now, None);
            self.return_spread = self.chance.random_duration(RETURN_SPREAD);
        }
    }

    /// Whether what the serving relay withheld came from the one that is tried.
    fn has_overtaken(&self, trying: usize, serving: usize) -> bool {
        let updated = |place: usize| self.links.get(place).and_then(|link| link.updated);
        updated(trying) > updated(serving)
    }

    fn return_at(&self) -> Duration {
        self.good_since + RETURN_AFTER + self.return_spread
    }

    /// The relays that may be tried now or later, in the order of preference.
    fn candidates(&self, now: Duration, wanted: &Wanted) -> Vec<usize> {
        let all = 0..self.links.len();
        match self.serving {
            None => all.collect(),
            Some(serving) if self.is_suspect(now, serving, wanted) => {
                all.filter(|place| *place != serving).collect()
            }
            Some(serving) => self.returning.map_or_else(Vec::new, |next| (next..serving).collect()),
        }
    }

    /// Tries the most preferred one of the relays that failed least often and are not left alone.
    fn attempt(&mut self, now: Duration, wanted: &Wanted, actions: &mut Vec<LinkAction>) {
        if self.trying.is_some() || now < self.next_attempt {
            return;
        }
        let may_try = |place: &usize| self.links.get(*place).is_some_and(|link| now >= link.avoid_until);
        let failures = |place: &usize| self.links.get(*place).map(|link| link.failures);
        let found = self.candidates(now, wanted).into_iter().filter(may_try).min_by_key(failures);
        match found {
            Some(place) => {
                self.trying = Some(place);
                if let Some(link) = self.links.get_mut(place) {
                    link.enter(now, Phase::Connecting);
                }
                actions.push(LinkAction::Connect(place));
            }
            // None of the more preferred ones may be tried: another time.
            None => self.returning = self.returning.and(self.serving),
        }
    }

    /// Asks for leases where it is time to.
    fn ask(&mut self, now: Duration, actions: &mut Vec<LinkAction>) {
        let every = LEASE / REQUESTS_IN_A_LEASE;
        for (place, link) in self.links.iter_mut().enumerate() {
            if link.is_open() && now >= link.next_ask {
                link.next_ask = now + every.mul_f64(1.0 - self.chance.unit_interval() / 10.0);
                actions.push(LinkAction::AskLease(place));
            }
        }
    }

    /// When [`Links::tend`] wants to be called.
    pub fn next_due(&self, now: Duration, wanted: &Wanted) -> Duration {
        let present = || [self.serving, self.trying].into_iter().flatten();
        let links = present().filter_map(|place| self.links.get(place));
        let asks = links.clone().filter(|link| link.is_open()).map(|link| link.next_ask);
        let ends = links.filter_map(Link::gives_up_at);
        let tried = self.trying.filter(|_| self.serving.is_some()).and_then(|place| self.links.get(place));
        let tried = tried.filter(|link| link.phase == Phase::Welcomed).map(Link::silent_at);
        let dues = asks.chain(ends).chain(tried).chain(self.judged_at(now, wanted));
        dues.chain(self.attempted_at(now, wanted)).min().unwrap_or(Duration::MAX)
    }

    /// When the relay that serves becomes suspect, is to be forgiven, or a return is tried.
    fn judged_at(&self, now: Duration, wanted: &Wanted) -> Option<Duration> {
        let serving = self.serving?;
        let suspect = self.links.get(serving)?.suspect_at(serving, wanted);
        if suspect <= now {
            return None;
        }
        let returns = serving > 0 && self.returning.is_none();
        Some(if returns { suspect.min(self.return_at().max(now)) } else { suspect })
    }

    /// When a relay is tried next.
    fn attempted_at(&self, now: Duration, wanted: &Wanted) -> Option<Duration> {
        if self.trying.is_some() {
            return None;
        }
        let candidates = self.candidates(now, wanted).into_iter();
        let avoided = candidates.filter_map(|place| self.links.get(place)).map(|link| link.avoid_until);
        Some(avoided.min()?.max(self.next_attempt))
    }
}

/// A pause that doubles with each failure, up to a bound, and is cut by up to a half by chance.
fn growing_pause((first, most): (Duration, Duration), failures: u32, share: f64) -> Duration {
    let doubled = first.saturating_mul(1 << failures.min(16));
    doubled.min(most).mul_f64(1.0 - share / 2.0)
}

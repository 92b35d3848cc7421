//! Selection of the serving relay, with failover, failback and backoff.
//!
//! At most two connections are open: one to the serving relay and one to a relay that is being tried. A relay
//! that serves badly is kept until another has shown that it serves (make before break); one that breaks the
//! protocol is disconnected at once. Backoffs grow with each failed attempt up to a bound, and are
//! randomized.

use std::time::Duration;

use badgerledge_core::random::Rng;
use thiserror::Error;

use crate::lease::{LEASE, REQUESTS_PER_LEASE};
use crate::{MachineId, Number};

/// A connection attempt is given up after this time.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A relay that has not answered the hello within this time is disconnected.
const WELCOME_TIMEOUT: Duration = Duration::from_secs(1);
/// A relay that has delivered no grants of a quorum for this long counts as silent.
const GRANT_TIMEOUT: Duration = Duration::from_secs(LEASE.as_secs() / 2);
/// A relay that starts no update for this long, while one is wanted, counts as lagging.
const OFFER_TIMEOUT: Duration = Duration::from_secs(3);
/// A relay that delivers no part for this long, while parts are requested from it, counts as lagging.
const PART_TIMEOUT: Duration = Duration::from_secs(15);
/// A relay counts as lagging when an update has been wanted for this long, whatever the relay sends. Longer
/// than most snapshots take at the rate at which relays send them.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(600);
/// A silent relay is disconnected after this time, even if no other relay serves.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);
/// A more preferred relay is tried after this much good service, plus a random time up to the jitter.
const FAILBACK_DELAY: Duration = Duration::from_secs(60);
const FAILBACK_JITTER: Duration = Duration::from_secs(15);
/// The failure counts of all relays are reset after this much good service of one relay.
const FAILURE_RESET_DELAY: Duration = Duration::from_secs(10);
/// A relay that broke the protocol is not retried for this long.
const REFUSED_BACKOFF: Duration = Duration::from_secs(60);
/// Minimum and maximum of the backoff that a busy relay asks for.
const BUSY_BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(60));
/// First and maximum backoff before a failed relay is retried; doubles with each failure.
const RELAY_BACKOFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(30));
/// First and maximum backoff before any relay is tried after a failure; doubles with each failure.
const ATTEMPT_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));
/// The number of consecutive updates of a relay that may fail before it is refused.
const MAX_FAILED_UPDATES: u32 = 8;

/// A message that contradicts earlier messages on the same connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum Contradiction {
    #[error("more answers than hellos")]
    SecondWelcome,
    #[error("control machine {0} now claims to be {1}")]
    Machine(MachineId, MachineId),
    #[error("offered revision {0}, then lower revision {1}")]
    LowerRevision(Number, Number),
    #[error("{0} consecutive updates failed")]
    FailedUpdates(u32),
}

/// An action that the watcher carries out for the relay at this index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionAction {
    Connect(usize),
    Close(usize),
    RequestLease(usize),
}

/// Why a relay is disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DisconnectReason {
    /// It could not be reached, was silent or lagged, or was replaced by a better relay.
    Failed,
    /// It is at its limit and asks for this backoff.
    Busy(Duration),
    /// It broke the protocol, or sent data that does not verify.
    Refused,
    /// It offers no newer revision than the serving relay.
    NoBetter,
    /// Another relay serves, and this one did nothing wrong.
    NotNeeded,
}

/// What the watcher needs: input to the selection of relays.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpdateDemand {
    /// The highest revision whose state is held.
    pub held: Number,
    /// The highest revision known to be certified.
    pub certified: Number,
    /// Since when an update is known to be wanted.
    pub wanted_since: Option<Duration>,
    /// The relay from which parts of a snapshot are requested.
    pub source: Option<usize>,
}

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Closed,
    Connecting,
    /// Connected; the hello is not answered yet.
    AwaitingWelcome,
    Welcomed,
}

/// The connection to one relay, and what is known of the relay.
#[derive(Clone, Debug)]
struct RelayConnection {
    phase: Phase,
    /// When the phase began.
    since: Duration,
    /// The relay is not tried before this time.
    avoid_until: Duration,
    /// Failures since the last reset, which the backoff depends on.
    failures: u32,
    /// The relay delivered grants before it was disconnected, and may serve if no other relay does.
    is_standby: bool,
    /// The control machine that the relay claims to be.
    machine: Option<MachineId>,
    /// The highest revision that the relay claims to hold, and since when it does.
    claimed_revision: Number,
    claimed_at: Duration,
    /// Hellos that were sent and are not answered.
    unanswered_hellos: u32,
    /// When the relay last delivered grants of a quorum.
    granted_at: Option<Duration>,
    /// When the relay last started an update or delivered a part of one.
    updated_at: Option<Duration>,
    /// When the next lease is requested on this connection.
    next_lease_request: Duration,
    /// Whether parts of a snapshot were ever requested from it.
    parts_requested: bool,
    /// Consecutive updates that the relay started and that failed.
    failed_updates: u32,
}

impl RelayConnection {
    fn new(now: Duration) -> Self {
        Self {
            phase: Phase::Closed,
            since: now,
            avoid_until: now,
            failures: 0,
            is_standby: false,
            machine: None,
            claimed_revision: 0,
            claimed_at: now,
            unanswered_hellos: 0,
            granted_at: None,
            updated_at: None,
            next_lease_request: now,
            parts_requested: false,
            failed_updates: 0,
        }
    }

    /// Whether the connection is open, with or without an answer to the hello.
    fn is_open(&self) -> bool {
        matches!(self.phase, Phase::AwaitingWelcome | Phase::Welcomed)
    }

    fn enter(&mut self, now: Duration, phase: Phase) {
        (self.phase, self.since) = (phase, now);
    }

    /// When the relay counts as silent.
    fn silent_at(&self) -> Duration {
        self.since.max(self.granted_at.unwrap_or_default()) + GRANT_TIMEOUT
    }

    /// When the relay counts as lagging behind the demand.
    fn lagging_at(&self, relay: usize, demand: &UpdateDemand) -> Option<Duration> {
        let claimed_more_since = (self.claimed_revision > demand.held).then_some(self.claimed_at);
        let since = demand.wanted_since.or(claimed_more_since)?.max(self.since);
        let timeout = if demand.source == Some(relay) { PART_TIMEOUT } else { OFFER_TIMEOUT };
        let last_progress = since.max(self.updated_at.unwrap_or_default());
        Some((last_progress + timeout).min(since + UPDATE_TIMEOUT))
    }

    /// When another relay is tried while this one serves.
    fn suspect_at(&self, relay: usize, demand: &UpdateDemand) -> Duration {
        let silent = self.silent_at();
        self.lagging_at(relay, demand).map_or(silent, |lags| lags.min(silent))
    }

    /// When the relay, tried or serving, is disconnected without regard to others.
    fn times_out_at(&self) -> Option<Duration> {
        match self.phase {
            Phase::Closed => None,
            Phase::Connecting => Some(self.since + CONNECT_TIMEOUT),
            Phase::AwaitingWelcome => Some(self.since + WELCOME_TIMEOUT),
            Phase::Welcomed => Some(self.silent_at() - GRANT_TIMEOUT + SILENCE_TIMEOUT),
        }
    }
}

/// The connections to all relays, by index in the order of preference.
pub(super) struct RelayConnections {
    connections: Vec<RelayConnection>,
    rng: Rng,
    /// The serving relay.
    serving: Option<usize>,
    /// The relay that is being tried.
    trying: Option<usize>,
    /// No relay is tried before this time.
    next_attempt: Duration,
    /// Failed attempts since the last reset, which the backoff before any attempt depends on.
    failed_attempts: u32,
    /// Since when the current relay serves well.
    good_since: Duration,
    /// The more preferred relay that is tried next while the current one serves well.
    failback_candidate: Option<usize>,
    /// The random part of the delay before the next failback.
    failback_jitter: Duration,
    /// The number of connections that were closed because of invalid messages.
    refusals: u64,
}

impl RelayConnections {
    pub fn new(relays: usize, seed: u64, now: Duration) -> Self {
        let mut rng = Rng(seed);
        let failback_jitter = rng.random_duration(FAILBACK_JITTER);
        Self {
            connections: vec![RelayConnection::new(now); relays],
            rng,
            serving: None,
            trying: None,
            next_attempt: now,
            failed_attempts: 0,
            good_since: now,
            failback_candidate: None,
            failback_jitter,
            refusals: 0,
        }
    }

    /// The serving relay, and the control machine that it claims to be.
    pub fn serving(&self) -> Option<(usize, Option<MachineId>)> {
        let relay = self.serving?;
        Some((relay, self.connections.get(relay)?.machine))
    }

    /// The relay that is being tried.
    pub fn trying(&self) -> Option<usize> {
        self.trying
    }

    /// The number of connections that were closed because of invalid messages.
    pub fn refused(&self) -> u64 {
        self.refusals
    }

    /// Whether the connection to this relay is open.
    pub fn is_open(&self, relay: usize) -> bool {
        self.connections.get(relay).is_some_and(RelayConnection::is_open)
    }

    /// The indexes of the relays with open connections.
    pub fn open(&self) -> impl Iterator<Item = usize> + '_ {
        self.connections
            .iter()
            .enumerate()
            .filter(|(_, connection)| connection.is_open())
            .map(|(relay, _)| relay)
    }

    /// A connection is open. Returns whether it was requested.
    pub fn on_opened(&mut self, now: Duration, relay: usize) -> bool {
        let connecting = |connection: &&mut RelayConnection| connection.phase == Phase::Connecting;
        let Some(connection) = self.connections.get_mut(relay).filter(connecting) else { return false };
        let (avoid_until, failures) = (connection.avoid_until, connection.failures);
        *connection = RelayConnection {
            avoid_until,
            failures,
            phase: Phase::AwaitingWelcome,
            ..RelayConnection::new(now)
        };
        true
    }

    /// A hello was sent.
    pub fn on_hello_sent(&mut self, relay: usize) {
        if let Some(connection) = self.connections.get_mut(relay) {
            connection.unanswered_hellos = connection.unanswered_hellos.saturating_add(1);
        }
    }

    /// The relay answered a hello.
    ///
    /// # Errors
    /// If the answer contradicts earlier messages on this connection.
    pub fn on_welcome(
        &mut self, now: Duration, relay: usize, machine: MachineId, number: Number,
    ) -> Result<(), Contradiction> {
        let Some(connection) = self.connections.get_mut(relay) else { return Ok(()) };
        connection.unanswered_hellos =
            connection.unanswered_hellos.checked_sub(1).ok_or(Contradiction::SecondWelcome)?;
        if let Some(before) = connection.machine.replace(machine).filter(|claimed| *claimed != machine) {
            return Err(Contradiction::Machine(before, machine));
        }
        if connection.phase == Phase::AwaitingWelcome {
            connection.enter(now, Phase::Welcomed);
        }
        self.on_offer(now, relay, number)
    }

    /// The relay claims to hold this revision.
    ///
    /// # Errors
    /// If it claimed a higher revision before.
    pub fn on_offer(&mut self, now: Duration, relay: usize, number: Number) -> Result<(), Contradiction> {
        let Some(connection) = self.connections.get_mut(relay) else { return Ok(()) };
        if number < connection.claimed_revision {
            return Err(Contradiction::LowerRevision(connection.claimed_revision, number));
        }
        if number > connection.claimed_revision {
            (connection.claimed_revision, connection.claimed_at) = (number, now);
        }
        Ok(())
    }

    /// The relay started an update or delivered a part of one.
    pub fn on_update_progress(&mut self, now: Duration, relay: usize) {
        if let Some(connection) = self.connections.get_mut(relay) {
            connection.updated_at = Some(now);
        }
    }

    /// An update of the relay completed a revision.
    pub fn on_update_completed(&mut self, now: Duration, relay: usize) {
        self.on_update_progress(now, relay);
        if let Some(connection) = self.connections.get_mut(relay) {
            connection.failed_updates = 0;
        }
    }

    /// An update of the relay failed.
    ///
    /// # Errors
    /// If that happened too often on this connection.
    pub fn on_update_failed(&mut self, relay: usize) -> Result<(), Contradiction> {
        let Some(connection) = self.connections.get_mut(relay) else { return Ok(()) };
        connection.failed_updates += 1;
        match connection.failed_updates > MAX_FAILED_UPDATES {
            true => Err(Contradiction::FailedUpdates(connection.failed_updates)),
            false => Ok(()),
        }
    }

    /// Parts of a snapshot are requested from the relay.
    pub fn on_parts_requested(&mut self, relay: usize) {
        if let Some(connection) = self.connections.get_mut(relay) {
            connection.parts_requested = true;
        }
    }

    /// Whether parts of a snapshot were requested on this connection.
    pub fn were_parts_requested(&self, relay: usize) -> bool {
        self.connections.get(relay).is_some_and(|connection| connection.parts_requested)
    }

    /// The relay delivered grants of a quorum over a nonce of this watcher.
    pub fn on_grants(&mut self, now: Duration, relay: usize) {
        if let Some(connection) = self.connections.get_mut(relay) {
            connection.granted_at = Some(now);
        }
    }

    /// Requests a lease from the serving relay at once.
    pub fn request_lease_soon(&mut self, now: Duration) {
        let serving = self.serving.and_then(|relay| self.connections.get_mut(relay));
        if let Some(connection) = serving {
            connection.next_lease_request = connection.next_lease_request.min(now);
        }
    }

    /// The connection to a relay closed.
    pub fn on_closed(&mut self, now: Duration, relay: usize) {
        if self.connections.get(relay).is_some_and(|connection| connection.phase != Phase::Closed) {
            self.disconnect(now, relay, DisconnectReason::Failed);
        }
    }

    /// Records that a relay is disconnected; the caller closes the connection.
    pub fn disconnect(&mut self, now: Duration, relay: usize, reason: DisconnectReason) {
        let fraction = self.rng.unit_interval();
        let Some(connection) = self.connections.get_mut(relay) else { return };
        connection.enter(now, Phase::Closed);
        connection.is_standby = matches!(reason, DisconnectReason::NoBetter | DisconnectReason::NotNeeded);
        let backoff = match reason {
            DisconnectReason::NotNeeded => Duration::ZERO,
            DisconnectReason::Refused => REFUSED_BACKOFF,
            DisconnectReason::Busy(backoff) => {
                backoff.clamp(BUSY_BACKOFF.0, BUSY_BACKOFF.1).mul_f64(1.0 + fraction / 4.0)
            }
            DisconnectReason::Failed | DisconnectReason::NoBetter => {
                randomized_backoff(RELAY_BACKOFF, connection.failures, fraction)
            }
        };
        connection.avoid_until = now + backoff;
        let had_served = connection.granted_at.is_some();
        if matches!(reason, DisconnectReason::Failed | DisconnectReason::NoBetter) {
            connection.failures = connection.failures.saturating_add(1);
        }
        self.refusals += u64::from(reason == DisconnectReason::Refused);
        if self.serving == Some(relay) {
            self.serving = None;
            self.release_standbys(now, had_served);
        }
        if self.trying == Some(relay) {
            self.trying = None;
            if let Some(next) = self.failback_candidate.as_mut() {
                *next = relay + 1;
            }
        }
        if reason != DisconnectReason::NotNeeded {
            let backoff = randomized_backoff(ATTEMPT_BACKOFF, self.failed_attempts, self.rng.unit_interval());
            self.next_attempt = self.next_attempt.max(now + backoff);
            self.failed_attempts = self.failed_attempts.saturating_add(1);
        }
    }

    /// No relay serves any more: relays that were disconnected only because another one served may be tried
    /// at once.
    fn release_standbys(&mut self, now: Duration, had_served: bool) {
        for connection in self.connections.iter_mut().filter(|connection| connection.is_standby) {
            connection.avoid_until = now;
        }
        if had_served {
            (self.failed_attempts, self.next_attempt) = (0, now);
        }
    }

    fn disconnect_and_close(
        &mut self, now: Duration, relay: usize, reason: DisconnectReason, actions: &mut Vec<ConnectionAction>,
    ) {
        self.disconnect(now, relay, reason);
        actions.push(ConnectionAction::Close(relay));
    }

    /// Whether the relay counts as silent or lagging.
    fn is_suspect(&self, now: Duration, relay: usize, demand: &UpdateDemand) -> bool {
        self.connections.get(relay).is_some_and(|connection| now >= connection.suspect_at(relay, demand))
    }

    /// Whether the relay counts as silent.
    fn is_silent(&self, now: Duration, relay: usize) -> bool {
        self.connections.get(relay).is_some_and(|connection| now >= connection.silent_at())
    }

    /// Performs the work that is due.
    pub fn poll(&mut self, now: Duration, demand: &UpdateDemand, actions: &mut Vec<ConnectionAction>) {
        self.disconnect_unresponsive(now, actions);
        self.promote(now, demand, actions);
        self.evaluate_serving(now, demand, actions);
        self.start_attempt(now, demand, actions);
        self.request_leases(now, actions);
    }

    /// Disconnects relays that were silent for too long.
    fn disconnect_unresponsive(&mut self, now: Duration, actions: &mut Vec<ConnectionAction>) {
        let mut unresponsive = Vec::new();
        for relay in [self.serving, self.trying].into_iter().flatten() {
            let Some(connection) = self.connections.get(relay) else { continue };
            let is_replaceable = self.trying == Some(relay) && self.serving.is_some();
            let silent =
                is_replaceable && connection.phase == Phase::Welcomed && now >= connection.silent_at();
            if silent || connection.times_out_at().is_some_and(|at| now >= at) {
                unresponsive.push(relay);
            }
        }
        for relay in unresponsive {
            self.disconnect_and_close(now, relay, DisconnectReason::Failed, actions);
        }
    }

    /// Lets the tried relay serve, once it has shown that it does, or if none serves.
    fn promote(&mut self, now: Duration, demand: &UpdateDemand, actions: &mut Vec<ConnectionAction>) {
        let Some(relay) = self.trying else { return };
        let Some(connection) =
            self.connections.get(relay).filter(|connection| connection.phase == Phase::Welcomed)
        else {
            return;
        };
        let Some(serving) = self.serving else { return self.start_serving(now, relay) };
        if connection.granted_at.is_none() {
            return;
        }
        let is_no_better = connection.claimed_revision < demand.certified
            || self.would_still_lag(now, serving, demand, connection.claimed_revision);
        let has_overtaken = self.has_overtaken(relay, serving);
        if is_no_better && !has_overtaken && !self.is_silent(now, serving) {
            return self.disconnect_and_close(now, relay, DisconnectReason::NoBetter, actions);
        }
        // A relay is tried while the serving one is suspect, or for a failback.
        let reason = if self.failback_candidate.is_none() {
            DisconnectReason::Failed
        } else {
            DisconnectReason::NotNeeded
        };
        self.disconnect_and_close(now, serving, reason, actions);
        self.start_serving(now, relay);
    }

    /// Whether the serving relay is suspect, and a replacement that claims this revision has nothing newer
    /// either.
    fn would_still_lag(
        &self, now: Duration, serving: usize, demand: &UpdateDemand, claimed_revision: Number,
    ) -> bool {
        self.is_suspect(now, serving, demand) && claimed_revision <= demand.held
    }

    /// Makes a relay the serving one.
    fn start_serving(&mut self, now: Duration, relay: usize) {
        (self.serving, self.trying, self.failback_candidate) = (Some(relay), None, None);
        self.good_since = now;
        self.failback_jitter = self.rng.random_duration(FAILBACK_JITTER);
    }

    /// Evaluates the serving relay: after long good service a more preferred relay is tried, after bad
    /// service any other.
    fn evaluate_serving(
        &mut self, now: Duration, demand: &UpdateDemand, actions: &mut Vec<ConnectionAction>,
    ) {
        let Some(serving) = self.serving else { return self.failback_candidate = None };
        if self.is_suspect(now, serving, demand) {
            (self.good_since, self.failback_candidate) = (now, None);
            return;
        }
        if now >= self.good_since + FAILURE_RESET_DELAY {
            self.failed_attempts = 0;
            self.connections.iter_mut().for_each(|connection| connection.failures = 0);
        }
        if self.failback_candidate.is_none() {
            if let Some(relay) = self.trying.filter(|trying| !self.has_overtaken(*trying, serving)) {
                self.disconnect_and_close(now, relay, DisconnectReason::NotNeeded, actions);
            }
            if serving > 0 && now >= self.failback_at() {
                self.failback_candidate = Some(0);
            }
        }
        if self.failback_candidate.is_some_and(|next| next >= serving) {
            (self.good_since, self.failback_candidate) = (now, None);
            self.failback_jitter = self.rng.random_duration(FAILBACK_JITTER);
        }
    }

    /// Whether the tried relay delivered an update that the serving relay withheld.
    fn has_overtaken(&self, trying: usize, serving: usize) -> bool {
        let updated_at =
            |relay: usize| self.connections.get(relay).and_then(|connection| connection.updated_at);
        updated_at(trying) > updated_at(serving)
    }

    /// When the next failback is due.
    fn failback_at(&self) -> Duration {
        self.good_since + FAILBACK_DELAY + self.failback_jitter
    }

    /// The relays that may be tried now or later, in the order of preference.
    fn candidates(&self, now: Duration, demand: &UpdateDemand) -> Vec<usize> {
        let all = 0..self.connections.len();
        match self.serving {
            None => all.collect(),
            Some(serving) if self.is_suspect(now, serving, demand) => {
                all.filter(|relay| *relay != serving).collect()
            }
            Some(serving) => self.failback_candidate.map_or_else(Vec::new, |next| (next..serving).collect()),
        }
    }

    /// Connects to the most preferred of the available relays with the fewest failures.
    fn start_attempt(&mut self, now: Duration, demand: &UpdateDemand, actions: &mut Vec<ConnectionAction>) {
        if self.trying.is_some() || now < self.next_attempt {
            return;
        }
        let may_try = |relay: &usize| {
            self.connections.get(*relay).is_some_and(|connection| now >= connection.avoid_until)
        };
        let failures = |relay: &usize| self.connections.get(*relay).map(|connection| connection.failures);
        let found = self.candidates(now, demand).into_iter().filter(may_try).min_by_key(failures);
        match found {
            Some(relay) => {
                self.trying = Some(relay);
                if let Some(connection) = self.connections.get_mut(relay) {
                    connection.enter(now, Phase::Connecting);
                }
                actions.push(ConnectionAction::Connect(relay));
            }
            // No more preferred relay is available: the next failback is scheduled.
            None => self.failback_candidate = self.failback_candidate.and(self.serving),
        }
    }

    /// Requests leases on the connections where the next request is due.
    fn request_leases(&mut self, now: Duration, actions: &mut Vec<ConnectionAction>) {
        let interval = LEASE / REQUESTS_PER_LEASE;
        for (relay, connection) in self.connections.iter_mut().enumerate() {
            if connection.is_open() && now >= connection.next_lease_request {
                connection.next_lease_request = now + interval.mul_f64(1.0 - self.rng.unit_interval() / 10.0);
                actions.push(ConnectionAction::RequestLease(relay));
            }
        }
    }

    /// The next time at which [`RelayConnections::poll`] must be called.
    pub fn next_poll_at(&self, now: Duration, demand: &UpdateDemand) -> Duration {
        let connected = || [self.serving, self.trying].into_iter().flatten();
        let connections = connected().filter_map(|relay| self.connections.get(relay));
        let lease_requests = connections
            .clone()
            .filter(|connection| connection.is_open())
            .map(|connection| connection.next_lease_request);
        let timeouts = connections.filter_map(RelayConnection::times_out_at);
        let tried =
            self.trying.filter(|_| self.serving.is_some()).and_then(|relay| self.connections.get(relay));
        let tried =
            tried.filter(|connection| connection.phase == Phase::Welcomed).map(RelayConnection::silent_at);
        let due_times =
            lease_requests.chain(timeouts).chain(tried).chain(self.next_evaluation_at(now, demand));
        due_times.chain(self.next_attempt_at(now, demand)).min().unwrap_or(Duration::MAX)
    }

    /// When the serving relay becomes suspect, or a failback is due.
    fn next_evaluation_at(&self, now: Duration, demand: &UpdateDemand) -> Option<Duration> {
        let serving = self.serving?;
        let suspect = self.connections.get(serving)?.suspect_at(serving, demand);
        if suspect <= now {
            return None;
        }
        let may_fail_back = serving > 0 && self.failback_candidate.is_none();
        Some(if may_fail_back { suspect.min(self.failback_at().max(now)) } else { suspect })
    }

    /// When a relay is tried next.
    fn next_attempt_at(&self, now: Duration, demand: &UpdateDemand) -> Option<Duration> {
        if self.trying.is_some() {
            return None;
        }
        let candidates = self.candidates(now, demand).into_iter();
        let retry_times = candidates
            .filter_map(|relay| self.connections.get(relay))
            .map(|connection| connection.avoid_until);
        Some(retry_times.min()?.max(self.next_attempt))
    }
}

/// A backoff that doubles with each failure up to a bound, and is shortened at random by up to a half.
fn randomized_backoff((first, max): (Duration, Duration), failures: u32, fraction: f64) -> Duration {
    let doubled = first.saturating_mul(1 << failures.min(16));
    doubled.min(max).mul_f64(1.0 - fraction / 2.0)
}

//! Drives the membership gossip among controllers: reads its keys and stored records, carries its datagrams,
//! and passes its events to the subsystems that they are for.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use anyhow::{bail, Context, Result};
use badgerledge_core::interface::{Ending, StreamerId};
use badgerledge_deployment::{ControllerPlace, GossipPlace};
use badgerledge_failure_reports::{FailureKind, FailureReports};
use badgerledge_gossip::statement::Statement;
use badgerledge_gossip::{Event, Gossip, Member, MemberState, Transport, MAX_DATAGRAM_BYTES};
use badgerledge_keys::{Keys, PrivateKey, Ring, Role};
use badgerledge_reactor::{Reactor, SocketId};
use metrics::{counter, gauge};

use crate::{files, telemetry};

/// Interval at which the ring's file is checked for changes: a revocation takes effect within it.
const RING_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest interval between failure bulletins: a few joins are lost in that time on a streamer that dies.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(400);
/// Longest interval between stores of the member records: a member seldom changes its address.
const MAX_STORE_INTERVAL: Duration = Duration::from_secs(10);
/// Delay of the first store, doubled after each one: a controller that is killed in its first seconds must
/// find the others again, and its seeds may have been killed with it.
const FIRST_STORE_DELAY: Duration = Duration::from_secs(1);
/// A streamer is strained if a stream gets less than this fraction of its rate. The thresholds for strained
/// and relaxed are apart because progress reports scatter by some 0.1 around the actual value.
const STRAINED_DELIVERY: f64 = 0.9;
/// A streamer is relaxed again if a stream gets at least this fraction of its rate.
const RELAXED_DELIVERY: f64 = 0.98;
/// A streamer is strained if its link is asked for more than this multiple of its capacity.
const STRAINED_LINK_USE: f64 = 1.05;
/// A streamer is relaxed again if its link is asked for less than this multiple of its capacity.
const RELAXED_LINK_USE: f64 = 0.9;
/// Files in the state folder: the incarnation number, and the records of members.
const INCARNATION_FILE: &str = "gossip-life";
const RECORDS_FILE: &str = "gossip-records";
/// Size limit of the file of stored records.
const MAX_RECORDS_BYTES: u64 = 1024 * 1024;

/// The driver of a controller's gossip.
pub struct GossipDriver {
    gossip: Gossip<Keys>,
    failure_reports: FailureReports,
    connection: SocketId,
    settings: GossipPlace,
    state: Option<PathBuf>,
    ring_modified: Option<SystemTime>,
    ring_check_at: Duration,
    publish_at: Duration,
    store_at: Duration,
    store_delay: Duration,
    /// The streamers published last, so that an unchanged bulletin is not repeated at once.
    published: Vec<StreamerId>,
    local_address: SocketAddr,
    /// Keys from a reloaded ring, for the other subsystems.
    new_keys: Option<Keys>,
}

/// Output for the other subsystems.
#[derive(Default)]
pub struct GossipOutput {
    /// Messages of other controllers, for the subsystem that knows their format.
    pub messages: Vec<(Member, Vec<u8>)>,
    /// Streamers that are now believed to be in trouble.
    pub streamers_in_trouble: Vec<StreamerId>,
}

/// A transport that sends datagrams through the reactor.
fn transport(reactor: &Reactor, connection: SocketId) -> impl Transport + '_ {
    move |to: SocketAddrV4, bytes: &[u8]| {
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        reactor.send_to(connection, SocketAddr::V4(to), bytes);
    }
}

impl GossipDriver {
    /// Reads the keys and the stored records, and opens the socket.
    ///
    /// # Errors
    /// If the keys are not usable or the address cannot be bound.
    pub fn new(
        reactor: &mut Reactor, place: &ControllerPlace, settings: &GossipPlace, seed: u64,
    ) -> Result<Self> {
        let keys = read_keys(settings, place.number)?;
        let ring_modified = modified_at(&settings.ring);
        let (connection, bound) = reactor
            .bind_datagrams(settings.listen)
            .with_context(|| format!("gossip at {}", settings.listen))?;
        let SocketAddr::V4(advertised) = settings.advertise.unwrap_or(bound) else {
            bail!("[gossip] listen or advertise: the address must be IPv4");
        };
        let seeds = settings.seeds.iter().filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(*seed),
            SocketAddr::V6(_) => None,
        });
        let now = reactor.now();
        let incarnation = next_incarnation(place.state.as_deref());
        let mut gossip =
            Gossip::new(place.number as Member, keys, incarnation, advertised, seeds.collect(), now, seed);
        let stored = place.state.as_deref().map(stored_records).unwrap_or_default();
        gossip.restore_records(now, stored, &mut Vec::new());
        tracing::info!(
            life = incarnation,
            at = %advertised,
            known = gossip.view().active_count(),
            "gossip begins"
        );
        Ok(Self {
            gossip,
            failure_reports: FailureReports::default(),
            connection,
            settings: settings.clone(),
            state: place.state.clone(),
            ring_modified,
            ring_check_at: now + RING_CHECK_INTERVAL,
            publish_at: now,
            store_at: now + FIRST_STORE_DELAY,
            store_delay: FIRST_STORE_DELAY,
            published: Vec::new(),
            local_address: bound,
            new_keys: None,
        })
    }

    /// The address bound for datagrams; streams of other subsystems arrive at the same port.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// This controller's keys and the ring.
    pub fn keys(&self) -> &Keys {
        self.gossip.keyring()
    }

    /// The keys, if the ring was reloaded since the last call.
    pub fn take_new_keys(&mut self) -> Option<Keys> {
        self.new_keys.take()
    }

    /// This process's incarnation number.
    pub fn incarnation(&self) -> u32 {
        self.gossip.process_incarnation()
    }

    /// The address that a member announces.
    pub fn address(&self, member: Member) -> Option<SocketAddr> {
        self.gossip.view().get(member).map(|known| SocketAddr::V4(known.record.at))
    }

    /// Whether a connection is this subsystem's socket.
    pub fn owns(&self, connection: SocketId) -> bool {
        self.connection == connection
    }

    /// When [`Self::tick`] has work to do next.
    pub fn next_due(&self) -> Duration {
        self.gossip.next_due().min(self.ring_check_at)
    }

    /// Does the work that is due.
    pub fn tick(&mut self, reactor: &Reactor, now: Duration) -> GossipOutput {
        if now < self.next_due() {
            return GossipOutput::default();
        }
        let mut events = Vec::new();
        let mut out = transport(reactor, self.connection);
        if now >= self.gossip.next_due() {
            self.gossip.tick(now, &mut out, &mut events);
        }
        if now >= self.ring_check_at {
            self.ring_check_at = now + RING_CHECK_INTERVAL;
            self.reload_ring_if_changed(now);
            self.export_metrics();
        }
        if now >= self.store_at {
            self.store_delay = (self.store_delay * 2).min(MAX_STORE_INTERVAL);
            self.store_at = now + self.store_delay;
            self.store();
        }
        self.handle_events(now, events)
    }

    /// Handles a datagram from another member; an invalid one is dropped.
    pub fn handle_datagram(
        &mut self, reactor: &Reactor, now: Duration, from: SocketAddr, bytes: &[u8],
    ) -> GossipOutput {
        let SocketAddr::V4(from) = from else { return GossipOutput::default() };
        let (mut events, mut out) = (Vec::new(), transport(reactor, self.connection));
        if let Err(fault) = self.gossip.handle_datagram(now, from, bytes, &mut out, &mut events) {
            tracing::debug!(%from, "datagram dropped: {fault}");
        }
        self.handle_events(now, events)
    }

    /// Sends a message of another subsystem to a member.
    pub fn send_message(&mut self, reactor: &Reactor, now: Duration, to: u32, message: &[u8]) {
        let mut out = transport(reactor, self.connection);
        let to = Member::try_from(to).ok();
        to.map(|to| self.gossip.send_message(now, to, message, &mut out));
    }

    /// Handles events of the protocol, and collects those for other subsystems.
    fn handle_events(&mut self, now: Duration, events: Vec<Event>) -> GossipOutput {
        let mut output = GossipOutput::default();
        for event in events {
            match event {
                Event::StateChanged(member, state) => tracing::info!(member, standing = ?state, "member"),
                Event::Bulletin(bulletin, age) => {
                    let newly_believed =
                        self.failure_reports.take_bulletin(now, bulletin.author, age, &bulletin.items);
                    for (streamer, kind) in
                        newly_believed.into_iter().filter(|(_, kind)| self.uses_kind(*kind))
                    {
                        tracing::info!(%streamer, by = bulletin.author, ?kind, "believed to be in trouble");
                        output.streamers_in_trouble.push(streamer);
                    }
                }
                Event::Message(member, message) => output.messages.push((member, message)),
            }
        }
        output
    }

    /// Takes the result of a join here. Cancelled and throttled joins say nothing about the streamer.
    pub fn observe_join_result(&mut self, now: Duration, streamer: StreamerId, ending: Option<Ending>) {
        match ending {
            None => self.failure_reports.observe_join(now, streamer, true),
            Some(ending) if ending.is_lost() => {
                self.failure_reports.observe_join(now, streamer, false);
                self.publish(now);
            }
            Some(Ending::Full) if self.settings.strain => {
                self.failure_reports.observe_strain(now, streamer, false);
                self.publish(now);
            }
            Some(_) => {}
        }
    }

    /// Takes a streamer's progress report. Kind 1 is the fraction of a stream's rate that is delivered,
    /// kind 3 the rate that its link is asked for as a multiple of the link's capacity; other kinds are
    /// ignored.
    pub fn observe_progress_report(&mut self, now: Duration, streamer: StreamerId, kind: u8, value: f64) {
        let strained = match kind {
            1 => value < STRAINED_DELIVERY,
            3 => value > STRAINED_LINK_USE,
            _ => return,
        };
        // Between the thresholds it is neither strained nor relaxed.
        let relaxed = match kind {
            1 => value >= RELAXED_DELIVERY,
            _ => value < RELAXED_LINK_USE,
        };
        if self.settings.strain && (strained || relaxed) {
            self.failure_reports.observe_strain(now, streamer, relaxed);
            if strained {
                self.publish(now);
            }
        }
    }

    /// Whether failure reports of a kind are used here.
    fn uses_kind(&self, kind: FailureKind) -> bool {
        kind == FailureKind::Lost || self.settings.strain
    }

    /// Publishes this controller's failure reports, at once when they include a streamer that was not among
    /// the last ones.
    fn publish(&mut self, now: Duration) {
        if now < self.publish_at {
            return;
        }
        let streamers = self.failure_reports.streamers(now);
        if streamers.iter().all(|streamer| self.published.contains(streamer))
            && now < self.publish_at + MIN_PUBLISH_INTERVAL * 4
        {
            return;
        }
        self.publish_at = now + MIN_PUBLISH_INTERVAL;
        self.published = streamers;
        self.gossip.publish(now, self.failure_reports.items(now));
    }

    /// Reloads the ring if its file has changed. An invalid file changes nothing.
    fn reload_ring_if_changed(&mut self, now: Duration) {
        let changed = modified_at(&self.settings.ring);
        if changed == self.ring_modified {
            return;
        }
        self.ring_modified = changed;
        match read_keys(&self.settings, u32::from(self.gossip.member())) {
            Ok(keys) => {
                tracing::info!("the ring of keys was reloaded");
                self.new_keys = Some(keys.clone());
                self.gossip.replace_keyring(keys, now);
            }
            Err(fault) => tracing::error!("{fault:#}; keeping the previous keys"),
        }
    }

    /// Sets the gauges and counters of gossip.
    fn export_metrics(&self) {
        let count = |state: MemberState| {
            let all = self.gossip.view().members();
            all.filter(|(_, known)| known.state == state).count() as f64
        };
        for (state, name) in [
            (MemberState::Alive, "alive"),
            (MemberState::Suspect, "suspect"),
            (MemberState::Dead, "dead"),
            (MemberState::Left, "left"),
        ] {
            gauge!(telemetry::MEMBERS, "standing" => name).set(count(state));
        }
        let counts = &self.gossip.counts;
        gauge!(telemetry::GOSSIP_HEALTH).set(f64::from(self.gossip.health()));
        counter!(telemetry::GOSSIP_SENT).absolute(counts.sent);
        counter!(telemetry::GOSSIP_SENT_BYTES).absolute(counts.sent_bytes);
        counter!(telemetry::GOSSIP_HELD_BACK).absolute(counts.held_back);
        counter!(telemetry::GOSSIP_CHECKED).absolute(counts.checked);
        counter!(telemetry::GOSSIP_REFUTATIONS).absolute(counts.refutations);
        for (fault, count) in &counts.dropped {
            counter!(telemetry::GOSSIP_DROPPED, "why" => fault.to_string()).absolute(*count);
        }
    }

    /// Stores the records of members.
    fn store(&self) {
        let Some(state) = &self.state else { return };
        let mut bytes = Vec::new();
        for record in self.gossip.records() {
            record.write(Duration::ZERO, &mut bytes);
        }
        if let Err(error) = files::replace(&state.join(RECORDS_FILE), &bytes) {
            tracing::warn!("the records of members could not be stored: {error}");
        }
    }

    /// Stores the records and announces that this member leaves.
    pub fn leave(&mut self, reactor: &Reactor, now: Duration) {
        self.store();
        self.gossip.leave(now, &mut transport(reactor, self.connection));
    }
}

/// Reads this controller's private key and the ring.
fn read_keys(settings: &GossipPlace, number: u32) -> Result<Keys> {
    let private = PrivateKey::read(&settings.key)?;
    if private.role() != Role::Member(number as Member) {
        let (key, role) = (settings.key.display(), private.role());
        bail!("{key}: the key of {role}, not of this controller, {number}");
    }
    let ring = Ring::read(&settings.ring)?;
    let keys = Keys::new(private, ring);
    keys.with_context(|| {
        format!("{}: this controller's key is not valid in this ring", settings.ring.display())
    })
}

/// When a file was last modified; `None` if it cannot be read.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|data| data.modified()).ok()
}

/// An incarnation number higher than all before, as far as the store or the clock can tell; stored before any
/// message is sent with it.
fn next_incarnation(state: Option<&Path>) -> u32 {
    let file = state.map(|state| state.join(INCARNATION_FILE));
    let incarnation = files::next_life(file.as_deref());
    if let Some(Err(error)) = file.map(|file| std::fs::write(file, files::written_life(incarnation))) {
        tracing::warn!(
            "the incarnation number could not be stored: {error}; the next one comes from the clock"
        );
    }
    incarnation
}

/// The stored records, up to the first torn one; their signatures are verified when they are restored.
fn stored_records(state: &Path) -> Vec<Statement> {
    let file = state.join(RECORDS_FILE);
    let has_valid_size = std::fs::metadata(&file).is_ok_and(|data| data.len() <= MAX_RECORDS_BYTES);
    let bytes = if has_valid_size { std::fs::read(&file).unwrap_or_default() } else { Vec::new() };
    let (mut rest, mut stored) = (bytes.as_slice(), Vec::new());
    while let Some((statement, _, used)) = Statement::read(rest) {
        stored.push(statement);
        rest = &rest[used..];
    }
    stored
}

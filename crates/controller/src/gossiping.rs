//! Gossip among controllers, joined to the ends: keys and what outlives the process from files, datagrams through the
//! loop, events to whom they are for.

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
use badgerledge_reactor::{Line, Reactor};
use metrics::{counter, gauge};

use crate::{files, watch};

/// The ring's file is looked at this often: a revocation takes hold within it.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Bulletins are made no more often: a few joins are lost in that time on a streamer that dies.
const PUBLISH_EVERY: Duration = Duration::from_millis(400);
/// Records are stored this often: a member seldom moves.
const STORE_EVERY: Duration = Duration::from_secs(10);
/// The first time so soon, then after twice as long each time: one that is killed in its first seconds must find the others
/// again, and its seeds may have been killed with it.
const FIRST_STORE: Duration = Duration::from_secs(1);
/// A stream that gets less of its rate, or a link that is asked for so much more than it gives, is strained; and at ease only
/// well off that: notes scatter by some 0.1 about what is (docs/standing.md).
const SHORT: f64 = 0.9;
const AT_EASE_DELIVERED: f64 = 0.98;
const FULL: f64 = 1.05;
const AT_EASE_LINK: f64 = 0.9;
/// Files in the state folder.
const LIFE: &str = "gossip-life";
const RECORDS: &str = "gossip-records";
/// Bytes of stored records at most.
const LONGEST_RECORDS: u64 = 1024 * 1024;

pub struct Gossiping {
    gossip: Gossip<Keys>,
    failure_reports: FailureReports,
    line: Line,
    place: GossipPlace,
    state: Option<PathBuf>,
    ring_read: Option<SystemTime>,
    look_at: Duration,
    publish_at: Duration,
    store_at: Duration,
    store_after: Duration,
    /// What was published last, so that nothing is said twice.
    published: Vec<StreamerId>,
    at: SocketAddr,
    /// A ring that was read anew, for the other subsystems.
    new_keys: Option<Keys>,
}

/// What comes of a wake, for the other subsystems.
#[derive(Default)]
pub struct GossipOutput {
    /// Messages of other controllers, for the subsystem that knows their form.
    pub messages: Vec<(Member, Vec<u8>)>,
    /// Streamers that are now believed to be in trouble.
    pub believed: Vec<StreamerId>,
}

/// Sends what gossip says on its line.
fn transport(reactor: &Reactor, line: Line) -> impl Transport + '_ {
    move |to: SocketAddrV4, bytes: &[u8]| {
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        reactor.send_to(line, SocketAddr::V4(to), bytes);
    }
}

impl Gossiping {
    /// Reads keys and what was stored, and opens the line.
    pub fn new(
        reactor: &mut Reactor, place: &ControllerPlace, told: &GossipPlace, seed: u64,
    ) -> Result<Self> {
        let keys = read_keys(told, place.number)?;
        let ring_read = modified(&told.ring);
        let (line, bound) =
            reactor.datagrams(told.listen).with_context(|| format!("gossip at {}", told.listen))?;
        let SocketAddr::V4(at) = told.advertise.unwrap_or(bound) else {
            bail!("[gossip] listen or advertise: an IPv4 address is taken");
        };
        let seeds = told.seeds.iter().filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(*seed),
            SocketAddr::V6(_) => None,
        });
        let now = reactor.now();
        let life = next_life(place.state.as_deref());
        let mut gossip = Gossip::new(place.number as Member, keys, life, at, seeds.collect(), now, seed);
        let stored = place.state.as_deref().map(stored_records).unwrap_or_default();
        gossip.restore_records(now, stored, &mut Vec::new());
        tracing::info!(life, %at, known = gossip.view().active_count(), "gossip begins");
        Ok(Self {
            gossip,
            failure_reports: FailureReports::default(),
            line,
            place: told.clone(),
            state: place.state.clone(),
            ring_read,
            look_at: now + LOOK_EVERY,
            publish_at: now,
            store_at: now + FIRST_STORE,
            store_after: FIRST_STORE,
            published: Vec::new(),
            at: bound,
            new_keys: None,
        })
    }

    /// Where its datagrams come in; streams of other subsystems come in at the same port.
    pub fn listens_at(&self) -> SocketAddr {
        self.at
    }

    pub fn keys(&self) -> &Keys {
        self.gossip.keyring()
    }

    /// The ring, if it was read anew since this was last asked.
    pub fn take_new_keys(&mut self) -> Option<Keys> {
        self.new_keys.take()
    }

    pub fn life(&self) -> u32 {
        self.gossip.process_incarnation()
    }

    /// Where a member says that it is reached.
    pub fn address(&self, member: Member) -> Option<SocketAddr> {
        self.gossip.view().get(member).map(|known| SocketAddr::V4(known.record.at))
    }

    pub fn is(&self, line: Line) -> bool {
        self.line == line
    }

    pub fn next_due(&self) -> Duration {
        self.gossip.next_due().min(self.look_at)
    }

    /// Does what is due.
    pub fn tick(&mut self, reactor: &Reactor, now: Duration) -> GossipOutput {
        if now < self.next_due() {
            return GossipOutput::default();
        }
        let mut events = Vec::new();
        let mut out = transport(reactor, self.line);
        if now >= self.gossip.next_due() {
            self.gossip.tick(now, &mut out, &mut events);
        }
        if now >= self.look_at {
            self.look_at = now + LOOK_EVERY;
            self.look_at_ring(now);
            self.show();
        }
        if now >= self.store_at {
            self.store_after = (self.store_after * 2).min(STORE_EVERY);
            self.store_at = now + self.store_after;
            self.store();
        }
        self.take(now, events)
    }

    pub fn handle_datagram(
        &mut self, reactor: &Reactor, now: Duration, from: SocketAddr, bytes: &[u8],
    ) -> GossipOutput {
        let SocketAddr::V4(from) = from else { return GossipOutput::default() };
        let (mut events, mut out) = (Vec::new(), transport(reactor, self.line));
        if let Err(fault) = self.gossip.handle_datagram(now, from, bytes, &mut out, &mut events) {
            tracing::debug!(%from, "dropped: {fault}");
        }
        self.take(now, events)
    }

    /// Sends a member another subsystem's message.
    pub fn send_message(&mut self, reactor: &Reactor, now: Duration, to: u32, message: &[u8]) {
        let mut out = transport(reactor, self.line);
        let to = Member::try_from(to).ok();
        to.map(|to| self.gossip.send_message(now, to, message, &mut out));
    }

    fn take(&mut self, now: Duration, events: Vec<Event>) -> GossipOutput {
        let mut output = GossipOutput::default();
        for event in events {
            match event {
                Event::StateChanged(member, state) => tracing::info!(member, standing = ?state, "member"),
                Event::Bulletin(bulletin, age) => {
                    let believed =
                        self.failure_reports.take_bulletin(now, bulletin.author, age, &bulletin.items);
                    for (streamer, kind) in believed.into_iter().filter(|(_, kind)| self.listens_to(*kind)) {
                        tracing::info!(%streamer, by = bulletin.author, ?kind, "believed to be in trouble");
                        output.believed.push(streamer);
                    }
                }
                Event::Message(member, message) => output.messages.push((member, message)),
            }
        }
        output
    }

    /// What a join here came to. Cancelled and throttled ones say nothing of the streamer.
    pub fn seen(&mut self, now: Duration, streamer: StreamerId, ending: Option<Ending>) {
        match ending {
            None => self.failure_reports.observe_join(now, streamer, true),
            Some(ending) if ending.is_lost() => {
                self.failure_reports.observe_join(now, streamer, false);
                self.publish(now);
            }
            Some(Ending::Full) if self.place.strain => {
                self.failure_reports.observe_strain(now, streamer, false);
                self.publish(now);
            }
            Some(_) => {}
        }
    }

    /// A streamer's note on what it delivers, or on its link.
    pub fn noted(&mut self, now: Duration, streamer: StreamerId, kind: u8, value: f64) {
        let strained = match kind {
            1 => value < SHORT,
            3 => value > FULL,
            _ => return,
        };
        // Between the two it is neither.
        let at_ease = match kind {
            1 => value >= AT_EASE_DELIVERED,
            _ => value < AT_EASE_LINK,
        };
        if self.place.strain && (strained || at_ease) {
            self.failure_reports.observe_strain(now, streamer, at_ease);
            if strained {
                self.publish(now);
            }
        }
    }

    fn listens_to(&self, kind: FailureKind) -> bool {
        kind == FailureKind::Lost || self.place.strain
    }

    /// Publishes own losses, as soon as a streamer comes to them that was not among them.
    fn publish(&mut self, now: Duration) {
        if now < self.publish_at {
            return;
        }
        let streamers = self.failure_reports.streamers(now);
        if streamers.iter().all(|streamer| self.published.contains(streamer))
            && now < self.publish_at + PUBLISH_EVERY * 4
        {
            return;
        }
        self.publish_at = now + PUBLISH_EVERY;
        self.published = streamers;
        self.gossip.publish(now, self.failure_reports.items(now));
    }

    /// Reads the ring anew where its file has changed. One that is not in order changes nothing.
    fn look_at_ring(&mut self, now: Duration) {
        let changed = modified(&self.place.ring);
        if changed == self.ring_read {
            return;
        }
        self.ring_read = changed;
        match read_keys(&self.place, u32::from(self.gossip.member())) {
            Ok(keys) => {
                tracing::info!("the ring of keys was read anew");
                self.new_keys = Some(keys.clone());
                self.gossip.replace_keyring(keys, now);
            }
            Err(fault) => tracing::error!("{fault:#}; the keys read before go on holding"),
        }
    }

    fn show(&self) {
        let held = |state: MemberState| {
            let all = self.gossip.view().members();
            all.filter(|(_, known)| known.state == state).count() as f64
        };
        for (state, name) in [
            (MemberState::Alive, "alive"),
            (MemberState::Suspect, "suspect"),
            (MemberState::Dead, "dead"),
            (MemberState::Left, "left"),
        ] {
            gauge!(watch::MEMBERS, "standing" => name).set(held(state));
        }
        let counts = &self.gossip.counts;
        gauge!(watch::GOSSIP_HEALTH).set(f64::from(self.gossip.health()));
        counter!(watch::GOSSIP_SENT).absolute(counts.sent);
        counter!(watch::GOSSIP_SENT_BYTES).absolute(counts.sent_bytes);
        counter!(watch::GOSSIP_HELD_BACK).absolute(counts.held_back);
        counter!(watch::GOSSIP_CHECKED).absolute(counts.checked);
        counter!(watch::GOSSIP_REFUTATIONS).absolute(counts.refutations);
        for (fault, count) in &counts.dropped {
            counter!(watch::GOSSIP_DROPPED, "why" => fault.to_string()).absolute(*count);
        }
    }

    fn store(&self) {
        let Some(state) = &self.state else { return };
        let mut bytes = Vec::new();
        for record in self.gossip.records() {
            record.write(Duration::ZERO, &mut bytes);
        }
        if let Err(e) = files::replace(&state.join(RECORDS), &bytes) {
            tracing::warn!("members could not be stored: {e}");
        }
    }

    /// Says good-bye.
    pub fn leave(&mut self, reactor: &Reactor, now: Duration) {
        self.store();
        self.gossip.leave(now, &mut transport(reactor, self.line));
    }
}

fn read_keys(told: &GossipPlace, number: u32) -> Result<Keys> {
    let private = PrivateKey::read(&told.key)?;
    if private.role() != Role::Member(number as Member) {
        let (key, role) = (told.key.display(), private.role());
        bail!("{key}: the key of {role}, not of this controller, {number}");
    }
    let ring = Ring::read(&told.ring)?;
    let keys = Keys::new(private, ring);
    keys.with_context(|| format!("{}: this controller's key does not hold there", told.ring.display()))
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|data| data.modified()).ok()
}

/// A life later than all before it, as far as a store or the clock can tell; stored before anything is said in it.
fn next_life(state: Option<&Path>) -> u32 {
    let file = state.map(|state| state.join(LIFE));
    let life = files::next_life(file.as_deref());
    if let Some(Err(e)) = file.map(|file| std::fs::write(file, files::written_life(life))) {
        tracing::warn!("this life could not be stored: {e}; the next one is told by the clock");
    }
    life
}

/// Stored records, up to the first that is torn; their signatures are checked when they are taken.
fn stored_records(state: &Path) -> Vec<Statement> {
    let file = state.join(RECORDS);
    let fits = std::fs::metadata(&file).is_ok_and(|data| data.len() <= LONGEST_RECORDS);
    let bytes = if fits { std::fs::read(&file).unwrap_or_default() } else { Vec::new() };
    let (mut rest, mut stored) = (bytes.as_slice(), Vec::new());
    while let Some((statement, _, used)) = Statement::read(rest) {
        stored.push(statement);
        rest = &rest[used..];
    }
    stored
}

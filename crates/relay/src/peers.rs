//! Streams to and from the other control machines.
//!
//! Each machine makes a stream of its own to each other one, on which its messages go; what it hears on it is only that
//! the other end is there. So who has something to say also repairs the way, no two tries to connect ever cross, and a
//! network that fails in one direction is noticed by whom it silences. A stream is up once the other end answered a ping:
//! that shows who it is, and that it is not of an earlier life.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use badgerledge_core::random::Rng;
use badgerledge_distribution::message::{decode, encode, PeerMessage};
use badgerledge_distribution::MachineId;
use badgerledge_keys::Keys;
use badgerledge_reactor::{Bounds, Reactor, SocketId};

use crate::backoff::Backoff;
use crate::envelope::{Identity, Lives, Opener, Payload, PeerFrame, Refusal, Sealer, Session, LONGEST_FRAME};
use crate::telemetry::{self, LineLimit};

/// The name of these streams in metrics.
const KIND: &str = "peer";
const CONNECT_WITHIN: Duration = Duration::from_secs(2);
/// How often a machine shows the others that it is there.
pub const PING_EVERY: Duration = Duration::from_millis(500);
/// A stream on which nothing came for so long is half-open: several pings were lost on it.
pub const SILENT_AFTER: Duration = Duration::from_millis(2500);
/// Bytes of one direction that hold only pongs.
const PONG_BYTES: usize = 16 * 1024;
/// Streams that have not shown whose they are, and those that take an old one's place.
const SPARE_STREAMS: usize = 16;

/// What comes of the peers' streams.
#[derive(Debug)]
pub enum PeerEvent {
    Up(MachineId),
    Down(MachineId),
    Message(MachineId, PeerMessage),
}

/// This machine's own stream to another one.
struct Outgoing {
    address: SocketAddr,
    backoff: Backoff,
    state: State,
}

enum State {
    /// To be made at this time.
    Waiting(Duration),
    Connecting,
    /// Made; the challenge has not come.
    Unchallenged(SocketId, Duration),
    /// Challenged; up once a ping was answered.
    Sealed(Box<SealedStream>),
}

struct SealedStream {
    line: SocketId,
    sealer: Sealer,
    opener: Opener,
    up: bool,
    heard: Duration,
    next_ping: Duration,
}

/// A stream that another machine made.
struct Incoming {
    opener: Opener,
    /// For pongs, once it is known who it is.
    sealer: Option<Sealer>,
    heard: Duration,
}

/// All streams between this control machine and the others.
pub struct Peers {
    identity: Identity,
    keys: Keys,
    listener: SocketId,
    /// The address that streams are made from, if one is told: others know this machine by it.
    from: Option<IpAddr>,
    bounds: Bounds,
    outgoing: BTreeMap<MachineId, Outgoing>,
    by_line: BTreeMap<SocketId, MachineId>,
    incoming: BTreeMap<SocketId, Incoming>,
    lives: Lives,
    chance: Rng,
    lines: LineLimit,
}

impl Peers {
    /// The bounds of streams that come in.
    pub fn incoming_bounds() -> Bounds {
        Bounds { input: LONGEST_FRAME + 64, output: PONG_BYTES }
    }

    /// Streams to these peers, which are begun with the first call of [`Peers::tend`].
    pub fn new(
        identity: Identity, keys: Keys, (listener, listens_at): (SocketId, SocketAddr),
        peers: &BTreeMap<MachineId, SocketAddr>, output_bytes: usize, now: Duration, seed: u64,
    ) -> Self {
        let outgoing = |(number, address): (&MachineId, &SocketAddr)| {
            let made =
                Outgoing { address: *address, backoff: Backoff::default(), state: State::Waiting(now) };
            (*number != identity.machine).then_some((*number, made))
        };
        Self {
            identity,
            keys,
            listener,
            from: Some(listens_at.ip()).filter(|ip| !ip.is_unspecified()),
            bounds: Bounds { input: PONG_BYTES, output: output_bytes },
            outgoing: peers.iter().filter_map(outgoing).collect(),
            by_line: BTreeMap::new(),
            incoming: BTreeMap::new(),
            lives: Lives::default(),
            chance: Rng(seed),
            lines: LineLimit::default(),
        }
    }

    /// The keys that hold from now on.
    pub fn take_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// How many machines answer.
    pub fn up(&self) -> usize {
        let is_up = |peer: &&Outgoing| matches!(&peer.state, State::Sealed(stream) if stream.up);
        self.outgoing.values().filter(is_up).count()
    }

    pub fn is(&self, line: SocketId) -> bool {
        self.by_line.contains_key(&line) || self.incoming.contains_key(&line)
    }

    /// Takes a connection that came in, if it is one of these: it is challenged.
    pub fn accepts(
        &mut self, reactor: &mut Reactor, line: SocketId, listener: SocketId, now: Duration,
    ) -> bool {
        if listener != self.listener {
            return false;
        }
        if self.incoming.len() >= 2 * self.outgoing.len() + SPARE_STREAMS {
            self.close_a_stranger(reactor);
        }
        let Some(session) = draw_session() else {
            reactor.close(line);
            return true;
        };
        reactor.send(line, &[&encode(&PeerFrame::Challenge { session })]);
        let opener = Opener::new(self.identity.machine, None, session);
        self.incoming.insert(line, Incoming { opener, sealer: None, heard: now });
        true
    }

    /// Closes the oldest stream that has not shown whose it is: strangers must not take the machines' room.
    fn close_a_stranger(&mut self, reactor: &mut Reactor) {
        let stranger = self.incoming.iter().find(|(_, stream)| stream.sealer.is_none());
        if let Some(line) = stranger.map(|(line, _)| *line) {
            self.incoming.remove(&line);
            reactor.close(line);
        }
    }

    /// A stream of this side is made.
    pub fn opened(&mut self, line: SocketId, now: Duration) {
        let peer = self.by_line.get(&line).and_then(|number| self.outgoing.get_mut(number));
        if let Some(peer) = peer {
            peer.state = State::Unchallenged(line, now);
        }
    }

    /// A stream has ended.
    pub fn closed(&mut self, line: SocketId, now: Duration, events: &mut Vec<PeerEvent>) {
        self.incoming.remove(&line);
        let Some(number) = self.by_line.remove(&line) else { return };
        let Some(peer) = self.outgoing.get_mut(&number) else { return };
        let pause = peer.backoff.next(&mut self.chance);
        let before = std::mem::replace(&mut peer.state, State::Waiting(now + pause));
        if matches!(before, State::Sealed(stream) if stream.up) {
            tracing::warn!(peer = number, "a control machine does not answer any more");
            events.push(PeerEvent::Down(number));
        }
    }

    /// Takes what came in on a stream.
    pub fn readable(
        &mut self, reactor: &mut Reactor, line: SocketId, now: Duration, events: &mut Vec<PeerEvent>,
    ) {
        loop {
            let taken = match decode::<PeerFrame>(reactor.input(line), LONGEST_FRAME) {
                Ok(None) => return,
                Ok(Some((frame, used))) => {
                    reactor.consume(line, used);
                    telemetry::count_bytes(KIND, "in", used);
                    self.take(reactor, line, now, frame, events)
                }
                Err(fault) => Err(Refusal::Frame(fault)),
            };
            if let Err(refusal) = taken {
                self.refuse(line, now, refusal);
                reactor.close(line);
                return self.closed(line, now, events);
            }
        }
    }

    fn refuse(&mut self, line: SocketId, now: Duration, refusal: Refusal) {
        telemetry::count_refused(KIND, refusal.label());
        if let Some(suppressed) = self.lines.allows(now, refusal.label()) {
            let peer = self.by_line.get(&line).copied();
            tracing::warn!(line, peer, suppressed, "refused on a control machine's stream: {refusal}");
        }
    }

    fn take(
        &mut self, reactor: &mut Reactor, line: SocketId, now: Duration, frame: PeerFrame,
        events: &mut Vec<PeerEvent>,
    ) -> Result<(), Refusal> {
        match (frame, self.by_line.get(&line).copied()) {
            (PeerFrame::Sealed(envelope), None) => {
                let Some(stream) = self.incoming.get_mut(&line) else { return Ok(()) };
                let payload = stream.opener.open(&envelope, &self.keys, &mut self.lives)?;
                stream.heard = now;
                match payload {
                    Payload::Message(message) => events.push(PeerEvent::Message(envelope.from, message)),
                    Payload::Ping => {
                        self.pong(reactor, line, (envelope.from, envelope.life, envelope.sequence))
                    }
                    Payload::Pong { .. } => return Err(Refusal::Unexpected),
                }
                Ok(())
            }
            (PeerFrame::Challenge { session }, Some(number)) => self.challenged(line, number, session, now),
            (PeerFrame::Sealed(envelope), Some(number)) => {
                let Some(State::Sealed(stream)) = self.outgoing.get_mut(&number).map(|peer| &mut peer.state)
                else {
                    return Err(Refusal::Unexpected);
                };
                let payload = stream.opener.open(&envelope, &self.keys, &mut self.lives)?;
                let Payload::Pong { life, sequence } = payload else { return Err(Refusal::Unexpected) };
                if life != self.identity.life || sequence > stream.sealer.sequence() {
                    return Err(Refusal::Replayed(number));
                }
                stream.heard = now;
                if !std::mem::replace(&mut stream.up, true) {
                    tracing::info!(peer = number, life = envelope.life, "a control machine answers");
                    self.outgoing.get_mut(&number).into_iter().for_each(|peer| peer.backoff.reset());
                    events.push(PeerEvent::Up(number));
                }
                Ok(())
            }
            (PeerFrame::Challenge { .. }, None) => Err(Refusal::Unexpected),
        }
    }

    fn challenged(
        &mut self, line: SocketId, number: MachineId, session: Session, now: Duration,
    ) -> Result<(), Refusal> {
        let (identity, peer) = (self.identity, self.outgoing.get_mut(&number));
        let Some(peer) = peer.filter(|peer| matches!(peer.state, State::Unchallenged(..))) else {
            return Err(Refusal::Unexpected);
        };
        peer.state = State::Sealed(Box::new(SealedStream {
            line,
            sealer: Sealer::new(identity, number, session),
            opener: Opener::new(identity.machine, Some(number), session),
            up: false,
            heard: now,
            // At once: only its answer shows who is there.
            next_ping: now,
        }));
        Ok(())
    }

    /// Answers a ping. The first one shows whose stream it is: it takes the place of an older one of the same machine.
    fn pong(&mut self, reactor: &mut Reactor, line: SocketId, (from, life, sequence): (MachineId, u32, u64)) {
        let identity = self.identity;
        let Some(stream) = self.incoming.get_mut(&line) else { return };
        let session = stream.opener.session();
        let is_first = stream.sealer.is_none();
        let sealer = stream.sealer.get_or_insert_with(|| Sealer::new(identity, from, session));
        let bytes = encode(&sealer.seal(&Payload::Pong { life, sequence }, &self.keys));
        send(reactor, line, &bytes);
        if is_first {
            let older = self.incoming.iter().filter(|(other, stream)| {
                **other != line && stream.sealer.is_some() && stream.opener.peer() == Some(from)
            });
            let older: Vec<SocketId> = older.map(|(line, _)| *line).collect();
            for line in older {
                self.incoming.remove(&line);
                reactor.close(line);
            }
        }
    }

    /// Sends a message to a machine. One that is not up, or has too much waiting for it, does not get it.
    pub fn send(&mut self, reactor: &mut Reactor, to: MachineId, message: PeerMessage) {
        let state = self.outgoing.get_mut(&to).map(|peer| &mut peer.state);
        let Some(State::Sealed(stream)) = state.filter(|state| matches!(state, State::Sealed(s) if s.up))
        else {
            return telemetry::count_dropped(KIND);
        };
        let bytes = encode(&stream.sealer.seal(&Payload::Message(message), &self.keys));
        if !send(reactor, stream.line, &bytes) {
            telemetry::count_dropped(KIND);
        }
    }

    /// When [`Peers::tend`] wants to be called.
    pub fn next_due(&self) -> Duration {
        let outgoing = self.outgoing.values().map(|peer| match &peer.state {
            State::Waiting(at) => *at,
            // The loop tells when it is made, or is not in time.
            State::Connecting => Duration::MAX,
            State::Unchallenged(_, since) => *since + SILENT_AFTER,
            State::Sealed(stream) => stream.next_ping.min(stream.heard + SILENT_AFTER),
        });
        let incoming = self.incoming.values().map(|stream| stream.heard + SILENT_AFTER);
        outgoing.chain(incoming).min().unwrap_or(Duration::MAX)
    }

    /// Connects, pings, and closes what is silent.
    pub fn tend(&mut self, reactor: &mut Reactor, now: Duration, events: &mut Vec<PeerEvent>) {
        self.close_silent(reactor, now, events);
        for (number, peer) in &mut self.outgoing {
            match &mut peer.state {
                State::Waiting(at) if now >= *at => {
                    match reactor.connect_from(self.from, peer.address, CONNECT_WITHIN, self.bounds) {
                        Ok(line) => {
                            peer.state = State::Connecting;
                            self.by_line.insert(line, *number);
                        }
                        Err(_) => *at = now + peer.backoff.next(&mut self.chance),
                    }
                }
                State::Sealed(stream) if now >= stream.next_ping => {
                    stream.next_ping = now + PING_EVERY;
                    let bytes = encode(&stream.sealer.seal(&Payload::Ping, &self.keys));
                    send(reactor, stream.line, &bytes);
                }
                _ => {}
            }
        }
    }

    fn close_silent(&mut self, reactor: &mut Reactor, now: Duration, events: &mut Vec<PeerEvent>) {
        let outgoing = self.outgoing.values().filter_map(|peer| match &peer.state {
            State::Unchallenged(line, since) => (now >= *since + SILENT_AFTER).then_some(*line),
            State::Sealed(stream) => (now >= stream.heard + SILENT_AFTER).then_some(stream.line),
            State::Waiting(_) | State::Connecting => None,
        });
        let is_silent =
            |(line, stream): (&SocketId, &Incoming)| (now >= stream.heard + SILENT_AFTER).then_some(*line);
        let silent: Vec<SocketId> = outgoing.chain(self.incoming.iter().filter_map(is_silent)).collect();
        for line in silent {
            reactor.close(line);
            self.closed(line, now, events);
        }
    }
}

fn send(reactor: &mut Reactor, line: SocketId, bytes: &[u8]) -> bool {
    let sent = reactor.send(line, &[bytes]);
    if sent {
        telemetry::count_bytes(KIND, "out", bytes.len());
    }
    sent
}

fn draw_session() -> Option<Session> {
    let mut session = Session::default();
    getrandom::fill(&mut session).ok()?;
    Some(session)
}

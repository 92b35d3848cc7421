//! Streams to and from the other control machines.
//!
//! Each machine opens a stream to each other machine and sends its messages on it; in the other direction it receives only
//! pongs. So the sender reconnects by itself, two connection attempts never conflict, and a network failure in one direction
//! is detected by the machine whose messages are lost. A stream is up once the peer answered a ping: this proves the peer's
//! identity, and that it is not an earlier incarnation.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use badgerledge_core::random::Rng;
use badgerledge_distribution::message::{decode, encode, PeerMessage};
use badgerledge_distribution::MachineId;
use badgerledge_keys::Keys;
use badgerledge_reactor::{Bounds, Reactor, SocketId};

use crate::backoff::Backoff;
use crate::envelope::{
    Identity, Incarnations, Opener, Payload, PeerFrame, Refusal, Sealer, Session, MAX_FRAME_BYTES,
};
use crate::telemetry::{self, LogLimiter};

/// The label of these streams in metrics.
const STREAM_LABEL: &str = "peer";
/// A connection attempt fails after this time.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between pings on an outgoing stream.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// A stream on which nothing was received for this long is treated as half-open and closed: several pings were lost.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Buffer size of the direction of a stream that carries only pongs.
const PONG_BUFFER_BYTES: usize = 16 * 1024;
/// Incoming streams allowed beyond two per peer: for unidentified ones, and for new ones that replace old ones.
const EXTRA_INCOMING_STREAMS: usize = 16;

/// An event on the streams to and from peers.
#[derive(Debug)]
pub enum PeerEvent {
    /// The peer answered a ping on a new stream.
    Up(MachineId),
    /// The stream to a peer that was up has closed.
    Down(MachineId),
    /// A message from the peer was received and its signature verified.
    Message(MachineId, PeerMessage),
}

/// The stream that this machine opens to a peer.
struct Outgoing {
    address: SocketAddr,
    backoff: Backoff,
    state: State,
}

enum State {
    /// Disconnected; the next connection attempt is at this time.
    Waiting(Duration),
    Connecting,
    /// Connected at this time; the challenge has not arrived.
    Unchallenged(SocketId, Duration),
    /// Challenged; messages are sent once a ping was answered.
    Sealed(Box<SealedStream>),
}

struct SealedStream {
    connection: SocketId,
    sealer: Sealer,
    opener: Opener,
    up: bool,
    last_received_at: Duration,
    next_ping_at: Duration,
}

/// A stream that a peer opened.
struct Incoming {
    opener: Opener,
    /// Signs the pongs; present once the peer is identified.
    sealer: Option<Sealer>,
    last_received_at: Duration,
}

/// All streams between this control machine and the others.
pub struct Peers {
    identity: Identity,
    keys: Keys,
    listener: SocketId,
    /// The source address of outgoing streams, if a specific one is configured: peers know this machine by it.
    source_address: Option<IpAddr>,
    /// Buffer sizes of an outgoing stream.
    outgoing_bounds: Bounds,
    outgoing: BTreeMap<MachineId, Outgoing>,
    /// The peer of each outgoing stream.
    peer_by_connection: BTreeMap<SocketId, MachineId>,
    incoming: BTreeMap<SocketId, Incoming>,
    incarnations: Incarnations,
    rng: Rng,
    log_limiter: LogLimiter,
}

impl Peers {
    /// The buffer sizes of an incoming stream.
    pub fn incoming_bounds() -> Bounds {
        Bounds { input: MAX_FRAME_BYTES + 64, output: PONG_BUFFER_BYTES }
    }

    /// Prepares streams to these peers; the first call of [`Peers::poll`] connects them.
    pub fn new(
        identity: Identity, keys: Keys, (listener, listen_address): (SocketId, SocketAddr),
        peers: &BTreeMap<MachineId, SocketAddr>, output_bytes: usize, now: Duration, seed: u64,
    ) -> Self {
        let disconnected = |(number, address): (&MachineId, &SocketAddr)| {
            let outgoing =
                Outgoing { address: *address, backoff: Backoff::default(), state: State::Waiting(now) };
            (*number != identity.machine).then_some((*number, outgoing))
        };
        Self {
            identity,
            keys,
            listener,
            source_address: Some(listen_address.ip()).filter(|ip| !ip.is_unspecified()),
            outgoing_bounds: Bounds { input: PONG_BUFFER_BYTES, output: output_bytes },
            outgoing: peers.iter().filter_map(disconnected).collect(),
            peer_by_connection: BTreeMap::new(),
            incoming: BTreeMap::new(),
            incarnations: Incarnations::default(),
            rng: Rng(seed),
            log_limiter: LogLimiter::default(),
        }
    }

    /// Replaces the keys that sign and verify envelopes.
    pub fn replace_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// The number of peers whose stream is up.
    pub fn peers_up(&self) -> usize {
        let is_up = |peer: &&Outgoing| matches!(&peer.state, State::Sealed(stream) if stream.up);
        self.outgoing.values().filter(is_up).count()
    }

    /// Whether this connection is a stream to or from a peer.
    pub fn contains(&self, connection: SocketId) -> bool {
        self.peer_by_connection.contains_key(&connection) || self.incoming.contains_key(&connection)
    }

    /// Takes over a connection accepted by the peers' listener and sends the challenge on it. Returns whether it did.
    pub fn on_accepted(
        &mut self, reactor: &mut Reactor, connection: SocketId, listener: SocketId, now: Duration,
    ) -> bool {
        if listener != self.listener {
            return false;
        }
        if self.incoming.len() >= 2 * self.outgoing.len() + EXTRA_INCOMING_STREAMS {
            self.close_oldest_unidentified(reactor);
        }
        let Some(session) = random_session() else {
            reactor.close(connection);
            return true;
        };
        reactor.send(connection, &[&encode(&PeerFrame::Challenge { session })]);
        let opener = Opener::new(self.identity.machine, None, session);
        self.incoming.insert(connection, Incoming { opener, sealer: None, last_received_at: now });
        true
    }

    /// Closes the oldest incoming stream of an unidentified sender, so that such streams cannot keep out the peers.
    fn close_oldest_unidentified(&mut self, reactor: &mut Reactor) {
        let unidentified = self.incoming.iter().find(|(_, stream)| stream.sealer.is_none());
        if let Some(connection) = unidentified.map(|(connection, _)| *connection) {
            self.incoming.remove(&connection);
            reactor.close(connection);
        }
    }

    /// An outgoing stream is connected.
    pub fn on_connected(&mut self, connection: SocketId, now: Duration) {
        let peer = self.peer_by_connection.get(&connection).and_then(|number| self.outgoing.get_mut(number));
        if let Some(peer) = peer {
            peer.state = State::Unchallenged(connection, now);
        }
    }

    /// A stream has closed. An outgoing one is connected again after a pause.
    pub fn on_closed(&mut self, connection: SocketId, now: Duration, events: &mut Vec<PeerEvent>) {
        self.incoming.remove(&connection);
        let Some(number) = self.peer_by_connection.remove(&connection) else { return };
        let Some(peer) = self.outgoing.get_mut(&number) else { return };
        let pause = peer.backoff.next(&mut self.rng);
        let previous = std::mem::replace(&mut peer.state, State::Waiting(now + pause));
        if matches!(previous, State::Sealed(stream) if stream.up) {
            tracing::warn!(peer = number, "a control machine stopped answering");
            events.push(PeerEvent::Down(number));
        }
    }

    /// Handles the frames received on a stream; an invalid one closes the stream.
    pub fn on_readable(
        &mut self, reactor: &mut Reactor, connection: SocketId, now: Duration, events: &mut Vec<PeerEvent>,
    ) {
        loop {
            let handled = match decode::<PeerFrame>(reactor.input(connection), MAX_FRAME_BYTES) {
                Ok(None) => return,
                Ok(Some((frame, used))) => {
                    reactor.consume(connection, used);
                    telemetry::count_bytes(STREAM_LABEL, "in", used);
                    self.handle_frame(reactor, connection, now, frame, events)
                }
                Err(fault) => Err(Refusal::Frame(fault)),
            };
            if let Err(refusal) = handled {
                self.log_refusal(connection, now, refusal);
                reactor.close(connection);
                return self.on_closed(connection, now, events);
            }
        }
    }

    /// Counts and logs a refused frame.
    fn log_refusal(&mut self, connection: SocketId, now: Duration, refusal: Refusal) {
        telemetry::count_refused_frame(STREAM_LABEL, refusal.label());
        if let Some(suppressed) = self.log_limiter.allows(now, refusal.label()) {
            let peer = self.peer_by_connection.get(&connection).copied();
            tracing::warn!(
                line = connection,
                peer,
                suppressed,
                "frame from a control machine refused; closing the stream: {refusal}"
            );
        }
    }

    fn handle_frame(
        &mut self, reactor: &mut Reactor, connection: SocketId, now: Duration, frame: PeerFrame,
        events: &mut Vec<PeerEvent>,
    ) -> Result<(), Refusal> {
        match (frame, self.peer_by_connection.get(&connection).copied()) {
            (PeerFrame::Sealed(envelope), None) => {
                let Some(stream) = self.incoming.get_mut(&connection) else { return Ok(()) };
                let payload = stream.opener.open(&envelope, &self.keys, &mut self.incarnations)?;
                stream.last_received_at = now;
                match payload {
                    Payload::Message(message) => events.push(PeerEvent::Message(envelope.from, message)),
                    Payload::Ping => self.send_pong(
                        reactor,
                        connection,
                        (envelope.from, envelope.incarnation, envelope.sequence),
                    ),
                    Payload::Pong { .. } => return Err(Refusal::Unexpected),
                }
                Ok(())
            }
            (PeerFrame::Challenge { session }, Some(number)) => {
                self.on_challenge(connection, number, session, now)
            }
            (PeerFrame::Sealed(envelope), Some(number)) => {
                let Some(State::Sealed(stream)) = self.outgoing.get_mut(&number).map(|peer| &mut peer.state)
                else {
                    return Err(Refusal::Unexpected);
                };
                let payload = stream.opener.open(&envelope, &self.keys, &mut self.incarnations)?;
                let Payload::Pong { incarnation, sequence } = payload else {
                    return Err(Refusal::Unexpected);
                };
                if incarnation != self.identity.incarnation || sequence > stream.sealer.sequence() {
                    return Err(Refusal::Replayed(number));
                }
                stream.last_received_at = now;
                if !std::mem::replace(&mut stream.up, true) {
                    tracing::info!(peer = number, life = envelope.incarnation, "a control machine answers");
                    self.outgoing.get_mut(&number).into_iter().for_each(|peer| peer.backoff.reset());
                    events.push(PeerEvent::Up(number));
                }
                Ok(())
            }
            (PeerFrame::Challenge { .. }, None) => Err(Refusal::Unexpected),
        }
    }

    /// Handles the challenge on an outgoing stream: from now on envelopes can be signed for its session.
    fn on_challenge(
        &mut self, connection: SocketId, number: MachineId, session: Session, now: Duration,
    ) -> Result<(), Refusal> {
        let (identity, peer) = (self.identity, self.outgoing.get_mut(&number));
        let Some(peer) = peer.filter(|peer| matches!(peer.state, State::Unchallenged(..))) else {
            return Err(Refusal::Unexpected);
        };
        peer.state = State::Sealed(Box::new(SealedStream {
            connection,
            sealer: Sealer::new(identity, number, session),
            opener: Opener::new(identity.machine, Some(number), session),
            up: false,
            last_received_at: now,
            // Immediately, since the peer is only identified by its answer.
            next_ping_at: now,
        }));
        Ok(())
    }

    /// Answers a ping. The first ping identifies the sender: older incoming streams of the same machine are closed.
    fn send_pong(
        &mut self, reactor: &mut Reactor, connection: SocketId,
        (from, incarnation, sequence): (MachineId, u32, u64),
    ) {
        let identity = self.identity;
        let Some(stream) = self.incoming.get_mut(&connection) else { return };
        let session = stream.opener.session();
        let is_first = stream.sealer.is_none();
        let sealer = stream.sealer.get_or_insert_with(|| Sealer::new(identity, from, session));
        let bytes = encode(&sealer.seal(&Payload::Pong { incarnation, sequence }, &self.keys));
        send_bytes(reactor, connection, &bytes);
        if is_first {
            let older = self.incoming.iter().filter(|(other, stream)| {
                **other != connection && stream.sealer.is_some() && stream.opener.peer() == Some(from)
            });
            let older: Vec<SocketId> = older.map(|(connection, _)| *connection).collect();
            for connection in older {
                self.incoming.remove(&connection);
                reactor.close(connection);
            }
        }
    }

    /// Sends a message to a peer. The message is dropped if the peer is not up or its output buffer is full.
    pub fn send(&mut self, reactor: &mut Reactor, to: MachineId, message: PeerMessage) {
        let state = self.outgoing.get_mut(&to).map(|peer| &mut peer.state);
        let Some(State::Sealed(stream)) = state.filter(|state| matches!(state, State::Sealed(s) if s.up))
        else {
            return telemetry::count_dropped_message(STREAM_LABEL);
        };
        let bytes = encode(&stream.sealer.seal(&Payload::Message(message), &self.keys));
        if !send_bytes(reactor, stream.connection, &bytes) {
            telemetry::count_dropped_message(STREAM_LABEL);
        }
    }

    /// When [`Peers::poll`] must be called next.
    pub fn next_poll_at(&self) -> Duration {
        let outgoing = self.outgoing.values().map(|peer| match &peer.state {
            State::Waiting(at) => *at,
            // The reactor reports success, or failure after CONNECT_TIMEOUT.
            State::Connecting => Duration::MAX,
            State::Unchallenged(_, since) => *since + SILENCE_TIMEOUT,
            State::Sealed(stream) => stream.next_ping_at.min(stream.last_received_at + SILENCE_TIMEOUT),
        });
        let incoming = self.incoming.values().map(|stream| stream.last_received_at + SILENCE_TIMEOUT);
        outgoing.chain(incoming).min().unwrap_or(Duration::MAX)
    }

    /// Connects, sends pings, and closes silent streams.
    pub fn poll(&mut self, reactor: &mut Reactor, now: Duration, events: &mut Vec<PeerEvent>) {
        self.close_silent(reactor, now, events);
        for (number, peer) in &mut self.outgoing {
            match &mut peer.state {
                State::Waiting(at) if now >= *at => {
                    match reactor.connect_from(
                        self.source_address,
                        peer.address,
                        CONNECT_TIMEOUT,
                        self.outgoing_bounds,
                    ) {
                        Ok(connection) => {
                            peer.state = State::Connecting;
                            self.peer_by_connection.insert(connection, *number);
                        }
                        Err(_) => *at = now + peer.backoff.next(&mut self.rng),
                    }
                }
                State::Sealed(stream) if now >= stream.next_ping_at => {
                    stream.next_ping_at = now + PING_INTERVAL;
                    let bytes = encode(&stream.sealer.seal(&Payload::Ping, &self.keys));
                    send_bytes(reactor, stream.connection, &bytes);
                }
                _ => {}
            }
        }
    }

    fn close_silent(&mut self, reactor: &mut Reactor, now: Duration, events: &mut Vec<PeerEvent>) {
        let outgoing = self.outgoing.values().filter_map(|peer| match &peer.state {
            State::Unchallenged(connection, since) => {
                (now >= *since + SILENCE_TIMEOUT).then_some(*connection)
            }
            State::Sealed(stream) => {
                (now >= stream.last_received_at + SILENCE_TIMEOUT).then_some(stream.connection)
            }
            State::Waiting(_) | State::Connecting => None,
        });
        let is_silent = |(connection, stream): (&SocketId, &Incoming)| {
            (now >= stream.last_received_at + SILENCE_TIMEOUT).then_some(*connection)
        };
        let silent: Vec<SocketId> = outgoing.chain(self.incoming.iter().filter_map(is_silent)).collect();
        for connection in silent {
            reactor.close(connection);
            self.on_closed(connection, now, events);
        }
    }
}

/// Queues bytes on a connection. Returns whether they fit into its output buffer.
fn send_bytes(reactor: &mut Reactor, connection: SocketId, bytes: &[u8]) -> bool {
    let sent = reactor.send(connection, &[bytes]);
    if sent {
        telemetry::count_bytes(STREAM_LABEL, "out", bytes.len());
    }
    sent
}

/// An unpredictable session number, from the operating system; none if it has no random numbers.
fn random_session() -> Option<Session> {
    let mut session = Session::default();
    getrandom::fill(&mut session).ok()?;
    Some(session)
}

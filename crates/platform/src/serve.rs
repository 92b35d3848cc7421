//! The main loop: passes the events of each wait to the session table, and runs a round of the decision
//! module at most once per tick.

mod discovery;
mod shutdown;

use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{Ending, Listing, StreamerId};
use badgerledge_core::random::Rng;
use badgerledge_names::StreamerList;
use badgerledge_reactor::{raise_descriptors, CloseReason, Reactor, ReactorEvent, SocketId};
use badgerledge_signalling::{streamers, viewers};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::configuration;
use crate::connections::Connections;
use crate::inbound::{StreamerHandler, ViewerHandler};
use crate::request::PlatformSettings;
use crate::session_table::SessionTable;
use crate::signal_times::SignalTimes;
use crate::streamer_pool::{PoolEvent, StreamerPool};
use crate::unanswered::{ClosedBy, Step, UnansweredSetUp};
use crate::viewer_pool::{self, ViewerPool};

/// Start of the clock, so that streamers that started long before this process have a positive time.
const CLOCK_START: Duration = Duration::from_secs(30 * 24 * 3600);
/// Interval at which the time-outs of connections are checked: well under each of them.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Connections accepted per wait: each uses a descriptor before it is known whether it may stay.
const MAX_ACCEPTS_PER_WAIT: usize = 8;
/// Descriptors used for neither viewers nor streamers: three standard streams, three of the poller, the
/// listener, two for each signal, two datagram sockets; the connections accepted in one wait; and the
/// configuration file while it is reread.
const RESERVED_DESCRIPTORS: usize = 15 + MAX_ACCEPTS_PER_WAIT + 1;
/// If the name service does not answer, health checks succeed after this time: by then all events it could
/// have reported count as reported, and nine in ten restarts must be ready within ten seconds.
const READY_WITHOUT_LIST_AFTER: Duration = Duration::from_millis(4500);

/// A running controller.
pub struct Service {
    connections: Connections,
    sessions: SessionTable,
    streamers: StreamerList,
    rng: Rng,
    /// The socket that viewers connect to, until it is closed at shutdown.
    listener: Option<SocketId>,
    /// Whether a connection was accepted in the last wait.
    accepted_in_last_wait: bool,
    /// The datagram socket to the name service, and when the next query is sent.
    name_service_socket: SocketId,
    next_query_at: Duration,
    next_sweep_at: Duration,
    next_round_at: Duration,
    configuration_path: PathBuf,
    /// Unix time at the zero of the clock, to convert start times of streamers.
    unix_at_zero: Duration,
    /// Whether the list was received late enough to include all starts before this process's own; and the
    /// first query whose answer proves that.
    list_is_fresh: bool,
    first_fresh_query: Option<u64>,
    /// When the configuration is reread next, and the time after which it is not retried.
    reread: Option<(Duration, Duration)>,
    /// When a signal that the last wait reported may have been sent.
    signal_times: SignalTimes,
    /// Since SIGTERM or SIGINT.
    shutdown: Option<shutdown::Shutdown>,
}

/// Runs until the shutdown that SIGTERM begins has ended.
pub fn run() -> Result<()> {
    let path = configuration::path()?;
    let configuration = configuration::read(&path)?;
    Service::new(path, configuration)?.serve()
}

impl Service {
    fn new(configuration_path: PathBuf, configuration: configuration::Configuration) -> Result<Self> {
        let mut reactor = Reactor::new(CLOCK_START).context("event loop")?;
        for signal in [SIGTERM, SIGINT, SIGHUP] {
            reactor.watch_signal(signal).context("signals")?;
        }
        reactor.set_max_accepts_per_wait(MAX_ACCEPTS_PER_WAIT);
        let settings = PlatformSettings::new(&configuration.settings);
        let descriptors = raise_descriptors().min(configuration.max_sockets);
        // Half for viewers: they use a third at most, but arrive in crowds. The rest for streamers.
        let max_viewers = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        let viewer_pool = ViewerPool::new(max_viewers);
        let streamer_pool = StreamerPool::new(
            descriptors.saturating_sub(RESERVED_DESCRIPTORS + max_viewers).max(1),
            settings.connect_timeout,
            settings.keepalive,
            settings.max_streams_per_connection,
            settings.progress_interval,
            configuration.seed.rotate_left(17),
        );
        let unix_now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_at_zero = unix_now.saturating_sub(reactor.clock());
        let local = |port| SocketAddr::V4(SocketAddrV4::new(*configuration.listen.ip(), port));
        let (name_service_socket, _) =
            reactor.bind_datagrams(local(0)).context("socket to the name service")?;
        let peer_socket =
            configuration.peer_listen.map(|address| reactor.bind_datagrams(SocketAddr::V4(address)));
        let peer_socket =
            peer_socket.transpose().context("socket to the other controllers")?.map(|(socket, _)| socket);
        let module = Controller::new(CLOCK_START, configuration.seed, configuration.settings.clone());
        let mut streamers = StreamerList::default();
        // The list that the file should contain arrives with the first answer of the name service.
        if let Err(fault) = streamers.load_events(&configuration.known_events) {
            tracing::warn!(%fault, "known: invalid; waiting for the list of the name service");
        }
        let sessions = SessionTable::new(module, settings, configuration.memory_mb);
        let listen = SocketAddr::V4(configuration.listen);
        let name = configuration.name.clone();
        let (sockets, memory_mb, last) =
            (configuration.max_sockets, configuration.memory_mb, streamers.last_event());
        let connections =
            Connections { reactor, now: CLOCK_START, viewer_pool, streamer_pool, configuration, peer_socket };
        let rng = Rng(connections.configuration.seed.rotate_left(31));
        let mut service = Self {
            connections,
            sessions,
            streamers,
            rng,
            listener: None,
            accepted_in_last_wait: false,
            name_service_socket,
            next_query_at: CLOCK_START,
            next_sweep_at: CLOCK_START,
            next_round_at: CLOCK_START,
            configuration_path,
            unix_at_zero,
            list_is_fresh: false,
            first_fresh_query: None,
            reread: None,
            signal_times: SignalTimes::default(),
            shutdown: None,
        };
        service.publish_list(Listing::Cached);
        service.sessions.round(CLOCK_START, &mut service.connections);
        // Listens only now, so that the first health check finds the list loaded and the decision module
        // running.
        let listening = service.connections.reactor.listen(listen, viewer_pool::BOUNDS);
        let (listener, _) = listening.with_context(|| format!("listening at {listen}"))?;
        service.listener = Some(listener);
        tracing::info!(name, %listen, sockets, memory_mb, last, "serves");
        Ok(service)
    }

    fn serve(mut self) -> Result<()> {
        let mut events = Vec::new();
        while !self.advance_shutdown() {
            let until = self.next_wake();
            self.accepted_in_last_wait = false;
            let (woke_before, waits_since) = (self.connections.now, self.connections.reactor.clock());
            self.connections.reactor.wait(Some(until), &mut events).context("event loop")?;
            self.connections.now = self.connections.reactor.now();
            self.signal_times.record_wait(woke_before, waits_since, until, self.connections.now);
            events.drain(..).for_each(|event| self.handle_event(event));
            self.read_unread_viewers();
            if !self.is_closing() {
                self.poll();
            }
            self.process_pool_events();
            let now = self.connections.now;
            self.sessions.run_timers(now, &mut self.connections);
            if now >= self.next_round_at && self.sessions.has_inputs() && !self.is_closing() {
                self.next_round_at = now + self.sessions.store.settings.tick;
                self.sessions.round(now, &mut self.connections);
            }
            self.process_pool_events();
            self.connections.reactor.flush();
        }
        for (by, step, count) in self.sessions.store.unanswered.all() {
            tracing::info!(?by, %step, count, "set-ups whose connection closed before their answer");
        }
        self.log_end();
        Ok(())
    }

    fn next_wake(&self) -> Duration {
        if self.is_closing() {
            return self.next_shutdown_step().unwrap_or(self.connections.now);
        }
        let next_round_at = match self.sessions.has_inputs() {
            true => Some(self.next_round_at),
            false => self.sessions.next_timer().map(|at| at.max(self.next_round_at)),
        };
        next_round_at
            .into_iter()
            .chain([self.next_query_at, self.next_sweep_at])
            .chain(self.next_shutdown_step())
            .min()
            .unwrap_or(self.next_sweep_at)
    }

    fn handle_event(&mut self, event: ReactorEvent) {
        let now = self.connections.now;
        match event {
            ReactorEvent::Accepted { connection, .. } => self.accept_viewer(connection),
            ReactorEvent::Readable(connection) if self.connections.viewer_pool.contains(connection) => {
                self.read_viewer(connection)
            }
            ReactorEvent::Readable(connection) if self.connections.streamer_pool.contains(connection) => {
                self.read_streamer(connection)
            }
            ReactorEvent::Opened(connection) => {
                let streamer = self.connections.streamer_pool.streamer(connection);
                let accepts_joins = streamer.is_some_and(|streamer| self.sessions.accepts_joins(streamer));
                self.connections.streamer_pool.connection_established(
                    connection,
                    accepts_joins,
                    now,
                    &mut self.connections.reactor,
                );
            }
            ReactorEvent::Closed(connection, reason) if self.connections.viewer_pool.contains(connection) => {
                tracing::trace!(line = connection, why = ?reason, "viewer connection closed");
                self.drop_viewer(connection, reason.into());
            }
            ReactorEvent::Closed(connection, reason) => {
                // The last input may have arrived together with the end.
                self.read_streamer(connection);
                let in_order = matches!(reason, CloseReason::ByPeer | CloseReason::Finished)
                    && self.connections.reactor.input(connection).is_empty();
                let streamer = self.connections.streamer_pool.streamer(connection);
                let has_sessions = streamer.is_some_and(|streamer| self.sessions.playing_at(streamer) > 0);
                self.connections.streamer_pool.connection_closed(
                    connection,
                    in_order,
                    now,
                    has_sessions,
                    &mut self.connections.reactor,
                );
            }
            ReactorEvent::Datagram { socket, from, bytes } if socket == self.name_service_socket => {
                if from == SocketAddr::V4(self.connections.configuration.name_service) {
                    self.handle_name_service_answer(&bytes);
                }
            }
            ReactorEvent::Datagram { from, bytes, .. } => {
                let peers = &self.connections.configuration.peers;
                if let Some(peer) = peers.iter().position(|peer| SocketAddr::V4(*peer) == from) {
                    self.sessions.peer_message(peer as u32, bytes);
                }
            }
            ReactorEvent::Signal(SIGHUP) => {
                self.reload(now);
            }
            ReactorEvent::Signal(signal) => self.begin_shutdown(signal),
            ReactorEvent::Readable(_) | ReactorEvent::Drained(_) | ReactorEvent::Timer(_) => {}
        }
    }

    fn read_viewer(&mut self, connection: SocketId) {
        if self.connections.viewer_pool.is_shut_down(connection) {
            return self.discard_crossed_input(connection);
        }
        let now = self.connections.now;
        let mut input = self.connections.reactor.take_input(connection);
        let ready =
            (self.list_is_fresh || now >= CLOCK_START + READY_WITHOUT_LIST_AFTER) && self.shutdown.is_none();
        let fault = loop {
            let mut handler = ViewerHandler {
                service: (&mut self.sessions, &mut self.connections),
                connection,
                now,
                ready,
            };
            match viewers::decode(input.as_slice(), &mut handler) {
                Ok(0) => break None,
                Ok(count) => input.consume(count),
                Err(fault) => break Some(fault),
            }
        };
        let incomplete = !input.is_empty();
        self.connections.reactor.restore_input(connection, input);
        self.connections.viewer_pool.record_input(connection, now, incomplete);
        if !self.connections.reactor.may_have_more_input(connection) {
            self.sessions.input_read(connection);
        }
        if let Some(fault) = fault {
            tracing::debug!(%fault, "closing a viewer connection with malformed input");
            self.drop_viewer(connection, ClosedBy::Unreadable);
        }
    }

    /// Reads on where set-ups wait until all that has arrived with them is read: there may be nothing more, and then
    /// no event reports it.
    fn read_unread_viewers(&mut self) {
        for connection in self.sessions.unread_connections() {
            self.connections.reactor.read_available(connection);
            self.read_viewer(connection);
        }
    }

    /// Accepts a viewer's connection. At the limit, the least valuable connection without a pending set-up is
    /// evicted; if there is none, the new connection is closed.
    fn accept_viewer(&mut self, connection: SocketId) {
        let now = self.connections.now;
        self.accepted_in_last_wait = true;
        while self.connections.viewer_pool.is_full() {
            let candidate = self
                .connections
                .viewer_pool
                .eviction_candidate(now, |connection| self.sessions.pending_on(connection) > 0);
            let Some(evicted) = candidate else { return self.connections.reactor.close(connection) };
            self.read_remaining(evicted);
            if self.sessions.pending_on(evicted) == 0 {
                tracing::trace!(line = evicted, "evicting a viewer connection");
                self.drop_viewer(evicted, ClosedBy::Us);
            }
        }
        tracing::trace!(line = connection, "viewer connection accepted");
        self.connections.viewer_pool.insert(connection, now);
    }

    /// Reads what has arrived on a connection that is about to be closed: it may contain a set-up, which
    /// would be left without an answer.
    fn read_remaining(&mut self, connection: SocketId) {
        if self.connections.reactor.read_available(connection) {
            self.read_viewer(connection);
        }
    }

    fn drop_viewer(&mut self, connection: SocketId, closed_by: ClosedBy) {
        let now = self.connections.now;
        self.sessions.viewer_disconnected(now, connection, closed_by, &mut self.connections);
        self.connections.reactor.flush_connection(connection);
        let last_answer = self.connections.viewer_pool.last_answer(connection);
        if let Some((wire_id, answered_at)) =
            last_answer.filter(|_| self.connections.reactor.unwritten_bytes(connection) > 0)
        {
            let age = now.saturating_sub(answered_at);
            let set_up = UnansweredSetUp { wire_id, closed_by, step: Step::NotWritten, streamer: None, age };
            self.sessions.store.unanswered.record(now, &set_up);
        }
        self.connections.viewer_pool.remove(connection, now, &mut self.connections.reactor);
        self.connections.reactor.close(connection);
    }

    fn read_streamer(&mut self, connection: SocketId) {
        let now = self.connections.now;
        let Some(streamer) = self.connections.streamer_pool.streamer(connection) else { return };
        let mut input = self.connections.reactor.take_input(connection);
        if !input.is_empty() {
            self.connections.streamer_pool.record_received(connection, now);
        }
        let fault = loop {
            let service = (&mut self.sessions, &mut self.connections);
            let mut handler = StreamerHandler { service, connection, streamer, now, fault: None };
            match streamers::decode(input.as_slice(), &mut handler) {
                Ok(0) => break None,
                Ok(count) => {
                    if let Some(fault) = handler.fault {
                        break Some(fault);
                    }
                    input.consume(count);
                }
                Err(fault) => break Some(fault),
            }
        };
        self.connections.reactor.restore_input(connection, input);
        if let Some(fault) = fault {
            tracing::debug!(%fault, %streamer, "closing a streamer connection with malformed input");
            self.connections.streamer_pool.close(
                connection,
                Ending::Reset,
                now,
                &mut self.connections.reactor,
            );
        }
    }

    /// Closes a connection to a streamer after what has arrived on it is handled.
    fn close_streamer_connection(&mut self, connection: SocketId) {
        let now = self.connections.now;
        self.connections.reactor.read_available(connection);
        self.read_streamer(connection);
        self.connections.streamer_pool.close(connection, Ending::Reset, now, &mut self.connections.reactor);
    }

    /// Passes the events of the streamer pool to the session table, until no new events arise.
    fn process_pool_events(&mut self) {
        let now = self.connections.now;
        while !self.connections.streamer_pool.events.is_empty() {
            for event in std::mem::take(&mut self.connections.streamer_pool.events) {
                match event {
                    PoolEvent::JoinEnded(join, ending) => self.sessions.join_lost(now, join, ending),
                    PoolEvent::ProbeFinished(streamer, ending, latency) => {
                        self.sessions.probe_finished(streamer, ending, latency, None)
                    }
                    PoolEvent::Readable(connection) => self.read_streamer(connection),
                    PoolEvent::EndNotWritten(connection) => self.close_streamer_connection(connection),
                    PoolEvent::StreamerReplaced { streamer, by, since } => {
                        tracing::debug!(%streamer, %by, "another streamer has the address of a removed one");
                        self.sessions.streamer_replaced(now, streamer, by, since, &mut self.connections);
                    }
                    PoolEvent::StreamerLost(streamer, reason) => {
                        let sessions = self.sessions.playing_at(streamer);
                        tracing::debug!(
                            %streamer,
                            ?reason,
                            held = sessions,
                            "streamer lost with its sessions"
                        );
                        self.sessions.streamer_lost(now, streamer, reason, &mut self.connections);
                    }
                }
            }
        }
    }

    /// Runs the periodic work: queries to the name service, rereading of the configuration, time-outs.
    fn poll(&mut self) {
        let now = self.connections.now;
        self.query_name_service(now);
        if now < self.next_sweep_at {
            return;
        }
        self.reread_configuration();
        self.next_sweep_at = now + SWEEP_INTERVAL;
        for connection in
            self.connections.viewer_pool.expired(now, |connection| self.sessions.pending_on(connection) > 0)
        {
            self.read_remaining(connection);
            if self
                .connections
                .viewer_pool
                .is_expired(connection, now, |connection| self.sessions.pending_on(connection) > 0)
            {
                tracing::trace!(line = connection, "viewer connection timed out");
                self.drop_viewer(connection, ClosedBy::Us);
            }
        }
        // A connection that took no more output may take some now.
        self.connections.viewer_pool.send_queued(now, &mut self.connections.reactor);
        self.connections.viewer_pool.retry_unheard(now, &mut self.connections.reactor);
        let playing_streamers: Vec<StreamerId> = self.sessions.playing_streamers().collect();
        self.connections.streamer_pool.sweep(now, &playing_streamers, &mut self.connections.reactor);
    }
}

//! The controller's event loop. Events from the reactor go to the connections at once; decisions are made in
//! rounds, at most one per tick.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use badgerledge_accounts::Key;
use badgerledge_catalogue::Catalogue;
use badgerledge_core::interface::{Ending, Health, Listing, StreamerId};
use badgerledge_deployment::Deployment;
use badgerledge_discovery::Entry;
use badgerledge_exchange::Exchange;
use badgerledge_reactor::{raise_descriptors, Bounds, Reactor, ReactorEvent, SocketId};
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::PrometheusHandle;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::budgeting::CrossingBudgets;
use crate::changing::ConfigurationChanges;
use crate::configuration_source::ConfigurationSource;
use crate::connections::{peer_at, Connections, OVERFLOW_CONNECTIONS};
use crate::gossiping::{GossipDriver, GossipOutput};
use crate::list::{ListConnection, ListSink};
use crate::telemetry;

/// Start of the process's clock. It lies well above zero, so that a streamer that started long before this
/// process still has a start time.
const CLOCK_ORIGIN: Duration = Duration::from_secs(30 * 24 * 3600);
/// Timer tokens: the loop's own periodic work, and the first of the module's timers.
const PERIODIC_WORK: u64 = 0;
const FIRST_MODULE_TIMER: u64 = 1;
/// Interval at which viewers' connections are checked for time-outs and gauges are set; well below every such
/// time-out.
const PERIODIC_WORK_INTERVAL: Duration = Duration::from_millis(500);
/// Descriptors reserved for the list, log, metrics, probes and files: all that are neither viewers' nor
/// joins'.
const RESERVED_DESCRIPTORS: usize = 128;
/// One idle viewer connection is accepted for this many with a subscription: players connect before they
/// request a stream.
const SUBSCRIPTIONS_PER_IDLE_CONNECTION: usize = 4;
/// Metrics connections open at a time.
const MAX_METRICS_CONNECTIONS: usize = 16;

/// How long viewers may take to read their last answers and close as the process stops.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// After this time throttled viewers may come back to a process that stops: another one serves by then.
const STOP_COOL_DOWN: Duration = Duration::from_secs(1);

/// The running controller: event loop, connections and module.
pub struct Service {
    connections: Connections,
    list: ListConnection,
    budgets: Option<CrossingBudgets>,
    configuration: Option<ConfigurationSource>,
    changes: ConfigurationChanges,
    exchange: Exchange,
    listener: SocketId,
    metrics_connections: Vec<SocketId>,
    metrics_handle: PrometheusHandle,
    /// When the accounts were last exported as metrics, and the bytes of each key then, for the rates.
    accounts_exported_at: Option<Duration>,
    exported_bytes: BTreeMap<Key, u64>,
    next_round: Duration,
    tick: Duration,
    /// Whether the list cached before the restart has been reported, which the first round does.
    cached_list_reported: bool,
    stopping: bool,
}

impl Service {
    /// Opens listeners and state.
    ///
    /// # Errors
    /// If the settings, the state folder, a key file or an address cannot be used.
    pub fn new(deployment: Deployment, catalogue: Catalogue) -> Result<Self> {
        let metrics_handle = telemetry::install_recorder()?;
        let place = deployment.place.clone();
        let mut reactor = Reactor::new(CLOCK_ORIGIN).context("event loop")?;
        for signal in [SIGTERM, SIGINT, SIGHUP] {
            reactor.watch_signal(signal).context("signals")?;
        }
        let seed = place.seed.unwrap_or_else(seed_from_clock);
        let descriptors = raise_descriptors();
        // Each subscription has a connection to its viewer and one to its streamer.
        let max_by_descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS + OVERFLOW_CONNECTIONS)
            * SUBSCRIPTIONS_PER_IDLE_CONNECTION
            / (2 * SUBSCRIPTIONS_PER_IDLE_CONNECTION + 1);
        let max_subscriptions = place.subscriptions.min(max_by_descriptors).max(1);
        if max_subscriptions < place.subscriptions {
            let configured = place.subscriptions;
            tracing::warn!(
                wanted = configured,
                most = max_subscriptions,
                descriptors,
                "fewer subscriptions than the settings allow: too few file descriptors"
            );
        }
        if let Some(state) = &place.state {
            std::fs::create_dir_all(state).with_context(|| format!("state folder {}", state.display()))?;
        }
        let (listener, at) = reactor
            .listen(place.listen, Connections::viewer_buffers())
            .with_context(|| format!("listening at {}", place.listen))?;
        if let Some(at) = place.metrics {
            let bounds = Bounds { input: 8192, output: 16 * 1024 * 1024 };
            reactor.listen(at, bounds).with_context(|| format!("metrics at {at}"))?;
        }
        let own_address = place.peers.get(place.number as usize);
        let gossip_place = deployment.gossip.clone();
        let own_address = own_address.filter(|_| gossip_place.is_none());
        let peer_socket =
            own_address.map(|at| reactor.bind_datagrams(*at).with_context(|| format!("peers at {at}")));
        let peer_socket = peer_socket.transpose()?.map(|(connection, _)| connection);
        let automatic = deployment.shared.fleet.discovery == "automatic";
        let list = ListConnection::new(&place, automatic, CLOCK_ORIGIN, seed ^ 1);
        let budgets = CrossingBudgets::new(&deployment, reactor.now(), seed.rotate_left(48));
        let exchange = Exchange::new(reactor.now(), seed, deployment.module_settings(), max_subscriptions);
        let mut connections = Connections::new(reactor, deployment, catalogue, seed);
        (connections.listen_address, connections.peer_socket, connections.max_viewers) =
            (at, peer_socket, max_subscriptions + max_subscriptions / SUBSCRIPTIONS_PER_IDLE_CONNECTION);
        if let Some(gossip_settings) = &gossip_place {
            let gossiping =
                GossipDriver::new(&mut connections.reactor, &place, gossip_settings, seed.rotate_left(7))?;
            connections.gossiping = Some(gossiping);
        }
        let mut configuration = ConfigurationSource::new(
            &mut connections.reactor,
            &connections.deployment,
            &connections.catalogue,
            connections.gossiping.as_ref(),
            seed.rotate_left(23),
        )?;
        let mut list = list;
        let revisions = configuration.as_mut().and_then(ConfigurationSource::revisions);
        list.removed_streamers =
            revisions.filter(|revising| revising.exchanges_list_positions()).map(|_| Vec::new());
        let leave_within_s = connections.deployment.leave_within_s();
        let changes = ConfigurationChanges::new(Duration::from_secs(leave_within_s), seed.rotate_left(31));
        let number = place.number;
        tracing::info!(number, %at, most = max_subscriptions, descriptors, "badgerledge-controller serves");
        let tick = Duration::from_millis(place.tick_ms);
        let (metrics_connections, next_round) = (Vec::new(), CLOCK_ORIGIN);
        Ok(Self {
            connections,
            list,
            budgets,
            configuration,
            changes,
            exchange,
            listener,
            metrics_connections,
            metrics_handle,
            accounts_exported_at: None,
            exported_bytes: BTreeMap::new(),
            next_round,
            tick,
            cached_list_reported: false,
            stopping: false,
        })
    }

    /// Serves until a signal stops the process.
    pub fn run(mut self) -> Result<()> {
        let mut events = Vec::new();
        self.connections.reactor.set_timer(CLOCK_ORIGIN + PERIODIC_WORK_INTERVAL, PERIODIC_WORK);
        loop {
            let until = self.next_wake();
            self.connections.reactor.wait(until, &mut events).context("event loop")?;
            self.connections.now = self.connections.reactor.now();
            let now = self.connections.now;
            self.configuration.iter_mut().for_each(|source| source.set_now(now));
            events.drain(..).for_each(|event| self.dispatch(event));
            if self.stopping {
                // No join is begun any more.
                break;
            }
            self.list.poll(&mut self.connections.reactor, now);
            let connections = &mut self.connections;
            let output =
                connections.gossiping.as_mut().map(|gossiping| gossiping.tick(&connections.reactor, now));
            self.handle_gossip_output(output);
            self.update_configuration();
            for connection in self.connections.probes.expired(now) {
                self.connections.finish_probe(connection, Ending::Timeout, &[]);
            }
            self.handle_join_events();
            if now >= self.next_round && self.has_work(now) {
                self.run_round();
                self.handle_join_events();
            }
            self.connections.reactor.flush();
        }
        self.answer_waiting()?;
        self.close_viewers()?;
        let connections = &mut self.connections;
        if let Some(gossiping) = &mut connections.gossiping {
            gossiping.leave(&connections.reactor, connections.now);
        }
        self.connections.account_traffic(true);
        tracing::info!(held = self.exchange.subscriptions().len(), "badgerledge-controller stops");
        Ok(())
    }

    /// Answers the set-ups that wait as the process stops, and those that have arrived and are unread.
    fn answer_waiting(&mut self) -> Result<()> {
        let mut events = Vec::new();
        self.connections.reactor.close(self.listener);
        let now = self.connections.reactor.clock();
        self.connections.reactor.wait(Some(now), &mut events).context("event loop")?;
        self.connections.now = self.connections.reactor.now();
        events.drain(..).for_each(|event| self.dispatch(event));
        self.exchange.hold_joins(Some(STOP_COOL_DOWN));
        self.run_round();
        self.handle_join_events();
        self.exchange.answer_waiting(self.connections.now, &mut self.connections, STOP_COOL_DOWN);
        self.connections.reactor.flush();
        Ok(())
    }

    /// Shuts the viewers' connections down and reads them until their peers close, so that no answer is lost
    /// to a reset.
    fn close_viewers(&mut self) -> Result<()> {
        let mut events = Vec::new();
        let until = self.connections.reactor.clock() + CLOSE_TIMEOUT;
        let mut open: BTreeSet<SocketId> = self.connections.viewers.keys().copied().collect();
        open.iter().for_each(|connection| self.connections.reactor.shut_down_write(*connection));
        while !open.is_empty() && self.connections.reactor.clock() < until {
            self.connections.reactor.wait(Some(until), &mut events).context("event loop")?;
            for event in events.drain(..) {
                match event {
                    ReactorEvent::Closed(connection, _) => drop(open.remove(&connection)),
                    ReactorEvent::Readable(connection) => {
                        let count = self.connections.reactor.input(connection).len();
                        self.connections.reactor.consume(connection, count);
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }

    /// Handles events on joins that need no decision; one may bring another.
    fn handle_join_events(&mut self) {
        while !self.connections.join_events.is_empty() {
            let join_events = std::mem::take(&mut self.connections.join_events);
            self.exchange.handle_join_events(self.connections.now, &mut self.connections, |steps| {
                join_events.into_iter().for_each(|event| event(steps))
            });
        }
    }

    /// Whether a round has anything to do at this time.
    fn has_work(&self, now: Duration) -> bool {
        let list = &self.list;
        let plan_due = self.budgets.as_ref().is_some_and(|budgets| budgets.next_due() <= now);
        let has_input = plan_due
            || !self.connections.round_events.is_empty()
            || !list.received_lines.is_empty()
            || list.disconnected
            || !self.cached_list_reported;
        let due = [self.exchange.next_due(), self.changes.next_due()];
        has_input || due.into_iter().flatten().any(|at| at <= now)
    }

    /// The latest time at which the loop must wake.
    fn next_wake(&self) -> Option<Duration> {
        let round = match self.has_work(Duration::ZERO) {
            true => Some(self.next_round),
            false => {
                let due = [self.exchange.next_due(), self.changes.next_due()];
                due.into_iter().flatten().min().map(|at| at.max(self.next_round))
            }
        };
        let plan = self.budgets.as_ref().map(CrossingBudgets::next_due);
        let gossip = self.connections.gossiping.as_ref().map(GossipDriver::next_due);
        let configuration = self.configuration.as_ref().map(ConfigurationSource::next_due);
        let due =
            [round, plan, gossip, configuration, self.list.next_due(), self.connections.probes.next_expiry()];
        due.into_iter().flatten().min()
    }

    /// Passes an event of the reactor to the part that it belongs to.
    fn dispatch(&mut self, event: ReactorEvent) {
        match event {
            ReactorEvent::Accepted { connection, listener, .. } if listener == self.listener => {
                self.connections.accept_viewer(connection)
            }
            ReactorEvent::Accepted { connection, listener, .. }
                if self.accept_for_configuration(connection, listener) => {}
            ReactorEvent::Accepted { connection, .. }
                if self.metrics_connections.len() < MAX_METRICS_CONNECTIONS =>
            {
                self.metrics_connections.push(connection)
            }
            ReactorEvent::Accepted { connection, .. } => self.connections.reactor.close(connection),
            ReactorEvent::Readable(connection) if self.metrics_connections.contains(&connection) => {
                self.answer_metrics_request(connection)
            }
            ReactorEvent::Closed(connection, _) if self.metrics_connections.contains(&connection) => {
                self.metrics_connections.retain(|metrics_connection| *metrics_connection != connection);
            }
            ReactorEvent::Readable(connection)
            | ReactorEvent::Opened(connection)
            | ReactorEvent::Closed(connection, _)
                if self.configuration.as_ref().is_some_and(|source| source.owns(connection)) =>
            {
                self.handle_configuration_event(connection, &event);
            }
            ReactorEvent::Readable(connection) if self.list.owns(connection) => {
                self.list.read(&mut self.connections.reactor, self.connections.now)
            }
            ReactorEvent::Opened(connection) if self.list.owns(connection) => {
                self.list.opened(&mut self.connections.reactor)
            }
            ReactorEvent::Closed(connection, _) if self.list.owns(connection) => {
                self.list.closed(self.connections.now)
            }
            ReactorEvent::Readable(connection) => self.connections.readable(connection),
            ReactorEvent::Opened(connection) => self.connections.opened(connection),
            ReactorEvent::Closed(connection, reason) => self.connections.closed(connection, reason),
            // Media that did not fit was dropped; nothing is left to resume.
            ReactorEvent::Drained(_) => {}
            ReactorEvent::Datagram { socket: connection, from, bytes }
                if self
                    .connections
                    .gossiping
                    .as_ref()
                    .is_some_and(|gossiping| gossiping.owns(connection)) =>
            {
                let connections = &mut self.connections;
                let now = connections.now;
                let output = connections
                    .gossiping
                    .as_mut()
                    .map(|gossiping| gossiping.handle_datagram(&connections.reactor, now, from, &bytes));
                self.handle_gossip_output(output);
            }
            ReactorEvent::Datagram { from, bytes, .. } => {
                let Some(peer) = peer_at(&self.connections.deployment, from) else { return };
                let is_lending_message = self
                    .budgets
                    .as_mut()
                    .is_some_and(|budgets| budgets.handle(&mut self.connections, peer, &bytes));
                if !is_lending_message {
                    self.connections
                        .round_events
                        .push(Box::new(move |floor| floor.peer_message(peer, &bytes)));
                }
            }
            ReactorEvent::Timer(PERIODIC_WORK) => self.run_periodic_work(),
            ReactorEvent::Timer(token) => {
                self.connections
                    .round_events
                    .push(Box::new(move |floor| floor.reminder_due(token - FIRST_MODULE_TIMER)));
            }
            ReactorEvent::Signal(SIGHUP) => self.reload_catalogue(),
            ReactorEvent::Signal(signal) => {
                tracing::info!(signal, "signal received; stopping");
                self.stopping = true;
            }
        }
    }

    /// Passes the output of gossip to the subsystems that it is for.
    fn handle_gossip_output(&mut self, output: Option<GossipOutput>) {
        let Some(output) = output else { return };
        for (peer, message) in output.messages {
            let revisions = self.configuration.as_mut().and_then(ConfigurationSource::revisions);
            if let (Some(revising), Some(gossiping)) = (revisions, &mut self.connections.gossiping) {
                if let Some(off) =
                    revising.handle_message(&mut self.connections.reactor, gossiping, peer, &message)
                {
                    for off in off {
                        let id = StreamerId::new(off.ip.into(), off.port);
                        let is_current =
                            |entry: &Entry| entry.start_number == off.start && entry.health == Health::Ready;
                        if self.list.streamer_list.entry(&id).is_some_and(is_current) {
                            tracing::info!(
                                streamer = %id,
                                "peers report that this streamer left their lists"
                            );
                            counter!(telemetry::STREAMERS_REPORTED_OFF_LIST).increment(1);
                            self.connections
                                .round_events
                                .push(Box::new(move |floor| floor.failures_reported(id)));
                        }
                    }
                    continue;
                }
            }
            if let Some(budgets) = &mut self.budgets {
                budgets.handle(&mut self.connections, u32::from(peer), &message);
            }
        }
        for streamer in output.streamers_in_trouble {
            counter!(telemetry::PEER_REPORTS_BELIEVED).increment(1);
            self.connections.round_events.push(Box::new(move |floor| floor.failures_reported(streamer)));
        }
    }

    /// Whether a connection was accepted for the configuration source.
    fn accept_for_configuration(&mut self, connection: SocketId, listener: SocketId) -> bool {
        let reactor = &mut self.connections.reactor;
        self.configuration.as_mut().is_some_and(|source| source.accept(reactor, connection, listener))
    }

    /// Passes an event on a connection of the configuration source to it.
    fn handle_configuration_event(&mut self, connection: SocketId, event: &ReactorEvent) {
        let Some(source) = &mut self.configuration else { return };
        let connections = &mut self.connections;
        source.handle_event(&mut connections.reactor, connections.gossiping.as_mut(), connection, event);
    }

    /// Runs the due work of the configuration source and applies its changes, before anything is decided in
    /// this iteration.
    fn update_configuration(&mut self) {
        let Some(source) = &mut self.configuration else { return };
        let now = self.connections.now;
        source.poll(&mut self.connections.reactor, self.connections.gossiping.as_mut(), now);
        if let Some(change) = source.take_change() {
            let deployment = &mut self.connections.deployment;
            let budgets_changed = change.shared.crossing != deployment.shared.crossing;
            deployment.shared = change.shared;
            // The zone may have been renamed; its number is stable.
            deployment.place.zone.clone_from(&deployment.shared.fleet.zones[source.zone()]);
            change.titles.into_iter().for_each(|titles| self.connections.catalogue = titles);
            self.changes.mark_pending();
            if budgets_changed {
                self.budgets = CrossingBudgets::new(
                    &self.connections.deployment,
                    now,
                    u64::from(self.connections.deployment.place.number),
                );
            }
        }
        // Uses the clock rather than this iteration's time: the lease of a process that was suspended during
        // this iteration has expired.
        self.exchange.hold_joins(source.hold_new_joins(self.connections.reactor.clock()));
        if let Some(revising) = source.revisions() {
            let should_query = revising.should_query_list();
            self.list.request(&mut self.connections.reactor, (None, should_query));
        }
    }

    /// Runs a round: reports what came in since the last one to the module, and carries out its decisions.
    fn run_round(&mut self) {
        let started = Instant::now();
        let now = self.connections.now;
        self.next_round = now + self.tick;
        let round_events = std::mem::take(&mut self.connections.round_events);
        let list_lines = std::mem::take(&mut self.list.received_lines);
        let list_disconnected = std::mem::take(&mut self.list.disconnected);
        let cached_list_reported = std::mem::replace(&mut self.cached_list_reported, true);
        let mut caps_and_plans = None;
        if let Some(budgets) = self.budgets.as_mut().filter(|budgets| budgets.next_due() <= now) {
            let plans = budgets.plan(&mut self.connections, self.exchange.subscriptions());
            caps_and_plans = Some((budgets.caps(&plans), plans));
        }
        let pending_changes = self.changes.plan_round(&self.connections, self.exchange.subscriptions());
        let (list, changes) = (&mut self.list, &mut self.changes);
        let mut whole_list_wanted = false;
        self.exchange.round(now, &mut self.connections, |floor| {
            changes.apply(pending_changes, floor, now);
            if !cached_list_reported {
                list.streamer_list.pass_cached(&mut ListSink { floor, known: Vec::new() });
            }
            // The list first: this round's decisions must take it into account.
            for line in &list_lines {
                whole_list_wanted |= list.handle_line(line, now, floor);
            }
            if !cached_list_reported || !list_lines.is_empty() {
                floor.transport().streamer_zones =
                    list.streamer_list.entries().map(|(id, entry)| (id, entry.zone)).collect();
                floor.transport().streamer_cells =
                    list.streamer_list.entries().map(|(id, entry)| (id, entry.cell)).collect();
            }
            if list_disconnected {
                floor.list_begins(Listing::Failed, std::iter::empty());
                floor.list_ends(Listing::Failed);
            }
            if let Some((caps, plans)) = caps_and_plans {
                for (from, plan) in &plans {
                    floor.set_crossing_budget(*from, plan.free_rate_kb_s);
                    plan.excluded.iter().for_each(|job| floor.redirect_home(*job));
                }
                caps.into_iter().for_each(|(job, cap)| floor.cap_rung(job, cap));
            }
            round_events.into_iter().for_each(|event| event(floor));
        });
        let mut list_requests = std::mem::take(&mut self.connections.list_requests);
        list_requests.1 |= whole_list_wanted;
        self.list.request(&mut self.connections.reactor, list_requests);
        let removed_streamers = self.list.removed_streamers.as_mut().map(std::mem::take).unwrap_or_default();
        let revisions = self.configuration.as_mut().and_then(ConfigurationSource::revisions);
        if let (Some(revising), Some(gossiping)) = (revisions, &mut self.connections.gossiping) {
            revising.list_advanced(
                &self.connections.reactor,
                gossiping,
                self.list.streamer_list.position(),
                removed_streamers,
            );
        }
        for (at, token) in std::mem::take(&mut self.connections.module_timers) {
            // In the next round at the earliest: a timer never fires in the round that set it.
            self.connections
                .reactor
                .set_timer(at.max(now + Duration::from_micros(1)), token + FIRST_MODULE_TIMER);
        }
        histogram!(telemetry::ROUND_TIME).record(started.elapsed().as_secs_f64());
    }

    /// Reloads the catalogue. An invalid file changes nothing.
    fn reload_catalogue(&mut self) {
        if self.connections.deployment.titles_are_revised() {
            return tracing::warn!(
                "the titles are part of the revisions, so the catalogue file is not reloaded: push a revision"
            );
        }
        let path = &self.connections.deployment.place.catalogue;
        let catalogue = match Catalogue::read(path) {
            Ok(catalogue) => catalogue,
            Err(faults) => return tracing::warn!("{faults}; keeping the previous catalogue"),
        };
        let shared = &self.connections.deployment.shared;
        let unknown_type = catalogue.titles().find(|(_, title)| shared.room_type(&title.room_type).is_none());
        if let Some((id, title)) = unknown_type {
            let (path, name) = (path.display(), &title.room_type);
            return tracing::warn!(
                "{path}: [title {id:x}] room_type = {name}: there is none; keeping the previous catalogue"
            );
        }
        tracing::info!(titles = catalogue.len(), "the catalogue was reloaded");
        self.configuration.iter().for_each(|source| source.catalogue_reloaded(&catalogue));
        self.connections.catalogue = catalogue;
        // Titles that were removed or placed on other cells are applied to existing subscriptions, as for a
        // revision.
        self.changes.mark_pending();
    }

    /// Checks time-outs, stores what is due and sets gauges.
    fn run_periodic_work(&mut self) {
        let now = self.connections.now;
        self.connections.reactor.set_timer(now + PERIODIC_WORK_INTERVAL, PERIODIC_WORK);
        self.connections.close_expired_viewers();
        self.list.store(now);
        if self.connections.accounting.is_due(now) {
            self.connections.account_traffic(false);
            self.export_accounts();
        }
        gauge!(telemetry::SUBSCRIPTIONS_HELD).set(self.exchange.subscriptions().len() as f64);
        gauge!(telemetry::SUBSCRIPTIONS_PLAYING).set(self.exchange.subscriptions().playing_count() as f64);
        gauge!(telemetry::CONNECTIONS).set(self.connections.reactor.connections() as f64);
        gauge!(telemetry::STREAMERS_LISTED).set(self.list.streamer_list.entries().count() as f64);
        let relay_counts = std::mem::take(&mut self.connections.relay_counts);
        counter!(telemetry::MEDIA_PACKETS).increment(relay_counts.packets);
        counter!(telemetry::MEDIA_BYTES).increment(relay_counts.bytes);
        counter!(telemetry::LOST_PACKETS).increment(relay_counts.lost);
        let costs = self.connections.reactor.costs();
        counter!(telemetry::SYSTEM_CALLS).absolute(costs.system_calls);
        counter!(telemetry::COPIED_BYTES).absolute(costs.copied_bytes);
    }

    /// Exports the accounts as metrics.
    fn export_accounts(&mut self) {
        let elapsed_s = self
            .accounts_exported_at
            .replace(self.connections.now)
            .map(|at| (self.connections.now - at).as_secs_f64());
        for (key, amount) in self.connections.accounting.totals() {
            let before = self.exported_bytes.insert(key.clone(), amount.bytes()).unwrap_or(0);
            let rate = elapsed_s
                .map_or(0.0, |elapsed_s| amount.bytes().saturating_sub(before) as f64 / elapsed_s.max(1e-3));
            let labels = [("from", key.from), ("to", key.to), ("room_type", key.room_type)];
            gauge!(telemetry::CROSSED_RATE, &labels).set(rate);
            counter!(telemetry::CROSSED_BYTES, &labels).absolute(amount.bytes());
            counter!(telemetry::CROSSED_SECONDS, &labels).absolute(amount.subscription_ms / 1000);
            counter!(telemetry::CROSSED_SET_UPS, &labels).absolute(amount.set_ups);
        }
    }

    /// Answers any request once its head is complete: with the accounts if it requests them, else with the
    /// metrics.
    fn answer_metrics_request(&mut self, connection: SocketId) {
        let input = self.connections.reactor.input(connection);
        if input.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            let answer = match input.starts_with(b"GET /accounts ") {
                true => {
                    telemetry::http_response("application/json", &self.connections.accounting.stored_text())
                }
                false => telemetry::metrics_response(&self.metrics_handle),
            };
            self.connections.reactor.send(connection, &[&answer]);
            self.connections.reactor.close_after_flush(connection);
        }
    }
}

/// A seed for processes whose settings name none: it differs by time and by process.
fn seed_from_clock() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_nanos() as u64 ^ u64::from(std::process::id()).rotate_left(32)
}

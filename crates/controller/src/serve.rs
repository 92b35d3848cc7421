//! The program's loop: what a wake brought in goes to the ends at once, and once a tick to a round.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use badgerledge_accounts::Key;
use badgerledge_catalogue::Catalogue;
use badgerledge_core::interface::{Ending, Health, Listing, StreamerId};
use badgerledge_deployment::Deployment;
use badgerledge_discovery::Entry;
use badgerledge_exchange::Exchange;
use badgerledge_reactor::{raise_descriptors, Bounds, Happening, Line, Reactor};
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::PrometheusHandle;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::budgeting::Budgeting;
use crate::changing::Changing;
use crate::configuration_source::ConfigurationSource;
use crate::ends::{peer_at, Ends, CROWD};
use crate::gossiping::{GossipOutput, Gossiping};
use crate::list::{ListLine, ToFloor};
use crate::watch;

/// The clock begins here, so that a streamer's start long before the process has a time.
const ORIGIN: Duration = Duration::from_secs(30 * 24 * 3600);
/// Tokens of the loop's own due times; the module's are over them.
const SWEEP: u64 = 0;
const MODULE: u64 = 1;
/// Viewers' connections are looked at, and gauges set, this often: well under every time-out there is.
const SWEEP_EVERY: Duration = Duration::from_millis(500);
/// Descriptors that are neither viewers' nor joins': list, log, metrics, probes, files.
const SPARE: usize = 128;
/// Idle connections that are held beside those with a subscription, as a share of those: players connect before
/// they ask.
const IDLE_SHARE: usize = 4;
/// Connections for metrics at a time.
const READERS: usize = 16;

pub struct Service {
    ends: Ends,
    list: ListLine,
    budgeting: Option<Budgeting>,
    configuration: Option<ConfigurationSource>,
    changing: Changing,
    exchange: Exchange,
    listener: Line,
    readers: Vec<Line>,
    page: PrometheusHandle,
    /// When accounts were shown last, and the bytes then, for the rates.
    accounts_shown: Option<Duration>,
    crossed_before: BTreeMap<Key, u64>,
    next_round: Duration,
    tick: Duration,
    /// The list held before the restart is told in the first round.
    born: bool,
    ending: bool,
}

impl Service {
    pub fn new(deployment: Deployment, catalogue: Catalogue) -> Result<Self> {
        let page = watch::start()?;
        let place = deployment.place.clone();
        let mut reactor = Reactor::new(ORIGIN).context("event loop")?;
        for signal in [SIGTERM, SIGINT, SIGHUP] {
            reactor.signal(signal).context("signals")?;
        }
        let seed = place.seed.unwrap_or_else(seed_of_the_day);
        let descriptors = raise_descriptors();
        // Each subscription has a line to its viewer and one to its streamer.
        let room = descriptors.saturating_sub(SPARE + CROWD) * IDLE_SHARE / (2 * IDLE_SHARE + 1);
        let most = place.subscriptions.min(room).max(1);
        if most < place.subscriptions {
            let wanted = place.subscriptions;
            tracing::warn!(wanted, most, descriptors, "subscriptions are bounded by the descriptors");
        }
        if let Some(state) = &place.state {
            std::fs::create_dir_all(state).with_context(|| format!("state folder {}", state.display()))?;
        }
        let (listener, at) = reactor
            .listen(place.listen, Ends::viewer_bounds())
            .with_context(|| format!("listening at {}", place.listen))?;
        if let Some(at) = place.metrics {
            let bounds = Bounds { input: 8192, output: 16 * 1024 * 1024 };
            reactor.listen(at, bounds).with_context(|| format!("metrics at {at}"))?;
        }
        let own = place.peers.get(place.number as usize);
        let gossip_place = deployment.gossip.clone();
        let own = own.filter(|_| gossip_place.is_none());
        let datagrams = own.map(|at| reactor.datagrams(*at).with_context(|| format!("peers at {at}")));
        let datagrams = datagrams.transpose()?.map(|(line, _)| line);
        let automatic = deployment.shared.fleet.discovery == "automatic";
        let list = ListLine::new(&place, automatic, ORIGIN, seed ^ 1);
        let budgeting = Budgeting::new(&deployment, reactor.now(), seed.rotate_left(48));
        let exchange = Exchange::new(reactor.now(), seed, deployment.module_settings(), most);
        let mut ends = Ends::new(reactor, deployment, catalogue, seed);
        (ends.listen, ends.datagrams, ends.most_viewers) = (at, datagrams, most + most / IDLE_SHARE);
        if let Some(told) = &gossip_place {
            let gossiping = Gossiping::new(&mut ends.reactor, &place, told, seed.rotate_left(7))?;
            ends.gossiping = Some(gossiping);
        }
        let mut configuration = ConfigurationSource::new(
            &mut ends.reactor,
            &ends.deployment,
            &ends.catalogue,
            ends.gossiping.as_ref(),
            seed.rotate_left(23),
        )?;
        let mut list = list;
        let revisions = configuration.as_mut().and_then(ConfigurationSource::revisions);
        list.went = revisions.filter(|revising| revising.tells_lists()).map(|_| Vec::new());
        let within = ends.deployment.leave_within_s();
        let changing = Changing::new(Duration::from_secs(within), seed.rotate_left(31));
        let number = place.number;
        tracing::info!(number, %at, most, descriptors, "badgerledge-controller serves");
        let tick = Duration::from_millis(place.tick_ms);
        let (readers, next_round) = (Vec::new(), ORIGIN);
        Ok(Self {
            ends,
            list,
            budgeting,
            configuration,
            changing,
            exchange,
            listener,
            readers,
            page,
            accounts_shown: None,
            crossed_before: BTreeMap::new(),
            next_round,
            tick,
            born: false,
            ending: false,
        })
    }

    /// Serves until a signal ends it.
    pub fn run(mut self) -> Result<()> {
        let mut told = Vec::new();
        self.ends.reactor.due(ORIGIN + SWEEP_EVERY, SWEEP);
        while !self.ending {
            let until = self.next_wake();
            self.ends.reactor.wait(until, &mut told).context("event loop")?;
            self.ends.now = self.ends.reactor.now();
            let now = self.ends.now;
            self.configuration.iter_mut().for_each(|source| source.wakes(now));
            told.drain(..).for_each(|happening| self.take(happening));
            self.list.tend(&mut self.ends.reactor, now);
            let ends = &mut self.ends;
            let output = ends.gossiping.as_mut().map(|gossiping| gossiping.tick(&ends.reactor, now));
            self.take_gossip(output);
            self.revise();
            for line in self.ends.probes.late(now) {
                self.ends.probe_ends(line, Ending::Timeout, &[]);
            }
            self.step_on();
            if now >= self.next_round && self.has_work(now) {
                self.round();
                self.step_on();
            }
            self.ends.reactor.flush();
        }
        let ends = &mut self.ends;
        if let Some(gossiping) = &mut ends.gossiping {
            gossiping.leave(&ends.reactor, ends.now);
        }
        self.ends.settle_accounts(true);
        tracing::info!(held = self.exchange.book().len(), "badgerledge-controller ends");
        Ok(())
    }

    /// Carries out the steps of joins; one may bring another.
    fn step_on(&mut self) {
        while !self.ends.steps.is_empty() {
            let steps = std::mem::take(&mut self.ends.steps);
            self.exchange
                .between(self.ends.now, &mut self.ends, |on| steps.into_iter().for_each(|step| step(on)));
        }
    }

    fn has_work(&self, now: Duration) -> bool {
        let list = &self.list;
        let plan_due = self.budgeting.as_ref().is_some_and(|budgeting| budgeting.next_due() <= now);
        let came =
            plan_due || !self.ends.arrivals.is_empty() || !list.came.is_empty() || list.lost || !self.born;
        let due = [self.exchange.next_due(), self.changing.next_due()];
        came || due.into_iter().flatten().any(|at| at <= now)
    }

    /// When to wake at the latest.
    fn next_wake(&self) -> Option<Duration> {
        let round = match self.has_work(Duration::ZERO) {
            true => Some(self.next_round),
            false => {
                let due = [self.exchange.next_due(), self.changing.next_due()];
                due.into_iter().flatten().min().map(|at| at.max(self.next_round))
            }
        };
        let plan = self.budgeting.as_ref().map(Budgeting::next_due);
        let gossip = self.ends.gossiping.as_ref().map(Gossiping::next_due);
        let configuration = self.configuration.as_ref().map(ConfigurationSource::next_due);
        let due = [round, plan, gossip, configuration, self.list.next_due(), self.ends.probes.next_late()];
        due.into_iter().flatten().min()
    }

    fn take(&mut self, happening: Happening) {
        match happening {
            Happening::Accepted { line, listener, .. } if listener == self.listener => {
                self.ends.accepted(line)
            }
            Happening::Accepted { line, listener, .. } if self.is_for_configuration(line, listener) => {}
            Happening::Accepted { line, .. } if self.readers.len() < READERS => self.readers.push(line),
            Happening::Accepted { line, .. } => self.ends.reactor.close(line),
            Happening::Readable(line) if self.readers.contains(&line) => self.show_metrics(line),
            Happening::Closed(line, _) if self.readers.contains(&line) => {
                self.readers.retain(|reader| *reader != line);
            }
            Happening::Readable(line) | Happening::Opened(line) | Happening::Closed(line, _)
                if self.configuration.as_ref().is_some_and(|source| source.is(line)) =>
            {
                self.configuration_line(line, &happening);
            }
            Happening::Readable(line) if self.list.is(line) => {
                self.list.read(&mut self.ends.reactor, self.ends.now)
            }
            Happening::Opened(line) if self.list.is(line) => self.list.opened(&mut self.ends.reactor),
            Happening::Closed(line, _) if self.list.is(line) => self.list.closed(self.ends.now),
            Happening::Readable(line) => self.ends.readable(line),
            Happening::Opened(line) => self.ends.opened(line),
            Happening::Closed(line, why) => self.ends.closed(line, why),
            // Media that did not fit was dropped; there is nothing to go on with.
            Happening::Drained(_) => {}
            Happening::Datagram { line, from, bytes }
                if self.ends.gossiping.as_ref().is_some_and(|g| g.is(line)) =>
            {
                let ends = &mut self.ends;
                let now = ends.now;
                let output =
                    ends.gossiping.as_mut().map(|g| g.handle_datagram(&ends.reactor, now, from, &bytes));
                self.take_gossip(output);
            }
            Happening::Datagram { from, bytes, .. } => {
                let Some(peer) = peer_at(&self.ends.deployment, from) else { return };
                let heard = self.budgeting.as_mut().is_some_and(|b| b.handle(&mut self.ends, peer, &bytes));
                if !heard {
                    self.ends.arrivals.push(Box::new(move |floor| floor.peer(peer, &bytes)));
                }
            }
            Happening::Due(SWEEP) => self.sweep(),
            Happening::Due(token) => {
                self.ends.arrivals.push(Box::new(move |floor| floor.fired(token - MODULE)));
            }
            Happening::Signal(SIGHUP) => self.read_catalogue(),
            Happening::Signal(signal) => {
                tracing::info!(signal, "told to end");
                self.ending = true;
            }
        }
    }

    /// What gossip brought, to whom it is for.
    fn take_gossip(&mut self, output: Option<GossipOutput>) {
        let Some(output) = output else { return };
        for (peer, word) in output.messages {
            let revisions = self.configuration.as_mut().and_then(ConfigurationSource::revisions);
            if let (Some(revising), Some(gossiping)) = (revisions, &mut self.ends.gossiping) {
                if let Some(off) = revising.heard(&mut self.ends.reactor, gossiping, peer, &word) {
                    for off in off {
                        let id = StreamerId::new(off.ip.into(), off.port);
                        let ours =
                            |entry: &Entry| entry.start_number == off.start && entry.health == Health::Ready;
                        if self.list.book.entry(&id).is_some_and(ours) {
                            tracing::info!(streamer = %id, "said by others to be off their lists");
                            counter!(watch::SAID_OFF).increment(1);
                            self.ends.arrivals.push(Box::new(move |floor| floor.reported_in_trouble(id)));
                        }
                    }
                    continue;
                }
            }
            if let Some(budgeting) = &mut self.budgeting {
                budgeting.handle(&mut self.ends, u32::from(peer), &word);
            }
        }
        for streamer in output.believed {
            counter!(watch::BELIEVED).increment(1);
            self.ends.arrivals.push(Box::new(move |floor| floor.reported_in_trouble(streamer)));
        }
    }

    fn is_for_configuration(&mut self, line: Line, listener: Line) -> bool {
        let reactor = &mut self.ends.reactor;
        self.configuration.as_mut().is_some_and(|source| source.accepts(reactor, line, listener))
    }

    fn configuration_line(&mut self, line: Line, happening: &Happening) {
        let Some(source) = &mut self.configuration else { return };
        let ends = &mut self.ends;
        source.take(&mut ends.reactor, ends.gossiping.as_mut(), line, happening);
    }

    /// What the source of the configuration has due, and what it changes, before anything is decided in this wake.
    fn revise(&mut self) {
        let Some(source) = &mut self.configuration else { return };
        let now = self.ends.now;
        source.tend(&mut self.ends.reactor, self.ends.gossiping.as_mut(), now);
        if let Some(change) = source.take_change() {
            let held = &mut self.ends.deployment;
            let budgets = change.shared.crossing != held.shared.crossing;
            held.shared = change.shared;
            // Its zone's name may be another by now; its number is not.
            held.place.zone.clone_from(&held.shared.fleet.zones[source.zone()]);
            change.titles.into_iter().for_each(|titles| self.ends.catalogue = titles);
            self.changing.begins();
            if budgets {
                self.budgeting =
                    Budgeting::new(&self.ends.deployment, now, u64::from(self.ends.deployment.place.number));
            }
        }
        // By the clock: a process that stood still in this wake has no lease any more.
        self.exchange.hold(source.holds_back(self.ends.reactor.clock()));
        if let Some(revising) = source.revisions() {
            let asks = revising.asks_list();
            self.list.ask(&mut self.ends.reactor, (None, asks));
        }
    }

    fn round(&mut self) {
        let begun = Instant::now();
        let now = self.ends.now;
        self.next_round = now + self.tick;
        let arrivals = std::mem::take(&mut self.ends.arrivals);
        let lines = std::mem::take(&mut self.list.came);
        let lost = std::mem::take(&mut self.list.lost);
        let born = std::mem::replace(&mut self.born, true);
        let mut plan = None;
        if let Some(budgeting) = self.budgeting.as_mut().filter(|budgeting| budgeting.next_due() <= now) {
            let plans = budgeting.plan(&mut self.ends, self.exchange.book());
            plan = Some((budgeting.caps(&plans), plans));
        }
        let turn = self.changing.turn(&self.ends, self.exchange.book());
        let (list, changing) = (&mut self.list, &mut self.changing);
        let mut whole = false;
        self.exchange.round(now, &mut self.ends, |floor| {
            changing.carry_out(turn, floor, now);
            if !born {
                list.book.pass_cached(&mut ToFloor { floor, known: Vec::new() });
            }
            // The list first: what goes out in this round knows of it.
            for line in &lines {
                whole |= list.take(line, now, floor);
            }
            if !born || !lines.is_empty() {
                floor.carrier().zones = list.book.entries().map(|(id, entry)| (id, entry.zone)).collect();
                floor.carrier().cells = list.book.entries().map(|(id, entry)| (id, entry.cell)).collect();
            }
            if lost {
                floor.list_begins(Listing::Failed, std::iter::empty());
                floor.list_ends(Listing::Failed);
            }
            if let Some((caps, plans)) = plan {
                for (from, made) in &plans {
                    floor.crossing(*from, made.room);
                    made.home.iter().for_each(|job| floor.send_home(*job));
                }
                caps.into_iter().for_each(|(job, cap)| floor.cap(job, cap));
            }
            arrivals.into_iter().for_each(|arrival| arrival(floor));
        });
        let mut wants = std::mem::take(&mut self.ends.list_wants);
        wants.1 |= whole;
        self.list.ask(&mut self.ends.reactor, wants);
        let went = self.list.went.as_mut().map(std::mem::take).unwrap_or_default();
        let revisions = self.configuration.as_mut().and_then(ConfigurationSource::revisions);
        if let (Some(revising), Some(gossiping)) = (revisions, &mut self.ends.gossiping) {
            revising.list_reached(&self.ends.reactor, gossiping, self.list.book.position(), went);
        }
        for (at, token) in std::mem::take(&mut self.ends.reminders) {
            // In the next round at the earliest: a reminder never fires in the round that set it.
            self.ends.reactor.due(at.max(now + Duration::from_micros(1)), token + MODULE);
        }
        histogram!(watch::ROUND_TIME).record(begun.elapsed().as_secs_f64());
    }

    /// Reads the catalogue anew. One that is not in order changes nothing.
    fn read_catalogue(&mut self) {
        if self.ends.deployment.titles_go_with_configuration() {
            return tracing::warn!(
                "the titles go with the configuration and are not read from their file: push them"
            );
        }
        let path = &self.ends.deployment.place.catalogue;
        let catalogue = match Catalogue::read(path) {
            Ok(catalogue) => catalogue,
            Err(faults) => return tracing::warn!("{faults}; the catalogue read before goes on counting"),
        };
        let shared = &self.ends.deployment.shared;
        let strange = catalogue.titles().find(|(_, title)| shared.room_type(&title.room_type).is_none());
        if let Some((id, title)) = strange {
            let (at, name) = (path.display(), &title.room_type);
            return tracing::warn!(
                "{at}: [title {id:x}] room_type = {name}: there is none; the catalogue read before goes on counting"
            );
        }
        tracing::info!(titles = catalogue.len(), "the catalogue was read anew");
        self.configuration.iter().for_each(|source| source.titles_read(&catalogue));
        self.ends.catalogue = catalogue;
        // What it takes away, or puts elsewhere, is taken from what is held as by a revision.
        self.changing.begins();
    }

    fn sweep(&mut self) {
        let now = self.ends.now;
        self.ends.reactor.due(now + SWEEP_EVERY, SWEEP);
        self.ends.sweep();
        self.list.store(now);
        if self.ends.accounting.is_due(now) {
            self.ends.settle_accounts(false);
            self.show_accounts();
        }
        gauge!(watch::HELD).set(self.exchange.book().len() as f64);
        gauge!(watch::PLAYING).set(self.exchange.book().playing() as f64);
        gauge!(watch::CONNECTIONS).set(self.ends.reactor.connections() as f64);
        gauge!(watch::STREAMERS).set(self.list.book.entries().count() as f64);
        let media = std::mem::take(&mut self.ends.media);
        counter!(watch::MEDIA_PACKETS).increment(media.packets);
        counter!(watch::MEDIA_BYTES).increment(media.bytes);
        counter!(watch::LOST_PACKETS).increment(media.lost);
        let costs = self.ends.reactor.costs();
        counter!(watch::SYSTEM_CALLS).absolute(costs.system_calls);
        counter!(watch::COPIED_BYTES).absolute(costs.copied_bytes);
    }

    /// The accounts as metrics.
    fn show_accounts(&mut self) {
        let span = self.accounts_shown.replace(self.ends.now).map(|at| (self.ends.now - at).as_secs_f64());
        for (key, amount) in self.ends.accounting.whole() {
            let before = self.crossed_before.insert(key.clone(), amount.bytes()).unwrap_or(0);
            let rate = span.map_or(0.0, |span| amount.bytes().saturating_sub(before) as f64 / span.max(1e-3));
            let labels = [("from", key.from), ("to", key.to), ("room_type", key.room_type)];
            gauge!(watch::CROSSED_RATE, &labels).set(rate);
            counter!(watch::CROSSED_BYTES, &labels).absolute(amount.bytes());
            counter!(watch::CROSSED_SECONDS, &labels).absolute(amount.subscription_ms / 1000);
            counter!(watch::CROSSED_SET_UPS, &labels).absolute(amount.set_ups);
        }
    }

    /// Any request is answered once its head has come: with the accounts if it asks for them, else with the metrics.
    fn show_metrics(&mut self, line: Line) {
        let input = self.ends.reactor.input(line);
        if input.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            let answer = match input.starts_with(b"GET /accounts ") {
                true => watch::answer("application/json", &self.ends.accounting.page()),
                false => watch::page(&self.page),
            };
            self.ends.reactor.send(line, &[&answer]);
            self.ends.reactor.finish(line);
        }
    }
}

fn seed_of_the_day() -> u64 {
    let day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    day.as_nanos() as u64 ^ u64::from(std::process::id()).rotate_left(32)
}

//! The way in's loop: what a wake brought goes to the session table at once, and once a tick to a round of the module.

mod discovery;

use std::collections::BTreeSet;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{Ending, Listing, StreamerId};
use badgerledge_core::random::Rng;
use badgerledge_names::Names;
use badgerledge_reactor::{raise_descriptors, Happening, Line, Reactor};
use badgerledge_signalling::{streamers, viewers};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::asked::Terms;
use crate::configuration;
use crate::ends::Ends;
use crate::front::{self, Front};
use crate::hearing::{StreamerEar, ViewerEar};
use crate::pool::{Happened, Pool};
use crate::session_table::SessionTable;
use crate::unanswered::{By, Lost, Step};

/// The clock begins here, so that a streamer's start long before the process has a time.
const ORIGIN: Duration = Duration::from_secs(30 * 24 * 3600);
/// Connections are looked at this often: well under every time-out there is.
const SWEEP_EVERY: Duration = Duration::from_millis(100);
/// Connections taken in one wake at most: each holds a descriptor before it is known which may stay.
const ACCEPTED_AT_ONCE: usize = 8;
/// Descriptors that are neither viewers' nor streamers': three standard ones, three of the poller, the listener, two
/// of each signal, two for datagrams; what is taken in one wake; and the configuration as it is read anew.
const SPARE: usize = 15 + ACCEPTED_AT_ONCE + 1;
/// After SIGTERM viewers still come for 0.6 s; and what is held is ended at the latest after this, or once the longest
/// wait of the settings is over.
const STILL_COMING: Duration = Duration::from_millis(1500);
const LONGEST_END: Duration = Duration::from_secs(30);
/// How long the other ends may take to read what was said last and to close: as long as a release may take.
const PARTING: Duration = Duration::from_secs(1);
/// Where the name service says nothing tests pass after this: what it would have told counts as told by then, and nine
/// in ten restarts have to be ready within ten seconds.
const READY_WITHOUT: Duration = Duration::from_millis(4500);

pub struct Service {
    ends: Ends,
    sessions: SessionTable,
    names: Names,
    chance: Rng,
    /// Where viewers come.
    listener: Line,
    /// The socket to the name service, and when it is asked next.
    names_line: Line,
    ask_at: Duration,
    sweep_at: Duration,
    next_round: Duration,
    path: PathBuf,
    /// The Unix time at the clock's zero, for starts that are told in it.
    epoch: Duration,
    /// The list was asked for and heard late enough to tell all starts before the birth; and the first such query.
    listed: bool,
    fresh_from: Option<u64>,
    /// The configuration is read again at the first time, and no more after the second.
    read_again: Option<(Duration, Duration)>,
    ending: Option<Duration>,
}

/// Runs until SIGTERM has been followed by an end of all that is held.
pub fn run() -> Result<()> {
    let path = configuration::path()?;
    let place = configuration::read(&path)?;
    Service::new(path, place)?.serve()
}

impl Service {
    fn new(path: PathBuf, place: configuration::Place) -> Result<Self> {
        let mut reactor = Reactor::new(ORIGIN).context("event loop")?;
        for signal in [SIGTERM, SIGINT, SIGHUP] {
            reactor.signal(signal).context("signals")?;
        }
        reactor.accept_at_once(ACCEPTED_AT_ONCE);
        let terms = Terms::new(&place.options);
        let descriptors = raise_descriptors().min(place.sockets);
        // Half for viewers, who hold a third at most but come in crowds; the rest for streamers.
        let viewers = descriptors.saturating_sub(SPARE) / 2;
        let front = Front::new(viewers);
        let pool = Pool::new(
            descriptors.saturating_sub(SPARE + viewers).max(1),
            terms.connect_within,
            terms.keepalive,
            terms.most_streams,
            terms.noted_every,
            place.seed.rotate_left(17),
        );
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let epoch = unix.saturating_sub(reactor.clock());
        let own = |port| SocketAddr::V4(SocketAddrV4::new(*place.listen.ip(), port));
        let (names_line, _) = reactor.datagrams(own(0)).context("socket to the name service")?;
        let peers = place.peer_listen.map(|at| reactor.datagrams(SocketAddr::V4(at)));
        let peers = peers.transpose().context("socket to the other controllers")?.map(|(line, _)| line);
        let module = Controller::new(ORIGIN, place.seed, place.options.clone());
        let mut names = Names::default();
        // The list that it should name comes with the first answer, as all later ones do.
        if let Err(fault) = names.known(&place.known) {
            tracing::warn!(%fault, "known: not in order; the name service is asked for the list");
        }
        let sessions = SessionTable::new(module, terms, place.memory_mb);
        let listen = SocketAddr::V4(place.listen);
        let name = place.name.clone();
        let (sockets, memory_mb, last) = (place.sockets, place.memory_mb, names.last());
        let ends = Ends { reactor, now: ORIGIN, front, pool, place, peers };
        let chance = Rng(ends.place.seed.rotate_left(31));
        let mut service = Self {
            ends,
            sessions,
            names,
            chance,
            listener: 0,
            names_line,
            ask_at: ORIGIN,
            sweep_at: ORIGIN,
            next_round: ORIGIN,
            path,
            epoch,
            listed: false,
            fresh_from: None,
            read_again: None,
            ending: None,
        };
        service.tell_whole(Listing::Cached);
        service.sessions.round(ORIGIN, &mut service.ends);
        // Only now, so that the first test finds the list known and the module born.
        let listening = service.ends.reactor.listen(listen, front::BOUNDS);
        (service.listener, _) = listening.with_context(|| format!("listening at {listen}"))?;
        tracing::info!(name, %listen, sockets, memory_mb, last, "serves");
        Ok(service)
    }

    fn serve(mut self) -> Result<()> {
        let mut told = Vec::new();
        while !self.is_over() {
            let until = self.next_wake();
            self.ends.reactor.wait(Some(until), &mut told).context("event loop")?;
            self.ends.now = self.ends.reactor.now();
            told.drain(..).for_each(|happening| self.take(happening));
            self.tend();
            self.settle();
            let now = self.ends.now;
            self.sessions.fall_due(now, &mut self.ends);
            if now >= self.next_round && self.sessions.has_news() {
                self.next_round = now + self.sessions.calls.terms.tick;
                self.sessions.round(now, &mut self.ends);
            }
            self.settle();
            self.ends.reactor.flush();
        }
        self.part()?;
        for (by, step, count) in self.sessions.calls.unanswered.all() {
            tracing::info!(?by, %step, count, "set-ups whose connection ended without their answer");
        }
        tracing::info!(held = self.sessions.len(), "ends");
        Ok(())
    }

    fn next_wake(&self) -> Duration {
        let round = match self.sessions.has_news() {
            true => Some(self.next_round),
            false => self.sessions.next_due().map(|at| at.max(self.next_round)),
        };
        round.into_iter().chain([self.ask_at, self.sweep_at]).min().unwrap_or(self.sweep_at)
    }

    /// After SIGTERM: once nobody comes any more, nothing is held and nothing owed, or at last.
    fn is_over(&mut self) -> bool {
        let (now, Some(at)) = (self.ends.now, self.ending) else { return false };
        let since = now.saturating_sub(at);
        if since >= LONGEST_END.max(self.sessions.calls.terms.longest_wait) {
            self.sessions.end_all(now, &mut self.ends);
            self.ends.reactor.flush();
            return true;
        }
        if since < STILL_COMING || !self.sessions.is_empty() {
            return false;
        }
        let Ends { front, pool, reactor, .. } = &self.ends;
        !front.owes(now, reactor) && !pool.owes(now, reactor)
    }

    /// Closes all connections towards their other ends, and waits until those have read what was said there and closed
    /// them too: the kernel resets a connection that ends with something unread, and what was on its way is lost.
    fn part(&mut self) -> Result<()> {
        let Ends { reactor, front, pool, .. } = &mut self.ends;
        reactor.close(self.listener);
        let until = reactor.clock() + PARTING;
        let mut open: BTreeSet<Line> = front.lines().chain(pool.made()).collect();
        let (mut shut, mut told) = (BTreeSet::new(), Vec::new());
        while !open.is_empty() && reactor.clock() < until {
            for line in &open {
                if reactor.unwritten(*line) == 0 && shut.insert(*line) {
                    reactor.shut(*line);
                }
            }
            reactor.wait(Some(until), &mut told).context("event loop")?;
            for happening in told.drain(..) {
                match happening {
                    Happening::Closed(line, _) => drop(open.remove(&line)),
                    Happening::Readable(line) => reactor.consume(line, reactor.input(line).len()),
                    _ => {}
                }
            }
        }
        Ok(())
    }

    fn take(&mut self, happening: Happening) {
        let now = self.ends.now;
        match happening {
            Happening::Accepted { line, .. } => self.take_viewer(line),
            Happening::Readable(line) if self.ends.front.is(line) => self.hear_viewer(line),
            Happening::Readable(line) if self.ends.pool.is(line) => self.hear_streamer(line),
            Happening::Opened(line) => {
                let streamer = self.ends.pool.streamer(line);
                let takes = streamer.is_some_and(|streamer| self.sessions.takes_joins(streamer));
                self.ends.pool.opened(line, takes, now, &mut self.ends.reactor);
            }
            Happening::Closed(line, why) if self.ends.front.is(line) => {
                tracing::trace!(line, ?why, "a viewers' connection ends");
                self.drop_viewer(line, why.into());
            }
            Happening::Closed(line, _) => {
                // Its last words may have come with the end.
                self.hear_streamer(line);
                let streamer = self.ends.pool.streamer(line);
                let stands = streamer.is_some_and(|streamer| self.sessions.standing_at(streamer) > 0);
                self.ends.pool.closed(line, now, stands, &mut self.ends.reactor);
            }
            Happening::Datagram { line, from, bytes } if line == self.names_line => {
                if from == SocketAddr::V4(self.ends.place.names) {
                    self.hear_names(&bytes);
                }
            }
            Happening::Datagram { from, bytes, .. } => {
                let peers = &self.ends.place.peers;
                if let Some(peer) = peers.iter().position(|peer| SocketAddr::V4(*peer) == from) {
                    self.sessions.peer(peer as u32, bytes);
                }
            }
            Happening::Signal(SIGHUP) => {
                self.reload(now);
            }
            Happening::Signal(signal) => {
                tracing::info!(signal, held = self.sessions.len(), "told to end");
                self.ending.get_or_insert(now);
            }
            Happening::Readable(_) | Happening::Drained(_) | Happening::Due(_) => {}
        }
    }

    fn hear_viewer(&mut self, line: Line) {
        let now = self.ends.now;
        let mut input = self.ends.reactor.lift(line);
        let ready = (self.listed || now >= ORIGIN + READY_WITHOUT) && self.ending.is_none();
        let fault = loop {
            let mut ear = ViewerEar { service: (&mut self.sessions, &mut self.ends), line, now, ready };
            match viewers::decode(input.as_slice(), &mut ear) {
                Ok(0) => break None,
                Ok(count) => input.consume(count),
                Err(fault) => break Some(fault),
            }
        };
        let part = !input.is_empty();
        self.ends.reactor.lay_back(line, input);
        self.ends.front.read(line, now, part);
        if let Some(fault) = fault {
            tracing::debug!(%fault, "a viewers' connection cannot be read");
            self.drop_viewer(line, By::Unreadable);
        }
    }

    /// A viewers' connection came in. Where there is no room the least valuable one without an open set-up gives way,
    /// else the newcomer.
    fn take_viewer(&mut self, line: Line) {
        let now = self.ends.now;
        while self.ends.front.is_full() {
            let other = self.ends.front.gives_way(now, |line| self.sessions.open_on(line) > 0);
            let Some(other) = other else { return self.ends.reactor.close(line) };
            self.hear_last(other);
            if self.sessions.open_on(other) == 0 {
                tracing::trace!(line = other, "gives way");
                self.drop_viewer(other, By::Us);
            }
        }
        tracing::trace!(line, "a viewers' connection begins");
        self.ends.front.accepted(line, now);
    }

    /// What has come on a connection that is about to be closed is heard first: a set-up may be among it, and to
    /// close on it would leave it without an answer.
    fn hear_last(&mut self, line: Line) {
        if self.ends.reactor.read_now(line) {
            self.hear_viewer(line);
        }
    }

    fn drop_viewer(&mut self, line: Line, by: By) {
        let now = self.ends.now;
        self.sessions.viewer_gone(now, line, by, &mut self.ends);
        self.ends.reactor.flush_line(line);
        let answered = self.ends.front.answered_last(line);
        if let Some((wire_id, at)) = answered.filter(|_| self.ends.reactor.unwritten(line) > 0) {
            let held = now.saturating_sub(at);
            let lost = Lost { wire_id, by, step: Step::NotWritten, streamer: None, held };
            self.sessions.calls.unanswered.note(now, &lost);
        }
        self.ends.front.gone(line, now, &mut self.ends.reactor);
        self.ends.reactor.close(line);
    }

    fn hear_streamer(&mut self, line: Line) {
        let now = self.ends.now;
        let Some(streamer) = self.ends.pool.streamer(line) else { return };
        let mut input = self.ends.reactor.lift(line);
        if !input.is_empty() {
            self.ends.pool.heard(line, now);
        }
        let fault = loop {
            let service = (&mut self.sessions, &mut self.ends);
            let mut ear = StreamerEar { service, line, streamer, now, fault: None };
            match streamers::decode(input.as_slice(), &mut ear) {
                Ok(0) => break None,
                Ok(count) => {
                    if let Some(fault) = ear.fault {
                        break Some(fault);
                    }
                    input.consume(count);
                }
                Err(fault) => break Some(fault),
            }
        };
        self.ends.reactor.lay_back(line, input);
        if let Some(fault) = fault {
            tracing::debug!(%fault, %streamer, "a streamer's connection cannot be read");
            self.ends.pool.close(line, Ending::Reset, now, &mut self.ends.reactor);
        }
    }

    /// What the pool found goes to the session table; one may bring another.
    fn settle(&mut self) {
        let now = self.ends.now;
        while !self.ends.pool.happened.is_empty() {
            for happened in std::mem::take(&mut self.ends.pool.happened) {
                match happened {
                    Happened::JoinEnded(job, ending) => self.sessions.join_ended(now, job, ending, None),
                    Happened::Echo(streamer, ending, waited) => {
                        self.sessions.echo(streamer, ending, waited, None)
                    }
                    Happened::Heard(line) => self.hear_streamer(line),
                    Happened::Lost(streamer) => {
                        let held = self.sessions.standing_at(streamer);
                        tracing::debug!(%streamer, held, "lost with what stood there");
                        self.sessions.lost(now, streamer, Duration::MAX, &mut self.ends);
                    }
                }
            }
        }
    }

    /// What time asks for.
    fn tend(&mut self) {
        let now = self.ends.now;
        self.ask_names(now);
        if now < self.sweep_at {
            return;
        }
        self.read_configuration_again();
        self.sweep_at = now + SWEEP_EVERY;
        for line in self.ends.front.late(now, |line| self.sessions.open_on(line) > 0) {
            self.hear_last(line);
            if self.ends.front.is_late(line, now, |line| self.sessions.open_on(line) > 0) {
                tracing::trace!(line, "a viewers' connection has had its time");
                self.drop_viewer(line, By::Us);
            }
        }
        let stands_at: Vec<StreamerId> = self.sessions.stands_at().collect();
        self.ends.pool.sweep(now, &stands_at, &mut self.ends.reactor);
    }
}

//! The connection to the list service, and the copy of the list on disk.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use badgerledge_core::interface::{Health, Listing, Start, StreamerId};
use badgerledge_deployment::ControllerPlace;
use badgerledge_discovery::{Backoff, Sink, StreamerList, MAX_LINE_BYTES};
use badgerledge_exchange::{Carrier, Floor};
use badgerledge_reactor::{Line, Reactor};

use crate::files::{self, wall};

/// The wait before the first try to come back to the list service, and the longest: a list that is some seconds
/// old does little harm, hundreds of controllers that ask it in step do.
const FIRST: Duration = Duration::from_millis(200);
const MOST: Duration = Duration::from_secs(5);
/// How long a connection to it may take.
const PATIENCE: Duration = Duration::from_secs(1);
/// The copy on disk is written no more often: a restart that finds a list a second old loses nothing.
const STORE_EVERY: Duration = Duration::from_secs(1);

pub struct ListLine {
    at: Option<SocketAddr>,
    number: u32,
    line: Option<Line>,
    open: bool,
    retry_at: Option<Duration>,
    backoff: Backoff,
    pub book: StreamerList,
    /// Changes are told without being asked for.
    automatic: bool,
    /// What the module asked for while there was no connection.
    wants: (Option<bool>, bool),
    stored_as: Option<PathBuf>,
    stored_at: Duration,
    unstored: bool,
    /// Lines that came since the last round.
    pub came: Vec<Vec<u8>>,
    /// The service was lost since the last round.
    pub lost: bool,
    /// Streamers that were taken and went off by the lines taken last, with their starts, where others are told of it.
    pub went: Option<Vec<(StreamerId, u64)>>,
}

impl ListLine {
    pub fn new(place: &ControllerPlace, automatic: bool, now: Duration, seed: u64) -> Self {
        let (at, state) = (place.list, place.state.as_deref());
        let stored_as = state.map(|folder| folder.join("list.json"));
        let book = stored_as.as_deref().and_then(|path| restored(path, now)).unwrap_or_default();
        Self {
            at,
            number: place.number,
            line: None,
            open: false,
            // The first try is spread too: controllers are restarted many at a time.
            retry_at: at.map(|_| now),
            backoff: Backoff::new(FIRST, MOST, seed),
            book,
            automatic,
            wants: (None, false),
            stored_as,
            stored_at: Duration::ZERO,
            unstored: false,
            came: Vec::new(),
            lost: false,
            went: None,
        }
    }

    pub fn is(&self, line: Line) -> bool {
        self.line == Some(line)
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.retry_at
    }

    /// Connects again when it is time to.
    pub fn tend(&mut self, reactor: &mut Reactor, now: Duration) {
        if self.retry_at.take_if(|at| *at <= now).is_none() {
            return;
        }
        let Some(at) = self.at else { return };
        let bounds = badgerledge_reactor::Bounds { input: MAX_LINE_BYTES, output: 4096 };
        match reactor.connect(at, PATIENCE, bounds) {
            Ok(line) => self.line = Some(line),
            Err(_) => self.retry_at = Some(now + self.backoff.wait()),
        }
    }

    pub fn opened(&mut self, reactor: &mut Reactor) {
        self.open = true;
        let (observe, whole) = std::mem::take(&mut self.wants);
        if self.automatic || observe == Some(true) {
            self.send(reactor, &self.book.changes_request(true, self.number));
        }
        if whole {
            self.send(reactor, &StreamerList::full_list_request(self.number));
        }
    }

    pub fn closed(&mut self, now: Duration) {
        if self.open {
            tracing::warn!("the list service is lost; the last list goes on counting");
        }
        (self.line, self.open, self.lost) = (None, false, true);
        self.retry_at = Some(now + self.backoff.wait());
    }

    /// Takes what came, and keeps whole lines for the next round.
    pub fn read(&mut self, reactor: &mut Reactor, now: Duration) {
        let Some(line) = self.line else { return };
        let input = reactor.input(line);
        let Some(end) = input.iter().rposition(|byte| *byte == b'\n') else {
            if input.len() >= MAX_LINE_BYTES {
                tracing::warn!(
                    most = MAX_LINE_BYTES,
                    "a line of the list service is too long; connecting anew"
                );
                reactor.close(line);
                self.closed(now);
            }
            return;
        };
        let lines = input[..end].split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        self.came.extend(lines.map(<[u8]>::to_vec));
        reactor.consume(line, end + 1);
    }

    fn send(&self, reactor: &mut Reactor, text: &str) {
        if let Some(line) = self.line {
            reactor.send(line, &[text.as_bytes()]);
        }
    }

    /// Carries out what the module asked for: to be told of changes or not, and the whole list.
    pub fn ask(&mut self, reactor: &mut Reactor, (observe, whole): (Option<bool>, bool)) {
        if let Some(want) = observe {
            self.observe(reactor, want);
        }
        if whole {
            self.list_all(reactor);
        }
    }

    fn observe(&mut self, reactor: &mut Reactor, want: bool) {
        if self.open {
            self.send(reactor, &self.book.changes_request(want, self.number));
        } else {
            self.wants.0 = Some(want);
        }
    }

    fn list_all(&mut self, reactor: &mut Reactor) {
        if self.open {
            self.send(reactor, &StreamerList::full_list_request(self.number));
        } else {
            self.wants.1 = true;
        }
    }

    /// Writes the copy on disk, where something has changed. A new file takes the old one's place in one step, so
    /// that a process killed meanwhile leaves one whole copy.
    pub fn store(&mut self, now: Duration) {
        let Some(path) = self.stored_as.as_ref().filter(|_| self.unstored) else { return };
        if now < self.stored_at + STORE_EVERY {
            return;
        }
        (self.stored_at, self.unstored) = (now, false);
        if let Err(e) = files::replace(path, self.book.store(now, wall()).as_ref()) {
            tracing::warn!(path = %path.display(), "the list could not be stored: {e}; serving on without");
        }
    }
}

fn restored(path: &Path, now: Duration) -> Option<StreamerList> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return None,
        Err(e) => {
            tracing::warn!(path = %path.display(), "the stored list could not be read: {e}; starting without");
            return None;
        }
    };
    StreamerList::restore(&text, now, wall())
        .map_err(
            |e| tracing::warn!(path = %path.display(), "the stored list is no use: {e}; starting without"),
        )
        .ok()
}

/// Passes the list on to the round.
pub struct ToFloor<'f, 'a, 'd, C> {
    pub floor: &'f mut Floor<'a, 'd, C>,
    pub known: Vec<StreamerId>,
}

impl<C: Carrier> Sink for ToFloor<'_, '_, '_, C> {
    fn list_begins(&mut self, how: Listing) {
        self.floor.list_begins(how, self.known.drain(..));
    }

    fn list_entry(
        &mut self, streamer: StreamerId, zone: u16, kind: usize, cell: u32, health: Health, weight: f64,
        came_up: Start,
    ) {
        self.floor.list_entry(streamer, zone, kind, cell, health, weight, came_up);
    }

    fn list_ends(&mut self, how: Listing) {
        self.floor.list_ends(how);
    }
}

impl ListLine {
    /// Streamers that take joins, with their starts.
    fn ready(&self) -> Vec<(StreamerId, u64)> {
        let ready = self.book.entries().filter(|(_, entry)| entry.health == Health::Ready);
        ready.map(|(id, entry)| (id, entry.start_number)).collect()
    }

    fn note_went(&mut self, before: Vec<(StreamerId, u64)>) {
        let Some(went) = &mut self.went else { return };
        let off = |(id, start): &(StreamerId, u64)| {
            self.book
                .entry(id)
                .is_none_or(|entry| entry.health != Health::Ready || entry.start_number != *start)
        };
        went.extend(before.into_iter().filter(off));
    }

    /// Takes one line of the service into the book and on to the round. Tells whether the whole list is wanted.
    pub fn take<C: Carrier>(&mut self, line: &[u8], now: Duration, floor: &mut Floor<'_, '_, C>) -> bool {
        let known = self.book.streamers();
        let before = self.went.as_ref().map(|_| self.ready());
        match self.book.apply(line, now, &mut ToFloor { floor, known }) {
            Ok(how) => {
                self.unstored |= how != Listing::Failed;
                self.note_went(before.unwrap_or_default());
                self.backoff.reset();
                tracing::debug!(?how, revision = self.book.revision(), "list");
                false
            }
            Err(fault) => {
                tracing::warn!("list: {fault}; the list held before goes on counting");
                true
            }
        }
    }
}

//! The connection to the list service, and the copy of the list on disk.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use badgerledge_core::interface::{Health, Listing, Start, StreamerId};
use badgerledge_deployment::ControllerPlace;
use badgerledge_discovery::{Backoff, Sink, StreamerList, MAX_LINE_BYTES};
use badgerledge_exchange::{EventHandler, Transport};
use badgerledge_reactor::{Reactor, SocketId};

use crate::files::{self, wall};

/// The first and the longest delay before reconnecting to the list service. A list that is some seconds old
/// does little harm, while hundreds of controllers that query the service in step do.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Time limit for connecting to it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest interval between writes of the copy on disk: a restart that finds a list a second old loses
/// nothing.
const MIN_STORE_INTERVAL: Duration = Duration::from_secs(1);

/// The connection to the list service and the list received over it.
pub struct ListConnection {
    address: Option<SocketAddr>,
    controller: u32,
    connection: Option<SocketId>,
    is_open: bool,
    retry_at: Option<Duration>,
    backoff: Backoff,
    pub streamer_list: StreamerList,
    /// Whether changes are subscribed to on every connection, without a request of the module.
    subscribes_automatically: bool,
    /// What the module requested while there was no connection: whether to be sent changes, and whether to be
    /// sent the whole list.
    pending_requests: (Option<bool>, bool),
    store_path: Option<PathBuf>,
    stored_at: Duration,
    is_dirty: bool,
    /// Lines received since the last round.
    pub received_lines: Vec<Vec<u8>>,
    /// Whether the connection was lost since the last round.
    pub disconnected: bool,
    /// Streamers that were ready and that the last lines removed, with their start times; `None` where other
    /// members are not notified of them.
    pub removed_streamers: Option<Vec<(StreamerId, u64)>>,
}

impl ListConnection {
    /// Starts with the stored list; the connection is begun by the first [`Self::poll`].
    pub fn new(place: &ControllerPlace, subscribes_automatically: bool, now: Duration, seed: u64) -> Self {
        let (address, state) = (place.list, place.state.as_deref());
        let store_path = state.map(|folder| folder.join("list.json"));
        let streamer_list = store_path.as_deref().and_then(|path| read_stored(path, now)).unwrap_or_default();
        Self {
            address,
            controller: place.number,
            connection: None,
            is_open: false,
            // The first attempt is due at once, also where many controllers restart together.
            retry_at: address.map(|_| now),
            backoff: Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY, seed),
            streamer_list,
            subscribes_automatically,
            pending_requests: (None, false),
            store_path,
            stored_at: Duration::ZERO,
            is_dirty: false,
            received_lines: Vec::new(),
            disconnected: false,
            removed_streamers: None,
        }
    }

    /// Whether a connection is the one to the list service.
    pub fn owns(&self, connection: SocketId) -> bool {
        self.connection == Some(connection)
    }

    /// When the next attempt to connect is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.retry_at
    }

    /// Connects again when that is due.
    pub fn poll(&mut self, reactor: &mut Reactor, now: Duration) {
        if self.retry_at.take_if(|at| *at <= now).is_none() {
            return;
        }
        let Some(address) = self.address else { return };
        let bounds = badgerledge_reactor::Bounds { input: MAX_LINE_BYTES, output: 4096 };
        match reactor.connect(address, CONNECT_TIMEOUT, bounds) {
            Ok(connection) => self.connection = Some(connection),
            Err(_) => self.retry_at = Some(now + self.backoff.wait()),
        }
    }

    /// Sends the pending requests once connected.
    pub fn opened(&mut self, reactor: &mut Reactor) {
        self.is_open = true;
        let (observe, whole) = std::mem::take(&mut self.pending_requests);
        if self.subscribes_automatically || observe == Some(true) {
            self.send(reactor, &self.streamer_list.changes_request(true, self.controller));
        }
        if whole {
            self.send(reactor, &StreamerList::full_list_request(self.controller));
        }
    }

    /// Schedules a reconnection after the connection was lost.
    pub fn closed(&mut self, now: Duration) {
        if self.is_open {
            tracing::warn!("connection to the list service lost; using the last list until it is back");
        }
        (self.connection, self.is_open, self.disconnected) = (None, false, true);
        self.retry_at = Some(now + self.backoff.wait());
    }

    /// Reads the input, and keeps its complete lines for the next round.
    pub fn read(&mut self, reactor: &mut Reactor, now: Duration) {
        let Some(connection) = self.connection else { return };
        let input = reactor.input(connection);
        let Some(end) = input.iter().rposition(|byte| *byte == b'\n') else {
            if input.len() >= MAX_LINE_BYTES {
                tracing::warn!(most = MAX_LINE_BYTES, "a line of the list service is too long; reconnecting");
                reactor.close(connection);
                self.closed(now);
            }
            return;
        };
        let complete_lines = input[..end].split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        self.received_lines.extend(complete_lines.map(<[u8]>::to_vec));
        reactor.consume(connection, end + 1);
    }

    /// Sends a request to the list service, if connected.
    fn send(&self, reactor: &mut Reactor, text: &str) {
        if let Some(connection) = self.connection {
            reactor.send(connection, &[text.as_bytes()]);
        }
    }

    /// Sends the module's requests: whether to be sent changes, and whether to be sent the whole list.
    pub fn request(&mut self, reactor: &mut Reactor, (observe, whole): (Option<bool>, bool)) {
        if let Some(want) = observe {
            self.request_changes(reactor, want);
        }
        if whole {
            self.request_whole_list(reactor);
        }
    }

    /// Requests to be sent changes or not, at once or on the next connection.
    fn request_changes(&mut self, reactor: &mut Reactor, want: bool) {
        if self.is_open {
            self.send(reactor, &self.streamer_list.changes_request(want, self.controller));
        } else {
            self.pending_requests.0 = Some(want);
        }
    }

    /// Requests the whole list, at once or on the next connection.
    fn request_whole_list(&mut self, reactor: &mut Reactor) {
        if self.is_open {
            self.send(reactor, &StreamerList::full_list_request(self.controller));
        } else {
            self.pending_requests.1 = true;
        }
    }

    /// Writes the copy on disk if the list has changed. The new file replaces the old one in one step, so
    /// that a process killed meanwhile leaves one complete copy.
    pub fn store(&mut self, now: Duration) {
        let Some(path) = self.store_path.as_ref().filter(|_| self.is_dirty) else { return };
        if now < self.stored_at + MIN_STORE_INTERVAL {
            return;
        }
        (self.stored_at, self.is_dirty) = (now, false);
        if let Err(error) = files::replace(path, self.streamer_list.store(now, wall()).as_ref()) {
            tracing::warn!(
                path = %path.display(),
                "the list could not be stored: {error}; continuing without a stored copy"
            );
        }
    }
}

/// The stored list; `None` if there is none that can be used.
fn read_stored(path: &Path, now: Duration) -> Option<StreamerList> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return None,
        Err(error) => {
            tracing::warn!(
                path = %path.display(),
                "the stored list could not be read: {error}; starting without a list"
            );
            return None;
        }
    };
    StreamerList::restore(&text, now, wall())
        .map_err(|error| {
            tracing::warn!(
                path = %path.display(),
                "the stored list is invalid: {error}; starting without a list"
            )
        })
        .ok()
}

/// Reports the list to the round.
pub struct ListSink<'f, 'a, 'd, C> {
    pub floor: &'f mut EventHandler<'a, 'd, C>,
    pub known: Vec<StreamerId>,
}

impl<C: Transport> Sink for ListSink<'_, '_, '_, C> {
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

impl ListConnection {
    /// Streamers that accept joins, with their start times.
    fn ready(&self) -> Vec<(StreamerId, u64)> {
        let ready_entries = self.streamer_list.entries().filter(|(_, entry)| entry.health == Health::Ready);
        ready_entries.map(|(id, entry)| (id, entry.start_number)).collect()
    }

    /// Records the streamers that were ready before a line and are not any more.
    fn record_removed(&mut self, ready_before: Vec<(StreamerId, u64)>) {
        let Some(removed_streamers) = &mut self.removed_streamers else { return };
        let is_removed = |(id, start): &(StreamerId, u64)| {
            self.streamer_list
                .entry(id)
                .is_none_or(|entry| entry.health != Health::Ready || entry.start_number != *start)
        };
        removed_streamers.extend(ready_before.into_iter().filter(is_removed));
    }

    /// Applies one line of the service to the list, and reports it to the round. Returns whether the whole
    /// list must be requested because the line was invalid.
    pub fn handle_line<C: Transport>(
        &mut self, line: &[u8], now: Duration, floor: &mut EventHandler<'_, '_, C>,
    ) -> bool {
        let known = self.streamer_list.streamers();
        let ready_before = self.removed_streamers.as_ref().map(|_| self.ready());
        match self.streamer_list.apply(line, now, &mut ListSink { floor, known }) {
            Ok(how) => {
                self.is_dirty |= how != Listing::Failed;
                self.record_removed(ready_before.unwrap_or_default());
                self.backoff.reset();
                tracing::debug!(?how, revision = self.streamer_list.revision(), "list");
                false
            }
            Err(fault) => {
                tracing::warn!("invalid line from the list service: {fault}; requesting the whole list");
                true
            }
        }
    }
}

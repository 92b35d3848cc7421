//! Drives the protocol by which controllers agree on revisions of the configuration among themselves.
//!
//! [`badgerledge_revisions`] decides; this does its input and output. Messages travel with the gossip, texts
//! and requests over streams to the gossip's own port. What must survive the process goes to the state folder
//! before any message that depends on it is sent.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{bail, Context, Result};
use badgerledge_catalogue::Catalogue;
use badgerledge_core::interface::StreamerId;
use badgerledge_core::random::Rng;
use badgerledge_deployment::{ActedOn, Deployment, Text};
use badgerledge_keys::Keys;
use badgerledge_reactor::{Reactor, SocketId};
use badgerledge_revisions::lists::{ListPosition, ListPositions, RemovedStreamer};
use badgerledge_revisions::message::Message;
use badgerledge_revisions::requests::{self, Report, Request, Response};
use badgerledge_revisions::{
    ActivationMode, Digest, HoldReason, Member, MemberConfig, MemberOutput, Revisions, Signed, Signer,
    StoredState,
};
use metrics::{counter, gauge};

use crate::changing::Change;
use crate::configuration_check::ConfigurationCheck;
use crate::fetching::TextFetcher;
use crate::gossiping::GossipDriver;
use crate::request_streams::{ReceivedRequest, RequestStreams};
use crate::{files, telemetry};

/// The file of the durable state, in the state folder.
pub const STATE_FILE: &str = "revision-state";
/// The folder of revision texts in the state folder, a file per digest.
const TEXTS_FOLDER: &str = "revision-texts";
/// Retry delay for viewers that are throttled while new joins are held back: most holds end within a lease.
const RETRY_DELAY: Duration = Duration::from_millis(1500);
/// The list position is sent to one other member at this interval.
const POSITION_INTERVAL: Duration = Duration::from_secs(2);
/// The shorter interval while the position names streamers that left the list.
const POSITION_INTERVAL_WITH_REMOVALS: Duration = Duration::from_millis(200);
/// Members that are notified at once when the list advances. Every member learns it from several others, and
/// a fleet of 300 knows of a change after some five rounds of messages.
const MEMBERS_NOTIFIED_AT_ONCE: usize = 3;

/// The driver of a controller's revisions.
pub struct RevisionDriver {
    revisions: Revisions<Keys>,
    request_streams: RequestStreams,
    fetcher: TextFetcher,
    /// The state folder.
    state: PathBuf,
    mode: ActivationMode,
    configuration_check: Arc<Mutex<ConfigurationCheck>>,
    /// The index of this controller's zone.
    zone: usize,
    /// Whether texts contain the titles too.
    catalogue: bool,
    /// Whether the configuration to apply has changed since it was last taken.
    changed: bool,
    /// Whether the prepared revision must not be applied by one controller while another applies the active
    /// one.
    exclusive: bool,
    /// Where the active configuration came from: `file`, `store` or `peers`.
    source: &'static str,
    /// The hold that was last logged.
    logged_hold: Option<HoldReason>,
    now: Duration,
    /// `None` where list positions are not exchanged.
    lists: Option<ListPositions>,
    send_position_at: Duration,
    rng: Rng,
}

impl RevisionDriver {
    /// `None` where the deployment has no such section.
    ///
    /// # Errors
    /// If the address cannot be listened at, or the ring names no acceptors.
    pub fn new(
        reactor: &mut Reactor, deployment: &Deployment, titles: &Catalogue, gossiping: &GossipDriver,
        seed: u64,
    ) -> Result<Option<Self>> {
        let place = &deployment.place;
        let (Some(settings), Some(state)) = (&deployment.revisions, &place.state) else { return Ok(None) };
        let listener = RequestStreams::listen(reactor, gossiping.local_address())?;
        let keys = gossiping.keys().clone();
        if keys.acceptors().is_empty() {
            bail!("[revisions]: the ring names no acceptors; set them with `badgerledge-keys keepers`");
        }
        let mut own_text = deployment.shared_text.clone();
        if settings.catalogue {
            own_text += &titles.text();
        }
        let stored = read_stored(state);
        let texts = read_texts(&state.join(TEXTS_FOLDER));
        let source = match &stored {
            Some(stored) if stored.active > 0 => "store",
            _ => "file",
        };
        let mode = if settings.regime == "hold" { ActivationMode::Hold } else { ActivationMode::Wait };
        let configuration_check = ConfigurationCheck::new(
            deployment,
            (!settings.catalogue).then_some(titles),
            "[revisions] catalogue",
        );
        let zone = configuration_check.zone();
        let configuration_check = Arc::new(Mutex::new(configuration_check));
        let check_handle = configuration_check.clone();
        let terms = MemberConfig {
            local_id: place.number as Member,
            incarnation: gossiping.incarnation(),
            mode,
            activation_delay: Duration::from_millis(2 * place.tick_ms),
            check: Box::new(move |text| check(text, &check_handle)),
        };
        let now = reactor.now();
        let revisions = Revisions::new(keys, terms, Arc::from(own_text.as_bytes()), stored, texts, now, seed);
        if let (0, Ok(mut configuration_check)) =
            (revisions.active_revision(now).active, configuration_check.lock())
        {
            configuration_check.set_current(deployment.shared.clone());
        }
        let (active, regime_name) = (revisions.active_revision(now).active, settings.regime.as_str());
        let bound = revisions.bound();
        tracing::info!(active, source, regime = regime_name, ?bound, "revisions begin");
        Ok(Some(Self {
            revisions,
            request_streams: RequestStreams::new(listener),
            fetcher: TextFetcher::default(),
            state: state.clone(),
            mode,
            configuration_check,
            zone,
            catalogue: settings.catalogue,
            changed: active > 0,
            exclusive: false,
            source,
            logged_hold: None,
            now,
            lists: settings.lists.then(ListPositions::default),
            send_position_at: now,
            rng: Rng(seed.rotate_left(11)),
        }))
    }

    /// When [`Self::poll`] has work to do next.
    pub fn next_due(&self) -> Duration {
        let query_due = self.lists.as_ref().and_then(ListPositions::next_due);
        let send_due = self.lists.as_ref().map(|_| self.send_position_at);
        let own_due =
            self.revisions.next_due().min(self.request_streams.next_due()).min(self.fetcher.next_due());
        [Some(own_due), query_due, send_due].into_iter().flatten().min().unwrap_or(own_due)
    }

    /// Does the work that is due.
    pub fn poll(&mut self, reactor: &mut Reactor, gossiping: &mut GossipDriver, now: Duration) {
        self.request_streams.poll(reactor, now);
        self.fetcher.poll(reactor, now);
        if now >= self.send_position_at {
            self.send_position(reactor, gossiping, 1);
        }
        if now >= self.revisions.next_due() {
            let mut out = Vec::new();
            self.revisions.poll(now, &mut out);
            self.execute(reactor, gossiping, out);
            self.export_metrics();
        }
    }

    /// Handles another member's message. Returns the streamers that enough members now report off their
    /// lists, or `None` if the message belongs to another subsystem.
    pub fn handle_message(
        &mut self, reactor: &mut Reactor, gossiping: &mut GossipDriver, from: Member, bytes: &[u8],
    ) -> Option<Vec<RemovedStreamer>> {
        if !Message::is_meant(bytes) {
            return None;
        }
        match (Message::read(bytes), &mut self.lists) {
            (Some(Message::ListReport(statement)), Some(lists)) => {
                return Some(lists.receive_report(self.now, from, &statement))
            }
            (Some(message), _) => {
                let mut out = Vec::new();
                self.revisions.receive(self.now, from, message, &mut out);
                self.execute(reactor, gossiping, out);
            }
            (None, _) => {}
        }
        Some(Vec::new())
    }

    /// Whether list positions are exchanged with other members.
    pub fn exchanges_list_positions(&self) -> bool {
        self.lists.is_some()
    }

    /// Records that this controller's list advanced, and notifies other members.
    pub fn list_advanced(
        &mut self, reactor: &Reactor, gossiping: &mut GossipDriver, (epoch, revision): (u64, u64),
        removed: Vec<(StreamerId, u64)>,
    ) {
        let Some(lists) = &mut self.lists else { return };
        let position = ListPosition { epoch, revision };
        if position == lists.own_report(self.now).position {
            return;
        }
        let removal =
            |(id, start): (StreamerId, u64)| RemovedStreamer { ip: id.ip().octets(), port: id.port(), start };
        lists.update_own_position(self.now, position, removed.into_iter().map(removal));
        self.send_position(reactor, gossiping, MEMBERS_NOTIFIED_AT_ONCE);
    }

    /// Whether to query the list service now, since other members' lists are further ahead.
    pub fn should_query_list(&mut self) -> bool {
        self.lists.as_mut().is_some_and(|lists| lists.take_refresh(self.now))
    }

    /// Sends the list position to this many randomly chosen members.
    fn send_position(&mut self, reactor: &Reactor, gossiping: &mut GossipDriver, count: usize) {
        let Some(lists) = &self.lists else { return };
        let statement = lists.own_report(self.now);
        self.send_position_at = self.now
            + if statement.removed.is_empty() { POSITION_INTERVAL } else { POSITION_INTERVAL_WITH_REMOVALS };
        let message = Message::ListReport(statement).write();
        let own_member = self.revisions.signer().member();
        let others: Vec<Member> = Signer::members(self.revisions.signer())
            .iter()
            .copied()
            .filter(|member| *member != own_member)
            .collect();
        for _ in 0..count {
            let index = (self.rng.unit_interval() * others.len() as f64) as usize;
            if let Some(member) = others.get(index) {
                gossiping.send_message(reactor, self.now, u32::from(*member), &message);
            }
        }
    }

    /// Whether a connection belongs to this subsystem.
    pub fn owns(&self, connection: SocketId) -> bool {
        self.request_streams.owns(connection) || self.fetcher.owns(connection)
    }

    /// Sets the one time that all events of this iteration of the event loop are handled with.
    pub fn set_now(&mut self, now: Duration) {
        self.now = now;
    }

    /// Accepts a connection if it came in on this subsystem's listener.
    pub fn accept(&mut self, reactor: &mut Reactor, connection: SocketId, listener: SocketId) -> bool {
        self.request_streams.accept(reactor, connection, listener, self.now)
    }

    /// Handles the completion of an outgoing connection.
    pub fn opened(&mut self, reactor: &mut Reactor, connection: SocketId) {
        self.fetcher.opened(reactor, connection);
    }

    /// Handles the end of a connection.
    pub fn closed(&mut self, connection: SocketId) {
        self.request_streams.closed(connection);
        self.fetcher.closed(connection);
    }

    /// Handles new input on a connection.
    pub fn readable(&mut self, reactor: &mut Reactor, gossiping: &mut GossipDriver, connection: SocketId) {
        if self.fetcher.owns(connection) {
            if let Some((signed, text)) = self.fetcher.readable(reactor, connection) {
                let mut out = Vec::new();
                if let Err(why) = self.revisions.take_text(self.now, &signed, text, &mut out) {
                    tracing::warn!(number = signed.head.number, "a fetched revision text is rejected: {why}");
                    counter!(telemetry::REVISIONS_REFUSED).increment(1);
                }
                self.execute(reactor, gossiping, out);
            }
            return;
        }
        loop {
            let revisions = &self.revisions;
            let accepts_text =
                |signed: &Signed| revisions.may_be_next(signed).map_err(|reason| reason.to_string());
            let Some(request) = self.request_streams.readable(reactor, connection, self.now, &accepts_text)
            else {
                return;
            };
            let mut out = Vec::new();
            let (answer, payload) = self.answer(request, &mut out);
            // The answer depends on what is stored.
            self.execute(reactor, gossiping, out);
            reactor.send(connection, &[&requests::encode_line(&answer), &payload]);
        }
    }

    /// Answers a request; returns the answer and the bytes that follow it.
    fn answer(&mut self, request: ReceivedRequest, out: &mut Vec<MemberOutput>) -> (Response, Vec<u8>) {
        let now = self.now;
        let refuse = |reason: String| {
            counter!(telemetry::REVISIONS_REFUSED).increment(1);
            tracing::warn!("a request is refused: {reason}");
            (Response::Refused(reason), Vec::new())
        };
        match request {
            ReceivedRequest::Invalid(reason) => refuse(reason),
            ReceivedRequest::Push(signed, text) => match self.revisions.push(now, signed, text, out) {
                Ok(()) => {
                    let (number, author) = (signed.head.number, signed.head.author);
                    tracing::info!(number, author, "a revision was pushed to this controller");
                    (Response::Taken, Vec::new())
                }
                Err(reason) => refuse(reason.to_string()),
            },
            ReceivedRequest::Request(Request::Text { text, from }) => {
                let whole_text =
                    parse_digest(&text).and_then(|digest| self.revisions.text_by_digest(&digest));
                match whole_text.and_then(|text| text.get(from..)) {
                    Some(rest) => {
                        let piece = rest[..rest.len().min(requests::MAX_CHUNK_BYTES)].to_vec();
                        (Response::Bytes(piece.len()), piece)
                    }
                    None => (
                        Response::Refused("no such text here, or it ends before that offset".to_owned()),
                        Vec::new(),
                    ),
                }
            }
            ReceivedRequest::Request(Request::Active) => {
                let text = self.revisions.active_text().to_vec();
                (Response::Bytes(text.len()), text)
            }
            ReceivedRequest::Request(Request::Latest) => {
                match self.revisions.latest_text().map(|text| text.to_vec()) {
                    Some(text) => (Response::Bytes(text.len()), text),
                    None => {
                        let reason = "the text of the certified revision is not here yet".to_owned();
                        (Response::Refused(reason), Vec::new())
                    }
                }
            }
            ReceivedRequest::Request(Request::Gone { gone }) => match requests::decode_removal(&gone) {
                Some(gone) if self.revisions.add_removal(now, gone, out) => {
                    tracing::info!(
                        member = gone.member,
                        gone = gone.removed,
                        author = gone.author,
                        "an author's statement on a member is accepted"
                    );
                    (Response::Taken, Vec::new())
                }
                _ => refuse(
                    "the statement on the member is not signed by an author, or is older than the one held"
                        .to_owned(),
                ),
            },
            ReceivedRequest::Request(Request::Status) => {
                (Response::Status(Box::new(self.report())), Vec::new())
            }
            ReceivedRequest::Request(Request::Push { .. }) => {
                (Response::Refused("no text".to_owned()), Vec::new())
            }
        }
    }

    /// The status that programs of operators request.
    pub fn report(&self) -> Report {
        let status = self.revisions.status(self.now);
        let acceptor_status =
            status.acceptor.as_ref().map(|acceptor| match acceptor.state().no_vote_through {
                _ if acceptor.is_recovering() => "asks what it may have signed".to_owned(),
                no_vote_through if no_vote_through > status.certified => {
                    format!("votes again after {no_vote_through}")
                }
                _ => "votes".to_owned(),
            });
        Report {
            member: self.revisions.signer().member(),
            regime: if self.mode == ActivationMode::Hold { "hold" } else { "wait" }.to_owned(),
            active: status.active_revision.active,
            certified: status.certified,
            digest: hex::encode(status.digest),
            prepared: status.active_revision.prepared,
            held: self.current_hold(self.now).map(|held| format!("{held:?}")),
            source: self.source.to_owned(),
            bound_ms: status.bound.as_millis() as u64,
            waited_for: status.waited_for,
            gone: status.removed,
            keeper: acceptor_status,
            members: status
                .positions
                .iter()
                .map(|(member, position)| (*member, position.active, position.held))
                .collect(),
        }
    }

    /// Why new joins are held back at this time, if they are.
    fn current_hold(&self, now: Duration) -> Option<HoldReason> {
        // Where no exclusive setting changes, a combination of both revisions, taking the stricter value of
        // each setting, is safe beside either.
        let is_harmless = self.mode == ActivationMode::Wait && !self.exclusive;
        self.revisions.active_revision(now).held.filter(|held| *held != HoldReason::NoLease || !is_harmless)
    }

    /// Whether new joins are held back at this time, and if so the retry delay for viewers.
    pub fn hold_new_joins(&mut self, now: Duration) -> Option<Duration> {
        let hold = self.current_hold(now);
        if hold != self.logged_hold {
            match hold {
                Some(why) => tracing::warn!(?why, "new joins are held back"),
                None => tracing::info!("new joins go on"),
            }
            self.logged_hold = hold;
        }
        hold.map(|_| RETRY_DELAY)
    }

    /// The index of this controller's zone, which is stable while its name may change.
    pub fn zone(&self) -> usize {
        self.zone
    }

    /// The configuration to apply from now on, if it has changed.
    pub fn take_change(&mut self) -> Option<Change> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let parse = |text: &[u8]| {
            Text::read(text)
                .map_err(|why| tracing::error!("an accepted revision text can't be read: {why}"))
                .ok()
        };
        let active = parse(self.revisions.active_text())?;
        let prepared = self.revisions.prepared_text().and_then(|text| parse(text));
        let applied = self.configuration_check.lock().ok()?.apply(&active, prepared.as_ref());
        let ActedOn { shared, titles, exclusive } =
            applied.map_err(|why| tracing::error!("an accepted revision can't be applied: {why}")).ok()?;
        self.exclusive = exclusive;
        let active_revision = self.revisions.active_revision(self.now);
        let (active, prepared) = (active_revision.active, active_revision.prepared);
        tracing::info!(active, prepared, exclusive, titles = titles.len(), "applies a revision");
        self.export_metrics();
        Some(Change { shared, titles: self.catalogue.then_some(titles) })
    }

    /// Records that the catalogue's own file was reloaded.
    pub fn catalogue_reloaded(&self, titles: &Catalogue) {
        if let Ok(mut configuration_check) = self.configuration_check.lock() {
            configuration_check.catalogue_reloaded(titles);
        }
    }

    /// Replaces the keys after the ring was reloaded.
    pub fn replace_keys(&mut self, keys: &Keys) {
        self.revisions.replace_signer(keys.clone());
    }

    /// Executes outputs of the protocol.
    fn execute(&mut self, reactor: &mut Reactor, gossiping: &mut GossipDriver, out: Vec<MemberOutput>) {
        // What could not be stored must not be announced: the outputs after it are dropped, as if they were
        // lost in transit.
        let mut all_stored = true;
        for output in out {
            match output {
                MemberOutput::Send(to, message) if all_stored => {
                    gossiping.send_message(reactor, self.now, u32::from(to), &message)
                }
                MemberOutput::Send(..) => {}
                MemberOutput::Store(bytes) => {
                    all_stored &=
                        log_store_result(files::replace_durably(&self.state.join(STATE_FILE), &bytes))
                }
                MemberOutput::StoreText(digest, text) => all_stored &= self.store_text(&digest, &text),
                MemberOutput::Fetch(signed, from) => {
                    let address = gossiping.address(from);
                    let local_ip = Some(gossiping.local_address().ip()).filter(|ip| !ip.is_unspecified());
                    address
                        .into_iter()
                        .for_each(|address| self.fetcher.start(reactor, signed, address, local_ip, self.now));
                }
                MemberOutput::Changed => {
                    if self.revisions.active_revision(self.now).active > 0 && self.source == "file" {
                        self.source = "peers";
                    }
                    self.changed = true;
                }
                MemberOutput::Unusable(number, why) => {
                    tracing::error!(number, "a certified revision can't be applied here: {why}");
                    counter!(telemetry::REVISIONS_REFUSED).increment(1);
                }
            }
        }
    }

    /// Stores a revision text under its digest, unless it is stored already. Returns whether it is stored.
    fn store_text(&self, digest: &Digest, text: &[u8]) -> bool {
        let folder = self.state.join(TEXTS_FOLDER);
        let path = folder.join(hex::encode(digest));
        path.exists()
            || log_store_result(
                std::fs::create_dir_all(&folder).and_then(|()| files::replace_durably(&path, text)),
            )
    }

    /// Sets the gauges of revisions.
    fn export_metrics(&self) {
        let revisions = &self.revisions;
        gauge!(telemetry::REVISION_ACTIVE).set(f64::from(revisions.active_revision(self.now).active));
        gauge!(telemetry::REVISION_CERTIFIED).set(f64::from(revisions.next().0 - 1));
        gauge!(telemetry::REVISION_HELD).set(f64::from(u8::from(self.current_hold(self.now).is_some())));
        gauge!(telemetry::REVISION_BOUND).set(revisions.bound().as_secs_f64());
        gauge!(telemetry::REVISION_WAITED_FOR).set(revisions.waited_for(self.now).len() as f64);
    }
}

/// Logs a failure to store; returns whether it was stored.
fn log_store_result(result: io::Result<()>) -> bool {
    if let Err(error) = &result {
        tracing::error!(
            "the state of revisions could not be stored, and no message that depends on it is sent: {error}"
        );
    }
    result.is_ok()
}

/// Parses a digest from hexadecimal.
fn parse_digest(text: &str) -> Option<Digest> {
    hex::decode(text).ok()?.try_into().ok()
}

/// Checks whether this controller can apply a text after the present configuration.
fn check(text: &[u8], configuration_check: &Mutex<ConfigurationCheck>) -> Result<(), String> {
    let text = Text::read(text)?;
    configuration_check.lock().map_err(|error| error.to_string())?.check(&text)
}

/// The state that an earlier process stored. An unreadable file is logged and treated as absent.
fn read_stored(state: &Path) -> Option<StoredState> {
    let path = state.join(STATE_FILE);
    let bytes = std::fs::read(&path).ok()?;
    StoredState::read(&bytes)
        .map_err(|why| tracing::error!("{}: {why}; treated as absent", path.display()))
        .ok()
}

/// The stored texts whose contents match the digest in their name.
fn read_texts(folder: &Path) -> Vec<Arc<[u8]>> {
    let Ok(entries) = std::fs::read_dir(folder) else { return Vec::new() };
    let read_text = |path: PathBuf| {
        let bytes = std::fs::read(&path).ok()?;
        let expected_digest = path.file_name()?.to_str().and_then(parse_digest)?;
        (badgerledge_revisions::digest(&bytes) == expected_digest).then(|| Arc::from(bytes.as_slice()))
    };
    entries.filter_map(|entry| read_text(entry.ok()?.path())).collect()
}

/// Creates the state of a new member. Its acceptor has signed nothing yet, which is only true of a member
/// that never ran.
///
/// # Errors
/// If the state exists already or cannot be written.
pub fn create_state(state: &Path) -> Result<()> {
    std::fs::create_dir_all(state).with_context(|| state.display().to_string())?;
    let path = state.join(STATE_FILE);
    if path.exists() {
        bail!("{}: exists already", path.display());
    }
    let initial_state = StoredState { acceptor: Some(Default::default()), ..StoredState::default() };
    files::replace_durably(&path, &initial_state.write()).with_context(|| path.display().to_string())
}

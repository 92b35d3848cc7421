//! Revisions among controllers, joined to the ends: words go with the gossip, texts and orders by streams at the
//! gossip's own port, and what must outlive the process to the state folder before anything is said that rests on it.

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
use badgerledge_reactor::{Line, Reactor};
use badgerledge_revisions::lists::{ListPosition, ListPositions, RemovedStreamer};
use badgerledge_revisions::message::Message;
use badgerledge_revisions::requests::{self, Report, Request, Response};
use badgerledge_revisions::{
    ActivationMode, Digest, HoldReason, Member, MemberConfig, MemberOutput, Revisions, Signed, Signer,
    StoredState,
};
use metrics::{counter, gauge};

use crate::changing::Change;
use crate::fetching::Fetching;
use crate::fits::Fits;
use crate::gossiping::Gossiping;
use crate::orders::{Asked, Orders};
use crate::{files, watch};

/// Files in the state folder.
pub const STORED: &str = "revision-state";
const TEXTS: &str = "revision-texts";
/// Viewers that are turned away while new joins are held back come back after this: within a lease most holds end.
const COME_BACK: Duration = Duration::from_millis(1500);
/// Where the list stands is told to one other member this often, sooner while something went off by it; and to so many
/// at once when it got somewhere. Each hears it from some, and a fleet of 300 knows of a change in some five steps.
const TELL_LISTS: Duration = Duration::from_secs(2);
const TELL_OFF: Duration = Duration::from_millis(200);
const TOLD_AT_ONCE: usize = 3;

pub struct Revising {
    revisions: Revisions<Keys>,
    orders: Orders,
    fetching: Fetching,
    state: PathBuf,
    regime: ActivationMode,
    fits: Arc<Mutex<Fits>>,
    /// The number of this controller's zone.
    zone: usize,
    /// Whether texts hold the titles too.
    catalogue: bool,
    /// What is acted on changed since it was last taken.
    changed: bool,
    /// What is prepared must not be acted on beside what is acted on.
    exclusive: bool,
    source: &'static str,
    /// What was held when it was last shown.
    shown: Option<HoldReason>,
    now: Duration,
    /// Nothing where positions of lists are not told.
    lists: Option<ListPositions>,
    tell_lists_at: Duration,
    chance: Rng,
}

impl Revising {
    /// Nothing where the deployment has no such section.
    pub fn new(
        reactor: &mut Reactor, deployment: &Deployment, titles: &Catalogue, gossiping: &Gossiping, seed: u64,
    ) -> Result<Option<Self>> {
        let place = &deployment.place;
        let (Some(told), Some(state)) = (&deployment.revisions, &place.state) else { return Ok(None) };
        let listener = Orders::listen(reactor, gossiping.listens_at())?;
        let keys = gossiping.keys().clone();
        if keys.acceptors().is_empty() {
            bail!("[revisions]: the ring names no keepers; `badgerledge-keys keepers` does");
        }
        let mut own = deployment.shared_text.clone();
        if told.catalogue {
            own += &titles.text();
        }
        let stored = read_stored(state);
        let texts = read_texts(&state.join(TEXTS));
        let source = match &stored {
            Some(stored) if stored.active > 0 => "store",
            _ => "file",
        };
        let regime = if told.regime == "hold" { ActivationMode::Hold } else { ActivationMode::Wait };
        let fits = Fits::new(deployment, (!told.catalogue).then_some(titles), "[revisions] catalogue");
        let zone = fits.zone();
        let fits = Arc::new(Mutex::new(fits));
        let checked = fits.clone();
        let terms = MemberConfig {
            local_id: place.number as Member,
            incarnation: gossiping.life(),
            mode: regime,
            activation_delay: Duration::from_millis(2 * place.tick_ms),
            check: Box::new(move |text| check(text, &checked)),
        };
        let now = reactor.now();
        let revisions = Revisions::new(keys, terms, Arc::from(own.as_bytes()), stored, texts, now, seed);
        if let (0, Ok(mut fits)) = (revisions.active_revision(now).active, fits.lock()) {
            fits.hold(deployment.shared.clone());
        }
        let (active, regime_name) = (revisions.active_revision(now).active, told.regime.as_str());
        let bound = revisions.bound();
        tracing::info!(active, source, regime = regime_name, ?bound, "revisions begin");
        Ok(Some(Self {
            revisions,
            orders: Orders::new(listener),
            fetching: Fetching::default(),
            state: state.clone(),
            regime,
            fits,
            zone,
            catalogue: told.catalogue,
            changed: active > 0,
            exclusive: false,
            source,
            shown: None,
            now,
            lists: told.lists.then(ListPositions::default),
            tell_lists_at: now,
            chance: Rng(seed.rotate_left(11)),
        }))
    }

    pub fn next_due(&self) -> Duration {
        let asks = self.lists.as_ref().and_then(ListPositions::next_due);
        let lists = self.lists.as_ref().map(|_| self.tell_lists_at);
        let own = self.revisions.next_due().min(self.orders.next_due()).min(self.fetching.next_due());
        [Some(own), asks, lists].into_iter().flatten().min().unwrap_or(own)
    }

    /// Does what is due.
    pub fn tend(&mut self, reactor: &mut Reactor, gossiping: &mut Gossiping, now: Duration) {
        self.orders.tend(reactor, now);
        self.fetching.tend(reactor, now);
        if now >= self.tell_lists_at {
            self.tell_lists(reactor, gossiping, 1);
        }
        if now >= self.revisions.next_due() {
            let mut out = Vec::new();
            self.revisions.poll(now, &mut out);
            self.carry_out(reactor, gossiping, out);
            self.show();
        }
    }

    /// Another member's word: streamers that enough members now say to be off; or it was of another kind.
    pub fn heard(
        &mut self, reactor: &mut Reactor, gossiping: &mut Gossiping, from: Member, bytes: &[u8],
    ) -> Option<Vec<RemovedStreamer>> {
        if !Message::is_meant(bytes) {
            return None;
        }
        match (Message::read(bytes), &mut self.lists) {
            (Some(Message::ListReport(told)), Some(lists)) => {
                return Some(lists.receive_report(self.now, from, &told))
            }
            (Some(word), _) => {
                let mut out = Vec::new();
                self.revisions.receive(self.now, from, word, &mut out);
                self.carry_out(reactor, gossiping, out);
            }
            (None, _) => {}
        }
        Some(Vec::new())
    }

    /// Whether others are told of the list.
    pub fn tells_lists(&self) -> bool {
        self.lists.is_some()
    }

    /// The own list got somewhere: the others hear of it.
    pub fn list_reached(
        &mut self, reactor: &Reactor, gossiping: &mut Gossiping, (epoch, revision): (u64, u64),
        went: Vec<(StreamerId, u64)>,
    ) {
        let Some(lists) = &mut self.lists else { return };
        let position = ListPosition { epoch, revision };
        if position == lists.own_report(self.now).position {
            return;
        }
        let off =
            |(id, start): (StreamerId, u64)| RemovedStreamer { ip: id.ip().octets(), port: id.port(), start };
        lists.update_own_position(self.now, position, went.into_iter().map(off));
        self.tell_lists(reactor, gossiping, TOLD_AT_ONCE);
    }

    /// Whether the list service is to be asked now, since others have got further.
    pub fn asks_list(&mut self) -> bool {
        self.lists.as_mut().is_some_and(|lists| lists.take_refresh(self.now))
    }

    fn tell_lists(&mut self, reactor: &Reactor, gossiping: &mut Gossiping, count: usize) {
        let Some(lists) = &self.lists else { return };
        let told = lists.own_report(self.now);
        self.tell_lists_at = self.now + if told.removed.is_empty() { TELL_LISTS } else { TELL_OFF };
        let word = Message::ListReport(told).write();
        let me = self.revisions.signer().member();
        let others: Vec<Member> =
            Signer::members(self.revisions.signer()).iter().copied().filter(|member| *member != me).collect();
        for _ in 0..count {
            let at = (self.chance.unit_interval() * others.len() as f64) as usize;
            if let Some(to) = others.get(at) {
                gossiping.send_message(reactor, self.now, u32::from(*to), &word);
            }
        }
    }

    /// Whether a line is one of this part's own.
    pub fn is(&self, line: Line) -> bool {
        self.orders.is(line) || self.fetching.is(line)
    }

    /// One time for all that a wake brings.
    pub fn wakes(&mut self, now: Duration) {
        self.now = now;
    }

    pub fn accepts(&mut self, reactor: &mut Reactor, line: Line, listener: Line) -> bool {
        self.orders.accepts(reactor, line, listener, self.now)
    }

    pub fn opened(&mut self, reactor: &mut Reactor, line: Line) {
        self.fetching.opened(reactor, line);
    }

    pub fn closed(&mut self, line: Line) {
        self.orders.closed(line);
        self.fetching.closed(line);
    }

    pub fn readable(&mut self, reactor: &mut Reactor, gossiping: &mut Gossiping, line: Line) {
        if self.fetching.is(line) {
            if let Some((signed, text)) = self.fetching.readable(reactor, line) {
                let mut out = Vec::new();
                if let Err(why) = self.revisions.take_text(self.now, &signed, text, &mut out) {
                    tracing::warn!(
                        number = signed.head.number,
                        "a text that was fetched is not taken: {why}"
                    );
                    counter!(watch::REVISIONS_REFUSED).increment(1);
                }
                self.carry_out(reactor, gossiping, out);
            }
            return;
        }
        loop {
            let revisions = &self.revisions;
            let may_come = |signed: &Signed| revisions.may_be_next(signed).map_err(|why| why.to_string());
            let Some(asked) = self.orders.readable(reactor, line, self.now, &may_come) else { return };
            let mut out = Vec::new();
            let (answer, bytes) = self.answer(asked, &mut out);
            // What is answered rests on what is stored.
            self.carry_out(reactor, gossiping, out);
            reactor.send(line, &[&requests::encode_line(&answer), &bytes]);
        }
    }

    fn answer(&mut self, asked: Asked, out: &mut Vec<MemberOutput>) -> (Response, Vec<u8>) {
        let now = self.now;
        let refused = |why: String| {
            counter!(watch::REVISIONS_REFUSED).increment(1);
            tracing::warn!("an order is refused: {why}");
            (Response::Refused(why), Vec::new())
        };
        match asked {
            Asked::Wrong(why) => refused(why),
            Asked::Push(signed, text) => match self.revisions.push(now, signed, text, out) {
                Ok(()) => {
                    let (number, author) = (signed.head.number, signed.head.author);
                    tracing::info!(number, author, "a revision was pushed here");
                    (Response::Taken, Vec::new())
                }
                Err(why) => refused(why.to_string()),
            },
            Asked::Order(Request::Text { text, from }) => {
                let of = hex_digest(&text).and_then(|of| self.revisions.text_by_digest(&of));
                match of.and_then(|text| text.get(from..)) {
                    Some(rest) => {
                        let piece = rest[..rest.len().min(requests::MAX_CHUNK_BYTES)].to_vec();
                        (Response::Bytes(piece.len()), piece)
                    }
                    None => {
                        (Response::Refused("no such text here, or none from there on".to_owned()), Vec::new())
                    }
                }
            }
            Asked::Order(Request::Active) => {
                let text = self.revisions.active_text().to_vec();
                (Response::Bytes(text.len()), text)
            }
            Asked::Order(Request::Latest) => match self.revisions.latest_text().map(|text| text.to_vec()) {
                Some(text) => (Response::Bytes(text.len()), text),
                None => {
                    let why = "the text of the certified revision is not here yet".to_owned();
                    (Response::Refused(why), Vec::new())
                }
            },
            Asked::Order(Request::Gone { gone }) => match requests::decode_removal(&gone) {
                Some(gone) if self.revisions.add_removal(now, gone, out) => {
                    tracing::info!(
                        member = gone.member,
                        gone = gone.removed,
                        author = gone.author,
                        "an author's word on a member"
                    );
                    (Response::Taken, Vec::new())
                }
                _ => refused(
                    "the word on the member is not signed by an author, or is older than one that is held"
                        .to_owned(),
                ),
            },
            Asked::Order(Request::Status) => (Response::Status(Box::new(self.report())), Vec::new()),
            Asked::Order(Request::Push { .. }) => (Response::Refused("no text".to_owned()), Vec::new()),
        }
    }

    pub fn report(&self) -> Report {
        let status = self.revisions.status(self.now);
        let keeper = status.acceptor.as_ref().map(|keeper| match keeper.state().no_vote_through {
            _ if keeper.is_recovering() => "asks what it may have signed".to_owned(),
            barred if barred > status.certified => format!("votes again after {barred}"),
            _ => "votes".to_owned(),
        });
        Report {
            member: self.revisions.signer().member(),
            regime: if self.regime == ActivationMode::Hold { "hold" } else { "wait" }.to_owned(),
            active: status.active_revision.active,
            certified: status.certified,
            digest: hex::encode(status.digest),
            prepared: status.active_revision.prepared,
            held: self.held(self.now).map(|held| format!("{held:?}")),
            source: self.source.to_owned(),
            bound_ms: status.bound.as_millis() as u64,
            waited_for: status.waited_for,
            gone: status.removed,
            keeper,
            members: status.positions.iter().map(|(m, p)| (*m, p.active, p.held)).collect(),
        }
    }

    fn held(&self, now: Duration) -> Option<HoldReason> {
        // Where nothing that is exclusive changes, the stricter of both is safe beside either.
        let harmless = self.regime == ActivationMode::Wait && !self.exclusive;
        self.revisions.active_revision(now).held.filter(|held| *held != HoldReason::NoLease || !harmless)
    }

    /// Whether new joins are held back at this time, and when viewers may come back.
    pub fn holds_back(&mut self, now: Duration) -> Option<Duration> {
        let held = self.held(now);
        if held != self.shown {
            match held {
                Some(why) => tracing::warn!(?why, "new joins are held back"),
                None => tracing::info!("new joins go on"),
            }
            self.shown = held;
        }
        held.map(|_| COME_BACK)
    }

    /// The number of this controller's zone: the name may change.
    pub fn zone(&self) -> usize {
        self.zone
    }

    /// What to act on from now on, if it has changed.
    pub fn take_change(&mut self) -> Option<Change> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let read = |text: &[u8]| {
            Text::read(text).map_err(|why| tracing::error!("a text that was taken can't be read: {why}")).ok()
        };
        let active = read(self.revisions.active_text())?;
        let prepared = self.revisions.prepared_text().and_then(|text| read(text));
        let acted_on = self.fits.lock().ok()?.act_on(&active, prepared.as_ref());
        let ActedOn { shared, titles, exclusive } =
            acted_on.map_err(|why| tracing::error!("a revision that was taken does not fit: {why}")).ok()?;
        self.exclusive = exclusive;
        let acting = self.revisions.active_revision(self.now);
        let (active, prepared) = (acting.active, acting.prepared);
        tracing::info!(active, prepared, exclusive, titles = titles.len(), "acts on a revision");
        self.show();
        Some(Change { shared, titles: self.catalogue.then_some(titles) })
    }

    /// The catalogue's own file was read anew.
    pub fn titles_read(&self, titles: &Catalogue) {
        if let Ok(mut fits) = self.fits.lock() {
            fits.titles_read(titles);
        }
    }

    pub fn take_keys(&mut self, keys: &Keys) {
        self.revisions.replace_signer(keys.clone());
    }

    fn carry_out(&mut self, reactor: &mut Reactor, gossiping: &mut Gossiping, out: Vec<MemberOutput>) {
        // What could not be stored must not be said: the rest of what was decided is dropped, as if it were lost.
        let mut durable = true;
        for given in out {
            match given {
                MemberOutput::Send(to, word) if durable => {
                    gossiping.send_message(reactor, self.now, u32::from(to), &word)
                }
                MemberOutput::Send(..) => {}
                MemberOutput::Store(bytes) => {
                    durable &= stored(files::replace_durably(&self.state.join(STORED), &bytes))
                }
                MemberOutput::StoreText(of, text) => durable &= self.store_text(&of, &text),
                MemberOutput::Fetch(signed, from) => {
                    let at = gossiping.address(from);
                    let own = Some(gossiping.listens_at().ip()).filter(|ip| !ip.is_unspecified());
                    at.into_iter().for_each(|at| self.fetching.begin(reactor, signed, at, own, self.now));
                }
                MemberOutput::Changed => {
                    if self.revisions.active_revision(self.now).active > 0 && self.source == "file" {
                        self.source = "peers";
                    }
                    self.changed = true;
                }
                MemberOutput::Unusable(number, why) => {
                    tracing::error!(number, "a certified revision can't be acted on here: {why}");
                    counter!(watch::REVISIONS_REFUSED).increment(1);
                }
            }
        }
    }

    fn store_text(&self, of: &Digest, text: &[u8]) -> bool {
        let folder = self.state.join(TEXTS);
        let path = folder.join(hex::encode(of));
        path.exists()
            || stored(std::fs::create_dir_all(&folder).and_then(|()| files::replace_durably(&path, text)))
    }

    fn show(&self) {
        let revisions = &self.revisions;
        gauge!(watch::REVISION_ACTIVE).set(f64::from(revisions.active_revision(self.now).active));
        gauge!(watch::REVISION_CERTIFIED).set(f64::from(revisions.next().0 - 1));
        gauge!(watch::REVISION_HELD).set(f64::from(u8::from(self.held(self.now).is_some())));
        gauge!(watch::REVISION_BOUND).set(revisions.bound().as_secs_f64());
        gauge!(watch::REVISION_WAITED_FOR).set(revisions.waited_for(self.now).len() as f64);
    }
}

fn stored(done: io::Result<()>) -> bool {
    if let Err(e) = &done {
        tracing::error!("a revision's state could not be stored, and nothing is said that rests on it: {e}");
    }
    done.is_ok()
}

fn hex_digest(text: &str) -> Option<Digest> {
    hex::decode(text).ok()?.try_into().ok()
}

/// Whether a controller can act on a text after what it acts on now.
fn check(text: &[u8], fits: &Mutex<Fits>) -> Result<(), String> {
    let text = Text::read(text)?;
    fits.lock().map_err(|e| e.to_string())?.check(&text)
}

/// What an earlier process stored. What can't be read is as if it were not there, and said.
fn read_stored(state: &Path) -> Option<StoredState> {
    let path = state.join(STORED);
    let bytes = std::fs::read(&path).ok()?;
    StoredState::read(&bytes)
        .map_err(|why| tracing::error!("{}: {why}; taken as not there", path.display()))
        .ok()
}

/// Texts by their digests; one that is another by now is none.
fn read_texts(folder: &Path) -> Vec<Arc<[u8]>> {
    let Ok(entries) = std::fs::read_dir(folder) else { return Vec::new() };
    let read = |path: PathBuf| {
        let bytes = std::fs::read(&path).ok()?;
        let named = path.file_name()?.to_str().and_then(hex_digest)?;
        (badgerledge_revisions::digest(&bytes) == named).then(|| Arc::from(bytes.as_slice()))
    };
    entries.filter_map(|entry| read(entry.ok()?.path())).collect()
}

/// Makes a member's state for a first time: a keeper that was never there has signed nothing.
pub fn found(state: &Path) -> Result<()> {
    std::fs::create_dir_all(state).with_context(|| state.display().to_string())?;
    let path = state.join(STORED);
    if path.exists() {
        bail!("{}: it is there already", path.display());
    }
    let founded = StoredState { acceptor: Some(Default::default()), ..StoredState::default() };
    files::replace_durably(&path, &founded.write()).with_context(|| path.display().to_string())
}

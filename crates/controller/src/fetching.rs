//! Fetches revision texts from other members by digest, in pieces. A fetch resumes where a stream broke, is
//! bounded by the length in the signed head, and the whole text is verified by the caller before it is used.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use badgerledge_reactor::{Bounds, Reactor, SocketId};
use badgerledge_revisions::requests::{self, Request, Response, MAX_CHUNK_BYTES, MAX_LINE_BYTES};
use badgerledge_revisions::{Digest, Signed};

/// Buffers of the stream: a piece with its answer line, and one request.
const BUFFERS: Bounds = Bounds { input: MAX_CHUNK_BYTES + MAX_LINE_BYTES, output: MAX_LINE_BYTES };
/// Time limit for connecting to a member.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for a piece; after it another member is asked, and the bytes received so far are kept.
const PIECE_TIMEOUT: Duration = Duration::from_secs(3);
/// Incomplete texts that are kept at a time.
const MAX_PARTIAL_TEXTS: usize = 2;

/// A fetch in progress.
struct Fetch {
    signed: Signed,
    connection: SocketId,
    piece_deadline: Duration,
    /// Bytes of the present piece that have not arrived yet.
    piece_bytes_left: usize,
}

/// The fetch in progress, and what has been received of texts.
#[derive(Default)]
pub struct TextFetcher {
    current: Option<Fetch>,
    /// The bytes received of each incomplete text.
    partial_texts: BTreeMap<Digest, Vec<u8>>,
}

impl TextFetcher {
    /// Whether a connection is the one of the present fetch.
    pub fn owns(&self, connection: SocketId) -> bool {
        self.current.as_ref().is_some_and(|fetch| fetch.connection == connection)
    }

    /// When the present piece times out.
    pub fn next_due(&self) -> Duration {
        self.current.as_ref().map_or(Duration::MAX, |fetch| fetch.piece_deadline)
    }

    /// Begins a fetch, unless one is in progress.
    pub fn start(
        &mut self, reactor: &mut Reactor, signed: Signed, from: SocketAddr, local_address: Option<IpAddr>,
        now: Duration,
    ) {
        if self.current.is_some() {
            return;
        }
        if let Ok(connection) = reactor.connect_from(local_address, from, CONNECT_TIMEOUT, BUFFERS) {
            self.current =
                Some(Fetch { signed, connection, piece_deadline: now + PIECE_TIMEOUT, piece_bytes_left: 0 });
        }
    }

    /// Requests the first piece once connected.
    pub fn opened(&mut self, reactor: &mut Reactor, connection: SocketId) {
        if self.owns(connection) {
            self.request_piece(reactor);
        }
    }

    /// Requests the next piece.
    fn request_piece(&mut self, reactor: &mut Reactor) {
        let Some(fetch) = &self.current else { return };
        let digest = fetch.signed.head.text;
        let offset = self.partial_texts.get(&digest).map_or(0, Vec::len);
        let request = Request::Text { text: hex::encode(digest), from: offset };
        reactor.send(fetch.connection, &[&requests::encode_line(&request)]);
    }

    /// Ends the fetch whose connection was lost.
    pub fn closed(&mut self, connection: SocketId) {
        self.current.take_if(|fetch| fetch.connection == connection);
    }

    /// Gives up a fetch whose piece has timed out.
    pub fn poll(&mut self, reactor: &mut Reactor, now: Duration) {
        if let Some(fetch) = self.current.take_if(|fetch| now >= fetch.piece_deadline) {
            reactor.close(fetch.connection);
        }
    }

    /// Reads the input. Returns a text once it has its full length; the caller verifies it.
    pub fn readable(&mut self, reactor: &mut Reactor, connection: SocketId) -> Option<(Signed, Arc<[u8]>)> {
        let fetch = self.current.as_mut()?;
        let (digest, length) = (fetch.signed.head.text, fetch.signed.head.length as usize);
        if fetch.piece_bytes_left == 0 {
            match requests::parse_line::<Response>(reactor.input(connection)) {
                Ok(None) => return None,
                Ok(Some((Response::Bytes(count), used))) => {
                    reactor.consume(connection, used);
                    let received = self.partial_texts.get(&digest).map_or(0, Vec::len);
                    // A member that sends more than the author signed for is faulty.
                    if count == 0 && length > 0 || count > MAX_CHUNK_BYTES || received + count > length {
                        return self.give_up(reactor);
                    }
                    fetch.piece_bytes_left = count;
                }
                _ => return self.give_up(reactor),
            }
        }
        if self.partial_texts.len() >= MAX_PARTIAL_TEXTS && !self.partial_texts.contains_key(&digest) {
            self.partial_texts.pop_first();
        }
        let partial_text = self.partial_texts.entry(digest).or_default();
        let input = reactor.input(connection);
        let count = input.len().min(fetch.piece_bytes_left);
        partial_text.extend(&input[..count]);
        reactor.consume(connection, count);
        fetch.piece_bytes_left -= count;
        if fetch.piece_bytes_left > 0 {
            return None;
        }
        if partial_text.len() < length {
            fetch.piece_deadline = reactor.now() + PIECE_TIMEOUT;
            self.request_piece(reactor);
            return None;
        }
        let signed = fetch.signed;
        let text = self.partial_texts.remove(&digest).unwrap_or_default();
        let _ = self.give_up(reactor);
        Some((signed, Arc::from(text)))
    }

    /// Ends the present fetch.
    fn give_up(&mut self, reactor: &mut Reactor) -> Option<(Signed, Arc<[u8]>)> {
        if let Some(fetch) = self.current.take() {
            reactor.close(fetch.connection);
        }
        None
    }
}

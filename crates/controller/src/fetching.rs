//! Texts fetched from other members, by digest, in pieces: resumed where a stream broke, bounded by the length that
//! the signed head names, and checked whole before they count.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use badgerledge_reactor::{Bounds, Line, Reactor};
use badgerledge_revisions::requests::{self, Request, Response, MAX_CHUNK_BYTES, MAX_LINE_BYTES};
use badgerledge_revisions::{Digest, Signed};

const BOUNDS: Bounds = Bounds { input: MAX_CHUNK_BYTES + MAX_LINE_BYTES, output: MAX_LINE_BYTES };
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
/// A piece that does not come for so long is asked of another member; what came is kept.
const PIECE_WITHIN: Duration = Duration::from_secs(3);
/// Texts whose beginnings are kept at a time.
const KEPT: usize = 2;

struct Fetch {
    signed: Signed,
    line: Line,
    until: Duration,
    /// Bytes of the present piece that are still to come.
    coming: usize,
}

#[derive(Default)]
pub struct Fetching {
    on: Option<Fetch>,
    /// What has come of each text.
    parts: BTreeMap<Digest, Vec<u8>>,
}

impl Fetching {
    pub fn is(&self, line: Line) -> bool {
        self.on.as_ref().is_some_and(|fetch| fetch.line == line)
    }

    pub fn next_due(&self) -> Duration {
        self.on.as_ref().map_or(Duration::MAX, |fetch| fetch.until)
    }

    /// Begins to fetch, unless something is being fetched.
    pub fn begin(
        &mut self, reactor: &mut Reactor, signed: Signed, from: SocketAddr, own: Option<IpAddr>,
        now: Duration,
    ) {
        if self.on.is_some() {
            return;
        }
        if let Ok(line) = reactor.connect_from(own, from, CONNECT_WITHIN, BOUNDS) {
            self.on = Some(Fetch { signed, line, until: now + PIECE_WITHIN, coming: 0 });
        }
    }

    pub fn opened(&mut self, reactor: &mut Reactor, line: Line) {
        if self.is(line) {
            self.ask(reactor);
        }
    }

    fn ask(&mut self, reactor: &mut Reactor) {
        let Some(fetch) = &self.on else { return };
        let of = fetch.signed.head.text;
        let from = self.parts.get(&of).map_or(0, Vec::len);
        let order = Request::Text { text: hex::encode(of), from };
        reactor.send(fetch.line, &[&requests::encode_line(&order)]);
    }

    pub fn closed(&mut self, line: Line) {
        self.on.take_if(|fetch| fetch.line == line);
    }

    pub fn tend(&mut self, reactor: &mut Reactor, now: Duration) {
        if let Some(fetch) = self.on.take_if(|fetch| now >= fetch.until) {
            reactor.close(fetch.line);
        }
    }

    /// Takes what came. A text that is whole by its length is handed on, to be checked.
    pub fn readable(&mut self, reactor: &mut Reactor, line: Line) -> Option<(Signed, Arc<[u8]>)> {
        let fetch = self.on.as_mut()?;
        let (of, length) = (fetch.signed.head.text, fetch.signed.head.length as usize);
        if fetch.coming == 0 {
            match requests::parse_line::<Response>(reactor.input(line)) {
                Ok(None) => return None,
                Ok(Some((Response::Bytes(count), used))) => {
                    reactor.consume(line, used);
                    let had = self.parts.get(&of).map_or(0, Vec::len);
                    // More than its author signed for is a liar's.
                    if count == 0 && length > 0 || count > MAX_CHUNK_BYTES || had + count > length {
                        return self.give_up(reactor);
                    }
                    fetch.coming = count;
                }
                _ => return self.give_up(reactor),
            }
        }
        if self.parts.len() >= KEPT && !self.parts.contains_key(&of) {
            self.parts.pop_first();
        }
        let part = self.parts.entry(of).or_default();
        let input = reactor.input(line);
        let count = input.len().min(fetch.coming);
        part.extend(&input[..count]);
        reactor.consume(line, count);
        fetch.coming -= count;
        if fetch.coming > 0 {
            return None;
        }
        if part.len() < length {
            fetch.until = reactor.now() + PIECE_WITHIN;
            self.ask(reactor);
            return None;
        }
        let signed = fetch.signed;
        let text = self.parts.remove(&of).unwrap_or_default();
        let _ = self.give_up(reactor);
        Some((signed, Arc::from(text)))
    }

    fn give_up(&mut self, reactor: &mut Reactor) -> Option<(Signed, Arc<[u8]>)> {
        if let Some(fetch) = self.on.take() {
            reactor.close(fetch.line);
        }
        None
    }
}

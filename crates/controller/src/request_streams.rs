//! Streams on which operators' programs and other members send requests about revisions. Their number is
//! small, and each is limited in bytes and time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use badgerledge_reactor::{Bounds, Reactor, SocketId};
use badgerledge_revisions::requests::{self, Request, MAX_CHUNK_BYTES, MAX_LINE_BYTES};
use badgerledge_revisions::Signed;

/// Streams open at a time: operators are few, and a member fetches from one other.
const MAX_STREAMS: usize = 32;
/// Texts received at a time: each may have 16 MB.
const MAX_PUSHES: usize = 2;
/// A stream without a complete request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Buffers of a stream: a piece of a text, or of two, beside a request or answer line.
const BUFFERS: Bounds =
    Bounds { input: MAX_CHUNK_BYTES + MAX_LINE_BYTES, output: 2 * MAX_CHUNK_BYTES + MAX_LINE_BYTES };

/// A complete request from a stream.
pub enum ReceivedRequest {
    Request(Request),
    Push(Signed, Arc<[u8]>),
    Invalid(String),
}

/// An open stream.
struct Stream {
    last_input_at: Duration,
    /// A revision whose text is still arriving: its head, the bytes received, and the full length.
    push: Option<(Signed, Vec<u8>, usize)>,
    /// Whether further input is discarded. The stream then ends when its other side closes it or by the
    /// time-out.
    discards_input: bool,
}

/// All open streams.
pub struct RequestStreams {
    listener: SocketId,
    streams: BTreeMap<SocketId, Stream>,
}

impl RequestStreams {
    /// Listens for streams at an address.
    pub fn listen(reactor: &mut Reactor, address: SocketAddr) -> Result<SocketId> {
        let listening = reactor.listen(address, BUFFERS);
        Ok(listening.with_context(|| format!("requests about revisions at {address}"))?.0)
    }

    /// Starts without any stream.
    pub fn new(listener: SocketId) -> Self {
        Self { listener, streams: BTreeMap::new() }
    }

    /// Whether a connection is one of the streams.
    pub fn owns(&self, connection: SocketId) -> bool {
        self.streams.contains_key(&connection)
    }

    /// Accepts a connection if it came in on this listener. One over the limit is closed.
    pub fn accept(
        &mut self, reactor: &mut Reactor, connection: SocketId, listener: SocketId, now: Duration,
    ) -> bool {
        if listener != self.listener {
            return false;
        }
        if self.streams.len() >= MAX_STREAMS {
            reactor.close(connection);
        } else {
            self.streams.insert(connection, Stream { last_input_at: now, push: None, discards_input: false });
        }
        true
    }

    /// Forgets a stream that has ended.
    pub fn closed(&mut self, connection: SocketId) {
        self.streams.remove(&connection);
    }

    /// When the next stream times out.
    pub fn next_due(&self) -> Duration {
        self.streams.values().map(|stream| stream.last_input_at + IDLE_TIMEOUT).min().unwrap_or(Duration::MAX)
    }

    /// Closes streams that have timed out.
    pub fn poll(&mut self, reactor: &mut Reactor, now: Duration) {
        let timed_out = |(connection, stream): (&SocketId, &Stream)| {
            (now >= stream.last_input_at + IDLE_TIMEOUT).then_some(*connection)
        };
        for connection in self.streams.iter().filter_map(timed_out).collect::<Vec<_>>() {
            self.streams.remove(&connection);
            reactor.close(connection);
        }
    }

    /// The next complete request on a stream. A text is received only behind a head that `accepts_text`
    /// accepts: whoever can reach the port must not be able to fill this process's memory.
    pub fn readable(
        &mut self, reactor: &mut Reactor, connection: SocketId, now: Duration,
        accepts_text: &dyn Fn(&Signed) -> Result<(), String>,
    ) -> Option<ReceivedRequest> {
        let pushes = self.streams.values().filter(|stream| stream.push.is_some()).count();
        let stream = self.streams.get_mut(&connection)?;
        if stream.discards_input {
            let length = reactor.input(connection).len();
            reactor.consume(connection, length);
            return None;
        }
        if let Some((signed, mut text, full_length)) = stream.push.take() {
            let input = reactor.input(connection);
            let count = input.len().min(full_length - text.len());
            text.extend(&input[..count]);
            reactor.consume(connection, count);
            stream.last_input_at = now;
            if text.len() < full_length {
                stream.push = Some((signed, text, full_length));
                return None;
            }
            return Some(ReceivedRequest::Push(signed, Arc::from(text)));
        }
        let (request, used) = match requests::parse_line(reactor.input(connection)) {
            Ok(found) => found?,
            Err(why) => {
                // The boundaries of what follows are unknown, so this is the last request answered here.
                stream.discards_input = true;
                return Some(ReceivedRequest::Invalid(why));
            }
        };
        reactor.consume(connection, used);
        stream.last_input_at = now;
        let Request::Push { head, bytes } = &request else { return Some(ReceivedRequest::Request(request)) };
        let signed_head = requests::decode_head(head).filter(|signed| signed.head.length as usize == *bytes);
        let signed_head = signed_head
            .ok_or_else(|| "a head that can't be read, or one for a text of another length".to_owned());
        let check_capacity = || match pushes < MAX_PUSHES {
            true => Ok(()),
            false => Err("too many other texts are being received; retry later".to_owned()),
        };
        match signed_head
            .and_then(|signed| accepts_text(&signed).and_then(|()| check_capacity()).map(|()| signed))
        {
            Ok(signed) => {
                stream.push = Some((signed, Vec::new(), *bytes));
                self.readable(reactor, connection, now, accepts_text)
            }
            Err(why) => {
                // The refused text can't be told apart from requests, so further input is discarded.
                stream.discards_input = true;
                Some(ReceivedRequest::Invalid(why))
            }
        }
    }
}

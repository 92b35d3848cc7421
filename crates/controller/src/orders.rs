//! Streams on which operators' programs and other members ask of revisions: few at a time, each bounded in bytes and
//! time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use badgerledge_reactor::{Bounds, Line, Reactor};
use badgerledge_revisions::requests::{self, Request, MAX_CHUNK_BYTES, MAX_LINE_BYTES};
use badgerledge_revisions::Signed;

/// Streams at a time: operators are few, and a member fetches from one other.
const MOST: usize = 32;
/// Texts that are coming in at a time: each may have 16 MB.
const PUSHES: usize = 2;
/// One that has said nothing whole for so long is ended.
const QUIET: Duration = Duration::from_secs(20);
const BOUNDS: Bounds =
    Bounds { input: MAX_CHUNK_BYTES + MAX_LINE_BYTES, output: 2 * MAX_CHUNK_BYTES + MAX_LINE_BYTES };

/// What a stream asked, whole.
pub enum Asked {
    Order(Request),
    Push(Signed, Arc<[u8]>),
    Wrong(String),
}

struct Stream {
    heard: Duration,
    /// A revision whose text is still coming: its head, what has come, and how much there is.
    push: Option<(Signed, Vec<u8>, usize)>,
    /// Nothing more is heard on it: it is to be ended by its other end, or for its quiet.
    deaf: bool,
}

pub struct Orders {
    listener: Line,
    streams: BTreeMap<Line, Stream>,
}

impl Orders {
    pub fn listen(reactor: &mut Reactor, at: SocketAddr) -> Result<Line> {
        let listening = reactor.listen(at, BOUNDS);
        Ok(listening.with_context(|| format!("orders and texts at {at}"))?.0)
    }

    pub fn new(listener: Line) -> Self {
        Self { listener, streams: BTreeMap::new() }
    }

    pub fn is(&self, line: Line) -> bool {
        self.streams.contains_key(&line)
    }

    /// Takes a connection that came in, if it is for this. One too many is closed.
    pub fn accepts(&mut self, reactor: &mut Reactor, line: Line, listener: Line, now: Duration) -> bool {
        if listener != self.listener {
            return false;
        }
        if self.streams.len() >= MOST {
            reactor.close(line);
        } else {
            self.streams.insert(line, Stream { heard: now, push: None, deaf: false });
        }
        true
    }

    pub fn closed(&mut self, line: Line) {
        self.streams.remove(&line);
    }

    pub fn next_due(&self) -> Duration {
        self.streams.values().map(|stream| stream.heard + QUIET).min().unwrap_or(Duration::MAX)
    }

    pub fn tend(&mut self, reactor: &mut Reactor, now: Duration) {
        let quiet = |(line, stream): (&Line, &Stream)| (now >= stream.heard + QUIET).then_some(*line);
        for line in self.streams.iter().filter_map(quiet).collect::<Vec<_>>() {
            self.streams.remove(&line);
            reactor.close(line);
        }
    }

    /// The next whole thing that a stream asked. A text is taken in only behind a head that `may_come`: whoever reaches the
    /// port must not fill this process's memory.
    pub fn readable(
        &mut self, reactor: &mut Reactor, line: Line, now: Duration,
        may_come: &dyn Fn(&Signed) -> Result<(), String>,
    ) -> Option<Asked> {
        let pushes = self.streams.values().filter(|stream| stream.push.is_some()).count();
        let stream = self.streams.get_mut(&line)?;
        if stream.deaf {
            let all = reactor.input(line).len();
            reactor.consume(line, all);
            return None;
        }
        if let Some((signed, mut text, whole)) = stream.push.take() {
            let input = reactor.input(line);
            let count = input.len().min(whole - text.len());
            text.extend(&input[..count]);
            reactor.consume(line, count);
            stream.heard = now;
            if text.len() < whole {
                stream.push = Some((signed, text, whole));
                return None;
            }
            return Some(Asked::Push(signed, Arc::from(text)));
        }
        let (order, used) = match requests::parse_line(reactor.input(line)) {
            Ok(found) => found?,
            Err(why) => {
                // What follows can't be told apart: this is the last that is answered here.
                stream.deaf = true;
                return Some(Asked::Wrong(why));
            }
        };
        reactor.consume(line, used);
        stream.heard = now;
        let Request::Push { head, bytes } = &order else { return Some(Asked::Order(order)) };
        let read = requests::decode_head(head).filter(|signed| signed.head.length as usize == *bytes);
        let read = read.ok_or_else(|| "a head that can't be read, or of a text of another length".to_owned());
        let room = || match pushes < PUSHES {
            true => Ok(()),
            false => Err("other texts are coming in; later".to_owned()),
        };
        match read.and_then(|signed| may_come(&signed).and_then(|()| room()).map(|()| signed)) {
            Ok(signed) => {
                stream.push = Some((signed, Vec::new(), *bytes));
                self.readable(reactor, line, now, may_come)
            }
            Err(why) => {
                // The text that is on its way is not told from orders: nothing more is heard here.
                stream.deaf = true;
                Some(Asked::Wrong(why))
            }
        }
    }
}

//! Streams through the rig: for each that comes in, one to the end that it is for.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use badgerledge_reactor::{Bounds, Reactor, ReactorEvent, SocketId};

use crate::{Delivery, End, Entry, Way};

const BOUNDS: Bounds = Bounds { input: 256 * 1024, output: 1024 * 1024 };
const CONNECT_WITHIN: Duration = Duration::from_secs(5);
/// A stream that is slow gets its share this often.
const SHARE_EVERY: Duration = Duration::from_millis(20);

/// One direction of a stream: what came in on a line, for another.
struct Half {
    from: Option<End>,
    to: Option<End>,
    out: SocketId,
    /// What waits for its time.
    waits: VecDeque<(Duration, Vec<u8>)>,
    /// Bytes that a slow way may still carry, counted from then.
    carried: (Duration, f64),
    ended: bool,
}

#[derive(Default)]
pub struct Streams {
    listeners: BTreeMap<SocketId, End>,
    /// By the line that it reads from.
    halves: BTreeMap<SocketId, Half>,
    next: Option<Duration>,
}

impl Streams {
    pub fn listen(&mut self, reactor: &mut Reactor, end: End) -> io::Result<(SocketId, SocketAddr)> {
        let (line, at) = reactor.listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), BOUNDS)?;
        self.listeners.insert(line, end);
        Ok((line, at))
    }

    pub fn end_of(&self, listener: SocketId) -> Option<End> {
        self.listeners.get(&listener).copied()
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.next
    }

    /// A stream came in for an end.
    pub fn accepted(
        &mut self, reactor: &mut Reactor, line: SocketId, from: Option<End>, (to, at): (End, SocketAddr),
        way: Way,
    ) {
        if way.reset {
            return reactor.close(line);
        }
        // Half-open or cut, it is up for whoever made it, and nothing stands behind it.
        let out = match way.half_open || way.cut {
            true => None,
            false => reactor.connect(at, CONNECT_WITHIN, BOUNDS).ok(),
        };
        let half = |from, to, out| Half {
            from,
            to,
            out,
            waits: VecDeque::new(),
            carried: (Duration::ZERO, 0.0),
            ended: false,
        };
        let other = out.unwrap_or(SocketId::MAX);
        self.halves.insert(line, half(from, Some(to), other));
        if out.is_some() {
            self.halves.insert(other, half(Some(to), from, line));
        }
    }

    /// Takes what a wait brought, if it is of a stream here.
    pub fn take(
        &mut self, reactor: &mut Reactor, now: Duration, happening: &ReactorEvent,
        way_of: &dyn Fn(Option<End>, Option<End>) -> Way, record: &mut Vec<Entry>,
    ) -> bool {
        let line = match happening {
            ReactorEvent::Readable(line) | ReactorEvent::Opened(line) | ReactorEvent::Drained(line) => *line,
            ReactorEvent::Closed(line, _) => *line,
            _ => return false,
        };
        let Some(half) = self.halves.get_mut(&line) else { return false };
        let way = way_of(half.from, half.to);
        if way.reset {
            let other = half.out;
            self.end(reactor, line, other);
            return true;
        }
        let bytes = reactor.input(line).to_vec();
        reactor.consume(line, bytes.len());
        if !bytes.is_empty() {
            let lost = way.half_open || half.out == SocketId::MAX;
            if let (Some(from), Some(to)) = (half.from, half.to) {
                let delivery = if lost { Delivery::Lost } else { Delivery::Passed };
                record.push(Entry { at: now, from, to, bytes: bytes.len(), delivery, stream: true });
            }
            if !lost {
                let late = if way.cut { Duration::MAX } else { now + way.late };
                half.waits.push_back((late, bytes));
            }
        }
        half.ended |= matches!(happening, ReactorEvent::Closed(..));
        if half.ended && half.waits.is_empty() {
            let other = half.out;
            self.end(reactor, line, other);
        }
        self.next = Some(self.next.map_or(now, |next| next.min(now)));
        self.carry(reactor, now, way_of);
        true
    }

    fn end(&mut self, reactor: &mut Reactor, line: SocketId, other: SocketId) {
        for line in [line, other] {
            self.halves.remove(&line);
            reactor.flush_connection(line);
            reactor.close(line);
        }
    }

    /// Hands on what is due, as fast as each way carries it.
    pub fn carry(
        &mut self, reactor: &mut Reactor, now: Duration, way_of: &dyn Fn(Option<End>, Option<End>) -> Way,
    ) {
        let (mut over, mut next) = (Vec::new(), None);
        for (line, half) in &mut self.halves {
            let way = way_of(half.from, half.to);
            if way.cut {
                continue;
            }
            let due = half.carry(reactor, now, way.slow);
            next = next.into_iter().chain(due).min();
            if half.ended && half.waits.is_empty() {
                over.push((*line, half.out));
            }
        }
        self.next = next;
        over.into_iter().for_each(|(line, other)| self.end(reactor, line, other));
    }
}

impl Half {
    /// Hands on what is due, at so many bytes a second at most. Tells when it is to be called again, if anything waits.
    fn carry(&mut self, reactor: &mut Reactor, now: Duration, rate: Option<u64>) -> Option<Duration> {
        let mut left = self.allowance(now, rate);
        let mut next = None;
        while let Some((at, bytes)) = self.waits.front_mut() {
            // What waited through a cut goes once it is over.
            let due = *at <= now || *at == Duration::MAX;
            if !due {
                next = Some(*at);
                break;
            }
            let count = bytes.len().min(left as usize);
            if left < 1.0 || !reactor.send(self.out, &[&bytes[..count]]) {
                next = Some(now + SHARE_EVERY);
                break;
            }
            left -= count as f64;
            bytes.drain(..count);
            if bytes.is_empty() {
                self.waits.pop_front();
            }
        }
        self.carried = (now, if left.is_finite() { left } else { 0.0 });
        next
    }

    /// Bytes that may go now.
    fn allowance(&self, now: Duration, rate: Option<u64>) -> f64 {
        let Some(rate) = rate else { return f64::INFINITY };
        let since = now.saturating_sub(self.carried.0).min(SHARE_EVERY * 4);
        self.carried.1 + since.as_secs_f64() * rate as f64
    }
}

//! The simulated network: delays between zones, lost segments that are sent again, regions cut off.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::scenario::{Fleet, Network};

/// Bytes of a segment's payload.
const SEGMENT: usize = 1448;
/// Bytes of a segment's headers: IPv4 and TCP without options.
pub const HEADERS: usize = 40;
/// A lost segment is sent again after this, over a round trip, and twice as long each time after (RFC 6298 with Linux's
/// least timeout).
const RETRANSMIT: Duration = Duration::from_millis(200);
/// The same for the first segment of a connection.
const RETRANSMIT_OPENING: Duration = Duration::from_secs(1);
/// Longer than this nothing waits for its next try.
pub const LONGEST_RETRANSMIT: Duration = Duration::from_secs(120);
/// A segment is taken as lost so often at most.
const MOST_TRIES: u32 = 8;

/// Bytes on the wire for a frame.
pub fn wire_bytes(frame: usize) -> u64 {
    (frame + segments(frame) * HEADERS) as u64
}

fn segments(frame: usize) -> usize {
    frame.div_ceil(SEGMENT).max(1)
}

pub struct Paths {
    network: Network,
    fleet: Fleet,
    cut_off: BTreeSet<u16>,
    chance: Rng,
}

impl Paths {
    pub fn new(network: Network, fleet: Fleet, seed: u64) -> Self {
        Self { network, fleet, cut_off: BTreeSet::new(), chance: Rng(seed) }
    }

    pub fn cut(&mut self, region: u16) {
        self.cut_off.insert(region);
    }

    pub fn heal(&mut self, region: u16) {
        self.cut_off.remove(&region);
    }

    /// Whether nothing passes between two zones.
    pub fn is_cut(&self, from: u16, to: u16) -> bool {
        let (from, to) = (self.fleet.region_of_zone(from), self.fleet.region_of_zone(to));
        from != to && (self.cut_off.contains(&from) || self.cut_off.contains(&to))
    }

    fn base_ms(&self, from: u16, to: u16) -> f64 {
        if from == to {
            self.network.within_zone_ms
        } else if self.fleet.region_of_zone(from) == self.fleet.region_of_zone(to) {
            self.network.between_zones_ms
        } else {
            self.network.between_regions_ms
        }
    }

    /// How long one datagram takes.
    pub fn one_way(&mut self, from: u16, to: u16) -> Duration {
        let ms = self.base_ms(from, to) + self.network.jitter_ms * self.chance.unit_interval();
        Duration::from_secs_f64(ms / 1000.0)
    }

    /// A share of a span, by chance.
    pub fn part(&mut self, span: Duration) -> Duration {
        self.chance.random_duration(span)
    }

    /// How long a frame takes, with what is lost of it sent again.
    pub fn transit(&mut self, from: u16, to: u16, frame: usize) -> Duration {
        let round_trip = Duration::from_secs_f64(self.base_ms(from, to) * 2.0 / 1000.0);
        let slowest = (0..segments(frame)).map(|_| self.retransmits(RETRANSMIT + round_trip)).max();
        self.one_way(from, to) + slowest.unwrap_or_default()
    }

    /// How long until a new connection stands for who opens it: a round trip, with the first segment sent again where
    /// it is lost.
    pub fn opening(&mut self, from: u16, to: u16) -> Duration {
        self.one_way(from, to) + self.one_way(to, from) + self.retransmits(RETRANSMIT_OPENING)
    }

    fn retransmits(&mut self, first: Duration) -> Duration {
        let (mut late, mut next) = (Duration::ZERO, first);
        for _ in 0..MOST_TRIES {
            if self.chance.unit_interval() >= self.network.loss {
                break;
            }
            late += next;
            next *= 2;
        }
        late
    }
}

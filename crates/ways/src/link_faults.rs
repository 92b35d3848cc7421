//! Faults and delays of one directed link between two endpoints.

use std::time::Duration;

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A seeded random number generator.
pub struct Draw(Pcg64Mcg);

impl Draw {
    /// A generator whose sequence depends only on `seed`.
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A uniformly distributed number in [0, 1).
    pub fn share(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// How a link treats the datagrams and streams that are sent over it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Way {
    /// Blocks the link: datagrams are lost, existing streams stall, and new streams never reach the receiver.
    pub cut: bool,
    /// Probability that a datagram is lost. Streams lose nothing.
    pub loss: f64,
    /// Probability that a datagram is duplicated.
    pub doubled: f64,
    /// The smallest delay.
    pub late: Duration,
    /// The largest random delay in addition to `late`; for datagrams only.
    pub spread: Duration,
    /// Rate limit of a stream in bytes per second; `None` for no limit.
    pub slow: Option<u64>,
    /// Closes existing streams as soon as something is sent over the link, and new streams when they are accepted.
    pub reset: bool,
    /// New streams are accepted but never reach the receiver, and all bytes on streams are dropped.
    pub half_open: bool,
}

impl Default for Way {
    /// A link within one zone without faults: 1 to 20 ms of delay, 2 % loss.
    fn default() -> Self {
        Self {
            cut: false,
            loss: 0.02,
            doubled: 0.0,
            late: Duration::from_millis(1),
            spread: Duration::from_millis(19),
            slow: None,
            reset: false,
            half_open: false,
        }
    }
}

impl Way {
    /// A random delay for one datagram.
    pub fn late(&self, rng: &mut Draw) -> Duration {
        self.late + self.spread.mul_f64(rng.share())
    }
}

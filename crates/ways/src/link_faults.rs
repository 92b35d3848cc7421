//! Faults and delays of one directed link between two endpoints.

use std::time::Duration;

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A seeded random number generator.
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    /// A generator whose sequence depends only on `seed`.
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A uniformly distributed number in [0, 1).
    pub fn unit_interval(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// How a link treats the datagrams and streams that are sent over it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkFaults {
    /// Blocks the link: datagrams are lost, existing streams stall, and new streams never reach the receiver.
    pub blocked: bool,
    /// Probability that a datagram is lost. Streams lose nothing.
    pub loss_probability: f64,
    /// Probability that a datagram is duplicated.
    pub duplicate_probability: f64,
    /// The smallest delay.
    pub delay: Duration,
    /// The largest random delay in addition to `delay`; for datagrams only.
    pub max_jitter: Duration,
    /// Rate limit of a stream in bytes per second; `None` for no limit.
    pub max_bytes_per_s: Option<u64>,
    /// Closes existing streams as soon as something is sent over the link, and new streams when they are accepted.
    pub reset_streams: bool,
    /// New streams are accepted but never reach the receiver, and all bytes on streams are dropped.
    pub half_open: bool,
}

impl Default for LinkFaults {
    /// A link within one zone without faults: 1 to 20 ms of delay, 2 % loss.
    fn default() -> Self {
        Self {
            blocked: false,
            loss_probability: 0.02,
            duplicate_probability: 0.0,
            delay: Duration::from_millis(1),
            max_jitter: Duration::from_millis(19),
            max_bytes_per_s: None,
            reset_streams: false,
            half_open: false,
        }
    }
}

impl LinkFaults {
    /// A random delay for one datagram.
    pub fn random_delay(&self, rng: &mut SeededRng) -> Duration {
        self.delay + self.max_jitter.mul_f64(rng.unit_interval())
    }
}

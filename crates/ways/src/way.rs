//! One direction between two ends.

use std::time::Duration;

use rand_pcg::rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Numbers from a seed.
pub struct Draw(Pcg64Mcg);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// From 0 up to, but not, 1.
    pub fn share(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// How what goes one way fares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Way {
    /// Nothing passes: datagrams are lost, streams stand still and new ones never come up.
    pub cut: bool,
    /// The share of datagrams that are lost; a stream loses nothing.
    pub loss: f64,
    /// The share of datagrams that come twice.
    pub doubled: f64,
    /// How late things are at least, and at most so much more, by chance.
    pub late: Duration,
    pub spread: Duration,
    /// Bytes a second that a stream carries; nothing for as many as come.
    pub slow: Option<u64>,
    /// Streams are cut off, and new ones too as soon as something goes this way.
    pub reset: bool,
    /// New streams come up, and what is sent on them is never heard.
    pub half_open: bool,
}

impl Default for Way {
    /// As in one building on an ordinary day.
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
    /// How late one thing is.
    pub fn late(&self, draw: &mut Draw) -> Duration {
        self.late + self.spread.mul_f64(draw.share())
    }
}

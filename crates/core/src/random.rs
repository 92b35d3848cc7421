//! Pseudo-random numbers from a permuted congruential generator (PCG-XSH-RR).

use std::time::Duration;

use crate::interface::StreamerId;

/// A generator with its state.
#[derive(Default)]
pub struct Rng(pub u64);

impl Rng {
    /// A uniformly distributed number in [0, 1).
    pub fn unit_interval(&mut self) -> f64 {
        let state = self.0;
        self.0 = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let output = (((state >> 18) ^ state) >> 27) as u32;
        f64::from(output.rotate_right((state >> 59) as u32)) / 4_294_967_296.0
    }

    /// A uniformly distributed duration in [0, max).
    pub fn random_duration(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.unit_interval())
    }
}

/// A pseudo-random whole number for a start of a streamer, the same in every controller: it depends only on
/// the streamer's address and on the number by which the list identifies the start.
pub fn start_hash(id: StreamerId, start: u64) -> f64 {
    let hash = u32::from(*id.ip()).rotate_left(7) ^ u32::from(id.port()) ^ start as u32;
    f64::from(hash.wrapping_mul(2_654_435_769) >> 12)
}

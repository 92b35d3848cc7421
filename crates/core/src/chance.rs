//! Chance from a permuted congruential generator (PCG-XSH-RR).

use std::time::Duration;

use crate::interface::StreamerId;

#[derive(Default)]
pub struct Chance(pub u64);

impl Chance {
    /// A number from 0 up to, but not, 1.
    pub fn share(&mut self) -> f64 {
        let old = self.0;
        self.0 = old.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let word = (((old >> 18) ^ old) >> 27) as u32;
        f64::from(word.rotate_right((old >> 59) as u32)) / 4_294_967_296.0
    }

    pub fn span(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.share())
    }
}

/// A whole number that differs by streamer and start, the same for every instance: by the number that the list tells
/// the start by.
pub fn scattered(id: StreamerId, start: u64) -> f64 {
    let mix = u32::from(*id.ip()).rotate_left(7) ^ u32::from(id.port()) ^ start as u32;
    f64::from(mix.wrapping_mul(2_654_435_769) >> 12)
}

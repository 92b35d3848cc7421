//! The window against replay, as RFC 4303 section 3.4.3 has it.

/// Counters under the highest that may still come: more than two seconds of a member's datagrams at its ceiling, so
/// that what is late or reordered by less is taken, and what comes twice never.
const WIDTH: u32 = 64;

/// What has come of one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// The member's life: it grows with each start.
    life: u32,
    highest: u32,
    /// Bit n stands for the counter `highest - n`.
    seen: u64,
}

impl Window {
    pub fn life(&self) -> u32 {
        self.life
    }

    /// Whether a message may still be taken: it was not yet, and is not too old.
    pub fn accepts(&self, life: u32, counter: u32) -> bool {
        if life != self.life {
            return life > self.life;
        }
        match self.highest.checked_sub(counter) {
            None => true,
            Some(back) => back < WIDTH && self.seen & (1 << back) == 0,
        }
    }

    /// Notes one that was taken.
    pub fn record(&mut self, life: u32, counter: u32) {
        if life > self.life {
            *self = Self { life, highest: counter, seen: 1 };
            return;
        }
        if let Some(back) = self.highest.checked_sub(counter) {
            self.seen |= 1u64.checked_shl(back).unwrap_or(0);
            return;
        }
        let on = counter - self.highest;
        self.seen = self.seen.checked_shl(on).unwrap_or(0) | 1;
        self.highest = counter;
    }
}

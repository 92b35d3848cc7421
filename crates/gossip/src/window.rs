//! Anti-replay window, as in RFC 4303 section 3.4.3.

/// Number of counters below the highest that are still accepted: more than two seconds of a member's
/// datagrams at its byte limit. Datagrams delayed or reordered by less are accepted, duplicates never.
const WINDOW_SIZE: u32 = 64;

/// The counters received from one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    /// The member's process incarnation, which grows with each start.
    process_incarnation: u32,
    highest: u32,
    /// Bit n stands for the counter `highest - n`.
    seen: u64,
}

impl Window {
    /// The process incarnation that the counters belong to.
    pub fn process_incarnation(&self) -> u32 {
        self.process_incarnation
    }

    /// Whether a datagram with this counter may be accepted: it is neither a duplicate nor too old.
    pub fn accepts(&self, process_incarnation: u32, counter: u32) -> bool {
        if process_incarnation != self.process_incarnation {
            return process_incarnation > self.process_incarnation;
        }
        match self.highest.checked_sub(counter) {
            None => true,
            Some(distance) => distance < WINDOW_SIZE && self.seen & (1 << distance) == 0,
        }
    }

    /// Records an accepted counter.
    pub fn record(&mut self, process_incarnation: u32, counter: u32) {
        if process_incarnation > self.process_incarnation {
            *self = Self { process_incarnation, highest: counter, seen: 1 };
            return;
        }
        if let Some(distance) = self.highest.checked_sub(counter) {
            self.seen |= 1u64.checked_shl(distance).unwrap_or(0);
            return;
        }
        let advance = counter - self.highest;
        self.seen = self.seen.checked_shl(advance).unwrap_or(0) | 1;
        self.highest = counter;
    }
}

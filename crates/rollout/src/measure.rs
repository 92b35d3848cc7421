//! What is compared of controllers.

use crate::count_log::Counted;
use crate::tally::Tally;

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    JoinsLost,
    Throttled,
    Terminated,
    Late,
    /// Benefit that was offered and not served.
    Unserved,
}

/// All of them, in the order in which they are looked at.
pub const MEASURES: [Measure; 5] =
    [Measure::JoinsLost, Measure::Throttled, Measure::Terminated, Measure::Late, Measure::Unserved];

impl Measure {
    /// What went wrong by these counts, and of how much.
    pub fn tally(self, counted: &Counted) -> Tally {
        let (bad, of) = match self {
            Measure::JoinsLost => (counted.lost, counted.joins),
            Measure::Throttled => (counted.throttled, counted.asked),
            Measure::Terminated => (counted.terminated, counted.asked),
            Measure::Late => (counted.late, counted.asked),
            Measure::Unserved => (counted.offered.saturating_sub(counted.served), counted.offered),
        };
        // Benefit is in thousandths: one that is not served at all is one event.
        let unit = if self == Measure::Unserved { 1000.0 } else { 1.0 };
        Tally { bad: bad as f64 / unit, of: of as f64 / unit }
    }
}

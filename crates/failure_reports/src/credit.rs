//! How far a member is believed: by the share of its reports that agreed with what was seen here.

/// Agreements and contradictions that a member begins with, before any report of it was put to the test.
const PRIOR: (f64, f64) = (3.0, 1.0);
/// Agreements and contradictions are halved after so many, so that a member that turns to lies loses credit soon,
/// and one that was behind a bad link gets it back.
const MAX_JUDGEMENTS: f64 = 16.0;
/// Under this share of agreements a member's reports count nothing at all.
pub const MIN_CREDIT: f64 = 0.35;

/// How a member's reports agreed with what was seen here.
#[derive(Clone, Copy, Debug)]
pub struct Credit {
    agreed: f64,
    contradicted: f64,
}

impl Default for Credit {
    fn default() -> Self {
        Self { agreed: PRIOR.0, contradicted: PRIOR.1 }
    }
}

impl Credit {
    /// Counts one report that was put to the test.
    pub fn count(&mut self, agreed: bool) {
        *if agreed { &mut self.agreed } else { &mut self.contradicted } += 1.0;
        if self.agreed + self.contradicted > MAX_JUDGEMENTS {
            (self.agreed, self.contradicted) = (self.agreed / 2.0, self.contradicted / 2.0);
        }
    }

    /// What a report of this member weighs, of 1.
    pub fn weight(self) -> f64 {
        let share = self.agreed / (self.agreed + self.contradicted);
        if share < MIN_CREDIT {
            0.0
        } else {
            share
        }
    }
}

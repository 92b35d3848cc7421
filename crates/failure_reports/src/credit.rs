//! Credit of a member: the fraction of its reports that agreed with local observations.

/// Initial counts of agreements and contradictions, before any report of the member has been judged.
const INITIAL_COUNTS: (f64, f64) = (3.0, 1.0);
/// Both counts are halved when their sum exceeds this, so that a member that becomes faulty loses credit
/// soon, and one that was behind a bad link regains it.
const MAX_JUDGEMENTS: f64 = 16.0;
/// Reports of a member with a lower fraction of agreements have no weight.
pub const MIN_CREDIT: f64 = 0.35;

/// How a member's reports agreed with local observations.
#[derive(Clone, Copy, Debug)]
pub struct Credit {
    agreed: f64,
    contradicted: f64,
}

impl Default for Credit {
    fn default() -> Self {
        Self { agreed: INITIAL_COUNTS.0, contradicted: INITIAL_COUNTS.1 }
    }
}

impl Credit {
    /// Counts one report that was judged.
    pub fn count(&mut self, agreed: bool) {
        *if agreed { &mut self.agreed } else { &mut self.contradicted } += 1.0;
        if self.agreed + self.contradicted > MAX_JUDGEMENTS {
            (self.agreed, self.contradicted) = (self.agreed / 2.0, self.contradicted / 2.0);
        }
    }

    /// The weight of a report by this member, from 0 to 1.
    pub fn weight(self) -> f64 {
        let agreed_fraction = self.agreed / (self.agreed + self.contradicted);
        if agreed_fraction < MIN_CREDIT {
            0.0
        } else {
            agreed_fraction
        }
    }
}

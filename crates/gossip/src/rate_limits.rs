//! Rate limits of what costs: a flood from one source leaves the others, and the controller, their time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::token_bucket::TokenBucket;
use crate::Member;

/// Signatures checked a second for a source that is a member's address: three for each datagram of a member that
/// sends to one other all that it may.
const MEMBERS: f64 = 72.0;
/// For all other addresses together: enough for a fleet that starts in one second to be heard by its seeds.
const STRANGERS: f64 = 200.0;
/// For all together: at 0.1 ms each a tenth of a core.
const ALL: f64 = 1000.0;

/// What a member may have answered in a second: a probe of its own, helps for others and a comparison, some times
/// over. A liar that asks without end does not use up the ceiling of whom it asks.
const ANSWERS: f64 = 10.0;

/// Buckets by source. There are as many as members at most, and one for strangers.
#[derive(Clone, Debug)]
pub struct RateLimits {
    members: BTreeMap<Member, TokenBucket>,
    answers: BTreeMap<Member, TokenBucket>,
    strangers: TokenBucket,
    all: TokenBucket,
}

impl RateLimits {
    pub fn new(now: Duration) -> Self {
        let full = |rate: f64| TokenBucket::new(rate, rate, now);
        Self {
            members: BTreeMap::new(),
            answers: BTreeMap::new(),
            strangers: full(STRANGERS),
            all: full(ALL),
        }
    }

    /// Whether so many signatures of a source may be checked now. A source is a member whose address the datagram
    /// came from, or a stranger.
    pub fn admit_signatures(&mut self, now: Duration, source: Option<Member>, signatures: u32) -> bool {
        let cost = f64::from(signatures);
        let own = match source {
            Some(member) => {
                let full = || TokenBucket::new(MEMBERS, MEMBERS, now);
                self.members.entry(member).or_insert_with(full).take(now, cost)
            }
            None => self.strangers.take(now, cost),
        };
        own && self.all.take(now, cost)
    }

    /// Whether a member is answered now, where the answer costs so many datagrams.
    pub fn admit_answer(&mut self, now: Duration, member: Member, cost: f64) -> bool {
        let full = || TokenBucket::new(ANSWERS, ANSWERS, now);
        self.answers.entry(member).or_insert_with(full).take(now, cost)
    }

    pub fn forget(&mut self, member: Member) {
        self.answers.remove(&member);
        self.members.remove(&member);
    }
}

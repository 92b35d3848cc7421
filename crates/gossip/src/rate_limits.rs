//! Rate limits on signature checks and answers, so that a flood from one source does not take the time of
//! others or of the controller.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::token_bucket::TokenBucket;
use crate::Member;

/// Signature checks a second for a source that is a member's address: three for each datagram of a member
/// that sends its whole byte budget to one other member.
const MEMBER_CHECKS_PER_SECOND: f64 = 72.0;
/// Signature checks a second for all unknown addresses together: enough for the seeds of a fleet that starts
/// within one second.
const UNKNOWN_CHECKS_PER_SECOND: f64 = 200.0;
/// Signature checks a second for all sources together: at 0.1 ms each a tenth of a core.
const TOTAL_CHECKS_PER_SECOND: f64 = 1000.0;

/// Cost of answers to one member a second: several times that of its own probe, its requests for indirect
/// probes and a comparison. A faulty member that sends requests endlessly can't exhaust the byte budget of
/// the others.
const ANSWER_COST_PER_SECOND: f64 = 10.0;

/// Token buckets by source: at most one for each member, and one for unknown addresses.
#[derive(Clone, Debug)]
pub struct RateLimits {
    member_checks: BTreeMap<Member, TokenBucket>,
    answers: BTreeMap<Member, TokenBucket>,
    unknown_sources: TokenBucket,
    total_checks: TokenBucket,
}

impl RateLimits {
    /// Full buckets.
    pub fn new(now: Duration) -> Self {
        let full_bucket = |rate: f64| TokenBucket::new(rate, rate, now);
        Self {
            member_checks: BTreeMap::new(),
            answers: BTreeMap::new(),
            unknown_sources: full_bucket(UNKNOWN_CHECKS_PER_SECOND),
            total_checks: full_bucket(TOTAL_CHECKS_PER_SECOND),
        }
    }

    /// Whether this number of signatures from a source may be checked now. `source` is the member whose
    /// address the datagram came from, if it is known.
    pub fn admit_signatures(&mut self, now: Duration, source: Option<Member>, signatures: u32) -> bool {
        let cost = f64::from(signatures);
        let source_allowed = match source {
            Some(member) => {
                let full_bucket =
                    || TokenBucket::new(MEMBER_CHECKS_PER_SECOND, MEMBER_CHECKS_PER_SECOND, now);
                self.member_checks.entry(member).or_insert_with(full_bucket).take(now, cost)
            }
            None => self.unknown_sources.take(now, cost),
        };
        source_allowed && self.total_checks.take(now, cost)
    }

    /// Whether a member is answered now; `cost` is the number of datagrams in the answer.
    pub fn admit_answer(&mut self, now: Duration, member: Member, cost: f64) -> bool {
        let full_bucket = || TokenBucket::new(ANSWER_COST_PER_SECOND, ANSWER_COST_PER_SECOND, now);
        self.answers.entry(member).or_insert_with(full_bucket).take(now, cost)
    }

    /// Removes a member's buckets.
    pub fn forget(&mut self, member: Member) {
        self.answers.remove(&member);
        self.member_checks.remove(&member);
    }
}

//! The rate limit for log lines.

use std::time::Duration;

use crate::telemetry::LogLimiter;

#[test]
fn a_flood_of_one_kind_is_limited_and_counted() {
    let mut limiter = LogLimiter::default();
    let at = Duration::from_secs;
    let written = (0..1000).filter(|_| limiter.allows(at(1), "version").is_some()).count();
    assert_eq!(written, 5);
    assert_eq!(limiter.allows(at(1), "unsigned"), Some(0), "other kinds are not limited by it");
    assert_eq!(limiter.allows(at(12), "version"), Some(995));
}

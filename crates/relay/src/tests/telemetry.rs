//! Log lines at a bounded rate.

use std::time::Duration;

use crate::telemetry::LineLimit;

#[test]
fn a_flood_of_one_kind_leaves_few_lines_and_a_count() {
    let mut lines = LineLimit::default();
    let at = Duration::from_secs;
    let written = (0..1000).filter(|_| lines.allows(at(1), "version").is_some()).count();
    assert_eq!(written, 5);
    assert_eq!(lines.allows(at(1), "unsigned"), Some(0), "other kinds are not silenced by it");
    assert_eq!(lines.allows(at(12), "version"), Some(995));
}

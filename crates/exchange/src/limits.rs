//! When a viewer must have its answer, and when the exchange answers by itself.

use std::time::Duration;

/// How much sooner than the viewer gives up the module is told to have answered. What it guards against: the way
/// back, a tick, and a loop that is late. Harm: a join that would have been answered in this last part is lost;
/// where a viewer waits only shortly the part is a tenth, so that it stays small beside the wait.
const MARGIN: Duration = Duration::from_millis(150);

/// How much sooner than the viewer gives up the exchange answers in the module's place. Under [`MARGIN`], so that
/// it acts only where the module held a subscription too long; over a tick and the way back.
const LAST_CALL: Duration = Duration::from_millis(50);

/// The longest wait that a viewer may name: one that names more would hold its place for nothing.
pub const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// The client timeout as the module is told it, of what the viewer named.
pub fn client_timeout(named: Duration) -> Duration {
    let named = named.min(LONGEST_WAIT);
    named - MARGIN.min(named / 10)
}

/// How long after its SETUP a viewer is answered at the latest.
pub fn last_call(named: Duration) -> Duration {
    let named = named.min(LONGEST_WAIT);
    named - LAST_CALL.min(named / 20)
}

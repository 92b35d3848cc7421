//! Time limits for the answer to a viewer, and for the exchange to answer by itself.

use std::time::Duration;

/// How much sooner than the viewer gives up the decision module must answer, to allow for the way back, a
/// tick and a delayed event loop. A join that would have been answered within this margin is lost; for short
/// timeouts the margin is a tenth, so that it stays small.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// How much sooner than the viewer gives up the exchange answers by itself. Less than [`ANSWER_MARGIN`], so
/// that it applies only if the decision module held a subscription too long; more than a tick and the way
/// back.
const ANSWER_DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// Largest client timeout that a viewer may state: a longer one would occupy a place for nothing.
pub const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(60);

/// The client timeout for the decision module, given the one that the viewer stated.
pub fn module_client_timeout(stated: Duration) -> Duration {
    let stated = stated.min(MAX_CLIENT_TIMEOUT);
    stated - ANSWER_MARGIN.min(stated / 10)
}

/// How long after its SETUP a viewer is answered at the latest.
pub fn answer_deadline(stated: Duration) -> Duration {
    let stated = stated.min(MAX_CLIENT_TIMEOUT);
    stated - ANSWER_DEADLINE_MARGIN.min(stated / 20)
}

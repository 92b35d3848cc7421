//! Identifies one join of a session.

use badgerledge_core::interface::JobId;

/// One join of a session. A session's joins carry the same id on the wire, so whatever concerns a join inside
/// this program names it by its number too: what is late must not be applied to a later join.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JoinId {
    pub job: JobId,
    /// Counts the joins of the session, from zero.
    pub number: u16,
}

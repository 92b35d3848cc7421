//! Release causes on the wire.

/// The session ended normally.
pub const NORMAL: u8 = 16;
/// Sent by a streamer for a session that was moved away from it or that its viewer left.
pub const MOVED: u8 = 31;
/// The session failed, or could not be served in time.
pub const FAILED: u8 = 41;
/// The viewer is throttled and should retry later.
pub const THROTTLED: u8 = 42;
/// The set-up request was invalid.
pub const INVALID_REQUEST: u8 = 96;

/// Causes with which a streamer refuses a join; never those of a session that plays.
pub mod join_refusals {
    /// The streamer is full; the join never ran.
    pub const FULL: u64 = 34;
    /// The streamer failed.
    pub const ERROR: u64 = 47;
    /// The join never left.
    pub const MOOT: u64 = 102;

    /// Whether this cause only refuses joins.
    pub fn contains(cause: u64) -> bool {
        matches!(cause, FULL | ERROR | MOOT)
    }
}

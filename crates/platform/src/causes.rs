//! Causes of releases on the wire.

/// It ended as it should.
pub const NORMAL: u8 = 16;
/// A streamer's end of what its viewer was moved from, or has left.
pub const MOVED: u8 = 31;
/// It broke, or could not be served in time.
pub const CUT: u8 = 41;
/// The viewer is to come back later.
pub const THROTTLED: u8 = 42;
/// Says of a request that it could not be used.
pub const UNUSABLE: u8 = 96;

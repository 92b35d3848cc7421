//! The sections of a controller's file as types. A key that is not given has the default of its field.

mod place;
mod shared;

pub(crate) use place::default_leave_within_s;
pub use place::{ControllerPlace, GossipPlace, RevisionsPlace, DEFAULT_LEAVE_WITHIN_S};
pub use shared::{Crossing, Fleet, Ladder, Permissions, Prices, RoomType, Rules};

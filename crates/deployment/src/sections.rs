//! The sections of a controller's file. Keys not given have the value that the field's default names.

mod place;
mod shared;

pub(crate) use place::half_a_minute;
pub use place::{ControllerPlace, GossipPlace, RevisionsPlace, HALF_A_MINUTE};
pub use shared::{Crossing, Fleet, Ladder, Permissions, Prices, RoomType, Rules};

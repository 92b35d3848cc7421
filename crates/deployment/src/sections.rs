//! The sections of a controller's file as types. A key that is not given has the default of its field.

mod controller;
mod shared;

pub(crate) use controller::default_leave_within_s;
pub use controller::{ControllerSection, GossipSection, RevisionsSection, DEFAULT_LEAVE_WITHIN_S};
pub use shared::{Crossing, Fleet, Ladder, Permissions, Prices, RoomType, Rules};

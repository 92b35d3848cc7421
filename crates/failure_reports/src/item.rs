//! One report of a streamer, as bulletins carry it.
//!
//! | bytes | field |
//! |---|---|
//! | 4 | the streamer's IPv4 address |
//! | 2 | its port |
//! | 1 | kind: 1 lost, 2 strained |
//! | 1 | tenths of a second since it was last seen, 255 at most |

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use badgerledge_gossip::statement::ITEM_BYTES;

use crate::Trouble;

/// What a report says of a streamer; a build that does not know a kind passes it over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Joins were lost on it, in silence or by its end.
    Lost = 1,
    /// It turned joins away for want of room, delivered short, or its link was asked for more than it gives.
    Strained = 2,
}

/// What one in the last byte of an item stands for.
const STEP: Duration = Duration::from_millis(100);

/// The bytes of an item.
pub fn write((streamer, kind): Trouble, since: Duration) -> [u8; ITEM_BYTES] {
    let mut item = [0; ITEM_BYTES];
    item[..4].copy_from_slice(&streamer.ip().octets());
    item[4..6].copy_from_slice(&streamer.port().to_be_bytes());
    item[6] = kind as u8;
    item[7] = (since.as_millis() / STEP.as_millis()).min(255) as u8;
    item
}

/// The streamer of an item, what is wrong with it and how long ago that was seen; nothing for unknown kinds.
pub fn read(item: &[u8; ITEM_BYTES]) -> Option<(Trouble, Duration)> {
    let at = SocketAddrV4::new(
        Ipv4Addr::new(item[0], item[1], item[2], item[3]),
        u16::from_be_bytes([item[4], item[5]]),
    );
    let kind = match item[6] {
        1 => Kind::Lost,
        2 => Kind::Strained,
        _ => return None,
    };
    Some(((at, kind), STEP * u32::from(item[7])))
}

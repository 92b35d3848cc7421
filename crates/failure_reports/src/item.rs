//! Encoding of a report on a streamer as an item of a bulletin.
//!
//! | bytes | field |
//! |---|---|
//! | 4 | the streamer's IPv4 address |
//! | 2 | its port |
//! | 1 | kind: 1 lost, 2 strained |
//! | 1 | tenths of a second since it was last observed, up to 255 |

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use badgerledge_gossip::statement::ITEM_BYTES;

use crate::Failure;

/// What a report says of a streamer. A build that does not know a kind ignores the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureKind {
    /// Joins on it were lost because it was silent or ended.
    Lost = 1,
    /// It refused joins for lack of capacity or delivered less than requested, or its link was overloaded.
    Strained = 2,
}

/// Unit of the last byte of an item.
const AGE_UNIT: Duration = Duration::from_millis(100);

/// The encoded item.
pub fn write((streamer, kind): Failure, elapsed: Duration) -> [u8; ITEM_BYTES] {
    let mut item = [0; ITEM_BYTES];
    item[..4].copy_from_slice(&streamer.ip().octets());
    item[4..6].copy_from_slice(&streamer.port().to_be_bytes());
    item[6] = kind as u8;
    item[7] = (elapsed.as_millis() / AGE_UNIT.as_millis()).min(255) as u8;
    item
}

/// The streamer and kind of an item, and how long ago it was observed; `None` for unknown kinds.
pub fn read(item: &[u8; ITEM_BYTES]) -> Option<(Failure, Duration)> {
    let streamer = SocketAddrV4::new(
        Ipv4Addr::new(item[0], item[1], item[2], item[3]),
        u16::from_be_bytes([item[4], item[5]]),
    );
    let kind = match item[6] {
        1 => FailureKind::Lost,
        2 => FailureKind::Strained,
        _ => return None,
    };
    Some(((streamer, kind), AGE_UNIT * u32::from(item[7])))
}

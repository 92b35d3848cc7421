//! Load reports that controllers send each other on links and uplinks, and their encoding: the number of
//! links, then for each link four bytes that identify its streamer, its utilization and its age, then for
//! each uplink two bytes of its number, its utilization and its age.

use std::time::Duration;

use crate::interface::StreamerId;
use crate::state::NetworkLink;

/// Maximum number of links in one message.
pub const MAX_LINKS: usize = (MAX_MESSAGE_BYTES - 1) / LINK_BYTES;
const MAX_MESSAGE_BYTES: usize = 256;
/// Encoded size of a link's report, in bytes.
pub const LINK_BYTES: usize = 6;
const UPLINK_BYTES: usize = 4;
/// One byte each: a utilization over 2.55 is sent as 2.55, an age in units of 50 ms.
const UTILIZATION_UNIT: f64 = 0.01;
const AGE_UNIT: Duration = Duration::from_millis(50);

/// The four bytes that identify a streamer in a message.
pub fn streamer_name(id: StreamerId) -> u32 {
    u32::from(*id.ip()) ^ u32::from(id.port())
}

/// Utilization of a link, and how long ago it was measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport<L> {
    pub network_link: L,
    pub utilization: f64,
    pub age: Duration,
}

/// A link as a message identifies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkName {
    Link(u32),
    Uplink(u32),
}

/// Encodes as many reports as fit in one message, links first.
pub fn encode(reports: &[LoadReport<NetworkLink>]) -> Vec<u8> {
    let (links, uplinks): (Vec<&LoadReport<NetworkLink>>, Vec<_>) =
        reports.iter().partition(|report| matches!(report.network_link, NetworkLink::Link(_)));
    let links = &links[..links.len().min(MAX_LINKS)];
    let mut out = vec![links.len() as u8];
    for report in links.iter().copied().chain(uplinks) {
        let mut bytes = match report.network_link {
            NetworkLink::Link(id) => streamer_name(id).to_be_bytes().to_vec(),
            NetworkLink::Uplink(number) => (number as u16).to_be_bytes().to_vec(),
        };
        bytes.push((report.utilization / UTILIZATION_UNIT).round().clamp(0.0, 255.0) as u8);
        bytes.push((report.age.as_millis() / AGE_UNIT.as_millis()).min(255) as u8);
        if out.len() + bytes.len() <= MAX_MESSAGE_BYTES {
            out.append(&mut bytes);
        }
    }
    out
}

/// Decodes the reports of a message; a truncated or malformed message gives none.
pub fn decode(bytes: &[u8]) -> Vec<LoadReport<LinkName>> {
    let Some((count, rest)) = bytes.split_first() else { return Vec::new() };
    let links = usize::from(*count) * LINK_BYTES;
    let Some((links, uplinks)) =
        rest.split_at_checked(links).filter(|(_, uplinks)| uplinks.len() % UPLINK_BYTES == 0)
    else {
        return Vec::new();
    };
    let report = |network_link, fields: &[u8]| {
        let (utilization, age) = (f64::from(fields[0]) * UTILIZATION_UNIT, AGE_UNIT * u32::from(fields[1]));
        LoadReport { network_link, utilization, age }
    };
    let links = links.chunks_exact(LINK_BYTES).map(|bytes| {
        let name = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        report(LinkName::Link(name), &bytes[4..])
    });
    let uplinks = uplinks.chunks_exact(UPLINK_BYTES);
    let uplinks = uplinks
        .map(|bytes| report(LinkName::Uplink(u16::from_be_bytes([bytes[0], bytes[1]]).into()), &bytes[2..]));
    links.chain(uplinks).collect()
}

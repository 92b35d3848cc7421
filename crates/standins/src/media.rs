//! The media that stand-ins send: RTP packets that say at which rung and rate they are sent, so that a viewer can
//! tell what share of it comes.

use badgerledge_rtsp::describe::PAYLOAD_TYPE;
use rtp_types::{RtpPacket, RtpPacketBuilder};

/// Bytes of an RTP packet at most: what an Ethernet frame carries.
pub const LONGEST: usize = 1400;
/// Bytes of the shortest: the RTP header and what the payload says.
const SHORTEST: usize = 12 + HEAD;
const HEAD: usize = 6;

/// What a packet says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Packet {
    pub sequence: u16,
    pub rung: u8,
    /// The rate that it is one of, bytes a second.
    pub rate: u32,
}

/// A packet of `size` bytes, within the bounds of one.
pub fn packet(said: Packet, ssrc: u32, timestamp: u32, size: usize) -> Vec<u8> {
    let mut payload = vec![0; size.clamp(SHORTEST, LONGEST) - 12];
    // The first byte says "single unit" (RFC 6184 section 5.2), so that players take it for video.
    payload[0] = 1;
    payload[1] = said.rung;
    payload[2..6].copy_from_slice(&said.rate.to_be_bytes());
    let packet = RtpPacketBuilder::<&[u8], &[u8]>::new()
        .payload_type(PAYLOAD_TYPE)
        .sequence_number(said.sequence)
        .timestamp(timestamp)
        .ssrc(ssrc)
        .marker_bit(true)
        .payload(&payload[..]);
    packet.write_vec().unwrap_or_default()
}

impl Packet {
    /// What a packet says; nothing where it is none of ours.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let packet = RtpPacket::parse(bytes).ok()?;
        let payload = packet.payload();
        let rate: [u8; 4] = payload.get(2..6)?.try_into().ok()?;
        Some(Self { sequence: packet.sequence_number(), rung: payload[1], rate: u32::from_be_bytes(rate) })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_packet_says_what_it_was_told() {
        let said = Packet { sequence: 65_535, rung: 3, rate: 123_456 };
        let bytes = packet(said, 7, 90_000, 900);
        assert_eq!((Packet::read(&bytes), bytes.len()), (Some(said), 900));
        assert_eq!(packet(said, 7, 0, 1).len(), SHORTEST);
        assert_eq!(Packet::read(&bytes[..14]), None);
    }
}

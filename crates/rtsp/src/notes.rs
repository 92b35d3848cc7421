//! What a streamer tells in band, on the interleaved control channel: RTCP APP packets (RFC 3550 section 6.7)
//! named SVST, after the draft's SERVSTAT (sections 4 and 5.3), and BYE (RFC 3550 section 6.6) at the end.
//!
//! The subtype is the note's kind: 1 the share of the rate that is delivered, 2 the rung in force, 3 what is
//! asked of the link over what it gives, 4 the same of the rack's uplink. The data is one `f32`.

use rtcp_types::{App, Bye, Compound, Packet, RtcpPacketParserExt, RtcpPacketWriterExt};

const NAME: &str = "SVST";

/// What an RTCP packet says that matters here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    Told(u8, f64),
    Bye,
}

/// A note as bytes: 16 of them.
pub fn note(ssrc: u32, kind: u8, value: f64) -> [u8; 16] {
    let mut bytes = [0; 16];
    let data = (value as f32).to_be_bytes();
    let written = App::builder(ssrc, NAME).subtype(kind & 0x1f).data(&data).write_into(&mut bytes);
    debug_assert_eq!(written.ok(), Some(bytes.len()));
    bytes
}

/// The end of a stream as bytes: 8 of them.
pub fn bye(ssrc: u32) -> [u8; 8] {
    let mut bytes = [0; 8];
    let written = Bye::builder().add_source(ssrc).write_into(&mut bytes);
    debug_assert_eq!(written.ok(), Some(bytes.len()));
    bytes
}

/// The notes in a compound packet; what is malformed or of no use here is passed over.
pub fn notes(bytes: &[u8]) -> impl Iterator<Item = Note> + '_ {
    let packets = Compound::parse(bytes).into_iter().flatten();
    packets.filter_map(|packet| match packet.ok()? {
        Packet::App(app) if app.name() == *NAME.as_bytes() => {
            let data: [u8; 4] = app.data().try_into().ok()?;
            let value = f64::from(f32::from_be_bytes(data));
            (value.is_finite() && value >= 0.0).then(|| Note::Told(app.subtype(), value))
        }
        Packet::Bye(_) => Some(Note::Bye),
        _ => None,
    })
}

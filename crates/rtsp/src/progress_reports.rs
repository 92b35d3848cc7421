//! Progress reports that a streamer sends in band, on the interleaved control channel: RTCP APP packets (RFC
//! 3550 section 6.7) named SVST, after the draft's SERVSTAT (sections 4 and 5.3), and BYE (RFC 3550 section
//! 6.6) at the end.
//!
//! The subtype is the kind of report: 1 the fraction of the rate that is delivered, 2 the rung in use, 3 the
//! load that is requested of the link over its capacity, 4 the same for the rack's uplink. The data is one
//! big-endian `f32`.

use rtcp_types::{App, Bye, Compound, Packet, RtcpPacketParserExt, RtcpPacketWriterExt};

/// Name of the RTCP APP packets.
const APP_NAME: &str = "SVST";

/// A progress report, or the end of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressReport {
    /// A report's kind and value.
    Value(u8, f64),
    /// The stream has ended.
    Bye,
}

/// Encodes a progress report as an RTCP APP packet.
pub fn encode_report(ssrc: u32, kind: u8, value: f64) -> [u8; 16] {
    let mut bytes = [0; 16];
    let data = (value as f32).to_be_bytes();
    let written = App::builder(ssrc, APP_NAME).subtype(kind & 0x1f).data(&data).write_into(&mut bytes);
    debug_assert_eq!(written.ok(), Some(bytes.len()));
    bytes
}

/// Encodes the end of a stream as an RTCP BYE packet.
pub fn encode_bye(ssrc: u32) -> [u8; 8] {
    let mut bytes = [0; 8];
    let written = Bye::builder().add_source(ssrc).write_into(&mut bytes);
    debug_assert_eq!(written.ok(), Some(bytes.len()));
    bytes
}

/// Decodes the progress reports in a compound packet; malformed and other packets are ignored.
pub fn decode_reports(bytes: &[u8]) -> impl Iterator<Item = ProgressReport> + '_ {
    let packets = Compound::parse(bytes).into_iter().flatten();
    packets.filter_map(|packet| match packet.ok()? {
        Packet::App(app) if app.name() == *APP_NAME.as_bytes() => {
            let data: [u8; 4] = app.data().try_into().ok()?;
            let value = f64::from(f32::from_be_bytes(data));
            (value.is_finite() && value >= 0.0).then(|| ProgressReport::Value(app.subtype(), value))
        }
        Packet::Bye(_) => Some(ProgressReport::Bye),
        _ => None,
    })
}

//! The SDP description of a title (RFC 4566), the body of the response to DESCRIBE.

use std::net::IpAddr;

use sdp_types::{Attribute, Connection, Media, Origin, Session, Time};

/// RTP payload type of the stream, from the dynamic range (RFC 3551 section 3).
pub const PAYLOAD_TYPE: u8 = 96;
/// Clock rate of its RTP timestamps in Hz, that of video (RFC 3551 section 5).
pub const CLOCK_RATE: u32 = 90_000;

/// Describes a title at a server's address: one H.264 video stream (RFC 6184), whose control URI is relative
/// to the title's.
pub fn describe(title: u64, server: IpAddr) -> Vec<u8> {
    let attribute = |name: &str, value: String| Attribute { attribute: name.to_owned(), value: Some(value) };
    let (nettype, addrtype) = ("IN".to_owned(), if server.is_ipv4() { "IP4" } else { "IP6" }.to_owned());
    let media = Media {
        media: "video".to_owned(),
        port: 0,
        num_ports: None,
        proto: "RTP/AVP".to_owned(),
        fmt: PAYLOAD_TYPE.to_string(),
        media_title: None,
        connections: Vec::new(),
        bandwidths: Vec::new(),
        key: None,
        attributes: vec![
            attribute("rtpmap", format!("{PAYLOAD_TYPE} H264/{CLOCK_RATE}")),
            // Some players need parameter sets before the first frame: baseline profile, 320 by 240.
            attribute(
                "fmtp",
                format!("{PAYLOAD_TYPE} packetization-mode=1;profile-level-id=42c00d;{PARAMETER_SETS}"),
            ),
            attribute("control", "stream".to_owned()),
        ],
    };
    let session = Session {
        origin: Origin {
            username: Some("-".to_owned()),
            sess_id: title.to_string(),
            sess_version: 1,
            nettype: nettype.clone(),
            addrtype: addrtype.clone(),
            unicast_address: server.to_string(),
        },
        session_name: format!("{title:016x}"),
        session_description: None,
        uri: None,
        emails: Vec::new(),
        phones: Vec::new(),
        connection: Some(Connection { nettype, addrtype, connection_address: "0.0.0.0".to_owned() }),
        bandwidths: Vec::new(),
        times: vec![Time { start_time: 0, stop_time: 0, repeats: Vec::new() }],
        time_zones: Vec::new(),
        key: None,
        attributes: vec![attribute("control", "*".to_owned()), attribute("range", "npt=now-".to_owned())],
        medias: vec![media],
    };
    let mut text = Vec::new();
    session.write(&mut text).expect("writing to memory does not fail");
    text
}

/// H.264 parameter sets (SPS and PPS) in base64.
const PARAMETER_SETS: &str = "sprop-parameter-sets=Z0LADdoFB+hAAAADAEAAAA8DxQqo,aM48gA==";

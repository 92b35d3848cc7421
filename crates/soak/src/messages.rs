//! The platform's messages as clients and streamers write and read them.

use serde_json::{json, Value};

/// Release cause of a request or session that ends normally.
pub const NORMAL: u8 = 16;
/// Release causes after which repeating a request does no harm.
pub const HARMLESS: [u8; 3] = [34, 42, 102];

/// A frame sent to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientFrame {
    /// The session stands, with the streamer's description.
    Accepted { session: u64, description: Vec<u8> },
    /// The request is refused, or the session is over.
    Released { session: u64, cause: u8 },
    /// The session is moved: the client comes again.
    Moved { session: u64 },
    /// The answer to a health check.
    Tested { passed: bool },
}

/// What a set-up asks for.
pub struct SetUp<'a> {
    pub session: u64,
    pub room_type: &'a str,
    pub timeout_ms: u64,
    pub title: u64,
    pub home: u32,
    pub copies: u32,
    /// The streamer that the session plays at already, for a handover.
    pub playing_at: Option<&'a str>,
}

impl SetUp<'_> {
    /// The binary frame.
    pub fn frame(&self) -> Vec<u8> {
        let mut figures =
            format!("home:{};copies:{};top:1;viewer:{:016x}", self.home, self.copies, self.session);
        if let Some(streamer) = self.playing_at {
            figures.push_str(&format!(";at:{streamer}"));
        }
        let (timeout, title) = (self.timeout_ms.to_string(), format!("{:016x}", self.title));
        let description = format!("offer of {:016x}", self.session);
        let parameters =
            [(33, self.room_type), (36, &timeout), (45, &title), (48, &figures), (78, &description)];
        frame(1, self.session, &parameters.map(|(code, value)| (code, value.as_bytes())))
    }
}

/// Cancels a request, or ends its session.
pub fn release(session: u64) -> Vec<u8> {
    frame(12, session, &[(75, &[NORMAL])])
}

/// Acknowledges a release.
pub fn released(session: u64) -> Vec<u8> {
    frame(16, session, &[])
}

/// A health check.
pub fn test() -> Vec<u8> {
    frame(52, 1, &[(75, &[0])])
}

fn frame(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(session.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend_from_slice(value);
    }
    [&(body.len() as u16).to_be_bytes()[..], &body].concat()
}

/// Decodes one frame sent to a client, and returns it with its length; `None` while it is incomplete. The
/// frame is `None` if it is of a kind or form that no controller sends.
pub fn decode(bytes: &[u8]) -> Option<(Option<ClientFrame>, usize)> {
    let length = 2 + usize::from(u16::from_be_bytes([*bytes.first()?, *bytes.get(1)?]));
    let body = bytes.get(2..length)?;
    Some((decode_body(body), length))
}

fn decode_body(body: &[u8]) -> Option<ClientFrame> {
    let kind = *body.first()?;
    let session = u64::from_be_bytes(body.get(1..9)?.try_into().ok()?);
    let value = || body.get(12..);
    match kind {
        9 => Some(ClientFrame::Accepted { session, description: value()?.to_vec() }),
        12 => Some(ClientFrame::Released { session, cause: *value()?.first()? }),
        51 => Some(ClientFrame::Moved { session }),
        53 => Some(ClientFrame::Tested { passed: *value()?.first()? == 1 }),
        _ => None,
    }
}

/// A streamer's line.
pub fn line(operation: &str, session: u64, rest: Value) -> Vec<u8> {
    let mut message = json!({"op": operation, "call": format!("{session:016x}"), "with": {}});
    if let (Some(message), Value::Object(rest)) = (message.as_object_mut(), rest) {
        message.extend(rest);
    }
    format!("{message}\n").into_bytes()
}

/// The description that a streamer gives for a session.
pub fn description(session: u64) -> String {
    format!("answer for {session:016x}")
}

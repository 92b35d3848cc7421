//! Streamers' messages: one JSON object a line.

use std::time::Duration;

use serde_json::{json, Map, Value};

use crate::{hex64, millis, Fault, MAX_MESSAGE_BYTES};

/// Receives the decoded messages of a streamer.
pub trait MessageHandler {
    /// The streamer accepts a session; `description` is for the viewer.
    fn answered(&mut self, session: u64, description: &str);
    /// A session was refused or has ended; `load` is the load report sent with it.
    fn ended(&mut self, session: u64, cause: u64, load: Option<&str>);
    /// The answer to a test.
    fn tested(&mut self, session: u64, passed: bool, load: Option<&str>);
    /// A progress report on a playing session.
    fn progress_report(&mut self, session: u64, note: &str, value: f64);
}

/// Decodes one line and returns how many bytes it used; 0 while it is incomplete.
///
/// # Errors
/// If the line is not a valid message: nothing more from that connection can be trusted then.
pub fn decode(bytes: &[u8], handler: &mut impl MessageHandler) -> Result<usize, Fault> {
    let Some(end) = bytes.iter().take(MAX_MESSAGE_BYTES + 1).position(|b| *b == b'\n') else {
        return if bytes.len() > MAX_MESSAGE_BYTES { Err(Fault::Unterminated) } else { Ok(0) };
    };
    let line: Map<String, Value> = serde_json::from_slice(&bytes[..end]).map_err(|_| Fault::NotJson)?;
    let text = |key| line.get(key).and_then(Value::as_str);
    let session = text("call").and_then(hex64).ok_or(Fault::Field("call"))?;
    let cause = || line.get("why").and_then(Value::as_u64).ok_or(Fault::Field("why"));
    let with = |key| line.get("with").and_then(|with| with.get(key));
    let load = with("load").and_then(Value::as_str);
    match text("op").ok_or(Fault::Field("op"))? {
        "accept" => handler.answered(session, text("desc").ok_or(Fault::Field("desc"))?),
        "end" => handler.ended(session, cause()?, load),
        "tested" => handler.tested(session, cause()? == 1, load),
        "info" => {
            let note = with("note").and_then(Value::as_str).ok_or(Fault::Field("note"))?;
            handler.progress_report(
                session,
                note,
                with("value").and_then(number).ok_or(Fault::Field("value"))?,
            );
        }
        "ringing" | "ended" => {}
        _ => return Err(Fault::UnknownKind),
    }
    Ok(end + 1)
}

/// The number in a field, which is a JSON number or text.
fn number(value: &Value) -> Option<f64> {
    let as_text = || value.as_str()?.parse().ok();
    value.as_f64().or_else(as_text).filter(|number| number.is_finite())
}

/// The numbers of a load report, in the order of the fields named in the settings; empty if one is missing or
/// invalid.
pub fn parse_load_report(report: &str, fields: &[String]) -> Vec<f64> {
    let value_of = |field: &String| {
        let mut pairs = report.split(';').filter_map(|pair| pair.split_once(':'));
        let number: f64 = pairs.find(|(name, _)| name == field)?.1.parse().ok()?;
        (number.is_finite() && number >= 0.0).then_some(number)
    };
    fields.iter().map(value_of).collect::<Option<_>>().unwrap_or_default()
}

/// Encodes a message as a line.
fn encode_line(op: &str, session: u64, mut rest: Value) -> Vec<u8> {
    rest["op"] = json!(op);
    rest["call"] = json!(format!("{session:016x}"));
    let mut out = rest.to_string().into_bytes();
    out.push(b'\n');
    out
}

/// A set-up; `None` if it is too long for a line.
pub fn offer(
    session: u64, room_type: &str, title: &str, left: Duration, rung: Option<u8>, description: &str,
) -> Option<Vec<u8>> {
    let mut with = json!({"class": room_type, "key": title, "left": millis(left)});
    if let Some(rung) = rung {
        with["rung"] = json!(rung.to_string());
    }
    let out = encode_line("offer", session, json!({"with": with, "desc": description}));
    (out.len() <= MAX_MESSAGE_BYTES).then_some(out)
}

/// Ends a session.
pub fn end(session: u64, cause: u8) -> Vec<u8> {
    encode_line("end", session, json!({"with": {}, "why": cause}))
}

/// A test, which the streamer answers with a load report.
pub fn test(session: u64) -> Vec<u8> {
    encode_line("test", session, json!({"with": {}, "why": 1}))
}

/// Sets the rung of a session.
pub fn step(session: u64, rung: u8) -> Vec<u8> {
    encode_line("set", session, json!({"with": {"rung": rung.to_string()}}))
}

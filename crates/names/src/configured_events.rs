//! Parses the list events in the configuration.

use badgerledge_core::interface::Health;
use serde_json::Value;

use crate::{parse_streamer_id, Fault, List, StreamerRecord};

/// Returns the list, the number of its last event, and whether it is complete.
pub fn parse(events: &Value) -> Result<(List, u64, bool), Fault> {
    let (mut list, mut complete) = (List::new(), false);
    let mut last_event = events.get("pos").and_then(Value::as_u64).ok_or(Fault::Field("pos"))?;
    for event in events.get("entries").and_then(Value::as_array).ok_or(Fault::Field("entries"))? {
        let hosts = event.get("hosts").ok_or(Fault::Field("hosts"))?;
        if hosts.get("complete").and_then(Value::as_bool) == Some(true) {
            list.clear();
            complete = true;
        }
        last_event = last_event.max(event.get("pos").and_then(Value::as_u64).unwrap_or(0));
        for member in hosts.get("members").and_then(Value::as_array).ok_or(Fault::Field("members"))? {
            let (id, streamer) = parse_streamer(member)?;
            match streamer.health {
                Health::Gone => list.remove(&id),
                _ => list.insert(id, streamer),
            };
        }
    }
    Ok((list, last_event, complete))
}

/// Parses one streamer of an event.
fn parse_streamer(member: &Value) -> Result<(u32, StreamerRecord), Fault> {
    let text = |key| member.get(key).and_then(Value::as_str).ok_or(Fault::Field(key));
    let health = match text("phase")? {
        "active" => Health::Ready,
        "leaving" => Health::Draining,
        "left" => Health::Gone,
        _ => return Err(Fault::Field("phase")),
    };
    let streamer = StreamerRecord {
        address: text("host_port")?.parse().map_err(|_| Fault::Field("host_port"))?,
        zone: text("locality")?.to_owned(),
        kind: text("flavor")?.to_owned(),
        cell: member.get("cell").and_then(Value::as_u64).unwrap_or(0) as u32,
        health,
        weight: member.get("size").and_then(Value::as_f64).unwrap_or(1.0),
        started_unix_ms: member.get("up_since_ms").and_then(Value::as_u64).unwrap_or(0),
    };
    Ok((parse_streamer_id(text("id")?).ok_or(Fault::Field("id"))?, streamer))
}

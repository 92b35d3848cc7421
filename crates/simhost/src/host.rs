//! Runs the instances: reads batches of events, passes each instance its events once a round, and writes the
//! decisions as replies.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{anyhow, bail, Context, Result};
use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{Health, Listing, Start, SubscriptionRequest};
use serde_json::Value;

use crate::codec::{read_exactly, Fields, Reply};

/// Bytes of a batch header: record count, length, time and batch number.
const HEADER_BYTES: u64 = 20;
/// Bytes of one streamer in a list.
const ENTRY_BYTES: usize = 24;
/// Number of lists that are held at a time.
const MAX_LISTS: u32 = 16;

/// A decoded event as a call of the method that takes its fields.
type PendingCall = Box<dyn FnOnce(&mut Controller, &mut Reply)>;

/// The instances, the lists they refer to, and the events that wait for the next round.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Controller>,
    lists: BTreeMap<u32, Rc<Vec<u8>>>,
    pending_arrivals: BTreeMap<u32, Vec<PendingCall>>,
}

/// Serves batches until the input ends.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<()> {
    let mut host = Host::default();
    let mut frame_offset = 0;
    while !input.fill_buf()?.is_empty() {
        let header = read_exactly(&mut input, HEADER_BYTES, frame_offset)?;
        let mut fields = Fields::new(&header, frame_offset);
        let (count, length) = (fields.u32()?, u64::from(fields.u32()?));
        let now = Duration::from_micros(fields.u64()?);
        let batch = fields.u32()?;
        if length < HEADER_BYTES {
            bail!("wrong length {length} at byte {}", frame_offset + 4);
        }
        let records = read_exactly(&mut input, length - HEADER_BYTES, frame_offset + HEADER_BYTES)?;
        let mut fields = Fields::new(&records, frame_offset + HEADER_BYTES);
        for _ in 0..count {
            host.record(&mut fields, now).with_context(|| format!("batch {batch}"))?;
        }
        if fields.remaining_bytes() > 0 {
            bail!(
                "wrong record count {count}: {} bytes left over at byte {}",
                fields.remaining_bytes(),
                fields.offset()
            );
        }
        output.write_all(&host.round(now).frame(batch))?;
        output.flush()?;
        frame_offset += length;
    }
    Ok(())
}

impl Host {
    /// Passes each instance the events that wait, and returns all decisions.
    fn round(&mut self, now: Duration) -> Reply {
        let mut reply = Reply::default();
        for (instance, arrivals) in std::mem::take(&mut self.pending_arrivals) {
            reply.instance = instance;
            if let Some(controller) = self.instances.get_mut(&instance) {
                let apply_arrivals = |controller: &mut Controller, reply: &mut Reply| {
                    for arrival in arrivals {
                        arrival(controller, reply);
                    }
                };
                controller.round(now, apply_arrivals, &mut reply);
            }
        }
        reply
    }

    /// Decodes one record: a list, the start or the end of an instance, or an event for one.
    fn record(&mut self, fields: &mut Fields, now: Duration) -> Result<()> {
        let offset = fields.offset();
        let code = fields.u16()?;
        if code == 5 {
            return self.store_list(fields);
        }
        let instance = fields.u32()?;
        if code == 11 {
            return self.create_instance(instance, fields, now);
        }
        if !self.instances.contains_key(&instance) {
            bail!("event {code} for unknown instance {instance} at byte {offset}");
        }
        let arrival: PendingCall = match code {
            1 => {
                self.instances.remove(&instance);
                self.pending_arrivals.remove(&instance);
                return Ok(());
            }
            2 => resumed(fields)?,
            3 => progress(fields)?,
            4 => {
                let token = fields.u64()?;
                Box::new(move |c, _| c.timer_fired(token))
            }
            6 => request(fields)?,
            7 => outcome(fields)?,
            8 => {
                let job = fields.u32()?;
                Box::new(move |c, _| c.expired(job))
            }
            9 => {
                let (job, join, streamer) = (fields.u32()?, fields.u16()?, fields.streamer()?);
                let latency = fields.duration()?;
                Box::new(move |c, _| c.join_served(job, join, streamer, latency))
            }
            10 => {
                let (streamer, ending) = (fields.streamer()?, fields.ending()?);
                let (latency, usage) = (fields.duration()?, fields.load_report()?);
                Box::new(move |c, _| c.probe_result(streamer, ending, latency, &usage))
            }
            12 => {
                let (peer, count) = (fields.u32()?, fields.u16()?);
                let bytes = fields.bytes(count.into())?.to_vec();
                Box::new(move |c, _| c.receive_load_reports(peer, &bytes))
            }
            13 => self.apply_list(fields)?,
            _ => bail!("unknown event {code} at byte {offset}"),
        };
        self.pending_arrivals.entry(instance).or_default().push(arrival);
        Ok(())
    }

    /// Creates a controller from a record with its seed and its settings as JSON.
    fn create_instance(&mut self, instance: u32, fields: &mut Fields, now: Duration) -> Result<()> {
        let seed = fields.u64()?;
        let count = fields.u32()? as usize;
        let offset = fields.offset();
        let text = fields.bytes(count)?;
        let options: Value = serde_json::from_slice(text)
            .map_err(|error| anyhow!("settings are not valid JSON at byte {offset}: {error}"))?;
        let Value::Object(options) = options else {
            bail!("settings are not a JSON object at byte {offset}");
        };
        if self.instances.contains_key(&instance) {
            bail!("instance {instance} is created twice at byte {offset}");
        }
        self.instances.insert(instance, Controller::new(now, seed, options));
        self.pending_arrivals.insert(instance, Vec::new());
        Ok(())
    }

    /// Checks and stores a list, to which later records refer by its number.
    fn store_list(&mut self, fields: &mut Fields) -> Result<()> {
        let offset = fields.offset();
        let (list_number, count) = (fields.u32()?, fields.u32()? as usize);
        if list_number >= MAX_LISTS {
            bail!("list number {list_number} out of range at byte {offset}");
        }
        let bytes = fields.bytes(count.saturating_mul(ENTRY_BYTES))?;
        let mut entries = Fields::new(bytes, fields.offset() - bytes.len() as u64);
        for _ in 0..count {
            entries.bytes(11)?;
            let offset = entries.offset();
            health(entries.u8()?).ok_or_else(|| anyhow!("unknown health at byte {offset}"))?;
            entries.bytes(12)?;
        }
        self.lists.insert(list_number, Rc::new(bytes.to_vec()));
        Ok(())
    }

    /// Decodes a `Sync`, which passes a stored list to an instance.
    fn apply_list(&mut self, fields: &mut Fields) -> Result<PendingCall> {
        let offset = fields.offset();
        let kind = match fields.u8()? {
            0 => Listing::Changes,
            1 => Listing::Complete,
            2 => Listing::Cached,
            3 => Listing::Failed,
            other => bail!("unknown kind of Sync {other} at byte {offset}"),
        };
        let (_revision, list_number) = (fields.u64()?, fields.u32()?);
        let list = match kind {
            Listing::Failed => Rc::default(),
            _ => self
                .lists
                .get(&list_number)
                .cloned()
                .ok_or_else(|| anyhow!("list {list_number} never sent, at byte {offset}"))?,
        };
        Ok(Box::new(move |c, _| {
            c.list_begins(kind);
            // The entries were checked when the list was received.
            let _ = list.chunks_exact(ENTRY_BYTES).try_for_each(|entry| list_entry(c, entry));
            c.list_ends(kind);
        }))
    }
}

/// The health that a code of the wire stands for.
fn health(code: u8) -> Option<Health> {
    Some(match code {
        0 => Health::Gone,
        1 => Health::Ready,
        2 => Health::Draining,
        _ => return None,
    })
}

/// Passes one entry of a list to an instance.
fn list_entry(controller: &mut Controller, entry: &[u8]) -> Result<()> {
    let mut fields = Fields::new(entry, 0);
    let streamer = fields.streamer()?;
    let (zone, kind, cell) = (fields.u16()?, fields.u8()?, fields.u16()?);
    let health = health(fields.u8()?).context("unknown health")?;
    let weight = fields.f32()?.into();
    let micros = fields.u64()?;
    let start = Start { at: Duration::from_micros(micros), number: micros };
    controller.list_entry(streamer, zone, kind.into(), cell.into(), health, weight, start);
    Ok(())
}

/// The duration hint of a request, which counts if bit 0 of the flags is set. (Bit 3 marks a moved
/// subscription.)
fn duration_hint(flags: u8, hint: Duration) -> Option<Duration> {
    (flags & 1 != 0 && !hint.is_zero()).then_some(hint)
}

fn request(fields: &mut Fields) -> Result<PendingCall> {
    let job = fields.u32()?;
    let (title, client_timeout, first_cell) = (fields.u64()?, fields.duration()?, fields.count()?);
    let (room_type, path_key, flags) = (fields.u8()?.into(), fields.u64()?, fields.u8()?);
    let (copies, _tenant, hint) = (fields.count()?, fields.u32()?, fields.duration()?);
    let max_rung = fields.count()?.min(255) as u8;
    let (duration_hint, moved) = (duration_hint(flags, hint), flags & 8 != 0);
    let request = SubscriptionRequest {
        title,
        path_key,
        room_type,
        client_timeout,
        first_cell,
        copies,
        max_rung,
        duration_hint,
        moved,
    };
    Ok(Box::new(move |c, _| c.request(job, request)))
}

fn resumed(fields: &mut Fields) -> Result<PendingCall> {
    let job = fields.u32()?;
    let (room_type, _tenant) = (fields.u8()?.into(), fields.u32()?);
    let (path_key, title, client_timeout) = (fields.u64()?, fields.u64()?, fields.duration()?);
    let (hint, first_cell, copies) = (fields.duration()?, fields.count()?, fields.count()?);
    let (max_rung, flags) = (fields.count()?.min(255) as u8, fields.u8()?);
    let streamer = fields.streamer()?;
    let (duration_hint, moved) = (duration_hint(flags, hint), flags & 8 != 0);
    let request = SubscriptionRequest {
        title,
        path_key,
        room_type,
        client_timeout,
        first_cell,
        copies,
        max_rung,
        duration_hint,
        moved,
    };
    Ok(Box::new(move |c, _| c.resumed(job, request, streamer)))
}

fn progress(fields: &mut Fields) -> Result<PendingCall> {
    let (job, _join, streamer) = (fields.u32()?, fields.u16()?, fields.streamer()?);
    let (kind, value) = (fields.u8()?, fields.f32()?.into());
    Ok(Box::new(move |c, _| c.progress(job, streamer, kind, value)))
}

fn outcome(fields: &mut Fields) -> Result<PendingCall> {
    let (job, streamer, join) = (fields.u32()?, fields.streamer()?, fields.u16()?);
    let (ending, over) = (fields.ending()?, fields.u8()? != 0);
    let (latency, usage) = (fields.duration()?, fields.load_report()?);
    Ok(Box::new(move |c, _| c.outcome(job, streamer, join, ending, over, latency, &usage)))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frame(count: u32, records: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::new();
        bytes.extend(count.to_be_bytes());
        bytes.extend((20 + records.len() as u32).to_be_bytes());
        bytes.extend(5u64.to_be_bytes());
        bytes.extend(1u32.to_be_bytes());
        bytes.extend(records);
        bytes
    }

    fn create_instance_record(options: &str) -> Vec<u8> {
        let mut bytes = vec![0, 11, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 7];
        bytes.extend((options.len() as u32).to_be_bytes());
        bytes.extend(options.as_bytes());
        bytes
    }

    fn error_of(input: &[u8]) -> String {
        format!("{:#}", serve(input, Vec::new()).expect_err("malformed input is an error"))
    }

    #[test]
    fn empty_batch_gets_empty_reply() {
        let mut output = Vec::new();
        serve(&frame(0, &[])[..], &mut output).unwrap();
        assert_eq!(output, [0, 0, 0, 0, 0, 0, 0, 12, 0, 0, 0, 1]);
    }

    #[test]
    fn malformed_input_is_reported_with_its_offset() {
        let whole = frame(1, &create_instance_record("{}"));
        assert!(error_of(&whole[..whole.len() - 1]).contains("truncated frame at byte"));
        assert!(error_of(&frame(1, &[0, 4, 0])).contains("truncated record at byte 22"));
        assert!(error_of(&frame(0, &[0, 4])).contains("2 bytes left over at byte 20"));
        assert!(error_of(&frame(1, &create_instance_record("[]"))).contains("not a JSON object at byte 38"));
        assert!(error_of(&frame(1, &create_instance_record("{"))).contains("not valid JSON at byte 38"));
        let unknown = [create_instance_record("{}"), vec![0, 99, 0, 0, 0, 3]].concat();
        assert!(error_of(&frame(2, &unknown)).contains("unknown event 99 at byte 40"));
        assert!(error_of(&frame(1, &[0, 4, 0, 0, 0, 9])).contains("unknown instance 9 at byte 20"));
        let removed_twice =
            [create_instance_record("{}"), vec![0, 1, 0, 0, 0, 3], vec![0, 1, 0, 0, 0, 3]].concat();
        assert!(error_of(&frame(3, &removed_twice)).contains("unknown instance 3"));
        let sync =
            [create_instance_record("{}"), vec![0, 13, 0, 0, 0, 3, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 2]]
                .concat();
        assert!(error_of(&frame(2, &sync)).contains("list 2 never sent"));
        assert!(error_of(&frame(1, &[0, 5, 0, 0, 0, 1, 255, 255, 255, 255])).contains("bytes wanted"));
        assert!(error_of(&[0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0])
            .contains("wrong length 3"));
    }

    #[test]
    fn instance_may_be_removed_and_created_again_in_one_batch() {
        let again =
            [create_instance_record("{}"), vec![0, 1, 0, 0, 0, 3], create_instance_record("{}")].concat();
        serve(&frame(3, &again)[..], Vec::new()).unwrap();
    }
}

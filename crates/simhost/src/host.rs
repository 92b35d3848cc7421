//! Reads batches, hands each instance its events once a round, writes the replies.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::rc::Rc;
use std::time::Duration;

use anyhow::{anyhow, bail, Context, Result};
use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{Asked, Health, Listing, Start};
use serde_json::Value;

use crate::codec::{read_exactly, Fields, Reply};

const HEADER: u64 = 20;
const ENTRY: usize = 24;
const LISTS: u32 = 16;

/// One record, decoded, on its way into the call that takes its fields.
type Arrival = Box<dyn FnOnce(&mut Controller, &mut Reply)>;

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Controller>,
    lists: BTreeMap<u32, Rc<Vec<u8>>>,
    waiting: BTreeMap<u32, Vec<Arrival>>,
}

/// Serves batches until the input ends.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<()> {
    let mut host = Host::default();
    let mut base = 0;
    while !input.fill_buf()?.is_empty() {
        let header = read_exactly(&mut input, HEADER, base)?;
        let mut fields = Fields::new(&header, base);
        let (count, length) = (fields.u32()?, u64::from(fields.u32()?));
        let now = Duration::from_micros(fields.u64()?);
        let batch = fields.u32()?;
        if length < HEADER {
            bail!("wrong length {length} at byte {}", base + 4);
        }
        let records = read_exactly(&mut input, length - HEADER, base + HEADER)?;
        let mut fields = Fields::new(&records, base + HEADER);
        for _ in 0..count {
            host.record(&mut fields, now).with_context(|| format!("batch {batch}"))?;
        }
        if fields.left() > 0 {
            bail!("wrong record count {count}: {} bytes left over at byte {}", fields.left(), fields.at());
        }
        output.write_all(&host.round(now).frame(batch))?;
        output.flush()?;
        base += length;
    }
    Ok(())
}

impl Host {
    fn round(&mut self, now: Duration) -> Reply {
        let mut reply = Reply::default();
        for (who, arrivals) in std::mem::take(&mut self.waiting) {
            reply.who = who;
            if let Some(controller) = self.instances.get_mut(&who) {
                let feed = |controller: &mut Controller, reply: &mut Reply| {
                    for arrival in arrivals {
                        arrival(controller, reply);
                    }
                };
                controller.round(now, feed, &mut reply);
            }
        }
        reply
    }

    fn record(&mut self, fields: &mut Fields, now: Duration) -> Result<()> {
        let at = fields.at();
        let code = fields.u16()?;
        if code == 5 {
            return self.list(fields);
        }
        let who = fields.u32()?;
        if code == 11 {
            return self.born(who, fields, now);
        }
        if !self.instances.contains_key(&who) {
            bail!("event {code} for unknown instance {who} at byte {at}");
        }
        let arrival: Arrival = match code {
            1 => {
                self.instances.remove(&who);
                self.waiting.remove(&who);
                return Ok(());
            }
            2 => resumed(fields)?,
            3 => progress(fields)?,
            4 => {
                let token = fields.u64()?;
                Box::new(move |c, _| c.fired(token))
            }
            6 => request(fields)?,
            7 => outcome(fields)?,
            8 => {
                let job = fields.u32()?;
                Box::new(move |c, _| c.expired(job))
            }
            9 => {
                let (job, join, streamer) = (fields.u32()?, fields.u16()?, fields.streamer()?);
                let latency = fields.micros()?;
                Box::new(move |c, _| c.flowing(job, join, streamer, latency))
            }
            10 => {
                let (streamer, ending) = (fields.streamer()?, fields.ending()?);
                let (latency, usage) = (fields.micros()?, fields.load_report()?);
                Box::new(move |c, _| c.echo(streamer, ending, latency, &usage))
            }
            12 => {
                let (peer, count) = (fields.u32()?, fields.u16()?);
                let bytes = fields.bytes(count.into())?.to_vec();
                Box::new(move |c, _| c.peer(peer, &bytes))
            }
            13 => self.sync(fields)?,
            _ => bail!("unknown event {code} at byte {at}"),
        };
        self.waiting.entry(who).or_default().push(arrival);
        Ok(())
    }

    fn born(&mut self, who: u32, fields: &mut Fields, now: Duration) -> Result<()> {
        let seed = fields.u64()?;
        let count = fields.u32()? as usize;
        let at = fields.at();
        let text = fields.bytes(count)?;
        let options: Value =
            serde_json::from_slice(text).map_err(|e| anyhow!("settings are no JSON at byte {at}: {e}"))?;
        let Value::Object(options) = options else {
            bail!("settings are not a JSON object at byte {at}");
        };
        if self.instances.contains_key(&who) {
            bail!("instance {who} is born twice at byte {at}");
        }
        self.instances.insert(who, Controller::new(now, seed, options));
        self.waiting.insert(who, Vec::new());
        Ok(())
    }

    fn list(&mut self, fields: &mut Fields) -> Result<()> {
        let at = fields.at();
        let (sheet, count) = (fields.u32()?, fields.u32()? as usize);
        if sheet >= LISTS {
            bail!("list number {sheet} out of range at byte {at}");
        }
        let bytes = fields.bytes(count.saturating_mul(ENTRY))?;
        let mut entries = Fields::new(bytes, fields.at() - bytes.len() as u64);
        for _ in 0..count {
            entries.bytes(11)?;
            let at = entries.at();
            health(entries.u8()?).ok_or_else(|| anyhow!("unknown health at byte {at}"))?;
            entries.bytes(12)?;
        }
        self.lists.insert(sheet, Rc::new(bytes.to_vec()));
        Ok(())
    }

    fn sync(&mut self, fields: &mut Fields) -> Result<Arrival> {
        let at = fields.at();
        let how = match fields.u8()? {
            0 => Listing::Changes,
            1 => Listing::Complete,
            2 => Listing::Cached,
            3 => Listing::Failed,
            other => bail!("unknown kind of Sync {other} at byte {at}"),
        };
        let (_revision, sheet) = (fields.u64()?, fields.u32()?);
        let list = match how {
            Listing::Failed => Rc::default(),
            _ => self
                .lists
                .get(&sheet)
                .cloned()
                .ok_or_else(|| anyhow!("list {sheet} never sent, at byte {at}"))?,
        };
        Ok(Box::new(move |c, _| {
            c.list_begins(how);
            // The entries were checked when the list came.
            let _ = list.chunks_exact(ENTRY).try_for_each(|entry| list_entry(c, entry));
            c.list_ends(how);
        }))
    }
}

fn health(code: u8) -> Option<Health> {
    Some(match code {
        0 => Health::Gone,
        1 => Health::Ready,
        2 => Health::Draining,
        _ => return None,
    })
}

fn list_entry(controller: &mut Controller, entry: &[u8]) -> Result<()> {
    let mut fields = Fields::new(entry, 0);
    let streamer = fields.streamer()?;
    let (zone, kind, cell) = (fields.u16()?, fields.u8()?, fields.u16()?);
    let health = health(fields.u8()?).context("unknown health")?;
    let weight = fields.f32()?.into();
    let micros = fields.u64()?;
    let came_up = Start { at: Duration::from_micros(micros), number: micros };
    controller.list_entry(streamer, zone, kind.into(), cell.into(), health, weight, came_up);
    Ok(())
}

fn hinted(bits: u8, effort: Duration) -> Option<Duration> {
    (bits & 1 != 0 && !effort.is_zero()).then_some(effort)
}

fn request(fields: &mut Fields) -> Result<Arrival> {
    let job = fields.u32()?;
    let (title, client_timeout, first_cell) = (fields.u64()?, fields.micros()?, fields.count()?);
    let (room_type, path_key, bits) = (fields.u8()?.into(), fields.u64()?, fields.u8()?);
    let (copies, _tenant, effort) = (fields.count()?, fields.u32()?, fields.micros()?);
    let max_rung = fields.count()?.min(255) as u8;
    let (hinted, moved) = (hinted(bits, effort), bits & 8 != 0);
    let asked =
        Asked { title, path_key, room_type, client_timeout, first_cell, copies, max_rung, hinted, moved };
    Ok(Box::new(move |c, _| c.request(job, asked)))
}

fn resumed(fields: &mut Fields) -> Result<Arrival> {
    let job = fields.u32()?;
    let (room_type, _tenant) = (fields.u8()?.into(), fields.u32()?);
    let (path_key, title, client_timeout) = (fields.u64()?, fields.u64()?, fields.micros()?);
    let (effort, first_cell, copies) = (fields.micros()?, fields.count()?, fields.count()?);
    let (max_rung, bits) = (fields.count()?.min(255) as u8, fields.u8()?);
    let streamer = fields.streamer()?;
    let (hinted, moved) = (hinted(bits, effort), bits & 8 != 0);
    let asked =
        Asked { title, path_key, room_type, client_timeout, first_cell, copies, max_rung, hinted, moved };
    Ok(Box::new(move |c, _| c.resumed(job, asked, streamer)))
}

fn progress(fields: &mut Fields) -> Result<Arrival> {
    let (job, _join, streamer) = (fields.u32()?, fields.u16()?, fields.streamer()?);
    let (kind, value) = (fields.u8()?, fields.f32()?.into());
    Ok(Box::new(move |c, _| c.progress(job, streamer, kind, value)))
}

fn outcome(fields: &mut Fields) -> Result<Arrival> {
    let (job, streamer, join) = (fields.u32()?, fields.streamer()?, fields.u16()?);
    let (ending, over) = (fields.ending()?, fields.u8()? != 0);
    let (latency, usage) = (fields.micros()?, fields.load_report()?);
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

    fn born(options: &str) -> Vec<u8> {
        let mut bytes = vec![0, 11, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 7];
        bytes.extend((options.len() as u32).to_be_bytes());
        bytes.extend(options.as_bytes());
        bytes
    }

    fn fault(input: &[u8]) -> String {
        format!("{:#}", serve(input, Vec::new()).expect_err("malformed input is a fault"))
    }

    #[test]
    fn an_empty_batch_gets_an_empty_reply() {
        let mut output = Vec::new();
        serve(&frame(0, &[])[..], &mut output).unwrap();
        assert_eq!(output, [0, 0, 0, 0, 0, 0, 0, 12, 0, 0, 0, 1]);
    }

    #[test]
    fn malformed_input_is_told_plainly_with_its_byte() {
        let whole = frame(1, &born("{}"));
        assert!(fault(&whole[..whole.len() - 1]).contains("truncated frame at byte"));
        assert!(fault(&frame(1, &[0, 4, 0])).contains("truncated record at byte 22"));
        assert!(fault(&frame(0, &[0, 4])).contains("2 bytes left over at byte 20"));
        assert!(fault(&frame(1, &born("[]"))).contains("not a JSON object at byte 38"));
        assert!(fault(&frame(1, &born("{"))).contains("no JSON at byte 38"));
        let unknown = [born("{}"), vec![0, 99, 0, 0, 0, 3]].concat();
        assert!(fault(&frame(2, &unknown)).contains("unknown event 99 at byte 40"));
        assert!(fault(&frame(1, &[0, 4, 0, 0, 0, 9])).contains("unknown instance 9 at byte 20"));
        let killed = [born("{}"), vec![0, 1, 0, 0, 0, 3], vec![0, 1, 0, 0, 0, 3]].concat();
        assert!(fault(&frame(3, &killed)).contains("unknown instance 3"));
        let sync = [born("{}"), vec![0, 13, 0, 0, 0, 3, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 2]].concat();
        assert!(fault(&frame(2, &sync)).contains("list 2 never sent"));
        assert!(fault(&frame(1, &[0, 5, 0, 0, 0, 1, 255, 255, 255, 255])).contains("bytes wanted"));
        assert!(
            fault(&[0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]).contains("wrong length 3")
        );
    }

    #[test]
    fn an_instance_may_be_killed_and_born_again_in_one_batch() {
        let again = [born("{}"), vec![0, 1, 0, 0, 0, 3], born("{}")].concat();
        serve(&frame(3, &again)[..], Vec::new()).unwrap();
    }
}

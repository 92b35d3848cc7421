//! The frames of the simulator's wire: a reader of fields that knows their offset in the input, and a writer
//! of replies.

use std::io::{Cursor, Read};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use anyhow::{anyhow, bail, Result};
use badgerledge_core::interface::{DecisionSink, Ending, JobId, StreamerId};
use byteorder::{ReadBytesExt, WriteBytesExt, BE};

/// Reads fields from one frame; `frame_offset` is where the frame begins in the input.
pub struct Fields<'a> {
    bytes: Cursor<&'a [u8]>,
    frame_offset: u64,
}

macro_rules! number_reader {
    ($name:ident, $type:ty, $read_number:expr) => {
        pub fn $name(&mut self) -> Result<$type> {
            let offset = self.offset();
            let read_number: fn(&mut Cursor<&'a [u8]>) -> std::io::Result<$type> = $read_number;
            read_number(&mut self.bytes).map_err(|_| anyhow!("truncated record at byte {offset}"))
        }
    };
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8], frame_offset: u64) -> Self {
        Self { bytes: Cursor::new(bytes), frame_offset }
    }

    /// The offset of the next byte in the input.
    pub fn offset(&self) -> u64 {
        self.frame_offset + self.bytes.position()
    }

    /// How many bytes are left in the frame.
    pub fn remaining_bytes(&self) -> usize {
        self.bytes.get_ref().len() - self.bytes.position() as usize
    }

    number_reader!(u8, u8, |cursor| cursor.read_u8());
    number_reader!(u16, u16, |cursor| cursor.read_u16::<BE>());
    number_reader!(u32, u32, |cursor| cursor.read_u32::<BE>());
    number_reader!(u64, u64, |cursor| cursor.read_u64::<BE>());
    number_reader!(f32, f32, |cursor| cursor.read_f32::<BE>());

    /// A duration that the wire sends in microseconds.
    pub fn duration(&mut self) -> Result<Duration> {
        Ok(Duration::from_micros(self.u32()?.into()))
    }

    /// A number that the wire sends as a float, used as a count.
    pub fn count(&mut self) -> Result<u32> {
        let offset = self.offset();
        let value = self.f32()?;
        if !value.is_finite() || value < 0.0 {
            bail!("not a count at byte {offset}: {value}");
        }
        Ok(value as u32)
    }

    /// The address of a streamer.
    pub fn streamer(&mut self) -> Result<StreamerId> {
        let address = Ipv4Addr::from(self.u32()?);
        Ok(SocketAddrV4::new(address, self.u16()?))
    }

    /// The next `count` bytes.
    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8]> {
        if count > self.remaining_bytes() {
            bail!(
                "truncated record at byte {}: {count} bytes wanted, {} left",
                self.offset(),
                self.remaining_bytes()
            );
        }
        let start = self.bytes.position() as usize;
        self.bytes.set_position((start + count) as u64);
        Ok(&self.bytes.get_ref()[start..start + count])
    }

    /// A load report: a count, then as many numbers.
    pub fn load_report(&mut self) -> Result<Vec<f64>> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32().map(f64::from)).collect()
    }

    /// The code of how a join or probe ended.
    pub fn ending(&mut self) -> Result<Ending> {
        let offset = self.offset();
        Ok(match self.u16()? {
            0 => Ending::Served,
            1 => Ending::Cancelled,
            4 => Ending::Timeout,
            8 => Ending::Full,
            9 => Ending::Moot,
            10 => Ending::Reset,
            13 => Ending::Error,
            14 => Ending::ConnectFailed,
            other => bail!("unknown ending {other} at byte {offset}"),
        })
    }
}

/// Reads exactly `count` bytes without trusting the count for an allocation.
pub fn read_exactly(input: &mut impl Read, count: u64, frame_offset: u64) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    input.take(count).read_to_end(&mut bytes)?;
    if (bytes.len() as u64) < count {
        bail!(
            "truncated frame at byte {}: {count} bytes wanted, {} received",
            frame_offset + bytes.len() as u64,
            bytes.len()
        );
    }
    Ok(bytes)
}

/// A reply that is being written; records are addressed to `instance`.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
    pub instance: u32,
}

impl Reply {
    /// The finished frame.
    pub fn frame(self, batch: u32) -> Vec<u8> {
        let mut frame = Vec::with_capacity(12 + self.records.len());
        for value in [self.count, 12 + self.records.len() as u32, batch] {
            frame.extend(value.to_be_bytes());
        }
        frame.extend(self.records);
        frame
    }

    /// Begins a record for the present instance.
    fn record(&mut self, code: u16) -> &mut Self {
        self.count += 1;
        self.records.extend(code.to_be_bytes());
        self.u32(self.instance)
    }

    fn u8(&mut self, value: u8) -> &mut Self {
        self.records.push(value);
        self
    }

    fn u16(&mut self, value: u16) -> &mut Self {
        self.records.extend(value.to_be_bytes());
        self
    }

    fn u32(&mut self, value: u32) -> &mut Self {
        self.records.extend(value.to_be_bytes());
        self
    }

    fn u64(&mut self, value: u64) -> &mut Self {
        self.records.extend(value.to_be_bytes());
        self
    }

    fn duration(&mut self, duration: Duration) -> &mut Self {
        self.u32(u32::try_from(duration.as_micros()).unwrap_or(u32::MAX))
    }

    fn streamer(&mut self, id: StreamerId) -> &mut Self {
        self.records.extend(id.ip().octets());
        self.u16(id.port())
    }

    /// Writes at most `max_bytes` bytes, preceded by their number.
    fn counted_bytes(&mut self, bytes: &[u8], max_bytes: usize) {
        let bytes = &bytes[..bytes.len().min(max_bytes)];
        let _ = self.records.write_u16::<BE>(bytes.len() as u16);
        self.records.extend(bytes);
    }
}

impl DecisionSink for Reply {
    fn send_join(&mut self, job: JobId, streamer: StreamerId, try_until: Duration) {
        let until = try_until.as_micros() as u64;
        self.record(1).u32(job).streamer(streamer).u64(until);
    }

    fn throttle(&mut self, job: JobId, cool_down: Duration) {
        self.record(2).u32(job).duration(cool_down);
    }

    fn respond_error(&mut self, job: JobId) {
        self.record(3).u32(job);
    }

    fn cancel(&mut self, job: JobId, join: u16) {
        self.record(4).u32(job).u16(join);
    }

    fn set_timer(&mut self, from_now: Duration, token: u64) {
        self.record(5).duration(from_now).u64(token);
    }

    fn send_probe(&mut self, streamer: StreamerId) {
        self.record(6).streamer(streamer);
    }

    fn close_connection(&mut self, streamer: StreamerId) {
        self.record(7).streamer(streamer);
    }

    fn send_to_peers(&mut self, peer: Option<u16>, bytes: &[u8]) {
        self.record(8).u16(peer.unwrap_or(u16::MAX)).counted_bytes(bytes, 256);
    }

    fn log_info(&mut self, line: &str) {
        self.record(9).counted_bytes(line.as_bytes(), u16::MAX.into());
    }

    fn log_error(&mut self, line: &str) {
        self.record(10).counted_bytes(line.as_bytes(), u16::MAX.into());
    }

    fn watch_list(&mut self, want: bool) {
        self.record(11).u8(want.into());
    }

    fn request_full_list(&mut self) {
        self.record(12);
    }

    fn set_rung(&mut self, job: JobId, rung: u8) {
        self.record(13).u32(job).u8(rung);
    }

    fn move_subscription(&mut self, job: JobId) {
        self.record(14).u32(job);
    }
}

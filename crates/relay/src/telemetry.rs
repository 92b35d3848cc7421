//! Metrics, and log lines at a bounded rate.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::{Context, Result};
use badgerledge_distribution::message::{ControlStatus, PartitionStatus};
use metrics::{counter, describe_counter, describe_gauge, gauge, Unit};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use rustix::time::{clock_gettime, ClockId};

pub const REFUSED: &str = "badgerledge_relay_refused_frames_total";
pub const BYTES: &str = "badgerledge_relay_bytes_total";
const CLOSED: &str = "badgerledge_relay_closed_connections_total";
pub const DROPPED: &str = "badgerledge_relay_dropped_messages_total";
pub const GRANTS: &str = "badgerledge_relay_grants_total";
pub const LEASES: &str = "badgerledge_relay_leases_total";
pub const SNAPSHOTS: &str = "badgerledge_relay_snapshots_total";
pub const DELTAS: &str = "badgerledge_relay_deltas_total";
pub const BUSY: &str = "badgerledge_relay_connections_refused_total";
pub const STORE_FAULTS: &str = "badgerledge_relay_store_faults_total";
const STORE_SECONDS: &str = "badgerledge_relay_store_seconds";
const WATCHERS: &str = "badgerledge_relay_watchers";
const CONNECTIONS: &str = "badgerledge_relay_connections";
const PEERS: &str = "badgerledge_relay_peers";
const PREPARED: &str = "badgerledge_relay_prepared";
const CERTIFIED: &str = "badgerledge_relay_certified";
const ACTIVE: &str = "badgerledge_relay_active";
const WAITED_FOR: &str = "badgerledge_relay_waited_for";
const BOUND: &str = "badgerledge_relay_bound_seconds";
const LOG_FLOOR: &str = "badgerledge_relay_log_floor";
const ENTRIES: &str = "badgerledge_relay_entries";
const STATE_BYTES: &str = "badgerledge_relay_state_bytes";
const REGIONAL_LEASES: &str = "badgerledge_relay_regional_leases_total";
const VOUCHES: &str = "badgerledge_relay_vouches";
const EXCLUSIVE_WAITS: &str = "badgerledge_relay_exclusive_waits";
const EXCLUSIVE_WAIT_SECONDS: &str = "badgerledge_relay_exclusive_wait_seconds";
const PROCESSOR: &str = "badgerledge_relay_processor_seconds";

/// Starts the counting, and gives what renders the page.
///
/// # Errors
/// Where something else of this process counts already.
pub fn start() -> Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).context("metrics")?;
    describe_counter!(REFUSED, "Frames refused, by the stream's kind and the reason");
    describe_counter!(BYTES, Unit::Bytes, "Bytes of frames, by the stream's kind and direction");
    describe_counter!(CLOSED, "Connections of watchers and tools closed by this side, by the reason");
    describe_counter!(DROPPED, "Messages that did not go, by the stream's kind");
    describe_counter!(GRANTS, "Grants of leases signed as an acceptor");
    describe_counter!(LEASES, "Leases handed to watchers");
    describe_counter!(SNAPSHOTS, "Snapshots begun for watchers");
    describe_counter!(DELTAS, "Deltas handed to watchers");
    describe_counter!(BUSY, "Connections that were turned away at the bound");
    describe_counter!(STORE_FAULTS, "Times that something could not be stored");
    describe_gauge!(STORE_SECONDS, Unit::Seconds, "The longest that storing took in the last second");
    describe_gauge!(WATCHERS, "Watchers that said hello");
    describe_gauge!(CONNECTIONS, "Connections of watchers and tools");
    describe_gauge!(PEERS, "Control machines that answer");
    describe_gauge!(PREPARED, "Watchers that have prepared the highest certified revision");
    describe_gauge!(CERTIFIED, "The highest certified revision known here");
    describe_gauge!(ACTIVE, "The highest revision that may be acted on");
    describe_gauge!(WAITED_FOR, "Control machines that the agreement waits for");
    describe_gauge!(BOUND, Unit::Seconds, "The bound T on contradicting revisions");
    describe_gauge!(LOG_FLOOR, "The oldest revision from which a delta can be made");
    describe_gauge!(ENTRIES, "Entries of the highest certified state");
    describe_gauge!(STATE_BYTES, Unit::Bytes, "Bytes of the highest certified state");
    describe_counter!(REGIONAL_LEASES, "Leases handed to watchers without a quorum of acceptors");
    describe_gauge!(VOUCHES, "1 while this machine could vouch for what its region acts on");
    describe_gauge!(EXCLUSIVE_WAITS, "Control machines whose relay leases exclusive changes wait for here");
    describe_gauge!(EXCLUSIVE_WAIT_SECONDS, Unit::Seconds, "How long they wait at most");
    describe_gauge!(PROCESSOR, Unit::Seconds, "Processor time of this process");
    Ok(handle)
}

/// Shows what the control machine knows and what the driver holds.
pub fn show(status: &ControlStatus, connections: usize, peers: usize) {
    gauge!(WATCHERS).set(f64::from(status.watchers));
    gauge!(CONNECTIONS).set(connections as f64);
    gauge!(PEERS).set(peers as f64);
    gauge!(PREPARED).set(f64::from(status.prepared));
    gauge!(CERTIFIED).set(f64::from(status.certified));
    gauge!(ACTIVE).set(f64::from(status.active));
    gauge!(WAITED_FOR).set(status.waited_for.len() as f64);
    gauge!(BOUND).set(status.bound_ms as f64 / 1000.0);
    gauge!(LOG_FLOOR).set(f64::from(status.log_floor));
    gauge!(ENTRIES).set(status.entries as f64);
    gauge!(STATE_BYTES).set(status.state_bytes as f64);
    gauge!(PROCESSOR).set(processor_seconds());
}

/// Shows what is known of regions apart.
pub fn show_apart(apart: &PartitionStatus) {
    let longest = apart.waits_ms.iter().map(|(_, left)| *left).max().unwrap_or(0);
    counter!(REGIONAL_LEASES).absolute(apart.regional_leases);
    gauge!(VOUCHES).set(f64::from(u8::from(apart.vouches)));
    gauge!(EXCLUSIVE_WAITS).set(apart.waits_ms.len() as f64);
    gauge!(EXCLUSIVE_WAIT_SECONDS).set(longest as f64 / 1000.0);
}

fn processor_seconds() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// The metrics as the answer to an HTTP request (RFC 9112): the page, and the connection's end.
pub fn page(handle: &PrometheusHandle) -> Vec<u8> {
    handle.run_upkeep();
    let text = handle.render();
    let length = text.len();
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4";
    format!("{head}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{text}").into_bytes()
}

/// Shows how long storing took at most since this was last shown.
pub fn show_stores(longest: Duration) {
    gauge!(STORE_SECONDS).set(longest.as_secs_f64());
}

/// Counts a refused frame.
pub fn count_refused(kind: &'static str, reason: &'static str) {
    counter!(REFUSED, "stream" => kind, "reason" => reason).increment(1);
}

/// Counts a watcher's or tool's connection that this side closed.
pub fn count_closed(reason: &'static str) {
    counter!(CLOSED, "reason" => reason).increment(1);
}

/// Counts bytes of a stream.
pub fn count_bytes(kind: &'static str, direction: &'static str, bytes: usize) {
    counter!(BYTES, "stream" => kind, "direction" => direction).increment(bytes as u64);
}

/// Counts a message that did not go.
pub fn count_dropped(kind: &'static str) {
    counter!(DROPPED, "stream" => kind).increment(1);
}

/// Lines of one kind in one span at most.
const LINES: u32 = 5;
const SPAN: Duration = Duration::from_secs(10);

/// Bounds how often a kind of log line is written: whoever reaches a port must not fill the disk.
#[derive(Debug, Default)]
pub struct LineLimit {
    kinds: BTreeMap<&'static str, Spell>,
}

#[derive(Debug, Default)]
struct Spell {
    until: Duration,
    lines: u32,
    suppressed: u64,
}

impl LineLimit {
    /// Whether a line of this kind is to be written now: with how many were left out since the last one.
    pub fn allows(&mut self, now: Duration, kind: &'static str) -> Option<u64> {
        let spell = self.kinds.entry(kind).or_default();
        if now >= spell.until {
            (spell.until, spell.lines) = (now + SPAN, 0);
        }
        if spell.lines >= LINES {
            spell.suppressed += 1;
            return None;
        }
        spell.lines += 1;
        Some(std::mem::take(&mut spell.suppressed))
    }
}

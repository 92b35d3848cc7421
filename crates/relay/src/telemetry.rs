//! Prometheus metrics, and a rate limit for log lines.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::{Context, Result};
use badgerledge_distribution::message::{ControlStatus, PartitionStatus};
use metrics::{counter, describe_counter, describe_gauge, gauge, Unit};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use rustix::time::{clock_gettime, ClockId};

pub const REFUSED_FRAMES: &str = "badgerledge_relay_refused_frames_total";
pub const STREAM_BYTES: &str = "badgerledge_relay_bytes_total";
const CLOSED_CONNECTIONS: &str = "badgerledge_relay_closed_connections_total";
pub const DROPPED_MESSAGES: &str = "badgerledge_relay_dropped_messages_total";
pub const SIGNED_GRANTS: &str = "badgerledge_relay_grants_total";
pub const SENT_LEASES: &str = "badgerledge_relay_leases_total";
pub const STARTED_SNAPSHOTS: &str = "badgerledge_relay_snapshots_total";
pub const SENT_DELTAS: &str = "badgerledge_relay_deltas_total";
pub const REFUSED_CONNECTIONS: &str = "badgerledge_relay_connections_refused_total";
pub const STORE_FAULTS: &str = "badgerledge_relay_store_faults_total";
const STORE_SECONDS: &str = "badgerledge_relay_store_seconds";
const WATCHERS: &str = "badgerledge_relay_watchers";
const CONNECTIONS: &str = "badgerledge_relay_connections";
const PEERS: &str = "badgerledge_relay_peers";
const PREPARED: &str = "badgerledge_relay_prepared";
const CERTIFIED: &str = "badgerledge_relay_certified";
const ACTIVE: &str = "badgerledge_relay_active";
const WAITED_FOR: &str = "badgerledge_relay_waited_for";
const CONTRADICTION_BOUND_SECONDS: &str = "badgerledge_relay_bound_seconds";
const LOG_FLOOR: &str = "badgerledge_relay_log_floor";
const ENTRIES: &str = "badgerledge_relay_entries";
const STATE_BYTES: &str = "badgerledge_relay_state_bytes";
const REGIONAL_LEASES: &str = "badgerledge_relay_regional_leases_total";
const VOUCHES: &str = "badgerledge_relay_vouches";
const EXCLUSIVE_WAITS: &str = "badgerledge_relay_exclusive_waits";
const EXCLUSIVE_WAIT_SECONDS: &str = "badgerledge_relay_exclusive_wait_seconds";
const PROCESSOR_SECONDS: &str = "badgerledge_relay_processor_seconds";

/// Installs the metrics recorder of this process and returns the handle that renders the metrics.
///
/// # Errors
/// If this process already has a metrics recorder.
pub fn start() -> Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).context("installing the metrics recorder")?;
    describe_counter!(REFUSED_FRAMES, "Frames refused, by the stream's kind and the reason");
    describe_counter!(STREAM_BYTES, Unit::Bytes, "Bytes of frames, by the stream's kind and direction");
    describe_counter!(
        CLOSED_CONNECTIONS,
        "Connections of watchers and tools closed by this side, by the reason"
    );
    describe_counter!(DROPPED_MESSAGES, "Messages dropped instead of sent, by the stream's kind");
    describe_counter!(SIGNED_GRANTS, "Lease grants signed as an acceptor");
    describe_counter!(SENT_LEASES, "Leases sent to watchers");
    describe_counter!(STARTED_SNAPSHOTS, "Snapshot transfers started for watchers");
    describe_counter!(SENT_DELTAS, "Deltas sent to watchers");
    describe_counter!(REFUSED_CONNECTIONS, "Connections refused because a limit was reached");
    describe_counter!(STORE_FAULTS, "Failed writes of durable state");
    describe_gauge!(STORE_SECONDS, Unit::Seconds, "Longest write of durable state in the last second");
    describe_gauge!(WATCHERS, "Watchers that have sent a hello");
    describe_gauge!(CONNECTIONS, "Connections of watchers and tools");
    describe_gauge!(PEERS, "Control machines that answer pings");
    describe_gauge!(PREPARED, "Watchers that have prepared the highest certified revision");
    describe_gauge!(CERTIFIED, "The highest certified revision known here");
    describe_gauge!(ACTIVE, "The highest active revision");
    describe_gauge!(WAITED_FOR, "Control machines that the agreement waits for");
    describe_gauge!(CONTRADICTION_BOUND_SECONDS, Unit::Seconds, "The bound T on contradicting revisions");
    describe_gauge!(LOG_FLOOR, "The oldest revision from which a delta can be made");
    describe_gauge!(ENTRIES, "Entries of the highest certified state");
    describe_gauge!(STATE_BYTES, Unit::Bytes, "Bytes of the highest certified state");
    describe_counter!(REGIONAL_LEASES, "Regional leases sent to watchers, without a quorum of acceptors");
    describe_gauge!(
        VOUCHES,
        "1 while this machine could vouch for the active revision of its region, else 0"
    );
    describe_gauge!(EXCLUSIVE_WAITS, "Control machines whose relay leases exclusive changes wait for here");
    describe_gauge!(
        EXCLUSIVE_WAIT_SECONDS,
        Unit::Seconds,
        "Longest time that exclusive changes still wait for a control machine"
    );
    describe_gauge!(PROCESSOR_SECONDS, Unit::Seconds, "Processor time of this process");
    Ok(handle)
}

/// Updates the gauges of the control machine's status and of open connections.
pub fn update_status(status: &ControlStatus, connections: usize, peers: usize) {
    gauge!(WATCHERS).set(f64::from(status.watchers));
    gauge!(CONNECTIONS).set(connections as f64);
    gauge!(PEERS).set(peers as f64);
    gauge!(PREPARED).set(f64::from(status.prepared));
    gauge!(CERTIFIED).set(f64::from(status.certified));
    gauge!(ACTIVE).set(f64::from(status.active));
    gauge!(WAITED_FOR).set(status.waited_for.len() as f64);
    gauge!(CONTRADICTION_BOUND_SECONDS).set(status.bound_ms as f64 / 1000.0);
    gauge!(LOG_FLOOR).set(f64::from(status.log_floor));
    gauge!(ENTRIES).set(status.entries as f64);
    gauge!(STATE_BYTES).set(status.state_bytes as f64);
    gauge!(PROCESSOR_SECONDS).set(processor_seconds());
}

/// Updates the metrics of regions that are cut off from the acceptors.
pub fn update_partition(partition: &PartitionStatus) {
    let max_wait_ms = partition.waits_ms.iter().map(|(_, remaining_ms)| *remaining_ms).max().unwrap_or(0);
    counter!(REGIONAL_LEASES).absolute(partition.regional_leases);
    gauge!(VOUCHES).set(f64::from(u8::from(partition.vouches)));
    gauge!(EXCLUSIVE_WAITS).set(partition.waits_ms.len() as f64);
    gauge!(EXCLUSIVE_WAIT_SECONDS).set(max_wait_ms as f64 / 1000.0);
}

/// Processor time used by this process, in seconds.
fn processor_seconds() -> f64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Renders the metrics as an HTTP/1.1 response (RFC 9112) that closes the connection.
pub fn metrics_response(handle: &PrometheusHandle) -> Vec<u8> {
    handle.run_upkeep();
    let text = handle.render();
    let length = text.len();
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4";
    format!("{head}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{text}").into_bytes()
}

/// Updates the gauge of the longest write since its last update.
pub fn update_store_time(max_store_time: Duration) {
    gauge!(STORE_SECONDS).set(max_store_time.as_secs_f64());
}

/// Counts a refused frame.
pub fn count_refused_frame(kind: &'static str, reason: &'static str) {
    counter!(REFUSED_FRAMES, "stream" => kind, "reason" => reason).increment(1);
}

/// Counts a watcher's or tool's connection that this side closed.
pub fn count_closed_connection(reason: &'static str) {
    counter!(CLOSED_CONNECTIONS, "reason" => reason).increment(1);
}

/// Counts bytes sent (`out`) or received (`in`) on streams of a kind.
pub fn count_bytes(kind: &'static str, direction: &'static str, bytes: usize) {
    counter!(STREAM_BYTES, "stream" => kind, "direction" => direction).increment(bytes as u64);
}

/// Counts a message that was dropped instead of sent.
pub fn count_dropped_message(kind: &'static str) {
    counter!(DROPPED_MESSAGES, "stream" => kind).increment(1);
}

/// Maximum number of log lines of one kind per [`LOG_WINDOW`].
const MAX_LINES_PER_WINDOW: u32 = 5;
const LOG_WINDOW: Duration = Duration::from_secs(10);

/// Limits the rate of each kind of log line, so that a client that can reach a port cannot fill the disk with logs.
#[derive(Debug, Default)]
pub struct LogLimiter {
    kinds: BTreeMap<&'static str, LogWindow>,
}

#[derive(Debug, Default)]
struct LogWindow {
    ends_at: Duration,
    lines_written: u32,
    /// Lines left out since the last one that was written.
    suppressed: u64,
}

impl LogLimiter {
    /// Whether a line of this kind may be written now. If so, returns how many were suppressed since the last one.
    pub fn allows(&mut self, now: Duration, kind: &'static str) -> Option<u64> {
        let window = self.kinds.entry(kind).or_default();
        if now >= window.ends_at {
            (window.ends_at, window.lines_written) = (now + LOG_WINDOW, 0);
        }
        if window.lines_written >= MAX_LINES_PER_WINDOW {
            window.suppressed += 1;
            return None;
        }
        window.lines_written += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}

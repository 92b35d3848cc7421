//! Metrics: what is counted, and the page that shows it.

use anyhow::{Context, Result};
use metrics::{describe_counter, describe_gauge, describe_histogram, Unit};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

pub const ASKED: &str = "badgerledge_subscriptions_asked_total";
pub const ANSWERS: &str = "badgerledge_answers_total";
pub const ANSWER_TIME: &str = "badgerledge_answer_seconds";
pub const JOINS: &str = "badgerledge_joins_total";
pub const HELD: &str = "badgerledge_subscriptions_held";
pub const PLAYING: &str = "badgerledge_subscriptions_playing";
pub const CONNECTIONS: &str = "badgerledge_connections";
pub const STREAMERS: &str = "badgerledge_streamers_listed";
pub const MEDIA_BYTES: &str = "badgerledge_media_bytes_total";
pub const MEDIA_PACKETS: &str = "badgerledge_media_packets_total";
pub const LOST_PACKETS: &str = "badgerledge_media_packets_lost_total";
pub const FAULTS: &str = "badgerledge_input_faults_total";
pub const MOVES: &str = "badgerledge_moves_total";
pub const SYSTEM_CALLS: &str = "badgerledge_system_calls_total";
pub const COPIED_BYTES: &str = "badgerledge_copied_bytes_total";
pub const CROSSED_BYTES: &str = "badgerledge_crossed_bytes_total";
pub const CROSSED_RATE: &str = "badgerledge_crossed_bytes_per_second";
pub const CROSSED_SECONDS: &str = "badgerledge_crossed_subscription_seconds_total";
pub const CROSSED_SET_UPS: &str = "badgerledge_crossed_set_ups_total";
pub const MEMBERS: &str = "badgerledge_members";
pub const GOSSIP_SENT: &str = "badgerledge_gossip_datagrams_total";
pub const GOSSIP_SENT_BYTES: &str = "badgerledge_gossip_bytes_total";
pub const GOSSIP_HELD_BACK: &str = "badgerledge_gossip_held_back_total";
pub const GOSSIP_DROPPED: &str = "badgerledge_gossip_dropped_total";
pub const GOSSIP_CHECKED: &str = "badgerledge_gossip_signatures_checked_total";
pub const GOSSIP_REFUTATIONS: &str = "badgerledge_gossip_refutations_total";
pub const GOSSIP_HEALTH: &str = "badgerledge_gossip_health";
pub const BELIEVED: &str = "badgerledge_hearsay_believed_total";
pub const REVISION_ACTIVE: &str = "badgerledge_revision_active";
pub const REVISION_CERTIFIED: &str = "badgerledge_revision_certified";
pub const REVISION_HELD: &str = "badgerledge_revision_held";
pub const REVISION_BOUND: &str = "badgerledge_revision_bound_seconds";
pub const REVISION_WAITED_FOR: &str = "badgerledge_revision_waited_for";
pub const REVISIONS_REFUSED: &str = "badgerledge_revisions_refused_total";
pub const DISTRIBUTION_RELAY: &str = "badgerledge_distribution_relay";
pub const DISTRIBUTION_LEASE: &str = "badgerledge_distribution_lease_seconds";
pub const DISTRIBUTION_REGIONAL: &str = "badgerledge_distribution_regional";
pub const DISTRIBUTION_RELAYS_REFUSED: &str = "badgerledge_distribution_relays_refused_total";
pub const DISTRIBUTION_SENT_BYTES: &str = "badgerledge_distribution_sent_bytes_total";
pub const DISTRIBUTION_RECEIVED_BYTES: &str = "badgerledge_distribution_received_bytes_total";
pub const SAID_OFF: &str = "badgerledge_streamers_said_off_total";
pub const MOVED_ON: &str = "badgerledge_moved_on_total";
pub const TO_MOVE_ON: &str = "badgerledge_to_move_on";
pub const ROUND_TIME: &str = "badgerledge_round_seconds";

/// Starts the counting, and gives what renders the page.
pub fn start() -> Result<PrometheusHandle> {
    let buckets = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];
    let recorder = PrometheusBuilder::new().set_buckets(&buckets).context("metrics")?.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).context("metrics")?;
    describe_counter!(ASKED, "Requests for a subscription");
    describe_counter!(ANSWERS, "Final answers, by kind: plays, throttled, terminated");
    describe_histogram!(ANSWER_TIME, Unit::Seconds, "From a SETUP to its answer that it plays");
    describe_counter!(JOINS, "Joins sent to streamers");
    describe_gauge!(HELD, "Subscriptions taken and not over");
    describe_gauge!(PLAYING, "Subscriptions that play");
    describe_gauge!(CONNECTIONS, "Connections held, of viewers and to streamers");
    describe_gauge!(STREAMERS, "Streamers on the list, gone ones not counted");
    describe_counter!(MEDIA_BYTES, Unit::Bytes, "Media relayed to viewers");
    describe_counter!(MEDIA_PACKETS, "Media packets relayed to viewers");
    describe_counter!(LOST_PACKETS, "Media packets dropped before a viewer that reads too slowly");
    describe_counter!(FAULTS, "Input that could not be understood or went over a bound");
    describe_counter!(MOVES, "Subscriptions sent back to be placed elsewhere");
    describe_gauge!(CROSSED_RATE, "Bytes a second from streamers now, by buildings and room type");
    describe_counter!(CROSSED_BYTES, Unit::Bytes, "Bytes from streamers, by buildings and room type");
    describe_counter!(CROSSED_SECONDS, Unit::Seconds, "Time played, by buildings and room type");
    describe_counter!(CROSSED_SET_UPS, "Set-ups sent, by buildings and room type");
    describe_gauge!(REVISION_ACTIVE, "The revision that is acted on; 0 is the file");
    describe_gauge!(REVISION_CERTIFIED, "The highest revision known to be certified");
    describe_gauge!(REVISION_HELD, "1 while new joins are held back for want of a lease or a text");
    describe_gauge!(REVISION_BOUND, Unit::Seconds, "How long two may act on contradicting revisions at most");
    describe_gauge!(REVISION_WAITED_FOR, "Members that have not said to have the certified revision");
    describe_gauge!(
        DISTRIBUTION_RELAY,
        "The control machine that serves this controller; -1 while none does"
    );
    describe_gauge!(DISTRIBUTION_LEASE, Unit::Seconds, "How long the present lease still lasts");
    describe_gauge!(
        DISTRIBUTION_REGIONAL,
        "1 while the lease rests on control machines that vouch, without a quorum of acceptors"
    );
    describe_counter!(DISTRIBUTION_RELAYS_REFUSED, "Times that a relay was left for what it said");
    describe_counter!(DISTRIBUTION_SENT_BYTES, Unit::Bytes, "Bytes of frames to relays");
    describe_counter!(DISTRIBUTION_RECEIVED_BYTES, Unit::Bytes, "Bytes of frames from relays");
    describe_counter!(
        SAID_OFF,
        "Streamers that others said to be off their lists before this one's list did"
    );
    describe_counter!(MOVED_ON, "Subscriptions whose time came to leave where their title lies no more");
    describe_gauge!(TO_MOVE_ON, "Subscriptions that are still to leave so");
    describe_counter!(REVISIONS_REFUSED, "Revisions, texts and orders that were refused");
    describe_gauge!(MEMBERS, "Other controllers and this one, by how they stand here");
    describe_counter!(GOSSIP_SENT, "Gossip datagrams sent");
    describe_counter!(GOSSIP_SENT_BYTES, Unit::Bytes, "Payload of gossip datagrams sent");
    describe_counter!(GOSSIP_HELD_BACK, "Gossip datagrams that did not go, for the ceiling");
    describe_counter!(GOSSIP_DROPPED, "Gossip datagrams and statements dropped, by why");
    describe_counter!(GOSSIP_CHECKED, "Signatures checked");
    describe_counter!(GOSSIP_REFUTATIONS, "Times that this controller said against others that it is alive");
    describe_gauge!(GOSSIP_HEALTH, "How little this controller trusts its own view: 0 is well, 8 the worst");
    describe_counter!(BELIEVED, "Times that a streamer was set aside by what others said");
    describe_counter!(SYSTEM_CALLS, "System calls of the event loop");
    describe_counter!(COPIED_BYTES, Unit::Bytes, "Bytes copied between buffers of this process");
    describe_histogram!(
        ROUND_TIME,
        Unit::Seconds,
        "A round of the module with the carrying out of its decisions"
    );
    Ok(handle)
}

/// The metrics, as an answer.
pub fn page(handle: &PrometheusHandle) -> Vec<u8> {
    handle.run_upkeep();
    answer("text/plain; version=0.0.4", &handle.render())
}

/// The answer to a request at the metrics address (RFC 9112): the page, and the connection's end.
pub fn answer(kind: &str, text: &str) -> Vec<u8> {
    let length = text.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{text}"
    )
    .into_bytes()
}

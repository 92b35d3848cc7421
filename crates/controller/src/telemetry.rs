//! Metrics: their names and descriptions, and the page that exports them.

use anyhow::{Context, Result};
use metrics::{describe_counter, describe_gauge, describe_histogram, Unit};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

pub const SUBSCRIPTIONS_REQUESTED: &str = "badgerledge_subscriptions_asked_total";
pub const ANSWERS: &str = "badgerledge_answers_total";
pub const ANSWER_TIME: &str = "badgerledge_answer_seconds";
pub const JOINS: &str = "badgerledge_joins_total";
pub const SUBSCRIPTIONS_HELD: &str = "badgerledge_subscriptions_held";
pub const SUBSCRIPTIONS_PLAYING: &str = "badgerledge_subscriptions_playing";
pub const CONNECTIONS: &str = "badgerledge_connections";
pub const STREAMERS_LISTED: &str = "badgerledge_streamers_listed";
pub const MEDIA_BYTES: &str = "badgerledge_media_bytes_total";
pub const MEDIA_PACKETS: &str = "badgerledge_media_packets_total";
pub const LOST_PACKETS: &str = "badgerledge_media_packets_lost_total";
pub const INPUT_FAULTS: &str = "badgerledge_input_faults_total";
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
pub const PEER_REPORTS_BELIEVED: &str = "badgerledge_hearsay_believed_total";
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
pub const STREAMERS_REPORTED_OFF_LIST: &str = "badgerledge_streamers_said_off_total";
pub const SUBSCRIPTIONS_RELOCATED: &str = "badgerledge_moved_on_total";
pub const RELOCATIONS_PENDING: &str = "badgerledge_to_move_on";
pub const ROUND_TIME: &str = "badgerledge_round_seconds";

/// Installs the metrics recorder and returns the handle that renders the page.
pub fn install_recorder() -> Result<PrometheusHandle> {
    let buckets = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];
    let recorder = PrometheusBuilder::new().set_buckets(&buckets).context("metrics")?.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).context("metrics")?;
    describe_counter!(SUBSCRIPTIONS_REQUESTED, "Subscription requests");
    describe_counter!(ANSWERS, "Final answers, by kind: plays, throttled, terminated");
    describe_histogram!(ANSWER_TIME, Unit::Seconds, "Time from a SETUP to the answer that grants it");
    describe_counter!(JOINS, "Joins sent to streamers");
    describe_gauge!(SUBSCRIPTIONS_HELD, "Subscriptions accepted and not ended");
    describe_gauge!(SUBSCRIPTIONS_PLAYING, "Subscriptions that play");
    describe_gauge!(CONNECTIONS, "Open connections, from viewers and to streamers");
    describe_gauge!(STREAMERS_LISTED, "Streamers on the list, without those that were removed");
    describe_counter!(MEDIA_BYTES, Unit::Bytes, "Media relayed to viewers");
    describe_counter!(MEDIA_PACKETS, "Media packets relayed to viewers");
    describe_counter!(LOST_PACKETS, "Media packets dropped because a viewer reads too slowly");
    describe_counter!(INPUT_FAULTS, "Input that was invalid or exceeded a limit");
    describe_counter!(MOVES, "Subscriptions redirected to be placed on another streamer");
    describe_gauge!(CROSSED_RATE, "Bytes per second from streamers, by zones and room type");
    describe_counter!(CROSSED_BYTES, Unit::Bytes, "Bytes from streamers, by zones and room type");
    describe_counter!(CROSSED_SECONDS, Unit::Seconds, "Time played, by zones and room type");
    describe_counter!(CROSSED_SET_UPS, "SETUPs sent, by zones and room type");
    describe_gauge!(REVISION_ACTIVE, "The active revision; 0 is the settings file");
    describe_gauge!(REVISION_CERTIFIED, "The highest revision known to be certified");
    describe_gauge!(REVISION_HELD, "1 while new joins are held back because a lease or a text is missing");
    describe_gauge!(
        REVISION_BOUND,
        Unit::Seconds,
        "Upper bound on the time that two controllers may act on contradicting revisions"
    );
    describe_gauge!(
        REVISION_WAITED_FOR,
        "Members that have not reported that they hold the certified revision"
    );
    describe_gauge!(
        DISTRIBUTION_RELAY,
        "The control machine whose relay serves this controller; -1 while none does"
    );
    describe_gauge!(DISTRIBUTION_LEASE, Unit::Seconds, "Remaining time of the present lease");
    describe_gauge!(
        DISTRIBUTION_REGIONAL,
        "1 while the lease is a regional lease, granted by control machines without a quorum of acceptors"
    );
    describe_counter!(
        DISTRIBUTION_RELAYS_REFUSED,
        "Times that a relay was abandoned because of an invalid message"
    );
    describe_counter!(DISTRIBUTION_SENT_BYTES, Unit::Bytes, "Bytes of frames to relays");
    describe_counter!(DISTRIBUTION_RECEIVED_BYTES, Unit::Bytes, "Bytes of frames from relays");
    describe_counter!(
        STREAMERS_REPORTED_OFF_LIST,
        "Streamers that peers reported off their lists before this controller's list did"
    );
    describe_counter!(
        SUBSCRIPTIONS_RELOCATED,
        "Subscriptions moved away from streamers that no longer hold their title"
    );
    describe_gauge!(RELOCATIONS_PENDING, "Subscriptions still to be moved away from such streamers");
    describe_counter!(REVISIONS_REFUSED, "Revisions, texts and requests that were refused");
    describe_gauge!(MEMBERS, "Controllers, including this one, by their state in this controller's view");
    describe_counter!(GOSSIP_SENT, "Gossip datagrams sent");
    describe_counter!(GOSSIP_SENT_BYTES, Unit::Bytes, "Payload of gossip datagrams sent");
    describe_counter!(GOSSIP_HELD_BACK, "Gossip datagrams not sent because of the rate limit");
    describe_counter!(GOSSIP_DROPPED, "Gossip datagrams and statements dropped, by reason");
    describe_counter!(GOSSIP_CHECKED, "Signatures checked");
    describe_counter!(GOSSIP_REFUTATIONS, "Times that this controller refuted a suspicion that it is dead");
    describe_gauge!(GOSSIP_HEALTH, "Local health score of gossip: 0 is healthy, 8 the worst");
    describe_counter!(
        PEER_REPORTS_BELIEVED,
        "Times that a streamer was avoided because of failure reports by peers"
    );
    describe_counter!(SYSTEM_CALLS, "System calls of the event loop");
    describe_counter!(COPIED_BYTES, Unit::Bytes, "Bytes copied between buffers of this process");
    describe_histogram!(
        ROUND_TIME,
        Unit::Seconds,
        "Duration of a round of the module, with the execution of its decisions"
    );
    Ok(handle)
}

/// The metrics page as an HTTP response.
pub fn metrics_response(handle: &PrometheusHandle) -> Vec<u8> {
    handle.run_upkeep();
    http_response("text/plain; version=0.0.4", &handle.render())
}

/// An HTTP response with this body that closes the connection (RFC 9112).
pub fn http_response(content_type: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

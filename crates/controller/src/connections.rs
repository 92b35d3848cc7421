//! The connections to viewers and to streamers, and the media relayed between them.
//!
//! Nothing here decides whether or where a subscription is placed: events are reported to the exchange, and
//! its decisions are carried out.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use badgerledge_catalogue::Catalogue;
use badgerledge_core::interface::{Ending, JobId, StreamerId};
use badgerledge_deployment::Deployment;
use badgerledge_exchange::{EventHandler, JoinEvents};
use badgerledge_reactor::{CloseReason, Reactor, SocketId};
use rand_pcg::Pcg64Mcg;

use crate::accounting::Accounting;
use crate::gossiping::GossipDriver;
use crate::join_connection::JoinConnection;
use crate::probes::Probes;
use crate::viewer::Viewer;

mod accounts;
mod answers;
mod carrier;
mod joins;
mod peers;
mod probing;
mod relay;
mod requests;
mod viewers;

pub use peers::peer_at;
pub use relay::RelayCounts;
pub use viewers::OVERFLOW_CONNECTIONS;

/// An event for the next round.
pub type RoundEvent = Box<dyn FnOnce(&mut EventHandler<'_, '_, Connections>)>;

/// An event on a join that needs no decision, and so no round.
pub type JoinEvent = Box<dyn FnOnce(&mut JoinEvents<'_, '_, Connections>)>;

/// Identifies a join: its subscription, and its number among that subscription's joins.
type JoinId = (JobId, u16);

/// All connections to viewers and streamers, with the events on them since the last round.
pub struct Connections {
    pub reactor: Reactor,
    pub deployment: Deployment,
    pub catalogue: Catalogue,
    /// The address bound for viewers.
    pub listen_address: SocketAddr,
    /// The time of this iteration of the event loop.
    pub now: Duration,
    rng: Pcg64Mcg,
    /// Viewers' connections that are served; up to [`OVERFLOW_CONNECTIONS`] more are accepted to be
    /// throttled.
    pub max_viewers: usize,
    pub viewers: BTreeMap<SocketId, Viewer>,
    joins: BTreeMap<JoinId, JoinConnection>,
    join_ids: BTreeMap<SocketId, JoinId>,
    pub probes: Probes,
    /// What the module requested of the list service since the last round: whether to be sent changes, and
    /// whether to be sent the whole list.
    pub list_requests: (Option<bool>, bool),
    /// The socket for datagrams of peers; `None` where gossip carries them.
    pub peer_socket: Option<SocketId>,
    pub gossiping: Option<GossipDriver>,
    /// Events since the last round, in order.
    pub round_events: Vec<RoundEvent>,
    pub join_events: Vec<JoinEvent>,
    /// Timers that the module set, for the event loop: when, and which.
    pub module_timers: Vec<(Duration, u64)>,
    pub relay_counts: RelayCounts,
    pub accounting: Accounting,
    /// Bytes that crossed zones since the last budget plans, by the zone they came from.
    pub cross_zone_bytes: BTreeMap<u16, u64>,
    /// The zone and the cell of each streamer on the list.
    pub streamer_zones: BTreeMap<StreamerId, u16>,
    pub streamer_cells: BTreeMap<StreamerId, u32>,
}

impl Connections {
    /// Starts without any connection; `seed` is for session identifiers and accounts.
    pub fn new(reactor: Reactor, deployment: Deployment, catalogue: Catalogue, seed: u64) -> Self {
        let listen_address = deployment.place.listen;
        let now = reactor.now();
        let place = &deployment.place;
        let accounting = Accounting::new(place.number, place.state.as_deref(), seed.rotate_left(16));
        Self {
            reactor,
            deployment,
            catalogue,
            listen_address,
            now,
            rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            max_viewers: 0,
            viewers: BTreeMap::new(),
            joins: BTreeMap::new(),
            join_ids: BTreeMap::new(),
            probes: Probes::default(),
            list_requests: (None, false),
            peer_socket: None,
            gossiping: None,
            round_events: Vec::new(),
            join_events: Vec::new(),
            module_timers: Vec::new(),
            relay_counts: RelayCounts::default(),
            accounting,
            cross_zone_bytes: BTreeMap::new(),
            streamer_zones: BTreeMap::new(),
            streamer_cells: BTreeMap::new(),
        }
    }

    /// Queues an event for the next round.
    fn queue_for_round(&mut self, event: impl FnOnce(&mut EventHandler<'_, '_, Connections>) + 'static) {
        self.round_events.push(Box::new(event));
    }

    /// Queues an event that needs no decision; it is handled in this iteration of the event loop.
    fn queue_join_event(&mut self, event: impl FnOnce(&mut JoinEvents<'_, '_, Connections>) + 'static) {
        self.join_events.push(Box::new(event));
    }

    /// Handles new input on a connection.
    pub fn readable(&mut self, connection: SocketId) {
        if self.viewers.contains_key(&connection) {
            self.read_viewer(connection);
        } else if self.join_ids.contains_key(&connection) {
            self.read_join(connection);
        } else if self.probes.get(connection).is_some() {
            self.read_probe(connection);
        }
    }

    /// Handles the completion of an outgoing connection.
    pub fn opened(&mut self, connection: SocketId) {
        if let Some((job, number)) = self.join_ids.get(&connection).copied() {
            self.queue_join_event(move |steps| steps.join_opened(job, number));
        } else {
            self.probe_opened(connection);
        }
    }

    /// Handles the end of a connection.
    pub fn closed(&mut self, connection: SocketId, reason: CloseReason) {
        let ending = if reason == CloseReason::NotMade { Ending::ConnectFailed } else { Ending::Reset };
        if self.viewers.contains_key(&connection) {
            self.drop_viewer(connection);
        } else if let Some((job, number)) = self.join_ids.get(&connection).copied() {
            self.queue_join_event(move |steps| steps.join_ended(job, number, ending, &[]));
        } else {
            self.finish_probe(connection, ending, &[]);
        }
    }
}

/// Writes a message to a connection's output, whole or not at all. Returns whether it was written.
fn send(reactor: &mut Reactor, connection: SocketId, write: impl FnOnce(&mut Vec<u8>) -> bool) -> bool {
    let mut bytes = Vec::with_capacity(512);
    write(&mut bytes) && reactor.send(connection, &[&bytes])
}

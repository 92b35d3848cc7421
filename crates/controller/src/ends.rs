//! Both ends of every subscription on the sockets: viewers' connections, joins to streamers, and what passes
//! between them. Decides nothing of where or whether; carries out what the exchange has it do.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use badgerledge_catalogue::Catalogue;
use badgerledge_core::interface::{Ending, JobId, StreamerId};
use badgerledge_deployment::Deployment;
use badgerledge_exchange::{Floor, Steps};
use badgerledge_reactor::{Closing, Line, Reactor};
use rand_pcg::Pcg64Mcg;

use crate::accounting::Accounting;
use crate::gossiping::Gossiping;
use crate::join::JoinLine;
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
pub use relay::Relayed;
pub use viewers::CROWD;

/// One thing that came in, on its way into the next round.
pub type Arrival = Box<dyn FnOnce(&mut Floor<'_, '_, Ends>)>;

/// One thing that came in on a join, which needs no round.
pub type Step = Box<dyn FnOnce(&mut Steps<'_, '_, Ends>)>;

/// A join's name: its subscription, and its number among that subscription's joins.
type JoinId = (JobId, u16);

/// The sockets of both ends, and what came in on them since the last round.
pub struct Ends {
    pub reactor: Reactor,
    pub deployment: Deployment,
    pub catalogue: Catalogue,
    pub listen: SocketAddr,
    pub now: Duration,
    chance: Pcg64Mcg,
    /// Viewers' connections at most; CROWD more are throttled.
    pub most_viewers: usize,
    pub viewers: BTreeMap<Line, Viewer>,
    joins: BTreeMap<JoinId, JoinLine>,
    join_lines: BTreeMap<Line, JoinId>,
    pub probes: Probes,
    /// What the module asked of the list since the last round: to be told of changes or not, and the whole list.
    pub list_wants: (Option<bool>, bool),
    pub datagrams: Option<Line>,
    pub gossiping: Option<Gossiping>,
    /// What came in since the last round, in order.
    pub arrivals: Vec<Arrival>,
    pub steps: Vec<Step>,
    /// Reminders that the module set: told to the loop.
    pub reminders: Vec<(Duration, u64)>,
    pub media: Relayed,
    pub accounting: Accounting,
    /// Bytes that crossed since the budget's last plans, by the building they came from.
    pub crossed_bytes: BTreeMap<u16, u64>,
    /// The building of each streamer of the list, and its cell.
    pub zones: BTreeMap<StreamerId, u16>,
    pub cells: BTreeMap<StreamerId, u32>,
}

impl Ends {
    pub fn new(reactor: Reactor, deployment: Deployment, catalogue: Catalogue, seed: u64) -> Self {
        let listen = deployment.place.listen;
        let now = reactor.now();
        let place = &deployment.place;
        let accounting = Accounting::new(place.number, place.state.as_deref(), seed.rotate_left(16));
        Self {
            reactor,
            deployment,
            catalogue,
            listen,
            now,
            chance: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            most_viewers: 0,
            viewers: BTreeMap::new(),
            joins: BTreeMap::new(),
            join_lines: BTreeMap::new(),
            probes: Probes::default(),
            list_wants: (None, false),
            datagrams: None,
            gossiping: None,
            arrivals: Vec::new(),
            steps: Vec::new(),
            reminders: Vec::new(),
            media: Relayed::default(),
            accounting,
            crossed_bytes: BTreeMap::new(),
            zones: BTreeMap::new(),
            cells: BTreeMap::new(),
        }
    }

    /// Has something told to the exchange in the next round.
    fn arrives(&mut self, arrival: impl FnOnce(&mut Floor<'_, '_, Ends>) + 'static) {
        self.arrivals.push(Box::new(arrival));
    }

    /// Has something told to the exchange at once, since it needs no decision.
    fn steps_on(&mut self, step: impl FnOnce(&mut Steps<'_, '_, Ends>) + 'static) {
        self.steps.push(Box::new(step));
    }

    /// New bytes on a line.
    pub fn readable(&mut self, line: Line) {
        if self.viewers.contains_key(&line) {
            self.read_viewer(line);
        } else if self.join_lines.contains_key(&line) {
            self.read_join(line);
        } else if self.probes.get(line).is_some() {
            self.read_probe(line);
        }
    }

    /// A connection that was asked for is made.
    pub fn opened(&mut self, line: Line) {
        if let Some((job, number)) = self.join_lines.get(&line).copied() {
            self.steps_on(move |steps| steps.join_opened(job, number));
        } else {
            self.probe_opened(line);
        }
    }

    /// A line has ended.
    pub fn closed(&mut self, line: Line, why: Closing) {
        let ending = if why == Closing::NotMade { Ending::ConnectFailed } else { Ending::Reset };
        if self.viewers.contains_key(&line) {
            self.drop_viewer(line);
        } else if let Some((job, number)) = self.join_lines.get(&line).copied() {
            self.steps_on(move |steps| steps.join_ends(job, number, ending, &[]));
        } else {
            self.probe_ends(line, ending, &[]);
        }
    }
}

/// Writes a message into a line's output, whole or not at all.
fn send(reactor: &mut Reactor, line: Line, write: impl FnOnce(&mut Vec<u8>) -> bool) -> bool {
    let mut bytes = Vec::with_capacity(512);
    write(&mut bytes) && reactor.send(line, &[&bytes])
}

//! The network between the processes of a test: controllers reach relays, and control machines each other, through
//! proxies whose ways a test cuts, slows and heals.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use badgerledge_reactor::Reactor;
use badgerledge_ways::{EndpointId, LinkFaults, TestNetwork};

const ORIGIN: Duration = Duration::from_secs(100);
const LOOK_EVERY: Duration = Duration::from_millis(5);

type Command = Box<dyn FnOnce(&mut Links) + Send>;

/// The proxies. Ends are numbered: relays first, in `watchers` the controllers behind them.
pub struct Links {
    pub watchers: TestNetwork,
    pub peers: TestNetwork,
}

/// Runs the proxies in a thread of their own.
pub struct Network {
    commands: Sender<Option<Command>>,
    thread: Option<JoinHandle<()>>,
    /// The longest time between two looks, in microseconds: how long the rig itself stood still.
    stall: Arc<AtomicU64>,
    pub relays_reached: Vec<SocketAddr>,
    pub peers_reached: Vec<SocketAddr>,
}

/// Streams without delay or loss.
fn usual() -> LinkFaults {
    LinkFaults {
        loss_probability: 0.0,
        delay: Duration::ZERO,
        max_jitter: Duration::ZERO,
        ..LinkFaults::default()
    }
}

impl Network {
    /// Proxies for relays that listen at these addresses for controllers and for each other, and for controllers that call
    /// from these addresses.
    pub fn new(relays: Vec<SocketAddr>, peers: Vec<SocketAddr>, controllers: &[Ipv4Addr]) -> Self {
        let (commands, heard) = channel::<Option<Command>>();
        let (ready, reached) = channel();
        let stall = Arc::new(AtomicU64::new(0));
        let seen = stall.clone();
        let callers = controllers.iter().map(|from| SocketAddr::from((*from, 1)));
        let ends: Vec<SocketAddr> = relays.iter().copied().chain(callers).collect();
        let thread = std::thread::spawn(move || {
            let mut reactor = Reactor::new(ORIGIN).unwrap();
            let watchers = TestNetwork::new(&mut reactor, &ends, usual(), 1).unwrap();
            let peers = TestNetwork::new(&mut reactor, &peers, usual(), 2).unwrap();
            let all = |ways: &TestNetwork, count: usize| {
                (0..count).map(|end| ways.proxy_address(end)).collect::<Vec<_>>()
            };
            ready.send((all(&watchers, relays.len()), all(&peers, relays.len()))).unwrap();
            let mut links = Links { watchers, peers };
            let (mut told, mut looked) = (Vec::new(), reactor.clock());
            loop {
                reactor.wait(Some(reactor.clock() + LOOK_EVERY), &mut told).unwrap();
                let now = reactor.now();
                seen.fetch_max((now - looked).as_micros() as u64, Ordering::Relaxed);
                looked = now;
                while let Ok(command) = heard.try_recv() {
                    let Some(command) = command else { return };
                    command(&mut links);
                }
                for happening in told.drain(..) {
                    let _ = links.watchers.handle_event(&mut reactor, now, &happening)
                        || links.peers.handle_event(&mut reactor, now, &happening);
                }
                links.watchers.poll(&mut reactor, now);
                links.peers.poll(&mut reactor, now);
                reactor.flush();
            }
        });
        let (relays_reached, peers_reached) = reached.recv().unwrap();
        Self { commands, thread: Some(thread), stall, relays_reached, peers_reached }
    }

    /// Has something done to the proxies, and waits until it is.
    pub fn with<R: Send + 'static>(&self, act: impl FnOnce(&mut Links) -> R + Send + 'static) -> R {
        let (done, result) = channel();
        let command: Command = Box::new(move |links| drop(done.send(act(links))));
        self.commands.send(Some(command)).unwrap();
        result.recv().unwrap()
    }

    /// Changes both ways between two ends.
    pub fn change_between(
        &self, watchers: bool, one: EndpointId, other: EndpointId, change: fn(&mut LinkFaults),
    ) {
        self.with(move |links| {
            let ways = if watchers { &mut links.watchers } else { &mut links.peers };
            change(ways.link(one, other));
            change(ways.link(other, one));
        });
    }

    /// All ways are as usual again.
    pub fn heal(&self) {
        self.with(|links| {
            links.watchers.reset_links();
            links.peers.reset_links();
        });
    }

    /// Bytes that went from one end to another between controllers and relays.
    pub fn bytes(&self, from: EndpointId, to: EndpointId) -> usize {
        self.with(move |links| {
            let passed = links.watchers.traffic.iter().filter(|entry| (entry.from, entry.to) == (from, to));
            passed.map(|entry| entry.bytes).sum()
        })
    }

    /// How long the rig itself stood still at most.
    pub fn stall(&self) -> Duration {
        Duration::from_micros(self.stall.load(Ordering::Relaxed))
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        let _ = self.commands.send(None);
        self.thread.take().map(JoinHandle::join);
    }
}

//! The network between control machines: a thread that forwards their streams and can block some directions.

use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::Duration;

use badgerledge_reactor::Reactor;
use badgerledge_ways::{EndpointId, LinkFaults, TestNetwork};

/// The thread checks for commands at this interval.
const COMMAND_POLL_INTERVAL: Duration = Duration::from_millis(10);

enum ProxyCommand {
    /// Block the links from some machines to others.
    Block(Vec<EndpointId>, Vec<EndpointId>),
    /// Unblock all links.
    Heal,
    Stop,
}

/// The proxy thread.
pub struct Proxy {
    /// The address at which the proxy accepts streams to each machine.
    pub proxy_addresses: Vec<SocketAddr>,
    commands: Sender<ProxyCommand>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy for machines that listen at these addresses.
    pub fn start(machine_addresses: Vec<SocketAddr>) -> Self {
        let (commands, command_receiver) = channel();
        let (address_sender, addresses) = channel();
        let thread = std::thread::spawn(move || run(&machine_addresses, &command_receiver, &address_sender));
        Self { proxy_addresses: addresses.recv().unwrap(), commands, thread: Some(thread) }
    }

    /// Blocks the links from some machines to others; the reverse direction stays open.
    pub fn cut(&self, from: &[EndpointId], to: &[EndpointId]) {
        self.commands.send(ProxyCommand::Block(from.to_vec(), to.to_vec())).unwrap();
    }

    /// Unblocks all links.
    pub fn heal(&self) {
        self.commands.send(ProxyCommand::Heal).unwrap();
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.commands.send(ProxyCommand::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(
    machine_addresses: &[SocketAddr], commands: &Receiver<ProxyCommand>, addresses: &Sender<Vec<SocketAddr>>,
) {
    let link_defaults = LinkFaults {
        loss_probability: 0.0,
        delay: Duration::ZERO,
        max_jitter: Duration::ZERO,
        ..LinkFaults::default()
    };
    let mut reactor = Reactor::new(Duration::from_secs(1)).unwrap();
    let mut links = TestNetwork::new(&mut reactor, machine_addresses, link_defaults, 1).unwrap();
    addresses.send((0..machine_addresses.len()).map(|end| links.proxy_address(end)).collect()).unwrap();
    let mut events = Vec::new();
    loop {
        let next_check = reactor.clock() + COMMAND_POLL_INTERVAL;
        let wake_at = links.next_poll_at().map_or(next_check, |due| due.min(next_check));
        reactor.wait(Some(wake_at), &mut events).unwrap();
        let now = reactor.now();
        for event in events.drain(..) {
            links.handle_event(&mut reactor, now, &event);
        }
        links.poll(&mut reactor, now);
        reactor.flush();
        while let Ok(command) = commands.try_recv() {
            match command {
                ProxyCommand::Block(from, to) => links.change_links(&from, &to, |link| link.blocked = true),
                ProxyCommand::Heal => links.reset_links(),
                ProxyCommand::Stop => return,
            }
        }
    }
}

//! The network between control machines: a thread that hands on what goes between them, and can be told to cut a way.

use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::Duration;

use badgerledge_reactor::Reactor;
use badgerledge_ways::{End, Way, Ways};

/// The thread looks for orders this often.
const LOOK_EVERY: Duration = Duration::from_millis(10);

enum Order {
    Cut(Vec<End>, Vec<End>),
    Heal,
    End,
}

pub struct Proxy {
    /// Where each machine is reached through it.
    pub reached: Vec<SocketAddr>,
    orders: Sender<Order>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// For machines that are at these addresses themselves.
    pub fn start(own: Vec<SocketAddr>) -> Self {
        let (orders, taken) = channel();
        let (told, reached) = channel();
        let thread = std::thread::spawn(move || run(&own, &taken, &told));
        Self { reached: reached.recv().unwrap(), orders, thread: Some(thread) }
    }

    /// Nothing passes from some machines to others; what goes back passes.
    pub fn cut(&self, from: &[End], to: &[End]) {
        self.orders.send(Order::Cut(from.to_vec(), to.to_vec())).unwrap();
    }

    pub fn heal(&self) {
        self.orders.send(Order::Heal).unwrap();
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.orders.send(Order::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(own: &[SocketAddr], orders: &Receiver<Order>, told: &Sender<Vec<SocketAddr>>) {
    let usual = Way { loss: 0.0, late: Duration::ZERO, spread: Duration::ZERO, ..Way::default() };
    let mut reactor = Reactor::new(Duration::from_secs(1)).unwrap();
    let mut ways = Ways::new(&mut reactor, own, usual, 1).unwrap();
    told.send((0..own.len()).map(|end| ways.reached(end)).collect()).unwrap();
    let mut happenings = Vec::new();
    loop {
        let look = reactor.clock() + LOOK_EVERY;
        let until = ways.next_due().map_or(look, |due| due.min(look));
        reactor.wait(Some(until), &mut happenings).unwrap();
        let now = reactor.now();
        for happening in happenings.drain(..) {
            ways.take(&mut reactor, now, &happening);
        }
        ways.tend(&mut reactor, now);
        reactor.flush();
        while let Ok(order) = orders.try_recv() {
            match order {
                Order::Cut(from, to) => ways.strike(&from, &to, |way| way.cut = true),
                Order::Heal => ways.heal(),
                Order::End => return,
            }
        }
    }
}

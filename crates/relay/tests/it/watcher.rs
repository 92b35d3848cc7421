//! A scripted watcher: it says what a watcher says, and checks each root and each lease by itself.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use badgerledge_deployment::entries::entries_of;
use badgerledge_distribution::lease::LEASE;
use badgerledge_distribution::message::{ToRelay, ToWatcher};
use badgerledge_distribution::state::State;
use badgerledge_keys::{Ring, Verifier};
use badgerledge_relay::client::{Client, ClientFault};

use crate::rig::GENESIS;

/// A watcher asks three times in a lease.
const ASK_EVERY: Duration = Duration::from_secs(LEASE.as_secs() / 3);

pub struct ScriptedWatcher {
    client: Client,
    controller: u32,
    verifier: Verifier,
    pub state: State,
    pub held: u32,
    pub active: u32,
    asked: Option<Instant>,
    nonce: u64,
    /// When its last valid lease began, by its own asking.
    pub leased: Option<Instant>,
    /// Whether it says what it has prepared.
    pub says_prepared: bool,
}

impl ScriptedWatcher {
    pub fn connect(relay: SocketAddr, controller: u32, ring: Ring) -> Self {
        let state = State::from_entries(entries_of(GENESIS).unwrap()).unwrap();
        let mut client = Client::connect(relay).unwrap();
        client.send(&ToRelay::Hello { controller, active: 0, held: 0, root: state.root() }).unwrap();
        let verifier = Verifier::new(ring);
        Self {
            client,
            controller,
            verifier,
            state,
            held: 0,
            active: 0,
            asked: None,
            nonce: 0,
            leased: None,
            says_prepared: true,
        }
    }

    /// Goes on at another relay, with what it holds.
    pub fn move_to(&mut self, relay: SocketAddr) {
        self.client = Client::connect(relay).unwrap();
        let hello = ToRelay::Hello {
            controller: self.controller,
            active: self.active,
            held: self.held,
            root: self.state.root(),
        };
        self.client.send(&hello).unwrap();
        self.asked = None;
    }

    /// Hears what has come, and says what is due. Tells whether the connection still stands.
    pub fn step(&mut self) -> bool {
        if self.asked.is_none_or(|asked| asked.elapsed() >= ASK_EVERY) && self.ask().is_err() {
            return false;
        }
        match self.client.receive(Duration::from_millis(10)) {
            Ok(message) => self.hear(message).is_ok(),
            Err(ClientFault::Silent(..)) => true,
            Err(_) => false,
        }
    }

    fn ask(&mut self) -> Result<(), ClientFault> {
        self.asked = Some(Instant::now());
        self.nonce += 1;
        self.client.send(&ToRelay::RequestLease { nonce: self.drawn(), active: self.active })
    }

    fn drawn(&self) -> [u8; 16] {
        (u128::from(self.nonce) << 64 | u128::from(self.controller)).to_be_bytes()
    }

    fn hear(&mut self, message: ToWatcher) -> Result<(), ClientFault> {
        match message {
            ToWatcher::Delta { certificate, summary, base, base_root, edits } => {
                assert_eq!((base, base_root), (self.held, self.state.root()), "a delta on what is held");
                self.state.apply(&edits).unwrap();
                assert_eq!(self.state.root(), summary.root, "it leads to the certified root");
                self.held = certificate.number();
                if self.says_prepared {
                    self.client.send(&ToRelay::Prepared { number: self.held })?;
                }
            }
            ToWatcher::Activate { number, activation_grants: goes } => {
                assert!(number <= self.held, "acts on {number}, holds {}", self.held);
                let signed = goes.iter().filter(|go| go.number == number && go.holds(&self.verifier)).count();
                assert!(signed >= 2, "{signed} acceptors signed");
                self.active = number;
            }
            ToWatcher::Lease(proof)
                if proof.nonce == self.drawn()
                    && proof.check(self.controller, self.active, &self.verifier).is_ok() =>
            {
                self.leased = self.asked;
            }
            _ => {}
        }
        Ok(())
    }

    /// Whether it has a lease now.
    pub fn is_leased(&self) -> bool {
        self.leased.is_some_and(|leased| leased.elapsed() < LEASE)
    }

    pub fn cells(&self) -> String {
        String::from_utf8_lossy(self.state.get("fleet\tcells").unwrap_or_default()).into_owned()
    }
}

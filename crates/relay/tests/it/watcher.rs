//! A test watcher: follows the watchers' protocol, and verifies each state root and each lease itself.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use badgerledge_deployment::entries::entries_of;
use badgerledge_distribution::lease::LEASE;
use badgerledge_distribution::message::{ToRelay, ToWatcher};
use badgerledge_distribution::state::State;
use badgerledge_keys::{Ring, Verifier};
use badgerledge_relay::client::{Client, ClientFault};

use crate::harness::GENESIS;

/// Interval of lease requests: three per lease.
const LEASE_REQUEST_INTERVAL: Duration = Duration::from_secs(LEASE.as_secs() / 3);

/// A watcher connected to a relay.
pub struct TestWatcher {
    client: Client,
    controller: u32,
    verifier: Verifier,
    pub state: State,
    /// The revision of `state`.
    pub prepared: u32,
    pub active: u32,
    /// When the last lease was requested.
    lease_requested_at: Option<Instant>,
    request_count: u64,
    /// When the last valid lease was requested; the lease counts from then on.
    pub lease_started_at: Option<Instant>,
    /// Whether the watcher reports the revisions that it has prepared.
    pub reports_prepared: bool,
}

impl TestWatcher {
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
            prepared: 0,
            active: 0,
            lease_requested_at: None,
            request_count: 0,
            lease_started_at: None,
            reports_prepared: true,
        }
    }

    /// Reconnects to another relay, keeping the state.
    pub fn move_to(&mut self, relay: SocketAddr) {
        self.client = Client::connect(relay).unwrap();
        let hello = ToRelay::Hello {
            controller: self.controller,
            active: self.active,
            held: self.prepared,
            root: self.state.root(),
        };
        self.client.send(&hello).unwrap();
        self.lease_requested_at = None;
    }

    /// Requests a lease if one is due, and handles at most one message. Returns whether the connection is still open.
    pub fn poll(&mut self) -> bool {
        if self.lease_requested_at.is_none_or(|requested_at| requested_at.elapsed() >= LEASE_REQUEST_INTERVAL)
            && self.request_lease().is_err()
        {
            return false;
        }
        match self.client.receive(Duration::from_millis(10)) {
            Ok(message) => self.handle_message(message).is_ok(),
            Err(ClientFault::Silent(..)) => true,
            Err(_) => false,
        }
    }

    fn request_lease(&mut self) -> Result<(), ClientFault> {
        self.lease_requested_at = Some(Instant::now());
        self.request_count += 1;
        self.client.send(&ToRelay::RequestLease { nonce: self.nonce(), active: self.active })
    }

    /// The nonce of the last lease request.
    fn nonce(&self) -> [u8; 16] {
        (u128::from(self.request_count) << 64 | u128::from(self.controller)).to_be_bytes()
    }

    fn handle_message(&mut self, message: ToWatcher) -> Result<(), ClientFault> {
        match message {
            ToWatcher::Delta { certificate, summary, base, base_root, edits } => {
                assert_eq!(
                    (base, base_root),
                    (self.prepared, self.state.root()),
                    "the delta's base is the prepared state"
                );
                self.state.apply(&edits).unwrap();
                assert_eq!(self.state.root(), summary.root, "the delta leads to the certified root");
                self.prepared = certificate.number();
                if self.reports_prepared {
                    self.client.send(&ToRelay::Prepared { number: self.prepared })?;
                }
            }
            ToWatcher::Activate { number, activation_grants } => {
                assert!(number <= self.prepared, "activates {number}, prepared {}", self.prepared);
                let signed = activation_grants
                    .iter()
                    .filter(|grant| grant.number == number && grant.holds(&self.verifier))
                    .count();
                assert!(signed >= 2, "{signed} acceptors signed");
                self.active = number;
            }
            ToWatcher::Lease(proof)
                if proof.nonce == self.nonce()
                    && proof.check(self.controller, self.active, &self.verifier).is_ok() =>
            {
                self.lease_started_at = self.lease_requested_at;
            }
            _ => {}
        }
        Ok(())
    }

    /// Whether the watcher has a valid lease now.
    pub fn is_leased(&self) -> bool {
        self.lease_started_at.is_some_and(|started_at| started_at.elapsed() < LEASE)
    }

    /// The value of the setting that the tests change.
    pub fn cells(&self) -> String {
        String::from_utf8_lossy(self.state.get("fleet\tcells").unwrap_or_default()).into_owned()
    }
}

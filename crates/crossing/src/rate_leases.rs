//! Time-limited leases of unused rate between controllers.
//!
//! A controller that needs more rate sends requests; a controller with rate to spare grants a part of it for a fixed
//! time. Clocks need not be synchronized: the borrower counts the lease from the time of its request, the lender from the
//! later time of its grant and for somewhat longer. So no rate is spent by both. Messages may be lost, delayed or
//! duplicated.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::random::Rng;

/// How long the borrower may use a lease: long compared with a message's delay, short compared with changes of demand.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// How long the lender does without the leased rate. It exceeds the borrower's time because each clock may drift by 1 %.
const LENDER_LEASE_DURATION: Duration = Duration::from_millis(10_300);
/// The largest fraction of its share that a controller leases out. A restarted controller does not know its earlier
/// leases, and uses only the rest of its share until they have expired.
const MAX_LENT_FRACTION: f64 = 0.5;
/// The smallest lease, as a fraction of a share: smaller ones are not worth their messages.
const MIN_LEASE_FRACTION: f64 = 0.05;
/// The mean interval between rounds of requests while a controller needs more rate.
const REQUEST_INTERVAL: Duration = Duration::from_secs(2);
/// The number of controllers that receive a request in each round.
const REQUESTS_PER_ROUND: usize = 3;
/// The rate that a lender keeps for itself, as a multiple of its own demand.
const RESERVE_FACTOR: f64 = 1.2;

/// Length of an encoded message in bytes.
pub const MESSAGE_BYTES: usize = 23;

/// A message between two controllers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Message {
    /// Requests a lease of up to `wanted` kB/s. The sender numbers its requests.
    Request { number: u64, wanted: f32 },
    /// Answers the request of that number with a lease of `rate` kB/s.
    Grant { number: u64, rate: f32 },
}

/// Identifies the message format and its version.
const MAGIC: [u8; 4] = *b"blc2";

impl Message {
    /// Encodes the message. `budget_id` names the limit that it is about: that of traffic
    /// from one zone to another, or that of all traffic.
    pub fn encode(self, budget_id: u16) -> [u8; MESSAGE_BYTES] {
        let (kind, number, rate) = match self {
            Message::Request { number, wanted } => (1, number, wanted),
            Message::Grant { number, rate } => (2, number, rate),
        };
        let mut bytes = [0; MESSAGE_BYTES];
        bytes[..4].copy_from_slice(&MAGIC);
        bytes[4] = kind;
        bytes[5..13].copy_from_slice(&number.to_be_bytes());
        bytes[13..17].copy_from_slice(&rate.to_be_bytes());
        bytes[17..19].copy_from_slice(&budget_id.to_be_bytes());
        // 32-bit FNV-1a.
        let checksum = bytes[..19]
            .iter()
            .fold(0x811c_9dc5u32, |hash, byte| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193));
        bytes[19..].copy_from_slice(&checksum.to_be_bytes());
        bytes
    }

    /// Decodes a message and its `budget_id`. Returns `None` for malformed or corrupted bytes.
    pub fn decode(bytes: &[u8]) -> Option<(u16, Self)> {
        let bytes: &[u8; MESSAGE_BYTES] = bytes.try_into().ok()?;
        let number = u64::from_be_bytes(bytes[5..13].try_into().ok()?);
        let rate = f32::from_be_bytes(bytes[13..17].try_into().ok()?);
        if !rate.is_finite() || rate < 0.0 {
            return None;
        }
        let message = match bytes[4] {
            1 => Message::Request { number, wanted: rate },
            2 => Message::Grant { number, rate },
            _ => return None,
        };
        let budget_id = u16::from_be_bytes([bytes[17], bytes[18]]);
        (message.encode(budget_id) == *bytes).then_some((budget_id, message))
    }
}

/// The leases that one controller has granted and received, and its open requests.
pub struct RateLeases {
    own_id: u32,
    controller_count: u32,
    /// This controller's own share of the limit in kB/s.
    share: f64,
    started_at: Duration,
    rng: Rng,
    /// Time and recipient of each open request by its number. Grants that answer none of these are ignored.
    open_requests: BTreeMap<u64, (Duration, u32)>,
    last_number: u64,
    next_request_at: Duration,
    /// Expiry and rate in kB/s of each received lease.
    borrowed: Vec<(Duration, f64)>,
    /// Expiry and rate in kB/s of each granted lease.
    lent: Vec<(Duration, f64)>,
    /// Expiry of each granted request by its sender and number, so that a duplicated request is granted once.
    granted: BTreeMap<(u32, u64), Duration>,
    /// The rate that this controller would use if it were available, in kB/s.
    demand: f64,
}

impl RateLeases {
    /// A controller that starts now, with an own share of `share` kB/s.
    pub fn new(own_id: u32, controller_count: u32, share: f64, now: Duration, seed: u64) -> Self {
        Self {
            own_id,
            controller_count,
            share,
            started_at: now,
            rng: Rng(seed),
            open_requests: BTreeMap::new(),
            // Starts at a random number: grants for requests from before a restart must not match new requests.
            last_number: seed,
            next_request_at: now,
            borrowed: Vec::new(),
            lent: Vec::new(),
            granted: BTreeMap::new(),
            demand: 0.0,
        }
    }

    /// The rate that this controller may use at `now`, in kB/s: its remaining share and its received leases.
    pub fn available_rate(&mut self, now: Duration) -> f64 {
        self.remove_expired(now);
        let borrowed: f64 = self.borrowed.iter().map(|(_, rate)| rate).sum();
        self.remaining_share(now) + borrowed
    }

    /// The own share less the rate that is leased out, or that may have been leased out before a restart.
    fn remaining_share(&self, now: Duration) -> f64 {
        let lent: f64 = self.lent.iter().map(|(_, rate)| rate).sum();
        let lent_before_start =
            if now < self.started_at + LENDER_LEASE_DURATION { MAX_LENT_FRACTION * self.share } else { 0.0 };
        self.share - lent.max(lent_before_start)
    }

    fn remove_expired(&mut self, now: Duration) {
        self.borrowed.retain(|(expires_at, _)| *expires_at > now);
        self.lent.retain(|(expires_at, _)| *expires_at > now);
        self.granted.retain(|_, expires_at| *expires_at > now);
        self.open_requests.retain(|_, (requested_at, _)| *requested_at + LEASE_DURATION > now);
    }

    /// Records the current demand in kB/s, and requests leases where it exceeds the available rate. `send` sends a message
    /// to a controller.
    pub fn request_leases(&mut self, now: Duration, demand: f64, mut send: impl FnMut(u32, Message)) {
        self.demand = demand;
        let available = self.available_rate(now);
        if demand <= available || now < self.next_request_at || self.controller_count < 2 {
            return;
        }
        // Jitter keeps the requests of many controllers from synchronizing.
        self.next_request_at = now + REQUEST_INTERVAL.mul_f64(0.75 + 0.5 * self.rng.unit_interval());
        for _ in 0..REQUESTS_PER_ROUND.min(self.controller_count as usize - 1) {
            let other = (self.rng.unit_interval() * f64::from(self.controller_count - 1)) as u32;
            let other = if other >= self.own_id { other + 1 } else { other };
            self.last_number = self.last_number.wrapping_add(1);
            self.open_requests.insert(self.last_number, (now, other));
            send(other, Message::Request { number: self.last_number, wanted: (demand - available) as f32 });
        }
    }

    /// Handles a message from another controller, and returns the answer if there is one.
    pub fn handle_message(&mut self, now: Duration, from: u32, message: Message) -> Option<Message> {
        self.remove_expired(now);
        match message {
            Message::Request { number, wanted } => self.grant(now, from, number, f64::from(wanted)),
            Message::Grant { number, rate } => {
                // Counted from the request, which precedes the grant whatever the messages' delay.
                let (requested_at, _) =
                    self.open_requests.get(&number).copied().filter(|(_, recipient)| *recipient == from)?;
                self.open_requests.remove(&number);
                // All shares are equal, so no correct controller grants more. The margin allows for rounding.
                if f64::from(rate) <= MAX_LENT_FRACTION * self.share * 1.001 {
                    self.borrowed.push((requested_at + LEASE_DURATION, f64::from(rate)));
                }
                None
            }
        }
    }

    fn grant(&mut self, now: Duration, to: u32, number: u64, wanted: f64) -> Option<Message> {
        // Leases granted before a restart are not known, so none are granted until those have expired.
        if now < self.started_at + LENDER_LEASE_DURATION
            || self.granted.contains_key(&(to, number))
            || wanted <= 0.0
        {
            return None;
        }
        let lent: f64 = self.lent.iter().map(|(_, rate)| rate).sum();
        let spare =
            (self.share - lent - RESERVE_FACTOR * self.demand).min(MAX_LENT_FRACTION * self.share - lent);
        let rate = spare.min(wanted);
        if rate < MIN_LEASE_FRACTION * self.share {
            return None;
        }
        // Rounded down, so that the recorded rate is not below the granted one.
        let granted_rate = (rate * 0.999) as f32;
        self.lent.push((now + LENDER_LEASE_DURATION, rate));
        self.granted.insert((to, number), now + LENDER_LEASE_DURATION);
        Some(Message::Grant { number, rate: granted_rate })
    }
}

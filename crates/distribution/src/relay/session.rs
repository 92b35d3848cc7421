//! The state of one watcher's connection, and the messages sent on it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use badgerledge_revisions::message::ActivationGrant;

use super::Hello;
use crate::control::ledger::{Ledger, Revision};
use crate::control::CloseReason;
use crate::message::ToWatcher;
use crate::state::{BUCKETS, GROUPS};
use crate::token_bucket::TokenBucket;
use crate::{ControllerId, Digest, Number};

/// The rate of snapshots and large deltas to one watcher, below its budget of 10 kB/s.
const BYTES_PER_SECOND: f64 = 8.0 * 1024.0;
/// The burst: the settings and a few thousand titles, so that a controller that lost its disk is current
/// within the planned 18 s.
const BURST_BYTES: f64 = 256.0 * 1024.0;
/// A delta of at most this many bytes is sent immediately, regardless of the rate limit.
const SMALL_DELTA_BYTES: usize = 16 * 1024;
/// The maximum number of requested parts that are not sent yet: more than a watcher requests at a time.
const MAX_QUEUED_PARTS: usize = 128;
/// If a watcher requests a lease for an older revision this long after an activation was sent, it is sent
/// again.
const ACTIVATION_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of bytes that the encoding adds to an entry or a digest.
const ENCODING_OVERHEAD_BYTES: usize = 8;

#[derive(Clone, Copy, Debug)]
enum Part {
    Group(u8),
    Bucket(u16),
}

struct Outstanding {
    number: Number,
    root: Digest,
    /// For a snapshot, the revision whose parts are requested. A state shares unchanged parts with later
    /// ones.
    offer: Option<Arc<Revision>>,
    /// When it was sent, or a part of it was last requested or sent.
    last_activity_at: Duration,
}

/// A watcher that was admitted.
pub(crate) struct Session {
    controller: ControllerId,
    active: Number,
    prepared: Number,
    root: Digest,
    outstanding: Option<Outstanding>,
    parts: VecDeque<Part>,
    bytes: TokenBucket,
    unfit: Option<Number>,
    /// The last activation that was sent, and when.
    activated: (Number, Duration),
}

impl Session {
    pub fn new(hello: Hello, now: Duration) -> Self {
        let Hello { controller, active, prepared, root } = hello;
        Self {
            controller,
            active,
            prepared,
            root,
            outstanding: None,
            parts: VecDeque::new(),
            bytes: TokenBucket::new(BYTES_PER_SECOND, BURST_BYTES, now),
            unfit: None,
            activated: (0, Duration::ZERO),
        }
    }

    /// The watcher sent `Hello` again on the same connection; its rate limit is not reset.
    pub fn restart(&mut self, hello: Hello) {
        (self.active, self.prepared, self.root) = (hello.active, hello.prepared, hello.root);
        (self.outstanding, self.unfit) = (None, None);
        self.parts.clear();
        self.activated = (0, Duration::ZERO);
    }

    pub fn controller(&self) -> ControllerId {
        self.controller
    }

    /// Records the active revision. If it is still an older one some time after an activation was sent, the
    /// activation is sent again.
    pub fn on_active_revision(&mut self, now: Duration, active: Number) {
        self.active = active;
        let (number, sent_at) = self.activated;
        if active < number && now >= sent_at + ACTIVATION_RETRY_INTERVAL {
            self.activated = (0, now);
        }
    }

    pub fn has_prepared(&self, number: Number) -> bool {
        self.prepared >= number
    }

    /// Whether the relay need not wait for the watcher to prepare this revision.
    pub fn is_finished_with(&self, number: Number) -> bool {
        self.has_prepared(number) || self.unfit >= Some(number)
    }

    /// Whether for this long an update was not acknowledged, and no parts of it were requested.
    pub fn is_stalled(&self, now: Duration, silence: Duration) -> bool {
        let is_stalled = |outstanding: &Outstanding| {
            self.parts.is_empty() && now >= outstanding.last_activity_at + silence
        };
        self.outstanding.as_ref().is_some_and(is_stalled)
    }

    pub fn on_prepared(&mut self, number: Number, ledger: &Ledger) {
        if let Some(outstanding) = self.outstanding.take_if(|outstanding| outstanding.number <= number) {
            self.parts.clear();
            if outstanding.number == number {
                (self.prepared, self.root) = (number, outstanding.root);
                return;
            }
        }
        if number > self.prepared {
            // It came from another relay, for example.
            (self.prepared, self.root) = (number, ledger.root_of(number).unwrap_or_default());
        }
    }

    pub fn on_unfit(&mut self, number: Number) {
        self.unfit = Some(number);
        self.outstanding = None;
        self.parts.clear();
    }

    /// # Errors
    /// If there are no such parts, or too many are requested.
    pub fn queue_parts(&mut self, now: Duration, groups: &[u8], buckets: &[u16]) -> Result<(), CloseReason> {
        if groups.iter().any(|group| *group >= GROUPS) || buckets.iter().any(|bucket| *bucket >= BUCKETS) {
            return Err(CloseReason::Protocol);
        }
        // If no snapshot is offered any more, the request was sent before the watcher knew that.
        let Some(outstanding) = self.outstanding.as_mut().filter(|outstanding| outstanding.offer.is_some())
        else {
            return Ok(());
        };
        if self.parts.len() + groups.len() + buckets.len() > MAX_QUEUED_PARTS {
            return Err(CloseReason::Flood);
        }
        outstanding.last_activity_at = now;
        self.parts.extend(groups.iter().copied().map(Part::Group));
        self.parts.extend(buckets.iter().copied().map(Part::Bucket));
        Ok(())
    }

    /// Sends the latest revision if none is outstanding, and requested parts as far as the rate limits allow.
    pub fn update(
        &mut self, now: Duration, ledger: &Ledger, shared_bytes: &mut TokenBucket, out: &mut Vec<ToWatcher>,
    ) {
        let behind = ledger.number() > self.prepared && self.unfit < Some(ledger.number());
        if self.outstanding.is_none() && behind {
            self.offer(now, ledger, shared_bytes, out);
        }
        self.send_parts(now, shared_bytes, out);
    }

    fn offer(
        &mut self, now: Duration, ledger: &Ledger, shared_bytes: &mut TokenBucket, out: &mut Vec<ToWatcher>,
    ) {
        let allowed = ledger.allowed_for(self.active, self.prepared);
        let latest = allowed.unwrap_or(ledger.latest());
        let delta = ledger.delta(self.prepared, &self.root).filter(|_| allowed.is_none());
        let offer = delta.is_none().then(|| latest.clone());
        let Some(message) = delta.or_else(|| latest.snapshot()) else { return };
        let bytes = message_bytes(&message);
        if bytes > SMALL_DELTA_BYTES && !(self.bytes.has_tokens(now) && shared_bytes.has_tokens(now)) {
            return;
        }
        self.spend(now, bytes, shared_bytes);
        let (number, root) = (latest.number, latest.state.root());
        self.outstanding = Some(Outstanding { number, root, offer, last_activity_at: now });
        out.push(message);
    }

    fn spend(&mut self, now: Duration, bytes: usize, shared_bytes: &mut TokenBucket) {
        self.bytes.spend(now, bytes as f64);
        shared_bytes.spend(now, bytes as f64);
    }

    fn send_parts(&mut self, now: Duration, shared_bytes: &mut TokenBucket, out: &mut Vec<ToWatcher>) {
        let Some(offer) = self.outstanding.as_ref().and_then(|outstanding| outstanding.offer.clone()) else {
            return;
        };
        while self.bytes.has_tokens(now) && shared_bytes.has_tokens(now) {
            let message = match self.parts.pop_front() {
                None => return,
                Some(Part::Group(group)) => offer.group(group),
                Some(Part::Bucket(bucket)) => offer.bucket(bucket),
            };
            self.spend(now, message_bytes(&message), shared_bytes);
            self.outstanding.iter_mut().for_each(|outstanding| outstanding.last_activity_at = now);
            out.push(message);
        }
    }

    /// The activation of a revision, if the watcher has prepared it and acts on an older one.
    pub fn activate(
        &mut self, now: Duration, number: Number, activation_grants: &[ActivationGrant],
    ) -> Option<ToWatcher> {
        if number <= self.activated.0 || self.active >= number || !self.has_prepared(number) {
            return None;
        }
        self.activated = (number, now);
        Some(ToWatcher::Activate { number, activation_grants: activation_grants.to_vec() })
    }
}

/// The approximate size in bytes of a message that carries state.
fn message_bytes(message: &ToWatcher) -> usize {
    match message {
        ToWatcher::Delta { edits, .. } => {
            let edit_bytes =
                |value: &Option<Vec<u8>>| value.as_ref().map_or(0, Vec::len) + ENCODING_OVERHEAD_BYTES;
            edits.iter().map(|edit| edit.key.len() + edit_bytes(&edit.value)).sum()
        }
        ToWatcher::Snapshot { groups, .. } => groups.len() * size_of::<Digest>(),
        ToWatcher::Group { buckets, .. } => buckets.len() * (size_of::<Digest>() + ENCODING_OVERHEAD_BYTES),
        ToWatcher::Bucket { entries, .. } => {
            entries.iter().map(|entry| entry.key.len() + entry.value.len() + ENCODING_OVERHEAD_BYTES).sum()
        }
        _ => 0,
    }
}

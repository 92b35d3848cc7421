//! What a relay knows of one watcher, and what goes out to it.

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

/// Bytes of snapshots and large deltas a second for one watcher, below its budget of 10 kB, and at once: what a controller that
/// lost its disk needs of settings and a few thousand titles, so that it is current within the plan's 18 s.
const BYTES_PER_SECOND: f64 = 8.0 * 1024.0;
const BYTES_AT_ONCE: f64 = 256.0 * 1024.0;
/// A delta of so many bytes goes out at once, whatever was sent before.
const SMALL_DELTA: usize = 16 * 1024;
/// Parts that a watcher has asked for and not been sent, at most: more than it asks for at once.
const MOST_PARTS: usize = 128;
/// The word to act is said again to one that asks for a lease on an older revision so long after it was sent.
const ACTIVATE_AGAIN: Duration = Duration::from_secs(1);
/// What the encoding adds to an entry or a digest, at most.
const BESIDE: usize = 8;

#[derive(Clone, Copy, Debug)]
enum Part {
    Group(u8),
    Bucket(u16),
}

struct Outstanding {
    number: Number,
    root: Digest,
    /// What parts are asked of, for a snapshot. A state shares what did not change with later ones.
    offer: Option<Arc<Revision>>,
    /// When it was sent, or something of it was asked for or sent last.
    moved_at: Duration,
}

/// A watcher that was admitted.
pub(crate) struct Session {
    controller: ControllerId,
    active: Number,
    held: Number,
    root: Digest,
    outstanding: Option<Outstanding>,
    parts: VecDeque<Part>,
    bytes: TokenBucket,
    unfit: Option<Number>,
    /// The last word to act that was sent, and when.
    activated: (Number, Duration),
}

impl Session {
    pub fn new(hello: Hello, now: Duration) -> Self {
        let Hello { controller, active, held, root } = hello;
        Self {
            controller,
            active,
            held,
            root,
            outstanding: None,
            parts: VecDeque::new(),
            bytes: TokenBucket::new(BYTES_PER_SECOND, BYTES_AT_ONCE, now),
            unfit: None,
            activated: (0, Duration::ZERO),
        }
    }

    /// The watcher says anew what it holds; what it may be sent a second stays.
    pub fn begin_again(&mut self, hello: Hello) {
        (self.active, self.held, self.root) = (hello.active, hello.held, hello.root);
        (self.outstanding, self.unfit) = (None, None);
        self.parts.clear();
        self.activated = (0, Duration::ZERO);
    }

    pub fn controller(&self) -> ControllerId {
        self.controller
    }

    /// Where it still acts on an older one some time after the word to act was sent, it is said again.
    pub fn acts_on(&mut self, now: Duration, active: Number) {
        self.active = active;
        let (number, at) = self.activated;
        if active < number && now >= at + ACTIVATE_AGAIN {
            self.activated = (0, now);
        }
    }

    pub fn has(&self, number: Number) -> bool {
        self.held >= number
    }

    /// Whether nothing more is to be waited for.
    pub fn is_done_with(&self, number: Number) -> bool {
        self.has(number) || self.unfit >= Some(number)
    }

    /// Whether an update is not acknowledged, nor parts of it asked for, for so long.
    pub fn is_stuck(&self, now: Duration, silence: Duration) -> bool {
        let stuck = |held: &Outstanding| self.parts.is_empty() && now >= held.moved_at + silence;
        self.outstanding.as_ref().is_some_and(stuck)
    }

    pub fn prepared(&mut self, number: Number, ledger: &Ledger) {
        if let Some(held) = self.outstanding.take_if(|held| held.number <= number) {
            self.parts.clear();
            if held.number == number {
                (self.held, self.root) = (number, held.root);
                return;
            }
        }
        if number > self.held {
            // From another relay, say.
            (self.held, self.root) = (number, ledger.root_of(number).unwrap_or_default());
        }
    }

    pub fn unfit(&mut self, number: Number) {
        self.unfit = Some(number);
        self.outstanding = None;
        self.parts.clear();
    }

    /// # Errors
    /// Where there are no such parts, or too many are asked for.
    pub fn ask_parts(&mut self, now: Duration, groups: &[u8], buckets: &[u16]) -> Result<(), CloseReason> {
        if groups.iter().any(|group| *group >= GROUPS) || buckets.iter().any(|bucket| *bucket >= BUCKETS) {
            return Err(CloseReason::Protocol);
        }
        // Where nothing is offered any more, they were asked for before that was known.
        let Some(held) = self.outstanding.as_mut().filter(|held| held.offer.is_some()) else { return Ok(()) };
        if self.parts.len() + groups.len() + buckets.len() > MOST_PARTS {
            return Err(CloseReason::Flood);
        }
        held.moved_at = now;
        self.parts.extend(groups.iter().copied().map(Part::Group));
        self.parts.extend(buckets.iter().copied().map(Part::Bucket));
        Ok(())
    }

    /// Sends the latest revision, if none is outstanding, and parts of what is, as far as the bytes go.
    pub fn update(
        &mut self, now: Duration, ledger: &Ledger, of_all: &mut TokenBucket, out: &mut Vec<ToWatcher>,
    ) {
        let behind = ledger.number() > self.held && self.unfit < Some(ledger.number());
        if self.outstanding.is_none() && behind {
            self.offer(now, ledger, of_all, out);
        }
        self.send_parts(now, of_all, out);
    }

    fn offer(&mut self, now: Duration, ledger: &Ledger, of_all: &mut TokenBucket, out: &mut Vec<ToWatcher>) {
        let allowed = ledger.allowed_before(self.active, self.held);
        let latest = allowed.unwrap_or(ledger.latest());
        let delta = ledger.delta(self.held, &self.root).filter(|_| allowed.is_none());
        let offer = delta.is_none().then(|| latest.clone());
        let Some(message) = delta.or_else(|| latest.snapshot()) else { return };
        let bytes = size(&message);
        if bytes > SMALL_DELTA && !(self.bytes.has_tokens(now) && of_all.has_tokens(now)) {
            return;
        }
        self.spend(now, bytes, of_all);
        let (number, root) = (latest.number, latest.state.root());
        self.outstanding = Some(Outstanding { number, root, offer, moved_at: now });
        out.push(message);
    }

    fn spend(&mut self, now: Duration, bytes: usize, of_all: &mut TokenBucket) {
        self.bytes.spend(now, bytes as f64);
        of_all.spend(now, bytes as f64);
    }

    fn send_parts(&mut self, now: Duration, of_all: &mut TokenBucket, out: &mut Vec<ToWatcher>) {
        let Some(offer) = self.outstanding.as_ref().and_then(|held| held.offer.clone()) else { return };
        while self.bytes.has_tokens(now) && of_all.has_tokens(now) {
            let message = match self.parts.pop_front() {
                None => return,
                Some(Part::Group(group)) => offer.group(group),
                Some(Part::Bucket(bucket)) => offer.bucket(bucket),
            };
            self.spend(now, size(&message), of_all);
            self.outstanding.iter_mut().for_each(|held| held.moved_at = now);
            out.push(message);
        }
    }

    /// The word to act, if the watcher has that revision and acts on an older one.
    pub fn activate(&mut self, now: Duration, number: Number, goes: &[ActivationGrant]) -> Option<ToWatcher> {
        if number <= self.activated.0 || self.active >= number || !self.has(number) {
            return None;
        }
        self.activated = (number, now);
        Some(ToWatcher::Activate { number, activation_grants: goes.to_vec() })
    }
}

/// About the bytes of a message that carries state.
fn size(message: &ToWatcher) -> usize {
    match message {
        ToWatcher::Delta { edits, .. } => {
            let edit = |value: &Option<Vec<u8>>| value.as_ref().map_or(0, Vec::len) + BESIDE;
            edits.iter().map(|of| of.key.len() + edit(&of.value)).sum()
        }
        ToWatcher::Snapshot { groups, .. } => groups.len() * size_of::<Digest>(),
        ToWatcher::Group { buckets, .. } => buckets.len() * (size_of::<Digest>() + BESIDE),
        ToWatcher::Bucket { entries, .. } => {
            entries.iter().map(|entry| entry.key.len() + entry.value.len() + BESIDE).sum()
        }
        _ => 0,
    }
}

//! The state of a member: its active and prepared revisions, what it stores, and what it reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::dissemination::LEASE_RETRY_INTERVAL;
use crate::gate::Gate;
use crate::learner::Learner;
use crate::lease::{GrantedLeases, HeldLeases, REQUESTS_PER_LEASE};
use crate::message::{MemberRemoval, Message, Position};
use crate::proposal::Proposal;
use crate::relay_leases::RelayLeases;
use crate::store::StoredState;
use crate::{bound, lease_duration_for, Acceptor, ActivationMode, Digest, Member, Number, Signed, Signer};

/// Checks whether this program can activate a text, and if not, why.
pub type Check = Box<dyn Fn(&[u8]) -> Result<(), String> + Send>;

/// Interval after which a text that is missing is requested again, from another member.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Texts that are cached although nothing certified or proposed refers to them. A text has up to 16 MB, so
/// the limit bounds the memory that a flood of texts can take.
const MAX_UNREFERENCED_TEXTS: usize = 3;

/// The configuration of a member.
pub struct MemberConfig {
    pub local_id: Member,
    /// Incarnation of the process; later than any that this member had before.
    pub incarnation: u32,
    pub mode: ActivationMode,
    /// How long a decision may take to take effect after it was made; part of the stated bound.
    pub activation_delay: Duration,
    pub check: Check,
}

/// Output of the state machine, in this order: whatever is to be stored must be durable before any later
/// output is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberOutput {
    Send(Member, Vec<u8>),
    Store(Vec<u8>),
    StoreText(Digest, Arc<[u8]>),
    /// Fetch the text of this head from that member.
    Fetch(Signed, Member),
    /// The active or the prepared revision has changed.
    Changed,
    /// A certified revision can't be activated by this member, for the given reason.
    Unusable(Number, String),
}

/// Why a member is on hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// The member had no stored state, and no quorum of acceptors has confirmed yet that its own file is
    /// current.
    Unsure,
    /// No quorum of acceptors has granted a lease that is still valid.
    NoLease,
    /// Other members may have activated a revision that this member does not have or can't activate.
    Behind,
}

/// The revisions that a member has active and prepared at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveRevision {
    pub active: Number,
    /// A later revision that this member has reported as prepared; others may activate it at any time.
    pub prepared: Option<Number>,
    /// Why the member is on hold, if it is.
    pub held: Option<HoldReason>,
}

/// The state of a member, for its operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    pub active_revision: ActiveRevision,
    pub certified: Number,
    pub digest: Digest,
    /// The longest time for which two members may have contradicting revisions active.
    pub bound: Duration,
    pub lease_until: Option<Duration>,
    /// Members that have not reported the certified revision as prepared, as far as this member knows.
    pub waited_for: Vec<Member>,
    /// Members that an author has declared removed.
    pub removed: Vec<Member>,
    pub acceptor: Option<Acceptor>,
    pub positions: BTreeMap<Member, Position>,
}

/// The state machine of a member. Time, messages and random seed come from the caller; results are returned
/// as [`MemberOutput`].
pub struct Revisions<H> {
    pub(crate) signer: H,
    pub(crate) config: MemberConfig,
    pub(crate) lease_duration: Duration,
    pub(crate) learner: Learner,
    pub(crate) acceptor: Option<Acceptor>,
    pub(crate) granted_leases: GrantedLeases,
    pub(crate) held_leases: HeldLeases,
    pub(crate) positions: BTreeMap<Member, Position>,
    pub(crate) texts: BTreeMap<Digest, Arc<[u8]>>,
    pub(crate) active: Number,
    pub(crate) active_head: Option<Signed>,
    own_text: Arc<[u8]>,
    /// The certified revision whose text this member has checked and stored.
    pub(crate) prepared: Option<Number>,
    /// The highest number that was reported as prepared, and since when others may have a revision active
    /// that is not active here.
    pub(crate) reported_prepared: (Number, Duration),
    /// The certified revision that this member can't activate.
    unusable: Option<Number>,
    unconfirmed: bool,
    pub(crate) proposal: Option<Proposal>,
    /// The highest round of this member's ballots in this incarnation; no round is used for two texts.
    pub(crate) highest_round: u32,
    pub(crate) removals: BTreeMap<Member, MemberRemoval>,
    pub(crate) rng: Rng,
    pub(crate) next_position_at: Duration,
    pub(crate) next_lease_request_at: Duration,
    /// The interval until the next lease request, while a change is recent.
    pub(crate) lease_retry_interval: Duration,
    pub(crate) next_fetch_at: Duration,
    pub(crate) next_grant_resend_at: Duration,
    pub(crate) next_catch_up_at: Duration,
    pub(crate) next_recovery_request_at: Duration,
    /// When an acceptor proposes a revision itself that it accepted and that is still not certified.
    pub(crate) takeover_at: Option<Duration>,
    /// Until then positions are exchanged at the short interval.
    pub(crate) short_interval_until: Duration,
    /// When each member was last sent what it lacked.
    pub(crate) last_catch_up: BTreeMap<Member, Duration>,
    /// Conditions set by the driver, where the text of a revision stands for more than itself.
    pub(crate) gate: Option<Gate>,
    /// Relay leases, where they are enabled.
    pub(crate) relay_leases: Option<RelayLeases>,
}

impl<H: Signer> Revisions<H> {
    /// Creates a member from its stored state, or else from its own file. `texts` are the stored texts that
    /// were found.
    pub fn new(
        signer: H, config: MemberConfig, own_text: Arc<[u8]>, stored: Option<StoredState>,
        texts: Vec<Arc<[u8]>>, now: Duration, seed: u64,
    ) -> Self {
        let lease_duration = lease_duration_for(signer.members().len());
        let is_acceptor = signer.acceptors().contains(&config.local_id);
        let acceptor_state = stored.as_ref().and_then(|stored| stored.acceptor.clone());
        let acceptor =
            is_acceptor.then(|| acceptor_state.map_or_else(Acceptor::recovering, Acceptor::with_state));
        let mut member = Self {
            unconfirmed: stored.as_ref().is_none_or(|stored| stored.unconfirmed),
            lease_duration,
            learner: Learner::default(),
            acceptor,
            granted_leases: GrantedLeases::new(now),
            held_leases: HeldLeases::new(config.incarnation),
            positions: BTreeMap::new(),
            texts: texts.into_iter().map(|text| (crate::digest(&text), text)).collect(),
            active: 0,
            active_head: None,
            own_text,
            prepared: None,
            reported_prepared: (0, Duration::ZERO),
            unusable: None,
            proposal: None,
            highest_round: 0,
            removals: BTreeMap::new(),
            rng: Rng(seed),
            next_position_at: now,
            next_lease_request_at: now,
            lease_retry_interval: LEASE_RETRY_INTERVAL,
            next_fetch_at: now,
            next_grant_resend_at: now,
            next_catch_up_at: now,
            next_recovery_request_at: now,
            takeover_at: None,
            short_interval_until: now,
            last_catch_up: BTreeMap::new(),
            gate: None,
            relay_leases: None,
            signer,
            config,
        };
        member.restore(stored.unwrap_or_default());
        member
    }

    /// Restores the stored state as far as it is complete: the active revision, and what was reported as
    /// prepared.
    fn restore(&mut self, stored: StoredState) {
        // The time of the report is not stored, so the grace period after it counts as over.
        self.reported_prepared = (stored.reported_prepared, Duration::ZERO);
        self.removals = stored.removals.iter().map(|removal| (removal.member, *removal)).collect();
        let is_usable = |texts: &BTreeMap<Digest, Arc<[u8]>>, signed: &Signed, check: &Check| {
            texts.get(&signed.head.text).is_some_and(|text| check(text).is_ok())
        };
        if let Some(latest) = stored.latest.filter(|latest| latest.holds(&self.signer)) {
            if is_usable(&self.texts, &latest.signed, &self.config.check) {
                self.prepared = Some(latest.number());
            }
            self.acceptor.iter_mut().for_each(|acceptor| acceptor.on_certified(latest.number()));
            self.learner.install(latest);
        }
        // This member verified that the author's key was valid when it voted for the head.
        let accepted = stored.accepted_head.filter(|head| self.accepted_digest() == Some(head.head.digest()));
        accepted.into_iter().for_each(|head| self.learner.restore_head(head));
        if let Some(head) = stored.active_head.filter(|head| is_usable(&self.texts, head, &self.config.check))
        {
            (self.active, self.active_head) = (stored.active, Some(head));
        } else if stored.active > 0 {
            // The text of the stored active revision is missing or unusable, and the own file may be far
            // older.
            self.unconfirmed = true;
        }
    }

    /// The signer of this member.
    pub fn signer(&self) -> &H {
        &self.signer
    }

    /// Replaces the ring. Acceptors that it adds or no longer lists count accordingly from now on.
    pub fn replace_signer(&mut self, signer: H) {
        self.lease_duration = lease_duration_for(signer.members().len());
        self.learner.revalidate_heads(self.accepted_digest(), &signer);
        let learner = &self.learner;
        self.proposal.take_if(|proposal| learner.head(&proposal.pushed.head.digest()).is_none());
        self.signer = signer;
    }

    /// The digest that this acceptor accepted last, while its number is not certified.
    pub(crate) fn accepted_digest(&self) -> Option<Digest> {
        self.acceptor.as_ref().and_then(|acceptor| acceptor.state().accepted).map(|(_, digest)| digest)
    }

    /// The length of a lease.
    pub fn lease_duration(&self) -> Duration {
        self.lease_duration
    }

    /// The text of the active revision.
    pub fn active_text(&self) -> &Arc<[u8]> {
        let text = self.active_head.as_ref().and_then(|signed| self.texts.get(&signed.head.text));
        text.unwrap_or(&self.own_text)
    }

    /// The text of the prepared revision, while it is not active.
    pub fn prepared_text(&self) -> Option<&Arc<[u8]>> {
        let latest = self.learner.latest.as_ref()?;
        self.pending_prepared().and_then(|_| self.texts.get(&latest.signed.head.text))
    }

    /// The text of the latest certified revision, if this member has it.
    pub fn latest_text(&self) -> Option<&Arc<[u8]>> {
        match &self.learner.latest {
            Some(latest) => self.texts.get(&latest.signed.head.text),
            None => Some(&self.own_text),
        }
    }

    /// The text with this digest, for other members that fetch it.
    pub fn text_by_digest(&self, text: &Digest) -> Option<&Arc<[u8]>> {
        self.texts.get(text)
    }

    /// The number of the next revision, and the digest of the head that it must name as its predecessor.
    pub fn next(&self) -> (Number, Digest) {
        (self.learner.number() + 1, self.learner.digest())
    }

    fn pending_prepared(&self) -> Option<Number> {
        self.prepared.filter(|number| *number > self.active)
    }

    /// The revisions that are active and prepared, and whether the member is on hold. The caller evaluates it
    /// just before each decision that a revision governs, so that a process that was suspended for longer
    /// than its lease notices.
    pub fn active_revision(&self, now: Duration) -> ActiveRevision {
        let prepared = self.pending_prepared();
        ActiveRevision { active: self.active, prepared, held: self.hold_reason(now) }
    }

    fn hold_reason(&self, now: Duration) -> Option<HoldReason> {
        if self.learner.may_activate(&self.signer) && self.learner.number() > self.active {
            return Some(HoldReason::Behind);
        }
        if self.signer.acceptors().is_empty() {
            return None;
        }
        let until = self.held_leases.valid_until(self.signer.acceptors().len(), self.lease_duration);
        let leased = until.is_some_and(|until| now < until);
        if leased {
            return None;
        }
        if self.unconfirmed {
            return Some(HoldReason::Unsure);
        }
        let pending = self.reported_prepared.0 > self.active;
        // Under `Wait` nobody can have activated a revision before this member reported it as prepared, so
        // for the length of a lease after that report no lease is needed.
        let in_grace_period = self.config.mode == ActivationMode::Wait
            && pending
            && now < self.reported_prepared.1 + self.lease_duration;
        let needs_lease = self.config.mode == ActivationMode::Hold || pending;
        (needs_lease && !in_grace_period).then_some(HoldReason::NoLease)
    }

    /// What this member reports about itself to others.
    pub(crate) fn position(&self, now: Duration) -> Position {
        let certified = self.learner.number();
        Position {
            active: self.active,
            certified,
            has_text: certified == 0 || self.is_prepared(certified),
            refuses: self.unusable == Some(certified) && certified > 0,
            held: self.hold_reason(now).is_some(),
        }
    }

    /// The longest time for which two members may have contradicting revisions active.
    pub fn bound(&self) -> Duration {
        bound(self.lease_duration, self.config.activation_delay)
    }

    /// The state of this member, for its operator.
    pub fn status(&self, now: Duration) -> Status {
        Status {
            active_revision: self.active_revision(now),
            certified: self.learner.number(),
            digest: self.learner.digest(),
            bound: self.bound(),
            lease_until: self.held_leases.valid_until(self.signer.acceptors().len(), self.lease_duration),
            waited_for: self.waited_for(now),
            removed: self
                .removals
                .values()
                .filter(|removal| removal.removed)
                .map(|removal| removal.member)
                .collect(),
            acceptor: self.acceptor.clone(),
            positions: self.positions.clone(),
        }
    }

    /// Emits the state that must survive the process.
    pub(crate) fn persist(&self, out: &mut Vec<MemberOutput>) {
        let stored = StoredState {
            active: self.active,
            active_head: self.active_head,
            reported_prepared: self.reported_prepared.0,
            latest: self.learner.latest.clone(),
            acceptor: self
                .acceptor
                .as_ref()
                .filter(|acceptor| !acceptor.is_recovering())
                .map(|acceptor| acceptor.state().clone()),
            removals: self.removals.values().copied().collect(),
            unconfirmed: self.unconfirmed,
            accepted_head: self.accepted_digest().and_then(|digest| self.learner.head(&digest).copied()),
        };
        out.push(MemberOutput::Store(stored.write()));
    }

    /// Takes an author's statement that a member is permanently removed, or is back. Returns whether it was
    /// new.
    pub fn add_removal(
        &mut self, now: Duration, removal: MemberRemoval, out: &mut Vec<MemberOutput>,
    ) -> bool {
        let known = self
            .removals
            .get(&removal.member)
            .is_some_and(|known_removal| known_removal.sequence >= removal.sequence);
        if known || !removal.holds(&self.signer) {
            return false;
        }
        self.removals.insert(removal.member, removal);
        // Nobody waits for a removed member, so its active revision may be out of date.
        self.unconfirmed |= removal.removed && removal.member == self.config.local_id;
        self.persist(out);
        for acceptor in self.signer.acceptors().to_vec() {
            self.send(now, acceptor, Message::Removal(removal), out);
        }
        self.grant_activation_if_ready(now, out);
        true
    }

    /// Prepares the latest certified revision if its text is here: checks it, stores it and reports it to the
    /// acceptors.
    pub(crate) fn prepare(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        let Some(latest) = &self.learner.latest else { return };
        let (number, signed) = (latest.number(), latest.signed);
        let done = self.unusable == Some(number) || self.prepared >= Some(number);
        if done || self.active >= number {
            return self.activate(now, out);
        }
        let Some(text) = self.texts.get(&signed.head.text).cloned() else {
            self.next_fetch_at = now;
            return;
        };
        if let Err(reason) = (self.config.check)(&text) {
            self.unusable = Some(number);
            out.push(MemberOutput::Unusable(number, reason));
            return;
        }
        // The text must be durable before anybody relies on the report.
        let pending = self.reported_prepared.0 > self.active;
        self.reported_prepared = (number, if pending { self.reported_prepared.1 } else { now });
        self.prepared = Some(number);
        out.push(MemberOutput::StoreText(signed.head.text, text));
        self.persist(out);
        out.push(MemberOutput::Changed);
        (self.next_lease_request_at, self.lease_retry_interval) = (now, LEASE_RETRY_INTERVAL);
        self.use_short_interval(now);
        self.activate(now, out);
        self.grant_activation_if_ready(now, out);
    }

    /// Activates the latest certified revision once a quorum of acceptors has granted its activation.
    pub(crate) fn activate(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        let Some(latest) = self.learner.latest.as_ref().filter(|latest| latest.number() > self.active) else {
            return;
        };
        let ready = self.prepared == Some(latest.number());
        if !ready || !self.learner.may_activate(&self.signer) {
            return;
        }
        (self.active, self.active_head) = (latest.number(), Some(latest.signed));
        let in_use: Vec<Digest> = self.texts_in_use();
        self.texts.retain(|text, _| in_use.contains(text));
        self.persist(out);
        out.push(MemberOutput::Changed);
        self.next_lease_request_at =
            self.next_lease_request_at.min(now + self.lease_duration / REQUESTS_PER_LEASE);
        self.use_short_interval(now);
    }

    fn texts_in_use(&self) -> Vec<Digest> {
        let pushed = self.proposal.as_ref().map(|proposal| proposal.pushed.head.text);
        let latest = self.learner.latest.as_ref().map(|latest| latest.signed.head.text);
        // A text that this acceptor voted for may be certified by the votes of others, and must then be
        // available from somebody.
        let chosen = self.proposal.as_ref().and_then(|proposal| proposal.chosen);
        let uncertified = [self.accepted_digest(), chosen].into_iter().flatten();
        let uncertified =
            uncertified.filter_map(|digest| self.learner.head(&digest)).map(|signed| signed.head.text);
        let active = self.active_head.map(|signed| signed.head.text);
        active.into_iter().chain(latest).chain(pushed).chain(uncertified).collect()
    }

    /// Starts the period in which positions are exchanged at the short interval.
    pub(crate) fn use_short_interval(&mut self, now: Duration) {
        self.short_interval_until = now + self.lease_duration * 2;
        self.next_position_at = now;
    }

    /// Ends the unconfirmed state once a quorum of acceptors has granted leases.
    pub(crate) fn confirm(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        let leased = self
            .held_leases
            .valid_until(self.signer.acceptors().len(), self.lease_duration)
            .is_some_and(|until| now < until);
        if self.unconfirmed && leased {
            self.unconfirmed = false;
            self.persist(out);
            out.push(MemberOutput::Changed);
        }
    }

    /// The head of the latest certified revision, if its text is still to be fetched.
    pub(crate) fn missing_text(&self) -> Option<Signed> {
        let latest = self.learner.latest.as_ref()?;
        let done = self.unusable == Some(latest.number()) || self.prepared >= Some(latest.number());
        (!done && !self.texts.contains_key(&latest.signed.head.text)).then_some(latest.signed)
    }

    /// Requests the missing text from a random member that has it, or else from an acceptor.
    pub(crate) fn fetch_text(&mut self, now: Duration, out: &mut Vec<MemberOutput>) {
        let Some(signed) = self.missing_text() else { return };
        self.next_fetch_at = now + FETCH_RETRY_INTERVAL;
        let number = signed.head.number;
        let has_text =
            |(_, position): &(&Member, &Position)| position.certified >= number && position.has_text;
        let mut sources: Vec<Member> =
            self.positions.iter().filter(has_text).map(|(member, _)| *member).collect();
        if sources.is_empty() {
            sources = self
                .signer
                .acceptors()
                .iter()
                .copied()
                .filter(|acceptor| *acceptor != self.config.local_id)
                .collect();
        }
        if let Some(source) = self.random_member(&sources) {
            out.push(MemberOutput::Fetch(signed, source));
        }
    }

    /// Caches a text. Only a few of those that nothing certified or proposed refers to are kept.
    pub(crate) fn cache_text(&mut self, digest: Digest, text: Arc<[u8]>) {
        let in_use = self.texts_in_use();
        let unreferenced: Vec<Digest> =
            self.texts.keys().copied().filter(|text| !in_use.contains(text)).collect();
        if unreferenced.len() >= MAX_UNREFERENCED_TEXTS {
            unreferenced.first().map(|text| self.texts.remove(text));
        }
        self.texts.insert(digest, text);
    }

    /// One of these members, chosen at random.
    pub(crate) fn random_member(&mut self, members: &[Member]) -> Option<Member> {
        let index = (self.rng.unit_interval() * members.len() as f64) as usize;
        members.get(index).copied()
    }

    /// Takes a text that was fetched.
    ///
    /// # Errors
    /// If it is not the text that its head names; nothing has changed then.
    pub fn take_text(
        &mut self, now: Duration, signed: &Signed, text: Arc<[u8]>, out: &mut Vec<MemberOutput>,
    ) -> Result<(), crate::Refused> {
        signed.head.check_text(&text)?;
        self.cache_text(signed.head.text, text);
        self.prepare(now, out);
        Ok(())
    }
}

//! A member: what it acts on, and what comes in.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::apart::Apart;
use crate::gate::Gate;
use crate::learned::Learned;
use crate::lease::{Granted, Held, ASKS_IN_A_LEASE};
use crate::propose::Proposal;
use crate::spread::ASK_AGAIN;
use crate::store::Stored;
use crate::word::{Gone, Position, Word};
use crate::{bound, lease_for, Digest, Hand, Keeper, Member, Number, Regime, Signed};

/// A text that this program can act on, or why it can't.
pub type Check = Box<dyn Fn(&[u8]) -> Result<(), String> + Send>;

/// A text that is wanted is asked for again, from another member, after this.
const WANTS_EVERY: Duration = Duration::from_secs(1);

/// Texts that are kept without being certified: a flood of them, each of 16 MB at most, costs no more memory.
const SPARE_TEXTS: usize = 3;

/// What a member is given.
pub struct Terms {
    pub me: Member,
    /// Later than all that this member had before.
    pub life: u32,
    pub regime: Regime,
    /// How long what was decided may take to go out, for the bound that is stated.
    pub late: Duration,
    pub check: Check,
}

/// What a member wants done, in this order: what is stored must be on the disk before what follows goes out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Given {
    Send(Member, Vec<u8>),
    Store(Vec<u8>),
    StoreText(Digest, Arc<[u8]>),
    /// The text of this head is to be fetched from that member.
    Fetch(Signed, Member),
    /// What it acts on, or has prepared, is another.
    Changed,
    /// A text that was certified can't be acted on here, and why.
    Unfit(Number, String),
}

/// Why a member holds back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hold {
    /// It has nothing stored, and no quorum of keepers has told it that its file is still what holds.
    Unsure,
    /// No quorum of keepers has answered it for a lease.
    NoLease,
    /// Others act on a revision that it does not have, or can't act on.
    Behind,
}

/// What a member acts on at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acting {
    pub active: Number,
    /// A later one that it has said to have, and that others may act on at any time.
    pub prepared: Option<Number>,
    pub held: Option<Hold>,
}

/// What a member knows, for its operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    pub acting: Acting,
    pub certified: Number,
    pub digest: Digest,
    /// How long two members may act on contradicting revisions at most.
    pub bound: Duration,
    pub lease_until: Option<Duration>,
    /// Members that have not said to have the certified one, as far as this one knows.
    pub waited_for: Vec<Member>,
    pub gone: Vec<Member>,
    pub keeper: Option<Keeper>,
    pub positions: BTreeMap<Member, Position>,
}

pub struct Revisions<H> {
    pub(crate) hand: H,
    pub(crate) terms: Terms,
    pub(crate) lease: Duration,
    pub(crate) learned: Learned,
    pub(crate) keeper: Option<Keeper>,
    pub(crate) granted: Granted,
    pub(crate) leases: Held,
    pub(crate) positions: BTreeMap<Member, Position>,
    pub(crate) texts: BTreeMap<Digest, Arc<[u8]>>,
    pub(crate) active: Number,
    pub(crate) active_head: Option<Signed>,
    own_text: Arc<[u8]>,
    /// The certified one that it has, checked and stored.
    pub(crate) prepared: Option<Number>,
    /// The highest number that it said to have, and since when others may act on one that it does not act on.
    pub(crate) told: (Number, Duration),
    /// The certified one that it can't act on.
    unfit: Option<Number>,
    unsure: bool,
    pub(crate) proposal: Option<Proposal>,
    /// The highest round of its own ballots in this life: none is used for two texts.
    pub(crate) round: u32,
    pub(crate) gone: BTreeMap<Member, Gone>,
    pub(crate) chance: Rng,
    pub(crate) next_beat: Duration,
    pub(crate) next_ask: Duration,
    /// How long the next wait for an answer is, while something is new.
    pub(crate) ask_again: Duration,
    pub(crate) next_fetch: Duration,
    pub(crate) next_go: Duration,
    pub(crate) next_give: Duration,
    pub(crate) next_recall: Duration,
    /// When a keeper that accepted what is still not certified proposes it itself.
    pub(crate) next_rescue: Option<Duration>,
    /// News go round faster until then.
    pub(crate) busy_until: Duration,
    /// When each member was last given what it lacked.
    pub(crate) gave: BTreeMap<Member, Duration>,
    /// What the driver decides, where the text stands for more than itself.
    pub(crate) gate: Option<Gate>,
    /// Relay leases, where they are on.
    pub(crate) apart: Option<Apart>,
}

impl<H: Hand> Revisions<H> {
    /// A member that acts on what it stored, or else on its own file. `texts` are those that it finds.
    pub fn new(
        hand: H, terms: Terms, own_text: Arc<[u8]>, stored: Option<Stored>, texts: Vec<Arc<[u8]>>,
        now: Duration, seed: u64,
    ) -> Self {
        let lease = lease_for(hand.members().len());
        let keeps = hand.keepers().contains(&terms.me);
        let kept = stored.as_ref().and_then(|stored| stored.keeper.clone());
        let keeper = keeps.then(|| kept.map_or_else(Keeper::reborn, Keeper::awake));
        let mut member = Self {
            unsure: stored.as_ref().is_none_or(|stored| stored.unsure),
            lease,
            learned: Learned::default(),
            keeper,
            granted: Granted::new(now),
            leases: Held::new(terms.life),
            positions: BTreeMap::new(),
            texts: texts.into_iter().map(|text| (crate::digest(&text), text)).collect(),
            active: 0,
            active_head: None,
            own_text,
            prepared: None,
            told: (0, Duration::ZERO),
            unfit: None,
            proposal: None,
            round: 0,
            gone: BTreeMap::new(),
            chance: Rng(seed),
            next_beat: now,
            next_ask: now,
            ask_again: ASK_AGAIN,
            next_fetch: now,
            next_go: now,
            next_give: now,
            next_recall: now,
            next_rescue: None,
            busy_until: now,
            gave: BTreeMap::new(),
            gate: None,
            apart: None,
            hand,
            terms,
        };
        member.recall(stored.unwrap_or_default());
        member
    }

    /// Takes what was stored, as far as it is whole: what it acted on, and what it had said to have.
    fn recall(&mut self, stored: Stored) {
        // How long ago it said so is not known: nothing is left of that time.
        self.told = (stored.told, Duration::ZERO);
        self.gone = stored.gone.iter().map(|gone| (gone.member, *gone)).collect();
        let fit = |texts: &BTreeMap<Digest, Arc<[u8]>>, signed: &Signed, check: &Check| {
            texts.get(&signed.head.text).is_some_and(|text| check(text).is_ok())
        };
        if let Some(top) = stored.top.filter(|top| top.holds(&self.hand)) {
            if fit(&self.texts, &top.signed, &self.terms.check) {
                self.prepared = Some(top.number());
            }
            self.keeper.iter_mut().for_each(|keeper| keeper.certified(top.number()));
            self.learned.install(top);
        }
        // It is its own word that its author's key held when it voted.
        let accepted = stored.accepted_head.filter(|head| self.accepted() == Some(head.head.digest()));
        accepted.into_iter().for_each(|head| self.learned.recall_head(head));
        if let Some(head) = stored.active_head.filter(|head| fit(&self.texts, head, &self.terms.check)) {
            (self.active, self.active_head) = (stored.active, Some(head));
        } else if stored.active > 0 {
            // What it acted on is not to be found whole: its file may be far older.
            self.unsure = true;
        }
    }

    pub fn hand(&self) -> &H {
        &self.hand
    }

    /// Takes another ring. Keepers that it names anew or no more count from now on.
    pub fn take_hand(&mut self, hand: H) {
        self.lease = lease_for(hand.members().len());
        self.learned.recheck(self.accepted(), &hand);
        let learned = &self.learned;
        self.proposal.take_if(|proposal| learned.head(&proposal.wanted.head.digest()).is_none());
        self.hand = hand;
    }

    /// What a keeper accepted last, while its number is open.
    pub(crate) fn accepted(&self) -> Option<Digest> {
        self.keeper.as_ref().and_then(|keeper| keeper.kept().accepted).map(|(_, digest)| digest)
    }

    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// The text that is acted on.
    pub fn active_text(&self) -> &Arc<[u8]> {
        let text = self.active_head.as_ref().and_then(|signed| self.texts.get(&signed.head.text));
        text.unwrap_or(&self.own_text)
    }

    /// The text of what is prepared, while it is not acted on.
    pub fn prepared_text(&self) -> Option<&Arc<[u8]>> {
        let top = self.learned.top.as_ref()?;
        self.prepared_number().and_then(|_| self.texts.get(&top.signed.head.text))
    }

    /// The text of the highest revision that is known certified, once it is here.
    pub fn latest_text(&self) -> Option<&Arc<[u8]>> {
        match &self.learned.top {
            Some(top) => self.texts.get(&top.signed.head.text),
            None => Some(&self.own_text),
        }
    }

    /// A text that this member has, for others.
    pub fn text_of(&self, text: &Digest) -> Option<&Arc<[u8]>> {
        self.texts.get(text)
    }

    /// The head that a next revision must follow, and its number.
    pub fn next(&self) -> (Number, Digest) {
        (self.learned.number() + 1, self.learned.digest())
    }

    fn prepared_number(&self) -> Option<Number> {
        self.prepared.filter(|number| *number > self.active)
    }

    /// What it may act on. It is to be asked just before each decision that a revision governs: a process that stood
    /// still for longer than its lease learns here that it did.
    pub fn acting(&self, now: Duration) -> Acting {
        let prepared = self.prepared_number();
        Acting { active: self.active, prepared, held: self.hold(now) }
    }

    fn hold(&self, now: Duration) -> Option<Hold> {
        if self.learned.may_act(&self.hand) && self.learned.number() > self.active {
            return Some(Hold::Behind);
        }
        if self.hand.keepers().is_empty() {
            return None;
        }
        let until = self.leases.until(self.hand.keepers().len(), self.lease);
        let leased = until.is_some_and(|until| now < until);
        if leased {
            return None;
        }
        if self.unsure {
            return Some(Hold::Unsure);
        }
        let pending = self.told.0 > self.active;
        // Where a change waits for each, nobody acted on what it had not said to have before it said so.
        let fresh = self.terms.regime == Regime::Wait && pending && now < self.told.1 + self.lease;
        let needs = self.terms.regime == Regime::Hold || pending;
        (needs && !fresh).then_some(Hold::NoLease)
    }

    /// Where it stands, for others.
    pub(crate) fn position(&self, now: Duration) -> Position {
        let certified = self.learned.number();
        Position {
            active: self.active,
            certified,
            has_text: certified == 0 || self.is_prepared(certified),
            refuses: self.unfit == Some(certified) && certified > 0,
            held: self.hold(now).is_some(),
        }
    }

    /// How long two members may act on contradicting revisions at most.
    pub fn bound(&self) -> Duration {
        bound(self.lease, self.terms.late)
    }

    pub fn status(&self, now: Duration) -> Status {
        Status {
            acting: self.acting(now),
            certified: self.learned.number(),
            digest: self.learned.digest(),
            bound: self.bound(),
            lease_until: self.leases.until(self.hand.keepers().len(), self.lease),
            waited_for: self.waited_for(now),
            gone: self.gone.values().filter(|gone| gone.gone).map(|gone| gone.member).collect(),
            keeper: self.keeper.clone(),
            positions: self.positions.clone(),
        }
    }

    /// What must outlive the process.
    pub(crate) fn store(&self, out: &mut Vec<Given>) {
        let stored = Stored {
            active: self.active,
            active_head: self.active_head,
            told: self.told.0,
            top: self.learned.top.clone(),
            keeper: self.keeper.as_ref().filter(|keeper| !keeper.is_asking()).map(|k| k.kept().clone()),
            gone: self.gone.values().copied().collect(),
            unsure: self.unsure,
            accepted_head: self.accepted().and_then(|digest| self.learned.head(&digest).copied()),
        };
        out.push(Given::Store(stored.write()));
    }

    /// An author's word that a member is off for good, or back. Tells whether it was new.
    pub fn take_gone(&mut self, now: Duration, gone: Gone, out: &mut Vec<Given>) -> bool {
        let known = self.gone.get(&gone.member).is_some_and(|held| held.sequence >= gone.sequence);
        if known || !gone.holds(&self.hand) {
            return false;
        }
        self.gone.insert(gone.member, gone);
        // Who is said to be off was not waited for: what it acts on may be over.
        self.unsure |= gone.gone && gone.member == self.terms.me;
        self.store(out);
        for keeper in self.hand.keepers().to_vec() {
            self.say(now, keeper, Word::Gone(gone), out);
        }
        self.consider_go(now, out);
        true
    }

    /// Whether what a certified revision says is on the disk here, and told.
    pub(crate) fn prepare(&mut self, now: Duration, out: &mut Vec<Given>) {
        let Some(top) = &self.learned.top else { return };
        let (number, signed) = (top.number(), top.signed);
        let settled = self.unfit == Some(number) || self.prepared >= Some(number);
        if settled || self.active >= number {
            return self.act(now, out);
        }
        let Some(text) = self.texts.get(&signed.head.text).cloned() else {
            self.next_fetch = now;
            return;
        };
        if let Err(why) = (self.terms.check)(&text) {
            self.unfit = Some(number);
            out.push(Given::Unfit(number, why));
            return;
        }
        // On the disk before anybody counts on it.
        let pending = self.told.0 > self.active;
        self.told = (number, if pending { self.told.1 } else { now });
        self.prepared = Some(number);
        out.push(Given::StoreText(signed.head.text, text));
        self.store(out);
        out.push(Given::Changed);
        (self.next_ask, self.ask_again) = (now, ASK_AGAIN);
        self.news(now);
        self.act(now, out);
        self.consider_go(now, out);
    }

    /// Acts on the certified one, once a quorum gave the word.
    pub(crate) fn act(&mut self, now: Duration, out: &mut Vec<Given>) {
        let Some(top) = self.learned.top.as_ref().filter(|top| top.number() > self.active) else { return };
        let ready = self.prepared == Some(top.number());
        if !ready || !self.learned.may_act(&self.hand) {
            return;
        }
        (self.active, self.active_head) = (top.number(), Some(top.signed));
        let of_use: Vec<Digest> = self.heads_of_use();
        self.texts.retain(|text, _| of_use.contains(text));
        self.store(out);
        out.push(Given::Changed);
        self.next_ask = self.next_ask.min(now + self.lease / ASKS_IN_A_LEASE);
        self.news(now);
    }

    fn heads_of_use(&self) -> Vec<Digest> {
        let wanted = self.proposal.as_ref().map(|proposal| proposal.wanted.head.text);
        let top = self.learned.top.as_ref().map(|top| top.signed.head.text);
        // What it voted for may be certified by others' votes, and must then be had from somebody.
        let chosen = self.proposal.as_ref().and_then(|proposal| proposal.chosen);
        let open = [self.accepted(), chosen].into_iter().flatten();
        let open = open.filter_map(|digest| self.learned.head(&digest)).map(|signed| signed.head.text);
        let active = self.active_head.map(|signed| signed.head.text);
        active.into_iter().chain(top).chain(wanted).chain(open).collect()
    }

    /// Something is new: it goes round faster for a while.
    pub(crate) fn news(&mut self, now: Duration) {
        self.busy_until = now + self.lease * 2;
        self.next_beat = now;
    }

    /// A quorum of keepers has answered one that had nothing stored.
    pub(crate) fn sure(&mut self, now: Duration, out: &mut Vec<Given>) {
        let leased =
            self.leases.until(self.hand.keepers().len(), self.lease).is_some_and(|until| now < until);
        if self.unsure && leased {
            self.unsure = false;
            self.store(out);
            out.push(Given::Changed);
        }
    }

    /// When the text of the certified one is still to be fetched: its head.
    pub(crate) fn lacks_text(&self) -> Option<Signed> {
        let top = self.learned.top.as_ref()?;
        let settled = self.unfit == Some(top.number()) || self.prepared >= Some(top.number());
        (!settled && !self.texts.contains_key(&top.signed.head.text)).then_some(top.signed)
    }

    pub(crate) fn fetch(&mut self, now: Duration, out: &mut Vec<Given>) {
        let Some(signed) = self.lacks_text() else { return };
        self.next_fetch = now + WANTS_EVERY;
        let number = signed.head.number;
        let has = |(_, position): &(&Member, &Position)| position.certified >= number && position.has_text;
        let mut from: Vec<Member> = self.positions.iter().filter(has).map(|(member, _)| *member).collect();
        if from.is_empty() {
            from = self.hand.keepers().iter().copied().filter(|keeper| *keeper != self.terms.me).collect();
        }
        if let Some(from) = self.one_of(&from) {
            out.push(Given::Fetch(signed, from));
        }
    }

    /// Keeps a text; of those that nothing certified names, a few.
    pub(crate) fn keep_text(&mut self, of: Digest, text: Arc<[u8]>) {
        let of_use = self.heads_of_use();
        let spare: Vec<Digest> = self.texts.keys().copied().filter(|text| !of_use.contains(text)).collect();
        if spare.len() >= SPARE_TEXTS {
            spare.first().map(|text| self.texts.remove(text));
        }
        self.texts.insert(of, text);
    }

    pub(crate) fn one_of(&mut self, members: &[Member]) -> Option<Member> {
        let at = (self.chance.unit_interval() * members.len() as f64) as usize;
        members.get(at).copied()
    }

    /// A text came that was to be fetched.
    ///
    /// # Errors
    /// Where it is not the text that its head names; nothing has changed then.
    pub fn take_text(
        &mut self, now: Duration, signed: &Signed, text: Arc<[u8]>, out: &mut Vec<Given>,
    ) -> Result<(), crate::Refused> {
        signed.head.check_text(&text)?;
        self.keep_text(signed.head.text, text);
        self.prepare(now, out);
        Ok(())
    }
}

//! Members in simulated time, with a network that cuts, loses, doubles and delays, and disks that are lost.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use badgerledge_core::random::Rng;

use crate::word::Word;
use crate::{digest, Author, Digest, Given, Hand, Head, Keeper, Kept, Member, Number, Regime};
use crate::{Revisions, Signature, Signed, Stored, Terms};

pub const LATE: Duration = Duration::from_millis(20);

/// Signs with a digest that anyone could make: what is tested here is what honest members do.
#[derive(Clone)]
pub struct Sealed {
    pub me: Member,
    pub members: Rc<Vec<Member>>,
    pub keepers: Rc<Vec<Member>>,
    /// Authors whose keys hold no more.
    pub revoked: Rc<BTreeSet<Author>>,
}

pub fn seal(who: u32, bytes: &[u8]) -> Signature {
    let half = digest(&[&who.to_be_bytes(), bytes].concat());
    let mut signature = [0; 64];
    signature[..32].copy_from_slice(&half);
    signature
}

/// Authors sign under numbers that no member has.
pub const AUTHORS: u32 = 1 << 16;

impl Hand for Sealed {
    fn sign(&self, bytes: &[u8]) -> Signature {
        seal(u32::from(self.me), bytes)
    }
    fn by_member(&self, member: Member, bytes: &[u8], signature: &Signature) -> bool {
        *signature == seal(u32::from(member), bytes)
    }
    fn by_author(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        !self.revoked.contains(&author) && self.by_author_ever(author, bytes, signature)
    }
    fn by_author_ever(&self, author: Author, bytes: &[u8], signature: &Signature) -> bool {
        *signature == seal(AUTHORS + u32::from(author), bytes)
    }
    fn members(&self) -> &[Member] {
        &self.members
    }
    fn keepers(&self) -> &[Member] {
        &self.keepers
    }
}

pub fn signed(number: Number, before: Digest, author: Author, text: &[u8]) -> Signed {
    let head = Head::new(number, before, author, text);
    Signed { head, signature: seal(AUTHORS + u32::from(author), &head.signed_bytes()) }
}

#[derive(Default, Clone)]
struct Disk {
    stored: Option<Stored>,
    texts: BTreeMap<Digest, Arc<[u8]>>,
}

pub struct Seat {
    pub member: Option<Revisions<Sealed>>,
    disk: Disk,
    life: u32,
    stalled_until: Duration,
    due: Duration,
    /// The latest life of each that was heard: the gossip drops words of earlier ones.
    lives: BTreeMap<Member, u32>,
}

enum Event {
    Word(Member, u32, Member, Vec<u8>),
    Text(Member, Member, Signed),
    Tend(Member, u32),
}

/// What the checks are shown to bite by.
#[derive(Clone, Copy, Default)]
pub struct Broken {
    /// Members act without a lease.
    pub no_lease: bool,
    /// Keepers that lost their disks go on as if they had signed nothing.
    pub forgets: bool,
}

pub struct Net {
    pub now: Duration,
    pub loss: f64,
    pub delay: Duration,
    pub cut: BTreeSet<(Member, Member)>,
    pub seats: Vec<Seat>,
    pub chance: Rng,
    pub broken: Broken,
    /// A member that can't act on a text.
    pub refuses: Option<(Member, Vec<u8>)>,
    regime: Regime,
    hand: Sealed,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    /// Digests that were ever known certified, by number.
    pub certified: BTreeMap<Number, BTreeSet<Digest>>,
    /// When a revision was first acted on.
    pub acted: BTreeMap<Number, Duration>,
    /// The longest that anyone acted on an older one after that.
    pub longest: Duration,
}

impl Net {
    pub fn new(members: Member, keepers: Member, regime: Regime, seed: u64) -> Self {
        let hand = Sealed {
            me: 0,
            members: Rc::new((0..members).collect()),
            keepers: Rc::new((0..keepers).collect()),
            revoked: Rc::default(),
        };
        let founded = Stored { keeper: Some(Kept::default()), ..Stored::default() };
        let seat = |n: Member| Seat {
            member: None,
            disk: Disk { stored: (n < keepers).then(|| founded.clone()), texts: BTreeMap::new() },
            life: 0,
            stalled_until: Duration::ZERO,
            due: Duration::MAX,
            lives: BTreeMap::new(),
        };
        let mut net = Self {
            now: Duration::from_secs(1000),
            loss: 0.02,
            delay: Duration::from_millis(30),
            cut: BTreeSet::new(),
            seats: (0..members).map(seat).collect(),
            chance: Rng(seed),
            broken: Broken::default(),
            refuses: None,
            regime,
            hand,
            events: BTreeMap::new(),
            sequence: 0,
            certified: BTreeMap::new(),
            acted: BTreeMap::new(),
            longest: Duration::ZERO,
        };
        (0..members).for_each(|member| net.start(member));
        net
    }

    pub fn bound(&self) -> Duration {
        crate::bound(crate::lease_for(self.seats.len()), LATE)
    }

    pub fn start(&mut self, me: Member) {
        let seat = &mut self.seats[usize::from(me)];
        seat.life += 1;
        let mut stored = seat.disk.stored.clone();
        let lost = self.hand.keepers.contains(&me) && stored.as_ref().is_none_or(|s| s.keeper.is_none());
        if lost && self.broken.forgets {
            stored.get_or_insert_default().keeper = Some(Kept::default());
        }
        let refused = self.refuses.clone().filter(|(who, _)| *who == me).map(|(_, text)| text);
        let check = move |text: &[u8]| match refused.as_deref() == Some(text) {
            true => Err("a key that this build does not know".to_owned()),
            false => Ok(()),
        };
        let terms = Terms { me, life: seat.life, regime: self.regime, late: LATE, check: Box::new(check) };
        let hand = Sealed { me, ..self.hand.clone() };
        let texts = seat.disk.texts.values().cloned().collect();
        let seed = (self.chance.unit_interval() * 1e15) as u64;
        seat.member =
            Some(Revisions::new(hand, terms, Arc::from(&b"own"[..]), stored, texts, self.now, seed));
        seat.stalled_until = Duration::ZERO;
        self.schedule(me);
    }

    pub fn kill(&mut self, me: Member, with_disk: bool) {
        let seat = &mut self.seats[usize::from(me)];
        (seat.member, seat.due) = (None, Duration::MAX);
        seat.lives.clear();
        if with_disk {
            seat.disk = Disk::default();
        }
    }

    pub fn hand_of(&self, me: Member) -> Sealed {
        Sealed { me, ..self.hand.clone() }
    }

    pub fn stall(&mut self, me: Member, span: Duration) {
        self.seats[usize::from(me)].stalled_until = self.now + span;
    }

    fn put(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn schedule(&mut self, me: Member) {
        let seat = &mut self.seats[usize::from(me)];
        let Some(due) = seat.member.as_ref().map(Revisions::next_due) else { return };
        if due < seat.due {
            seat.due = due;
            let life = seat.life;
            self.put(due.max(self.now + Duration::from_millis(1)), Event::Tend(me, life));
        }
    }

    pub fn with(&mut self, me: Member, f: impl FnOnce(&mut Revisions<Sealed>, Duration, &mut Vec<Given>)) {
        let (now, mut out) = (self.now, Vec::new());
        let Some(member) = &mut self.seats[usize::from(me)].member else { return };
        f(member, now, &mut out);
        self.carry_out(me, out);
        self.watch(me);
        self.schedule(me);
    }

    fn carry_out(&mut self, me: Member, out: Vec<Given>) {
        for given in out {
            match given {
                Given::Send(to, bytes) => self.send(me, to, &bytes),
                Given::Store(bytes) => {
                    self.seats[usize::from(me)].disk.stored =
                        Some(Stored::read(&bytes).expect("what was stored"));
                }
                Given::StoreText(of, text) => {
                    self.seats[usize::from(me)].disk.texts.insert(of, text);
                }
                Given::Fetch(signed, from) => {
                    if !self.cut.contains(&(me, from)) && !self.cut.contains(&(from, me)) {
                        let at = self.now + self.chance.random_duration(self.delay) * 4;
                        self.put(at, Event::Text(me, from, signed));
                    }
                }
                Given::Changed | Given::Unfit(..) => {}
            }
        }
    }

    fn send(&mut self, from: Member, to: Member, bytes: &[u8]) {
        for _ in 0..if self.chance.unit_interval() < 0.02 { 2 } else { 1 } {
            if self.cut.contains(&(from, to)) || self.chance.unit_interval() < self.loss {
                continue;
            }
            let at = self.now + self.chance.random_duration(self.delay);
            let life = self.seats[usize::from(from)].life;
            self.put(at, Event::Word(from, life, to, bytes.to_vec()));
        }
    }

    /// What a member acts on now, held against all others' acting.
    fn watch(&mut self, me: Member) {
        let Some(member) = &self.seats[usize::from(me)].member else { return };
        let (number, of) = member.next();
        if number > 1 {
            self.certified.entry(number - 1).or_default().insert(of);
        }
        let acting = member.acting(self.now);
        if acting.held.is_some() && !self.broken.no_lease {
            return;
        }
        self.acted.entry(acting.active).or_insert(self.now);
        let newer = self.acted.range(acting.active + 1..).map(|(_, at)| *at).min();
        self.longest = self.longest.max(newer.map_or(Duration::ZERO, |at| self.now.saturating_sub(at)));
    }

    /// Goes on until that time.
    pub fn run(&mut self, until: Duration) {
        let mut look = self.now;
        while let Some((at, _)) =
            self.events.first_key_value().map(|(key, _)| *key).filter(|key| key.0 <= until)
        {
            while look <= at {
                self.now = self.now.max(look);
                (0..self.seats.len() as Member).for_each(|me| self.watch(me));
                look += Duration::from_millis(100);
            }
            let Some((_, event)) = self.events.pop_first() else { return };
            self.now = self.now.max(at);
            self.happen(event);
        }
        self.now = until;
    }

    fn happen(&mut self, event: Event) {
        let to = match &event {
            Event::Word(_, _, to, _) | Event::Text(to, ..) | Event::Tend(to, _) => *to,
        };
        let seat = &mut self.seats[usize::from(to)];
        if seat.stalled_until > self.now {
            let at = seat.stalled_until;
            return self.put(at, event);
        }
        match event {
            Event::Word(from, life, to, bytes) => {
                let known = seat.lives.entry(from).or_default();
                if life >= *known {
                    *known = life;
                    self.with(to, |m, now, out| {
                        m.heard(now, from, Word::read(&bytes).expect("a word"), out);
                    });
                }
            }
            Event::Text(to, from, signed) => {
                let holder = self.seats[usize::from(from)].member.as_ref();
                let text = holder.and_then(|holder| holder.text_of(&signed.head.text).cloned());
                if let Some(text) = text {
                    self.with(to, |m, now, out| m.take_text(now, &signed, text, out).expect("the text"));
                }
            }
            Event::Tend(me, life) if life == seat.life => {
                seat.due = Duration::MAX;
                self.with(me, Revisions::tend);
            }
            Event::Tend(..) => {}
        }
    }

    /// Pushes a next revision at a member, by what that one knows.
    pub fn push(&mut self, at: Member, author: Author, text: &[u8]) {
        self.with(at, |member, now, out| {
            let (number, before) = member.next();
            let _ = member.push(now, signed(number, before, author, text), Arc::from(text), out);
        });
    }

    /// An author's key holds no more: all members read the ring.
    pub fn revoke(&mut self, author: Author) {
        let revoked = self.hand.revoked.iter().copied().chain([author]).collect();
        self.hand.revoked = Rc::new(revoked);
        for me in 0..self.seats.len() as Member {
            let hand = Sealed { me, ..self.hand.clone() };
            self.with(me, |member, _, _| member.take_hand(hand));
        }
    }

    pub fn active(&self) -> Vec<Number> {
        let acting = |seat: &Seat| seat.member.as_ref().map(|member| member.acting(self.now).active);
        self.seats.iter().filter_map(acting).collect()
    }

    pub fn keeper(&self, me: Member) -> Option<Keeper> {
        self.seats[usize::from(me)].member.as_ref().and_then(|m| m.status(self.now).keeper)
    }
}

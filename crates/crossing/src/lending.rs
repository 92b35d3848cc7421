//! How controllers lend each other what they do not need, where messages pass.
//!
//! One that wants more asks; one that has enough over grants a rate for a fixed time. Nobody's clock is trusted: the
//! borrower counts the time from its own asking, the lender from its granting, which is later, and somewhat longer.
//! So no kB is spent by two. Messages may be lost, late or come twice.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::random::Rng;

/// How long a grant lasts for the borrower: long against the way of a message, short against a change of demand.
pub const GRANT_LASTS: Duration = Duration::from_secs(10);
/// How long the lender goes without: clocks may run apart by one in a hundred each.
const LENDER_WAITS: Duration = Duration::from_millis(10_300);
/// The part of its share that a controller lends at most. A reborn one does not know what it lent before, and keeps
/// to the rest until that has run out.
const LENDABLE: f64 = 0.5;
/// Grants are no smaller than this part of a share: smaller ones are not worth their messages.
const MIN_GRANT: f64 = 0.05;
/// A controller asks this often while it wants more, so many of the others at a time.
const ASK_EVERY: Duration = Duration::from_secs(2);
const ASKED_AT_A_TIME: usize = 3;
/// What a lender keeps over its own demand.
const RESERVE: f64 = 1.2;

/// Bytes of a message.
pub const MESSAGE_BYTES: usize = 23;

/// A message between two controllers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Message {
    /// Who asks numbers its asking.
    Ask { number: u64, wanted: f32 },
    /// The answer to that asking.
    Grant { number: u64, rate: f32 },
}

/// What marks a message of this kind, and its version.
const MAGIC: [u8; 4] = *b"blc2";

impl Message {
    /// The message as bytes. `way` says whose budget it is about: which two buildings, or all.
    pub fn write(self, way: u16) -> [u8; MESSAGE_BYTES] {
        let (kind, number, rate) = match self {
            Message::Ask { number, wanted } => (1, number, wanted),
            Message::Grant { number, rate } => (2, number, rate),
        };
        let mut bytes = [0; MESSAGE_BYTES];
        bytes[..4].copy_from_slice(&MAGIC);
        bytes[4] = kind;
        bytes[5..13].copy_from_slice(&number.to_be_bytes());
        bytes[13..17].copy_from_slice(&rate.to_be_bytes());
        bytes[17..19].copy_from_slice(&way.to_be_bytes());
        let sum = bytes[..19]
            .iter()
            .fold(0x811c_9dc5u32, |sum, byte| (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193));
        bytes[19..].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    /// The message in these bytes, and its way; nothing where they are none, or were changed.
    pub fn read(bytes: &[u8]) -> Option<(u16, Self)> {
        let bytes: &[u8; MESSAGE_BYTES] = bytes.try_into().ok()?;
        let number = u64::from_be_bytes(bytes[5..13].try_into().ok()?);
        let rate = f32::from_be_bytes(bytes[13..17].try_into().ok()?);
        if !rate.is_finite() || rate < 0.0 {
            return None;
        }
        let message = match bytes[4] {
            1 => Message::Ask { number, wanted: rate },
            2 => Message::Grant { number, rate },
            _ => return None,
        };
        let way = u16::from_be_bytes([bytes[17], bytes[18]]);
        (message.write(way) == *bytes).then_some((way, message))
    }
}

/// What a controller lent and was lent.
pub struct Lending {
    me: u32,
    controllers: u32,
    share: f64,
    born: Duration,
    chance: Rng,
    /// What it asked for: when, and whom. Answers to anything else are not taken.
    asked: BTreeMap<u64, (Duration, u32)>,
    next_number: u64,
    ask_at: Duration,
    borrowed: Vec<(Duration, f64)>,
    lent: Vec<(Duration, f64)>,
    /// Askings that were granted, so that one that comes twice is granted once.
    granted: BTreeMap<(u32, u64), Duration>,
    /// What this controller would spend if it could, kB a second.
    demand: f64,
}

impl Lending {
    pub fn new(me: u32, controllers: u32, share: f64, now: Duration, seed: u64) -> Self {
        Self {
            me,
            controllers,
            share,
            born: now,
            chance: Rng(seed),
            asked: BTreeMap::new(),
            // Numbers of an earlier life must not be taken for this one's.
            next_number: seed,
            ask_at: now,
            borrowed: Vec::new(),
            lent: Vec::new(),
            granted: BTreeMap::new(),
            demand: 0.0,
        }
    }

    /// What this controller owns at that time, kB a second.
    pub fn owned(&mut self, now: Duration) -> f64 {
        self.forget(now);
        let borrowed: f64 = self.borrowed.iter().map(|(_, rate)| rate).sum();
        self.kept(now) + borrowed
    }

    /// Its own share less what it lent, or may have lent in an earlier life.
    fn kept(&self, now: Duration) -> f64 {
        let lent: f64 = self.lent.iter().map(|(_, rate)| rate).sum();
        let before = if now < self.born + LENDER_WAITS { LENDABLE * self.share } else { 0.0 };
        self.share - lent.max(before)
    }

    fn forget(&mut self, now: Duration) {
        self.borrowed.retain(|(until, _)| *until > now);
        self.lent.retain(|(until, _)| *until > now);
        self.granted.retain(|_, until| *until > now);
        self.asked.retain(|_, (at, _)| *at + GRANT_LASTS > now);
    }

    /// Tells what would be spent, and asks others where that is more than is owned. `send` sends a message.
    pub fn request(&mut self, now: Duration, demand: f64, mut send: impl FnMut(u32, Message)) {
        self.demand = demand;
        let owned = self.owned(now);
        if demand <= owned || now < self.ask_at || self.controllers < 2 {
            return;
        }
        // A random part keeps many that want more from asking in step.
        self.ask_at = now + ASK_EVERY.mul_f64(0.75 + 0.5 * self.chance.unit_interval());
        for _ in 0..ASKED_AT_A_TIME.min(self.controllers as usize - 1) {
            let other = (self.chance.unit_interval() * f64::from(self.controllers - 1)) as u32;
            let other = if other >= self.me { other + 1 } else { other };
            self.next_number = self.next_number.wrapping_add(1);
            self.asked.insert(self.next_number, (now, other));
            send(other, Message::Ask { number: self.next_number, wanted: (demand - owned) as f32 });
        }
    }

    /// Takes a message of another controller, and answers it where there is something to answer.
    pub fn handle(&mut self, now: Duration, from: u32, message: Message) -> Option<Message> {
        self.forget(now);
        match message {
            Message::Ask { number, wanted } => self.grant(now, from, number, f64::from(wanted)),
            Message::Grant { number, rate } => {
                // Counted from the asking, which was before the granting whatever the way took.
                let (asked, _) = self.asked.get(&number).copied().filter(|(_, whom)| *whom == from)?;
                self.asked.remove(&number);
                // No controller can lend more than that: who says otherwise is wrong.
                if f64::from(rate) <= LENDABLE * self.share * 1.001 {
                    self.borrowed.push((asked + GRANT_LASTS, f64::from(rate)));
                }
                None
            }
        }
    }

    fn grant(&mut self, now: Duration, to: u32, number: u64, wanted: f64) -> Option<Message> {
        // Nothing in the first while after birth: what was lent before is not known.
        if now < self.born + LENDER_WAITS || self.granted.contains_key(&(to, number)) || wanted <= 0.0 {
            return None;
        }
        let lent: f64 = self.lent.iter().map(|(_, rate)| rate).sum();
        let over = (self.share - lent - RESERVE * self.demand).min(LENDABLE * self.share - lent);
        let rate = over.min(wanted);
        if rate < MIN_GRANT * self.share {
            return None;
        }
        // Rounded down, so that what is lent here is no less than what is told.
        let told = (rate * 0.999) as f32;
        self.lent.push((now + LENDER_WAITS, rate));
        self.granted.insert((to, number), now + LENDER_WAITS);
        Some(Message::Grant { number, rate: told })
    }
}

//! What other controllers say of streamers, weighed against what was seen here. No I/O, no clock, no wire.
//!
//! A controller publishes what it saw itself: joins lost on a streamer, with how many and how long ago
//! ([`Hearsay::items`]). What others publish is weighed by how many say it, how their earlier words agreed with what
//! was then seen here, and how old it is. One member's word alone never sets a streamer aside; a join that works
//! here clears all that was said before it. Beside losses it shares strain: joins turned away for want of room, streams that
//! come short, links asked for more than they give; a sign of ease here clears that. The only thing that comes of it is that others are asked first for a
//! while, which breaks no rule whoever lies: see `docs/gossip.md` for what a majority of liars can do.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use badgerledge_core::interface::StreamerId;
use badgerledge_gossip::statement::{ITEMS, ITEM_BYTES};
use badgerledge_gossip::Member;

#[cfg(test)]
mod tests;

/// What a word tells of a streamer; a build that does not know a kind passes it over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Joins were lost on it, in silence or by its end.
    Lost = 1,
    /// It turned joins away for want of room, delivered short, or its link was asked for more than it gives.
    Strained = 2,
}

/// A word fades to nothing within this: a streamer that was silent for longer is on the list as gone, or works.
const FADES: Duration = Duration::from_secs(8);
/// Own losses are published for this long after the last of them.
const FRESH: Duration = Duration::from_secs(4);
/// What it takes to believe: two members of good credit, both fresh, or more that are older or of less.
const BELIEVED: f64 = 1.2;
/// Weight of a member whose words were not yet put to the test, and what each agreement or contradiction counts.
const FIRST_CREDIT: (f64, f64) = (3.0, 1.0);
/// Agreements and contradictions are halved after so many, so that a member that turns to lies loses credit soon,
/// and one that was behind a bad link gets it back.
const REMEMBERED: f64 = 16.0;
/// Under this a member's word counts nothing at all.
const LEAST_CREDIT: f64 = 0.35;
/// A belief that words go on backing is told again after this: within the time that the module sets a streamer aside.
const TOLD_AGAIN: Duration = Duration::from_secs(3);
/// Streamers of which something is held at most; of more, what is oldest goes.
const STREAMERS: usize = 4096;
/// Members whose word is held of one streamer: more would add nothing.
const VOICES: usize = 8;

/// What was seen here of one streamer.
#[derive(Clone, Copy, Debug, Default)]
struct Own {
    lost: u32,
    last_lost: Option<Duration>,
    last_good: Option<Duration>,
}

/// One member's word on one streamer.
#[derive(Clone, Copy, Debug)]
struct Voice {
    author: Member,
    seen: Duration,
    /// It has already counted for or against its author.
    judged: bool,
}

/// How a member's words agreed with what was seen here.
#[derive(Clone, Copy, Debug)]
struct Credit {
    agreed: f64,
    contradicted: f64,
}

impl Default for Credit {
    fn default() -> Self {
        Self { agreed: FIRST_CREDIT.0, contradicted: FIRST_CREDIT.1 }
    }
}

impl Credit {
    fn count(&mut self, agreed: bool) {
        *if agreed { &mut self.agreed } else { &mut self.contradicted } += 1.0;
        if self.agreed + self.contradicted > REMEMBERED {
            (self.agreed, self.contradicted) = (self.agreed / 2.0, self.contradicted / 2.0);
        }
    }

    fn weight(self) -> f64 {
        let share = self.agreed / (self.agreed + self.contradicted);
        if share < LEAST_CREDIT {
            0.0
        } else {
            share
        }
    }
}

/// All that is held of what was seen and said.
#[derive(Clone, Debug, Default)]
pub struct Hearsay {
    own: BTreeMap<(StreamerId, Kind), Own>,
    told: BTreeMap<(StreamerId, Kind), Vec<Voice>>,
    credits: BTreeMap<Member, Credit>,
    /// When a streamer was told to be believed in trouble last, and how many times in a row.
    last_told: BTreeMap<(StreamerId, Kind), (Duration, u32)>,
}

impl Hearsay {
    /// A join here came to something: it plays, or was lost in silence or by its streamer's end.
    pub fn seen(&mut self, now: Duration, streamer: StreamerId, well: bool) {
        self.saw(now, (streamer, Kind::Lost), well);
    }

    /// A streamer here turned a join away, delivered short or had a full link; or is at ease.
    pub fn strained(&mut self, now: Duration, streamer: StreamerId, well: bool) {
        self.saw(now, (streamer, Kind::Strained), well);
    }

    fn saw(&mut self, now: Duration, of: (StreamerId, Kind), well: bool) {
        make_room(&mut self.own, |own| own.last_lost.max(own.last_good));
        let own = self.own.entry(of).or_default();
        if well {
            *own = Own { last_good: Some(now), ..Own::default() };
        } else {
            (own.lost, own.last_lost) = (own.lost.saturating_add(1), Some(now));
        }
        for voice in self.told.get_mut(&of).into_iter().flatten() {
            // A word is put to the test once, by what is seen while it holds.
            if !voice.judged && now < voice.seen + FADES {
                voice.judged = true;
                self.credits.entry(voice.author).or_default().count(!well);
            }
        }
        if well {
            self.told.remove(&of);
            self.last_told.remove(&of);
        }
    }

    /// Takes a member's bulletin, so and so old. Tells which streamers are believed to be in
    /// trouble by it, and in which.
    pub fn heard(
        &mut self, now: Duration, author: Member, age: Duration, items: &[[u8; ITEM_BYTES]],
    ) -> Vec<(StreamerId, Kind)> {
        let mut believed = Vec::new();
        for item in items {
            let Some((of, since)) = read(item) else { continue };
            let seen = now.saturating_sub(age + since);
            if now >= seen + FADES || self.cleared(of, seen) {
                continue;
            }
            self.note(of, Voice { author, seen, judged: false });
            if self.believes_of(now, of) && self.tell(now, of) {
                believed.push(of);
            }
        }
        believed
    }

    /// Whether a belief is to be told now: when it begins, and again while words go on coming.
    fn tell(&mut self, now: Duration, of: (StreamerId, Kind)) -> bool {
        make_room(&mut self.last_told, |told| Some(told.0));
        let told = self.last_told.entry(of).or_insert((Duration::ZERO, 0));
        let due = told.1 == 0 || now >= told.0 + TOLD_AGAIN;
        if due {
            *told = (now, told.1 + 1);
        }
        due
    }

    /// Whether a join worked here after that time.
    fn cleared(&self, of: (StreamerId, Kind), seen: Duration) -> bool {
        self.own.get(&of).and_then(|own| own.last_good).is_some_and(|good| good >= seen)
    }

    fn note(&mut self, of: (StreamerId, Kind), voice: Voice) {
        make_room(&mut self.told, |voices| voices.iter().map(|voice| voice.seen).max());
        let voices = self.told.entry(of).or_default();
        if let Some(held) = voices.iter_mut().find(|held| held.author == voice.author) {
            // Said again it is the same word, unless what it tells of is later.
            held.judged &= voice.seen <= held.seen + FADES;
            held.seen = held.seen.max(voice.seen);
        } else if voices.len() < VOICES {
            voices.push(voice);
        } else if let Some(oldest) = voices.iter_mut().min_by_key(|held| held.seen) {
            if oldest.seen < voice.seen {
                *oldest = voice;
            }
        }
    }

    /// Whether a streamer is believed to be in trouble. Never by one member's word alone; what was seen here counts
    /// as one more.
    pub fn believes(&self, now: Duration, streamer: StreamerId) -> bool {
        self.believes_of(now, (streamer, Kind::Lost))
    }

    fn believes_of(&self, now: Duration, of: (StreamerId, Kind)) -> bool {
        let fresh = |seen: Duration| 1.0 - now.saturating_sub(seen).as_secs_f64() / FADES.as_secs_f64();
        let voices = self.told.get(&of).into_iter().flatten();
        let weighed = voices.map(|voice| self.credit(voice.author).weight() * fresh(voice.seen));
        let own = self.own.get(&of).and_then(|own| own.last_lost).map(fresh);
        let all: Vec<f64> = weighed.chain(own).filter(|weight| *weight > 0.0).collect();
        all.len() >= 2 && all.iter().sum::<f64>() >= BELIEVED
    }

    fn credit(&self, member: Member) -> Credit {
        self.credits.get(&member).copied().unwrap_or_default()
    }

    /// What a member's word weighs here, of 1.
    pub fn weight(&self, member: Member) -> f64 {
        self.credit(member).weight()
    }

    /// A member is gone from the ring: nothing that it said counts.
    pub fn forget(&mut self, member: Member) {
        self.credits.remove(&member);
        self.told.values_mut().for_each(|voices| voices.retain(|voice| voice.author != member));
        self.told.retain(|_, voices| !voices.is_empty());
    }

    /// The streamers that [`Hearsay::items`] names.
    pub fn streamers(&self, now: Duration) -> Vec<StreamerId> {
        self.losses(now).into_iter().map(|(_, (streamer, _), _)| streamer).collect()
    }

    /// What to publish: the streamers on which joins were lost here of late and none has worked since, the gravest
    /// first. Nobody else's words are repeated as one's own.
    pub fn items(&self, now: Duration) -> Vec<[u8; ITEM_BYTES]> {
        self.losses(now).into_iter().map(|(_, of, since)| write(of, since)).collect()
    }

    /// The gravest first; a loss is graver than any strain.
    fn losses(&self, now: Duration) -> Vec<(u32, (StreamerId, Kind), Duration)> {
        let lost = |(of, own): (&(StreamerId, Kind), &Own)| {
            let since = now.saturating_sub(own.last_lost?);
            (since < FRESH).then_some((own.lost, *of, since))
        };
        let mut all: Vec<(u32, (StreamerId, Kind), Duration)> = self.own.iter().filter_map(lost).collect();
        all.sort_by(|a, b| a.1 .1.cmp(&b.1 .1).then(b.cmp(a)));
        all.truncate(ITEMS);
        all
    }
}

/// Makes room in a table that is full: what is oldest goes.
fn make_room<K: Ord + Copy, T>(table: &mut BTreeMap<K, T>, last: impl Fn(&T) -> Option<Duration>) {
    if table.len() >= STREAMERS {
        let oldest = table.iter().min_by_key(|(_, held)| last(held)).map(|(of, _)| *of);
        oldest.map(|of| table.remove(&of));
    }
}

/// An item: address (4), port (2), kind (1), tenths of a second since it was last seen (1).
fn write((streamer, kind): (StreamerId, Kind), since: Duration) -> [u8; ITEM_BYTES] {
    let mut item = [0; ITEM_BYTES];
    item[..4].copy_from_slice(&streamer.ip().octets());
    item[4..6].copy_from_slice(&streamer.port().to_be_bytes());
    item[6] = kind as u8;
    item[7] = (since.as_millis() / 100).min(255) as u8;
    item
}

/// The streamer of an item, what is told of it and how long ago that was; nothing for kinds that are not known.
fn read(item: &[u8; ITEM_BYTES]) -> Option<((StreamerId, Kind), Duration)> {
    let at = SocketAddrV4::new(
        Ipv4Addr::new(item[0], item[1], item[2], item[3]),
        u16::from_be_bytes([item[4], item[5]]),
    );
    let kind = match item[6] {
        1 => Kind::Lost,
        2 => Kind::Strained,
        _ => return None,
    };
    Some(((at, kind), Duration::from_millis(100) * u32::from(item[7])))
}

//! Positions of lists. Each controller has its own connection to the list service, and lists lag by seconds; who hears of a
//! later position than its own asks the service at once, and what members say of drains and ends counts sooner, in the
//! safe direction alone: such a streamer is asked last, and a word that says the opposite does nothing.
//!
//! **A liar** can make a member ask twice a second at most, until three of its positions were not borne out; then it is
//! not heard for a minute, then two, up to an hour. It can have no streamer set aside: two members must say so, each of
//! which has not been found wrong of late, and what they say ends when the list itself gets there, or after some seconds.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Member;

/// Asks at the service for all that is heard, at most this often.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// A position that was asked for and that the list has not reached by then was none: a service answers in well under it.
const BORNE_OUT_WITHIN: Duration = Duration::from_secs(3);
/// So many wrong positions, and a member is not heard for a while; each further one doubles it.
const WRONG: u32 = 3;
const UNHEARD: Duration = Duration::from_secs(60);
const UNHEARD_MOST: Duration = Duration::from_secs(3600);
/// What members say of a streamer counts so long, if the list does not get there before.
const COUNTS_FOR: Duration = Duration::from_secs(4);
/// How many must say it.
const SAY_SO: usize = 2;
/// Streamers in one word, and held by words, at most.
pub const IN_A_WORD: usize = 7;
const HELD: usize = 256;

/// Where a list stands: the service's run, and the change in it. A later run begins anew with lower numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListPosition {
    pub epoch: u64,
    pub revision: u64,
}

/// A streamer, by its address and the start of its process: a later start is another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Off {
    pub ip: [u8; 4],
    pub port: u16,
    pub start: u64,
}

/// What a member says of its list: where it stands, and what went off in its last changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    pub position: ListPosition,
    pub off: Vec<Off>,
}

#[derive(Debug, Default)]
struct Heard {
    position: ListPosition,
    /// A position that is still to be borne out, and since when.
    claims: Option<(ListPosition, Duration)>,
    wrong: u32,
    unheard_until: Duration,
}

#[derive(Debug, Default)]
pub struct Lists {
    own: ListPosition,
    /// What went off here of late, newest last, and when.
    went: Vec<(Duration, Off)>,
    heard: BTreeMap<Member, Heard>,
    said: BTreeMap<Off, BTreeMap<Member, (Duration, ListPosition)>>,
    ask_at: Duration,
    wants: bool,
}

impl Lists {
    /// The own list got somewhere, and these went off by it.
    pub fn reached(&mut self, now: Duration, position: ListPosition, off: impl IntoIterator<Item = Off>) {
        self.own = position;
        self.went.extend(off.into_iter().map(|off| (now, off)));
        self.went.retain(|(at, _)| now < *at + COUNTS_FOR);
        let over = self.went.len().saturating_sub(IN_A_WORD);
        self.went.drain(..over);
        // What was said up to here is the list's to say now.
        for said in self.said.values_mut() {
            said.retain(|_, (_, at)| at.epoch != position.epoch || at.revision > position.revision);
        }
        self.said.retain(|_, said| !said.is_empty());
    }

    /// What this member says of its own.
    pub fn tells(&self, now: Duration) -> Told {
        let off = self.went.iter().filter(|(at, _)| now < *at + COUNTS_FOR).map(|(_, off)| *off).collect();
        Told { position: self.own, off }
    }

    /// Whether a position is news here: later in this run, or of another run. Of two runs nobody can tell which is later, so
    /// each is asked for; the service knows.
    fn is_news(&self, position: ListPosition) -> bool {
        position.epoch != self.own.epoch || position.revision > self.own.revision
    }

    /// A member's word. Gives streamers that enough members now say to be off.
    pub fn hears(&mut self, now: Duration, from: Member, told: &Told) -> Vec<Off> {
        self.settle(now);
        let news = self.is_news(told.position);
        let heard = self.heard.entry(from).or_default();
        let again = heard.position == told.position;
        heard.position = told.position;
        if now < heard.unheard_until || !news {
            return Vec::new();
        }
        if !again {
            self.wants = true;
            heard.claims.get_or_insert((told.position, now));
        }
        let mut counted = Vec::new();
        for off in told.off.iter().take(IN_A_WORD) {
            if self.said.len() >= HELD && !self.said.contains_key(off) {
                continue;
            }
            let said = self.said.entry(*off).or_default();
            said.retain(|_, (at, _)| now < *at + COUNTS_FOR);
            let before = said.len();
            said.insert(from, (now, told.position));
            if before < SAY_SO && said.len() >= SAY_SO {
                counted.push(*off);
            }
        }
        counted
    }

    /// Holds what members claimed against where the own list has got.
    fn settle(&mut self, now: Duration) {
        let own = self.own;
        for heard in self.heard.values_mut() {
            let Some((claimed, since)) = heard.claims else { continue };
            if claimed.epoch == own.epoch && claimed.revision <= own.revision {
                (heard.claims, heard.wrong) = (None, 0);
            } else if now >= since + BORNE_OUT_WITHIN {
                heard.claims = None;
                heard.wrong += 1;
                if heard.wrong >= WRONG {
                    let doubled = UNHEARD * 2u32.saturating_pow(heard.wrong - WRONG).min(64);
                    heard.unheard_until = now + doubled.min(UNHEARD_MOST);
                }
            }
        }
    }

    /// Whether the service is to be asked now.
    pub fn asks(&mut self, now: Duration) -> bool {
        self.settle(now);
        let due = self.wants && now >= self.ask_at;
        if due {
            (self.wants, self.ask_at) = (false, now + ASK_EVERY);
        }
        due
    }

    /// When [`Lists::asks`] is to be looked at.
    pub fn next_due(&self) -> Option<Duration> {
        self.wants.then_some(self.ask_at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(epoch: u64, revision: u64) -> ListPosition {
        ListPosition { epoch, revision }
    }

    fn off(port: u16) -> Off {
        Off { ip: [127, 0, 0, 1], port, start: 1 }
    }

    fn told(position: ListPosition, of: &[Off]) -> Told {
        Told { position, off: of.to_vec() }
    }

    fn ms(n: u64) -> Duration {
        Duration::from_millis(100_000 + n)
    }

    #[test]
    fn a_later_position_is_asked_for_at_once_and_an_older_one_is_nothing() {
        let mut lists = Lists::default();
        lists.reached(ms(0), at(7, 10), []);
        assert!(lists.hears(ms(1), 1, &told(at(7, 10), &[])).is_empty() && !lists.asks(ms(1)));
        lists.hears(ms(2), 1, &told(at(7, 9), &[]));
        assert!(!lists.asks(ms(2)));
        lists.hears(ms(3), 1, &told(at(7, 11), &[]));
        assert!(lists.asks(ms(3)) && !lists.asks(ms(4)));
        // A service that was started anew counts from the start: its lower number is news too.
        lists.hears(ms(600), 2, &told(at(8, 1), &[]));
        assert!(lists.asks(ms(600)));
    }

    /// Two members must say that a streamer is off, and what the list has reached is the list's to say.
    #[test]
    fn one_member_sets_no_streamer_aside() {
        let mut lists = Lists::default();
        lists.reached(ms(0), at(7, 10), []);
        for n in 0..50 {
            assert!(lists.hears(ms(n), 1, &told(at(7, 11 + n), &[off(5)])).is_empty());
        }
        assert_eq!(lists.hears(ms(60), 2, &told(at(7, 11), &[off(5), off(6)])), [off(5)]);
        assert!(lists.hears(ms(61), 3, &told(at(7, 11), &[off(5)])).is_empty(), "it counts already");
        lists.reached(ms(70), at(7, 12), []);
        assert!(lists.hears(ms(71), 2, &told(at(7, 12), &[off(6)])).is_empty());
        let own = lists.tells(ms(71));
        assert_eq!((own.position, own.off.len()), (at(7, 12), 0));
        lists.reached(ms(80), at(7, 13), (0..20).map(off));
        assert_eq!(lists.tells(ms(81)).off.len(), IN_A_WORD);
    }

    /// A liar that names positions that never come costs some asks, and is then not heard.
    #[test]
    fn a_liar_is_bounded() {
        let mut lists = Lists::default();
        lists.reached(ms(0), at(7, 10), []);
        let mut asks = 0;
        for n in 0..600 {
            lists.hears(ms(n * 100), 1, &told(at(7, 1000 + n), &[off(5)]));
            asks += u32::from(lists.asks(ms(n * 100)));
        }
        assert!(asks <= 25, "{asks} asks in a minute");
        lists.hears(ms(60_050), 2, &told(at(7, 11), &[]));
        assert!(lists.asks(ms(60_050)), "others are heard as before");
    }
}

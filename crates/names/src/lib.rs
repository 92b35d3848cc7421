//! The list of streamers as the platform tells it: the events of a start as JSON, and all later ones by DNS.
//! [`Names`] holds the list, asks, and judges what counts as an answer; what has changed goes entry by entry
//! into a [`Tells`]. It knows no socket and no clock.

mod answer;
mod known;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use badgerledge_core::interface::Health;
use simple_dns::{Name, Packet, Question, CLASS, QCLASS, QTYPE, TYPE};

/// What is asked for: the streamers, all of them.
const FLEET: &str = "_work._tcp.fleet.local";
/// Answers to this many of the latest queries count: those of ten seconds at five a second, so that a slow service is
/// heard. An answer that comes late does no harm, since its serial says how old it is.
const OPEN_QUERIES: usize = 50;

/// Why an answer or an event changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("no DNS message")]
    NotDns,
    #[error("an answer to another question")]
    Foreign,
    #[error("the service reports a failure, or cut its answer short")]
    Unanswered,
    #[error("records of a streamer are missing or not of their kind")]
    NotWhole,
    #[error("records that contradict each other")]
    Contradicts,
    #[error("an older list than the one held")]
    Old,
    #[error("{0} is missing or not of its kind")]
    Field(&'static str),
}

/// Takes what the list says of a streamer.
pub trait Tells {
    /// `started` is the Unix time of a late start in milliseconds, or 0.
    #[allow(clippy::too_many_arguments)]
    fn entry(
        &mut self, id: u32, at: SocketAddrV4, zone: &str, kind: &str, cell: u32, health: Health, weight: f64,
        started: u64,
    );
}

/// What is held of a streamer.
#[derive(Clone, Debug, PartialEq)]
struct Held {
    at: SocketAddrV4,
    zone: String,
    kind: String,
    cell: u32,
    health: Health,
    weight: f64,
    started: u64,
}

impl Held {
    fn tell(&self, id: u32, health: Health, tells: &mut impl Tells) {
        tells.entry(id, self.at, &self.zone, &self.kind, self.cell, health, self.weight, self.started);
    }
}

type List = BTreeMap<u32, Held>;

/// The list as held, and the queries that are out.
#[derive(Default)]
pub struct Names {
    list: List,
    /// The number of the last event that the list holds.
    last: u64,
    /// How many queries there were, and the latest of them by number, oldest first, each with its place among all.
    asked: u64,
    queries: VecDeque<(u16, u64)>,
    /// The place of the latest query that was answered.
    answered: u64,
}

impl Names {
    /// Takes the events of a start, and tells whether the whole list is among them.
    ///
    /// # Errors
    /// Where an event is not in order; the list is then as it was.
    pub fn known(&mut self, known: &serde_json::Value) -> Result<bool, Fault> {
        let (list, last, whole) = known::read(known)?;
        (self.list, self.last) = (list, last);
        Ok(whole)
    }

    /// The number of the last event held.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Tells the whole list.
    pub fn tell_all(&self, tells: &mut impl Tells) {
        self.list.iter().for_each(|(id, held)| held.tell(*id, held.health, tells));
    }

    /// The next query, which has this number.
    pub fn query(&mut self, number: u16) -> Vec<u8> {
        self.asked += 1;
        self.queries.push_back((number, self.asked));
        while self.queries.len() > OPEN_QUERIES {
            self.queries.pop_front();
        }
        let mut packet = Packet::new_query(number);
        let question = Question::new(Name::new_unchecked(FLEET), srv(), QCLASS::CLASS(CLASS::IN), false);
        packet.questions.push(question);
        packet.build_bytes_vec().unwrap_or_default()
    }

    /// Takes an answer and tells what it changes: entries that are new or other, then those that are gone.
    ///
    /// # Errors
    /// Where it is no answer to count; the list is then as it was.
    pub fn answer(&mut self, bytes: &[u8], tells: &mut impl Tells) -> Result<bool, Fault> {
        let (list, last, place) = answer::read(bytes, &self.queries)?;
        if last < self.last {
            return Err(Fault::Old);
        }
        self.answered = self.answered.max(place);
        if last == self.last {
            return Ok(false);
        }
        let before = std::mem::replace(&mut self.list, list);
        self.last = last;
        for (id, held) in &self.list {
            if before.get(id) != Some(held) {
                held.tell(*id, held.health, tells);
            }
        }
        for (id, held) in before.iter().filter(|(id, _)| !self.list.contains_key(id)) {
            held.tell(*id, Health::Gone, tells);
        }
        Ok(true)
    }

    /// How many queries there were so far.
    pub fn asked(&self) -> u64 {
        self.asked
    }

    /// Which of them, counted from one, was the latest that has an answer; zero for none.
    pub fn answered(&self) -> u64 {
        self.answered
    }

    /// Forgets the queries that are out: another service is asked from now on.
    pub fn forget_queries(&mut self) {
        self.queries.clear();
    }
}

fn srv() -> QTYPE {
    QTYPE::TYPE(TYPE::SRV)
}

/// The 32 bits of an id such as `s-00c41f7a`.
pub fn id_of(text: &str) -> Option<u32> {
    let digits = text.strip_prefix("s-")?;
    let whole = digits.len() == 8 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    whole.then(|| u32::from_str_radix(digits, 16).ok()).flatten()
}

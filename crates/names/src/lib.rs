//! The platform's list of streamers: loaded from the events in the configuration (JSON) and updated by
//! answers of the name service (DNS). [`StreamerList`] stores the list, creates queries and validates
//! answers; changes are reported entry by entry to a [`StreamerSink`]. It does no I/O and has no clock.

mod answer;
mod configured_events;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use badgerledge_core::interface::Health;
use simple_dns::{Name, Packet, Question, CLASS, QCLASS, QTYPE, TYPE};

/// The name to query for all streamers.
const FLEET_NAME: &str = "_work._tcp.fleet.local";
/// Answers to this many of the latest queries are accepted: at five queries a second those of ten seconds, so
/// that a slow service is usable. A late answer does no harm, since its serial number tells how old it is.
const MAX_OUTSTANDING_QUERIES: usize = 50;

/// Why an answer or an event was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("not a DNS message")]
    NotDns,
    #[error("the answer does not match an outstanding query")]
    Unrelated,
    #[error("the name service reports a failure or truncated its answer")]
    ServiceFailure,
    #[error("records of a streamer are missing or invalid")]
    Incomplete,
    #[error("records contradict each other")]
    Contradictory,
    #[error("the list is older than the stored one")]
    Outdated,
    #[error("{0} is missing or invalid")]
    Field(&'static str),
}

/// Receives the entries of the streamer list.
pub trait StreamerSink {
    /// `started` is the Unix time in milliseconds of the streamer's latest start, or 0 if it is long past.
    #[allow(clippy::too_many_arguments)]
    fn entry(
        &mut self, id: u32, at: SocketAddrV4, zone: &str, kind: &str, cell: u32, health: Health, weight: f64,
        started: u64,
    );
}

/// What the list says of a streamer.
#[derive(Clone, Debug, PartialEq)]
struct StreamerRecord {
    address: SocketAddrV4,
    zone: String,
    kind: String,
    cell: u32,
    health: Health,
    weight: f64,
    started_unix_ms: u64,
}

impl StreamerRecord {
    /// Reports this streamer with the given health.
    fn report(&self, id: u32, health: Health, sink: &mut impl StreamerSink) {
        sink.entry(
            id,
            self.address,
            &self.zone,
            &self.kind,
            self.cell,
            health,
            self.weight,
            self.started_unix_ms,
        );
    }
}

type List = BTreeMap<u32, StreamerRecord>;

/// The list, and the outstanding queries.
#[derive(Default)]
pub struct StreamerList {
    list: List,
    /// The number of the last event contained in the list.
    last_event: u64,
    /// The number of queries sent; and the latest of them, oldest first, each with its id and its sequence
    /// number.
    queries_sent: u64,
    outstanding: VecDeque<(u16, u64)>,
    /// The highest sequence number among answered queries.
    last_answered: u64,
}

impl StreamerList {
    /// Loads the events of the configuration. Returns whether they contain the whole list.
    ///
    /// # Errors
    ///
    /// If an event is invalid; the list is left unchanged.
    pub fn load_events(&mut self, events: &serde_json::Value) -> Result<bool, Fault> {
        let (list, last_event, complete) = configured_events::parse(events)?;
        (self.list, self.last_event) = (list, last_event);
        Ok(complete)
    }

    /// The number of the last event contained in the list.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// Reports all entries.
    pub fn report_all(&self, sink: &mut impl StreamerSink) {
        self.list.iter().for_each(|(id, streamer)| streamer.report(*id, streamer.health, sink));
    }

    /// Creates the next query, with this DNS id.
    pub fn next_query(&mut self, id: u16) -> Vec<u8> {
        self.queries_sent += 1;
        self.outstanding.push_back((id, self.queries_sent));
        while self.outstanding.len() > MAX_OUTSTANDING_QUERIES {
            self.outstanding.pop_front();
        }
        let mut packet = Packet::new_query(id);
        let question =
            Question::new(Name::new_unchecked(FLEET_NAME), srv_type(), QCLASS::CLASS(CLASS::IN), false);
        packet.questions.push(question);
        packet.build_bytes_vec().unwrap_or_default()
    }

    /// Applies an answer and reports the changes: new and changed entries first, then removed ones. Returns
    /// whether there were any.
    ///
    /// # Errors
    ///
    /// If the answer is not accepted; the list is left unchanged.
    pub fn apply_answer(&mut self, bytes: &[u8], sink: &mut impl StreamerSink) -> Result<bool, Fault> {
        let (list, last_event, sequence) = answer::parse(bytes, &self.outstanding)?;
        if last_event < self.last_event {
            return Err(Fault::Outdated);
        }
        self.last_answered = self.last_answered.max(sequence);
        if last_event == self.last_event {
            return Ok(false);
        }
        let previous = std::mem::replace(&mut self.list, list);
        self.last_event = last_event;
        for (id, streamer) in &self.list {
            if previous.get(id) != Some(streamer) {
                streamer.report(*id, streamer.health, sink);
            }
        }
        for (id, streamer) in previous.iter().filter(|(id, _)| !self.list.contains_key(id)) {
            streamer.report(*id, Health::Gone, sink);
        }
        Ok(true)
    }

    /// The number of queries sent so far.
    pub fn queries_sent(&self) -> u64 {
        self.queries_sent
    }

    /// The sequence number, from one, of the latest answered query; zero if none was answered.
    pub fn last_answered_query(&self) -> u64 {
        self.last_answered
    }

    /// Forgets the outstanding queries, because another name service is used from now on.
    pub fn forget_queries(&mut self) {
        self.outstanding.clear();
    }
}

fn srv_type() -> QTYPE {
    QTYPE::TYPE(TYPE::SRV)
}

/// Parses a streamer id such as `s-00c41f7a` to its 32 bits.
pub fn parse_streamer_id(text: &str) -> Option<u32> {
    let digits = text.strip_prefix("s-")?;
    let valid = digits.len() == 8 && digits.bytes().all(|b| b.is_ascii_hexdigit());
    valid.then(|| u32::from_str_radix(digits, 16).ok()).flatten()
}

//! The outputs of a gossip member: datagrams to be sent, events, and counters.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::envelope::Fault;
use crate::statement::Bulletin;
use crate::view::MemberState;
use crate::Member;

/// Sends the datagrams of a member.
pub trait Transport {
    /// Sends a datagram to an address.
    fn send(&mut self, to: SocketAddrV4, bytes: &[u8]);
}

impl<F: FnMut(SocketAddrV4, &[u8])> Transport for F {
    fn send(&mut self, to: SocketAddrV4, bytes: &[u8]) {
        self(to, bytes);
    }
}

/// Something that a member learned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Another member's state has changed.
    StateChanged(Member, MemberState),
    /// A bulletin by a member that takes part, and its age.
    Bulletin(Bulletin, Duration),
    /// Another subsystem's message, from this member.
    Message(Member, Vec<u8>),
}

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub sent: u64,
    pub sent_bytes: u64,
    pub taken: u64,
    pub dropped: BTreeMap<Fault, u64>,
    pub accusations: u64,
    pub refutations: u64,
    pub stalls: u64,
    /// Datagrams not sent because the byte budget was exhausted.
    pub held_back: u64,
    pub signed: u64,
    pub checked: u64,
}

//! What a member gives to those who use it: datagrams to be sent, events, and counts.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::envelope::Fault;
use crate::statement::Bulletin;
use crate::view::MemberState;
use crate::Member;

/// What a member does to the world.
pub trait Transport {
    /// Sends a datagram to an address.
    fn send(&mut self, to: SocketAddrV4, bytes: &[u8]);
}

impl<F: FnMut(SocketAddrV4, &[u8])> Transport for F {
    fn send(&mut self, to: SocketAddrV4, bytes: &[u8]) {
        self(to, bytes);
    }
}

/// What a member learned, for those who use it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Another member's state has changed.
    StateChanged(Member, MemberState),
    /// A bulletin by a member that takes part, how old, and that member's items.
    Bulletin(Bulletin, Duration),
    /// Another subsystem's message, from this member.
    Message(Member, Vec<u8>),
}

/// What was counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub taken: u64,
    pub dropped: BTreeMap<Fault, u64>,
    pub accusations: u64,
    pub refutations: u64,
    pub stalls: u64,
    /// Datagrams that did not go since the ceiling was reached.
    pub held_back: u64,
    pub signed: u64,
    pub checked: u64,
}

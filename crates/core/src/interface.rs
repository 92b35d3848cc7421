//! What the decisions are told in and what they write to. No decision is made here.

use std::net::SocketAddrV4;
use std::time::Duration;

/// The id of one try for a subscription, as the wire gives it.
pub type JobId = u32;
/// A streamer, by the address that the list gives.
pub type StreamerId = SocketAddrV4;

/// How a join or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Served,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

impl Ending {
    /// Whether a join was lost by its streamer's silence or end.
    pub fn is_lost(self) -> bool {
        matches!(self, Ending::Timeout | Ending::ConnectFailed | Ending::Reset)
    }

    /// The wire's promise that a join with this ending never ran.
    pub fn proves_it_never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::ConnectFailed | Ending::Moot)
    }
}

/// What the list says of a streamer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Gone,
    Ready,
    Draining,
}

/// A streamer's latest start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Start {
    /// When it was, on this instance's clock; zero is long past.
    pub at: Duration,
    /// What the list tells it by. It is the same for every instance, which the time is not: each has a clock of its own.
    pub number: u64,
}

/// What a `Sync` brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    Changes,
    Complete,
    Cached,
    Failed,
}

/// A request for a subscription, or one that plays already, field by field.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asked {
    pub title: u64,
    pub path_key: u64,
    pub room_type: usize,
    pub client_timeout: Duration,
    pub first_cell: u32,
    pub copies: u32,
    pub max_rung: u8,
    pub hinted: Option<Duration>,
    pub moved: bool,
}

impl Asked {
    /// The wire's rule on which cells hold the title.
    pub fn held_by(&self, cell: u32, cells: u32) -> bool {
        let cells = cells.max(1);
        (cell % cells + cells - self.first_cell % cells) % cells < self.copies
    }
}

/// Takes the decisions of a round as they are made.
pub trait Writer {
    fn pass_on(&mut self, job: JobId, streamer: StreamerId, try_until: Duration);
    fn shed(&mut self, job: JobId, cool_down: Duration);
    fn respond_error(&mut self, job: JobId);
    fn step_to(&mut self, job: JobId, rung: u8);
    fn shift(&mut self, job: JobId);
    fn cancel(&mut self, job: JobId, join: u16);
    fn remind(&mut self, from_now: Duration, token: u64);
    fn health_check(&mut self, streamer: StreamerId);
    fn close(&mut self, streamer: StreamerId);
    fn signal(&mut self, peer: Option<u16>, bytes: &[u8]);
    fn observe(&mut self, want: bool);
    fn list_all(&mut self);
    fn emit(&mut self, line: &str);
    fn give_in(&mut self, line: &str);
}

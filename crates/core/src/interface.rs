//! The types of the events that the decisions receive, and the trait that they write to. Nothing is decided
//! here.

use std::net::SocketAddrV4;
use std::time::Duration;

/// The id of one attempt at a subscription, as the wire gives it.
pub type JobId = u32;
/// A streamer, identified by its address in the list.
pub type StreamerId = SocketAddrV4;

/// How a join, a probe or a subscription ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Served,
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    /// The join was not sent: its subscription was no longer waiting for one.
    Moot,
}

impl Ending {
    /// Whether a join was lost because its streamer did not answer or failed.
    pub fn is_lost(self) -> bool {
        matches!(self, Ending::Timeout | Ending::ConnectFailed | Ending::Reset)
    }

    /// Whether the wire guarantees that a join with this ending never ran.
    pub fn proves_it_never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::ConnectFailed | Ending::Moot)
    }
}

/// A streamer's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// No longer listed.
    Gone,
    Ready,
    /// Still serves its subscriptions but takes no new ones.
    Draining,
}

/// The latest start of a streamer's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Start {
    /// Its time on this controller's clock; zero is long past.
    pub at: Duration,
    /// The number by which the list identifies the start. It is the same for all controllers, unlike the
    /// time, since each controller has its own clock.
    pub number: u64,
}

/// What kind of list or list change is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Changes since the previous list.
    Changes,
    /// The whole list.
    Complete,
    /// The whole list as stored by an earlier process.
    Cached,
    /// The list service could not answer.
    Failed,
}

/// A request for a subscription, or the description of one that already plays.
#[derive(Clone, Copy, Debug, Default)]
pub struct SubscriptionRequest {
    pub title: u64,
    pub path_key: u64,
    pub room_type: usize,
    /// How long the viewer waits for the final answer.
    pub client_timeout: Duration,
    pub first_cell: u32,
    /// Number of consecutive cells, from `first_cell` on, that hold the title.
    pub copies: u32,
    /// The highest rung that the viewer accepts.
    pub max_rung: u8,
    /// Expected duration of the subscription, if the viewer gave one.
    pub duration_hint: Option<Duration>,
    /// Whether it was moved already; a subscription is moved at most once.
    pub moved: bool,
}

impl SubscriptionRequest {
    /// Whether a cell is one of those that hold the title, by the wire's rule: `copies` cells from
    /// `first_cell` on, wrapping at `cells`.
    pub fn is_held_by(&self, cell: u32, cells: u32) -> bool {
        let cells = cells.max(1);
        (cell % cells + cells - self.first_cell % cells) % cells < self.copies
    }
}

/// Receives the decisions of a round as they are made.
pub trait DecisionSink {
    /// Sends a join to a streamer, which is tried until `try_until`.
    fn send_join(&mut self, job: JobId, streamer: StreamerId, try_until: Duration);
    /// Throttles a subscription; the viewer may come back after `cool_down`.
    fn throttle(&mut self, job: JobId, cool_down: Duration);
    /// Answers a subscription with an error: trying again could do harm.
    fn respond_error(&mut self, job: JobId);
    /// Sets the rung of a subscription.
    fn set_rung(&mut self, job: JobId, rung: u8);
    /// Moves a subscription away from its streamer; it comes back as a new request.
    fn move_subscription(&mut self, job: JobId);
    /// Cancels an outstanding join.
    fn cancel(&mut self, job: JobId, join: u16);
    /// Sets a timer, which gives `token` back when it fires.
    fn set_timer(&mut self, from_now: Duration, token: u64);
    /// Sends a probe to a streamer.
    fn send_probe(&mut self, streamer: StreamerId);
    /// Closes an idle connection to a streamer.
    fn close_connection(&mut self, streamer: StreamerId);
    /// Sends a message to one other controller, or to all.
    fn send_to_peers(&mut self, peer: Option<u16>, bytes: &[u8]);
    /// Starts or stops the subscription to list changes.
    fn watch_list(&mut self, want: bool);
    /// Requests the complete list.
    fn request_full_list(&mut self);
    /// Writes an informational line to the log of the host.
    fn log_info(&mut self, line: &str);
    /// Reports a failure that the decisions cannot handle, as a line of the log of the host.
    fn log_error(&mut self, line: &str);
}

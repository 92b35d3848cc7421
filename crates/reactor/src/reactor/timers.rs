//! Timers: those set by the program, and the loop's own for connections and listeners.

use std::time::Duration;

use super::events::{CloseReason, ReactorEvent, SocketId};
use super::Reactor;

/// The owner of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer of the program, with its token.
    Program(u64),
    /// Time limit of a connection that is not yet established, or not yet flushed before closing.
    Connection(SocketId),
    /// Resumes a listener that ran out of descriptors.
    ResumeListener(SocketId),
}

impl Reactor {
    /// Sets a timer that reports this token. The same token and time set twice is reported once.
    pub fn set_timer(&mut self, at: Duration, token: u64) {
        self.timers.insert((at, Timer::Program(token)));
    }

    /// Cancels a timer set with [`Reactor::set_timer`].
    pub fn cancel_timer(&mut self, at: Duration, token: u64) {
        self.timers.remove(&(at, Timer::Program(token)));
    }

    /// Handles a due timer.
    pub(super) fn handle_timer(&mut self, timer: Timer, events: &mut Vec<ReactorEvent>) {
        match timer {
            Timer::Program(token) => events.push(ReactorEvent::Timer(token)),
            Timer::ResumeListener(id) => self.set_paused(id, false),
            Timer::Connection(id) => match self.connection(id) {
                Some(connection) if connection.connecting => self.mark_ended(id, CloseReason::NotMade),
                Some(connection) if connection.closing_after_flush => {
                    self.mark_ended(id, CloseReason::Finished)
                }
                _ => {}
            },
        }
    }
}

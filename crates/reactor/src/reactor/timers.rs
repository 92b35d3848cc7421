//! Due times: those of the program, and the loop's own for lines and listeners.

use std::time::Duration;

use super::events::{Closing, Happening, Line};
use super::Reactor;

/// What falls due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Program(u64),
    /// The end of a line that is not made, or not finished, by then.
    Line(Line),
    /// A listener that ran out of descriptors is tried again.
    Listen(Line),
}

impl Reactor {
    /// Has a token told at that time. One set twice for a time is told once.
    pub fn due(&mut self, at: Duration, token: u64) {
        self.due.insert((at, Due::Program(token)));
    }

    /// Takes back what [`Reactor::due`] set.
    pub fn not_due(&mut self, at: Duration, token: u64) {
        self.due.remove(&(at, Due::Program(token)));
    }

    /// Does or tells what has fallen due.
    pub(super) fn fall_due(&mut self, due: Due, told: &mut Vec<Happening>) {
        match due {
            Due::Program(token) => told.push(Happening::Due(token)),
            Due::Listen(line) => self.rest(line, false),
            Due::Line(line) => match self.conn(line) {
                Some(conn) if conn.making => self.end(line, Closing::NotMade),
                Some(conn) if conn.finishing => self.end(line, Closing::Finished),
                _ => {}
            },
        }
    }
}

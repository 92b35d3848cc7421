//! A round.

use std::time::Duration;

use badgerledge_core::decide::Controller;
use badgerledge_core::interface::{Ending, JobId, StreamerId};
use serde_json::{Map, Value};

use crate::book::Book;
use crate::desk::{Carrier, Desk};
use crate::{Admission, Floor};

/// One controller's decisions and records.
pub struct Exchange {
    module: Controller,
    book: Book,
    admission: Admission,
    owed: Vec<(JobId, u16, StreamerId, Ending, bool, Duration)>,
}

impl Exchange {
    /// `told` is the plain map of the settings that the module reads; `most` bounds the subscriptions held.
    pub fn new(now: Duration, seed: u64, told: Map<String, Value>, most: usize) -> Self {
        Self {
            module: Controller::new(now, seed, told),
            book: Book::default(),
            admission: Admission::new(most, seed.rotate_left(32)),
            owed: Vec::new(),
        }
    }

    pub fn book(&self) -> &Book {
        &self.book
    }

    /// When a round is due by itself, if nothing comes in before.
    pub fn next_due(&self) -> Option<Duration> {
        if self.owed.is_empty() {
            self.book.next_due()
        } else {
            Some(Duration::ZERO)
        }
    }

    /// One round at `now`: what `feed` tells of, then what is overdue, then the module's due work.
    pub fn round<C: Carrier>(
        &mut self, now: Duration, carrier: &mut C, feed: impl FnOnce(&mut Floor<'_, '_, C>),
    ) {
        let mut owed = Vec::new();
        let earlier = std::mem::take(&mut self.owed);
        let mut desk =
            Desk { book: &mut self.book, admission: &mut self.admission, carrier, now, owed: &mut owed };
        let arrivals = |module: &mut Controller, desk: &mut Desk<'_, C>| {
            for (job, join, streamer, ending, over, latency) in earlier {
                module.outcome(job, streamer, join, ending, over, latency, &[]);
            }
            let mut floor = Floor { module, desk };
            feed(&mut floor);
            floor.end_overdue();
        };
        self.module.round(now, arrivals, &mut desk);
        self.owed = owed;
    }
}

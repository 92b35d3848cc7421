//! A round.

use std::time::Duration;

use badgerledge_core::decide::Controller;
use serde_json::{Map, Value};

use crate::book::Book;
use crate::desk::{Carrier, Desk, Owed};
use crate::{Admission, Floor, Steps};

/// One controller's decisions and records.
pub struct Exchange {
    module: Controller,
    book: Book,
    admission: Admission,
    owed: Vec<Owed>,
    unsafe_types: Vec<usize>,
    hold: Option<Duration>,
}

impl Exchange {
    /// `told` is the plain map of the settings that the module reads; `most` bounds the subscriptions held.
    pub fn new(now: Duration, seed: u64, told: Map<String, Value>, most: usize) -> Self {
        let unsafe_types = unsafe_types(&told);
        Self {
            module: Controller::new(now, seed, told),
            book: Book::default(),
            admission: Admission::new(most, seed.rotate_left(32)),
            owed: Vec::new(),
            unsafe_types,
            hold: None,
        }
    }

    /// Whether new joins are held back, and when viewers that are turned away for it may come back: to be said before
    /// anything that may send one. What plays plays on.
    pub fn hold(&mut self, hold: Option<Duration>) {
        self.hold = hold;
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

    /// What came in on joins, between rounds.
    pub fn between<C: Carrier>(
        &mut self, now: Duration, carrier: &mut C, feed: impl FnOnce(&mut Steps<'_, '_, C>),
    ) {
        let Self { book, admission, owed, unsafe_types, hold, .. } = self;
        let hold = *hold;
        feed(&mut Steps { desk: &mut Desk { book, admission, carrier, now, owed, unsafe_types, hold } });
    }

    /// One round at `now`: what `feed` tells of, then what is overdue, then the module's due work.
    pub fn round<C: Carrier>(
        &mut self, now: Duration, carrier: &mut C, feed: impl FnOnce(&mut Floor<'_, '_, C>),
    ) {
        let Self { module, book, admission, owed, unsafe_types, hold } = self;
        let hold = *hold;
        let mut desk = Desk { book, admission, carrier, now, owed, unsafe_types, hold };
        let arrivals = |module: &mut Controller, desk: &mut Desk<'_, C>| {
            let mut floor = Floor { module, desk };
            floor.deliver();
            feed(&mut floor);
            floor.deliver();
            floor.end_overdue();
            floor.deliver();
        };
        module.round(now, arrivals, &mut desk);
    }
}

/// Room types that must not be set up twice.
pub(crate) fn unsafe_types(told: &Map<String, Value>) -> Vec<usize> {
    let profiles = told.get("profiles").and_then(Value::as_array);
    let types = profiles.into_iter().flatten().enumerate();
    types.filter(|(_, told)| told["effect"] == "single_shot").map(|(n, _)| n).collect()
}

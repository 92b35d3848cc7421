//! Rounds of one controller.

use std::time::Duration;

use badgerledge_core::decide::Controller;
use serde_json::{Map, Value};

use crate::decision_executor::{DecisionExecutor, PendingOutcome, Transport};
use crate::subscription_table::SubscriptionTable;
use crate::{Admission, EventHandler, JoinEvents};

/// The decision module and the subscriptions of one controller.
pub struct Exchange {
    module: Controller,
    subscriptions: SubscriptionTable,
    admission: Admission,
    pending_outcomes: Vec<PendingOutcome>,
    unsafe_room_types: Vec<usize>,
    /// Set while new joins are held back: viewers are throttled with this cool-down.
    hold_cool_down: Option<Duration>,
}

impl Exchange {
    /// `settings` is the plain map of settings that the decision module reads; `max_subscriptions` limits the
    /// subscriptions held.
    pub fn new(now: Duration, seed: u64, settings: Map<String, Value>, max_subscriptions: usize) -> Self {
        let unsafe_room_types = unsafe_room_types(&settings);
        Self {
            module: Controller::new(now, seed, settings),
            subscriptions: SubscriptionTable::default(),
            admission: Admission::new(max_subscriptions, seed.rotate_left(32)),
            pending_outcomes: Vec::new(),
            unsafe_room_types,
            hold_cool_down: None,
        }
    }

    /// Holds new joins back, or resumes them; `cool_down` is when throttled viewers may retry. Must be called
    /// before anything that may send a join. Playing subscriptions continue.
    pub fn hold_joins(&mut self, cool_down: Option<Duration>) {
        self.hold_cool_down = cool_down;
    }

    /// The records of all subscriptions.
    pub fn subscriptions(&self) -> &SubscriptionTable {
        &self.subscriptions
    }

    /// When the next round is due without any events.
    pub fn next_due(&self) -> Option<Duration> {
        if self.pending_outcomes.is_empty() {
            self.subscriptions.next_due()
        } else {
            Some(Duration::ZERO)
        }
    }

    /// Handles events of joins between rounds.
    pub fn handle_join_events<C: Transport>(
        &mut self, now: Duration, transport: &mut C, feed: impl FnOnce(&mut JoinEvents<'_, '_, C>),
    ) {
        let Self { subscriptions, admission, pending_outcomes, unsafe_room_types, hold_cool_down, .. } = self;
        let hold_cool_down = *hold_cool_down;
        feed(&mut JoinEvents {
            executor: &mut DecisionExecutor {
                subscriptions,
                admission,
                transport,
                now,
                pending_outcomes,
                unsafe_room_types,
                hold_cool_down,
            },
        });
    }

    /// Runs one round at `now`: the events that `feed` reports, then what is overdue, then the due work of
    /// the decision module.
    pub fn round<C: Transport>(
        &mut self, now: Duration, transport: &mut C, feed: impl FnOnce(&mut EventHandler<'_, '_, C>),
    ) {
        let Self { module, subscriptions, admission, pending_outcomes, unsafe_room_types, hold_cool_down } =
            self;
        let hold_cool_down = *hold_cool_down;
        let mut executor = DecisionExecutor {
            subscriptions,
            admission,
            transport,
            now,
            pending_outcomes,
            unsafe_room_types,
            hold_cool_down,
        };
        let events = |module: &mut Controller, executor: &mut DecisionExecutor<'_, C>| {
            let mut handler = EventHandler { module, executor };
            handler.deliver_outcomes();
            feed(&mut handler);
            handler.deliver_outcomes();
            handler.end_overdue();
            handler.deliver_outcomes();
        };
        module.round(now, events, &mut executor);
    }
}

/// Indexes of the room types that must not be set up twice.
pub(crate) fn unsafe_room_types(settings: &Map<String, Value>) -> Vec<usize> {
    let profiles = settings.get("profiles").and_then(Value::as_array);
    let types = profiles.into_iter().flatten().enumerate();
    types.filter(|(_, profile)| profile["effect"] == "single_shot").map(|(index, _)| index).collect()
}

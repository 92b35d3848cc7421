//! Rounds of one controller.

use std::time::Duration;

use badgerledge_core::decide::Controller;
use badgerledge_core::interface::DecisionSink;
use serde_json::{Map, Value};

use crate::decision_executor::{DecisionExecutor, PendingOutcome, Transport};
use crate::subscription_table::SubscriptionTable;
use crate::{Admission, EventHandler, JoinEvents};

/// The decision module and the subscriptions of one controller.
pub struct Exchange {
    module: Controller,
    state: ExchangeState,
}

/// What the decisions are carried out on.
struct ExchangeState {
    subscriptions: SubscriptionTable,
    admission: Admission,
    pending_outcomes: Vec<PendingOutcome>,
    unsafe_room_types: Vec<usize>,
    /// Set while new joins are held back: viewers are throttled with this cool-down.
    hold_cool_down: Option<Duration>,
}

impl ExchangeState {
    /// Carries out decisions at `now` on this transport.
    fn executor<'a, C>(&'a mut self, now: Duration, transport: &'a mut C) -> DecisionExecutor<'a, C> {
        DecisionExecutor {
            subscriptions: &mut self.subscriptions,
            admission: &mut self.admission,
            transport,
            now,
            pending_outcomes: &mut self.pending_outcomes,
            unsafe_room_types: &mut self.unsafe_room_types,
            hold_cool_down: self.hold_cool_down,
        }
    }
}

impl Exchange {
    /// `settings` is the plain map of settings that the decision module reads; `max_subscriptions` limits the
    /// subscriptions held.
    pub fn new(now: Duration, seed: u64, settings: Map<String, Value>, max_subscriptions: usize) -> Self {
        let unsafe_room_types = unsafe_room_types(&settings);
        let state = ExchangeState {
            subscriptions: SubscriptionTable::default(),
            admission: Admission::new(max_subscriptions, seed.rotate_left(32)),
            pending_outcomes: Vec::new(),
            unsafe_room_types,
            hold_cool_down: None,
        };
        Self { module: Controller::new(now, seed, settings), state }
    }

    /// Holds new joins back, or resumes them; `cool_down` is when throttled viewers may retry. Must be called
    /// before anything that may send a join. Playing subscriptions continue.
    pub fn hold_joins(&mut self, cool_down: Option<Duration>) {
        self.state.hold_cool_down = cool_down;
    }

    /// The records of all subscriptions.
    pub fn subscriptions(&self) -> &SubscriptionTable {
        &self.state.subscriptions
    }

    /// When the next round is due without any events.
    pub fn next_due(&self) -> Option<Duration> {
        if self.state.pending_outcomes.is_empty() {
            self.state.subscriptions.next_due()
        } else {
            Some(Duration::ZERO)
        }
    }

    /// Handles events of joins between rounds.
    pub fn handle_join_events<C: Transport>(
        &mut self, now: Duration, transport: &mut C, feed: impl FnOnce(&mut JoinEvents<'_, '_, C>),
    ) {
        feed(&mut JoinEvents { executor: &mut self.state.executor(now, transport) });
    }

    /// Answers every set-up that waits, since the process is about to exit: one without a join is throttled
    /// with this cool-down, one whose join may have run is terminated.
    pub fn answer_waiting<C: Transport>(&mut self, now: Duration, transport: &mut C, cool_down: Duration) {
        let subscriptions = self.state.subscriptions.all();
        let waiting = subscriptions.filter(|(_, subscription)| subscription.playing_connection.is_none());
        let waiting: Vec<_> = waiting.map(|(job, subscription)| (job, subscription.join_count)).collect();
        let mut executor = self.state.executor(now, transport);
        for (job, join_count) in waiting {
            match join_count {
                0 => executor.throttle(job, cool_down),
                _ => executor.respond_error(job),
            }
        }
    }

    /// Runs one round at `now`: the events that `feed` reports, then what is overdue, then the due work of
    /// the decision module.
    pub fn round<C: Transport>(
        &mut self, now: Duration, transport: &mut C, feed: impl FnOnce(&mut EventHandler<'_, '_, C>),
    ) {
        let mut executor = self.state.executor(now, transport);
        let events = |module: &mut Controller, executor: &mut DecisionExecutor<'_, C>| {
            let mut handler = EventHandler { module, executor };
            handler.deliver_outcomes();
            feed(&mut handler);
            handler.deliver_outcomes();
            handler.end_overdue();
            handler.deliver_outcomes();
        };
        self.module.round(now, events, &mut executor);
    }
}

/// Indexes of the room types that must not be set up twice.
pub(crate) fn unsafe_room_types(settings: &Map<String, Value>) -> Vec<usize> {
    let profiles = settings.get("profiles").and_then(Value::as_array);
    let types = profiles.into_iter().flatten().enumerate();
    types.filter(|(_, profile)| profile["effect"] == "single_shot").map(|(index, _)| index).collect()
}

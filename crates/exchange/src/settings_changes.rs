//! Applies new settings and titles, before the other events of a round, so that the round's decisions use
//! them. What happens to each subscription is determined by `badgerledge-changes`; it is carried out here.

use badgerledge_core::interface::{DecisionSink, Ending, JobId, StreamerId};
use serde_json::{Map, Value};

use crate::decision_executor::Transport;
use crate::exchange::unsafe_room_types;
use crate::EventHandler;

impl<C: Transport> EventHandler<'_, '_, C> {
    /// Caps a subscription at a rung for good. Must be called before [`EventHandler::change_settings`], while
    /// the rates that it plays at still apply.
    pub fn limit_rung(&mut self, job: JobId, top: u8) {
        self.deliver_outcomes();
        self.module.limit_rung(job, top, self.executor);
        // A subscription that does not play yet is set up at the lower rung, or steps down once it plays.
        let above_top = self
            .executor
            .subscriptions
            .get(job)
            .is_some_and(|subscription| subscription.rung.is_some_and(|rung| rung > top));
        if above_top {
            self.executor.subscriptions.set_rung(job, top);
        }
    }

    /// Applies new settings. Waiting, joining and playing subscriptions continue.
    pub fn change_settings(&mut self, settings: Map<String, Value>) {
        self.deliver_outcomes();
        *self.executor.unsafe_room_types = unsafe_room_types(&settings);
        self.module.update_settings(settings);
    }

    /// Changes the cells that hold the title of a subscription.
    pub fn relocate(&mut self, job: JobId, first_cell: u32, copies: u32) {
        self.deliver_outcomes();
        self.executor.subscriptions.relocate(job, first_cell, copies);
        self.module.relocate(job, first_cell, copies);
    }

    /// Withdraws the join of a subscription if its SETUP was not sent yet; the decision module places it
    /// again.
    pub fn withdraw_unsent_join(&mut self, job: JobId) {
        let join = self.executor.subscriptions.get(job).and_then(|subscription| subscription.join.as_ref());
        if let Some(number) = join.filter(|join| join.set_up_rung.is_none()).map(|join| join.number) {
            self.join_events().join_ended(job, number, Ending::Moot, &[]);
            self.deliver_outcomes();
        }
    }

    /// Answers a waiting subscription whose title was removed.
    pub fn reject(&mut self, job: JobId) {
        self.withdraw_unsent_join(job);
        self.module.expired(job);
        self.executor.respond_error(job);
        self.deliver_outcomes();
    }

    /// Sends back the viewer of a subscription whose title is no longer at its streamer, to be placed like
    /// any other; does nothing if it has left that streamer by itself. Returns whether its join is still
    /// outstanding there, so that it may start to play later.
    pub fn redirect_from(&mut self, job: JobId, from: StreamerId) -> bool {
        let Some(subscription) = self.executor.subscriptions.get(job) else { return false };
        let at_streamer = subscription.join.as_ref().is_some_and(|join| join.streamer == from);
        let plays = subscription.playing_connection.is_some();
        if at_streamer && plays {
            self.end_with_redirect(job, "redirected: its title is no longer at its streamer");
        }
        at_streamer && !plays
    }
}

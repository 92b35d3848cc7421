//! Other settings and titles, told in a round before anything else that came in: what is decided in it is decided under
//! them. What becomes of each subscription was decided before (`badgerledge-changes`); it is carried out here.

use badgerledge_core::interface::{DecisionSink, Ending, JobId, StreamerId};
use serde_json::{Map, Value};

use crate::desk::Carrier;
use crate::exchange::unsafe_types;
use crate::Floor;

impl<C: Carrier> Floor<'_, '_, C> {
    /// A subscription has no rung over this one from now on: to be told before [`Floor::retell`], under the rates that it
    /// plays at.
    pub fn ends_at(&mut self, job: JobId, top: u8) {
        self.deliver();
        self.module.limit_rung(job, top, self.desk);
        // One that does not flow yet is set up lower, or stepped once it flows.
        let over = self.desk.book.get(job).is_some_and(|held| held.rung.is_some_and(|rung| rung > top));
        if over {
            self.desk.book.set_rung(job, top);
        }
    }

    /// Other settings from now on. What waits, joins or plays goes on.
    pub fn retell(&mut self, told: Map<String, Value>) {
        self.deliver();
        *self.desk.unsafe_types = unsafe_types(&told);
        self.module.update_settings(told);
    }

    /// The title of a subscription lies on so many cells from another one on.
    pub fn relocate(&mut self, job: JobId, first_cell: u32, copies: u32) {
        self.deliver();
        self.desk.book.relocate(job, first_cell, copies);
        self.module.relocate(job, first_cell, copies);
    }

    /// The join of a subscription is taken back before SETUP has gone; the module places it anew.
    pub fn withdraw(&mut self, job: JobId) {
        let join = self.desk.book.get(job).and_then(|held| held.join.as_ref());
        if let Some(number) = join.filter(|join| join.set_up.is_none()).map(|join| join.number) {
            self.steps().join_ends(job, number, Ending::Moot, &[]);
            self.deliver();
        }
    }

    /// What a subscription waits for is gone: its lines get their final answer now.
    pub fn turn_away(&mut self, job: JobId) {
        self.withdraw(job);
        self.module.expired(job);
        self.desk.respond_error(job);
        self.deliver();
    }

    /// A subscription plays where its title lies no more: its viewer comes back, and is placed by the module like any
    /// other. Nothing where it has left that streamer by itself. Tells whether its join is still out there, and it may yet
    /// come to play.
    pub fn move_on(&mut self, job: JobId, from: StreamerId) -> bool {
        let Some(held) = self.desk.book.get(job) else { return false };
        let there = held.join.as_ref().is_some_and(|join| join.streamer == from);
        let plays = held.plays_to.is_some();
        if there && plays {
            self.sent_back(job, "moved: its title lies elsewhere by now");
        }
        there && !plays
    }
}

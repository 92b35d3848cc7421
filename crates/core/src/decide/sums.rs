//! What is listed and due, and what this instance asks of each pipe, summed. Nothing is decided here.

use serde_json::{Map, Value};

use super::{Controller, FRESH, TOKEN_DUE};
use crate::interface::{JobId, Listing, StreamerId, Writer};
use crate::state::{Pipe, Subscription};
use crate::told::{mean, Told};

impl Controller {
    /// Other settings from now on. Room types, zones, kinds and cells must keep their numbers: what is held is held
    /// under them. Rungs that are over their new top count as that. Links and uplinks get their new size with the next
    /// list.
    pub fn retell(&mut self, options: Map<String, Value>) {
        self.told = Told::new(options);
        let Self { told, subs, .. } = self;
        subs.values_mut().for_each(|sub| sub.rung = sub.rung.min(told.top(&sub.asked)));
        // Sums hold what was asked at the rates of before.
        self.sum_up();
    }

    /// A fact told: a subscription's title lies on so many cells from another one on.
    pub fn relocate(&mut self, job: JobId, first_cell: u32, copies: u32) {
        if let Some(sub) = self.subs.get_mut(&job) {
            (sub.asked.first_cell, sub.asked.copies) = (first_cell, copies);
        }
    }

    /// A fact told: no rung of a subscription over this one is left. Whatever caps it goes on counting.
    pub fn ends_at<W: Writer>(&mut self, job: JobId, top: u8, out: &mut W) {
        let Some(cap) = self.subs.get(&job).map(|sub| sub.cap) else { return };
        self.cap(job, Some(cap.map_or(top, |cap| cap.min(top))), out);
        self.subs.entry(job).and_modify(|sub| sub.cap = cap);
    }

    pub fn fired(&mut self, token: u64) {
        if token == TOKEN_DUE {
            self.reminded = None;
        }
    }

    pub fn expired(&mut self, job: JobId) {
        self.drop_sub(job);
    }

    pub fn list_begins(&mut self, how: Listing) {
        if matches!(how, Listing::Complete | Listing::Cached) {
            self.streamers.values_mut().for_each(|s| s.listed = false);
        }
    }

    pub(super) fn size(&self, pipe: Pipe) -> f64 {
        let g = self.pipes.of(pipe);
        (g.stated * self.warmth(pipe)).max(1.0)
    }

    pub(super) fn uplink(&self, id: StreamerId) -> Pipe {
        Pipe::uplink(self.streamers.get(&id).map_or(0, |s| s.cell), &self.told)
    }

    pub(super) fn use_of(&self, pipe: Pipe) -> f64 {
        (self.others(pipe) + self.pipes.of(pipe).asks) / self.size(pipe)
    }

    /// What others ask of uplinks and of links, on the mean of those lately measured.
    pub(super) fn note_usual_use(&mut self) {
        self.usual_use = [false, true].map(|link| {
            let fresh = self.pipes.all.iter().filter(|(_, g)| g.fresh(self.now, FRESH));
            let kind = fresh.filter(|(p, _)| matches!(p, Pipe::Link(_)) == link);
            mean(kind.map(|(p, g)| g.others / self.size(*p))).unwrap_or(self.usual_use[usize::from(link)])
        });
    }

    /// What one of this instance's subscriptions asks, on the mean.
    pub(super) fn usual_rate(&self) -> f64 {
        let placed = self.subs.values().filter(|s| s.at.is_some());
        mean(placed.map(|s| self.told.rate(&s.asked, s.rung))).unwrap_or(0.0)
    }

    /// What one step of this instance's subscriptions on a pipe is, on the mean.
    pub(super) fn usual_step(&self, pipe: Pipe, up: bool) -> f64 {
        let on = |id| pipe == Pipe::Link(id) || pipe == self.uplink(id);
        let next = |s: &Subscription| if up { self.top(s).min(s.rung + 1) } else { s.rung.max(1) - 1 };
        let step = |s: &Subscription| self.told.rate(&s.asked, next(s)) - self.told.rate(&s.asked, s.rung);
        let own = self.subs.values().filter(|s| s.plays && s.at.is_some_and(on));
        mean(own.map(|s| step(s).abs())).unwrap_or(0.0)
    }

    /// Sets where a subscription is and at which rung; all sums of what is asked are kept here.
    pub(super) fn settle(&mut self, job: JobId, at: Option<StreamerId>, rung: u8) {
        let Some(sub) = self.subs.get(&job) else { return };
        let rate = |rung| self.told.rate(&sub.asked, rung);
        for (id, more) in [(sub.at, -rate(sub.rung)), (at, rate(rung))] {
            let pipes = id.map(|id| [Pipe::Link(id), self.uplink(id)]);
            pipes.into_iter().flatten().for_each(|pipe| self.pipes.ask(pipe, more, self.now));
        }
        self.subs.entry(job).and_modify(|sub| (sub.at, sub.rung) = (at, rung));
    }

    /// Sums anew what is asked: streamers may have come onto the list after their subscriptions.
    pub(super) fn sum_up(&mut self) {
        self.pipes.all.values_mut().for_each(|g| g.asks = 0.0);
        let held = self.subs.iter_mut().filter_map(|(job, s)| Some((*job, s.at.take()?, s.rung)));
        for (job, at, rung) in held.collect::<Vec<_>>() {
            self.settle(job, Some(at), rung);
        }
    }

    pub(super) fn drop_sub(&mut self, job: JobId) -> Option<Subscription> {
        self.settle(job, None, 0);
        self.subs.remove(&job)
    }
}

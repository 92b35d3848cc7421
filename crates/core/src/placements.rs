//! Which subscriptions are at which streamer, and how many seats of a title are taken. An index of the
//! subscriptions, so that a decision about one streamer or title does not go through all of them.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{JobId, StreamerId, SubscriptionRequest};

/// A title in a room type: seats are counted for each.
type SeatKey = (u64, usize);

/// The index.
#[derive(Debug, Default)]
pub struct Placements {
    by_streamer: BTreeMap<StreamerId, BTreeSet<JobId>>,
    seats: BTreeMap<SeatKey, usize>,
    /// Subscriptions that are said to play and that no streamer has confirmed.
    claims: BTreeMap<JobId, SeatKey>,
}

impl Placements {
    /// Moves a subscription from one streamer, or none, to another, or none.
    pub fn assign(
        &mut self, job: JobId, request: &SubscriptionRequest, previous: Option<StreamerId>,
        streamer: Option<StreamerId>,
    ) {
        if previous == streamer {
            return;
        }
        let seat = (request.title, request.room_type);
        if let Some(previous) = previous {
            self.remove(job, previous);
            self.free_seat(seat);
        }
        if let Some(streamer) = streamer {
            self.by_streamer.entry(streamer).or_default().insert(job);
            *self.seats.entry(seat).or_default() += 1;
        }
    }

    /// The subscriptions at a streamer, by their number.
    pub fn at(&self, streamer: StreamerId) -> impl Iterator<Item = JobId> + '_ {
        self.by_streamer.get(&streamer).into_iter().flatten().copied()
    }

    /// The streamers with subscriptions.
    pub fn streamers(&self) -> impl Iterator<Item = StreamerId> + '_ {
        self.by_streamer.keys().copied()
    }

    /// Adds an unconfirmed subscription, which takes a seat.
    pub fn claim(&mut self, job: JobId, title: u64, room_type: usize) {
        let seat = (title, room_type);
        if self.claims.insert(job, seat).is_none() {
            *self.seats.entry(seat).or_default() += 1;
        }
    }

    /// Removes an unconfirmed subscription, if it is one.
    pub fn drop_claim(&mut self, job: JobId) {
        if let Some(seat) = self.claims.remove(&job) {
            self.free_seat(seat);
        }
    }

    /// The seats of a title in a room type that are taken.
    pub fn seats_taken(&self, title: u64, room_type: usize) -> usize {
        self.seats.get(&(title, room_type)).copied().unwrap_or(0)
    }

    fn remove(&mut self, job: JobId, streamer: StreamerId) {
        let Some(jobs) = self.by_streamer.get_mut(&streamer) else { return };
        jobs.remove(&job);
        if jobs.is_empty() {
            self.by_streamer.remove(&streamer);
        }
    }

    fn free_seat(&mut self, seat: SeatKey) {
        let Some(taken) = self.seats.get_mut(&seat) else { return };
        *taken -= 1;
        if *taken == 0 {
            self.seats.remove(&seat);
        }
    }
}

//! A change of settings and titles, from its taking to the last subscription that it moves.

use std::time::Duration;

use badgerledge_catalogue::Catalogue;
use badgerledge_changes::{fate, Counts, Fate, Leavers, Stage, Then, Under};
use badgerledge_core::chance::Chance;
use badgerledge_core::interface::{JobId, StreamerId};
use badgerledge_deployment::Shared;
use badgerledge_exchange::book::{Book, Held};
use badgerledge_exchange::Floor;
use metrics::{counter, gauge};
use serde_json::{Map, Value};

use crate::ends::Ends;
use crate::watch;

/// One that was to leave before it played is looked at again after this: some tenths of what viewers wait.
const LOOK_AGAIN: Duration = Duration::from_millis(250);

/// What counts from now on.
pub struct Change {
    /// In the numbers that subscriptions are held under.
    pub shared: Shared,
    /// Nothing where the titles are not under revisions.
    pub titles: Option<Catalogue>,
}

/// What a round does of a change before all else.
pub struct Turn {
    told: Map<String, Value>,
    fates: Vec<(JobId, Fate)>,
}

pub struct Changing {
    pending: bool,
    leavers: Leavers,
    within: Duration,
    chance: Chance,
}

impl Changing {
    pub fn new(within: Duration, seed: u64) -> Self {
        Self { pending: false, leavers: Leavers::default(), within, chance: Chance(seed) }
    }

    /// The ends act on something else by now: the next round tells the module.
    pub fn begins(&mut self) {
        self.pending = true;
    }

    /// When a round has something to do for it.
    pub fn next_due(&self) -> Option<Duration> {
        if self.pending {
            Some(Duration::ZERO)
        } else {
            self.leavers.next_due()
        }
    }

    /// What is to be done in the round that begins, where something changed.
    pub fn turn(&mut self, ends: &Ends, book: &Book) -> Option<Turn> {
        if !std::mem::take(&mut self.pending) {
            return None;
        }
        let counts = Counts { shared: &ends.deployment.shared, titles: &ends.catalogue };
        let mut fates = Vec::new();
        let mut leaving: Vec<(JobId, StreamerId)> = Vec::new();
        for (job, held) in book.all() {
            let found = fate(&Under { asked: held.asked, stage: stage(held, ends) }, counts);
            match (found.then, &held.join) {
                (Then::MovesOn, Some(join)) => leaving.push((job, join.streamer)),
                _ => self.leavers.stays(job),
            }
            fates.push((job, found));
        }
        // In an order by chance: or those held longest would always be the first to go.
        for at in (1..leaving.len()).rev() {
            leaving.swap(at, (self.chance.share() * (at + 1) as f64) as usize);
        }
        self.leavers.spread(ends.now, self.within, &leaving);
        let count = |then: Then| fates.iter().filter(|(_, fate)| fate.then == then).count();
        let (turned_away, withdrawn) = (count(Then::TurnedAway), count(Then::Withdrawn));
        tracing::info!(
            held = fates.len(),
            moves = leaving.len(),
            withdrawn,
            turned_away,
            "a change is carried out"
        );
        Some(Turn { told: ends.deployment.told(), fates })
    }

    /// Carries a change out, and lets those go whose time to leave has come.
    pub fn carry_out(&mut self, turn: Option<Turn>, floor: &mut Floor<'_, '_, Ends>, now: Duration) {
        if let Some(Turn { told, fates }) = turn {
            fates.iter().for_each(|(job, fate)| floor.ends_at(*job, fate.top));
            floor.retell(told);
            for (job, Fate { lies, then, .. }) in fates {
                floor.relocate(job, lies.0, lies.1);
                match then {
                    Then::Withdrawn => floor.withdraw(job),
                    Then::TurnedAway => floor.turn_away(job),
                    Then::GoesOn | Then::MovesOn => {}
                }
            }
        }
        while let Some((job, from)) = self.leavers.next(now) {
            if floor.move_on(job, from) {
                // A join that is out ends or plays within its viewer's time: it is looked at again.
                self.leavers.spread(now + LOOK_AGAIN, Duration::ZERO, &[(job, from)]);
            } else {
                counter!(watch::MOVED_ON).increment(1);
            }
        }
        gauge!(watch::TO_MOVE_ON).set(self.leavers.len() as f64);
    }
}

/// How far a subscription is.
fn stage(held: &Held, ends: &Ends) -> Stage {
    let Some(join) = &held.join else { return Stage::Waits };
    let cell = ends.cells.get(&join.streamer).copied();
    match held.plays_to {
        Some(_) => Stage::Plays { cell },
        None => Stage::Joins { cell, sent: join.set_up.is_some() },
    }
}

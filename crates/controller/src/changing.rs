//! A change of settings and titles, from its taking to the last subscription that it moves.

use std::time::Duration;

use badgerledge_catalogue::Catalogue;
use badgerledge_changes::{outcome, Action, Configuration, MoveSchedule, Outcome, Stage, Subscription};
use badgerledge_core::interface::{JobId, StreamerId};
use badgerledge_core::random::Rng;
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
    outcomes: Vec<(JobId, Outcome)>,
}

pub struct Changing {
    pending: bool,
    moves: MoveSchedule,
    within: Duration,
    chance: Rng,
}

impl Changing {
    pub fn new(within: Duration, seed: u64) -> Self {
        Self { pending: false, moves: MoveSchedule::default(), within, chance: Rng(seed) }
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
            self.moves.next_due()
        }
    }

    /// What is to be done in the round that begins, where something changed.
    pub fn turn(&mut self, ends: &Ends, book: &Book) -> Option<Turn> {
        if !std::mem::take(&mut self.pending) {
            return None;
        }
        let configuration = Configuration { shared: &ends.deployment.shared, titles: &ends.catalogue };
        let mut outcomes = Vec::new();
        let mut leaving: Vec<(JobId, StreamerId)> = Vec::new();
        for (job, held) in book.all() {
            let found = outcome(&Subscription { asked: held.asked, stage: stage(held, ends) }, configuration);
            match (found.action, &held.join) {
                (Action::MovesOn, Some(join)) => leaving.push((job, join.streamer)),
                _ => self.moves.cancel(job),
            }
            outcomes.push((job, found));
        }
        // In an order by chance: or those held longest would always be the first to go.
        for at in (1..leaving.len()).rev() {
            leaving.swap(at, (self.chance.unit_interval() * (at + 1) as f64) as usize);
        }
        self.moves.spread(ends.now, self.within, &leaving);
        let count = |action: Action| outcomes.iter().filter(|(_, outcome)| outcome.action == action).count();
        let (turned_away, withdrawn) = (count(Action::TurnedAway), count(Action::Withdrawn));
        tracing::info!(
            held = outcomes.len(),
            moves = leaving.len(),
            withdrawn,
            turned_away,
            "a change is carried out"
        );
        Some(Turn { told: ends.deployment.module_settings(), outcomes })
    }

    /// Carries a change out, and lets those go whose time to leave has come.
    pub fn carry_out(&mut self, turn: Option<Turn>, floor: &mut Floor<'_, '_, Ends>, now: Duration) {
        if let Some(Turn { told, outcomes }) = turn {
            outcomes.iter().for_each(|(job, outcome)| floor.ends_at(*job, outcome.top));
            floor.retell(told);
            for (job, Outcome { placement, action, .. }) in outcomes {
                floor.relocate(job, placement.0, placement.1);
                match action {
                    Action::Withdrawn => floor.withdraw(job),
                    Action::TurnedAway => floor.turn_away(job),
                    Action::GoesOn | Action::MovesOn => {}
                }
            }
        }
        while let Some((job, from)) = self.moves.pop_due(now) {
            if floor.move_on(job, from) {
                // A join that is out ends or plays within its viewer's time: it is looked at again.
                self.moves.spread(now + LOOK_AGAIN, Duration::ZERO, &[(job, from)]);
            } else {
                counter!(watch::MOVED_ON).increment(1);
            }
        }
        gauge!(watch::TO_MOVE_ON).set(self.moves.len() as f64);
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

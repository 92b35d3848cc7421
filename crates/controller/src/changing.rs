//! Applies a change of settings and titles to existing subscriptions, until the last one that must move has
//! moved.

use std::time::Duration;

use badgerledge_catalogue::Catalogue;
use badgerledge_changes::{outcome, Action, Configuration, MoveSchedule, Outcome, Stage, Subscription};
use badgerledge_core::interface::{JobId, StreamerId};
use badgerledge_core::random::Rng;
use badgerledge_deployment::Shared;
use badgerledge_exchange::subscription_table::{SubscriptionRecord, SubscriptionTable};
use badgerledge_exchange::EventHandler;
use metrics::{counter, gauge};
use serde_json::{Map, Value};

use crate::connections::Connections;
use crate::telemetry;

/// Delay until a subscription that was to move before it played is checked again: some tenths of the time
/// that viewers wait.
const RECHECK_DELAY: Duration = Duration::from_millis(250);

/// The configuration that applies from now on.
pub struct Change {
    /// In the numbering that existing subscriptions refer to.
    pub shared: Shared,
    /// `None` where the titles are not part of revisions.
    pub titles: Option<Catalogue>,
}

/// What a round applies of a change before all else.
pub struct RoundChanges {
    module_settings: Map<String, Value>,
    outcomes: Vec<(JobId, Outcome)>,
}

/// The state of a change that is being applied.
pub struct ConfigurationChanges {
    /// Whether a new configuration has not been reported to the module yet.
    pending: bool,
    moves: MoveSchedule,
    move_within: Duration,
    rng: Rng,
}

impl ConfigurationChanges {
    /// `move_within` is the time over which moves are spread.
    pub fn new(move_within: Duration, seed: u64) -> Self {
        Self { pending: false, moves: MoveSchedule::default(), move_within, rng: Rng(seed) }
    }

    /// Records that the connections use a new configuration, which the next round reports to the module.
    pub fn mark_pending(&mut self) {
        self.pending = true;
    }

    /// When a round has work to do for a change.
    pub fn next_due(&self) -> Option<Duration> {
        if self.pending {
            Some(Duration::ZERO)
        } else {
            self.moves.next_due()
        }
    }

    /// Decides what the coming round applies, if something changed.
    pub fn plan_round(
        &mut self, connections: &Connections, book: &SubscriptionTable,
    ) -> Option<RoundChanges> {
        if !std::mem::take(&mut self.pending) {
            return None;
        }
        let configuration =
            Configuration { shared: &connections.deployment.shared, titles: &connections.catalogue };
        let mut outcomes = Vec::new();
        let mut to_move: Vec<(JobId, StreamerId)> = Vec::new();
        for (job, record) in book.all() {
            let subscription_outcome = outcome(
                &Subscription { request: record.request, stage: stage(record, connections) },
                configuration,
            );
            match (subscription_outcome.action, &record.join) {
                (Action::Move, Some(join)) => to_move.push((job, join.streamer)),
                _ => self.moves.cancel(job),
            }
            outcomes.push((job, subscription_outcome));
        }
        // In random order, or the oldest subscriptions would always be the first to move.
        for last in (1..to_move.len()).rev() {
            to_move.swap(last, (self.rng.unit_interval() * (last + 1) as f64) as usize);
        }
        self.moves.schedule_evenly(connections.now, self.move_within, &to_move);
        let count = |action: Action| outcomes.iter().filter(|(_, outcome)| outcome.action == action).count();
        let (turned_away, withdrawn) = (count(Action::Reject), count(Action::WithdrawJoin));
        tracing::info!(
            held = outcomes.len(),
            moves = to_move.len(),
            withdrawn,
            turned_away,
            "a change is applied"
        );
        Some(RoundChanges { module_settings: connections.deployment.module_settings(), outcomes })
    }

    /// Applies a change, and moves the subscriptions whose time to move has come.
    pub fn apply(
        &mut self, changes: Option<RoundChanges>, floor: &mut EventHandler<'_, '_, Connections>,
        now: Duration,
    ) {
        if let Some(RoundChanges { module_settings, outcomes }) = changes {
            outcomes.iter().for_each(|(job, outcome)| floor.limit_rung(*job, outcome.max_rung));
            floor.change_settings(module_settings);
            for (job, Outcome { placement, action, .. }) in outcomes {
                floor.relocate(job, placement.0, placement.1);
                match action {
                    Action::WithdrawJoin => floor.withdraw_unsent_join(job),
                    Action::Reject => floor.reject(job),
                    Action::Continue | Action::Move => {}
                }
            }
        }
        while let Some((job, from)) = self.moves.pop_due(now) {
            if floor.redirect_from(job, from) {
                // A join in progress ends or plays within its viewer's time-out, so it is checked again.
                self.moves.schedule_evenly(now + RECHECK_DELAY, Duration::ZERO, &[(job, from)]);
            } else {
                counter!(telemetry::SUBSCRIPTIONS_RELOCATED).increment(1);
            }
        }
        gauge!(telemetry::RELOCATIONS_PENDING).set(self.moves.len() as f64);
    }
}

/// The stage of a subscription.
fn stage(record: &SubscriptionRecord, connections: &Connections) -> Stage {
    let Some(join) = &record.join else { return Stage::Waiting };
    let cell = connections.streamer_cells.get(&join.streamer).copied();
    match record.playing_connection {
        Some(_) => Stage::Playing { cell },
        None => Stage::Joining { cell, setup_sent: join.set_up_rung.is_some() },
    }
}

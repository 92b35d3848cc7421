//! The roles that are measured, each with its sizes and the plan's size.

mod accounts;
mod agreement;
mod agreement_net;
mod catalogue;
mod decisions;
mod failure_reports;
mod idle_connections;
mod lending;
mod list;
mod list_positions;
mod membership;
mod metrics_page;
mod name_service;
mod signatures;
mod steady_changes;
mod subscriptions;

use anyhow::Result;

use super::measure::Reading;

/// Controllers of the plan.
pub const CONTROLLERS: f64 = 7_400.0;
/// Connections of the plan, and what one controller holds of them.
pub const CONNECTIONS: f64 = 300e6;
pub const CONNECTIONS_EACH: f64 = CONNECTIONS / CONTROLLERS;
/// Streams of one streamer, as assumed: the plan tells no number of streamers.
pub const STREAMS_EACH: f64 = 1000.0;
/// Entries of the catalogue, where each of the plan's shards is a title.
pub const TITLES: f64 = 1.6e6;
/// Changes of configuration a second: 10,000 a day.
pub const CHANGES_A_SECOND: f64 = 10_000.0 / 86_400.0;
/// A change is in force everywhere within this.
pub const IN_FORCE_WITHIN_S: f64 = 18.0;
/// What a controller may spend for control.
pub const CORE_SHARE: f64 = 0.04;
pub const MEMORY_BYTES: f64 = 128e6;
pub const BYTES_A_SECOND: f64 = 10_000.0;

/// One role: what it is measured by, and how.
pub struct Role {
    pub name: &'static str,
    pub size_unit: &'static str,
    pub sizes: &'static [u64],
    /// The plan's size, in the same unit.
    pub plan_size: f64,
    /// Measures one size with a seed.
    pub measure: fn(u64, u64) -> Result<Vec<Reading>>,
}

/// All roles, in the order in which they run.
pub const ALL: &[Role] = &[
    agreement::ROLE,
    steady_changes::HOLD,
    steady_changes::WAIT,
    decisions::BY_SUBSCRIPTIONS,
    decisions::BY_STREAMERS,
    decisions::BY_COPIES,
    catalogue::ROLE,
    membership::ROLE,
    accounts::BY_PLAYING,
    accounts::BY_KEYS,
    accounts::IN_FULL,
    accounts::BY_CONTROLLERS,
    lending::ROLE,
    failure_reports::ROLE,
    list::ROLE,
    list_positions::ROLE,
    name_service::ROLE,
    metrics_page::ROLE,
    idle_connections::ROLE,
    subscriptions::PLAYING,
    subscriptions::RELAY,
];

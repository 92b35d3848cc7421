//! The state of subscriptions from a viewer's first SETUP through joins, the answer, PLAY, rung changes and
//! moves to the end. No I/O and no clock; randomness only from a seed.
//!
//! [`Exchange::round`] is called once per round. Its `feed` reports the events of the round through the
//! methods of [`EventHandler`], in order; then overdue joins and set-ups end, the decision module does its
//! due work, and its decisions go out through the [`Transport`]. The steps of outstanding joins need no
//! decision and are handled between rounds ([`Exchange::between`]). Each subscription has one record
//! ([`subscription_table`]) of the connections that wait for its answer, its outstanding join, and what its
//! viewer was sent.
//!
//! Decided here and nowhere else: whether there is room for another viewer, and when a throttled one may
//! retry ([`Admission`]); that a retry during an outstanding join waits for the same join; that a viewer is
//! answered in time even if the decision module gives no answer ([`limits`]).

mod admission;
pub mod book;
mod decision_executor;
mod event_handler;
mod exchange;
mod join_events;
pub mod limits;
mod settings_changes;
#[cfg(test)]
mod tests;

pub use admission::Admission;
pub use decision_executor::Carrier;
pub use event_handler::Floor;
pub use exchange::Exchange;
pub use join_events::Steps;

/// Id of a viewer's connection. Ids are never reused.
pub type Line = u64;

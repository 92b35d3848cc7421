//! The state of subscriptions from a viewer's first SETUP through joins, the answer, PLAY, rung changes and
//! moves to the end. No I/O and no clock; randomness only from a seed.
//!
//! [`Exchange::round`] is called once per round. Its `feed` reports the events of the round through the
//! methods of [`EventHandler`], in order; then overdue joins and set-ups end, the decision module does its
//! due work, and its decisions go out through the [`Transport`]. The steps of outstanding joins need no
//! decision and are handled between rounds ([`Exchange::handle_join_events`]). Each subscription has one record
//! ([`subscription_table`]) of the connections that wait for its answer, its outstanding join, and what its
//! viewer was sent.
//!
//! Decided here and nowhere else: whether there is room for another viewer, and when a throttled one may
//! retry ([`Admission`]); that a retry during an outstanding join waits for the same join; that a viewer is
//! answered in time even if the decision module gives no answer ([`limits`]).

mod admission;

mod decision_executor;
mod event_handler;
mod exchange;
mod join_events;
pub mod limits;
mod settings_changes;
pub mod subscription_table;
#[cfg(test)]
mod tests;

pub use admission::Admission;
pub use decision_executor::Transport;
pub use event_handler::EventHandler;
pub use exchange::Exchange;
pub use join_events::JoinEvents;

/// Id of a viewer's connection. Ids are never reused.
pub type ConnectionId = u64;

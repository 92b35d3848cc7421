//! Tests of watchers: single rules, misbehaving relays, and the safety of leases in random simulations.

mod harness;
mod lease_simulation;
mod relay_connections;
mod relay_order;
mod revisions;
mod scripted_relays;
mod simulation;
mod stored;

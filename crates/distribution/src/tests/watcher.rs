//! Watchers: each rule by itself, relays that fail in each way, and the safety of leases in random plays.

mod bench;
mod lease_play;
mod links;
mod network;
mod order;
mod relays;
mod revisions;
mod stored;

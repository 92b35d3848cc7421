//! The parts by themselves: what they take, and what they refuse.

mod edits;
mod envelope;
mod peers;
mod settings;
mod storage;
mod support;
mod telemetry;
mod watchers;

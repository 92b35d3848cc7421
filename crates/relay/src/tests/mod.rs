//! Unit tests of the modules: what each accepts and refuses.

mod edits;
mod envelope;
mod peers;
mod settings;
mod storage;
mod support;
mod telemetry;
mod watchers;

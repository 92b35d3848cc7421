//! Integration tests: control machines as processes on loopback, with test watchers and the operators' commands.

mod changes;
mod faults;
mod frames;
mod harness;
mod proxy;
mod stall;
mod verbs;
mod watcher;

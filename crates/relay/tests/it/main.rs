//! Control machines as processes on loopback, with scripted watchers and the operators' verbs.

mod changes;
mod faults;
mod frames;
mod proxy;
mod rig;
mod stall;
mod verbs;
mod watcher;

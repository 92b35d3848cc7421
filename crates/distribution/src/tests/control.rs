//! Control machines and watchers together in a simulated network: a test for each difficult case, and seeded
//! simulations.

mod acceptor;
mod changes;
mod machines;
mod partitions;
mod simulations;
mod watchers;

use super::net::Net;
use crate::{ControllerId, MachineId};

/// The planned maximum time in seconds from a push until all watchers have activated the revision.
const MAX_ACTIVATION_S: f64 = 18.0;

/// A network in which all watchers have activated revision 1.
fn settled_network(machines: MachineId, acceptors: MachineId, watchers: ControllerId, seed: u64) -> Net {
    let mut net = Net::new(machines, acceptors, watchers, seed);
    net.run_for(8.0);
    let push = net.push(machines - 1, 1, vec![super::edits::put("title 0", "first")]);
    net.run_until_acting(1, MAX_ACTIVATION_S);
    net.run_for(1.0);
    assert_eq!(net.observed.outcome(push), Some(&Ok(1)));
    assert_eq!(net.active(), vec![Some(1); watchers as usize]);
    net
}

/// Runs until all reachable watchers have activated this revision, and fails if it takes longer than planned.
#[track_caller]
fn assert_active_in_time(net: &mut Net, number: crate::Number) {
    let elapsed_s = net.run_until_acting(number, MAX_ACTIVATION_S).as_secs_f64();
    assert!(
        elapsed_s < MAX_ACTIVATION_S,
        "{elapsed_s} s: watchers {:?} have not activated {number}: {:?}",
        net.lagging(),
        net.active()
    );
}

//! The control machines and their watchers as a whole: a test for each hard case, and plays from seeds.

mod acceptor;
mod apart;
mod changes;
mod machines;
mod plays;
mod watchers;

use super::net::Net;
use crate::{ControllerId, MachineId};

/// The plan's bound from a push to acting everywhere.
const IN_FORCE_WITHIN: f64 = 18.0;

/// A fleet that has settled on revision 1.
fn settled(machines: MachineId, acceptors: MachineId, watchers: ControllerId, seed: u64) -> Net {
    let mut net = Net::new(machines, acceptors, watchers, seed);
    net.run_for(8.0);
    let push = net.push(machines - 1, 1, vec![super::edits::put("title 0", "first")]);
    net.run_until_acting(1, IN_FORCE_WITHIN);
    net.run_for(1.0);
    assert_eq!(net.seen.outcome(push), Some(&Ok(1)));
    assert_eq!(net.active(), vec![Some(1); watchers as usize]);
    net
}

/// Runs until this revision is acted on by all that are reachable, within the plan's bound.
#[track_caller]
fn acted_on_in_time(net: &mut Net, number: crate::Number) {
    let took = net.run_until_acting(number, IN_FORCE_WITHIN).as_secs_f64();
    assert!(took < IN_FORCE_WITHIN, "{took} s: {:?} don't act on {number}: {:?}", net.behind(), net.active());
}

//! The order in which a controller prefers its relays: those of its zone first, each part by rendezvous hashing
//! (Thaler and Ravishankar, 1998), so that the controllers of a lost relay spread over all others.

use crate::{digest, ControllerId, Digest, MachineId};

const DOMAIN: &[u8] = b"badgerledge relay order 1";

/// The places of the relays, the most preferred one first. Each relay comes with whether it is in the controller's zone.
pub fn relay_order(controller: ControllerId, relays: &[(MachineId, bool)]) -> Vec<usize> {
    let weight = |machine: MachineId| -> Digest {
        digest(&[DOMAIN, &controller.to_be_bytes(), &machine.to_be_bytes()].concat())
    };
    let mut order: Vec<usize> = (0..relays.len()).collect();
    order.sort_by_cached_key(|place| {
        let (machine, same_zone) = relays[*place];
        (!same_zone, weight(machine))
    });
    order
}

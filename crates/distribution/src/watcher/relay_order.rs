//! The order in which a controller prefers its relays: the relays of its own zone first, and both parts by
//! rendezvous hashing (Thaler and Ravishankar, 1998), so that the controllers of a lost relay spread over all
//! others.

use crate::{digest, ControllerId, Digest, MachineId};

const DOMAIN: &[u8] = b"badgerledge relay order 1";

/// The indexes of the relays, the most preferred first. Each relay is given with whether it is in the
/// controller's zone.
pub fn relay_order(controller: ControllerId, relays: &[(MachineId, bool)]) -> Vec<usize> {
    let weight = |machine: MachineId| -> Digest {
        digest(&[DOMAIN, &controller.to_be_bytes(), &machine.to_be_bytes()].concat())
    };
    let mut order: Vec<usize> = (0..relays.len()).collect();
    order.sort_by_cached_key(|index| {
        let (machine, same_zone) = relays[*index];
        (!same_zone, weight(machine))
    });
    order
}

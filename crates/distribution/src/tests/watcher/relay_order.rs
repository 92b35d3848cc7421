//! Tests of the order of relays: the own zone first, and the load of a lost relay spread over all others.

use crate::watcher::relay_order;
use crate::MachineId;

const CONTROLLERS: u32 = 7400;
const MACHINES: u16 = 25;

fn relays(same_zone: impl Fn(u16) -> bool) -> Vec<(MachineId, bool)> {
    (0..MACHINES).map(|machine| (machine, same_zone(machine))).collect()
}

#[test]
fn the_relays_of_the_zone_come_first_and_each_once() {
    let relays = relays(|machine| machine % 12 == 3);
    for controller in 0..100 {
        let mut order = relay_order(controller, &relays);
        assert!(order[..2].iter().all(|index| relays[*index].1), "{order:?}");
        order.sort_unstable();
        assert!(order.into_iter().eq(0..relays.len()));
    }
    assert_eq!(relay_order(1, &[]), Vec::<usize>::new());
}

#[test]
fn the_order_depends_on_the_machine_numbers_and_not_on_the_indexes() {
    let relays = relays(|_| false);
    let reversed: Vec<_> = relays.iter().rev().copied().collect();
    let machines = |relays: &[(MachineId, bool)]| -> Vec<MachineId> {
        relay_order(77, relays).into_iter().map(|index| relays[index].0).collect()
    };
    assert_eq!(machines(&relays), machines(&reversed));
}

/// Each of 25 relays has 296 controllers on average; by chance alone 4 standard deviations are 68.
#[test]
fn controllers_spread_over_all_relays_and_those_of_a_lost_relay_over_all_others() {
    let all = relays(|_| false);
    let mut first_choices = [0; MACHINES as usize];
    let mut second_choices = [0; MACHINES as usize];
    for controller in 0..CONTROLLERS {
        let order = relay_order(controller, &all);
        first_choices[order[0]] += 1;
        if order[0] == 0 {
            second_choices[order[1]] += 1;
        }
    }
    assert!(first_choices.iter().all(|count| (228..=364).contains(count)), "{first_choices:?}");
    // About 12 controllers of the lost relay move to each other one.
    assert!(second_choices[1..].iter().all(|count| (1..=30).contains(count)), "{second_choices:?}");
}

//! Keys and a configuration for tests.

use badgerledge_keys::{Keys, PrivateKey, Ring, Role};
use badgerledge_settings::Sheet;

/// The keys of this many control machines, of which the first is the acceptor.
pub fn keys(machines: u16) -> Vec<Keys> {
    let private_keys: Vec<PrivateKey> =
        (0..machines).map(|number| PrivateKey::make(Role::Member(number)).unwrap()).collect();
    let text = ring_text(&private_keys.iter().map(PrivateKey::public).collect::<Vec<_>>());
    let ring = Ring::of(&Sheet::parse("ring.ini", &text).unwrap()).unwrap();
    private_keys.into_iter().map(|key| Keys::new(key, ring.clone()).unwrap()).collect()
}

/// The text of a ring file with one key for each member, of whom the first is the acceptor.
fn ring_text(keys: &[String]) -> String {
    let member = |(number, key): (usize, &String)| format!("[member {number}]\nkeys = {key}\n");
    keys.iter().enumerate().map(member).collect::<String>() + "[keepers]\nmembers = 0\n"
}

/// A first configuration.
pub const GENESIS: &str = "\
[fleet]
cells = 12
kind_streams = 20
kinds = small
link_unit_kb = 1000
links_kb = 12000
racks = 4
uplink_kb = 3000
zones = north, south
[ladder]
benefit = 0.3, 0.6, 1
rates_kb = 100, 200, 400
[room_type zoo]
benefit = 1
client_timeout_ms = 4000
join_objective_ms = 1500
[title 1f]
copies = 2
first_cell = 3
room_type = zoo
";

//! Reading a settings file, and the place that its error messages name.

use badgerledge_settings::Sheet;

use crate::settings::RelaySettings;

const VALID: &str = "\
[relay]
number = 1
listen = 127.0.0.1:7100
peer_listen = 127.0.0.1:7101
state = state
ring = ring.ini
key = member-1.key
genesis = genesis.ini
[peers]
0 = 127.0.0.1:7001
1 = 127.0.0.1:7101
";

fn read(text: &str) -> Result<RelaySettings, String> {
    let sheet = Sheet::parse("relay.ini", text).map_err(|faults| faults.to_string())?;
    RelaySettings::from_sheet(&sheet).map_err(|faults| faults.to_string())
}

#[test]
fn a_valid_file_is_read_with_defaults() {
    let settings = read(VALID).unwrap();
    assert_eq!((settings.place.number, settings.peers.len(), settings.place.watchers), (1, 2, 1500));
    assert_eq!((settings.place.metrics, settings.place.apart_s), (None, 0));
    let with_apart = |seconds| VALID.replace("state = state", &format!("state = state\napart_s = {seconds}"));
    for accepted in [0, 10, 3600, 14_400] {
        assert_eq!(read(&with_apart(accepted)).unwrap().place.apart_s, accepted);
    }
}

#[test]
fn a_fault_names_its_file_line_and_key() {
    let fault = |from: &str, to: &str| read(&VALID.replace(from, to)).unwrap_err();
    assert_eq!(
        fault("number = 1", "number = one"),
        "relay.ini:2: [relay] number = one: a whole number of 0 to 65535 is taken"
    );
    assert_eq!(
        fault("ring =", "rings ="),
        "relay.ini:6: [relay] rings: no such key; there are number, listen, peer_listen, state, ring, key, genesis, \
         metrics, watchers, watcher_bytes, all_watchers_bytes, peer_bytes, apart_s"
    );
    assert_eq!(fault("genesis = genesis.ini\n", ""), "relay.ini:1: [relay] genesis: this key is missing");
    assert_eq!(
        fault("genesis = genesis.ini", "genesis = genesis.ini\nwatchers = 0"),
        "relay.ini:9: [relay] watchers = 0: 1 to 16384 is taken"
    );
    for wrong in ["9", "14401"] {
        assert_eq!(
            fault("genesis = genesis.ini", &format!("genesis = genesis.ini\napart_s = {wrong}")),
            format!("relay.ini:9: [relay] apart_s = {wrong}: 0, or 10 to 14400 is taken")
        );
    }
    assert_eq!(
        fault("0 = 127.0.0.1:7001", "0 = here"),
        "relay.ini:10: [peers] 0 = here: expected an address and a port"
    );
    assert_eq!(
        fault("0 = 127.0.0.1:7001", "zero = 127.0.0.1:7001"),
        "relay.ini:10: [peers] zero = 127.0.0.1:7001: the key must be the number of a control machine"
    );
    assert_eq!(
        fault("1 = 127.0.0.1:7101", "2 = 127.0.0.1:7101"),
        "relay.ini:9: [peers] 1: the address of each control machine is required, including this one"
    );
    assert_eq!(fault("[peers]", "[peer]"), "relay.ini:9: [peer]: no such section; there are relay, peers");
}

//! The file that the platform writes: what is missing or wrong in it is named.

use crate::configuration::place;

#[test]
fn what_is_missing_or_wrong_is_named() {
    let fault = |text: &str| format!("{:#}", place(text.as_bytes()).unwrap_err());
    assert!(fault("{").contains("EOF"));
    assert!(fault("{}").contains("seed is missing"));
    assert!(fault(r#"{"seed":"xy","settings":{}}"#).contains("listen is missing"));
    let whole = r#"{"name":"n3","listen":"127.0.0.4:2905","seed":"8c1f30d27a5be964","names":"127.2.0.1:5300",
        "limits":{"cores":0.5,"memory_mb":64,"sockets":256},"peers":["127.3.0.1:7946"],"settings":{"me":1}}"#;
    let place = place(whole.as_bytes()).unwrap();
    assert_eq!((place.sockets, place.memory_mb, place.seed), (256, 64, 0x8c1f_30d2_7a5b_e964));
    let many: Vec<String> = (0..1024).map(|n| format!("127.3.{}.{}:7946", n / 256, n % 256)).collect();
    let peers = serde_json::json!({"peers": many}).to_string();
    let of_many = whole.replace(r#""peers":["127.3.0.1:7946"]"#, &peers[1..peers.len() - 1]);
    assert_eq!(self::place(of_many.as_bytes()).unwrap().peers.len(), 1024, "no list is capped");
    assert!(fault(&whole.replace("127.2.0.1:5300", "there")).contains("names = there"));
    assert!(fault(&whole.replace("8c1f", "#")).contains("not hex digits"));
    assert!(fault(&whole.replace(r#"{"me":1}"#, "[]")).contains("settings are missing"));
}

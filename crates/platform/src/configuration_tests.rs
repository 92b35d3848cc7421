//! Parsing of the platform's configuration file: errors name the key that is missing or invalid.

use crate::configuration::parse;

#[test]
fn errors_name_the_missing_or_invalid_key() {
    let error = |text: &str| format!("{:#}", parse(text.as_bytes()).unwrap_err());
    assert!(error("{").contains("EOF"));
    assert!(error("{}").contains("seed is missing"));
    assert!(error(r#"{"seed":"xy","settings":{}}"#).contains("listen is missing"));
    let valid = r#"{"name":"n3","listen":"127.0.0.4:2905","seed":"8c1f30d27a5be964","names":"127.2.0.1:5300",
        "limits":{"cores":0.5,"memory_mb":64,"sockets":256},"peers":["127.3.0.1:7946"],"settings":{"me":1}}"#;
    let configuration = parse(valid.as_bytes()).unwrap();
    assert_eq!(
        (configuration.max_sockets, configuration.memory_mb, configuration.seed),
        (256, 64, 0x8c1f_30d2_7a5b_e964)
    );
    let many: Vec<String> = (0..1024).map(|n| format!("127.3.{}.{}:7946", n / 256, n % 256)).collect();
    let peers = serde_json::json!({"peers": many}).to_string();
    let with_many_peers = valid.replace(r#""peers":["127.3.0.1:7946"]"#, &peers[1..peers.len() - 1]);
    assert_eq!(parse(with_many_peers.as_bytes()).unwrap().peers.len(), 1024, "no list is capped");
    assert!(error(&valid.replace("127.2.0.1:5300", "there")).contains("names = there"));
    assert!(error(&valid.replace("8c1f", "#")).contains("not hex digits"));
    assert!(error(&valid.replace(r#"{"me":1}"#, "[]")).contains("settings are missing"));
}

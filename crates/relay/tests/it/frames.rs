//! Bad frames at a running machine's ports: each closes only its own connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use badgerledge_distribution::message::{encode, ToRelay};
use badgerledge_keys::{Keys, PrivateKey};
use badgerledge_relay::envelope::{Identity, Payload, PeerFrame, Sealer, Session};

use crate::harness::{Harness, OUTCOME_TIMEOUT};
use crate::watcher::TestWatcher;

/// A complete bad frame is refused immediately, an incomplete one when the connection has been silent for its timeout.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Sends bytes on a new connection and expects the machine to close it.
fn expect_close(harness: &Harness, address: SocketAddr, name: &str, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    // The other end may close before all is written.
    let _ = stream.write_all(bytes);
    harness.until(CLOSE_TIMEOUT, name, || match stream.read(&mut [0; 4096]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
    });
}

#[test]
fn bad_frames_close_only_their_own_connection() {
    let harness = Harness::new();
    let mut watcher = TestWatcher::connect(harness.relay(0), 100, harness.ring());
    harness.until(OUTCOME_TIMEOUT, "the watcher has a lease", || watcher.poll() && watcher.is_leased());
    let (relay, peers) = (harness.relay(0), harness.peer_address(0));
    let valid = encode(&ToRelay::GetStatus);
    let mut other_version = valid.clone();
    other_version[6] = b'2';
    let mut unknown_message = valid.clone();
    *unknown_message.last_mut().unwrap() = 0x7f;
    expect_close(&harness, relay, "of another version", &other_version);
    expect_close(&harness, relay, "unknown message", &unknown_message);
    expect_close(&harness, relay, "too long", &[&(1u32 << 30).to_be_bytes()[..], b"bd1"].concat());
    expect_close(&harness, relay, "cut off", &valid[..valid.len() - 1]);
    // Control machines' frames, from a sender that has a key of the ring: one signed for another stream, one unsigned.
    let private = PrivateKey::read(&harness.path("member-1.key")).unwrap();
    let keys = Keys::new(private, harness.ring()).unwrap();
    let identity = Identity { machine: 1, incarnation: u32::MAX };
    let other_stream = encode(&Sealer::new(identity, 0, Session::default()).seal(&Payload::Ping, &keys));
    let mut unsigned = other_stream.clone();
    unsigned.iter_mut().rev().take(64).for_each(|byte| *byte = 0);
    expect_close(&harness, peers, "of another stream", &other_stream);
    expect_close(&harness, peers, "unsigned", &unsigned);
    expect_close(&harness, peers, "a challenge", &encode(&PeerFrame::Challenge { session: [1; 16] }));
    expect_close(&harness, peers, "a watcher's", &valid);
    expect_close(&harness, peers, "cut off among machines", &other_stream[..other_stream.len() / 2]);
    assert!(watcher.poll());
    harness.push(0, "latest", 1, 13);
    harness
        .until(OUTCOME_TIMEOUT, "the watcher activates revision 1", || watcher.poll() && watcher.active == 1);
    let page = harness.metrics(0).unwrap();
    for (stream, reason) in [
        ("watcher", "version"),
        ("watcher", "body"),
        ("watcher", "too_long"),
        ("peer", "replayed"),
        ("peer", "unsigned"),
        ("peer", "unexpected"),
    ] {
        let counted = page.lines().any(|line| {
            line.starts_with("badgerledge_relay_refused_frames_total")
                && line.contains(&format!("stream=\"{stream}\""))
                && line.contains(&format!("reason=\"{reason}\""))
        });
        assert!(counted, "{stream} {reason}:\n{page}");
    }
    assert_eq!(harness.metric(0, "badgerledge_relay_peers"), Some(4.0));
}

//! Tests of frames: incomplete ones wait for more bytes, invalid ones are refused with the reason, and no
//! bytes make the decoder panic.

use std::fmt::Debug;

use quickcheck::{Gen, QuickCheck};
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::edits::title_value;
use super::sample::{delta, lease_proof, peer_message, to_relay, to_watcher};
use crate::message::{
    decode, encode, FrameFault, PeerMessage, ToRelay, ToWatcher, MAX_RELAY_BODY_BYTES, MAX_WATCHER_BODY_BYTES,
};
use crate::state::Edit;

/// The length of a frame before its body.
const HEADER_BYTES: usize = 7;

/// A frame with this body, valid or not.
fn frame(body: &[u8]) -> Vec<u8> {
    let length = (body.len() + 3) as u32;
    [&length.to_be_bytes(), &b"bd1"[..], body].concat()
}

/// Checks that messages of one type are decoded unchanged, and truncated or trailing frames are refused.
fn check_messages<M: Serialize + DeserializeOwned + PartialEq + Debug>(messages: Vec<M>, max_body: usize) {
    for message in messages {
        let bytes = encode(&message);
        for length in 0..bytes.len() {
            assert_eq!(decode::<M>(&bytes[..length], max_body), Ok(None), "truncated after {length} bytes");
        }
        let two = [&bytes[..], &bytes].concat();
        let (first, used) = decode::<M>(&two, max_body).unwrap().unwrap();
        assert_eq!((first, used), (message, bytes.len()));

        let body = &bytes[HEADER_BYTES..];
        let truncated = decode::<M>(&frame(&body[..body.len() - 1]), max_body);
        assert_eq!(truncated, Err(FrameFault::Body));
        let longer = decode::<M>(&frame(&[body, b"xy"].concat()), max_body);
        assert_eq!(longer, Err(FrameFault::Trailing(2)));
    }
}

#[test]
fn messages_are_decoded_unchanged() {
    check_messages::<ToRelay>(to_relay(), MAX_WATCHER_BODY_BYTES);
    check_messages::<ToWatcher>(to_watcher(), MAX_RELAY_BODY_BYTES);
    check_messages::<PeerMessage>(peer_message(), MAX_RELAY_BODY_BYTES);
}

/// A frame that is too long or of another version is refused before its body has arrived.
#[test]
fn bad_headers_are_refused_at_once() {
    let max_body = 100;
    let too_long = (max_body as u32 + 4).to_be_bytes();
    assert_eq!(decode::<ToRelay>(&too_long, max_body), Err(FrameFault::TooLong(max_body + 4, max_body)));
    let longest_frame = frame(&vec![0xff; max_body]);
    assert_eq!(decode::<ToRelay>(&longest_frame, max_body), Err(FrameFault::Body));
    for other in [&b"\0\0\0\x09bd2"[..], b"\0\0\0\x09b\0", b"\0\0\0\x09x", b"\0\0\0\x02bd", b"\0\0\0\0"] {
        assert_eq!(decode::<ToRelay>(other, max_body), Err(FrameFault::Version));
    }
    assert_eq!(decode::<ToRelay>(b"\0\0\0\x09bd1", max_body), Ok(None));
    assert_eq!(decode::<ToRelay>(&frame(b""), max_body), Err(FrameFault::Body));
}

/// A body may announce more elements than it has: nothing is allocated for the announced length.
#[test]
fn announced_lengths_are_not_trusted() {
    let get_groups_of_many = [4, 0xff, 0xff, 0xff, 0xff, 0x0f];
    assert_eq!(decode::<ToRelay>(&frame(&get_groups_of_many), MAX_WATCHER_BODY_BYTES), Err(FrameFault::Body));
}

#[test]
fn no_bytes_make_the_decoder_panic() {
    fn holds(offset: usize, byte: u8, sample: usize) -> bool {
        let messages = to_watcher();
        let mut bytes = encode(&messages[sample % messages.len()]);
        let body = bytes.len() - HEADER_BYTES;
        bytes[HEADER_BYTES + offset % body] = byte;
        match decode::<ToWatcher>(&bytes, MAX_RELAY_BODY_BYTES) {
            Ok(Some((message, used))) => {
                used == bytes.len()
                    && decode(&encode(&message), MAX_RELAY_BODY_BYTES).is_ok_and(|again| {
                        again.is_some_and(|(again, _): (ToWatcher, usize)| again == message)
                    })
            }
            Ok(None) => false,
            Err(_) => true,
        }
    }
    let random = Gen::from_size_and_seed(10_000, 7);
    QuickCheck::new().rng(random).tests(2000).quickcheck(holds as fn(usize, u8, usize) -> bool);
}

/// The bytes on the wire that each change and each lease costs a watcher.
#[test]
fn messages_are_small() {
    let title = |number| Edit { key: format!("title {number:08}"), value: Some(title_value(number)) };
    let goes = to_watcher().into_iter().find_map(|message| match message {
        ToWatcher::Activate { activation_grants: goes, .. } => Some([goes[0]; 4].to_vec()),
        _ => None,
    });
    let from_relay = [
        ("delta of 10 titles, certificate of 4 votes", delta((0..10).map(title).collect()), 1300),
        ("delta of 1 title, certificate of 4 votes", delta(vec![title(1)]), 750),
        (
            "activation grants of 4 acceptors",
            ToWatcher::Activate { number: 12, activation_grants: goes.unwrap() },
            450,
        ),
        ("lease among 308 watchers, 4 grants", ToWatcher::Lease(lease_proof(308, 4)), 750),
    ];
    let from_watcher = [
        ("lease request", ToRelay::RequestLease { nonce: [5; 16], active: 1_000_000 }, 30),
        ("prepared", ToRelay::Prepared { number: 1_000_000 }, 12),
    ];
    let from_relay = from_relay.map(|(name, message, max_length)| (name, encode(&message).len(), max_length));
    let from_watcher =
        from_watcher.map(|(name, message, max_length)| (name, encode(&message).len(), max_length));
    for (name, length, max_length) in from_relay.into_iter().chain(from_watcher) {
        println!("{name}: {length} bytes");
        assert!(length <= max_length, "{name}: {length} bytes, more than {max_length}");
    }
}

/// The variant number of an encoded message: the first byte of the body.
fn variant_number(frame: &[u8]) -> u8 {
    frame[HEADER_BYTES]
}

/// An earlier build decodes known variants as before, and refuses unknown ones: new variants are added after
/// the existing ones.
#[test]
fn variants_of_earlier_builds_keep_their_numbers() {
    let from_watcher: Vec<u8> = to_relay().iter().map(|message| variant_number(&encode(message))).collect();
    assert_eq!(from_watcher, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
    let from_relay: Vec<u8> = to_watcher().iter().map(|message| variant_number(&encode(message))).collect();
    assert_eq!(from_relay, [0, 1, 2, 3, 4, 5, 6, 7, 8, 8, 9, 10, 11]);
    let from_peers: Vec<u8> = peer_message().iter().map(|message| variant_number(&encode(message))).collect();
    assert_eq!(from_peers, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]);
    let mut unknown = encode(&ToRelay::GetPartitionStatus);
    unknown[HEADER_BYTES] = 10;
    assert_eq!(decode::<ToRelay>(&unknown, MAX_WATCHER_BODY_BYTES), Err(FrameFault::Body));
}

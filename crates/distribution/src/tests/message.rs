//! Frames: cut ones wait, bad ones are refused with the reason, and nothing makes the decoder panic.

use std::fmt::Debug;

use quickcheck::{Gen, QuickCheck};
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::edits::title_value;
use super::sample::{delta, lease_proof, peer_message, to_relay, to_watcher};
use crate::message::{
    decode, encode, FrameFault, PeerMessage, ToRelay, ToWatcher, LONGEST_FROM_RELAY, LONGEST_FROM_WATCHER,
};
use crate::state::Edit;

/// Bytes of a frame before its body.
const HEADER: usize = 7;

/// A frame with this body, whatever it is.
fn frame(body: &[u8]) -> Vec<u8> {
    let length = (body.len() + 3) as u32;
    [&length.to_be_bytes(), &b"bd1"[..], body].concat()
}

/// Checks what holds for each message in order, whole and cut anywhere.
fn check_kind<M: Serialize + DeserializeOwned + PartialEq + Debug>(messages: Vec<M>, longest: usize) {
    for message in messages {
        let bytes = encode(&message);
        for length in 0..bytes.len() {
            assert_eq!(decode::<M>(&bytes[..length], longest), Ok(None), "cut after {length} bytes");
        }
        let two = [&bytes[..], &bytes].concat();
        let (first, used) = decode::<M>(&two, longest).unwrap().unwrap();
        assert_eq!((first, used), (message, bytes.len()));

        let body = &bytes[HEADER..];
        let cut = decode::<M>(&frame(&body[..body.len() - 1]), longest);
        assert_eq!(cut, Err(FrameFault::Body));
        let longer = decode::<M>(&frame(&[body, b"xy"].concat()), longest);
        assert_eq!(longer, Err(FrameFault::Trailing(2)));
    }
}

#[test]
fn messages_are_decoded_as_they_were_encoded() {
    check_kind::<ToRelay>(to_relay(), LONGEST_FROM_WATCHER);
    check_kind::<ToWatcher>(to_watcher(), LONGEST_FROM_RELAY);
    check_kind::<PeerMessage>(peer_message(), LONGEST_FROM_RELAY);
}

/// A frame that is too long or of another version is refused before its body has come.
#[test]
fn bad_headers_are_refused_at_once() {
    let longest = 100;
    let too_long = (longest as u32 + 4).to_be_bytes();
    assert_eq!(decode::<ToRelay>(&too_long, longest), Err(FrameFault::TooLong(longest + 4, longest)));
    let longest_frame = frame(&vec![0xff; longest]);
    assert_eq!(decode::<ToRelay>(&longest_frame, longest), Err(FrameFault::Body));
    for other in [&b"\0\0\0\x09bd2"[..], b"\0\0\0\x09b\0", b"\0\0\0\x09x", b"\0\0\0\x02bd", b"\0\0\0\0"] {
        assert_eq!(decode::<ToRelay>(other, longest), Err(FrameFault::Mark));
    }
    assert_eq!(decode::<ToRelay>(b"\0\0\0\x09bd1", longest), Ok(None));
    assert_eq!(decode::<ToRelay>(&frame(b""), longest), Err(FrameFault::Body));
}

/// A body may announce more elements than it has: what it announces is not allocated.
#[test]
fn announced_lengths_are_not_believed() {
    let get_groups_of_many = [4, 0xff, 0xff, 0xff, 0xff, 0x0f];
    assert_eq!(decode::<ToRelay>(&frame(&get_groups_of_many), LONGEST_FROM_WATCHER), Err(FrameFault::Body));
}

#[test]
fn no_bytes_make_the_decoder_panic() {
    fn holds(place: usize, byte: u8, sample: usize) -> bool {
        let messages = to_watcher();
        let mut bytes = encode(&messages[sample % messages.len()]);
        let body = bytes.len() - HEADER;
        bytes[HEADER + place % body] = byte;
        match decode::<ToWatcher>(&bytes, LONGEST_FROM_RELAY) {
            Ok(Some((message, used))) => {
                used == bytes.len()
                    && decode(&encode(&message), LONGEST_FROM_RELAY).is_ok_and(|again| {
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

/// Bytes on the wire of what each change and each lease costs a watcher.
#[test]
fn messages_are_small() {
    let title = |number| Edit { key: format!("title {number:08}"), value: Some(title_value(number)) };
    let goes = to_watcher().into_iter().find_map(|message| match message {
        ToWatcher::Activate { goes, .. } => Some([goes[0]; 4].to_vec()),
        _ => None,
    });
    let down = [
        ("delta of 10 titles, certificate of 4 votes", delta((0..10).map(title).collect()), 1300),
        ("delta of 1 title, certificate of 4 votes", delta(vec![title(1)]), 750),
        ("word to act of 4 acceptors", ToWatcher::Activate { number: 12, goes: goes.unwrap() }, 450),
        ("lease among 308 watchers, 4 grants", ToWatcher::Lease(lease_proof(308, 4)), 750),
    ];
    let up = [
        ("request of a lease", ToRelay::AskLease { nonce: [5; 16], active: 1_000_000 }, 30),
        ("prepared", ToRelay::Prepared { number: 1_000_000 }, 12),
    ];
    let down = down.map(|(name, message, most)| (name, encode(&message).len(), most));
    let up = up.map(|(name, message, most)| (name, encode(&message).len(), most));
    for (name, length, most) in down.into_iter().chain(up) {
        println!("{name}: {length} bytes");
        assert!(length <= most, "{name}: {length} bytes, more than {most}");
    }
}

/// The kind of an encoded message: the first byte behind length and mark.
fn kind(frame: &[u8]) -> u8 {
    frame[HEADER]
}

/// An earlier build reads what it knows as before, and refuses what it does not know by name: new kinds stand behind the old ones.
#[test]
fn kinds_of_earlier_builds_keep_their_numbers() {
    let up: Vec<u8> = to_relay().iter().map(|message| kind(&encode(message))).collect();
    assert_eq!(up, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
    let down: Vec<u8> = to_watcher().iter().map(|message| kind(&encode(message))).collect();
    assert_eq!(down, [0, 1, 2, 3, 4, 5, 6, 7, 8, 8, 9, 10, 11]);
    let between: Vec<u8> = peer_message().iter().map(|message| kind(&encode(message))).collect();
    assert_eq!(between, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]);
    let mut unknown = encode(&ToRelay::GetApart);
    unknown[HEADER] = 10;
    assert_eq!(decode::<ToRelay>(&unknown, LONGEST_FROM_WATCHER), Err(FrameFault::Body));
}

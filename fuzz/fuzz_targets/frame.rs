//! Frames of the distribution tier: no bytes make the decoder panic, and what it decodes it encodes so that it is decoded
//! the same again.

#![no_main]

use std::fmt::Debug;

use badgerledge_distribution::message::{
    decode, encode, PeerMessage, ToRelay, ToWatcher, MAX_RELAY_BODY_BYTES, MAX_WATCHER_BODY_BYTES,
};
use libfuzzer_sys::fuzz_target;
use serde::de::DeserializeOwned;
use serde::Serialize;

fn holds<M: Serialize + DeserializeOwned + PartialEq + Debug>(bytes: &[u8], longest: usize) {
    let Ok(Some((message, used))) = decode::<M>(bytes, longest) else { return };
    assert!(used <= bytes.len());
    let again = encode(&message);
    assert_eq!(decode::<M>(&again, longest), Ok(Some((message, again.len()))));
}

fn holds_for_all(bytes: &[u8]) {
    holds::<ToRelay>(bytes, MAX_WATCHER_BODY_BYTES);
    holds::<ToWatcher>(bytes, MAX_RELAY_BODY_BYTES);
    holds::<PeerMessage>(bytes, MAX_RELAY_BODY_BYTES);
}

fuzz_target!(|input: &[u8]| {
    holds_for_all(input);
    // With a header that fits, so that most get past it.
    let length = (input.len() + 3) as u32;
    holds_for_all(&[&length.to_be_bytes(), &b"bd1"[..], input].concat());
});

//! Stored states and edits: no bytes make a reader panic, what is read is written the same, and edits that are refused
//! change nothing.

#![no_main]

use badgerledge_distribution::message::decode;
use badgerledge_distribution::state::{Edit, State};
use libfuzzer_sys::fuzz_target;

fn read(bytes: &[u8]) {
    if let Ok(state) = State::read(bytes) {
        assert_eq!(state.write(), bytes);
    }
}

fuzz_target!(|input: &[u8]| {
    read(input);
    read(&[&b"bds1"[..], &State::new().root(), input].concat());
    let length = (input.len() + 3) as u32;
    let frame = [&length.to_be_bytes(), &b"bd1"[..], input].concat();
    let Ok(Some((edits, _))) = decode::<Vec<Vec<Edit>>>(&frame, input.len()) else { return };
    let mut state = State::new();
    for some in edits {
        let before = state.clone();
        if state.apply(&some).is_err() {
            assert!(state == before && state.len() == before.len() && state.bytes() == before.bytes());
        }
    }
    assert_eq!(State::read(&state.write()), Ok(state.clone()));
    assert_eq!(state.entries().count(), state.len());
    for (key, value) in state.entries() {
        assert_eq!(state.get(key), Some(value));
    }
});

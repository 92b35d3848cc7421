//! Words, stores and orders of revisions: nothing that comes makes a reader panic, and what is read is written the same.

#![no_main]

use badgerledge_revisions::requests::{self, Request, Response};
use badgerledge_revisions::message::Message;
use badgerledge_revisions::StoredState;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    if let Some(word) = Message::read(bytes) {
        assert_eq!(Message::read(&word.write()), Some(word));
    }
    let _ = StoredState::read(bytes);
    let _ = requests::parse_line::<Request>(bytes);
    let _ = requests::parse_line::<Response>(bytes);
    if let Ok(text) = std::str::from_utf8(bytes) {
        let _ = (requests::decode_head(text), requests::decode_removal(text));
    }
});

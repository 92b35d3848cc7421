//! Words, stores and orders of revisions: nothing that comes makes a reader panic, and what is read is written the same.

#![no_main]

use badgerledge_revisions::order::{self, Answer, Order};
use badgerledge_revisions::word::Word;
use badgerledge_revisions::Stored;
use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| {
    if let Some(word) = Word::read(bytes) {
        assert_eq!(Word::read(&word.write()), Some(word));
    }
    let _ = Stored::read(bytes);
    let _ = order::line::<Order>(bytes);
    let _ = order::line::<Answer>(bytes);
    if let Ok(text) = std::str::from_utf8(bytes) {
        let _ = (order::head_of(text), order::gone_of(text));
    }
});

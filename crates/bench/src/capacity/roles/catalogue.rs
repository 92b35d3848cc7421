//! The settings' text with its titles: a change is read, checked and compared as a whole by each controller.

use std::fmt::Write as _;

use anyhow::Result;
use badgerledge_deployment::kinds::canonical;
use badgerledge_deployment::Text;
use badgerledge_revisions::MAX_TEXT_BYTES;
use badgerledge_settings::Sheet;

use super::{Role, BYTES_A_SECOND, CHANGES_A_SECOND, CORE_SHARE, MEMORY_BYTES, TITLES};
use crate::capacity::measure::{least_ms, with_live_bytes, Reading};
use crate::changes::SHARED;

const RUNS: usize = 3;
/// A controller reads the text of a change so often: to check it, once it has it, and to act on it.
const READINGS_OF_A_CHANGE: f64 = 3.0;

pub const ROLE: Role = Role {
    name: "catalogue",
    size_unit: "titles",
    sizes: &[1000, 10_000, 50_000, 100_000, 200_000, 400_000],
    plan_size: TITLES,
    measure: |size, _seed| readings(size),
};

fn text_of(titles: u64, shift: u64) -> Result<String> {
    let mut text = SHARED.to_owned();
    for id in 0..titles {
        let first = (id + shift * u64::from(id % 100 == 0)) % 40;
        write!(text, "[title {id:x}]\ncopies = 3\nfirst_cell = {first}\nroom_type = clip\n")?;
    }
    Ok(canonical(&Sheet::parse("text", &text)?))
}

fn readings(titles: u64) -> Result<Vec<Reading>> {
    let (before, after) = (text_of(titles, 0)?, text_of(titles, 1)?);
    let read = |text: &str| Text::read(text.as_bytes()).map_err(anyhow::Error::msg);
    let (held, live) = with_live_bytes(|| read(&before));
    let (held, next) = (held?, read(&after)?);
    let read_ms = least_ms(RUNS, || drop(std::hint::black_box(read(&after))));
    let compare_ms = least_ms(RUNS, || drop(std::hint::black_box(held.acted_on(Some(&next)))));
    let change_ms = READINGS_OF_A_CHANGE * read_ms + compare_ms;
    let bytes = after.len() as f64;
    // While a change is prepared both texts are held, each as its bytes and as what was read from them.
    let both = 2.0 * (live + bytes);
    Ok(vec![
        Reading::new("bytes of the text", "bytes", bytes).limited(MAX_TEXT_BYTES as f64),
        Reading::new("reading and checking a text", "ms of a core", read_ms),
        Reading::new("comparing two texts", "ms of a core", compare_ms),
        Reading::new(
            "changes at the plan's rate, processor",
            "of a core",
            change_ms / 1000.0 * CHANGES_A_SECOND,
        )
        .limited(CORE_SHARE),
        Reading::new("changes at the plan's rate, bytes", "bytes a second", bytes * CHANGES_A_SECOND)
            .limited(BYTES_A_SECOND),
        Reading::new("memory of both texts", "bytes", both).limited(MEMORY_BYTES),
    ])
}

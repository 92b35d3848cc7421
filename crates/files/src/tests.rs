//! The incarnation number increases also if the clock is behind the stored number.

use crate::{format_incarnation, next_incarnation, replace_durably};

#[test]
fn incarnation_is_higher_than_the_stored_one_whatever_the_clock() {
    let folder = std::env::temp_dir().join(format!("badgerledge-files-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("life");
    let first = next_incarnation(Some(&file));
    assert!(first > 0);
    let ahead = first + 1_000_000;
    replace_durably(&file, format_incarnation(ahead).as_bytes()).unwrap();
    assert_eq!(next_incarnation(Some(&file)), ahead + 1);
    // A corrupt file is treated as a missing one.
    replace_durably(&file, b"12x").unwrap();
    let incarnation = next_incarnation(Some(&file));
    assert!(incarnation >= first && incarnation < ahead, "{incarnation}");
    std::fs::remove_dir_all(&folder).unwrap();
}

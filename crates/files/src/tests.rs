use crate::{next_life, replace_durably, written_life};

#[test]
fn a_life_is_later_than_the_one_that_was_stored_whatever_the_clock_says() {
    let folder = std::env::temp_dir().join(format!("badgerledge-files-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("life");
    let first = next_life(Some(&file));
    assert!(first > 0);
    let ahead = first + 1_000_000;
    replace_durably(&file, written_life(ahead).as_bytes()).unwrap();
    assert_eq!(next_life(Some(&file)), ahead + 1);
    // Torn, it is as if it were not there.
    replace_durably(&file, b"12x").unwrap();
    let life = next_life(Some(&file));
    assert!(life >= first && life < ahead, "{life}");
    std::fs::remove_dir_all(&folder).unwrap();
}

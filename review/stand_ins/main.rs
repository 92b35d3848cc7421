//! Plays one case of the review: `stand_ins CASE FOLDER`, with `TROUBLE=0` without its disruption. Exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case could not run.

mod drain_while_discovery_is_down;
mod hand_over_after_a_restart;
mod release_without_an_answered_set_up;
mod second_hand_over;
mod set_ups_after_a_stall;
mod settings;
mod wide_fleet;
mod world;

use std::path::{Path, PathBuf};
use std::process::exit;

use world::Record;

/// What became of a case.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

/// What a case runs with.
pub struct Run {
    pub record: Record,
    /// For configurations and logs; removed at the end.
    pub folder: PathBuf,
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("stand_ins CASE FOLDER");
        exit(2)
    };
    let temporary = std::env::temp_dir().join(format!("badgerledge-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let run = Run {
        record: Record::new(&Path::new(folder).join("record.txt")),
        folder: temporary.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    run.record.note(format!("case {case}, disruption: {}", run.trouble));
    let verdict = match case.as_str() {
        "release" => release_without_an_answered_set_up::play(&run),
        "hand_over" => hand_over_after_a_restart::play(&run),
        "outage" => drain_while_discovery_is_down::play(&run),
        "second" => second_hand_over::play(&run),
        "wide" => wide_fleet::play(&run),
        "stall" => set_ups_after_a_stall::play(&run),
        _ => Verdict::CouldNotRun("no such case".to_owned()),
    };
    let _ = std::fs::remove_dir_all(temporary);
    let (status, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    run.record.note(&text);
    println!("{text}");
    exit(status);
}

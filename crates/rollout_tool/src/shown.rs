//! A plan as an operator reads it.

use std::fmt::Write as _;
use std::time::Duration;

use badgerledge_rollout::{AfterStop, Member, Preview, Spec, StagePreview, Subject};

/// All that a plan will do, a line each.
pub fn plan(spec: &Spec, preview: &Preview, asked_per_s: f64) -> String {
    let mut text = String::new();
    let mut line = |words: String| writeln!(text, "{words}").expect("text takes all that is written");
    line(format!("plan {}: {}", spec.number, subject(&spec.subject)));
    line(format!("each wave settles for {}; {}", seconds(spec.settle), zones(spec)));
    for (number, stage) in preview.stages.iter().enumerate() {
        stage_lines(number + 1, stage, asked_per_s).into_iter().for_each(&mut line);
    }
    line(format!("the whole roll lasts {} at least", seconds(preview.shortest)));
    line(format!(
        "{}; from its end that takes {} waves and, unless the new side serves nobody, {} at least",
        match spec.after_stop {
            AfterStop::GoBack => "a stage that does worse is stopped, and all are taken back",
            AfterStop::Wait => "a stage that does worse is stopped, and an operator may take all back",
        },
        preview.back_waves,
        seconds(preview.back_paced)
    ));
    text
}

/// Each zone with its members, and how many of them change at once.
fn zones(spec: &Spec) -> String {
    let one = |(number, name): (usize, &String)| {
        let number = number as u16;
        let members = spec.fleet.places.iter().filter(|place| place.zone == number).count();
        format!("{name} has {members} members, {} change at once", spec.at_once_of(members))
    };
    spec.fleet.zones.iter().enumerate().map(one).collect::<Vec<_>>().join("; ")
}

fn subject(subject: &Subject) -> String {
    match subject {
        Subject::Program { build, wire } => {
            let wire: Vec<String> = wire.iter().map(u8::to_string).collect();
            format!("program {build}, which speaks wire {}", wire.join(", "))
        }
        Subject::Settings(settings) => {
            let one = |((section, key), value): (&(String, String), &String)| {
                format!("[{section}] {key} = {value}")
            };
            format!("settings {}", settings.iter().map(one).collect::<Vec<_>>().join("; "))
        }
    }
}

fn stage_lines(number: usize, stage: &StagePreview, asked_per_s: f64) -> Vec<String> {
    let mut lines = vec![format!(
        "stage {number}, up to {} of the fleet: {} at least once its last wave is out, {} with all its waves",
        stage.share,
        seconds(stage.at_least),
        seconds(stage.shortest)
    )];
    for (wave, zones) in stage.waves.iter().enumerate() {
        let zones: Vec<String> = zones.iter().map(|(zone, all)| format!("{zone} {}", members(all))).collect();
        lines.push(format!("  wave {}: {}", wave + 1, zones.join("; ")));
    }
    for (measure, to_see) in &stage.to_see {
        let short = if *to_see > stage.at_least { ": longer than planned, it waits for that" } else { "" };
        lines.push(format!(
            "  to see its harm in {measure} it must last {} at {asked_per_s} requests a second each{short}",
            seconds(*to_see)
        ));
    }
    lines
}

fn members(all: &[Member]) -> String {
    all.iter().map(Member::to_string).collect::<Vec<_>>().join(" ")
}

fn seconds(duration: Duration) -> String {
    format!("{} s", duration.as_secs_f64().ceil())
}

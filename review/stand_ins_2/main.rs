//! Plays one case of the second review: starts a controller with the command of the deploy file, stand-ins of
//! the platform round it, and judges one rule. `TROUBLE=0` leaves the disruption out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod bad_clients;
mod further_joins;
mod lost_release;
mod platform;
mod quiet_streamer;
mod standstill;
mod unknown_ids;
mod wire;

use std::process::exit;
use std::thread;
use std::time::Duration;

/// What a case found: the breaks of its rule, and a line on what was checked.
pub struct Verdict {
    pub broken: Vec<String>,
    pub checked: String,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: stand_in CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(112));
        eprintln!("the case took too long");
        // The controller ends with this process.
        exit(2);
    });
    let played = match case.as_str() {
        "lost-release" => lost_release::play(folder, trouble),
        "bad-clients" => bad_clients::play(folder, trouble),
        "quiet-streamer" => quiet_streamer::play(folder, trouble),
        "unknown-ids" => unknown_ids::play(folder, trouble),
        "standstill" => standstill::play(folder, trouble),
        "further-joins" => further_joins::play(folder, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match played {
        Err(fault) => {
            println!("could not run: {fault}");
            exit(2);
        }
        Ok(verdict) => {
            println!("checked: {}", verdict.checked);
            verdict.broken.iter().for_each(|what| println!("broken: {what}"));
            println!("{}", if verdict.broken.is_empty() { "the rule held" } else { "the rule was broken" });
            exit(i32::from(!verdict.broken.is_empty()));
        }
    }
}

/// Writes the verdict to the record, too.
pub fn conclude(platform: &mut platform::Platform, verdict: Verdict) -> Result<Verdict, String> {
    let running = platform.is_running();
    let faults = {
        let mut world = platform::lock(&platform.shared);
        world.log(&format!("checked: {}", verdict.checked));
        for what in &verdict.broken {
            world.log(&format!("broken: {what}"));
        }
        world.faults.clone()
    };
    platform.copy_log();
    if !running {
        return Err("the controller ended by itself".to_owned());
    }
    if let Some(fault) = faults.first() {
        return Err(format!("besides the case: {fault}"));
    }
    Ok(verdict)
}

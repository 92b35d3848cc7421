//! Set-ups: how many a second, what each costs, and what memory playing subscriptions take.

use std::time::Duration;

use anyhow::Result;

use crate::backdrop::Backdrop;
use crate::fixture::Source;
use crate::load::{Load, Then};

pub fn measure(seconds: f64, viewers: usize) -> Result<()> {
    println!("set-ups, {viewers} viewers at a time, {seconds} s each, one core for all processes");
    let mut straight = Backdrop::new()?;
    let to = straight.streamers();
    let plain = straight.pace(to, seconds, viewers)?;
    drop(straight);
    let mut backdrop = Backdrop::new()?;
    let controller = backdrop.controller(Source::File)?;
    let through = backdrop.pace(vec![controller.at], seconds, viewers)?;
    controller.finish()?;
    let show = |name: &str, load: &Load| {
        let pace = load.granted as f64 / seconds;
        let quantile = |q| load.latency.value_at_quantile(q) as f64 / 1000.0;
        let (median, high) = (quantile(0.5), quantile(0.99));
        println!(
            "  {name:<28} {pace:>8.0} a second, {median:>6.1} ms median, {high:>6.1} ms p99, {} not granted",
            load.turned_away
        );
    };
    show("straight to the stand-ins", &plain);
    show("through the controller", &through);
    println!("  ratio {:.2}", through.granted as f64 / plain.granted.max(1) as f64);
    Ok(())
}

/// Costs of each subscription from SETUP to TEARDOWN: two runs that differ by a number of them.
pub fn costs(source: Source) -> Result<()> {
    let run = |count: u64| -> Result<[f64; 5]> {
        let mut backdrop = Backdrop::new()?;
        let controller = backdrop.controller(source)?;
        backdrop.do_some(controller.at, count)?;
        let mut nobody = Load::new(vec![controller.at], Then::Leave, 0)?;
        backdrop.serve(&mut nobody, Duration::from_millis(1500))?;
        let metric = |name: &str| controller.metric(name).unwrap_or(0.0);
        let seen = ["system_calls_total", "copied_bytes_total", "round_seconds_sum", "round_seconds_count"];
        let [calls, copied, rounds, count] = seen.map(|name| metric(&format!("badgerledge_{name}")));
        Ok([controller.finish()? as f64, calls, copied, rounds, count])
    };
    let (few, many) = (500, 2500);
    let (first, second) = (run(few)?, run(many)?);
    let each = |n: usize| (second[n] - first[n]) / (many - few) as f64;
    println!("each ordinary join, SETUP to TEARDOWN, as the difference of {many} and {few}, {source}");
    println!("  {:>8.1} allocations", each(0));
    println!("  {:>8.1} system calls of the loop", each(1));
    println!("  {:>8.0} bytes copied between its buffers", each(2));
    let rounds = second[4] - first[4];
    println!("  {:>8.1} us a round, of {rounds:.0} more", (second[3] - first[3]) * 1e6 / rounds.max(1.0));
    Ok(())
}

pub fn memory(subscriptions: usize) -> Result<()> {
    let mut backdrop = Backdrop::new()?;
    let controller = backdrop.controller(Source::File)?;
    let before = controller.resident_kb()?;
    let mut load = backdrop.start_playing(&controller, subscriptions, Duration::from_secs(60))?;
    backdrop.serve(&mut load, Duration::from_secs(3))?;
    let after = controller.resident_kb()?;
    let playing = load.playing();
    println!("memory with {playing} subscriptions playing");
    println!("  {:>8.1} MB before, {:.1} MB with them", before as f64 / 1024.0, after as f64 / 1024.0);
    println!("  {:>8.1} kB for each", (after - before) as f64 / playing.max(1) as f64);
    Ok(())
}

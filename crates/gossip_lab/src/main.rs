//! `badgerledge-gossip-lab`: how soon deaths are detected and known, by size, and how many deaths are false, by loss.

mod pushes;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result};
use badgerledge_gossip::{Member, MemberState};
use badgerledge_gossip_lab::{settled, Net};
use clap::{Parser, Subcommand};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde_json::json;

/// Plays the gossip of many members in simulated time.
#[derive(Parser)]
#[command(name = "badgerledge-gossip-lab", version)]
struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Deaths one at a time: when the first member suspects, and when each holds it for dead
    Deaths {
        #[arg(long, value_delimiter = ',', default_value = "50,100,160,300,500")]
        sizes: Vec<Member>,
        /// Deaths of each size
        #[arg(long, default_value_t = 8)]
        deaths: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A chart of the times by size, as SVG
        #[arg(long)]
        chart: Option<PathBuf>,
    },
    /// False deaths of live members under loss
    Loss {
        #[arg(long, value_delimiter = ',', default_value = "0,0.05,0.1,0.15,0.2,0.25,0.3")]
        losses: Vec<f64>,
        #[arg(long, default_value_t = 160)]
        members: Member,
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Draws how long a revision takes from its push to its acting, by size and loss, from the lines that the plays of the
    /// package `revisions` print
    Pushes {
        /// Lines of JSON; others are passed over
        figures: PathBuf,
        /// The chart, as SVG
        #[arg(long)]
        chart: PathBuf,
    },
    /// All start within one second, and half of them die at once
    Masses {
        #[arg(long, value_delimiter = ',', default_value = "50,160,500")]
        sizes: Vec<Member>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn main() -> ExitCode {
    let done = match Command::parse().what {
        What::Deaths { sizes, deaths, seed, chart } => show_deaths(&sizes, deaths, seed, chart),
        What::Pushes { figures, chart } => pushes::draw(&figures, &chart),
        What::Loss { losses, members, seconds, seed } => {
            losses.iter().for_each(|loss| show_loss(*loss, members, seconds, seed));
            Ok(())
        }
        What::Masses { sizes, seed } => {
            sizes.iter().for_each(|size| show_masses(*size, seed));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("badgerledge-gossip-lab: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

/// Members that have known each other for a while.
fn together(members: Member, seed: u64) -> Net {
    let mut net = Net::new(members, seed);
    net.start_all(Duration::from_secs(1));
    net.introduce();
    net.run(Duration::from_secs(15));
    net
}

/// Milliseconds to the first suspicion of a death, and to each member's holding it for dead.
struct Times {
    size: Member,
    first: Histogram<u64>,
    dead: Histogram<u64>,
}

fn times(size: Member, deaths: usize, seed: u64) -> Result<Times> {
    let histogram = || Histogram::new_with_bounds(1, 600_000, 3).context("histogram");
    let mut times = Times { size, first: histogram()?, dead: histogram()? };
    let mut net = together(size, seed);
    for death in 0..deaths {
        let member = (death * usize::from(size) / deaths) as Member;
        let (begun, told) = (net.now, net.state_changes.len());
        net.kill(member);
        let all = |net: &Net| settled(net).haunted == 0;
        net.run_until(Duration::from_secs(120), all);
        let of = |state: MemberState| {
            let told =
                net.state_changes[told..].iter().filter(move |told| told.2 == member && told.3 == state);
            told.map(|told| (told.0 - begun).as_millis() as u64)
        };
        of(MemberState::Suspect).min().map(|ms| times.first.record(ms.max(1))).transpose()?;
        of(MemberState::Dead).try_for_each(|ms| times.dead.record(ms.max(1)))?;
    }
    Ok(times)
}

fn show_deaths(sizes: &[Member], deaths: usize, seed: u64, chart: Option<PathBuf>) -> Result<()> {
    let mut all = Vec::new();
    for size in sizes {
        let times = times(*size, deaths, seed)?;
        // SWIM section 3: with a probe from each member in each period, the first comes after e/(e-1) periods on
        // average, and what is then told has reached all after the logarithm of their number, in rounds.
        let expected = 1000.0 * std::f64::consts::E / (std::f64::consts::E - 1.0);
        let line = json!({"seed": seed, "members": size, "deaths": deaths,
            "first_suspicion_ms": {"mean": times.first.mean(), "p50": times.first.value_at_quantile(0.5),
                "p99": times.first.value_at_quantile(0.99), "paper_mean": expected + 1000.0},
            "held_dead_ms": {"p50": times.dead.value_at_quantile(0.5), "p99": times.dead.value_at_quantile(0.99)}});
        println!("{line}");
        all.push(times);
    }
    chart.map_or(Ok(()), |path| draw(&all, &path).with_context(|| path.display().to_string()))
}

fn show_loss(loss: f64, members: Member, seconds: u64, seed: u64) {
    let mut net = together(members, seed);
    net.way.loss = loss;
    let told = net.state_changes.len();
    net.run(Duration::from_secs(seconds));
    let count = |state: MemberState| net.state_changes[told..].iter().filter(|told| told.3 == state).count();
    let pairs = f64::from(members) * f64::from(members - 1) * seconds as f64 / 60.0;
    let (dead, suspect) = (count(MemberState::Dead), count(MemberState::Suspect));
    let line = json!({"seed": seed, "members": members, "loss": loss, "seconds": seconds, "suspicions": suspect,
        "false_deaths": dead, "false_deaths_per_pair_minute": dead as f64 / pairs});
    println!("{line}");
}

/// Signatures made and checked by all members that live.
fn total(net: &Net) -> u64 {
    net.live().map(|(_, gossip)| gossip.counts.signed + gossip.counts.checked).sum()
}

/// The same for each of them in a second, since there were so many.
fn work(net: &Net, before: u64, seconds: f64) -> f64 {
    (total(net) - before) as f64 / net.live().count().max(1) as f64 / seconds
}

fn show_masses(size: Member, seed: u64) {
    let mut net = Net::new(size, seed);
    net.start_all(Duration::from_secs(1));
    net.run(Duration::from_secs(1));
    let all = |net: &Net| settled(net).is();
    let known = net.run_until(Duration::from_secs(300), all).map(|span| span.as_secs_f64() + 1.0);
    let busy = work(&net, 0, known.unwrap_or(301.0));
    net.run(Duration::from_secs(20));
    let (quiet_from, before) = (net.now, total(&net));
    net.run(Duration::from_secs(10));
    let quiet_work = work(&net, before, 10.0);
    let quiet = net.mean_rate(quiet_from);
    (0..size).filter(|member| member % 2 == 1).for_each(|member| net.kill(member));
    let dead = net.run_until(Duration::from_secs(300), all).map(|span| span.as_secs_f64());
    let line = json!({"seed": seed, "members": size, "all_known_s": known, "half_dead_settled_s": dead,
        "quiet_bytes_per_s": quiet,
        "signatures_per_s": {"starting": busy, "quiet": quiet_work}, "worst_second_bytes": net.worst_second().0});
    println!("{line}");
}

/// A name, a colour, and milliseconds of each size.
type Curve = (&'static str, RGBColor, fn(&Times) -> u64);

fn draw(all: &[Times], path: &std::path::Path) -> Result<()> {
    let most_size = all.iter().map(|times| times.size).max().unwrap_or(1);
    let most_s =
        all.iter().map(|times| times.dead.value_at_quantile(0.99)).max().unwrap_or(1) as f64 / 1000.0;
    let area = SVGBackend::new(path, (900, 540)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("A member dies", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(56)
        .build_cartesian_2d(0f64..f64::from(most_size) * 1.05, 0f64..most_s * 1.15)?;
    chart.configure_mesh().x_desc("members").y_desc("seconds since the death").draw()?;
    let lines: [Curve; 4] = [
        ("first suspicion, p50", BLUE, |times| times.first.value_at_quantile(0.5)),
        ("first suspicion, p99", CYAN, |times| times.first.value_at_quantile(0.99)),
        ("held for dead by a member, p50", RED, |times| times.dead.value_at_quantile(0.5)),
        ("held for dead by a member, p99", MAGENTA, |times| times.dead.value_at_quantile(0.99)),
    ];
    for (name, color, value) in lines {
        let points = all.iter().map(|times| (f64::from(times.size), value(times) as f64 / 1000.0));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

//! The figures of a run, and whether its budgets were kept.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use badgerledge_distribution::{ControllerId, Number};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::machine::Machine;
use crate::observations::{histogram, Observations, PushedChange, Transition, Used};
use crate::scenario::Scenario;

/// A rig that stood still for longer says nothing of bounds.
const STALL: Duration = Duration::from_millis(700);

/// Of a distribution, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    pub count: u64,
    pub p50: f64,
    pub p99: f64,
    pub last: f64,
}

impl Spread {
    fn of(histogram: &Histogram<u64>) -> Self {
        let seconds = |micros: u64| micros as f64 / 1e6;
        Self {
            count: histogram.len(),
            p50: seconds(histogram.value_at_quantile(0.5)),
            p99: seconds(histogram.value_at_quantile(0.99)),
            last: seconds(histogram.max()),
        }
    }
}

/// What members of one role used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    pub bytes_in_per_s: f64,
    pub bytes_out_per_s: f64,
    /// Of the member with the most, in and out together.
    pub most_bytes_per_s: f64,
    /// As a part of a core, on the mean and of the member with the most.
    pub cpu: f64,
    pub most_cpu: f64,
    pub messages_per_s: f64,
    pub memory_bytes: u64,
}

/// The figures of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Figures {
    pub version: String,
    pub seed: u64,
    pub machine: Machine,
    pub scenario: String,
    /// `simulated`, `hollow` or `real`.
    pub kind: String,
    pub controllers: u32,
    pub control_machines: u16,
    /// Processes that hosted hollow controllers; 0 where there were none.
    pub hosts: u32,
    /// How long the run was in its own time, and on the clock.
    pub run_s: f64,
    pub took_s: f64,
    pub changes: u64,
    pub changes_taken: u64,
    pub turned_down: Vec<String>,
    pub revisions: Number,
    /// From the push of a change until a reachable controller acted on it.
    pub in_force: Spread,
    /// Of those, only from controllers that were current when the change was pushed: not on their way back.
    pub in_force_at_current: Spread,
    /// Until the author of a change heard what became of it.
    pub settled: Spread,
    /// The changes that took longest to come into force.
    pub slowest: Vec<SlowChange>,
    /// Pairs of a change and a controller that was reachable all the time and never acted on it.
    pub never: u64,
    /// From the return of a controller until it acts on what others acted on when it returned.
    pub caught_up: Spread,
    pub never_caught_up: u64,
    /// The share of time that reachable controllers held back.
    pub held_back: f64,
    /// How long controllers that were cut off or off did not act on any revision in that time.
    #[serde(default)]
    pub held_while_away: Spread,
    pub longest_contradiction_s: f64,
    pub bound_s: f64,
    pub controller: Usage,
    /// Bytes of one controller in one second: 99 in 100, and the worst.
    pub second_p99_bytes: u64,
    pub second_worst_bytes: u64,
    pub control_machine: Usage,
    pub budgets: Vec<Budget>,
    /// How long the rig itself stood still at most. From a stall on the figures say nothing of the protocol's bounds.
    pub stalled_s: f64,
    /// The longest time that the disk which all members share took for one block.
    pub disk_stalled_s: f64,
}

/// A change that took long.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlowChange {
    pub pushed_at_s: f64,
    pub revision: Number,
    pub settled_s: f64,
    /// At the first and at the last reachable controller.
    pub first_s: f64,
    pub last_s: f64,
}

/// One budget beside what was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    pub name: String,
    pub allowed: f64,
    pub measured: f64,
    pub unit: String,
    pub kept: bool,
}

impl Budget {
    fn at_most(name: &str, allowed: f64, measured: f64, unit: &str) -> Self {
        let kept = measured <= allowed;
        Self { name: name.to_owned(), allowed, measured, unit: unit.to_owned(), kept }
    }
}

/// What a run is named by in its figures.
pub struct Title<'a> {
    pub scenario: &'a Scenario,
    pub kind: &'a str,
    /// The bound on contradictions that the protocol states.
    pub bound: Duration,
    pub took: Duration,
}

impl Figures {
    pub fn of(title: &Title<'_>, seen: &Observations) -> Self {
        let scenario = title.scenario;
        let (from, until) = (scenario.warm_up(), scenario.end());
        let span = until.saturating_sub(from);
        let courses = courses(&seen.transitions);
        let force = in_force(seen, &courses);
        let (caught_up, never_caught_up) = caught_up(seen, &courses);
        let taken = seen.changes.iter().filter(|change| change.number.is_some());
        let revisions = seen.changes.iter().filter_map(|change| change.number).max().unwrap_or(0);
        let mut figures = Self {
            version: env!("CARGO_PKG_VERSION").to_owned(),
            seed: scenario.run.seed,
            machine: Machine::here(),
            scenario: scenario.name.clone(),
            kind: title.kind.to_owned(),
            controllers: seen.members.len() as u32,
            control_machines: scenario.fleet.control_machines,
            hosts: if title.kind == "hollow" { scenario.run.hollow_processes } else { 0 },
            run_s: until.as_secs_f64(),
            took_s: title.took.as_secs_f64(),
            changes: seen.changes.len() as u64,
            changes_taken: taken.count() as u64,
            turned_down: seen.turned_down.clone(),
            revisions,
            in_force: Spread::of(&force.reachable),
            in_force_at_current: Spread::of(&force.current),
            settled: Spread::of(&settled(seen)),
            slowest: force.slowest,
            never: force.never,
            caught_up: Spread::of(&caught_up),
            never_caught_up,
            held_back: held_back(seen, &courses, from, until),
            held_while_away: Spread::of(&held_while_away(seen, &courses, until)),
            longest_contradiction_s: contradiction(scenario, seen).as_secs_f64(),
            bound_s: title.bound.as_secs_f64(),
            controller: usage(&seen.controllers, span, seen.controller_memory),
            second_p99_bytes: seen.seconds.p99(),
            second_worst_bytes: seen.seconds.worst(),
            control_machine: usage(&seen.machines, span, seen.machine_memory),
            budgets: Vec::new(),
            stalled_s: seen.stalled.as_secs_f64(),
            disk_stalled_s: seen.disk_stalled.as_secs_f64(),
        };
        figures.budgets = figures.held_against(scenario);
        figures
    }

    fn held_against(&self, scenario: &Scenario) -> Vec<Budget> {
        let budgets = &scenario.budgets;
        let megabytes = |bytes: u64| bytes as f64 / 1e6;
        let (controller, machine) = (&self.controller, &self.control_machine);
        let untaken = (self.changes - self.changes_taken) as f64;
        let mut held = vec![
            Budget::at_most("changes not taken", 0.0, untaken, ""),
            Budget::at_most("in force everywhere", budgets.in_force_s, self.in_force.last, "s"),
            Budget::at_most("changes never in force at a reachable controller", 0.0, self.never as f64, ""),
            Budget::at_most("returned and never current", 0.0, self.never_caught_up as f64, ""),
            Budget::at_most(
                "longest contradiction, against T",
                self.bound_s,
                self.longest_contradiction_s,
                "s",
            ),
            Budget::at_most(
                "bytes of the worst controller",
                budgets.controller_bytes_per_s,
                controller.most_bytes_per_s,
                "B/s",
            ),
            Budget::at_most(
                "core of the worst controller",
                budgets.controller_cpu,
                controller.most_cpu,
                "cores",
            ),
            Budget::at_most(
                "memory of a controller",
                budgets.controller_memory_mb,
                megabytes(controller.memory_bytes),
                "MB",
            ),
            Budget::at_most(
                "core of the worst control machine",
                budgets.machine_cpu,
                machine.most_cpu,
                "cores",
            ),
            Budget::at_most(
                "bytes of the worst control machine",
                budgets.machine_bytes_per_s,
                machine.most_bytes_per_s,
                "B/s",
            ),
        ];
        // In a simulation all members are in one process, and the controllers' share is all of it.
        if machine.memory_bytes > 0 {
            let memory = megabytes(machine.memory_bytes);
            held.push(Budget::at_most(
                "memory of a control machine",
                budgets.machine_memory_mb,
                memory,
                "MB",
            ));
        }
        held
    }

    /// Whether the rig or its disk stood still for longer than a third of what a lease leaves between two requests.
    pub fn is_void(&self) -> bool {
        self.stalled_s.max(self.disk_stalled_s) > STALL.as_secs_f64()
    }

    pub fn all_kept(&self) -> bool {
        self.budgets.iter().all(|budget| budget.kept)
    }
}

type Courses = BTreeMap<ControllerId, Vec<Transition>>;

fn courses(transitions: &[Transition]) -> Courses {
    let mut courses = Courses::new();
    for transition in transitions {
        courses.entry(transition.controller).or_default().push(*transition);
    }
    for course in courses.values_mut() {
        course.sort_by_key(|transition| transition.at);
    }
    courses
}

/// When a controller first acted on this revision or a later one, not before that time.
fn acts_on_at(course: &[Transition], number: Number, from: Duration) -> Option<Duration> {
    let mut state = None;
    for transition in course {
        if transition.at <= from {
            state = transition.acts_on;
            continue;
        }
        if state.is_some_and(|acts_on| acts_on >= number) {
            return Some(from);
        }
        if transition.acts_on.is_some_and(|acts_on| acts_on >= number) {
            return Some(transition.at);
        }
        state = None;
    }
    state.filter(|acts_on| *acts_on >= number).map(|_| from)
}

fn record(times: &mut Histogram<u64>, span: Duration) {
    // It grows as needed.
    let _ = times.record(span.as_micros() as u64);
}

/// How long changes took to come into force.
struct Force {
    reachable: Histogram<u64>,
    current: Histogram<u64>,
    slowest: Vec<SlowChange>,
    never: u64,
}

/// Slow changes that are told.
const SLOWEST: usize = 3;

fn in_force(seen: &Observations, courses: &Courses) -> Force {
    let mut force = Force { reachable: histogram(), current: histogram(), slowest: Vec::new(), never: 0 };
    let nothing = Vec::new();
    for change in &seen.changes {
        let Some(number) = change.number else { continue };
        let (mut first, mut last) = (Duration::MAX, Duration::ZERO);
        for controller in &seen.members {
            let course = courses.get(controller).unwrap_or(&nothing);
            let away = seen.away.get(controller).map_or(&[][..], Vec::as_slice);
            let acted = acts_on_at(course, number, change.pushed);
            let until = acted.unwrap_or(Duration::MAX);
            if away.iter().any(|(from, to)| *from <= until && *to >= change.pushed) {
                continue;
            }
            let Some(at) = acted else {
                force.never += 1;
                continue;
            };
            let took = at.saturating_sub(change.pushed);
            record(&mut force.reachable, took);
            if is_acting(course, change.pushed) {
                record(&mut force.current, took);
            }
            (first, last) = (first.min(took), last.max(took));
        }
        let seconds = |at: Duration| at.as_secs_f64();
        force.slowest.push(SlowChange {
            pushed_at_s: seconds(change.pushed),
            revision: number,
            settled_s: change.settled.map_or(0.0, |at| seconds(at.saturating_sub(change.pushed))),
            first_s: if first == Duration::MAX { 0.0 } else { seconds(first) },
            last_s: seconds(last),
        });
    }
    force.slowest.sort_by(|a, b| b.last_s.total_cmp(&a.last_s));
    force.slowest.truncate(SLOWEST);
    force
}

/// Whether a controller acts, and does not hold back, at this time.
fn is_acting(course: &[Transition], at: Duration) -> bool {
    let last = course.iter().take_while(|transition| transition.at <= at).last();
    last.is_some_and(|transition| transition.acts_on.is_some())
}

fn settled(seen: &Observations) -> Histogram<u64> {
    let mut times = histogram();
    for change in &seen.changes {
        let span = change.settled.map(|at| at.saturating_sub(change.pushed));
        span.into_iter().for_each(|span| record(&mut times, span));
    }
    times
}

fn caught_up(seen: &Observations, courses: &Courses) -> (Histogram<u64>, u64) {
    let (mut times, mut never) = (histogram(), 0);
    let members: BTreeSet<ControllerId> = seen.members.iter().copied().collect();
    for (controller, away) in seen.away.iter().filter(|(controller, _)| members.contains(controller)) {
        for (n, (_, back)) in away.iter().enumerate() {
            let target = seen.acted_on.highest_at(*back);
            let course = courses.get(controller).map_or(&[][..], Vec::as_slice);
            let acted = acts_on_at(course, target, *back);
            let gone_again = away.get(n + 1).map(|next| next.0);
            match (acted, gone_again) {
                (Some(at), again) if again.is_none_or(|again| at <= again) => {
                    record(&mut times, at.saturating_sub(*back));
                }
                (_, Some(_)) => {}
                (_, None) => never += 1,
            }
        }
    }
    (times, never)
}

/// The share of time that controllers which are not away hold back.
fn held_back(seen: &Observations, courses: &Courses, from: Duration, until: Duration) -> f64 {
    let (mut held, mut all) = (Duration::ZERO, Duration::ZERO);
    let between = |a: Duration, b: Duration| b.min(until).saturating_sub(a.max(from));
    for (controller, course) in courses {
        let away = seen.away.get(controller).map_or(&[][..], Vec::as_slice);
        all += until.saturating_sub(from);
        all = away.iter().fold(all, |all, (a, b)| all.saturating_sub(between(*a, *b)));
        for (n, transition) in course.iter().enumerate().filter(|(_, t)| t.acts_on.is_none()) {
            let end = course.get(n + 1).map_or(until, |next| next.at);
            let off = away.iter().map(|(a, b)| between(transition.at.max(*a), end.min(*b))).sum();
            held += between(transition.at, end).saturating_sub(off);
        }
    }
    held.as_secs_f64() / all.as_secs_f64().max(1e-9)
}

/// The longest contradiction. Where regions apart go on, revisions without an exclusive change contradict nobody.
fn contradiction(scenario: &Scenario, seen: &Observations) -> Duration {
    let exclusive = |change: &&PushedChange| change.exclusive;
    let numbers: BTreeSet<Number> =
        seen.changes.iter().filter(exclusive).filter_map(|change| change.number).collect();
    let all = scenario.fleet.apart_s == 0;
    seen.acted_on.longest_contradiction_of(|number| all || numbers.contains(&number)).0
}

/// How long each controller that was away held back, or was off, while it was.
fn held_while_away(seen: &Observations, courses: &Courses, until: Duration) -> Histogram<u64> {
    let mut times = histogram();
    for (controller, away) in &seen.away {
        let course = courses.get(controller).map_or(&[][..], Vec::as_slice);
        let ends = course.iter().skip(1).map(|next| next.at).chain([until]);
        let spans = course.iter().zip(ends).filter(|(transition, _)| transition.acts_on.is_none());
        let spans: Vec<(Duration, Duration)> = spans.map(|(transition, end)| (transition.at, end)).collect();
        let within = |(from, to): &(Duration, Duration)| -> Duration {
            spans.iter().map(|(a, b)| b.min(to).saturating_sub(*a.max(from))).sum()
        };
        record(&mut times, away.iter().map(within).sum());
    }
    times
}

fn usage(members: &[Used], span: Duration, memory_bytes: u64) -> Usage {
    let span = span.as_secs_f64().max(1e-9);
    let count = members.len().max(1) as f64;
    let mean = |of: &dyn Fn(&Used) -> f64| members.iter().map(of).sum::<f64>() / count / span;
    let most = |of: &dyn Fn(&Used) -> f64| members.iter().map(of).fold(0.0, f64::max) / span;
    Usage {
        bytes_in_per_s: mean(&|used| used.bytes_in as f64),
        bytes_out_per_s: mean(&|used| used.bytes_out as f64),
        most_bytes_per_s: most(&|used| (used.bytes_in + used.bytes_out) as f64),
        cpu: mean(&|used| used.cpu.as_secs_f64()),
        most_cpu: most(&|used| used.cpu.as_secs_f64()),
        messages_per_s: mean(&|used| used.messages as f64),
        memory_bytes,
    }
}

//! The figures of a run as text, and two kinds of members beside each other.

use std::fmt::Write;

use crate::figures::{Budget, Figures};

/// The summary that a run ends with.
pub fn summary(figures: &Figures) -> String {
    let mut text = String::new();
    let f = figures;
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "{} ({}): {} controllers, {} control machines, seed {}, {:.0} s run in {:.1} s on {} cores, {} MB, Linux {}",
        f.scenario,
        f.kind,
        f.controllers,
        f.control_machines,
        f.seed,
        f.run_s,
        f.took_s,
        f.machine.cores,
        f.machine.memory_mb,
        f.machine.kernel
    );
    let _ = writeln!(
        text,
        "  changes: {} pushed, {} taken, {} revisions",
        f.changes, f.changes_taken, f.revisions
    );
    for reason in f.turned_down.iter().take(3) {
        let _ = writeln!(text, "    turned down: {reason}");
    }
    let _ = writeln!(
        text,
        "  push to acting: p50 {:.3} s, p99 {:.3} s, last {:.3} s (of {}); never: {}",
        f.in_force.p50, f.in_force.p99, f.in_force.last, f.in_force.count, f.never
    );
    let _ = writeln!(
        text,
        "    at controllers that were current: last {:.3} s; told to the author: p50 {:.3} s, last {:.3} s",
        f.in_force_at_current.last, f.settled.p50, f.settled.last
    );
    for slow in &f.slowest {
        let _ = writeln!(
            text,
            "    slowest: revision {}, pushed at {:.2} s, told after {:.2} s, acted on after {:.2} to {:.2} s",
            slow.revision, slow.pushed_at_s, slow.settled_s, slow.first_s, slow.last_s
        );
    }
    if f.caught_up.count + f.never_caught_up > 0 {
        let _ = writeln!(
            text,
            "  current after a return: p50 {:.3} s, p99 {:.3} s, last {:.3} s (of {}); never: {}",
            f.caught_up.p50, f.caught_up.p99, f.caught_up.last, f.caught_up.count, f.never_caught_up
        );
    }
    let _ = writeln!(
        text,
        "  contradiction: {:.3} s at longest, T {:.3} s; held back {:.4} of the time",
        f.longest_contradiction_s, f.bound_s, f.held_back
    );
    let c = &f.controller;
    let _ = writeln!(
        text,
        "  a controller: {:.0} B/s in, {:.0} B/s out (most {:.0} together; one second: p99 {}, worst {} B), {:.5} of a core (most {:.5}), {:.0} KB, {:.1} messages/s",
        c.bytes_in_per_s,
        c.bytes_out_per_s,
        c.most_bytes_per_s,
        f.second_p99_bytes,
        f.second_worst_bytes,
        c.cpu,
        c.most_cpu,
        c.memory_bytes as f64 / 1000.0,
        c.messages_per_s
    );
    let m = &f.control_machine;
    let _ = writeln!(
        text,
        "  a control machine: {:.0} B/s in, {:.0} B/s out (most {:.0} together), {:.4} of a core (most {:.4}), {:.1} MB, {:.0} messages/s",
        m.bytes_in_per_s,
        m.bytes_out_per_s,
        m.most_bytes_per_s,
        m.cpu,
        m.most_cpu,
        m.memory_bytes as f64 / 1e6,
        m.messages_per_s
    );
    if f.is_void() {
        let _ = writeln!(
            text,
            "  VOID: the rig itself stood still for {:.2} s: this run says nothing of bounds",
            f.stalled_s
        );
    }
    f.budgets.iter().for_each(|budget| text += &line_of(budget));
    text
}

fn line_of(budget: &Budget) -> String {
    let verdict = if budget.kept { "kept  " } else { "BROKEN" };
    format!("  {verdict} {}: {:.5} of {} {}\n", budget.name, budget.measured, budget.allowed, budget.unit)
}

/// How far two kinds may differ before the summary says so: the simulation has no scheduler, the sockets no delay but
/// the loopback's, so times may differ by what the scenario's network costs, bytes and processor time by this factor.
pub const BYTES_WITHIN: f64 = 1.25;
/// Processor time on sockets holds system calls, which the simulation does not make.
pub const CPU_WITHIN: f64 = 10.0;

/// One figure of two kinds of members.
#[derive(Clone, Debug, PartialEq)]
pub struct Overlap {
    pub figure: &'static str,
    pub first: f64,
    pub second: f64,
    /// The larger over the smaller may be so much.
    pub within: f64,
}

impl Overlap {
    pub fn ratio(&self) -> f64 {
        let (low, high) = (self.first.min(self.second), self.first.max(self.second));
        if high <= 0.0 {
            1.0
        } else {
            high / low.max(1e-12)
        }
    }

    pub fn holds(&self) -> bool {
        self.ratio() <= self.within
    }
}

/// Two runs of one scenario at one size, of two kinds.
pub fn overlaps(first: &Figures, second: &Figures) -> Vec<Overlap> {
    let of = |figure, first, second, within| Overlap { figure, first, second, within };
    let (a, b) = (&first.controller, &second.controller);
    let (x, y) = (&first.control_machine, &second.control_machine);
    vec![
        of("bytes/s into a controller", a.bytes_in_per_s, b.bytes_in_per_s, BYTES_WITHIN),
        of("bytes/s out of a controller", a.bytes_out_per_s, b.bytes_out_per_s, BYTES_WITHIN),
        of("messages/s of a controller", a.messages_per_s, b.messages_per_s, BYTES_WITHIN),
        of("core of a controller", a.cpu, b.cpu, CPU_WITHIN),
        of("core of a control machine", x.cpu, y.cpu, CPU_WITHIN),
        of("push to acting, p50 s", first.in_force.p50, second.in_force.p50, TIMES_WITHIN),
        of("push to acting, p99 s", first.in_force.p99, second.in_force.p99, TIMES_WITHIN),
    ]
}

/// Times on the loopback leave out the scenario's delays between regions unless these are set to none.
pub const TIMES_WITHIN: f64 = 2.0;

/// Overlaps as text, a line each.
pub fn overlap_lines(first: &Figures, second: &Figures) -> String {
    let mut text = format!("{} beside {}, {} controllers\n", first.kind, second.kind, first.controllers);
    for overlap in overlaps(first, second) {
        let verdict = if overlap.holds() { "within" } else { "OVER" };
        text += &format!(
            "  {verdict:<6} {}: {:.5} and {:.5}, a factor of {:.2} of {} allowed\n",
            overlap.figure,
            overlap.first,
            overlap.second,
            overlap.ratio(),
            overlap.within
        );
    }
    text
}

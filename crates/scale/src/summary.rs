//! The figures of a run as text, and two kinds of members beside each other.

use std::fmt::Write;

use crate::figures::{Budget, Figures};
use crate::simulation::network::HEADERS;

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
    if f.held_while_away.count > 0 {
        let _ = writeln!(
            text,
            "  did not admit while cut off or off: p50 {:.3} s, last {:.3} s (of {} controllers)",
            f.held_while_away.p50, f.held_while_away.last, f.held_while_away.count
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
        "  a control machine: {:.0} B/s in, {:.0} B/s out (most {:.0} together), {:.4} of a core (most {:.4}), {}",
        m.bytes_in_per_s,
        m.bytes_out_per_s,
        m.most_bytes_per_s,
        m.cpu,
        m.most_cpu,
        if m.memory_bytes > 0 { format!("{:.1} MB", m.memory_bytes as f64 / 1e6) } else { "memory not measured".to_owned() }
    );
    if f.is_void() {
        let _ = writeln!(
            text,
            "  VOID: the rig stood still for {:.2} s, its disk for {:.2} s: this run says nothing of bounds",
            f.stalled_s, f.disk_stalled_s
        );
    }
    f.budgets.iter().for_each(|budget| text += &line_of(budget));
    text
}

fn line_of(budget: &Budget) -> String {
    let verdict = if budget.kept { "kept  " } else { "BROKEN" };
    format!("  {verdict} {}: {:.5} of {} {}\n", budget.name, budget.measured, budget.allowed, budget.unit)
}

/// Bytes and messages of two kinds of members may differ by this factor.
pub const BYTES_WITHIN: f64 = 1.1;
/// Processor time by this one: on sockets it holds system calls, which a simulation does not make, and in a simulation
/// signatures at a stated cost each.
pub const CPU_WITHIN: f64 = 3.0;
/// What a change may take longer on sockets than on a simulated network without delay: the disks of control machines and
/// the turns of their processes.
const PROCESSES_TAKE_S: f64 = 0.5;
/// What a watcher's signatures and digests take for one revision. Those of one host take their turns on one core, and a
/// change is in force when the last has had its turn.
const WATCHER_TAKES_S: f64 = 0.0006;

/// One figure of two kinds of members.
#[derive(Clone, Debug, PartialEq)]
pub struct Overlap {
    pub figure: &'static str,
    pub first: f64,
    pub second: f64,
    /// The difference as it is held against the bound, a factor or seconds.
    pub difference: f64,
    pub within: f64,
}

impl Overlap {
    fn factor(figure: &'static str, first: f64, second: f64, within: f64) -> Self {
        let (low, high) = (first.min(second), first.max(second));
        let difference = if high > 0.0 { high / low.max(1e-12) } else { 1.0 };
        Self { figure, first, second, difference, within }
    }

    fn seconds(figure: &'static str, first: f64, second: f64, within: f64) -> Self {
        Self { figure, first, second, difference: (first - second).abs(), within }
    }

    pub fn holds(&self) -> bool {
        self.difference <= self.within
    }
}

/// Two runs of one scenario at one size, of two kinds.
pub fn overlaps(first: &Figures, second: &Figures) -> Vec<Overlap> {
    let (a, b) = (&first.controller, &second.controller);
    let (x, y) = (&first.control_machine, &second.control_machine);
    let turns = |f: &Figures| f64::from(f.controllers) / f64::from(f.hosts.max(1)) * WATCHER_TAKES_S;
    let hosted = [first, second].into_iter().filter(|figures| figures.hosts > 0);
    let late = PROCESSES_TAKE_S + hosted.map(turns).fold(0.0, f64::max);
    let times = [
        Overlap::seconds("push to acting, p50 s", first.in_force.p50, second.in_force.p50, late),
        Overlap::seconds("push to acting, p99 s", first.in_force.p99, second.in_force.p99, late),
    ];
    if [first, second].iter().any(|figures| figures.kind == "real") {
        // A real controller counts frames without their headers, and its processor time is that of all it does.
        let bytes = Overlap::factor(
            "frames' bytes/s of a controller",
            frame_bytes(first),
            frame_bytes(second),
            BYTES_WITHIN,
        );
        return [bytes].into_iter().chain(times).collect();
    }
    let used = [
        Overlap::factor("bytes/s into a controller", a.bytes_in_per_s, b.bytes_in_per_s, BYTES_WITHIN),
        Overlap::factor("bytes/s out of a controller", a.bytes_out_per_s, b.bytes_out_per_s, BYTES_WITHIN),
        Overlap::factor("messages/s of a controller", a.messages_per_s, b.messages_per_s, BYTES_WITHIN),
        Overlap::factor("core of a controller", a.cpu, b.cpu, CPU_WITHIN),
        Overlap::factor("core of a control machine", x.cpu, y.cpu, CPU_WITHIN),
    ];
    used.into_iter().chain(times).collect()
}

/// Bytes a second of a controller's frames, in and out.
fn frame_bytes(figures: &Figures) -> f64 {
    let controller = &figures.controller;
    let bytes = controller.bytes_in_per_s + controller.bytes_out_per_s;
    let headers = if figures.kind == "real" { 0.0 } else { controller.messages_per_s * HEADERS as f64 };
    bytes - headers
}

/// Overlaps as text, a line each.
pub fn overlap_lines(first: &Figures, second: &Figures) -> String {
    let mut text = format!("{} beside {}, {} controllers\n", first.kind, second.kind, first.controllers);
    for overlap in overlaps(first, second) {
        let verdict = if overlap.holds() { "within" } else { "OVER" };
        text += &format!(
            "  {verdict:<6} {}: {:.5} and {:.5}, a difference of {:.3} of {:.3} allowed\n",
            overlap.figure, overlap.first, overlap.second, overlap.difference, overlap.within
        );
    }
    text
}

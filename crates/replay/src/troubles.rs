//! What goes wrong in a day: each trouble is made into single strikes, due at their times.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerledge_standins::Streamers;

use crate::controllers::Controllers;
use crate::day::{Day, Trouble};
use crate::plan::Draw;
use crate::script::Script;

/// One thing that happens at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strike {
    Crash(usize),
    Silence(usize),
    Restart(usize),
    Drain(usize),
    /// A drained streamer ends, and a successor at a new address takes its cell.
    Replace(usize),
    SlowLink(usize, f64),
    SlowUplink(usize, f64),
    Age(usize, f64),
    ReportsLate(Duration),
    ListBehind(Duration),
    Kill(usize),
    Start(usize),
    Stop(usize),
    GoOn(usize),
    CutMessages(bool),
    /// The list service ends, and starts anew with numbers from the first on.
    ListEnds,
    ListStarts,
    /// The day's push, revoked key, way and struck processes (begins or ends), by number.
    Push(usize),
    Revoke(usize),
    Way(usize, bool),
    Process(usize, bool),
}

/// Strikes by time, and in the order given at one time.
#[derive(Default)]
pub struct Strikes {
    due: BTreeSet<(Duration, usize)>,
    all: Vec<Strike>,
}

impl Strikes {
    fn add(&mut self, at: Duration, strike: Strike) {
        self.due.insert((at, self.all.len()));
        self.all.push(strike);
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|due| due.0)
    }

    pub fn pop(&mut self, now: Duration) -> Option<Strike> {
        let (at, number) = self.due.first().copied().filter(|due| due.0 <= now)?;
        self.due.remove(&(at, number));
        Some(self.all[number])
    }

    /// All strikes of a day that begins at `start`.
    pub fn new(
        day: &Day, start: Duration, streamers: &Streamers, controllers: &Controllers, draw: &mut Draw,
    ) -> Self {
        let mut strikes = Self::default();
        for (_, trouble) in &day.troubles {
            let on = On { from: start + trouble.at(), until: start + trouble.at() + trouble.span(), trouble };
            strikes.add_trouble(day, &on, streamers, controllers, draw);
        }
        if let Some(script) = &day.revisions {
            strikes.add_script(script, start);
        }
        strikes
    }

    fn add_script(&mut self, script: &Script, start: Duration) {
        let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
        for (number, (_, push)) in script.pushes.iter().enumerate() {
            self.add(at(push.at_s), Strike::Push(number));
        }
        for (number, way) in script.ways.iter().enumerate() {
            self.add(at(way.at_s), Strike::Way(number, true));
            self.add(at(way.at_s + way.for_s), Strike::Way(number, false));
        }
        for (number, revoke) in script.revokes.iter().enumerate() {
            self.add(at(revoke.at_s), Strike::Revoke(number));
        }
        for (number, process) in script.processes.iter().enumerate() {
            self.add(at(process.at_s), Strike::Process(number, true));
            self.add(at(process.at_s + process.for_s), Strike::Process(number, false));
        }
    }

    fn add_trouble(
        &mut self, day: &Day, on: &On<'_>, streamers: &Streamers, controllers: &Controllers, draw: &mut Draw,
    ) {
        let On { from, until, trouble } = *on;
        let racks = day.shared.fleet.racks as usize;
        let fleet = streamers.len();
        let size = trouble.size;
        match trouble.kind.as_str() {
            "crash" => self.on_each(&part(draw, fleet, trouble.part), on, Strike::Crash, Strike::Restart),
            "vanish" => self.on_each(&part(draw, fleet, trouble.part), on, Strike::Silence, Strike::Restart),
            "zone_loss" => self.lose_zone(day, on, streamers, controllers),
            "deploy" => self.deploy(on, part(draw, fleet, trouble.part)),
            "shared_slow" => {
                let all: Vec<usize> = (0..fleet).collect();
                self.on_each(&all, on, |n| Strike::SlowLink(n, 1.0 / size), |n| Strike::SlowLink(n, 1.0));
            }
            "origin_slow" => {
                let some = part(draw, racks, trouble.part);
                self.on_each(
                    &some,
                    on,
                    |n| Strike::SlowUplink(n, 1.0 / size),
                    |n| Strike::SlowUplink(n, size),
                );
            }
            "ageing" => {
                let some = part(draw, fleet, trouble.part);
                self.on_each(&some, on, |n| Strike::Age(n, size), |n| Strike::Age(n, 1.0));
            }
            "balancer_crash" => {
                self.on_each(&part(draw, controllers.len(), trouble.part), on, Strike::Kill, Strike::Start);
            }
            "balancer_stall" => {
                self.on_each(&part(draw, controllers.len(), trouble.part), on, Strike::Stop, Strike::GoOn);
            }
            "balancer_roll" => {
                let some = part(draw, controllers.len(), trouble.part);
                let step = trouble.span() / some.len().max(1) as u32;
                for (turn, number) in some.into_iter().enumerate() {
                    let at = from + step * turn as u32;
                    self.add(at, Strike::Kill(number));
                    self.add(at + Duration::from_secs_f64(trouble.extra), Strike::Start(number));
                }
            }
            "report_late" => {
                self.add(from, Strike::ReportsLate(Duration::from_secs_f64(size)));
                self.add(until, Strike::ReportsLate(Duration::ZERO));
            }
            "discovery_stale" => {
                self.add(from, Strike::ListBehind(Duration::from_secs_f64(size)));
                self.add(until, Strike::ListBehind(Duration::ZERO));
            }
            "list_restart" => {
                self.add(from, Strike::ListEnds);
                self.add(until, Strike::ListStarts);
            }
            "peer_down" => {
                self.add(from, Strike::CutMessages(true));
                self.add(until, Strike::CutMessages(false));
            }
            // Bursts and crowds are in the viewers' arrivals.
            _ => {}
        }
    }

    fn on_each(
        &mut self, some: &[usize], on: &On<'_>, begins: impl Fn(usize) -> Strike,
        ends: impl Fn(usize) -> Strike,
    ) {
        for number in some {
            self.add(on.from, begins(*number));
            self.add(on.until, ends(*number));
        }
    }

    /// A building: `part` under a half is the first, else the last. A size over a half takes its controllers too.
    fn lose_zone(&mut self, day: &Day, on: &On<'_>, streamers: &Streamers, controllers: &Controllers) {
        let last = day.shared.fleet.zones.len() - 1;
        let zone = if on.trouble.part < 0.5 { 0 } else { last };
        let there: Vec<usize> =
            (0..streamers.len()).filter(|n| usize::from(streamers.told(*n).zone) == zone).collect();
        self.on_each(&there, on, Strike::Crash, Strike::Restart);
        if on.trouble.size > 0.5 {
            self.on_each(&controllers.in_zone(zone), on, Strike::Kill, Strike::Start);
        }
    }

    /// In batches, spread over the span: drains, and is replaced when its drain time is over.
    fn deploy(&mut self, on: &On<'_>, some: Vec<usize>) {
        let batch = ((some.len() as f64 * on.trouble.size).ceil() as usize).max(1);
        let batches = some.len().div_ceil(batch).max(1) as u32;
        let step = on.trouble.span() / batches;
        for (turn, numbers) in some.chunks(batch).enumerate() {
            let at = on.from + step * turn as u32;
            for number in numbers {
                self.add(at, Strike::Drain(*number));
                self.add(at + Duration::from_secs_f64(on.trouble.extra), Strike::Replace(*number));
            }
        }
    }
}

/// A trouble with its times on the day's clock.
#[derive(Clone, Copy)]
struct On<'a> {
    from: Duration,
    until: Duration,
    trouble: &'a Trouble,
}

/// A part of so many, at least one.
fn part(draw: &mut Draw, among: usize, part: f64) -> Vec<usize> {
    draw.some(among, ((among as f64 * part).round() as usize).max(1))
}

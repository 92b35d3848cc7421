//! What a day will bring, drawn ahead from its seed: the catalogue and the viewers' arrivals.

use std::fmt::Write;
use std::time::Duration;

use badgerledge_standins::Plan;

use crate::day::{Day, Trouble};

/// A title as it is drawn: id, room type, first cell, copies.
#[derive(Clone, Copy, Debug)]
pub struct Title {
    pub id: u64,
    pub room_type: usize,
    pub first_cell: u32,
    pub copies: u32,
}

/// Numbers from a seed, for all that is drawn.
pub struct Draw(badgerledge_ways::SeededRng);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Self(badgerledge_ways::SeededRng::new(seed))
    }

    /// From 0 up to, but not, 1.
    pub fn share(&mut self) -> f64 {
        self.0.unit_interval()
    }

    pub fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least).max(0.0) * self.share()
    }

    pub fn span(&mut self, ms: &[u64]) -> Duration {
        Duration::from_secs_f64(self.between(ms[0] as f64, ms[1] as f64) / 1000.0)
    }

    /// One of `weights`, by weight.
    pub fn pick(&mut self, weights: &[f64]) -> usize {
        let mut left = self.share() * weights.iter().sum::<f64>();
        let found = weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        found.unwrap_or(weights.len().saturating_sub(1))
    }

    /// So many of `0..among`, no one twice, in a drawn order.
    pub fn some(&mut self, among: usize, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..among).collect();
        for at in (1..among).rev() {
            all.swap(at, (self.share() * (at + 1) as f64) as usize);
        }
        all.truncate(count);
        all
    }
}

/// The titles: the first ones are wanted most. Each room type has its share of them.
pub fn titles(day: &Day, draw: &mut Draw) -> Vec<Title> {
    let cells = day.shared.fleet.cells;
    let shares: Vec<f64> = day.kinds.iter().map(|kind| kind.share).collect();
    let (least, most) = (f64::from(day.course.copies[0]), f64::from(day.course.copies[1]));
    let title = |n| Title {
        id: 0x1000 + n,
        room_type: draw.pick(&shares),
        first_cell: (draw.share() * f64::from(cells)) as u32,
        copies: (draw.between(least, most + 1.0) as u32).clamp(1, cells),
    };
    (0..day.course.titles).map(title).collect()
}

/// The catalogue file of these titles.
pub fn catalogue(day: &Day, titles: &[Title]) -> String {
    let mut text = String::new();
    for title in titles {
        let room_type = &day.shared.room_types[title.room_type].0;
        let Title { id, first_cell, copies, .. } = title;
        let _ = writeln!(
            text,
            "[title {id:x}]\nroom_type = {room_type}\nfirst_cell = {first_cell}\ncopies = {copies}"
        );
    }
    text
}

/// All viewers of the day, with those that a burst or a crowd brings.
pub fn plans(day: &Day, titles: &[Title], draw: &mut Draw) -> Vec<Plan> {
    let mut plans = Vec::new();
    let ranks: Vec<f64> = (1..=titles.len()).map(|rank| (rank as f64).powf(-day.course.zipf)).collect();
    let step = 0.05;
    let mut at = 0.0;
    while at < day.course.length_s {
        let rate = day.arrivals.per_s * shape(day, at / day.course.length_s) * bursts(day, at);
        for _ in 0..drawn_count(rate * step, draw) {
            let title = titles[draw.pick(&ranks)];
            plans.push(plan(day, title, at + step * draw.share(), draw));
        }
        for trouble in active(day, "hot_key", at) {
            // The crowd wants the titles that fewest cells hold.
            let mut thin: Vec<&Title> = titles.iter().collect();
            thin.sort_by_key(|title| (title.copies, title.id));
            for _ in 0..drawn_count(day.arrivals.per_s * trouble.size * step, draw) {
                let crowd = (trouble.extra.max(1.0) as usize).min(thin.len());
                let title = *thin[(draw.share() * crowd as f64) as usize];
                plans.push(plan(day, title, at + step * draw.share(), draw));
            }
        }
        at += step;
    }
    plans
}

fn shape(day: &Day, along: f64) -> f64 {
    match day.arrivals.shape.as_str() {
        "ramp" => 0.5 + along,
        "wave" => 1.0 - 0.5 * (2.0 * std::f64::consts::PI * along).cos(),
        _ => 1.0,
    }
}

fn active<'a>(day: &'a Day, kind: &'a str, at: f64) -> impl Iterator<Item = &'a Trouble> {
    let of_kind = day.troubles.iter().map(|(_, trouble)| trouble).filter(move |trouble| trouble.kind == kind);
    of_kind.filter(move |trouble| at >= trouble.at_s && at < trouble.at_s + trouble.for_s)
}

fn bursts(day: &Day, at: f64) -> f64 {
    active(day, "burst", at).map(|trouble| trouble.size).product()
}

/// A whole number whose mean is `mean`, for small means (Knuth's way to draw from Poisson's distribution).
fn drawn_count(mean: f64, draw: &mut Draw) -> usize {
    let (bound, mut product, mut count) = ((-mean).exp(), draw.share(), 0);
    while product > bound && count < 1000 {
        product *= draw.share();
        count += 1;
    }
    count
}

fn plan(day: &Day, title: Title, at: f64, draw: &mut Draw) -> Plan {
    let kind = &day.kinds[title.room_type];
    let rungs = day.shared.ladder.rates_kb.len() as u8;
    let top = day.shared.room_types[title.room_type].1.top.unwrap_or(rungs - 1);
    let floor = day.shared.room_types[title.room_type].1.floor;
    let small = draw.share() < day.arrivals.small_screens;
    let max_rung = if small { (rungs / 2).min(top).max(floor) } else { top };
    Plan {
        at: Duration::from_secs_f64(at),
        title: title.id,
        room_type: title.room_type,
        max_rung,
        life: Duration::from_secs_f64(draw.between(kind.life_s[0], kind.life_s[1])),
        hints: day.arrivals.hints,
        zone: (draw.share() * day.shared.fleet.zones.len() as f64) as usize,
    }
}

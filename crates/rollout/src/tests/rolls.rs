//! Whole rolls in simulated time: builds that are alike, and builds that are worse in one way each.

use std::time::Duration;

use badgerledge_core::random::Rng;

use super::limits;
use crate::{judge, Controller, Counted, Measure, Place, Plan, Stage, Verdict};

/// What is wrong with the new build.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Worse {
    Alike,
    /// So much more of its joins are lost.
    Loses(f64),
    /// So much more of its answers are late.
    Late(f64),
    /// It loses them in one zone, or of one room type, only.
    InZone(f64),
    OfRoomType(f64),
    /// It begins to lose them after a minute.
    AfterAMinute(f64),
}

const LOOK: f64 = 5.0;
const SHARES: [f64; 4] = [0.05, 0.2, 0.5, 1.0];
/// Of what comes, the part of the second room type.
const SECOND: f64 = 0.3;
/// A stage that has told nothing by then is let go on by its operator, as far as this model goes.
const GIVES_UP: f64 = 1800.0;

struct One {
    place: Place,
    /// Requests a second: some see several times the mean.
    pace: f64,
    /// Its own part of joins lost and of answers late.
    loses: f64,
    late: f64,
    changed_at: Option<f64>,
    counted: [Counted; 2],
    base: [Counted; 2],
}

/// A draw from Poisson's law, by the normal one where there are many.
fn poisson(chance: &mut Rng, mean: f64) -> u64 {
    if mean > 50.0 {
        return (mean + mean.sqrt() * normal(chance)).round().max(0.0) as u64;
    }
    let (bound, mut product, mut count) = ((-mean).exp(), chance.unit_interval(), 0);
    while product > bound && count < 1000 {
        product *= chance.unit_interval();
        count += 1;
    }
    count
}

fn normal(chance: &mut Rng) -> f64 {
    (0..12).map(|_| chance.unit_interval()).sum::<f64>() - 6.0
}

fn fleet(chance: &mut Rng, members: u16) -> Vec<One> {
    let zones: Vec<f64> = (0..3).map(|_| (0.3 * normal(chance)).exp()).collect();
    let one = |member: u16| {
        let zone = member % 3;
        let own =
            |chance: &mut Rng, usual: f64| usual * zones[usize::from(zone)] * (0.4 * normal(chance)).exp();
        let (loses, late) = (own(chance, 0.01).min(0.3), own(chance, 0.02).min(0.3));
        let pace = 1.5 * (0.6 * normal(chance)).exp();
        let (changed_at, counted, base) = (None, Default::default(), Default::default());
        One { place: Place { member, zone }, pace, loses, late, changed_at, counted, base }
    };
    (0..members).map(one).collect()
}

impl One {
    /// What comes in one look's time; `stress` is what all suffer now.
    fn serves(&mut self, chance: &mut Rng, now: f64, worse: Worse, stress: f64) {
        for room_type in 0..2 {
            let share = if room_type == 1 { SECOND } else { 1.0 - SECOND };
            let asked = poisson(chance, self.pace * share * LOOK);
            let more = match (self.changed_at, worse) {
                (None, _) | (_, Worse::Alike | Worse::Late(_)) => 0.0,
                (_, Worse::Loses(more)) => more,
                (_, Worse::InZone(more)) => {
                    if self.place.zone == 1 {
                        more
                    } else {
                        0.0
                    }
                }
                (_, Worse::OfRoomType(more)) => {
                    if room_type == 1 {
                        more
                    } else {
                        0.0
                    }
                }
                (Some(at), Worse::AfterAMinute(more)) => {
                    if now > at + 60.0 {
                        more
                    } else {
                        0.0
                    }
                }
            };
            let late = match (self.changed_at, worse) {
                (Some(_), Worse::Late(more)) => more,
                _ => 0.0,
            };
            // One that has just begun knows nothing yet, and loses more whatever its build.
            let young = if self.changed_at.is_some_and(|at| now < at + 10.0) { 0.05 } else { 0.0 };
            let lost =
                poisson(chance, asked as f64 * (self.loses * stress + more + young).min(1.0)).min(asked);
            let late = poisson(chance, asked as f64 * (self.late * stress + late).min(1.0)).min(asked);
            let unserved = asked as f64 * 1000.0 * (0.1 + 0.02 * normal(chance)).clamp(0.0, 1.0);
            let fresh = Counted {
                asked,
                joins: asked,
                lost,
                late,
                offered: asked * 1000,
                served: asked * 1000 - (unserved as u64).min(asked * 1000),
                ..Counted::default()
            };
            self.counted[room_type] = self.counted[room_type].plus(&fresh);
        }
    }

    fn controller(&self) -> Controller {
        let since = (0..2).map(|n| self.counted[n].since(&self.base[n])).collect();
        let Place { member, zone } = self.place;
        Controller { member, zone, new: self.changed_at.is_some(), since, ..Controller::default() }
    }
}

/// What a roll came to: the stage that stopped it, when, and how many of those who asked at new controllers were harmed
/// until then (by what the new build does more).
struct Came {
    stopped: Option<(usize, Measure)>,
    at: f64,
    harmed: f64,
    waited: bool,
}

fn roll(seed: u64, members: u16, worse: Worse, judged: &dyn Fn(&Stage) -> Verdict) -> Came {
    let mut chance = Rng(seed.wrapping_mul(0x9e37_79b9).wrapping_add(u64::from(members)));
    let mut all = fleet(&mut chance, members);
    let places: Vec<Place> = all.iter().map(|one| one.place).collect();
    // Of a small fleet the first stages would be empty.
    let shares: Vec<f64> =
        SHARES.iter().copied().filter(|share| share * f64::from(members) / 3.0 >= 0.5).collect();
    let plan = Plan::new(seed as u32, &places, &shares, &[]).expect("a plan");
    let (mut now, mut harmed, mut waited) = (0.0, 0.0, false);
    for (stage, changes) in plan.stages().iter().enumerate() {
        let begun = now;
        all.iter_mut()
            .filter(|one| changes.contains(&one.place.member))
            .for_each(|one| one.changed_at = Some(now));
        // Counts are compared from the time on that the last restarted one has learned its streamers.
        while now < begun + 20.0 {
            now += LOOK;
            all.iter_mut().for_each(|one| one.serves(&mut chance, now, worse, 1.0));
        }
        all.iter_mut().for_each(|one| one.base = one.counted);
        // In one roll of four a burst hits all for half a minute.
        let burst = (chance.unit_interval() < 0.25).then(|| now + 60.0 * chance.unit_interval());
        loop {
            now += LOOK;
            let stress = if burst.is_some_and(|at| now > at && now < at + 30.0) { 3.0 } else { 1.0 };
            all.iter_mut().for_each(|one| one.serves(&mut chance, now, worse, stress));
            let controllers: Vec<Controller> = all.iter().map(One::controller).collect();
            let new: u64 = controllers
                .iter()
                .filter(|controller| controller.new)
                .flat_map(|controller| &controller.since)
                .map(|c| c.asked)
                .sum();
            let usual =
                [(Measure::JoinsLost, 0.011), (Measure::Late, 0.022), (Measure::Unserved, 0.1)].into();
            let lasted = Duration::from_secs_f64(now - begun);
            let verdict = judged(&Stage { lasted, controllers, usual, ..Stage::default() });
            let more = match worse {
                Worse::Alike => 0.0,
                Worse::Loses(more) | Worse::Late(more) | Worse::AfterAMinute(more) => more,
                Worse::InZone(more) => more / 3.0,
                Worse::OfRoomType(more) => more * SECOND,
            };
            let end = now > begun + GIVES_UP;
            waited |= end;
            match verdict {
                Verdict::Stop(crate::Evidence::Worse { measure, .. }) => {
                    return Came {
                        stopped: Some((stage, measure)),
                        at: now,
                        harmed: harmed + new as f64 * more,
                        waited,
                    };
                }
                Verdict::Stop(other) => panic!("{other:?}"),
                Verdict::Wait(_) if !end => {}
                _ => {
                    harmed += new as f64 * more;
                    break;
                }
            }
        }
    }
    Came { stopped: None, at: now, harmed, waited }
}

/// A stage lasts twice as long as what it guards against may take to show.
fn ours(stage: &Stage) -> Verdict {
    judge(stage, &crate::Limits { at_least: Duration::from_secs(120), ..limits() })
}

/// Joins lost and of how many, of one side.
fn lost(stage: &Stage, new: bool) -> (f64, f64) {
    let controllers = stage
        .controllers
        .iter()
        .filter(|controller| controller.new == new)
        .flat_map(|controller| &controller.since);
    controllers
        .fold((0.0, 0.0), |(lost, of), counted| (lost + counted.lost as f64, of + counted.joins as f64))
}

fn stops(worse: bool, stage: &Stage) -> Verdict {
    let measure = Measure::JoinsLost;
    match worse {
        true => Verdict::Stop(crate::Evidence::Worse {
            measure,
            zone: None,
            room_type: None,
            more: 0.0,
            deviation: 0.0,
        }),
        false if stage.lasted < limits().at_least => Verdict::Wait(crate::Waits::Time),
        false => Verdict::Pass,
    }
}

/// What is often done: after against before. It stops where the new side loses over half of the harm more than was usual.
fn before_and_after(stage: &Stage) -> Verdict {
    let (bad, of) = lost(stage, true);
    let usual = stage.usual.get(&Measure::JoinsLost).copied().unwrap_or(0.0);
    stops(of > 30.0 && bad / of > usual + 0.015, stage)
}

/// A plain test of two rates at five in a hundred, with each request its own unit, looked at each five seconds.
fn plain_test(stage: &Stage) -> Verdict {
    let ((new, new_of), (old, old_of)) = (lost(stage, true), lost(stage, false));
    let usual = (new + old) / (new_of + old_of).max(1.0);
    let deviation = (usual * (1.0 - usual) * (1.0 / new_of.max(1.0) + 1.0 / old_of.max(1.0))).sqrt();
    stops(old_of > 0.0 && new_of > 30.0 && (new / new_of - old / old_of) > 1.645 * deviation, stage)
}

fn wrong_by(judged: &dyn Fn(&Stage) -> Verdict, seeds: std::ops::Range<u64>, members: u16) -> usize {
    seeds.filter(|seed| roll(*seed, members, Worse::Alike, judged).stopped.is_some()).count()
}

fn wrong_stops(seeds: std::ops::Range<u64>, members: u16) -> usize {
    wrong_by(&ours, seeds, members)
}

#[test]
fn alike_builds_are_let_through_and_worse_ones_are_stopped() {
    assert!(wrong_stops(0..60, 40) <= 2);
    // What is beside it does far worse: the rolls are such that a verdict is not easy.
    assert!(wrong_by(&plain_test, 0..60, 40) > 20 && wrong_by(&before_and_after, 0..60, 40) > 20);
    for worse in [
        Worse::Loses(0.05),
        Worse::Late(0.08),
        Worse::InZone(0.1),
        Worse::OfRoomType(0.12),
        Worse::AfterAMinute(0.08),
    ] {
        let found = (0..12).filter(|seed| roll(*seed, 40, worse, &ours).stopped.is_some()).count();
        assert!(found >= 11, "{worse:?}: {found} of 12");
    }
}

/// Thousands of rolls of one size, printed; run by hand: `cargo test --release -p badgerledge-rollout -- --ignored --nocapture`.
fn rolls_at(members: u16, rolls: u64) {
    let wrong = wrong_stops(0..rolls, members);
    println!("{members} controllers: alike builds stopped in {wrong} of {rolls} rolls");
    let few = rolls / 10;
    let (plain, after) =
        (wrong_by(&plain_test, 0..few, members), wrong_by(&before_and_after, 0..few, members));
    println!("{members} controllers: by a plain test in {plain}, by after against before in {after} of {few} rolls");
    let kinds = [
        Worse::Loses(0.05),
        Worse::Late(0.05),
        Worse::InZone(0.05),
        Worse::OfRoomType(0.05),
        Worse::AfterAMinute(0.05),
    ];
    for worse in kinds {
        let rolls = rolls / 20;
        let came: Vec<Came> = (0..rolls).map(|seed| roll(seed, members, worse, &ours)).collect();
        let found: Vec<&Came> = came.iter().filter(|came| came.stopped.is_some()).collect();
        let mut stages = [0; 4];
        found.iter().filter_map(|came| came.stopped).for_each(|(stage, _)| stages[stage] += 1);
        let middle = |of: &dyn Fn(&Came) -> f64| {
            let mut all: Vec<f64> = found.iter().map(|came| of(came)).collect();
            all.sort_by(f64::total_cmp);
            all.get(all.len() / 2).copied().unwrap_or(f64::NAN)
        };
        let waited = came.iter().filter(|came| came.waited).count();
        println!(
            "{members} controllers, {worse:?}: {} of {rolls} found, by stage {stages:?}, {:.0} s at the median, \
             {:.0} viewers harmed; {waited} waited to the end",
            found.len(),
            middle(&|came| came.at),
            middle(&|came| came.harmed)
        );
    }
}

#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn rolls_at_10() {
    rolls_at(10, 4000);
}

#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn rolls_at_40() {
    rolls_at(40, 4000);
}

#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn rolls_at_300() {
    rolls_at(300, 1500);
}

#[test]
#[ignore = "takes minutes; its figures are on docs/measured.md"]
fn rolls_at_1000() {
    rolls_at(1000, 500);
}

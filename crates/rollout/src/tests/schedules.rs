//! Turns of members, and what a member does about its side.

use std::collections::BTreeMap;

use super::support::{rollout_at, spec};
use crate::{arm_of, duty_of, Arm, Duty, Member, Own, Pace, Rollout, Schedule, Status};

fn on_new(rollout: &Rollout) -> Vec<Member> {
    let zones = |member: Member| ["north", "south", "west"][usize::from(member / 10)];
    (0..30).filter(|member| arm_of(rollout, *member, zones(*member), 0) == Arm::New).collect()
}

#[test]
fn a_wave_changes_so_many_of_a_zone_and_no_more() {
    let schedule = Schedule::new(&spec()).unwrap();
    assert_eq!([0, 1, 2].map(|stage| schedule.waves_in(stage)), [1, 2, 3]);
    let (mut turn, mut before) = ((0, 1), Vec::new());
    loop {
        let now = on_new(&rollout_at(turn.0, turn.1));
        assert!(before.iter().all(|member| now.contains(member)), "nobody goes back on the way forward");
        let mut zones: BTreeMap<Member, usize> = BTreeMap::new();
        let fresh = now.iter().filter(|member| !before.contains(*member));
        fresh.for_each(|member| *zones.entry(member / 10).or_default() += 1);
        assert!(zones.values().all(|fresh| *fresh <= 2));
        before = now;
        match schedule.after(turn) {
            Some(next) => turn = next,
            None => break,
        }
    }
    assert_eq!((turn, before.len()), ((2, 3), 30));
    assert_eq!(
        (schedule.turn_of(4), schedule.turn_of(30)),
        (Some((2, 3)), None),
        "left for last, and unknown"
    );
}

#[test]
fn going_back_takes_back_all_that_changed_and_so_many_of_a_zone_at_once() {
    for (stage, wave) in [(0, 1), (1, 1), (1, 2), (2, 3)] {
        let mut rollout = rollout_at(stage, wave);
        let mut before = on_new(&rollout);
        rollout.progress.status = Status::GoingBack;
        let waves = Schedule::new(&rollout.spec).unwrap().back_waves((stage, wave));
        assert_eq!(waves.keys().copied().collect::<Vec<_>>(), before);
        for back_wave in 1..=*waves.values().max().unwrap() {
            rollout.progress.back_wave = back_wave;
            let now = on_new(&rollout);
            let gone: Vec<&Member> = before.iter().filter(|member| !now.contains(member)).collect();
            let in_zone = |zone: Member| gone.iter().filter(|member| **member / 10 == zone).count();
            assert!((0..3).all(|zone| in_zone(zone) <= 2) && !gone.is_empty());
            before = now;
        }
        assert!(before.is_empty());
    }
}

#[test]
fn a_members_side_rests_on_the_state_alone() {
    let rollout = rollout_at(0, 1);
    let new = on_new(&rollout);
    let (changed, other) = (new[0], (0..30).find(|member| !new.contains(member)).unwrap());
    let zone = rollout.spec.fleet.zone_of(changed).unwrap();
    let own = |runs| Own { zone, runs, restarts: 0 };
    // Whatever it runs when it comes up: it is told the same.
    assert_eq!(duty_of(&rollout, changed, &own(Arm::Old)), Duty::ChangeTo(Arm::New));
    assert_eq!(duty_of(&rollout, changed, &own(Arm::New)), Duty::Stay);
    let zone = rollout.spec.fleet.zone_of(other).unwrap();
    assert_eq!(
        duty_of(&rollout, other, &Own { zone, runs: Arm::New, restarts: 0 }),
        Duty::ChangeTo(Arm::Old)
    );
    for status in [Status::Paused, Status::Stopped] {
        let mut held = rollout.clone();
        held.progress.status = status;
        assert_eq!(on_new(&held), new, "{status} changes nobody's side");
    }
    let mut over = rollout.clone();
    over.progress.status = Status::Back;
    assert!(on_new(&over).is_empty());
    over.progress.status = Status::Done;
    assert_eq!(on_new(&over).len(), 30);
}

#[test]
fn unknown_members_and_those_in_another_zone_stay_until_it_is_done() {
    let mut rollout = rollout_at(2, 3);
    assert_eq!(arm_of(&rollout, 77, "north", 0), Arm::Old);
    assert_eq!(arm_of(&rollout, 3, "south", 0), Arm::Old);
    rollout.progress.status = Status::Done;
    assert_eq!((arm_of(&rollout, 77, "north", 0), arm_of(&rollout, 3, "south", 0)), (Arm::New, Arm::New));
}

#[test]
fn a_member_in_a_crash_loop_goes_back_by_itself_and_stays() {
    let mut rollout = rollout_at(0, 1);
    let changed = on_new(&rollout)[0];
    let zone = rollout.spec.fleet.zone_of(changed).unwrap().to_owned();
    assert_eq!(arm_of(&rollout, changed, &zone, 1), Arm::New);
    for status in [Status::Running, Status::Done] {
        rollout.progress.status = status;
        assert_eq!(arm_of(&rollout, changed, &zone, 2), Arm::Old);
    }
}

#[test]
fn a_crash_loop_goes_back_faster_than_a_small_loss() {
    let spec = spec();
    let (paced, quick) = (spec.back_wave(Pace::Paced), spec.back_wave(Pace::Quick));
    assert!(quick.settle < paced.settle && quick.at_most < paced.at_most);
    assert!(quick.at_most >= spec.ready_within, "the fleet still bears it wave by wave");
}

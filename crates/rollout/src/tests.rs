//! Small tests of plans, counts, verdicts, states and conductors; and whole rolls in simulated time.

mod conductors;
mod plays;
mod rolls;
mod schedules;
mod support;
mod texts;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::measure::MEASURES;
use crate::{
    judge, Controller, CountLog, CountReport, Counted, Evidence, Limits, Measure, Place, Plan, PlanFault,
    ReportFault, Stage, Verdict, Waits,
};

fn secs(n: f64) -> Duration {
    Duration::from_secs_f64(n)
}

fn limits() -> Limits {
    let harm = MEASURES.iter().map(|measure| (*measure, 0.03)).collect();
    Limits { at_least: secs(60.0), harm, alpha: 0.01, stages: 4, restarts: 2 }
}

fn fleet(members: u16) -> Vec<Place> {
    (0..members).map(|member| Place { member, zone: member % 3 }).collect()
}

#[test]
fn stages_take_their_share_of_each_zone_and_restarts_change_no_side() {
    let plan = Plan::new(7, &fleet(60), &[0.05, 0.25, 1.0], &[4, 9]).unwrap();
    let sizes: Vec<usize> = plan.stages().iter().map(Vec::len).collect();
    assert_eq!(sizes, [3, 12, 45]);
    let mut turned = fleet(60);
    turned.reverse();
    assert_eq!(Plan::new(7, &turned, &[0.05, 0.25, 1.0], &[9, 4]).unwrap(), plan);
    assert_ne!(Plan::new(8, &fleet(60), &[0.05, 0.25, 1.0], &[4, 9]).unwrap(), plan);
    assert_eq!((plan.stage_of(4), plan.stage_of(9), plan.stage_of(99)), (Some(2), Some(2), None));
    for stage in 0..3 {
        let in_zone = |zone| plan.stages()[stage].iter().filter(|member| **member % 3 == zone).count();
        assert_eq!((in_zone(0), in_zone(1)), (in_zone(2), in_zone(2)));
    }
    // Each of one in twenty sees little: the first stage takes minutes to see five of a hundred lost.
    let lasts = plan.must_last(0, 1.5, 0.01, 0.05).unwrap();
    assert!(lasts > secs(30.0) && plan.must_last(1, 1.5, 0.01, 0.05).unwrap() < lasts);
}

#[test]
fn plans_that_are_not_in_order_are_refused_with_their_place() {
    let plan = |shares: &[f64], last: &[u16]| Plan::new(1, &fleet(30), shares, last).unwrap_err();
    assert_eq!(plan(&[0.5, 0.2, 1.0], &[]), PlanFault::Share(1, 0.2));
    assert_eq!(plan(&[0.5, 1.5], &[]), PlanFault::Share(1, 1.5));
    assert!(matches!(plan(&[f64::NAN, 1.0], &[]), PlanFault::Share(0, _)));
    assert_eq!(plan(&[0.1, 0.9], &[]), PlanFault::Unfinished(0.9));
    assert_eq!(plan(&[0.01, 1.0], &[]), PlanFault::Empty(0));
    assert_eq!(plan(&[0.1, 1.0], &[30]), PlanFault::Unknown(30));
    assert_eq!(plan(&[], &[]), PlanFault::Nothing);
    let twice = [Place { member: 3, zone: 0 }, Place { member: 3, zone: 1 }];
    assert_eq!(Plan::new(1, &twice, &[1.0], &[]), Err(PlanFault::Twice(3)));
}

fn report(life: u32, asked: u64, lost: u64) -> CountReport {
    let counted = Counted { asked, joins: asked, lost, ..Counted::default() };
    CountReport { life, by_room_type: vec![counted] }
}

#[test]
fn late_doubled_and_lost_words_do_no_harm() {
    let mut log = CountLog::new(100.0);
    for (at, report) in
        [(1.0, report(5, 10, 1)), (3.0, report(5, 30, 2)), (3.1, report(5, 10, 1)), (3.2, report(5, 30, 2))]
    {
        log.take(secs(at), 1, &report).unwrap();
    }
    assert_eq!(log.of(1)[0].asked, 30);
    // It began anew: what it counted before stays counted, and a word of its former life changes nothing.
    log.take(secs(5.0), 1, &report(9, 4, 0)).unwrap();
    log.take(secs(5.1), 1, &report(5, 90, 9)).unwrap();
    assert_eq!((log.of(1)[0].asked, log.of(1)[0].lost, log.life(1)), (34, 2, Some(9)));
}

#[test]
fn words_that_cannot_be_true_are_refused() {
    let mut log = CountLog::new(100.0);
    assert_eq!(log.take(secs(1.0), 1, &report(1, 5, 6)), Err(ReportFault::Parts));
    let long = CountReport { life: 1, by_room_type: vec![Counted::default(); 17] };
    assert_eq!(log.take(secs(1.0), 1, &long), Err(ReportFault::RoomTypes(17, 16)));
    log.take(secs(1.0), 1, &report(1, 5, 0)).unwrap();
    assert_eq!(log.take(secs(2.0), 1, &report(1, 50_000, 0)), Err(ReportFault::TooMany));
    assert_eq!(log.of(1)[0].asked, 5);
}

/// A stage of so many controllers on each side; the new ones lose so many of their joins, the old ones so many.
fn stage(each: u16, asked: u64, new_lost: u64, old_lost: u64) -> Stage {
    let controller = |n: u16| {
        let new = n < each;
        let lost = if new { new_lost } else { old_lost };
        let counted = Counted {
            asked,
            joins: asked,
            lost,
            offered: asked * 1000,
            served: asked * 900,
            ..Counted::default()
        };
        Controller { member: n, zone: n % 2, new, since: vec![counted], ..Controller::default() }
    };
    let usual = BTreeMap::from([(Measure::JoinsLost, 0.01)]);
    Stage {
        lasted: secs(120.0),
        controllers: (0..2 * each).map(controller).collect(),
        usual,
        ..Stage::default()
    }
}

#[test]
fn guards_stop_at_once_and_comparisons_name_their_evidence() {
    let good = stage(20, 400, 4, 4);
    assert_eq!(judge(&good, &limits()), Verdict::Pass);
    let early = Stage { lasted: secs(30.0), ..good.clone() };
    assert_eq!(judge(&early, &limits()), Verdict::Wait(Waits::Time));
    let guard = |change: fn(&mut Controller)| {
        let mut stage = stage(20, 1, 0, 0);
        change(&mut stage.controllers[3]);
        judge(&stage, &limits())
    };
    assert_eq!(guard(|controller| controller.restarts = 2), Verdict::Stop(Evidence::CrashLoop(3)));
    assert_eq!(guard(|controller| controller.not_ready = true), Verdict::Stop(Evidence::NotReady(3)));
    assert_eq!(guard(|controller| controller.broke_a_rule = true), Verdict::Stop(Evidence::BrokeARule(3)));
    assert_eq!(guard(|controller| controller.near_a_limit = true), Verdict::Stop(Evidence::NearALimit(3)));
    assert_eq!(guard(|controller| controller.refuses = true), Verdict::Stop(Evidence::Refuses(3)));
    let worse = judge(&stage(20, 400, 24, 4), &limits());
    let Verdict::Stop(Evidence::Worse { measure, zone: None, more, .. }) = worse else { panic!("{worse:?}") };
    assert!(measure == Measure::JoinsLost && (0.04..0.06).contains(&more));
}

#[test]
fn without_evidence_the_verdict_waits_and_says_for_what() {
    assert_eq!(judge(&stage(4, 20, 0, 0), &limits()), Verdict::Wait(Waits::TooFew(Measure::JoinsLost)));
    let mut silent = stage(20, 400, 4, 4);
    silent.controllers[5].silent = true;
    assert_eq!(judge(&silent, &limits()), Verdict::Wait(Waits::Silent(5)), "silence is not health");
    let mut troubled = stage(20, 400, 40, 4);
    troubled.troubled = [0, 1].into();
    assert_eq!(judge(&troubled, &limits()), Verdict::Wait(Waits::Zones));
    // The first stage is hit by a crash of its streamers, and so are the others: the roll is not stopped for good.
    assert_eq!(
        judge(&stage(20, 400, 80, 40), &limits()),
        Verdict::Wait(Waits::BothSuffer(Measure::JoinsLost))
    );
}

/// One liar on the old side that claims to lose everything, or nothing, neither stops nor passes a roll by itself.
#[test]
fn a_liar_alone_changes_no_verdict() {
    for lost in [0, 400] {
        let mut good = stage(20, 400, 4, 4);
        good.controllers[25].since[0].lost = lost;
        assert!(!matches!(judge(&good, &limits()), Verdict::Stop(_)));
        let mut bad = stage(20, 400, 60, 4);
        bad.controllers[25].since[0].lost = lost;
        assert_ne!(judge(&bad, &limits()), Verdict::Pass);
    }
    let mut good = stage(20, 400, 4, 4);
    good.controllers[3].since[0].lost = 400;
    let verdict = judge(&good, &limits());
    assert!(!matches!(verdict, Verdict::Stop(_)), "{verdict:?}");
}

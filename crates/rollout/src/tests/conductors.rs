//! One conductor, step by step.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerledge_deployment::{Shared, SHARED_SECTIONS};
use badgerledge_distribution::change::{admit, Change, History, Rejection};
use badgerledge_distribution::state::{Entry, State};
use badgerledge_distribution::{Signature, Signer};
use badgerledge_settings::Sheet;

use super::support::{report, rollout_at, spec, spec_of, PLAN};
use crate::{
    apply, derive, epoch_key, Arm, Conductor, Decision, Member, Now, Order, Pace, Proposal, Read, Refusal,
    Reports, Rollout, Schedule, Status, Wait, Waits,
};

fn at(seconds: u64) -> Now {
    Now { clock: Duration::from_secs(seconds), unix_s: 1_764_600_000 + seconds }
}

fn read(rollout: &Rollout) -> Read {
    Read { revision: 40, rollout: Some(rollout.clone()) }
}

/// What a state becomes by a proposal.
fn after(rollout: &Rollout, proposal: &Proposal) -> Rollout {
    let mut entries: std::collections::BTreeMap<String, Vec<u8>> =
        rollout.entries().into_iter().map(|entry| (entry.key, entry.value)).collect();
    for edit in proposal.edits.clone() {
        match edit.value {
            Some(value) => drop(entries.insert(edit.key, value)),
            None => drop(entries.remove(&edit.key)),
        }
    }
    let told = entries.iter().map(|(key, value)| (key.as_str(), std::str::from_utf8(value).unwrap()));
    Rollout::of_entries(told).unwrap().unwrap()
}

/// A conductor beside a fleet that does as it is told.
struct Rig {
    conductor: Conductor,
    rollout: Rollout,
    /// Joins lost of a thousand, on the new side.
    loses: u64,
    silent: BTreeSet<Member>,
    second: u64,
    change: Says,
}

/// What the new side says beside its counts.
type Says = fn(&mut crate::Report);

impl Rig {
    fn new(rollout: Rollout) -> Self {
        let conductor = Conductor::new(100.0);
        Self { conductor, rollout, loses: 10, silent: BTreeSet::new(), second: 0, change: |_| {} }
    }

    fn look(&mut self) -> Decision {
        self.conductor.decide(at(self.second), &read(&self.rollout), &BTreeSet::new(), None)
    }

    fn words(&mut self) {
        let schedule = Schedule::new(&self.rollout.spec).unwrap();
        for member in (0..30).filter(|member| !self.silent.contains(member)) {
            let arm = schedule.arm_of(&self.rollout.progress, member);
            let asked = self.second * 20;
            let lost = if arm == Arm::New { asked * self.loses / 1000 } else { asked / 100 };
            let mut word = report(member, arm, self.second, asked, lost);
            word.epoch = self.rollout.progress.epoch;
            if arm == Arm::New {
                (self.change)(&mut word);
            }
            self.conductor.take(Duration::from_secs(self.second), word).unwrap();
        }
    }

    /// Goes on for so long, or until it proposes something: what it decided last.
    fn run(&mut self, seconds: u64) -> Decision {
        let mut decision = Decision::default();
        for _ in 0..seconds {
            self.second += 1;
            self.words();
            decision = self.look();
            if decision.proposal.is_some() {
                break;
            }
        }
        decision
    }

    fn apply(&mut self, proposal: &Proposal) {
        self.rollout = after(&self.rollout, proposal);
    }
}

#[test]
fn a_stage_lasts_its_time_and_then_advances_by_one() {
    let mut rig = Rig::new(rollout_at(0, 1));
    let decision = rig.run(50);
    assert_eq!((decision.proposal, decision.waits), (None, Some(Wait::Verdict(Waits::Time))));
    let proposal = rig.run(300).proposal.unwrap();
    assert!((60..=62).contains(&rig.second), "{}", rig.second);
    let to = after(&rig.rollout, &proposal);
    assert_eq!(
        (to.progress.status, to.progress.stage, to.progress.wave, to.progress.epoch),
        (Status::Running, 1, 1, 6)
    );
    assert_eq!(to.spec, rig.rollout.spec);
    assert_eq!(proposal.base, 40);
    assert!(proposal.edits.iter().any(|edit| edit.key == epoch_key()));
}

#[test]
fn a_good_roll_comes_to_its_end_and_a_settings_roll_leaves_its_values() {
    let text = PLAN.replace("program = 2026.12.2\nwire = 3, 4\n", "")
        + "[rollout settings]\nrules/warm_up_ms = 5000\n";
    let mut rollout = rollout_at(0, 1);
    rollout.spec = spec_of(&text);
    let mut rig = Rig::new(rollout);
    let mut steps = Vec::new();
    while !rig.rollout.progress.status.is_over() {
        let proposal = rig.run(400).proposal.expect("it goes on");
        rig.apply(&proposal);
        steps.push((rig.rollout.progress.stage, rig.rollout.progress.wave));
        let settled = proposal.edits.iter().any(|edit| edit.key == "rules\twarm_up_ms");
        assert_eq!(settled, rig.rollout.progress.status == Status::Done);
    }
    assert_eq!(steps, [(1, 1), (1, 2), (2, 1), (2, 2), (2, 3), (2, 3)]);
    assert_eq!(rig.rollout.progress.status, Status::Done);
    assert_eq!(rig.run(100).proposal, None);
}

#[test]
fn a_worse_side_goes_back_at_once_and_by_waves() {
    let mut rig = Rig::new(rollout_at(1, 2));
    rig.loses = 80;
    let proposal = rig.run(400).proposal.unwrap();
    rig.apply(&proposal);
    let progress = &rig.rollout.progress;
    assert_eq!((progress.status, progress.pace, progress.back_wave), (Status::GoingBack, Pace::Paced, 1));
    assert!(progress.why.starts_with("joins_lost is worse by 0.0"), "{}", progress.why);
    let mut times = vec![rig.second];
    while rig.rollout.progress.status == Status::GoingBack {
        let proposal = rig.run(400).proposal.unwrap();
        rig.apply(&proposal);
        times.push(rig.second);
    }
    assert_eq!(rig.rollout.progress.status, Status::Back);
    // Each wave settles for ten seconds; five of a zone go back two at once.
    assert_eq!(times.len(), 4);
    assert!(times.windows(2).all(|two| two[1] - two[0] >= 10));
}

#[test]
fn guards_stop_at_once_and_name_the_member() {
    let guards: [(Says, &str, Pace); 4] = [
        (|word| word.restarts = 2, "is in a crash loop", Pace::Quick),
        (|word| word.broke_a_rule = true, "broke a rule by its own count", Pace::Paced),
        (|word| word.near_a_limit = true, "is near a limit of its resources", Pace::Paced),
        (|word| word.refuses = true, "refuses its revision", Pace::Paced),
    ];
    for (change, why, pace) in guards {
        let mut rig = Rig::new(rollout_at(0, 1));
        rig.change = change;
        let proposal = rig.run(1).proposal.unwrap();
        rig.apply(&proposal);
        assert_eq!((rig.rollout.progress.status, rig.rollout.progress.pace), (Status::GoingBack, pace));
        assert!(rig.rollout.progress.why.ends_with(why), "{}", rig.rollout.progress.why);
    }
    // What did not change in time is told from its own word, and not before it knows that it is to change.
    let mut rig = Rig::new(rollout_at(0, 1));
    rig.change = |word| word.arm = Arm::Old;
    assert!(rig.run(30).proposal.is_none());
    let proposal = rig.run(1).proposal.unwrap();
    rig.apply(&proposal);
    assert!(rig.rollout.progress.why.ends_with("is not ready on the new side in time"));
    let mut rig = Rig::new(rollout_at(0, 1));
    rig.change = |word| (word.arm, word.epoch, word.restarts) = (Arm::Old, 4, 2);
    assert!(rig.run(200).proposal.is_none());
}

#[test]
fn after_a_stop_only_an_operator_moves_it() {
    let mut rollout = rollout_at(0, 1);
    rollout.spec.after_stop = crate::AfterStop::Wait;
    let mut rig = Rig::new(rollout);
    rig.change = |word| word.broke_a_rule = true;
    let proposal = rig.run(1).proposal.unwrap();
    rig.apply(&proposal);
    assert_eq!(rig.rollout.progress.status, Status::Stopped);
    rig.change = |_| {};
    let decision = rig.run(500);
    assert_eq!((decision.proposal, decision.waits), (None, Some(Wait::Operator(Status::Stopped))));
    let order = |order: &Order, rollout: &Rollout| after(rollout, &apply(&read(rollout), order, 1).unwrap());
    rig.rollout = order(&Order::GoOn, &rig.rollout);
    assert_eq!(rig.rollout.progress.status, Status::Running);
    rig.rollout = order(&Order::Pause, &rig.rollout);
    let decision = rig.run(500);
    assert_eq!((decision.proposal, decision.waits), (None, Some(Wait::Operator(Status::Paused))));
    // What is paused is still guarded.
    rig.change = |word| word.broke_a_rule = true;
    let proposal = rig.run(1).proposal.unwrap();
    rig.apply(&proposal);
    assert_eq!(rig.rollout.progress.status, Status::Stopped);
}

#[test]
fn cut_off_from_a_part_it_waits() {
    let mut rig = Rig::new(rollout_at(0, 1));
    rig.run(20);
    let new: Vec<Member> = Schedule::new(&spec()).unwrap().released((0, 1)).collect();
    // Old members alone: nothing that changed is silent.
    rig.silent = (10..20).filter(|member| !new.contains(member)).collect();
    let decision = rig.run(300);
    assert_eq!((decision.proposal, decision.waits), (None, Some(Wait::CutOff { zone: 1, silent: 9 })));
    rig.silent.clear();
    assert!(rig.run(60).proposal.is_some());
    // One of ten may be silent, but not a changed one: silence is not health.
    let mut rig = Rig::new(rollout_at(0, 1));
    rig.silent = [new[0]].into();
    let decision = rig.run(300);
    assert_eq!((decision.proposal, decision.waits), (None, Some(Wait::Member(new[0]))));
    // Going back waits for half of the fleet, and for one silent member only so long.
    let mut rollout = rollout_at(0, 1);
    (rollout.progress.status, rollout.progress.back_wave) = (Status::GoingBack, 1);
    let mut rig = Rig::new(rollout);
    rig.silent = (0..15).collect();
    assert_eq!(rig.run(600).waits, Some(Wait::FleetSilent(15)));
    rig.silent = [new[0]].into();
    assert!(rig.run(60).proposal.is_some());
    let most = rig.rollout.spec.back_wave(Pace::Paced).at_most;
    assert!(Duration::from_secs(rig.second) >= most);
}

/// Not the last wave of its stage, so that no verdict is asked for.
#[test]
fn a_wave_waits_for_a_changed_member_that_fell_silent() {
    let mut rollout = rollout_at(1, 1);
    rollout.spec.settle = Duration::from_secs(30);
    let mut rig = Rig::new(rollout);
    rig.run(8);
    let first = Schedule::new(&spec()).unwrap().released((0, 1)).next().unwrap();
    rig.silent = [first].into();
    let decision = rig.run(200);
    assert_eq!((decision.proposal, decision.waits), (None, Some(Wait::Member(first))));
    rig.silent.clear();
    let decision = rig.run(5);
    assert!(decision.proposal.is_some(), "{decision:?}");
}

#[test]
fn another_conductor_takes_over_from_the_state_alone() {
    let mut rig = Rig::new(rollout_at(0, 1));
    rig.run(55);
    let begun = rig.second;
    rig.conductor = Conductor::new(100.0);
    let proposal = rig.run(400).proposal.unwrap();
    // Its own time counts anew, and the evidence too: at most the least duration later, and never sooner.
    assert!((60..=62).contains(&(rig.second - begun)), "{}", rig.second - begun);
    assert_eq!(after(&rig.rollout, &proposal).progress.stage, 1);
}

#[test]
fn a_read_that_is_older_than_the_last_one_moves_nothing() {
    let mut rig = Rig::new(rollout_at(0, 1));
    rig.run(1);
    rig.rollout.progress.epoch = 4;
    let decision = rig.conductor.decide(at(2), &read(&rig.rollout), &BTreeSet::new(), Some(&Order::Pause));
    assert_eq!(
        decision,
        Decision { waits: Some(Wait::StaleRead { epoch: 4, known: 5 }), ..Decision::default() }
    );
}

#[test]
fn old_and_doubled_words_change_nothing_and_make_nobody_fresh() {
    let (mut reports, at) = (Reports::new(100.0), Duration::from_secs);
    reports.take(at(10), report(3, Arm::New, 5, 50, 0)).unwrap();
    reports.take(at(15), report(3, Arm::Old, 4, 40, 9)).unwrap();
    reports.take(at(16), report(3, Arm::New, 5, 50, 0)).unwrap();
    let last = reports.last(3).unwrap();
    assert_eq!((last.report.arm, last.at, last.ready_since), (Arm::New, at(10), Some(at(10))));
    assert_eq!((reports.counted(3)[0].asked, reports.counted(3)[0].lost), (50, 0));
    assert!(reports.fresh(at(20), 3, at(10)).is_some() && reports.fresh(at(21), 3, at(10)).is_none());
    // Another word of the same life keeps what it settles from; another life begins anew, whatever its number.
    reports.take(at(22), report(3, Arm::New, 6, 60, 0)).unwrap();
    assert!(reports.last(3).unwrap().is_settled(at(22), Arm::New, at(12)));
    let mut born = report(3, Arm::New, 1, 1, 0);
    born.said.life = 2;
    reports.take(at(23), born).unwrap();
    assert!(!reports.last(3).unwrap().is_settled(at(34), Arm::New, at(12)));
    assert!(reports.last(3).unwrap().is_settled(at(35), Arm::New, at(12)));
}

#[test]
fn orders_are_taken_where_they_make_sense() {
    let rollout = rollout_at(0, 1);
    let refusal = |status: Status, order: &Order| {
        let mut rollout = rollout.clone();
        rollout.progress.status = status;
        apply(&read(&rollout), order, 1).err()
    };
    let start = |number: u32| {
        let mut spec = spec();
        spec.number = number;
        Order::Start(Box::new(spec))
    };
    let none = Read { revision: 3, rollout: None };
    assert_eq!(apply(&none, &Order::Pause, 1), Err(Refusal::NoRoll));
    assert_eq!(apply(&none, &start(1), 1).unwrap().base, 3);
    assert_eq!(refusal(Status::Running, &start(8)), Some(Refusal::UnderWay(7, Status::Running)));
    assert_eq!(refusal(Status::Done, &start(7)), Some(Refusal::Number(7)));
    assert_eq!(refusal(Status::Back, &start(8)), None);
    assert_eq!(
        refusal(Status::Running, &Order::GoOn),
        Some(Refusal::Status(Status::Running, "paused or stopped"))
    );
    for status in [Status::GoingBack, Status::Back, Status::Done] {
        for order in [Order::Pause, Order::GoOn, Order::Stop, Order::Back] {
            assert!(matches!(refusal(status, &order), Some(Refusal::Status(..))), "{status}: {order:?}");
        }
    }
    assert_eq!(refusal(Status::Stopped, &Order::Back), None);
}

/// Two changes from one state by the tier's own rule: the second is rejected by the epoch's key.
#[test]
fn the_distribution_tier_takes_one_of_two_changes_from_one_state() {
    struct Anyone;
    impl Signer for Anyone {
        fn sign(&self, _: &[u8]) -> Signature {
            [0; 64]
        }
        fn verify_member(&self, _: u16, _: &[u8], _: &Signature) -> bool {
            true
        }
        fn verify_author(&self, _: u16, _: &[u8], _: &Signature) -> bool {
            true
        }
        fn verify_author_any_key(&self, _: u16, _: &[u8], _: &Signature) -> bool {
            true
        }
        fn members(&self) -> &[u16] {
            &[]
        }
        fn acceptors(&self) -> &[u16] {
            &[]
        }
    }
    let rollout = rollout_at(0, 1);
    let change = |author: u16, order: Order| {
        let proposal = apply(&read(&rollout), &order, 1).unwrap();
        Change::sign(author, 1, proposal.base, proposal.edits, |_| [0; 64])
    };
    let mut history = History::new(30, 100);
    (31..=40).for_each(|number| history.record(number, &[]));
    let state = State::from_entries(Vec::<Entry>::new()).unwrap();
    let (first, second) = (change(1, Order::Stop), change(2, Order::Pause));
    assert_eq!(admit(&first, &state, &history, 40, &Anyone), Ok(()));
    history.record(41, &first.edits);
    let rejected = admit(&second, &state, &history, 41, &Anyone).unwrap_err();
    assert!(matches!(rejected, Rejection::Conflict { base: 40, changed_in: 41, .. }), "{rejected}");
}

#[test]
fn the_pace_comes_from_the_settings_that_the_fleet_bears() {
    let text = "\
[fleet]
zones = north
kinds = small
kind_streams = 20
cells = 12
racks = 4
link_unit_kb = 1000
links_kb = 12000
uplink_kb = 3000
[ladder]
rates_kb = 100
benefit = 1
[room_type clip]
join_objective_ms = 1500
client_timeout_ms = 4000
benefit = 1
[rules]
warm_up_ms = 20500
cold_from = 0.25
[permissions]
max_retry_after_ms = 3000
";
    let sheet = Sheet::parse("fleet.ini", text).unwrap();
    assert!(sheet.only(&SHARED_SECTIONS).is_ok());
    let pace = derive(&Shared::of(&sheet).unwrap());
    // A client's wait, the longest time to stay away and the warm-up: 4 + 3 + 20.5 s.
    assert_eq!((pace.at_once_share, pace.settle.as_secs()), (0.25, 28));
    let mut spec = spec();
    (spec.at_once, spec.at_once_share) = (100, pace.at_once_share);
    assert_eq!(spec.at_once_of(10), 2, "a quarter of ten");
    spec.at_once_share = 0.0;
    assert_eq!(spec.at_once_of(10), 1, "or nothing would move");
}

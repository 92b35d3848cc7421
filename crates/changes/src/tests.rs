//! What becomes of subscriptions under changes.

use std::time::Duration;

use badgerledge_catalogue::Catalogue;
use badgerledge_core::interface::{StreamerId, SubscriptionRequest};
use badgerledge_deployment::Shared;
use badgerledge_settings::Sheet;
use quickcheck::{Gen, QuickCheck};

use crate::{arrange, outcome, Action, Configuration, MoveSchedule, Stage, Subscription};

const TEXT: &str = "\
[fleet]
zones = north, south
kinds = small
kind_streams = 20
cells = 6
racks = 2
link_unit_kb = 100
links_kb = 600
uplink_kb = 300
[ladder]
rates_kb = 10, 20, 40
benefit = 0.3, 0.6, 1
[room_type clip]
join_objective_ms = 1000
client_timeout_ms = 2000
benefit = 1
[room_type show]
join_objective_ms = 1000
client_timeout_ms = 2000
benefit = 3
top = 2
";
const TITLE: &str = "[title 7]\nroom_type = clip\nfirst_cell = 0\ncopies = 2\n";

fn shared(text: &str) -> Shared {
    Shared::of(&Sheet::parse("shared", text).unwrap()).unwrap()
}

fn titles(text: &str) -> Catalogue {
    Catalogue::from_sections(&Sheet::parse("titles", text).unwrap()).unwrap()
}

fn under(stage: Stage) -> Subscription {
    let asked = SubscriptionRequest { title: 7, copies: 2, max_rung: 9, ..SubscriptionRequest::default() };
    Subscription { asked, stage }
}

const STAGES: [Stage; 4] = [
    Stage::Waits,
    Stage::Joins { cell: Some(1), sent: false },
    Stage::Joins { cell: Some(1), sent: true },
    Stage::Plays { cell: Some(1) },
];

fn actions(told: &Shared, text: &str) -> [Action; 4] {
    let titles = titles(text);
    STAGES.map(|stage| outcome(&under(stage), Configuration { shared: told, titles: &titles }).action)
}

#[test]
fn what_is_not_touched_goes_on() {
    assert_eq!(actions(&shared(TEXT), TITLE), [Action::GoesOn; 4]);
    let more = TEXT.replace("zones = north, south", "zones = north, west") + "[room_type new]\n";
    let more = more + "join_objective_ms = 1\nclient_timeout_ms = 2\nbenefit = 1\n";
    let told = arrange(&shared(TEXT), shared(&more)).unwrap();
    assert_eq!(actions(&told, TITLE), [Action::GoesOn; 4]);
}

/// A title that lies elsewhere: what waits is placed there, what has not left is taken back, what plays is moved.
#[test]
fn a_title_that_lies_elsewhere() {
    let moved = TITLE.replace("first_cell = 0", "first_cell = 3");
    let wanted = [Action::GoesOn, Action::Withdrawn, Action::MovesOn, Action::MovesOn];
    assert_eq!(actions(&shared(TEXT), &moved), wanted);
    let titles = titles(&moved);
    let told = shared(TEXT);
    let placement = outcome(&under(Stage::Waits), Configuration { shared: &told, titles: &titles }).placement;
    assert_eq!(placement, (3, 2));
    // One cell more on the one side, and it still lies where it plays.
    let next = TITLE.replace("first_cell = 0", "first_cell = 1");
    assert_eq!(actions(&told, &next), [Action::GoesOn; 4]);
    // A streamer that the list has left out is of no known cell: it is left alone.
    let unknown = under(Stage::Plays { cell: None });
    assert_eq!(outcome(&unknown, Configuration { shared: &told, titles: &titles }).action, Action::GoesOn);
}

/// A title or a room type that is gone: what waits for it is answered, what plays plays out and nothing moves it.
#[test]
fn what_is_gone_plays_out() {
    let wanted = [Action::TurnedAway, Action::TurnedAway, Action::GoesOn, Action::GoesOn];
    assert_eq!(actions(&shared(TEXT), ""), wanted);
    let show = &TEXT[TEXT.find("[room_type show]").unwrap()..];
    let less = shared(&(TEXT[..TEXT.find("[room_type clip]").unwrap()].to_owned() + show));
    let told = arrange(&shared(TEXT), less).unwrap();
    let names: Vec<&str> = told.room_types.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(
        (names, told.room_type("clip"), told.room_type("show")),
        (vec!["clip", "show"], None, Some(1))
    );
    assert_eq!(actions(&told, &TITLE.replace("clip", "show")), wanted);
    let titles = titles(TITLE);
    let plays = outcome(&under(STAGES[3]), Configuration { shared: &told, titles: &titles });
    assert_eq!(plays.placement.1, 0);
    // It comes back under its number.
    let again = arrange(&told, shared(TEXT)).unwrap();
    assert_eq!(actions(&again, TITLE), [Action::GoesOn; 4]);
    assert!(again.retired.is_empty());
}

/// Rungs go from the top: what is over it is lowered, also for room types that are gone.
#[test]
fn the_highest_rungs_go() {
    let less = TEXT.replace("rates_kb = 10, 20, 40", "rates_kb = 10, 20").replace("0.6, 1", "0.6");
    let less = shared(&less.replace("top = 2", "top = 0"));
    let told = arrange(&shared(TEXT), less).unwrap();
    let titles = titles(TITLE);
    let top = |room_type: usize| {
        let mut under = under(STAGES[3]);
        under.asked.room_type = room_type;
        outcome(&under, Configuration { shared: &told, titles: &titles }).top
    };
    assert_eq!((top(0), top(1)), (1, 0));
}

#[test]
fn what_would_change_a_number_is_refused_with_the_reason() {
    let refused = |from: &str, to: &str| {
        arrange(&shared(TEXT), shared(&TEXT.replace(from, to))).map(|_| ()).unwrap_err()
    };
    let zones = "zones = north, south";
    assert!(refused(zones, "zones = north").contains("zone south has number 1"));
    assert!(refused(zones, "zones = south, north").contains("zone south has number 1"));
    assert!(refused(zones, "zones = north, north").contains("named twice"));
    let ladder = "rates_kb = 10, 20, 40\nbenefit = 0.3, 0.6, 1\n[room_type clip]";
    let middle = "rates_kb = 10, 40\nbenefit = 0.3, 1\n[room_type clip]\ntop = 1";
    let text = TEXT.replace(ladder, middle).replace("top = 2", "top = 1");
    assert!(arrange(&shared(TEXT), shared(&text)).unwrap_err().contains("the rung of 40 kB/s has number 2"));
}

/// Whatever is drawn: each leaves once, within the time, and no tenth of it sees more than its part and one.
#[test]
fn leavers_are_spread() {
    fn holds(count: u8, others: u8) -> bool {
        let from: StreamerId = "127.0.0.1:1".parse().unwrap();
        let (now, within) = (Duration::from_secs(100), Duration::from_secs(30));
        let all: Vec<_> = (0..u32::from(count)).map(|job| (job, from)).collect();
        let mut schedule = MoveSchedule::default();
        schedule.spread(now, within, &all);
        // A later change finds some of them again, and lets others stay.
        let again: Vec<_> = all.iter().copied().filter(|(job, _)| job % 3 == u32::from(others) % 3).collect();
        schedule.spread(now + within, within, &again);
        (0..u32::from(others)).for_each(|job| schedule.cancel(job));
        let mut tenths = [0; 10];
        let mut left = Vec::new();
        while let Some(at) = schedule.next_due() {
            let Some((job, _)) = schedule.pop_due(at) else { return false };
            if at < now || at >= now + within {
                return false;
            }
            tenths[(at - now).as_millis() as usize / 3000] += 1;
            left.push(job);
        }
        left.sort_unstable();
        let wanted: Vec<u32> = (u32::from(others)..u32::from(count)).collect();
        left == wanted && tenths.iter().all(|tenth| *tenth <= usize::from(count) / 10 + 1)
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 4)).quickcheck(holds as fn(u8, u8) -> bool);
}

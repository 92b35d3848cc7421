//! Tests of the effect of settings and titles changes on subscriptions.

use std::time::Duration;

use badgerledge_catalogue::Catalogue;
use badgerledge_core::interface::{StreamerId, SubscriptionRequest};
use badgerledge_deployment::Shared;
use badgerledge_settings::IniFile;
use quickcheck::{Gen, QuickCheck};

use crate::{outcome, preserve_numbers, Action, Configuration, MoveSchedule, Stage, Subscription};

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
    Shared::of(&IniFile::parse("shared", text).unwrap()).unwrap()
}

fn titles(text: &str) -> Catalogue {
    Catalogue::from_sections(&IniFile::parse("titles", text).unwrap()).unwrap()
}

fn subscription(stage: Stage) -> Subscription {
    let request = SubscriptionRequest { title: 7, copies: 2, max_rung: 9, ..SubscriptionRequest::default() };
    Subscription { request, stage }
}

const STAGES: [Stage; 4] = [
    Stage::Waiting,
    Stage::Joining { cell: Some(1), setup_sent: false },
    Stage::Joining { cell: Some(1), setup_sent: true },
    Stage::Playing { cell: Some(1) },
];

fn actions(settings: &Shared, text: &str) -> [Action; 4] {
    let titles = titles(text);
    STAGES.map(|stage| {
        outcome(&subscription(stage), Configuration { shared: settings, titles: &titles }).action
    })
}

#[test]
fn unaffected_subscriptions_continue() {
    assert_eq!(actions(&shared(TEXT), TITLE), [Action::Continue; 4]);
    let more = TEXT.replace("zones = north, south", "zones = north, west") + "[room_type new]\n";
    let more = more + "join_objective_ms = 1\nclient_timeout_ms = 2\nbenefit = 1\n";
    let settings = preserve_numbers(&shared(TEXT), shared(&more)).unwrap();
    assert_eq!(actions(&settings, TITLE), [Action::Continue; 4]);
}

/// A title is moved to other cells: waiting subscriptions are placed there, joins without a SETUP are withdrawn, and
/// playing subscriptions are moved.
#[test]
fn a_title_moved_to_other_cells() {
    let moved = TITLE.replace("first_cell = 0", "first_cell = 3");
    let expected = [Action::Continue, Action::WithdrawJoin, Action::Move, Action::Move];
    assert_eq!(actions(&shared(TEXT), &moved), expected);
    let titles = titles(&moved);
    let settings = shared(TEXT);
    let placement =
        outcome(&subscription(Stage::Waiting), Configuration { shared: &settings, titles: &titles })
            .placement;
    assert_eq!(placement, (3, 2));
    // Shifted by one cell, the title is still in the cell that plays it.
    let shifted = TITLE.replace("first_cell = 0", "first_cell = 1");
    assert_eq!(actions(&settings, &shifted), [Action::Continue; 4]);
    // A streamer that is missing from the list has no known cell: its subscription is not moved.
    let unknown = subscription(Stage::Playing { cell: None });
    assert_eq!(
        outcome(&unknown, Configuration { shared: &settings, titles: &titles }).action,
        Action::Continue
    );
}

/// A title or room type is removed: waiting subscriptions get a final answer, playing ones continue and are not moved.
#[test]
fn subscriptions_of_a_removed_title_or_room_type_play_to_their_end() {
    let expected = [Action::Reject, Action::Reject, Action::Continue, Action::Continue];
    assert_eq!(actions(&shared(TEXT), ""), expected);
    let show = &TEXT[TEXT.find("[room_type show]").unwrap()..];
    let without_clip = shared(&(TEXT[..TEXT.find("[room_type clip]").unwrap()].to_owned() + show));
    let settings = preserve_numbers(&shared(TEXT), without_clip).unwrap();
    let names: Vec<&str> = settings.room_types.iter().map(|(name, _)| name.as_str()).collect();
    assert_eq!(
        (names, settings.room_type("clip"), settings.room_type("show")),
        (vec!["clip", "show"], None, Some(1))
    );
    assert_eq!(actions(&settings, &TITLE.replace("clip", "show")), expected);
    let titles = titles(TITLE);
    let playing = outcome(&subscription(STAGES[3]), Configuration { shared: &settings, titles: &titles });
    assert_eq!(playing.placement.1, 0);
    // A room type that is added again gets its old number.
    let restored = preserve_numbers(&settings, shared(TEXT)).unwrap();
    assert_eq!(actions(&restored, TITLE), [Action::Continue; 4]);
    assert!(restored.retired.is_empty());
}

/// When the highest rungs are removed, rungs above the new highest one are lowered, also for retired room types.
#[test]
fn the_highest_rungs_can_be_removed() {
    let two_rungs = TEXT.replace("rates_kb = 10, 20, 40", "rates_kb = 10, 20").replace("0.6, 1", "0.6");
    let two_rungs = shared(&two_rungs.replace("top = 2", "top = 0"));
    let settings = preserve_numbers(&shared(TEXT), two_rungs).unwrap();
    let titles = titles(TITLE);
    let top = |room_type: usize| {
        let mut subscription = subscription(STAGES[3]);
        subscription.request.room_type = room_type;
        outcome(&subscription, Configuration { shared: &settings, titles: &titles }).max_rung
    };
    assert_eq!((top(0), top(1)), (1, 0));
}

#[test]
fn a_change_of_a_number_is_refused_with_the_reason() {
    let refused = |from: &str, to: &str| {
        preserve_numbers(&shared(TEXT), shared(&TEXT.replace(from, to))).map(|_| ()).unwrap_err()
    };
    let zones = "zones = north, south";
    assert!(refused(zones, "zones = north").contains("zone south has number 1"));
    assert!(refused(zones, "zones = south, north").contains("zone south has number 1"));
    assert!(refused(zones, "zones = north, north").contains("named twice"));
    let ladder = "rates_kb = 10, 20, 40\nbenefit = 0.3, 0.6, 1\n[room_type clip]";
    let middle = "rates_kb = 10, 40\nbenefit = 0.3, 1\n[room_type clip]\ntop = 1";
    let text = TEXT.replace(ladder, middle).replace("top = 2", "top = 1");
    assert!(preserve_numbers(&shared(TEXT), shared(&text))
        .unwrap_err()
        .contains("the rung of 40 kB/s has number 2"));
}

/// Each subscription moves once and within the interval, and no tenth of the interval has more than a tenth of the moves
/// and one.
#[test]
fn moves_are_spread_evenly() {
    fn is_even(count: u8, cancelled: u8) -> bool {
        let from: StreamerId = "127.0.0.1:1".parse().unwrap();
        let (now, interval) = (Duration::from_secs(100), Duration::from_secs(30));
        let all: Vec<_> = (0..u32::from(count)).map(|job| (job, from)).collect();
        let mut schedule = MoveSchedule::default();
        schedule.schedule_evenly(now, interval, &all);
        // A later change schedules some of them again, and cancels the first `cancelled` ones.
        let repeated: Vec<_> =
            all.iter().copied().filter(|(job, _)| job % 3 == u32::from(cancelled) % 3).collect();
        schedule.schedule_evenly(now + interval, interval, &repeated);
        (0..u32::from(cancelled)).for_each(|job| schedule.cancel(job));
        let mut tenths = [0; 10];
        let mut moved_jobs = Vec::new();
        while let Some(at) = schedule.next_due() {
            let Some((job, _)) = schedule.pop_due(at) else { return false };
            if at < now || at >= now + interval {
                return false;
            }
            tenths[(at - now).as_millis() as usize / 3000] += 1;
            moved_jobs.push(job);
        }
        moved_jobs.sort_unstable();
        let expected: Vec<u32> = (u32::from(cancelled)..u32::from(count)).collect();
        moved_jobs == expected && tenths.iter().all(|tenth| *tenth <= usize::from(count) / 10 + 1)
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 4)).quickcheck(is_even as fn(u8, u8) -> bool);
}

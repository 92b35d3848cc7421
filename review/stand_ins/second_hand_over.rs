//! The front's connection ends while it rests. The front connects again and hands over what plays, which the
//! controller already holds. Then one of the sessions comes to its end.

use std::time::Duration;

use crate::settings::asztal_media;
use crate::world::{ms, Controller, Listed, Names, Place, SetUp, Streamer, Viewers};
use crate::{Run, Verdict};

/// If no release could be sent at first, it is due this long after the session's end; and the slack of every
/// time limit.
const RELEASE_WITHIN: Duration = Duration::from_secs(8);
const SLACK: Duration = Duration::from_millis(50);
const SESSIONS: u64 = 6;
const FIRST: u64 = 0x9b1f_03aa_5c7e_2d40;

fn set_up(number: u64, at: Option<String>) -> SetUp<'static> {
    SetUp {
        session: FIRST + number,
        class: "chef-show",
        wait_ms: if at.is_some() { 4_294_967 } else { 4000 },
        title: 0x7f3a_9c21_e0b4_d655 + number,
        home: (2 * number) as u32,
        copies: 3,
        top: 4,
        viewer: 0xb4d6_5521 + number,
        retry: false,
        at,
    }
}

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let streamers: Vec<Streamer> =
        (0..12).map(|cell| Streamer::start(record, 0x00c4_1f00 + cell, ms(3000))).collect();
    let listed = streamers.iter().enumerate().map(|(cell, streamer)| Listed {
        id: streamer.id,
        address: streamer.address,
        zone: ["a-building", "b-building"][cell % 2],
        kind: "two-core",
        cell: cell as u32,
        draining: false,
        started_unix_ms: 0,
        size: 2,
    });
    let names = Names::start(record, listed.collect());
    let place = Place::new("n0", &run.folder, asztal_media());
    let mut controller = Controller::spawn(record, &place, &names);
    if !controller.wait_ready(ms(15_000)) {
        return Verdict::CouldNotRun("the controller is not ready".to_owned());
    }
    let viewers = Viewers::new(record);
    let Some(mut first) = viewers.connect("A", controller.listen) else {
        return Verdict::CouldNotRun("no connection".to_owned());
    };
    for number in 0..SESSIONS {
        first.set_up(&set_up(number, None));
        if viewers.wait_for(FIRST + number, ms(4500), |heard| heard.is_answer()).is_none() {
            return Verdict::CouldNotRun("a session was not answered".to_owned());
        }
    }
    let place_of = |number: u64| streamers.iter().find(|streamer| streamer.holds(FIRST + number));
    // It rests: no set-up is open on it.
    record.sleep_until(record.now() + ms(4500));
    let (mut kept, mut again) = (Some(first), None);
    if run.trouble {
        kept.take().unwrap().close();
        record.sleep_until(record.now() + ms(100));
        let Some(mut second) = viewers.connect("B", controller.listen) else {
            return Verdict::CouldNotRun("no second connection".to_owned());
        };
        for number in 0..SESSIONS {
            second.set_up(&set_up(number, place_of(number).map(|streamer| streamer.name())));
        }
        again = Some(second);
    }
    record.sleep_until(record.now() + ms(500));
    let over_at = record.now();
    let Some(streamer) = place_of(0) else {
        return Verdict::CouldNotRun("the session stands nowhere".to_owned());
    };
    streamer.end_session(FIRST);
    record.sleep_until(over_at + RELEASE_WITHIN + ms(1000));
    if again.is_some() {
        record.note(format!("connection B was ended by the controller: {}", viewers.has_ended("B")));
    }
    match viewers.find(FIRST, |heard| heard.is_release()) {
        Some(heard) if heard.at <= over_at + RELEASE_WITHIN + SLACK => Verdict::Held,
        _ => Verdict::Broken(format!(
            "{FIRST:016x} was over at {:.3} and not released towards its viewer",
            over_at.as_secs_f64()
        )),
    }
}

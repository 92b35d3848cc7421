//! A session's viewers' connection ends while it rests; then the session comes to its end. Viewers come on a
//! new connection, and are turned away there.

use std::time::Duration;

use crate::settings::asztal_media;
use crate::world::{ms, Controller, Listed, Mode, Names, Place, SetUp, Streamer, Viewers};
use crate::{Run, Verdict};

/// If no release could be sent at first, it is due this long after the session's end; and the slack of every
/// time limit.
const RELEASE_WITHIN: Duration = Duration::from_secs(8);
const SLACK: Duration = Duration::from_millis(50);
const SESSION: u64 = 0x9b1f_03aa_5c7e_2d41;
const OTHERS: u64 = 0x0ddb_0000_0000_0000;

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
    // What the others want lies on three streamers that run as many streams as they can.
    streamers[6..9].iter().for_each(|streamer| streamer.set_mode(Mode::Full));
    let place = Place::new("n0", &run.folder, asztal_media());
    let mut controller = Controller::spawn(record, &place, &names);
    if !controller.wait_ready(ms(15_000)) {
        return Verdict::CouldNotRun("the controller is not ready".to_owned());
    }
    let viewers = Viewers::new(record);
    let Some(mut first) = viewers.connect("A", controller.listen) else {
        return Verdict::CouldNotRun("no connection".to_owned());
    };
    let set_up = SetUp {
        session: SESSION,
        class: "room-tour",
        wait_ms: 4000,
        title: 0x7f3a_9c21_e0b4_d655,
        home: 0,
        copies: 3,
        top: 4,
        viewer: 0xb4d6_5521,
        retry: false,
        at: None,
    };
    first.set_up(&set_up);
    if viewers.wait_for(SESSION, ms(5000), |heard| heard.is_answer()).is_none() {
        return Verdict::CouldNotRun("the session was not answered".to_owned());
    }
    let Some(streamer) = streamers.iter().find(|streamer| streamer.holds(SESSION)) else {
        return Verdict::CouldNotRun("the session stands nowhere".to_owned());
    };
    // It rests: no set-up is open on it.
    record.sleep_until(record.now() + ms(4500));
    let mut kept = Some(first);
    if run.trouble {
        kept.take().unwrap().close();
    }
    record.sleep_until(record.now() + ms(1000));
    let over_at = record.now();
    streamer.end_session(SESSION);
    // One viewer of another title, who comes again as it is told to; each try has a new id.
    record.sleep_until(over_at + ms(500));
    let Some(mut second) = viewers.connect("B", controller.listen) else {
        return Verdict::CouldNotRun("no second connection".to_owned());
    };
    let mut turned_away = 0;
    let last_try = over_at + ms(8500);
    while record.now() < last_try {
        let session = OTHERS + turned_away;
        let again = SetUp {
            session,
            title: 0x11aa_22bb_33cc_44dd,
            home: 6,
            viewer: 0xc0ff_ee00,
            retry: turned_away > 0,
            ..set_up.clone()
        };
        if !second.set_up(&again) {
            return Verdict::CouldNotRun("the second connection ended".to_owned());
        }
        let Some(answer) = viewers.wait_for(session, ms(4600), |heard| heard.is_release()) else {
            return Verdict::CouldNotRun("a set-up of the other title was not refused".to_owned());
        };
        turned_away += 1;
        record.sleep_until(record.now() + ms(answer.stay_away_ms.unwrap_or(0)));
    }
    record.sleep_until(over_at + ms(10_000));
    let on_second =
        viewers.heard().iter().filter(|heard| heard.connection == "B" && heard.session != SESSION).count();
    record.note(format!(
        "{on_second} answers were sent on connection B, which stayed open: {}",
        !viewers.has_ended("B")
    ));
    // What is left to see: whether it comes once a viewer is served.
    streamers[6..9].iter().for_each(|streamer| streamer.set_mode(Mode::Accepts));
    second.set_up(&SetUp { session: OTHERS + 1000, title: 0x11aa_22bb_33cc_44dd, home: 6, ..set_up.clone() });
    viewers.wait_for(OTHERS + 1000, ms(4500), |heard| heard.is_answer());
    record.sleep_until(record.now() + ms(2000));
    let released = viewers.find(SESSION, |heard| heard.is_release());
    match released {
        Some(heard) if heard.at <= over_at + RELEASE_WITHIN + SLACK => Verdict::Held,
        Some(heard) => Verdict::Broken(format!(
            "{SESSION:016x} was over at {:.3} and released at {:.3}",
            over_at.as_secs_f64(),
            heard.at.as_secs_f64()
        )),
        None => Verdict::Broken(format!(
            "{SESSION:016x} was over at {:.3} and never released towards its viewer, though {on_second} answers \
             were sent to viewers on another connection meanwhile",
            over_at.as_secs_f64()
        )),
    }
}

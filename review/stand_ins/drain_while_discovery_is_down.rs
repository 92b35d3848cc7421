//! Discovery is down for eight seconds, into the start of a release: one streamer drains and goes, and a new
//! one, which holds other titles, starts at its address.

use std::time::Duration;

use crate::settings::asztal_media;
use crate::world::{ms, Controller, Listed, Mode, Names, Place, SetUp, Streamer, Viewers};
use crate::{Run, Verdict};

/// What a silent name service would have told counts as told this long after it fell silent, at the latest; the
/// site's grace; the slack of every time limit.
const TOLD_WITHIN: Duration = Duration::from_millis(4500);
const DRAIN_GRACE: Duration = Duration::from_millis(500);
const SLACK: Duration = Duration::from_millis(50);
const OUTAGE: Duration = Duration::from_secs(8);
const SESSIONS: u64 = 0x5e55_0000_0000_0000;

fn set_up(number: u64) -> SetUp<'static> {
    SetUp {
        session: SESSIONS + number,
        class: "room-tour",
        wait_ms: 4000,
        title: 0x7100_0000_0000_0000 + number % 12,
        home: (number % 12) as u32,
        copies: 3,
        top: 4,
        viewer: 0xb0b0_0000 + number,
        retry: false,
        at: None,
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
    let Some(mut connection) = viewers.connect("A", controller.listen) else {
        return Verdict::CouldNotRun("no connection".to_owned());
    };
    // Two set-ups a second, all the time.
    let mut number = 0;
    let mut keep_asking = |until: Duration| {
        while record.now() < until {
            connection.set_up(&set_up(number));
            number += 1;
            record.sleep_until(record.now() + ms(500));
        }
    };
    keep_asking(record.now() + ms(6000));
    let silent_since = record.now();
    if run.trouble {
        names.set_silent(record, true);
    }
    keep_asking(silent_since + ms(1000));
    let draining = &streamers[4];
    let event = names.change(record, &format!("{} drains", draining.name()), |list| list[4].draining = true);
    draining.set_mode(Mode::Full);
    let happened_at = record.now();
    keep_asking(silent_since + OUTAGE);
    names.set_silent(record, false);
    keep_asking(record.now() + ms(2000));
    let latest_told = if run.trouble { silent_since + TOLD_WITHIN } else { happened_at + ms(1500) };
    let told_at = names.told_at(event).map_or(latest_told, |at| at.min(latest_told));
    let latest = told_at + DRAIN_GRACE + SLACK;
    record.note(format!(
        "the drain counts as told at {:.4}; no offer after {:.4}",
        told_at.as_secs_f64(),
        latest.as_secs_f64()
    ));
    let offers = draining.offers();
    let late: Vec<String> = offers
        .iter()
        .filter(|offer| offer.at > latest)
        .map(|offer| format!("{:016x} at {:.4}", offer.session, offer.at.as_secs_f64()))
        .collect();
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "offers to {} after {:.4}: {}",
            draining.name(),
            latest.as_secs_f64(),
            late.join(", ")
        )),
    }
}

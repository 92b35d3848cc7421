//! A planned restart of the controller. What plays stays at its streamers, and is handed over to the next
//! process. Some sessions come to their end while no process runs: eight in four seconds, of 72 that play for
//! some 36 s each.

use std::time::Duration;

use crate::settings::asztal_media;
use crate::world::{ms, Connection, Controller, Listed, Names, Place, SetUp, Streamer, Viewers, SIGTERM};
use crate::{Run, Verdict};

/// What is over is released within a second of its streamer's release; handed-over sessions count 0.2 s after
/// they were handed over; the latest, if no release could be sent; the slack of every time limit.
const RELEASE_LATEST: Duration = Duration::from_secs(8);
const COUNTS_AFTER: Duration = Duration::from_millis(200);
const SLACK: Duration = Duration::from_millis(50);
const STREAMERS: u64 = 12;
const SESSIONS: u64 = 72;
const PLAYING: u64 = 0x0dab_0000_0000_0000;
const NEW: u64 = 0x4e0e_0000_0000_0000;

fn hand_over(number: u64, streamers: &[Streamer]) -> SetUp<'static> {
    let cell = number % STREAMERS;
    SetUp {
        session: PLAYING + number,
        class: "room-tour",
        wait_ms: 4_294_967,
        title: 0x7100_0000_0000_0000 + cell,
        home: cell as u32,
        copies: 3,
        top: 4,
        viewer: 0xa000_0000 + number,
        retry: false,
        at: Some(streamers[cell as usize].name()),
    }
}

fn set_up(number: u64) -> SetUp<'static> {
    SetUp {
        session: NEW + number,
        class: "menu-audio",
        wait_ms: 4000,
        title: 0x7200_0000_0000_0000 + number,
        home: ((number * 5) % STREAMERS) as u32,
        copies: 3,
        top: 4,
        viewer: 0xc000_0000 + number,
        retry: false,
        at: None,
    }
}

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let streamers: Vec<Streamer> =
        (0..STREAMERS as u32).map(|cell| Streamer::start(record, 0x00c4_1f00 + cell, ms(3000))).collect();
    (0..SESSIONS).for_each(|number| streamers[(number % STREAMERS) as usize].preload(PLAYING + number));
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
    for number in 0..SESSIONS {
        connection.set_up(&hand_over(number, &streamers));
    }
    record.sleep_until(record.now() + ms(4000));
    // The planned restart.
    let ended: Vec<u64> = (0..8).map(|number| number * 8 + 13).collect();
    let end_some = || {
        for number in &ended {
            streamers[(number % STREAMERS) as usize].end_session(PLAYING + number);
            std::thread::sleep(ms(500));
        }
    };
    let over_at;
    let mut front: Vec<Connection> = Vec::new();
    if run.trouble {
        controller.signal(SIGTERM, "SIGTERM");
        let signalled_at = record.now();
        while !controller.has_exited() {
            if record.now() > signalled_at + ms(3700) {
                return Verdict::CouldNotRun("the controller did not exit".to_owned());
            }
            std::thread::sleep(ms(5));
        }
        record.note("platform: the controller has exited");
        over_at = record.now();
        end_some();
        controller = Controller::spawn(record, &place, &names);
        if !controller.wait_ready(ms(15_000)) {
            return Verdict::CouldNotRun("the next process is not ready".to_owned());
        }
        // The front takes it in: viewers who come, and what plays, all at once, on connections of their own.
        let mut new = 0;
        for number in 0..SESSIONS {
            if number % 7 == 0 {
                let Some(mut connection) = viewers.connect(&format!("N{new}"), controller.listen) else {
                    continue;
                };
                connection.set_up(&set_up(new));
                new += 1;
                front.push(connection);
            }
            let Some(mut connection) = viewers.connect(&format!("H{number}"), controller.listen) else {
                return Verdict::CouldNotRun("no connection".to_owned());
            };
            connection.set_up(&hand_over(number, &streamers));
            front.push(connection);
        }
    } else {
        over_at = record.now();
        end_some();
    }
    let counted_from = record.now().max(over_at) + COUNTS_AFTER;
    record.sleep_until(counted_from + RELEASE_LATEST + ms(1000));
    let mut lost = Vec::new();
    for number in &ended {
        let session = PLAYING + number;
        let released = viewers.find(session, |heard| heard.is_release());
        if released.is_none_or(|heard| heard.at > counted_from + RELEASE_LATEST + SLACK) {
            lost.push(format!("{session:016x}"));
        }
    }
    record.note(format!(
        "{} of {} sessions that were over were released in time",
        ended.len() - lost.len(),
        ended.len()
    ));
    drop(front);
    match lost.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!("over and not released towards their viewers: {}", lost.join(", "))),
    }
}

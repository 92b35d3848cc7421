//! Sixteen times the streamers, and one of eight is slow. Sessions stand at more streamers than the controller may hold
//! connections to. They come to their ends one after another, and each viewer has to be told.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::settings::asztal_media;
use crate::world::{self, ms, Controller, Listed, Names, Place, SetUp, Streamer, Viewers};
use crate::{Run, Verdict};

/// If no release could be sent at first, it is due this long after the session's end; and the slack of every
/// time limit.
const RELEASE_WITHIN: Duration = Duration::from_millis(8050);
/// A slow streamer handles what arrives this much later.
const LAG: Duration = Duration::from_millis(300);
/// Stand-ins that look at nothing for so long prove nothing.
const LONGEST_GAP_MS: u64 = 120;
const STREAMERS: u32 = 192;
const SESSIONS: u64 = 576;
const ENDS: u64 = 480;
const PLAYING: u64 = 0x0dab_0000_0000_0000;
const NEW: u64 = 0x4e0e_0000_0000_0000;

fn wide_settings(streamers: u32) -> String {
    let from_each = |unit: f64| unit * 12.0 / f64::from(streamers);
    asztal_media()
        .replace("\"positions\":12", &format!("\"positions\":{streamers}"))
        .replace("\"groups\":3", &format!("\"groups\":{}", streamers / 4))
        .replace("\"kindStreams\":[19]", &format!("\"kindStreams\":[{}]", 768 / streamers))
        .replace("\"linkUnitKb\":2611.0", &format!("\"linkUnitKb\":{:.1}", from_each(2611.0)))
        .replace("\"uplinkKb\":15811.0", &format!("\"uplinkKb\":{:.1}", from_each(15811.0)))
}

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let count = STREAMERS;
    world::LOOKS_EVERY_US.store(4000, Ordering::Relaxed);
    let streamers: Vec<Streamer> = (0..count)
        .map(|cell| {
            let lag = if run.trouble && cell % 8 == 5 { LAG } else { Duration::ZERO };
            Streamer::start_slow(record, 0x00c4_1000 + cell, ms(3000), lag)
        })
        .collect();
    let at = |number: u64| &streamers[(number % u64::from(count)) as usize];
    (0..SESSIONS).for_each(|number| at(number).preload(PLAYING + number));
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
    let place = Place::new("n0", &run.folder, wide_settings(count));
    let mut controller = Controller::spawn(record, &place, &names);
    if !controller.wait_ready(ms(15_000)) {
        return Verdict::CouldNotRun("the controller is not ready".to_owned());
    }
    let viewers = Viewers::new(record);
    let mut connections: Vec<_> =
        (0..4).filter_map(|number| viewers.connect(&format!("V{number}"), controller.listen)).collect();
    for number in 0..SESSIONS {
        let cell = number % u64::from(count);
        connections[(number % 4) as usize].set_up(&SetUp {
            session: PLAYING + number,
            class: "room-tour",
            wait_ms: 4_294_967,
            title: 0x7100_0000_0000_0000 + cell,
            home: cell as u32,
            copies: 3,
            top: 4,
            viewer: 0xa000_0000 + number,
            retry: false,
            at: Some(at(number).name()),
        });
    }
    record.sleep_until(record.now() + ms(500));
    // 24 sessions a second come to their ends, and eight viewers a second ask.
    let started = record.now();
    world::LONGEST_GAP_MS.store(0, Ordering::Relaxed);
    let mut over = Vec::new();
    for step in 0..ENDS {
        let number = (step * 5) % SESSIONS;
        at(number).end_session(PLAYING + number);
        over.push((PLAYING + number, record.now()));
        if step % 3 == 0 {
            connections[(step % 4) as usize].set_up(&SetUp {
                session: NEW + step,
                class: "menu-audio",
                wait_ms: 4000,
                title: 0x7200_0000_0000_0000 + step % 97,
                home: ((step * 13) % u64::from(count)) as u32,
                copies: 3,
                top: 4,
                viewer: 0xc000_0000 + step,
                retry: false,
                at: None,
            });
        }
        record.sleep_until(started + Duration::from_micros(41_667) * (step as u32 + 1));
    }
    record.sleep_until(record.now() + ms(9500));
    let heard: std::collections::BTreeMap<u64, Duration> = viewers
        .heard()
        .iter()
        .filter(|heard| heard.is_release())
        .map(|heard| (heard.session, heard.at))
        .collect();
    let (mut never, mut late, mut longest) = (Vec::new(), Vec::new(), Duration::ZERO);
    for (session, at) in &over {
        match heard.get(session) {
            None => never.push(format!("{session:016x}")),
            Some(told) => {
                let waited = told.saturating_sub(*at);
                longest = longest.max(waited);
                if waited > RELEASE_WITHIN {
                    late.push(format!("{session:016x} after {:.3}", waited.as_secs_f64()));
                }
            }
        }
    }
    record.note(format!(
        "over {}, never told {}, late {}, longest {longest:?}",
        over.len(),
        never.len(),
        late.len()
    ));
    let gap = world::LONGEST_GAP_MS.load(Ordering::Relaxed);
    record.note(format!("the streamers looked at nothing for {gap} ms at most"));
    if gap > LONGEST_GAP_MS {
        return Verdict::CouldNotRun(format!("the stand-ins were {gap} ms late: this machine is busy"));
    }
    match never.is_empty() && late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "of {} sessions that were over, {} were never released towards their viewers ({}), and {} late ({})",
            over.len(),
            never.len(),
            never.join(", "),
            late.len(),
            late.join(", ")
        )),
    }
}

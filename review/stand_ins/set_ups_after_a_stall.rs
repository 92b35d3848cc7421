//! The controller stands still for a while, as it does where it shares its core. Meanwhile some player boxes
//! are listed as draining, and viewers go on coming. The controller then finds all that came.

use std::time::Duration;

use crate::settings::osvetlenie_bratislava;
use crate::world::{ms, Controller, Listed, Mode, Names, Place, SetUp, Streamer, Viewers, SIGCONT, SIGSTOP};
use crate::{Run, Verdict};

/// The site's grace; an event counts as told this long after it happened at the latest; the slack of every
/// time limit.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
const TOLD_WITHIN: Duration = Duration::from_millis(1500);
const SLACK: Duration = Duration::from_millis(50);
/// The page: 1,200 to 2,000 ms.
const STANDS_STILL: Duration = Duration::from_millis(1960);
const BOXES: u32 = 8;
/// The page: up to 38 % of the player boxes.
const DRAINED: usize = 3;
const SESSIONS: u64 = 0x5e55_0000_0000_0000;

fn set_up(number: u64) -> SetUp<'static> {
    // Every box holds every recording.
    SetUp {
        session: SESSIONS + number,
        class: if number % 3 == 2 { "fault-proof" } else { "patrol-clip" },
        wait_ms: if number % 3 == 2 { 3000 } else { 4000 },
        title: 0x7100_0000_0000_0000 + number % 7,
        home: 0,
        copies: 1,
        top: 3,
        viewer: 0xb0b0_0000 + number,
        retry: false,
        at: None,
    }
}

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let boxes: Vec<Streamer> =
        (0..BOXES).map(|number| Streamer::start(record, 0x00b0_0000 + number, ms(2500))).collect();
    let listed = boxes.iter().map(|streamer| Listed {
        id: streamer.id,
        address: streamer.address,
        zone: "ba-dc1",
        kind: "two-core",
        cell: 0,
        draining: false,
        started_unix_ms: 0,
        size: 2,
    });
    let names = Names::start(record, listed.collect());
    let place = Place::new("n0", &run.folder, osvetlenie_bratislava());
    let mut controller = Controller::spawn(record, &place, &names);
    if !controller.wait_ready(ms(15_000)) {
        return Verdict::CouldNotRun("the controller is not ready".to_owned());
    }
    let viewers = Viewers::new(record);
    let Some(mut connection) = viewers.connect("A", controller.listen) else {
        return Verdict::CouldNotRun("no connection".to_owned());
    };
    // Little traffic until the controller is older than a warm-up, then eight set-ups a second.
    let mut number = 0;
    for interval in [vec![ms(1000); 9], vec![ms(125); 32]].concat() {
        connection.set_up(&set_up(number));
        number += 1;
        record.sleep_until(record.now() + interval);
    }
    if viewers.heard().iter().filter(|heard| heard.is_answer()).count() < 20 {
        return Verdict::CouldNotRun("few sessions were answered".to_owned());
    }
    let stands_since = record.now();
    if run.trouble {
        controller.signal(SIGSTOP, "the controller stands still");
    }
    record.sleep_until(stands_since + ms(20));
    let happened_at = record.now();
    let drained: Vec<u32> = boxes[..DRAINED].iter().map(|streamer| streamer.id).collect();
    let event = names.change(record, &format!("draining: {drained:08x?}"), |list| {
        list.iter_mut()
            .filter(|listed| drained.contains(&listed.id))
            .for_each(|listed| listed.draining = true)
    });
    boxes[..DRAINED].iter().for_each(|streamer| streamer.set_mode(Mode::Full));
    let mut next_at = stands_since + ms(125);
    while next_at < stands_since + STANDS_STILL {
        record.sleep_until(next_at);
        connection.set_up(&set_up(number));
        number += 1;
        next_at += ms(125);
    }
    record.sleep_until(stands_since + STANDS_STILL);
    if run.trouble {
        controller.signal(SIGCONT, "the controller goes on");
        let stood = record.now() - stands_since;
        if stood > ms(2000) {
            return Verdict::CouldNotRun(format!("it stood still for {stood:?}: this machine is busy"));
        }
    }
    // They die 0.62 to 2.6 s after they are listed as draining.
    record.sleep_until(happened_at + ms(2500));
    boxes[..DRAINED].iter().for_each(|streamer| streamer.set_mode(Mode::Dead));
    record.sleep_until(happened_at + ms(4000));
    let told_at =
        names.told_at(event).map_or(happened_at + TOLD_WITHIN, |at| at.min(happened_at + TOLD_WITHIN));
    let latest = told_at + DRAIN_GRACE + SLACK;
    record.note(format!(
        "the drain counts as told at {:.4}; no offer after {:.4}",
        told_at.as_secs_f64(),
        latest.as_secs_f64()
    ));
    let mut late = Vec::new();
    for streamer in &boxes[..DRAINED] {
        for offer in streamer.offers().iter().filter(|offer| offer.at > latest) {
            late.push(format!(
                "{:016x} to {} at {:.4}",
                offer.session,
                streamer.name(),
                offer.at.as_secs_f64()
            ));
        }
    }
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "offers to draining boxes after {:.4}: {}",
            latest.as_secs_f64(),
            late.join(", ")
        )),
    }
}

//! Streamers report their load only when they are probed, so that one with sessions has nothing to say. A few
//! connections to it come up late, while all that are open work. A room type has seats.

use std::collections::{BTreeMap, BTreeSet};
use std::thread::sleep;
use std::time::Duration;

use crate::platform::{lock, open_front, Choice, Platform, Shared, World};
use crate::wire::SetUp;
use crate::{conclude, Verdict};

const SEATS: usize = 2;
const CHOICE: Choice = Choice {
    streamers: 4,
    sockets: 512,
    memory_mb: 128,
    obligations: "{\"askWithinUs\":10000000,\"coldFrom\":0.4,\"coldUs\":8000000,\"drainGraceUs\":1000000,\
                  \"graceToAnswerUs\":40000,\"tipAfterUs\":1000000,\"tipMultiple\":2.5}",
    profiles: "[{\"aimUs\":1000000,\"deadlineUs\":5000000,\"effect\":\"free\",\"group\":\"all\",\"lateWorth\":0.0,\
               \"name\":\"tour\",\"stream\":true,\"windowUs\":5000000,\"worth\":1.0},{\"aimUs\":1500000,\
               \"deadlineUs\":5000000,\"effect\":\"free\",\"group\":\"all\",\"lateWorth\":0.0,\"name\":\"replay\",\
               \"stream\":true,\"windowUs\":5000000,\"worth\":2.0}]",
    seats: SEATS,
    notes: false,
};
/// Connections come up late by less than one second: the kernel tries again after that time.
const LATE_FOR: f64 = 0.95;
/// More sessions than seats count only if they stand for longer than this, in seconds.
const TOLERATED: f64 = 1.0;
const TITLES: u64 = 4;

/// What was seen of one title's sessions.
#[derive(Default)]
struct Seen {
    over_since: Option<f64>,
    most: usize,
    longest_over: f64,
}

pub fn play(folder: &str, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::start(folder, &CHOICE)?;
    let shared = platform.shared.clone();
    let front = open_front(&shared).ok_or("no connection to the controller")?;
    sleep(Duration::from_millis(300));
    for index in 0..TITLES * SEATS as u64 {
        ask(&shared, front, title(index % TITLES));
        sleep(Duration::from_millis(100));
    }
    let mut seen: BTreeMap<u64, Seen> = BTreeMap::new();
    let mut came_again = BTreeSet::new();
    let start = lock(&shared).now();
    // Whose new connections come up late, one after the other.
    let (mut late, mut next_viewer) = (Vec::new(), 2.0);
    loop {
        sleep(Duration::from_millis(10));
        let time = lock(&shared).now() - start;
        if time > 26.0 {
            break;
        }
        observe(&lock(&shared), &mut seen);
        come_again(&shared, front, &mut came_again);
        // Others want the same titles.
        if time >= next_viewer {
            next_viewer += 2.0;
            ask(&shared, front, title((time / 2.0) as u64 % TITLES));
        }
        let mut world = lock(&shared);
        let streamer = late.len();
        if streamer >= CHOICE.streamers || time < 4.0 + 3.0 * streamer as f64 {
            continue;
        }
        // After 1.5 s in which a streamer has said nothing, the controller opens a connection to it.
        if world.now() >= world.streamers[streamer].said_at + 1.35 {
            late.push(world.now());
            if trouble {
                make_late(&mut world, streamer);
            }
        }
    }
    let world = lock(&shared);
    let mut broken = Vec::new();
    let mut lines = Vec::new();
    for (title, seen) in &seen {
        lines.push(format!(
            "title {title:016x}: {} at most, over {SEATS} for {:.1} s",
            seen.most, seen.longest_over
        ));
        if seen.longest_over > TOLERATED {
            broken.push(format!(
                "title {title:016x}: its {SEATS} seats were exceeded for {:.1} s, with {} sessions at the most",
                seen.longest_over, seen.most
            ));
        }
    }
    let told = world.streamers.iter().flat_map(|streamer| streamer.sessions.keys());
    let told =
        told.filter(|id| world.requests.get(id).is_some_and(|request| request.released_at.is_some())).count();
    let checked = format!(
        "{told} sessions stand at streamers whose viewers were told that they are over; {}",
        lines.join("; ")
    );
    drop(world);
    if late.len() < CHOICE.streamers {
        return Err("a streamer was never quiet for 1.35 s".to_owned());
    }
    conclude(&mut platform, Verdict { broken, checked })
}

fn title(index: u64) -> u64 {
    0x7f3a_9c21_e0b4_d600 + index
}

fn ask(shared: &Shared, front: usize, title: u64) {
    let mut world = lock(shared);
    let session = world.new_session();
    let set_up =
        SetUp { session, class: "replay", left_ms: 5000, title, home: 0, copies: 4, top: 4, at: None };
    world.set_up(front, &set_up);
}

/// Viewers whose session is over come again 1.5 s later.
fn come_again(shared: &Shared, front: usize, done: &mut BTreeSet<u64>) {
    let world = lock(shared);
    let due = world.requests.iter().filter(|(id, request)| {
        request.class == "replay"
            && !done.contains(*id)
            && request.released_at.is_some_and(|(at, _)| world.now() >= at + 1.5)
    });
    let due: Vec<(u64, u64)> = due.map(|(id, request)| (*id, request.title)).collect();
    drop(world);
    for (id, title) in due {
        done.insert(id);
        ask(shared, front, title);
    }
}

/// Counts the sessions of each title with seats that stand at streamers or are being set up there.
fn observe(world: &World, seen: &mut BTreeMap<u64, Seen>) {
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    for streamer in &world.streamers {
        let offers = streamer.outstanding.iter().map(|(_, session)| session);
        for session in streamer.sessions.keys().chain(offers) {
            let Some(request) = world.requests.get(session).filter(|request| request.class == "replay")
            else {
                continue;
            };
            *counts.entry(request.title).or_default() += 1;
        }
    }
    for (title, count) in counts {
        let seen = seen.entry(title).or_default();
        seen.most = seen.most.max(count);
        if count <= SEATS {
            seen.over_since = None;
            continue;
        }
        let since = *seen.over_since.get_or_insert(world.now());
        seen.longest_over = seen.longest_over.max(world.now() - since);
    }
}

fn make_late(world: &mut World, streamer: usize) {
    let (name, open) = (world.streamers[streamer].name.clone(), world.streamers[streamer].connections.len());
    world.log(&format!("for {LATE_FOR} s connections to {name} come up late; {open} are open and work"));
    world.streamers[streamer].comes_up_late = true;
    world.after(LATE_FOR, move |world| {
        world.streamers[streamer].comes_up_late = false;
        world.log("connections come up at once again");
    });
}

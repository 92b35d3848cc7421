//! The controller stands still for up to 2 s, and finds all that came meanwhile. Streamers drain shortly before.

use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::platform::{lock, open_front, Choice, Platform, Reply, World, SIGCONT, SIGSTOP};
use crate::wire::SetUp;
use crate::{conclude, Verdict};

pub const OBLIGATIONS: &str =
    "{\"askWithinUs\":10000000,\"budgetFree\":3,\"coldFrom\":0.4,\"coldUs\":12000000,\
     \"countedOverUs\":10000000,\"drainGraceUs\":250000,\"extraRatio\":0.1,\"graceToAnswerUs\":40000,\
     \"tipAfterUs\":3000000,\"tipMultiple\":3.0}";
pub const PROFILES: &str = "[{\"aimUs\":800000,\"deadlineUs\":4000000,\"effect\":\"free\",\"group\":\"all\",\
     \"lateWorth\":0.0,\"name\":\"tour\",\"stream\":true,\"windowUs\":5000000,\"worth\":1.0},\
     {\"aimUs\":1500000,\"deadlineUs\":3000000,\"effect\":\"free\",\"group\":\"all\",\"lateWorth\":0.0,\
     \"name\":\"proof\",\"stream\":true,\"windowUs\":5000000,\"worth\":3.0}]";
const CHOICE: Choice = Choice {
    streamers: 8,
    sockets: 512,
    memory_mb: 128,
    obligations: OBLIGATIONS,
    profiles: PROFILES,
    seats: 0,
    notes: true,
};
/// The longest standstill that the pages name, in seconds, and the one that is played.
pub const LONGEST: f64 = 2.0;
const PLAYED: f64 = 1.98;
/// An event counts as told this long after it happened, at the latest.
const TOLD_WITHIN: f64 = 1.5;
const DRAIN_GRACE: f64 = 0.25;
/// Every time limit is longer by this; two limits are added here.
const SLACK: f64 = 0.05;

#[derive(Clone, Debug)]
struct Drain {
    streamer: usize,
    happened_at: f64,
    /// When the first answer that holds it was sent.
    answered_at: Option<f64>,
    stopped_at: Option<f64>,
    continued_at: Option<f64>,
}

#[derive(Default)]
struct State {
    armed: Option<usize>,
    drains: Vec<Drain>,
}

pub fn play(folder: &str, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::start(folder, &CHOICE)?;
    let shared = platform.shared.clone();
    let fronts: Vec<usize> = (0..3).filter_map(|_| open_front(&shared)).collect();
    let state = Arc::new(Mutex::new(State::default()));
    lock(&shared).on_offer = Some(Box::new(|world: &mut World, streamer, _, session| {
        world.after(20.0, move |world| world.end_session(streamer, session));
        Reply::Accept(Duration::from_millis(20))
    }));
    let hook_state = state.clone();
    lock(&shared).on_query = Some(Box::new(move |world: &mut World| {
        let now = world.now();
        let mut state = hook_state.lock().unwrap();
        for drain in state.drains.iter_mut().filter(|drain| drain.happened_at < now) {
            drain.answered_at.get_or_insert(now);
        }
        let Some(streamer) = state.armed.take() else { return };
        let drains = hook_state.clone();
        world.after(0.005, move |world| {
            world.list[streamer].draining = true;
            world.serial += 1;
            let happened_at = world.now();
            let name = world.streamers[streamer].name.clone();
            world.log(&format!("event {}: {name} drains", world.serial));
            let drain =
                Drain { streamer, happened_at, answered_at: None, stopped_at: None, continued_at: None };
            drains.lock().unwrap().drains.push(drain);
        });
        if trouble {
            let stops = hook_state.clone();
            world.after(0.150, move |world| {
                world.signal(SIGSTOP);
                let stopped_at = world.now();
                if let Some(drain) = stops.lock().unwrap().drains.last_mut() {
                    drain.stopped_at = Some(stopped_at);
                }
                let stops = stops.clone();
                world.after(PLAYED, move |world| {
                    world.signal(SIGCONT);
                    let continued_at = world.now();
                    if let Some(drain) = stops.lock().unwrap().drains.last_mut() {
                        drain.continued_at = Some(continued_at);
                    }
                });
            });
        }
    }));
    // Some ten set-ups a second, also while the controller stands still: its viewers don't know.
    sleep(Duration::from_millis(300));
    for step in 0..200 {
        if [50, 88, 126].contains(&step) {
            state.lock().unwrap().armed = Some((step - 50) / 38);
        }
        let mut world = lock(&shared);
        let (session, title) = (world.new_session(), world.new_session());
        let (class, left_ms) = if step % 3 == 0 { ("proof", 3000) } else { ("tour", 4000) };
        let set_up = SetUp { session, class, left_ms, title, home: 0, copies: 8, top: 4, at: None };
        world.set_up(fronts[step % fronts.len()], &set_up);
        drop(world);
        sleep(Duration::from_millis(100));
    }
    let world = lock(&shared);
    let mut broken = Vec::new();
    let mut lines = Vec::new();
    let mut judged = 0;
    for drain in &state.lock().unwrap().drains {
        let stood = drain.stopped_at.zip(drain.continued_at).map(|(from, to)| to - from);
        let told_at =
            drain.answered_at.map_or(f64::MAX, |at| at).min(drain.happened_at + TOLD_WITHIN + SLACK);
        let until = told_at + DRAIN_GRACE + SLACK;
        let name = &world.streamers[drain.streamer].name;
        lines.push(format!(
            "{name} drained at {:.3} s, an answer held it at {:?}, the controller stood still for {stood:?} s",
            drain.happened_at, drain.answered_at
        ));
        if stood.is_some_and(|stood| stood > LONGEST) || trouble && stood.is_none() {
            lines.push(format!("{name} isn't judged: the standstill was too long"));
            continue;
        }
        judged += 1;
        for join in world.joins.iter().filter(|join| join.streamer == drain.streamer && join.at > until) {
            broken.push(format!(
                "{:016x} was sent to {name} at {:.3} s, {:.3} s after it drained and {:.3} s after the last moment",
                join.session,
                join.at,
                join.at - drain.happened_at,
                join.at - until
            ));
        }
    }
    let checked = format!("{judged} drains; {}", lines.join("; "));
    drop(world);
    if judged == 0 {
        return Err("no drain could be judged".to_owned());
    }
    conclude(&mut platform, Verdict { broken, checked })
}

//! The controller stands still once for up to 2 s, on a busy day on which streamers turn set-ups away as full.
//! Its further joins are rationed.

use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::platform::{lock, open_front, Choice, Platform, Reply, World, SIGCONT, SIGSTOP};
use crate::standstill::{LONGEST, OBLIGATIONS, PROFILES};
use crate::wire::SetUp;
use crate::{conclude, Verdict};

const STREAMERS: usize = 12;
const CHOICE: Choice = Choice {
    streamers: STREAMERS,
    sockets: 1024,
    memory_mb: 192,
    obligations: OBLIGATIONS,
    profiles: PROFILES,
    seats: 0,
    notes: true,
};
const PLAYED: f64 = 1.98;
/// Sessions that a streamer runs at most.
const PLACES: usize = 10;
/// The ration, and its window less the slack that every time limit has.
const FREE: f64 = 3.0;
const SHARE: f64 = 0.1;
const WINDOW: f64 = 10.0;
const SLACK: f64 = 0.05;

pub fn play(folder: &str, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::start(folder, &CHOICE)?;
    let shared = platform.shared.clone();
    let fronts: Vec<usize> = (0..4).filter_map(|_| open_front(&shared)).collect();
    lock(&shared).on_offer = Some(Box::new(|world: &mut World, streamer, _, session| {
        let state = &world.streamers[streamer];
        if state.sessions.len() + state.outstanding.len() > PLACES {
            return Reply::Full;
        }
        let length = 5.0 + 6.0 * world.chance();
        world.after(length, move |world| world.end_session(streamer, session));
        Reply::Accept(Duration::from_millis(20))
    }));
    sleep(Duration::from_millis(300));
    let stood = Arc::new(Mutex::new(None));
    // 25 set-ups a second for 32 s.
    let start = lock(&shared).now();
    for step in 0..800 {
        if step == 400 && trouble {
            let stood = stood.clone();
            let mut world = lock(&shared);
            world.signal(SIGSTOP);
            let stopped_at = world.now();
            world.after(PLAYED, move |world| {
                world.signal(SIGCONT);
                *stood.lock().unwrap() = Some(world.now() - stopped_at);
            });
        }
        let mut world = lock(&shared);
        let (session, title) = (world.new_session(), world.new_session());
        let (class, left_ms) = if step % 3 == 0 { ("proof", 3000) } else { ("tour", 4000) };
        let set_up = SetUp { session, class, left_ms, title, home: 0, copies: STREAMERS, top: 4, at: None };
        world.set_up(fronts[step % fronts.len()], &set_up);
        let next = start + 0.04 * (step + 1) as f64;
        let wait = (next - world.now()).max(0.0);
        drop(world);
        sleep(Duration::from_secs_f64(wait));
    }
    sleep(Duration::from_millis(500));
    let world = lock(&shared);
    let mut seen = std::collections::BTreeSet::new();
    let further: Vec<f64> =
        world.joins.iter().filter(|join| !seen.insert(join.session)).map(|join| join.at).collect();
    let taken: Vec<f64> = world
        .requests
        .values()
        .filter(|request| !request.handed_over)
        .map(|request| request.sent_at)
        .collect();
    let (mut broken, mut most, mut worst) = (Vec::new(), 0, f64::MIN);
    for at in &further {
        let joins = further.iter().filter(|other| **other > at - WINDOW + SLACK && *other <= at).count();
        let requests =
            taken.iter().filter(|sent_at| **sent_at > at - WINDOW - SLACK && *sent_at <= at).count();
        let over = joins as f64 - (FREE + SHARE * requests as f64);
        most = most.max(joins);
        worst = worst.max(over);
        if over > 1e-9 {
            broken.push(format!(
                "at {at:.3} s the last 10 s held {joins} further joins and {requests} set-ups taken: {:.1} are allowed",
                FREE + SHARE * requests as f64
            ));
        }
    }
    let stood = *stood.lock().unwrap();
    let checked = format!(
        "{} further joins of {}, at most {most} in 10 s, {worst:.1} over the ration at worst; stood still for {stood:?} s",
        further.len(),
        world.joins.len()
    );
    broken.truncate(12);
    drop(world);
    if trouble && stood.is_none_or(|stood| stood > LONGEST) {
        return Err(format!("the standstill was too long: {stood:?} s"));
    }
    if further.len() < 20 {
        return Err(format!("only {} further joins were needed", further.len()));
    }
    conclude(&mut platform, Verdict { broken, checked })
}

//! A streamer's answer stops short on a connection. A session that was set up on that connection ends within
//! its last seconds. The streamer writes the release on that connection, and on the next one that is opened.

use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::platform::{lock, open_front, Choice, Platform, Reply, World};
use crate::wire::SetUp;
use crate::{conclude, Verdict};

const CHOICE: Choice = Choice {
    streamers: 3,
    sockets: 512,
    memory_mb: 128,
    obligations: "{\"askWithinUs\":10000000,\"coldFrom\":0.4,\"coldUs\":12000000,\"drainGraceUs\":500000,\
                  \"graceToAnswerUs\":40000,\"tipAfterUs\":1500000,\"tipMultiple\":2.0}",
    profiles:
        "[{\"aimUs\":1500000,\"deadlineUs\":4000000,\"effect\":\"free\",\"group\":\"all\",\"lateWorth\":0.0,\
               \"name\":\"tour\",\"stream\":true,\"windowUs\":5000000,\"worth\":1.0}]",
    seats: 0,
    notes: true,
};
/// A release is due within this time of the session's end, even if none could be sent at first.
const RELEASE_LATEST: f64 = 8.05;

struct State {
    /// Answers take long, so that several connections are opened.
    burst: bool,
    /// The next offer on a connection that another session was set up on gets an answer that stops short.
    armed: bool,
    /// Sessions whose connection was spoilt, with their streamers.
    victims: Vec<u64>,
}

pub fn play(folder: &str, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::start(folder, &CHOICE)?;
    let shared = platform.shared.clone();
    let front = open_front(&shared).ok_or("no connection to the controller")?;
    let state = Arc::new(Mutex::new(State { burst: true, armed: false, victims: Vec::new() }));
    let hook_state = state.clone();
    lock(&shared).on_offer = Some(Box::new(move |world: &mut World, streamer, connection, _| {
        let mut state = hook_state.lock().unwrap();
        if state.burst {
            return Reply::Accept(Duration::from_millis(150));
        }
        let others = world.streamers[streamer].connections.keys().any(|other| *other != connection);
        let mut standing = world.streamers[streamer].sessions.iter();
        let victim = standing.find(|(_, session)| session.connection == connection).map(|(id, _)| *id);
        let Some(victim) = victim.filter(|_| state.armed && others) else {
            return Reply::Accept(Duration::from_millis(20));
        };
        state.armed = false;
        state.victims.push(victim);
        world.after(0.1, move |world| world.end_session(streamer, victim));
        match trouble {
            true => Reply::StopShort,
            false => Reply::Accept(Duration::from_millis(20)),
        }
    }));
    let ask = |count: usize| {
        for _ in 0..count {
            let mut world = lock(&shared);
            let (session, title) = (world.new_session(), world.new_session());
            let set_up =
                SetUp { session, class: "tour", left_ms: 4000, title, home: 0, copies: 3, top: 4, at: None };
            world.set_up(front, &set_up);
        }
    };
    sleep(Duration::from_millis(300));
    ask(9);
    sleep(Duration::from_millis(1200));
    state.lock().unwrap().burst = false;
    // One set-up in 0.7 s; the connection of each third or so is spoilt under it, three in all.
    for step in 0..20 {
        if [4, 9, 14].contains(&step) {
            state.lock().unwrap().armed = true;
        }
        ask(1);
        sleep(Duration::from_millis(700));
    }
    sleep(Duration::from_millis(9500));
    let world = lock(&shared);
    let victims = state.lock().unwrap().victims.clone();
    let mut broken = Vec::new();
    let mut latest: f64 = 0.0;
    for (session, request) in &world.requests {
        let Some(ended_at) = request.ended_at else { continue };
        let heard_at = request.released_at.map(|(at, _)| at);
        let waited = heard_at.unwrap_or(world.now()) - ended_at;
        latest = latest.max(waited);
        if waited > RELEASE_LATEST {
            broken.push(format!(
                "session {session:016x} ended at {ended_at:.3} s, and its viewer {}",
                heard_at.map_or(format!("had heard nothing {waited:.1} s later"), |at| format!(
                    "heard so at {at:.3} s"
                ))
            ));
        }
    }
    let checked =
        format!("{} sessions that streamers ended, longest wait for a release {latest:.3} s", victims.len());
    drop(world);
    if victims.is_empty() {
        return Err("no session was set up on a connection that was used again".to_owned());
    }
    conclude(&mut platform, Verdict { broken, checked })
}

//! Bad clients send hundreds of set-ups with `at` at once, each for an id that no streamer knows. Usual viewers
//! ask for sessions meanwhile and afterwards.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::platform::{lock, open_front, Choice, Platform, Reply, Shared, World};
use crate::wire::SetUp;
use crate::{conclude, Verdict};

const CHOICE: Choice = Choice {
    streamers: 4,
    sockets: 1024,
    memory_mb: 192,
    obligations: "{\"askWithinUs\":10000000,\"coldFrom\":0.4,\"coldUs\":12000000,\"drainGraceUs\":500000,\
                  \"graceToAnswerUs\":40000,\"tipAfterUs\":1500000,\"tipMultiple\":2.0}",
    profiles:
        "[{\"aimUs\":1500000,\"deadlineUs\":4000000,\"effect\":\"free\",\"group\":\"all\",\"lateWorth\":0.0,\
               \"name\":\"tour\",\"stream\":true,\"windowUs\":5000000,\"worth\":1.0}]",
    seats: 0,
    notes: true,
};
const BAD_CLIENTS: usize = 100;
const REQUESTS_AT_ONCE: usize = 300;
/// How long a viewer waits, and how long after that an answer is not lost yet.
const LEFT_MS: u64 = 4000;
const NOT_LOST_YET: f64 = 0.55;

pub fn play(folder: &str, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::start(folder, &CHOICE)?;
    let shared = platform.shared.clone();
    let fronts: Vec<usize> = (0..2).filter_map(|_| open_front(&shared)).collect();
    lock(&shared).on_offer = Some(Box::new(|world: &mut World, streamer, _, session| {
        world.after(15.0, move |world| world.end_session(streamer, session));
        Reply::Accept(Duration::from_millis(20))
    }));
    sleep(Duration::from_millis(300));
    let mut clients = Vec::new();
    let mut asked = Vec::new();
    // Two usual viewers a second for 40 s. From the fourth second on, five bad clients with each of them.
    for step in 0..80 {
        let mut world = lock(&shared);
        let (session, title) = (world.new_session(), world.new_session());
        let set_up =
            SetUp { session, class: "tour", left_ms: LEFT_MS, title, home: 0, copies: 4, top: 4, at: None };
        if world.set_up(fronts[step % fronts.len()], &set_up) {
            asked.push(session);
        }
        drop(world);
        for index in 0..5 {
            let number = 5 * step.saturating_sub(8) + index;
            if trouble && step >= 8 && number < BAD_CLIENTS {
                let shared = shared.clone();
                clients.push(thread::spawn(move || send_unknown_ids(&shared, number)));
            }
        }
        sleep(Duration::from_millis(500));
    }
    sleep(Duration::from_secs(6));
    let world = lock(&shared);
    let (mut broken, mut longest) = (Vec::new(), 0.0f64);
    for session in &asked {
        let Some(request) = world.requests.get(session) else { continue };
        let answered_at = request.accepted_at.or(request.refused_at.map(|(at, _)| at));
        let waited = answered_at.unwrap_or(world.now()) - request.sent_at;
        longest = longest.max(waited);
        if waited > LEFT_MS as f64 / 1000.0 + NOT_LOST_YET {
            broken.push(format!(
                "set-up {session:016x} of a usual viewer, sent at {:.3} s, {}",
                request.sent_at,
                answered_at.map_or(format!("has no answer {waited:.1} s later"), |at| format!(
                    "was answered at {at:.3} s, {waited:.1} s later"
                ))
            ));
        }
    }
    let checked = format!(
        "{} set-ups of usual viewers, {} lost, longest wait for an answer {longest:.1} s",
        asked.len(),
        broken.len()
    );
    broken.truncate(12);
    drop(world);
    conclude(&mut platform, Verdict { broken, checked })
}

/// A bad client: connects, sends its requests at full speed, and reads what is sent to it for five seconds.
fn send_unknown_ids(shared: &Shared, number: usize) {
    let (listen, names) = {
        let mut world = lock(shared);
        world.log(&format!(
            "bad client {number} sends {REQUESTS_AT_ONCE} set-ups at once, for ids that no streamer knows"
        ));
        (world.listen, world.streamers.iter().map(|streamer| streamer.name.clone()).collect::<Vec<_>>())
    };
    let Ok(mut stream) = TcpStream::connect_timeout(&listen, Duration::from_secs(2)) else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
    let mut bytes = Vec::new();
    for request in 0..REQUESTS_AT_ONCE {
        let id = 0x1000_0000_0000_0000 + ((number as u64) << 32) + request as u64;
        let at = Some(names[request % names.len()].clone());
        let set_up =
            SetUp { session: id, class: "tour", left_ms: 4000, title: id, home: 0, copies: 4, top: 4, at };
        bytes.extend(set_up.frame());
    }
    if stream.write_all(&bytes).is_err() {
        return;
    }
    let (until, mut buffer) = (Instant::now() + Duration::from_secs(5), [0; 4096]);
    while Instant::now() < until {
        if matches!(stream.read(&mut buffer), Ok(0)) {
            return;
        }
    }
}

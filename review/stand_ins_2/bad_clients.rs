//! Bad clients send set-ups with `at` for ids that no streamer knows, and hundreds connect and say nothing.
//! Usual viewers' sessions end at their streamers meanwhile.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::platform::{lock, open_front, Choice, Platform, Shared};
use crate::wire::SetUp;
use crate::{conclude, Verdict};

const CHOICE: Choice = Choice {
    streamers: 3,
    sockets: 256,
    memory_mb: 64,
    obligations: "{\"askWithinUs\":10000000,\"coldFrom\":0.4,\"coldUs\":12000000,\"drainGraceUs\":500000,\
                  \"graceToAnswerUs\":40000,\"tipAfterUs\":1500000,\"tipMultiple\":2.0}",
    profiles:
        "[{\"aimUs\":1500000,\"deadlineUs\":4000000,\"effect\":\"free\",\"group\":\"all\",\"lateWorth\":0.0,\
               \"name\":\"tour\",\"stream\":true,\"windowUs\":5000000,\"worth\":1.0}]",
    seats: 0,
    notes: true,
};
const RELEASE_LATEST: f64 = 8.05;
/// Viewers' connections that hold one session each.
const FRONT_CONNECTIONS: usize = 5;
const CLIENTS_WITH_UNKNOWN_IDS: usize = 40;
const SILENT_CLIENTS: usize = 200;

pub fn play(folder: &str, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::start(folder, &CHOICE)?;
    let shared = platform.shared.clone();
    let over = Arc::new(AtomicBool::new(false));
    let mut sessions = Vec::new();
    sleep(Duration::from_millis(300));
    for _ in 0..FRONT_CONNECTIONS {
        let front = open_front(&shared).ok_or("no connection to the controller")?;
        sessions.push(ask(&shared, front));
        sleep(Duration::from_millis(100));
    }
    // Further viewers come all the time, on a connection of their own.
    let (viewers, stop) = (shared.clone(), over.clone());
    let traffic = thread::spawn(move || {
        let mut front = None;
        while !stop.load(Ordering::Relaxed) {
            let open = front.filter(|front| lock(&viewers).front.contains_key(front));
            front = open.or_else(|| open_front(&viewers));
            if let Some(front) = front {
                ask(&viewers, front);
            }
            sleep(Duration::from_millis(500));
        }
    });
    sleep(Duration::from_secs(2));
    let mut clients = Vec::new();
    if trouble {
        lock(&shared)
            .log(&format!("{CLIENTS_WITH_UNKNOWN_IDS} bad clients connect, with ids that no streamer knows"));
        for index in 0..CLIENTS_WITH_UNKNOWN_IDS {
            let (world, stop) = (shared.clone(), over.clone());
            clients.push(thread::spawn(move || send_unknown_ids(&world, &stop, index)));
        }
    }
    sleep(Duration::from_secs(2));
    let silent = Arc::new(AtomicBool::new(false));
    if trouble {
        lock(&shared).log(&format!("{SILENT_CLIENTS} bad clients connect and say nothing"));
        let listen = lock(&shared).listen;
        for _ in 0..SILENT_CLIENTS {
            let stop = over.clone();
            let stream = TcpStream::connect_timeout(&listen, Duration::from_millis(500));
            clients.push(thread::spawn(move || read_until_closed(stream.ok(), &stop)));
        }
        silent.store(true, Ordering::Relaxed);
    }
    sleep(Duration::from_secs(2));
    for session in &sessions {
        let mut world = lock(&shared);
        let streamer = world.streamers.iter().position(|streamer| streamer.sessions.contains_key(session));
        if let Some(streamer) = streamer {
            world.end_session(streamer, *session);
        }
        drop(world);
        sleep(Duration::from_millis(300));
    }
    sleep(Duration::from_millis(9500));
    over.store(true, Ordering::Relaxed);
    let _ = traffic.join();
    clients.into_iter().for_each(|client| drop(client.join()));
    let world = lock(&shared);
    let (mut broken, mut ended, mut latest) = (Vec::new(), 0, 0.0f64);
    for session in &sessions {
        let Some(request) = world.requests.get(session) else { continue };
        let Some(ended_at) = request.ended_at else { continue };
        ended += 1;
        let heard_at = request.released_at.map(|(at, _)| at);
        let waited = heard_at.unwrap_or(world.now()) - ended_at;
        latest = latest.max(waited);
        if waited > RELEASE_LATEST {
            broken.push(format!(
                "session {session:016x} ended at {ended_at:.3} s, and its viewer had heard nothing {waited:.1} s later"
            ));
        }
    }
    let checked = format!("{ended} sessions that streamers ended, longest wait for a release {latest:.3} s");
    drop(world);
    if ended < FRONT_CONNECTIONS {
        return Err(format!("only {ended} of {FRONT_CONNECTIONS} sessions stood"));
    }
    conclude(&mut platform, Verdict { broken, checked })
}

/// A viewer's set-up, on one of the front's connections.
fn ask(shared: &Shared, front: usize) -> u64 {
    let mut world = lock(shared);
    let (session, title) = (world.new_session(), world.new_session());
    let set_up = SetUp { session, class: "tour", left_ms: 4000, title, home: 0, copies: 3, top: 4, at: None };
    world.set_up(front, &set_up);
    session
}

/// A bad client: each of its set-ups says that a session plays already, and no streamer knows its id. It reads
/// what is sent to it, and sends the next one half a second later.
fn send_unknown_ids(shared: &Shared, stop: &AtomicBool, index: usize) {
    let (listen, name, mut id) = {
        let world = lock(shared);
        // Half of them name a streamer of the list, half one that there is not.
        let listed = world.streamers[index % 3].name.clone();
        let name = if index % 2 == 0 { listed } else { format!("s-{:08x}", 0x0bad_0000 + index) };
        (world.listen, name, 0x1000_0000_0000_0000 + ((index as u64) << 32))
    };
    let Ok(mut stream) = TcpStream::connect_timeout(&listen, Duration::from_millis(500)) else { return };
    sleep(Duration::from_millis(12 * index as u64));
    let mut buffer = [0; 4096];
    while !stop.load(Ordering::Relaxed) {
        id += 1;
        let set_up = SetUp {
            session: id,
            class: "tour",
            left_ms: 4000,
            title: id,
            home: 0,
            copies: 3,
            top: 4,
            at: Some(name.clone()),
        };
        if stream.write_all(&set_up.frame()).is_err() {
            return;
        }
        let next = Instant::now() + Duration::from_millis(500);
        loop {
            let wait = next.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                break;
            }
            let _ = stream.set_read_timeout(Some(wait));
            match stream.read(&mut buffer) {
                Ok(0) => return,
                Ok(count) => log_received(shared, index, &buffer[..count]),
                Err(_) => {}
            }
        }
    }
}

fn log_received(shared: &Shared, index: usize, bytes: &[u8]) {
    let mut bytes = bytes.to_vec();
    let mut world = lock(shared);
    while let Some(received) = crate::wire::take_frame(&mut bytes) {
        world.log(&format!("bad client {index} hears type {} on {:016x}", received.kind, received.session));
    }
}

fn read_until_closed(stream: Option<TcpStream>, stop: &AtomicBool) {
    let Some(mut stream) = stream else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    let mut buffer = [0; 256];
    while !stop.load(Ordering::Relaxed) {
        if matches!(stream.read(&mut buffer), Ok(0)) {
            return;
        }
    }
}

//! Stand-ins of the platform round two controllers: streamers, the name service, the front with its viewers,
//! and the controllers' processes. They do what `PROTOCOL.md` says of them; a case adds its disruption.

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::wire::{self, Listed, Received, SetUp};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn listen(socket: i32, backlog: i32) -> i32;
    fn prctl(option: i32, argument: usize, a: usize, b: usize, c: usize) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

/// A viewer's request, from its set-up to its end. All times are seconds since the start of the case.
#[derive(Default, Clone, Debug)]
pub struct Request {
    /// When the last byte of its set-up was written.
    pub sent_at: f64,
    /// The front's connection that its set-up went on.
    pub connection: usize,
    pub accepted_at: Option<f64>,
    pub refused_at: Option<(f64, u8)>,
    /// When the viewer heard that its session is over.
    pub released_at: Option<(f64, u8)>,
    /// When its streamer ended its session.
    pub ended_at: Option<f64>,
    /// Handed over: it wants no answer.
    pub handed_over: bool,
    pub class: &'static str,
    pub title: u64,
}

/// An attempt that came whole to a streamer.
#[derive(Clone, Debug)]
pub struct Join {
    pub at: f64,
    pub session: u64,
    pub streamer: usize,
}

/// A session that stands at a streamer; the connection of its set-up.
#[derive(Clone, Debug)]
pub struct Standing {
    pub connection: usize,
}

/// What a streamer does with an offer.
pub enum Reply {
    /// Accepts it after this time.
    Accept(Duration),
    /// Refuses it as full.
    Full,
    /// Its answer stops short: the first half of it is written, and never the rest.
    StopShort,
}

pub struct Streamer {
    pub name: String,
    pub address: SocketAddr,
    pub connections: BTreeMap<usize, TcpStream>,
    pub outstanding: Vec<(usize, u64)>,
    pub sessions: BTreeMap<u64, Standing>,
    /// Releases that go on the next connection that is opened, too.
    pub repeated_releases: Vec<String>,
    /// New connections come up late: its queue of connections is full until it accepts again.
    pub comes_up_late: bool,
    /// When it last said something, or accepted a connection.
    pub said_at: f64,
    next_note_at: f64,
}

pub type Action = Box<dyn FnOnce(&mut World) + Send>;
pub type OnOffer = Box<dyn FnMut(&mut World, usize, usize, u64) -> Reply + Send>;
pub type OnQuery = Box<dyn FnMut(&mut World) + Send>;

pub struct World {
    start: Instant,
    record: fs::File,
    pub streamers: Vec<Streamer>,
    pub list: Vec<Listed>,
    pub serial: u32,
    pub requests: BTreeMap<u64, Request>,
    pub joins: Vec<Join>,
    pub faults: Vec<String>,
    actions: Vec<(f64, Action)>,
    next_connection: usize,
    next_session: u64,
    pub on_offer: Option<OnOffer>,
    pub on_query: Option<OnQuery>,
    /// The front's connections.
    pub front: BTreeMap<usize, TcpStream>,
    pub listen: SocketAddr,
    pub pid: i32,
    /// Sessions that were moved: the platform ends them at their streamers.
    pub moves: usize,
    pub tell_notes: bool,
}

pub type Shared = Arc<Mutex<World>>;

pub fn lock(shared: &Shared) -> MutexGuard<'_, World> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl World {
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn log(&mut self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.record, "{now:9.3} {text}");
    }

    pub fn after(&mut self, seconds: f64, action: impl FnOnce(&mut World) + Send + 'static) {
        let at = self.now() + seconds;
        self.actions.push((at, Box::new(action)));
    }

    fn run_due(&mut self) {
        loop {
            let now = self.now();
            let due = (0..self.actions.len())
                .filter(|index| self.actions[*index].0 <= now)
                .min_by(|a, b| self.actions[*a].0.total_cmp(&self.actions[*b].0));
            let Some(index) = due else { break };
            let (_, action) = self.actions.swap_remove(index);
            action(self);
        }
        for index in 0..self.streamers.len() {
            if self.tell_notes && self.now() >= self.streamers[index].next_note_at {
                self.streamers[index].next_note_at = self.now() + 3.0;
                self.tell_load(index);
            }
        }
    }

    pub fn new_session(&mut self) -> u64 {
        self.next_session =
            self.next_session.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.next_session ^ (self.next_session >> 29)
    }

    /// A number in [0, 1) that is the same in each run.
    pub fn chance(&mut self) -> f64 {
        (self.new_session() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn write_line(&mut self, streamer: usize, connection: usize, text: &str) -> bool {
        self.streamers[streamer].said_at = self.now();
        let stream = self.streamers[streamer].connections.get_mut(&connection);
        stream.is_some_and(|stream| stream.write_all(text.as_bytes()).is_ok())
    }

    /// Notes 3 and 4 on one of the controller's sessions there.
    fn tell_load(&mut self, streamer: usize) {
        let state = &self.streamers[streamer];
        let Some((session, standing)) = state.sessions.iter().next() else { return };
        let (session, own) = (*session, standing.connection);
        let connection = if state.connections.contains_key(&own) {
            Some(own)
        } else {
            state.connections.keys().next().copied()
        };
        let Some(connection) = connection else { return };
        for note in ["wire", "trunk"] {
            let text =
                wire::line("info", session, &format!(",\"with\":{{\"note\":\"{note}\",\"value\":\"0.30\"}}"));
            self.write_line(streamer, connection, &text);
        }
    }

    fn offer_arrives(&mut self, streamer: usize, connection: usize, session: u64) {
        let now = self.now();
        let name = self.streamers[streamer].name.clone();
        self.joins.push(Join { at: now, session, streamer });
        self.streamers[streamer].outstanding.push((connection, session));
        if !self.requests.contains_key(&session) {
            self.faults.push(format!("{now:.3}: an offer for {session:016x}, which no viewer sent"));
        }
        let mut hook = self.on_offer.take();
        let reply = match &mut hook {
            Some(hook) => hook(self, streamer, connection, session),
            None => Reply::Accept(Duration::from_millis(20)),
        };
        self.on_offer = hook;
        match reply {
            Reply::Accept(delay) => {
                self.log(&format!(
                    "offer {session:016x} at {name} on connection {connection}: will be accepted"
                ));
                self.after(delay.as_secs_f64(), move |world| world.accept(streamer, connection, session));
            }
            Reply::Full => {
                self.log(&format!("offer {session:016x} at {name} on connection {connection}: full"));
                self.forget_offer(streamer, connection, session);
                let text = wire::line("end", session, ",\"with\":{},\"why\":34");
                self.write_line(streamer, connection, &text);
            }
            Reply::StopShort => {
                self.log(&format!(
                    "offer {session:016x} at {name} on connection {connection}: its answer stops short"
                ));
                let text = accept_line(session);
                self.write_line(streamer, connection, &text[..text.len() / 2]);
            }
        }
    }

    fn forget_offer(&mut self, streamer: usize, connection: usize, session: u64) -> bool {
        let outstanding = &mut self.streamers[streamer].outstanding;
        let before = outstanding.len();
        outstanding.retain(|offer| *offer != (connection, session));
        outstanding.len() < before
    }

    fn accept(&mut self, streamer: usize, connection: usize, session: u64) {
        if !self.forget_offer(streamer, connection, session) {
            return;
        }
        self.log(&format!(
            "{} accepts {session:016x} on connection {connection}",
            self.streamers[streamer].name
        ));
        self.streamers[streamer].sessions.insert(session, Standing { connection });
        self.write_line(streamer, connection, &accept_line(session));
        if self.tell_notes {
            for note in ["wire", "trunk"] {
                let text = wire::line(
                    "info",
                    session,
                    &format!(",\"with\":{{\"note\":\"{note}\",\"value\":\"0.30\"}}"),
                );
                self.write_line(streamer, connection, &text);
            }
        }
    }

    /// A streamer ends a session: its release goes on the connection of its set-up, else on any open one, and
    /// on the next one that is opened.
    pub fn end_session(&mut self, streamer: usize, session: u64) {
        let Some(standing) = self.streamers[streamer].sessions.remove(&session) else { return };
        let now = self.now();
        if let Some(request) = self.requests.get_mut(&session) {
            request.ended_at = Some(now);
        }
        let text = wire::line("end", session, ",\"with\":{},\"why\":16");
        let connections = &self.streamers[streamer].connections;
        let own = Some(standing.connection).filter(|own| connections.contains_key(own));
        let on = own.or_else(|| connections.keys().next().copied());
        self.log(&format!("{} ends session {session:016x}: release written on connection {on:?}, and on the next one that is opened", self.streamers[streamer].name));
        if let Some(connection) = on {
            self.write_line(streamer, connection, &text);
        }
        self.streamers[streamer].repeated_releases.push(text);
    }

    fn line_arrives(&mut self, streamer: usize, connection: usize, text: &str) {
        let session = wire::field(text, "call").and_then(|id| u64::from_str_radix(id, 16).ok());
        let (Some(op), Some(session)) = (wire::field(text, "op"), session) else {
            self.faults.push(format!("a line that cannot be read: {text}"));
            return;
        };
        match op {
            "offer" => self.offer_arrives(streamer, connection, session),
            "end" => {
                let given_up = self.forget_offer(streamer, connection, session);
                let cut = self.streamers[streamer].sessions.remove(&session).is_some();
                let name = self.streamers[streamer].name.clone();
                self.log(&format!("the controller ends {session:016x} at {name} (offer given up {given_up}, session cut {cut})"));
            }
            "test" => {
                let text =
                    wire::line("tested", session, ",\"why\":1,\"with\":{\"load\":\"x0:0.30;x1:0.30\"}");
                self.write_line(streamer, connection, &text);
            }
            _ => {}
        }
    }

    /// Sends a set-up on one of the front's connections.
    pub fn set_up(&mut self, connection: usize, set_up: &SetUp) -> bool {
        let session = set_up.session;
        let handed_over = set_up.at.is_some();
        self.requests.insert(
            session,
            Request {
                connection,
                handed_over,
                class: set_up.class,
                title: set_up.title,
                ..Request::default()
            },
        );
        let written =
            self.front.get_mut(&connection).is_some_and(|stream| stream.write_all(&set_up.frame()).is_ok());
        let now = self.now();
        if !written {
            self.requests.remove(&session);
            return false;
        }
        if let Some(request) = self.requests.get_mut(&session) {
            request.sent_at = now;
        }
        let what = if handed_over { "hand-over" } else { "set-up" };
        self.log(&format!("{what} {session:016x} sent on the front's connection {connection}"));
        true
    }

    fn front_receives(&mut self, connection: usize, received: &Received) {
        let (now, session) = (self.now(), received.session);
        match received.kind {
            wire::ANSWER => {
                let genuine = received.value(78) == Some(description(session).as_bytes());
                if !genuine {
                    self.faults.push(format!("{session:016x} was answered with what no streamer made"));
                }
                self.log(&format!("viewer {session:016x}: answer"));
                if let Some(request) = self.requests.get_mut(&session) {
                    if request.accepted_at.or(request.refused_at.map(|(at, _)| at)).is_some() {
                        self.faults.push(format!("{session:016x} has a second answer"));
                    }
                    request.accepted_at.get_or_insert(now);
                }
            }
            wire::RELEASE => {
                let cause = received.value(75).and_then(|value| value.first().copied()).unwrap_or(0);
                self.log(&format!("viewer {session:016x}: release with cause {cause} on the front's connection {connection}"));
                if let Some(request) = self.requests.get_mut(&session) {
                    if request.accepted_at.is_some() || request.handed_over {
                        request.released_at.get_or_insert((now, cause));
                    } else {
                        request.refused_at.get_or_insert((now, cause));
                    }
                }
                let heard = wire::frame(wire::RELEASE_HEARD, session, &[]);
                if let Some(stream) = self.front.get_mut(&connection) {
                    let _ = stream.write_all(&heard);
                }
            }
            wire::MOVE => {
                self.moves += 1;
                self.log(&format!("viewer {session:016x}: moved"));
                if let Some(request) = self.requests.get_mut(&session) {
                    request.released_at.get_or_insert((now, 0));
                }
                for streamer in 0..self.streamers.len() {
                    if let Some(standing) = self.streamers[streamer].sessions.remove(&session) {
                        let text = wire::line("end", session, ",\"with\":{},\"why\":31");
                        self.write_line(streamer, standing.connection, &text);
                    }
                }
            }
            _ => {}
        }
    }

    pub fn signal(&mut self, signal: i32) {
        // Safety: the process was started by this program and not yet waited for.
        unsafe { kill(self.pid, signal) };
        let name = match signal {
            SIGSTOP => "stop",
            SIGCONT => "continue",
            _ => "kill",
        };
        self.log(&format!("signal to the controller: {name}"));
    }
}

pub fn description(session: u64) -> String {
    format!("made for {session:016x}")
}

fn accept_line(session: u64) -> String {
    wire::line("accept", session, &format!(",\"with\":{{}},\"desc\":\"{}\"", description(session)))
}

/// A platform with two controllers, which end with it. All viewers come to the first one, which alone meets the
/// disruptions.
pub struct Platform {
    pub shared: Shared,
    controllers: Vec<Child>,
    folder: PathBuf,
}

/// The number of controllers.
const CONTROLLERS: usize = 2;

/// The settings of the controller that a case chooses.
pub struct Choice {
    pub streamers: usize,
    pub sockets: usize,
    pub memory_mb: usize,
    /// The text of `obligations`.
    pub obligations: &'static str,
    /// The text of `profiles`.
    pub profiles: &'static str,
    /// Sessions of one title in the second class that a controller may hold; 0 if there is no such term.
    pub seats: usize,
    /// Whether streamers report their load in answers and notes, or only when they are probed.
    pub notes: bool,
}

fn settings(choice: &Choice, number: usize) -> String {
    let streamers = choice.streamers;
    format!(
        "{{\"balancers\":{CONTROLLERS},\"clientHabits\":{{\"marksRetry\":true}},\"discovery\":\"automatic\",\
         \"failureDomains\":[\"hall\"],\"familyInfo\":{{\"classLive\":[false,false],\"classScale\":[1.0,1.0],\
         \"classTop\":[4,4],\"floorByClass\":[0,0],\"groups\":3,\"guard\":0.0,\"joinAdds\":1.0,\"kindStreams\":[400],\
         \"ladderWorth\":[0.25,0.45,0.65,0.85,1.0],\"levelKb\":[200.0,400.0,700.0,1200.0,2000.0],\
         \"licenceCap\":[0,{}],\"linkUnitKb\":100000.0,\"linksKb\":2400000.0,\"positions\":{streamers},\
         \"stall\":7.0,\"switchCostS\":0.6,\"toldEveryUs\":{},\"toldLateUs\":800000,\"uplinkKb\":900000.0}},\
         \"goal\":{{\"whole\":0.4,\"worstClass\":0.2,\"worstTenant\":0.0,\"worstWindow\":0.4}},\
         \"hostTypes\":[\"two-core\"],\"kindOfService\":\"streams\",\"layer\":0,\"me\":{number},\
         \"obligations\":{},\"overShareWorth\":0.1,\
         \"permissions\":{{\"connectTimeoutUs\":250000,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":500000,\
         \"keepaliveUs\":30000000,\"maxAttempts\":5,\"maxOpen\":1000000,\"maxRetryAfterUs\":2000000,\
         \"maxStreams\":1048576,\"mayCancel\":true,\"peers\":false,\"probing\":true,\"retryAfter\":true,\
         \"secondCopies\":false}},\
         \"prices\":{{\"connection\":0.0,\"crossZone\":0.04,\"discovery\":0.0,\"handshake\":0.0,\"lateFail\":0.07,\
         \"moves\":0.05,\"origin\":0.0,\"peer\":0.01,\"probe\":0.011,\"waste\":0.0}},\
         \"profiles\":{},\"report\":{{\"fields\":[\"x0\",\"x1\"],\"how\":\"{}\"}},\
         \"stages\":[\"media-fleet\"],\"tenants\":[],\"tickUs\":10000,\"weights\":\"nominal\",\"worthBy\":\"work\",\
         \"zone\":0}}",
        choice.seats,
        if choice.notes { 3_000_000 } else { 0 },
        choice.obligations,
        choice.profiles,
        if choice.notes { "answers" } else { "probe" }
    )
}

impl Platform {
    /// Starts the stand-ins and the controller, and waits until it passes a test. Then hands over one session
    /// that plays at each streamer, as the front does at the start of a day.
    pub fn start(case: &str, choice: &Choice) -> Result<Self, String> {
        let fault = |error: std::io::Error| error.to_string();
        let record = fs::File::create(PathBuf::from(case).join("record.txt")).map_err(fault)?;
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos());
        let folder = std::env::temp_dir().join(format!("review-2-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&folder).map_err(fault)?;
        let listen = free_address().map_err(fault)?;
        let world = World {
            start: Instant::now(),
            record,
            streamers: Vec::new(),
            list: Vec::new(),
            serial: 40,
            requests: BTreeMap::new(),
            joins: Vec::new(),
            faults: Vec::new(),
            actions: Vec::new(),
            next_connection: 0,
            next_session: 0x9e37_79b9_7f4a_7c15,
            on_offer: None,
            on_query: None,
            front: BTreeMap::new(),
            listen,
            pid: 0,
            moves: 0,
            tell_notes: choice.notes,
        };
        let shared = Arc::new(Mutex::new(world));
        for index in 0..choice.streamers {
            open_streamer(&shared, index).map_err(fault)?;
        }
        let mut platform = Self { shared, controllers: Vec::new(), folder };
        for number in 0..CONTROLLERS {
            // Another process may take the address before the controller does.
            let started = (0..4).any(|_| match free_address() {
                Ok(listen) => platform.start_controller(number, listen, choice).is_ok(),
                Err(_) => false,
            });
            if !started {
                return Err(format!("controller n{number} could not be started"));
            }
        }
        let ticker = platform.shared.clone();
        thread::spawn(move || loop {
            lock(&ticker).run_due();
            thread::sleep(Duration::from_millis(1));
        });
        platform.hand_over_at_start()?;
        Ok(platform)
    }

    /// Starts a controller with the command of the deploy file, and waits until it passes a test.
    fn start_controller(&mut self, number: usize, listen: SocketAddr, choice: &Choice) -> Result<(), String> {
        let fault = |error: std::io::Error| error.to_string();
        let names = UdpSocket::bind("127.0.0.1:0").map_err(fault)?;
        let name_service = names.local_addr().map_err(fault)?;
        serve_names(&self.shared, names, number == 0);
        let configuration = {
            let world = lock(&self.shared);
            format!(
                "{{\"name\":\"n{number}\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be96{number}\",\
                 \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"peers\":[],\
                 \"names\":\"{name_service}\",\"known\":{},\"settings\":{}}}",
                choice.memory_mb,
                choice.sockets,
                wire::known(world.serial, &world.list),
                settings(choice, number)
            )
        };
        let path = self.folder.join(format!("n{number}.json"));
        fs::write(&path, configuration).map_err(fault)?;
        let log = fs::File::create(self.folder.join(format!("n{number}.log"))).map_err(fault)?;
        let temporary = self.folder.join(format!("tmp{number}"));
        fs::create_dir_all(&temporary).map_err(fault)?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &run_command()?]);
        command
            .env("GW_NAME", format!("n{number}"))
            .env("GW_LISTEN", listen.to_string())
            .env("GW_CONFIG", &path);
        command.env("TMPDIR", temporary).stdin(Stdio::null());
        command.stdout(log.try_clone().map_err(fault)?).stderr(log);
        // Safety: only one system call is made between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().map_err(fault)?;
        if number == 0 {
            let mut world = lock(&self.shared);
            (world.pid, world.listen) = (child.id() as i32, listen);
        }
        self.controllers.push(child);
        for _ in 0..150 {
            if passes_test(listen) {
                lock(&self.shared).log(&format!("controller n{number} passes a test"));
                return Ok(());
            }
            if !self.is_running() {
                let _ = self.controllers.pop().map(|mut ended| ended.wait());
                return Err(format!("controller n{number} ended at its start"));
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err(format!("controller n{number} was not ready within 30 s"))
    }

    fn hand_over_at_start(&mut self) -> Result<(), String> {
        let connection = open_front(&self.shared).ok_or("no connection to the controller")?;
        let mut world = lock(&self.shared);
        let count = world.streamers.len();
        for streamer in 0..count {
            let session = world.new_session();
            let name = world.streamers[streamer].name.clone();
            world.streamers[streamer].sessions.insert(session, Standing { connection: usize::MAX });
            let set_up = SetUp {
                session,
                class: "tour",
                left_ms: 4_294_967,
                title: session,
                home: 0,
                copies: count,
                top: 4,
                at: Some(name),
            };
            world.set_up(connection, &set_up);
        }
        Ok(())
    }

    pub fn is_running(&mut self) -> bool {
        self.controllers.iter_mut().all(|controller| matches!(controller.try_wait(), Ok(None)))
    }

    /// The last lines of the controller's log.
    pub fn copy_log(&self) {
        let text = fs::read_to_string(self.folder.join("n0.log")).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let mut world = lock(&self.shared);
        for line in &lines[lines.len().saturating_sub(40)..] {
            world.log(&format!("controller's log: {line}"));
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for controller in &mut self.controllers {
            let _ = controller.kill();
            let _ = controller.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The command `run` of the deploy file.
fn run_command() -> Result<String, String> {
    let text = fs::read_to_string("deploy/balancer.toml").map_err(|error| error.to_string())?;
    let run = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    run.map(str::to_owned).ok_or_else(|| "the deploy file names no command `run`".to_owned())
}

fn open_streamer(shared: &Shared, index: usize) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let name = format!("s-{:08x}", 0x00c4_1f70 + index);
    {
        let mut world = lock(shared);
        let listed = Listed { name: name.clone(), address, cell: index, draining: false, started_ms: 0 };
        world.list.push(listed);
        world.streamers.push(Streamer {
            name,
            address,
            connections: BTreeMap::new(),
            outstanding: Vec::new(),
            sessions: BTreeMap::new(),
            repeated_releases: Vec::new(),
            comes_up_late: false,
            said_at: 0.0,
            next_note_at: 0.5 + 0.1 * index as f64,
        });
    }
    listener.set_nonblocking(true)?;
    let shared = shared.clone();
    thread::spawn(move || accept_connections(&shared, index, &listener, address));
    Ok(())
}

/// Accepts connections. While they come up late, the queue of the listener is filled by connections of its own,
/// so that the kernel doesn't answer others until they try again.
fn accept_connections(shared: &Shared, index: usize, listener: &TcpListener, address: SocketAddr) {
    let mut own: Vec<TcpStream> = Vec::new();
    loop {
        let late = lock(shared).streamers[index].comes_up_late;
        if late && own.is_empty() {
            // Safety: the socket listens already; only the length of its queue changes.
            unsafe { listen(listener.as_raw_fd(), 0) };
            for _ in 0..3 {
                own.extend(TcpStream::connect_timeout(&address, Duration::from_millis(20)));
            }
        }
        if !late && !own.is_empty() {
            // Safety: as above.
            unsafe { listen(listener.as_raw_fd(), 128) };
        }
        if !late {
            while let Ok((stream, from)) = listener.accept() {
                let is_own = own.iter().any(|own| own.local_addr().is_ok_and(|address| address == from));
                if !is_own && stream.set_nonblocking(false).is_ok() {
                    streamer_accepts(shared, index, stream);
                }
            }
            own.clear();
        }
        thread::sleep(Duration::from_millis(3));
    }
}

fn streamer_accepts(shared: &Shared, index: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
    let Ok(mut reader) = stream.try_clone() else { return };
    let connection = {
        let mut world = lock(shared);
        world.next_connection += 1;
        let connection = world.next_connection;
        world.streamers[index].connections.insert(connection, stream);
        world.streamers[index].said_at = world.now();
        let name = world.streamers[index].name.clone();
        let releases = std::mem::take(&mut world.streamers[index].repeated_releases);
        world.log(&format!(
            "{name}: connection {connection} opened, {} releases repeated on it",
            releases.len()
        ));
        for text in releases {
            world.write_line(index, connection, &text);
        }
        connection
    };
    let shared = shared.clone();
    thread::spawn(move || {
        let (mut input, mut buffer) = (Vec::new(), [0; 4096]);
        while let Ok(count) = reader.read(&mut buffer) {
            if count == 0 {
                break;
            }
            input.extend_from_slice(&buffer[..count]);
            let mut world = lock(&shared);
            while let Some(end) = input.iter().position(|byte| *byte == b'\n') {
                let text = String::from_utf8_lossy(&input[..end]).into_owned();
                input.drain(..=end);
                world.line_arrives(index, connection, &text);
            }
        }
        let mut world = lock(&shared);
        let name = world.streamers[index].name.clone();
        world.log(&format!("{name}: connection {connection} closed"));
        // The set-ups open on it are given up.
        world.streamers[index].outstanding.retain(|(on, _)| *on != connection);
        world.streamers[index].connections.remove(&connection);
    });
}

/// Answers the queries of one controller. Those of the first one are told to the case.
fn serve_names(shared: &Shared, socket: UdpSocket, first: bool) {
    let shared = shared.clone();
    thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok((count, from)) = socket.recv_from(&mut buffer) {
            let mut world = lock(&shared);
            let answer = wire::dns_answer(&buffer[..count], world.serial, &world.list);
            if let Some(answer) = answer {
                let _ = socket.send_to(&answer, from);
            }
            if !first {
                continue;
            }
            let mut hook = world.on_query.take();
            if let Some(hook) = &mut hook {
                hook(&mut world);
            }
            world.on_query = hook;
        }
    });
}

/// Opens a connection from the front to the controller.
pub fn open_front(shared: &Shared) -> Option<usize> {
    let listen = lock(shared).listen;
    let stream = TcpStream::connect_timeout(&listen, Duration::from_millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
    let mut reader = stream.try_clone().ok()?;
    let connection = {
        let mut world = lock(shared);
        world.next_connection += 1;
        let connection = world.next_connection;
        world.front.insert(connection, stream);
        connection
    };
    let shared = shared.clone();
    thread::spawn(move || {
        let (mut input, mut buffer) = (Vec::new(), [0; 4096]);
        while let Ok(count) = reader.read(&mut buffer) {
            if count == 0 {
                break;
            }
            input.extend_from_slice(&buffer[..count]);
            let mut world = lock(&shared);
            while let Some(received) = wire::take_frame(&mut input) {
                world.front_receives(connection, &received);
            }
        }
        let mut world = lock(&shared);
        if world.front.remove(&connection).is_some() {
            world.log(&format!("the front's connection {connection} was closed by the controller"));
        }
    });
    Some(connection)
}

/// An address on which nobody listens.
fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Whether a controller passes a test.
fn passes_test(listen: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&listen, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let (mut input, mut buffer) = (Vec::new(), [0; 256]);
    if stream.write_all(&wire::frame(wire::TEST, 1, &[(75, &[0])])).is_err() {
        return false;
    }
    while let Ok(count) = stream.read(&mut buffer) {
        input.extend_from_slice(&buffer[..count]);
        if let Some(received) = wire::take_frame(&mut input) {
            return received.kind == wire::TESTED && received.value(75) == Some(&[1]);
        }
        if count == 0 {
            break;
        }
    }
    false
}

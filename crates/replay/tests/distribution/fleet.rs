//! Control machines and controllers as processes, with keys, files and a network between them.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use badgerledge_distribution::change::{Change, Rejection};
use badgerledge_distribution::lease;
use badgerledge_distribution::message::{ControlStatus, PartitionStatus};
use badgerledge_distribution::Number;
use badgerledge_keys::{PrivateKey, Role};
use badgerledge_relay::client::{Client, ClientFault};
use badgerledge_relay::edits;
use badgerledge_settings::Sheet;
use badgerledge_standins::free_port;
use rustix::process::Signal;
use tempfile::TempDir;

use crate::harness::{status, Controller, Environment, RtspPeer, CATALOGUE, SHARED};
use crate::network::Network;
use crate::stall::StallWatch;

/// Within this a change is in force everywhere: the plan's bound.
pub const IN_FORCE: Duration = Duration::from_secs(18);
/// What is not bounded by the protocol has this long.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// A rig that stood still for longer says nothing of bounds: a third of what a lease leaves between two requests.
const STALL: Duration = Duration::from_millis(700);
/// A play is tried so often where the rig stood still.
const PLAYS: usize = 3;
/// Plays at a time: each has some eight processes.
const AT_A_TIME: usize = 3;
/// The number of the stand-in among the control machines.
pub const STAND_IN: u16 = 99;
/// Two rounds of a controller, which it states as its share of the bound.
const LATE: Duration = Duration::from_millis(20);

/// The stated bound on two controllers that act on contradicting revisions.
pub fn bound() -> Duration {
    lease::contradiction_bound(LATE)
}

/// Plays a scene. One that fails where the rig, or the disk on which its processes store, stood still is void, is said to be, and is played again.
pub fn play(shape: Shape, scene: impl Fn(&mut Fleet)) {
    let _turn = Turn::take();
    for number in 1..=PLAYS {
        let mut fleet = Fleet::start(shape);
        let watch = StallWatch::start(fleet.folder.path());
        let outcome = catch_unwind(AssertUnwindSafe(|| scene(&mut fleet)));
        let stall = fleet.network.stall().max(watch.stalled());
        drop(watch);
        let Err(fault) = outcome else { return };
        if stall < STALL {
            fleet.print_logs();
            std::panic::resume_unwind(fault);
        }
        eprintln!("VOID: play {number} failed, and the rig stood still for {stall:?} in it");
    }
    panic!("void {PLAYS} times: the machine is too busy for this test to say anything");
}

static PLAYING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

struct Turn;

impl Turn {
    fn take() -> Self {
        let (playing, over) = &PLAYING;
        let mut playing = playing.lock().unwrap();
        while *playing >= AT_A_TIME {
            playing = over.wait(playing).unwrap();
        }
        *playing += 1;
        Self
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *PLAYING.0.lock().unwrap() -= 1;
        PLAYING.1.notify_one();
    }
}

/// How many of each there are, and what titles all begin with beside the usual ones.
#[derive(Clone, Copy)]
pub struct Shape {
    pub machines: usize,
    pub controllers: usize,
    pub more_titles: u32,
    /// Good streamers, on the first cells.
    pub streamers: u32,
    /// The own files of so many controllers, the last ones, have the usual titles alone.
    pub behind: usize,
    /// Whether the titles go with the settings.
    pub titles: bool,
    /// A further relay that controllers prefer to all others.
    pub stand_in: Option<SocketAddr>,
    /// How long a region that is cut off goes on; 0: it holds back.
    pub apart_s: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            machines: 3,
            controllers: 3,
            more_titles: 0,
            streamers: 4,
            behind: 0,
            titles: true,
            stand_in: None,
            apart_s: 0,
        }
    }
}

/// A control machine's process, killed when dropped.
pub struct Machine {
    pub at: SocketAddr,
    settings: PathBuf,
    state: PathBuf,
    child: Child,
}

impl Machine {
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn restart(&mut self) {
        self.child = spawn_relay(&self.settings);
    }

    pub fn forget_state(&self) {
        std::fs::remove_dir_all(&self.state).unwrap();
    }

    pub fn signal(&self, signal: Signal) {
        let pid = rustix::process::Pid::from_raw(self.child.id() as i32).unwrap();
        rustix::process::kill_process(pid, signal).unwrap();
    }

    pub fn status(&self) -> Option<ControlStatus> {
        Client::connect(self.at).ok()?.status().ok()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn relay_program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_badgerledge-replay"));
    command.arg("relay");
    command
}

fn spawn_relay(settings: &Path) -> Child {
    let log = std::fs::File::options().create(true).append(true).open(settings.with_extension("log"));
    relay_program().arg("run").arg(settings).stdin(Stdio::null()).stderr(log.unwrap()).spawn().unwrap()
}

/// Control machines and controllers.
pub struct Fleet {
    pub controllers: Vec<Controller>,
    pub machines: Vec<Machine>,
    pub network: Network,
    authors: Vec<PrivateKey>,
    sequences: Vec<u64>,
    viewer: u64,
    _environment: Environment,
    folder: TempDir,
}

impl Fleet {
    fn start(shape: Shape) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path();
        let titles = (0..shape.more_titles).fold(CATALOGUE.to_owned(), |titles, n| {
            titles + &format!("[title {:x}]\nroom_type = clip\nfirst_cell = 0\ncopies = 4\n", 0x1000 + n)
        });
        let genesis = SHARED.to_owned() + if shape.titles { &titles } else { "" };
        std::fs::write(path.join("genesis.ini"), genesis).unwrap();
        let authors: Vec<PrivateKey> =
            (0..2).map(|author| PrivateKey::make(Role::Author(author)).unwrap()).collect();
        write_ring(path, shape.machines, &authors);
        let at = |number: usize| -> SocketAddr {
            let port = free_port().unwrap().port();
            (Ipv4Addr::new(127, 1, 0, number as u8 + 1), port).into()
        };
        let listens: Vec<SocketAddr> = (0..shape.machines).map(at).collect();
        let peers: Vec<SocketAddr> = (0..shape.machines).map(at).collect();
        let callers: Vec<Ipv4Addr> =
            (0..shape.controllers).map(|number| Ipv4Addr::new(127, 2, 0, number as u8 + 1)).collect();
        let network = Network::new(listens.clone(), peers.clone(), &callers);
        let machines: Vec<Machine> = (0..shape.machines)
            .map(|number| {
                start_machine(
                    path,
                    number,
                    (listens[number], peers[number]),
                    &network.peers_reached,
                    shape.apart_s,
                )
            })
            .collect();
        let environment = Environment::on_cells(shape.streamers);
        let relays = network.relays_reached.iter().enumerate();
        let zone = if shape.stand_in.is_some() { "elsewhere" } else { "a" };
        let mut relays: Vec<String> = relays.map(|(number, at)| format!("{number} {zone} {at}")).collect();
        relays.extend(shape.stand_in.map(|at| format!("{STAND_IN} a {at}")));
        let controllers = callers.iter().enumerate().map(|(number, from)| {
            let place = format!("controllers = {}\nnumber = {number}\n", shape.controllers);
            let told = format!(
                "[distribution]\nring = {}/ring.ini\nrelays = {}\nfrom = {from}\ntitles = {}\n{}",
                path.display(),
                relays.join(", "),
                shape.titles,
                if shape.apart_s > 0 { "apart = true\n" } else { "" },
            );
            let behind = number + shape.behind >= shape.controllers;
            let titles = if behind { CATALOGUE } else { &titles };
            Controller::start_with_titles(environment.list, &(place + &told), titles)
        });
        let controllers: Vec<Controller> = controllers.collect();
        let sequences = vec![0; authors.len()];
        let fleet = Self {
            controllers,
            machines,
            network,
            authors,
            sequences,
            viewer: 1,
            _environment: environment,
            folder,
        };
        fleet.controllers.iter().for_each(|controller| controller.wait_listed(shape.streamers as usize));
        fleet.wait(PATIENCE, "all controllers have a lease", |fleet| {
            (0..shape.controllers).all(|number| fleet.metric(number, "badgerledge_revision_held") == 0.0)
        });
        fleet
    }

    /// Waits until something is so, and tells how long that took.
    pub fn wait(&self, within: Duration, what: &str, so: impl Fn(&Self) -> bool) -> Duration {
        let begun = Instant::now();
        while !so(self) {
            assert!(begun.elapsed() < within, "not within {within:?}: {what}");
            std::thread::sleep(Duration::from_millis(50));
        }
        begun.elapsed()
    }

    /// A metric of a controller; -2 where it is not shown.
    pub fn metric(&self, controller: usize, name: &str) -> f64 {
        self.controllers[controller].metric(name).unwrap_or(-2.0)
    }

    /// The control machine that serves a controller, if one does.
    pub fn serves(&self, controller: usize) -> Option<usize> {
        let machine = self.metric(controller, "badgerledge_distribution_relay");
        (machine >= 0.0).then_some(machine as usize)
    }

    pub fn wait_served(&self, controller: usize) -> usize {
        self.wait(PATIENCE, "a relay serves the controller", |fleet| fleet.serves(controller).is_some());
        self.serves(controller).unwrap()
    }

    /// What a viewer is answered that asks for a title.
    pub fn set_up(&mut self, controller: usize, title: u64) -> u16 {
        self.set_up_with(controller, title, "")
    }

    /// The same with further lines.
    pub fn set_up_with(&mut self, controller: usize, title: u64, more: &str) -> u16 {
        self.viewer += 1;
        let mut talk = RtspPeer::to(self.controllers[controller].at);
        talk.set_up(1, title, self.viewer, more);
        status(&talk.receive_message())
    }

    /// Waits until a viewer of each of these controllers is answered so.
    pub fn wait_set_ups(
        &mut self, within: Duration, controllers: &[usize], title: u64, wanted: u16,
    ) -> Duration {
        let begun = Instant::now();
        for controller in controllers {
            loop {
                let found = self.set_up(*controller, title);
                if found == wanted {
                    break;
                }
                let log = self.controllers[*controller].log();
                assert!(
                    begun.elapsed() < within,
                    "controller {controller} answers {found} and not {wanted} after {within:?}\n{log}"
                );
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        begun.elapsed()
    }

    /// A signed change of an author.
    pub fn change(&mut self, author: usize, base: Number, text: &str) -> Change {
        self.sequences[author] += 1;
        let edits = edits::read(&Sheet::parse("change", text).unwrap()).unwrap();
        let key = &self.authors[author];
        Change::sign(author as u16, self.sequences[author], base, edits, |bytes| key.sign(bytes))
    }

    /// Pushes a change at a control machine, and waits for what becomes of it.
    pub fn push(
        &self, machine: usize, change: &Change, within: Duration,
    ) -> Result<Result<Number, Rejection>, ClientFault> {
        Client::connect(self.machines[machine].at)?.push(change, within)
    }

    /// The same, again while it is not known whether it was taken.
    pub fn push_until_known(&self, machine: usize, change: &Change) -> Result<Number, Rejection> {
        let begun = Instant::now();
        loop {
            match self.push(machine, change, IN_FORCE) {
                Ok(Err(Rejection::Unknown | Rejection::Busy(_))) | Err(_) if begun.elapsed() < IN_FORCE => {
                    std::thread::sleep(Duration::from_millis(200));
                }
                outcome => return outcome.unwrap(),
            }
        }
    }

    /// Pushes a change that is to be certified.
    pub fn push_through(&self, machine: usize, change: &Change) -> Number {
        self.push_until_known(machine, change).unwrap()
    }

    /// The same for edits against the latest revision of the machine.
    pub fn push_edits(&mut self, machine: usize, text: &str) -> Number {
        let base = self.machines[machine].status().map_or(0, |status| status.certified);
        let change = self.change(0, base, text);
        self.push_through(machine, &change)
    }

    /// The file of the first configuration.
    pub fn genesis(&self) -> PathBuf {
        self.folder.path().join("genesis.ini")
    }

    /// What a control machine knows of regions apart.
    pub fn apart(&self, machine: usize) -> Option<PartitionStatus> {
        Client::connect(self.machines[machine].at).ok()?.partition_status().ok()?
    }

    /// The place of a controller among the ends of the network's `watchers`.
    pub fn end_of(&self, controller: usize) -> usize {
        self.machines.len() + controller
    }

    /// A controller's disk is lost, while it is not running.
    pub fn forget_state(&self, controller: usize) {
        std::fs::remove_dir_all(self.controllers[controller].folder.path().join("state")).unwrap();
    }

    fn print_logs(&self) {
        for number in 0..self.machines.len() {
            let log = std::fs::read_to_string(self.folder.path().join(format!("relay-{number}.log")));
            eprintln!("--- control machine {number}\n{}", log.unwrap_or_default());
        }
        for (number, controller) in self.controllers.iter().enumerate() {
            eprintln!("--- controller {number}\n{}", controller.log());
        }
    }
}

fn write_ring(path: &Path, machines: usize, authors: &[PrivateKey]) {
    let mut ring = String::new();
    for number in 0..machines {
        let key = PrivateKey::make(Role::Member(number as u16)).unwrap();
        key.write(&path.join(format!("key-{number}"))).unwrap();
        ring += &format!("[member {number}]\nkeys = {}\n", key.public());
    }
    for (number, author) in authors.iter().enumerate() {
        ring += &format!("[author {number}]\nkeys = {}\n", author.public());
    }
    let acceptors: Vec<String> = (0..machines).map(|number| number.to_string()).collect();
    ring += &format!("[keepers]\nmembers = {}\n", acceptors.join(", "));
    std::fs::write(path.join("ring.ini"), ring).unwrap();
}

fn start_machine(
    path: &Path, number: usize, (listen, peer_listen): (SocketAddr, SocketAddr), reached: &[SocketAddr],
    apart_s: u64,
) -> Machine {
    let state = path.join(format!("relay-{number}"));
    let mut text = format!(
        "[relay]\nnumber = {number}\nlisten = {listen}\npeer_listen = {peer_listen}\nstate = {}\nring = ring.ini\n\
         key = key-{number}\ngenesis = genesis.ini\n{}[peers]\n",
        state.display(),
        if apart_s > 0 { format!("apart_s = {apart_s}\n") } else { String::new() },
    );
    for (peer, at) in reached.iter().enumerate() {
        text += &format!("{peer} = {at}\n");
    }
    let settings = path.join(format!("relay-{number}.ini"));
    std::fs::write(&settings, text).unwrap();
    let founded = relay_program().arg("found").arg(&settings).stdout(Stdio::null()).status().unwrap();
    assert!(founded.success(), "control machine {number} is not founded");
    let child = spawn_relay(&settings);
    let begun = Instant::now();
    while TcpStream::connect(listen).is_err() {
        assert!(begun.elapsed() < PATIENCE, "control machine {number} does not listen");
        std::thread::sleep(Duration::from_millis(10));
    }
    Machine { at: listen, settings, state, child }
}

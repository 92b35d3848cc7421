//! Several control machines as processes, with keys and settings in a folder of their own.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use badgerledge_distribution::message::ControlStatus;
use badgerledge_keys::{PrivateKey, Ring, Role};
use badgerledge_relay::client::Client;
use badgerledge_settings::IniFile;
use rustix::process::{kill_process, Pid, Signal};
use tempfile::TempDir;

use crate::proxy::Proxy;
use crate::stall::{judge, StallWatch, Verdict};

pub const GENESIS: &str = "\
[fleet]
cells = 12
kind_streams = 20
kinds = small
link_unit_kb = 1000
links_kb = 12000
racks = 4
uplink_kb = 3000
zones = north, south
[ladder]
benefit = 0.3, 0.6, 1
rates_kb = 100, 200, 400
[room_type zoo]
benefit = 1
client_timeout_ms = 4000
join_objective_ms = 1500
";

pub const MACHINES: u16 = 5;
pub const ACCEPTORS: [u16; 3] = [0, 1, 2];
/// The author whose key each rig has.
pub const AUTHOR: u16 = 1;

/// A process that was started listens within this: it reads a few small files, and makes its sockets.
const LISTENS_WITHIN: Duration = Duration::from_secs(5);
/// A tool that pushed a change learns within this what became of it, or that it is not known.
pub const OUTCOME_WITHIN: Duration = Duration::from_secs(10);
/// A change whose outcome was not known is pushed once more.
const PUSHED_WITHIN: Duration = Duration::from_secs(2 * OUTCOME_WITHIN.as_secs());
/// A change is in force within this: its outcome, two seconds for slow watchers, and a lease for a silent machine.
pub const IN_FORCE_WITHIN: Duration = Duration::from_secs(18);
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// One control machine.
struct Machine {
    settings: PathBuf,
    state: PathBuf,
    log: PathBuf,
    watchers: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    process: Option<Child>,
}

/// The control machines of one play.
pub struct Rig {
    machines: Vec<Machine>,
    pub proxy: Option<Proxy>,
    stalls: StallWatch,
    /// Last, so that it is removed when nobody writes to it.
    folder: TempDir,
}

/// Plays of one process have loopback addresses of their own, so that a port that is free stays so.
static PLAYS: AtomicU8 = AtomicU8::new(0);

impl Rig {
    /// Machines whose streams go straight to each other. All are started.
    pub fn new() -> Self {
        Self::made(false)
    }

    /// Machines whose streams go through a proxy.
    pub fn proxied() -> Self {
        Self::made(true)
    }

    fn made(proxied: bool) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let play = PLAYS.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let ip = |machine: u16| {
            let (high, low) = ((process >> 8) as u8 % 250, process as u8);
            IpAddr::from(Ipv4Addr::new(127, 1 + high, low, play.wrapping_mul(8) + machine as u8 + 1))
        };
        let machines: Vec<Machine> =
            (0..MACHINES).map(|number| Machine::new(folder.path(), number, ip(number))).collect();
        let own: Vec<SocketAddr> = machines.iter().map(|machine| machine.peers).collect();
        let proxy = proxied.then(|| Proxy::start(own.clone()));
        let stalls = StallWatch::start(folder.path());
        let mut rig = Self { machines, proxy, stalls, folder };
        rig.make_keys();
        std::fs::write(rig.path("genesis.ini"), GENESIS).unwrap();
        let reached = rig.proxy.as_ref().map_or(own.clone(), |proxy| proxy.reached.clone());
        for number in 0..MACHINES {
            rig.write_settings(number, &own, &reached);
        }
        for number in ACCEPTORS {
            assert!(rig.verb(&["found", &rig.settings(number)]).status.success());
        }
        (0..MACHINES).for_each(|number| rig.start(number));
        (0..MACHINES).for_each(|number| rig.wait_for_listening(number));
        rig.wait_for_peers();
        rig
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn make_keys(&self) {
        let mut ring = String::new();
        for number in 0..MACHINES {
            let key = PrivateKey::generate(Role::Member(number)).unwrap();
            key.write(&self.path(&format!("member-{number}.key"))).unwrap();
            ring += &format!("[member {number}]\nkeys = {}\n", key.public_hex());
        }
        let author = PrivateKey::generate(Role::Author(AUTHOR)).unwrap();
        author.write(&self.path("author.key")).unwrap();
        ring += &format!("[author {AUTHOR}]\nkeys = {}\n", author.public_hex());
        let acceptors: Vec<String> = ACCEPTORS.iter().map(u16::to_string).collect();
        ring += &format!("[keepers]\nmembers = {}\n", acceptors.join(", "));
        std::fs::write(self.path("ring.ini"), ring).unwrap();
    }

    pub fn ring(&self) -> Ring {
        Ring::of(&IniFile::read(&self.path("ring.ini")).unwrap()).unwrap()
    }

    /// Takes the author's key out of the ring.
    pub fn revoke_author(&self) {
        let ring = std::fs::read_to_string(self.path("ring.ini")).unwrap();
        let (before, author) = ring.split_once(&format!("[author {AUTHOR}]\nkeys = ")).unwrap();
        let (key, after) = author.split_once('\n').unwrap();
        let revoked = format!("{before}[author {AUTHOR}]\nkeys =\nrevoked = {key}\n{after}");
        let fresh = self.path("ring.fresh");
        std::fs::write(&fresh, revoked).unwrap();
        std::fs::rename(&fresh, self.path("ring.ini")).unwrap();
    }

    fn write_settings(&self, number: u16, own: &[SocketAddr], reached: &[SocketAddr]) {
        let machine = &self.machines[usize::from(number)];
        let (state, watchers) = (machine.state.display(), machine.watchers);
        let (peers, metrics) = (machine.peers, machine.metrics);
        let mut text = format!(
            "[relay]\nnumber = {number}\nlisten = {watchers}\npeer_listen = {peers}\nstate = {state}\n\
             ring = ring.ini\nkey = member-{number}.key\ngenesis = genesis.ini\nmetrics = {metrics}\n[peers]\n"
        );
        for (other, address) in reached.iter().enumerate() {
            let address = if other == usize::from(number) { own[other] } else { *address };
            text += &format!("{other} = {address}\n");
        }
        std::fs::write(&machine.settings, text).unwrap();
    }

    pub fn settings(&self, number: u16) -> String {
        self.machines[usize::from(number)].settings.display().to_string()
    }

    /// Where a machine takes watchers and tools.
    pub fn relay(&self, number: u16) -> SocketAddr {
        self.machines[usize::from(number)].watchers
    }

    pub fn peer_address(&self, number: u16) -> SocketAddr {
        self.machines[usize::from(number)].peers
    }

    pub fn start(&mut self, number: u16) {
        let machine = &mut self.machines[usize::from(number)];
        let log = File::options().create(true).append(true).open(&machine.log).unwrap();
        let command = Command::new(env!("CARGO_BIN_EXE_badgerledge-relay"))
            .arg("run")
            .arg(&machine.settings)
            .stderr(log)
            .spawn();
        machine.process = Some(command.unwrap());
    }

    /// Ends a machine at once, as a lost power supply does.
    pub fn kill(&mut self, number: u16) {
        if let Some(mut process) = self.machines[usize::from(number)].process.take() {
            process.kill().unwrap();
            process.wait().unwrap();
        }
    }

    /// Ends a machine in order, and tells how it ended.
    pub fn stop(&mut self, number: u16) -> bool {
        self.signal(number, Signal::TERM);
        let mut process = self.machines[usize::from(number)].process.take().unwrap();
        process.wait().unwrap().success()
    }

    pub fn signal(&self, number: u16, signal: Signal) {
        let process = self.machines[usize::from(number)].process.as_ref().unwrap();
        kill_process(Pid::from_child(process), signal).unwrap();
    }

    pub fn state(&self, number: u16) -> &Path {
        &self.machines[usize::from(number)].state
    }

    pub fn lose_disk(&self, number: u16) {
        std::fs::remove_dir_all(&self.machines[usize::from(number)].state).unwrap();
    }

    pub fn log(&self, number: u16) -> String {
        std::fs::read_to_string(&self.machines[usize::from(number)].log).unwrap_or_default()
    }

    pub fn wait_for_listening(&self, number: u16) {
        let relay = self.relay(number);
        self.until(LISTENS_WITHIN, &format!("machine {number} listens"), || Client::connect(relay).is_ok());
    }

    /// Waits until each machine hears each other one.
    fn wait_for_peers(&self) {
        let up = f64::from(MACHINES - 1);
        self.until(LISTENS_WITHIN, "all machines hear each other", || {
            (0..MACHINES).all(|number| self.metric(number, "badgerledge_relay_peers") == Some(up))
        });
    }

    pub fn status(&self, number: u16) -> Option<ControlStatus> {
        Client::connect(self.relay(number)).ok()?.status().ok()
    }

    /// A metric without labels, or the sum over all labels.
    pub fn metric(&self, number: u16, name: &str) -> Option<f64> {
        let page = self.metrics(number)?;
        let values = page.lines().filter_map(|line| {
            let (key, value) = line.rsplit_once(' ')?;
            let named = key == name || key.strip_prefix(name).is_some_and(|rest| rest.starts_with('{'));
            value.parse::<f64>().ok().filter(|_| named)
        });
        values.reduce(|sum, value| sum + value)
    }

    pub fn metrics(&self, number: u16) -> Option<String> {
        use std::io::{Read, Write};
        let address = self.machines[usize::from(number)].metrics;
        let mut stream = std::net::TcpStream::connect_timeout(&address, LISTENS_WITHIN).ok()?;
        stream.set_read_timeout(Some(LISTENS_WITHIN)).ok()?;
        stream.write_all(b"GET /metrics HTTP/1.1\r\n\r\n").ok()?;
        let mut page = String::new();
        stream.read_to_string(&mut page).ok()?;
        Some(page)
    }

    /// Runs one of the program's verbs.
    pub fn verb(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_badgerledge-relay")).args(arguments).output().unwrap()
    }

    /// Pushes a change of the number of cells, with this sequence number: the exit code, and what was said.
    pub fn change(&self, relay: u16, base: &str, sequence: u64, cells: u32) -> (i32, String) {
        let file = self.path(&format!("change-{sequence}-{cells}.ini"));
        std::fs::write(&file, format!("[set fleet]\ncells = {cells}\n")).unwrap();
        let (relay, author) = (self.relay(relay).to_string(), self.path("author.key"));
        let output = self.verb(&[
            "change",
            "--relay",
            &relay,
            "--author",
            &author.display().to_string(),
            "--base",
            base,
            "--sequence",
            &sequence.to_string(),
            &file.display().to_string(),
        ]);
        let said = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code().unwrap_or(-1), said + &String::from_utf8_lossy(&output.stderr))
    }

    /// Pushes a change until it is certified: with the same number, where its outcome is not known, as an operator is told to.
    /// Tells what was said at last.
    pub fn push(&self, relay: u16, base: &str, sequence: u64, cells: u32) -> String {
        let mut last = String::new();
        self.until(PUSHED_WITHIN, &format!("change {sequence} is certified"), || {
            let (code, said) = self.change(relay, base, sequence, cells);
            assert!(code == 0 || code == 3, "exit code {code}: {said}");
            last = said;
            code == 0
        });
        last
    }

    /// Waits until something is so. A bound that is missed while the machine stood still for as long makes the play void.
    pub fn until(&self, bound: Duration, what: &str, mut so: impl FnMut() -> bool) {
        let (begun, stalled) = (Instant::now(), self.stalls.stalled());
        loop {
            let is_so = so();
            let stalled = self.stalls.stalled() - stalled;
            match judge(begun.elapsed(), bound, stalled) {
                Verdict::Met if is_so => return,
                Verdict::Void if is_so => {
                    println!("VOID: {what}: {:?} where {bound:?}; stood still {stalled:?}", begun.elapsed());
                    eprintln!("VOID: {what}: the bound says nothing, since this machine stood still");
                    return;
                }
                Verdict::Missed => panic!("{what}: not within {bound:?}\n{}", self.all_logs()),
                Verdict::Met | Verdict::Void => std::thread::sleep(LOOK_EVERY),
            }
        }
    }

    /// Waits until all running machines act on a revision.
    pub fn wait_for_active(&self, number: u32) {
        self.until(IN_FORCE_WITHIN, &format!("revision {number} is in force at all machines"), || {
            let running = (0..MACHINES).filter(|at| self.machines[usize::from(*at)].process.is_some());
            running.into_iter().all(|at| self.status(at).is_some_and(|status| status.active >= number))
        });
    }

    fn all_logs(&self) -> String {
        let logs: BTreeMap<u16, String> = (0..MACHINES).map(|number| (number, self.log(number))).collect();
        logs.into_iter().map(|(number, log)| format!("machine {number}:\n{log}")).collect()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut process) = machine.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
    }
}

impl Machine {
    fn new(folder: &Path, number: u16, ip: IpAddr) -> Self {
        Self {
            settings: folder.join(format!("relay-{number}.ini")),
            state: folder.join(format!("state-{number}")),
            log: folder.join(format!("relay-{number}.log")),
            watchers: free_port(ip),
            peers: free_port(ip),
            metrics: free_port(ip),
            process: None,
        }
    }
}

/// A port that the kernel gives.
fn free_port(ip: IpAddr) -> SocketAddr {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

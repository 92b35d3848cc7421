//! Test harness: several control machines as processes, with keys and settings in a temporary folder.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
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
/// The author whose key each harness creates.
pub const AUTHOR: u16 = 1;

/// A started process reads a few small files and listens within this time.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// The tool that pushed a change reports the outcome within this time, or that it is unknown.
pub const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for two pushes: a change whose outcome is unknown is pushed once more.
const PUSH_TIMEOUT: Duration = Duration::from_secs(2 * OUTCOME_TIMEOUT.as_secs());
/// A change is in force within this time: its outcome, two seconds for slow watchers, and a lease for a silent machine.
pub const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(18);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

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

/// The control machines of one test.
pub struct Harness {
    machines: Vec<Machine>,
    pub proxy: Option<Proxy>,
    stalls: StallWatch,
    /// The last field, so that the folder is removed when nothing writes to it any more.
    folder: TempDir,
}

/// Number of harnesses created in this process. Each one uses its own loopback addresses, so that a port found free is not
/// taken by another one.
static HARNESS_COUNT: AtomicU8 = AtomicU8::new(0);

impl Harness {
    /// Starts machines that connect directly to each other.
    pub fn new() -> Self {
        Self::start_all(false)
    }

    /// Starts machines that connect to each other through a proxy.
    pub fn with_proxy() -> Self {
        Self::start_all(true)
    }

    fn start_all(proxied: bool) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let harness_number = HARNESS_COUNT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let ip = |machine: u16| {
            let (high, low) = ((process >> 8) as u8 % 250, process as u8);
            IpAddr::from(Ipv4Addr::new(
                127,
                1 + high,
                low,
                harness_number.wrapping_mul(8) + machine as u8 + 1,
            ))
        };
        let machines: Vec<Machine> =
            (0..MACHINES).map(|number| Machine::new(folder.path(), number, ip(number))).collect();
        let own_addresses: Vec<SocketAddr> = machines.iter().map(|machine| machine.peers).collect();
        let proxy = proxied.then(|| Proxy::start(own_addresses.clone()));
        let stalls = StallWatch::start(folder.path());
        let mut harness = Self { machines, proxy, stalls, folder };
        harness.make_keys();
        std::fs::write(harness.path("genesis.ini"), GENESIS).unwrap();
        let peer_addresses =
            harness.proxy.as_ref().map_or(own_addresses.clone(), |proxy| proxy.proxy_addresses.clone());
        for number in 0..MACHINES {
            harness.write_settings(number, &own_addresses, &peer_addresses);
        }
        for number in ACCEPTORS {
            assert!(harness.verb(&["found", &harness.settings(number)]).status.success());
        }
        (0..MACHINES).for_each(|number| harness.start(number));
        (0..MACHINES).for_each(|number| harness.wait_for_listening(number));
        harness.wait_for_peers();
        harness
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

    /// Revokes the author's key in the ring file.
    pub fn revoke_author(&self) {
        let ring = std::fs::read_to_string(self.path("ring.ini")).unwrap();
        let (before, author) = ring.split_once(&format!("[author {AUTHOR}]\nkeys = ")).unwrap();
        let (key, after) = author.split_once('\n').unwrap();
        let revoked = format!("{before}[author {AUTHOR}]\nkeys =\nrevoked = {key}\n{after}");
        let temporary = self.path("ring.fresh");
        std::fs::write(&temporary, revoked).unwrap();
        std::fs::rename(&temporary, self.path("ring.ini")).unwrap();
    }

    fn write_settings(&self, number: u16, own_addresses: &[SocketAddr], peer_addresses: &[SocketAddr]) {
        let machine = &self.machines[usize::from(number)];
        let (state, watchers) = (machine.state.display(), machine.watchers);
        let (peers, metrics) = (machine.peers, machine.metrics);
        let mut text = format!(
            "[relay]\nnumber = {number}\nlisten = {watchers}\npeer_listen = {peers}\nstate = {state}\n\
             ring = ring.ini\nkey = member-{number}.key\ngenesis = genesis.ini\nmetrics = {metrics}\n[peers]\n"
        );
        for (other, address) in peer_addresses.iter().enumerate() {
            let address = if other == usize::from(number) { own_addresses[other] } else { *address };
            text += &format!("{other} = {address}\n");
        }
        std::fs::write(&machine.settings, text).unwrap();
    }

    pub fn settings(&self, number: u16) -> String {
        self.machines[usize::from(number)].settings.display().to_string()
    }

    /// The address that a machine accepts watchers and tools at.
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

    /// Kills a machine's process, as a power failure would.
    pub fn kill(&mut self, number: u16) {
        if let Some(mut process) = self.machines[usize::from(number)].process.take() {
            process.kill().unwrap();
            process.wait().unwrap();
        }
    }

    /// Stops a machine with SIGTERM, and returns whether it exited successfully.
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
        self.until(START_TIMEOUT, &format!("machine {number} listens"), || Client::connect(relay).is_ok());
    }

    /// Waits until each machine has a stream to each other one.
    fn wait_for_peers(&self) {
        let up = f64::from(MACHINES - 1);
        self.until(START_TIMEOUT, "all machines are connected to each other", || {
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
        let mut stream = std::net::TcpStream::connect_timeout(&address, START_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(START_TIMEOUT)).ok()?;
        stream.write_all(b"GET /metrics HTTP/1.1\r\n\r\n").ok()?;
        let mut page = String::new();
        stream.read_to_string(&mut page).ok()?;
        Some(page)
    }

    /// Runs one of the operators' commands.
    pub fn verb(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_badgerledge-relay")).args(arguments).output().unwrap()
    }

    /// Pushes a change of the number of cells, with this sequence number. Returns the exit code and the output.
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
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code().unwrap_or(-1), stdout + &String::from_utf8_lossy(&output.stderr))
    }

    /// Pushes a change until it is certified. While the outcome is unknown, it is pushed again with the same number, as the
    /// tool tells operators to. Returns the last output.
    pub fn push(&self, relay: u16, base: &str, sequence: u64, cells: u32) -> String {
        let mut last = String::new();
        self.until(PUSH_TIMEOUT, &format!("change {sequence} is certified"), || {
            let (code, text) = self.change(relay, base, sequence, cells);
            assert!(code == 0 || code == 3, "exit code {code}: {text}");
            last = text;
            code == 0
        });
        last
    }

    /// Waits until a condition holds. Missing the bound is a failure, unless the machine stalled for at least as long: then the
    /// run is reported as void.
    pub fn until(&self, bound: Duration, description: &str, mut condition: impl FnMut() -> bool) {
        let (started_at, stalled_before) = (Instant::now(), self.stalls.stalled());
        loop {
            let holds = condition();
            let stalled = self.stalls.stalled() - stalled_before;
            match judge(started_at.elapsed(), bound, stalled) {
                Verdict::Met if holds => return,
                Verdict::Void if holds => {
                    println!("VOID: {description}: took {:?} instead of {bound:?}; this machine stalled for {stalled:?}",
                        started_at.elapsed());
                    eprintln!("VOID: {description}: the bound proves nothing, because this machine stalled");
                    return;
                }
                Verdict::Missed => panic!("{description}: not within {bound:?}\n{}", self.all_logs()),
                Verdict::Met | Verdict::Void => std::thread::sleep(POLL_INTERVAL),
            }
        }
    }

    /// Waits until a revision is active on all running machines.
    pub fn wait_for_active(&self, number: u32) {
        self.until(IN_FORCE_TIMEOUT, &format!("revision {number} is in force at all machines"), || {
            let running = (0..MACHINES).filter(|at| self.machines[usize::from(*at)].process.is_some());
            running.into_iter().all(|at| self.status(at).is_some_and(|status| status.active >= number))
        });
    }

    fn all_logs(&self) -> String {
        let logs: BTreeMap<u16, String> = (0..MACHINES).map(|number| (number, self.log(number))).collect();
        logs.into_iter().map(|(number, log)| format!("machine {number}:\n{log}")).collect()
    }
}

impl Drop for Harness {
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

/// A port that no other process uses and that is named only once.
fn free_port(ip: IpAddr) -> SocketAddr {
    SocketAddr::new(ip, badgerledge_standins::free_port().unwrap().port())
}

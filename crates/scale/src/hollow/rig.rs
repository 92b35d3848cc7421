//! Keys, files and processes of control machines. All processes end with the rig, whatever happens.

use std::fs::File;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{bail, Context, Result};
use badgerledge_distribution::MachineId;
use badgerledge_keys::{PrivateKey, Role};
use badgerledge_standins::free_port;
use tempfile::TempDir;

use super::orders::RelayAddress;
use super::pages::Page;
use crate::machine::{process_cpu, resident_bytes};
use crate::observations::Used;
use crate::scenario::Scenario;
use crate::workload::{shared_settings, titles};

/// A process on the loopback listens within this, also when all start at once.
const LISTENS_WITHIN: Duration = Duration::from_secs(30);

/// A process, killed and waited for when dropped.
pub struct Process(Child);

impl Process {
    /// Starts this very program with these arguments; what it says on standard error goes to a file.
    pub fn start(program: &Path, arguments: &[&str], log: &Path) -> Result<Self> {
        let log = File::options().create(true).append(true).open(log).context("a log file")?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| format!("starting {} {}", program.display(), arguments.join(" ")))?;
        Ok(Self(child))
    }

    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Whether it ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// One control machine.
pub struct RelayProcess {
    pub address: RelayAddress,
    metrics: SocketAddr,
    settings: PathBuf,
    state: PathBuf,
    process: Option<Process>,
    /// What former processes used since the count began.
    before: Used,
    /// What the present process had used when the count began.
    from: Used,
}

/// The control machines of a run, and what all members are given.
pub struct Rig {
    pub folder: TempDir,
    program: PathBuf,
    pub relays: Vec<RelayProcess>,
    pub authors: Vec<PrivateKey>,
}

impl Rig {
    /// Makes keys and files, and starts all control machines. `program` is this program: it has the control machine's
    /// as a verb.
    ///
    /// # Errors
    /// Where a file can't be written, or a control machine does not listen in time.
    pub fn start(scenario: &Scenario, program: &Path) -> Result<Self> {
        let folder = tempfile::Builder::new().prefix("badgerledge-scale-").tempdir()?;
        let path = folder.path();
        let genesis = shared_settings(&scenario.fleet, &scenario.load) + &titles(&scenario.load);
        std::fs::write(path.join("genesis.ini"), genesis)?;
        let authors = write_ring(path, scenario)?;
        let mut rig = Self { program: program.to_owned(), relays: Vec::new(), authors, folder };
        rig.write_relays(scenario)?;
        for machine in 0..rig.relays.len() {
            if scenario.fleet.acceptor_machines().contains(&(machine as MachineId)) {
                rig.found(machine)?;
            }
            rig.start_relay(machine)?;
        }
        let begun = Instant::now();
        for relay in &rig.relays {
            wait_listening(relay.address.at, begun)?;
        }
        Ok(rig)
    }

    pub fn ring(&self) -> PathBuf {
        self.folder.path().join("ring.ini")
    }

    pub fn program(&self) -> &Path {
        &self.program
    }

    pub fn addresses(&self) -> Vec<RelayAddress> {
        self.relays.iter().map(|relay| relay.address).collect()
    }

    fn write_relays(&mut self, scenario: &Scenario) -> Result<()> {
        let path = self.folder.path().to_owned();
        let machines = scenario.fleet.control_machines;
        let peers: Vec<SocketAddr> = (0..machines).map(|_| free_port()).collect::<std::io::Result<_>>()?;
        let all: String = peers.iter().enumerate().map(|(peer, at)| format!("{peer} = {at}\n")).collect();
        for machine in 0..machines {
            let (listen, metrics) = (free_port()?, free_port()?);
            let state = path.join(format!("relay-{machine}"));
            let settings = path.join(format!("relay-{machine}.ini"));
            let text = format!(
                "[relay]\nnumber = {machine}\nlisten = {listen}\npeer_listen = {}\nmetrics = {metrics}\nstate = {}\n\
                 ring = ring.ini\nkey = key-{machine}\ngenesis = genesis.ini\n[peers]\n{all}",
                peers[usize::from(machine)],
                state.display()
            );
            std::fs::write(&settings, text)?;
            let address = RelayAddress { machine, at: listen };
            let (before, from) = (Used::default(), Used::default());
            self.relays.push(RelayProcess { address, metrics, settings, state, process: None, before, from });
        }
        Ok(())
    }

    fn found(&self, machine: usize) -> Result<()> {
        let settings = &self.relays[machine].settings;
        let found = Command::new(&self.program).args(["relay", "found"]).arg(settings).output()?;
        if !found.status.success() {
            bail!("control machine {machine} is not founded: {}", String::from_utf8_lossy(&found.stderr));
        }
        Ok(())
    }

    pub fn start_relay(&mut self, machine: usize) -> Result<()> {
        let relay = &mut self.relays[machine];
        let settings = relay.settings.display().to_string();
        let log = relay.settings.with_extension("log");
        let arguments = ["relay", "run", "--log-level", "warn", &settings];
        relay.process = Some(Process::start(&self.program, &arguments, &log)?);
        relay.from = Used::default();
        Ok(())
    }

    /// Kills a control machine outright.
    pub fn kill_relay(&mut self, machine: usize) {
        let relay = &mut self.relays[machine];
        relay.before = relay.used();
        (relay.process, relay.from) = (None, Used::default());
    }

    pub fn lose_relay_disk(&self, machine: usize) {
        // One that stored nothing has no folder.
        let _ = std::fs::remove_dir_all(&self.relays[machine].state);
    }

    /// What was used until now was of the start.
    pub fn start_counting(&mut self) {
        for relay in &mut self.relays {
            relay.before = Used::default();
            relay.from = relay.of_process();
        }
    }

    pub fn used(&self) -> Vec<Used> {
        self.relays.iter().map(RelayProcess::used).collect()
    }

    /// The resident set of a control machine, on the mean.
    pub fn resident(&self) -> u64 {
        let ids: Vec<u32> =
            self.relays.iter().filter_map(|relay| Some(relay.process.as_ref()?.id())).collect();
        ids.iter().map(|id| resident_bytes(*id)).sum::<u64>() / ids.len().max(1) as u64
    }

    /// Control machines that ended by themselves: none should.
    pub fn ended(&mut self) -> Vec<usize> {
        let processes = self.relays.iter_mut().map(|relay| relay.process.as_mut());
        let ended = processes.map(|process| process.is_some_and(Process::has_ended));
        ended.enumerate().filter_map(|(machine, ended)| ended.then_some(machine)).collect()
    }

    /// The last lines of a control machine's log.
    pub fn log_of(&self, machine: usize) -> String {
        let log = std::fs::read_to_string(self.relays[machine].settings.with_extension("log"));
        let log = log.unwrap_or_default();
        let lines: Vec<&str> = log.lines().rev().take(5).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }
}

impl RelayProcess {
    /// What the present process has used, by its clock and its metrics.
    fn of_process(&self) -> Used {
        let Some(process) = &self.process else { return Used::default() };
        let page = Page::get(self.metrics).ok();
        let bytes = |direction: &str| {
            let sum = page.as_ref().and_then(|page| page.sum("badgerledge_relay_bytes_total", direction));
            sum.unwrap_or(0.0) as u64
        };
        Used {
            bytes_in: bytes("direction=\"in\""),
            bytes_out: bytes("direction=\"out\""),
            messages: 0,
            cpu: process_cpu(process.id()).unwrap_or_default(),
        }
    }

    /// What it used since the count began.
    fn used(&self) -> Used {
        let now = self.of_process();
        Used {
            bytes_in: self.before.bytes_in + now.bytes_in.saturating_sub(self.from.bytes_in),
            bytes_out: self.before.bytes_out + now.bytes_out.saturating_sub(self.from.bytes_out),
            messages: 0,
            cpu: self.before.cpu + now.cpu.saturating_sub(self.from.cpu),
        }
    }
}

/// Waits until somebody listens there.
pub fn wait_listening(at: SocketAddr, begun: Instant) -> Result<()> {
    while TcpStream::connect_timeout(&at, Duration::from_millis(200)).is_err() {
        if begun.elapsed() > LISTENS_WITHIN {
            bail!("nobody listens at {at} after {LISTENS_WITHIN:?}");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// Writes the ring and the control machines' keys, and gives the authors' keys.
fn write_ring(path: &Path, scenario: &Scenario) -> Result<Vec<PrivateKey>> {
    let mut ring = String::new();
    for machine in 0..scenario.fleet.control_machines {
        let key = PrivateKey::generate(Role::Member(machine))?;
        key.write(&path.join(format!("key-{machine}")))?;
        ring += &format!("[member {machine}]\nkeys = {}\n", key.public_hex());
    }
    let mut authors = Vec::new();
    for author in 0..scenario.load.at_once as u16 {
        let key = PrivateKey::generate(Role::Author(author))?;
        ring += &format!("[author {author}]\nkeys = {}\n", key.public_hex());
        authors.push(key);
    }
    let acceptors: Vec<String> = scenario.fleet.acceptor_machines().iter().map(u16::to_string).collect();
    ring += &format!("[keepers]\nmembers = {}\n", acceptors.join(", "));
    std::fs::write(path.join("ring.ini"), ring)?;
    Ok(authors)
}

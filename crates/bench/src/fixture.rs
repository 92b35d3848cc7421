//! A controller process with its settings, and what it costs.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{bail, Context, Result};
use badgerledge_deployment::Shared;
use badgerledge_keys::{PrivateKey, Role};
use badgerledge_settings::Sheet;
use badgerledge_standins::free_port;
use rustix::process::{kill_process, Pid, Signal};
use tempfile::TempDir;

use crate::counted;

/// Titles of the fixture, each held everywhere.
pub const TITLES: u64 = 64;

/// What controllers and stand-ins are told. The fleet has room for all that a benchmark does; the rate is low
/// where media is not what is measured.
const SHARED: &str = "\
[fleet]
zones = a
kinds = k
kind_streams = 100000
cells = 4
racks = 2
link_unit_kb = 1000000
links_kb = 4000000
uplink_kb = 4000000
report = x0
told_every_ms = 3000
[ladder]
rates_kb = 2
benefit = 1
[room_type clip]
join_objective_ms = 5000
client_timeout_ms = 10000
benefit = 1
[permissions]
max_retry_after_ms = 1000
";

pub fn shared() -> Result<Shared> {
    Ok(Shared::of(&Sheet::parse("bench", SHARED)?)?)
}

/// Where a controller has its shared configuration from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    File,
    Revisions,
    /// One control machine, as a process of its own.
    Distribution,
}

impl std::fmt::Display for Source {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::File => "without revisions",
            Self::Revisions => "with revisions",
            Self::Distribution => "with distribution",
        })
    }
}

pub struct Controller {
    pub at: SocketAddr,
    metrics: SocketAddr,
    folder: TempDir,
    child: Child,
    /// The control machine, if it has one.
    machine: Option<Child>,
}

/// The keys of a fleet of one, and what its settings say of gossip and of revisions.
fn revisions(folder: &Path) -> Result<String> {
    let key = PrivateKey::make(Role::Member(0))?;
    key.write(&folder.join("key-0"))?;
    let ring = format!("[member 0]\nkeys = {}\n[keepers]\nmembers = 0\n", key.public());
    std::fs::write(folder.join("ring.ini"), ring)?;
    badgerledge_controller::revising::create_state(&folder.join("state"))?;
    Ok(format!(
        "state = {}\n[gossip]\nlisten = {}\nring = ring.ini\nkey = key-0\n[revisions]\ncatalogue = true\n",
        folder.join("state").display(),
        free_port()?
    ))
}

/// Starts a control machine that is its own quorum, and tells what a controller's settings say of it.
fn distribution(folder: &Path, titles: &str) -> Result<(String, Child)> {
    let key = PrivateKey::make(Role::Member(0))?;
    key.write(&folder.join("key-0"))?;
    let ring = format!("[member 0]\nkeys = {}\n[keepers]\nmembers = 0\n", key.public());
    std::fs::write(folder.join("ring.ini"), ring)?;
    std::fs::write(folder.join("genesis.ini"), SHARED.to_owned() + titles)?;
    let (listen, peer_listen) = (free_port()?, free_port()?);
    let settings = folder.join("machine.ini");
    let text = format!(
        "[relay]\nnumber = 0\nlisten = {listen}\npeer_listen = {peer_listen}\nstate = machine\nring = ring.ini\n\
         key = key-0\ngenesis = genesis.ini\n[peers]\n0 = {peer_listen}\n"
    );
    std::fs::write(&settings, text)?;
    let program = |verb: &str| -> Result<Child> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["control-machine", verb]).arg(&settings);
        Ok(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).spawn()?)
    };
    if !program("found")?.wait()?.success() {
        bail!("the control machine is not founded");
    }
    let state = folder.join("state");
    let told = format!(
        "state = {}\n[distribution]\nring = ring.ini\nrelays = 0 a {listen}\ntitles = true\n",
        state.display()
    );
    Ok((told, program("run")?))
}

impl Controller {
    pub fn start(list: SocketAddr, source: Source) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let (at, metrics) = (free_port()?, free_port()?);
        let title = |id| format!("[title {id:x}]\nroom_type = clip\nfirst_cell = 0\ncopies = 4\n");
        let titles: String = (0..TITLES).map(title).collect();
        let (more, machine) = match source {
            Source::File => (String::new(), None),
            Source::Revisions => (revisions(folder.path())?, None),
            Source::Distribution => {
                let (more, machine) = distribution(folder.path(), &titles)?;
                (more, Some(machine))
            }
        };
        let settings = folder.path().join("controller.ini");
        let text = format!(
            "[controller]\ncontrollers = 1\nzone = a\nlisten = {at}\nlist = {list}\nmetrics = {metrics}\n\
             catalogue = titles.ini\nseed = 3\n{more}{SHARED}"
        );
        std::fs::write(&settings, text)?;
        std::fs::write(folder.path().join("titles.ini"), titles)?;
        let child = Command::new(std::env::current_exe()?)
            .args(["controller", "run", "--log-level", "warn"])
            .arg(&settings)
            .env(counted::FILE, folder.path().join("counts"))
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { at, metrics, folder, child, machine })
    }

    pub fn ready(&self) -> bool {
        let held = self.metric("badgerledge_revision_held").unwrap_or(0.0);
        self.metric("badgerledge_streamers_listed") == Some(4.0) && held == 0.0
    }

    pub fn metric(&self, name: &str) -> Option<f64> {
        let mut page = TcpStream::connect(self.metrics).ok()?;
        page.write_all(b"GET /metrics HTTP/1.1\r\n\r\n").ok()?;
        let mut text = String::new();
        page.read_to_string(&mut text).ok()?;
        let line =
            text.lines().find(|line| line.strip_prefix(name).is_some_and(|rest| rest.starts_with(' ')));
        line?.rsplit(' ').next()?.parse().ok()
    }

    /// The number of its process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Descriptors that it holds (proc(5)).
    pub fn descriptors(&self) -> Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Resident memory in kB, as the kernel counts it (proc(5)).
    pub fn resident_kb(&self) -> Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("no VmRSS")?;
        Ok(line.trim().trim_end_matches(" kB").parse()?)
    }

    /// Ends it, and gives its allocations.
    pub fn finish(mut self) -> Result<u64> {
        let pid = Pid::from_raw(self.child.id() as i32).context("a process id")?;
        kill_process(pid, Signal::TERM)?;
        if !self.child.wait()?.success() {
            bail!("the controller did not end well");
        }
        let text = std::fs::read_to_string(self.folder.path().join("counts"))?;
        Ok(text.split(' ').next().unwrap_or("").parse()?)
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        for child in [Some(&mut self.child), self.machine.as_mut()].into_iter().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits for something that takes a moment, and fails if it takes long.
pub fn wait_for(what: &str, mut there: impl FnMut() -> bool) -> Result<()> {
    let begun = Instant::now();
    while !there() {
        if begun.elapsed() > Duration::from_secs(20) {
            bail!("{what}: not after 20 s");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

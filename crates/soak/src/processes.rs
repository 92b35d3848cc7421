//! The controller processes: their configuration, signals, health checks and limits.

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::Duration;

use anyhow::{Context, Result};
use badgerledge_reactor::SocketId;
use badgerledge_standins::free_port;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

use crate::messages::{self, ClientFrame};
use crate::plan::{HangUp, Plan, Shutdown, Stop, ROOM_TYPES, SINGLE_SHOT};
use crate::record::Life;
use crate::rig::{Action, Owner, Rig, BOUNDS};

const TEST_INTERVAL: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A new process may hold the descriptors of this one until the kernel has replaced its program, which is shortly
/// after its start was reported.
const EXEC_WITHIN: Duration = Duration::from_millis(100);
/// Window in which a guarded request may be joined again.
const GUARDED_WINDOW: Duration = Duration::from_secs(2);

/// A controller's place in the run. The process in it is replaced by restarts.
pub struct Process {
    index: usize,
    program: PathBuf,
    log_level: String,
    configuration: PathBuf,
    log: PathBuf,
    pub listen: SocketAddrV4,
    name_service: (SocketId, SocketAddr),
    child: Option<Child>,
    /// The index in the record of the process that runs.
    pub life: Option<usize>,
    /// It passed a health check since it started.
    pub ready: bool,
    /// What played was handed over since it started.
    pub handed_over: bool,
    /// When the list told this process that a streamer drains or is gone, by its id.
    pub unlisted: BTreeMap<u32, Duration>,
    /// The ids in the last list that it was told as ready.
    told_ready: Vec<u32>,
}

impl Plan {
    /// The client timeout of a room type.
    pub fn timeout(&self, room_type: usize) -> Duration {
        self.longest_timeout.mul_f64([1.0, 0.75, 0.6][room_type])
    }
}

impl Process {
    /// Prepares a process; it is not started yet.
    pub fn new(index: usize, program: &Path, folder: &Path, log_level: &str, rig: &mut Rig) -> Result<Self> {
        let name_service = bind_name_service(index, rig)?;
        Ok(Self {
            index,
            program: program.to_owned(),
            log_level: log_level.to_owned(),
            configuration: folder.join(format!("n{index}.json")),
            log: folder.join(format!("n{index}.log")),
            listen: SocketAddrV4::new(Ipv4Addr::LOCALHOST, free_port()?.port()),
            name_service,
            child: None,
            life: None,
            ready: false,
            handed_over: false,
            unlisted: BTreeMap::new(),
            told_ready: Vec::new(),
        })
    }
}

fn bind_name_service(index: usize, rig: &mut Rig) -> Result<(SocketId, SocketAddr)> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let bound = rig.reactor.bind_datagrams(any).context("a name service's socket")?;
    rig.owners.insert(bound.0, Owner::NameService(index));
    Ok(bound)
}

impl Rig {
    /// The configuration of a process, with the list as it is now.
    fn configuration(&self, process: &Process) -> Value {
        let plan = &self.plan;
        let profile = |room_type: usize| {
            let deadline_us = plan.timeout(room_type).as_micros() as u64;
            let effect = ["free", "guarded", "single_shot"][room_type];
            json!({"name": ROOM_TYPES[room_type], "aimUs": deadline_us * 2 / 5, "deadlineUs": deadline_us,
                "effect": effect, "group": "all", "windowUs": GUARDED_WINDOW.as_micros() as u64, "worth": 1.0})
        };
        let profiles: Vec<Value> = (0..=SINGLE_SHOT).map(profile).collect();
        json!({
            "name": format!("n{}", process.index),
            "listen": process.listen,
            "seed": format!("{:016x}", plan.seed.wrapping_mul(31) + process.index as u64 + self.now.as_micros() as u64),
            "names": process.name_service.1,
            "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.max_sockets},
            "known": self.list.known(),
            "settings": {
                "balancers": plan.processes, "me": process.index, "discovery": "automatic", "tickUs": 10_000,
                "weights": "nominal", "zone": 0, "profiles": profiles,
                "failureDomains": ["a"], "hostTypes": ["std"],
                "familyInfo": {"positions": plan.cells, "groups": 3, "classScale": [1.0, 1.0, 1.0],
                    "classTop": [1, 1, 1], "floorByClass": [0, 0, 0], "licenceCap": [0, 0, 0],
                    "kindStreams": [400], "linkUnitKb": 20_000.0, "levelKb": [100.0, 200.0],
                    "ladderWorth": [0.5, 1.0], "uplinkKb": 400_000.0, "toldEveryUs": 60_000_000,
                    "toldLateUs": 500_000},
                "obligations": {"coldFrom": 0.4, "coldUs": 0, "tipAfterUs": 0, "drainGraceUs": 500_000},
                "permissions": {"maxAttempts": 5, "retryAfter": true, "maxRetryAfterUs": 2_000_000,
                    "connectTimeoutUs": 250_000, "keepaliveUs": 30_000_000, "maxStreams": 32, "cancel": true,
                    "probes": true},
                "report": {"fields": ["x0"], "how": "answers"}}})
    }

    /// Starts a process in its place.
    pub fn start_process(&mut self, index: usize) -> Result<()> {
        self.write_configuration(index)?;
        let ready: Vec<u32> = self.ready_ids();
        let (life, now) = (self.record.lives.len(), self.now);
        let process = &mut self.processes[index];
        if process.child.is_some() {
            return Ok(());
        }
        let log = OpenOptions::new().create(true).append(true).open(&process.log).context("a log")?;
        let mut command = Command::new(&process.program);
        command.args(["controller", "platform", "--log-level", &process.log_level]);
        command.env("GW_CONFIG", &process.configuration).stdout(log.try_clone()?).stderr(log);
        process.child = Some(command.spawn().context("a controller process")?);
        (process.life, process.ready, process.handed_over) = (Some(life), false, false);
        (process.told_ready, process.unlisted) = (ready, BTreeMap::new());
        self.record.lives.push(Life { process: index, started_at: now, ..Life::default() });
        self.after(TEST_INTERVAL, Action::Test(index));
        Ok(())
    }

    fn ready_ids(&self) -> Vec<u32> {
        self.list.streamers.iter().filter(|listed| !listed.draining).map(|listed| listed.id).collect()
    }

    /// Writes the configuration file of a process.
    pub fn write_configuration(&mut self, index: usize) -> Result<()> {
        let process = &self.processes[index];
        let text = self.configuration(process).to_string();
        std::fs::write(&process.configuration, text).context("a configuration")
    }

    /// Opens a connection for a health check.
    pub fn open_test(&mut self, index: usize) {
        let process = &self.processes[index];
        if process.ready || process.child.is_none() {
            return;
        }
        match self.reactor.connect(SocketAddr::V4(process.listen), CONNECT_TIMEOUT, BOUNDS) {
            Ok(connection) => drop(self.owners.insert(connection, Owner::Tester(index))),
            Err(_) => self.after(TEST_INTERVAL, Action::Test(index)),
        }
    }

    pub fn send_test(&mut self, _index: usize, connection: SocketId) {
        self.reactor.send(connection, &[&messages::test()]);
    }

    pub fn test_failed(&mut self, index: usize) {
        self.after(TEST_INTERVAL, Action::Test(index));
    }

    pub fn tester_receives(&mut self, index: usize, connection: SocketId, frame: &ClientFrame) {
        self.owners.remove(&connection);
        self.reactor.close(connection);
        if *frame != (ClientFrame::Tested { passed: true }) {
            return self.after(TEST_INTERVAL, Action::Test(index));
        }
        self.processes[index].ready = true;
        if let Some(life) = self.processes[index].life {
            self.record.lives[life].ready_at.get_or_insert(self.now);
        }
    }

    /// Answers a query of the process that this name service belongs to.
    pub fn answer_query(&mut self, index: usize, socket: SocketId, from: SocketAddr, query: &[u8]) {
        if self.names_are_silent || self.processes[index].name_service.0 != socket {
            return;
        }
        let Ok(answer) = self.list.answer(query) else {
            return self.record.unreadable.push((self.now, "query".to_owned()));
        };
        if !self.reactor.send_to(socket, from, &answer) {
            return;
        }
        let (ready, now) = (self.ready_ids(), self.now);
        let process = &mut self.processes[index];
        for id in std::mem::take(&mut process.told_ready) {
            if !ready.contains(&id) {
                process.unlisted.entry(id).or_insert(now);
            }
        }
        process.told_ready = ready;
    }

    /// Begins a shutdown: SIGTERM, and SIGKILL at the protocol's earliest.
    pub fn begin_shutdown(&mut self, shutdown: Shutdown) {
        let Some(life) =
            self.processes[shutdown.process].life.filter(|_| self.processes[shutdown.process].ready)
        else {
            return;
        };
        let restart_at = self.now + self.plan.kill_delay() + shutdown.restart_after;
        if shutdown.crash {
            self.record.coverage.crashes += 1;
            self.record.lives[life].crash = true;
            self.kill(shutdown.process, life);
            return self.at(restart_at, Action::Start(shutdown.process));
        }
        self.record.coverage.shutdowns += 1;
        let hanging = (shutdown.hanging * self.streamers.len() as f64).round() as usize;
        for streamer in self.streamers.iter_mut().rev().take(hanging) {
            streamer.hangs_until = restart_at;
        }
        self.signal(shutdown.process, life, Signal::TERM);
        let sent_at = self.reactor.clock();
        self.record.lives[life].terminated_at = Some(sent_at);
        if let Some(after) = shutdown.repeated_after {
            self.after(after, Action::Signal(shutdown.process, life, Signal::TERM));
        }
        if let Some(after) = shutdown.hang_up_after {
            self.after(after, Action::Signal(shutdown.process, life, Signal::HUP));
        }
        self.at(sent_at + self.plan.kill_delay(), Action::Kill(shutdown.process, life));
        self.at(restart_at, Action::Start(shutdown.process));
    }

    /// Sends a signal to the process of this life, if it still runs.
    pub fn signal(&mut self, index: usize, life: usize, signal: Signal) {
        let process = &self.processes[index];
        if let Some(child) = process.child.as_ref().filter(|_| process.life == Some(life)) {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Kills the process of this life, if it still runs.
    pub fn kill(&mut self, index: usize, life: usize) {
        self.watch_processes();
        if self.processes[index].life == Some(life) && self.processes[index].child.is_some() {
            self.record.lives[life].killed_at = Some(self.now);
            self.signal(index, life, Signal::KILL);
        }
    }

    /// Stops a process for a while.
    pub fn stop(&mut self, stop: Stop) {
        let Some(life) = self.processes[stop.process].life else { return };
        if self.processes[stop.process].child.is_none() {
            return;
        }
        self.record.lives[life].stopped.push((self.now, self.now + stop.lasts));
        self.signal(stop.process, life, Signal::STOP);
        self.after(stop.lasts, Action::Continue(stop.process, life));
    }

    /// Moves the name service of a process, and tells it by SIGHUP.
    pub fn hang_up(&mut self, hang_up: HangUp) -> Result<()> {
        let index = hang_up.process;
        let Some(life) = self.processes[index].life.filter(|_| self.processes[index].ready) else {
            return Ok(());
        };
        self.record.coverage.hang_ups += 1;
        self.processes[index].name_service = bind_name_service(index, self)?;
        let path = self.processes[index].configuration.clone();
        match hang_up.half_written {
            None => self.write_configuration(index)?,
            Some(delay) => {
                let text = self.configuration(&self.processes[index]).to_string();
                std::fs::write(path, &text[..text.len() / 2]).context("a configuration")?;
                self.after(delay, Action::WriteConfiguration(index));
            }
        }
        self.signal(index, life, Signal::HUP);
        Ok(())
    }

    /// Notices processes that have exited, and hands sessions over to those that became ready.
    pub fn watch_processes(&mut self) {
        let now = self.reactor.clock();
        for index in 0..self.processes.len() {
            let process = &mut self.processes[index];
            let exited = process.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = exited {
                process.child = None;
                process.ready = false;
                if let Some(life) = process.life {
                    self.process_exited(life, now, status.success());
                }
            } else if process.ready && !process.handed_over {
                self.hand_over(index);
            }
        }
    }

    fn process_exited(&mut self, life: usize, now: Duration, success: bool) {
        let kill_delay = self.plan.kill_delay();
        let life = &mut self.record.lives[life];
        life.exited_at = Some((now, success));
        if let Some(terminated_at) = life.terminated_at.filter(|_| life.killed_at.is_none()) {
            self.record.coverage.exits_before_kill += 1;
            let lead = (terminated_at + kill_delay).saturating_sub(now);
            self.record.coverage.exit_lead_ms += lead.as_millis() as u64;
        }
    }

    /// Samples the descriptors and the memory of the processes that run.
    pub fn sample_processes(&mut self) {
        for process in &self.processes {
            let Some((child, life)) = process.child.as_ref().zip(process.life) else { continue };
            if self.now < self.record.lives[life].started_at + EXEC_WITHIN {
                continue;
            }
            let folder = PathBuf::from(format!("/proc/{}", child.id()));
            let descriptors = std::fs::read_dir(folder.join("fd")).map_or(0, Iterator::count);
            let status = std::fs::read_to_string(folder.join("status")).unwrap_or_default();
            let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
            let memory_kb = memory.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
            let life = &mut self.record.lives[life];
            life.max_descriptors = life.max_descriptors.max(descriptors);
            life.max_memory_kb = life.max_memory_kb.max(memory_kb.unwrap_or(0));
        }
    }

    /// Ends all processes at the end of a run.
    pub fn end_processes(&mut self) {
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Lets a rig that fails leave no process behind.
impl Drop for Rig {
    fn drop(&mut self) {
        self.end_processes();
    }
}

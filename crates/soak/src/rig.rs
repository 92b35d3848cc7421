//! The event loop of a run: all clients, streamers and name services on one reactor, and the processes between
//! them. What each does is in its own module; this one dispatches events and carries out what is due.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result};
use badgerledge_core::random::Rng;
use badgerledge_reactor::{Bounds, Reactor, ReactorEvent, SocketId};
use rustix::process::Signal;
use serde::Serialize;

use crate::clients::{Client, ClientId};
use crate::messages::ClientFrame;
use crate::names::List;
use crate::plan::{ChangeKind, Crowd, HangUp, Plan, Shutdown, Stop};
use crate::processes::Process;
use crate::record::{Answer, Coverage, Record};
use crate::streamers::{Streamer, StreamerConnection};
use crate::witness::{judge, Violation};

/// Bounds of the rig's connections: no party of a run sends more at once.
pub const BOUNDS: Bounds = Bounds { input: 64 * 1024, output: 256 * 1024 };
/// The loop wakes at least this often, to see processes exit.
const MAX_WAIT: Duration = Duration::from_millis(2);
/// A run in which the rig's own loop was later than this proves nothing.
const MAX_LAG: Duration = Duration::from_millis(40);
/// Interval between samples of descriptors and memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// What is due at some time.
#[derive(Clone, Debug)]
pub enum Action {
    /// Starts the process again.
    Start(usize),
    /// Sends a health check to the process until it passes.
    Test(usize),
    /// Opens a client's connection.
    Connect(ClientId),
    /// Sends a client's next set-up.
    SetUp(ClientId),
    /// Writes the next piece of a client's output.
    WritePiece(ClientId),
    /// The client cancels a request, or ends its session.
    Leave(u64),
    /// Closes a client's connection.
    CloseClient(ClientId),
    /// Sends a line on a streamer's connection.
    StreamerSend(SocketId, Vec<u8>),
    /// Sends the rest of a line that was sent in pieces.
    StreamerFinish(SocketId, Vec<u8>),
    /// The streamer answers an offer.
    AnswerOffer(SocketId, u64),
    /// The streamer ends a session.
    EndSession(u64),
    /// Closes a streamer's connection, with a reset or in order.
    CloseStreamer(SocketId, bool),
    Shutdown(Shutdown),
    Signal(usize, usize, Signal),
    Kill(usize, usize),
    Crowd(Crowd),
    Stop(Stop),
    Continue(usize, usize),
    Silence(bool),
    Change(usize, ChangeKind),
    /// Removes a draining streamer, and lists another at its address later.
    Remove(usize),
    Return(usize),
    HangUp(HangUp),
    WriteConfiguration(usize),
    Sample,
}

/// The owner of a socket.
#[derive(Clone, Copy, Debug)]
pub enum Owner {
    StreamerListener(usize),
    StreamerConnection,
    NameService(usize),
    Client(ClientId),
    Tester(usize),
}

/// A session that plays, as its client and its streamer see it.
#[derive(Clone, Copy, Debug)]
pub struct Session {
    /// The index of its process.
    pub process: usize,
    /// The streamer's index and id.
    pub streamer: (usize, u32),
    /// The connection that it was set up on.
    pub connection: SocketId,
    /// Accepted by its client.
    pub accepted: bool,
}

/// The result of a run.
#[derive(Debug, Serialize)]
pub struct Outcome {
    pub plan: Plan,
    pub coverage: Coverage,
    pub violations: Vec<Violation>,
    pub longest_lag_ms: u64,
    /// The rig was too late for its record to prove anything.
    pub stalled: bool,
    #[serde(skip)]
    pub record: Record,
}

/// A run under way.
pub struct Rig {
    pub plan: Plan,
    pub reactor: Reactor,
    pub rng: Rng,
    pub now: Duration,
    pub record: Record,
    pub owners: BTreeMap<SocketId, Owner>,
    pub processes: Vec<Process>,
    pub streamers: Vec<Streamer>,
    pub streamer_connections: BTreeMap<SocketId, StreamerConnection>,
    pub clients: BTreeMap<ClientId, Client>,
    pub sessions: BTreeMap<u64, Session>,
    pub list: List,
    pub names_are_silent: bool,
    pub next_request: u64,
    pub next_client: ClientId,
    due: BTreeMap<(Duration, u64), Action>,
    next_action: u64,
}

/// Plays a run with processes of `program`, which serves as a controller if its first argument is
/// `controller`. Logs stay in `folder`.
///
/// # Errors
/// If the rig cannot start: no sockets, no processes.
pub fn play(plan: &Plan, program: &Path, folder: &Path, log_level: &str) -> Result<Outcome> {
    let mut rig = Rig::new(plan.clone(), program, folder, log_level)?;
    rig.run()?;
    let violations = judge(plan, &rig.record, rig.now);
    let longest_lag = rig.record.longest_lag;
    Ok(Outcome {
        plan: plan.clone(),
        coverage: rig.record.coverage,
        violations,
        longest_lag_ms: longest_lag.as_millis() as u64,
        stalled: longest_lag > MAX_LAG,
        record: std::mem::take(&mut rig.record),
    })
}

impl Rig {
    fn new(plan: Plan, program: &Path, folder: &Path, log_level: &str) -> Result<Self> {
        let mut rig = Self {
            reactor: Reactor::new(Duration::ZERO).context("event loop")?,
            rng: Rng(plan.seed.wrapping_mul(0xd134_2543_de82_ef95) ^ 0x2545_f491),
            now: Duration::ZERO,
            record: Record::default(),
            owners: BTreeMap::new(),
            processes: Vec::new(),
            streamers: Vec::new(),
            streamer_connections: BTreeMap::new(),
            clients: BTreeMap::new(),
            sessions: BTreeMap::new(),
            list: List::default(),
            names_are_silent: false,
            next_request: plan.seed << 32,
            next_client: 0,
            due: BTreeMap::new(),
            next_action: 0,
            plan,
        };
        rig.open_streamers()?;
        for index in 0..rig.plan.processes {
            let process = Process::new(index, program, folder, log_level, &mut rig)?;
            rig.processes.push(process);
        }
        for index in 0..rig.plan.processes {
            rig.at(Duration::from_millis(20 * index as u64), Action::Start(index));
        }
        rig.open_clients();
        rig.schedule_faults();
        Ok(rig)
    }

    fn schedule_faults(&mut self) {
        let plan = self.plan.clone();
        plan.shutdowns.iter().for_each(|shutdown| self.at(shutdown.at, Action::Shutdown(*shutdown)));
        plan.crowds.iter().for_each(|crowd| self.at(crowd.at, Action::Crowd(*crowd)));
        plan.stops.iter().for_each(|stop| self.at(stop.at, Action::Stop(*stop)));
        for outage in &plan.outages {
            self.at(outage.at, Action::Silence(true));
            self.at(outage.at + outage.lasts, Action::Silence(false));
        }
        for change in &plan.list_changes {
            self.at(change.at, Action::Change(change.streamer, change.kind));
        }
        plan.hang_ups.iter().for_each(|hang_up| self.at(hang_up.at, Action::HangUp(*hang_up)));
        self.at(SAMPLE_INTERVAL, Action::Sample);
    }

    /// Schedules an action.
    pub fn at(&mut self, time: Duration, action: Action) {
        self.next_action += 1;
        self.due.insert((time, self.next_action), action);
    }

    /// Schedules an action after a delay.
    pub fn after(&mut self, delay: Duration, action: Action) {
        self.at(self.now + delay, action);
    }

    /// Whether something with this probability happens.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.rng.unit_interval() < probability
    }

    fn run(&mut self) -> Result<()> {
        let mut events = Vec::new();
        while self.now < self.plan.duration {
            let next_due = self.due.first_key_value().map_or(self.plan.duration, |((at, _), _)| *at);
            let until = next_due.min(self.reactor.clock() + MAX_WAIT);
            self.reactor.wait(Some(until), &mut events).context("event loop")?;
            self.now = self.reactor.now();
            let lag = self.now.saturating_sub(until);
            self.record.longest_lag = self.record.longest_lag.max(lag);
            for event in events.drain(..) {
                self.handle(event);
            }
            self.carry_out_due()?;
            self.reactor.flush();
            let handled_in = self.reactor.clock() - self.now;
            self.record.longest_lag = self.record.longest_lag.max(handled_in);
            self.watch_processes();
        }
        self.end_processes();
        Ok(())
    }

    fn handle(&mut self, event: ReactorEvent) {
        match event {
            ReactorEvent::Accepted { connection, listener, .. } => {
                if let Some(Owner::StreamerListener(streamer)) = self.owners.get(&listener).copied() {
                    self.streamer_accepts(streamer, connection);
                }
            }
            ReactorEvent::Opened(connection) => match self.owners.get(&connection).copied() {
                Some(Owner::Client(client)) => self.client_opened(client),
                Some(Owner::Tester(process)) => self.send_test(process, connection),
                _ => {}
            },
            ReactorEvent::Readable(connection) => self.read(connection),
            ReactorEvent::Closed(connection, _) => {
                self.read(connection);
                match self.owners.remove(&connection) {
                    Some(Owner::StreamerConnection) => self.streamer_connection_ended(connection),
                    Some(Owner::Client(client)) => self.client_connection_ended(client),
                    Some(Owner::Tester(process)) => self.test_failed(process),
                    _ => {}
                }
            }
            ReactorEvent::Datagram { socket, from, bytes } => {
                if let Some(Owner::NameService(process)) = self.owners.get(&socket).copied() {
                    self.answer_query(process, socket, from, &bytes);
                }
            }
            _ => {}
        }
    }

    fn read(&mut self, connection: SocketId) {
        match self.owners.get(&connection).copied() {
            Some(Owner::StreamerConnection) => self.read_streamer_connection(connection),
            Some(Owner::Client(client)) => {
                for frame in self.take_frames(connection) {
                    self.client_receives(client, frame);
                }
            }
            Some(Owner::Tester(process)) => {
                for frame in self.take_frames(connection) {
                    self.tester_receives(process, connection, &frame);
                }
            }
            _ => {}
        }
    }

    /// Takes the whole frames that a controller sent on a connection.
    fn take_frames(&mut self, connection: SocketId) -> Vec<ClientFrame> {
        let mut frames = Vec::new();
        while let Some((frame, length)) = crate::messages::decode(self.reactor.input(connection)) {
            let bytes = self.reactor.input(connection)[..length].to_vec();
            self.reactor.consume(connection, length);
            match frame {
                Some(frame) => frames.push(frame),
                None => self.record.unreadable.push((self.now, format!("frame {bytes:02x?}"))),
            }
        }
        frames
    }

    fn carry_out_due(&mut self) -> Result<()> {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let action = entry.remove();
            self.carry_out(action)?;
        }
        Ok(())
    }

    fn carry_out(&mut self, action: Action) -> Result<()> {
        match action {
            Action::Start(process) => return self.start_process(process),
            Action::Test(process) => self.open_test(process),
            Action::Connect(client) => self.connect_client(client),
            Action::SetUp(client) => self.send_next_set_up(client),
            Action::WritePiece(client) => self.write_piece(client),
            Action::Leave(request) => self.leave(request),
            Action::CloseClient(client) => self.close_client(client),
            Action::StreamerSend(connection, line) => self.send_line(connection, line),
            Action::StreamerFinish(connection, rest) => self.finish_line(connection, &rest),
            Action::AnswerOffer(connection, request) => self.answer_offer(connection, request),
            Action::EndSession(request) => self.end_session(request),
            Action::CloseStreamer(connection, reset) => self.close_streamer_connection(connection, reset),
            Action::Shutdown(shutdown) => self.begin_shutdown(shutdown),
            Action::Signal(process, life, signal) => self.signal(process, life, signal),
            Action::Kill(process, life) => self.kill(process, life),
            Action::Crowd(crowd) => self.open_crowd(crowd),
            Action::Stop(stop) => self.stop(stop),
            Action::Continue(process, life) => self.signal(process, life, Signal::CONT),
            Action::Silence(silent) => self.names_are_silent = silent,
            Action::Change(streamer, kind) => self.change_streamer(streamer, kind),
            Action::Remove(streamer) => self.remove_streamer(streamer),
            Action::Return(streamer) => self.return_streamer(streamer),
            Action::HangUp(hang_up) => self.hang_up(hang_up)?,
            Action::WriteConfiguration(process) => self.write_configuration(process)?,
            Action::Sample => {
                self.sample_processes();
                self.after(SAMPLE_INTERVAL, Action::Sample);
            }
        }
        Ok(())
    }

    /// Records an answer to a request, or the release of its session.
    pub fn record_answer(&mut self, request: u64, answer: Answer) {
        let now = self.now;
        let Some(entry) = self.record.requests.get_mut(&request) else {
            return self
                .record
                .unreadable
                .push((now, format!("{answer:?} for an unknown request {request:016x}")));
        };
        entry.answers.push((now, answer));
    }
}

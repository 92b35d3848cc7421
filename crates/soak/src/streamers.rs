//! Streamers: they answer offers as the plan says, and record each attempt.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use anyhow::{Context, Result};
use badgerledge_reactor::SocketId;
use serde_json::{json, Value};

use crate::messages::{description, line};
use crate::names::Listed;
use crate::plan::ChangeKind;
use crate::record::{Join, JoinEnd};
use crate::rig::{Action, Owner, Rig, Session, BOUNDS};

/// Ids of streamers that start later at the address of an earlier one differ from that one's by this.
const NEXT_ID: u32 = 0x100;
/// Time from the drain of a streamer to its removal, and from there to the start of its successor.
const DRAIN_TIME: Duration = Duration::from_millis(2500);
const ABSENCE: Duration = Duration::from_millis(800);
/// Pause between two pieces of a message, at most.
const MAX_PAUSE: Duration = Duration::from_millis(25);
/// Causes with which offers are refused.
const REFUSAL_CAUSES: [u8; 4] = [34, 41, 47, 102];

/// A streamer at an address. Its id changes when it is replaced.
pub struct Streamer {
    pub id: u32,
    pub cell: u32,
    pub address: SocketAddrV4,
    /// Answers nothing until this time.
    pub hangs_until: Duration,
    /// Its machine is gone: nothing is read or sent.
    vanished: bool,
    pub connections: Vec<SocketId>,
    /// Ends of sessions that wait for a connection of the process with this index.
    pub queued_ends: BTreeMap<usize, Vec<u64>>,
}

/// A controller's connection to a streamer.
pub struct StreamerConnection {
    pub streamer: usize,
    /// The process that it came from, once a message has told.
    pub process: Option<usize>,
    /// Outstanding joins, by request.
    outstanding: Vec<u64>,
    /// Until the rest of a message that is sent in pieces is written.
    busy_until: Duration,
}

impl Rig {
    /// Opens the listeners of all streamers, and lists them.
    pub fn open_streamers(&mut self) -> Result<()> {
        for index in 0..self.plan.streamers {
            let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let (listener, address) = self.reactor.listen(any, BOUNDS).context("a streamer's listener")?;
            self.owners.insert(listener, Owner::StreamerListener(index));
            let streamer = Streamer {
                id: index as u32 + 1,
                cell: index as u32 % self.plan.cells,
                address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, address.port()),
                hangs_until: Duration::ZERO,
                vanished: false,
                connections: Vec::new(),
                queued_ends: BTreeMap::new(),
            };
            self.list.streamers.push(listed(&streamer));
            self.streamers.push(streamer);
        }
        self.list.serial = 40;
        Ok(())
    }

    pub fn streamer_accepts(&mut self, streamer: usize, connection: SocketId) {
        self.owners.insert(connection, Owner::StreamerConnection);
        let state = StreamerConnection {
            streamer,
            process: None,
            outstanding: Vec::new(),
            busy_until: Duration::ZERO,
        };
        self.streamer_connections.insert(connection, state);
        self.streamers[streamer].connections.push(connection);
    }

    pub fn read_streamer_connection(&mut self, connection: SocketId) {
        if self.is_vanished(connection) {
            let count = self.reactor.input(connection).len();
            return self.reactor.consume(connection, count);
        }
        loop {
            let input = self.reactor.input(connection);
            let Some(end) = input.iter().position(|byte| *byte == b'\n') else { return };
            let message: Option<Value> = serde_json::from_slice(&input[..end]).ok();
            self.reactor.consume(connection, end + 1);
            let fields = message.as_ref().and_then(|message| {
                let request = u64::from_str_radix(message["call"].as_str()?, 16).ok()?;
                Some((message["op"].as_str()?, request))
            });
            match fields {
                Some(("offer", request)) => self.offer_arrives(connection, request),
                Some(("end", request)) => self.end_arrives(connection, request),
                Some(("test", request)) => {
                    let tested = line("tested", request, json!({"why": 1, "with": {"load": "x0:0.1"}}));
                    self.send_line(connection, tested);
                }
                Some(("set", _)) => {}
                _ => self.record.unreadable.push((self.now, format!("line {message:?}"))),
            }
        }
    }

    fn is_vanished(&self, connection: SocketId) -> bool {
        let state = self.streamer_connections.get(&connection);
        state.is_some_and(|state| self.streamers[state.streamer].vanished)
    }

    fn offer_arrives(&mut self, connection: SocketId, request: u64) {
        let now = self.now;
        self.record.coverage.joins += 1;
        let Some(state) = self.streamer_connections.get_mut(&connection) else { return };
        state.outstanding.push(request);
        let streamer = state.streamer;
        let id = self.streamers[streamer].id;
        let Some(entry) = self.record.requests.get_mut(&request) else {
            return self
                .record
                .unreadable
                .push((now, format!("an offer for {request:016x}, which nobody sent")));
        };
        let process = self.record.lives[entry.life].process;
        state.process = Some(process);
        let unlisted_at = self.processes[process].unlisted.get(&id).copied();
        let connection_number = connection;
        entry.joins.push(Join {
            streamer: id,
            connection: connection_number,
            arrived_at: now,
            ended: None,
            unlisted_at,
        });
        self.send_queued_ends(streamer, process, connection);
        if now < self.streamers[streamer].hangs_until || self.chance(self.plan.answers.silent) {
            self.record.coverage.silent_joins += 1;
            return;
        }
        let delay = self.rng.random_duration(self.plan.answers.delay);
        self.after(delay, Action::AnswerOffer(connection, request));
    }

    /// Answers an offer, unless it was withdrawn meanwhile.
    pub fn answer_offer(&mut self, connection: SocketId, request: u64) {
        let answers = self.plan.answers;
        if self.is_vanished(connection) {
            return;
        }
        let Some(state) = self.streamer_connections.get(&connection) else { return };
        if !state.outstanding.contains(&request) {
            return;
        }
        let hangs = self.now < self.streamers[state.streamer].hangs_until;
        if hangs {
            return;
        }
        let draw = self.rng.unit_interval();
        let limits = [answers.refused, answers.malformed, answers.closed, answers.reset];
        let mut sum = 0.0;
        let kind = limits.iter().position(|part| {
            sum += part;
            draw < sum
        });
        match kind {
            Some(0) => self.refuse(connection, request),
            Some(1) => self.answer_malformed(connection, request),
            Some(2) => self.close_streamer_connection(connection, false),
            Some(3) => self.close_streamer_connection(connection, true),
            _ => self.accept(connection, request),
        }
    }

    fn accept(&mut self, connection: SocketId, request: u64) {
        let answer = line("accept", request, json!({"desc": description(request)}));
        self.end_join(connection, request, JoinEnd::Accepted);
        let Some(streamer) = self.streamer_connections.get(&connection).map(|state| state.streamer) else {
            return;
        };
        let process = self.record.requests.get(&request).map(|entry| self.record.lives[entry.life].process);
        let session = Session {
            process: process.unwrap_or_default(),
            streamer: (streamer, self.streamers[streamer].id),
            connection,
            accepted: false,
        };
        self.sessions.insert(request, session);
        self.send_answer(connection, answer);
        if self.chance(self.plan.answers.closed) {
            // The session belongs to no connection.
            let delay = MAX_PAUSE + self.rng.random_duration(MAX_PAUSE);
            self.after(delay, Action::CloseStreamer(connection, false));
        }
    }

    fn refuse(&mut self, connection: SocketId, request: u64) {
        let cause = REFUSAL_CAUSES[(self.rng.unit_interval() * 4.0) as usize];
        self.record.coverage.refusals += 1;
        self.end_join(connection, request, JoinEnd::Refused { cause });
        self.send_answer(connection, line("end", request, json!({"why": cause})));
    }

    /// Sends an answer, in pieces or twice as the plan says.
    fn send_answer(&mut self, connection: SocketId, answer: Vec<u8>) {
        let answers = self.plan.answers;
        if self.chance(answers.repeated) {
            self.record.coverage.second_copies += 1;
            let delay = self.rng.random_duration(answers.repeated_within);
            self.after(delay, Action::StreamerSend(connection, answer.clone()));
        }
        let now = self.now;
        let in_pieces = self.chance(answers.in_pieces);
        let state = self.streamer_connections.get_mut(&connection);
        let Some(state) = state.filter(|state| in_pieces && state.busy_until <= now) else {
            return self.send_line(connection, answer);
        };
        let pause = Duration::from_millis(1) + self.rng.random_duration(MAX_PAUSE);
        state.busy_until = now + pause;
        let middle = 1 + (self.rng.unit_interval() * (answer.len() - 2) as f64) as usize;
        self.reactor.send(connection, &[&answer[..middle]]);
        self.after(pause, Action::StreamerFinish(connection, answer[middle..].to_vec()));
    }

    /// Writes the rest of a line that was sent in pieces.
    pub fn finish_line(&mut self, connection: SocketId, rest: &[u8]) {
        if !self.is_vanished(connection) {
            self.reactor.send(connection, &[rest]);
        }
    }

    /// Writes a line on a connection, after the rest of one that is being written in pieces.
    pub fn send_line(&mut self, connection: SocketId, line: Vec<u8>) {
        if self.is_vanished(connection) {
            return;
        }
        let busy_until =
            self.streamer_connections.get(&connection).map_or(Duration::ZERO, |state| state.busy_until);
        if self.now < busy_until {
            let after = busy_until + Duration::from_millis(1);
            return self.at(after, Action::StreamerSend(connection, line));
        }
        self.reactor.send(connection, &[&line]);
    }

    /// Sends what cannot be read. The attempt is out until the controller closes the connection.
    fn answer_malformed(&mut self, connection: SocketId, request: u64) {
        self.record.coverage.malformed_answers += 1;
        let whole = line("accept", request, json!({"desc": description(request)}));
        let malformed = match (self.rng.unit_interval() * 3.0) as usize {
            0 => [&whole[..whole.len() / 2], b"\n"].concat(),
            1 => vec![b'x'; 20_000],
            _ => b"\x00\xff{}[]\n".to_vec(),
        };
        self.send_line(connection, malformed);
    }

    /// Records the end of the outstanding join of a request on a connection.
    fn end_join(&mut self, connection: SocketId, request: u64, end: JoinEnd) {
        let now = self.now;
        if let Some(state) = self.streamer_connections.get_mut(&connection) {
            state.outstanding.retain(|outstanding| *outstanding != request);
        }
        let Some(entry) = self.record.requests.get_mut(&request) else { return };
        let join = entry.joins.iter_mut().rev().find(|join| join.connection == connection);
        if let Some(join) = join.filter(|join| join.ended.is_none()) {
            join.ended = Some((now, end));
        }
    }

    /// The controller withdraws a join, or ends a session.
    fn end_arrives(&mut self, connection: SocketId, request: u64) {
        let outstanding = self
            .streamer_connections
            .get(&connection)
            .is_some_and(|state| state.outstanding.contains(&request));
        if outstanding {
            return self.end_join(connection, request, JoinEnd::Withdrawn);
        }
        let Some(streamer) = self.streamer_connections.get(&connection).map(|state| state.streamer) else {
            return;
        };
        if self.sessions.get(&request).is_some_and(|session| session.streamer.0 == streamer) {
            self.sessions.remove(&request);
        }
    }

    /// The streamer ends a session: on the connection of its set-up, else on one of the same process, else as
    /// soon as there is one.
    pub fn end_session(&mut self, request: u64) {
        let Some(session) = self.sessions.get(&request).copied() else { return };
        if self.streamers[session.streamer.0].vanished {
            return;
        }
        let index = session.streamer.0;
        if self.streamers[index].id != session.streamer.1 {
            return;
        }
        let of_process = |connection: &&SocketId| {
            let state = self.streamer_connections.get(connection);
            state.is_some_and(|state| state.process == Some(session.process))
        };
        let open = self.streamers[index].connections.iter();
        let own = open.clone().find(|connection| **connection == session.connection);
        match own.or_else(|| open.clone().find(of_process)).copied() {
            Some(connection) => self.write_end(connection, request),
            None => {
                self.sessions.remove(&request);
                self.streamers[index].queued_ends.entry(session.process).or_default().push(request);
            }
        }
    }

    fn write_end(&mut self, connection: SocketId, request: u64) {
        let busy =
            self.streamer_connections.get(&connection).is_some_and(|state| self.now < state.busy_until);
        let end = line("end", request, json!({"why": 16}));
        if busy {
            return self.after(MAX_PAUSE, Action::EndSession(request));
        }
        if self.reactor.send(connection, &[&end]) {
            self.sessions.remove(&request);
            self.record.coverage.sessions_ended_by_streamers += 1;
            let now = self.now;
            if let Some(entry) = self.record.requests.get_mut(&request) {
                entry.session_ended_at.get_or_insert(now);
            }
        }
    }

    fn send_queued_ends(&mut self, streamer: usize, process: usize, connection: SocketId) {
        for request in self.streamers[streamer].queued_ends.remove(&process).unwrap_or_default() {
            self.write_end(connection, request);
        }
    }

    /// Closes a connection from the streamer's side.
    pub fn close_streamer_connection(&mut self, connection: SocketId, reset: bool) {
        if !self.streamer_connections.contains_key(&connection) {
            return;
        }
        match reset {
            true => self.record.coverage.reset_connections += 1,
            false => self.record.coverage.closed_connections += 1,
        }
        self.owners.remove(&connection);
        self.streamer_connection_ended(connection);
        if reset {
            self.reactor.reset(connection);
        } else {
            self.reactor.close(connection);
        }
    }

    /// A connection has ended: the joins outstanding on it are given up.
    pub fn streamer_connection_ended(&mut self, connection: SocketId) {
        let outstanding = self
            .streamer_connections
            .get(&connection)
            .map_or_else(Vec::new, |state| state.outstanding.clone());
        for request in outstanding {
            self.end_join(connection, request, JoinEnd::ConnectionEnded);
        }
        if let Some(state) = self.streamer_connections.remove(&connection) {
            self.streamers[state.streamer].connections.retain(|other| *other != connection);
        }
    }

    /// Changes the list: a streamer drains, or its process is replaced.
    pub fn change_streamer(&mut self, index: usize, kind: ChangeKind) {
        self.record.coverage.list_changes += 1;
        match kind {
            ChangeKind::Drain => {
                let id = self.streamers[index].id;
                let listed = self.list.streamers.iter_mut().find(|listed| listed.id == id);
                if let Some(listed) = listed {
                    listed.draining = true;
                }
                self.list.serial += 1;
                self.after(DRAIN_TIME, Action::Remove(index));
            }
            ChangeKind::Replace => {
                self.end_sessions(index);
                self.reset_connections(index);
                self.unlist(index);
                self.list_successor(index);
            }
            ChangeKind::Vanish => {
                self.end_sessions(index);
                self.streamers[index].vanished = true;
                self.after(DRAIN_TIME, Action::Remove(index));
            }
        }
    }

    /// A drained or vanished streamer ends and is removed from the list.
    pub fn remove_streamer(&mut self, index: usize) {
        if !self.streamers[index].vanished {
            self.end_sessions(index);
            self.reset_connections(index);
        }
        self.unlist(index);
        self.after(ABSENCE, Action::Return(index));
    }

    /// Another streamer starts at the address of a removed one.
    pub fn return_streamer(&mut self, index: usize) {
        self.reset_connections(index);
        self.streamers[index].vanished = false;
        self.list_successor(index);
    }

    fn unlist(&mut self, index: usize) {
        let id = self.streamers[index].id;
        self.list.streamers.retain(|listed| listed.id != id);
        self.list.serial += 1;
    }

    fn list_successor(&mut self, index: usize) {
        self.streamers[index].id += NEXT_ID;
        self.list.streamers.push(listed(&self.streamers[index]));
        self.list.serial += 1;
    }

    /// Resets the connections of a streamer whose process or machine has ended.
    fn reset_connections(&mut self, index: usize) {
        for connection in self.streamers[index].connections.clone() {
            self.owners.remove(&connection);
            self.streamer_connection_ended(connection);
            self.reactor.reset(connection);
        }
    }

    /// The process or machine of a streamer ends: its joins are given up, and its sessions cut.
    fn end_sessions(&mut self, index: usize) {
        let now = self.now;
        for connection in self.streamers[index].connections.clone() {
            let state = self.streamer_connections.get(&connection);
            for request in state.map_or_else(Vec::new, |state| state.outstanding.clone()) {
                self.end_join(connection, request, JoinEnd::ConnectionEnded);
            }
        }
        let cut: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.streamer.0 == index)
            .map(|(request, _)| *request)
            .collect();
        for request in cut {
            // One whose answer its client never got is no session to it.
            let accepted = self.sessions.remove(&request).is_some_and(|session| session.accepted);
            if let Some(entry) = self.record.requests.get_mut(&request).filter(|_| accepted) {
                entry.session_ended_at.get_or_insert(now);
            }
        }
        self.streamers[index].queued_ends.clear();
    }
}

fn listed(streamer: &Streamer) -> Listed {
    Listed { id: streamer.id, address: streamer.address, cell: streamer.cell, draining: false }
}

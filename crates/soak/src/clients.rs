//! Clients: connections of the front that send set-ups without pause, and crowds.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use badgerledge_reactor::SocketId;

use crate::messages::{self, description, ClientFrame, SetUp};
use crate::names::streamer_name;
use crate::plan::{Crowd, ROOM_TYPES};
use crate::record::{Answer, Request};
use crate::rig::{Action, Owner, Rig, BOUNDS};

/// Identifies a client's connection, across reconnects.
pub type ClientId = u64;

/// Interval between attempts to connect to a process that does not listen or is not ready.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// For this long after SIGTERM new connections still come.
const CONNECTS_AFTER_SIGNAL: Duration = Duration::from_millis(400);
/// Set-ups without an answer that one connection may have.
const MAX_PENDING: usize = 40;
/// A handed-over session names an unbounded wait.
const HANDOVER_TIMEOUT_MS: u64 = 4_294_967;
/// Time after which a request is cancelled or its connection closed, at most.
const LEAVES_WITHIN: Duration = Duration::from_millis(60);

/// A client's connection.
pub struct Client {
    pub process: usize,
    pub connection: Option<SocketId>,
    pub open: bool,
    /// One of a crowd: it sends one set-up at most, and does not come again.
    crowd: Option<Crowd>,
    piecewise: bool,
    /// Output that is written in pieces.
    pieces: VecDeque<Piece>,
    /// Requests without an answer.
    pending: BTreeSet<u64>,
    /// A request that crossed the close of another connection, to be sent on this one.
    sends_again: Option<u64>,
    /// The next set-up is scheduled.
    scheduled: bool,
}

/// A message about a request; what is recorded when its last byte is written.
#[derive(Clone, Copy)]
enum Message {
    SetUp(u64),
    Release(u64),
    Other,
}

/// A piece of output; the message whose last byte is in it.
struct Piece {
    bytes: Vec<u8>,
    completes: Message,
}

impl Client {
    fn new(process: usize, crowd: Option<Crowd>, piecewise: bool) -> Self {
        Self {
            process,
            connection: None,
            open: false,
            crowd,
            piecewise,
            pieces: VecDeque::new(),
            pending: BTreeSet::new(),
            sends_again: None,
            scheduled: false,
        }
    }
}

impl Rig {
    /// Creates the clients of all processes; they connect once their process is ready.
    pub fn open_clients(&mut self) {
        for process in 0..self.plan.processes {
            for _ in 0..self.plan.clients_per_process {
                let piecewise = self.chance(self.plan.piecewise);
                let client = self.add_client(Client::new(process, None, piecewise));
                self.after(RECONNECT_INTERVAL, Action::Connect(client));
            }
        }
    }

    fn add_client(&mut self, client: Client) -> ClientId {
        self.next_client += 1;
        self.clients.insert(self.next_client, client);
        self.next_client
    }

    /// Opens the connections of a crowd.
    pub fn open_crowd(&mut self, crowd: Crowd) {
        if !self.processes[crowd.process].ready {
            return;
        }
        for _ in 0..crowd.connections {
            self.record.coverage.crowd_connections += 1;
            let client = self.add_client(Client::new(crowd.process, Some(crowd), false));
            self.connect_client(client);
            self.after(crowd.stays_for, Action::CloseClient(client));
        }
    }

    /// Connects a client, if its process takes connections and the front would still choose it.
    pub fn connect_client(&mut self, id: ClientId) {
        let Some(client) = self.clients.get(&id).filter(|client| client.connection.is_none()) else { return };
        let process = &self.processes[client.process];
        let life = process.life.map(|life| &self.record.lives[life]);
        let chosen = life
            .is_some_and(|life| life.terminated_at.is_none_or(|at| self.now < at + CONNECTS_AFTER_SIGNAL));
        let must_connect = client.sends_again.is_some();
        if !(process.ready && chosen || must_connect) {
            return self.client_could_not_connect(id);
        }
        let address = SocketAddr::V4(process.listen);
        match self.reactor.connect(address, CONNECT_TIMEOUT, BOUNDS) {
            Ok(connection) => {
                self.owners.insert(connection, Owner::Client(id));
                self.clients.entry(id).and_modify(|client| client.connection = Some(connection));
            }
            Err(_) => self.client_could_not_connect(id),
        }
    }

    fn client_could_not_connect(&mut self, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.connection = None;
        if let Some(request) = client.sends_again.take() {
            if let Some(entry) = self.record.requests.get_mut(&request) {
                entry.not_taken = true;
            }
        }
        if client.crowd.is_some() {
            self.clients.remove(&id);
            return;
        }
        self.after(RECONNECT_INTERVAL, Action::Connect(id));
    }

    pub fn client_opened(&mut self, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.open = true;
        let crowd = client.crowd;
        if let Some(request) = client.sends_again.take() {
            self.send_set_up(id, request);
        }
        let scheduled = self.clients.get(&id).is_some_and(|client| client.scheduled);
        if crowd.is_none_or(|crowd| crowd.sends) && !scheduled {
            self.send_next_set_up(id);
        }
    }

    /// Sends the next set-up of a client, and schedules the one after it.
    pub fn send_next_set_up(&mut self, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.scheduled = false;
        if !client.open {
            return;
        }
        let (crowd, process) = (client.crowd.is_some(), client.process);
        client.scheduled = !crowd;
        let Some(life) = self.processes[process].life else { return };
        let pending = self.clients.get(&id).map_or(0, |client| client.pending.len());
        if pending < MAX_PENDING {
            self.next_request += 1;
            let request = self.next_request;
            let room_type = (self.rng.unit_interval() * ROOM_TYPES.len() as f64) as usize;
            let timeout = self.plan.timeout(room_type);
            let entry = Request { life, room_type, timeout, ..Request::default() };
            self.record.requests.insert(request, entry);
            self.record.coverage.requests += 1;
            if self.record.lives[life].terminated_at.is_some() {
                self.record.coverage.requests_after_signal += 1;
            }
            self.send_set_up(id, request);
            self.schedule_leaving(id, request);
        }
        if !crowd {
            let interval = self.plan.set_up_interval.mul_f64(2.0 * self.rng.unit_interval());
            self.after(interval, Action::SetUp(id));
        }
    }

    /// Some clients cancel their request soon, some close their connection right behind it.
    fn schedule_leaving(&mut self, id: ClientId, request: u64) {
        let delay = self.rng.random_duration(LEAVES_WITHIN);
        if self.chance(self.plan.cancelled) {
            self.record.coverage.cancelled_requests += 1;
            self.after(delay, Action::Leave(request));
        } else if self.chance(self.plan.closed) {
            self.record.coverage.closed_requests += 1;
            self.after(delay, Action::CloseClient(id));
        }
    }

    fn send_set_up(&mut self, id: ClientId, request: u64) {
        let Some(entry) = self.record.requests.get(&request) else { return };
        let set_up = SetUp {
            session: request,
            room_type: ROOM_TYPES[entry.room_type],
            timeout_ms: entry.timeout.as_millis() as u64,
            title: request.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            home: (request % u64::from(self.plan.cells)) as u32,
            copies: self.plan.copies,
            playing_at: None,
        };
        let frame = set_up.frame();
        if let Some(client) = self.clients.get_mut(&id) {
            client.pending.insert(request);
        }
        self.send(id, frame, Message::SetUp(request));
    }

    /// Sends a frame on a client's connection; in pieces, if the client writes so.
    fn send(&mut self, id: ClientId, frame: Vec<u8>, message: Message) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let Some(connection) = client.connection else { return };
        if client.piecewise {
            let was_empty = client.pieces.is_empty();
            let size = 1 + (self.rng.unit_interval() * 60.0) as usize;
            let count = frame.len().div_ceil(size);
            for (number, bytes) in frame.chunks(size).enumerate() {
                let completes = if number + 1 == count { message } else { Message::Other };
                client.pieces.push_back(Piece { bytes: bytes.to_vec(), completes });
            }
            if was_empty {
                self.write_piece(id);
            }
            return;
        }
        if self.reactor.send(connection, &[&frame]) {
            self.reactor.flush_connection(connection);
            self.written(message);
        }
    }

    /// Writes the next piece of a client's output.
    pub fn write_piece(&mut self, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let Some((connection, piece)) = client.connection.zip(client.pieces.pop_front()) else { return };
        let more = !client.pieces.is_empty();
        if self.reactor.send(connection, &[&piece.bytes]) {
            self.reactor.flush_connection(connection);
            self.written(piece.completes);
        }
        if more {
            let pause = self.rng.random_duration(Duration::from_millis(4));
            self.after(pause, Action::WritePiece(id));
        }
    }

    /// The last byte of a message was written.
    fn written(&mut self, message: Message) {
        let now = self.reactor.clock();
        let requests = &mut self.record.requests;
        match message {
            Message::SetUp(request) => {
                requests.entry(request).and_modify(|entry| entry.sent_at = Some(now));
            }
            Message::Release(request) => {
                requests.entry(request).and_modify(|entry| entry.left_at = Some(now));
                for client in self.clients.values_mut() {
                    client.pending.remove(&request);
                }
            }
            Message::Other => {}
        }
    }

    pub fn client_receives(&mut self, id: ClientId, frame: ClientFrame) {
        match frame {
            ClientFrame::Accepted { session, description: given } => {
                let genuine = given == description(session).into_bytes();
                self.accepted(id, session, genuine);
            }
            ClientFrame::Released { session, cause } => {
                self.released(id, session, cause);
                self.send(id, messages::released(session), Message::Other);
            }
            ClientFrame::Moved { session } => {
                self.record_answer(session, Answer::Moved);
                self.sessions.remove(&session);
            }
            ClientFrame::Tested { .. } => {}
        }
    }

    fn accepted(&mut self, id: ClientId, request: u64, genuine: bool) {
        self.record.coverage.accepted += 1;
        self.record_answer(request, Answer::Accepted { genuine });
        if let Some(client) = self.clients.get_mut(&id) {
            client.pending.remove(&request);
        }
        if let Some(entry) = self.record.requests.get(&request) {
            self.record.lives[entry.life].accepted += 1;
        }
        if let Some(session) = self.sessions.get_mut(&request) {
            session.accepted = true;
        }
        let length = self.plan.session_length.mul_f64(2.0 * self.rng.unit_interval());
        let ends = if self.chance(0.5) { Action::Leave(request) } else { Action::EndSession(request) };
        self.after(length, ends);
    }

    fn released(&mut self, id: ClientId, request: u64, cause: u8) {
        let answered = self.record.requests.get(&request).is_some_and(|entry| !entry.answers.is_empty());
        self.record_answer(request, Answer::Released { cause });
        if let Some(client) = self.clients.get_mut(&id) {
            client.pending.remove(&request);
        }
        if answered {
            return;
        }
        match cause {
            42 => self.record.coverage.refused += 1,
            _ => self.record.coverage.failed += 1,
        }
        let terminated = |entry: &Request| self.record.lives[entry.life].terminated_at.is_some();
        if cause == 42 && self.record.requests.get(&request).is_some_and(terminated) {
            self.record.coverage.refused_after_signal += 1;
        }
    }

    /// The client cancels a request or ends its session, on any connection of its process.
    pub fn leave(&mut self, request: u64) {
        let Some(entry) = self.record.requests.get(&request) else { return };
        let over = entry.answers.iter().any(|(_, answer)| !matches!(answer, Answer::Accepted { .. }));
        if over || entry.left_at.is_some() || entry.cut_at.is_some() {
            return;
        }
        let accepted = !entry.answers.is_empty();
        let process = self.record.lives[entry.life].process;
        let carrier = self.clients.iter().find(|(_, client)| {
            client.process == process
                && client.open
                && (client.pending.contains(&request) || accepted && client.crowd.is_none())
        });
        let Some(carrier) = carrier.map(|(id, _)| *id) else {
            // It ends its session once there is a connection.
            return self.after(Duration::from_millis(100), Action::Leave(request));
        };
        self.sessions.remove(&request);
        self.send(carrier, messages::release(request), Message::Release(request));
    }

    /// The client closes its connection; what is pending on it is given up.
    pub fn close_client(&mut self, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let crowd = client.crowd.is_some();
        let Some(connection) = client.connection.take() else {
            if crowd {
                self.clients.remove(&id);
            }
            return;
        };
        client.open = false;
        client.pieces.clear();
        let now = self.now;
        for request in std::mem::take(&mut client.pending) {
            if let Some(entry) = self.record.requests.get_mut(&request) {
                entry.left_at = Some(now);
            }
        }
        self.owners.remove(&connection);
        self.reactor.flush_connection(connection);
        self.reactor.close(connection);
        if crowd {
            self.clients.remove(&id);
        } else {
            self.after(RECONNECT_INTERVAL, Action::Connect(id));
        }
    }

    /// A client's connection ended. Requests without an answer are cut; one that crossed the close is sent
    /// again on a new connection, once.
    pub fn client_connection_ended(&mut self, id: ClientId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if !client.open {
            return self.client_could_not_connect(id);
        }
        (client.open, client.connection) = (false, None);
        client.pieces.clear();
        let crowd = client.crowd.is_some();
        let now = self.now;
        for request in std::mem::take(&mut client.pending) {
            let Some(entry) = self.record.requests.get_mut(&request) else { continue };
            let crossed = entry.sent_at.is_some_and(|at| now <= at + Duration::from_millis(50));
            if crossed && !entry.sent_again && client.sends_again.is_none() {
                entry.sent_again = true;
                client.sends_again = Some(request);
                self.record.coverage.sent_again += 1;
            } else {
                entry.cut_at = Some(now);
            }
        }
        if client.sends_again.is_some() {
            return self.connect_client(id);
        }
        if crowd {
            self.clients.remove(&id);
            return;
        }
        self.after(RECONNECT_INTERVAL, Action::Connect(id));
    }

    /// Hands what plays over to a restarted process, on the first connection that is open to it.
    pub fn hand_over(&mut self, process: usize) {
        let carrier = self.clients.iter().find(|(_, client)| {
            client.process == process && client.open && client.crowd.is_none() && !client.piecewise
        });
        let Some(carrier) = carrier.map(|(id, _)| *id) else { return };
        let Some(life) = self.processes[process].life else { return };
        let playing: Vec<(u64, u32)> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.process == process && session.accepted)
            .map(|(request, session)| (*request, session.streamer.1))
            .collect();
        self.processes[process].handed_over = true;
        for (request, streamer) in playing {
            self.record.coverage.hand_overs += 1;
            let Some(entry) = self.record.requests.get_mut(&request) else { continue };
            entry.life = life;
            let set_up = SetUp {
                session: request,
                room_type: ROOM_TYPES[entry.room_type],
                timeout_ms: HANDOVER_TIMEOUT_MS,
                title: request.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                home: (request % u64::from(self.plan.cells)) as u32,
                copies: self.plan.copies,
                playing_at: Some(&streamer_name(streamer)),
            };
            let frame = set_up.frame();
            self.send(carrier, frame, Message::Other);
        }
    }
}

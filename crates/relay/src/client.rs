//! An operator's connection to a relay.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use badgerledge_distribution::change::{Change, Rejection};
use badgerledge_distribution::message::{
    decode, encode, ControlStatus, FrameFault, PartitionStatus, ToRelay, ToWatcher, MAX_RELAY_BODY_BYTES,
};
use badgerledge_distribution::Number;
use thiserror::Error;

/// A relay that does not answer a connection within this is taken as not there.
const CONNECT_WITHIN: Duration = Duration::from_secs(5);
/// A relay answers a request for its status within a round of its loop.
const ANSWER_WITHIN: Duration = Duration::from_secs(5);
const READ_AT_ONCE: usize = 64 * 1024;

/// Why a relay did not answer.
#[derive(Debug, Error)]
pub enum ClientFault {
    #[error("relay at {0}: {1}")]
    Io(SocketAddr, #[source] io::Error),
    #[error("relay at {0}: {1}")]
    Frame(SocketAddr, #[source] FrameFault),
    #[error("relay at {0}: it closed the connection")]
    Closed(SocketAddr),
    #[error("relay at {0}: no answer within {1:?}")]
    Silent(SocketAddr, Duration),
    #[error("relay at {0}: it is at its bound of connections; try another, or again in {1} ms")]
    Busy(SocketAddr, u32),
}

/// A connection to a relay.
pub struct Client {
    at: SocketAddr,
    stream: TcpStream,
    input: Vec<u8>,
}

impl Client {
    /// # Errors
    /// Where nobody takes the connection.
    pub fn connect(at: SocketAddr) -> Result<Self, ClientFault> {
        let connect = || {
            let stream = TcpStream::connect_timeout(&at, CONNECT_WITHIN)?;
            stream.set_nodelay(true)?;
            stream.set_write_timeout(Some(ANSWER_WITHIN))?;
            Ok(stream)
        };
        let stream = connect().map_err(|fault| ClientFault::Io(at, fault))?;
        Ok(Self { at, stream, input: Vec::new() })
    }

    /// # Errors
    /// Where the connection is gone.
    pub fn send(&mut self, message: &ToRelay) -> Result<(), ClientFault> {
        self.stream.write_all(&encode(message)).map_err(|fault| ClientFault::Io(self.at, fault))
    }

    /// The next message, if one comes within this time.
    ///
    /// # Errors
    /// Where none does, or the connection ends.
    pub fn receive(&mut self, within: Duration) -> Result<ToWatcher, ClientFault> {
        let end = Instant::now() + within;
        loop {
            let found = decode::<ToWatcher>(&self.input, MAX_RELAY_BODY_BYTES);
            if let Some((message, used)) = found.map_err(|fault| ClientFault::Frame(self.at, fault))? {
                self.input.drain(..used);
                return match message {
                    ToWatcher::Busy { retry_after_ms } => Err(ClientFault::Busy(self.at, retry_after_ms)),
                    message => Ok(message),
                };
            }
            self.read(end, within)?;
        }
    }

    fn read(&mut self, end: Instant, within: Duration) -> Result<(), ClientFault> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ClientFault::Silent(self.at, within));
        }
        let mut bytes = [0; READ_AT_ONCE];
        let read = self.stream.set_read_timeout(Some(left)).and_then(|()| self.stream.read(&mut bytes));
        match read {
            Ok(0) => Err(ClientFault::Closed(self.at)),
            Ok(count) => {
                self.input.extend_from_slice(&bytes[..count]);
                Ok(())
            }
            Err(fault) => match fault.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted => Ok(()),
                _ => Err(ClientFault::Io(self.at, fault)),
            },
        }
    }

    /// What the control machine knows.
    ///
    /// # Errors
    /// Where it does not answer.
    pub fn status(&mut self) -> Result<ControlStatus, ClientFault> {
        self.send(&ToRelay::GetStatus)?;
        let end = Instant::now() + ANSWER_WITHIN;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if let ToWatcher::Status(status) = self.receive(left)? {
                return Ok(*status);
            }
        }
    }

    /// What the control machine knows of regions apart; nothing where it is of a build that does not know the question, and
    /// so closed the connection.
    ///
    /// # Errors
    /// Where it does not answer.
    pub fn apart(mut self) -> Result<Option<PartitionStatus>, ClientFault> {
        self.send(&ToRelay::GetPartitionStatus)?;
        let end = Instant::now() + ANSWER_WITHIN;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.receive(left) {
                Ok(ToWatcher::PartitionStatus(apart)) => return Ok(Some(*apart)),
                Ok(_) => {}
                Err(ClientFault::Closed(_)) => return Ok(None),
                Err(fault) => return Err(fault),
            }
        }
    }

    /// Pushes a change, and waits for what became of it.
    ///
    /// # Errors
    /// Where no outcome comes within this time: whether the change was taken is not known then.
    pub fn push(
        &mut self, change: &Change, within: Duration,
    ) -> Result<Result<Number, Rejection>, ClientFault> {
        self.send(&ToRelay::Push(change.clone()))?;
        let end = Instant::now() + within;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match self.receive(left)? {
                ToWatcher::PushOutcome { change: id, outcome } if id == change.id => return Ok(outcome),
                _ => {}
            }
        }
    }
}

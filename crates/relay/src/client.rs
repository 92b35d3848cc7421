//! A blocking connection from an operator's tool to a relay.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use badgerledge_distribution::change::{Change, Rejection};
use badgerledge_distribution::message::{
    decode, encode, ControlStatus, FrameFault, PartitionStatus, ToRelay, ToWatcher, MAX_RELAY_BODY_BYTES,
};
use badgerledge_distribution::Number;
use thiserror::Error;

/// A relay that does not accept a connection within this time is treated as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for a status response and for each write. A relay answers a status request within one round of its loop.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the buffer for one read, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Why a request to a relay failed.
#[derive(Debug, Error)]
pub enum ClientFault {
    #[error("relay at {0}: {1}")]
    Io(SocketAddr, #[source] io::Error),
    #[error("relay at {0}: {1}")]
    Frame(SocketAddr, #[source] FrameFault),
    #[error("relay at {0}: the relay closed the connection")]
    Closed(SocketAddr),
    #[error("relay at {0}: no response within {1:?}")]
    Silent(SocketAddr, Duration),
    #[error("relay at {0}: connection limit reached; try another relay, or retry in {1} ms")]
    Busy(SocketAddr, u32),
}

/// A connection to a relay.
pub struct Client {
    address: SocketAddr,
    stream: TcpStream,
    input: Vec<u8>,
}

impl Client {
    /// Connects to a relay.
    ///
    /// # Errors
    /// If the connection is not accepted in time.
    pub fn connect(address: SocketAddr) -> Result<Self, ClientFault> {
        let connect = || {
            let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
            stream.set_nodelay(true)?;
            stream.set_write_timeout(Some(RESPONSE_TIMEOUT))?;
            Ok(stream)
        };
        let stream = connect().map_err(|fault| ClientFault::Io(address, fault))?;
        Ok(Self { address, stream, input: Vec::new() })
    }

    /// Sends a message.
    ///
    /// # Errors
    /// If the connection fails.
    pub fn send(&mut self, message: &ToRelay) -> Result<(), ClientFault> {
        self.stream.write_all(&encode(message)).map_err(|fault| ClientFault::Io(self.address, fault))
    }

    /// Receives the next message.
    ///
    /// # Errors
    /// If none arrives within the time limit, or the connection fails.
    pub fn receive(&mut self, timeout: Duration) -> Result<ToWatcher, ClientFault> {
        let deadline = Instant::now() + timeout;
        loop {
            let decoded = decode::<ToWatcher>(&self.input, MAX_RELAY_BODY_BYTES);
            if let Some((message, used)) = decoded.map_err(|fault| ClientFault::Frame(self.address, fault))? {
                self.input.drain(..used);
                return match message {
                    ToWatcher::Busy { retry_after_ms } => {
                        Err(ClientFault::Busy(self.address, retry_after_ms))
                    }
                    message => Ok(message),
                };
            }
            self.read(deadline, timeout)?;
        }
    }

    /// Reads once into the input buffer.
    fn read(&mut self, deadline: Instant, timeout: Duration) -> Result<(), ClientFault> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ClientFault::Silent(self.address, timeout));
        }
        let mut bytes = [0; READ_BUFFER_BYTES];
        let read = self.stream.set_read_timeout(Some(remaining)).and_then(|()| self.stream.read(&mut bytes));
        match read {
            Ok(0) => Err(ClientFault::Closed(self.address)),
            Ok(count) => {
                self.input.extend_from_slice(&bytes[..count]);
                Ok(())
            }
            Err(fault) => match fault.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted => Ok(()),
                _ => Err(ClientFault::Io(self.address, fault)),
            },
        }
    }

    /// Requests the control machine's status.
    ///
    /// # Errors
    /// If it does not answer in time.
    pub fn status(&mut self) -> Result<ControlStatus, ClientFault> {
        self.send(&ToRelay::GetStatus)?;
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if let ToWatcher::Status(status) = self.receive(remaining)? {
                return Ok(*status);
            }
        }
    }

    /// Requests the control machine's status of regions that are cut off from the acceptors. Returns none if the relay is of
    /// a version without this request, which closes the connection.
    ///
    /// # Errors
    /// If it does not answer in time.
    pub fn partition_status(mut self) -> Result<Option<PartitionStatus>, ClientFault> {
        self.send(&ToRelay::GetPartitionStatus)?;
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.receive(remaining) {
                Ok(ToWatcher::PartitionStatus(partition)) => return Ok(Some(*partition)),
                Ok(_) => {}
                Err(ClientFault::Closed(_)) => return Ok(None),
                Err(fault) => return Err(fault),
            }
        }
    }

    /// Pushes a change and waits for its outcome: the revision that certified it, or the rejection.
    ///
    /// # Errors
    /// If no outcome arrives within the time limit. It is then unknown whether the change was accepted.
    pub fn push(
        &mut self, change: &Change, timeout: Duration,
    ) -> Result<Result<Number, Rejection>, ClientFault> {
        self.send(&ToRelay::Push(change.clone()))?;
        let deadline = Instant::now() + timeout;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.receive(remaining)? {
                ToWatcher::PushOutcome { change: id, outcome } if id == change.id => return Ok(outcome),
                _ => {}
            }
        }
    }
}

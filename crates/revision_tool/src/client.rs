//! A connection to one controller's interface for revision requests.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use anyhow::{bail, Context, Result};
use badgerledge_revisions::requests::{self, Report, Request, Response, MAX_LINE_BYTES};
use badgerledge_revisions::MAX_TEXT_BYTES;

/// Bounds connecting and each read and write. A controller answers within one round of its loop, and a text of the
/// maximum length takes well under this on any network in use.
const IO_TIMEOUT: Duration = Duration::from_secs(10);

/// A blocking connection that sends requests to a controller one at a time.
pub struct Client {
    address: SocketAddr,
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects to the controller whose gossip listens at this address.
    ///
    /// # Errors
    /// If the controller does not accept the connection in time.
    pub fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, IO_TIMEOUT)
            .with_context(|| format!("controller at {address}"))?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        Ok(Self { address, stream: BufReader::new(stream) })
    }

    /// Sends a request followed by `text`, and returns the response with the bytes that follow it.
    ///
    /// # Errors
    /// If the connection fails or ends early, or the response cannot be parsed.
    pub fn send_request(&mut self, request: &Request, text: &[u8]) -> Result<(Response, Vec<u8>)> {
        let address = self.address;
        let output = self.stream.get_mut();
        output
            .write_all(&requests::encode_line(request))
            .and_then(|()| output.write_all(text))
            .with_context(|| format!("{address}: the request could not be sent"))?;
        let mut line = Vec::new();
        let mut limited_stream = (&mut self.stream).take(MAX_LINE_BYTES as u64 + 1);
        limited_stream.read_until(b'\n', &mut line).with_context(|| format!("{address}: no response"))?;
        let parsed = requests::parse_line::<Response>(&line)
            .map_err(anyhow::Error::msg)
            .with_context(|| format!("{address}: invalid response"))?;
        let Some((response, _)) = parsed else { bail!("{address}: connection closed before a response") };
        let length = if let Response::Bytes(length) = response { length.min(MAX_TEXT_BYTES) } else { 0 };
        let mut bytes = vec![0; length];
        self.stream
            .read_exact(&mut bytes)
            .with_context(|| format!("{address}: connection closed before all {length} bytes of the text"))?;
        Ok((response, bytes))
    }

    /// The controller's status report.
    ///
    /// # Errors
    /// If the request fails or the response is not a status.
    pub fn status(&mut self) -> Result<Report> {
        match self.send_request(&Request::Status, &[])? {
            (Response::Status(report), _) => Ok(*report),
            (other, _) => bail!("{}: expected a status, got {other:?}", self.address),
        }
    }

    /// The text of the revision that the controller acts on.
    ///
    /// # Errors
    /// If the request fails or the response is not a UTF-8 text.
    pub fn active_text(&mut self) -> Result<String> {
        self.request_text(&Request::Active)
    }

    /// The text of the highest certified revision. The next change is based on it, so that a change that is certified but
    /// not active yet is not lost.
    ///
    /// # Errors
    /// If the request fails or the response is not a UTF-8 text.
    pub fn latest_text(&mut self) -> Result<String> {
        self.request_text(&Request::Latest)
    }

    fn request_text(&mut self, request: &Request) -> Result<String> {
        match self.send_request(request, &[])? {
            (Response::Bytes(_), text) => {
                String::from_utf8(text).with_context(|| format!("{}: the text is not UTF-8", self.address))
            }
            (other, _) => bail!("{}: expected a text, got {other:?}", self.address),
        }
    }
}

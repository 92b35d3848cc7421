//! One controller's stream of orders.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use anyhow::{bail, Context, Result};
use badgerledge_revisions::requests::{self, Report, Request, Response, MAX_LINE_BYTES};
use badgerledge_revisions::MAX_TEXT_BYTES;

/// A controller answers within a round; a text of the longest kind takes well under this on any network in use.
const PATIENCE: Duration = Duration::from_secs(10);

pub struct Client {
    at: SocketAddr,
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(at: SocketAddr) -> Result<Self> {
        let stream =
            TcpStream::connect_timeout(&at, PATIENCE).with_context(|| format!("controller at {at}"))?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.set_write_timeout(Some(PATIENCE))?;
        Ok(Self { at, stream: BufReader::new(stream) })
    }

    /// Asks, with a text behind it, and takes the answer with the bytes behind that.
    pub fn ask(&mut self, order: &Request, text: &[u8]) -> Result<(Response, Vec<u8>)> {
        let at = self.at;
        let out = self.stream.get_mut();
        out.write_all(&requests::encode_line(order))
            .and_then(|()| out.write_all(text))
            .with_context(|| format!("{at}"))?;
        let mut line = Vec::new();
        let mut head = (&mut self.stream).take(MAX_LINE_BYTES as u64 + 1);
        head.read_until(b'\n', &mut line).with_context(|| format!("{at}: no answer"))?;
        let told = requests::parse_line::<Response>(&line)
            .map_err(anyhow::Error::msg)
            .with_context(|| format!("{at}"))?;
        let Some((answer, _)) = told else { bail!("{at}: the connection ended before an answer") };
        let count = if let Response::Bytes(count) = answer { count.min(MAX_TEXT_BYTES) } else { 0 };
        let mut bytes = vec![0; count];
        self.stream.read_exact(&mut bytes).with_context(|| format!("{at}: a text that ended early"))?;
        Ok((answer, bytes))
    }

    pub fn status(&mut self) -> Result<Report> {
        match self.ask(&Request::Status, &[])? {
            (Response::Status(report), _) => Ok(*report),
            (other, _) => bail!("{}: no status but {other:?}", self.at),
        }
    }

    /// The text that it acts on.
    pub fn active(&mut self) -> Result<String> {
        self.text(&Request::Active)
    }

    /// The text of the highest certified revision: a change that is not acted on yet must not be lost by the next.
    pub fn latest(&mut self) -> Result<String> {
        self.text(&Request::Latest)
    }

    fn text(&mut self, order: &Request) -> Result<String> {
        match self.ask(order, &[])? {
            (Response::Bytes(_), text) => String::from_utf8(text).with_context(|| format!("{}", self.at)),
            (other, _) => bail!("{}: no text but {other:?}", self.at),
        }
    }
}

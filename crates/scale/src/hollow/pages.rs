//! Metrics pages of control machines and controllers.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A page on the loopback is there at once, or the process is gone.
const PAGE_WITHIN: Duration = Duration::from_millis(500);

/// A metrics page.
pub struct Page(String);

impl Page {
    /// # Errors
    /// Where nobody listens, or does not answer in time.
    pub fn get(at: SocketAddr) -> io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&at, PAGE_WITHIN)?;
        stream.set_read_timeout(Some(PAGE_WITHIN))?;
        stream.write_all(b"GET /metrics HTTP/1.1\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(Self(text))
    }

    #[cfg(test)]
    pub fn of(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// The sum over all lines of a metric whose labels hold this text.
    pub fn sum(&self, name: &str, label: &str) -> Option<f64> {
        let of_metric = |line: &&str| {
            let rest = line.strip_prefix(name);
            rest.is_some_and(|rest| rest.starts_with([' ', '{']) && rest.contains(label))
        };
        let values =
            self.0.lines().filter(of_metric).filter_map(|line| line.rsplit(' ').next()?.parse().ok());
        values.fold(None, |sum: Option<f64>, value: f64| Some(sum.unwrap_or(0.0) + value))
    }
}

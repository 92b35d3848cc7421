//! The project's own headers, and the ways to read numbers from any.

use std::time::Duration;

use rtsp_types::headers::{HeaderName, HeaderValue};
use rtsp_types::{Request, Response, Url};

/// The viewer's key, in hexadecimal: the same over all of its tries.
pub const VIEWER: &str = "Viewer";
/// The room type, by name.
pub const ROOM_TYPE: &str = "Room-Type";
/// How long the viewer waits for an answer, in milliseconds.
pub const CLIENT_TIMEOUT: &str = "Client-Timeout";
/// The highest rung that the viewer can use.
pub const MAX_RUNG: &str = "Max-Rung";
/// How long the viewer expects to watch, in milliseconds.
pub const HINT: &str = "Hint";
/// `retry` and `moved`, where they hold.
pub const MARKS: &str = "Marks";
/// The rung to play at, in SETUP and SET_PARAMETER towards a streamer.
pub const RUNG: &str = "Rung";
/// A streamer's load report: values in the order of `report.fields`.
pub const LOAD: &str = "Load";
/// The exact time that Retry-After rounds up to whole seconds, in milliseconds. Its name does not begin with that
/// one's, since `rtsp-types` 0.1 takes a name and a longer one that begins with it for the same header.
pub const COME_BACK_MS: &str = "Come-Back-Ms";
/// Which controller sent a SETUP, by its number, and which of the subscription's joins it is.
pub const JOIN: &str = "Join";

/// A header name of this module; all are plain ASCII.
pub fn name(word: &'static str) -> HeaderName {
    HeaderName::from_static_str(word).expect("the words of this module are ASCII")
}

/// Where a header can be read from.
pub trait Headed {
    fn value(&self, name: &HeaderName) -> Option<&HeaderValue>;

    /// A word of this module as text.
    fn word(&self, word: &'static str) -> Option<&str> {
        self.value(&name(word)).map(|value| value.as_str().trim())
    }

    fn number(&self, word: &'static str) -> Option<u64> {
        self.word(word)?.parse().ok()
    }

    fn hex(&self, word: &'static str) -> Option<u64> {
        u64::from_str_radix(self.word(word)?, 16).ok()
    }

    /// A span given in milliseconds.
    fn span(&self, word: &'static str) -> Option<Duration> {
        self.number(word).map(Duration::from_millis)
    }

    /// Whether one of the marks is set.
    fn marked(&self, mark: &str) -> bool {
        self.word(MARKS).is_some_and(|marks| marks.split(',').any(|one| one.trim() == mark))
    }

    /// A load report, as finite numbers; nothing where one value is none.
    fn load(&self) -> Vec<f64> {
        let values = self.word(LOAD).unwrap_or("").split(',').map(|value| value.trim().parse::<f64>().ok());
        let values: Option<Vec<f64>> = values.map(|value| value.filter(|v| v.is_finite())).collect();
        values.unwrap_or_default()
    }
}

impl<B> Headed for Request<B> {
    fn value(&self, name: &HeaderName) -> Option<&HeaderValue> {
        self.header(name)
    }
}

impl<B> Headed for Response<B> {
    fn value(&self, name: &HeaderName) -> Option<&HeaderValue> {
        self.header(name)
    }
}

/// The title that a URI names: `rtsp://HOST/TITLE` or `rtsp://HOST/TITLE/stream`, TITLE in hexadecimal.
pub fn title(uri: &Url) -> Option<u64> {
    u64::from_str_radix(uri.path_segments()?.next()?, 16).ok()
}

/// The URI of a title's stream at an address.
pub fn uri(at: impl std::fmt::Display, title: u64) -> Url {
    let text = format!("rtsp://{at}/{title:016x}/stream");
    Url::parse(&text).expect("an address and a number make a URI")
}

//! The headers that this project adds to RTSP, functions that read typed values from headers, and the URIs of
//! titles.

use std::time::Duration;

use rtsp_types::headers::{HeaderName, HeaderValue};
use rtsp_types::{Request, Response, Url};

/// The viewer's key in hexadecimal: the same in all of its attempts.
pub const VIEWER: &str = "Viewer";
/// The name of the room type.
pub const ROOM_TYPE: &str = "Room-Type";
/// How long the viewer waits for an answer, in milliseconds.
pub const CLIENT_TIMEOUT: &str = "Client-Timeout";
/// The highest rung that the viewer can use.
pub const MAX_RUNG: &str = "Max-Rung";
/// How long the viewer expects to watch, in milliseconds.
pub const HINT: &str = "Hint";
/// Flags of a SETUP: `retry` and `moved`, separated by commas.
pub const MARKS: &str = "Marks";
/// The rung to play at, in SETUP and SET_PARAMETER requests to a streamer.
pub const RUNG: &str = "Rung";
/// A streamer's load report: values in the order of `report.fields`.
pub const LOAD: &str = "Load";
/// The exact retry time in milliseconds, which Retry-After rounds up to whole seconds. The name must not
/// begin with `Retry-After`, since `rtsp-types` 0.1 treats a name and a longer one that begins with it as the
/// same header.
pub const RETRY_AFTER_MS: &str = "Come-Back-Ms";
/// The number of the controller that sent a SETUP, and the number of the join within the subscription.
pub const JOIN: &str = "Join";

/// The typed name of a header of this module; all of them are ASCII.
pub fn header_name(header: &'static str) -> HeaderName {
    HeaderName::from_static_str(header).expect("the header names of this module are ASCII")
}

/// Reads typed values from the headers of requests and responses.
pub trait HeaderValues {
    /// The value of a header.
    fn value(&self, name: &HeaderName) -> Option<&HeaderValue>;

    /// The value of a header as trimmed text.
    fn text(&self, header: &'static str) -> Option<&str> {
        self.value(&header_name(header)).map(|value| value.as_str().trim())
    }

    /// The value of a header as a decimal number.
    fn number(&self, header: &'static str) -> Option<u64> {
        self.text(header)?.parse().ok()
    }

    /// The value of a header as a hexadecimal number.
    fn hex(&self, header: &'static str) -> Option<u64> {
        u64::from_str_radix(self.text(header)?, 16).ok()
    }

    /// The value of a header as a duration in milliseconds.
    fn duration(&self, header: &'static str) -> Option<Duration> {
        self.number(header).map(Duration::from_millis)
    }

    /// Whether a flag is set in the header [`MARKS`].
    fn has_flag(&self, flag: &str) -> bool {
        self.text(MARKS).is_some_and(|flags| flags.split(',').any(|set| set.trim() == flag))
    }

    /// The values of the header [`LOAD`]; empty if one of them is not a finite number.
    fn load(&self) -> Vec<f64> {
        let values = self.text(LOAD).unwrap_or("").split(',').map(|value| value.trim().parse::<f64>().ok());
        let values: Option<Vec<f64>> =
            values.map(|value| value.filter(|number| number.is_finite())).collect();
        values.unwrap_or_default()
    }
}

impl<B> HeaderValues for Request<B> {
    fn value(&self, name: &HeaderName) -> Option<&HeaderValue> {
        self.header(name)
    }
}

impl<B> HeaderValues for Response<B> {
    fn value(&self, name: &HeaderName) -> Option<&HeaderValue> {
        self.header(name)
    }
}

/// The title in a URI `rtsp://HOST/TITLE` or `rtsp://HOST/TITLE/stream`, TITLE in hexadecimal.
pub fn title_in_uri(uri: &Url) -> Option<u64> {
    u64::from_str_radix(uri.path_segments()?.next()?, 16).ok()
}

/// The URI of a title's stream at an address.
pub fn title_uri(address: impl std::fmt::Display, title: u64) -> Url {
    let text = format!("rtsp://{address}/{title:016x}/stream");
    Url::parse(&text).expect("an address and a title form a valid URI")
}

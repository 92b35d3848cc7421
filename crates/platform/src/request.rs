//! Validates viewers' set-up requests before they reach the decision module: a value out of range would
//! distort all of its decisions.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::interface::SubscriptionRequest;
use badgerledge_signalling::viewers::{
    Parameters, CLIENT_TIMEOUT, DESCRIPTION, FIGURES, HINT, ROOM_TYPE, TITLE,
};
use badgerledge_signalling::{hex64, streamers};
use serde_json::{Map, Value};

/// Largest client timeout that a viewer may state: a longer one would occupy a session for nothing.
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(600);
const MAX_HINT_MS: f64 = 1e10;
/// The join objective of a room type whose settings name none.
const DEFAULT_JOIN_OBJECTIVE: Duration = Duration::from_secs(1);

/// The settings that limit requests and connections.
pub struct PlatformSettings {
    pub room_types: Vec<String>,
    positions: f64,
    rungs: f64,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// The fields of a load report, in order.
    pub report_fields: Vec<String>,
    /// Minimum interval between rounds.
    pub tick: Duration,
    pub connect_timeout: Duration,
    pub keepalive: Duration,
    /// Maximum of joins that may share a connection.
    pub max_streams_per_connection: usize,
    /// Maximum of joins for one session.
    pub max_joins: u16,
    /// Interval at which streamers send progress reports on a session.
    pub progress_interval: Duration,
    /// Largest cool-down that may be sent to a viewer; zero if none may be sent.
    pub max_cool_down: Duration,
    /// Largest client timeout of all room types; zero if the settings name none.
    pub max_client_timeout: Duration,
    /// The join objective of each room type.
    join_objectives: Vec<Duration>,
}

impl PlatformSettings {
    /// Reads the settings; missing ones get their default.
    pub fn new(settings: &Map<String, Value>) -> Self {
        let settings = Value::Object(settings.clone());
        let number = |path: &str, default: f64| {
            settings.pointer(path).and_then(Value::as_f64).unwrap_or(default).max(0.0)
        };
        let list = |path: &str| settings.pointer(path).and_then(Value::as_array).cloned().unwrap_or_default();
        let names = |path: &str| {
            let name =
                |value: &Value| value.as_str().or_else(|| value.get("name")?.as_str()).map(str::to_owned);
            list(path).iter().filter_map(name).collect::<Vec<_>>()
        };
        let join_objective = |profile: &Value| {
            let us = profile.get("aimUs").and_then(Value::as_u64);
            us.map_or(DEFAULT_JOIN_OBJECTIVE, Duration::from_micros)
        };
        let client_timeout_us = |profile: &Value| profile.get("deadlineUs")?.as_u64();
        let duration = |path: &str, default_us: f64| Duration::from_micros(number(path, default_us) as u64);
        Self {
            room_types: names("/profiles"),
            join_objectives: list("/profiles").iter().map(join_objective).collect(),
            positions: number("/familyInfo/positions", 1.0).max(1.0),
            rungs: (list("/familyInfo/levelKb").len() as f64).max(1.0),
            zones: names("/failureDomains"),
            kinds: names("/hostTypes"),
            report_fields: names("/report/fields"),
            tick: duration("/tickUs", 10_000.0),
            connect_timeout: duration("/permissions/connectTimeoutUs", 250_000.0),
            keepalive: duration("/permissions/keepaliveUs", 30_000_000.0),
            max_streams_per_connection: number("/permissions/maxStreams", 1.0).max(1.0) as usize,
            max_joins: number("/permissions/maxAttempts", 1.0).clamp(1.0, 1000.0) as u16,
            progress_interval: duration("/familyInfo/toldEveryUs", 3_000_000.0),
            max_cool_down: match settings.pointer("/permissions/retryAfter").and_then(Value::as_bool) {
                Some(true) => duration("/permissions/maxRetryAfterUs", 0.0),
                _ => Duration::ZERO,
            },
            max_client_timeout: Duration::from_micros(
                list("/profiles").iter().filter_map(client_timeout_us).max().unwrap_or(0),
            ),
        }
    }

    /// The join objective of a room type, by its index: the time in which a request is placed and answered,
    /// unless something fails.
    pub fn join_objective(&self, room_type: usize) -> Duration {
        self.join_objectives.get(room_type).copied().unwrap_or(DEFAULT_JOIN_OBJECTIVE)
    }

    /// The index of a name in a list of the settings.
    pub fn index_of(names: &[String], name: &str) -> Option<usize> {
        names.iter().position(|known| known == name)
    }
}

/// A validated set-up request: the part for the decision module, and the fields that are forwarded to
/// streamers unchanged.
pub struct Request {
    pub subscription: SubscriptionRequest,
    pub title: String,
    pub description: String,
    /// The streamer that the session already plays at, for a handover.
    pub playing_at: Option<String>,
}

/// Parses the parameters of a set-up, or returns the name of the first one that is missing or out of range.
pub fn parse(
    wire_id: u64, parameters: Parameters<'_>, settings: &PlatformSettings,
) -> Result<Request, &'static str> {
    let room_type =
        parameters.text(ROOM_TYPE).and_then(|name| PlatformSettings::index_of(&settings.room_types, name));
    let room_type = room_type.ok_or("room type")?;
    let timeout =
        parameters.text(CLIENT_TIMEOUT).and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let title = parameters.text(TITLE).ok_or("title")?;
    let figures = parse_figures(parameters.text(FIGURES).ok_or("figures")?);
    let integer = |name: &str, min: f64, max: f64| {
        let value: f64 = figures.get(name)?.parse().ok()?;
        (value.fract() == 0.0 && (min..=max).contains(&value)).then_some(value)
    };
    let playing_at = figures.get("at").map(|streamer| (*streamer).to_owned());
    // A session that already plays waits for no answer, and states an unbounded timeout.
    let max_timeout = if playing_at.is_some() { Duration::MAX } else { MAX_CLIENT_TIMEOUT };
    let client_timeout =
        timeout.filter(|timeout| !timeout.is_zero() && *timeout <= max_timeout).ok_or("client timeout")?;
    let duration_hint = match parameters.text(HINT) {
        None => None,
        Some(text) => {
            let hint: Option<f64> = text.parse().ok().filter(|ms| (0.0..=MAX_HINT_MS).contains(ms));
            Some(Duration::from_secs_f64(hint.ok_or("hint")? / 1000.0)).filter(|hint| !hint.is_zero())
        }
    };
    let subscription = SubscriptionRequest {
        title: hex64(title).ok_or("title")?,
        path_key: figures.get("viewer").copied().and_then(hex64).ok_or("viewer")?,
        room_type,
        client_timeout,
        first_cell: integer("home", 0.0, settings.positions - 1.0).ok_or("home")? as u32,
        copies: integer("copies", 1.0, settings.positions).ok_or("copies")? as u32,
        max_rung: integer("top", 0.0, settings.rungs - 1.0).ok_or("top")? as u8,
        duration_hint,
        moved: figures.get("again") == Some(&"1"),
    };
    let description = parameters.text(DESCRIPTION).filter(|text| !text.is_empty() || playing_at.is_some());
    let description = description.or(playing_at.as_ref().map(|_| "")).ok_or("description")?;
    // Checks the length of the longest possible offer, so that every later offer of this session fits.
    let name = &settings.room_types[room_type];
    streamers::offer(wire_id, name, title, MAX_CLIENT_TIMEOUT, Some(u8::MAX), description).ok_or("length")?;
    Ok(Request { subscription, title: title.to_owned(), description: description.to_owned(), playing_at })
}

/// Parses `key:value` pairs separated by semicolons.
fn parse_figures(text: &str) -> BTreeMap<&str, &str> {
    text.split(';').filter_map(|pair| pair.split_once(':')).collect()
}

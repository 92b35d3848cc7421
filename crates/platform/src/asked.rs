//! A viewer's request, checked before the module sees it: what is out of range here would be a wrong figure
//! in every decision there.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerledge_core::interface::SubscriptionRequest;
use badgerledge_signalling::viewers::{
    Parameters, CLIENT_TIMEOUT, DESCRIPTION, FIGURES, HINT, ROOM_TYPE, TITLE,
};
use badgerledge_signalling::{hex64, streamers};
use serde_json::{Map, Value};

/// The longest client timeout and hint that a viewer may name: more would hold its place for nothing.
const LONGEST_WAIT: Duration = Duration::from_secs(600);
const LONGEST_HINT: f64 = 1e10;

/// What of the settings bounds a request and the wires.
pub struct Terms {
    pub room_types: Vec<String>,
    positions: f64,
    rungs: f64,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report: Vec<String>,
    pub tick: Duration,
    pub connect_within: Duration,
    pub keepalive: Duration,
    pub most_streams: usize,
    pub most_joins: u16,
    /// Between two notes on a link, where notes come.
    pub noted_every: Duration,
    /// The longest time that a viewer may be told to stay away: none where none may be named.
    pub stay_away: Duration,
    /// The longest client timeout of all room types.
    pub longest_wait: Duration,
}

impl Terms {
    pub fn new(options: &Map<String, Value>) -> Self {
        let options = Value::Object(options.clone());
        let figure = |path: &str, otherwise: f64| {
            options.pointer(path).and_then(Value::as_f64).unwrap_or(otherwise).max(0.0)
        };
        let list = |path: &str| options.pointer(path).and_then(Value::as_array).cloned().unwrap_or_default();
        let words = |path: &str| {
            let word =
                |value: &Value| value.as_str().or_else(|| value.get("name")?.as_str()).map(str::to_owned);
            list(path).iter().filter_map(word).collect::<Vec<_>>()
        };
        let deadline = |profile: &Value| profile.get("deadlineUs")?.as_u64();
        let span = |path: &str, otherwise: f64| Duration::from_micros(figure(path, otherwise) as u64);
        Self {
            room_types: words("/profiles"),
            positions: figure("/familyInfo/positions", 1.0).max(1.0),
            rungs: (list("/familyInfo/levelKb").len() as f64).max(1.0),
            zones: words("/failureDomains"),
            kinds: words("/hostTypes"),
            report: words("/report/fields"),
            tick: span("/tickUs", 10_000.0),
            connect_within: span("/permissions/connectTimeoutUs", 250_000.0),
            keepalive: span("/permissions/keepaliveUs", 30_000_000.0),
            most_streams: figure("/permissions/maxStreams", 1.0).max(1.0) as usize,
            most_joins: figure("/permissions/maxAttempts", 1.0).clamp(1.0, 1000.0) as u16,
            noted_every: span("/familyInfo/toldEveryUs", 3_000_000.0),
            stay_away: match options.pointer("/permissions/retryAfter").and_then(Value::as_bool) {
                Some(true) => span("/permissions/maxRetryAfterUs", 0.0),
                _ => Duration::ZERO,
            },
            longest_wait: Duration::from_micros(
                list("/profiles").iter().filter_map(deadline).max().unwrap_or(0),
            ),
        }
    }

    pub fn index(words: &[String], word: &str) -> Option<usize> {
        words.iter().position(|known| known == word)
    }
}

/// A request as it came: what the module is told, and what goes on to streamers unchanged.
pub struct Request {
    pub asked: SubscriptionRequest,
    pub title: String,
    pub description: String,
    /// The streamer that it plays at already.
    pub at: Option<String>,
}

/// Reads a set-up's parameters, or names the one that is missing or out of range.
pub fn read(wire_id: u64, parameters: Parameters<'_>, terms: &Terms) -> Result<Request, &'static str> {
    let room_type = parameters.text(ROOM_TYPE).and_then(|name| Terms::index(&terms.room_types, name));
    let room_type = room_type.ok_or("room type")?;
    let left = parameters.text(CLIENT_TIMEOUT).and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let title = parameters.text(TITLE).ok_or("title")?;
    let figures = figures(parameters.text(FIGURES).ok_or("figures")?);
    let whole = |name: &str, from: f64, to: f64| {
        let value: f64 = figures.get(name)?.parse().ok()?;
        (value.fract() == 0.0 && (from..=to).contains(&value)).then_some(value)
    };
    let at = figures.get("at").map(|at| (*at).to_owned());
    // Who plays already waits for nothing, and names a wait without end.
    let longest = if at.is_some() { Duration::MAX } else { LONGEST_WAIT };
    let client_timeout = left.filter(|left| !left.is_zero() && *left <= longest).ok_or("client timeout")?;
    let duration_hint = match parameters.text(HINT) {
        None => None,
        Some(text) => {
            let hint: Option<f64> = text.parse().ok().filter(|ms| (0.0..=LONGEST_HINT).contains(ms));
            Some(Duration::from_secs_f64(hint.ok_or("hint")? / 1000.0)).filter(|hint| !hint.is_zero())
        }
    };
    let asked = SubscriptionRequest {
        title: hex64(title).ok_or("title")?,
        path_key: figures.get("viewer").copied().and_then(hex64).ok_or("viewer")?,
        room_type,
        client_timeout,
        first_cell: whole("home", 0.0, terms.positions - 1.0).ok_or("home")? as u32,
        copies: whole("copies", 1.0, terms.positions).ok_or("copies")? as u32,
        max_rung: whole("top", 0.0, terms.rungs - 1.0).ok_or("top")? as u8,
        duration_hint,
        moved: figures.get("again") == Some(&"1"),
    };
    let description = parameters.text(DESCRIPTION).filter(|text| !text.is_empty() || at.is_some());
    let description = description.or(at.as_ref().map(|_| "")).ok_or("description")?;
    // The longest rung and wait are counted in: what fits now fits whenever it goes out.
    let name = &terms.room_types[room_type];
    streamers::offer(wire_id, name, title, LONGEST_WAIT, Some(u8::MAX), description).ok_or("length")?;
    Ok(Request { asked, title: title.to_owned(), description: description.to_owned(), at })
}

fn figures(text: &str) -> BTreeMap<&str, &str> {
    text.split(';').filter_map(|pair| pair.split_once(':')).collect()
}

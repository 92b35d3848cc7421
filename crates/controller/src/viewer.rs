//! The state of one viewer's connection, and the parsing of its SETUP.

use std::collections::VecDeque;
use std::time::Duration;

use badgerledge_core::interface::{JobId, SubscriptionRequest};
use badgerledge_deployment::Shared;
use badgerledge_rtsp::words::{self, Headed};
use badgerledge_rtsp::{Bounds, Framer, Request, Server};
use rtsp_types::headers;

/// Requests that may be deferred behind a SETUP; one more closes the connection. A viewer has no need to send
/// any.
pub const MAX_DEFERRED_REQUESTS: usize = 8;

/// A viewer's connection and session.
pub struct Viewer {
    pub framer: Framer,
    pub server: Server,
    /// CSeq values of the SETUPs that wait for the subscription's answer.
    pub pending_setups: Vec<Option<String>>,
    /// Requests deferred behind them: answers go out in the order of requests (RFC 2326 section 9.1).
    deferred_requests: VecDeque<Request>,
    /// The title that it requested last.
    pub title: u64,
    /// The interleaved channels that its SETUP named: media, control.
    pub channels: (u8, u8),
    /// The subscription that it plays.
    pub job: Option<JobId>,
    /// When it last requested a subscription.
    pub requested_at: Duration,
    /// When its last complete message or frame arrived.
    pub last_input_at: Duration,
    /// Since when its input has held an incomplete message.
    pub partial_input_since: Option<Duration>,
    /// Since when its output has been too full for media.
    pub output_full_since: Option<Duration>,
    /// Whether it was accepted above the limit of connections; it stays only if its first SETUP is granted.
    pub over_limit: bool,
    /// After a REDIRECT: when it must have left.
    pub must_leave_by: Option<Duration>,
    /// Packets dropped because its output was full.
    pub lost_packets: u64,
    /// Frames received on channels that it did not set up.
    pub stray_frames: u32,
    /// CSeq of the last request sent to it.
    pub own_cseq: u32,
}

impl Viewer {
    /// A connection that was just accepted.
    pub fn new(now: Duration, over_limit: bool) -> Self {
        Self {
            framer: Framer::new(Bounds::default()),
            server: Server::default(),
            pending_setups: Vec::new(),
            deferred_requests: VecDeque::new(),
            title: 0,
            channels: (0, 1),
            job: None,
            requested_at: now,
            last_input_at: now,
            partial_input_since: None,
            output_full_since: None,
            over_limit,
            must_leave_by: None,
            lost_packets: 0,
            stray_frames: 0,
            own_cseq: 0,
        }
    }

    /// Defers a request behind the pending SETUP. Returns false if too many are deferred.
    pub fn defer(&mut self, request: Request) -> bool {
        self.deferred_requests.push_back(request);
        self.deferred_requests.len() <= MAX_DEFERRED_REQUESTS
    }

    /// The next deferred request.
    pub fn next_deferred(&mut self) -> Option<Request> {
        self.deferred_requests.pop_front()
    }
}

/// Parses a SETUP into the request for a subscription; `defaults` are the title's first cell, copies and room
/// type.
///
/// # Errors
/// What is wrong with one of its fields.
pub fn subscription_request(
    request: &Request, connection: u64, defaults: (u32, u32, &str), shared: &Shared,
) -> Result<SubscriptionRequest, String> {
    let (first_cell, copies, default_room_type) = defaults;
    let uri = request.request_uri().ok_or("a SETUP names its title")?;
    let room_type_name = request.word(words::ROOM_TYPE).unwrap_or(default_room_type);
    let room_type =
        shared.room_type(room_type_name).ok_or_else(|| format!("there is no room type {room_type_name}"))?;
    let default_timeout = Duration::from_millis(shared.room_types[room_type].1.client_timeout_ms);
    let parse_number = |header| match request.word(header) {
        None => Ok(None),
        Some(text) => {
            text.parse::<u64>().map(Some).map_err(|_| format!("{header}: {text} is not a whole number"))
        }
    };
    let path_key = match request.word(words::VIEWER) {
        // A viewer that sends no key is identified by its connection.
        None => connection | 1 << 63,
        Some(text) => {
            u64::from_str_radix(text, 16).map_err(|_| format!("Viewer: {text} is not hexadecimal"))?
        }
    };
    let client_timeout = parse_number(words::CLIENT_TIMEOUT)?.map_or(default_timeout, Duration::from_millis);
    Ok(SubscriptionRequest {
        title: words::title(uri).ok_or("a SETUP names its title")?,
        path_key,
        room_type,
        client_timeout,
        first_cell,
        copies,
        max_rung: parse_number(words::MAX_RUNG)?.unwrap_or(u64::from(u8::MAX)).min(u64::from(u8::MAX)) as u8,
        duration_hint: parse_number(words::HINT)?.filter(|hint| *hint > 0).map(Duration::from_millis),
        moved: request.marked("moved"),
    })
}

/// The CSeq that the answer to a request must carry.
pub fn cseq(request: &Request) -> Option<String> {
    request.header(&headers::CSEQ).map(|cseq| cseq.as_str().to_owned())
}

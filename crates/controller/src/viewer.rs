//! One viewer's connection: what it asked, what waits for an answer, what it may be sent.

use std::collections::VecDeque;
use std::time::Duration;

use badgerledge_core::interface::{JobId, SubscriptionRequest};
use badgerledge_deployment::Shared;
use badgerledge_rtsp::words::{self, Headed};
use badgerledge_rtsp::{Bounds, Framer, Request, Server};
use rtsp_types::headers;

/// Requests that may wait behind a SETUP; one more ends the connection. A viewer has no need for any.
pub const LATER: usize = 8;

pub struct Viewer {
    pub framer: Framer,
    pub server: Server,
    /// The numbers of the SETUPs that wait for the subscription's answer.
    pub waiting: Vec<Option<String>>,
    /// Requests behind them: answers go in the order of requests (RFC 2326 section 9.1).
    later: VecDeque<Request>,
    /// The title that it asked for last.
    pub title: u64,
    /// The channels that its SETUP named.
    pub channels: (u8, u8),
    /// The subscription that plays to it.
    pub job: Option<JobId>,
    /// When it last asked for a subscription.
    pub asked_at: Duration,
    /// When it last sent something whole.
    pub heard: Duration,
    /// Since when a part of something waits for its rest.
    pub part_since: Option<Duration>,
    /// Since when its output is too full for media.
    pub stuck_since: Option<Duration>,
    /// It came over the bound of connections, and stays only if its first SETUP is granted.
    pub crowd: bool,
    /// It was sent away and is to go by then.
    pub leaves_by: Option<Duration>,
    pub lost_packets: u64,
    pub stray_frames: u32,
    pub own_cseq: u32,
}

impl Viewer {
    pub fn new(now: Duration, crowd: bool) -> Self {
        Self {
            framer: Framer::new(Bounds::default()),
            server: Server::default(),
            waiting: Vec::new(),
            later: VecDeque::new(),
            title: 0,
            channels: (0, 1),
            job: None,
            asked_at: now,
            heard: now,
            part_since: None,
            stuck_since: None,
            crowd,
            leaves_by: None,
            lost_packets: 0,
            stray_frames: 0,
            own_cseq: 0,
        }
    }

    /// Lets a request wait behind the SETUP that is out.
    pub fn put_off(&mut self, request: Request) -> bool {
        self.later.push_back(request);
        self.later.len() <= LATER
    }

    pub fn next_put_off(&mut self) -> Option<Request> {
        self.later.pop_front()
    }
}

/// The fields of a SETUP. `Err` is what is wrong with one of them.
pub fn asked(
    request: &Request, line: u64, held: (u32, u32, &str), shared: &Shared,
) -> Result<SubscriptionRequest, String> {
    let (first_cell, copies, usual_type) = held;
    let uri = request.request_uri().ok_or("a SETUP names its title")?;
    let named = request.word(words::ROOM_TYPE).unwrap_or(usual_type);
    let room_type = shared.room_type(named).ok_or_else(|| format!("there is no room type {named}"))?;
    let usual = Duration::from_millis(shared.room_types[room_type].1.client_timeout_ms);
    let number = |word| match request.word(word) {
        None => Ok(None),
        Some(text) => {
            text.parse::<u64>().map(Some).map_err(|_| format!("{word}: {text} is not a whole number"))
        }
    };
    let path_key = match request.word(words::VIEWER) {
        // A viewer that names no key is known by its connection.
        None => line | 1 << 63,
        Some(text) => {
            u64::from_str_radix(text, 16).map_err(|_| format!("Viewer: {text} is not hexadecimal"))?
        }
    };
    let client_timeout = number(words::CLIENT_TIMEOUT)?.map_or(usual, Duration::from_millis);
    Ok(SubscriptionRequest {
        title: words::title(uri).ok_or("a SETUP names its title")?,
        path_key,
        room_type,
        client_timeout,
        first_cell,
        copies,
        max_rung: number(words::MAX_RUNG)?.unwrap_or(u64::from(u8::MAX)).min(u64::from(u8::MAX)) as u8,
        duration_hint: number(words::HINT)?.filter(|hint| *hint > 0).map(Duration::from_millis),
        moved: request.marked("moved"),
    })
}

/// The number that a request's answer must carry.
pub fn cseq(request: &Request) -> Option<String> {
    request.header(&headers::CSEQ).map(|cseq| cseq.as_str().to_owned())
}

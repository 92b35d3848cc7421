//! The server's end of a connection: which request is permitted when (RFC 2326 appendix A.2).

use rtsp_types::headers;
use rtsp_types::{Empty, Method, StatusCode, Version};

use crate::{Request, Response};

/// Where the one stream of a connection stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Init,
    Ready,
    Playing,
}

/// One connection's server end. Each connection carries one stream, set up on it and played on it.
#[derive(Clone, Debug, Default)]
pub struct Server {
    state: State,
    /// The id that the Session header carries (RFC 2326 section 3.4), and its time-out in seconds.
    session: Option<(String, u64)>,
    channels: (u8, u8),
}

const METHODS: &str = "OPTIONS, DESCRIBE, SETUP, PLAY, PAUSE, TEARDOWN, GET_PARAMETER, SET_PARAMETER";

impl Server {
    pub fn state(&self) -> State {
        self.state
    }

    pub fn session(&self) -> Option<&str> {
        self.session.as_ref().map(|(id, _)| id.as_str())
    }

    /// The channels of RTP and RTCP, as the client chose them.
    pub fn channels(&self) -> (u8, u8) {
        self.channels
    }

    /// Whether a request may be carried out now; else the answer that says why not.
    pub fn permits(&self, request: &Request) -> Result<(), Response> {
        let turned_down = |status| Err(self.answer(request, status));
        if request.version() != Version::V1_0 {
            return turned_down(StatusCode::RTSPVersionNotSupported);
        }
        if cseq(request).is_none() {
            return turned_down(StatusCode::BadRequest);
        }
        if let Some(wanted) = request.header(&headers::REQUIRE) {
            // No option of the standard is held here (RFC 2326 section 12.32).
            let mut answer = self.answer(request, StatusCode::OptionNotSupported);
            answer.insert_header(headers::UNSUPPORTED, wanted.as_str());
            return Err(answer);
        }
        self.permits_method(request)
    }

    fn permits_method(&self, request: &Request) -> Result<(), Response> {
        let turned_down = |status| Err(self.answer(request, status));
        let told =
            request.header(&headers::SESSION).map(|id| id.as_str().split(';').next().unwrap_or("").trim());
        let known = told == self.session() && told.is_some();
        match request.method() {
            Method::Options => Ok(()),
            Method::Describe if request.request_uri().is_some() => Ok(()),
            Method::GetParameter | Method::SetParameter if told.is_none() || known => Ok(()),
            Method::GetParameter | Method::SetParameter => turned_down(StatusCode::SessionNotFound),
            Method::Describe => turned_down(StatusCode::BadRequest),
            Method::Setup if request.request_uri().is_none() => turned_down(StatusCode::BadRequest),
            Method::Setup if told.is_some() && !known => turned_down(StatusCode::SessionNotFound),
            Method::Setup if interleaved(request).is_none() => turned_down(StatusCode::UnsupportedTransport),
            Method::Setup if self.state == State::Playing => {
                turned_down(StatusCode::MethodNotValidInThisState)
            }
            Method::Setup => Ok(()),
            Method::Play | Method::Pause | Method::Teardown
                if told.is_none() && self.state == State::Init =>
            {
                turned_down(StatusCode::MethodNotValidInThisState)
            }
            Method::Play | Method::Pause | Method::Teardown if !known => {
                turned_down(StatusCode::SessionNotFound)
            }
            Method::Play | Method::Pause | Method::Teardown => Ok(()),
            Method::Announce | Method::Record | Method::Redirect | Method::PlayNotify => {
                let mut answer = self.answer(request, StatusCode::MethodNotAllowed);
                answer.insert_header(headers::ALLOW, METHODS);
                Err(answer)
            }
            Method::Extension(_) => turned_down(StatusCode::NotImplemented),
        }
    }

    /// The stream is set up, under this id; the client keeps it alive at least each `timeout_s` seconds.
    pub fn set_up(&mut self, session: String, timeout_s: u64, channels: (u8, u8)) {
        (self.state, self.session, self.channels) = (State::Ready, Some((session, timeout_s)), channels);
    }

    pub fn play(&mut self) {
        self.state = State::Playing;
    }

    pub fn pause(&mut self) {
        self.state = State::Ready;
    }

    pub fn tear_down(&mut self) {
        *self = Self::default();
    }

    /// An answer with the headers that every answer carries.
    pub fn answer(&self, request: &Request, status: StatusCode) -> Response {
        let cseq = request.header(&headers::CSEQ).map(|cseq| cseq.as_str().to_owned());
        self.answer_to(cseq.as_deref(), status)
    }

    /// The same, where only the request's CSeq was kept.
    pub fn answer_to(&self, cseq: Option<&str>, status: StatusCode) -> Response {
        let mut answer = rtsp_types::Response::builder(Version::V1_0, status).build(Vec::new());
        // An empty body needs no length, and some clients wait for one that is named.
        answer.remove_header(&headers::CONTENT_LENGTH);
        if let Some(cseq) = cseq {
            answer.insert_header(headers::CSEQ, cseq);
        }
        if let Some((id, timeout)) = &self.session {
            answer.insert_header(headers::SESSION, format!("{id};timeout={timeout}"));
        }
        answer
    }

    /// The answer to OPTIONS.
    pub fn options(&self, request: &Request) -> Response {
        let mut answer = self.answer(request, StatusCode::Ok);
        answer.insert_header(headers::PUBLIC, METHODS);
        answer
    }

    /// The answer to a SETUP that was granted.
    pub fn setup_answer(&self, cseq: Option<&str>) -> Response {
        let mut answer = self.answer_to(cseq, StatusCode::Ok);
        let (rtp, rtcp) = self.channels;
        answer.insert_header(headers::TRANSPORT, format!("RTP/AVP/TCP;unicast;interleaved={rtp}-{rtcp}"));
        answer
    }

    /// A request of the server's own (REDIRECT), on the stream that is set up.
    pub fn request(&self, method: Method, uri: rtsp_types::Url, cseq: u32) -> rtsp_types::Request<Empty> {
        let request = rtsp_types::Request::builder(method, Version::V1_0).request_uri(uri);
        let request = request.header(headers::CSEQ, cseq.to_string());
        match self.session() {
            Some(id) => request.header(headers::SESSION, id).empty(),
            None => request.empty(),
        }
    }
}

/// The number that answers must carry (RFC 2326 section 12.17).
fn cseq(request: &Request) -> Option<u32> {
    request.header(&headers::CSEQ).and_then(|cseq| cseq.as_str().trim().parse().ok())
}

/// The channels of the first transport that asks for RTP over this connection (RFC 2326 section 12.39). Read
/// here since the typed header of `rtsp-types` 0.1 panics on some quoted strings.
pub fn interleaved(request: &Request) -> Option<(u8, u8)> {
    let transports = request.header(&headers::TRANSPORT)?.as_str();
    transports.split(',').find_map(|transport| {
        let mut parts = transport.split(';').map(str::trim);
        if !parts.next()?.eq_ignore_ascii_case("RTP/AVP/TCP") {
            return None;
        }
        let Some(channels) = parts.find_map(|part| part.strip_prefix("interleaved=")) else {
            return Some((0, 1));
        };
        let (rtp, rtcp) = channels.split_once('-')?;
        let (rtp, rtcp) = (rtp.parse().ok()?, rtcp.parse().ok()?);
        (rtp != rtcp).then_some((rtp, rtcp))
    })
}

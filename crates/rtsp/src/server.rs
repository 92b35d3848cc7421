//! The server side of a connection: which request is permitted in which state (RFC 2326 appendix A.2).

use rtsp_types::headers;
use rtsp_types::{Empty, Method, StatusCode, Version};

use crate::{Request, Response};

/// State of the stream of a connection (RFC 2326 appendix A).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Init,
    Ready,
    Playing,
}

/// The server side of one connection. Each connection carries one stream.
#[derive(Clone, Debug, Default)]
pub struct Server {
    state: State,
    /// The id in the Session header (RFC 2326 section 3.4), and its timeout in seconds.
    session: Option<(String, u64)>,
    /// The interleaved channels of RTP and RTCP.
    channels: (u8, u8),
}

/// The methods that are implemented, as in the headers Public and Allow.
const METHODS: &str = "OPTIONS, DESCRIBE, SETUP, PLAY, PAUSE, TEARDOWN, GET_PARAMETER, SET_PARAMETER";

impl Server {
    /// State of the stream.
    pub fn state(&self) -> State {
        self.state
    }

    /// The session id, once the stream is set up.
    pub fn session(&self) -> Option<&str> {
        self.session.as_ref().map(|(id, _)| id.as_str())
    }

    /// The interleaved channels of RTP and RTCP, as the client chose them.
    pub fn channels(&self) -> (u8, u8) {
        self.channels
    }

    /// Checks whether a request is permitted in the current state.
    ///
    /// # Errors
    /// Returns the response that rejects the request.
    pub fn permits(&self, request: &Request) -> Result<(), Response> {
        let rejected = |status| Err(self.answer(request, status));
        if request.version() != Version::V1_0 {
            return rejected(StatusCode::RTSPVersionNotSupported);
        }
        if cseq(request).is_none() {
            return rejected(StatusCode::BadRequest);
        }
        if let Some(required) = request.header(&headers::REQUIRE) {
            // No option is supported (RFC 2326 section 12.32).
            let mut answer = self.answer(request, StatusCode::OptionNotSupported);
            answer.insert_header(headers::UNSUPPORTED, required.as_str());
            return Err(answer);
        }
        self.permits_method(request)
    }

    fn permits_method(&self, request: &Request) -> Result<(), Response> {
        let rejected = |status| Err(self.answer(request, status));
        let requested_session =
            request.header(&headers::SESSION).map(|id| id.as_str().split(';').next().unwrap_or("").trim());
        let session_known = requested_session == self.session() && requested_session.is_some();
        match request.method() {
            Method::Options => Ok(()),
            Method::Describe if request.request_uri().is_some() => Ok(()),
            Method::GetParameter | Method::SetParameter if requested_session.is_none() || session_known => {
                Ok(())
            }
            Method::GetParameter | Method::SetParameter => rejected(StatusCode::SessionNotFound),
            Method::Describe => rejected(StatusCode::BadRequest),
            Method::Setup if request.request_uri().is_none() => rejected(StatusCode::BadRequest),
            Method::Setup if requested_session.is_some() && !session_known => {
                rejected(StatusCode::SessionNotFound)
            }
            Method::Setup if interleaved(request).is_none() => rejected(StatusCode::UnsupportedTransport),
            Method::Setup if self.state == State::Playing => rejected(StatusCode::MethodNotValidInThisState),
            Method::Setup => Ok(()),
            Method::Play | Method::Pause | Method::Teardown
                if requested_session.is_none() && self.state == State::Init =>
            {
                rejected(StatusCode::MethodNotValidInThisState)
            }
            Method::Play | Method::Pause | Method::Teardown if !session_known => {
                rejected(StatusCode::SessionNotFound)
            }
            Method::Play | Method::Pause | Method::Teardown => Ok(()),
            Method::Announce | Method::Record | Method::Redirect | Method::PlayNotify => {
                let mut answer = self.answer(request, StatusCode::MethodNotAllowed);
                answer.insert_header(headers::ALLOW, METHODS);
                Err(answer)
            }
            Method::Extension(_) => rejected(StatusCode::NotImplemented),
        }
    }

    /// Enters `Ready` with a session id; the client must send a keep-alive at least every `timeout_s`
    /// seconds.
    pub fn set_up(&mut self, session: String, timeout_s: u64, channels: (u8, u8)) {
        (self.state, self.session, self.channels) = (State::Ready, Some((session, timeout_s)), channels);
    }

    /// Enters `Playing`.
    pub fn play(&mut self) {
        self.state = State::Playing;
    }

    /// Returns to `Ready`.
    pub fn pause(&mut self) {
        self.state = State::Ready;
    }

    /// Ends the session and returns to `Init`.
    pub fn tear_down(&mut self) {
        *self = Self::default();
    }

    /// A response with the headers that every response has.
    pub fn answer(&self, request: &Request, status: StatusCode) -> Response {
        let cseq = request.header(&headers::CSEQ).map(|cseq| cseq.as_str().to_owned());
        self.answer_to(cseq.as_deref(), status)
    }

    /// As [`Server::answer`], for a request of which only the CSeq is known.
    pub fn answer_to(&self, cseq: Option<&str>, status: StatusCode) -> Response {
        let mut answer = rtsp_types::Response::builder(Version::V1_0, status).build(Vec::new());
        // An empty body needs no Content-Length, and some clients wait for a body if there is one.
        answer.remove_header(&headers::CONTENT_LENGTH);
        if let Some(cseq) = cseq {
            answer.insert_header(headers::CSEQ, cseq);
        }
        if let Some((id, timeout_s)) = &self.session {
            answer.insert_header(headers::SESSION, format!("{id};timeout={timeout_s}"));
        }
        answer
    }

    /// The response to OPTIONS.
    pub fn options(&self, request: &Request) -> Response {
        let mut answer = self.answer(request, StatusCode::Ok);
        answer.insert_header(headers::PUBLIC, METHODS);
        answer
    }

    /// The response to a successful SETUP.
    pub fn setup_answer(&self, cseq: Option<&str>) -> Response {
        let mut answer = self.answer_to(cseq, StatusCode::Ok);
        let (rtp, rtcp) = self.channels;
        answer.insert_header(headers::TRANSPORT, format!("RTP/AVP/TCP;unicast;interleaved={rtp}-{rtcp}"));
        answer
    }

    /// A request that the server sends to the client (REDIRECT), within the session.
    pub fn request(&self, method: Method, uri: rtsp_types::Url, cseq: u32) -> rtsp_types::Request<Empty> {
        let request = rtsp_types::Request::builder(method, Version::V1_0).request_uri(uri);
        let request = request.header(headers::CSEQ, cseq.to_string());
        match self.session() {
            Some(id) => request.header(headers::SESSION, id).empty(),
            None => request.empty(),
        }
    }
}

/// The sequence number that the response must repeat (RFC 2326 section 12.17).
fn cseq(request: &Request) -> Option<u32> {
    request.header(&headers::CSEQ).and_then(|cseq| cseq.as_str().trim().parse().ok())
}

/// The RTP and RTCP channels of the first transport in the request that interleaves RTP on this connection
/// (RFC 2326 section 12.39). Parsed here since the typed header of `rtsp-types` 0.1 panics on some quoted
/// strings.
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

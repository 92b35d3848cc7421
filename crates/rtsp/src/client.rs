//! The client side of a connection: numbers requests and matches responses to them.

use std::collections::VecDeque;

use rtsp_types::headers::{self, HeaderName};
use rtsp_types::{Method, Url, Version};

use crate::{Request, Response};

/// Maximum number of unanswered requests on one connection; an ordinary stream has at most two.
const MAX_PENDING_REQUESTS: usize = 16;

/// The client side of one connection.
#[derive(Clone, Debug, Default)]
pub struct Client {
    /// CSeq of the latest request.
    cseq: u32,
    /// CSeq and method of each unanswered request, the oldest first.
    pending: VecDeque<(u32, Method)>,
    /// Session id that the server assigned in its response to SETUP.
    session: Option<String>,
}

impl Client {
    /// The session id that the server assigned, once SETUP has succeeded.
    pub fn session(&self) -> Option<&str> {
        self.session.as_deref()
    }

    /// Builds a request with its CSeq, the session if there is one, and further headers; `None` while too
    /// many requests are unanswered.
    pub fn request(&mut self, method: Method, uri: Url, extra: &[(HeaderName, String)]) -> Option<Request> {
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            return None;
        }
        self.cseq += 1;
        self.pending.push_back((self.cseq, method.clone()));
        let mut request =
            rtsp_types::Request::builder(method, Version::V1_0).request_uri(uri).build(Vec::new());
        request.remove_header(&headers::CONTENT_LENGTH);
        request.insert_header(headers::CSEQ, self.cseq.to_string());
        if let Some(session) = &self.session {
            request.insert_header(headers::SESSION, session.as_str());
        }
        extra.iter().for_each(|(name, value)| request.insert_header(name.clone(), value.as_str()));
        Some(request)
    }

    /// Matches a response to its request and returns the request's method; `None` if there is no such pending
    /// request, or the response has no CSeq.
    pub fn match_response(&mut self, response: &Response) -> Option<Method> {
        let cseq: u32 = response.header(&headers::CSEQ)?.as_str().trim().parse().ok()?;
        let index = self.pending.iter().position(|(pending, _)| *pending == cseq)?;
        let (_, method) = self.pending.remove(index)?;
        if method == Method::Setup && response.status().is_success() {
            let session = response.header(&headers::SESSION);
            self.session = session.map(|id| id.as_str().split(';').next().unwrap_or("").trim().to_owned());
        }
        Some(method)
    }

    /// Forgets all pending requests: their responses will not come, or are no longer expected.
    pub fn forget_pending(&mut self) {
        self.pending.clear();
    }
}

//! The client's end of a connection: numbers requests, matches answers.

use std::collections::VecDeque;

use rtsp_types::headers::{self, HeaderName};
use rtsp_types::{Method, Url, Version};

use crate::{Request, Response};

/// Requests that may be out on one connection; another is not made until one is answered. An ordinary stream
/// has two out at most.
const OUT: usize = 16;

/// One connection's client end.
#[derive(Clone, Debug, Default)]
pub struct Client {
    cseq: u32,
    out: VecDeque<(u32, Method)>,
    session: Option<String>,
}

impl Client {
    pub fn session(&self) -> Option<&str> {
        self.session.as_deref()
    }

    /// A request, with the headers that every one carries; nothing while too many are out.
    pub fn request(&mut self, method: Method, uri: Url, with: &[(HeaderName, String)]) -> Option<Request> {
        if self.out.len() >= OUT {
            return None;
        }
        self.cseq += 1;
        self.out.push_back((self.cseq, method.clone()));
        let mut request =
            rtsp_types::Request::builder(method, Version::V1_0).request_uri(uri).build(Vec::new());
        request.remove_header(&headers::CONTENT_LENGTH);
        request.insert_header(headers::CSEQ, self.cseq.to_string());
        if let Some(session) = &self.session {
            request.insert_header(headers::SESSION, session.as_str());
        }
        with.iter().for_each(|(name, value)| request.insert_header(name.clone(), value.as_str()));
        Some(request)
    }

    /// The method that an answer is to; nothing for one that nobody waits for, or that has no number.
    pub fn answered(&mut self, response: &Response) -> Option<Method> {
        let cseq: u32 = response.header(&headers::CSEQ)?.as_str().trim().parse().ok()?;
        let at = self.out.iter().position(|(out, _)| *out == cseq)?;
        let (_, method) = self.out.remove(at)?;
        if method == Method::Setup && response.status().is_success() {
            let session = response.header(&headers::SESSION);
            self.session = session.map(|id| id.as_str().split(';').next().unwrap_or("").trim().to_owned());
        }
        Some(method)
    }

    /// The last answer out to that method will not come, or is not waited for any more.
    pub fn forget(&mut self) {
        self.out.clear();
    }
}

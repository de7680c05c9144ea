//! Answers: hosts' bodies, and this director's own words.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of an answer: held whole, or passed on as it comes.
pub enum Answer {
    Whole(Full<Bytes>),
    Passing {
        first: VecDeque<Bytes>,
        rest: Box<Incoming>,
    },
}

impl Body for Answer {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Answer::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|e| match e {}),
            Answer::Passing { first, rest } => match first.pop_front() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Pin::new(&mut **rest).poll_frame(cx),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Answer::Whole(body) => body.is_end_stream(),
            Answer::Passing { first, rest } => first.is_empty() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Answer::Whole(body) => body.size_hint(),
            // Its length stands in its header, if it has one.
            Answer::Passing { .. } => SizeHint::default(),
        }
    }
}

pub const ATTEMPT: HeaderName = HeaderName::from_static("attempt-id");
pub const DEADLINE: HeaderName = HeaderName::from_static("deadline-milliseconds");
pub const KEY: HeaderName = HeaderName::from_static("operation-key");
pub const EXPECTED: HeaderName = HeaderName::from_static("expected-instance");
pub const SEAL: HeaderName = HeaderName::from_static("response-seal");
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Drops what concerns one connection only.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        // A client may not have the headers dropped that this protocol stands on.
        .filter(|n| ![ATTEMPT, DEADLINE, KEY, SEAL, header::HOST].contains(n))
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        KEEP_ALIVE,
        HeaderName::from_static("proxy-connection"),
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::EXPECT,
    ] {
        headers.remove(name);
    }
}

/// Why this director answers by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Own {
    /// The request can't be: what is wrong with it.
    Bad(&'static str),
    NoRoute,
    TooLarge,
    TooSlow,
    /// The first run of its key is at work, or its outcome is not known.
    AtWork,
    /// It has not run and never will: come back.
    Refused(&'static str),
    /// It may have run; the host broke off or spoke no answer.
    Broke,
    /// It may have run or still run; time is over.
    Late,
}

impl Own {
    pub fn status(self) -> StatusCode {
        match self {
            Own::Bad(_) => StatusCode::BAD_REQUEST,
            Own::NoRoute => StatusCode::NOT_FOUND,
            Own::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Own::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Own::AtWork => StatusCode::CONFLICT,
            Own::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
            Own::Broke => StatusCode::BAD_GATEWAY,
            Own::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    pub fn why(self) -> &'static str {
        match self {
            Own::Bad(why) | Own::Refused(why) => why,
            Own::NoRoute => "no route",
            Own::TooLarge => "body too large",
            Own::TooSlow => "body did not come",
            Own::AtWork => "operation at work",
            Own::Broke => "host broke off",
            Own::Late => "time is over",
        }
    }
}

/// This director's own answer. `back_s`: when to come back.
pub fn own(what: Own, back_s: f64) -> Response<Answer> {
    let text = format!("{}\n", what.why());
    let mut response = Response::new(Answer::Whole(Full::new(Bytes::from(text))));
    *response.status_mut() = what.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if matches!(what, Own::Refused(_) | Own::AtWork)
        && let Ok(value) = HeaderValue::from_str(&format!("{back_s:.3}"))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}

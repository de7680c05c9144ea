//! Connections to hosts: kept while they are good, shared out among all directors, and one try of a request.

use crate::answers::{ATTEMPT, Answer, KEEP_ALIVE, NOT_EXECUTED, SEAL, strip};
use crate::board::Shared;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rushcourse_routing::{HostChoice, Observed};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// A connection to a host is made in this time, or the host counts as not reached (ours: a way takes a few ms).
const CONNECT_WAIT: Duration = Duration::from_millis(350);
/// Part of a host's idle limit for which a connection is kept: what it closes then can't cross a request (ours).
const IDLE_PART: (u64, u64) = (4, 5);
/// ms for which an idle connection is kept where the host names no limit: one under a second is not named (ours).
const IDLE_UNNAMED: u64 = 200;
/// Bytes of an answer that are held until it is whole, so that one that breaks off can be told apart (ours).
const HELD_MOST: usize = 256 << 10;

/// What came of one try.
pub enum Tried {
    Answered(Response<Answer>),
    /// It has not run there and never will: what was met.
    NotRun(Observed),
    /// It may have run.
    Broke,
    /// Time is over; it may have run.
    Late,
}

/// What goes to a host.
pub struct Outgoing {
    pub service: Arc<str>,
    pub head: hyper::http::request::Parts,
    pub body: Bytes,
    pub attempt: HeaderValue,
}

impl Outgoing {
    /// The request to one host, with what is left of its time.
    fn request(&self, host: &HostChoice, left_ms: u64) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let headers = request.headers_mut();
        headers.insert(crate::answers::DEADLINE, HeaderValue::from(left_ms));
        if let Ok(value) = HeaderValue::from_str(&host.id) {
            headers.insert(crate::answers::EXPECTED, value);
        }
        request
    }
}

/// One try of a request at a host that was picked. `until`: when its client stops waiting.
pub async fn try_at(board: &Shared, out: &Outgoing, host: &HostChoice, until: Instant) -> Tried {
    let begun = board.times.precise_millis();
    let guard = Counted {
        board: board.clone(),
        service: out.service.clone(),
        host: host.id.clone(),
        done: false,
    };
    let tried = attempt(board, out, host, until).await;
    let met = match &tried {
        Tried::Answered(_) => Observed::Response {
            latency_ms: board.times.precise_millis() - begun,
        },
        Tried::NotRun(met) => *met,
        Tried::Broke => Observed::Failed,
        Tried::Late => Observed::Response {
            latency_ms: board.times.precise_millis() - begun,
        },
    };
    guard.end(met);
    tried
}

/// A request that is counted on a host; if its client goes, it is taken off.
struct Counted {
    board: Shared,
    service: Arc<str>,
    host: Arc<str>,
    done: bool,
}

impl Counted {
    fn end(mut self, met: Observed) {
        self.done = true;
        let now = self.board.now();
        self.board
            .state
            .borrow_mut()
            .tables
            .record_attempt(now, &self.service, &self.host, met);
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        if !self.done {
            self.board
                .state
                .borrow_mut()
                .tables
                .cancel_attempt(&self.service, &self.host);
        }
    }
}

async fn connect(
    board: &Shared,
    service: &str,
    host: &HostChoice,
    until: Instant,
) -> Result<SendRequest<Full<Bytes>>, Observed> {
    if !board
        .state
        .borrow_mut()
        .pools
        .may_open(board.times.now().as_millis(), service, &host.id)
    {
        return Err(Observed::Rejected);
    }
    let closing = Closing {
        board: board.clone(),
        host: host.id.clone(),
    };
    let wait = Instant::now() + CONNECT_WAIT;
    let stream = match timeout_at(wait.min(until), TcpStream::connect(&*host.address)).await {
        Ok(Ok(stream)) => stream,
        _ => return Err(Observed::ConnectFailed),
    };
    let _ = stream.set_nodelay(true);
    let made = http1::Builder::new()
        .max_buf_size(64 << 10)
        .handshake(TokioIo::new(stream))
        .await;
    let Ok((sender, connection)) = made else {
        return Err(Observed::ConnectFailed);
    };
    tokio::task::spawn_local(async move {
        let _closing = closing;
        let _ = connection.await;
    });
    Ok(sender)
}

/// A connection that is open counts until this goes.
struct Closing {
    board: Shared,
    host: Arc<str>,
}

impl Drop for Closing {
    fn drop(&mut self) {
        self.board.state.borrow_mut().pools.closed(&self.host);
    }
}

/// A connection to a host, and whether earlier requests went by it.
struct Line {
    sender: SendRequest<Full<Bytes>>,
    reused: bool,
}

async fn attempt(board: &Shared, out: &Outgoing, host: &HostChoice, until: Instant) -> Tried {
    loop {
        let idle = board
            .state
            .borrow_mut()
            .pools
            .take(board.times.now().as_millis(), &host.id);
        let mut line = match idle {
            Some(sender) => Line {
                sender,
                reused: true,
            },
            None => match connect(board, &out.service, host, until).await {
                Ok(sender) => Line {
                    sender,
                    reused: false,
                },
                Err(met) => return Tried::NotRun(met),
            },
        };
        // The table may have changed while the connection was made: nothing leaves for a host that drains.
        if !board
            .state
            .borrow()
            .tables
            .is_available(&out.service, &host.id)
        {
            return Tried::NotRun(Observed::WrongInstance);
        }
        let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        if left < 2 {
            return Tried::NotRun(Observed::Rejected);
        }
        let sent = line.sender.try_send_request(out.request(host, left));
        let response = match timeout_at(until, sent).await {
            Err(_) => return Tried::Late,
            Ok(Ok(response)) => response,
            Ok(Err(mut e)) => {
                if e.take_message().is_some() && line.reused {
                    // Nothing of it left on a kept connection that was closed meanwhile: on the next one.
                    continue;
                }
                return Tried::Broke;
            }
        };
        return answered(board, out, host, line, response, until).await;
    }
}

/// Whether a host says that it did not run a request.
fn refusal(head: &Parts) -> Option<Observed> {
    if head.headers.contains_key(NOT_EXECUTED) {
        Some(Observed::Rejected)
    } else if head.status == StatusCode::MISDIRECTED_REQUEST {
        Some(Observed::WrongInstance)
    } else {
        None
    }
}

/// Whether an answer is that of the request with this id: it names it, and no other.
fn names(head: &Parts, attempt: &HeaderValue) -> bool {
    let mut ids = head.headers.get_all(ATTEMPT).iter();
    ids.next() == Some(attempt) && ids.next().is_none()
}

/// Whether the end of an answer can be told from its breaking off: by its length or its last chunk, not both.
fn bounded(head: &Parts, body: &Incoming) -> bool {
    let chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
    if chunked && head.headers.contains_key(header::CONTENT_LENGTH) {
        return false;
    }
    chunked || body.is_end_stream() || body.size_hint().exact().is_some()
}

/// Whether an answer can be passed on: it means to the client what it means here.
fn proper(head: &Parts) -> bool {
    // These promise that it has not run, which the host did not say.
    let promise = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ];
    let unsealed = head.status.is_success() && !head.headers.contains_key(SEAL);
    !head.status.is_informational() && !promise.contains(&head.status) && !unsealed
}

/// How long a connection may rest, in ms.
fn rests(head: &Parts) -> u64 {
    let named = head
        .headers
        .get(KEEP_ALIVE)
        .and_then(|v| v.to_str().ok())
        .and_then(idle_ms);
    named
        .filter(|limit| *limit > 0)
        .map_or(IDLE_UNNAMED, |limit| limit * IDLE_PART.0 / IDLE_PART.1)
}

async fn answered(
    board: &Shared,
    out: &Outgoing,
    host: &HostChoice,
    line: Line,
    response: Response<Incoming>,
    until: Instant,
) -> Tried {
    let (mut head, body) = response.into_parts();
    let not_run = refusal(&head);
    // An answer with another id, or none, belongs to no request here: what follows on this connection can't be
    // trusted either. Only where nothing else was ever asked is a refusal without an id this request's.
    if !names(&head, &out.attempt) {
        let only_one = !line.reused && !head.headers.contains_key(ATTEMPT);
        return not_run
            .filter(|_| only_one)
            .map_or(Tried::Broke, Tried::NotRun);
    }
    if not_run.is_none() && !(proper(&head) && bounded(&head, &body)) {
        return Tried::Broke;
    }
    let rests = rests(&head);
    let (held, rest) = match timeout_at(until, hold(body)).await {
        Err(_) => return not_run.map_or(Tried::Late, Tried::NotRun),
        Ok(Err(_)) => return not_run.map_or(Tried::Broke, Tried::NotRun),
        Ok(Ok(held)) => held,
    };
    let now = board.times.now().as_millis();
    strip(&mut head.headers);
    if let Some(rest) = rest {
        return Tried::Answered(Response::from_parts(
            head,
            Answer::Passing {
                first: held,
                rest: Box::new(rest),
            },
        ));
    }
    board
        .state
        .borrow_mut()
        .pools
        .give_back(&host.id, line.sender, now + rests);
    if let Some(met) = not_run {
        return Tried::NotRun(met);
    }
    let whole: Bytes = match held.len() {
        0 => Bytes::new(),
        1 => held.into_iter().next().unwrap_or_default(),
        _ => held
            .into_iter()
            .fold(Vec::new(), |mut all, b| {
                all.extend_from_slice(&b);
                all
            })
            .into(),
    };
    Tried::Answered(Response::from_parts(head, Answer::Whole(Full::new(whole))))
}

/// `Keep-Alive: timeout=8`, in ms.
fn idle_ms(value: &str) -> Option<u64> {
    let seconds = value
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds
        .trim()
        .parse::<u64>()
        .ok()
        .map(|s| s.min(3600) * 1000)
}

/// Reads an answer's body until it is whole, or longer than what is held.
async fn hold(mut body: Incoming) -> Result<(VecDeque<Bytes>, Option<Incoming>), hyper::Error> {
    let (mut held, mut bytes) = (VecDeque::new(), 0);
    while !body.is_end_stream() {
        let Some(frame) = body.frame().await else {
            break;
        };
        if let Ok(data) = frame?.into_data() {
            bytes += data.len();
            held.push_back(data);
        }
        if bytes > HELD_MOST {
            return Ok((held, Some(body)));
        }
    }
    Ok((held, None))
}

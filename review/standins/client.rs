//! A stand-in of a client that follows the pages: every try has an id of its own, and a connection of its own.

use crate::http::{Message, call};
use crate::record;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request<'a> {
    pub gateway: SocketAddr,
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    /// `Operation-Key`; none if empty.
    pub key: &'a str,
    /// `Api-Key`; none if empty.
    pub api_key: &'a str,
    pub body: &'a [u8],
    pub deadline: Duration,
}

/// The answer that a try got.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub seal: String,
    pub body: String,
    pub retry_after: Option<Duration>,
}

/// Makes one try.
pub fn send(request: &Request<'_>) -> Answer {
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {}\r\nDeadline-Milliseconds: {}\r\n",
        request.method,
        request.path,
        request.host,
        request.id,
        request.deadline.as_millis()
    );
    if !request.key.is_empty() {
        head += &format!("Operation-Key: {}\r\n", request.key);
    }
    if !request.api_key.is_empty() {
        head += &format!("Api-Key: {}\r\n", request.api_key);
    }
    if request.method != "GET" {
        head += &format!("Content-Length: {}\r\n", request.body.len());
    }
    head += "\r\n";
    let answer = call(
        request.gateway,
        &head,
        request.body,
        request.deadline + Duration::from_millis(200),
    );
    let answer = answer.map_or_else(|_| no_answer(), |message| read(&message));
    record::line(&format!(
        "client sent {} attempt={} key={} api_key={} to {}: {} seal={}",
        request.method,
        request.id,
        request.key,
        request.api_key,
        request.gateway,
        answer.status,
        answer.seal
    ));
    answer
}

/// Makes a try at each of the gateways in turn, within the deadline and until one is answered with success, as clients
/// do with a keyed request. Each try has an id of its own. Returns the answers in order.
pub fn send_again(request: &Request<'_>, gateways: &[SocketAddr]) -> Vec<Answer> {
    let until = Instant::now() + request.deadline;
    let mut answers = Vec::new();
    for (number, gateway) in gateways.iter().enumerate() {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(50) {
            break;
        }
        let id = format!("{}-{number}", request.id);
        let answer = send(&Request {
            gateway: *gateway,
            id: &id,
            deadline: left,
            ..*request
        });
        let pause = answer.retry_after.unwrap_or(Duration::from_millis(100));
        let is_final = (200..300).contains(&answer.status);
        answers.push(answer);
        if is_final {
            break;
        }
        thread::sleep(pause.min(until.saturating_duration_since(Instant::now()) / 3));
    }
    answers
}

fn no_answer() -> Answer {
    Answer {
        status: 0,
        seal: String::new(),
        body: String::new(),
        retry_after: None,
    }
}

fn read(message: &Message) -> Answer {
    let retry_after = message
        .header("retry-after")
        .and_then(|text| text.parse().ok());
    Answer {
        status: message.status(),
        seal: message.header("response-seal").unwrap_or("").to_string(),
        body: String::from_utf8_lossy(&message.body).into_owned(),
        retry_after: retry_after.map(Duration::from_secs_f64),
    }
}

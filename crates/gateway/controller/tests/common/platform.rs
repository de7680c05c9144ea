//! A stand-in of the platform that receives usage reports, and counts sent to controllers in the role of a gateway.

use super::Controllers;
use super::gateway_session::{INCARNATION, gateway_node, open_session};
use rushcourse_messages::{Message, TenantCount, UsageCounts};
use rushcourse_types::WindowNumber;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Length of a report window in the settings of the tests, in seconds.
pub const WINDOW_S: u64 = 1;
/// Time for which a session stays open, so that a message is written.
const WRITE_TIME: Duration = Duration::from_millis(100);

/// A call that the platform has received.
#[derive(Clone, Debug)]
pub struct Call {
    head: String,
    pub body: String,
}

impl Call {
    /// Reads a request with a `Content-Length`; `None` if the connection ends before that.
    fn read(stream: &mut TcpStream) -> Option<Call> {
        let mut text = String::new();
        let mut buffer = [0; 4096];
        loop {
            let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
            text.push_str(std::str::from_utf8(&buffer[..count]).ok()?);
            let Some((head, body)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            let call = Call {
                head: head.to_owned(),
                body: body.to_owned(),
            };
            let length: usize = call.header("content-length")?.parse().ok()?;
            if body.len() >= length {
                return Some(call);
            }
        }
    }

    pub fn request_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (found, value) = line.split_once(": ")?;
            found.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    /// Number of the controller named in `Duty-Holder`, which is of the form `core-N`.
    pub fn holder(&self) -> u32 {
        let name = self.header("duty-holder").expect("a holder");
        let number = name.strip_prefix("core-").expect("core-N");
        number.parse().expect("a number")
    }

    pub fn fence(&self) -> u64 {
        let fence = self.header("fence-number").expect("a fence");
        fence.parse().expect("a number")
    }
}

/// The calls that the stand-in has received.
#[derive(Clone, Default)]
pub struct Platform(Arc<Mutex<Vec<Call>>>);

impl Platform {
    /// Starts a platform that answers the first `unavailable` calls with 503 and all others with 200.
    pub fn start(address: &str, unavailable: usize) -> Platform {
        let platform = Platform::default();
        let listener = TcpListener::bind(address).expect("the platform's address is free");
        let calls = platform.0.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let Some(call) = Call::read(&mut stream) else {
                    continue;
                };
                let mut calls = calls.lock().expect("the calls");
                calls.push(call);
                let status = if calls.len() <= unavailable {
                    "503 Service Unavailable"
                } else {
                    "200 OK"
                };
                let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                let _ = stream.write_all(response.as_bytes());
            }
        });
        platform
    }

    pub fn calls(&self) -> Vec<Call> {
        self.0.lock().expect("the calls").clone()
    }
}

/// Sends final counts of a gateway for the current window to these controllers, and returns the window.
pub fn send_counts(controllers: &Controllers, numbers: &[u32], requests: u32) -> WindowNumber {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    let window = WindowNumber(since_1970.expect("a time after 1970").as_secs() / WINDOW_S);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime is built");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        for number in numbers {
            let (session, _events) = open_session(controllers, *number).await;
            session.send(&Message::UsageCounts(UsageCounts {
                gateway: gateway_node(controllers),
                incarnation: INCARNATION,
                window,
                revision: 1,
                has_ended: true,
                counts: vec![TenantCount {
                    tenant: "t1".into(),
                    requests,
                }],
            }));
            tokio::time::sleep(WRITE_TIME).await;
        }
    });
    window
}

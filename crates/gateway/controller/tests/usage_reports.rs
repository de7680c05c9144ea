//! Usage reports of three controller processes to a stand-in of the platform.

mod common;

use common::gateway_session::{INCARNATION, gateway_node, open_session};
use common::{Controllers, configuration, wait_until};
use rushcourse_messages::{Message, TenantCount, UsageCounts};
use rushcourse_types::WindowNumber;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const PLATFORM: &str = "127.38.7.9:8423";
const SETTINGS: &str = "cloud_api.address=127.38.7.9:8423\ncloud_api.duties=usage_reporting\n\
                        bounds.report_window_s=1\nbounds.usage_lateness_s=5\nbounds.lease_duration_s=1\n";
const WINDOW: Duration = Duration::from_secs(1);
/// Status of the responses, and how many calls get the first one.
const UNAVAILABLE_CALLS: usize = 1;

/// The calls that the stand-in has received, as text.
#[derive(Clone, Default)]
struct Platform(Arc<Mutex<Vec<String>>>);

impl Platform {
    /// Starts a platform that answers its first call with 503 and all others with 200.
    fn start() -> Platform {
        let platform = Platform::default();
        let listener = TcpListener::bind(PLATFORM).expect("the platform's address is free");
        let calls = platform.0.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut stream = stream;
                let Some(call) = read_call(&mut stream) else {
                    continue;
                };
                let mut calls = calls.lock().expect("the calls");
                calls.push(call);
                let status = if calls.len() <= UNAVAILABLE_CALLS {
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

    fn calls(&self) -> Vec<String> {
        self.0.lock().expect("the calls").clone()
    }
}

/// Reads a request with a `Content-Length`; `None` if the connection ends before that.
fn read_call(stream: &mut std::net::TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        text.push_str(std::str::from_utf8(&buffer[..count]).ok()?);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = header(head, "content-length").and_then(|length| length.parse().ok())?;
        if body.len() >= length {
            return Some(text);
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(": ")?;
        found.eq_ignore_ascii_case(name).then_some(value)
    })
}

fn body(call: &str) -> &str {
    call.split_once("\r\n\r\n").expect("a complete call").1
}

fn fence(call: &str) -> u64 {
    let fence = header(call, "fence-number").expect("a fence");
    fence.parse().expect("a number")
}

fn current_window() -> WindowNumber {
    let since_1970 = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time after 1970");
    WindowNumber(since_1970.as_secs() / WINDOW.as_secs())
}

/// Sends counts of a gateway for the current window to all controllers that run.
fn send_counts(controllers: &Controllers, numbers: &[u32], requests: u32) -> WindowNumber {
    let window = current_window();
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
            // The session has to stay open until the message is written.
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    window
}

/// The call with which a report was delivered for the first time.
fn wait_for_report(platform: &Platform, expected_body: &str) -> String {
    let is_expected = |call: &String| body(call) == expected_body;
    wait_until(&format!("{expected_body} is reported"), || {
        platform.calls().iter().any(is_expected)
    });
    let mut calls = platform.calls().into_iter();
    calls.find(is_expected).expect("the call")
}

/// Guards against ONE: two reports of a window with different counts, or a fence that two holders use.
#[test]
fn reports_are_repeated_unchanged_and_a_successor_has_a_higher_fence() {
    let platform = Platform::start();
    let mut controllers = Controllers::start_with_settings(SETTINGS);
    for number in 1..=3 {
        controllers.request_until_acknowledged(
            number,
            "PUT",
            "/-/configuration",
            &configuration(1),
        );
    }
    let window = send_counts(&controllers, &[1, 2, 3], 41);
    let expected = format!(r#"{{"window_number":{window},"counts":{{"t1":41}}}}"#);
    let first = wait_for_report(&platform, &expected);
    assert!(first.starts_with("POST /usage HTTP/1.1\r\n"));
    wait_until("the refused call is repeated", || {
        platform.calls().len() > 1
    });
    assert!(platform.calls().iter().all(|call| body(call) == expected));

    let holder = header(&first, "duty-holder").expect("a holder").to_owned();
    let page = controllers.status(1).expect("a status page");
    let shown = format!(r#""holder":"{holder}""#);
    assert!(page.contains(&shown), "{shown} in {page}");
    let lost: u32 = holder
        .rsplit('-')
        .next()
        .expect("core-N")
        .parse()
        .expect("a number");
    controllers.kill(lost as usize);
    let left: Vec<u32> = (1..=3).filter(|number| *number != lost).collect();
    let window = send_counts(&controllers, &left, 7);
    let expected = format!(r#"{{"window_number":{window},"counts":{{"t1":7}}}}"#);
    let second = wait_for_report(&platform, &expected);
    assert_ne!(header(&second, "duty-holder"), Some(holder.as_str()));
    assert!(fence(&second) > fence(&first));
}

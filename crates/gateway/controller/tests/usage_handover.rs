//! The holder of the usage duty hands over before its process exits.

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

const PLATFORM: &str = "127.38.7.10:8423";
/// The lease is far longer than the test, so that a successor acts only after a handover.
const SETTINGS: &str = "cloud_api.address=127.38.7.10:8423\ncloud_api.duties=usage_reporting\n\
                        bounds.report_window_s=1\nbounds.usage_lateness_s=5\nbounds.lease_duration_s=600\n";

/// Starts a platform that accepts every call, and returns the names of the holders that have called.
fn start_platform() -> Arc<Mutex<Vec<String>>> {
    let holders = Arc::new(Mutex::new(Vec::new()));
    let listener = TcpListener::bind(PLATFORM).expect("the platform's address is free");
    let recorded = holders.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut buffer = [0; 4096];
            let count = stream.read(&mut buffer).unwrap_or(0);
            let text = String::from_utf8_lossy(&buffer[..count]).to_lowercase();
            let holder = text
                .lines()
                .find_map(|line| line.strip_prefix("duty-holder: "));
            if let Some(holder) = holder {
                recorded
                    .lock()
                    .expect("the holders")
                    .push(holder.to_owned());
            }
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    holders
}

/// Sends counts of a gateway for the current window to these controllers.
fn send_counts(controllers: &Controllers, numbers: &[u32]) {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    let window = WindowNumber(since_1970.expect("a time after 1970").as_secs());
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
                    requests: 5,
                }],
            }));
            // The session has to stay open until the message is written.
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
}

/// Guards against missing reports after a planned restart: a holder without a standby exited before it handed over.
#[test]
fn holder_that_gets_sigterm_hands_over_before_it_exits() {
    let holders = start_platform();
    let mut controllers = Controllers::start_with_settings(SETTINGS);
    for number in 1..=3 {
        let text = configuration(1);
        controllers.request_until_acknowledged(number, "PUT", "/-/configuration", &text);
    }
    send_counts(&controllers, &[1, 2, 3]);
    let newest = || holders.lock().expect("the holders").last().cloned();
    wait_until("a report is delivered", || newest().is_some());
    let holder = newest().expect("a holder");
    let number: u32 = holder
        .rsplit('-')
        .next()
        .and_then(|number| number.parse().ok())
        .expect("core-N");
    controllers.terminate(number as usize);
    let left: Vec<u32> = (1..=3).filter(|other| *other != number).collect();
    send_counts(&controllers, &left);
    wait_until("a successor reports", || {
        newest().is_some_and(|newest| newest != holder)
    });
}

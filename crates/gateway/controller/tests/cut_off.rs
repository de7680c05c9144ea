//! What a controller answers that has lost the majority, on loopback: three real processes, of which two are killed.

mod common;

use common::{Controllers, configuration};
use std::time::Duration;

/// A controller without a majority says so within this time: under the 850 ms that an order may wait for one.
const AT_ONCE: Duration = Duration::from_millis(700);
/// What it says: it did not ask anybody first.
const NO_QUORUM_CONTACT: &str = "no recent contact with a majority";

fn heartbeat(state: &str, sequence: u32) -> String {
    format!(
        r#"{{"address":"10.128.0.9:8080","information":{{"service":"s1","version":"v1","zone":"z1","available_slots":4}},"status":{{"state":"{state}","call_sequence":{sequence},"cold_remaining_s":0}}}}"#
    )
}

/// The state of a host on a status page; `None` where the page doesn't know it.
fn host_state(page: &str, id: &str) -> Option<&'static str> {
    let host = page
        .split(r#"{"id":"#)
        .find(|host| host.starts_with(&format!("\"{id}\"")))?;
    ["ready", "draining", "gone"]
        .into_iter()
        .find(|state| host.contains(&format!(r#""state":"{state}""#)))
}

#[test]
fn a_controller_without_a_majority_answers_503_at_once_and_still_records_what_hosts_report() {
    let mut controllers = Controllers::start();
    let (ready, draining) = (heartbeat("ready", 1), heartbeat("draining", 1));
    for (method, path, body) in [
        ("PUT", "/-/configuration", &*configuration(1)),
        ("GET", "/-/configuration", ""),
        ("PUT", "/-/instances/i-1", &*ready),
        ("PUT", "/-/instances/i-2", &*draining),
    ] {
        controllers.request_until_acknowledged(1, method, path, body);
    }

    controllers.kill(2);
    controllers.kill(3);
    controllers.wait_until_alone(1);

    let (ready, draining) = (heartbeat("ready", 2), heartbeat("draining", 3));
    for (method, path, body) in [
        ("PUT", "/-/configuration", &*configuration(2)),
        ("PUT", "/-/configuration", &*configuration(1)),
        ("GET", "/-/configuration", ""),
        ("PUT", "/-/instances/i-1", &*ready),
        ("PUT", "/-/instances/i-1", &*draining),
        ("PUT", "/-/instances/i-3", &*ready),
        ("DELETE", "/-/instances/i-2", ""),
    ] {
        let answer = controllers
            .request(1, method, path, body)
            .expect("an answer");
        let (text, elapsed) = (&answer.text, answer.elapsed);
        assert_eq!(answer.status, 503, "{method} {path}: {text}");
        assert!(text.contains(NO_QUORUM_CONTACT), "{method} {path}: {text}");
        assert!(elapsed < AT_ONCE, "{method} {path}: after {elapsed:?}");
    }

    let page = controllers.status(1).expect("a page");
    assert_eq!(
        ["i-1", "i-2", "i-3"].map(|id| host_state(&page, id)),
        [Some("draining"), Some("gone"), Some("ready")],
        "{page}"
    );
    assert!(
        page.contains(r#""held":1,"#),
        "no configuration was taken: {page}"
    );
}

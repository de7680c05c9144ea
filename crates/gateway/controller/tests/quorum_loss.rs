//! Responses of a controller that has lost the majority, after two of three controller processes are killed.

mod common;

use common::hosts::{heartbeat, host_state};
use common::{Controllers, configuration};
use std::time::Duration;

/// Maximum latency of a response without quorum contact; below the 850 ms that a configuration may wait for a majority.
const MAX_REJECTION_LATENCY: Duration = Duration::from_millis(700);
/// Error text of a request that is rejected without contacting the other controllers.
const NO_QUORUM_CONTACT: &str = "no recent contact with a majority";

#[test]
fn controller_without_majority_responds_503_and_still_applies_host_requests() {
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
    controllers.wait_until_isolated(1);

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
        let response = controllers
            .request(1, method, path, body)
            .expect("a response");
        let (text, elapsed) = (&response.text, response.elapsed);
        assert_eq!(response.status, 503, "{method} {path}: {text}");
        assert!(text.contains(NO_QUORUM_CONTACT), "{method} {path}: {text}");
        assert!(
            elapsed < MAX_REJECTION_LATENCY,
            "{method} {path}: after {elapsed:?}"
        );
    }

    let page = controllers.status(1).expect("a status page");
    assert_eq!(
        ["i-1", "i-2", "i-3"].map(|id| host_state(&page, id)),
        [Some("draining"), Some("gone"), Some("ready")],
        "{page}"
    );
    assert!(
        page.contains(r#""held":1,"#),
        "a configuration was accepted without a majority: {page}"
    );
}

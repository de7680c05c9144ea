//! What a host was told when it left holds after all controllers were killed at once.

mod common;

use common::hosts::{heartbeat, host_state};
use common::{Controllers, configuration, wait_until};
use std::thread;
use std::time::Duration;

/// Time within which a late heartbeat has reached all controllers, and the gateways' tables if it were taken.
const LATE_HEARTBEAT_EFFECT: Duration = Duration::from_millis(1_500);

fn assert_state_everywhere(controllers: &Controllers, id: &str, expected: &str) {
    for number in 1..=3 {
        let page = controllers.status(number).expect("a status page");
        assert_eq!(host_state(&page, id), Some(expected), "{id} at {number}");
    }
}

/// Guards against DRAIN: after a kill of all processes a late heartbeat made a host ready again that had signed off, or that
/// drains; also one that no controller had known when it signed off. The kill follows right after the acknowledgement, so
/// that also what was acknowledged before it was on the disks is found.
#[test]
fn acknowledged_sign_off_and_drain_survive_a_kill_of_all_controllers() {
    let mut controllers = Controllers::start();
    controllers.request_until_acknowledged(1, "PUT", "/-/configuration", &configuration(1));
    for id in ["i-gone", "i-drains"] {
        let path = format!("/-/instances/{id}");
        controllers.request_until_acknowledged(1, "PUT", &path, &heartbeat("ready", 1));
    }
    let draining = heartbeat("draining", 3);
    controllers.request_until_acknowledged(3, "PUT", "/-/instances/i-drains", &draining);
    controllers.request_until_acknowledged(1, "DELETE", "/-/instances/i-unknown", "");
    controllers.request_until_acknowledged(2, "DELETE", "/-/instances/i-gone", "");
    for number in 1..=3 {
        controllers.kill(number);
    }
    for number in 1..=3 {
        controllers.restart(number);
    }
    wait_until("the controllers acknowledge requests", || {
        (1..=3).all(|number| {
            let path = "/-/instances/i-other";
            let response = controllers.request(number, "PUT", path, &heartbeat("ready", 1));
            response.is_some_and(|response| response.status == 200)
        })
    });
    for id in ["i-gone", "i-drains", "i-unknown"] {
        let path = format!("/-/instances/{id}");
        controllers.request_until_acknowledged(3, "PUT", &path, &heartbeat("ready", 2));
    }
    thread::sleep(LATE_HEARTBEAT_EFFECT);
    assert_state_everywhere(&controllers, "i-other", "ready");
    assert_state_everywhere(&controllers, "i-drains", "draining");
    assert_state_everywhere(&controllers, "i-gone", "gone");
    assert_state_everywhere(&controllers, "i-unknown", "gone");
}

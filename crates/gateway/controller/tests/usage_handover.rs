//! The holder of the usage duty hands over before its process exits.

mod common;

use common::platform::{Platform, send_counts};
use common::{Controllers, configuration, wait_until};

const PLATFORM: &str = "127.38.7.10:8423";
/// The lease is far longer than the test, so that a successor acts only after a handover.
const SETTINGS: &str = "cloud_api.address=127.38.7.10:8423\ncloud_api.duties=usage_reporting\n\
                        bounds.report_window_s=1\nbounds.usage_lateness_s=5\nbounds.lease_duration_s=600\n";

/// Guards against missing reports after a planned restart: a holder without a standby exited before it handed over.
#[test]
fn holder_that_gets_sigterm_hands_over_before_it_exits() {
    let platform = Platform::start(PLATFORM, 0);
    let mut controllers = Controllers::start_with_settings(SETTINGS);
    for number in 1..=3 {
        let text = configuration(1);
        controllers.request_until_acknowledged(number, "PUT", "/-/configuration", &text);
    }
    send_counts(&controllers, &[1, 2, 3], 5);
    let newest = || platform.calls().last().map(|call| call.holder());
    wait_until("a report is delivered", || newest().is_some());
    let holder = newest().expect("a holder");
    controllers.terminate(holder as usize);
    let left: Vec<u32> = (1..=3).filter(|other| *other != holder).collect();
    send_counts(&controllers, &left, 5);
    wait_until("a successor reports", || {
        newest().is_some_and(|newest| newest != holder)
    });
}

//! Usage reports of three controller processes to a stand-in of the platform.

mod common;

use common::platform::{Call, Platform, send_counts};
use common::{Controllers, configuration, wait_until};

const PLATFORM: &str = "127.38.7.9:8423";
const SETTINGS: &str = "cloud_api.address=127.38.7.9:8423\ncloud_api.duties=usage_reporting\n\
                        bounds.report_window_s=1\nbounds.usage_lateness_s=5\nbounds.lease_duration_s=1\n";

/// The call with which a report was delivered for the first time.
fn wait_for_report(platform: &Platform, expected_body: &str) -> Call {
    let is_expected = |call: &Call| call.body == expected_body;
    wait_until(&format!("{expected_body} is reported"), || {
        platform.calls().iter().any(is_expected)
    });
    let mut calls = platform.calls().into_iter();
    calls.find(is_expected).expect("the call")
}

/// Guards against ONE: two reports of a window with different counts, or a fence that two holders use.
#[test]
fn reports_are_repeated_unchanged_and_a_successor_has_a_higher_fence() {
    let platform = Platform::start(PLATFORM, 1);
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
    assert_eq!(first.request_line(), "POST /usage HTTP/1.1");
    wait_until("the refused call is repeated", || {
        platform.calls().len() > 1
    });
    assert!(platform.calls().iter().all(|call| call.body == expected));

    let lost = first.holder();
    let page = controllers.status(1).expect("a status page");
    let shown = format!(r#""holder":"core-{lost}""#);
    assert!(page.contains(&shown), "{shown} in {page}");
    controllers.kill(lost as usize);
    let left: Vec<u32> = (1..=3).filter(|number| *number != lost).collect();
    let window = send_counts(&controllers, &left, 7);
    let expected = format!(r#"{{"window_number":{window},"counts":{{"t1":7}}}}"#);
    let second = wait_for_report(&platform, &expected);
    assert_ne!(second.holder(), lost);
    assert!(second.fence() > first.fence());
}

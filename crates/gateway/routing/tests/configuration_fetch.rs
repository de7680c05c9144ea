//! Selection of the controller from which a gateway requests a new configuration.

use rushcourse_routing::ConfigurationFetch;
use rushcourse_types::{ConfigurationVersion, NodeId, Timestamp};

/// Announces `version`, held by controller `holder`, to a gateway that has version `current`.
fn announce(fetch: &mut ConfigurationFetch, millis: u64, holder: u32, version: u64, current: u64) {
    fetch.version_announced(
        Timestamp::from_millis(millis),
        NodeId(holder),
        ConfigurationVersion(version),
        ConfigurationVersion(current),
    );
}

/// The controller that the gateway requests the configuration from, given which controllers are connected.
fn request_from_connected(
    fetch: &mut ConfigurationFetch,
    millis: u64,
    current: u64,
    is_connected: impl Fn(NodeId) -> bool,
) -> Option<NodeId> {
    let now = Timestamp::from_millis(millis);
    fetch.next_request(now, ConfigurationVersion(current), is_connected)
}

/// The controller that the gateway requests the configuration from while all controllers are connected.
fn request(fetch: &mut ConfigurationFetch, millis: u64, current: u64) -> Option<NodeId> {
    request_from_connected(fetch, millis, current, |_| true)
}

#[test]
fn gateway_without_configuration_requests_at_once_and_retries_at_the_next_holder() {
    let mut fetch = ConfigurationFetch::default();
    announce(&mut fetch, 1_000, 1, 5, 0);
    announce(&mut fetch, 1_001, 2, 5, 0);
    assert_eq!(request(&mut fetch, 1_001, 0), Some(NodeId(1)));
    assert_eq!(
        request(&mut fetch, 1_200, 0),
        None,
        "the first request is still pending"
    );
    assert_eq!(request(&mut fetch, 1_301, 0), Some(NodeId(2)));
    assert_eq!(
        request(&mut fetch, 1_400, 5),
        None,
        "the configuration has arrived"
    );
    assert_eq!(request(&mut fetch, 9_000, 5), None);
}

#[test]
fn pushed_configuration_is_not_requested() {
    let mut fetch = ConfigurationFetch::default();
    announce(&mut fetch, 1_000, 1, 6, 5);
    assert_eq!(
        request(&mut fetch, 1_050, 5),
        None,
        "the push of the primary controller is awaited"
    );
    assert_eq!(request(&mut fetch, 1_100, 6), None);
    announce(&mut fetch, 2_000, 1, 7, 6);
    assert_eq!(
        request(&mut fetch, 2_100, 6),
        Some(NodeId(1)),
        "the push did not arrive"
    );
}

#[test]
fn older_version_is_ignored_and_newer_version_restarts_the_fetch() {
    let mut fetch = ConfigurationFetch::default();
    announce(&mut fetch, 1_000, 1, 7, 5);
    announce(&mut fetch, 1_050, 2, 6, 5);
    assert_eq!(
        request(&mut fetch, 1_100, 5),
        Some(NodeId(1)),
        "controller 2 only has the older version"
    );
    announce(&mut fetch, 1_150, 2, 8, 5);
    assert_eq!(request(&mut fetch, 1_200, 5), None);
    assert_eq!(request(&mut fetch, 1_250, 5), Some(NodeId(2)));
}

#[test]
fn disconnected_controller_is_skipped() {
    let mut fetch = ConfigurationFetch::default();
    announce(&mut fetch, 1_000, 1, 7, 0);
    announce(&mut fetch, 1_000, 2, 7, 0);
    assert_eq!(
        request_from_connected(&mut fetch, 1_000, 0, |node| node == NodeId(2)),
        Some(NodeId(2))
    );
    assert_eq!(
        request_from_connected(&mut fetch, 1_300, 0, |_| false),
        None
    );
    assert_eq!(request(&mut fetch, 1_301, 0), Some(NodeId(1)));
}

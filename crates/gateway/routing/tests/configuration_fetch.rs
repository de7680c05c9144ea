//! Which controller a gateway gets the text of a new configuration from.

use rushcourse_routing::ConfigurationFetch;
use rushcourse_types::{ConfigurationVersion, NodeId, Timestamp};

/// A controller announces a version to a gateway that holds another one.
fn announce(fetch: &mut ConfigurationFetch, millis: u64, holder: u32, version: u64, current: u64) {
    fetch.version_announced(
        Timestamp::from_millis(millis),
        NodeId(holder),
        ConfigurationVersion(version),
        ConfigurationVersion(current),
    );
}

/// The controller that a gateway asks, of those that are connected.
fn ask_connected(
    fetch: &mut ConfigurationFetch,
    millis: u64,
    current: u64,
    is_connected: impl Fn(NodeId) -> bool,
) -> Option<NodeId> {
    let now = Timestamp::from_millis(millis);
    fetch.next_request(now, ConfigurationVersion(current), is_connected)
}

/// The controller that a gateway asks while all are connected.
fn ask(fetch: &mut ConfigurationFetch, millis: u64, current: u64) -> Option<NodeId> {
    ask_connected(fetch, millis, current, |_| true)
}

#[test]
fn a_gateway_without_a_configuration_asks_at_once_and_the_next_one_if_nothing_comes() {
    let mut fetch = ConfigurationFetch::default();
    announce(&mut fetch, 1_000, 1, 5, 0);
    announce(&mut fetch, 1_001, 2, 5, 0);
    assert_eq!(ask(&mut fetch, 1_001, 0), Some(NodeId(1)));
    assert_eq!(ask(&mut fetch, 1_200, 0), None, "its response is under way");
    assert_eq!(ask(&mut fetch, 1_301, 0), Some(NodeId(2)));
    assert_eq!(ask(&mut fetch, 1_400, 5), None, "it came");
    assert_eq!(ask(&mut fetch, 9_000, 5), None);
}

#[test]
fn a_text_that_comes_by_itself_is_not_asked_for() {
    let mut fetch = ConfigurationFetch::default();
    announce(&mut fetch, 1_000, 1, 6, 5);
    assert_eq!(
        ask(&mut fetch, 1_050, 5),
        None,
        "the primary controller sends it"
    );
    assert_eq!(ask(&mut fetch, 1_100, 6), None);
    announce(&mut fetch, 2_000, 1, 7, 6);
    assert_eq!(
        ask(&mut fetch, 2_100, 6),
        Some(NodeId(1)),
        "it did not come"
    );
}

#[test]
fn an_older_version_changes_nothing_and_a_newer_one_starts_anew() {
    let mut fetch = ConfigurationFetch::default();
    announce(&mut fetch, 1_000, 1, 7, 5);
    announce(&mut fetch, 1_050, 2, 6, 5);
    assert_eq!(
        ask(&mut fetch, 1_100, 5),
        Some(NodeId(1)),
        "the one that lags is not asked"
    );
    announce(&mut fetch, 1_150, 2, 8, 5);
    assert_eq!(ask(&mut fetch, 1_200, 5), None);
    assert_eq!(ask(&mut fetch, 1_250, 5), Some(NodeId(2)));
}

#[test]
fn a_controller_without_a_session_is_not_asked() {
    let mut fetch = ConfigurationFetch::default();
    announce(&mut fetch, 1_000, 1, 7, 0);
    announce(&mut fetch, 1_000, 2, 7, 0);
    assert_eq!(
        ask_connected(&mut fetch, 1_000, 0, |node| node == NodeId(2)),
        Some(NodeId(2))
    );
    assert_eq!(ask_connected(&mut fetch, 1_300, 0, |_| false), None);
    assert_eq!(ask(&mut fetch, 1_301, 0), Some(NodeId(1)));
}

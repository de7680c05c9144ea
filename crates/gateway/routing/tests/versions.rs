//! Where a gateway gets the text of a new configuration from.

use rushcourse_routing::VersionFetch;
use rushcourse_types::{ConfigurationVersion, NodeId};

#[test]
fn a_gateway_without_a_configuration_asks_at_once_and_the_next_one_if_nothing_comes() {
    let mut fetch = VersionFetch::default();
    fetch.named(
        1_000,
        NodeId(1),
        ConfigurationVersion(5),
        ConfigurationVersion(0),
    );
    fetch.named(
        1_001,
        NodeId(2),
        ConfigurationVersion(5),
        ConfigurationVersion(0),
    );
    assert_eq!(
        fetch.ask(1_001, ConfigurationVersion(0), |_| true),
        Some(NodeId(1))
    );
    assert_eq!(
        fetch.ask(1_200, ConfigurationVersion(0), |_| true),
        None,
        "its answer is under way"
    );
    assert_eq!(
        fetch.ask(1_301, ConfigurationVersion(0), |_| true),
        Some(NodeId(2))
    );
    assert_eq!(
        fetch.ask(1_400, ConfigurationVersion(5), |_| true),
        None,
        "it came"
    );
    assert_eq!(fetch.ask(9_000, ConfigurationVersion(5), |_| true), None);
}

#[test]
fn a_text_that_comes_by_itself_is_not_asked_for() {
    let mut fetch = VersionFetch::default();
    fetch.named(
        1_000,
        NodeId(1),
        ConfigurationVersion(6),
        ConfigurationVersion(5),
    );
    assert_eq!(
        fetch.ask(1_050, ConfigurationVersion(5), |_| true),
        None,
        "the home brings it"
    );
    assert_eq!(fetch.ask(1_100, ConfigurationVersion(6), |_| true), None);
    fetch.named(
        2_000,
        NodeId(1),
        ConfigurationVersion(7),
        ConfigurationVersion(6),
    );
    assert_eq!(
        fetch.ask(2_100, ConfigurationVersion(6), |_| true),
        Some(NodeId(1)),
        "it did not come"
    );
}

#[test]
fn an_older_version_changes_nothing_and_a_newer_one_begins_anew() {
    let mut fetch = VersionFetch::default();
    fetch.named(
        1_000,
        NodeId(1),
        ConfigurationVersion(7),
        ConfigurationVersion(5),
    );
    fetch.named(
        1_050,
        NodeId(2),
        ConfigurationVersion(6),
        ConfigurationVersion(5),
    );
    assert_eq!(
        fetch.ask(1_100, ConfigurationVersion(5), |_| true),
        Some(NodeId(1)),
        "the one that is behind is not asked"
    );
    fetch.named(
        1_150,
        NodeId(2),
        ConfigurationVersion(8),
        ConfigurationVersion(5),
    );
    assert_eq!(fetch.ask(1_200, ConfigurationVersion(5), |_| true), None);
    assert_eq!(
        fetch.ask(1_250, ConfigurationVersion(5), |_| true),
        Some(NodeId(2))
    );
}

#[test]
fn one_that_is_not_in_session_is_not_asked() {
    let mut fetch = VersionFetch::default();
    fetch.named(
        1_000,
        NodeId(1),
        ConfigurationVersion(7),
        ConfigurationVersion(0),
    );
    fetch.named(
        1_000,
        NodeId(2),
        ConfigurationVersion(7),
        ConfigurationVersion(0),
    );
    assert_eq!(
        fetch.ask(1_000, ConfigurationVersion(0), |node| node == NodeId(2)),
        Some(NodeId(2))
    );
    assert_eq!(fetch.ask(1_300, ConfigurationVersion(0), |_| false), None);
    assert_eq!(
        fetch.ask(1_301, ConfigurationVersion(0), |_| true),
        Some(NodeId(1))
    );
}

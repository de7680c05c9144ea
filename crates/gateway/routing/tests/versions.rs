//! Where a gateway gets the text of a new configuration from.

use rushcourse_routing::VersionFetch;

#[test]
fn a_gateway_without_a_configuration_asks_at_once_and_the_next_one_if_nothing_comes() {
    let mut fetch = VersionFetch::default();
    fetch.named(1_000, 1, 5, 0);
    fetch.named(1_001, 2, 5, 0);
    assert_eq!(fetch.ask(1_001, 0, |_| true), Some(1));
    assert_eq!(
        fetch.ask(1_200, 0, |_| true),
        None,
        "its answer is under way"
    );
    assert_eq!(fetch.ask(1_301, 0, |_| true), Some(2));
    assert_eq!(fetch.ask(1_400, 5, |_| true), None, "it came");
    assert_eq!(fetch.ask(9_000, 5, |_| true), None);
}

#[test]
fn a_text_that_comes_by_itself_is_not_asked_for() {
    let mut fetch = VersionFetch::default();
    fetch.named(1_000, 1, 6, 5);
    assert_eq!(fetch.ask(1_050, 5, |_| true), None, "the home brings it");
    assert_eq!(fetch.ask(1_100, 6, |_| true), None);
    fetch.named(2_000, 1, 7, 6);
    assert_eq!(fetch.ask(2_100, 6, |_| true), Some(1), "it did not come");
}

#[test]
fn an_older_version_changes_nothing_and_a_newer_one_begins_anew() {
    let mut fetch = VersionFetch::default();
    fetch.named(1_000, 1, 7, 5);
    fetch.named(1_050, 2, 6, 5);
    assert_eq!(
        fetch.ask(1_100, 5, |_| true),
        Some(1),
        "the one that is behind is not asked"
    );
    fetch.named(1_150, 2, 8, 5);
    assert_eq!(fetch.ask(1_200, 5, |_| true), None);
    assert_eq!(fetch.ask(1_250, 5, |_| true), Some(2));
}

#[test]
fn one_that_is_not_in_session_is_not_asked() {
    let mut fetch = VersionFetch::default();
    fetch.named(1_000, 1, 7, 0);
    fetch.named(1_000, 2, 7, 0);
    assert_eq!(fetch.ask(1_000, 0, |node| node == 2), Some(2));
    assert_eq!(fetch.ask(1_300, 0, |_| false), None);
    assert_eq!(fetch.ask(1_301, 0, |_| true), Some(1));
}

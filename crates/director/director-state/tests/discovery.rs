//! The discovery client: revisions, gaps, timeouts and invalid responses.

mod common;

use common::harness::Harness;
use common::platform::{all_members, list, member};
use rushcourse_director_state::Input;

fn is_withdrawn(harness: &Harness, host: &str) -> bool {
    harness
        .relay
        .orders_from(0)
        .contains(&format!("withdraw,{host}"))
}

#[test]
fn complete_list_is_followed_by_watches_from_its_revision() {
    let mut harness = Harness::with_bound_proxies();
    let paths: Vec<&str> = harness
        .discovery
        .requests
        .iter()
        .map(|fetch| fetch.path.as_str())
        .collect();
    assert_eq!(
        paths,
        ["/v1/endpoints", "/v1/endpoints?after=5&wait_ms=4000"]
    );
    harness.drain_host(9, "a1", "east");
    assert!(
        harness.discovery.latest().path.contains("after=9"),
        "the next watch is sent at once"
    );
    harness.run_for(50.0);
    assert!(is_withdrawn(&harness, "a1"));
}

#[test]
fn empty_delta_changes_nothing() {
    let mut harness = Harness::with_bound_proxies();
    let calls = harness.relay.calls.len();
    harness.change_list(5, &[]);
    assert!(harness.discovery.latest().path.contains("after=5"));
    harness.run_for(50.0);
    assert_eq!(harness.relay.calls.len(), calls);
}

#[test]
fn cached_list_is_replaced_by_the_fetched_list() {
    // Given a cached list with host a1, and a fetched list with a9 in its place.
    let mut harness = Harness::new();
    let mut members = all_members();
    members[0] = member("a9", "east", "Ready", 0.0);
    harness.discovery.list = list(40, true, &members);
    harness.start();
    // When a proxy joins, then its table holds the hosts of the fetched list.
    harness.notify("* joined 1 east 5.0 1");
    harness.run_for(100.0);
    let orders = harness.relay.orders_from(0);
    assert!(orders.iter().any(|order| order.contains(",a9,")));
    assert!(!orders.iter().any(|order| order.contains(",a1,")));
}

#[test]
fn outdated_revision_is_ignored_and_the_complete_list_requested() {
    let mut harness = Harness::with_bound_proxies();
    harness.drain_host(9, "a1", "east");
    harness.discovery.list = list(9, true, &all_members());
    harness.drain_host(7, "b1", "west");
    harness.run_for(1000.0);
    assert!(!is_withdrawn(&harness, "b1"));
    assert_eq!(harness.counter("lists_old"), 1);
    assert_eq!(harness.discovery.full_list_count(), 2);
}

#[test]
fn lower_revision_is_accepted_after_repeated_complete_lists() {
    let mut harness = Harness::with_bound_proxies();
    harness.drain_host(900, "a1", "east");
    harness.discovery.list = list(3, true, &all_members()[..3]);
    harness.change_list(2, &[]);
    harness.run_for(4000.0);
    assert!(
        is_withdrawn(&harness, "b2"),
        "the complete list with the lower revision is repeated"
    );
}

#[test]
fn repeated_revision_is_ignored() {
    let mut harness = Harness::with_bound_proxies();
    harness.drain_host(9, "a1", "east");
    harness.change_list(9, &[member("b1", "west", "Gone", 0.0)]);
    harness.run_for(100.0);
    assert!(!is_withdrawn(&harness, "b1"));
}

#[test]
fn failed_request_is_followed_by_requests_for_the_complete_list() {
    // Given a discovery service that does not answer.
    let mut harness = Harness::with_bound_proxies();
    harness.discovery.is_reachable = false;
    harness.fail_fetch("no answer within 4700 ms");
    harness.run_for(3000.0);
    // Then only the complete list is requested.
    let requests = &harness.discovery.requests;
    assert!(
        requests[2..]
            .iter()
            .all(|fetch| fetch.path == "/v1/endpoints"),
        "{requests:?}"
    );
    let attempts = requests.len();
    assert!((2..20).contains(&attempts), "{attempts} attempts");
    // When it answers again, then its list is applied and watches continue from its revision.
    harness.discovery.is_reachable = true;
    let mut members = all_members();
    members[3] = member("b2", "west", "Terminating", 0.0);
    harness.discovery.list = list(12, true, &members);
    harness.run_for(2000.0);
    assert!(is_withdrawn(&harness, "b2"));
    assert!(harness.discovery.latest().path.contains("after=12"));
}

#[test]
fn request_without_any_result_times_out() {
    let mut harness = Harness::with_bound_proxies();
    harness.discovery.is_reachable = false;
    let requests = harness.discovery.requests.len();
    harness.run_for(12_000.0);
    assert!(
        harness.discovery.requests.len() > requests + 2,
        "the pending watch timed out"
    );
}

#[test]
fn undecodable_list_is_a_failure() {
    for body in [
        "",
        "no json",
        "[]",
        "{\"revision\":-1,\"complete\":true,\"members\":[]}",
        "{\"revision\":9",
    ] {
        let mut harness = Harness::with_bound_proxies();
        harness.discovery.is_reachable = false;
        harness.answer_fetch(body);
        assert_eq!(harness.counter("lists_failed"), 1, "{body:?}");
        harness.run_for(200.0);
        assert_eq!(harness.discovery.latest().path, "/v1/endpoints", "{body:?}");
    }
}

#[test]
fn unusable_entries_do_not_affect_the_others() {
    let mut harness = Harness::with_bound_proxies();
    let members = [
        member("b1", "west", "Resting", 0.0),
        member("b2", "nowhere", "Ready", 0.0),
        "{\"id\":7}".to_string(),
        member("no,word", "west", "Ready", 0.0),
        member("a1", "east", "Terminating", 0.0),
    ];
    harness.change_list(9, &members);
    harness.run_for(100.0);
    assert!(is_withdrawn(&harness, "a1"));
    assert_eq!(harness.counter("list_entries_odd"), 4);
    assert!(
        !is_withdrawn(&harness, "b1") && !is_withdrawn(&harness, "b2"),
        "known hosts keep their state"
    );
}

#[test]
fn listed_host_with_unknown_phase_keeps_its_state() {
    let mut harness = Harness::with_bound_proxies();
    let mut members = all_members();
    members[2] = member("b1", "west", "Resting", 0.0);
    harness.answer_fetch(&list(9, true, &members));
    harness.run_for(100.0);
    assert!(
        !is_withdrawn(&harness, "b1"),
        "a listed host is not removed because of an unknown phase"
    );
}

#[test]
fn late_watch_is_replaced_by_the_complete_list() {
    // Given a process that is suspended past the end of a watch, and again before the next one.
    let mut harness = Harness::with_bound_proxies();
    harness.handle(Input::Wake);
    harness.now += 30_000.0;
    let request = harness.discovery.latest().request;
    let body = list(9, false, &[]).into();
    let effects = harness
        .session
        .step(harness.now, Input::EndpointsFetched { request, body });
    assert!(effects.is_empty());
    // When it resumes, then changes may have been missed and the complete list is requested.
    harness.now += 500.0;
    harness.handle(Input::Wake);
    assert!(
        harness.discovery.full_list_count() >= 2,
        "{:?}",
        harness.discovery.requests
    );
}

#[test]
fn host_start_times_use_the_session_clock() {
    let mut harness = Harness::with_bound_proxies();
    let before = harness.relay.calls.len();
    // When a1 is listed as started two seconds ago, then it gets a reduced weight.
    let started_at = harness.now - 2000.0;
    harness.change_list(9, &[member("a1", "east", "Ready", started_at)]);
    harness.run_for(600.0);
    let order = harness
        .relay
        .orders_from(before)
        .into_iter()
        .find(|order| order.starts_with("share,") && order.contains(",a1,"))
        .expect("its weight is set");
    let weight: f64 = order
        .rsplit(',')
        .next()
        .and_then(|weight| weight.parse().ok())
        .expect("order ends with a weight");
    assert!(weight > 0.0 && weight < 0.5, "{weight}");
}

#[test]
fn early_empty_responses_do_not_cause_a_request_loop() {
    let mut harness = Harness::with_bound_proxies();
    let before = harness.discovery.requests.len();
    for _ in 0..1000 {
        harness.change_list(5, &[]);
        harness.run_for(1.0);
    }
    let requests = harness.discovery.requests.len() - before;
    assert!(
        (5..=20).contains(&requests),
        "{requests} requests in a second"
    );
    assert_eq!(
        harness.discovery.full_list_count(),
        1,
        "each response is followed by a watch"
    );
}

//! Configuration reloads: connections to previous addresses are kept until their replacements are established, and no call
//! or notification is lost.

mod common;

use common::harness::Harness;
use common::platform::{addresses, all_members, list, member};
use common::relay::CallOutcome;
use rushcourse_director_state::{Input, RelayConnectionId, RelayLink};
use std::net::SocketAddr;

/// Creates a session with two proxies that have applied their tables, which the relay confirms to a new watch.
fn with_applied_tables() -> Harness {
    let mut harness = Harness::with_bound_proxies();
    harness.relay.joined = vec![
        "* joined 1 east 5.0 0".into(),
        "* joined 2 west 5.0 0".into(),
    ];
    harness
}

/// Requests a reload of a file with the addresses of this index.
fn reload(harness: &mut Harness, index: u16) {
    harness.config_file = Ok(addresses(index));
    harness.handle(Input::ReloadRequested);
}

/// Makes the relay reachable and establishes the latest connections of both links.
fn make_relay_reachable(harness: &mut Harness) {
    harness.relay.is_reachable = true;
    for link in [RelayLink::Watch, RelayLink::Calls] {
        let connection = harness.relay.current(link);
        harness.handle(Input::RelayConnected { connection });
    }
}

/// Runs for a number of seconds with a keep-alive of the relay after each.
fn run_for_seconds(harness: &mut Harness, seconds: usize) {
    for _ in 0..seconds {
        harness.run_for(1000.0);
        harness.notify("*");
    }
}

/// Address of the latest connection of a link.
fn last_address(harness: &Harness, link: RelayLink) -> Option<SocketAddr> {
    let latest = harness.relay.latest(link)?;
    Some(latest.address)
}

fn bind_count(harness: &Harness, proxy: u32) -> usize {
    harness.relay.bind_count(0, proxy)
}

/// Numbers of failed and successful reloads.
fn reloads(harness: &Harness) -> (u64, u64) {
    (
        harness.counter("reloads_failed"),
        harness.counter("reloads"),
    )
}

/// Reloads to a relay address that is not reachable yet; returns the watch at the previous address.
fn reload_to_unreachable_relay(harness: &mut Harness) -> RelayConnectionId {
    let previous = harness.relay.current(RelayLink::Watch);
    harness.relay.is_reachable = false;
    reload(harness, 1);
    previous
}

#[test]
fn previous_watch_is_read_until_the_new_one_is_established() {
    // Given a watch whose address changes.
    let mut harness = with_applied_tables();
    let previous = reload_to_unreachable_relay(&mut harness);
    harness.run_for(100.0);
    let latest = harness
        .relay
        .connections
        .last()
        .expect("a connection was requested");
    assert_eq!(
        (latest.id.link, latest.address),
        (RelayLink::Watch, addresses(1).relay)
    );
    // When a proxy joins meanwhile, then the join is read from the previous watch.
    harness.notify_by(previous, "* joined 3 east 5.0 1");
    harness.run_for(50.0);
    assert_eq!(
        harness.gauge("proxies_joined"),
        3.0,
        "the join was read at the previous address"
    );
}

#[test]
fn joins_and_leaves_are_read_from_the_established_new_watch_only() {
    // Given a watch established at the new address.
    let mut harness = with_applied_tables();
    let binds = bind_count(&harness, 1);
    let previous = reload_to_unreachable_relay(&mut harness);
    harness.run_for(100.0);
    harness.notify_by(previous, "* joined 3 east 5.0 1");
    harness.run_for(50.0);
    harness.relay.joined.push("* joined 3 east 5.0 1".into());
    let disconnects = harness.relay.disconnect_count(RelayLink::Watch);
    make_relay_reachable(&mut harness);
    harness.run_for(20.0);
    assert_eq!(
        harness.relay.disconnect_count(RelayLink::Watch),
        disconnects,
        "the previous watch stays open for acknowledgements"
    );
    // Joins and leaves from the previous address are ignored now.
    harness.notify_by(previous, "* left 1");
    harness.notify_by(previous, "* joined 2 west 5.0 0");
    assert_eq!(harness.gauge("proxies_joined"), 3.0);
    harness.run_for(1500.0);
    assert_eq!(
        harness.relay.disconnect_count(RelayLink::Watch),
        disconnects + 1,
        "the previous watch is closed"
    );
    harness.notify("*");
    harness.run_for(1000.0);
    assert_eq!(bind_count(&harness, 1), binds, "no proxy is rebound");
    assert_eq!(harness.counter("proxies_bound_anew"), 0);
    assert_eq!(harness.counter("news_breaks"), 0);
    assert!(
        bind_count(&harness, 3) >= 1,
        "the proxy that joined meanwhile is bound"
    );
    harness.notify("* left 2");
    assert_eq!(harness.gauge("proxies_joined"), 2.0);
}

#[test]
fn acknowledgements_are_accepted_from_both_addresses() {
    // Given a call that no proxy has acknowledged.
    let mut harness = with_applied_tables();
    let previous = harness.relay.current(RelayLink::Watch);
    harness.drain_host(6, "a1", "east");
    harness.run_for(20.0);
    let ack_number = harness.ack_number();
    assert!(harness.session.view().unacknowledged_lines > 0.0);
    // When the address changes and acknowledgements arrive from the previous one.
    reload(&mut harness, 1);
    harness.run_for(20.0);
    for proxy in [1, 2] {
        harness.notify_by(previous, &format!("* applied {proxy} {ack_number} 200.0"));
    }
    harness.run_for(20.0);
    // Then they are accepted.
    assert_eq!(harness.session.view().unacknowledged_lines, 0.0);
}

#[test]
fn previous_watch_lost_before_its_replacement_leaves_a_gap() {
    // Given a previous watch that is lost before the new one is established.
    let mut harness = with_applied_tables();
    let previous = reload_to_unreachable_relay(&mut harness);
    harness.run_for(50.0);
    harness.handle(Input::RelayDisconnected {
        connection: previous,
        reason: "closed".into(),
    });
    assert_eq!(harness.counter("news_breaks"), 1);
    harness.run_for(900.0);
    // When the new watch is established, then proxies that may have rejoined unnoticed are rebound.
    harness.relay.joined = vec!["* joined 1 east 5.0 0".into()];
    harness.relay.is_reachable = true;
    harness.run_for(2000.0);
    assert_eq!(
        harness.gauge("proxies_joined"),
        1.0,
        "a proxy that is not announced has left"
    );
    assert_eq!(harness.counter("proxies_bound_anew"), 1);
}

#[test]
fn call_in_flight_completes_at_the_previous_address() {
    // Given a call in flight.
    let mut harness = with_applied_tables();
    harness.relay.outcomes = [CallOutcome::Silence].into();
    harness.drain_host(6, "a1", "east");
    harness.run_for(5.0);
    assert!(harness.relay.is_call_open);
    let calls = harness.relay.calls.len();
    let disconnects = harness.relay.disconnect_count(RelayLink::Calls);
    // When the address changes, then the connection is kept.
    reload(&mut harness, 1);
    harness.run_for(5.0);
    assert_eq!(
        (
            harness.relay.disconnect_count(RelayLink::Calls),
            harness.relay.calls.len()
        ),
        (disconnects, calls)
    );
    // When the reply has arrived, then the next call is sent to the new address.
    harness.accept(calls - 1);
    harness.drain_host(7, "b1", "west");
    harness.run_for(300.0);
    assert_eq!(
        last_address(&harness, RelayLink::Calls),
        Some(addresses(1).relay)
    );
    assert!(
        harness.relay.calls.len() > calls
            && harness.relay.calls[calls] != harness.relay.calls[calls - 1],
        "the first call is sent only once"
    );
    assert_eq!(harness.counter("calls_repeated"), 0);
}

#[test]
fn call_with_unknown_outcome_is_resent_first_at_the_new_address() {
    // Given a call in flight while the address changes.
    let mut harness = with_applied_tables();
    harness.relay.outcomes = [CallOutcome::Silence].into();
    harness.drain_host(6, "a1", "east");
    harness.run_for(5.0);
    let calls = harness.relay.calls.len();
    reload(&mut harness, 1);
    harness.handle(Input::ReloadRequested);
    // When its connection breaks.
    harness.drain_host(7, "b1", "west");
    harness.disconnect(RelayLink::Calls);
    harness.run_for(200.0);
    // Then it is resent to the new address.
    assert_eq!(
        harness.relay.calls[calls],
        harness.relay.calls[calls - 1],
        "the same call is sent first"
    );
    assert!(
        harness.relay.calls[calls + 1..]
            .iter()
            .any(|call| call.contains("withdraw,b1"))
    );
    assert_eq!(
        last_address(&harness, RelayLink::Calls),
        Some(addresses(1).relay)
    );
}

#[test]
fn invalid_file_changes_nothing_and_is_retried() {
    // Given a partially written file.
    let mut harness = with_applied_tables();
    let (connections, lines) = (harness.relay.connections.len(), harness.log.len());
    harness.config_file = Err("config.json: EOF while parsing".into());
    harness.handle(Input::ReloadRequested);
    run_for_seconds(&mut harness, 1);
    assert_eq!(harness.relay.connections.len(), connections);
    assert_eq!(reloads(&harness), (1, 0));
    let logged = harness.log[lines..]
        .iter()
        .filter(|line| line.contains("nothing is changed"));
    assert_eq!(logged.count(), 1, "the failure is logged once");
    // When the file is complete, then it is applied without another signal.
    harness.config_file = Ok(addresses(1));
    harness.run_for(500.0);
    assert_eq!(reloads(&harness), (1, 1));
    let new = &harness.relay.connections[connections..];
    assert!(
        !new.is_empty()
            && new
                .iter()
                .all(|connection| connection.address == addresses(1).relay)
    );
}

#[test]
fn retries_of_an_invalid_file_end_until_the_next_signal() {
    let mut harness = with_applied_tables();
    harness.config_file = Err("config.json: no such file".into());
    harness.handle(Input::ReloadRequested);
    run_for_seconds(&mut harness, 20);
    harness.config_file = Ok(addresses(2));
    run_for_seconds(&mut harness, 20);
    assert_eq!(reloads(&harness), (1, 0));
    harness.handle(Input::ReloadRequested);
    assert_eq!(reloads(&harness), (1, 1));
}

#[test]
fn last_of_several_reloads_takes_effect() {
    let mut harness = Harness::new();
    reload(&mut harness, 1);
    harness.start();
    for index in [2, 3, 1, 2] {
        reload(&mut harness, index);
        harness.run_for(3.0);
    }
    harness.run_for(1200.0);
    for link in [RelayLink::Watch, RelayLink::Calls] {
        let last = last_address(&harness, link);
        assert!(
            last.is_none_or(|address| address == addresses(2).relay),
            "{link:?}"
        );
    }
    assert_eq!(harness.discovery.latest().address, addresses(2).discovery);
    harness.notify("* joined 1 east 5.0 1");
    harness.run_for(300.0);
    assert!(bind_count(&harness, 1) >= 1);
}

#[test]
fn reload_without_changes_has_no_effect() {
    let mut harness = with_applied_tables();
    let count = |harness: &Harness| {
        (
            harness.relay.connections.len(),
            harness.discovery.requests.len(),
        )
    };
    let before = count(&harness);
    reload(&mut harness, 0);
    harness.run_for(500.0);
    assert_eq!(count(&harness), before);
    assert_eq!(harness.counter("reloads"), 1);
}

#[test]
fn new_discovery_address_may_start_at_a_lower_revision() {
    // Given a list of a high revision and a pending watch.
    let mut harness = with_applied_tables();
    harness.drain_host(90, "a1", "east");
    harness.run_for(100.0);
    assert_eq!(harness.gauge("list_revision"), 90.0);
    let open = harness.discovery.latest().request;
    let requests = harness.discovery.requests.len();
    // When the address changes, then the new one is requested at once.
    harness.discovery.is_reachable = false;
    reload(&mut harness, 1);
    let asked: Vec<SocketAddr> = harness.discovery.requests[requests..]
        .iter()
        .map(|fetch| fetch.address)
        .collect();
    assert_eq!(asked, [addresses(1).discovery]);
    // The pending watch is still used until the new address has answered.
    let answer = |revision: u64, host: &str, zone: &str| Input::EndpointsFetched {
        request: open,
        body: list(revision, false, &[member(host, zone, "Terminating", 0.0)]).into(),
    };
    harness.handle(answer(91, "b1", "west"));
    harness.run_for(20.0);
    let withdrawal = "withdraw,b1".to_string();
    assert!(harness.relay.orders_from(0).contains(&withdrawal));
    // When the new address answers with a low revision, then that is accepted.
    let mut members = all_members();
    members[2] = member("b1", "west", "Terminating", 0.0);
    harness.answer_fetch(&list(3, true, &members));
    assert_eq!(harness.gauge("list_revision"), 3.0);
    harness.run_for(10.0);
    assert!(harness.discovery.latest().path.contains("after=3&"));
    // Later responses of the previous address are ignored.
    harness.handle(answer(92, "a2", "east"));
    assert_eq!(harness.gauge("list_revision"), 3.0);
    assert_eq!(
        (
            harness.counter("lists_old"),
            harness.counter("lists_failed")
        ),
        (0, 0)
    );
}

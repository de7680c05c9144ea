//! Which host a request goes to: load balancing, draining and ended hosts, outlier ejection.

use rushcourse_messages::{EndpointWeight, HostRecord, HostState};
use rushcourse_routing::{EndpointTables, HostObservation};
use rushcourse_types::{CallSequence, Millis, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;

const SERVICE: &str = "s";

fn host(id: &str, zone: &str, state: HostState) -> HostRecord {
    HostRecord {
        id: id.into(),
        service: SERVICE.into(),
        zone: zone.into(),
        address: "10.0.0.1:80".into(),
        slots: 4,
        state,
        sequence: CallSequence(1),
        warm_up: Millis(0),
        age: Millis(0),
    }
}

fn endpoint(id: &str, zone: &str) -> EndpointWeight {
    EndpointWeight {
        host: host(id, zone, HostState::Ready),
        weight: 4.0,
    }
}

/// The tables of a gateway of zone `z1`, with hosts by their ids and zones.
fn tables(hosts: &[(&str, &str)]) -> EndpointTables {
    let mut tables = EndpointTables::new("z1");
    let endpoints = hosts.iter().map(|(id, zone)| endpoint(id, zone));
    tables.replace(&SERVICE.into(), endpoints.collect());
    tables
}

/// Numbers from 0 up to 1, the same each time.
fn random_numbers() -> impl FnMut() -> f64 {
    let mut number = 0.0;
    move || {
        number = (number + 0.381_966) % 1.0;
        number
    }
}

/// The id of the host that a request goes to.
fn choose(
    tables: &mut EndpointTables,
    millis: u64,
    tried: &[Arc<str>],
    random: impl FnMut() -> f64,
) -> Option<String> {
    let now = Timestamp::from_millis(millis);
    let choice = tables.choose_host(now, SERVICE, tried, random);
    choice.map(|host| host.id.to_string())
}

fn connect_fails(tables: &mut EndpointTables, millis: u64, id: &str) {
    let now = Timestamp::from_millis(millis);
    tables.record_attempt(now, SERVICE, &id.into(), HostObservation::ConnectFailed);
}

#[test]
fn requests_spread_by_what_is_on_each_host_and_hosts_of_the_own_zone_come_first() {
    let mut tables = tables(&[("a", "z1"), ("b", "z1"), ("c", "z2")]);
    let mut random = random_numbers();
    let mut requests: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..12 {
        let id = choose(&mut tables, 0, &[], &mut random).expect("a host");
        *requests.entry(id).or_insert(0) += 1;
    }
    assert!(requests["a"] >= 4 && requests["b"] >= 4, "{requests:?}");
    assert!(
        requests["c"] >= 1 && requests["c"] <= 4,
        "of another zone, but chosen before those of the own are twice as full: {requests:?}"
    );
}

#[test]
fn a_host_that_drains_or_is_gone_gets_nothing_whatever_tables_say_later() {
    let mut tables = tables(&[("a", "z1"), ("b", "z1")]);
    tables.apply_host_states(&[host("a", "z1", HostState::Draining)]);
    assert!(!tables.is_available(SERVICE, "a") && tables.is_available(SERVICE, "b"));
    tables.apply_host_states(&[host("b", "z1", HostState::Gone)]);
    // A table that was sent before that arrives after it.
    tables.replace(
        &SERVICE.into(),
        vec![endpoint("a", "z1"), endpoint("b", "z1")],
    );
    assert_eq!(
        tables.available_hosts(SERVICE),
        [Arc::<str>::from("a")],
        "draining is taken back by newer states, the end of an incarnation is not"
    );
}

#[test]
fn a_host_that_can_not_be_connected_to_is_ejected_and_comes_back() {
    let mut tables = tables(&[("a", "z1"), ("b", "z1")]);
    connect_fails(&mut tables, 0, "a");
    let mut random = random_numbers();
    let mut chosen = |tables: &mut EndpointTables, millis| {
        choose(tables, millis, &[], &mut random).expect("a host")
    };
    assert!((0..8).all(|_| chosen(&mut tables, 100) == "b"));
    assert!((0..8).any(|_| chosen(&mut tables, 400) == "a"));
    // The only one that was not tried is chosen, ejected or not.
    connect_fails(&mut tables, 400, "a");
    assert_eq!(
        choose(&mut tables, 500, &["b".into()], &mut random).as_deref(),
        Some("a")
    );
    assert_eq!(
        choose(&mut tables, 500, &["b".into(), "a".into()], &mut random),
        None
    );
}

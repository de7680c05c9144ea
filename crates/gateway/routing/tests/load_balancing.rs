//! Host selection: load balancing, draining and gone hosts, outlier ejection.

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

/// The endpoint tables of a gateway in zone `z1`. `hosts` contains pairs of host id and zone.
fn tables(hosts: &[(&str, &str)]) -> EndpointTables {
    let mut tables = EndpointTables::new("z1");
    let endpoints = hosts.iter().map(|(id, zone)| endpoint(id, zone));
    tables.replace(&SERVICE.into(), endpoints.collect());
    tables
}

/// A deterministic sequence of values in `0.0..1.0`.
fn random_numbers() -> impl FnMut() -> f64 {
    let mut number = 0.0;
    move || {
        number = (number + 0.381_966) % 1.0;
        number
    }
}

/// Selects a host and returns its id.
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
fn requests_spread_by_active_requests_and_prefer_the_own_zone() {
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
        "host c of the other zone gets a smaller share: {requests:?}"
    );
}

#[test]
fn stale_table_does_not_restore_a_gone_host() {
    let mut tables = tables(&[("a", "z1"), ("b", "z1")]);
    tables.apply_host_states(&[host("a", "z1", HostState::Draining)]);
    assert!(!tables.is_available(SERVICE, "a") && tables.is_available(SERVICE, "b"));
    tables.apply_host_states(&[host("b", "z1", HostState::Gone)]);
    // This table was sent before the host states above but arrives after them.
    tables.replace(
        &SERVICE.into(),
        vec![endpoint("a", "z1"), endpoint("b", "z1")],
    );
    assert_eq!(
        tables.available_hosts(SERVICE),
        [Arc::<str>::from("a")],
        "a table entry ends the draining state but not the gone state"
    );
}

#[test]
fn unreachable_host_is_ejected_and_retried_later() {
    let mut tables = tables(&[("a", "z1"), ("b", "z1")]);
    connect_fails(&mut tables, 0, "a");
    let mut random = random_numbers();
    let mut chosen = |tables: &mut EndpointTables, millis| {
        choose(tables, millis, &[], &mut random).expect("a host")
    };
    assert!((0..8).all(|_| chosen(&mut tables, 100) == "b"));
    assert!((0..8).any(|_| chosen(&mut tables, 400) == "a"));
    // An ejected host is selected if all others have been tried.
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

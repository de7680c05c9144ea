//! Health checks: limits on checks in flight and waiting, and their results.

use bytes::Bytes;
use rushcourse_director_state::{Effect, HealthChecks, MAX_IN_FLIGHT, MAX_WAITING};
use rushcourse_policy::interface::{Event, HostId, HostLoad, LoadSource, Settings};

const ADDRESS: &str = "127.0.0.1:1";

fn settings(load_source: LoadSource, may_check_health: bool) -> Settings {
    Settings {
        load_source,
        may_check_health,
        ..Settings::default()
    }
}

/// Requests a check of a host that has an address.
fn request(checks: &mut HealthChecks, settings: &Settings, host: &str) -> Option<Event> {
    checks.request(settings, host.into(), Some(&ADDRESS.to_string()))
}

/// Starts all checks that may start; returns host, address and path of each.
fn start_all(
    checks: &mut HealthChecks,
    settings: &Settings,
) -> Vec<(HostId, String, &'static str)> {
    let started = std::iter::from_fn(|| checks.start_next(settings));
    started
        .map(|effect| match effect {
            Effect::CheckHealth {
                host,
                address,
                path,
                ..
            } => (host, address, path),
            other => panic!("{other:?} is not a health check"),
        })
        .collect()
}

/// Extracts from a check's event whether the host answered and with what load.
fn outcome(event: Option<Event>) -> Option<(bool, HostLoad)> {
    match event? {
        Event::HealthChecked {
            is_answered, load, ..
        } => Some((is_answered, load)),
        other => panic!("{other:?} is not a health check"),
    }
}

/// Completes a check with an HTTP status and body; returns its outcome.
fn complete(
    checks: &mut HealthChecks,
    host: &str,
    status: u16,
    body: &'static [u8],
) -> Option<(bool, HostLoad)> {
    let body = Bytes::from_static(body);
    outcome(checks.complete(host.into(), 12.0, Some(status), &body))
}

fn load(cpu_utilization: f64) -> HostLoad {
    HostLoad {
        cpu_utilization: Some(cpu_utilization),
        ..HostLoad::default()
    }
}

#[test]
fn checks_beyond_the_limits_are_unanswered() {
    // When checks of 200 hosts are requested.
    let settings = settings(LoadSource::Reports, true);
    let mut checks = HealthChecks::default();
    let (mut started, mut unanswered) = (0, 0);
    for host in 0..200 {
        let not_sent = request(&mut checks, &settings, &format!("h{host}"));
        unanswered += usize::from(not_sent.is_some());
        started += start_all(&mut checks, &settings).len();
    }
    // Then the checks beyond the limits are unanswered.
    assert_eq!(started, MAX_IN_FLIGHT);
    assert_eq!(unanswered, 200 - MAX_IN_FLIGHT - MAX_WAITING);
    // When one check completes, then the next one is started.
    assert_eq!(
        complete(&mut checks, "h3", 200, b"TEXT util=0.5"),
        Some((true, load(0.5)))
    );
    assert_eq!(
        start_all(&mut checks, &settings),
        [("h8".into(), ADDRESS.to_string(), "/status/load")]
    );
    assert_eq!(
        complete(&mut checks, "h3", 200, b""),
        None,
        "a result without a check in flight is ignored"
    );
}

#[test]
fn duplicate_unaddressed_and_disabled_checks_are_unanswered() {
    let allowed = settings(LoadSource::Unreported, true);
    let mut checks = HealthChecks::default();
    let unanswered = Some((false, HostLoad::default()));
    // A second check of the same host is not queued while the first is pending.
    assert_eq!(outcome(request(&mut checks, &allowed, "h")), None);
    let second = request(&mut checks, &allowed, "h");
    assert_eq!(outcome(second), unanswered);
    // A host without an address is not checked.
    let unknown = checks.request(&allowed, "unknown".into(), None);
    assert_eq!(outcome(unknown), unanswered);
    assert_eq!(
        start_all(&mut checks, &allowed),
        [("h".into(), ADDRESS.to_string(), "/health")]
    );
    // No host is checked if health checks are disabled.
    let forbidden = settings(LoadSource::Reports, false);
    let other = request(&mut checks, &forbidden, "other");
    assert_eq!(outcome(other), unanswered);
    assert!(start_all(&mut checks, &forbidden).is_empty());
}

#[test]
fn error_status_is_unanswered_and_invalid_load_is_ignored() {
    let settings = settings(LoadSource::Reports, true);
    let mut checks = HealthChecks::default();
    let outcomes = [
        (503, &b"TEXT util=0.1"[..]),
        (200, b"\xff\xfe"),
        (200, b"TEXT util=much"),
    ]
    .map(|(status, body)| {
        request(&mut checks, &settings, "h");
        start_all(&mut checks, &settings);
        complete(&mut checks, "h", status, body).expect("check was in flight")
    });
    assert_eq!(
        outcomes.clone().map(|(is_answered, _)| is_answered),
        [false, true, true]
    );
    assert_eq!(
        (&outcomes[1].1, &outcomes[2].1),
        (&HostLoad::default(), &HostLoad::default())
    );
}

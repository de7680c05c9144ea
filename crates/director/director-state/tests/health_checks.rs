//! Health checks: how many are in flight, how many wait, and what comes of them.

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

/// Asks for the check of a host with an address.
fn request(checks: &mut HealthChecks, settings: &Settings, host: &str) -> Option<Event> {
    checks.request(settings, host.into(), Some(&ADDRESS.to_string()))
}

/// Starts what may start: host, address and path of each.
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
            other => panic!("{other:?} is no health check"),
        })
        .collect()
}

/// Whether a check was answered, and with what load.
fn outcome(event: Option<Event>) -> Option<(bool, HostLoad)> {
    match event? {
        Event::HealthChecked {
            is_answered, load, ..
        } => Some((is_answered, load)),
        other => panic!("{other:?} is no health check"),
    }
}

/// Ends a check.
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
    // When 200 hosts are to be checked.
    let settings = settings(LoadSource::Reports, true);
    let mut checks = HealthChecks::default();
    let (mut started, mut unanswered) = (0, 0);
    for host in 0..200 {
        let not_sent = request(&mut checks, &settings, &format!("h{host}"));
        unanswered += usize::from(not_sent.is_some());
        started += start_all(&mut checks, &settings).len();
    }
    // Then few are, and the rest are not.
    assert_eq!(started, MAX_IN_FLIGHT);
    assert_eq!(unanswered, 200 - MAX_IN_FLIGHT - MAX_WAITING);
    // When one of them ends, then the next one follows.
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
        "an answer that nobody waits for is none"
    );
}

#[test]
fn duplicate_unaddressed_and_disabled_checks_are_unanswered() {
    let allowed = settings(LoadSource::Unreported, true);
    let mut checks = HealthChecks::default();
    let unanswered = Some((false, HostLoad::default()));
    // A host is checked, but not twice at once.
    assert_eq!(outcome(request(&mut checks, &allowed, "h")), None);
    let second = request(&mut checks, &allowed, "h");
    assert_eq!(outcome(second), unanswered);
    // Nor is one without an address.
    let unknown = checks.request(&allowed, "unknown".into(), None);
    assert_eq!(outcome(unknown), unanswered);
    assert_eq!(
        start_all(&mut checks, &allowed),
        [("h".into(), ADDRESS.to_string(), "/health")]
    );
    // Nor any where it is not allowed.
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
        complete(&mut checks, "h", status, body).expect("it was waited for")
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

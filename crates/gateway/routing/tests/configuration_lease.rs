//! The lease under which a gateway accepts API keys. A failure here means that a gateway accepts a revoked key longer
//! than `revocation_s` (CONFIG), or refuses all keys without need.

use rushcourse_routing::{ConfigurationLease, LeaseChange, LeaseResponse, LeaseTargets};
use rushcourse_types::{ConfigurationVersion, NodeId, Timestamp};
use std::time::Duration;

const REVOCATION: Duration = Duration::from_secs(5);
/// Granularity of the clocks and 1% of the bound.
const MARGIN: Duration = Duration::from_millis(53);
const CURRENT: ConfigurationVersion = ConfigurationVersion(7);
const PRIMARY: Option<NodeId> = Some(NodeId(1));

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// A response to the request of `sent_at` by a controller whose read began `age` before it responded.
fn response(sent_at: u64, version: u64, age: u64) -> LeaseResponse {
    LeaseResponse {
        sent_at: at(sent_at),
        version: ConfigurationVersion(version),
        age: Duration::from_millis(age),
    }
}

/// A lease of the current version whose request was sent at 10,000 ms, with a confirmation of that time.
fn held_since_10_000() -> ConfigurationLease {
    let mut lease = ConfigurationLease::new(REVOCATION);
    lease.response_received(at(10_002), CURRENT, response(10_000, 7, 0));
    lease
}

/// The last millisecond at which a lease is held, if its read began at `began_at`.
fn last_held(began_at: u64) -> u64 {
    began_at + (REVOCATION - MARGIN).as_millis() as u64 - 1
}

#[test]
fn no_lease_is_held_before_the_first_response() {
    let lease = ConfigurationLease::new(REVOCATION);
    assert!(!lease.is_held(at(1_000)));
    assert!(!lease.is_held(Timestamp::ZERO));
}

/// Guards against CONFIG: the lease has to end before the bound, counted from the start of the read.
#[test]
fn lease_ends_a_margin_before_the_bound_counted_from_the_read() {
    let lease = held_since_10_000();
    assert!(lease.is_held(at(last_held(10_000))));
    assert!(!lease.is_held(at(last_held(10_000) + 1)));

    let mut aged = ConfigurationLease::new(REVOCATION);
    aged.response_received(at(10_002), CURRENT, response(10_000, 7, 1_200));
    assert!(aged.is_held(at(last_held(8_800))));
    assert!(!aged.is_held(at(last_held(8_800) + 1)));
}

/// Guards against CONFIG: a response that took long on its way tells nothing about the time of its arrival.
#[test]
fn late_response_counts_from_the_time_of_the_request() {
    let mut lease = ConfigurationLease::new(REVOCATION);
    lease.response_received(at(14_000), CURRENT, response(10_000, 7, 0));
    assert!(lease.is_held(at(14_000)));
    assert!(!lease.is_held(at(last_held(10_000) + 1)));

    let mut later = ConfigurationLease::new(REVOCATION);
    later.response_received(at(20_000), CURRENT, response(10_000, 7, 0));
    assert!(!later.is_held(at(20_000)));
}

#[test]
fn repeated_and_reordered_responses_neither_extend_nor_shorten_the_lease() {
    let mut lease = ConfigurationLease::new(REVOCATION);
    lease.response_received(at(11_001), CURRENT, response(11_000, 7, 0));
    lease.response_received(at(11_002), CURRENT, response(10_000, 7, 0));
    for arrival in [11_003, 12_000, 15_000] {
        lease.response_received(at(arrival), CURRENT, response(11_000, 7, 0));
    }
    assert!(lease.is_held(at(last_held(11_000))));
    assert!(!lease.is_held(at(last_held(11_000) + 1)));
}

#[test]
fn renewal_extends_the_lease() {
    let mut lease = held_since_10_000();
    lease.response_received(at(11_002), CURRENT, response(11_000, 7, 300));
    assert!(lease.is_held(at(last_held(10_700))));
    assert!(!lease.is_held(at(last_held(10_700) + 1)));
}

/// A controller that lags confirms an older version; the gateway's own, higher one is committed all the same.
#[test]
fn confirmation_of_an_older_version_extends_the_lease() {
    let mut lease = ConfigurationLease::new(REVOCATION);
    lease.response_received(at(10_002), CURRENT, response(10_000, 6, 0));
    assert!(lease.is_held(at(10_002)));
}

/// Guards against CONFIG: the newer version may have revoked keys that this gateway still accepts.
#[test]
fn confirmation_of_a_newer_version_counts_once_that_version_is_applied() {
    let mut lease = held_since_10_000();
    lease.response_received(at(11_002), CURRENT, response(11_000, 9, 0));
    assert!(!lease.is_held(at(last_held(10_000) + 1)));

    lease.configuration_applied(ConfigurationVersion(8));
    assert!(!lease.is_held(at(last_held(10_000) + 1)));

    lease.configuration_applied(ConfigurationVersion(9));
    assert!(lease.is_held(at(last_held(11_000))));
    assert!(!lease.is_held(at(last_held(11_000) + 1)));
}

#[test]
fn latest_confirmation_of_the_highest_withheld_version_counts() {
    let mut lease = ConfigurationLease::new(REVOCATION);
    lease.response_received(at(10_002), CURRENT, response(10_000, 9, 0));
    lease.response_received(at(11_002), CURRENT, response(11_000, 9, 0));
    lease.response_received(at(11_003), CURRENT, response(10_500, 9, 0));
    lease.response_received(at(11_004), CURRENT, response(11_000, 8, 0));
    lease.configuration_applied(ConfigurationVersion(9));
    assert!(lease.is_held(at(last_held(11_000))));
}

/// Guards against CONFIG: the responses echo times of the process that restarted, whose clock was ahead.
#[test]
fn response_to_a_request_of_the_future_is_ignored() {
    let mut lease = ConfigurationLease::new(REVOCATION);
    lease.response_received(at(1_500), CURRENT, response(90_000, 7, 0));
    assert!(!lease.is_held(at(1_500)));
    assert!(!lease.is_held(at(90_001)));
}

#[test]
fn confirmation_older_than_the_bound_gives_nothing() {
    let mut lease = ConfigurationLease::new(REVOCATION);
    for age in [4_947, 5_000, u64::MAX] {
        lease.response_received(at(10_002), CURRENT, response(10_000, 7, age));
        assert!(!lease.is_held(at(10_002)), "{age}");
    }
}

#[test]
fn primary_controller_is_asked_each_second_while_the_lease_is_recent() {
    let mut lease = held_since_10_000();
    let primary = Some(LeaseTargets::Primary(NodeId(1)));
    assert_eq!(lease.next_request(at(10_100), PRIMARY), primary);
    assert_eq!(lease.next_request(at(10_900), PRIMARY), None);
    // The 53 ms of the margin shorten the interval to a fifth of the lease.
    assert_eq!(lease.next_request(at(11_090), PRIMARY), primary);
}

#[test]
fn all_controllers_are_asked_once_half_of_the_lease_has_passed() {
    let mut lease = held_since_10_000();
    assert_eq!(
        lease.next_request(at(12_600), PRIMARY),
        Some(LeaseTargets::AllControllers)
    );
}

#[test]
fn all_controllers_are_asked_without_a_primary() {
    let mut lease = held_since_10_000();
    assert_eq!(
        lease.next_request(at(10_100), None),
        Some(LeaseTargets::AllControllers)
    );
}

/// A change of the primary needs no action: each request goes to the primary of its time.
#[test]
fn request_goes_to_the_new_primary() {
    let mut lease = held_since_10_000();
    lease.next_request(at(10_100), PRIMARY);
    assert_eq!(
        lease.next_request(at(11_200), Some(NodeId(2))),
        Some(LeaseTargets::Primary(NodeId(2)))
    );
}

#[test]
fn without_lease_requests_go_to_all_controllers_twice_a_second() {
    let mut lease = ConfigurationLease::new(REVOCATION);
    let all = Some(LeaseTargets::AllControllers);
    assert_eq!(lease.next_request(at(1_000), PRIMARY), all);
    assert_eq!(lease.next_request(at(1_400), PRIMARY), None);
    assert_eq!(lease.next_request(at(1_500), PRIMARY), all);

    lease.controller_connected(at(1_600));
    assert_eq!(lease.next_request(at(1_600), PRIMARY), all);
}

#[test]
fn new_session_causes_no_request_while_a_lease_is_held() {
    let mut lease = held_since_10_000();
    lease.next_request(at(10_100), PRIMARY);
    lease.controller_connected(at(10_200));
    assert_eq!(lease.next_request(at(10_200), PRIMARY), None);
}

#[test]
fn changes_are_reported_once() {
    let mut lease = held_since_10_000();
    assert_eq!(lease.take_change(at(10_100)), Some(LeaseChange::Acquired));
    assert_eq!(lease.take_change(at(10_200)), None);
    assert_eq!(lease.take_change(at(20_000)), Some(LeaseChange::Lost));
    assert_eq!(lease.take_change(at(20_100)), None);
}

/// A bound below the margin can't be kept with any lease, so none is ever held.
#[test]
fn bound_below_the_margin_gives_no_lease() {
    let mut lease = ConfigurationLease::new(Duration::from_millis(2));
    lease.response_received(at(10_000), CURRENT, response(10_000, 7, 0));
    assert!(!lease.is_held(at(10_000)));
}

/// Guards against a needless loss of the lease: the response of a slow controller, which counts from an earlier time.
#[test]
fn older_confirmation_does_not_shorten_the_lease() {
    let mut lease = ConfigurationLease::new(REVOCATION);
    lease.response_received(at(11_001), CURRENT, response(11_000, 7, 0));
    lease.response_received(at(11_002), CURRENT, response(10_000, 7, 0));
    assert!(lease.is_held(at(last_held(11_000))));
}

//! Confirmations of the configuration by a controller. A failure here means that gateways hold leases that no majority
//! read supports, and accept revoked keys (CONFIG).

use rushcourse_cluster::{ConfigurationConfirmations, Confirmation};
use rushcourse_types::{ConfigurationVersion, Ticket, Timestamp};
use std::time::Duration;

const REVOCATION: Duration = Duration::from_secs(5);
const VERSION: Option<ConfigurationVersion> = Some(ConfigurationVersion(7));

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn confirmation(version: u64, age: u64) -> Option<Confirmation> {
    Some(Confirmation {
        version: ConfigurationVersion(version),
        age: Duration::from_millis(age),
    })
}

#[test]
fn there_is_no_confirmation_before_a_read_has_finished() {
    let mut confirmations = ConfigurationConfirmations::new(REVOCATION);
    assert!(confirmations.is_read_due(at(1_000)));
    confirmations.read_started(at(1_000), Ticket(1));
    assert_eq!(confirmations.newest(at(1_100)), None);
}

/// Guards against CONFIG: a version may have been acknowledged while the read was under way.
#[test]
fn age_counts_from_the_start_of_the_read() {
    let mut confirmations = ConfigurationConfirmations::new(REVOCATION);
    confirmations.read_started(at(1_000), Ticket(1));
    assert!(confirmations.read_finished(Ticket(1), VERSION));
    assert_eq!(confirmations.newest(at(1_600)), confirmation(7, 600));
}

#[test]
fn reads_start_each_half_second_one_at_a_time() {
    let mut confirmations = ConfigurationConfirmations::new(REVOCATION);
    confirmations.read_started(at(1_000), Ticket(1));
    assert!(
        !confirmations.is_read_due(at(1_900)),
        "the first is pending"
    );
    confirmations.read_finished(Ticket(1), VERSION);
    assert!(confirmations.is_read_due(at(1_900)));

    confirmations.read_started(at(1_900), Ticket(2));
    confirmations.read_finished(Ticket(2), VERSION);
    assert!(!confirmations.is_read_due(at(2_399)));
    assert!(confirmations.is_read_due(at(2_400)));
}

#[test]
fn reads_are_more_frequent_under_a_short_bound() {
    let mut confirmations = ConfigurationConfirmations::new(Duration::from_secs(1));
    confirmations.read_started(at(1_000), Ticket(1));
    confirmations.read_finished(Ticket(1), VERSION);
    assert!(confirmations.is_read_due(at(1_100)));
}

/// Guards against CONFIG: without a majority, the last confirmation must not appear to be renewed.
#[test]
fn read_without_majority_leaves_the_confirmation_to_grow_old() {
    let mut confirmations = ConfigurationConfirmations::new(REVOCATION);
    confirmations.read_started(at(1_000), Ticket(1));
    confirmations.read_finished(Ticket(1), VERSION);
    confirmations.read_started(at(2_000), Ticket(2));
    assert!(confirmations.read_finished(Ticket(2), None));
    assert_eq!(confirmations.newest(at(2_500)), confirmation(7, 1_500));
}

/// Guards against CONFIG: the result of an operator's read, or of one that was given up, has another start.
#[test]
fn results_of_other_reads_are_ignored() {
    let mut confirmations = ConfigurationConfirmations::new(REVOCATION);
    confirmations.read_started(at(1_000), Ticket(1));
    assert!(!confirmations.read_finished(Ticket(9), VERSION));

    assert!(confirmations.is_read_due(at(2_000)), "the first is lost");
    confirmations.read_started(at(2_000), Ticket(2));
    assert!(!confirmations.read_finished(Ticket(1), VERSION));
    assert_eq!(confirmations.newest(at(2_100)), None);

    assert!(confirmations.read_finished(Ticket(2), VERSION));
    assert!(!confirmations.read_finished(Ticket(2), VERSION));
    assert_eq!(confirmations.newest(at(2_100)), confirmation(7, 100));
}

#[test]
fn confirmation_before_the_first_configuration_has_no_version() {
    let mut confirmations = ConfigurationConfirmations::new(REVOCATION);
    confirmations.read_started(at(1_000), Ticket(1));
    confirmations.read_finished(Ticket(1), Some(ConfigurationVersion::NONE));
    assert_eq!(confirmations.newest(at(1_000)), confirmation(0, 0));
}

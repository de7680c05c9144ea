//! Claims of operations with aliases, written as timelines with one column per controller. `timeline/steps.rs` lists the
//! steps.

mod timeline;

use timeline::run_timeline;

/// Guards against TWICE: an operation ran again once the tenant of its API key was not known any more. Key `a` is the
/// digest of the API key.
#[test]
fn key_that_is_an_alias_of_a_claimed_operation_is_not_granted() {
    run_timeline(
        "
        0     start        start        start        start
        1500  claim:t&a:1  claim:t&a:1  claim:t&a:1  claim:t&a:1
        1600  won:t:1      .            .            .
        1700  claim:a:2    claim:a:2    claim:a:2    claim:a:2
        1800  denied:a:2   denied:a:2   denied:a:2   lost:a:2
        1900  claim:c!a:3  claim:c!a:3  claim:c!a:3  claim:c!a:3
        2000  denied:c:3   denied:c:3   denied:c:3   lost:c:3
    ",
    );
}

/// Guards against TWICE: an operation ran again once the tenant of its API key was known, as in the first configuration
/// with tenants.
#[test]
fn operation_with_an_alias_that_is_claimed_exclusively_is_not_granted() {
    run_timeline(
        "
        0     start        start        start        start
        1500  claim:c!a:1  claim:c!a:1  claim:c!a:1  claim:c!a:1
        1600  won:c:1      .            .            .
        1700  claim:t&a:2  claim:t&a:2  claim:t&a:2  claim:t&a:2
        1800  denied:t:2   denied:t:2   denied:t:2   lost:t:2
        1900  claim:b:3    claim:b:3    claim:b:3    claim:b:3
        2000  won:b:3      .            .            .
        2100  claim:u&b:4  claim:u&b:4  claim:u&b:4  claim:u&b:4
        2200  denied:u:4   denied:u:4   denied:u:4   lost:u:4
    ",
    );
}

/// Guards against tenants of which one gets the response of the other, since both had the same API key.
#[test]
fn operations_that_share_an_alias_are_both_granted_until_it_is_claimed_exclusively() {
    run_timeline(
        "
        0     start           start           start           start
        1500  claim:t&a:1     claim:t&a:1     claim:t&a:1     claim:t&a:1
        1600  won:t:1         .               .               .
        1700  claim:u&a:2     claim:u&a:2     claim:u&a:2     claim:u&a:2
        1800  won:u:2         .               .               .
        1900  withdraw:t:1    withdraw:t:1    withdraw:t:1    withdraw:t:1
        2000  claim:a:3       claim:a:3       claim:a:3       claim:a:3
        2100  denied:a:3      denied:a:3      denied:a:3      lost:a:3
        2200  withdraw:u:2    withdraw:u:2    withdraw:u:2    withdraw:u:2
        2300  claim:a:4       claim:a:4       claim:a:4       claim:a:4
        2400  won:a:4         .               .               .
    ",
    );
}

/// Guards against voters that forget the aliases of claims with their process or their disk.
#[test]
fn aliases_survive_kill_of_all_controllers_and_reach_a_voter_that_lost_its_disk() {
    run_timeline(
        "
        0     start        start        start        start
        1500  claim:t&a:1  claim:t&a:1  claim:t&a:1  .
        1600  won:t:1      .            .            .
        1700  kill         kill         kill         wipe
        2300  start        start        start        start
        6000  votes        votes        votes        votes
        6100  .            .            .            claim:a:2
        6200  .            .            .            denied:a:2
        6300  claim:a:2    claim:a:2    claim:a:2    .
        6400  denied:a:2   denied:a:2   denied:a:2   lost:a:2
    ",
    );
}

/// Guards against an alias that stays taken after the end of its claim's key window.
#[test]
fn alias_is_free_once_its_claim_has_expired() {
    run_timeline(
        "
        0      start        start        start        start
        1500   claim:t&a:1  claim:t&a:1  claim:t&a:1  claim:t&a:1
        1600   won:t:1      .            .            .
        71400  claim:a:2    claim:a:2    claim:a:2    claim:a:2
        71450  denied:a:2   denied:a:2   denied:a:2   lost:a:2
        71700  claim:a:3    claim:a:3    claim:a:3    claim:a:3
        71800  won:a:3      .            .            .
    ",
    );
}

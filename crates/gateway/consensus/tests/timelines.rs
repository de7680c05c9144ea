//! Configurations, claims and disk failures, written as timelines with one column per controller. `timeline/steps.rs`
//! lists the steps.

mod timeline;

use timeline::run_timeline;

#[test]
fn committed_configuration_is_readable_at_any_controller() {
    run_timeline(
        "
        0     start    start        start        start
        1500  put5     votes        votes        votes
        1600  acked=5  committed=5  committed=5  committed=5
        1700  .        .            .            get
        1800  .        .            .            read=5
    ",
    );
}

#[test]
fn put_without_majority_of_disks_stays_unknown() {
    run_timeline(
        "
        0     start         start        start        start
        1500  .             .            isolate      isolate
        1600  put5          .            put5         .
        1610  unknown=5     .            unknown=5    .
        2700  committed=0   committed=0  committed=0  committed=0
        2800  get           .            .            get
        3900  read=unknown  .            .            read=unknown
        4000  .             .            reconnect    .
        4500  committed=0   committed=0  committed=0  committed=0
        4600  put5          .            .            .
        4700  acked=5       committed=5  committed=5  committed=0
    ",
    );
}

#[test]
fn higher_of_two_concurrent_versions_wins_and_both_are_acknowledged() {
    run_timeline(
        "
        0     start        start        start        start
        1500  put5         put7         .            .
        1700  acked=5      acked=7      committed=7  committed=7
        1800  .            .            put6         .
        1900  committed=7  committed=7  acked=6      committed=7
    ",
    );
}

#[test]
fn acknowledged_configuration_survives_power_loss_and_wiped_disk() {
    run_timeline(
        "
        0     start    start        start  start
        1500  put5     .            .      .
        1520  acked=5  .            .      .
        1521  wipe     power        power  power
        2500  start    start        start  start
        2900  silent   votes        votes  votes
        3000  get      .            .      .
        3500  read=5   .            .      .
        5500  votes    committed=5  .      .
    ",
    );
}

#[test]
fn stalled_disk_does_not_delay_commits_and_full_disk_does_not_vote() {
    run_timeline(
        "
        0     start    start        start        start
        1500  .        .            .            stall
        1600  put5     .            .            .
        1700  acked=5  committed=5  committed=5  .
        1800  .        .            refuse       recover
        1900  put6     .            claim:k:1    .
        2000  acked=6  committed=6  denied:k:1   .
        2100  .        .            recover      .
        3000  .        .            claim:k:2    .
        3100  .        .            granted:k:2  .
    ",
    );
}

/// A seed whose disk is full from the start must not block the first voting set. It serves reads and learns new
/// versions.
#[test]
fn seed_with_full_disk_is_left_out_of_first_set() {
    run_timeline(
        "
        0     start+refuse  start         start        start
        2500  epoch=1       voters=2,3,4  votes        votes
        2600  silent        put5          .            .
        2800  committed=5   acked=5       committed=5  committed=5
        2900  get           .             .            .
        3000  read=5        .             .            .
        3100  put6          .             .            .
        3300  acked=6       committed=6   .            .
        3400  recover       .             .            .
        6000  silent        epoch=1       .            .
    ",
    );
}

/// A full disk must not reduce the number of voters permanently.
#[test]
fn voter_with_persistently_full_disk_is_replaced() {
    run_timeline(
        "
        0      start   start      start      start      .
        1500   .       .          .          .          new
        3000   .       .          .          refuse     .
        3100   .       .          .          claim:m:1  .
        5000   .       epoch=1    .          .          .
        8500   votes   epoch=2    votes      silent     votes
        8600   .       put5       .          .          .
        8800   .       acked=5    .          committed=5  .
        8900   .       .          .          get        .
        9000   .       .          .          read=5     .
    ",
    );
}

/// While two of four disks refuse writes, committed state stays readable; writes succeed once one disk recovers.
#[test]
fn without_majority_of_disks_reads_work_and_writes_wait() {
    run_timeline(
        "
        0     start        start         start         start
        1500  put5         .             .             .
        1700  acked=5      .             .             .
        1800  .            .             refuse        refuse
        1900  put6         .             claim:k:1     claim:k:1
        2600  .            .             get           .
        2700  .            get           read=5        .
        2800  .            read=5        denied:k:1    .
        3200  unknown=6    .             .             .
        3300  .            .             recover       .
        4500  claim:k:2    claim:k:2     claim:k:2     .
        4600  won:k:2      put6          .             .
        4800  committed=6  acked=6       committed=6   committed=6
    ",
    );
}

#[test]
fn key_is_granted_to_first_claim_only() {
    run_timeline(
        "
        0     start        start       start       start
        1500  claim:k:1    claim:k:1   claim:k:1   claim:k:1
        1600  won:k:1      .           .           .
        1700  claim:k:2    claim:k:2   claim:k:2   claim:k:2
        1800  denied:k:2   denied:k:2  denied:k:2  lost:k:2
        1900  claim:k:1    .           .           .
        2000  granted:k:1  .           .           .
    ",
    );
}

#[test]
fn split_vote_grants_neither_claim_until_both_withdraw() {
    run_timeline(
        "
        0     start                      start                      start                      start
        1500  claim:k:1                  claim:k:1                  claim:k:2                  claim:k:2
        1501  claim:k:2                  claim:k:2                  claim:k:1                  claim:k:1
        1600  lost:k:1+lost:k:2          .                          .                          .
        1700  withdraw:k:1+withdraw:k:2  withdraw:k:1+withdraw:k:2  withdraw:k:1+withdraw:k:2  withdraw:k:1+withdraw:k:2
        1800  claim:k:3                  claim:k:3                  claim:k:3                  claim:k:3
        1900  won:k:3                    .                          .                          .
    ",
    );
}

#[test]
fn claim_is_not_answered_before_it_is_synced() {
    run_timeline(
        "
        0     start        start      start      start
        1500  stall        .          .          .
        1600  claim:k:1    .          .          .
        1800  pending:k:1  .          .          .
        1900  power        .          .          .
        2500  start        .          .          .
        4600  silent       .          .          .
        5000  claim:k:2    claim:k:2  claim:k:2  claim:k:2
        5100  granted:k:2  won:k:2    .          .
    ",
    );
}

/// A voter that starts from a copy without a granted claim must not grant the key again. Two other voters hold the
/// claim.
#[test]
fn voter_with_older_disk_copy_does_not_vote_until_caught_up() {
    run_timeline(
        "
        0     start       start       start       start
        1500  copy        .           .           .
        2500  claim:k:1   claim:k:1   claim:k:1   .
        2600  won:k:1     put5        .           .
        3500  .           acked=5     .           .
        3600  restore     .           .           .
        3700  claim:k:2   .           .           claim:k:2
        3800  denied:k:2  .           .           granted:k:2
        5700  silent      .           .           .
        6300  votes       .           .           .
        6400  claim:k:3   claim:k:3   claim:k:3   .
        6500  denied:k:3  denied:k:3  denied:k:3  lost:k:3
    ",
    );
}

/// No other voter knows a later generation than that of the copy, so only the recovery points reveal the missing claim.
#[test]
fn disk_copy_from_just_before_a_grant_recovers_the_grant() {
    run_timeline(
        "
        0     start       start       start       start
        3000  copy        .           .           .
        3010  claim:k:1   claim:k:1   claim:k:1   .
        3020  won:k:1     .           .           .
        3030  restore     .           .           .
        3040  silent      .           .           .
        5900  votes       .           .           .
        6000  claim:k:2   claim:k:2   .           claim:k:2
        6100  denied:k:2  denied:k:2  .           lost:k:2
    ",
    );
}

/// When all voters restart, none knows the generations of the others, so all of them trust their disks and vote.
#[test]
fn voters_that_restart_together_vote_immediately() {
    run_timeline(
        "
        0     start       start       start       start
        1500  claim:k:1   claim:k:1   claim:k:1   .
        1600  power       power       power       power
        1700  start       start       start       start
        1900  votes       votes       votes       votes
        2000  claim:k:2   claim:k:2   claim:k:2   claim:k:2
        2100  denied:k:2  denied:k:2  denied:k:2  lost:k:2
    ",
    );
}

/// With one of four voters lost, a restarting voter is needed for a majority and must not wait for snapshots.
#[test]
fn voter_needed_for_majority_votes_soon_after_restart() {
    run_timeline(
        "
        0     start       start       start       start
        1500  .           .           .           wipe
        1600  power       .           .           .
        1700  start       .           .           .
        2500  votes       votes       votes       .
        2600  claim:k:1   claim:k:1   claim:k:1   .
        2700  won:k:1     .           .           .
    ",
    );
}

#[test]
fn voter_with_wiped_disk_does_not_vote_until_snapshots_are_installed() {
    run_timeline(
        "
        0     start       start       start       start
        1500  claim:k:1   claim:k:1   claim:k:1   .
        1600  won:k:1     .           .           .
        1700  wipe        .           .           .
        1800  start       .           .           .
        2000  claim:k:2   .           .           claim:k:2
        2100  denied:k:2  .           .           granted:k:2
        4500  votes       .           .           .
        4600  claim:k:3   claim:k:3   claim:k:3   .
        4700  denied:k:3  denied:k:3  denied:k:3  lost:k:3
    ",
    );
}

#[test]
fn successive_wipes_do_not_allow_a_second_grant() {
    run_timeline(
        "
        0      start       start       start       start
        1500   claim:k:1   claim:k:1   claim:k:1   .
        1600   won:k:1     .           .           .
        1700   wipe        .           .           .
        1800   start       .           .           .
        5000   votes       wipe        .           .
        5100   .           start       .           .
        8500   .           votes       wipe        .
        8600   .           .           start       .
        12000  claim:k:2   claim:k:2   claim:k:2   claim:k:2
        12100  denied:k:2  denied:k:2  denied:k:2  lost:k:2
    ",
    );
}

#[test]
fn minority_partition_cannot_win_a_claim() {
    run_timeline(
        "
        0     start      start      start      start
        1500  .          .          .          isolate
        1600  claim:k:1  claim:k:1  claim:k:1  claim:k:2
        1700  won:k:1    .          .          granted:k:2
        1800  lost:k:2   .          .          reconnect
        2000  claim:k:2  claim:k:2  claim:k:2  .
        2100  lost:k:2   .          .          .
    ",
    );
}

#[test]
fn claims_survive_kill_of_all_controllers() {
    run_timeline(
        "
        0     start       start       start       start
        1500  claim:k:1   claim:k:1   claim:k:1   claim:k:1
        1600  kill        kill        kill        kill
        2000  start       start       start       start
        2100  votes       votes       votes       votes
        2200  claim:k:2   claim:k:2   claim:k:2   claim:k:2
        2300  denied:k:2  denied:k:2  denied:k:2  denied:k:2
    ",
    );
}

#[test]
fn claim_expires_after_key_window() {
    run_timeline(
        "
        0      start      start      start      start
        1500   claim:k:1  claim:k:1  claim:k:1  claim:k:1
        60000  claim:k:2  claim:k:2  claim:k:2  claim:k:2
        60100  lost:k:2   .          .          .
        73000  claim:k:3  claim:k:3  claim:k:3  claim:k:3
        73100  won:k:3    .          .          .
    ",
    );
}

/// When two operators put different texts under one version, controllers must not commit different texts.
#[test]
fn one_of_two_texts_of_a_version_is_committed_everywhere() {
    run_timeline(
        "
        0     start        start        start        start
        1500  put5         rival5       .            .
        2300  committed=5  committed=5  committed=5  committed=5
        2400  acked=5      acked=5      .            .
        2600  .            .            .            put6
        2900  committed=6  committed=6  committed=6  acked=6
        3000  get          .            .            .
        3100  read=6       .            .            .
    ",
    );
    run_timeline(
        "
        0     start    start        start        start
        1500  .        isolate      .            .
        1600  put5     rival5       .            .
        1800  acked=5  committed=0  committed=5  committed=5
        2000  .        reconnect    .            .
        2600  .        committed=5  .            .
        2700  .        get          .            .
        2900  .        read=5       .            .
        3000  .        rival5       .            .
        3200  .        acked=5      .            .
    ",
    );
}

/// The text of a minority must not become committed after a loss of power on all machines.
#[test]
fn minority_text_of_a_version_does_not_reappear_after_power_loss() {
    run_timeline(
        "
        0     start        start        start        start
        1500  .            isolate      .            .
        1600  put5         rival5       .            .
        2000  .            reconnect    .            .
        2600  power        power        power        power
        2700  start        start        start        start
        3400  committed=5  committed=5  committed=5  committed=5
        3500  .            get          .            .
        3700  .            read=5       .            .
    ",
    );
}

/// Steps of the wall clock must not shorten the time for which a claim holds its key.
#[test]
fn claim_survives_wall_clock_steps() {
    run_timeline(
        "
        0     start        start        start        start
        1500  claim:k:1    claim:k:1    claim:k:1    claim:k:1
        2000  ahead=90000  ahead=90000  ahead=90000  ahead=90000
        2500  claim:k:2    claim:k:2    claim:k:2    claim:k:2
        2600  denied:k:2   denied:k:2   denied:k:2   denied:k:2
        2700  claim:m:1    claim:m:1    claim:m:1    claim:m:1
        3000  back=90000   back=90000   back=90000   back=90000
        3100  back=90000   back=90000   back=90000   back=90000
        3200  claim:n:1    claim:n:1    claim:n:1    claim:n:1
        4000  ahead=90000  ahead=90000  ahead=90000  ahead=90000
        4500  claim:n:2    claim:m:2    claim:n:2    claim:n:2
        4600  denied:n:2   denied:m:2   denied:n:2   denied:n:2
    ",
    );
}

/// Claims that are restored from disk start a new window, whatever the wall clock says.
#[test]
fn claim_survives_restart_with_wrong_wall_clock() {
    run_timeline(
        "
        0     start             start             start             start
        1500  claim:k:1         claim:k:1         claim:k:1         claim:k:1
        1600  kill+ahead=90000  kill+ahead=90000  kill+ahead=90000  wipe+ahead=90000
        2000  start             start             start             start
        6000  votes             votes             votes             votes
        6100  claim:k:2         claim:k:2         claim:k:2         claim:k:2
        6200  denied:k:2        denied:k:2        denied:k:2        denied:k:2
    ",
    );
}

/// Two texts of a version tie and a voter fails at any moment: one text is committed and all operators are answered
/// within a second.
#[test]
fn evenly_split_race_is_decided_although_a_voter_fails() {
    for lost_at in 15_000..15_015 {
        for lost in 0..4 {
            let row = |word: &str, of_lost: &str| {
                let cell = |k| if k == lost { of_lost } else { word };
                (0..4).map(cell).collect::<Vec<_>>().join("  ")
            };
            run_timeline(&format!(
                "
                0          start  start  start  start
                1500       .      put5   put7   .
                1700       {}
                15000      put9   rival9 put9   rival9
                {lost_at}  {}
                15900      {}
                15901      {}",
                row("committed=7", "committed=7"),
                row(".", "kill"),
                row("committed=9", "."),
                row("acked=9", "."),
            ));
        }
    }
}

/// Every controller acknowledges a put that was acknowledged before, regardless of the number of later versions.
#[test]
fn old_put_is_acknowledged_again_after_hundreds_of_versions() {
    let mut timeline = String::from(
        "
        0     start    start  start  start
        1500  put5     .      .      .
        1600  acked=5  .      .      .
        ",
    );
    for version in 6..=300 {
        let mut row = ["."; 4].map(String::from);
        row[version % 3] = format!("put{version}");
        timeline += &format!("{}  {}\n", 1_600 + version * 20, row.join("  "));
    }
    timeline += "
        7800  acked=300  .        .        committed=300
        7900  put5       put5     put5     put5
        7910  acked=5    acked=5  acked=5  acked=5
        8000  .          .        .        kill
        8100  .          .        .        start
        8101  .          .        .        put5
        8300  .          .        .        acked=5
    ";
    run_timeline(&timeline);
}

/// A returning replica gets only the newest version, and answers no read before it has that version.
#[test]
fn replica_that_missed_a_thousand_versions_catches_up_immediately() {
    let mut timeline = String::from(
        "
        0     start    start  start  start
        1500  put5     .      .      .
        1600  acked=5  .      .      kill
        ",
    );
    for version in 6..=1_005 {
        let mut row = ["."; 4].map(String::from);
        row[version % 3] = format!("put{version}");
        timeline += &format!("{}  {}\n", 1_600 + version * 20, row.join("  "));
    }
    timeline += "
        22000  .  committed=1005  .                            start
        22001  .  .               .                            get
        22300  .  .               .                            committed=1005+read=1005
        22400  .  .               isolate                      .
        22500  .  put1006         .                            .
        22600  .  acked=1006      get                          .
        23600  .  .               read=unknown+committed=1005  .
    ";
    run_timeline(&timeline);
}

//! Timelines of controllers, one column each. The steps of a cell stand in `timeline/steps.rs`.

mod timeline;

use timeline::play;

#[test]
fn a_configuration_is_acknowledged_and_read_back_at_any_controller() {
    play(
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
fn nothing_is_acknowledged_by_half_of_the_disks() {
    play(
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
fn the_higher_of_two_versions_at_once_holds_and_the_lower_is_acknowledged_too() {
    play(
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
fn what_was_acknowledged_outlives_power_and_a_wiped_disk() {
    play(
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
fn a_stalled_disk_delays_nobody_and_a_full_one_casts_no_vote() {
    play(
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

/// The seed that would propose the first set has a full disk from the start on: the next one proposes it, without the
/// first. That one serves reads all the same, and knows each later version.
#[test]
fn a_seed_with_a_full_disk_leaves_the_first_set_to_the_next() {
    play(
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

/// Nobody watches at night: a disk that stays full is no reason to go on with one voter less.
#[test]
fn a_voter_whose_disk_stays_full_is_replaced() {
    play(
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

/// Two of four disks refuse: no majority can hold anything new. What is held is read, at a full one too, and all goes on
/// once one of them takes writes.
#[test]
fn with_too_few_disks_reads_go_on_and_writes_wait() {
    play(
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
fn a_key_goes_to_its_first_claimant_and_to_no_other() {
    play(
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
fn two_at_once_split_the_votes_and_neither_wins_until_both_withdraw() {
    play(
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
fn no_answer_leaves_before_its_claim_is_synced() {
    play(
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

/// The copy lacks a claim that the voter granted, and an order that it voted for. Two voters have the claim: it is denied
/// though the one with the older disk is asked, and that one knows of it before it votes again.
#[test]
fn a_voter_with_an_older_copy_of_its_disk_is_silent_until_it_has_what_it_lacks() {
    play(
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

/// The copy is so young that no other voter has heard of a later generation: what came to them since says what it lacks.
#[test]
fn a_copy_made_just_before_a_grant_does_not_forget_it() {
    play(
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

/// All voters start anew, and nobody knows the others' generations: disks are trusted, and all vote at once.
#[test]
fn voters_that_start_together_vote_at_once() {
    play(
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

/// Two of four are lost: the two others and one that comes back are the majority, so it does not wait.
#[test]
fn a_voter_without_which_there_is_no_majority_votes_soon_after_its_start() {
    play(
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
fn a_voter_that_lost_its_disk_is_silent_until_it_has_snapshots() {
    play(
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
fn one_wipe_after_the_other_lets_no_second_run() {
    play(
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
fn a_minority_side_grants_but_never_a_majority() {
    play(
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
fn all_killed_at_once_come_back_with_their_claims() {
    play(
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
fn a_claim_expires_after_its_window() {
    play(
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

/// Two operators put different texts under one version at the same time. One of them is committed at all controllers,
/// or neither is until a higher version comes; both are acknowledged only if the other changed nothing.
#[test]
fn of_two_texts_of_one_version_one_is_committed_everywhere() {
    play(
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
    play(
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

/// The minority's text does not come back after a loss of power: its disk holds the one that is committed.
#[test]
fn the_text_of_a_minority_under_the_same_version_is_gone_for_good() {
    play(
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

/// How long a key is bound is not told by the time of day: it may step, ahead or back, and return.
#[test]
fn a_claim_outlives_steps_of_the_time_of_day() {
    play(
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

/// A restart with a time of day that is far ahead: claims that the disk held count as new.
#[test]
fn a_claim_outlives_a_restart_under_a_wrong_time_of_day() {
    play(
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

/// Two texts of one version at the same moment, and a voter is lost just then: one of them is committed everywhere, and
/// both operators have their answer inside a second.
#[test]
fn a_race_that_splits_evenly_ends_though_a_voter_is_lost() {
    for lost_at in 15_000..15_015 {
        for lost in 0..4 {
            let row = |word: &str, of_lost: &str| {
                let cell = |k| if k == lost { of_lost } else { word };
                (0..4).map(cell).collect::<Vec<_>>().join("  ")
            };
            play(&format!(
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

/// A put that was acknowledged is acknowledged again at any controller, however many versions came since.
#[test]
fn an_old_put_is_acknowledged_again_after_hundreds_of_versions() {
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
    play(&timeline);
}

/// A replica that was away for a thousand changes has the newest a moment after its return, and serves no read before.
#[test]
fn a_replica_that_missed_a_thousand_changes_catches_up_at_once() {
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
    play(&timeline);
}

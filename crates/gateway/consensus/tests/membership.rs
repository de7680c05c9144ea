//! Timelines of a voting set that changes, one column a replica. The steps of a cell stand in `timeline/steps.rs`.

mod timeline;

use timeline::play;

/// The fourth replica is gone for good, an empty one comes; then the next loss is tolerated, and nothing is lost.
#[test]
fn a_replacement_votes_before_the_next_loss() {
    play(
        "
        0     start           start        start        start      .
        1500  claim:k:1       claim:k:1    .            claim:k:1  .
        1510  won:k:1         .            .            .          .
        1600  put5            .            .            .          .
        1700  acked=5         .            .            wipe       .
        2700  .               .            .            .          new
        6700  voters=1,2,3,5  epoch=2      votes        .          votes
        6800  wipe            .            .            .          .
        6900  .               claim:k:2    claim:k:2    .          claim:k:2
        7000  .               lost:k:2     .            .          denied:k:2
        7100  .               .            .            .          put6
        7200  .               committed=6  committed=6  .          acked=6
        7300  .               .            .            .          claim:m:3
        7310  .               claim:m:3    claim:m:3    .          .
        7400  .               won:m:3      .            .          .
    ",
    );
}

/// Four replacements, one after the other: none of the first members is left, and all is still there.
#[test]
fn four_replacements_in_turn_keep_what_was_acknowledged() {
    play(
        "
        0      start      start      start      start  .            .           .            .
        1500   claim:k:1  claim:k:1  claim:k:1  .      .            .           .            .
        1600   put5       .          .          .      .            .           .            .
        1700   acked=5    .          .          .      .            .           .            .
        2000   wipe       .          .          .      .            .           .            .
        3000   .          .          .          .      new          .           .            .
        12000  .          wipe       .          .      .            .           .            .
        13000  .          .          .          .      .            new         .            .
        22000  .          .          wipe       .      .            .           .            .
        23000  .          .          .          .      .            .           new          .
        32000  .          .          .          wipe   .            .           .            .
        33000  .          .          .          .      .            .           .            new
        37000  .          .          .          .      epoch=5      votes       votes        votes+voters=5,6,7,8
        37100  .          .          .          .      claim:k:2    claim:k:2   claim:k:2    claim:k:2
        37200  .          .          .          .      denied:k:2   denied:k:2  denied:k:2   denied:k:2
        37300  .          .          .          .      get          put6        .            .
        37500  .          .          .          .      committed=6  acked=6     committed=6  committed=6
        37600  .          .          .          .      .            .           .            get
        37700  .          .          .          .      .            .           .            read=6
    ",
    );
}

/// After each replacement a voter loses its disk as well.
#[test]
fn a_wipe_after_a_replacement_is_tolerated() {
    play(
        "
        0      start      start       start      start      .           .
        1500   claim:k:1  claim:k:1   claim:k:1  .          .           .
        1600   put5       .           .          .          .           .
        2000   wipe       .           .          .          .           .
        3000   .          .           .          .          new         .
        7000   .          .           .          votes      votes       .
        7100   .          wipe        .          .          .           .
        7600   .          start       .          .          .           .
        7700   .          claim:k:2   claim:k:2  claim:k:2  claim:k:2   .
        7800   .          lost:k:2    .          .          .           .
        11600  .          votes       votes      votes      votes       .
        12000  .          .           wipe       .          .           .
        13000  .          .           .          .          .           new
        17000  .          votes       .          votes      votes       votes
        17100  .          claim:k:3   .          claim:k:3  claim:k:3   claim:k:3
        17200  .          denied:k:3  .          .          denied:k:3  denied:k:3
        17300  .          get         .          .          .           .
        17400  .          read=5      .          .          .           .
    ",
    );
}

/// A voter that is absent for a short time keeps its place, though a standby is there.
#[test]
fn a_short_absence_changes_nothing() {
    play(
        "
        0     start    start    start    start      .
        1500  .        .        .        .          new
        3000  .        .        .        isolate    .
        5200  .        .        .        reconnect  .
        9000  epoch=1  epoch=1  epoch=1  epoch=1    epoch=1
        9100  .        .        .        votes      silent
    ",
    );
}

/// One that is absent for long is replaced. It comes back as a standby, casts no vote, and becomes a member when it is needed.
#[test]
fn a_voter_that_was_absent_for_long_comes_back_as_a_standby() {
    play(
        "
        0      start           start      start      start           .
        1500   .               .          .          .               new
        3000   .               .          .          isolate         .
        6500   epoch=2         epoch=2    epoch=2    epoch=1         votes
        6600   claim:k:1       claim:k:1  .          claim:k:2       claim:k:1
        6700   won:k:1         .          .          lost:k:2        .
        7000   .               .          .          reconnect       .
        7500   .               .          .          silent+epoch=2  .
        7600   .               .          .          claim:k:2       .
        7700   .               .          .          denied:k:2      .
        8000   .               wipe       .          .               .
        12000  voters=1,3,4,5  .          .          votes           .
        12100  .               .          claim:k:3  claim:k:3       claim:k:3
        12200  .               .          lost:k:3   denied:k:3      denied:k:3
    ",
    );
}

/// One that shuts down while a standby is there is replaced at once.
#[test]
fn a_voter_that_shuts_down_is_replaced_at_once() {
    play(
        "
        0     start           start      start      start      .
        1500  claim:k:1       claim:k:1  .          claim:k:1  new
        3000  .               .          .          shutdown   .
        3900  voters=1,2,3,5  .          .          silent     epoch=2
        3950  .               .          .          kill       .
        4500  .               .          .          .          votes
        4600  wipe            .          .          .          .
        4700  .               claim:k:2  claim:k:2  .          claim:k:2
        4800  .               lost:k:2   .          .          denied:k:2
    ",
    );
}

/// Grants of the old set and of the new one never add up.
#[test]
fn votes_of_two_epochs_do_not_add_up() {
    play(
        "
        0     start        start    start        start        .
        1500  .            .        .            .            new
        3000  .            .        .            isolate      .
        3100  claim:k:1    .        .            claim:k:1    .
        6500  epoch=2      epoch=2  epoch=2      epoch=1      votes
        6600  .            .        claim:k:1    claim:k:1    .
        6700  granted:k:1  .        granted:k:1  granted:k:1  .
        6800  lost:k:1     .        .            .            .
    ",
    );
}

/// All lose power in the middle of a change: it is made, or as if it had not begun; nothing is lost.
#[test]
fn a_loss_of_power_in_the_middle_of_a_change_is_tolerated() {
    for at in [
        5_460, 5_470, 5_480, 5_490, 5_500, 5_510, 5_520, 5_530, 5_540, 5_550, 5_560, 5_600,
    ] {
        let timeline = "
        0      start      start       start       start  .
        1500   claim:k:1  claim:k:1   claim:k:1   .      .
        1600   put5       .           .           .      .
        2000   .          .           .           .      new
        3000   .          .           .           wipe   .
        AT     power      power       power       .      power
        6000   start      start       start       .      start
        12000  epoch=2    votes       votes       .      votes
        12100  get        claim:k:2   claim:k:2   .      claim:k:2
        12200  read=5     denied:k:2  denied:k:2  .      denied:k:2
        ";
        play(&timeline.replace("AT", &at.to_string()));
    }
}

/// With five voters two may go at once; their places are taken one after the other.
#[test]
fn two_replacements_at_once_are_tolerated_by_five() {
    play(
        "
        0     start      start      start                     start      start        .           .
        1500  claim:k:1  claim:k:1  claim:k:1                 .          .            .           .
        1600  put5       .          .                         .          .            .           .
        3000  wipe       wipe       .                         .          .            .           .
        4000  .          .          .                         .          .            new         new
        9000  .          .          epoch=3+voters=3,4,5,6,7  votes      votes        votes       votes
        9100  .          .          wipe                      .          .            .           .
        9200  .          .          .                         claim:k:2  claim:k:2    claim:k:2   claim:k:2
        9300  .          .          .                         lost:k:2   granted:k:2  denied:k:2  denied:k:2
        9400  .          .          .                         get        .            .           .
        9500  .          .          .                         read=5     .            .           .
    ",
    );
}

/// A standby that comes while another voter is isolated waits for a majority, and is brought up to date once there is one.
#[test]
fn a_replacement_during_a_partition_waits_for_a_majority() {
    play(
        "
        0      start           start      start      start  .
        1500   claim:k:1       claim:k:1  claim:k:1  .      .
        3000   .               .          .          wipe   .
        3500   .               .          isolate    .      new
        9000   epoch=1         epoch=1    epoch=1    .      silent
        9100   .               .          reconnect  .      .
        13000  voters=1,2,3,5  votes      votes      .      votes
        13100  .               claim:k:2  claim:k:2  .      claim:k:2
        13200  .               lost:k:2   .          .      denied:k:2
    ",
    );
}

/// An older state of a disk: it had been replaced meanwhile, and its set is long past.
#[test]
fn a_member_of_an_old_set_that_comes_back_casts_no_vote() {
    play(
        "
        0      start                   start      start           start           .          .
        1500   .                       .          .               .               new        new
        3000   .                       .          .               kill            .          .
        7000   .                       .          kill            .               .          .
        11000  epoch=3+voters=1,2,5,6  .          .               .               votes      votes
        11100  claim:k:1               claim:k:1  .               .               claim:k:1  .
        11200  won:k:1                 .          .               .               .          .
        11300  .                       .          start           start           .          .
        11400  .                       .          claim:k:2       claim:k:2       .          .
        11500  .                       .          denied:k:2      denied:k:2      .          .
        12000  .                       .          silent+epoch=3  silent+epoch=3  .          .
    ",
    );
}

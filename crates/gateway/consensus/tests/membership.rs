//! Changes of the voting set, written as timelines with one column per replica. `timeline/steps.rs` lists the steps.

mod timeline;

use timeline::run_timeline;

/// After an empty controller has replaced a lost voter, the loss of another voter loses no claim or configuration.
#[test]
fn replacement_votes_before_next_loss() {
    run_timeline(
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

/// State is handed on through four replacements, until no member of the first voting set is left.
#[test]
fn acknowledged_state_survives_four_successive_replacements() {
    run_timeline(
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

/// A voter may lose its disk after each replacement without losing a claim.
#[test]
fn wiped_disk_after_replacement_is_tolerated() {
    run_timeline(
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

/// A voter that returns within the absence limit must not be replaced although a standby is connected.
#[test]
fn short_absence_does_not_change_voting_set() {
    run_timeline(
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

/// A replaced voter must not vote in its old voting set, and can rejoin when another member is lost.
#[test]
fn voter_returns_as_standby_after_long_absence() {
    run_timeline(
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

/// A voter that announces its shutdown is replaced without waiting for the absence limit.
#[test]
fn voter_that_shuts_down_is_replaced_immediately() {
    run_timeline(
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

/// A claim is not won by grants that were given under different voting sets.
#[test]
fn grants_of_two_epochs_are_not_combined() {
    run_timeline(
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

/// A power loss at any point of a voting set change must not lose claims or configurations, or block the change.
#[test]
fn power_loss_during_voting_set_change_is_tolerated() {
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
        run_timeline(&timeline.replace("AT", &at.to_string()));
    }
}

/// Five voters tolerate the loss of two at once, and of a third one after both were replaced.
#[test]
fn five_voters_tolerate_two_simultaneous_losses() {
    run_timeline(
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

/// Without a majority a standby must not join; it joins and catches up once the partition heals.
#[test]
fn replacement_during_partition_waits_for_majority() {
    run_timeline(
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

/// Members that return with the disk of an old voting set must not vote.
#[test]
fn returning_member_of_old_set_does_not_vote() {
    run_timeline(
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

/// A read that a former voter starts in its old voting set is answered in the new one, with the version committed there.
/// Guards against CONFIG: leases of gateways rest on such reads.
#[test]
fn read_of_a_replaced_voter_returns_the_version_of_the_new_set() {
    run_timeline(
        "
        0      start        start        start             .
        3000   .            .            .                 new
        4000   .            .            isolate           .
        9000   epoch=2      voters=1,2,4 epoch=1           votes
        9100   put5         .            .                 .
        9200   acked=5      committed=5  get               committed=5
        10200  .            .            read=unknown      .
        10300  .            .            reconnect+get     .
        10400  .            .            read=5+epoch=2    .
    ",
    );
}

/// Guards against TWICE: a learner that was sent two claims of a key kept the first only, and had none once that one was
/// withdrawn. Gateway 2 loses its claim and is suspended before it withdraws it.
#[test]
fn learner_does_not_forget_the_claim_of_the_majority_with_a_lost_claim() {
    run_timeline(
        "
        0      start         start           start      start      start      .
        1500   .             .               .          .          .          new
        3000   claim:k:2     .               .          .          .          .
        3100   .             .               claim:k:1  claim:k:1  claim:k:1  .
        3200   won:k:1       .               .          .          .          .
        3300   .             .               .          .          kill       .
        12000  epoch=2       voters=1,2,3,4,6  .        .          .          votes
        12100  withdraw:k:2  .               .          .          .          withdraw:k:2
        12300  claim:k:3     claim:k:3       .          .          .          claim:k:3
        12500  lost:k:3      .               .          .          .          .
    ",
    );
}

/// Guards against a learner that keeps one of two claims of a key on its disk, and frees the key after a restart.
#[test]
fn key_with_two_claims_stays_held_by_a_learner_that_restarts() {
    run_timeline(
        "
        0      start         start           start      start      start      .
        1500   .             .               .          .          .          new
        3000   claim:k:2     .               .          .          .          .
        3100   .             .               claim:k:1  claim:k:1  claim:k:1  .
        3300   .             .               .          .          kill       .
        12000  epoch=2       voters=1,2,3,4,6  .        .          .          votes
        12100  .             .               .          .          .          power
        12600  .             .               .          .          .          start
        16000  votes         votes           votes      votes      .          votes
        16100  withdraw:k:2  .               .          .          .          withdraw:k:2
        16200  .             .               .          .          .          withdraw:k:1
        16300  claim:k:3     claim:k:3       .          .          .          claim:k:3
        16500  lost:k:3      .               .          .          .          abstained:k:3
    ",
    );
}

/// Guards against a learner that frees a key with two claims when the older of them expires, 70 s after it was made.
#[test]
fn key_with_two_claims_is_held_by_a_learner_until_both_have_expired() {
    run_timeline(
        "
        0      start      start             start      start  start  .
        1500   .          .                 .          .      .      new
        3000   claim:k:1  .                 claim:m:1  .      .      .
        3300   .          .                 .          .      kill   .
        3400   claim:m:2  .                 claim:k:2  .      .      .
        12000  epoch=2    voters=1,2,3,4,6  .          .      .      votes
        73200  .          .                 .          .      .      claim:k:3+claim:m:3
        73300  .          .                 .          .      .      abstained:k:3+abstained:m:3
        73600  .          .                 .          .      .      claim:k:4+claim:m:4
        73700  .          .                 .          .      .      granted:k:4+granted:m:4
    ",
    );
}

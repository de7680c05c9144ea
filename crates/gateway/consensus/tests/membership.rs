//! Timelines of a voting set that changes, one column a replica. The words of a cell stand in `world/mod.rs`.

mod world;
use world::play;

/// The fourth replica is gone for good, an empty one comes; then the next loss is borne, and nothing is forgotten.
#[test]
fn a_replacement_votes_before_the_next_loss() {
    play(
        "
        0     start      start      start      start      .
        1500  claim:k:1  claim:k:1  .          claim:k:1  .
        1510  won:k:1    .          .          .          .
        1600  put5       .          .          .          .
        1700  acked=5    .          .          wipe       .
        2700  .          .          .          .          new
        6700  voters=1,2,3,5  set=2  votes     .          votes
        6800  wipe       .          .          .          .
        6900  .          claim:k:2  claim:k:2  .          claim:k:2
        7000  .          lost:k:2   .          .          no:k:2
        7100  .          .          .          .          put6
        7200  .          force=6    force=6    .          acked=6
        7300  .          .          .          .          claim:m:3
        7310  .          claim:m:3  claim:m:3  .          .
        7400  .          won:m:3    .          .          .
    ",
    );
}

/// Four replacements, one after the other: none of the first members is left, and all is still held.
#[test]
fn four_replacements_in_turn_keep_what_was_acknowledged() {
    play(
        "
        0      start      start      start      start      .      .      .      .
        1500   claim:k:1  claim:k:1  claim:k:1  .          .      .      .      .
        1600   put5       .          .          .          .      .      .      .
        1700   acked=5    .          .          .          .      .      .      .
        2000   wipe       .          .          .          .      .      .      .
        3000   .          .          .          .          new    .      .      .
        12000  .          wipe       .          .          .      .      .      .
        13000  .          .          .          .          .      new    .      .
        22000  .          .          wipe       .          .      .      .      .
        23000  .          .          .          .          .      .      new    .
        32000  .          .          .          wipe       .      .      .      .
        33000  .          .          .          .          .      .      .      new
        37000  .          .          .          .          set=5  votes  votes  votes+voters=5,6,7,8
        37100  .          .          .          .          claim:k:2  claim:k:2  claim:k:2  claim:k:2
        37200  .          .          .          .          no:k:2  no:k:2  no:k:2  no:k:2
        37300  .          .          .          .          get    put6   .      .
        37500  .          .          .          .          force=6  acked=6  force=6  force=6
        37600  .          .          .          .          .      .      .      get
        37700  .          .          .          .          .      .      .      read=6
    ",
    );
}

/// After each replacement a voter loses its disk as well.
#[test]
fn a_wipe_after_a_replacement_is_borne() {
    play(
        "
        0      start      start      start      start      .          .
        1500   claim:k:1  claim:k:1  claim:k:1  .          .          .
        1600   put5       .          .          .          .          .
        2000   wipe       .          .          .          .          .
        3000   .          .          .          .          new        .
        7000   .          .          .          votes      votes      .
        7100   .          wipe       .          .          .          .
        7600   .          start      .          .          .          .
        7700   .          claim:k:2  claim:k:2  claim:k:2  claim:k:2  .
        7800   .          lost:k:2   .          .          .          .
        11600  .          votes      votes      votes      votes      .
        12000  .          .          wipe       .          .          .
        13000  .          .          .          .          .          new
        17000  .          votes      .          votes      votes      votes
        17100  .          claim:k:3  .          claim:k:3  claim:k:3  claim:k:3
        17200  .          no:k:3     .          .          no:k:3     no:k:3
        17300  .          get        .          .          .          .
        17400  .          read=5     .          .          .          .
    ",
    );
}

/// A voter that is away for a short time keeps its place, though a spare is there.
#[test]
fn a_short_absence_changes_nothing() {
    play(
        "
        0     start  start  start  start  .
        1500  .      .      .      .      new
        3000  .      .      .      cut    .
        5200  .      .      .      join   .
        9000  set=1  set=1  set=1  set=1  set=1
        9100  .      .      .      votes  mute
    ",
    );
}

/// One that is away for long is replaced. It comes back as a spare, casts no vote, and is taken in when it is needed.
#[test]
fn a_voter_that_was_out_for_long_comes_back_as_a_spare() {
    play(
        "
        0      start  start  start  start      .
        1500   .      .      .      .          new
        3000   .      .      .      cut        .
        6500   set=2  set=2  set=2  set=1      votes
        6600   claim:k:1  claim:k:1  .  claim:k:2  claim:k:1
        6700   won:k:1  .    .      lost:k:2   .
        7000   .      .      .      join       .
        7500   .      .      .      mute+set=2  .
        7600   .      .      .      claim:k:2  .
        7700   .      .      .      no:k:2     .
        8000   .      wipe   .      .          .
        12000  voters=1,3,4,5  .  .  votes     .
        12100  .      .      claim:k:3  claim:k:3  claim:k:3
        12200  .      .      lost:k:3  no:k:3  no:k:3
    ",
    );
}

/// One that ends on purpose while a spare is there is replaced at once.
#[test]
fn a_voter_that_leaves_hands_over_at_once() {
    play(
        "
        0     start  start  start  start      .
        1500  claim:k:1  claim:k:1  .  claim:k:1  new
        3000  .      .      .      leave      .
        3900  voters=1,2,3,5  .  .  mute      set=2
        3950  .      .      .      kill       .
        4500  .      .      .      .          votes
        4600  wipe   .      .      .          .
        4700  .      claim:k:2  claim:k:2  .  claim:k:2
        4800  .      lost:k:2   .      .      no:k:2
    ",
    );
}

/// Grants of the old set and of the new one never add up.
#[test]
fn votes_of_two_epochs_do_not_add_up() {
    play(
        "
        0     start      start  start      start      .
        1500  .          .      .          .          new
        3000  .          .      .          cut        .
        3100  claim:k:1  .      .          claim:k:1  .
        6500  set=2      set=2  set=2      set=1      votes
        6600  .          .      claim:k:1  claim:k:1  .
        6700  yes:k:1    .      yes:k:1    yes:k:1    .
        6800  lost:k:1   .      .          .          .
    ",
    );
}

/// All lose power in the middle of a change: it is finished, or as if it had not begun; nothing is forgotten.
#[test]
fn a_loss_of_power_in_the_middle_of_a_change_is_borne() {
    for at in [
        5_460, 5_470, 5_480, 5_490, 5_500, 5_510, 5_520, 5_530, 5_540, 5_550, 5_560, 5_600,
    ] {
        let timeline = "
        0     start      start      start      start  .
        1500  claim:k:1  claim:k:1  claim:k:1  .      .
        1600  put5       .          .          .      .
        2000  .          .          .          .      new
        3000  .          .          .          wipe   .
        AT    power      power      power      .      power
        6000  start      start      start      .      start
        12000  set=2     votes      votes      .      votes
        12100  get       claim:k:2  claim:k:2  .      claim:k:2
        12200  read=5    no:k:2     no:k:2     .      no:k:2
        ";
        play(&timeline.replace("AT", &at.to_string()));
    }
}

/// With five voters two may go at once; their places are taken one after the other.
#[test]
fn two_replacements_at_once_are_borne_by_five() {
    play(
        "
        0      start      start      start      start  start  .      .
        1500   claim:k:1  claim:k:1  claim:k:1  .      .      .      .
        1600   put5       .          .          .      .      .      .
        3000   wipe       wipe       .          .      .      .      .
        4000   .          .          .          .      .      new    new
        9000   .          .          set=3+voters=3,4,5,6,7  votes  votes  votes  votes
        9100   .          .          wipe       .      .      .      .
        9200   .          .          .          claim:k:2  claim:k:2  claim:k:2  claim:k:2
        9300   .          .          .          lost:k:2   yes:k:2    no:k:2     no:k:2
        9400   .          .          .          get        .      .      .
        9500   .          .          .          read=5     .      .      .
    ",
    );
}

/// A replacement that comes while another voter is cut off waits for a majority, and is taught once there is one.
#[test]
fn a_replacement_during_a_cut_waits_for_a_majority() {
    play(
        "
        0      start      start      start      start  .
        1500   claim:k:1  claim:k:1  claim:k:1  .      .
        3000   .          .          .          wipe   .
        3500   .          .          cut        .      new
        9000   set=1      set=1      set=1      .      mute
        9100   .          .          join       .      .
        13000  voters=1,2,3,5  votes  votes     .      votes
        13100  .          claim:k:2  claim:k:2  .      claim:k:2
        13200  .          lost:k:2   .          .      no:k:2
    ",
    );
}

/// An older state of a disk: it had been replaced meanwhile, and its set is long past.
#[test]
fn a_member_of_an_old_set_that_comes_back_has_no_say() {
    play(
        "
        0      start      start      start      start  .      .
        1500   .          .          .          .      new    new
        3000   .          .          .          kill   .      .
        7000   .          .          kill       .      .      .
        11000  set=3+voters=1,2,5,6  .  .       .      votes  votes
        11100  claim:k:1  claim:k:1  .          .      claim:k:1  .
        11200  won:k:1    .          .          .      .      .
        11300  .          .          start      start  .      .
        11400  .          .          claim:k:2  claim:k:2  .  .
        11500  .          .          no:k:2     no:k:2  .     .
        12000  .          .          mute+set=3  mute+set=3  .  .
    ",
    );
}

//! The usage duty, written as timelines with one column per controller. `timeline/steps.rs` lists the steps. Every
//! timeline checks that all controllers learn the same state at a position, that a fence has one holder, and that a
//! window is settled once.

mod timeline;

use timeline::run_timeline;

/// Guards against the loss of a chosen state: it survives the loss of power everywhere and of the proposer's disk.
#[test]
fn chosen_duty_state_survives_power_loss_and_wiped_disk() {
    run_timeline(
        "
        0     start                 start                 start                 start
        1500  takeover              .                     .                     .
        1600  window7               .                     .                     .
        1620  duty=2+settled=7      .                     .                     .
        1621  wipe                  power                 power                 power
        2500  start                 start                 start                 start
        6000  votes                 votes                 votes                 votes
        6100  duty=2+settled=7      duty=2+holder=1       duty=2+fence=1        duty=2+settled=7
        6200  .                     window8               .                     .
        6300  duty=3+settled=8      duty=3+holder=1       duty=3+fence=1        duty=3
    ",
    );
}

/// Guards against a vote that counts before it is on disk: a state that a controller has learned is found again by
/// voters of which one was wiped and two lost what they had not synced.
#[test]
fn duty_state_is_not_chosen_before_a_majority_has_synced_it() {
    for stalled_at in 1_490..1_512 {
        run_timeline(&format!(
            "
            0             start     start      start     start
            1495          takeover  .          .         .
            {stalled_at}  .         .          stall     stall
            2600          wipe      isolate    power     power
            2700          start     .          start     start
            6500          .         .          takeover  .
            7000          .         reconnect  .         .
            8000          duty=1    duty=1     duty=1    duty=1
        "
        ));
    }
}

/// Guards against two states at one position: of two controllers that take over at the same time one wins, and the other
/// learns it.
#[test]
fn one_of_two_rivals_wins_and_the_other_learns_it() {
    for second_at in 1_500..1_512 {
        run_timeline(&format!(
            "
            0            start     start     start   start
            1500         takeover  .         .       .
            {second_at}  .         takeover  .       .
            2300         duty=1    duty=1    duty=1  duty=1
            2400         window7   .         .       window7
            3300         duty=2    duty=2    duty=2  duty=2
        "
        ));
    }
}

/// Guards against a superseded position that is decided anew: a former holder that missed several states proposes the
/// next one that it knows of, at once after its return, while the others run or have just restarted.
#[test]
fn lagging_replica_does_not_have_an_old_position_chosen_anew() {
    run_timeline(
        "
        0     start             start   start   start
        1500  .                 .       .       takeover
        1600  .                 .       .       window7
        1700  .                 .       .       duty=2+isolate
        1800  takeover          .       .       .
        1900  window8           .       .       .
        2000  sent7             .       .       .
        2100  sent8             .       .       .
        2200  duty=6            duty=6  duty=6  duty=2
        2300  .                 .       .       reconnect+window9
        3000  duty=6+settled=8  duty=6  duty=6  duty=6+holder=1+fence=3
        3100  duty-records=2    .       .       .
    ",
    );
    for reconnect_at in (2_300..3_000).step_by(10) {
        run_timeline(&format!(
            "
            0               start      start      start      start
            1500            .          .          .          takeover
            1600            .          .          .          window7
            1700            .          .          .          isolate
            1800            takeover   .          .          .
            1900            window8    .          .          .
            2000            sent7      .          .          .
            2100            sent8      .          .          .
            2200            power      power      power      .
            2300            start      start      start      .
            {reconnect_at}  .          .          .          reconnect+window9
            6000            settled=8  settled=8  settled=8  settled=8
        "
        ));
    }
}

/// Guards against a holder that nobody replaces: a holder that is cut off or whose process ends is replaced by a
/// controller with a higher fence, and learns that on its return.
#[test]
fn lost_holder_is_replaced_under_a_higher_fence_and_learns_it() {
    run_timeline(
        "
        0     start              start              start              start
        1500  takeover           .                  .                  .
        1600  window7            .                  .                  .
        1700  isolate            .                  .                  .
        1800  .                  takeover           .                  .
        1900  duty=2+holder=1    holder=2+fence=3   holder=2+fence=3   holder=2+fence=3
        2000  window8            window8            .                  .
        2100  duty=2             duty=4+settled=8   .                  .
        2200  reconnect          .                  .                  .
        2600  duty=4+holder=2    .                  .                  .
        2700  .                  kill               .                  .
        2800  takeover           .                  .                  .
        2900  holder=1+fence=5   .                  holder=1+fence=5   fence=5
        3000  .                  start              .                  .
        6000  .                  holder=1+fence=5   .                  .
    ",
    );
}

/// Guards against two holders that take the duty from each other: voters in session with the holder refuse, so it is
/// replaced only if a majority can't reach it.
#[test]
fn holder_that_voters_reach_is_not_replaced() {
    run_timeline(
        "
        0     start              start     start     start
        1500  takeover           .         .         .
        1600  .                  takeover  takeover  .
        4000  duty=1+holder=1    duty=1    duty=1    duty=1
        4100  takeover           .         .         .
        4200  holder=1+fence=2   fence=2   fence=2   fence=2
    ",
    );
}

/// Guards against gaps in the chain: a state is proposed only after the one before it is known to be chosen.
#[test]
fn state_beyond_the_next_position_is_not_proposed() {
    run_timeline(
        "
        0     start     start   start   start
        1500  takeover  .       .       .
        1600  skip      .       .       .
        3000  duty=1    duty=1  duty=1  duty=1
        3100  window7   .       .       .
        3200  duty=2    duty=2  duty=2  duty=2
    ",
    );
}

/// Guards against a wait for the session of a holder that says that it ends.
#[test]
fn holder_that_shuts_down_is_replaced_at_once() {
    run_timeline(
        "
        0     start      start             start             start
        1500  takeover   .                 .                 .
        1600  shutdown   .                 .                 .
        1610  .          takeover          .                 .
        1640  holder=2   holder=2+fence=2  holder=2+fence=2  holder=2+fence=2
    ",
    );
}

/// Guards against a position that stays open: a voter completes what a proposer that fails at any moment left behind.
#[test]
fn state_of_a_failed_proposer_is_completed_or_replaced() {
    for killed_at in 1_600..1_616 {
        run_timeline(&format!(
            "
            0            start     start      start      start
            1500         takeover  .          .          .
            1600         window7   .          .          .
            {killed_at}  wipe      .          .          .
            3000         .         takeover   .          .
            3500         .         holder=2   holder=2   holder=2
            3600         .         window8    .          .
            3800         .         settled=8  settled=8  settled=8
        "
        ));
    }
}

/// Guards against the loss of a state with the voters that chose it: it is handed on to new members of the voting set.
#[test]
fn duty_state_survives_successive_replacements_of_voters() {
    run_timeline(
        "
        0      start     start  start  start  .      .                 .                 .
        1500   takeover  .      .      .      .      .                 .                 .
        1600   window7   .      .      .      .      .                 .                 .
        2000   wipe      .      .      .      .      .                 .                 .
        3000   .         .      .      .      new    .                 .                 .
        12000  .         wipe   .      .      .      .                 .                 .
        13000  .         .      .      .      .      new               .                 .
        22000  .         .      wipe   .      .      .                 .                 .
        23000  .         .      .      .      .      .                 new               .
        32000  .         .      .      wipe   .      .                 .                 .
        33000  .         .      .      .      .      .                 .                 new
        37000  .         .      .      .      votes  votes             votes             votes+voters=5,6,7,8
        37100  .         .      .      .      power  power             power             power
        37200  .         .      .      .      start  start             start             start
        41000  .         .      .      .      .      settled=7+duty=2  settled=7+duty=2  settled=7+holder=1
        41100  .         .      .      .      .      takeover          .                 .
        41300  .         .      .      .      .      holder=6+fence=3  holder=6          fence=3
    ",
    );
}

/// Guards against snapshots without the duty's records: a voter that lost its disk gets back its part of a state that
/// nobody knows to be chosen any more, before the other holders are cut off and lost in turn.
#[test]
fn wiped_voter_gets_the_state_back_in_snapshots() {
    run_timeline(
        "
        0     start            start      start            start
        1490  .                .          .                isolate
        1500  takeover         .          .                .
        1520  duty=1           duty=1     duty=1           duty=0
        1521  wipe             power      power            .
        1600  start            start      .                reconnect
        3855  votes            isolate    .                .
        3860  .                .          wipe             .
        3865  .                .          start            .
        6800  votes            .          votes            votes
        6900  .                .          .                takeover
        7500  holder=1         .          holder=1         holder=1
        7600  .                reconnect  .                .
        8500  duty=1+holder=1  holder=1   duty=1+holder=1  holder=1
    ",
    );
}

/// Guards against a proposal that is lost or chosen twice when the voting set changes, also if power is lost on all
/// machines at any point of the change.
#[test]
fn duty_state_is_chosen_once_across_a_change_of_the_voting_set() {
    for at in (5_440..5_600).step_by(8) {
        let timeline = "
        0      start      start      start      start  .
        1500   takeover   .          .          .      .
        1600   window7    .          .          .      .
        2000   .          .          .          .      new
        3000   .          .          .          wipe   .
        AT     window8    .          window8    .      .
        LATER  POWER      POWER      POWER      .      POWER
        6400   START      START      START      .      START
        CHECK  settled=8  settled=8  settled=8  .      .
        9000   epoch=2    votes      votes      .      votes
        9100   window9    .          .          .      .
        9500   settled=9  settled=9  settled=9  .      settled=9+duty-records=2
        ";
        let timeline = timeline
            .replace("AT", &at.to_string())
            .replace("LATER", &(at + 5).to_string());
        let calm = timeline.replace("CHECK", "7500");
        run_timeline(&calm.replace("POWER", ".").replace("START", "."));
        // Lines that don't start with a time are no rows: nothing is expected of a state proposed before a loss of power.
        run_timeline(&timeline.replace("POWER", "power").replace("START", "start"));
    }
}

/// Guards against a rival that puts its own state in the place of a chosen one: it takes up the state that the only
/// remaining holder reports, although other holders lost their disks or got older copies of them.
#[test]
fn rival_takes_up_chosen_state_although_its_holders_lost_their_disks() {
    for lost in ["restore", "wipe"] {
        run_timeline(&format!(
            "
            0      start     start             start             start
            1500   takeover  .                 .                 .
            1600   .         copy              .                 .
            1700   window7   .                 .                 isolate
            1800   duty=2    duty=2            duty=2            duty=1
            1900   wipe      .                 .                 .
            2000   .         {lost}            .                 .
            2010   .         start             .                 .
            2020   .         .                 .                 reconnect
            2030   .         .                 .                 takeover
            5500   .         settled=7         settled=7         settled=7
            5600   .         takeover          .                 .
            5900   .         holder=2+fence=3  holder=2          holder=2
        "
        ));
    }
}

/// Guards against growth of the disk, and against a slow return: of any number of states each disk keeps the records of
/// two positions at most, and a replica that missed them gets the newest one at once.
#[test]
fn replica_that_missed_hundreds_of_states_catches_up_immediately() {
    let mut timeline = String::from(
        "
        0     start     start  start  start
        1500  takeover  .      .      .
        1600  duty=1    .      .      kill
        ",
    );
    for window in 1..=300 {
        timeline += &format!("{}  window{window}  .  .  .\n", 1_600 + window * 40);
        timeline += &format!("{}  sent{window}    .  .  .\n", 1_620 + window * 40);
    }
    timeline += "
        14000  duty=601+duty-records=2  duty-records=2  duty-records=2  start
        17000  .                        .               .               duty=601+settled=300+duty-records=1
    ";
    run_timeline(&timeline);
}

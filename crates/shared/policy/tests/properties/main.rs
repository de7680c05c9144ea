//! Property tests: random valid event sequences from fixed seeds, with invariants checked after every batch.

#[path = "../common/mod.rs"]
mod common;
mod observer;
mod random_scenario;

use common::{settings, settings_with};
use random_scenario::{Pace, Scale, run_scenario};

const SMALL: Scale = Scale { hosts: 12, spare: 4, proxies: 8, steps: 1500, grows: false };
const LARGE: Scale = Scale { hosts: 200, spare: 200, proxies: 240, steps: 400, grows: true };

#[test]
fn invariants_hold_on_a_channel_at_nominal_speed() {
    for seed in 0..24 {
        run_scenario(SMALL, seed, settings(), Pace { channel: 1.0, changes: 4 });
    }
}

#[test]
fn invariants_hold_on_a_channel_five_times_slower() {
    for seed in 100..116 {
        let settings = settings_with(|s| s.channel.max_queued_lines = 600.0);
        run_scenario(SMALL, seed, settings, Pace { channel: 0.2, changes: 3 });
    }
}

#[test]
fn ordinary_updates_never_exceed_the_queue_limit() {
    // At a twentieth of the nominal speed, updates would pile up in the channel without the queue limit.
    for seed in 300..312 {
        let settings = settings_with(|s| s.channel.max_queued_lines = 150.0);
        run_scenario(SMALL, seed, settings, Pace { channel: 0.05, changes: 3 });
    }
}

#[test]
fn message_cap_is_never_exceeded() {
    for seed in 200..216 {
        let settings = settings_with(|s| s.channel.max_messages = 12);
        run_scenario(SMALL, seed, settings, Pace { channel: 1.0, changes: 1 });
    }
}

#[test]
fn same_events_produce_the_same_actions() {
    let run = || run_scenario(SMALL, 1, settings(), Pace { channel: 1.0, changes: 4 });
    assert_eq!(run(), run());
}

#[test]
fn invariants_hold_while_a_large_fleet_grows_and_its_list_is_wrong() {
    for seed in 400..404 {
        let settings = settings_with(|s| {
            s.channel.max_queued_lines = 9000.0;
            s.channel.lines_per_second = 4500.0;
            s.hosts.may_keep_unlisted = seed % 2 == 0;
        });
        run_scenario(LARGE, seed, settings, Pace { channel: 1.0, changes: 2 });
    }
}

#[test]
fn invariants_hold_for_a_large_fleet_on_a_slow_channel() {
    for seed in 410..412 {
        let settings = settings_with(|s| {
            s.channel.max_queued_lines = 6000.0;
            s.channel.lines_per_second = 3000.0;
            s.hosts.may_keep_unlisted = true;
        });
        run_scenario(LARGE, seed, settings, Pace { channel: 0.25, changes: 2 });
    }
}

//! Long random but legal sequences, from fixed seeds: an observer checks all that comes of them.

#[path = "../common/mod.rs"]
mod common;
mod observer;
mod random_play;

use common::{settings, settings_with};
use random_play::{Pace, Scale, play};

const SMALL: Scale = Scale { hosts: 12, spare: 4, proxies: 8, steps: 1500, grows: false };
const LARGE: Scale = Scale { hosts: 200, spare: 200, proxies: 240, steps: 400, grows: true };

#[test]
fn actions_keep_the_rules_on_an_ordinary_channel() {
    for seed in 0..24 {
        play(SMALL, seed, settings(), Pace { channel: 1.0, changes: 4 });
    }
}

#[test]
fn actions_keep_the_rules_on_a_channel_five_times_slower() {
    for seed in 100..116 {
        let settings = settings_with(|s| s.channel.max_queued_lines = 600.0);
        play(SMALL, seed, settings, Pace { channel: 0.2, changes: 3 });
    }
}

#[test]
fn ordinary_updates_never_fill_the_channel() {
    // A channel at a twentieth of its pace: without the window, rounds of updates pile up in it.
    for seed in 300..312 {
        let settings = settings_with(|s| s.channel.max_queued_lines = 150.0);
        play(SMALL, seed, settings, Pace { channel: 0.05, changes: 3 });
    }
}

#[test]
fn actions_keep_the_message_cap() {
    for seed in 200..216 {
        let settings = settings_with(|s| s.channel.max_messages = 12);
        play(SMALL, seed, settings, Pace { channel: 1.0, changes: 1 });
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let play = || play(SMALL, 1, settings(), Pace { channel: 1.0, changes: 4 });
    assert_eq!(play(), play());
}

#[test]
fn actions_keep_the_rules_in_a_large_fleet_that_grows_and_whose_list_is_wrong_for_a_while() {
    for seed in 400..404 {
        let settings = settings_with(|s| {
            s.channel.max_queued_lines = 9000.0;
            s.channel.lines_per_second = 4500.0;
            s.hosts.may_keep_unlisted = seed % 2 == 0;
        });
        play(LARGE, seed, settings, Pace { channel: 1.0, changes: 2 });
    }
}

#[test]
fn a_large_fleet_on_a_slow_channel_keeps_the_rules() {
    for seed in 410..412 {
        let settings = settings_with(|s| {
            s.channel.max_queued_lines = 6000.0;
            s.channel.lines_per_second = 3000.0;
            s.hosts.may_keep_unlisted = true;
        });
        play(LARGE, seed, settings, Pace { channel: 0.25, changes: 2 });
    }
}

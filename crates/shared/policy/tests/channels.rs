//! Isolation of channels: events on one channel neither affect nor delay another one.

mod common;

use common::{Harness, host, settings, settings_with, unconfirmed, withdraws};
use rushcourse_policy::interface::{
    Action, Certainty, Channel, Event, HostEntry, HostListKind, ProxyId, Readiness, Settings,
};

const SHARED: [ProxyId; 3] = [1, 2, 3];
const DEDICATED: [ProxyId; 3] = [11, 12, 13];

fn join(proxy: ProxyId, channel: Channel) -> Event {
    Event::ProxyJoined { proxy, zone: 0, rate: 5.0, is_fresh: true, channel }
}

/// A director with three proxies on the shared channel and three on dedicated ones, all in zone 0.
fn on_both_channels(settings: Settings) -> Harness {
    let mut harness = Harness::starting_at(settings, 1e12);
    let entries: Vec<HostEntry> = (0..6).map(|k| host(&format!("a{k}"), 0)).collect();
    harness.handle(vec![Event::HostsListed { kind: HostListKind::Full, entries }]);
    harness.advance(300.0);
    let shared = SHARED.map(|proxy| join(proxy, Channel::Shared)).into_iter();
    harness.handle(shared.chain(DEDICATED.map(|proxy| join(proxy, Channel::Dedicated))).collect());
    harness.advance(300.0);
    harness
}

fn drain(harness: &mut Harness, name: &str) -> Vec<Action> {
    let entry = HostEntry { readiness: Readiness::Draining, ..host(name, 0) };
    harness.handle(vec![Event::HostsListed { kind: HostListKind::Delta, entries: vec![entry] }])
}

/// Number of certain endpoints of a proxy.
fn certain(harness: &Harness, proxy: ProxyId) -> usize {
    let view = harness.director.view();
    let proxy = view.proxies.into_iter().find(|p| p.proxy == proxy).expect("it is joined");
    let endpoints = proxy.groups.iter().flat_map(|group| &group.endpoints);
    endpoints.filter(|endpoint| endpoint.certainty == Certainty::Certain).count()
}

fn is_joined(harness: &Harness, proxy: ProxyId) -> bool {
    harness.director.view().proxies.iter().any(|p| p.proxy == proxy)
}

#[test]
fn proxies_use_only_tables_of_their_own_channel() {
    let harness = on_both_channels(settings());
    let view = harness.director.view();
    for proxy in &view.proxies {
        let is_shared = SHARED.contains(&proxy.proxy);
        let channel = if is_shared { Channel::Shared } else { Channel::Dedicated };
        for group in &proxy.groups {
            assert_eq!(group.table.map(Channel::of), Some(channel), "proxy {}", proxy.proxy);
        }
    }
    let weights = |channel: Channel| {
        let tables = view.tables.iter().filter(|table| Channel::of(table.table) == channel);
        tables.map(|table| table.weights.clone()).collect::<Vec<_>>()
    };
    assert_eq!(weights(Channel::Shared), weights(Channel::Dedicated), "weights differ between channels");
}

#[test]
fn acknowledgement_on_one_stream_does_not_affect_others() {
    let mut harness = on_both_channels(settings());

    harness.acknowledge_on(Channel::Dedicated, &[11]);

    assert!(certain(&harness, 11) > 0);
    for other in [12, 13, 1, 2, 3] {
        assert_eq!(certain(&harness, other), 0, "proxy {other}");
    }
    // Acknowledgements on a channel that the proxy does not use are ignored.
    harness.acknowledge_on(Channel::Shared, &[12]);
    harness.acknowledge_on(Channel::Dedicated, &[1]);
    assert_eq!((certain(&harness, 12), certain(&harness, 1)), (0, 0));
}

#[test]
fn stalled_shared_channel_does_not_delay_drains_on_dedicated_channels() {
    // The first tables fill the window of the shared channel.
    let mut harness = on_both_channels(settings_with(|s| s.channel.max_queued_lines = 60.0));
    harness.acknowledge_on(Channel::Dedicated, &DEDICATED);
    let ack_number = harness.ack_number();
    (0..9).for_each(|_| drop(harness.handle(vec![unconfirmed(ack_number, true)])));

    let drains = ["a0", "a1", "a2"].map(|name| (name, drain(&mut harness, name)));

    let dedicated = |(name, actions): &(&str, Vec<Action>)| withdraws(actions, name, Channel::Dedicated);
    assert!(drains.iter().all(dedicated), "a withdrawal on a dedicated channel was delayed");
    let is_shared = |action: &Action| {
        matches!(action, Action::SetWithdrawn { is_withdrawn: true, channel: Channel::Shared, .. })
    };
    let shared = |(_, actions): &(&str, Vec<Action>)| actions.iter().any(is_shared);
    assert!(!drains.iter().all(shared), "the shared channel is not stalled");
}

#[test]
fn unapplied_batch_does_not_become_certain_by_timeout() {
    let mut harness = on_both_channels(settings());
    let ack_number = harness.ack_number();

    for _ in 0..8 {
        harness.handle(vec![Event::NotApplied { proxy: 11, ack_number, is_resent: false }]);
        harness.advance(1000.0);
    }

    assert_eq!(certain(&harness, 11), 0, "proxy 11 has not applied its batch");
    assert!(certain(&harness, 12) > 0, "endpoints of other proxies become certain by timeout");
    harness.advance(4000.0);
    assert!(certain(&harness, 11) > 0, "the timeout applies once reports stop");
}

#[test]
fn events_of_a_previous_channel_are_ignored() {
    let mut harness = on_both_channels(settings());
    harness.handle(vec![join(1, Channel::Dedicated)]);

    harness.handle(vec![Event::ProxyLeft { proxy: 1, channel: Channel::Shared }]);
    assert!(is_joined(&harness, 1), "joined on its dedicated channel");

    harness.handle(vec![Event::ProxyLeft { proxy: 1, channel: Channel::Dedicated }]);
    assert!(!is_joined(&harness, 1));
}

//! Channels hold apart: what one does proves and holds up nothing on another.

mod common;

use common::*;
use rushcourse_policy::Director;
use rushcourse_policy::interface::*;

/// A director with proxies on both channels, on a clock.
struct Both {
    director: Director,
    now: Ms,
    next: Ms,
    mark: u16,
}

const SHARED: [ProxyId; 3] = [1, 2, 3];
const OWN: [ProxyId; 3] = [11, 12, 13];

fn join(proxy: ProxyId, channel: Channel) -> Event {
    Event::ProxyJoined { proxy, zone: 0, rate: 5.0, is_fresh: true, channel }
}

impl Both {
    fn new(s: Settings) -> Both {
        let mut both = Both { director: Director::new(s), now: 1e12, next: 0.0, mark: 0 };
        let hosts: Vec<HostEntry> = (0..6).map(|k| host(&format!("a{k}"), 0)).collect();
        both.give(vec![Event::HostsListed { kind: HostListKind::Full, entries: hosts }]);
        both.pass(300.0);
        let all = SHARED.map(|p| join(p, Channel::Shared)).into_iter();
        both.give(all.chain(OWN.map(|p| join(p, Channel::Dedicated))).collect());
        both.pass(300.0);
        both
    }

    fn give(&mut self, events: Vec<Event>) -> Vec<Action> {
        let actions = self.director.handle(self.now, events);
        for action in &actions {
            match action {
                Action::RequestAck { ack_number: number } => self.mark = *number,
                Action::StartTimer { token, at } if token == "round" => self.next = *at,
                _ => {}
            }
        }
        actions
    }

    fn pass(&mut self, ms: Ms) -> Vec<Action> {
        let (end, mut all) = (self.now + ms, Vec::new());
        while self.next <= end {
            self.now = self.next;
            all.extend(self.give(vec![Event::TimerFired { token: "round".into() }]));
        }
        self.now = end;
        all
    }

    fn applied(&mut self, proxies: &[ProxyId], channel: Channel) {
        let mark = self.mark;
        let of = |proxy: &ProxyId| Event::Acknowledged {
            ack_number: mark,
            proxy: *proxy,
            elapsed: 200.0,
            channel,
        };
        self.give(proxies.iter().map(of).collect());
    }

    fn drain(&mut self, id: &str) -> Vec<Action> {
        let entry = HostEntry { readiness: Readiness::Draining, ..host(id, 0) };
        self.give(vec![Event::HostsListed { kind: HostListKind::Delta, entries: vec![entry] }])
    }

    fn certain(&self, proxy: ProxyId) -> usize {
        let view = self.director.view();
        let p = view.proxies.into_iter().find(|p| p.proxy == proxy).expect("joined");
        p.groups.iter().flat_map(|g| &g.endpoints).filter(|e| e.certainty == Certainty::Certain).count()
    }
}

fn withdrawn(actions: &[Action], channel: Channel) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::SetWithdrawn { is_withdrawn: true, channel: c, .. } if *c == channel))
}

#[test]
fn tables_of_one_channel_serve_no_proxy_of_another() {
    let both = Both::new(settings());
    let view = both.director.view();
    for p in &view.proxies {
        let channel = if SHARED.contains(&p.proxy) { Channel::Shared } else { Channel::Dedicated };
        for group in &p.groups {
            assert_eq!(group.table.map(Channel::of), Some(channel), "proxy {}", p.proxy);
        }
    }
    let lines = |channel: Channel| {
        let of = view.tables.iter().filter(|t| Channel::of(t.table) == channel);
        of.map(|t| t.weights.clone()).collect::<Vec<_>>()
    };
    assert_eq!(lines(Channel::Shared), lines(Channel::Dedicated), "the same tables");
}

#[test]
fn an_answer_on_one_stream_proves_nothing_about_another() {
    let mut both = Both::new(settings());
    both.applied(&[11], Channel::Dedicated);
    assert!(both.certain(11) > 0);
    for other in [12, 13, 1, 2, 3] {
        assert_eq!(both.certain(other), 0, "proxy {other}");
    }
    // Nor does one that comes by a channel on which its proxy is not.
    both.applied(&[12], Channel::Shared);
    both.applied(&[1], Channel::Dedicated);
    assert_eq!((both.certain(12), both.certain(1)), (0, 0));
}

#[test]
fn a_shared_channel_without_answers_does_not_hold_up_a_drain_for_streams() {
    // Its window is full after the first tables.
    let mut both = Both::new(settings_with(|s| s.channel.max_queued_lines = 60.0));
    both.applied(&OWN, Channel::Dedicated);
    let mark = both.mark;
    (0..9)
        .for_each(|_| drop(both.give(vec![Event::CallUnconfirmed { ack_number: mark, may_have_run: true }])));
    let drains = ["a0", "a1", "a2"].map(|id| both.drain(id));
    assert!(drains.iter().all(|d| withdrawn(d, Channel::Dedicated)), "each goes out at once");
    assert!(!drains.iter().all(|d| withdrawn(d, Channel::Shared)), "the shared one has no room");
}

#[test]
fn what_a_stream_did_not_take_turns_certain_by_no_time() {
    let mut both = Both::new(settings());
    let mark = both.mark;
    for _ in 0..8 {
        both.give(vec![Event::NotApplied { proxy: 11, ack_number: mark, is_resent: false }]);
        both.pass(1000.0);
    }
    assert_eq!(both.certain(11), 0, "it holds nothing, as far as is known");
    assert!(both.certain(12) > 0, "the others' lines settle by time");
    both.pass(4000.0);
    assert!(both.certain(11) > 0, "nothing was heard any more that it is behind");
}

#[test]
fn what_an_earlier_channel_says_of_a_proxy_counts_no_more() {
    let mut both = Both::new(settings());
    both.give(vec![join(1, Channel::Dedicated)]);
    both.give(vec![Event::ProxyLeft { proxy: 1, channel: Channel::Shared }]);
    assert!(both.director.view().proxies.iter().any(|p| p.proxy == 1), "it is joined by its stream");
    both.give(vec![Event::ProxyLeft { proxy: 1, channel: Channel::Dedicated }]);
    assert!(both.director.view().proxies.iter().all(|p| p.proxy != 1));
}

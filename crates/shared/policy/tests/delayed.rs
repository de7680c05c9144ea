//! Calls that are late, repeated, or of unknown outcome, and proxies that may have left unseen.

mod common;
use common::*;
use rushcourse_policy::interface::*;

/// Whether a line of a proxy's table is removed.
fn removes(stand: &Stand, proxy: ProxyId, name: &str, actions: &[Action]) -> bool {
    let mine = stand.bound[&(proxy, 0)];
    let gone = |a: &Action| match a {
        Action::SetEndpoint { table, host, weight } => *table == mine && &**host == name && *weight == 0.0,
        _ => false,
    };
    actions.iter().any(gone)
}

fn withdraws(actions: &[Action], name: &str) -> bool {
    actions.iter().any(
        |a| matches!(a, Action::SetWithdrawn { host, is_withdrawn: true, channel: Channel::Shared } if &**host == name),
    )
}

fn drain(stand: &mut Stand, name: &str) -> Vec<Action> {
    stand.give(vec![list(HostListKind::Delta, &[with(host(name, 0), Readiness::Draining, 0.0)])])
}

/// Binds that no proxy has answered, for longer than time needs to settle them.
fn unanswered(delayed: bool) -> Stand {
    let mut stand = joined(settings());
    let mark = stand.last_mark.expect("the binds bear a mark");
    for _ in 0..8 {
        stand.pass(500.0);
        if delayed {
            stand.give(vec![Event::CallUnconfirmed { ack_number: mark, may_have_run: false }]);
        }
    }
    stand
}

#[test]
fn time_makes_no_line_certain_while_its_call_is_not_answered() {
    let mut stand = unanswered(false);
    drain(&mut stand, "a1");
    let actions = stand.pass(500.0);
    assert!(removes(&stand, 1, "a1", &actions), "without a delay, time settles the binds");
    let mut stand = unanswered(true);
    drain(&mut stand, "a1");
    let actions = stand.pass(500.0);
    assert!(!removes(&stand, 1, "a1", &actions), "the lines may not have arrived yet");
}

#[test]
fn what_waits_behind_a_delayed_call_is_as_uncertain() {
    let mut stand = joined(settings());
    let first = stand.last_mark.expect("a mark");
    stand.pass(250.0);
    stand.give(vec![join(3, 0)]);
    for _ in 0..8 {
        stand.pass(500.0);
        stand.give(vec![Event::CallUnconfirmed { ack_number: first, may_have_run: false }]);
    }
    // The proxies of the first call answer; the one behind it has not.
    let answers = [1, 2].map(|proxy| Event::Acknowledged {
        ack_number: first,
        proxy,
        elapsed: 300.0,
        channel: Channel::Shared,
    });
    stand.give(answers.to_vec());
    drain(&mut stand, "a1");
    let actions = stand.pass(500.0);
    assert!(removes(&stand, 2, "a1", &actions), "proxy 2 has answered");
    assert!(!removes(&stand, 3, "a1", &actions), "proxy 3 may hold nothing else");
}

/// A site where a proxy gets four messages at most.
fn capped() -> Settings {
    settings_with(|s| s.channel.max_messages = 4)
}

#[test]
fn a_repeated_call_counts_as_another_message_to_its_proxies() {
    let mut stand = joined(capped());
    assert!(withdraws(&drain(&mut stand, "a1"), "a1"), "one message was written: there is room");
    let mut stand = joined(capped());
    let mark = stand.last_mark.expect("a mark");
    stand.give((0..3).map(|_| Event::CallUnconfirmed { ack_number: mark, may_have_run: true }).collect());
    assert!(
        !withdraws(&drain(&mut stand, "a1"), "a1"),
        "four may have been written: no more within the span"
    );
    stand.pass(10_500.0);
    assert!(stand.withdrawn.get("a1").is_some_and(|out| *out), "it goes out once there is room");
}

#[test]
fn messages_that_waited_count_from_when_they_left() {
    let mut stand = joined(capped());
    let mark = stand.last_mark.expect("a mark");
    stand.pass(9_000.0);
    // The call leaves only now, as does one repeat of it.
    stand.give(vec![
        Event::CallUnconfirmed { ack_number: mark, may_have_run: true },
        Event::CallUnconfirmed { ack_number: mark, may_have_run: true },
    ]);
    stand.give(vec![Event::CallUnconfirmed { ack_number: mark, may_have_run: true }]);
    stand.pass(2_000.0);
    assert!(!withdraws(&drain(&mut stand, "a1"), "a1"), "the four were written two seconds ago");
}

#[test]
fn who_joins_without_having_left_is_bound_anew_and_its_messages_count_on() {
    let count = |left: bool| {
        let mut stand = joined(settings_with(|s| s.channel.max_messages = 6));
        let mark = stand.last_mark.expect("a mark");
        stand.pass(300.0);
        stand.give((0..3).map(|_| Event::CallUnconfirmed { ack_number: mark, may_have_run: true }).collect());
        let mut events = vec![join(1, 0), join(2, 1)];
        if left {
            events.splice(
                0..0,
                [
                    Event::ProxyLeft { proxy: 1, channel: Channel::Shared },
                    Event::ProxyLeft { proxy: 2, channel: Channel::Shared },
                ],
            );
        }
        let actions = stand.give(events);
        actions.iter().filter(|a| matches!(a, Action::BindProxy { .. })).count()
    };
    assert_eq!(count(true), 2, "a stream that is new counts from its joining");
    assert_eq!(count(false), 0, "four of six are written: the binds wait for their turn");
    let mut stand = usual();
    let actions = stand.give(vec![join(1, 0)]);
    assert!(actions.iter().any(|a| matches!(a, Action::BindProxy { proxy: 1, .. })), "it may be on no table");
}

#[test]
fn one_message_of_the_cap_is_left_for_a_repeat() {
    let mut stand = joined(capped());
    let mark = stand.last_mark.expect("a mark");
    stand.give((0..2).map(|_| Event::CallUnconfirmed { ack_number: mark, may_have_run: true }).collect());
    assert!(
        !withdraws(&drain(&mut stand, "a1"), "a1"),
        "its call may go out twice: that would be five of four"
    );
}

//! Calls to the relay: their order, their unknown outcomes, and what the module is told of them.

mod common;
use common::*;
use rushcourse_director_state::{Input, Link};

fn say(text: &str) -> Do {
    Do::Say(text.into())
}

#[test]
fn a_reply_is_one_call_that_ends_with_its_mark() {
    let stand = Stand::usual();
    let first = &stand.calls[0];
    assert!(
        first.contains("bind,1,")
            && first
                .split(';')
                .next_back()
                .is_some_and(|o| o.starts_with("mark,"))
    );
    assert_eq!(stand.count("calls_unknown"), 0);
    assert_eq!(stand.count("calls_sent"), stand.count("calls_answered"));
}

/// Each kind of unknown outcome: the same call again, before any later one, and it counts as a repeat.
#[test]
fn a_call_of_unknown_outcome_is_repeated_before_any_later_one() {
    for outcome in [
        Do::Break,
        Do::Silence,
        say("OK maybe"),
        say("OK 9999"),
        say("\u{fffd}"),
        say("OK"),
    ] {
        let mut stand = Stand::usual();
        let before = stand.calls.len();
        stand.plan = [outcome.clone(), outcome.clone(), outcome.clone()].into();
        stand.drain(6, "a1", "east");
        stand.pass(30.0);
        // Something later wants to go out meanwhile.
        stand.drain(7, "b1", "west");
        stand.pass(1000.0);
        let calls = &stand.calls[before..];
        assert!(calls[0].contains("withdraw,a1"), "{outcome:?}");
        assert_eq!(
            calls[..4],
            vec![calls[0].clone(); 4],
            "{outcome:?}: the same bytes, three times more"
        );
        assert!(
            calls[4..].iter().any(|c| c.contains("withdraw,b1")),
            "{outcome:?}: {calls:?}"
        );
        assert_eq!(stand.count("calls_unknown"), 3, "{outcome:?}");
        assert_eq!(stand.count("calls_repeated"), 3, "{outcome:?}");
        assert_eq!(stand.count("invariant_failures"), 0);
    }
}

#[test]
fn an_answer_within_the_relays_time_is_waited_for() {
    let mut stand = Stand::usual();
    let before = stand.calls.len();
    stand.plan = [Do::Silence].into();
    stand.drain(6, "a1", "east");
    stand.pass(50.0);
    let orders = stand.calls[before].split(';').count();
    stand.answer(&format!("OK {orders}"));
    stand.pass(200.0);
    assert_eq!(
        (stand.count("calls_unknown"), stand.count("calls_repeated")),
        (0, 0)
    );
}

#[test]
fn an_answer_that_came_is_taken_even_if_this_process_slept_past_the_deadline() {
    let mut stand = Stand::usual();
    let before = stand.calls.len();
    stand.plan = [Do::Silence].into();
    stand.drain(6, "a1", "east");
    stand.pass(10.0);
    let orders = stand.calls[before].split(';').count();
    // Both are there at once: the line that was read, and the deadline.
    stand.now += 500.0;
    let (link, turn) = (Link::Calls, stand.turns[0]);
    stand.outstanding = false;
    stand.give(Input::Line {
        link,
        turn,
        text: format!("OK {orders}"),
    });
    assert_eq!(stand.count("calls_unknown"), 0);
}

#[test]
fn a_bad_order_is_dropped_with_a_line_in_the_log_and_the_rest_goes_out() {
    let mut stand = Stand::started();
    stand.plan = [say("OK 2")].into();
    stand.news("* joined 1 east 5.0 1");
    stand.pass(300.0);
    let first: Vec<&str> = stand.calls[0].split(';').collect();
    assert!(first.len() > 4);
    assert_eq!(
        stand.calls[1].split(';').collect::<Vec<_>>(),
        first[3..],
        "what stood and the bad one are out"
    );
    assert_eq!(stand.count("orders_dropped"), 1);
    assert!(
        stand
            .logs
            .iter()
            .any(|l| l.contains("order dropped") && l.contains(first[2])),
        "{:?}",
        stand.logs
    );
}

#[test]
fn a_mark_that_is_left_alone_is_not_sent() {
    let mut stand = Stand::started();
    stand.news("* joined 1 east 5.0 1");
    stand.plan = [Do::Silence].into();
    stand.pass(10.0);
    let orders = stand.calls[0].split(';').count();
    stand.answer(&format!("OK {}", orders - 2));
    stand.pass(200.0);
    assert!(
        stand.calls.iter().all(|c| !c.starts_with("mark,")),
        "{:?}",
        stand.calls
    );
}

#[test]
fn busy_is_waited_for_within_bounds_on_the_same_connection() {
    let mut stand = Stand::started();
    stand.plan = vec![say("BUSY"); 5].into();
    stand.news("* joined 1 east 5.0 1");
    stand.pass(1000.0);
    assert_eq!(stand.calls[..6], vec![stand.calls[0].clone(); 6]);
    assert_eq!((stand.count("calls_busy"), stand.connects[0]), (5, 1));
    assert_eq!(
        stand.count("calls_unknown"),
        0,
        "it was turned away: that is known"
    );
}

/// A spoilt answer proves nothing, whatever its words: the call is neither taken for undone nor given up.
#[test]
fn a_refusal_while_the_relay_takes_calls_is_of_unknown_outcome() {
    for text in [
        "SYNTAX", "BUSY", "OK +1", "OK -1", "OK 1.0", "OK 99", "OK", "", "OK 1 2",
    ] {
        let mut stand = Stand::usual();
        let before = stand.calls.len();
        stand.plan = vec![say(text); 4].into();
        stand.drain(6, "a1", "east");
        stand.pass(400.0);
        let sent = stand.calls.len() - before;
        assert!((2..=4).contains(&sent), "{text:?}: {sent}");
        assert_eq!(
            stand.calls[before..],
            vec![stand.calls[before].clone(); sent],
            "{text:?}: nothing else"
        );
        assert_eq!(stand.count("calls_unknown"), sent as u64, "{text:?}");
        // It was carried out: a proxy's answer shows it, and later calls go on.
        stand.applied(&[1, 2]);
        stand.drain(7, "b1", "west");
        stand.pass(600.0);
        assert_eq!(stand.count("calls_proved"), 1, "{text:?}");
        let later = stand.orders(before + sent);
        assert!(later.contains(&"withdraw,b1".into()), "{text:?}: {later:?}");
        assert!(
            !later.contains(&"withdraw,a1".into()),
            "{text:?}: not again"
        );
    }
}

#[test]
fn a_call_refused_before_the_run_is_sent_until_it_is_taken() {
    let mut stand = Stand::started();
    stand.plan = vec![say("SYNTAX"); 5].into();
    stand.news("* joined 1 east 5.0 1");
    stand.pass(1000.0);
    assert_eq!(
        stand.calls[..6],
        vec![stand.calls[0].clone(); 6],
        "the model's lines come to be held"
    );
    assert_eq!(
        (stand.count("calls_refused"), stand.count("calls_unknown")),
        (5, 0)
    );
}

#[test]
fn a_relay_that_can_not_be_reached_is_tried_again_with_pauses() {
    let mut stand = Stand::usual();
    let (before, connects) = (stand.calls.len(), stand.connects[0]);
    stand.relay_up = false;
    stand.down(Link::Calls);
    stand.down(Link::News);
    stand.drain(6, "a1", "east");
    stand.pass(10_000.0);
    assert_eq!(stand.calls.len(), before, "nothing can go out");
    let tried = stand.connects[0] - connects;
    assert!((10..60).contains(&tried), "{tried} tries in ten seconds");
    stand.relay_up = true;
    stand.pass(1000.0);
    assert!(
        stand.calls[before].contains("withdraw,a1"),
        "the oldest call first: {:?}",
        &stand.calls[before..]
    );
}

#[test]
fn what_waits_for_the_relay_stays_bounded() {
    // Nobody is joined: no order costs a line, so nothing but the queue's own bound holds them back.
    let mut stand = Stand::started();
    stand.relay_up = false;
    let most = 256;
    for k in 0..2000u64 {
        let phase = if k % 2 == 0 { "Terminating" } else { "Ready" };
        stand.change(
            6 + k,
            &[
                member("a1", "east", phase, 0.0),
                member("b2", "west", phase, 0.0),
            ],
        );
        stand.pass(260.0);
    }
    let waiting = stand.gauge("calls_waiting");
    assert!(waiting <= f64::from(most), "{waiting} calls wait");
}

#[test]
fn an_idle_connection_is_replaced_before_a_call_is_risked_on_it() {
    let mut stand = Stand::usual();
    let connects = stand.connects[0];
    for _ in 0..6 {
        stand.pass(1000.0);
        stand.news("*");
    }
    let before = stand.calls.len();
    stand.drain(6, "a1", "east");
    stand.pass(100.0);
    assert!(stand.calls.len() > before);
    assert_eq!(stand.connects[0], connects + 1);
    assert_eq!(stand.count("calls_unknown"), 0);
    // Closed by the relay while idle: nothing was lost, nothing is repeated.
    stand.pass(1000.0);
    stand.down(Link::Calls);
    stand.drain(7, "b1", "west");
    stand.pass(100.0);
    assert_eq!(
        (stand.count("calls_unknown"), stand.count("calls_repeated")),
        (0, 0)
    );
}

#[test]
fn lines_and_ends_of_earlier_connections_mean_nothing() {
    let mut stand = Stand::usual();
    let old = stand.turns[0];
    stand.plan = [Do::Break, Do::Silence].into();
    stand.drain(6, "a1", "east");
    stand.pass(10.0);
    assert!(stand.turns[0] > old);
    let sent = stand.calls.len();
    stand.give(Input::Line {
        link: Link::Calls,
        turn: old,
        text: "OK 1".into(),
    });
    stand.give(Input::Down {
        link: Link::Calls,
        turn: old,
        why: "late".into(),
    });
    stand.pass(10.0);
    assert_eq!(
        stand.calls.len(),
        sent,
        "the repeat still waits for its own answer"
    );
}

/// The order that makes room for time to settle lines: a call that hangs for long keeps its lines uncertain.
#[test]
fn no_line_of_a_call_that_hangs_turns_certain_by_time() {
    let removal = |hangs: bool| {
        let mut stand = Stand::started();
        if hangs {
            stand.plan = vec![Do::Silence; 60].into();
        }
        stand.news("* joined 1 east 5.0 1");
        for _ in 0..5 {
            stand.pass(1000.0);
            stand.news("*");
        }
        let before = stand.calls.len();
        stand.plan.clear();
        stand.pass(1200.0);
        stand.news("*");
        stand.pass(1000.0);
        assert!(
            !hangs || stand.calls.len() > before,
            "it goes out once more, and is answered"
        );
        stand.drain(6, "a1", "east");
        stand.pass(600.0);
        stand
            .orders(before)
            .iter()
            .any(|o| o.starts_with("share,") && o.contains(",a1,0"))
    };
    assert!(
        removal(false),
        "the call was answered five seconds ago: time has settled its lines"
    );
    assert!(
        !removal(true),
        "the call was answered just now at the earliest"
    );
}

#[test]
fn a_reply_over_the_limit_is_split_in_order_and_its_parts_count_as_messages() {
    // Hosts with long names: one table is far over the limit of a call.
    let mut stand = Stand::new();
    let long = |k: usize| format!("h{k:03}{}", "x".repeat(9000));
    let members: Vec<String> = (0..20)
        .map(|k| member(&long(k), "east", "Ready", 0.0))
        .collect();
    stand.list = list(6, true, &members);
    stand.start();
    let before = stand.calls.len();
    stand.news("* joined 1 east 5.0 1");
    stand.pass(300.0);
    assert!(
        stand.calls.len() >= before + 3,
        "{} calls",
        stand.calls.len() - before
    );
    assert!(stand.count("calls_split") >= 2);
    let orders = stand.orders(before);
    let at = |start: &str| {
        orders
            .iter()
            .position(|o| o.starts_with(start))
            .expect("ordered")
    };
    assert!(
        at("share,") < at("bind,1,") && at("bind,1,") < at("mark,"),
        "order is kept over the parts"
    );
    assert_eq!(orders.iter().filter(|o| o.starts_with("mark,")).count(), 1);
    assert!(stand.calls[before..].iter().all(|c| c.len() <= 60_000));
}

/// Each repeat may be a message to a proxy, and a proxy gets twelve in ten seconds.
#[test]
fn a_call_that_never_gets_a_clear_answer_is_repeated_within_the_cap() {
    let mut stand = Stand::usual();
    let before = stand.calls.len();
    stand.plan = vec![say("?"); 1000].into();
    stand.drain(6, "a1", "east");
    let mut sent = Vec::new();
    for _ in 0..400 {
        let calls = stand.calls.len();
        stand.pass(100.0);
        sent.extend((calls..stand.calls.len()).map(|_| stand.now));
        if stand.now as u64 % 1000 < 100 {
            stand.news("*");
        }
    }
    assert!(
        sent.len() > 30,
        "it goes on: {} times in forty seconds",
        sent.len()
    );
    let most = sent.iter().map(|from| {
        sent.iter()
            .filter(|at| **at >= *from && **at <= from + 10_000.0)
            .count()
    });
    assert!(
        most.max().is_some_and(|n| n <= 12),
        "twelve in ten seconds at most"
    );
    assert!(stand.count("repeats_held") > 0);
    assert_eq!(
        stand.calls[before..],
        vec![stand.calls[before].clone(); sent.len()]
    );
}

#[test]
fn an_answer_of_a_proxy_shows_that_a_call_was_carried_out() {
    let mut stand = Stand::usual();
    let before = stand.calls.len();
    stand.plan = [Do::Break, Do::Silence].into();
    stand.drain(6, "a1", "east");
    stand.pass(10.0);
    // The repeat is under way as the proxy answers the first one: when it gets no answer, it is not sent again.
    stand.applied(&[1]);
    stand.pass(300.0);
    let same = stand.calls[before..]
        .iter()
        .filter(|c| **c == stand.calls[before])
        .count();
    assert_eq!((same, stand.count("calls_proved")), (2, 1));
    assert!(
        stand
            .logs
            .iter()
            .any(|l| l.contains("a proxy has answered it already"))
    );
    // An answer to an earlier mark shows nothing.
    let (mut stand, earlier) = (Stand::usual(), Stand::usual().mark());
    let before = stand.calls.len();
    stand.plan = [Do::Break, Do::Silence].into();
    stand.drain(6, "a1", "east");
    stand.pass(10.0);
    stand.news(&format!("* applied 1 {earlier} 250.0"));
    stand.pass(300.0);
    let same = stand.calls[before..]
        .iter()
        .filter(|c| **c == stand.calls[before])
        .count();
    assert_eq!((same, stand.count("calls_proved")), (3, 0));
}

/// A step that ordered much took 57 of the 65 ms that the relay has: its answer was on the way, and the call, the
/// largest of the day, went out twice (herd+mass 13: backlog).
#[test]
fn the_relays_time_runs_from_the_last_byte_not_from_the_step() {
    let mut stand = Stand::usual();
    let before = stand.calls.len();
    stand.plan = [Do::Silence].into();
    stand.drain(6, "a1", "east");
    stand.pass(8.0);
    stand.now += 50.0;
    let (link, turn) = (Link::Calls, stand.turns[0]);
    stand.give(Input::Written { link, turn });
    stand.pass(40.0);
    let orders = stand.calls[before].split(';').count();
    stand.answer(&format!("OK {orders}"));
    stand.pass(200.0);
    assert_eq!(
        (stand.count("calls_unknown"), stand.count("calls_repeated")),
        (0, 0)
    );
    // It still ends: a relay that says nothing is given up.
    stand.plan = [Do::Silence].into();
    stand.drain(7, "b1", "west");
    stand.give(Input::Written { link, turn });
    stand.pass(70.0);
    assert_eq!(stand.count("calls_unknown"), 1);
}

//! A configuration that is read again: what stands is kept until its successor does, and nothing is lost.

mod common;
use common::*;
use rushcourse_director_state::{Input, Link};

/// Two proxies that have applied their tables, and a relay that says so of who stands.
fn usual() -> Stand {
    let mut stand = Stand::usual();
    stand.standing = vec![
        "* joined 1 east 5.0 0".into(),
        "* joined 2 west 5.0 0".into(),
    ];
    stand
}

/// Told to reload, with this in the file.
fn reload(stand: &mut Stand, n: u16) {
    stand.file = Ok(places(n));
    stand.give(Input::Reload);
}

fn news_on(stand: &mut Stand, turn: u64, line: &str) {
    stand.give(Input::Line {
        link: Link::News,
        turn,
        text: line.into(),
    });
}

/// Brings up the last connections of both links.
fn up(stand: &mut Stand) {
    stand.relay_up = true;
    for link in [Link::News, Link::Calls] {
        let turn = stand.turns[link as usize];
        stand.give(Input::Up { link, turn });
    }
}

fn binds(stand: &Stand, proxy: u32) -> usize {
    stand
        .orders(0)
        .iter()
        .filter(|o| o.starts_with(&format!("bind,{proxy},")))
        .count()
}

#[test]
fn the_old_news_are_read_until_the_new_ones_stand() {
    let mut stand = usual();
    let (old, before) = (stand.turns[Link::News as usize], binds(&stand, 1));
    stand.relay_up = false;
    reload(&mut stand, 1);
    stand.pass(100.0);
    assert_eq!(
        stand.went.last().map(|w| (w.0, w.2)),
        Some((Link::News, places(1).relay))
    );
    news_on(&mut stand, old, "* joined 3 east 5.0 1");
    stand.pass(50.0);
    assert_eq!(
        stand.gauge("proxies_joined"),
        3.0,
        "told where the relay was"
    );
    stand.standing.push("* joined 3 east 5.0 1".into());
    stand.drops = [0; 2];
    up(&mut stand);
    stand.pass(20.0);
    assert_eq!(
        stand.drops[Link::News as usize],
        0,
        "answers to marks may still come"
    );
    // Whatever the old place still says of joins is told by the new one.
    news_on(&mut stand, old, "* left 1");
    news_on(&mut stand, old, "* joined 2 west 5.0 0");
    assert_eq!(stand.gauge("proxies_joined"), 3.0);
    stand.pass(1500.0);
    assert_eq!(stand.drops[Link::News as usize], 1, "the old watch ends");
    stand.news("*");
    stand.pass(1000.0);
    assert_eq!(binds(&stand, 1), before, "nobody is judged or bound anew");
    assert_eq!(
        (
            stand.count("proxies_bound_anew"),
            stand.count("news_breaks")
        ),
        (0, 0)
    );
    assert!(binds(&stand, 3) >= 1, "who joined meanwhile is bound");
    stand.news("* left 2");
    assert_eq!(stand.gauge("proxies_joined"), 2.0);
}

#[test]
fn answers_to_marks_are_taken_from_either_place() {
    let mut stand = usual();
    let old = stand.turns[Link::News as usize];
    stand.drain(6, "a1", "east");
    stand.pass(20.0);
    let (mark, flying) = (stand.mark(), stand.session.view().unacknowledged_lines);
    assert!(flying > 0.0);
    reload(&mut stand, 1);
    stand.pass(20.0);
    for proxy in [1, 2] {
        news_on(&mut stand, old, &format!("* applied {proxy} {mark} 200.0"));
    }
    stand.pass(20.0);
    assert_eq!(
        stand.session.view().unacknowledged_lines,
        0.0,
        "the mark was answered where the relay was"
    );
}

#[test]
fn a_watch_that_breaks_before_its_successor_stands_leaves_a_gap() {
    let mut stand = usual();
    let old = stand.turns[Link::News as usize];
    stand.relay_up = false;
    reload(&mut stand, 1);
    stand.pass(50.0);
    stand.give(Input::Down {
        link: Link::News,
        turn: old,
        why: "closed".into(),
    });
    assert_eq!(stand.count("news_breaks"), 1);
    stand.pass(900.0);
    stand.standing = vec!["* joined 1 east 5.0 0".into()];
    stand.relay_up = true;
    stand.pass(2000.0);
    assert_eq!(
        stand.gauge("proxies_joined"),
        1.0,
        "who is not named has left"
    );
    assert_eq!(stand.count("proxies_bound_anew"), 1);
}

#[test]
fn a_call_in_flight_is_answered_where_it_was_sent() {
    let mut stand = usual();
    stand.plan = [Do::Silence].into();
    stand.drain(6, "a1", "east");
    stand.pass(5.0);
    assert!(stand.outstanding);
    let calls = stand.calls.len();
    stand.drops = [0; 2];
    reload(&mut stand, 1);
    stand.pass(5.0);
    assert_eq!(
        (stand.drops[Link::Calls as usize], stand.calls.len()),
        (0, calls)
    );
    let orders = stand.calls.last().expect("a call").split(';').count();
    stand.answer(&format!("OK {orders}"));
    stand.drain(7, "b1", "west");
    stand.pass(300.0);
    let went = stand
        .went
        .iter()
        .rev()
        .find(|w| w.0 == Link::Calls)
        .map(|w| w.2);
    assert_eq!(went, Some(places(1).relay));
    assert!(
        stand.calls.len() > calls && stand.calls[calls] != stand.calls[calls - 1],
        "told once"
    );
    assert_eq!(stand.count("calls_repeated"), 0);
}

#[test]
fn a_call_of_unknown_outcome_is_repeated_at_the_new_place_before_later_ones() {
    let mut stand = usual();
    stand.plan = [Do::Silence].into();
    stand.drain(6, "a1", "east");
    stand.pass(5.0);
    let calls = stand.calls.len();
    reload(&mut stand, 1);
    stand.give(Input::Reload);
    stand.drain(7, "b1", "west");
    stand.down(Link::Calls);
    stand.pass(200.0);
    assert_eq!(
        stand.calls[calls],
        stand.calls[calls - 1],
        "the same call first"
    );
    assert!(
        stand.calls[calls + 1..]
            .iter()
            .any(|c| c.contains("withdraw,b1"))
    );
    assert_eq!(
        stand
            .went
            .iter()
            .rev()
            .find(|w| w.0 == Link::Calls)
            .map(|w| w.2),
        Some(places(1).relay)
    );
}

#[test]
fn a_file_that_makes_no_sense_changes_nothing_and_is_looked_at_again() {
    let mut stand = usual();
    let (went, logs) = (stand.went.len(), stand.logs.len());
    stand.file = Err("config.json: EOF while parsing".into());
    stand.give(Input::Reload);
    stand.pass(1000.0);
    stand.news("*");
    assert_eq!(stand.went.len(), went);
    assert_eq!(
        (stand.count("reloads_failed"), stand.count("reloads")),
        (1, 0)
    );
    let said = |s: &Stand| {
        s.logs[logs..]
            .iter()
            .filter(|l| l.contains("nothing is changed"))
            .count()
    };
    assert_eq!(said(&stand), 1, "one line");
    stand.file = Ok(places(1));
    stand.pass(500.0);
    assert_eq!(stand.count("reloads"), 1, "it was half written");
    assert!(stand.went[went..].iter().all(|w| w.2 == places(1).relay) && stand.went.len() > went);
    // For good, it waits for the next signal.
    stand.file = Err("config.json: no such file".into());
    stand.give(Input::Reload);
    (0..20).for_each(|_| (stand.pass(1000.0), stand.news("*")).1);
    stand.file = Ok(places(2));
    (0..20).for_each(|_| (stand.pass(1000.0), stand.news("*")).1);
    assert_eq!(
        (stand.count("reloads_failed"), stand.count("reloads")),
        (2, 1)
    );
    stand.give(Input::Reload);
    assert_eq!(stand.count("reloads"), 2);
}

#[test]
fn a_reload_before_the_start_and_several_in_a_row_end_at_the_last_place() {
    let mut stand = Stand::new();
    reload(&mut stand, 1);
    stand.start();
    for n in [2, 3, 1, 2] {
        reload(&mut stand, n);
        stand.pass(3.0);
    }
    stand.pass(1200.0);
    for link in [Link::News, Link::Calls] {
        let last = stand.went.iter().rev().find(|w| w.0 == link);
        assert!(last.is_none_or(|w| w.2 == places(2).relay), "{link:?}");
    }
    assert_eq!(stand.asked_at.last(), Some(&places(2).discovery));
    stand.news("* joined 1 east 5.0 1");
    stand.pass(300.0);
    assert!(binds(&stand, 1) >= 1);
}

#[test]
fn a_reload_that_moves_nothing_does_nothing() {
    let mut stand = usual();
    let (went, asks) = (stand.went.len(), stand.asks.len());
    reload(&mut stand, 0);
    stand.pass(500.0);
    assert_eq!((stand.went.len(), stand.asks.len()), (went, asks));
    assert_eq!(stand.count("reloads"), 1);
}

#[test]
fn a_new_discovery_may_begin_below_the_revision_held() {
    let mut stand = usual();
    stand.drain(90, "a1", "east");
    stand.pass(100.0);
    assert_eq!(stand.gauge("list_revision"), 90.0);
    let (open, asks) = (stand.asks.last().expect("a watch").0, stand.asks.len());
    stand.discovery_up = false;
    reload(&mut stand, 1);
    assert_eq!(stand.asked_at[asks..], [places(1).discovery], "at once");
    // The watch that was open still counts until the new place has answered.
    let body = list(91, false, &[member("b1", "west", "Terminating", 0.0)]);
    stand.give(Input::Listed {
        ask: open,
        body: body.into(),
    });
    stand.pass(20.0);
    assert!(stand.orders(0).iter().any(|o| o == "withdraw,b1"));
    let mut fleet = fleet();
    fleet[2] = member("b1", "west", "Terminating", 0.0);
    let ask = stand.asks.last().expect("an ask").0;
    stand.give(Input::Listed {
        ask,
        body: list(3, true, &fleet).into(),
    });
    assert_eq!(stand.gauge("list_revision"), 3.0);
    stand.pass(10.0);
    assert!(stand.asks.last().expect("a watch").1.contains("after=3&"));
    // What the old place says now is no news.
    let body = list(92, false, &[member("a2", "east", "Terminating", 0.0)]);
    stand.give(Input::Listed {
        ask: open,
        body: body.into(),
    });
    assert_eq!(stand.gauge("list_revision"), 3.0);
    assert_eq!(
        (stand.count("lists_old"), stand.count("lists_failed")),
        (0, 0)
    );
}

//! News of proxies: breaks, silence, nonsense, and who stands after a gap.

mod common;
use common::*;
use rushcourse_director_state::Link;

fn binds(stand: &Stand, from: usize, proxy: u32) -> usize {
    let start = format!("bind,{proxy},");
    stand
        .orders(from)
        .iter()
        .filter(|o| o.starts_with(&start))
        .count()
}

#[test]
fn joined_proxies_are_bound_and_left_ones_are_not_ordered_for() {
    let mut stand = Stand::usual();
    assert_eq!((binds(&stand, 0, 1), binds(&stand, 0, 2)), (1, 1));
    stand.news("* left 1");
    let before = stand.calls.len();
    stand.news("* joined 1 east 5.0 0");
    stand.pass(100.0);
    assert_eq!(
        binds(&stand, before, 1),
        1,
        "a new stream is bound to nothing"
    );
}

#[test]
fn a_short_break_judges_nobody_anew() {
    let mut stand = Stand::usual();
    stand.standing = vec![
        "* joined 1 east 5.0 0".into(),
        "* joined 2 west 5.0 0".into(),
    ];
    let before = stand.calls.len();
    stand.down(Link::News);
    stand.pass(1500.0);
    assert_eq!((binds(&stand, before, 1), binds(&stand, before, 2)), (0, 0));
    assert_eq!(stand.connects[1], 2, "it watches again at once");
}

#[test]
fn after_a_gap_who_is_not_named_has_left_and_new_ones_are_bound() {
    let mut stand = Stand::usual();
    stand.standing = vec![
        "* joined 2 west 5.0 0".into(),
        "* joined 3 east 5.0 1".into(),
    ];
    let before = stand.calls.len();
    stand.down(Link::News);
    stand.pass(50.0);
    stand.news("*");
    stand.pass(100.0);
    assert_eq!((binds(&stand, before, 2), binds(&stand, before, 3)), (0, 1));
    let joined = stand.gauge("proxies_joined");
    assert_eq!(joined, 2.0, "1 has left");
    // It comes back: it is bound as a new one.
    stand.news("* joined 1 east 5.0 0");
    stand.pass(100.0);
    assert_eq!(binds(&stand, before, 1), 1);
}

#[test]
fn one_that_started_anew_in_a_gap_is_bound() {
    let mut stand = Stand::usual();
    stand.standing = vec![
        "* joined 1 east 5.0 1".into(),
        "* joined 2 west 5.0 0".into(),
    ];
    let before = stand.calls.len();
    stand.down(Link::News);
    stand.pass(500.0);
    assert_eq!((binds(&stand, before, 1), binds(&stand, before, 2)), (1, 0));
}

#[test]
fn after_a_long_gap_all_are_bound_anew_as_they_may_have_left_unseen() {
    let mut stand = Stand::usual();
    stand.standing = vec![
        "* joined 1 east 5.0 0".into(),
        "* joined 2 west 5.0 0".into(),
    ];
    let before = stand.calls.len();
    stand.relay_up = false;
    stand.down(Link::News);
    stand.pass(2000.0);
    stand.relay_up = true;
    stand.pass(1500.0);
    assert_eq!((binds(&stand, before, 1), binds(&stand, before, 2)), (1, 1));
    assert_eq!(stand.count("proxies_bound_anew"), 2);
}

#[test]
fn silence_is_a_fault_and_signs_of_life_are_enough() {
    let mut stand = Stand::usual();
    for _ in 0..10 {
        stand.pass(1000.0);
        stand.news("*");
    }
    assert_eq!(stand.connects[1], 1);
    stand.pass(2500.0);
    assert_eq!(
        (stand.connects[1], stand.drops[1]),
        (2, 1),
        "a cut peer is silent forever"
    );
    assert!(
        stand
            .logs
            .iter()
            .any(|l| l.contains("news lost") && l.contains("no sign of life"))
    );
}

#[test]
fn news_that_can_not_be_read_end_the_watch_and_it_is_asked_for_again() {
    for line in [
        "garbage",
        "* joined 1",
        "* joined x east 5.0 1",
        "* applied 1 70000 2.0",
        "* left -3",
        "",
    ] {
        let mut stand = Stand::usual();
        stand.news(line);
        stand.pass(10.0);
        assert_eq!((stand.connects[1], stand.drops[1]), (2, 1), "{line:?}");
    }
    // All before the line was read: who stands again at once has stayed.
    let mut stand = Stand::usual();
    stand.pass(900.0);
    stand.standing = vec![
        "* joined 1 east 5.0 0".into(),
        "* joined 2 west 5.0 0".into(),
    ];
    stand.news("* left ?");
    stand.pass(1000.0);
    assert_eq!(stand.count("proxies_bound_anew"), 0);
    let mut stand = Stand::usual();
    stand.news("* moved 1 5");
    stand.news("* joined 9 nowhere 5.0 1");
    stand.pass(10.0);
    assert_eq!(
        stand.connects[1], 1,
        "news of a kind or zone that is not known are skipped"
    );
}

#[test]
fn a_watch_that_does_not_come_up_is_tried_again() {
    let mut stand = Stand::new();
    stand.relay_up = false;
    stand.start();
    stand.pass(5000.0);
    let tries = stand.connects[1];
    assert!((8..40).contains(&tries), "{tries} tries in six seconds");
    stand.relay_up = true;
    stand.standing = vec!["* joined 1 east 5.0 0".into()];
    stand.pass(2000.0);
    assert_eq!(binds(&stand, 0, 1), 1);
}

#[test]
fn a_standing_set_in_pieces_is_complete_when_it_is_quiet() {
    let mut stand = Stand::usual();
    stand.standing = vec!["* joined 1 east 5.0 0".into()];
    stand.down(Link::News);
    stand.pass(100.0);
    stand.news("* joined 2 west 5.0 0");
    stand.pass(1000.0);
    let joined = stand.gauge("proxies_joined");
    assert_eq!(joined, 2.0, "the second line came 100 ms after the first");
}

#[test]
fn a_watch_that_breaks_as_soon_as_it_stands_is_not_asked_for_in_a_loop() {
    let mut stand = Stand::usual();
    let connects = stand.connects[1];
    for _ in 0..100 {
        stand.news("* left 7");
        stand.down(Link::News);
        stand.pass(20.0);
    }
    let tried = stand.connects[1] - connects;
    assert!((3..=20).contains(&tried), "{tried} watches in two seconds");
}

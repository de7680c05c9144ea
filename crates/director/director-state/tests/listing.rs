//! Discovery: order, gaps, silence, odd answers.

mod common;
use common::*;
use rushcourse_director_state::Input;

fn withdrawn(stand: &Stand, host: &str) -> bool {
    stand.orders(0).contains(&format!("withdraw,{host}"))
}

fn last_path(stand: &Stand) -> &str {
    &stand.asks.last().expect("an ask").1
}

fn answer(stand: &mut Stand, body: &str) {
    let ask = stand.asks.last().expect("an ask").0;
    stand.give(Input::Listed {
        ask,
        body: body.to_string().into(),
    });
}

#[test]
fn the_whole_list_first_then_watches_from_its_revision() {
    let mut stand = Stand::usual();
    let paths: Vec<&str> = stand.asks.iter().map(|a| a.1.as_str()).collect();
    assert_eq!(
        paths,
        ["/v1/endpoints", "/v1/endpoints?after=5&wait_ms=4000"]
    );
    stand.drain(9, "a1", "east");
    assert!(
        last_path(&stand).contains("after=9"),
        "the next watch follows at once"
    );
    stand.pass(50.0);
    assert!(withdrawn(&stand, "a1"));
}

#[test]
fn an_empty_answer_is_no_change() {
    let mut stand = Stand::usual();
    let calls = stand.calls.len();
    stand.change(5, &[]);
    assert!(last_path(&stand).contains("after=5"));
    stand.pass(50.0);
    assert_eq!(stand.calls.len(), calls);
}

#[test]
fn the_known_list_may_be_old() {
    let mut stand = Stand::new();
    let mut now = fleet();
    now[0] = member("a9", "east", "Ready", 0.0);
    stand.list = list(40, true, &now);
    stand.start();
    stand.news("* joined 1 east 5.0 1");
    stand.pass(100.0);
    let orders = stand.orders(0);
    assert!(
        orders.iter().any(|o| o.contains(",a9,")) && !orders.iter().any(|o| o.contains(",a1,"))
    );
}

#[test]
fn a_revision_that_is_older_is_not_believed_and_the_whole_list_is_asked_for() {
    let mut stand = Stand::usual();
    stand.drain(9, "a1", "east");
    stand.list = list(9, true, &fleet());
    stand.change(7, &[member("b1", "west", "Terminating", 0.0)]);
    stand.pass(1000.0);
    assert!(!withdrawn(&stand, "b1"));
    assert_eq!(stand.count("lists_old"), 1);
    assert!(stand.asks.iter().filter(|a| a.1 == "/v1/endpoints").count() == 2);
}

#[test]
fn a_discovery_that_began_anew_is_believed_in_the_end() {
    let mut stand = Stand::usual();
    stand.drain(900, "a1", "east");
    stand.list = list(3, true, &fleet()[..3]);
    stand.change(2, &[]);
    stand.pass(4000.0);
    assert!(
        withdrawn(&stand, "b2"),
        "its whole list says so again and again"
    );
}

#[test]
fn a_repeated_revision_changes_nothing() {
    let mut stand = Stand::usual();
    stand.drain(9, "a1", "east");
    stand.change(9, &[member("b1", "west", "Gone", 0.0)]);
    stand.pass(100.0);
    assert!(!withdrawn(&stand, "b1"));
}

#[test]
fn silence_and_errors_lead_to_the_whole_list() {
    let mut stand = Stand::usual();
    stand.discovery_up = false;
    let ask = stand.asks.last().expect("a watch").0;
    stand.give(Input::Unlisted {
        ask,
        why: "no answer within 4700 ms".into(),
    });
    stand.pass(3000.0);
    let tries = stand.asks.len();
    assert!(
        stand.asks[2..].iter().all(|a| a.1 == "/v1/endpoints"),
        "{:?}",
        stand.asks
    );
    assert!((2..20).contains(&tries), "{tries} tries");
    stand.discovery_up = true;
    let mut changed = fleet();
    changed[3] = member("b2", "west", "Terminating", 0.0);
    stand.list = list(12, true, &changed);
    stand.pass(2000.0);
    assert!(withdrawn(&stand, "b2") && last_path(&stand).contains("after=12"));
}

#[test]
fn a_deadline_is_kept_even_if_nothing_at_all_comes_back() {
    let mut stand = Stand::usual();
    stand.discovery_up = false;
    let asks = stand.asks.len();
    stand.pass(12_000.0);
    assert!(stand.asks.len() > asks + 2, "the watch was given up");
}

#[test]
fn what_is_no_list_is_a_fault() {
    for body in [
        "",
        "no json",
        "[]",
        "{\"revision\":-1,\"complete\":true,\"members\":[]}",
        "{\"revision\":9",
    ] {
        let mut stand = Stand::usual();
        stand.discovery_up = false;
        answer(&mut stand, body);
        assert_eq!(stand.count("lists_failed"), 1, "{body:?}");
        stand.pass(200.0);
        assert_eq!(last_path(&stand), "/v1/endpoints", "{body:?}");
    }
}

#[test]
fn an_entry_that_can_not_be_used_does_not_cost_the_others() {
    let mut stand = Stand::usual();
    let odd = [
        member("b1", "west", "Resting", 0.0),
        member("b2", "nowhere", "Ready", 0.0),
        "{\"id\":7}".to_string(),
        member("no,word", "west", "Ready", 0.0),
        member("a1", "east", "Terminating", 0.0),
    ];
    stand.change(9, &odd);
    stand.pass(100.0);
    assert!(withdrawn(&stand, "a1"));
    assert_eq!(stand.count("list_entries_odd"), 4);
    assert!(
        !withdrawn(&stand, "b1") && !withdrawn(&stand, "b2"),
        "what was known of them stands"
    );
}

#[test]
fn a_host_of_unknown_phase_in_a_whole_list_stays_as_it_was() {
    let mut stand = Stand::usual();
    let mut members = fleet();
    members[2] = member("b1", "west", "Resting", 0.0);
    answer(&mut stand, &list(9, true, &members));
    stand.pass(100.0);
    assert!(
        !withdrawn(&stand, "b1"),
        "it is listed, only its phase is not known"
    );
}

#[test]
fn a_late_watch_begins_with_the_whole_list() {
    let mut stand = Stand::usual();
    // This process sleeps over the end of the watch, and then for longer.
    stand.give(Input::Wake);
    stand.now += 30_000.0;
    let ask = stand.asks.last().expect("a watch").0;
    let effects = stand.session.step(
        stand.now,
        Input::Listed {
            ask,
            body: list(9, false, &[]).into(),
        },
    );
    assert!(effects.is_empty());
    stand.now += 500.0;
    stand.give(Input::Wake);
    assert!(
        stand.asks.iter().filter(|a| a.1 == "/v1/endpoints").count() >= 2,
        "{:?}",
        stand.asks
    );
}

#[test]
fn times_of_starts_are_on_the_sessions_clock() {
    let mut stand = Stand::usual();
    let before = stand.calls.len();
    // a1 says that it started two seconds ago: it must not carry its full part.
    stand.change(9, &[member("a1", "east", "Ready", stand.now - 2000.0)]);
    stand.pass(600.0);
    let line = stand
        .orders(before)
        .into_iter()
        .find(|o| o.starts_with("share,") && o.contains(",a1,"));
    let weight: f64 = line
        .expect("its weight is cut")
        .rsplit(',')
        .next()
        .and_then(|w| w.parse().ok())
        .expect("a weight");
    assert!(weight > 0.0 && weight < 0.5, "{weight}");
}

#[test]
fn a_discovery_that_does_not_wait_is_not_asked_in_a_loop() {
    let mut stand = Stand::usual();
    let asks = stand.asks.len();
    for _ in 0..1000 {
        stand.change(5, &[]);
        stand.pass(1.0);
    }
    let asked = stand.asks.len() - asks;
    assert!((5..=20).contains(&asked), "{asked} asks in a second");
    assert!(
        stand.asks.iter().filter(|a| a.1 == "/v1/endpoints").count() == 1,
        "each continues the watch"
    );
}

//! Faults of all kinds at once, for a while.

use crate::common::Harness;
use rushcourse_standin::discovery::Behavior;
use rushcourse_standin::relay::CallFault;
use serde_json::Value;
use std::time::Duration;

/// Proxies at the relay.
const PROXIES: u32 = 4;
/// Hosts that come and go; another one stays.
const UNSTABLE_HOSTS: [&str; 3] = ["h-2", "h-3", "h-4"];
/// After so many faults there is a longer pause.
const FAULTS_PER_BURST: u32 = 10;

/// A random sequence that is the same each time.
struct Dice(u64);

impl Dice {
    /// A number below `limit`.
    fn roll(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// A call breaks, falls silent or is answered with nonsense, carried out or not; or the notifications break; or
/// discovery changes its mood.
fn inject_fault(harness: &Harness, dice: &mut Dice) {
    let done = dice.roll(2) == 0;
    match dice.roll(5) {
        0 => harness
            .relay
            .inject_fault(CallFault::Disconnect { is_applied: done }),
        1 => harness
            .relay
            .inject_fault(CallFault::NoReply { is_applied: done }),
        2 => harness
            .relay
            .inject_fault(CallFault::GarbledReply { is_applied: done }),
        3 => harness.relay.disconnect_watchers(),
        _ => harness.discovery.set_behavior(if done {
            Behavior::Normal
        } else {
            Behavior::Garbled
        }),
    }
}

fn all_proxies_hold(harness: &Harness, host_count: usize) -> bool {
    (0..PROXIES).all(|proxy| harness.relay.endpoints(proxy).len() == host_count)
}

/// Whether the director's page shows the tables that the relay holds.
async fn page_equals_relay(harness: &Harness) -> bool {
    let (_, body) = harness.page("/tables").await;
    let page: Value = serde_json::from_str(&body).expect("JSON");
    let tables = page["tables"].as_array().expect("tables");
    tables.iter().all(|table| {
        let of_director = table["lines"].as_object().expect("lines");
        let number = table["table"].as_u64().expect("a number") as u32;
        let of_relay = harness.relay.table(number);
        of_director
            .iter()
            .map(|(host, weight)| (host.clone(), weight.as_f64().unwrap_or(0.0)))
            .eq(of_relay)
    })
}

/// Waits until nothing is under way, so that both sides hold the same.
async fn wait_until_page_equals_relay(harness: &Harness) {
    let mut attempts = 0;
    while !page_equals_relay(harness).await {
        attempts += 1;
        assert!(
            attempts < 1000,
            "the relay holds something else; its log: {}",
            harness.log_text()
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn after_a_storm_the_relay_holds_what_the_director_holds() {
    let harness = Harness::start_with_bound_proxy().await;
    (1..PROXIES).for_each(|proxy| harness.relay.join_proxy(proxy, "east", 5.0));
    harness
        .wait_until("all are bound", || all_proxies_hold(&harness, 2))
        .await;
    // When faults come while hosts come and go, then no proxy is ever without the host that stays.
    let mut dice = Dice(12_345);
    for fault in 0..40 {
        inject_fault(&harness, &mut dice);
        let host = UNSTABLE_HOSTS[dice.roll(3) as usize];
        let phase = ["Ready", "Ready", "Terminating", "Gone"][dice.roll(4) as usize];
        harness.set_phase(host, phase);
        let is_end_of_burst = fault % FAULTS_PER_BURST == FAULTS_PER_BURST - 1;
        let pause = 20 + dice.roll(300) + if is_end_of_burst { 2500 } else { 0 };
        tokio::time::sleep(Duration::from_millis(pause)).await;
        assert!(
            (0..PROXIES).all(|proxy| harness.relay.endpoints(proxy).contains_key("h-1")),
            "nobody is without the host that stays"
        );
    }
    // Then all come back, the relay holds what the director holds, and no proxy got too many messages.
    harness.discovery.set_behavior(Behavior::Normal);
    harness.relay.clear_faults();
    for host in UNSTABLE_HOSTS {
        harness.set_phase(host, "Ready");
    }
    harness
        .wait_until("all four hosts are back", || all_proxies_hold(&harness, 4))
        .await;
    harness
        .wait_for_metric("rushcourse_calls_unknown_total", 3.0)
        .await;
    wait_until_page_equals_relay(&harness).await;
    assert_eq!(
        harness.metric("rushcourse_invariant_failures_total").await,
        0.0
    );
    let most = harness.relay.max_messages_within(Duration::from_secs(10));
    assert!(most <= 12, "{most} messages to one proxy in ten seconds");
}

//! Random faults of the relay and discovery while hosts join and leave.

use crate::common::Harness;
use rushcourse_standin::discovery::Behavior;
use rushcourse_standin::relay::CallFault;
use serde_json::Value;
use std::time::Duration;

/// Number of proxies joined at the relay.
const PROXIES: u32 = 4;
/// Hosts whose phases change during the test; `h-1` stays ready.
const UNSTABLE_HOSTS: [&str; 3] = ["h-2", "h-3", "h-4"];
/// Faults before a longer pause, in which the director can recover.
const FAULTS_PER_BURST: u32 = 10;

/// A linear congruential generator, so that every run injects the same faults.
struct RandomSequence(u64);

impl RandomSequence {
    /// Returns the next number, from 0 to `limit - 1`.
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// Injects a random fault: a call that is disconnected, gets no reply or a garbled one; a disconnected watch; or a
/// change of discovery's behavior.
fn inject_fault(harness: &Harness, random: &mut RandomSequence) {
    let applied = random.below(2) == 0;
    match random.below(5) {
        0 => harness.relay.inject_fault(CallFault::Disconnect {
            is_applied: applied,
        }),
        1 => harness.relay.inject_fault(CallFault::NoReply {
            is_applied: applied,
        }),
        2 => harness.relay.inject_fault(CallFault::GarbledReply {
            is_applied: applied,
        }),
        3 => harness.relay.disconnect_watchers(),
        _ => harness.discovery.set_behavior(if applied {
            Behavior::Normal
        } else {
            Behavior::Garbled
        }),
    }
}

fn all_proxies_hold(harness: &Harness, host_count: usize) -> bool {
    (0..PROXIES).all(|proxy| harness.relay.endpoints(proxy).len() == host_count)
}

/// Whether the tables on the director's page are equal to those that the relay holds.
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

/// Waits until pending updates are applied and both sides hold the same tables.
async fn wait_until_page_equals_relay(harness: &Harness) {
    let mut attempts = 0;
    while !page_equals_relay(harness).await {
        attempts += 1;
        assert!(
            attempts < 1000,
            "the relay holds other tables; log: {}",
            harness.log_text()
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn relay_and_director_agree_after_random_faults() {
    let harness = Harness::start_with_bound_proxy().await;
    (1..PROXIES).for_each(|proxy| harness.relay.join_proxy(proxy, "east", 5.0));
    harness
        .wait_until("all are bound", || all_proxies_hold(&harness, 2))
        .await;
    // During the faults, no proxy may lose the host that stays ready.
    let mut random = RandomSequence(12_345);
    for fault in 0..40 {
        inject_fault(&harness, &mut random);
        let host = UNSTABLE_HOSTS[random.below(3) as usize];
        let phase = ["Ready", "Ready", "Terminating", "Gone"][random.below(4) as usize];
        harness.set_phase(host, phase);
        let is_end_of_burst = fault % FAULTS_PER_BURST == FAULTS_PER_BURST - 1;
        let pause = 20 + random.below(300) + if is_end_of_burst { 2500 } else { 0 };
        tokio::time::sleep(Duration::from_millis(pause)).await;
        assert!(
            (0..PROXIES).all(|proxy| harness.relay.endpoints(proxy).contains_key("h-1")),
            "every proxy keeps the host that stays ready"
        );
    }
    // After the faults, tables converge, and no proxy received more messages than the channel's limit.
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
    let max_messages = harness.relay.max_messages_within(Duration::from_secs(10));
    assert!(
        max_messages <= 12,
        "{max_messages} messages to one proxy in ten seconds"
    );
}

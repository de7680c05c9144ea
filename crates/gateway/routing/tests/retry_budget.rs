//! The retries of all gateways together stay within the shared budget.

use rushcourse_routing::RetryBudget;
use rushcourse_types::Timestamp;
use std::sync::Arc;
use std::time::Duration;

#[test]
fn retries_of_all_gateways_stay_within_the_budget() {
    // 8 gateways receive 100 requests per second each for 20 s and try to retry every request.
    let service: Arc<str> = "s".into();
    let window = Duration::from_millis(10_000);
    let mut budgets: Vec<RetryBudget> = (0..8)
        .map(|_| RetryBudget::new(0.2, 56.0, window))
        .collect();
    for budget in &mut budgets {
        budget.set_gateway_count(8);
    }
    let mut retries: Vec<u64> = Vec::new();
    for millis in (0..20_000).step_by(10) {
        let now = Timestamp::from_millis(millis);
        for budget in &mut budgets {
            budget.record_request(now, &service);
            if budget.try_spend(now, &service) {
                retries.push(millis);
            }
        }
    }
    for from in (0..10_000).step_by(100) {
        let window = from..from + 10_000;
        let within = retries.iter().filter(|at| window.contains(*at)).count();
        assert!(
            within as f64 <= 0.2 * 8_000.0 + 56.0,
            "{within} retries in the window that starts at {from} ms"
        );
    }
    assert!(
        retries.len() > 1_000,
        "the budget should be used, got {} retries",
        retries.len()
    );
}

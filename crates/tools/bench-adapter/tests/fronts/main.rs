//! Compares the two fronts of the policy: the same script is run through the adapter's process and through the
//! director's session, and both must give the same orders.

mod adapter;
mod script;
mod session;

use adapter::Adapter;
use script::{TimedEvent, script};
use session::SessionFront;
use std::collections::{BTreeMap, VecDeque};

/// Time of day at which the script begins, in ms since 1970.
const START_TIME: f64 = 1_700_000_000_000.0;
/// Time for which both fronts collect events into a batch, in ms.
const BATCH_INTERVAL: f64 = 4.0;
/// Duration of the run, in ms.
const RUN_LENGTH: u32 = 26_000;

/// Batches of orders in the relay's syntax, by time in ms.
type Batches = BTreeMap<u64, Vec<String>>;

/// Both fronts on a common fake clock.
struct FrontPair {
    adapter: Adapter,
    session: SessionFront,
    script: VecDeque<TimedEvent>,
    /// Time of the adapter's next batch; `None` if no event is queued.
    next_batch: Option<f64>,
    adapter_batches: Batches,
}

impl FrontPair {
    /// Starts both fronts. The adapter's first batch is sent at the end of the session's first batch interval.
    fn new() -> FrontPair {
        let mut adapter = Adapter::spawn();
        adapter.provision();
        FrontPair {
            adapter,
            session: SessionFront::start(),
            script: script().into(),
            next_batch: Some(START_TIME + BATCH_INTERVAL),
            adapter_batches: Batches::new(),
        }
    }

    /// Advances both fronts to `now`, 1 ms after the previous step.
    fn step(&mut self, now: f64) {
        if self.adapter.fire_timers(now) {
            self.next_batch.get_or_insert(now + BATCH_INTERVAL);
        }
        self.session.step(now);
        if self.next_batch.is_some_and(|at| at <= now) {
            self.next_batch = None;
            let orders = self.adapter.send_batch(now);
            if !orders.is_empty() {
                self.adapter_batches.insert(now as u64, orders);
            }
        }
        while let Some(due) = self.script.pop_front_if(|next| START_TIME + next.at <= now) {
            self.adapter.queue_event(&due.event, now);
            self.next_batch.get_or_insert(now + BATCH_INTERVAL);
            self.session.handle_event(now, &due.event);
        }
    }
}

/// Batches without their time, as the fronts may handle a timer 1 ms apart. Numbers are rounded, as the JSON parser may
/// be off in the last digit.
fn comparable(batches: &Batches) -> Vec<Vec<String>> {
    let round = |word: &str| match word.parse::<f64>() {
        Ok(value) => format!("{value:.12}"),
        Err(_) => word.to_string(),
    };
    let rounded = |order: &String| order.split(',').map(round).collect::<Vec<_>>().join(",");
    let batches = batches.values();
    batches
        .map(|orders| orders.iter().map(rounded).collect())
        .collect()
}

#[test]
fn the_same_events_give_the_same_actions_through_both_fronts() {
    let mut fronts = FrontPair::new();

    (1..RUN_LENGTH).for_each(|ms| fronts.step(START_TIME + f64::from(ms)));
    fronts.adapter.end();

    let (adapter_batches, session_batches) = (&fronts.adapter_batches, &fronts.session.calls);
    assert!(
        adapter_batches.len() > 20,
        "too few batches with orders: {}",
        adapter_batches.len()
    );
    let orders = adapter_batches.values().flatten();
    let kinds: Vec<&str> = orders.filter_map(|o| o.split(',').next()).collect();
    for kind in ["share", "bind", "withdraw", "admit", "mark", "restore"] {
        assert!(kinds.contains(&kind), "no order of kind {kind}");
    }
    for (index, (adapter, session)) in comparable(adapter_batches)
        .iter()
        .zip(comparable(session_batches))
        .enumerate()
    {
        assert_eq!(*adapter, session, "batch {index}");
    }
    assert_eq!(adapter_batches.len(), session_batches.len());
}

//! The same events give the same actions through both fronts: one script goes through this adapter's wire and
//! through the protocol's codecs with the session of the real director, and the orders are compared.

mod adapter;
mod script;
mod session;

use adapter::Adapter;
use script::{Happening, script};
use session::RealDirector;
use std::collections::{BTreeMap, VecDeque};

/// Time of day at which the script begins, in ms since 1970.
const START: f64 = 1_700_000_000_000.0;
/// The span for which both collect events, in ms.
const QUANTUM: f64 = 4.0;
/// How long the script is played, in ms.
const LENGTH: u32 = 26_000;

/// Orders of a batch in the relay's words, by the millisecond.
type Batches = BTreeMap<u64, Vec<String>>;

/// Both fronts on one fake clock.
struct Play {
    adapter: Adapter,
    director: RealDirector,
    script: VecDeque<Happening>,
    /// When the adapter's next batch is due.
    next_batch: Option<f64>,
    /// What the adapter ordered.
    batches: Batches,
}

impl Play {
    /// Both have started; the adapter's first batch comes when the session's first quantum is over.
    fn new() -> Play {
        let mut adapter = Adapter::spawn();
        adapter.provision();
        Play {
            adapter,
            director: RealDirector::start(),
            script: script().into(),
            next_batch: Some(START + QUANTUM),
            batches: Batches::new(),
        }
    }

    /// One millisecond.
    fn step(&mut self, now: f64) {
        if self.adapter.fire_timers(now) {
            self.next_batch.get_or_insert(now + QUANTUM);
        }
        self.director.step(now);
        if self.next_batch.is_some_and(|at| at <= now) {
            self.next_batch = None;
            let orders = self.adapter.send_batch(now);
            if !orders.is_empty() {
                self.batches.insert(now as u64, orders);
            }
        }
        while let Some(due) = self.script.pop_front_if(|next| START + next.at <= now) {
            self.adapter.queue_event(&due.event, now);
            self.next_batch.get_or_insert(now + QUANTUM);
            self.director.handle_event(now, &due.event);
        }
    }
}

/// Orders without the millisecond of their batch, as a timer may be seen in the one before or after. Figures are
/// rounded, as this test's reader of JSON may be off by their last digit.
fn comparable(batches: &Batches) -> Vec<Vec<String>> {
    let figure = |word: &str| match word.parse::<f64>() {
        Ok(value) => format!("{value:.12}"),
        Err(_) => word.to_string(),
    };
    let plain = |order: &String| order.split(',').map(figure).collect::<Vec<_>>().join(",");
    let batches = batches.values();
    batches
        .map(|orders| orders.iter().map(plain).collect())
        .collect()
}

#[test]
fn the_same_events_give_the_same_actions_through_both_fronts() {
    let mut play = Play::new();

    (1..LENGTH).for_each(|ms| play.step(START + f64::from(ms)));
    play.adapter.end();

    let (ours, theirs) = (&play.batches, &play.director.calls);
    assert!(
        ours.len() > 20,
        "the script has the director order something: {} times",
        ours.len()
    );
    let orders = ours.values().flatten();
    let kinds: Vec<&str> = orders.filter_map(|o| o.split(',').next()).collect();
    for kind in ["share", "bind", "withdraw", "admit", "mark", "restore"] {
        assert!(kinds.contains(&kind), "the script covers {kind}");
    }
    for (index, (ours, theirs)) in comparable(ours).iter().zip(comparable(theirs)).enumerate() {
        assert_eq!(*ours, theirs, "batch {index}");
    }
    assert_eq!(ours.len(), theirs.len());
}

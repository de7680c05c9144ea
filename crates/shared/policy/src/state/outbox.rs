//! The batch of actions in the making, and batches on the shared channel that proxies have yet to
//! acknowledge.

use crate::interface::{AckNumber, Action, Ms, ProxyId};
use std::collections::BTreeMap;

/// Numbers of acknowledgements (16 bits on the wire).
const ACK_NUMBERS: u64 = 65_535;

/// Lines that an order writes to a proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProxyLines {
    pub proxy: ProxyId,
    pub lines: f64,
}

/// What an update costs.
#[derive(Debug)]
pub(crate) struct UpdateCost {
    /// The lines that it writes.
    pub by_proxy: Vec<ProxyLines>,
    /// What they take of the shared channel beside the batch in the making. A dedicated channel has no queue.
    pub channel_lines: f64,
}

/// A batch whose messages on the shared channel are not all acknowledged.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnackedBatch {
    /// When it went out, as far as is known.
    pub sent_at: Ms,
    /// Lines by proxy that has not acknowledged them, as the channel counts them.
    pub lines: BTreeMap<ProxyId, f64>,
    /// Their sum.
    pub line_count: f64,
    /// How often they may have been written beyond once.
    pub repeats: f64,
}

/// What leaves, and what has left and may still be on its way.
#[derive(Debug)]
pub(crate) struct Outbox {
    /// The number of the batch in the making, from 1.
    pub batch: u64,
    /// Its actions so far.
    pub actions: Vec<Action>,
    /// Its lines so far, by proxy.
    pub lines: BTreeMap<ProxyId, f64>,
    /// What they take of the shared channel.
    pub channel_lines: f64,
    /// Batches on the shared channel, by number.
    pub unacked: BTreeMap<u64, UnackedBatch>,
    /// The slowest acknowledgement of late on the shared channel, in ms.
    pub slowest_ack: Ms,
}

impl Outbox {
    /// Nothing was sent yet.
    pub fn new() -> Outbox {
        Outbox {
            batch: 1,
            actions: Vec::new(),
            lines: BTreeMap::new(),
            channel_lines: 0.0,
            unacked: BTreeMap::new(),
            slowest_ack: 0.0,
        }
    }

    /// Adds an action to the batch.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Adds a log line to the batch.
    pub fn log(&mut self, text: String) {
        self.push(Action::Log { text });
    }

    /// Lines on the shared channel that no proxy has acknowledged.
    pub fn unacked_lines(&self) -> f64 {
        self.unacked.values().map(|batch| (1.0 + batch.repeats) * batch.line_count).sum()
    }

    /// The number by which the batch in the making is to be acknowledged.
    pub fn ack_number(&self) -> AckNumber {
        (self.batch % ACK_NUMBERS) as AckNumber
    }

    /// The last batch of a number that the shared channel waits for.
    pub fn unacked_batch(&self, ack_number: AckNumber) -> Option<u64> {
        let of_number = |batch: &&u64| (**batch % ACK_NUMBERS) as AckNumber == ack_number;
        self.unacked.keys().rev().find(of_number).copied()
    }

    /// The last batch of a number, acknowledged or not.
    pub fn last_batch(&self, ack_number: AckNumber) -> Option<u64> {
        let back =
            (self.batch % ACK_NUMBERS + ACK_NUMBERS - u64::from(ack_number) % ACK_NUMBERS) % ACK_NUMBERS;
        self.batch.checked_sub(if back == 0 { ACK_NUMBERS } else { back })
    }

    /// A proxy on the shared channel has applied a batch. The channel is in order, so all before it have
    /// left.
    pub fn acknowledge(&mut self, batch: u64, proxy: ProxyId) {
        self.unacked.retain(|number, _| *number >= batch);
        if let Some(acked) = self.unacked.get_mut(&batch) {
            acked.line_count -= acked.lines.remove(&proxy).unwrap_or(0.0);
        }
    }

    /// Forgets batches that are acknowledged, or went out longer than `lifetime` ms ago.
    pub fn expire(&mut self, now: Ms, lifetime: Ms) {
        self.unacked.retain(|_, batch| !batch.lines.is_empty() && now - batch.sent_at < lifetime);
    }
}

//! The open batch of actions, and the batches on the shared channel that await acknowledgements.

use crate::interface::{AckNumber, Action, Ms, ProxyId};
use std::collections::BTreeMap;

/// Acknowledgement numbers are batch numbers modulo this value, as they have 16 bits on the wire.
const ACK_NUMBERS: u64 = 65_535;

/// Number of lines that an update writes to a proxy. A fraction is the probability of a line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProxyLines {
    pub proxy: ProxyId,
    pub lines: f64,
}

/// Cost of an update, by proxy and on the shared channel.
#[derive(Debug)]
pub(crate) struct UpdateCost {
    pub by_proxy: Vec<ProxyLines>,
    /// Lines that the update adds to the shared channel. Dedicated channels have no queue and count as 0.
    pub channel_lines: f64,
}

/// A batch on the shared channel with messages that are not acknowledged yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnackedBatch {
    /// Latest time at which the batch may have been sent.
    pub sent_at: Ms,
    /// Unacknowledged channel lines, by proxy.
    pub lines: BTreeMap<ProxyId, f64>,
    /// Sum of `lines`.
    pub line_count: f64,
    /// How often the batch may have been sent again.
    pub repeats: f64,
}

/// The open batch, and the unacknowledged batches that may still be in transit.
#[derive(Debug)]
pub(crate) struct Outbox {
    /// Number of the open batch, starting at 1.
    pub batch: u64,
    /// Actions of the open batch.
    pub actions: Vec<Action>,
    /// Lines of the open batch, by proxy.
    pub lines: BTreeMap<ProxyId, f64>,
    /// Lines that the open batch adds to the shared channel.
    pub channel_lines: f64,
    /// Unacknowledged batches on the shared channel, by batch number.
    pub unacked: BTreeMap<u64, UnackedBatch>,
    /// Decaying maximum of the acknowledgement delay on the shared channel, in ms.
    pub slowest_ack: Ms,
}

impl Outbox {
    /// Creates an outbox with an empty open batch, number 1.
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

    /// Appends an action to the open batch without counting its lines, which is up to the caller.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Appends a log action to the open batch; `text` consists of `key=value` pairs.
    pub fn log(&mut self, text: String) {
        self.push(Action::Log { text });
    }

    /// Unacknowledged lines on the shared channel, including possible repeats.
    pub fn unacked_lines(&self) -> f64 {
        self.unacked.values().map(|batch| (1.0 + batch.repeats) * batch.line_count).sum()
    }

    /// Acknowledgement number of the open batch.
    pub fn ack_number(&self) -> AckNumber {
        (self.batch % ACK_NUMBERS) as AckNumber
    }

    /// The latest unacknowledged batch with an acknowledgement number.
    pub fn unacked_batch(&self, ack_number: AckNumber) -> Option<u64> {
        let of_number = |batch: &&u64| (**batch % ACK_NUMBERS) as AckNumber == ack_number;
        self.unacked.keys().rev().find(of_number).copied()
    }

    /// The latest closed batch with an acknowledgement number, acknowledged or not.
    pub fn last_batch(&self, ack_number: AckNumber) -> Option<u64> {
        let back =
            (self.batch % ACK_NUMBERS + ACK_NUMBERS - u64::from(ack_number) % ACK_NUMBERS) % ACK_NUMBERS;
        self.batch.checked_sub(if back == 0 { ACK_NUMBERS } else { back })
    }

    /// Handles the acknowledgement of a batch by a proxy on the shared channel. The channel preserves order, so
    /// all earlier batches have left the queue and are dropped.
    pub fn acknowledge(&mut self, batch: u64, proxy: ProxyId) {
        self.unacked.retain(|number, _| *number >= batch);
        if let Some(acked) = self.unacked.get_mut(&batch) {
            acked.line_count -= acked.lines.remove(&proxy).unwrap_or(0.0);
        }
    }

    /// Drops batches that are fully acknowledged or were sent at least `lifetime` ms ago.
    pub fn expire(&mut self, now: Ms, lifetime: Ms) {
        self.unacked.retain(|_, batch| !batch.lines.is_empty() && now - batch.sent_at < lifetime);
    }
}

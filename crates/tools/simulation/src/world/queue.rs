//! Queue of pending deliveries.

use crate::proxy::PlatformRelay;
use crate::script::ProxyReport;
use rushcourse_director_state::FetchId;
use rushcourse_policy::interface::{AckNumber, Ms};
use rushcourse_xds as xds;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A message in transit or another event that is due at a later time. Proxies are identified by their index.
pub(super) enum Pending {
    /// Script event, by its index.
    Event(usize),
    /// Discovery answers a watch without changes, if the request is still the latest.
    WatchTimeout(FetchId),
    /// The relay sends a keepalive line on its watch.
    Keepalive,
    /// A snapshot of the relay's tables is delivered to proxies.
    RelayTables {
        proxies: Vec<usize>,
        tables: Rc<PlatformRelay>,
        ack_number: Option<AckNumber>,
    },
    /// The relay reports on its watch that a proxy has applied a call.
    Acknowledgement { proxy: usize, ack_number: AckNumber },
    /// A discovery response is delivered to its proxy.
    Response {
        stream: xds::StreamId,
        response: xds::Response,
    },
    /// A proxy's ACK of a discovery response is delivered to the director.
    StreamAck {
        stream: xds::StreamId,
        nonce: String,
    },
    /// A proxy opens new streams, or the relay announces it on its watch again.
    ProxyReconnects(usize),
    /// The collector forwards reports of proxies on the relay.
    Reports(Rc<Vec<ProxyReport>>),
}

/// Due time in microseconds since the start. Entries with the same time are ordered by `sequence`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    microseconds: u64,
    sequence: u64,
}

/// Priority queue of pending deliveries, ordered by due time and then by insertion.
#[derive(Default)]
pub(super) struct PendingQueue {
    entries: BTreeMap<Due, Pending>,
    sequence: u64,
}

impl PendingQueue {
    pub(super) fn schedule(&mut self, at: Ms, pending: Pending) {
        self.sequence += 1;
        let due = Due {
            microseconds: (at * 1000.0) as u64,
            sequence: self.sequence,
        };
        self.entries.insert(due, pending);
    }

    /// Due time of the next entry in ms since the start, or infinity if the queue is empty.
    pub(super) fn next_due(&self) -> Ms {
        let next = self.entries.first_key_value();
        next.map_or(f64::INFINITY, |(due, _)| due.microseconds as Ms / 1000.0)
    }

    pub(super) fn pop(&mut self) -> Option<Pending> {
        self.entries.pop_first().map(|(_, pending)| pending)
    }

    /// Drops the discovery responses, ACKs and watch of a director that has restarted.
    pub(super) fn drop_director_traffic(&mut self) {
        self.entries.retain(|_, pending| {
            !matches!(
                pending,
                Pending::WatchTimeout(_) | Pending::StreamAck { .. } | Pending::Response { .. }
            )
        });
    }
}

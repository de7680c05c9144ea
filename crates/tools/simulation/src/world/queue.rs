//! What is on its way.

use crate::proxy::PlatformRelay;
use crate::script::ProxyReport;
use rushcourse_policy::interface::{AckNumber, Ms};
use rushcourse_xds as xds;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What is on its way, or due at a time. Proxies are given by their index.
pub(super) enum Pending {
    /// The script's event of this index.
    Event(usize),
    /// A watch of the list comes to its end, by the number of its request.
    WatchEnds(u64),
    /// The relay says on its watch that it is there.
    Keepalive,
    /// The platform's tables reach proxies, as they stood then.
    RelayTables {
        proxies: Vec<usize>,
        tables: Rc<PlatformRelay>,
        ack_number: Option<AckNumber>,
    },
    /// The relay says that a proxy has applied a call.
    Acknowledgement { proxy: usize, ack_number: AckNumber },
    /// A response reaches its proxy.
    Response {
        stream: xds::StreamId,
        response: xds::Response,
    },
    /// A proxy's ACK of a response reaches the director.
    StreamAck {
        stream: xds::StreamId,
        nonce: String,
    },
    /// A proxy opens its streams, or the relay says that it is joined.
    Reopens(usize),
    /// The collector passes reports on.
    Reports(Rc<Vec<ProxyReport>>),
}

/// When something is due, to the microsecond; what was scheduled first comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    microseconds: u64,
    sequence: u64,
}

/// What is on its way, in order.
#[derive(Default)]
pub(super) struct PendingQueue {
    entries: BTreeMap<Due, Pending>,
    sequence: u64,
}

impl PendingQueue {
    /// Schedules something for a time.
    pub(super) fn schedule(&mut self, at: Ms, pending: Pending) {
        self.sequence += 1;
        let due = Due {
            microseconds: (at * 1000.0) as u64,
            sequence: self.sequence,
        };
        self.entries.insert(due, pending);
    }

    /// When the next one is due; infinite where there is none.
    pub(super) fn next_at(&self) -> Ms {
        let next = self.entries.first_key_value();
        next.map_or(f64::INFINITY, |(due, _)| due.microseconds as Ms / 1000.0)
    }

    /// The next one.
    pub(super) fn pop(&mut self) -> Option<Pending> {
        self.entries.pop_first().map(|(_, pending)| pending)
    }

    /// Drops what came from a director that died, and the watch that it had.
    pub(super) fn drop_director_traffic(&mut self) {
        self.entries.retain(|_, pending| {
            !matches!(
                pending,
                Pending::WatchEnds(_) | Pending::StreamAck { .. } | Pending::Response { .. }
            )
        });
    }
}

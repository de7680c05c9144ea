//! Calls that wait for the relay or are in flight: one batch of the policy is one call, and the order is kept.

use rushcourse_director_protocol::relay::{MAX_ORDER_BYTES, Order};
use rushcourse_policy::interface::{AckNumber, Event, Ms};
use std::collections::VecDeque;

/// Calls that may wait, beside the bound of their bytes; while there are as many, the policy is not asked for more.
const MAX_CALLS: usize = 256;
/// So many times more may wait while proxies are reached by streams.
const FACTOR_WITH_STREAMS: usize = 4;

/// The orders of one batch of the policy.
pub(crate) struct Batch {
    pub(crate) orders: Vec<Order>,
    /// The number by which proxies acknowledge the batch, if any is reached.
    pub(crate) ack_number: Option<AckNumber>,
    /// When the first input that led to it came.
    pub(crate) caused_at: Ms,
}

impl Batch {
    /// Whether its orders reach any proxy: a request to acknowledge alone does not.
    pub(crate) fn reaches_proxies(&self) -> bool {
        reach_proxies(&self.orders)
    }

    /// The orders as calls, in order, none of them over the limit of a call.
    fn split(self) -> Vec<Call> {
        let (mut parts, mut size): (Vec<Vec<Order>>, usize) = (Vec::new(), 0);
        for order in self.orders {
            let order_size = order.as_str().len() + 1;
            size += order_size;
            match parts.last_mut() {
                Some(part) if size <= MAX_ORDER_BYTES => part.push(order),
                _ => {
                    size = order_size;
                    parts.push(vec![order]);
                }
            }
        }
        parts
            .into_iter()
            .map(|orders| Call {
                orders,
                ack_number: self.ack_number,
                caused_at: self.caused_at,
                is_sent: false,
                is_acknowledged: false,
            })
            .collect()
    }
}

fn reach_proxies(orders: &[Order]) -> bool {
    orders.iter().any(|order| !order.is_ack_request())
}

/// A call, which is a batch or a part of one.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) orders: Vec<Order>,
    /// The number by which proxies acknowledge the batch, also in those parts of a split one that don't ask for it.
    pub(crate) ack_number: Option<AckNumber>,
    /// When the first input that led to it came.
    pub(crate) caused_at: Ms,
    pub(crate) is_sent: bool,
    /// A proxy has acknowledged it: it was carried out.
    pub(crate) is_acknowledged: bool,
}

impl Call {
    /// Whether proxies acknowledge it by this number: of the parts of a split batch only the last one asks for that.
    pub(crate) fn requests_ack(&self, ack_number: AckNumber) -> bool {
        self.ack_number == Some(ack_number) && self.orders.last().is_some_and(Order::is_ack_request)
    }

    fn order_bytes(&self) -> usize {
        self.orders.iter().map(|order| order.as_str().len()).sum()
    }
}

/// What became of a call whose orders were not all accepted.
pub(crate) struct PartialAcceptance {
    /// The first order that was not accepted.
    pub(crate) dropped: Option<Order>,
    /// What follows it goes out as a call of its own.
    pub(crate) has_rest: bool,
}

/// Calls in the order in which they go out. The first one may be in flight.
pub(crate) struct CallQueue {
    calls: VecDeque<Call>,
    /// Bytes of orders that may wait.
    max_bytes: usize,
}

impl CallQueue {
    pub(crate) fn new(max_bytes: usize) -> CallQueue {
        CallQueue {
            calls: VecDeque::new(),
            max_bytes,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether the policy may be asked for more. A relay that is silent holds up its own proxies; those that are reached
    /// by streams are served on, until far more calls wait than ever do.
    pub(crate) fn has_room(&self, has_streams: bool) -> bool {
        let factor = if has_streams { FACTOR_WITH_STREAMS } else { 1 };
        let bytes = || self.calls.iter().map(Call::order_bytes).sum::<usize>();
        self.calls.len() < factor * MAX_CALLS && bytes() < self.max_bytes
    }

    /// Adds a batch; returns how many calls it takes.
    pub(crate) fn push(&mut self, batch: Batch) -> usize {
        let calls = batch.split();
        let count = calls.len();
        self.calls.extend(calls);
        count
    }

    pub(crate) fn first(&self) -> Option<&Call> {
        self.calls.front()
    }

    pub(crate) fn first_mut(&mut self) -> Option<&mut Call> {
        self.calls.front_mut()
    }

    pub(crate) fn remove_first(&mut self) -> Option<Call> {
        self.calls.pop_front()
    }

    /// So many orders of the first call were accepted. If there are more, the next one is bad and is dropped, and the rest
    /// goes out as a call of its own.
    pub(crate) fn accept_first(&mut self, accepted: usize) -> Option<PartialAcceptance> {
        let mut call = self.remove_first()?;
        if accepted >= call.orders.len() {
            return None;
        }
        let rest = call.orders.split_off(accepted + 1);
        let dropped = call.orders.pop();
        let has_rest = reach_proxies(&rest);
        if has_rest {
            self.calls.push_front(Call {
                orders: rest,
                is_sent: true,
                ..call
            });
        }
        Some(PartialAcceptance { dropped, has_rest })
    }

    /// The event that nothing which waits here is known to be carried out yet. `may_have_run`: the first call may have
    /// been.
    pub(crate) fn unconfirmed(&self, may_have_run: bool) -> Option<Event> {
        let (position, ack_number) = self
            .calls
            .iter()
            .enumerate()
            .find_map(|(position, call)| Some((position, call.ack_number?)))?;
        Some(Event::CallUnconfirmed {
            ack_number,
            may_have_run: may_have_run && position == 0,
        })
    }
}

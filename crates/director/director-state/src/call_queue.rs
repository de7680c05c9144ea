//! FIFO queue of calls to the relay. A batch of the policy becomes one call, or several if it exceeds the size limit.

use rushcourse_director_protocol::relay::{MAX_ORDER_BYTES, Order};
use rushcourse_policy::interface::{AckNumber, Event, Ms};
use std::collections::VecDeque;

/// Queue length from which on the policy is not run; the queue is bounded in bytes as well.
const MAX_CALLS: usize = 256;
/// Multiplies [`MAX_CALLS`] while some proxies are reached by streams, which need the policy to keep running.
const STREAMS_QUEUE_FACTOR: usize = 4;

/// Orders for the relay from one run of the policy.
pub(crate) struct Batch {
    pub(crate) orders: Vec<Order>,
    /// Number with which proxies acknowledge the batch; `None` if it reaches no proxy.
    pub(crate) ack_number: Option<AckNumber>,
    /// Time at which the oldest event of the batch was queued.
    pub(crate) triggered_at: Ms,
}

impl Batch {
    /// Whether any order has an effect on proxies. A batch with nothing but an acknowledgement request has none.
    pub(crate) fn reaches_proxies(&self) -> bool {
        reach_proxies(&self.orders)
    }

    /// Splits the batch into calls of at most [`MAX_ORDER_BYTES`], keeping the order. A single larger order is sent alone.
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
                triggered_at: self.triggered_at,
                is_sent: false,
                is_acknowledged: false,
            })
            .collect()
    }
}

fn reach_proxies(orders: &[Order]) -> bool {
    orders.iter().any(|order| !order.is_ack_request())
}

/// A call to the relay, with all orders of a batch or a part of them.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) orders: Vec<Order>,
    /// Acknowledgement number of the batch, set in all parts of a split batch although only the last one requests it.
    pub(crate) ack_number: Option<AckNumber>,
    /// Time at which the oldest event of the batch was queued.
    pub(crate) triggered_at: Ms,
    /// The call was written to the relay at least once.
    pub(crate) is_sent: bool,
    /// A proxy acknowledged the call, which proves that the relay executed it.
    pub(crate) is_acknowledged: bool,
}

impl Call {
    /// Whether an acknowledgement with this number proves the call: the request is in the last part of a split batch only.
    pub(crate) fn requests_ack(&self, ack_number: AckNumber) -> bool {
        self.ack_number == Some(ack_number) && self.orders.last().is_some_and(Order::is_ack_request)
    }

    fn order_bytes(&self) -> usize {
        self.orders.iter().map(|order| order.as_str().len()).sum()
    }
}

/// Result of a call of which the relay accepted only the leading orders.
pub(crate) struct PartialAcceptance {
    /// First order that was not accepted; it is not sent again.
    pub(crate) dropped: Option<Order>,
    /// The orders after the dropped one were queued as a call of their own.
    pub(crate) has_remainder: bool,
}

/// Queued calls in sending order. The first one may be in flight.
pub(crate) struct CallQueue {
    calls: VecDeque<Call>,
    /// Bytes of queued orders from which on the queue has no room.
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

    /// Whether the policy may be run. With `has_streams`, more calls may be queued, so that an unresponsive relay does not
    /// delay updates to proxies that are reached by streams.
    pub(crate) fn has_room(&self, has_streams: bool) -> bool {
        let factor = if has_streams { STREAMS_QUEUE_FACTOR } else { 1 };
        let bytes = || self.calls.iter().map(Call::order_bytes).sum::<usize>();
        self.calls.len() < factor * MAX_CALLS && bytes() < self.max_bytes
    }

    /// Appends a batch; returns the number of calls that it was split into.
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

    /// Removes the first call after `accepted` of its orders were accepted. If it had more, the next order is invalid and
    /// is dropped, and the remaining orders are put back as the first call.
    pub(crate) fn accept_first(&mut self, accepted: usize) -> Option<PartialAcceptance> {
        let mut call = self.remove_first()?;
        if accepted >= call.orders.len() {
            return None;
        }
        let remainder = call.orders.split_off(accepted + 1);
        let dropped = call.orders.pop();
        let has_remainder = reach_proxies(&remainder);
        if has_remainder {
            self.calls.push_front(Call {
                orders: remainder,
                is_sent: true,
                ..call
            });
        }
        Some(PartialAcceptance {
            dropped,
            has_remainder,
        })
    }

    /// Returns the event that tells the policy that no queued call is confirmed, or `None` if there is none to confirm.
    /// `may_have_run`: the relay may have executed the first call.
    pub(crate) fn unconfirmed_event(&self, may_have_run: bool) -> Option<Event> {
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

//! Sends calls to the relay, one at a time. A call with an unknown outcome is resent before any later call, and the
//! policy is notified that it is unconfirmed.

use crate::call_queue::{Batch, CallQueue};
use crate::counter::Counter;
use crate::effect::Severity;
use crate::identifiers::{RelayConnectionId, RelayLink};
use crate::relay_connection::{REJECTION_DELAY, RelayConnection};
use crate::step_context::StepContext;
use crate::time::millis;
use rushcourse_director_protocol::relay::{self, Reply};
use rushcourse_policy::interface::{AckNumber, Event, Ms};
use std::net::SocketAddr;
use std::time::Duration;

/// Time within which the relay replies to a call, by its protocol.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);
/// Allowance for network latency and scheduling of the director's event loop.
const REPLY_SLACK: Duration = Duration::from_millis(15);
/// An idle connection is replaced after this time, because the relay closes idle connections after up to 10 s.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Delays before a call with an unknown outcome is resent; the last one applies to all further attempts. The delays grow
/// to leave time for the acknowledgement of a proxy, which makes the resend unnecessary. The number of resends is limited
/// by the policy's message cap.
/// All are well below the time after which the policy counts an unacknowledged endpoint as applied.
const RESEND_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(400),
    Duration::from_millis(800),
];
/// Interval at which the policy is asked again about a resend that it has deferred.
const DEFERRED_RESEND_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Disconnected {
        retry_at: Ms,
    },
    Connecting {
        deadline: Ms,
    },
    Idle {
        since: Ms,
    },
    /// The relay rejected a call. The connection stays open and the call is sent again on it.
    Rejected {
        retry_at: Ms,
    },
    AwaitingReply {
        sent_at: Ms,
        deadline: Ms,
    },
}

impl State {
    fn awaiting_reply(sent_at: Ms) -> State {
        State::AwaitingReply {
            sent_at,
            deadline: sent_at + millis(REPLY_TIMEOUT + REPLY_SLACK),
        }
    }
}

pub(crate) struct CallSender {
    queue: CallQueue,
    state: State,
    connection: RelayConnection,
    /// Unknown outcomes since the last reply that accepted orders or the last confirmation by a proxy.
    consecutive_unknown_outcomes: usize,
    /// The relay has accepted a call. From then on it has no reason to reject one.
    has_accepted_call: bool,
    /// The address changed and the current connection still uses the previous one.
    has_address_changed: bool,
}

impl CallSender {
    /// `max_bytes` bounds the orders of queued calls.
    pub(crate) fn new(relay: SocketAddr, max_bytes: usize) -> CallSender {
        CallSender {
            queue: CallQueue::new(max_bytes),
            state: State::Disconnected { retry_at: 0.0 },
            connection: RelayConnection::new(RelayLink::Calls, relay),
            consecutive_unknown_outcomes: 0,
            has_accepted_call: false,
            has_address_changed: false,
        }
    }

    /// Number of queued calls, including one in flight.
    pub(crate) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether the policy may be run, see [`CallQueue::has_room`].
    pub(crate) fn has_room(&self, has_streams: bool) -> bool {
        self.queue.has_room(has_streams)
    }

    /// Changes the relay's address. The current connection is replaced once no call is in flight.
    pub(crate) fn set_address(&mut self, relay: SocketAddr) {
        self.connection.address = relay;
        self.has_address_changed = true;
    }

    /// Queues a batch. Each additional call of a split batch is an additional message to proxies, which is reported to the
    /// policy for its message cap.
    pub(crate) fn push(&mut self, context: &mut StepContext, batch: Batch) {
        let ack_number = batch.ack_number;
        let calls = self.queue.push(batch);
        if calls <= 1 {
            return;
        }
        context.counters.add(Counter::CallsSplit, calls as u64 - 1);
        context.log(Severity::Warning, "split", || {
            format!("batch exceeds the size limit; sent in {calls} calls")
        });
        if let Some(ack_number) = ack_number {
            for _ in 1..calls {
                context.emit(Event::CallUnconfirmed {
                    ack_number,
                    may_have_run: true,
                });
            }
        }
    }

    fn report_unconfirmed(&self, context: &mut StepContext, may_have_run: bool) {
        if let Some(event) = self.queue.unconfirmed_event(may_have_run) {
            context.emit(event);
        }
    }

    /// Schedules a resend of the call in flight, which the relay may have executed, unless a proxy has acknowledged it.
    fn on_unknown_outcome(&mut self, context: &mut StepContext, reason: &str) {
        let delay = RESEND_DELAYS[self
            .consecutive_unknown_outcomes
            .min(RESEND_DELAYS.len() - 1)];
        self.consecutive_unknown_outcomes += 1;
        self.state = State::Disconnected {
            retry_at: context.after(delay),
        };
        self.report_unconfirmed(context, true);
        context.count(Counter::CallsUnknown);
        let is_acknowledged = self.queue.first().is_some_and(|call| call.is_acknowledged);
        let next = if is_acknowledged {
            "a proxy has answered it already"
        } else {
            "the same call goes out again"
        };
        context.log(Severity::Warning, "call unknown", || {
            format!("{reason}; {next}")
        });
        if is_acknowledged {
            self.on_confirmed_outcome(context);
        }
    }

    /// Removes the first call, whose outcome was unknown, after an acknowledgement proved that it was executed.
    fn on_confirmed_outcome(&mut self, context: &mut StepContext) {
        self.queue.remove_first();
        self.consecutive_unknown_outcomes = 0;
        context.count(Counter::CallsAcknowledged);
        if let State::Disconnected { retry_at } = &mut self.state {
            *retry_at = retry_at.min(context.now);
        }
    }

    /// Schedules another attempt to connect. The waiting call was not sent.
    fn on_connect_failed(&mut self, context: &mut StepContext, reason: &str) {
        let delay = self.connection.backoff.next_delay();
        self.state = State::Disconnected {
            retry_at: context.after(delay),
        };
        self.report_unconfirmed(context, false);
        context.count(Counter::CallConnectionsFailed);
        context.log(Severity::Warning, "relay", || format!("calls: {reason}"));
    }

    pub(crate) fn on_connected(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
    ) {
        if self.connection.is_current(connection) && matches!(self.state, State::Connecting { .. })
        {
            self.state = State::Idle { since: context.now };
        }
    }

    /// Restarts the reply timeout when the last byte of the call was written, so that time spent on a long step or a slow
    /// write is not counted as the relay's.
    pub(crate) fn on_written(&mut self, context: &StepContext, connection: RelayConnectionId) {
        if self.connection.is_current(connection)
            && matches!(self.state, State::AwaitingReply { .. })
        {
            self.state = State::awaiting_reply(context.now);
        }
    }

    pub(crate) fn on_disconnected(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
        reason: &str,
    ) {
        if !self.connection.is_current(connection) {
            return;
        }
        match self.state {
            State::AwaitingReply { .. } => {
                self.on_unknown_outcome(context, &format!("the relay broke a call ({reason})"));
            }
            State::Connecting { .. } => {
                self.on_connect_failed(context, &format!("no connection ({reason})"));
            }
            State::Idle { .. } => {
                self.state = State::Disconnected {
                    retry_at: context.now,
                };
            }
            State::Rejected { retry_at } => self.state = State::Disconnected { retry_at },
            State::Disconnected { .. } => {}
        }
    }

    pub(crate) fn on_line(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
        line: &str,
    ) {
        if !self.connection.is_current(connection) {
            return;
        }
        match self.state {
            State::AwaitingReply { sent_at, .. } => self.on_reply(context, sent_at, line),
            _ => self.on_unexpected_line(context),
        }
    }

    fn on_unexpected_line(&mut self, context: &mut StepContext) {
        self.connection.disconnect(context);
        context.log(Severity::Warning, "relay", || {
            "calls: unexpected line without a call in flight".into()
        });
        if !matches!(self.state, State::Disconnected { .. }) {
            self.state = State::Disconnected {
                retry_at: context.now,
            };
        }
    }

    fn on_reply(&mut self, context: &mut StepContext, sent_at: Ms, line: &str) {
        let orders = self.queue.first().map_or(0, |call| call.orders.len());
        match relay::parse_reply(line) {
            Reply::Accepted(count) if count <= orders => {
                let elapsed = context.now - sent_at;
                context.counters.call_to_reply.observe(elapsed);
                self.connection.backoff.reset();
                self.consecutive_unknown_outcomes = 0;
                self.has_accepted_call = true;
                self.state = State::Idle { since: context.now };
                self.on_accepted(context, count);
            }
            // After its first accepted call the relay does not reject well-formed ones. Such a reply is corrupt and does
            // not prove that the call was not executed, so the outcome is unknown.
            Reply::Busy | Reply::SyntaxError if self.has_accepted_call => {
                context.count(Counter::CallsRejected);
                self.connection.disconnect(context);
                self.on_unknown_outcome(
                    context,
                    &format!("the relay takes calls, yet its answer is {line:.60?}"),
                );
            }
            Reply::Busy => {
                context.count(Counter::CallsBusy);
                self.on_rejected(context);
            }
            Reply::SyntaxError => {
                context.count(Counter::CallsRejected);
                self.on_rejected(context);
                context.log(Severity::Error, "call refused", || {
                    format!("it goes out again: {line:.60}")
                });
            }
            Reply::Accepted(_) | Reply::Watching | Reply::Unreadable => {
                self.connection.disconnect(context);
                self.on_unknown_outcome(
                    context,
                    &format!("the relay's answer can't be read ({line:.60?})"),
                );
            }
        }
    }

    /// Schedules the rejected call again. The relay did not execute any of its orders.
    fn on_rejected(&mut self, context: &mut StepContext) {
        self.state = State::Rejected {
            retry_at: context.after(REJECTION_DELAY),
        };
        self.report_unconfirmed(context, false);
    }

    /// Completes the call in flight, of which the relay accepted the first `count` orders.
    fn on_accepted(&mut self, context: &mut StepContext, count: usize) {
        if self.queue.is_empty() {
            return;
        }
        context.count(Counter::CallsReplied);
        context.counters.add(Counter::OrdersAccepted, count as u64);
        let Some(partial) = self.queue.accept_first(count) else {
            return;
        };
        context.count(Counter::OrdersDropped);
        if let Some(order) = partial.dropped {
            context.log(Severity::Warning, "order dropped", || {
                format!("the relay does not take {order}")
            });
        }
        if partial.has_remainder {
            self.report_unconfirmed(context, count > 0);
        }
    }

    /// Handles the acknowledgement of a proxy. If it belongs to the first call, all orders of that call were executed, as
    /// the acknowledgement request is the last of them.
    pub(crate) fn on_acknowledged(&mut self, context: &mut StepContext, ack_number: AckNumber) {
        let first = self.queue.first_mut();
        let Some(call) = first.filter(|call| call.is_sent && call.requests_ack(ack_number)) else {
            return;
        };
        call.is_acknowledged = true;
        if !matches!(self.state, State::AwaitingReply { .. }) {
            self.on_confirmed_outcome(context);
        }
    }

    /// Acknowledgement number of the first call if it is a resend after an unknown outcome, which needs the consent of the
    /// policy because it may exceed the message cap of proxies.
    fn resend_ack_number(&self) -> Option<AckNumber> {
        let call = self.queue.first()?;
        if call.is_sent && self.consecutive_unknown_outcomes > 0 {
            call.ack_number
        } else {
            None
        }
    }

    /// Handles expired deadlines and sends the next call if possible; returns the next deadline. `may_resend` tells whether
    /// the message cap permits resending a call with this acknowledgement number.
    pub(crate) fn advance(
        &mut self,
        context: &mut StepContext,
        may_resend: impl Fn(AckNumber) -> bool,
    ) -> Option<Ms> {
        let now = context.now;
        loop {
            if self.has_address_changed && !matches!(self.state, State::AwaitingReply { .. }) {
                self.leave_previous_address(context);
            }
            match self.state {
                State::Disconnected { retry_at } if self.queue.is_empty() || now < retry_at => {
                    return (!self.queue.is_empty()).then_some(retry_at);
                }
                State::Disconnected { .. } => self.reconnect(context, &may_resend),
                State::Connecting { deadline } | State::AwaitingReply { deadline, .. }
                    if now < deadline =>
                {
                    return Some(deadline);
                }
                State::Connecting { .. } => {
                    self.connection.disconnect(context);
                    self.on_connect_failed(context, "no connection in time");
                }
                State::AwaitingReply { .. } => {
                    self.connection.disconnect(context);
                    self.on_unknown_outcome(context, "the relay gave no answer in time");
                }
                State::Rejected { retry_at } if now < retry_at => return Some(retry_at),
                State::Rejected { .. } => self.state = State::Idle { since: now },
                State::Idle { since } if now - since > millis(MAX_IDLE_TIME) => {
                    self.connection.disconnect(context);
                    self.state = State::Disconnected { retry_at: now };
                }
                State::Idle { .. } => self.send_next(context)?,
            }
        }
    }

    /// Closes the connection to the previous address. No call is in flight.
    fn leave_previous_address(&mut self, context: &mut StepContext) {
        self.has_address_changed = false;
        self.connection.backoff.reset();
        let retry_at = match self.state {
            State::Rejected { retry_at } => retry_at,
            State::Disconnected { retry_at } if self.consecutive_unknown_outcomes > 0 => retry_at,
            _ => context.now,
        };
        if !matches!(self.state, State::Disconnected { .. }) {
            self.connection.disconnect(context);
        }
        self.state = State::Disconnected { retry_at };
    }

    /// Connects for the first call, unless the policy defers its resend.
    fn reconnect(&mut self, context: &mut StepContext, may_resend: &impl Fn(AckNumber) -> bool) {
        let is_deferred = self
            .resend_ack_number()
            .is_some_and(|ack_number| !may_resend(ack_number));
        self.state = if is_deferred {
            context.count(Counter::ResendsDeferred);
            self.report_unconfirmed(context, false);
            State::Disconnected {
                retry_at: context.after(DEFERRED_RESEND_INTERVAL),
            }
        } else {
            State::Connecting {
                deadline: self.connection.connect(context),
            }
        };
    }

    /// Sends the first call; `None` if the queue is empty.
    fn send_next(&mut self, context: &mut StepContext) -> Option<()> {
        let call = self.queue.first_mut()?;
        context.count(Counter::CallsSent);
        if std::mem::replace(&mut call.is_sent, true) {
            context.count(Counter::CallsResent);
        } else {
            let elapsed = context.now - call.triggered_at;
            context.counters.input_to_call.observe(elapsed);
        }
        let line = relay::encode_call(&call.orders);
        self.connection.send(context, line);
        self.state = State::awaiting_reply(context.now);
        Some(())
    }
}

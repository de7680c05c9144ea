//! Sends calls to the relay, one at a time. A call whose outcome is unknown is repeated before any later one, and the
//! policy is told.

use crate::call_queue::{Batch, CallQueue};
use crate::counter::Counter;
use crate::effect::Severity;
use crate::identifiers::{RelayConnectionId, RelayLink};
use crate::relay_connection::{BUSY_DELAY, RelayConnection};
use crate::step_context::StepContext;
use crate::time::millis;
use rushcourse_director_protocol::relay::{self, Reply};
use rushcourse_policy::interface::{AckNumber, Event, Ms};
use std::net::SocketAddr;
use std::time::Duration;

/// Within this the relay replies or never does.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);
/// What the way to the relay and the director's own loop may add to it.
const REPLY_SLACK: Duration = Duration::from_millis(15);
/// After this an idle connection is not trusted: the relay closes it after about 10 s or less.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Delays before a call of unknown outcome goes out again. At once is best for what waits; later ones leave time for a
/// proxy's acknowledgement, which shows that the call was carried out. All are far under the time after which the policy
/// takes an unacknowledged endpoint for held. How many repeats there may be is the policy's decision.
const REPEAT_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(400),
    Duration::from_millis(800),
];
/// After this a repeat that the policy holds back is looked at again.
const HELD_BACK_INTERVAL: Duration = Duration::from_millis(500);

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
    /// The relay rejected a call: the connection stays, the call waits.
    Rejected {
        retry_at: Ms,
    },
    AwaitingReply {
        sent_at: Ms,
        deadline: Ms,
    },
}

impl State {
    /// A call left at this time.
    fn sent(sent_at: Ms) -> State {
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
    /// Unknown outcomes in a row.
    unknown_outcomes: usize,
    /// A call was accepted: the relay's run has begun.
    has_run_begun: bool,
    /// The connection that stands is to where the relay was before.
    has_moved: bool,
}

impl CallSender {
    /// `max_bytes`: how much may wait.
    pub(crate) fn new(relay: SocketAddr, max_bytes: usize) -> CallSender {
        CallSender {
            queue: CallQueue::new(max_bytes),
            state: State::Disconnected { retry_at: 0.0 },
            connection: RelayConnection::new(RelayLink::Calls, relay),
            unknown_outcomes: 0,
            has_run_begun: false,
            has_moved: false,
        }
    }

    /// Calls that wait or are in flight.
    pub(crate) fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether the policy may be asked for more, see [`CallQueue::has_room`].
    pub(crate) fn has_room(&self, has_streams: bool) -> bool {
        self.queue.has_room(has_streams)
    }

    /// The relay is elsewhere from now on. A call in flight gets its reply where it was sent.
    pub(crate) fn move_to(&mut self, relay: SocketAddr) {
        self.connection.address = relay;
        self.has_moved = true;
    }

    /// Adds a batch. One too long for one call is split: each further part is one more message to proxies, and the policy
    /// is told.
    pub(crate) fn push(&mut self, context: &mut StepContext, batch: Batch) {
        let ack_number = batch.ack_number;
        let calls = self.queue.push(batch);
        if calls <= 1 {
            return;
        }
        context.counters.add(Counter::CallsSplit, calls as u64 - 1);
        context.log(Severity::Warning, "split", || {
            format!("a reply was sent in {calls} calls")
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
        if let Some(event) = self.queue.unconfirmed(may_have_run) {
            context.emit(event);
        }
    }

    /// The call in flight may have been carried out or not.
    fn outcome_unknown(&mut self, context: &mut StepContext, reason: &str) {
        let delay = REPEAT_DELAYS[self.unknown_outcomes.min(REPEAT_DELAYS.len() - 1)];
        self.unknown_outcomes += 1;
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
            self.outcome_confirmed(context);
        }
    }

    /// The call of unknown outcome was carried out.
    fn outcome_confirmed(&mut self, context: &mut StepContext) {
        self.queue.remove_first();
        self.unknown_outcomes = 0;
        context.count(Counter::CallsAcknowledged);
        if let State::Disconnected { retry_at } = &mut self.state {
            *retry_at = retry_at.min(context.now);
        }
    }

    /// No connection was established: nothing was carried out.
    fn connect_failed(&mut self, context: &mut StepContext, reason: &str) {
        let delay = self.connection.backoff.next_delay();
        self.state = State::Disconnected {
            retry_at: context.after(delay),
        };
        self.report_unconfirmed(context, false);
        context.count(Counter::CallConnectionsFailed);
        context.log(Severity::Warning, "relay", || format!("calls: {reason}"));
    }

    pub(crate) fn connected(&mut self, context: &mut StepContext, connection: RelayConnectionId) {
        if self.connection.is_current(connection) && matches!(self.state, State::Connecting { .. })
        {
            self.state = State::Idle { since: context.now };
        }
    }

    /// The call's last byte was written: the relay's time runs from here. A step that ordered much takes long by itself,
    /// and counted as the relay's silence it had the largest calls written twice (herd+mass 13: 57 ms of 65).
    pub(crate) fn written(&mut self, context: &StepContext, connection: RelayConnectionId) {
        if self.connection.is_current(connection)
            && matches!(self.state, State::AwaitingReply { .. })
        {
            self.state = State::sent(context.now);
        }
    }

    pub(crate) fn disconnected(
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
                self.outcome_unknown(context, &format!("the relay broke a call ({reason})"));
            }
            State::Connecting { .. } => {
                self.connect_failed(context, &format!("no connection ({reason})"));
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

    pub(crate) fn line_received(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
        line: &str,
    ) {
        if !self.connection.is_current(connection) {
            return;
        }
        match self.state {
            State::AwaitingReply { sent_at, .. } => self.reply_received(context, sent_at, line),
            _ => self.unexpected_line(context),
        }
    }

    fn unexpected_line(&mut self, context: &mut StepContext) {
        self.connection.disconnect(context);
        context.log(Severity::Warning, "relay", || {
            "calls: a line that answers nothing".into()
        });
        if !matches!(self.state, State::Disconnected { .. }) {
            self.state = State::Disconnected {
                retry_at: context.now,
            };
        }
    }

    fn reply_received(&mut self, context: &mut StepContext, sent_at: Ms, line: &str) {
        let orders = self.queue.first().map_or(0, |call| call.orders.len());
        match relay::parse_reply(line) {
            Reply::Accepted(count) if count <= orders => {
                let elapsed = context.now - sent_at;
                context.counters.call_to_reply.observe(elapsed);
                self.connection.backoff.reset();
                self.unknown_outcomes = 0;
                self.has_run_begun = true;
                self.state = State::Idle { since: context.now };
                self.accepted(context, count);
            }
            // Once calls are accepted, none is rejected, and ours can be read: such a reply is spoilt, and proves
            // nothing. Nothing is given up, so the model believes no endpoint that was never sent to the end.
            Reply::Busy | Reply::SyntaxError if self.has_run_begun => {
                context.count(Counter::CallsRejected);
                self.connection.disconnect(context);
                self.outcome_unknown(
                    context,
                    &format!("the relay takes calls, yet its answer is {line:.60?}"),
                );
            }
            Reply::Busy => {
                context.count(Counter::CallsBusy);
                self.rejected(context);
            }
            Reply::SyntaxError => {
                context.count(Counter::CallsRejected);
                self.rejected(context);
                context.log(Severity::Error, "call refused", || {
                    format!("it goes out again: {line:.60}")
                });
            }
            Reply::Accepted(_) | Reply::Watching | Reply::Unreadable => {
                self.connection.disconnect(context);
                self.outcome_unknown(
                    context,
                    &format!("the relay's answer can't be read ({line:.60?})"),
                );
            }
        }
    }

    /// The relay's run has not begun: nothing was carried out.
    fn rejected(&mut self, context: &mut StepContext) {
        self.state = State::Rejected {
            retry_at: context.after(BUSY_DELAY),
        };
        self.report_unconfirmed(context, false);
    }

    /// So many orders of the call in flight were accepted.
    fn accepted(&mut self, context: &mut StepContext, count: usize) {
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
        if partial.has_rest {
            self.report_unconfirmed(context, count > 0);
        }
    }

    /// A proxy has acknowledged a call. Where its outcome was unknown, it is known now: all orders were accepted, as the
    /// request to acknowledge is the last of them.
    pub(crate) fn acknowledged(&mut self, context: &mut StepContext, ack_number: AckNumber) {
        let first = self.queue.first_mut();
        let Some(call) = first.filter(|call| call.is_sent && call.requests_ack(ack_number)) else {
            return;
        };
        call.is_acknowledged = true;
        if !matches!(self.state, State::AwaitingReply { .. }) {
            self.outcome_confirmed(context);
        }
    }

    /// The number of the next call if it repeats one of unknown outcome, whose messages may exceed the cap.
    fn repeated_ack_number(&self) -> Option<AckNumber> {
        let call = self.queue.first()?;
        if call.is_sent && self.unknown_outcomes > 0 {
            call.ack_number
        } else {
            None
        }
    }

    /// Does what is due; returns when it wants to be called again. `may_repeat` is the policy's decision on a call.
    pub(crate) fn advance(
        &mut self,
        context: &mut StepContext,
        may_repeat: impl Fn(AckNumber) -> bool,
    ) -> Option<Ms> {
        let now = context.now;
        loop {
            if self.has_moved && !matches!(self.state, State::AwaitingReply { .. }) {
                self.leave_former_address(context);
            }
            match self.state {
                State::Disconnected { retry_at } if self.queue.is_empty() || now < retry_at => {
                    return (!self.queue.is_empty()).then_some(retry_at);
                }
                State::Disconnected { .. } => self.reconnect(context, &may_repeat),
                State::Connecting { deadline } | State::AwaitingReply { deadline, .. }
                    if now < deadline =>
                {
                    return Some(deadline);
                }
                State::Connecting { .. } => {
                    self.connection.disconnect(context);
                    self.connect_failed(context, "no connection in time");
                }
                State::AwaitingReply { .. } => {
                    self.connection.disconnect(context);
                    self.outcome_unknown(context, "the relay gave no answer in time");
                }
                State::Rejected { retry_at } if now < retry_at => return Some(retry_at),
                State::Rejected { .. } => self.state = State::Idle { since: now },
                State::Idle { since } if now - since > millis(MAX_IDLE) => {
                    self.connection.disconnect(context);
                    self.state = State::Disconnected { retry_at: now };
                }
                State::Idle { .. } => self.send_next(context)?,
            }
        }
    }

    /// Leaves a connection to where the relay was, with no call in flight on it.
    fn leave_former_address(&mut self, context: &mut StepContext) {
        self.has_moved = false;
        self.connection.backoff.reset();
        let retry_at = match self.state {
            State::Rejected { retry_at } => retry_at,
            State::Disconnected { retry_at } if self.unknown_outcomes > 0 => retry_at,
            _ => context.now,
        };
        if !matches!(self.state, State::Disconnected { .. }) {
            self.connection.disconnect(context);
        }
        self.state = State::Disconnected { retry_at };
    }

    /// Connects for the next call, unless the policy holds its repeat back.
    fn reconnect(&mut self, context: &mut StepContext, may_repeat: &impl Fn(AckNumber) -> bool) {
        let is_held_back = self
            .repeated_ack_number()
            .is_some_and(|ack_number| !may_repeat(ack_number));
        self.state = if is_held_back {
            context.count(Counter::RepeatsHeldBack);
            self.report_unconfirmed(context, false);
            State::Disconnected {
                retry_at: context.after(HELD_BACK_INTERVAL),
            }
        } else {
            State::Connecting {
                deadline: self.connection.connect(context),
            }
        };
    }

    /// Sends the next call; nothing if none waits.
    fn send_next(&mut self, context: &mut StepContext) -> Option<()> {
        let call = self.queue.first_mut()?;
        context.count(Counter::CallsSent);
        if std::mem::replace(&mut call.is_sent, true) {
            context.count(Counter::CallsRepeated);
        } else {
            let elapsed = context.now - call.caused_at;
            context.counters.input_to_call.observe(elapsed);
        }
        let line = relay::encode_call(&call.orders);
        self.connection.send(context, line);
        self.state = State::sent(context.now);
        Some(())
    }
}

//! Calls to the relay: one reply of the module is one call, one call is in flight, and the order is kept. A
//! call whose outcome is not known is repeated before any later one, and the module is told.

use crate::boundary::{Link, Weight};
use crate::relay_connection::{BUSY_WAIT, RelayConnection};
use crate::step_context::StepContext;
use rushcourse_director_protocol::relay::{self, Answer};
use rushcourse_policy::interface::{Event, Ms};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Calls that may wait, beside the bound of their bytes; while there are as many, the module is not asked for more.
const CALLS_MOST: usize = 256;
/// So many times more may wait while proxies are reached by streams.
const OTHERS_FACTOR: usize = 4;
/// ms within which the relay answers or never does, and what the way there and our own loop may add.
const ANSWER_WITHIN: Ms = 50.0;
const SLACK: Ms = 15.0;
/// ms after which an idle connection is not trusted: the relay closes it after about 10 s or less.
const IDLE_MOST: Ms = 4000.0;
/// Pauses before a call of unknown outcome goes out again, in ms. At once is best for what waits; later ones
/// leave time for a proxy's answer, which shows that the call was carried out. All are far under the time that
/// settles an unanswered line. How many there may be is the module's word.
const REPEAT_PAUSES: [Ms; 4] = [0.0, 100.0, 400.0, 800.0];
/// ms until a repeat that the module holds back is looked at again.
const HELD_WAIT: Ms = 500.0;

#[derive(Debug)]
struct Call {
    orders: Vec<String>,
    /// The mark of its reply, also in the parts of a split one that don't bear it.
    mark: Option<u16>,
    /// When the first input that led to it came.
    born: Ms,
    sent: bool,
    /// A proxy has answered its mark: it was carried out.
    proved: bool,
}

impl Call {
    /// Whether it bears this mark: of the parts of a split reply only the last one does.
    fn bears(&self, mark: u16) -> bool {
        self.mark == Some(mark)
            && self
                .orders
                .last()
                .is_some_and(|order| order.starts_with("mark,"))
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Down {
        until: Ms,
    },
    Connecting {
        by: Ms,
    },
    Ready {
        since: Ms,
    },
    /// Turned away: the connection stays, the call waits.
    Resting {
        until: Ms,
    },
    Waiting {
        sent: Ms,
        by: Ms,
    },
}

/// A call left at this time.
fn waiting(sent: Ms) -> State {
    State::Waiting {
        sent,
        by: sent + ANSWER_WITHIN + SLACK,
    }
}

pub struct Calls {
    queue: VecDeque<Call>,
    /// Bytes of calls that may wait.
    most: usize,
    state: State,
    connection: RelayConnection,
    /// Unknown outcomes in a row.
    unknown: usize,
    /// A call was answered: the run has begun.
    taking: bool,
    /// The connection that stands is to where the relay was before.
    moved: bool,
}

impl Calls {
    pub fn new(relay: SocketAddr, most: usize) -> Calls {
        Calls {
            most,
            queue: VecDeque::new(),
            state: State::Down { until: 0.0 },
            connection: RelayConnection::new(Link::Calls, relay),
            unknown: 0,
            moved: false,
            taking: false,
        }
    }

    /// The relay is elsewhere from now on. A call in flight gets its answer where it was sent.
    pub fn moved(&mut self, relay: SocketAddr) {
        self.connection.relay = relay;
        self.moved = true;
    }

    /// Leaves a connection to where the relay was, with no call in flight on it.
    fn leave(&mut self, context: &mut StepContext) {
        let now = context.now;
        self.moved = false;
        self.connection.backoff.reset();
        let until = match self.state {
            State::Resting { until } => until,
            State::Down { until } if self.unknown > 0 => until,
            _ => now,
        };
        if !matches!(self.state, State::Down { .. }) {
            self.connection.drop(context);
        }
        self.state = State::Down { until };
    }

    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Whether the module may be asked for more. A relay that is silent holds up its own proxies; those that are
    /// reached another way are served on, until far more calls wait than ever do.
    pub fn has_room(&self, others: bool) -> bool {
        let bytes = || {
            self.queue
                .iter()
                .flat_map(|c| &c.orders)
                .map(String::len)
                .sum::<usize>()
        };
        let most = if others { OTHERS_FACTOR } else { 1 };
        self.queue.len() < most * CALLS_MOST && bytes() < self.most
    }

    /// The orders of one reply, in order, with the mark that ends them. A reply too long for one call is
    /// split: each further part is one more message to proxies, and the module is told.
    pub fn push(
        &mut self,
        context: &mut StepContext,
        orders: Vec<String>,
        mark: Option<u16>,
        born: Ms,
    ) {
        let (mut parts, mut size): (Vec<Vec<String>>, usize) = (Vec::new(), 0);
        for order in orders {
            size += order.len() + 1;
            match parts.last_mut() {
                Some(part) if size <= relay::ORDERS_MOST => part.push(order),
                _ => (size, _) = (order.len() + 1, parts.push(vec![order])),
            }
        }
        let further = parts.len().saturating_sub(1);
        if further > 0 {
            context.counters.add("calls_split", further as u64);
            context.note(Weight::Warning, "split", || {
                format!("a reply was sent in {} calls", further + 1)
            });
        }
        if let Some(mark) = mark {
            (0..further).for_each(|_| {
                context.event(Event::CallUnconfirmed {
                    ack_number: mark,
                    may_have_run: true,
                })
            });
        }
        let calls = parts.into_iter().map(|orders| Call {
            orders,
            mark,
            born,
            sent: false,
            proved: false,
        });
        self.queue.extend(calls);
    }

    /// Tells the module that nothing which waits here is known to be carried out yet.
    fn tell(&self, context: &mut StepContext, unsure: bool) {
        let marked = self
            .queue
            .iter()
            .enumerate()
            .find_map(|(at, c)| c.mark.map(|mark| (at, mark)));
        if let Some((at, mark)) = marked {
            context.event(Event::CallUnconfirmed {
                ack_number: mark,
                may_have_run: unsure && at == 0,
            });
        }
    }

    /// The call may have been carried out or not.
    fn unknown(&mut self, context: &mut StepContext, why: &str) {
        let pause = REPEAT_PAUSES[self.unknown.min(REPEAT_PAUSES.len() - 1)];
        self.unknown += 1;
        self.state = State::Down {
            until: context.now + pause,
        };
        self.tell(context, true);
        context.counters.add("calls_unknown", 1);
        let proved = self.queue.front().is_some_and(|c| c.proved);
        let next = if proved {
            "a proxy has answered it already"
        } else {
            "the same call goes out again"
        };
        context.note(Weight::Warning, "call unknown", || format!("{why}; {next}"));
        if proved {
            self.known(context);
        }
    }

    /// No connection came up: nothing was carried out.
    fn unconnected(&mut self, context: &mut StepContext, why: &str) {
        self.state = State::Down {
            until: context.now + self.connection.backoff.pause(),
        };
        self.tell(context, false);
        context.counters.add("calls_unconnected", 1);
        context.note(Weight::Warning, "relay", || format!("calls: {why}"));
    }

    pub fn up(&mut self, context: &mut StepContext, turn: u64) {
        if self.connection.is(turn) && matches!(self.state, State::Connecting { .. }) {
            self.state = State::Ready { since: context.now };
        }
    }

    /// The call's last byte was written: the relay's time runs from here. A step that ordered much takes long by itself,
    /// and counted as the relay's silence it had the largest calls written twice (herd+mass 13: 57 ms of 65).
    pub fn written(&mut self, context: &StepContext, turn: u64) {
        if self.connection.is(turn) && matches!(self.state, State::Waiting { .. }) {
            self.state = waiting(context.now);
        }
    }

    pub fn down(&mut self, context: &mut StepContext, turn: u64, why: &str) {
        if !self.connection.is(turn) {
            return;
        }
        match self.state {
            State::Waiting { .. } => {
                self.unknown(context, &format!("the relay broke a call ({why})"))
            }
            State::Connecting { .. } => {
                self.unconnected(context, &format!("no connection ({why})"))
            }
            State::Ready { .. } => self.state = State::Down { until: context.now },
            State::Resting { until } => self.state = State::Down { until },
            State::Down { .. } => {}
        }
    }

    pub fn line(&mut self, context: &mut StepContext, turn: u64, text: &str) {
        if !self.connection.is(turn) {
            return;
        }
        let State::Waiting { sent, .. } = self.state else {
            self.connection.drop(context);
            context.note(Weight::Warning, "relay", || {
                "calls: a line that answers nothing".into()
            });
            if !matches!(self.state, State::Down { .. }) {
                self.state = State::Down { until: context.now };
            }
            return;
        };
        let orders = self.queue.front().map_or(0, |c| c.orders.len());
        match relay::answer(text) {
            Answer::Taken(n) if n <= orders => {
                context.counters.call_answer.add(context.now - sent);
                self.connection.backoff.reset();
                (self.unknown, self.taking) = (0, true);
                self.state = State::Ready { since: context.now };
                self.taken(context, n);
            }
            // Once calls are taken, none is turned away, and ours can be read: such an answer is spoilt, and proves
            // nothing. Nothing is given up, so the model believes no line that was never sent to the end.
            Answer::Busy | Answer::Refused if self.taking => {
                context.counters.add("calls_refused", 1);
                self.connection.drop(context);
                self.unknown(
                    context,
                    &format!("the relay takes calls, yet its answer is {text:.60?}"),
                );
            }
            answer @ (Answer::Busy | Answer::Refused) => {
                let read = answer == Answer::Busy;
                context
                    .counters
                    .add(if read { "calls_busy" } else { "calls_refused" }, 1);
                self.state = State::Resting {
                    until: context.now + BUSY_WAIT,
                };
                self.tell(context, false);
                if !read {
                    context.note(Weight::Error, "call refused", || {
                        format!("it goes out again: {text:.60}")
                    });
                }
            }
            Answer::Taken(_) | Answer::Watching | Answer::Unreadable => {
                self.connection.drop(context);
                self.unknown(
                    context,
                    &format!("the relay's answer can't be read ({text:.60?})"),
                );
            }
        }
    }

    /// A proxy has answered a mark. Where the outcome of its call was unknown, it is known now: all orders were
    /// taken, as the mark is the last of them.
    pub fn proved(&mut self, context: &mut StepContext, mark: u16) {
        let Some(call) = self.queue.front_mut().filter(|c| c.sent && c.bears(mark)) else {
            return;
        };
        call.proved = true;
        if !matches!(self.state, State::Waiting { .. }) {
            self.known(context);
        }
    }

    /// The call of unknown outcome was carried out.
    fn known(&mut self, context: &mut StepContext) {
        self.queue.pop_front();
        self.unknown = 0;
        context.counters.add("calls_proved", 1);
        if let State::Down { until } = &mut self.state {
            *until = until.min(context.now);
        }
    }

    /// So many orders were taken: the next one is bad and is dropped, the rest goes out as a call of its own.
    fn taken(&mut self, context: &mut StepContext, n: usize) {
        let Some(mut call) = self.queue.pop_front() else {
            return;
        };
        context.counters.add("calls_answered", 1);
        context.counters.add("orders_taken", n as u64);
        if n < call.orders.len() {
            let rest = call.orders.split_off(n + 1);
            context.counters.add("orders_dropped", 1);
            let bad = call.orders.pop().unwrap_or_default();
            context.note(Weight::Warning, "order dropped", || {
                format!("the relay does not take {bad}")
            });
            // A mark alone reaches nobody.
            if rest.iter().any(|order| !order.starts_with("mark,")) {
                self.queue.push_front(Call {
                    orders: rest,
                    sent: true,
                    ..call
                });
                self.tell(context, n > 0);
            }
        }
    }

    /// Whether the next call is the repeat of one of unknown outcome, whose messages may break the cap.
    fn repeats(&self) -> Option<u16> {
        self.queue
            .front()
            .filter(|c| c.sent && self.unknown > 0)
            .and_then(|c| c.mark)
    }

    /// Does what is due; answers when it wants to be called again. `may_repeat` is the module's word on a mark.
    pub fn advance(
        &mut self,
        context: &mut StepContext,
        may_repeat: impl Fn(u16) -> bool,
    ) -> Option<Ms> {
        let now = context.now;
        loop {
            if self.moved && !matches!(self.state, State::Waiting { .. }) {
                self.leave(context);
            }
            match self.state {
                State::Down { until } if self.queue.is_empty() || now < until => {
                    return (!self.queue.is_empty()).then_some(until);
                }
                State::Down { .. } if self.repeats().is_some_and(|mark| !may_repeat(mark)) => {
                    context.counters.add("repeats_held", 1);
                    self.tell(context, false);
                    self.state = State::Down {
                        until: now + HELD_WAIT,
                    };
                }
                State::Down { .. } => {
                    self.state = State::Connecting {
                        by: self.connection.connect(context),
                    };
                }
                State::Connecting { by } | State::Waiting { by, .. } if now < by => {
                    return Some(by);
                }
                State::Connecting { .. } => {
                    self.connection.drop(context);
                    self.unconnected(context, "no connection in time");
                }
                State::Waiting { .. } => {
                    self.connection.drop(context);
                    self.unknown(context, "the relay gave no answer in time");
                }
                State::Resting { until } if now < until => return Some(until),
                State::Resting { .. } => self.state = State::Ready { since: now },
                State::Ready { since } if now - since > IDLE_MOST => {
                    self.connection.drop(context);
                    self.state = State::Down { until: now };
                }
                State::Ready { .. } => {
                    let call = self.queue.front_mut()?;
                    context.counters.add("calls_sent", 1);
                    if std::mem::replace(&mut call.sent, true) {
                        context.counters.add("calls_repeated", 1);
                    } else {
                        context.counters.tick_to_call.add(now - call.born);
                    }
                    let text = relay::call(&call.orders);
                    self.connection.send(context, text);
                    self.state = waiting(now);
                }
            }
        }
    }
}

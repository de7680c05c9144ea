//! The watch of the relay: it notifies of proxies that join, leave or apply what was ordered, and sends signs of life.

use crate::counter::Counter;
use crate::effect::{Effect, Severity};
use crate::identifiers::{RelayConnectionId, RelayLink};
use crate::membership::{Membership, ProxyNotice};
use crate::relay_connection::{BUSY_DELAY, RelayConnection};
use crate::step_context::StepContext;
use crate::time::millis;
use rushcourse_director_protocol::relay::{self, Notification, Reply};
use rushcourse_policy::interface::{Ms, ProxyId};
use std::net::SocketAddr;
use std::time::Duration;

/// How long the relay may take to reply to a request to watch.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// After this without a line the watch is given up: a sign of life comes each second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2200);
/// After this without a further line, the proxies that stand are taken to be all named.
const INITIAL_SET_QUIET: Duration = Duration::from_millis(300);
/// A watch that stood for longer is asked for again at once.
const STABLE_AFTER: Duration = Duration::from_secs(1);
/// How long acknowledgements are still read where the relay was, once the watch stands where it is now.
const LAST_ACKS: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Disconnected {
        retry_at: Ms,
    },
    Connecting {
        deadline: Ms,
    },
    AwaitingReply {
        deadline: Ms,
    },
    /// The proxies that stand are being named.
    InitialSet {
        complete_at: Ms,
    },
    Live {
        expires_at: Ms,
    },
}

/// The watch of a relay that has moved. It is read until the one at the new address stands, so that nothing is missed.
struct FormerWatch {
    connection: RelayConnectionId,
    /// It is given up then: as silent, or as all that is new stands at the new address.
    expires_at: Ms,
    /// The watch at the new address stands: who joins or leaves is told there.
    is_replaced: bool,
}

pub(crate) struct MembershipWatch {
    state: State,
    connection: RelayConnection,
    former: Option<FormerWatch>,
    /// The relay is elsewhere; the connection that stands is still the one to where it was.
    has_moved: bool,
    membership: Membership,
    /// When the watch came to stand.
    established_at: Ms,
    /// When the last line came; 0 before the first.
    last_line_at: Ms,
}

impl MembershipWatch {
    pub(crate) fn new(relay: SocketAddr) -> MembershipWatch {
        MembershipWatch {
            state: State::Disconnected { retry_at: 0.0 },
            connection: RelayConnection::new(RelayLink::Watch, relay),
            former: None,
            has_moved: false,
            membership: Membership::default(),
            established_at: 0.0,
            last_line_at: 0.0,
        }
    }

    /// Proxies that are joined.
    pub(crate) fn joined_count(&self) -> usize {
        self.membership.count()
    }

    /// Time since the last line, where there was one.
    pub(crate) fn age(&self, now: Ms) -> Option<Ms> {
        (self.last_line_at > 0.0).then_some(now - self.last_line_at)
    }

    /// A proxy that had joined by a stream has left that, see [`Membership::rejoin`].
    pub(crate) fn rejoin(&self, context: &mut StepContext, proxy: ProxyId) {
        self.membership.rejoin(context, proxy);
    }

    /// The relay is elsewhere from now on.
    pub(crate) fn move_to(&mut self, relay: SocketAddr) {
        self.connection.address = relay;
        self.has_moved = true;
    }

    pub(crate) fn connected(&mut self, context: &mut StepContext, connection: RelayConnectionId) {
        if self.connection.is_current(connection) && matches!(self.state, State::Connecting { .. })
        {
            self.state = State::AwaitingReply {
                deadline: context.after(REPLY_TIMEOUT),
            };
            self.connection.send(context, relay::WATCH_REQUEST.into());
        }
    }

    pub(crate) fn disconnected(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
        reason: &str,
    ) {
        if self.connection.is_current(connection)
            && !matches!(self.state, State::Disconnected { .. })
        {
            self.lost(context, context.now, reason);
        } else if self.is_former(connection) {
            self.former_lost(context, context.now, reason);
        }
    }

    pub(crate) fn line_received(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
        line: &str,
        zones: &[String],
    ) {
        if self.is_former(connection) {
            return self.former_line(context, line, zones);
        }
        if !self.connection.is_current(connection) {
            return;
        }
        match self.state {
            State::Disconnected { .. } | State::Connecting { .. } => {}
            State::AwaitingReply { .. } => self.reply_received(context, line),
            State::InitialSet { .. } | State::Live { .. } => {
                match relay::parse_notification(line) {
                    Some(notification) => self.notified(context, &notification, zones),
                    None => self.unreadable(context, line),
                }
            }
        }
    }

    fn reply_received(&mut self, context: &mut StepContext, line: &str) {
        match relay::parse_reply(line) {
            Reply::Watching => self.established(context),
            Reply::Busy => {
                self.connection.disconnect(context);
                self.state = State::Disconnected {
                    retry_at: context.after(BUSY_DELAY),
                };
            }
            _ => self.unreadable(context, line),
        }
    }

    fn established(&mut self, context: &mut StepContext) {
        self.established_at = context.now;
        self.last_line_at = context.now;
        self.membership.begin_initial_set();
        // From here on who joins or leaves is told by this watch.
        if let Some(former) = &mut self.former {
            former.expires_at = context.after(LAST_ACKS);
            former.is_replaced = true;
        }
        self.state = State::InitialSet {
            complete_at: context.after(SILENCE_TIMEOUT),
        };
    }

    fn unreadable(&mut self, context: &mut StepContext, line: &str) {
        self.connection.disconnect(context);
        // All before this line was read: only from here on something is missing.
        self.lost(context, context.now, &unreadable(line));
    }

    fn notified(
        &mut self,
        context: &mut StepContext,
        notification: &Notification,
        zones: &[String],
    ) {
        let is_initial = matches!(self.state, State::InitialSet { .. });
        if is_initial && !matches!(notification, Notification::ProxyJoined { .. }) {
            self.complete_initial_set(context);
        }
        self.last_line_at = context.now;
        self.state = match self.state {
            State::InitialSet { .. } => State::InitialSet {
                complete_at: context.after(INITIAL_SET_QUIET),
            },
            _ => State::Live {
                expires_at: context.after(SILENCE_TIMEOUT),
            },
        };
        self.apply(context, notification, zones, is_initial);
    }

    /// `is_initial`: the watch named the proxies that stand until now.
    fn apply(
        &mut self,
        context: &mut StepContext,
        notification: &Notification,
        zones: &[String],
        is_initial: bool,
    ) {
        match *notification {
            Notification::ProxyJoined {
                proxy,
                zone,
                rate,
                is_fresh,
            } => {
                let Some(zone) = zones.iter().position(|name| name == zone) else {
                    context.count(Counter::NotificationsSkipped);
                    return context.log(Severity::Warning, "notification skipped", || {
                        format!("{proxy} in unknown zone {zone}")
                    });
                };
                let notice = ProxyNotice {
                    proxy,
                    zone,
                    rate,
                    is_fresh,
                };
                if is_initial {
                    self.membership.join_in_initial_set(context, notice);
                } else {
                    self.membership.join(context, notice);
                }
            }
            Notification::ProxyLeft { proxy } => self.membership.leave(context, proxy),
            Notification::Applied {
                proxy,
                ack_number,
                elapsed,
            } => self
                .membership
                .acknowledge(context, proxy, ack_number, elapsed),
            Notification::KeepAlive => {}
            Notification::Unknown => context.count(Counter::NotificationsSkipped),
        }
    }

    fn complete_initial_set(&mut self, context: &mut StepContext) {
        self.membership.complete_initial_set(context);
        self.state = State::Live {
            expires_at: context.after(SILENCE_TIMEOUT),
        };
    }

    /// Notifications may be missing from `since` on.
    fn lost(&mut self, context: &mut StepContext, since: Ms, reason: &str) {
        let stood = matches!(self.state, State::InitialSet { .. } | State::Live { .. });
        let was_stable = stood && context.now - self.established_at > millis(STABLE_AFTER);
        let retry_at = if was_stable {
            self.connection.backoff.reset();
            context.now
        } else {
            context.after(self.connection.backoff.next_delay())
        };
        self.state = State::Disconnected { retry_at };
        if self.former.as_ref().is_none_or(|former| former.is_replaced) {
            self.membership.begin_gap(since);
        }
        context.count(Counter::WatchesLost);
        context.log(Severity::Warning, "watch lost", || {
            format!("{reason}; asking again")
        });
    }

    fn is_former(&self, connection: RelayConnectionId) -> bool {
        self.former
            .as_ref()
            .is_some_and(|former| former.connection == connection)
    }

    /// A line came where the relay was before.
    fn former_line(&mut self, context: &mut StepContext, line: &str, zones: &[String]) {
        let Some(former) = &mut self.former else {
            return;
        };
        match relay::parse_notification(line) {
            Some(Notification::Applied {
                proxy,
                ack_number,
                elapsed,
            }) => self
                .membership
                .acknowledge(context, proxy, ack_number, elapsed),
            Some(_) if former.is_replaced => {}
            Some(notification) => {
                former.expires_at = context.after(SILENCE_TIMEOUT);
                self.last_line_at = context.now;
                self.apply(context, &notification, zones, false);
            }
            None => {
                let connection = former.connection;
                context.request(Effect::DisconnectRelay { connection });
                self.former_lost(context, context.now, &unreadable(line));
            }
        }
    }

    /// The former watch has ended. While the new one does not stand yet, notifications may be missing from `since` on.
    fn former_lost(&mut self, context: &mut StepContext, since: Ms, reason: &str) {
        if let Some(former) = self.former.take().filter(|former| !former.is_replaced) {
            self.membership.begin_gap(since);
            context.count(Counter::WatchesLost);
            let generation = former.connection.generation;
            context.log(Severity::Warning, "watch lost", || {
                format!("{reason} (watch {generation}, of before the reload)")
            });
        }
    }

    fn disconnect_former(&mut self, context: &mut StepContext) {
        if let Some(former) = self.former.take() {
            let connection = former.connection;
            context.request(Effect::DisconnectRelay { connection });
        }
    }

    /// Does what is due; returns when it wants to be called again.
    pub(crate) fn advance(&mut self, context: &mut StepContext) -> Option<Ms> {
        if let Some(former) = &self.former
            && context.now >= former.expires_at
        {
            let connection = former.connection;
            context.request(Effect::DisconnectRelay { connection });
            self.former_lost(context, self.last_line_at, "no sign of life");
        }
        let next = self.advance_current(context);
        let former = self.former.as_ref().map(|former| former.expires_at);
        next.into_iter().chain(former).reduce(f64::min)
    }

    fn advance_current(&mut self, context: &mut StepContext) -> Option<Ms> {
        let now = context.now;
        loop {
            // A set of proxies that is being named is read to its end first.
            if self.has_moved && !matches!(self.state, State::InitialSet { .. }) {
                self.leave_former_address(context);
            }
            match self.state {
                State::Disconnected { retry_at: next }
                | State::Connecting { deadline: next }
                | State::AwaitingReply { deadline: next }
                | State::InitialSet { complete_at: next }
                | State::Live { expires_at: next }
                    if now < next =>
                {
                    return Some(next);
                }
                State::Disconnected { .. } => {
                    self.state = State::Connecting {
                        deadline: self.connection.connect(context),
                    };
                }
                State::InitialSet { .. } => self.complete_initial_set(context),
                State::Connecting { .. } | State::AwaitingReply { .. } => {
                    self.timed_out(context, "no watch in time");
                }
                State::Live { .. } => self.timed_out(context, "no sign of life"),
            }
        }
    }

    fn timed_out(&mut self, context: &mut StepContext, reason: &str) {
        self.connection.disconnect(context);
        self.lost(context, self.last_line_at, reason);
    }

    /// Watches at the new address; a watch that stands is read until the new one does.
    fn leave_former_address(&mut self, context: &mut StepContext) {
        self.has_moved = false;
        self.connection.backoff.reset();
        if let State::Live { expires_at } = self.state {
            self.disconnect_former(context);
            self.former = Some(FormerWatch {
                connection: self.connection.current(),
                expires_at,
                is_replaced: false,
            });
        } else if !matches!(self.state, State::Disconnected { .. }) {
            self.connection.disconnect(context);
        }
        self.state = State::Disconnected {
            retry_at: context.now,
        };
    }
}

/// Why a watch is given up that sent this line.
fn unreadable(line: &str) -> String {
    format!("a notification can't be read ({line:.60?})")
}

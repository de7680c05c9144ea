//! Watch of the relay: a connection on which it announces the joined proxies, notifies of joins, leaves and applied calls,
//! and sends keep-alives.

use crate::counter::Counter;
use crate::effect::{Effect, Severity};
use crate::identifiers::{RelayConnectionId, RelayLink};
use crate::membership::{JoinNotice, Membership};
use crate::relay_connection::{REJECTION_DELAY, RelayConnection};
use crate::step_context::StepContext;
use crate::time::millis;
use rushcourse_director_protocol::relay::{self, Notification, Reply};
use rushcourse_policy::interface::{Ms, ProxyId};
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for the reply to a watch request.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// A watch without notifications for this long is considered lost; the relay sends a keep-alive every second.
const INACTIVITY_TIMEOUT: Duration = Duration::from_millis(2200);
/// A snapshot is complete after this time without a further notification.
const SNAPSHOT_QUIET_PERIOD: Duration = Duration::from_millis(300);
/// After a watch that was established for longer than this, the next one is requested without backoff.
const MIN_STABLE_TIME: Duration = Duration::from_secs(1);
/// Time for which acknowledgements from the previous address are still read after its watch was replaced.
const LATE_ACK_PERIOD: Duration = Duration::from_secs(1);

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
    /// The relay is announcing the proxies that are joined.
    InitialSnapshot {
        complete_at: Ms,
    },
    Live {
        expires_at: Ms,
    },
}

/// Watch at the previous address after an address change. It is read until the new watch is established, so that no
/// notifications are missed.
struct PreviousWatch {
    connection: RelayConnectionId,
    /// Time at which the watch is closed, because it is inactive or has been replaced.
    expires_at: Ms,
    /// The watch at the new address is established; only acknowledgements are read from this one.
    is_replaced: bool,
}

pub(crate) struct MembershipWatch {
    state: State,
    connection: RelayConnection,
    previous: Option<PreviousWatch>,
    /// The address changed and the current connection still uses the previous one.
    has_address_changed: bool,
    membership: Membership,
    /// Time at which the current watch was established; 0 before the first.
    established_at: Ms,
    /// Time of the last notification; 0 before the first.
    last_line_at: Ms,
}

impl MembershipWatch {
    pub(crate) fn new(relay: SocketAddr) -> MembershipWatch {
        MembershipWatch {
            state: State::Disconnected { retry_at: 0.0 },
            connection: RelayConnection::new(RelayLink::Watch, relay),
            previous: None,
            has_address_changed: false,
            membership: Membership::default(),
            established_at: 0.0,
            last_line_at: 0.0,
        }
    }

    /// Number of proxies joined at the relay.
    pub(crate) fn joined_count(&self) -> usize {
        self.membership.count()
    }

    /// Time since the last notification; `None` before the first.
    pub(crate) fn age(&self, now: Ms) -> Option<Ms> {
        (self.last_line_at > 0.0).then_some(now - self.last_line_at)
    }

    /// Emits a join event for a proxy whose dedicated stream ended, if it is still joined at the relay.
    pub(crate) fn rejoin(&self, context: &mut StepContext, proxy: ProxyId) {
        self.membership.rejoin(context, proxy);
    }

    /// Changes the relay's address. An established watch is kept until its replacement is established.
    pub(crate) fn set_address(&mut self, relay: SocketAddr) {
        self.connection.address = relay;
        self.has_address_changed = true;
    }

    pub(crate) fn on_connected(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
    ) {
        if self.connection.is_current(connection) && matches!(self.state, State::Connecting { .. })
        {
            self.state = State::AwaitingReply {
                deadline: context.after(REPLY_TIMEOUT),
            };
            self.connection.send(context, relay::WATCH_REQUEST.into());
        }
    }

    pub(crate) fn on_disconnected(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
        reason: &str,
    ) {
        if self.connection.is_current(connection)
            && !matches!(self.state, State::Disconnected { .. })
        {
            self.on_lost(context, context.now, reason);
        } else if self.is_previous(connection) {
            self.on_previous_lost(context, context.now, reason);
        }
    }

    pub(crate) fn on_line(
        &mut self,
        context: &mut StepContext,
        connection: RelayConnectionId,
        line: &str,
        zones: &[String],
    ) {
        if self.is_previous(connection) {
            return self.on_previous_line(context, line, zones);
        }
        if !self.connection.is_current(connection) {
            return;
        }
        match self.state {
            State::Disconnected { .. } | State::Connecting { .. } => {}
            State::AwaitingReply { .. } => self.on_reply(context, line),
            State::InitialSnapshot { .. } | State::Live { .. } => {
                match relay::parse_notification(line) {
                    Some(notification) => self.on_notification(context, &notification, zones),
                    None => self.on_unreadable(context, line),
                }
            }
        }
    }

    fn on_reply(&mut self, context: &mut StepContext, line: &str) {
        match relay::parse_reply(line) {
            Reply::Watching => self.on_established(context),
            Reply::Busy => {
                self.connection.disconnect(context);
                self.state = State::Disconnected {
                    retry_at: context.after(REJECTION_DELAY),
                };
            }
            _ => self.on_unreadable(context, line),
        }
    }

    fn on_established(&mut self, context: &mut StepContext) {
        self.established_at = context.now;
        self.last_line_at = context.now;
        self.membership.begin_snapshot();
        // Joins and leaves are read from the new watch from here on.
        if let Some(previous) = &mut self.previous {
            previous.expires_at = context.after(LATE_ACK_PERIOD);
            previous.is_replaced = true;
        }
        self.state = State::InitialSnapshot {
            complete_at: context.after(INACTIVITY_TIMEOUT),
        };
    }

    fn on_unreadable(&mut self, context: &mut StepContext, line: &str) {
        self.connection.disconnect(context);
        // All earlier notifications were read, so the gap begins now.
        self.on_lost(context, context.now, &unreadable_reason(line));
    }

    fn on_notification(
        &mut self,
        context: &mut StepContext,
        notification: &Notification,
        zones: &[String],
    ) {
        let in_snapshot = matches!(self.state, State::InitialSnapshot { .. });
        if in_snapshot && !matches!(notification, Notification::ProxyJoined { .. }) {
            self.complete_snapshot(context);
        }
        self.last_line_at = context.now;
        self.state = match self.state {
            State::InitialSnapshot { .. } => State::InitialSnapshot {
                complete_at: context.after(SNAPSHOT_QUIET_PERIOD),
            },
            _ => State::Live {
                expires_at: context.after(INACTIVITY_TIMEOUT),
            },
        };
        self.apply(context, notification, zones, in_snapshot);
    }

    /// Applies a notification; `in_snapshot` if the watch was announcing the joined proxies when it arrived.
    fn apply(
        &mut self,
        context: &mut StepContext,
        notification: &Notification,
        zones: &[String],
        in_snapshot: bool,
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
                let notice = JoinNotice {
                    proxy,
                    zone,
                    rate,
                    is_fresh,
                };
                if in_snapshot {
                    self.membership.join_in_snapshot(context, notice);
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

    fn complete_snapshot(&mut self, context: &mut StepContext) {
        self.membership.complete_snapshot(context);
        self.state = State::Live {
            expires_at: context.after(INACTIVITY_TIMEOUT),
        };
    }

    /// Schedules a new watch after the current one failed. Notifications may be missing from `since` on.
    fn on_lost(&mut self, context: &mut StepContext, since: Ms, reason: &str) {
        let was_established = matches!(
            self.state,
            State::InitialSnapshot { .. } | State::Live { .. }
        );
        let was_stable =
            was_established && context.now - self.established_at > millis(MIN_STABLE_TIME);
        let retry_at = if was_stable {
            self.connection.backoff.reset();
            context.now
        } else {
            context.after(self.connection.backoff.next_delay())
        };
        self.state = State::Disconnected { retry_at };
        if self
            .previous
            .as_ref()
            .is_none_or(|previous| previous.is_replaced)
        {
            self.membership.begin_gap(since);
        }
        context.count(Counter::WatchesLost);
        context.log(Severity::Warning, "watch lost", || {
            format!("{reason}; asking again")
        });
    }

    fn is_previous(&self, connection: RelayConnectionId) -> bool {
        self.previous
            .as_ref()
            .is_some_and(|previous| previous.connection == connection)
    }

    /// Handles a notification from the previous address. After its replacement only acknowledgements are used.
    fn on_previous_line(&mut self, context: &mut StepContext, line: &str, zones: &[String]) {
        let Some(previous) = &mut self.previous else {
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
            Some(_) if previous.is_replaced => {}
            Some(notification) => {
                previous.expires_at = context.after(INACTIVITY_TIMEOUT);
                self.last_line_at = context.now;
                self.apply(context, &notification, zones, false);
            }
            None => {
                let connection = previous.connection;
                context.request(Effect::DisconnectRelay { connection });
                self.on_previous_lost(context, context.now, &unreadable_reason(line));
            }
        }
    }

    /// Drops the previous watch after it failed. If it was not replaced yet, notifications may be missing from `since` on.
    fn on_previous_lost(&mut self, context: &mut StepContext, since: Ms, reason: &str) {
        if let Some(previous) = self
            .previous
            .take()
            .filter(|previous| !previous.is_replaced)
        {
            self.membership.begin_gap(since);
            context.count(Counter::WatchesLost);
            let generation = previous.connection.generation;
            context.log(Severity::Warning, "watch lost", || {
                format!("{reason} (watch {generation}, opened before the reload)")
            });
        }
    }

    fn disconnect_previous(&mut self, context: &mut StepContext) {
        if let Some(previous) = self.previous.take() {
            let connection = previous.connection;
            context.request(Effect::DisconnectRelay { connection });
        }
    }

    /// Handles expired deadlines of the current and the previous watch; returns the next deadline.
    pub(crate) fn advance(&mut self, context: &mut StepContext) -> Option<Ms> {
        if let Some(previous) = &self.previous
            && context.now >= previous.expires_at
        {
            let connection = previous.connection;
            context.request(Effect::DisconnectRelay { connection });
            self.on_previous_lost(context, self.last_line_at, "no sign of life");
        }
        let next = self.advance_current(context);
        let previous = self.previous.as_ref().map(|previous| previous.expires_at);
        next.into_iter().chain(previous).reduce(f64::min)
    }

    fn advance_current(&mut self, context: &mut StepContext) -> Option<Ms> {
        let now = context.now;
        loop {
            // A snapshot in progress is completed before the watch moves to the new address.
            if self.has_address_changed && !matches!(self.state, State::InitialSnapshot { .. }) {
                self.leave_previous_address(context);
            }
            match self.state {
                State::Disconnected { retry_at: next }
                | State::Connecting { deadline: next }
                | State::AwaitingReply { deadline: next }
                | State::InitialSnapshot { complete_at: next }
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
                State::InitialSnapshot { .. } => self.complete_snapshot(context),
                State::Connecting { .. } | State::AwaitingReply { .. } => {
                    self.on_timeout(context, "watch not established in time");
                }
                State::Live { .. } => self.on_timeout(context, "no sign of life"),
            }
        }
    }

    fn on_timeout(&mut self, context: &mut StepContext, reason: &str) {
        self.connection.disconnect(context);
        self.on_lost(context, self.last_line_at, reason);
    }

    /// Starts a watch at the new address. An established watch is kept as the previous one until then.
    fn leave_previous_address(&mut self, context: &mut StepContext) {
        self.has_address_changed = false;
        self.connection.backoff.reset();
        if let State::Live { expires_at } = self.state {
            self.disconnect_previous(context);
            self.previous = Some(PreviousWatch {
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

/// Log text for a watch that is closed because of this line.
fn unreadable_reason(line: &str) -> String {
    format!("a notification can't be read ({line:.60?})")
}

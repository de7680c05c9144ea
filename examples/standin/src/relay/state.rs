//! State of a relay, shared by all of its connections.

use super::tables::{CallEffects, Tables};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::broadcast;

/// Notifications buffered for a slow watcher. Its connection is closed when it falls further behind.
const NOTIFICATION_CAPACITY: usize = 1024;

/// Fault that a test injects into a call.
#[derive(Clone, Debug)]
pub enum CallFault {
    /// Closes the connection instead of sending a reply.
    Disconnect {
        /// Whether the call's orders are applied.
        is_applied: bool,
    },
    /// Keeps the connection open and sends no reply.
    NoReply {
        /// Whether the call's orders are applied.
        is_applied: bool,
    },
    /// Sends an invalid reply.
    GarbledReply {
        /// Whether the call's orders are applied.
        is_applied: bool,
    },
    /// Replies `BUSY` without applying the call.
    Busy,
    /// Replies `SYNTAX` without applying the call.
    SyntaxError,
}

/// Event broadcast to all watchers.
#[derive(Clone, Debug)]
pub(super) enum Notification {
    Line(String),
    /// Closes the watchers' connections.
    Disconnect,
}

/// A proxy with an open stream to the relay.
#[derive(Clone, Debug)]
pub(super) struct JoinedProxy {
    pub(super) zone: String,
    /// Approximate number of requests per second.
    pub(super) rate: f64,
    /// Whether the proxy has applied nothing since it joined.
    pub(super) is_fresh: bool,
}

impl JoinedProxy {
    /// Formats the `joined` notification line.
    pub(super) fn notification(&self, number: u32) -> String {
        let is_fresh = u8::from(self.is_fresh);
        format!("* joined {number} {} {} {is_fresh}", self.zone, self.rate)
    }
}

/// Proxies, tables, injected faults, and recorded calls.
#[derive(Default)]
pub(super) struct State {
    pub(super) joined: BTreeMap<u32, JoinedProxy>,
    pub(super) tables: Tables,
    /// Faults of the next calls; each call takes the first one.
    pub(super) faults: VecDeque<CallFault>,
    /// While set, connections stay open, but nothing is sent on them.
    pub(super) is_unreachable: bool,
    pub(super) received_calls: Vec<String>,
    pub(super) accepted_orders: Vec<String>,
    /// Times of the messages sent to each proxy.
    pub(super) messages: BTreeMap<u32, Vec<Instant>>,
    /// Number of open watches.
    pub(super) watcher_count: usize,
    /// Number of watches opened since the start, including closed ones.
    pub(super) total_watch_count: usize,
}

impl State {
    /// Applies the orders of a call up to the first invalid one. Returns the number of applied orders and their effects
    /// on proxies.
    pub(super) fn apply_call(&mut self, orders: &str) -> (usize, CallEffects) {
        let proxies: BTreeSet<u32> = self.joined.keys().copied().collect();
        let mut effects = CallEffects::default();
        let mut accepted = 0;
        for order in orders.split(';') {
            if self.tables.apply(order, &proxies, &mut effects).is_none() {
                break;
            }
            self.accepted_orders.push(order.to_string());
            accepted += 1;
        }
        // A proxy receives all changes of a call in a single message.
        for proxy in effects.recipients.intersection(&proxies) {
            let times = self.messages.entry(*proxy).or_default();
            times.push(Instant::now());
        }
        (accepted, effects)
    }
}

/// State of the relay and the broadcast channel to its watchers.
pub(super) struct Shared {
    state: Mutex<State>,
    notifications: broadcast::Sender<Notification>,
}

impl Default for Shared {
    fn default() -> Shared {
        Shared {
            state: Mutex::default(),
            notifications: broadcast::channel(NOTIFICATION_CAPACITY).0,
        }
    }
}

impl Shared {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends to all watchers. Without watchers, the notification is discarded.
    pub(super) fn send(&self, notification: Notification) {
        _ = self.notifications.send(notification);
    }

    pub(super) fn subscribe(&self) -> broadcast::Receiver<Notification> {
        self.notifications.subscribe()
    }
}

//! What all connections of a relay share.

use super::tables::{CallEffects, Tables};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::broadcast;

/// Notices that a watcher may lag behind.
const MAX_NOTICES: usize = 1024;

/// What goes wrong with a call. `is_applied`: it is carried out all the same.
#[derive(Clone, Debug)]
pub enum CallFault {
    /// The connection breaks in place of a reply.
    Disconnect {
        /// The call is carried out.
        is_applied: bool,
    },
    /// There is no reply.
    NoReply {
        /// The call is carried out.
        is_applied: bool,
    },
    /// The reply can't be read.
    GarbledReply {
        /// The call is carried out.
        is_applied: bool,
    },
    /// The reply is `BUSY`.
    Busy,
    /// The reply is `SYNTAX`.
    SyntaxError,
}

/// What goes to those who watch.
#[derive(Clone, Debug)]
pub(super) enum Notice {
    Line(String),
    /// Their connections end.
    Disconnect,
}

/// A proxy whose stream stands.
#[derive(Clone, Debug)]
pub(super) struct JoinedProxy {
    pub(super) zone: String,
    pub(super) rate: f64,
    /// It has applied nothing since it joined.
    pub(super) is_fresh: bool,
}

impl JoinedProxy {
    /// The notification that it is joined.
    pub(super) fn notification(&self, number: u32) -> String {
        let is_fresh = u8::from(self.is_fresh);
        format!("* joined {number} {} {} {is_fresh}", self.zone, self.rate)
    }
}

/// Proxies and tables, faults to come, and records of what came.
#[derive(Default)]
pub(super) struct State {
    pub(super) joined: BTreeMap<u32, JoinedProxy>,
    pub(super) tables: Tables,
    /// For the calls to come, one after the other.
    pub(super) faults: VecDeque<CallFault>,
    /// Connections stay open, and nothing is sent on them.
    pub(super) is_unreachable: bool,
    /// Every call that came.
    pub(super) received_calls: Vec<String>,
    /// Every order that was accepted.
    pub(super) accepted_orders: Vec<String>,
    /// When messages went to each proxy.
    pub(super) messages: BTreeMap<u32, Vec<Instant>>,
    /// Watches that stand.
    pub(super) watcher_count: usize,
    /// Watches that ever stood.
    pub(super) total_watch_count: usize,
}

impl State {
    /// Accepts the orders of a call up to the first bad one; returns how many, and what they bring about.
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
        // All that a call has for a proxy is one message.
        for proxy in effects.reached.intersection(&proxies) {
            let times = self.messages.entry(*proxy).or_default();
            times.push(Instant::now());
        }
        (accepted, effects)
    }
}

/// The state, and the way to all who watch.
pub(super) struct Shared {
    state: Mutex<State>,
    notices: broadcast::Sender<Notice>,
}

impl Default for Shared {
    fn default() -> Shared {
        Shared {
            state: Mutex::default(),
            notices: broadcast::channel(MAX_NOTICES).0,
        }
    }
}

impl Shared {
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends to all who watch; nobody may.
    pub(super) fn send(&self, notice: Notice) {
        _ = self.notices.send(notice);
    }

    pub(super) fn subscribe(&self) -> broadcast::Receiver<Notice> {
        self.notices.subscribe()
    }
}

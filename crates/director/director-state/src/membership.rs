//! Proxies joined at the relay, tracked from its notifications and reconciled after a gap in them.

use crate::counter::Counter;
use crate::effect::Severity;
use crate::step_context::StepContext;
use crate::time::millis;
use rushcourse_policy::interface::{AckNumber, Channel, Event, Ms, ProxyId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Longest gap in notifications within which no proxy can have left and rejoined, because dialling a new stream takes
/// longer.
const MAX_SAFE_GAP: Duration = Duration::from_millis(150);

/// A proxy as announced by the relay.
#[derive(Clone, Copy)]
pub(crate) struct JoinNotice {
    pub(crate) proxy: ProxyId,
    pub(crate) zone: ZoneId,
    pub(crate) rate: f64,
    /// The proxy holds no table ordered by a director, as after its start.
    pub(crate) is_fresh: bool,
}

impl JoinNotice {
    fn joined_event(self) -> Event {
        Event::ProxyJoined {
            proxy: self.proxy,
            zone: self.zone,
            rate: self.rate,
            is_fresh: self.is_fresh,
            channel: Channel::Shared,
        }
    }
}

fn left_event(proxy: ProxyId) -> Event {
    Event::ProxyLeft {
        proxy,
        channel: Channel::Shared,
    }
}

/// State kept for a proxy that is joined at the relay.
struct JoinedProxy {
    zone: ZoneId,
    rate: f64,
    /// The proxy has acknowledged a call of this director since it joined.
    has_applied: bool,
}

#[derive(Default)]
pub(crate) struct Membership {
    joined: BTreeMap<ProxyId, JoinedProxy>,
    /// Proxies announced by the current watch.
    announced: BTreeSet<ProxyId>,
    /// Start of the gap in notifications; `None` if none were missed.
    gap_since: Option<Ms>,
}

impl Membership {
    pub(crate) fn count(&self) -> usize {
        self.joined.len()
    }

    /// Marks notifications as possibly missed from `since` on, unless a gap has begun before.
    pub(crate) fn begin_gap(&mut self, since: Ms) {
        self.gap_since.get_or_insert(since);
    }

    /// Starts the snapshot of a new watch, in which the relay announces all joined proxies.
    pub(crate) fn begin_snapshot(&mut self) {
        self.announced.clear();
    }

    /// Handles a join outside a snapshot. A proxy that was joined already must have left and rejoined.
    pub(crate) fn join(&mut self, context: &mut StepContext, notice: JoinNotice) {
        self.announced.insert(notice.proxy);
        if self.insert(notice).is_some() {
            context.emit(left_event(notice.proxy));
        }
        context.emit(notice.joined_event());
    }

    /// Handles a proxy announced in a snapshot, which may have stayed joined during the gap or have left and rejoined.
    pub(crate) fn join_in_snapshot(&mut self, context: &mut StepContext, notice: JoinNotice) {
        self.announced.insert(notice.proxy);
        let gap = self.gap_since.map_or(0.0, |since| context.now - since);
        match self.insert(notice) {
            None => context.emit(notice.joined_event()),
            // It lost the tables that it had applied, so it has restarted.
            Some(previous) if notice.is_fresh && previous.has_applied => {
                context.emit(left_event(notice.proxy));
                context.emit(notice.joined_event());
            }
            // It cannot have rejoined, or it is reached by a dedicated stream, which takes precedence.
            Some(previous)
                if gap <= millis(MAX_SAFE_GAP) || context.events.is_streamed(notice.proxy) =>
            {
                self.joined.insert(notice.proxy, previous);
            }
            // It may have rejoined and lost its bindings. Without a leave event the policy binds it again and keeps its
            // count of messages sent to the proxy.
            Some(_) => {
                context.count(Counter::ProxiesRebound);
                context.emit(notice.joined_event());
            }
        }
    }

    /// Stores a proxy as announced; returns its previous state.
    fn insert(&mut self, notice: JoinNotice) -> Option<JoinedProxy> {
        let joined = JoinedProxy {
            zone: notice.zone,
            rate: notice.rate,
            has_applied: false,
        };
        self.joined.insert(notice.proxy, joined)
    }

    /// Handles a leave; ignored for a proxy that is not joined.
    pub(crate) fn leave(&mut self, context: &mut StepContext, proxy: ProxyId) {
        if self.joined.remove(&proxy).is_some() {
            context.emit(left_event(proxy));
        }
    }

    /// Handles the acknowledgement of a call, which may come from a proxy that has left since.
    pub(crate) fn acknowledge(
        &mut self,
        context: &mut StepContext,
        proxy: ProxyId,
        ack_number: AckNumber,
        elapsed: Ms,
    ) {
        context.acknowledge(ack_number);
        if let Some(joined) = self.joined.get_mut(&proxy) {
            joined.has_applied = true;
            context.emit(Event::Acknowledged {
                ack_number,
                proxy,
                elapsed,
                channel: Channel::Shared,
            });
        }
    }

    /// Emits a join event for a proxy whose dedicated stream ended, if it is still joined at the relay.
    pub(crate) fn rejoin(&self, context: &mut StepContext, proxy: ProxyId) {
        if let Some(joined) = self.joined.get(&proxy) {
            let notice = JoinNotice {
                proxy,
                zone: joined.zone,
                rate: joined.rate,
                is_fresh: false,
            };
            context.emit(notice.joined_event());
        }
    }

    /// Ends the snapshot and the gap. Joined proxies that were not announced have left.
    pub(crate) fn complete_snapshot(&mut self, context: &mut StepContext) {
        let gone: Vec<ProxyId> = self
            .joined
            .keys()
            .filter(|proxy| !self.announced.contains(proxy))
            .copied()
            .collect();
        if let Some(since) = self.gap_since.take() {
            let (gap, joined) = (context.now - since, self.announced.len());
            context.log(Severity::Info, "watch restored", || {
                format!(
                    "after {gap:.0} ms; {joined} proxies stand, {} are gone",
                    gone.len()
                )
            });
        }
        for proxy in gone {
            self.leave(context, proxy);
        }
    }
}

//! Who is joined at the relay, as its notifications tell, and what may have changed while there were none.

use crate::counter::Counter;
use crate::effect::Severity;
use crate::step_context::StepContext;
use crate::time::millis;
use rushcourse_policy::interface::{AckNumber, Channel, Event, Ms, ProxyId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Without notifications for no longer than this, no proxy can have left and come back: a new stream takes longer to
/// dial.
const SAFE_GAP: Duration = Duration::from_millis(150);

/// What the relay tells of a proxy that is joined.
#[derive(Clone, Copy)]
pub(crate) struct ProxyNotice {
    pub(crate) proxy: ProxyId,
    pub(crate) zone: ZoneId,
    pub(crate) rate: f64,
    /// It holds no table that was ordered.
    pub(crate) is_fresh: bool,
}

impl ProxyNotice {
    fn event(self) -> Event {
        Event::ProxyJoined {
            proxy: self.proxy,
            zone: self.zone,
            rate: self.rate,
            is_fresh: self.is_fresh,
            channel: Channel::Shared,
        }
    }
}

fn left(proxy: ProxyId) -> Event {
    Event::ProxyLeft {
        proxy,
        channel: Channel::Shared,
    }
}

/// A proxy that is joined at the relay.
struct JoinedProxy {
    zone: ZoneId,
    rate: f64,
    /// It has applied an order of this director since it joined.
    has_applied: bool,
}

#[derive(Default)]
pub(crate) struct Membership {
    joined: BTreeMap<ProxyId, JoinedProxy>,
    /// Proxies that the watch has named since it stands.
    named: BTreeSet<ProxyId>,
    /// Since when notifications may be missing.
    gap_since: Option<Ms>,
}

impl Membership {
    /// Proxies that are joined.
    pub(crate) fn count(&self) -> usize {
        self.joined.len()
    }

    /// Notifications may be missing from this moment on.
    pub(crate) fn begin_gap(&mut self, since: Ms) {
        self.gap_since.get_or_insert(since);
    }

    /// A new watch stands: it names all proxies that are joined first.
    pub(crate) fn begin_initial_set(&mut self) {
        self.named.clear();
    }

    /// A proxy has joined.
    pub(crate) fn join(&mut self, context: &mut StepContext, notice: ProxyNotice) {
        self.named.insert(notice.proxy);
        if self.insert(notice).is_some() {
            context.emit(left(notice.proxy));
        }
        context.emit(notice.event());
    }

    /// A new watch names a proxy that is joined. It may have stayed all the time, or have left and come back.
    pub(crate) fn join_in_initial_set(&mut self, context: &mut StepContext, notice: ProxyNotice) {
        self.named.insert(notice.proxy);
        let gap = self.gap_since.map_or(0.0, |since| context.now - since);
        match self.insert(notice) {
            None => context.emit(notice.event()),
            // It holds nothing of what it had applied: it has started anew.
            Some(former) if notice.is_fresh && former.has_applied => {
                context.emit(left(notice.proxy));
                context.emit(notice.event());
            }
            // That it still stands here says nothing of one that has joined by a stream since.
            Some(former) if gap <= millis(SAFE_GAP) || context.events.is_streamed(notice.proxy) => {
                self.joined.insert(notice.proxy, former);
            }
            // It may have left and come back unseen: then it is bound to none of the tables. It is bound anew, and what
            // was written to it counts on.
            Some(_) => {
                context.count(Counter::ProxiesRebound);
                context.emit(notice.event());
            }
        }
    }

    /// Remembers a proxy as it is told; returns what was known of it.
    fn insert(&mut self, notice: ProxyNotice) -> Option<JoinedProxy> {
        let joined = JoinedProxy {
            zone: notice.zone,
            rate: notice.rate,
            has_applied: false,
        };
        self.joined.insert(notice.proxy, joined)
    }

    /// A proxy has left.
    pub(crate) fn leave(&mut self, context: &mut StepContext, proxy: ProxyId) {
        if self.joined.remove(&proxy).is_some() {
            context.emit(left(proxy));
        }
    }

    /// A proxy has applied a call.
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

    /// A proxy that had joined by a stream has left that: it is joined here alone, if it still is.
    pub(crate) fn rejoin(&self, context: &mut StepContext, proxy: ProxyId) {
        if let Some(joined) = self.joined.get(&proxy) {
            let notice = ProxyNotice {
                proxy,
                zone: joined.zone,
                rate: joined.rate,
                is_fresh: false,
            };
            context.emit(notice.event());
        }
    }

    /// The new watch has named all: who was not named has left.
    pub(crate) fn complete_initial_set(&mut self, context: &mut StepContext) {
        let gone: Vec<ProxyId> = self
            .joined
            .keys()
            .filter(|proxy| !self.named.contains(proxy))
            .copied()
            .collect();
        if let Some(since) = self.gap_since.take() {
            let (gap, joined) = (context.now - since, self.named.len());
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

//! Joined proxies, and the model of the endpoints that each may hold (CCG paper, section 4.2).

use super::attempts::AttemptTotals;
use crate::interface::{ByHost, Certainty, Channel, HostId, Ms, ProxyId, TableId, ZoneId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An endpoint that a proxy may hold.
#[derive(Clone, Debug)]
pub(crate) struct ModeledEndpoint {
    pub certainty: Certainty,
    /// Number of the batch that last changed the endpoint.
    pub batch: u64,
    /// Latest time at which that batch may have been sent; timeouts count from it.
    pub since: Ms,
    /// When the removal was acknowledged; `None` if it was not, or if there is none.
    pub removal_acknowledged_at: Option<Ms>,
}

/// A proxy's table and endpoints for one group of classes.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupBinding {
    /// Table of the last bind that was sent; `None` before the first.
    pub table: Option<TableId>,
    /// Endpoints that the proxy may hold.
    pub endpoints: ByHost<ModeledEndpoint>,
}

impl GroupBinding {
    /// Records that an update was sent after which the proxy holds the host (`stays`) or not. The endpoint
    /// becomes uncertain, unless it is certain and stays, or is already being removed.
    pub fn record_sent(&mut self, host: &HostId, stays: bool, sent: &ModeledEndpoint) {
        let certainty = match (stays, self.endpoints.get(host).map(|endpoint| endpoint.certainty)) {
            (true, Some(Certainty::Certain)) | (false, Some(Certainty::Removing)) => return,
            (true, _) => Certainty::Adding,
            (false, _) => Certainty::Removing,
        };
        self.endpoints.insert(host.clone(), ModeledEndpoint { certainty, ..sent.clone() });
    }

    /// Resolves uncertain endpoints by timeout. An addition becomes certain `timeout` after it was sent. A
    /// removal is complete `removal_delay` after its acknowledgement, or after the timeout without one.
    pub fn expire(&mut self, now: Ms, timeout: Ms, removal_delay: Ms) {
        self.endpoints.retain(|_, endpoint| {
            if endpoint.certainty == Certainty::Adding && now - endpoint.since >= timeout {
                endpoint.certainty = Certainty::Certain;
            }
            let removed_at =
                endpoint.removal_acknowledged_at.unwrap_or(endpoint.since + timeout) + removal_delay;
            endpoint.certainty != Certainty::Removing || now < removed_at
        });
    }
}

/// State of a joined proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proxy {
    pub zone: ZoneId,
    /// Request rate announced at the join, in requests per second.
    pub rate: f64,
    /// Recent client requests, initialized from the announced rate.
    pub traffic: AttemptTotals,
    /// Position of the proxy's join among all joins since the director's start, from 1.
    pub join_number: usize,
    /// Pool whose hosts the proxy's tables contain.
    pub pool: usize,
    /// Bindings, indexed like `TableSet::groups`.
    pub groups: Vec<GroupBinding>,
    /// Times of the recent messages to the proxy, which count against the message cap.
    pub message_times: VecDeque<Ms>,
    pub channel: Channel,
    /// Decaying maximum of the acknowledgement delay on a dedicated channel, in ms.
    pub slowest_ack: Ms,
}

impl Proxy {
    /// Whether some group of classes has no table yet.
    pub fn awaits_bind(&self) -> bool {
        self.groups.iter().any(|group| group.table.is_none())
    }

    /// Tables to which the proxy is bound, in the order of its groups. Groups that await a bind are left out.
    pub fn tables(&self) -> impl Iterator<Item = TableId> {
        self.groups.iter().filter_map(|group| group.table)
    }

    /// Times of the messages sent to the proxy within the last `span` ms, in ascending order.
    pub fn messages_within(&self, span: Ms, now: Ms) -> impl DoubleEndedIterator<Item = Ms> {
        self.message_times.iter().copied().filter(move |at| now - at <= span)
    }

    /// Applies an acknowledgement of a batch and all earlier ones. Additions become certain at once, removals
    /// are complete only after a delay.
    pub fn acknowledge(&mut self, batch: u64, now: Ms) {
        for endpoint in self.endpoints_mut().filter(|endpoint| endpoint.batch <= batch) {
            match endpoint.certainty {
                Certainty::Removing => {
                    endpoint.removal_acknowledged_at = endpoint.removal_acknowledged_at.or(Some(now));
                }
                _ => endpoint.certainty = Certainty::Certain,
            }
        }
    }

    /// Restarts the timeouts of endpoints that batch `from_batch` or a later one changed, as these batches have
    /// not arrived by `now`.
    pub fn restart_timeouts(&mut self, from_batch: u64, now: Ms) {
        let pending = self
            .endpoints_mut()
            .filter(|endpoint| endpoint.batch >= from_batch && endpoint.removal_acknowledged_at.is_none());
        pending.for_each(|endpoint| endpoint.since = now);
    }

    fn endpoints_mut(&mut self) -> impl Iterator<Item = &mut ModeledEndpoint> {
        self.groups.iter_mut().flat_map(|group| group.endpoints.values_mut())
    }
}

/// The joined proxies, with counters of joins.
#[derive(Debug, Default)]
pub(crate) struct ProxyRegistry {
    pub by_id: BTreeMap<ProxyId, Proxy>,
    /// Proxies that joined since binds were last planned.
    pub newly_joined: BTreeSet<ProxyId>,
    pub last_join_at: Ms,
    /// Number of joins since the director's start.
    pub join_count: usize,
}

impl ProxyRegistry {
    /// Whether the proxy is joined and receives its messages on this channel.
    pub fn is_joined_by(&self, proxy: ProxyId, channel: Channel) -> bool {
        self.by_id.get(&proxy).is_some_and(|proxy| proxy.channel == channel)
    }

    /// Clears the set of newly joined proxies and returns the proxies whose binds are to be planned: all of
    /// them, or only the newly joined ones.
    pub fn take_unplanned(&mut self, all: bool) -> Vec<ProxyId> {
        let newly_joined = std::mem::take(&mut self.newly_joined);
        if all { self.by_id.keys().copied().collect() } else { newly_joined.into_iter().collect() }
    }

    /// Resolves uncertain endpoints of all proxies by timeout. On a dedicated channel, `timeout` computes it
    /// from the proxy's acknowledgement delay; on the shared channel it is the same for all.
    pub fn expire(&mut self, now: Ms, timeout: impl Fn(Ms) -> Ms, shared_timeout: Ms, removal_delay: Ms) {
        for proxy in self.by_id.values_mut() {
            let is_dedicated = proxy.channel == Channel::Dedicated;
            let timeout = if is_dedicated { timeout(proxy.slowest_ack) } else { shared_timeout };
            proxy.groups.iter_mut().for_each(|group| group.expire(now, timeout, removal_delay));
        }
    }

    /// Proxies that exceed the capacity of their zone, in requests per second. Capacity is granted in the order
    /// of proxy numbers.
    pub fn over_capacity(&self, mut room_by_zone: Vec<f64>) -> BTreeSet<ProxyId> {
        let mut is_beyond = |proxy: &Proxy| {
            let Some(room) = room_by_zone.get_mut(proxy.zone) else { return false };
            *room -= proxy.rate;
            *room < 0.0
        };
        self.by_id.iter().filter(|(_, proxy)| is_beyond(proxy)).map(|(id, _)| *id).collect()
    }

    /// Joined proxies of a zone, in ascending order of their numbers.
    pub fn in_zone(&self, zone: ZoneId) -> impl Iterator<Item = &Proxy> {
        self.by_id.values().filter(move |proxy| proxy.zone == zone)
    }

    /// Sum of the announced rates of a zone's proxies, in requests per second. At least 1e-3, so that it can be
    /// used as a divisor.
    pub fn rate_in_zone(&self, zone: ZoneId) -> f64 {
        self.in_zone(zone).map(|proxy| proxy.rate).sum::<f64>().max(1e-3)
    }
}

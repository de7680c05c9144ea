//! Joined proxies, and the model of what each may hold (paper, section 4.2).

use super::attempts::AttemptTotals;
use crate::interface::{ByHost, Certainty, Channel, HostId, Ms, ProxyId, TableId, ZoneId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An endpoint that a proxy may hold.
#[derive(Clone, Debug)]
pub(crate) struct ModeledEndpoint {
    /// What is known of it.
    pub certainty: Certainty,
    /// The batch that last changed it.
    pub batch: u64,
    /// When that batch went out, as far as is known.
    pub since: Ms,
    /// When its removal was acknowledged.
    pub removal_acknowledged_at: Option<Ms>,
}

/// What a proxy holds for the classes of one group.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupBinding {
    /// The table that it was bound to last.
    pub table: Option<TableId>,
    /// The endpoints that it may hold.
    pub endpoints: ByHost<ModeledEndpoint>,
}

impl GroupBinding {
    /// Notes that an order was sent which leaves the proxy with a host, or without it. The endpoint becomes
    /// uncertain, unless it was certain and stays, or is being removed already.
    pub fn note_sent(&mut self, host: &HostId, stays: bool, sent: &ModeledEndpoint) {
        let certainty = match (stays, self.endpoints.get(host).map(|endpoint| endpoint.certainty)) {
            (true, Some(Certainty::Certain)) | (false, Some(Certainty::Removing)) => return,
            (true, _) => Certainty::Adding,
            (false, _) => Certainty::Removing,
        };
        self.endpoints.insert(host.clone(), ModeledEndpoint { certainty, ..sent.clone() });
    }

    /// Lets time resolve what was not acknowledged: an addition is certain `timeout` after it went out. A
    /// removal is complete `removal_delay` after its acknowledgement, or after the time-out.
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

/// A joined proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proxy {
    pub zone: ZoneId,
    /// Requests a second that it was said to bring when it joined.
    pub rate: f64,
    /// What came to it of late; its rate stands in for the time before it joined.
    pub traffic: AttemptTotals,
    /// Joins up to its own, since the director's start.
    pub join_number: usize,
    /// The pool of hosts that its tables name.
    pub pool: usize,
    /// By group of classes.
    pub groups: Vec<GroupBinding>,
    /// When messages were written to it.
    pub message_times: VecDeque<Ms>,
    pub channel: Channel,
    /// The slowest acknowledgement of late on a dedicated channel, in ms.
    pub slowest_ack: Ms,
}

impl Proxy {
    /// Whether it is bound to no table yet for some group.
    pub fn awaits_bind(&self) -> bool {
        self.groups.iter().any(|group| group.table.is_none())
    }

    /// The tables that it is bound to.
    pub fn tables(&self) -> impl Iterator<Item = TableId> {
        self.groups.iter().filter_map(|group| group.table)
    }

    /// Messages written to it within `span` ms.
    pub fn messages_within(&self, span: Ms, now: Ms) -> impl DoubleEndedIterator<Item = Ms> {
        self.message_times.iter().copied().filter(move |at| now - at <= span)
    }

    /// It has applied a batch and all before it: additions are certain at once, removals later.
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

    /// What a batch and those after it changed has not arrived by `now`: no time-out counts from before.
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

/// All joined proxies.
#[derive(Debug, Default)]
pub(crate) struct ProxyRegistry {
    pub by_id: BTreeMap<ProxyId, Proxy>,
    /// Proxies that have joined since binds were last planned.
    pub newly_joined: BTreeSet<ProxyId>,
    /// When the last proxy joined.
    pub last_join_at: Ms,
    /// Joins since the director's start.
    pub join_count: usize,
}

impl ProxyRegistry {
    /// Whether a proxy is joined by a channel.
    pub fn is_joined_by(&self, proxy: ProxyId, channel: Channel) -> bool {
        self.by_id.get(&proxy).is_some_and(|proxy| proxy.channel == channel)
    }

    /// Proxies whose binds are to be planned: all, or those that have joined since the last time.
    pub fn take_unplanned(&mut self, all: bool) -> Vec<ProxyId> {
        let newly_joined = std::mem::take(&mut self.newly_joined);
        if all { self.by_id.keys().copied().collect() } else { newly_joined.into_iter().collect() }
    }

    /// Lets time resolve what was not acknowledged. The time-out follows the slowest acknowledgement of a
    /// dedicated channel; on the shared one it is the same for all.
    pub fn expire(&mut self, now: Ms, timeout: impl Fn(Ms) -> Ms, shared_timeout: Ms, removal_delay: Ms) {
        for proxy in self.by_id.values_mut() {
            let is_dedicated = proxy.channel == Channel::Dedicated;
            let timeout = if is_dedicated { timeout(proxy.slowest_ack) } else { shared_timeout };
            proxy.groups.iter_mut().for_each(|group| group.expire(now, timeout, removal_delay));
        }
    }

    /// Proxies beyond what each zone has room for, in requests a second: the first ones by number have it.
    pub fn beyond_room(&self, mut room_by_zone: Vec<f64>) -> BTreeSet<ProxyId> {
        let mut is_beyond = |proxy: &Proxy| {
            let Some(room) = room_by_zone.get_mut(proxy.zone) else { return false };
            *room -= proxy.rate;
            *room < 0.0
        };
        self.by_id.iter().filter(|(_, proxy)| is_beyond(proxy)).map(|(id, _)| *id).collect()
    }

    /// Proxies of a zone.
    pub fn in_zone(&self, zone: ZoneId) -> impl Iterator<Item = &Proxy> {
        self.by_id.values().filter(move |proxy| proxy.zone == zone)
    }

    /// Requests a second that a zone's proxies were said to bring; a little at least, as it is divided by.
    pub fn rate_in_zone(&self, zone: ZoneId) -> f64 {
        self.in_zone(zone).map(|proxy| proxy.rate).sum::<f64>().max(1e-3)
    }
}

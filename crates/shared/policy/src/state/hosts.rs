//! The list of hosts as it is held, with what the director adds to each entry.

use crate::interface::{ByHost, Channel, HostEntry, HostId, Ms, Readiness, ZoneId};

/// When the withdrawal of a host was last ordered on the shared channel.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WithdrawalOrder {
    /// Proxies that had joined by then, since the director's start.
    pub join_count: usize,
    /// The time.
    pub at: Ms,
}

/// A host of the list.
#[derive(Clone, Debug)]
pub(crate) struct ListedHost {
    /// The entry as listed, with its weight and start made sane.
    pub entry: HostEntry,
    /// Withdrawn from all tables of a channel's proxies, by `Channel as usize`.
    pub withdrawn: [bool; 2],
    /// The last order of its withdrawal, or of the end of it.
    pub withdrawal_order: WithdrawalOrder,
    /// Since when the list calls it gone while it may still serve.
    pub missing_since: Option<Ms>,
    /// Since when it is gone.
    pub gone_since: Option<Ms>,
    /// The pool of hosts that it belongs to.
    pub pool: Option<usize>,
}

impl ListedHost {
    /// A host as first listed.
    pub fn new(entry: HostEntry) -> ListedHost {
        ListedHost {
            entry,
            withdrawn: [false; 2],
            withdrawal_order: WithdrawalOrder::default(),
            missing_since: None,
            gone_since: None,
            pool: None,
        }
    }

    /// Whether it takes requests.
    pub fn is_ready(&self) -> bool {
        self.entry.readiness == Readiness::Ready
    }

    /// The list calls it gone, yet it may still serve.
    pub fn mark_missing(&mut self, now: Ms) {
        self.missing_since = self.missing_since.or(Some(now));
    }

    /// It has ended.
    pub fn mark_gone(&mut self) {
        self.entry.readiness = Readiness::Gone;
        self.missing_since = None;
    }

    /// Whether it is withdrawn from the tables of a channel's proxies.
    pub fn is_withdrawn(&self, channel: Channel) -> bool {
        self.withdrawn[channel as usize]
    }
}

/// All hosts of the list, and the pools that they are assigned to.
#[derive(Debug, Default)]
pub(crate) struct HostList {
    /// Hosts by name, those that are gone included.
    pub by_id: ByHost<ListedHost>,
    /// Number of pools; 0 until a list has come. Pools are numbered from 0.
    pub pool_count: usize,
}

impl HostList {
    /// Number of pools, 1 at least.
    pub fn pools(&self) -> usize {
        self.pool_count.max(1)
    }

    /// Hosts that take requests, by name.
    pub fn ready(&self) -> impl Iterator<Item = (&HostId, &ListedHost)> + Clone {
        self.by_id.iter().filter(|(_, host)| host.is_ready())
    }

    /// Hosts of a zone that take requests.
    pub fn ready_in(&self, zone: ZoneId) -> impl Iterator<Item = &ListedHost> + Clone {
        self.ready().map(|(_, host)| host).filter(move |host| host.entry.zone == zone)
    }

    /// The same, to be changed.
    pub fn ready_in_mut(&mut self, zone: ZoneId) -> impl Iterator<Item = &mut ListedHost> {
        let is_in_zone = move |host: &&mut ListedHost| host.is_ready() && host.entry.zone == zone;
        self.by_id.values_mut().filter(is_in_zone)
    }

    /// Whether a host takes requests and is not withdrawn from the tables of a channel's proxies.
    pub fn is_live(&self, host: &HostId, channel: Channel) -> bool {
        self.by_id.get(host).is_some_and(|listed| listed.is_ready() && !listed.is_withdrawn(channel))
    }

    /// Whether reports on a host count: it is live. The channels differ only while one of them is stalled.
    pub fn is_judged(&self, host: &HostId) -> bool {
        self.is_live(host, Channel::Shared)
    }

    /// Each host once for each channel, the shared channel first.
    pub fn by_channel(&self) -> impl Iterator<Item = ChannelHost<'_>> {
        Channel::ALL.into_iter().flat_map(|channel| {
            self.by_id.iter().map(move |(id, listed)| ChannelHost { channel, id, listed })
        })
    }

    /// Withdrawals that proxies have missed which joined last at `last_join_at` and await their bind, by the
    /// numbers of their joins. Orders that were older than `max_age` by then do not count.
    pub fn missed_withdrawals(&self, awaiting: &[usize], last_join_at: Ms, max_age: Ms) -> WithdrawalRepeat {
        let last_join = awaiting.iter().copied().max().unwrap_or(0);
        let none = WithdrawalRepeat {
            last_join_at,
            max_age,
            last_join,
            first_join: usize::MAX,
            orders: 0,
            is_due: false,
        };
        let missed = self.by_id.values().filter(|host| !host.is_ready() && none.is_missed(host));
        let joins: Vec<usize> = missed.map(|host| host.withdrawal_order.join_count).collect();
        let first_join = joins.iter().copied().min().unwrap_or(usize::MAX);
        WithdrawalRepeat { first_join, orders: joins.len(), ..none }
    }
}

/// A host in the tables of a channel's proxies.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChannelHost<'a> {
    pub channel: Channel,
    pub id: &'a HostId,
    pub listed: &'a ListedHost,
}

impl ChannelHost<'_> {
    /// Whether it is withdrawn from these tables.
    pub fn is_withdrawn(&self) -> bool {
        self.listed.is_withdrawn(self.channel)
    }
}

/// Withdrawals on the shared channel that proxies have missed: they joined after the order and await their
/// bind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WithdrawalRepeat {
    last_join_at: Ms,
    max_age: Ms,
    /// The number of the last join that awaits a bind; 0: none.
    last_join: usize,
    /// Joins before the first of these orders; `usize::MAX`: there is none.
    pub first_join: usize,
    /// How many orders there are.
    pub orders: usize,
    /// They go out again.
    pub is_due: bool,
}

impl WithdrawalRepeat {
    /// Whether the withdrawal of a host goes out again on a channel.
    pub fn covers(&self, host: &ChannelHost<'_>) -> bool {
        host.channel == Channel::Shared && self.is_due && self.is_missed(host.listed)
    }

    fn is_missed(&self, host: &ListedHost) -> bool {
        let order = &host.withdrawal_order;
        let is_recent = self.last_join_at - order.at < self.max_age;
        host.is_withdrawn(Channel::Shared) && is_recent && order.join_count < self.last_join
    }
}

//! The host list, with the director's state for each host.

use crate::interface::{ByHost, Channel, HostEntry, HostId, Ms, Readiness, ZoneId};

/// When a host was last withdrawn or restored on the shared channel.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SentWithdrawal {
    /// Joins since the director's start, at that time.
    pub join_count: usize,
    pub at: Ms,
}

/// A listed host and the director's state for it.
#[derive(Clone, Debug)]
pub(crate) struct ListedHost {
    /// The entry as listed, with weight and start time sanitized.
    pub entry: HostEntry,
    /// Whether the host is withdrawn from the tables of a channel, indexed by `Channel as usize`.
    pub withdrawn: [bool; 2],
    pub last_withdrawal: SentWithdrawal,
    /// When the host disappeared from the list, while it is kept because it may still serve.
    pub missing_since: Option<Ms>,
    /// When the host was first seen as gone.
    pub gone_since: Option<Ms>,
    /// The host's pool; `None` until one is assigned.
    pub pool: Option<usize>,
}

impl ListedHost {
    /// Creates the state of a newly listed host, which is in no pool and not withdrawn.
    pub fn new(entry: HostEntry) -> ListedHost {
        ListedHost {
            entry,
            withdrawn: [false; 2],
            last_withdrawal: SentWithdrawal::default(),
            missing_since: None,
            gone_since: None,
            pool: None,
        }
    }

    /// Whether the host accepts new requests, unlike one that drains or is gone.
    pub fn is_ready(&self) -> bool {
        self.entry.readiness == Readiness::Ready
    }

    /// Records that the host disappeared from the list but may still serve; the first time counts.
    pub fn mark_missing(&mut self, now: Ms) {
        self.missing_since = self.missing_since.or(Some(now));
    }

    /// Records that the host has terminated. It no longer counts as missing.
    pub fn mark_gone(&mut self) {
        self.entry.readiness = Readiness::Gone;
        self.missing_since = None;
    }

    /// Whether the host is withdrawn from the tables of this channel, according to the last update sent.
    pub fn is_withdrawn(&self, channel: Channel) -> bool {
        self.withdrawn[channel as usize]
    }
}

/// All known hosts, and the number of pools.
#[derive(Debug, Default)]
pub(crate) struct HostList {
    /// Hosts by name, including hosts that are gone but not yet removed.
    pub by_id: ByHost<ListedHost>,
    /// Number of pools, which are numbered from 0. It is 0 until the first host list arrives.
    pub pool_count: usize,
}

impl HostList {
    /// Number of pools, but at least 1, so that it can be used as a divisor.
    pub fn pools(&self) -> usize {
        self.pool_count.max(1)
    }

    /// Hosts that accept new requests, sorted by name. Includes hosts that are withdrawn.
    pub fn ready(&self) -> impl Iterator<Item = (&HostId, &ListedHost)> + Clone {
        self.by_id.iter().filter(|(_, host)| host.is_ready())
    }

    /// Hosts of a zone that accept new requests, sorted by name. Includes hosts that are withdrawn.
    pub fn ready_in(&self, zone: ZoneId) -> impl Iterator<Item = &ListedHost> + Clone {
        self.ready().map(|(_, host)| host).filter(move |host| host.entry.zone == zone)
    }

    /// Like [`HostList::ready_in`], but with mutable references.
    pub fn ready_in_mut(&mut self, zone: ZoneId) -> impl Iterator<Item = &mut ListedHost> {
        let is_in_zone = move |host: &&mut ListedHost| host.is_ready() && host.entry.zone == zone;
        self.by_id.values_mut().filter(is_in_zone)
    }

    /// Whether a host is ready and not withdrawn on a channel.
    pub fn is_live(&self, host: &HostId, channel: Channel) -> bool {
        self.by_id.get(host).is_some_and(|listed| listed.is_ready() && !listed.is_withdrawn(channel))
    }

    /// Whether reports about a host are used, which is while it is live on the shared channel. Withdrawals on
    /// the two channels differ only while one of them is stalled.
    pub fn is_evaluated(&self, host: &HostId) -> bool {
        self.is_live(host, Channel::Shared)
    }

    /// Every host, once per channel. All hosts on the shared channel come first.
    pub fn by_channel(&self) -> impl Iterator<Item = ChannelHost<'_>> {
        Channel::ALL.into_iter().flat_map(|channel| {
            self.by_id.iter().map(move |(id, listed)| ChannelHost { channel, id, listed })
        })
    }

    /// Withdrawals that were sent before the last of the proxies in `awaiting` joined, which await their bind
    /// and are identified by join number. Withdrawals sent `max_age` ms or more before `last_join_at` are left
    /// out.
    pub fn missed_withdrawals(&self, awaiting: &[usize], last_join_at: Ms, max_age: Ms) -> WithdrawalRepeat {
        let last_join = awaiting.iter().copied().max().unwrap_or(0);
        let none = WithdrawalRepeat {
            last_join_at,
            max_age,
            last_join,
            first_join: usize::MAX,
            withdrawals: 0,
            is_due: false,
        };
        let missed = self.by_id.values().filter(|host| !host.is_ready() && none.is_missed(host));
        let joins: Vec<usize> = missed.map(|host| host.last_withdrawal.join_count).collect();
        let first_join = joins.iter().copied().min().unwrap_or(usize::MAX);
        WithdrawalRepeat { first_join, withdrawals: joins.len(), ..none }
    }
}

/// A host together with one of the channels on which it can be withdrawn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChannelHost<'a> {
    pub channel: Channel,
    pub id: &'a HostId,
    pub listed: &'a ListedHost,
}

impl ChannelHost<'_> {
    /// Whether the host is withdrawn on `channel`; the other channel is not considered.
    pub fn is_withdrawn(&self) -> bool {
        self.listed.is_withdrawn(self.channel)
    }
}

/// Withdrawals on the shared channel that some proxies missed because they joined later. These proxies still
/// await their bind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WithdrawalRepeat {
    last_join_at: Ms,
    max_age: Ms,
    /// Highest join number of the proxies that await a bind, or 0 if there is none.
    last_join: usize,
    /// Join count at the earliest missed withdrawal, or `usize::MAX` if there is none.
    pub first_join: usize,
    /// Number of missed withdrawals.
    pub withdrawals: usize,
    /// Whether the missed withdrawals are to be sent again.
    pub is_due: bool,
}

impl WithdrawalRepeat {
    /// Whether the withdrawal of this host is to be sent again on this channel.
    pub fn covers(&self, host: &ChannelHost<'_>) -> bool {
        host.channel == Channel::Shared && self.is_due && self.is_missed(host.listed)
    }

    fn is_missed(&self, host: &ListedHost) -> bool {
        let last = &host.last_withdrawal;
        let is_recent = self.last_join_at - last.at < self.max_age;
        host.is_withdrawn(Channel::Shared) && is_recent && last.join_count < self.last_join
    }
}

//! The hosts known to a controller. Each start of a host creates an instance with its own id. Heartbeats may be delayed
//! and arrive at different controllers, so the record with the higher sequence number wins. The deregistration of an
//! instance is final.

use rushcourse_messages::{HostRecord, HostState};
use rushcourse_types::hash::hash64;
use rushcourse_types::{CallSequence, Millis, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Number of hash ranges into which host ids are divided. Controllers compare one digest per range (anti-entropy).
pub const RANGE_COUNT: usize = 32;

/// Seed of the hash that assigns host ids to ranges. Must be the same on all controllers, so it must never change.
const RANGE_SEED: u64 = 3;

/// Seed of the host digests. Must be the same on all controllers, so it must never change.
const DIGEST_SEED: u64 = 4;

/// Heartbeat intervals without a heartbeat after which a host times out, not counting [`TIMEOUT_MARGIN`]. Tolerates a
/// heartbeat that takes a second or reaches this controller by way of another one.
/// A controller that was slow for a while must not empty the endpoint tables.
const MAX_MISSED_HEARTBEATS: f64 = 3.4;

/// Added to the heartbeat timeout regardless of the heartbeat interval.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(400);

/// How long an ended instance is remembered, so that late heartbeats are recognized and digests of controllers agree.
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of instances that are remembered because they signed off before any controller knew them. The sign-off of
/// a further one is not recorded.
const MAX_UNKNOWN_GONE: usize = 16_384;

/// The state of one host instance. All timestamps are readings of this controller's clock.
#[derive(Clone, Debug)]
pub struct HostEntry {
    record: HostRecord,
    last_seen_at: Timestamp,
    warming_since: Option<Timestamp>,
    is_timed_out: bool,
}

impl HostEntry {
    fn new(now: Timestamp, record: HostRecord, heartbeat_timeout: Duration) -> HostEntry {
        let is_gone = record.state == HostState::Gone;
        let last_seen_at = now.saturating_sub(record.age.into());
        HostEntry {
            last_seen_at,
            warming_since: (record.warm_up > Millis(0)).then_some(now),
            is_timed_out: !is_gone && now.since(last_seen_at) > heartbeat_timeout,
            record,
        }
    }

    /// An instance that signed off before this controller knew anything else of it.
    fn unknown_gone(now: Timestamp, id: &str) -> HostEntry {
        let nothing: Arc<str> = Arc::from("");
        HostEntry {
            record: HostRecord {
                id: id.into(),
                service: nothing.clone(),
                zone: nothing.clone(),
                address: nothing,
                slots: 0,
                state: HostState::Gone,
                sequence: CallSequence(0),
                warm_up: Millis(0),
                age: Millis(0),
            },
            last_seen_at: now,
            warming_since: None,
            is_timed_out: false,
        }
    }

    /// Whether nothing but the sign-off of the instance is known.
    pub fn is_unknown_gone(&self) -> bool {
        self.record.state == HostState::Gone && self.record.service.is_empty()
    }

    /// The record from the host's newest request to any controller. Its `age` is not kept up to date.
    pub fn record(&self) -> &HostRecord {
        &self.record
    }

    /// A copy of the record to send to another node, with `age` set to the time since the host was last seen.
    pub fn record_at(&self, now: Timestamp) -> HostRecord {
        HostRecord {
            age: now.since(self.last_seen_at).into(),
            ..self.record.clone()
        }
    }

    /// The state used for endpoint tables: that of the record, or [`HostState::Gone`] while the host is timed out.
    pub fn state(&self) -> HostState {
        if self.is_timed_out {
            HostState::Gone
        } else {
            self.record.state
        }
    }

    /// The state that gateways are told: that of the record, or [`HostState::Draining`] while the host is timed out.
    /// Gateways take a gone host for one that never returns, but a timed-out host may only have been unreachable.
    pub fn state_for_gateways(&self) -> HostState {
        match self.record.state {
            HostState::Ready if self.is_timed_out => HostState::Draining,
            state => state,
        }
    }

    /// Whether the heartbeat timeout of the host has expired. A later heartbeat resets it.
    pub fn is_timed_out(&self) -> bool {
        self.is_timed_out
    }

    /// When any controller last received a request from the host, converted to this controller's clock. For a host that is
    /// gone, when it signed off.
    pub fn last_seen_at(&self) -> Timestamp {
        self.last_seen_at
    }

    /// When this controller learned of the host, if the host reported a warm-up at that time.
    pub fn warming_since(&self) -> Option<Timestamp> {
        self.warming_since
    }

    /// Applies a newer record of the same instance. Returns whether endpoint tables may have to change.
    fn update(&mut self, now: Timestamp, record: HostRecord, heartbeat_timeout: Duration) -> bool {
        self.last_seen_at = self.last_seen_at.max(now.saturating_sub(record.age.into()));
        let is_seen_again = self.is_timed_out && now.since(self.last_seen_at) <= heartbeat_timeout;
        self.is_timed_out &= !is_seen_again;
        let is_changed = self.record.state != record.state
            || self.record.address != record.address
            || self.record.service != record.service
            || self.record.slots != record.slots;
        self.set_record(record);
        is_changed || is_seen_again
    }

    /// Replaces the record, but keeps the description of the host if the new record has none.
    fn set_record(&mut self, record: HostRecord) {
        if record.service.is_empty() && record.state == HostState::Gone {
            self.record.state = HostState::Gone;
        } else {
            self.record = record;
        }
    }

    /// Whether the host ended, or timed out and was last seen, longer than [`GONE_RETENTION`] ago.
    fn is_expired(&self, now: Timestamp) -> bool {
        let has_ended = self.is_timed_out || self.record.state == HostState::Gone;
        has_ended && now >= self.last_seen_at + GONE_RETENTION
    }

    /// A digest of the fields that determine endpoint tables. Excludes fields that change with every heartbeat.
    fn digest(&self) -> u64 {
        let HostRecord {
            id,
            service,
            address,
            slots,
            state,
            ..
        } = &self.record;
        let state = state_name_in_digest(*state);
        let digest_input = format!("{id} {service} {address} {slots} {state}");
        hash64(digest_input.as_bytes(), DIGEST_SEED)
    }
}

/// Multiplies the heartbeat interval by `count`, truncated to whole milliseconds.
pub(crate) fn heartbeat_span(heartbeat_interval: Duration, count: f64) -> Duration {
    Duration::from_millis((heartbeat_interval.as_millis() as f64 * count) as u64)
}

/// The name of a state in digests. Controllers of different releases compare digests, so the names must never change,
/// even if variants are renamed.
fn state_name_in_digest(state: HostState) -> &'static str {
    match state {
        HostState::Ready => "Ready",
        HostState::Draining => "Draining",
        HostState::Gone => "Gone",
    }
}

/// The index of the hash range that a host id belongs to, below [`RANGE_COUNT`].
fn range_of(id: &str) -> usize {
    (hash64(id.as_bytes(), RANGE_SEED) % RANGE_COUNT as u64) as usize
}

/// All hosts known to a controller, by id. Ended hosts are kept for a while and removed by
/// [`HostRegistry::remove_expired`].
#[derive(Clone, Debug)]
pub struct HostRegistry {
    heartbeat_timeout: Duration,
    hosts: BTreeMap<Arc<str>, HostEntry>,
}

impl HostRegistry {
    /// Creates an empty registry. Heartbeat timeouts are derived from `heartbeat_interval`, at which hosts send
    /// heartbeats.
    pub fn new(heartbeat_interval: Duration) -> HostRegistry {
        let missed = heartbeat_span(heartbeat_interval, MAX_MISSED_HEARTBEATS);
        HostRegistry {
            heartbeat_timeout: missed + TIMEOUT_MARGIN,
            hosts: BTreeMap::new(),
        }
    }

    /// Looks up a host by id. Draining, timed-out and recently ended hosts are found as well.
    pub fn get(&self, id: &str) -> Option<&HostEntry> {
        self.hosts.get(id)
    }

    /// All hosts sorted by id, including timed-out and recently ended ones.
    pub fn iter(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.values()
    }

    /// Applies a record received from the host or from another controller. Returns whether endpoint tables may have to
    /// change. Outdated records are ignored.
    pub fn apply_record(&mut self, now: Timestamp, record: HostRecord) -> bool {
        let Some(known) = self.hosts.get_mut(&record.id) else {
            let entry = HostEntry::new(now, record, self.heartbeat_timeout);
            // Another controller still has it, and would otherwise pass it on for ever.
            let is_expired = entry.record.state == HostState::Gone && entry.is_expired(now);
            if !is_expired {
                self.hosts.insert(entry.record.id.clone(), entry);
            }
            return !is_expired;
        };
        if known.record.state == HostState::Gone {
            // Controllers then agree on its digest.
            if known.is_unknown_gone() && record.state == HostState::Gone {
                known.record = record;
            }
            return false;
        }
        let is_outdated =
            record.state != HostState::Gone && record.sequence < known.record.sequence;
        !is_outdated && known.update(now, record, self.heartbeat_timeout)
    }

    /// Applies a heartbeat forwarded by another controller. Returns whether it ends a timeout of the host. Outdated
    /// heartbeats and those of unknown hosts are ignored.
    pub fn apply_heartbeat(&mut self, now: Timestamp, id: &str, sequence: CallSequence) -> bool {
        let Some(known) = self.hosts.get_mut(id) else {
            return false;
        };
        if known.record.state == HostState::Gone || sequence < known.record.sequence {
            return false;
        }
        known.record.sequence = sequence;
        known.last_seen_at = now;
        std::mem::take(&mut known.is_timed_out)
    }

    /// Marks a deregistered host as gone and returns its record. An unknown one is recorded too, since its first heartbeat
    /// may be late. Returns `None` if it is already gone, or if too many unknown ones are recorded.
    pub fn deregister(&mut self, now: Timestamp, id: &str) -> Option<HostRecord> {
        let Some(known) = self.hosts.get_mut(id) else {
            return self.deregister_unknown(now, id);
        };
        if known.record.state == HostState::Gone {
            return None;
        }
        known.record.state = HostState::Gone;
        known.is_timed_out = false;
        known.last_seen_at = now;
        Some(known.record_at(now))
    }

    fn deregister_unknown(&mut self, now: Timestamp, id: &str) -> Option<HostRecord> {
        let unknown = self.hosts.values().filter(|host| host.is_unknown_gone());
        if unknown.count() >= MAX_UNKNOWN_GONE {
            return None;
        }
        let entry = HostEntry::unknown_gone(now, id);
        let record = entry.record.clone();
        self.hosts.insert(record.id.clone(), entry);
        Some(record)
    }

    /// Removes the hosts that have been gone or timed out for the whole retention period, and returns their ids.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<Arc<str>> {
        let expired = self.hosts.extract_if(.., |_, host| host.is_expired(now));
        expired.map(|(id, _)| id).collect()
    }

    /// Marks hosts whose heartbeat timeout has expired and returns the ids of the newly marked ones. Must be called
    /// only while this controller has quorum contact; otherwise hosts may be sending heartbeats to unreachable
    /// controllers.
    pub fn mark_timed_out(&mut self, now: Timestamp) -> Vec<Arc<str>> {
        let mut newly_timed_out = Vec::new();
        for (id, host) in &mut self.hosts {
            let is_overdue = now > host.last_seen_at + self.heartbeat_timeout;
            if is_overdue && !host.is_timed_out && host.record.state != HostState::Gone {
                host.is_timed_out = true;
                newly_timed_out.push(id.clone());
            }
        }
        newly_timed_out
    }

    /// The records of all hosts, with current ages, to send to another node.
    pub fn records(&self, now: Timestamp) -> Vec<HostRecord> {
        self.iter().map(|host| host.record_at(now)).collect()
    }

    /// One digest per range, [`RANGE_COUNT`] in total. Two registries with the same hosts have equal digests.
    pub fn digests(&self) -> Vec<u64> {
        let mut digests = vec![0; RANGE_COUNT];
        for host in self.hosts.values() {
            digests[range_of(&host.record.id)] ^= host.digest();
        }
        digests
    }

    /// Indexes of the ranges whose digests differ from those of another registry.
    pub fn differing_ranges(&self, other: &[u64]) -> Vec<u16> {
        let digests = self.digests();
        (0..RANGE_COUNT)
            .filter(|range| other.get(*range) != Some(&digests[*range]))
            .map(|range| range as u16)
            .collect()
    }

    /// The records of all hosts in the given ranges, with current ages, to send to another node.
    pub fn records_in_ranges(&self, now: Timestamp, ranges: &[u16]) -> Vec<HostRecord> {
        self.iter()
            .filter(|host| ranges.contains(&(range_of(&host.record.id) as u16)))
            .map(|host| host.record_at(now))
            .collect()
    }
}

//! The hosts that a controller knows. Each start of a host is an instance with an id of its own. Heartbeats may arrive
//! late and at different controllers: the higher sequence holds, and an instance that deregistered never comes back.

use rushcourse_messages::{HostRecord, HostState};
use rushcourse_types::hash::hash64;
use rushcourse_types::{CallSequence, Millis, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Ranges of ids that the registries of two controllers are compared by (anti-entropy).
pub const RANGE_COUNT: usize = 32;

/// Seed of the hash that assigns an id to its range. Controllers compare ranges, so it never changes.
const RANGE_SEED: u64 = 3;

/// Seed of the digest of a host. Controllers compare digests, so it never changes.
const DIGEST_SEED: u64 = 4;

/// Heartbeats that a host may miss before it counts as gone: a heartbeat may take a second and go round by other
/// controllers, and a controller that was slow for a while must not empty the tables (ours).
const MAX_MISSED_HEARTBEATS: f64 = 3.4;

/// Added to the time of the missed heartbeats (ours).
const TIMEOUT_MARGIN: Duration = Duration::from_millis(400);

/// How long an instance that ended is remembered: late heartbeats of it are recognized, and digests agree (ours).
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// One instance of a host, as this controller knows it. Times are of this controller's clock.
#[derive(Clone, Debug)]
pub struct HostEntry {
    record: HostRecord,
    last_seen_at: Timestamp,
    warming_since: Option<Timestamp>,
    is_timed_out: bool,
    ended_at: Option<Timestamp>,
}

impl HostEntry {
    fn new(now: Timestamp, record: HostRecord, heartbeat_timeout: Duration) -> HostEntry {
        let is_gone = record.state == HostState::Gone;
        let last_seen_at = now.saturating_sub(record.age.into());
        HostEntry {
            last_seen_at,
            warming_since: (record.warm_up > Millis(0)).then_some(now),
            is_timed_out: !is_gone && now.since(last_seen_at) > heartbeat_timeout,
            ended_at: is_gone.then_some(now),
            record,
        }
    }

    /// What the host said in its newest request to any controller.
    pub fn record(&self) -> &HostRecord {
        &self.record
    }

    /// The record to send to another node: with the host's age.
    pub fn record_at(&self, now: Timestamp) -> HostRecord {
        HostRecord {
            age: now.since(self.last_seen_at).into(),
            ..self.record.clone()
        }
    }

    /// The state that tables go by: as in the record, or [`HostState::Gone`] while it is timed out.
    pub fn state(&self) -> HostState {
        if self.is_timed_out {
            HostState::Gone
        } else {
            self.record.state
        }
    }

    /// Whether it was not seen for too long. A heartbeat ends that.
    pub fn is_timed_out(&self) -> bool {
        self.is_timed_out
    }

    /// When it was last seen, by whichever controller.
    pub fn last_seen_at(&self) -> Timestamp {
        self.last_seen_at
    }

    /// When it was first known, if it was in its warm-up then.
    pub fn warming_since(&self) -> Option<Timestamp> {
        self.warming_since
    }

    /// Applies a newer record of the same instance. True if tables may change by it.
    fn update(&mut self, now: Timestamp, record: HostRecord, heartbeat_timeout: Duration) -> bool {
        self.last_seen_at = self.last_seen_at.max(now.saturating_sub(record.age.into()));
        let is_seen_again = self.is_timed_out && now.since(self.last_seen_at) <= heartbeat_timeout;
        self.is_timed_out &= !is_seen_again;
        let is_changed = self.record.state != record.state
            || self.record.address != record.address
            || self.record.service != record.service
            || self.record.slots != record.slots;
        self.ended_at = (record.state == HostState::Gone).then_some(now);
        self.record = record;
        is_changed || is_seen_again
    }

    /// Whether it ended, or was last seen, so long ago that it can be removed.
    fn is_expired(&self, now: Timestamp) -> bool {
        let has_passed = |since: Timestamp| now >= since + GONE_RETENTION;
        self.ended_at.is_some_and(has_passed) || self.is_timed_out && has_passed(self.last_seen_at)
    }

    /// A digest of what tables go by, without what every heartbeat changes.
    fn digest(&self) -> u64 {
        let HostRecord {
            id,
            service,
            address,
            slots,
            state,
            ..
        } = &self.record;
        let state = digested_state(*state);
        let text = format!("{id} {service} {address} {slots} {state}");
        hash64(text.as_bytes(), DIGEST_SEED)
    }
}

/// So many heartbeat intervals, cut off at whole milliseconds.
pub(crate) fn heartbeat_span(heartbeat_interval: Duration, count: f64) -> Duration {
    Duration::from_millis((heartbeat_interval.as_millis() as f64 * count) as u64)
}

/// The word of a state in digests. Controllers of different builds compare digests: the words never change, whatever
/// the variants are called.
fn digested_state(state: HostState) -> &'static str {
    match state {
        HostState::Ready => "Ready",
        HostState::Draining => "Draining",
        HostState::Gone => "Gone",
    }
}

/// The range that an id belongs to.
fn range_of(id: &str) -> usize {
    (hash64(id.as_bytes(), RANGE_SEED) % RANGE_COUNT as u64) as usize
}

/// All hosts that a controller knows, by their ids.
#[derive(Clone, Debug)]
pub struct HostRegistry {
    heartbeat_timeout: Duration,
    hosts: BTreeMap<Arc<str>, HostEntry>,
}

impl HostRegistry {
    /// A registry without hosts. `heartbeat_interval`: how often a host sends a heartbeat.
    pub fn new(heartbeat_interval: Duration) -> HostRegistry {
        let missed = heartbeat_span(heartbeat_interval, MAX_MISSED_HEARTBEATS);
        HostRegistry {
            heartbeat_timeout: missed + TIMEOUT_MARGIN,
            hosts: BTreeMap::new(),
        }
    }

    /// The host of an id.
    pub fn get(&self, id: &str) -> Option<&HostEntry> {
        self.hosts.get(id)
    }

    /// All hosts, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.values()
    }

    /// Applies a record that came from the host or from another controller. True if tables may change by it.
    pub fn apply_record(&mut self, now: Timestamp, record: HostRecord) -> bool {
        let Some(known) = self.hosts.get_mut(&record.id) else {
            let entry = HostEntry::new(now, record, self.heartbeat_timeout);
            self.hosts.insert(entry.record.id.clone(), entry);
            return true;
        };
        if known.record.state == HostState::Gone {
            return false;
        }
        let is_outdated =
            record.state != HostState::Gone && record.sequence < known.record.sequence;
        !is_outdated && known.update(now, record, self.heartbeat_timeout)
    }

    /// Applies a heartbeat that another controller passed on. True if the host had timed out and is seen again.
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

    /// Marks a host as gone that deregistered. Returns its record, unless it was gone before.
    pub fn deregister(&mut self, now: Timestamp, id: &str) -> Option<HostRecord> {
        let known = self.hosts.get_mut(id)?;
        if known.record.state == HostState::Gone {
            return None;
        }
        known.record.state = HostState::Gone;
        known.ended_at = Some(now);
        Some(known.record.clone())
    }

    /// Removes the hosts that ended long ago.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.hosts.retain(|_, host| !host.is_expired(now));
    }

    /// Marks the hosts that have not been seen for too long as timed out, and returns the ids of those that were not
    /// yet. To be called only while this controller sees what a majority sees: otherwise missing heartbeats prove
    /// nothing.
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

    /// All records, to send to another node.
    pub fn records(&self, now: Timestamp) -> Vec<HostRecord> {
        self.iter().map(|host| host.record_at(now)).collect()
    }

    /// A digest of each range.
    pub fn digests(&self) -> Vec<u64> {
        let mut digests = vec![0; RANGE_COUNT];
        for host in self.hosts.values() {
            digests[range_of(&host.record.id)] ^= host.digest();
        }
        digests
    }

    /// The ranges in which the digests of another registry differ from those of this one.
    pub fn differing_ranges(&self, other: &[u64]) -> Vec<u16> {
        let digests = self.digests();
        (0..RANGE_COUNT)
            .filter(|range| other.get(*range) != Some(&digests[*range]))
            .map(|range| range as u16)
            .collect()
    }

    /// The records of some ranges, to send to another node.
    pub fn records_in_ranges(&self, now: Timestamp, ranges: &[u16]) -> Vec<HostRecord> {
        self.iter()
            .filter(|host| ranges.contains(&(range_of(&host.record.id) as u16)))
            .map(|host| host.record_at(now))
            .collect()
    }
}

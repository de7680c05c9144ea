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
const SILENCE_MARGIN: Duration = Duration::from_millis(400);

/// How long an instance that ended is remembered: late heartbeats of it are recognized, and digests agree (ours).
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// One instance of a host, as this controller knows it. Times are of this controller's clock.
#[derive(Clone, Debug)]
pub struct HostEntry {
    record: HostRecord,
    last_heard_at: Timestamp,
    warming_since: Option<Timestamp>,
    is_silent: bool,
    ended_at: Option<Timestamp>,
}

impl HostEntry {
    fn new(now: Timestamp, record: HostRecord, silence_timeout: Duration) -> HostEntry {
        let is_gone = record.state == HostState::Gone;
        let last_heard_at = now.saturating_sub(record.age.into());
        HostEntry {
            last_heard_at,
            warming_since: (record.warm_up > Millis(0)).then_some(now),
            is_silent: !is_gone && now.since(last_heard_at) > silence_timeout,
            ended_at: is_gone.then_some(now),
            record,
        }
    }

    /// What the host said of itself in its newest request, by whichever controller it came.
    pub fn record(&self) -> &HostRecord {
        &self.record
    }

    /// The record as it goes to another node: with its age.
    pub fn record_at(&self, now: Timestamp) -> HostRecord {
        HostRecord {
            age: now.since(self.last_heard_at).into(),
            ..self.record.clone()
        }
    }

    /// What tables go by: its own word, or [`HostState::Gone`] while it is silent.
    pub fn state(&self) -> HostState {
        if self.is_silent {
            HostState::Gone
        } else {
            self.record.state
        }
    }

    /// Whether nothing was heard of it for too long. A heartbeat ends that.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// When it was last heard, by whichever controller.
    pub fn last_heard_at(&self) -> Timestamp {
        self.last_heard_at
    }

    /// When it was first known, if it was in its warm-up then.
    pub fn warming_since(&self) -> Option<Timestamp> {
        self.warming_since
    }

    /// Takes over a newer record of the same instance. True if tables may change by it.
    fn update(&mut self, now: Timestamp, record: HostRecord, silence_timeout: Duration) -> bool {
        self.last_heard_at = self
            .last_heard_at
            .max(now.saturating_sub(record.age.into()));
        let is_heard_again = self.is_silent && now.since(self.last_heard_at) <= silence_timeout;
        self.is_silent &= !is_heard_again;
        let is_changed = self.record.state != record.state
            || self.record.address != record.address
            || self.record.service != record.service
            || self.record.slots != record.slots;
        self.ended_at = (record.state == HostState::Gone).then_some(now);
        self.record = record;
        is_changed || is_heard_again
    }

    /// Whether it ended, or was last heard, so long ago that it is forgotten.
    fn is_expired(&self, now: Timestamp) -> bool {
        let has_passed = |since: Timestamp| now >= since + GONE_RETENTION;
        self.ended_at.is_some_and(has_passed) || self.is_silent && has_passed(self.last_heard_at)
    }

    /// What digests are made of: all that tables go by, and nothing that each heartbeat changes.
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

/// The time of so many heartbeats, cut off at whole milliseconds.
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
    silence_timeout: Duration,
    hosts: BTreeMap<Arc<str>, HostEntry>,
}

impl HostRegistry {
    /// A registry without hosts. `heartbeat_interval`: how often a host calls.
    pub fn new(heartbeat_interval: Duration) -> HostRegistry {
        let missed = heartbeat_span(heartbeat_interval, MAX_MISSED_HEARTBEATS);
        HostRegistry {
            silence_timeout: missed + SILENCE_MARGIN,
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

    /// Applies what a host, or another controller, said of a host. True if tables may change by it.
    pub fn apply_record(&mut self, now: Timestamp, record: HostRecord) -> bool {
        let Some(known) = self.hosts.get_mut(&record.id) else {
            let entry = HostEntry::new(now, record, self.silence_timeout);
            self.hosts.insert(entry.record.id.clone(), entry);
            return true;
        };
        if known.record.state == HostState::Gone {
            return false;
        }
        let is_outdated =
            record.state != HostState::Gone && record.sequence < known.record.sequence;
        !is_outdated && known.update(now, record, self.silence_timeout)
    }

    /// Applies a heartbeat that another controller passed on. True if the host was silent and is heard again.
    pub fn apply_heartbeat(&mut self, now: Timestamp, id: &str, sequence: CallSequence) -> bool {
        let Some(known) = self.hosts.get_mut(id) else {
            return false;
        };
        if known.record.state == HostState::Gone || sequence < known.record.sequence {
            return false;
        }
        known.record.sequence = sequence;
        known.last_heard_at = now;
        std::mem::take(&mut known.is_silent)
    }

    /// Ends a host that deregistered. Its record, if that is news.
    pub fn deregister(&mut self, now: Timestamp, id: &str) -> Option<HostRecord> {
        let known = self.hosts.get_mut(id)?;
        if known.record.state == HostState::Gone {
            return None;
        }
        known.record.state = HostState::Gone;
        known.ended_at = Some(now);
        Some(known.record.clone())
    }

    /// Forgets the hosts that ended long ago.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.hosts.retain(|_, host| !host.is_expired(now));
    }

    /// Marks the hosts that have not been heard for too long as silent; the ids of those that were not before. To be
    /// called only by a controller that hears what a majority hears: otherwise silence proves nothing.
    pub fn mark_silent(&mut self, now: Timestamp) -> Vec<Arc<str>> {
        let mut newly_silent = Vec::new();
        for (id, host) in &mut self.hosts {
            let is_overdue = now > host.last_heard_at + self.silence_timeout;
            if is_overdue && !host.is_silent && host.record.state != HostState::Gone {
                host.is_silent = true;
                newly_silent.push(id.clone());
            }
        }
        newly_silent
    }

    /// All records, as they go to another node.
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

    /// The records of some ranges, as they go to another node.
    pub fn records_in_ranges(&self, now: Timestamp, ranges: &[u16]) -> Vec<HostRecord> {
        self.iter()
            .filter(|host| ranges.contains(&(range_of(&host.record.id) as u16)))
            .map(|host| host.record_at(now))
            .collect()
    }
}

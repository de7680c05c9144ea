//! Claims in snapshots.

use super::{ClaimRegistry, Entry};
use crate::context::Context;
use crate::durable_state::{StoredClaim, WriteOperation};
use rushcourse_messages::ClaimRecord;
use rushcourse_types::{ClaimId, KeyDigest, Millis, Timestamp};
use std::time::Duration;

impl ClaimRegistry {
    /// Position after the last claim that arrived; the next snapshot for the same receiver starts there.
    pub(crate) fn position(&self) -> u64 {
        self.recent_keys.end()
    }

    /// Returns the claims that arrived from a position on, or all claims if the position is `None` or no longer kept.
    pub(crate) fn snapshot(&self, now: Timestamp, from: Option<u64>) -> Vec<ClaimRecord> {
        let record = |key: &KeyDigest, entry: &Entry| {
            let remaining = entry.expires_at.since(now);
            ClaimRecord {
                key: *key,
                alias: entry.alias,
                claim: entry.id,
                age: Millis::from(self.retention.saturating_sub(remaining)),
            }
        };
        match from.and_then(|position| self.recent_keys.since(position)) {
            Some(keys) => keys
                .filter_map(|key| Some(record(key, self.claims.get(key)?)))
                .collect(),
            None => self
                .claims
                .iter()
                .map(|(key, entry)| record(key, entry))
                .collect(),
        }
    }

    /// Adds the claims of a voter's snapshot and returns the writes. A key with several claims becomes contested. Of claims
    /// that conflict by an alias all are stored, and none of them is granted as long as the others are held.
    /// The new claims become durable with [`ClaimRegistry::install_synced`].
    pub(crate) fn install(
        &mut self,
        context: &Context,
        records: &[ClaimRecord],
    ) -> Vec<WriteOperation> {
        let mut operations = Vec::new();
        for record in records {
            let age = Duration::from(record.age);
            let added = Entry {
                id: record.claim,
                alias: record.alias,
                claimed_at: context.wall_time.saturating_sub(age),
                expires_at: context.now + self.retention.saturating_sub(age),
                is_durable: false,
                requester: None,
            };
            let Some(entry) = merge(self.claims.get(&record.key), added) else {
                continue;
            };
            self.remove(record.key);
            self.insert(record.key, entry);
            operations.push(WriteOperation::StoreClaim(StoredClaim {
                key: record.key,
                alias: entry.alias,
                id: entry.id,
                claimed_at: entry.claimed_at,
            }));
        }
        self.expiries.make_contiguous().sort_unstable();
        operations
    }

    /// Marks the installed claims of these keys as durable.
    pub(crate) fn install_synced(&mut self, keys: &[KeyDigest]) {
        for key in keys {
            if let Some(entry) = self.claims.get_mut(key) {
                entry.is_durable = true;
            }
        }
    }

    /// Removes the installed claims of these keys, which the disk refused. They are requested again. Contested keys stay
    /// held, since one of their claims may be on disk.
    pub(crate) fn install_refused(&mut self, keys: &[KeyDigest]) {
        for key in keys {
            let is_refused = |entry: &Entry| !entry.is_durable && entry.id != ClaimId::CONTESTED;
            if self.claims.get(key).is_some_and(is_refused) {
                self.remove(*key);
            }
        }
    }
}

/// Returns the entry that holds a key after a claim from a snapshot has been added to the known one; `None` if the known
/// one stays.
fn merge(known: Option<&Entry>, added: Entry) -> Option<Entry> {
    let Some(known) = known else {
        return Some(added);
    };
    let is_recorded = known.id == ClaimId::CONTESTED && known.is_durable;
    if known.id == added.id || is_recorded && known.expires_at >= added.expires_at {
        return None;
    }
    Some(Entry {
        id: ClaimId::CONTESTED,
        alias: known.alias.or(added.alias),
        expires_at: known.expires_at.max(added.expires_at),
        ..added
    })
}

//! Ids of hosts that are known to have ended. A host id identifies one run of a server, so an ended host never returns.
//! Remembering the ids prevents an endpoint table that was sent before the end of a host from adding it again.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of ended hosts to remember. The oldest is evicted first.
const MAX_ENDED_HOSTS: usize = 4_096;

/// Ids of ended hosts, each with a sequence number that reflects the order of insertion.
#[derive(Default)]
pub(crate) struct EndedHosts {
    sequences: BTreeMap<Arc<str>, u64>,
    last_sequence: u64,
}

impl EndedHosts {
    pub(crate) fn insert(&mut self, id: &Arc<str>) {
        self.last_sequence += 1;
        self.sequences.insert(id.clone(), self.last_sequence);
        if self.sequences.len() > MAX_ENDED_HOSTS {
            let oldest = self.sequences.iter().min_by_key(|(_, sequence)| **sequence);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.sequences.remove(&id));
        }
    }

    pub(crate) fn contains(&self, id: &Arc<str>) -> bool {
        self.sequences.contains_key(id)
    }
}

//! Hosts that are known to have ended. A host's id names one run of a server, so an ended one never comes back; but a
//! table that was sent before its end may arrive after it, and must not bring it back.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Ended hosts that are remembered at most, the oldest first out (ours).
const MAX_ENDED_HOSTS: usize = 4_096;

/// Ids of ended hosts, each with the position of its end in the order of all ends.
#[derive(Default)]
pub(crate) struct EndedHosts {
    order: BTreeMap<Arc<str>, u64>,
    last: u64,
}

impl EndedHosts {
    pub(crate) fn insert(&mut self, id: &Arc<str>) {
        self.last += 1;
        self.order.insert(id.clone(), self.last);
        if self.order.len() > MAX_ENDED_HOSTS {
            let oldest = self.order.iter().min_by_key(|(_, position)| **position);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.order.remove(&id));
        }
    }

    pub(crate) fn contains(&self, id: &Arc<str>) -> bool {
        self.order.contains_key(id)
    }
}

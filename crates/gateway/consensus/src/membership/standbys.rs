//! Standbys that learn, so that one of them can become a member.

use crate::context::Context;
use rushcourse_messages::Message;
use rushcourse_types::{Epoch, NodeId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Between two invitations.
const INVITATION_INTERVAL: Duration = Duration::from_millis(400);

/// Standbys as this replica, which may propose one of them, knows them.
#[derive(Clone, Debug, Default)]
pub(super) struct Standbys {
    /// Standbys that hold what voters hold, and by the voters of which set.
    ready: BTreeMap<NodeId, Epoch>,
    last_invitation_at: Timestamp,
}

impl Standbys {
    /// Asks a standby to become a learner, at intervals.
    pub(super) fn invite(&mut self, context: &mut Context, standby: NodeId, epoch: Epoch) {
        if context.now >= self.last_invitation_at + INVITATION_INTERVAL {
            self.last_invitation_at = context.now;
            context.send(standby, Message::LearnerInvitation { epoch });
        }
    }

    /// A standby reports that it holds what voters of a set hold.
    pub(super) fn mark_ready(&mut self, standby: NodeId, epoch: Epoch) {
        self.ready.insert(standby, epoch);
    }

    pub(super) fn is_ready(&self, standby: NodeId, epoch: Epoch) -> bool {
        self.ready.get(&standby) == Some(&epoch)
    }

    /// Its session broke: it may come back with less.
    pub(super) fn forget(&mut self, standby: NodeId) {
        self.ready.remove(&standby);
    }

    /// Another set is adopted: what standbys hold is of the one before.
    pub(super) fn forget_all(&mut self) {
        self.ready.clear();
    }
}

//! Standbys that learn the state of the voters in order to become members.

use crate::context::Context;
use rushcourse_messages::Message;
use rushcourse_types::{Epoch, NodeId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

const INVITATION_INTERVAL: Duration = Duration::from_millis(400);

/// Standbys that this replica has invited, or that have reported that they are ready to join.
#[derive(Clone, Debug, Default)]
pub(super) struct Standbys {
    /// Standbys with complete state, and the epoch of the voting set that they learned from.
    ready: BTreeMap<NodeId, Epoch>,
    last_invitation_at: Timestamp,
}

impl Standbys {
    /// Invites a standby to learn, at most once per [`INVITATION_INTERVAL`].
    pub(super) fn invite(&mut self, context: &mut Context, standby: NodeId, epoch: Epoch) {
        if context.now >= self.last_invitation_at + INVITATION_INTERVAL {
            self.last_invitation_at = context.now;
            context.send(standby, Message::LearnerInvitation { epoch });
        }
    }

    pub(super) fn mark_ready(&mut self, standby: NodeId, epoch: Epoch) {
        self.ready.insert(standby, epoch);
    }

    pub(super) fn is_ready(&self, standby: NodeId, epoch: Epoch) -> bool {
        self.ready.get(&standby) == Some(&epoch)
    }

    /// Removes a disconnected standby, which may have lost state when it reconnects.
    pub(super) fn remove(&mut self, standby: NodeId) {
        self.ready.remove(&standby);
    }

    /// Clears all readiness, which applied to the previous voting set.
    pub(super) fn clear(&mut self) {
        self.ready.clear();
    }
}

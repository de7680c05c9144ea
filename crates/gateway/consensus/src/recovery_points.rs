//! What this replica knows of the other members' disks, for the day when one of them starts with an older copy of its
//! disk.
//!
//! A member reports the generation of its disk, and echoes a timestamp of this replica: so this replica knows that the
//! report was sent after that time of its own clock. A gateway counts a grant only within [`GRANT_LIFETIME`] of the
//! claim's start, and this replica can't have received a claim before it started. So each claim that this replica
//! received more than [`GRANT_LIFETIME`] before the echoed time, and that the member granted with effect, is on the
//! member's disk as of that generation. What the member may lack, if it comes back with a disk of that generation or a
//! later one, is among the claims that came here since: a *recovery point* is the generation, and the position in this
//! replica's claims.
//!
//! Kept in memory: a replica that was started since knows nothing, and teaches a member that recovers all of its claims.

use rushcourse_messages::{RecoveryPoint, SnapshotCursor, VotingSet};
use rushcourse_types::{Generation, Incarnation, NodeId, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// For how long from its claim's start a grant counts at its gateway (`rushcourse-routing`: 450 ms), and some more.
const GRANT_LIFETIME: Duration = Duration::from_millis(500);
/// Between two positions that are kept (ours).
const POSITION_INTERVAL: Duration = Duration::from_millis(200);
/// Positions that are kept: of the last 12.8 s. Reports echo what is some 1.4 s old at most, while a session stands.
const MAX_POSITIONS: usize = 64;

/// How many claims had come to this replica at a time.
#[derive(Clone, Copy, Debug)]
struct PositionAt {
    at: Timestamp,
    position: u64,
}

/// What this replica knows of the other members' disks.
#[derive(Clone, Debug)]
pub(crate) struct RecoveryPoints {
    /// Of this replica; positions are of its claims.
    incarnation: Incarnation,
    positions: VecDeque<PositionAt>,
    points: BTreeMap<NodeId, RecoveryPoint>,
}

impl RecoveryPoints {
    /// Nothing is known.
    pub fn new(incarnation: Incarnation) -> RecoveryPoints {
        RecoveryPoints {
            incarnation,
            positions: VecDeque::new(),
            points: BTreeMap::new(),
        }
    }

    /// Keeps the position of the claims that have come until now.
    pub fn record_position(&mut self, now: Timestamp, position: u64) {
        let last = self.positions.back();
        if last.is_some_and(|last| now < last.at + POSITION_INTERVAL) {
            return;
        }
        self.positions.push_back(PositionAt { at: now, position });
        if self.positions.len() > MAX_POSITIONS {
            self.positions.pop_front();
        }
    }

    /// A voter reported the generation of its disk, after it had received what this replica sent at `echoed`.
    pub fn voter_reported(&mut self, voter: NodeId, echoed: Timestamp, generation: Generation) {
        let is_settled = |kept: &&PositionAt| kept.at + GRANT_LIFETIME <= echoed;
        let Some(kept) = self.positions.iter().rev().find(is_settled) else {
            return;
        };
        let point = RecoveryPoint {
            generation,
            cursor: SnapshotCursor {
                incarnation: self.incarnation,
                position: kept.position,
            },
        };
        let known = self.points.entry(voter).or_insert(point);
        if generation >= known.generation {
            *known = point;
        }
    }

    /// What is known of a member's disk.
    pub fn of(&self, member: NodeId) -> Option<RecoveryPoint> {
        self.points.get(&member).copied()
    }

    /// Controllers that are no members lose their state when they become members again.
    pub fn retain_members(&mut self, voting_set: &VotingSet) {
        self.points.retain(|node, _| voting_set.contains(*node));
    }
}

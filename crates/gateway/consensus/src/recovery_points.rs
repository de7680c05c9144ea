//! Recovery points: what this replica knows of the claims on other members' disks, in case one of them starts from an
//! older copy of its disk.
//!
//! A member reports the generation of its disk and echoes a timestamp of this replica, which shows that the report was
//! sent after that time on this replica's clock. A gateway counts a grant only within [`GRANT_LIFETIME`] of the claim's
//! start, and this replica can't have received a claim before it started. So every claim that this replica received
//! more than [`GRANT_LIFETIME`] before the echoed time, and for which the member's grant was counted, is on the
//! member's disk as of that generation. If the member returns with a disk of that generation or a later one, the claims
//! that it may lack are among those that this replica received since. A *recovery point* consists of the generation and
//! the position in this replica's sequence of claims.
//!
//! Recovery points are kept in memory only. After a restart a replica has none, and sends a recovering member all of
//! its claims.

use rushcourse_messages::{RecoveryPoint, SnapshotCursor, VotingSet};
use rushcourse_types::{Generation, Incarnation, NodeId, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time from a claim's start for which a gateway counts grants (450 ms in `rushcourse-routing`), plus a margin.
const GRANT_LIFETIME: Duration = Duration::from_millis(500);
/// Minimum interval between two position samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of position samples kept, which cover the last 12.8 s. Reports echo timestamps that are at most about 1.4 s
/// old while a session lasts.
const MAX_SAMPLES: usize = 64;

/// Position in the sequence of claims at a point in time.
#[derive(Clone, Copy, Debug)]
struct PositionSample {
    at: Timestamp,
    position: u64,
}

/// Recovery points of the other members, and the position samples that they are derived from.
#[derive(Clone, Debug)]
pub(crate) struct RecoveryPoints {
    /// Incarnation of this replica; positions count its claims since its start.
    incarnation: Incarnation,
    samples: VecDeque<PositionSample>,
    points: BTreeMap<NodeId, RecoveryPoint>,
}

impl RecoveryPoints {
    /// Creates an empty set of recovery points for this incarnation.
    pub fn new(incarnation: Incarnation) -> RecoveryPoints {
        RecoveryPoints {
            incarnation,
            samples: VecDeque::new(),
            points: BTreeMap::new(),
        }
    }

    /// Samples the current position in the sequence of claims, at most once per [`SAMPLE_INTERVAL`].
    pub fn record_position(&mut self, now: Timestamp, position: u64) {
        let last = self.samples.back();
        if last.is_some_and(|last| now < last.at + SAMPLE_INTERVAL) {
            return;
        }
        self.samples.push_back(PositionSample { at: now, position });
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Updates a voter's recovery point. The voter reported `generation` after it had received the message that this
    /// replica sent at `echoed`.
    pub fn voter_reported(&mut self, voter: NodeId, echoed: Timestamp, generation: Generation) {
        let is_settled = |sample: &&PositionSample| sample.at + GRANT_LIFETIME <= echoed;
        let Some(sample) = self.samples.iter().rev().find(is_settled) else {
            return;
        };
        let point = RecoveryPoint {
            generation,
            cursor: SnapshotCursor {
                incarnation: self.incarnation,
                position: sample.position,
            },
        };
        let known = self.points.entry(voter).or_insert(point);
        if generation >= known.generation {
            *known = point;
        }
    }

    /// Returns the recovery point of a member; `None` until a report of the member could be matched with a position
    /// sample.
    pub fn get(&self, member: NodeId) -> Option<RecoveryPoint> {
        self.points.get(&member).copied()
    }

    /// Drops controllers that are not members: they have to install full snapshots before they vote again.
    pub fn retain_members(&mut self, voting_set: &VotingSet) {
        self.points.retain(|node, _| voting_set.contains(*node));
    }
}

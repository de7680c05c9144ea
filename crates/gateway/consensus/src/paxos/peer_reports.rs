//! What other replicas have reported of their disks.

use rushcourse_messages::{Ballot, DurableVote, Message, RecoveryPoint, Slot, VotingSet};
use rushcourse_types::{ConfigurationVersion, Epoch, Generation, NodeId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// For how long a peer's report counts, from the timestamp of this replica that it echoes: so its age is bounded however
/// long it was on its way, or waited here while this process stood still. Shorter than the wait of a voter that lost its disk
/// (`learning::SNAPSHOT_REQUEST_DELAY`): a vote of before the loss is counted only before that voter has
/// installed snapshots.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(1_700);

/// The content of `Message::ReplicaStatus`.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaStatus {
    /// The sender's steady clock.
    pub sent_at: Timestamp,
    /// The last `sent_at` that the sender got from the receiver in this session; `Timestamp::ZERO`: none.
    pub echoed: Timestamp,
    /// The voting set that the sender knows.
    pub epoch: Epoch,
    /// Whether the sender votes in that set.
    pub is_voter: bool,
    /// Whether the sender's disk takes writes.
    pub is_disk_usable: bool,
    /// The generation of the sender's disk.
    pub generation: Generation,
    /// For a receiver that does not vote: what the sender knows of its disk.
    pub recovery_point: Option<RecoveryPoint>,
    /// The version that the sender knows to be committed.
    pub committed: ConfigurationVersion,
    /// Votes that the sender's disk holds.
    pub votes: Vec<DurableVote>,
}

impl From<ReplicaStatus> for Message {
    fn from(status: ReplicaStatus) -> Message {
        Message::ReplicaStatus {
            sent_at: status.sent_at,
            echoed: status.echoed,
            epoch: status.epoch,
            is_voter: status.is_voter,
            is_disk_usable: status.is_disk_usable,
            generation: status.generation,
            recovery_point: status.recovery_point,
            committed: status.committed,
            votes: status.votes,
        }
    }
}

/// What one replica reported last.
#[derive(Clone, Debug)]
pub(crate) struct PeerReport {
    /// The timestamp of this replica's last report that the peer had received; `Timestamp::ZERO`: it had received none.
    echoed: Timestamp,
    /// The peer's clock when it sent the report.
    sent_at: Timestamp,
    epoch: Epoch,
    is_voter: bool,
    /// The peer did not vote when it first reported in this session, or later.
    was_no_voter: bool,
    is_disk_usable: bool,
    recovery_point: Option<RecoveryPoint>,
    committed: ConfigurationVersion,
    votes: BTreeMap<Slot, Ballot>,
}

impl PeerReport {
    /// Whether the peer said that it votes in the set that it knows.
    pub fn is_voter(&self) -> bool {
        self.is_voter
    }

    /// Whether the peer said at some time in this session that it does not vote: then it has started since, like this
    /// replica where that recovers, or lacks state.
    pub fn was_no_voter(&self) -> bool {
        self.was_no_voter
    }

    /// What the peer knows of this replica's disk.
    pub fn recovery_point(&self) -> Option<RecoveryPoint> {
        self.recovery_point
    }

    /// The version that the peer knows to be committed.
    pub fn committed(&self) -> ConfigurationVersion {
        self.committed
    }

    /// Whether the peer's disk holds this vote.
    pub fn has_vote(&self, slot: Slot, ballot: Ballot) -> bool {
        self.votes.get(&slot) == Some(&ballot)
    }

    fn is_recent(&self, now: Timestamp) -> bool {
        self.echoed > Timestamp::ZERO && now < self.echoed + REPORT_TIMEOUT
    }
}

/// The last reports of the replicas in session.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerReports {
    reports: BTreeMap<NodeId, PeerReport>,
}

impl PeerReports {
    /// Stores a report in place of the last one of its sender.
    pub fn insert(&mut self, from: NodeId, status: ReplicaStatus) {
        let votes = status.votes.iter().map(|vote| (vote.slot, vote.ballot));
        let earlier = self.reports.get(&from);
        let was_no_voter = earlier.is_some_and(|report| report.was_no_voter);
        let report = PeerReport {
            echoed: status.echoed,
            sent_at: status.sent_at,
            epoch: status.epoch,
            is_voter: status.is_voter,
            was_no_voter: was_no_voter || !status.is_voter,
            is_disk_usable: status.is_disk_usable,
            recovery_point: status.recovery_point,
            committed: status.committed,
            votes: votes.collect(),
        };
        self.reports.insert(from, report);
    }

    /// The peer's session broke: it may come back without its disk.
    pub fn forget(&mut self, peer: NodeId) {
        self.reports.remove(&peer);
    }

    /// The peer's clock in its last report of this session, to be echoed; `Timestamp::ZERO`: there was none.
    pub fn last_sent_at(&self, peer: NodeId) -> Timestamp {
        let report = self.reports.get(&peer);
        report.map_or(Timestamp::ZERO, |report| report.sent_at)
    }

    /// The last report of a peer in this session.
    pub fn get(&self, peer: NodeId) -> Option<&PeerReport> {
        self.reports.get(&peer)
    }

    /// All reports, by peers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &PeerReport)> {
        self.reports.iter().map(|(peer, report)| (*peer, report))
    }

    /// The recent report of another member that votes in this set.
    pub fn voter_report(
        &self,
        now: Timestamp,
        set: &VotingSet,
        peer: NodeId,
    ) -> Option<&PeerReport> {
        let report = self.reports.get(&peer)?;
        let counts = report.is_recent(now) && report.is_voter && report.epoch == set.epoch;
        counts.then_some(report)
    }

    /// Whether another member has reported lately that it votes in this set, and that its disk takes writes.
    pub fn is_voter(&self, now: Timestamp, set: &VotingSet, peer: NodeId) -> bool {
        let report = self.voter_report(now, set, peer);
        report.is_some_and(|report| report.is_disk_usable)
    }

    /// How many other members of the set have this vote on their disks, by their recent reports.
    pub fn count_votes(
        &self,
        now: Timestamp,
        set: &VotingSet,
        slot: Slot,
        ballot: Ballot,
    ) -> usize {
        let members = set.members.iter();
        let reports = members.filter_map(|member| self.voter_report(now, set, *member));
        reports
            .filter(|report| report.has_vote(slot, ballot))
            .count()
    }
}

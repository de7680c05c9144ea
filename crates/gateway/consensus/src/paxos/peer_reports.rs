//! The latest status reports of other replicas.

use rushcourse_messages::{Ballot, DurableVote, Message, RecoveryPoint, Slot, VotingSet};
use rushcourse_types::{ConfigurationVersion, DutySequence, Epoch, Generation, NodeId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a peer's report counts, starting at the timestamp of this replica that the report echoes. This bounds
/// the age of the report regardless of network delays and of pauses of this process. Shorter than
/// `learning::SNAPSHOT_REQUEST_DELAY`, so that a vote given before the loss of a disk is no longer counted when its
/// voter installs snapshots.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Content of `Message::ReplicaStatus`.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaStatus {
    /// Time of sending by the sender's monotonic clock.
    pub sent_at: Timestamp,
    /// Latest `sent_at` that the sender received from the receiver in this session; zero if it received none.
    pub echoed: Timestamp,
    /// Epoch of the voting set that the sender has adopted.
    pub epoch: Epoch,
    /// Whether the sender votes in that set.
    pub is_voter: bool,
    /// Whether the sender's disk accepts writes.
    pub is_disk_usable: bool,
    /// Generation of the sender's disk.
    pub generation: Generation,
    /// The sender's recovery point for the receiver's disk, if the receiver doesn't vote.
    pub recovery_point: Option<RecoveryPoint>,
    /// Highest version that the sender knows to be committed.
    pub committed: ConfigurationVersion,
    /// Highest position in the chain of duty states that the sender knows to be chosen.
    pub duty: DutySequence,
    /// Votes that the sender has on disk.
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
            duty: status.duty,
            votes: status.votes,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct PeerReport {
    /// Timestamp of this replica's latest report that the peer had received; zero if it had received none.
    echoed: Timestamp,
    /// Time of sending by the peer's monotonic clock.
    sent_at: Timestamp,
    epoch: Epoch,
    is_voter: bool,
    /// Whether any report of this session said that the peer doesn't vote.
    was_non_voter: bool,
    is_disk_usable: bool,
    recovery_point: Option<RecoveryPoint>,
    committed: ConfigurationVersion,
    duty: DutySequence,
    votes: BTreeMap<Slot, Ballot>,
}

impl PeerReport {
    /// Whether the peer voted in its voting set when it sent the report.
    pub fn is_voter(&self) -> bool {
        self.is_voter
    }

    /// Whether the peer has reported in this session that it doesn't vote. It may vote again by now.
    pub fn was_non_voter(&self) -> bool {
        self.was_non_voter
    }

    /// The peer's recovery point for this replica's disk.
    pub fn recovery_point(&self) -> Option<RecoveryPoint> {
        self.recovery_point
    }

    /// Whether the peer knows that a value is chosen for this slot or a later one of its kind.
    pub fn knows_decision(&self, slot: Slot) -> bool {
        match slot {
            Slot::VotingSet(epoch) => self.epoch >= epoch,
            Slot::Configuration(version) => self.committed >= version,
            Slot::UsageDuty(sequence) => self.duty >= sequence,
        }
    }

    /// Whether the peer has a vote for this ballot on disk.
    pub fn has_vote(&self, slot: Slot, ballot: Ballot) -> bool {
        self.votes.get(&slot) == Some(&ballot)
    }

    fn is_recent(&self, now: Timestamp) -> bool {
        self.echoed > Timestamp::ZERO && now < self.echoed + REPORT_TIMEOUT
    }
}

/// Latest reports of the connected replicas.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerReports {
    reports: BTreeMap<NodeId, PeerReport>,
}

impl PeerReports {
    /// Replaces the latest report of a peer.
    pub fn insert(&mut self, from: NodeId, status: ReplicaStatus) {
        let votes = status.votes.iter().map(|vote| (vote.slot, vote.ballot));
        let earlier = self.reports.get(&from);
        let was_non_voter = earlier.is_some_and(|report| report.was_non_voter);
        let report = PeerReport {
            echoed: status.echoed,
            sent_at: status.sent_at,
            epoch: status.epoch,
            is_voter: status.is_voter,
            was_non_voter: was_non_voter || !status.is_voter,
            is_disk_usable: status.is_disk_usable,
            recovery_point: status.recovery_point,
            committed: status.committed,
            duty: status.duty,
            votes: votes.collect(),
        };
        self.reports.insert(from, report);
    }

    /// Drops the report of a disconnected peer, which may return without its disk.
    pub fn remove(&mut self, peer: NodeId) {
        self.reports.remove(&peer);
    }

    /// Timestamp of the peer's latest report in this session, to be echoed; zero if there is none.
    pub fn last_sent_at(&self, peer: NodeId) -> Timestamp {
        let report = self.reports.get(&peer);
        report.map_or(Timestamp::ZERO, |report| report.sent_at)
    }

    /// The latest report of a connected peer, recent or not; `None` if it has sent none in this session.
    pub fn get(&self, peer: NodeId) -> Option<&PeerReport> {
        self.reports.get(&peer)
    }

    /// Iterates over the latest reports in ascending order of peer address.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &PeerReport)> {
        self.reports.iter().map(|(peer, report)| (*peer, report))
    }

    /// The report of a peer, provided that it is recent and that the peer votes in this set.
    pub fn voter_report(
        &self,
        now: Timestamp,
        set: &VotingSet,
        peer: NodeId,
    ) -> Option<&PeerReport> {
        let report = self.reports.get(&peer)?;
        let is_counted = report.is_recent(now) && report.is_voter && report.epoch == set.epoch;
        is_counted.then_some(report)
    }

    /// Whether a peer has recently reported that it votes in this set and that its disk accepts writes.
    pub fn is_voter(&self, now: Timestamp, set: &VotingSet, peer: NodeId) -> bool {
        let report = self.voter_report(now, set, peer);
        report.is_some_and(|report| report.is_disk_usable)
    }

    /// Counts the other members that have recently reported a durable vote for this ballot.
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

//! What has been seen in a world, and the rules that it must keep.

use crate::submission::Submission;
use crate::violation::{Unsettled, Violation};
use rushcourse_consensus::{CallOutcome, CommittedConfiguration, ReplicaSummary};
use rushcourse_messages::VotingSet;
use rushcourse_types::{ConfigurationVersion, Epoch, NodeId, Ticket};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A member whose place was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Replacement {
    pub joined: NodeId,
    pub removed: NodeId,
}

/// What has been seen in a world, and the rule that the last move broke.
#[derive(Clone, Debug, Default)]
pub(crate) struct Checker {
    requests_sent: u32,
    /// The highest version that an operator's call was acknowledged for.
    highest_acknowledged: ConfigurationVersion,
    /// The highest version that is committed at any controller.
    highest_committed: ConfigurationVersion,
    /// The committed text of each version, at whichever controller.
    committed_texts: BTreeMap<ConfigurationVersion, Arc<[u8]>>,
    /// The draft that each version was acknowledged for, where its operator was not told that another text is committed.
    acknowledged_submissions: BTreeMap<ConfigurationVersion, Submission>,
    /// What a read has to give at least.
    read_minimums: BTreeMap<Ticket, ConfigurationVersion>,
    /// Puts that wait for their answer, and the controller that has them.
    pending_puts: BTreeMap<Ticket, NodeId>,
    voting_sets: BTreeMap<Epoch, Vec<NodeId>>,
    newest_voting_set: VotingSet,
    /// Who took whose place, in the newest set.
    replacement: Option<Replacement>,
    violation: Option<Violation>,
}

impl Checker {
    /// In a world where this voting set is there from the start.
    pub(crate) fn with_voting_set(voting_set: VotingSet) -> Checker {
        Checker {
            voting_sets: BTreeMap::from([(voting_set.epoch, voting_set.members.clone())]),
            newest_voting_set: voting_set,
            ..Checker::default()
        }
    }

    pub(crate) fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    fn record_violation(&mut self, violation: Violation) {
        self.violation = Some(violation);
    }

    /// The newest set that a controller adopted.
    pub(crate) fn newest_voting_set(&self) -> &VotingSet {
        &self.newest_voting_set
    }

    /// Who took whose place, in the newest set.
    pub(crate) fn replacement(&self) -> Option<Replacement> {
        self.replacement
    }

    /// Whether any version was acknowledged.
    pub(crate) fn has_acknowledged(&self) -> bool {
        !self.highest_acknowledged.is_none()
    }

    /// A gateway sent a request of the key.
    pub(crate) fn request_sent(&mut self) {
        self.requests_sent += 1;
    }

    pub(crate) fn check_requests(&mut self) {
        if self.requests_sent > 1 {
            self.record_violation(Violation::KeySentTwice);
        }
    }

    /// An operator put a configuration at a controller that runs.
    pub(crate) fn put_started(&mut self, submission: Submission, node: NodeId) {
        self.pending_puts.insert(submission.ticket(), node);
    }

    /// A controller ended: its callers have no answer to wait for.
    pub(crate) fn controller_stopped(&mut self, node: NodeId) {
        self.pending_puts.retain(|_, at| *at != node);
    }

    /// An operator asked for the configuration.
    pub(crate) fn read_started(&mut self, ticket: Ticket) {
        let minimum = self.highest_acknowledged.max(self.highest_committed);
        self.read_minimums.insert(ticket, minimum);
    }

    /// An operator's call was answered.
    pub(crate) fn call_answered(&mut self, ticket: Ticket, outcome: &CallOutcome) {
        self.pending_puts.remove(&ticket);
        let minimum = self.read_minimums.get(&ticket).copied().unwrap_or_default();
        match outcome {
            CallOutcome::Acknowledged { is_other_text } => {
                self.put_acknowledged(Submission(ticket.0), *is_other_text);
            }
            CallOutcome::Configuration(CommittedConfiguration { version, text }) => {
                if *version < minimum || !Submission::is_text_of(*version, text) {
                    self.record_violation(Violation::StaleRead {
                        returned: *version,
                        minimum,
                    });
                }
            }
            CallOutcome::NoConfiguration if !minimum.is_none() => {
                self.record_violation(Violation::EmptyRead { minimum });
            }
            CallOutcome::NoConfiguration | CallOutcome::Unknown => {}
        }
    }

    /// `is_other_text` must be true exactly where the version's one committed text is not the draft's.
    fn put_acknowledged(&mut self, submission: Submission, is_other_text: bool) {
        let version = submission.version();
        self.highest_acknowledged = self.highest_acknowledged.max(version);
        let committed_text = self.committed_texts.get(&version);
        let is_own_text = committed_text.is_none_or(|text| *text == submission.text());
        if self.highest_committed <= version && is_own_text == is_other_text {
            self.record_violation(Violation::WrongAcknowledgement {
                submission,
                is_other_text,
            });
        }
        if is_other_text || self.highest_committed > version {
            return;
        }
        let first = *self
            .acknowledged_submissions
            .entry(version)
            .or_insert(submission);
        if first != submission {
            self.record_violation(Violation::BothAcknowledged(first, submission));
        }
    }

    /// Counts a version as acknowledged without an answer to an operator.
    pub(crate) fn assume_acknowledged(&mut self, version: ConfigurationVersion) {
        self.highest_acknowledged = self.highest_acknowledged.max(version);
    }

    /// A configuration is committed at a controller, behind an earlier version.
    pub(crate) fn configuration_committed(
        &mut self,
        node: NodeId,
        earlier: ConfigurationVersion,
        configuration: &CommittedConfiguration,
    ) {
        let CommittedConfiguration { version, text } = configuration;
        if *version < earlier || !Submission::is_text_of(*version, text) {
            self.record_violation(Violation::InvalidCommit {
                node,
                from: earlier,
                to: *version,
            });
        }
        let first = self
            .committed_texts
            .entry(*version)
            .or_insert_with(|| text.clone());
        if *first != *text {
            self.record_violation(Violation::ConflictingTexts(*version));
        }
        self.highest_committed = self.highest_committed.max(*version);
    }

    /// A controller counts in a voting set from now on.
    pub(crate) fn voting_set_adopted(&mut self, voting_set: &VotingSet) {
        let epoch = voting_set.epoch;
        let known = self.voting_sets.entry(epoch);
        if *known.or_insert_with(|| voting_set.members.clone()) != voting_set.members {
            self.record_violation(Violation::ConflictingVotingSets(epoch));
        }
        if epoch > self.newest_voting_set.epoch {
            self.replacement = replacement(&self.newest_voting_set, voting_set);
            self.newest_voting_set = voting_set.clone();
        }
    }

    /// Faults have ended and time has passed: the members of the set vote, all hold the same version, and every put has
    /// its answer. `summaries`: of the controllers that run.
    pub(crate) fn check_settled(&mut self, summaries: &BTreeMap<NodeId, ReplicaSummary>) {
        if self.violation.is_none() {
            self.violation = self.unsettled(summaries).map(Violation::Unsettled);
        }
    }

    fn unsettled(&self, summaries: &BTreeMap<NodeId, ReplicaSummary>) -> Option<Unsettled> {
        if let Some(ticket) = self.pending_puts.keys().next() {
            return Some(Unsettled::UnansweredCall(*ticket));
        }
        let has_standby = summaries
            .keys()
            .any(|node| !self.newest_voting_set.contains(*node));
        let members = self.newest_voting_set.members.iter();
        let unsettled = members
            .map(|member| unsettled_member(*member, summaries.get(member), has_standby))
            .find(Option::is_some);
        unsettled.unwrap_or_else(|| self.lagging_controller(summaries))
    }

    fn lagging_controller(
        &self,
        summaries: &BTreeMap<NodeId, ReplicaSummary>,
    ) -> Option<Unsettled> {
        let is_lagging = |summary: &ReplicaSummary| {
            summary.committed != self.highest_committed
                || summary.voting_set != self.newest_voting_set
        };
        let (node, summary) = summaries.iter().find(|(_, summary)| is_lagging(summary))?;
        Some(Unsettled::Lagging {
            node: *node,
            committed: summary.committed,
            highest_committed: self.highest_committed,
            epoch: summary.voting_set.epoch,
            newest_epoch: self.newest_voting_set.epoch,
        })
    }
}

fn replacement(earlier: &VotingSet, newer: &VotingSet) -> Option<Replacement> {
    let joined = newer.members.iter().find(|node| !earlier.contains(**node));
    let removed = earlier.members.iter().find(|node| !newer.contains(**node));
    Some(Replacement {
        joined: *joined?,
        removed: *removed?,
    })
}

/// What is not as it has to be at a member; `summary` is `None` where it is gone.
fn unsettled_member(
    node: NodeId,
    summary: Option<&ReplicaSummary>,
    has_standby: bool,
) -> Option<Unsettled> {
    let Some(summary) = summary else {
        return has_standby.then_some(Unsettled::MemberNotReplaced(node));
    };
    if !summary.is_voter {
        return Some(Unsettled::MemberNotVoting(node));
    }
    let version = summary.highest_accepted;
    (version > summary.committed).then_some(Unsettled::UncommittedVersion { node, version })
}

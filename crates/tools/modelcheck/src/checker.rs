//! Invariants of a world, and the observations that they are checked against.

use crate::submission::Submission;
use crate::violation::{Unsettled, Violation};
use rushcourse_consensus::{CallOutcome, CommittedConfiguration, ReplicaSummary};
use rushcourse_messages::{DutyState, VotingSet};
use rushcourse_types::{ConfigurationVersion, DutySequence, Epoch, NodeId, Ticket};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The difference between two consecutive voting sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Replacement {
    pub joined: NodeId,
    pub removed: NodeId,
}

/// Records observations of a world and keeps the latest violation of a rule.
#[derive(Clone, Debug, Default)]
pub(crate) struct Checker {
    requests_sent: u32,
    /// Highest version acknowledged to an operator.
    highest_acknowledged: ConfigurationVersion,
    /// Highest version committed at any controller.
    highest_committed: ConfigurationVersion,
    /// Text committed under each version, by the first controller that committed it.
    committed_texts: BTreeMap<ConfigurationVersion, Arc<[u8]>>,
    /// First submission acknowledged under each version without `is_other_text` while no higher version was committed.
    acknowledged_submissions: BTreeMap<ConfigurationVersion, Submission>,
    /// Lowest version that each read may return: the highest one acknowledged or committed when the read started.
    read_minimums: BTreeMap<Ticket, ConfigurationVersion>,
    /// Unanswered puts, and the controller that each was sent to.
    pending_puts: BTreeMap<Ticket, NodeId>,
    /// State of the usage duty at each position, by the first controller that learned it.
    duty_states: BTreeMap<DutySequence, DutyState>,
    voting_sets: BTreeMap<Epoch, Vec<NodeId>>,
    newest_voting_set: VotingSet,
    /// Members that the newest voting set added and removed.
    replacement: Option<Replacement>,
    violation: Option<Violation>,
}

impl Checker {
    /// Creates a checker for a world that starts with an adopted voting set.
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

    /// The voting set with the highest epoch that any controller has adopted.
    pub(crate) fn newest_voting_set(&self) -> &VotingSet {
        &self.newest_voting_set
    }

    /// Members that the newest voting set added and removed; `None` unless there is one of each.
    pub(crate) fn replacement(&self) -> Option<Replacement> {
        self.replacement
    }

    /// Whether an operator has received an acknowledgement.
    pub(crate) fn has_acknowledged(&self) -> bool {
        !self.highest_acknowledged.is_none()
    }

    /// Counts a request that a gateway sent under the operation key.
    pub(crate) fn request_sent(&mut self) {
        self.requests_sent += 1;
    }

    pub(crate) fn check_requests(&mut self) {
        if self.requests_sent > 1 {
            self.record_violation(Violation::KeySentTwice);
        }
    }

    /// Records a put at a running controller; a world that has settled must have answered it.
    pub(crate) fn put_started(&mut self, submission: Submission, node: NodeId) {
        self.pending_puts.insert(submission.ticket(), node);
    }

    /// Discards the pending puts of a stopped controller, which can't answer them.
    pub(crate) fn controller_stopped(&mut self, node: NodeId) {
        self.pending_puts
            .retain(|_, controller| *controller != node);
    }

    /// Records the lowest version that a read may return.
    pub(crate) fn read_started(&mut self, ticket: Ticket) {
        let minimum = self.highest_acknowledged.max(self.highest_committed);
        self.read_minimums.insert(ticket, minimum);
    }

    /// Checks the answer to a put or a read.
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

    /// Checks an acknowledgement: unless a higher version is committed, `is_other_text` has to be true if and only if a
    /// different text is committed under the version.
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

    /// Treats a version as acknowledged without an answer to an operator.
    pub(crate) fn assume_acknowledged(&mut self, version: ConfigurationVersion) {
        self.highest_acknowledged = self.highest_acknowledged.max(version);
    }

    /// Checks a configuration that a controller has committed; `earlier` is the version that it had committed before.
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

    /// Checks a state of the usage duty that a controller has learned to be chosen.
    pub(crate) fn duty_committed(&mut self, state: DutyState) {
        let sequence = state.sequence;
        let first = self.duty_states.entry(sequence);
        if *first.or_insert_with(|| state.clone()) != state {
            self.record_violation(Violation::ConflictingDutyStates(sequence));
        }
    }

    /// Checks a voting set that a controller has adopted.
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

    /// Checks that the world has recovered from its faults: all members vote, all running controllers have the same
    /// version and voting set, and every put is answered. `summaries` holds the running controllers.
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

/// Returns what keeps a member from being settled; `summary` is `None` for a stopped member.
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

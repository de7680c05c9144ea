//! What has been seen in a world, and the rules that it must keep.

use crate::draft::Draft;
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
    acknowledged: ConfigurationVersion,
    /// The highest version that is committed at any controller.
    committed: ConfigurationVersion,
    /// The committed text of each version, at whichever controller.
    texts: BTreeMap<ConfigurationVersion, Arc<[u8]>>,
    /// The draft that each version was acknowledged for, where its operator was not told that another text is committed.
    acknowledged_drafts: BTreeMap<ConfigurationVersion, Draft>,
    /// What a read has to give at least.
    read_floors: BTreeMap<Ticket, ConfigurationVersion>,
    /// Puts that wait for their answer, and the controller that has them.
    open_puts: BTreeMap<Ticket, NodeId>,
    voting_sets: BTreeMap<Epoch, Vec<NodeId>>,
    newest_set: VotingSet,
    /// Who took whose place, in the newest set.
    replacement: Option<Replacement>,
    violation: Option<Violation>,
}

impl Checker {
    /// In a world where this voting set is there from the start.
    pub(crate) fn with_voting_set(voting_set: VotingSet) -> Checker {
        Checker {
            voting_sets: BTreeMap::from([(voting_set.epoch, voting_set.members.clone())]),
            newest_set: voting_set,
            ..Checker::default()
        }
    }

    pub(crate) fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    fn break_rule(&mut self, violation: Violation) {
        self.violation = Some(violation);
    }

    /// The newest set that a controller adopted.
    pub(crate) fn newest_set(&self) -> &VotingSet {
        &self.newest_set
    }

    /// Who took whose place, in the newest set.
    pub(crate) fn replacement(&self) -> Option<Replacement> {
        self.replacement
    }

    /// Whether any version was acknowledged.
    pub(crate) fn has_acknowledged(&self) -> bool {
        !self.acknowledged.is_none()
    }

    /// A gateway sent a request of the key.
    pub(crate) fn request_sent(&mut self) {
        self.requests_sent += 1;
    }

    pub(crate) fn check_requests(&mut self) {
        if self.requests_sent > 1 {
            self.break_rule(Violation::KeySentTwice);
        }
    }

    /// An operator put a configuration at a controller that runs.
    pub(crate) fn put_begun(&mut self, draft: Draft, node: NodeId) {
        self.open_puts.insert(draft.ticket(), node);
    }

    /// A controller ended: its callers have no answer to wait for.
    pub(crate) fn controller_stopped(&mut self, node: NodeId) {
        self.open_puts.retain(|_, at| *at != node);
    }

    /// An operator asked for the configuration.
    pub(crate) fn read_begun(&mut self, ticket: Ticket) {
        let floor = self.acknowledged.max(self.committed);
        self.read_floors.insert(ticket, floor);
    }

    /// An operator's call was answered.
    pub(crate) fn answered(&mut self, ticket: Ticket, outcome: &CallOutcome) {
        self.open_puts.remove(&ticket);
        let floor = self.read_floors.get(&ticket).copied().unwrap_or_default();
        match outcome {
            CallOutcome::Acknowledged { is_other_text } => {
                self.put_acknowledged(Draft(ticket.0), *is_other_text);
            }
            CallOutcome::Configuration(CommittedConfiguration { version, text }) => {
                if *version < floor || !Draft::is_text_of(*version, text) {
                    self.break_rule(Violation::OldRead {
                        read: *version,
                        floor,
                    });
                }
            }
            CallOutcome::NoConfiguration if !floor.is_none() => {
                self.break_rule(Violation::EmptyRead { floor });
            }
            CallOutcome::NoConfiguration | CallOutcome::Unknown => {}
        }
    }

    /// `is_other_text` must be true exactly where the version's one committed text is not the draft's.
    fn put_acknowledged(&mut self, draft: Draft, is_other_text: bool) {
        let version = draft.version();
        self.acknowledged = self.acknowledged.max(version);
        let committed = self.texts.get(&version);
        let is_own = committed.is_none_or(|text| *text == draft.text());
        if self.committed <= version && is_own == is_other_text {
            self.break_rule(Violation::WrongAcknowledgement {
                draft,
                is_other_text,
            });
        }
        if is_other_text || self.committed > version {
            return;
        }
        let first = *self.acknowledged_drafts.entry(version).or_insert(draft);
        if first != draft {
            self.break_rule(Violation::BothAcknowledged(first, draft));
        }
    }

    /// Counts a version as acknowledged without an answer to an operator.
    pub(crate) fn assume_acknowledged(&mut self, version: ConfigurationVersion) {
        self.acknowledged = self.acknowledged.max(version);
    }

    /// A configuration is committed at a controller, behind an earlier version.
    pub(crate) fn configuration_committed(
        &mut self,
        node: NodeId,
        earlier: ConfigurationVersion,
        configuration: &CommittedConfiguration,
    ) {
        let CommittedConfiguration { version, text } = configuration;
        if *version < earlier || !Draft::is_text_of(*version, text) {
            self.break_rule(Violation::ConfigurationChanged {
                node,
                from: earlier,
                to: *version,
            });
        }
        let first = self.texts.entry(*version).or_insert_with(|| text.clone());
        if *first != *text {
            self.break_rule(Violation::TwoTexts(*version));
        }
        self.committed = self.committed.max(*version);
    }

    /// A controller counts in a voting set from now on.
    pub(crate) fn voting_set_adopted(&mut self, voting_set: &VotingSet) {
        let epoch = voting_set.epoch;
        let known = self.voting_sets.entry(epoch);
        if *known.or_insert_with(|| voting_set.members.clone()) != voting_set.members {
            self.break_rule(Violation::TwoVotingSets(epoch));
        }
        if epoch > self.newest_set.epoch {
            self.replacement = replacement(&self.newest_set, voting_set);
            self.newest_set = voting_set.clone();
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
        if let Some(ticket) = self.open_puts.keys().next() {
            return Some(Unsettled::UnansweredCall(*ticket));
        }
        let has_standby = summaries
            .keys()
            .any(|node| !self.newest_set.contains(*node));
        let members = self.newest_set.members.iter();
        let unsettled = members
            .map(|member| unsettled_member(*member, summaries.get(member), has_standby))
            .find(Option::is_some);
        unsettled.unwrap_or_else(|| self.lagging(summaries))
    }

    fn lagging(&self, summaries: &BTreeMap<NodeId, ReplicaSummary>) -> Option<Unsettled> {
        let is_lagging = |summary: &ReplicaSummary| {
            summary.committed != self.committed || summary.voting_set != self.newest_set
        };
        let (node, summary) = summaries.iter().find(|(_, summary)| is_lagging(summary))?;
        Some(Unsettled::Lagging {
            node: *node,
            committed: summary.committed,
            highest_committed: self.committed,
            epoch: summary.voting_set.epoch,
            newest_epoch: self.newest_set.epoch,
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
        return Some(Unsettled::MemberSilent(node));
    }
    let version = summary.highest_accepted;
    (version > summary.committed).then_some(Unsettled::OpenVersion { node, version })
}

//! Violations of the rules that a world is checked against.

use crate::submission::Submission;
use rushcourse_types::{ConfigurationVersion, DutySequence, Epoch, NodeId, Ticket};
use std::fmt;

/// A violation. Printed with a prefix that names the rule: TWICE, CONFIG, LOST and ONE are rules of the product's
/// specification, STUCK is specific to this tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two requests were sent under the same operation key.
    KeySentTwice,
    /// A controller committed a lower version than before, or a text that was never submitted.
    InvalidCommit {
        /// Controller that made the commit.
        node: NodeId,
        /// Version that was committed there before.
        from: ConfigurationVersion,
        /// Version of the invalid commit.
        to: ConfigurationVersion,
    },
    /// Different texts are committed under one version.
    ConflictingTexts(ConfigurationVersion),
    /// The answer to a put is wrong about which text is committed.
    WrongAcknowledgement {
        /// Submission that was acknowledged.
        submission: Submission,
        /// Value in the answer: whether another text is committed under the version.
        is_other_text: bool,
    },
    /// Two submissions with the same version are both acknowledged as committed.
    BothAcknowledged(Submission, Submission),
    /// A read returned a lower version than was acknowledged or committed before, or an unknown text.
    StaleRead {
        /// Version that the read returned.
        returned: ConfigurationVersion,
        /// Lowest valid version: the highest one acknowledged or committed before the read.
        minimum: ConfigurationVersion,
    },
    /// A read returned no configuration although a version was acknowledged or committed before.
    EmptyRead {
        /// Lowest valid version: the highest one acknowledged or committed before the read.
        minimum: ConfigurationVersion,
    },
    /// Two controllers learned different states of the usage duty at one position.
    ConflictingDutyStates(DutySequence),
    /// Two controllers adopted different voting sets with the same epoch.
    ConflictingVotingSets(Epoch),
    /// The world did not recover after all faults had ended.
    Unsettled(Unsettled),
}

/// Reason why a world has not recovered after all faults have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unsettled {
    /// A put has no answer.
    UnansweredCall(Ticket),
    /// A stopped member was not replaced although a controller outside the voting set is running.
    MemberNotReplaced(NodeId),
    /// A running member doesn't vote.
    MemberNotVoting(NodeId),
    /// A member has accepted a version that it has not committed.
    UncommittedVersion {
        /// Member that accepted the version.
        node: NodeId,
        /// Version that is not committed at the member.
        version: ConfigurationVersion,
    },
    /// A running controller has an outdated version or voting set.
    Lagging {
        /// Controller that is behind.
        node: NodeId,
        /// Version that is committed at the controller.
        committed: ConfigurationVersion,
        /// Highest version committed at any controller.
        highest_committed: ConfigurationVersion,
        /// Epoch of the controller's voting set.
        epoch: Epoch,
        /// Highest epoch adopted by any controller.
        newest_epoch: Epoch,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::KeySentTwice => {
                f.write_str("TWICE: two requests were sent under the same operation key")
            }
            Violation::InvalidCommit { node, from, to } => {
                write!(
                    f,
                    "CONFIG: invalid commit of version {to} at controller {node} after version {from}"
                )
            }
            Violation::ConflictingTexts(version) => {
                write!(f, "CONFIG: two texts are committed under version {version}")
            }
            Violation::WrongAcknowledgement {
                submission,
                is_other_text,
            } => {
                write!(f, "CONFIG: submission {submission} is acknowledged with ")?;
                write!(f, "is_other_text={is_other_text}, which is wrong")
            }
            Violation::BothAcknowledged(one, other) => {
                write!(
                    f,
                    "CONFIG: submissions {one} and {other} are both acknowledged"
                )
            }
            Violation::StaleRead { returned, minimum } => {
                write!(
                    f,
                    "LOST: read returned version {returned}; version {minimum} was acknowledged or committed before"
                )
            }
            Violation::EmptyRead { minimum } => {
                write!(
                    f,
                    "LOST: read returned no configuration; version {minimum} was acknowledged or committed before"
                )
            }
            Violation::ConflictingVotingSets(epoch) => {
                write!(f, "LOST: two voting sets were adopted in epoch {epoch}")
            }
            Violation::ConflictingDutyStates(sequence) => {
                write!(
                    f,
                    "ONE: two states of the usage duty at position {sequence}"
                )
            }
            Violation::Unsettled(unsettled) => write!(f, "STUCK: {unsettled}"),
        }
    }
}

impl fmt::Display for Unsettled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unsettled::UnansweredCall(ticket) => write!(f, "call {ticket} is not answered"),
            Unsettled::MemberNotReplaced(node) => {
                write!(
                    f,
                    "member {node} is stopped and was not replaced by a standby"
                )
            }
            Unsettled::MemberNotVoting(node) => write!(f, "member {node} does not vote"),
            Unsettled::UncommittedVersion { node, version } => {
                write!(
                    f,
                    "version {version} is accepted but not committed at member {node}"
                )
            }
            Unsettled::Lagging {
                node,
                committed,
                highest_committed,
                epoch,
                newest_epoch,
            } => {
                write!(
                    f,
                    "controller {node} has version {committed} of {highest_committed}, "
                )?;
                write!(f, "in epoch {epoch} of {newest_epoch}")
            }
        }
    }
}

//! Rules that were found broken.

use crate::submission::Submission;
use rushcourse_types::{ConfigurationVersion, Epoch, NodeId, Ticket};
use std::fmt;

/// A rule that is broken. It is printed with the rule's name in the users' pages first; STUCK is this project's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two requests of one key were sent.
    KeySentTwice,
    /// A controller went back to a lower version, or to a text that nobody put.
    InvalidCommit {
        /// The controller.
        node: NodeId,
        /// The version that was committed there.
        from: ConfigurationVersion,
        /// The version that is now.
        to: ConfigurationVersion,
    },
    /// Two texts are committed under one version.
    ConflictingTexts(ConfigurationVersion),
    /// An operator's answer is wrong about whose text is committed.
    WrongAcknowledgement {
        /// What it put.
        submission: Submission,
        /// What its answer says.
        is_other_text: bool,
    },
    /// Two operators' answers say that their texts are committed under one version.
    BothAcknowledged(Submission, Submission),
    /// A read returned less than was acknowledged or committed before.
    StaleRead {
        /// What it returned.
        returned: ConfigurationVersion,
        /// What it had to return at least.
        minimum: ConfigurationVersion,
    },
    /// A read returned nothing where a version was acknowledged or committed before.
    EmptyRead {
        /// What it had to return at least.
        minimum: ConfigurationVersion,
    },
    /// There are two voting sets of one epoch.
    ConflictingVotingSets(Epoch),
    /// Faults have ended, and the world does not recover.
    Unsettled(Unsettled),
}

/// What keeps a world from recovering once faults have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unsettled {
    /// An operator's call has no answer.
    UnansweredCall(Ticket),
    /// A member is gone, and a standby is there.
    MemberNotReplaced(NodeId),
    /// A member does not vote.
    MemberNotVoting(NodeId),
    /// An accepted version is not committed.
    UncommittedVersion {
        /// The member that accepted it.
        node: NodeId,
        /// The version.
        version: ConfigurationVersion,
    },
    /// A controller lags.
    Lagging {
        /// The controller.
        node: NodeId,
        /// The version that is committed there.
        committed: ConfigurationVersion,
        /// The highest version that is committed anywhere.
        highest_committed: ConfigurationVersion,
        /// The epoch that it is in.
        epoch: Epoch,
        /// The newest epoch.
        newest_epoch: Epoch,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::KeySentTwice => f.write_str("TWICE: two requests of one key were sent"),
            Violation::InvalidCommit { node, from, to } => {
                write!(f, "CONFIG: {node} goes from {from} to {to}")
            }
            Violation::ConflictingTexts(version) => {
                write!(f, "CONFIG: two texts are committed under {version}")
            }
            Violation::WrongAcknowledgement {
                submission,
                is_other_text,
            } => {
                write!(f, "CONFIG: {submission} is acknowledged with ")?;
                write!(f, "is_other_text={is_other_text}, which is wrong")
            }
            Violation::BothAcknowledged(one, other) => {
                write!(f, "CONFIG: {one} and {other} are both acknowledged")
            }
            Violation::StaleRead { returned, minimum } => {
                write!(
                    f,
                    "LOST: read {returned}, {minimum} was acknowledged or committed"
                )
            }
            Violation::EmptyRead { minimum } => {
                write!(
                    f,
                    "LOST: read nothing, {minimum} was acknowledged or committed"
                )
            }
            Violation::ConflictingVotingSets(epoch) => {
                write!(f, "LOST: two voting sets of epoch {epoch}")
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
                write!(f, "{node} is gone and a standby is there")
            }
            Unsettled::MemberNotVoting(node) => write!(f, "{node} does not vote"),
            Unsettled::UncommittedVersion { node, version } => {
                write!(f, "{version} stays open at {node}")
            }
            Unsettled::Lagging {
                node,
                committed,
                highest_committed,
                epoch,
                newest_epoch,
            } => {
                write!(f, "{node} has version {committed} of {highest_committed}, ")?;
                write!(f, "in epoch {epoch} of {newest_epoch}")
            }
        }
    }
}

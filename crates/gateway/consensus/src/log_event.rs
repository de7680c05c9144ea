//! Log lines of this package, one an event: `key=value` pairs, `event` first.

use rushcourse_messages::VotingSet;
use rushcourse_types::{ConfigurationVersion, Epoch, Generation, NodeId};
use std::fmt;

/// An event for the log; its `Display` is the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A majority of disks holds a configuration.
    ConfigurationCommitted {
        /// The configuration's version.
        version: ConfigurationVersion,
        /// The voting set whose majority it is.
        epoch: Epoch,
    },
    /// This replica counts in another voting set from now on.
    VotingSetAdopted {
        /// The set.
        voting_set: VotingSet,
        /// Whether this replica goes on as a voter.
        has_complete_state: bool,
    },
    /// This replica proposes that a standby becomes a member.
    VotingSetChangeProposed {
        /// Epoch of the set that is proposed.
        epoch: Epoch,
        /// The standby.
        joining: NodeId,
    },
    /// The disk refuses writes; this replica gives no vote, promise or grant until it takes them again.
    DiskUnusable,
    /// The disk takes writes again.
    DiskUsable,
    /// This replica started with an older copy of its disk; it does not vote until it has installed snapshots.
    OlderDiskFound {
        /// The generation of the disk.
        stored: Generation,
        /// A higher one that it once had.
        reported: Generation,
        /// Who has heard of that.
        voter: NodeId,
    },
    /// A member that lacked state, or that recovered after its start, holds all of it, and votes.
    SnapshotInstalled {
        /// The set whose voters sent their snapshots.
        epoch: Epoch,
        /// How many did.
        senders: usize,
    },
    /// The chunks of a snapshot do not add up to its trailer; it is requested again.
    SnapshotDamaged {
        /// Claims that arrived.
        claims: u64,
        /// Claims that its sender counted.
        expected: u64,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::ConfigurationCommitted { version, epoch } => {
                write!(
                    f,
                    "event=configuration_committed version={version} epoch={epoch}"
                )
            }
            LogEvent::VotingSetAdopted {
                voting_set,
                has_complete_state,
            } => write!(
                f,
                "event=voting_set_adopted epoch={} members={} has_complete_state={has_complete_state}",
                voting_set.epoch,
                Addresses(&voting_set.members),
            ),
            LogEvent::VotingSetChangeProposed { epoch, joining } => {
                write!(
                    f,
                    "event=voting_set_change_proposed epoch={epoch} joining={joining}"
                )
            }
            LogEvent::DiskUnusable => f.write_str("event=disk_unusable"),
            LogEvent::DiskUsable => f.write_str("event=disk_usable"),
            LogEvent::OlderDiskFound {
                stored,
                reported,
                voter,
            } => {
                write!(
                    f,
                    "event=older_disk_found stored={stored} reported={reported} by={voter}"
                )
            }
            LogEvent::SnapshotInstalled { epoch, senders } => {
                write!(
                    f,
                    "event=snapshot_installed epoch={epoch} senders={senders}"
                )
            }
            LogEvent::SnapshotDamaged { claims, expected } => {
                write!(
                    f,
                    "event=snapshot_damaged claims={claims} expected={expected}"
                )
            }
        }
    }
}

/// Addresses with commas between them.
struct Addresses<'a>(&'a [NodeId]);

impl fmt::Display for Addresses<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, member) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{member}")?;
        }
        Ok(())
    }
}

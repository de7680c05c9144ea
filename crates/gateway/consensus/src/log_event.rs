//! Log events of this crate, each formatted as one line of `key=value` pairs that starts with `event`.

use rushcourse_messages::VotingSet;
use rushcourse_types::{ConfigurationVersion, Epoch, Fence, Generation, NodeId};
use std::fmt;

/// An event to log; `Display` yields the whole line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A configuration is committed.
    ConfigurationCommitted {
        /// Version of the committed configuration.
        version: ConfigurationVersion,
        /// Epoch of the voting set that committed it.
        epoch: Epoch,
    },
    /// This replica has adopted a newer voting set.
    VotingSetAdopted {
        /// Epoch and members of the adopted set.
        voting_set: VotingSet,
        /// False if this replica has to install snapshots before it votes in the set.
        has_complete_state: bool,
    },
    /// This replica proposes a voting set that adds a standby.
    VotingSetChangeProposed {
        /// Epoch of the proposed set.
        epoch: Epoch,
        /// The standby that becomes a member.
        joining: NodeId,
    },
    /// This replica has learned of a new holder of the usage duty.
    DutyTakenOver {
        /// The controller that holds the duty.
        holder: NodeId,
        /// Its fence.
        fence: Fence,
    },
    /// The disk refuses writes; this replica gives no vote, promise or grant until [`LogEvent::DiskUsable`].
    DiskUnusable,
    /// The disk accepts writes again.
    DiskUsable,
    /// This replica started from an older copy of its disk; it votes again once it has installed snapshots.
    OlderDiskFound {
        /// Generation found on disk.
        stored: Generation,
        /// Higher generation of the same disk that another voter knows of.
        reported: Generation,
        /// The voter that reported the higher generation.
        voter: NodeId,
    },
    /// A member that lacked state or was recovering now has complete state and votes.
    SnapshotInstalled {
        /// Epoch of the voting set whose members sent the snapshots.
        epoch: Epoch,
        /// Number of members that sent a snapshot.
        senders: usize,
    },
    /// The chunks of a snapshot don't match its trailer; the snapshot is requested again.
    SnapshotDamaged {
        /// Number of claims received.
        claims: u64,
        /// Number of claims according to the trailer.
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
                AddressList(&voting_set.members),
            ),
            LogEvent::VotingSetChangeProposed { epoch, joining } => {
                write!(
                    f,
                    "event=voting_set_change_proposed epoch={epoch} joining={joining}"
                )
            }
            LogEvent::DutyTakenOver { holder, fence } => {
                write!(f, "event=duty_taken_over holder={holder} fence={fence}")
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

/// Formats addresses as a comma-separated list.
struct AddressList<'a>(&'a [NodeId]);

impl fmt::Display for AddressList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, member) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{member}")?;
        }
        Ok(())
    }
}

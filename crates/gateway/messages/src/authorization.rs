//! Authorization of peers: checks the handshake that opens a session and the sender of each message. The transport runs
//! these checks before it delivers a message and closes the session on the first rejection.

use crate::message::{Handshake, Message, PROTOCOL_VERSION, Role};
use crate::usage::UsageCounts;
use rushcourse_types::{ClaimId, NodeId};
use std::fmt;

/// Maximum length in bytes of the name and of the zone in a handshake.
const MAX_NAME_BYTES: usize = 128;

/// The reason for rejecting a peer's handshake or one of its messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRejection {
    /// The peer uses this protocol version instead of [`PROTOCOL_VERSION`].
    ProtocolVersion(u32),
    /// The peer's name or zone is empty, too long, or contains characters that would break a log line.
    InvalidName,
    /// The node id in the handshake does not match the source address, or the certificate is not valid for it.
    WrongMachine {
        /// The node id in the handshake.
        claimed: NodeId,
        /// The node id of the connection's source address.
        actual: NodeId,
    },
    /// The connection leads back to this process: the peer has the local incarnation.
    SelfConnection,
    /// The peer presents itself as a controller, but its certificate does not include the controller name.
    RoleNotCertified,
    /// The peer's role may not send this message to the receiver's role.
    NotAllowed,
    /// The peer claims or withdraws a key, or stores a response, under a claim that belongs to another node or
    /// incarnation.
    ForeignClaim,
    /// The peer sends usage counts of another node or incarnation.
    ForeignCounts,
}

impl PeerRejection {
    /// Short name of the reason, used as a key in counters and log lines.
    pub fn reason(&self) -> &'static str {
        match self {
            PeerRejection::ProtocolVersion(_) => "other protocol version",
            PeerRejection::InvalidName => "bad name",
            PeerRejection::WrongMachine { .. } => "other machine",
            PeerRejection::SelfConnection => "itself",
            PeerRejection::RoleNotCertified => "role not certified",
            PeerRejection::NotAllowed => "not for this sender",
            PeerRejection::ForeignClaim => "claim of another",
            PeerRejection::ForeignCounts => "counts of another",
        }
    }
}

impl fmt::Display for PeerRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerRejection::ProtocolVersion(version) => {
                write!(
                    f,
                    "speaks protocol version {version}, not {PROTOCOL_VERSION}"
                )
            }
            PeerRejection::WrongMachine { claimed, actual } => {
                write!(f, "presents itself as {claimed}, but is {actual}")
            }
            other => f.write_str(other.reason()),
        }
    }
}

impl std::error::Error for PeerRejection {}

/// The result of verifying the names in a peer's certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CertifiedIdentity {
    /// Whether the certificate is valid for the source address of the connection.
    pub names_machine: bool,
    /// Whether the certificate includes the controller name, which permits [`Role::Controller`].
    pub names_controller: bool,
}

/// The identity of a peer as established by its connection, independent of its handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The node id of the connection's source address.
    pub address: NodeId,
    /// The verified names of the peer's certificate; `None` for sessions without TLS.
    pub certificate: Option<CertifiedIdentity>,
}

/// Whether a name or zone can be written to a `key=value` log line without quoting.
fn is_valid_name(name: &str) -> bool {
    let breaks_line = |c: char| c.is_whitespace() || c.is_control() || c == '=' || c == '"';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains(breaks_line)
}

/// Checks a peer's handshake against the local one and against the identity established by the connection.
///
/// # Errors
/// Returns the reason for the rejection.
pub fn check_handshake(
    local: &Handshake,
    identity: PeerIdentity,
    handshake: &Handshake,
) -> Result<(), PeerRejection> {
    let certificate = identity.certificate;
    let names_machine = certificate.is_none_or(|certified| certified.names_machine);
    let names_controller = certificate.is_none_or(|certified| certified.names_controller);
    if handshake.protocol_version != PROTOCOL_VERSION {
        return Err(PeerRejection::ProtocolVersion(handshake.protocol_version));
    }
    if !is_valid_name(&handshake.name) || !is_valid_name(&handshake.zone) {
        return Err(PeerRejection::InvalidName);
    }
    if handshake.node != identity.address || !names_machine {
        return Err(PeerRejection::WrongMachine {
            claimed: handshake.node,
            actual: identity.address,
        });
    }
    if handshake.incarnation == local.incarnation {
        return Err(PeerRejection::SelfConnection);
    }
    if handshake.role == Role::Controller && !names_controller {
        return Err(PeerRejection::RoleNotCertified);
    }
    Ok(())
}

/// Checks whether `sender` may send `message` to a node with the role `receiver`.
///
/// # Errors
/// Returns [`PeerRejection::NotAllowed`] if its role may not, or [`PeerRejection::ForeignClaim`] or
/// [`PeerRejection::ForeignCounts`] if the message concerns a claim or counts of another node or incarnation.
pub fn check_message(
    sender: &Handshake,
    receiver: Role,
    message: &Message,
) -> Result<(), PeerRejection> {
    if *message == Message::Ping {
        return Ok(());
    }
    // Only the claimant may withdraw: a withdrawal by another node could free a key whose request is in flight.
    if let Message::ClaimRequest { claim, .. } | Message::ClaimWithdrawal { claim, .. } = message {
        return check_claimant(sender, receiver, claim);
    }
    if let Message::UsageCounts(counts) = message
        && sender.role == Role::Gateway
    {
        return check_counter(sender, receiver, counts);
    }
    let is_allowed = match (sender.role, receiver) {
        (Role::Controller, Role::Controller) => is_between_controllers(message),
        (Role::Controller, Role::Gateway) => is_from_controller_to_gateway(message),
        (Role::Gateway, Role::Controller) => is_from_gateway_to_controller(message),
        (Role::Gateway, Role::Gateway) => is_between_gateways(message),
    };
    if is_allowed {
        Ok(())
    } else {
        Err(PeerRejection::NotAllowed)
    }
}

fn check_claimant(
    sender: &Handshake,
    receiver: Role,
    claim: &ClaimId,
) -> Result<(), PeerRejection> {
    if (sender.role, receiver) != (Role::Gateway, Role::Controller) {
        return Err(PeerRejection::NotAllowed);
    }
    if claim.node == sender.node && claim.incarnation == sender.incarnation {
        Ok(())
    } else {
        Err(PeerRejection::ForeignClaim)
    }
}

/// A gateway may only send its own counts; otherwise it could change what other tenants are charged.
fn check_counter(
    sender: &Handshake,
    receiver: Role,
    counts: &UsageCounts,
) -> Result<(), PeerRejection> {
    if receiver != Role::Controller {
        return Err(PeerRejection::NotAllowed);
    }
    if counts.gateway == sender.node && counts.incarnation == sender.incarnation {
        Ok(())
    } else {
        Err(PeerRejection::ForeignCounts)
    }
}

fn is_between_controllers(message: &Message) -> bool {
    matches!(
        message,
        Message::Controllers(_)
            | Message::GatewaySessions(_)
            | Message::HostUpdates(_)
            | Message::Heartbeats(_)
            | Message::HostDigests(_)
            | Message::HostRangeRequest(_)
            | Message::VotingSet(_)
            | Message::ReplicaStatus { .. }
            | Message::Prepare { .. }
            | Message::Promise { .. }
            | Message::Accept { .. }
            | Message::Reject { .. }
            | Message::ReadRequest { .. }
            | Message::ReadResponse { .. }
            | Message::SnapshotRequest { .. }
            | Message::SnapshotChunk(_)
            | Message::LearnerInvitation { .. }
            | Message::LearnerReady { .. }
            | Message::ShuttingDown
            | Message::ControllerStatus { .. }
            | Message::UsageCounts(_)
            | Message::StoreLeavingHost { .. }
            | Message::LeavingHostStored { .. }
    )
}

fn is_from_controller_to_gateway(message: &Message) -> bool {
    matches!(
        message,
        Message::Controllers(_)
            | Message::VotingSet(_)
            | Message::ControllerStatus { .. }
            | Message::Configuration { .. }
            | Message::CommittedVersion { .. }
            | Message::ClaimResponse { .. }
            | Message::HostStates(_)
            | Message::TableReplacement { .. }
            | Message::TableUpdate { .. }
            | Message::ConfigurationLeaseResponse { .. }
            | Message::OperationReply { .. }
            | Message::ResponseStoreOpened { .. }
            | Message::ResponseShardsStored { .. }
    )
}

/// Excludes claims and withdrawals, which `check_claimant` handles. Shards of responses name claims of their sender only.
fn is_from_gateway_to_controller(message: &Message) -> bool {
    matches!(
        message,
        Message::PrimarySelected(_)
            | Message::TableApplied { .. }
            | Message::LoadReport { .. }
            | Message::ConfigurationRequest { .. }
            | Message::ConfigurationLeaseRequest { .. }
            | Message::OperationQuery { .. }
            | Message::ResponseShards { .. }
    )
}

fn is_between_gateways(message: &Message) -> bool {
    matches!(
        message,
        Message::OperationQuery { .. } | Message::OperationReply { .. }
    )
}

//! Which node may open a session, and which may send which message: decided here alone, before anything is handed on.
//! What is refused is refused whole, with its session: bytes behind it can't be trusted either.

use crate::message::{Handshake, Message, PROTOCOL_VERSION, Role};
use rushcourse_types::{ClaimId, NodeId};
use std::fmt;

/// Bytes of a node's name and zone at most (ours).
const MAX_NAME_BYTES: usize = 128;

/// Why a session or a message is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRejection {
    /// The peer speaks another version of the protocol.
    ProtocolVersion(u32),
    /// A name or zone that is none: empty, too long, or with blanks that would break a line of the log.
    InvalidName,
    /// It names another machine than the one that its address, or its certificate, is of.
    WrongMachine {
        /// The machine that its handshake names.
        claimed: NodeId,
        /// The machine that its connection comes from.
        actual: NodeId,
    },
    /// It is this process.
    SelfConnection,
    /// Its certificate does not let it act as a controller.
    RoleNotCertified,
    /// A node of its role does not send this message to a node of ours.
    NotAllowed,
    /// It speaks for a claim that is not its own.
    ForeignClaim,
}

impl PeerRejection {
    /// The reason as it stands in counters and in the log.
    pub fn reason(&self) -> &'static str {
        match self {
            PeerRejection::ProtocolVersion(_) => "other protocol version",
            PeerRejection::InvalidName => "bad name",
            PeerRejection::WrongMachine { .. } => "other machine",
            PeerRejection::SelfConnection => "itself",
            PeerRejection::RoleNotCertified => "role not certified",
            PeerRejection::NotAllowed => "not for this sender",
            PeerRejection::ForeignClaim => "claim of another",
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

/// What a peer's certificate says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CertifiedIdentity {
    /// It names the machine that the connection comes from.
    pub names_machine: bool,
    /// It lets its holder act as a controller.
    pub names_controller: bool,
}

/// What is known of a peer beside its own words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The machine that the connection comes from.
    pub address: NodeId,
    /// By its certificate; `None` on sessions without TLS.
    pub certificate: Option<CertifiedIdentity>,
}

/// Whether a name may stand in a line of the log.
fn is_valid_name(name: &str) -> bool {
    let breaks_line = |c: char| c.is_whitespace() || c.is_control() || c == '=' || c == '"';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains(breaks_line)
}

/// Checks that a handshake is of this cluster and of the machine that it names.
///
/// # Errors
/// Why it is refused.
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

/// Checks that the node of a handshake may send a message to a node of a role.
///
/// # Errors
/// Why it may not.
pub fn check_message(
    sender: &Handshake,
    receiver: Role,
    message: &Message,
) -> Result<(), PeerRejection> {
    if *message == Message::Ping {
        return Ok(());
    }
    // A claim is made and withdrawn by its claimant: a withdrawal by another would free a key whose request is sent.
    if let Message::ClaimRequest { claim, .. } | Message::ClaimWithdrawal { claim, .. } = message {
        return check_claimant(sender, receiver, claim);
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
    )
}

/// Beside claims and their withdrawals, which only their claimant sends.
fn is_from_gateway_to_controller(message: &Message) -> bool {
    matches!(
        message,
        Message::PrimarySelected(_)
            | Message::TableApplied { .. }
            | Message::LoadReport { .. }
            | Message::ConfigurationRequest { .. }
    )
}

fn is_between_gateways(message: &Message) -> bool {
    matches!(
        message,
        Message::OperationQuery { .. } | Message::OperationReply { .. }
    )
}

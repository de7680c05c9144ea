//! Which node may open a session, and which may send which message.

mod kinds;
mod samples;

use kinds::{KINDS, kind};
use rushcourse_messages::authorization::{check_handshake, check_message};
use rushcourse_messages::{
    CertifiedIdentity, Handshake, Message, PROTOCOL_VERSION, PeerIdentity, PeerRejection, Role,
};
use rushcourse_types::{Epoch, Incarnation, KeyDigest, NodeId};
use samples::{CLAIM, samples};
use std::collections::BTreeSet;

/// Who sends to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Direction {
    sender: Role,
    receiver: Role,
}

const BETWEEN_CONTROLLERS: Direction = Direction {
    sender: Role::Controller,
    receiver: Role::Controller,
};
const TO_GATEWAY: Direction = Direction {
    sender: Role::Controller,
    receiver: Role::Gateway,
};
const TO_CONTROLLER: Direction = Direction {
    sender: Role::Gateway,
    receiver: Role::Controller,
};
const BETWEEN_GATEWAYS: Direction = Direction {
    sender: Role::Gateway,
    receiver: Role::Gateway,
};
const ALL: &[Direction] = &[
    BETWEEN_CONTROLLERS,
    TO_GATEWAY,
    TO_CONTROLLER,
    BETWEEN_GATEWAYS,
];

/// Of the node that a handshake is presented to.
const LOCAL_INCARNATION: Incarnation = Incarnation(10);

fn handshake(role: Role, node: NodeId, incarnation: Incarnation) -> Handshake {
    Handshake {
        protocol_version: PROTOCOL_VERSION,
        role,
        node,
        incarnation,
        name: "core-1".into(),
        zone: "north".into(),
    }
}

/// The directions in which a kind of message may go.
fn allowed(kind: &str) -> &'static [Direction] {
    match kind {
        "Handshake" => &[],
        "Ping" => ALL,
        "Controllers" | "VotingSet" | "ControllerStatus" => &[BETWEEN_CONTROLLERS, TO_GATEWAY],
        "GatewaySessions" | "HostUpdates" | "Heartbeats" | "HostDigests" | "HostRangeRequest"
        | "Prepare" | "Promise" | "Accept" | "Reject" | "ReplicaStatus" | "ReadRequest"
        | "ReadResponse" | "SnapshotRequest" | "SnapshotChunk" | "LearnerInvitation"
        | "LearnerReady" | "ShuttingDown" => &[BETWEEN_CONTROLLERS],
        "ClaimRequest"
        | "ClaimWithdrawal"
        | "ConfigurationRequest"
        | "PrimarySelected"
        | "TableApplied"
        | "LoadReport" => &[TO_CONTROLLER],
        "ClaimResponse" | "CommittedVersion" | "Configuration" | "TableReplacement"
        | "TableUpdate" | "HostStates" => &[TO_GATEWAY],
        "OperationQuery" | "OperationReply" => &[BETWEEN_GATEWAYS],
        other => panic!("no directions of {other}"),
    }
}

#[test]
fn all_kinds_of_messages_are_here() {
    let found: BTreeSet<&str> = samples().iter().map(|(_, message)| kind(message)).collect();
    assert_eq!(found, KINDS.iter().copied().collect());
}

#[test]
fn each_message_comes_from_those_who_may_send_it_and_from_nobody_else() {
    for (_, message) in samples() {
        let allowed = allowed(kind(&message));
        for direction in ALL {
            let sender = handshake(direction.sender, CLAIM.node, CLAIM.incarnation);
            let checked = check_message(&sender, direction.receiver, &message);
            let expected = if allowed.contains(direction) {
                Ok(())
            } else {
                Err(PeerRejection::NotAllowed)
            };
            assert_eq!(checked, expected, "{direction:?}: {message:?}");
        }
    }
}

/// Taken for another's, a withdrawal would free a key under which a request is on its way: it could run twice.
#[test]
fn a_claim_is_made_and_withdrawn_by_its_own_incarnation_alone() {
    let messages = [
        Message::ClaimRequest {
            epoch: Epoch(1),
            key: KeyDigest(1),
            claim: CLAIM,
        },
        Message::ClaimWithdrawal {
            key: KeyDigest(1),
            claim: CLAIM,
        },
    ];
    let other_incarnation = Incarnation(CLAIM.incarnation.0 + 1);
    let other_node = NodeId(CLAIM.node.0 + 1);
    for (node, incarnation) in [
        (CLAIM.node, other_incarnation),
        (other_node, CLAIM.incarnation),
    ] {
        let other = handshake(Role::Gateway, node, incarnation);
        for message in &messages {
            assert_eq!(
                check_message(&other, Role::Controller, message),
                Err(PeerRejection::ForeignClaim)
            );
        }
    }
}

/// Certificates by what they name.
const CONTROLLER_HERE: CertifiedIdentity = CertifiedIdentity {
    names_machine: true,
    names_controller: true,
};
const MACHINE_HERE: CertifiedIdentity = CertifiedIdentity {
    names_machine: true,
    names_controller: false,
};
const CONTROLLER_ELSEWHERE: CertifiedIdentity = CertifiedIdentity {
    names_machine: false,
    names_controller: true,
};
const MACHINE_ELSEWHERE: CertifiedIdentity = CertifiedIdentity {
    names_machine: false,
    names_controller: false,
};

/// A peer at node 2, with its certificate, if it showed one.
fn identity(certificate: Option<CertifiedIdentity>) -> PeerIdentity {
    PeerIdentity {
        address: NodeId(2),
        certificate,
    }
}

#[test]
fn a_handshake_is_of_the_machine_it_names_and_its_role_is_certified() {
    let controller = handshake(Role::Controller, NodeId(2), Incarnation(20));
    let gateway = handshake(Role::Gateway, NodeId(2), Incarnation(20));
    let wrong_machine = Some("other machine");
    let cases = [
        (&controller, None, None),
        (&gateway, None, None),
        (&controller, Some(CONTROLLER_HERE), None),
        (&gateway, Some(MACHINE_HERE), None),
        (&controller, Some(MACHINE_HERE), Some("role not certified")),
        (&controller, Some(CONTROLLER_ELSEWHERE), wrong_machine),
        (&gateway, Some(MACHINE_ELSEWHERE), wrong_machine),
    ];
    for (presented, certificate, reason) in cases {
        assert_rejected_for(presented, identity(certificate), reason);
    }
    let elsewhere = PeerIdentity {
        address: NodeId(3),
        certificate: None,
    };
    assert_rejected_for(&controller, elsewhere, wrong_machine);
}

#[test]
fn a_handshake_is_of_this_version_of_another_process_and_has_names_that_fit_a_line() {
    let controller = handshake(Role::Controller, NodeId(2), Incarnation(20));
    let other_version = Handshake {
        protocol_version: PROTOCOL_VERSION + 1,
        ..controller.clone()
    };
    let of_this_process = Handshake {
        incarnation: LOCAL_INCARNATION,
        ..controller.clone()
    };
    let bad_zone = Handshake {
        zone: "a b".into(),
        ..controller.clone()
    };
    assert_rejected_for(
        &other_version,
        identity(None),
        Some("other protocol version"),
    );
    assert_rejected_for(&of_this_process, identity(None), Some("itself"));
    assert_rejected_for(&bad_zone, identity(None), Some("bad name"));
    for name in ["", "core 1", "core\n", "level=error", &"x".repeat(200)] {
        let named = Handshake {
            name: name.into(),
            ..controller.clone()
        };
        assert_rejected_for(&named, identity(None), Some("bad name"));
    }
}

/// Presents a handshake to a controller at node 1; `reason`: why it is rejected, or that it is not.
fn assert_rejected_for(presented: &Handshake, identity: PeerIdentity, reason: Option<&str>) {
    let local = handshake(Role::Controller, NodeId(1), LOCAL_INCARNATION);
    let checked = check_handshake(&local, identity, presented);
    assert_eq!(
        checked.map_err(|rejection| rejection.reason()).err(),
        reason,
        "{presented:?} {identity:?}"
    );
}

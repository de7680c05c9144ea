//! Which node may open a session, and which may send which message.

mod kinds;
mod samples;

use kinds::{KINDS, kind};
use rushcourse_messages::authorization::{check_handshake, check_message};
use rushcourse_messages::{
    CertifiedIdentity, Handshake, Message, PROTOCOL_VERSION, PeerRejection, PresentedIdentity, Role,
};
use rushcourse_types::{Epoch, Incarnation, KeyDigest, NodeId};
use samples::{CLAIM, samples};
use std::collections::BTreeSet;

const BETWEEN_CONTROLLERS: (Role, Role) = (Role::Controller, Role::Controller);
const TO_GATEWAY: (Role, Role) = (Role::Controller, Role::Gateway);
const TO_CONTROLLER: (Role, Role) = (Role::Gateway, Role::Controller);
const BETWEEN_GATEWAYS: (Role, Role) = (Role::Gateway, Role::Gateway);
const ALL: &[(Role, Role)] = &[
    BETWEEN_CONTROLLERS,
    TO_GATEWAY,
    TO_CONTROLLER,
    BETWEEN_GATEWAYS,
];

/// Of the node that is greeted.
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

/// Who may send a kind of message to whom: sender and receiver.
fn allowed(kind: &str) -> &'static [(Role, Role)] {
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
        other => panic!("nothing is said of {other}"),
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
        for (sender, receiver) in ALL {
            let sender_handshake = handshake(*sender, CLAIM.node, CLAIM.incarnation);
            let checked = check_message(&sender_handshake, *receiver, &message);
            let expected = if allowed.contains(&(*sender, *receiver)) {
                Ok(())
            } else {
                Err(PeerRejection::NotAllowed)
            };
            assert_eq!(checked, expected, "{sender:?} to {receiver:?}: {message:?}");
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

/// A peer at node 2, with what its certificate names, if it showed one.
fn identity(certificate: Option<(bool, bool)>) -> PresentedIdentity {
    let certified = |(names_machine, names_controller)| CertifiedIdentity {
        names_machine,
        names_controller,
    };
    PresentedIdentity {
        address: NodeId(2),
        certificate: certificate.map(certified),
    }
}

#[test]
fn a_handshake_is_of_the_machine_it_names_and_its_role_is_certified() {
    let controller = handshake(Role::Controller, NodeId(2), Incarnation(20));
    let gateway = handshake(Role::Gateway, NodeId(2), Incarnation(20));
    let wrong_machine = Some("other machine");
    let cases = [
        (&controller, identity(None), None),
        (&gateway, identity(None), None),
        (&controller, identity(Some((true, true))), None),
        (&gateway, identity(Some((true, false))), None),
        (
            &controller,
            identity(Some((true, false))),
            Some("role not certified"),
        ),
        (&controller, identity(Some((false, true))), wrong_machine),
        (&gateway, identity(Some((false, false))), wrong_machine),
    ];
    for (presented, identity, reason) in cases {
        check_rejected_for(presented, identity, reason);
    }
    let elsewhere = PresentedIdentity {
        address: NodeId(3),
        certificate: None,
    };
    check_rejected_for(&controller, elsewhere, wrong_machine);
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
    check_rejected_for(&other_version, identity(None), Some("other form"));
    check_rejected_for(&of_this_process, identity(None), Some("itself"));
    check_rejected_for(&bad_zone, identity(None), Some("bad name"));
    for name in ["", "core 1", "core\n", "level=error", &"x".repeat(200)] {
        let named = Handshake {
            name: name.into(),
            ..controller.clone()
        };
        check_rejected_for(&named, identity(None), Some("bad name"));
    }
}

/// Presents a handshake to a controller at node 1; `reason`: why it is rejected, or that it is not.
fn check_rejected_for(presented: &Handshake, identity: PresentedIdentity, reason: Option<&str>) {
    let local = handshake(Role::Controller, NodeId(1), LOCAL_INCARNATION);
    let checked = check_handshake(&local, identity, presented);
    assert_eq!(
        checked.map_err(|rejection| rejection.reason()).err(),
        reason,
        "{presented:?} {identity:?}"
    );
}

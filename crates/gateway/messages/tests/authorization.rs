//! Authorization of handshakes and messages.

mod kinds;
mod samples;

use kinds::{KINDS, kind};
use rushcourse_messages::authorization::{check_handshake, check_message};
use rushcourse_messages::{
    CertifiedIdentity, Handshake, Message, PROTOCOL_VERSION, PeerIdentity, PeerRejection, Role,
    UsageCounts,
};
use rushcourse_types::{Epoch, Incarnation, KeyDigest, NodeId, WindowNumber};
use samples::{CLAIM, samples};
use std::collections::BTreeSet;

/// The roles of sender and receiver.
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

/// Incarnation of the node that checks the handshakes.
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

/// The directions in which messages of a kind are allowed.
fn allowed_directions(kind: &str) -> &'static [Direction] {
    match kind {
        "Handshake" => &[],
        "Ping" => ALL,
        "Controllers" | "VotingSet" | "ControllerStatus" => &[BETWEEN_CONTROLLERS, TO_GATEWAY],
        "GatewaySessions" | "HostUpdates" | "Heartbeats" | "HostDigests" | "HostRangeRequest"
        | "Prepare" | "Promise" | "Accept" | "Reject" | "ReplicaStatus" | "ReadRequest"
        | "ReadResponse" | "SnapshotRequest" | "SnapshotChunk" | "LearnerInvitation"
        | "LearnerReady" | "ShuttingDown" | "StoreLeavingHost" | "LeavingHostStored" => {
            &[BETWEEN_CONTROLLERS]
        }
        "ClaimRequest"
        | "ClaimWithdrawal"
        | "ConfigurationRequest"
        | "ConfigurationLeaseRequest"
        | "PrimarySelected"
        | "TableApplied"
        | "LoadReport"
        | "ResponseShards" => &[TO_CONTROLLER],
        "ClaimResponse"
        | "CommittedVersion"
        | "Configuration"
        | "TableReplacement"
        | "TableUpdate"
        | "HostStates"
        | "ConfigurationLeaseResponse"
        | "ResponseStoreOpened"
        | "ResponseShardsStored" => &[TO_GATEWAY],
        "OperationQuery" => &[TO_CONTROLLER, BETWEEN_GATEWAYS],
        "OperationReply" => &[TO_GATEWAY, BETWEEN_GATEWAYS],
        "UsageCounts" => &[BETWEEN_CONTROLLERS, TO_CONTROLLER],
        other => panic!("no directions defined for {other}"),
    }
}

#[test]
fn samples_cover_every_message_kind() {
    let found: BTreeSet<&str> = samples().iter().map(|(_, message)| kind(message)).collect();
    assert_eq!(found, KINDS.iter().copied().collect());
}

#[test]
fn message_is_accepted_only_in_its_allowed_directions() {
    for (_, message) in samples() {
        let allowed = allowed_directions(kind(&message));
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

/// A foreign withdrawal could free a key whose request is in flight, and the operation could run twice. Responses name
/// claims of their sender only (`controller/tests/response_claims.rs`).
#[test]
fn claim_and_withdrawal_by_another_incarnation_are_rejected() {
    let messages = [
        Message::ClaimRequest {
            epoch: Epoch(1),
            keys: KeyDigest(1).into(),
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

/// With foreign counts a gateway could change what tenants of other gateways are charged.
#[test]
fn usage_counts_of_another_incarnation_are_rejected() {
    let counts = Message::UsageCounts(UsageCounts {
        gateway: CLAIM.node,
        incarnation: CLAIM.incarnation,
        window: WindowNumber(1),
        revision: 1,
        has_ended: true,
        counts: Vec::new(),
    });
    let other_incarnation = Incarnation(CLAIM.incarnation.0 + 1);
    let other_node = NodeId(CLAIM.node.0 + 1);
    for (node, incarnation) in [
        (CLAIM.node, other_incarnation),
        (other_node, CLAIM.incarnation),
    ] {
        let other = handshake(Role::Gateway, node, incarnation);
        assert_eq!(
            check_message(&other, Role::Controller, &counts),
            Err(PeerRejection::ForeignCounts)
        );
    }
}

const CONTROLLER_CERTIFICATE: CertifiedIdentity = CertifiedIdentity {
    names_machine: true,
    names_controller: true,
};
const GATEWAY_CERTIFICATE: CertifiedIdentity = CertifiedIdentity {
    names_machine: true,
    names_controller: false,
};
/// A certificate with the controller name, issued for another machine.
const OTHER_CONTROLLER_CERTIFICATE: CertifiedIdentity = CertifiedIdentity {
    names_machine: false,
    names_controller: true,
};
/// A certificate without the controller name, issued for another machine.
const OTHER_GATEWAY_CERTIFICATE: CertifiedIdentity = CertifiedIdentity {
    names_machine: false,
    names_controller: false,
};

/// The identity of a peer that connects from the address of node 2.
fn identity(certificate: Option<CertifiedIdentity>) -> PeerIdentity {
    PeerIdentity {
        address: NodeId(2),
        certificate,
    }
}

#[test]
fn handshake_of_wrong_machine_or_uncertified_role_is_rejected() {
    let controller = handshake(Role::Controller, NodeId(2), Incarnation(20));
    let gateway = handshake(Role::Gateway, NodeId(2), Incarnation(20));
    let wrong_machine = Some("other machine");
    let cases = [
        (&controller, None, None),
        (&gateway, None, None),
        (&controller, Some(CONTROLLER_CERTIFICATE), None),
        (&gateway, Some(GATEWAY_CERTIFICATE), None),
        (
            &controller,
            Some(GATEWAY_CERTIFICATE),
            Some("role not certified"),
        ),
        (
            &controller,
            Some(OTHER_CONTROLLER_CERTIFICATE),
            wrong_machine,
        ),
        (&gateway, Some(OTHER_GATEWAY_CERTIFICATE), wrong_machine),
    ];
    for (presented, certificate, reason) in cases {
        assert_check_result(presented, identity(certificate), reason);
    }
    let other_address = PeerIdentity {
        address: NodeId(3),
        certificate: None,
    };
    assert_check_result(&controller, other_address, wrong_machine);
}

#[test]
fn handshake_with_other_version_local_incarnation_or_invalid_name_is_rejected() {
    let controller = handshake(Role::Controller, NodeId(2), Incarnation(20));
    let other_version = Handshake {
        protocol_version: PROTOCOL_VERSION + 1,
        ..controller.clone()
    };
    let self_connection = Handshake {
        incarnation: LOCAL_INCARNATION,
        ..controller.clone()
    };
    let invalid_zone = Handshake {
        zone: "a b".into(),
        ..controller.clone()
    };
    assert_check_result(
        &other_version,
        identity(None),
        Some("other protocol version"),
    );
    assert_check_result(&self_connection, identity(None), Some("itself"));
    assert_check_result(&invalid_zone, identity(None), Some("bad name"));
    for name in ["", "core 1", "core\n", "level=error", &"x".repeat(200)] {
        let invalid_name = Handshake {
            name: name.into(),
            ..controller.clone()
        };
        assert_check_result(&invalid_name, identity(None), Some("bad name"));
    }
}

/// Asserts that node 1, a controller, rejects a handshake with `reason`, or accepts it if `reason` is `None`.
fn assert_check_result(presented: &Handshake, identity: PeerIdentity, reason: Option<&str>) {
    let local = handshake(Role::Controller, NodeId(1), LOCAL_INCARNATION);
    let checked = check_handshake(&local, identity, presented);
    assert_eq!(
        checked.map_err(|rejection| rejection.reason()).err(),
        reason,
        "{presented:?} {identity:?}"
    );
}

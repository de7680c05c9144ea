//! Samples of every message in each of its forms. All fields of a message have different values, so that swapped fields
//! are detected. Labels match those in `fixtures/frames.txt`; they use the message names of the build that recorded it.

use rushcourse_messages::{
    AcceptorRecord, Ballot, ClaimRecord, ClaimVerdict, DurableVote, EndpointWeight, Handshake,
    Heartbeat, HostRecord, HostState, KeyHolder, Message, OperationState, Proposal, RecoveryPoint,
    ResponseHead, ResponsePart, Role, ShardPart, Slot, SlotRecord, SnapshotChunk, SnapshotCursor,
    SnapshotTrailer, StoredResponse, TenantCount, UsageCounts, VotingSet,
};
use rushcourse_types::{
    CallSequence, ClaimId, ConfigurationVersion, DutySequence, Epoch, Generation, Incarnation,
    KeyAlias, KeyDigest, Millis, NodeId, OperationKeys, ReplicaSequence, RequestToken,
    ResponseStoreId, Timestamp, WindowNumber,
};
use std::sync::Arc;

/// A label in `fixtures/frames.txt` and the message recorded under it.
pub type Sample = (&'static str, Message);

const EPOCH: Epoch = Epoch(11);
const VERSION: ConfigurationVersion = ConfigurationVersion(9);
const VERSION_SLOT: Slot = Slot::Configuration(VERSION);
const SET_SLOT: Slot = Slot::VotingSet(Epoch(12));
const DUTY_SLOT: Slot = Slot::UsageDuty(DutySequence(45));
const KEY: KeyDigest = KeyDigest(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10);
const SERVICE: &str = "wuno96b";
const TEXT: &[u8] = b"{\"version\":7}";
/// The claim used in the samples of requests and withdrawals.
pub const CLAIM: ClaimId = ClaimId {
    node: NodeId(0x0a01_0022),
    incarnation: Incarnation(u64::MAX - 5),
    number: 3,
};
const OTHER_CLAIM: ClaimId = ClaimId {
    node: NodeId(0x0a02_0023),
    incarnation: Incarnation(77),
    number: 400,
};
const BALLOT: Ballot = Ballot {
    round: 300,
    node: NodeId(0x0a01_0024),
    incarnation: Incarnation(u64::MAX - 6),
};
const LOWER_BALLOT: Ballot = Ballot {
    round: 2,
    node: NodeId(0x0a03_0025),
    incarnation: Incarnation(9),
};
const CURSOR: SnapshotCursor = SnapshotCursor {
    incarnation: Incarnation(u64::MAX - 7),
    position: 301,
};

fn host(state: HostState) -> HostRecord {
    HostRecord {
        id: "i-7f3a91c2".into(),
        service: SERVICE.into(),
        zone: "recife".into(),
        address: "10.128.0.9:8080".into(),
        slots: 4,
        state,
        sequence: CallSequence(300),
        warm_up: Millis(2_500),
        age: Millis(17),
    }
}

fn endpoints() -> Vec<EndpointWeight> {
    vec![
        EndpointWeight {
            host: host(HostState::Ready),
            weight: 0.75,
        },
        EndpointWeight {
            host: host(HostState::Gone),
            weight: 0.0,
        },
    ]
}

fn handshake(role: Role) -> Message {
    Message::Handshake(Handshake {
        protocol_version: 3,
        role,
        node: NodeId(0x0a01_0022),
        incarnation: Incarnation(u64::MAX - 5),
        name: "frontend-recife-1".into(),
        zone: "recife".into(),
    })
}

fn proposal() -> Proposal {
    Proposal {
        ballot: LOWER_BALLOT,
        value: TEXT.into(),
    }
}

/// Handshakes, pings, and lists of connected nodes.
fn session_samples() -> Vec<Sample> {
    let controllers = vec![NodeId(0x0a01_0024), NodeId(0x0a02_0024)];
    let gateways = vec![NodeId(0x0a01_0022), NodeId(0x0a02_0022), NodeId(1)];
    vec![
        ("Hello of a controller", handshake(Role::Controller)),
        ("Hello of a gateway", handshake(Role::Gateway)),
        ("Ping", Message::Ping),
        ("Cores", Message::Controllers(controllers)),
        ("Sessions", Message::GatewaySessions(gateways)),
    ]
}

fn host_samples() -> Vec<Sample> {
    let hosts = vec![host(HostState::Ready), host(HostState::Draining)];
    let heartbeat = |host: &str, sequence| Heartbeat {
        host: host.into(),
        sequence: CallSequence(sequence),
    };
    let heartbeats = vec![heartbeat("i-7f3a91c2", 301), heartbeat("i-2", 5)];
    vec![
        ("Hosts", Message::HostUpdates(hosts)),
        ("Beats", Message::Heartbeats(heartbeats)),
        ("HostDigest", Message::HostDigests(vec![1, u64::MAX, 0])),
        ("HostRanges", Message::HostRangeRequest(vec![3, 31])),
    ]
}

/// The voting set and Paxos phase 1.
fn prepare_samples() -> Vec<Sample> {
    let voting_set = VotingSet {
        epoch: Epoch(300),
        members: vec![NodeId(1), NodeId(2), NodeId(0x0a00_0001)],
    };
    let prepare = |slot, removed| Message::Prepare {
        epoch: EPOCH,
        slot,
        ballot: BALLOT,
        removed,
    };
    let promise = |slot, accepted| Message::Promise {
        epoch: EPOCH,
        slot,
        ballot: BALLOT,
        accepted,
    };
    let removed = Some(NodeId(0x0a03_0024));
    vec![
        ("Set", Message::VotingSet(voting_set)),
        ("Prepare of a set", prepare(SET_SLOT, removed)),
        ("Prepare of a version", prepare(VERSION_SLOT, None)),
        (
            "Promise with a proposal",
            promise(VERSION_SLOT, Some(proposal())),
        ),
        ("Promise", promise(SET_SLOT, None)),
    ]
}

/// Paxos phase 2, replica reports and reads.
fn accept_samples() -> Vec<Sample> {
    let accept = Message::Accept {
        epoch: EPOCH,
        slot: VERSION_SLOT,
        proposal: proposal(),
    };
    let reject = Message::Reject {
        epoch: EPOCH,
        slot: VERSION_SLOT,
        promised: BALLOT,
    };
    let vote = |slot, ballot| DurableVote { slot, ballot };
    let status = Message::ReplicaStatus {
        sent_at: Timestamp::from_millis(5_000),
        echoed: Timestamp::from_millis(4_300),
        epoch: EPOCH,
        is_voter: true,
        is_disk_usable: true,
        generation: Generation(901),
        recovery_point: Some(RecoveryPoint {
            generation: Generation(455),
            cursor: CURSOR,
        }),
        committed: ConfigurationVersion(8),
        duty: DutySequence(44),
        votes: vec![vote(VERSION_SLOT, BALLOT), vote(SET_SLOT, LOWER_BALLOT)],
    };
    let read_request = Message::ReadRequest {
        token: RequestToken(70),
        epoch: EPOCH,
    };
    let read_response = Message::ReadResponse {
        token: RequestToken(70),
        epoch: EPOCH,
        is_voter: true,
        highest_accepted: VERSION,
    };
    vec![
        ("Accept", accept),
        ("Refuse", reject),
        ("Held", status),
        ("AskHeld", read_request),
        ("TellHeld", read_response),
    ]
}

fn snapshot_trailer() -> SnapshotTrailer {
    let promised = AcceptorRecord {
        promised: LOWER_BALLOT,
        accepted: None,
        is_vote: false,
    };
    let voted = AcceptorRecord {
        promised: BALLOT,
        accepted: Some(proposal()),
        is_vote: true,
    };
    let record = |slot, record| SlotRecord { slot, record };
    SnapshotTrailer {
        cursor: CURSOR,
        claim_count: 2,
        claims_digest: u64::MAX - 8,
        records: vec![record(SET_SLOT, promised), record(VERSION_SLOT, voted)],
    }
}

fn snapshot_samples() -> Vec<Sample> {
    let request = |after| Message::SnapshotRequest {
        epoch: EPOCH,
        after,
    };
    let chunk = |claims, trailer| {
        Message::SnapshotChunk(SnapshotChunk {
            epoch: EPOCH,
            claims,
            trailer,
        })
    };
    let record = |key, claim, age| ClaimRecord {
        key: KeyDigest(key),
        alias: None,
        claim,
        age: Millis(age),
    };
    let claims = vec![
        record(KEY.0, CLAIM, 60_000),
        record(KEY.0 + 1, OTHER_CLAIM, 128),
    ];
    vec![
        ("AskLesson from the beginning", request(None)),
        ("AskLesson", request(Some(CURSOR))),
        ("Lesson", chunk(claims, None)),
        (
            "Lesson that ends",
            chunk(Vec::new(), Some(snapshot_trailer())),
        ),
        ("Learn", Message::LearnerInvitation { epoch: EPOCH }),
        ("Learned", Message::LearnerReady { epoch: Epoch(300) }),
        ("Leaving", Message::ShuttingDown),
    ]
}

/// Messages from a gateway to a controller.
fn gateway_samples() -> Vec<Sample> {
    let claim_request = Message::ClaimRequest {
        epoch: EPOCH,
        keys: KEY.into(),
        claim: CLAIM,
    };
    let withdrawal = Message::ClaimWithdrawal {
        key: KEY,
        claim: CLAIM,
    };
    let configuration_request = Message::ConfigurationRequest {
        newer_than: ConfigurationVersion(8),
    };
    let applied = Message::TableApplied {
        service: SERVICE.into(),
        revision: 513,
    };
    let load = Message::LoadReport {
        service: SERVICE.into(),
        attempts: 1_000,
        failures: 20,
        interval_ms: 1_500,
    };
    vec![
        ("Claim", claim_request),
        ("Withdraw", withdrawal),
        ("AskVersion", configuration_request),
        ("Home", Message::PrimarySelected(true)),
        ("Home no longer", Message::PrimarySelected(false)),
        ("Applied", applied),
        ("Usage", load),
    ]
}

/// Claim responses, and the configuration messages sent to gateways.
fn claim_response_samples() -> Vec<Sample> {
    let response = |verdict| Message::ClaimResponse {
        epoch: EPOCH,
        claim_number: CLAIM.number,
        verdict,
    };
    let committed = Message::CommittedVersion { version: VERSION };
    let configuration = Message::Configuration {
        version: VERSION,
        text: Arc::from(TEXT),
    };
    vec![
        ("Vote granted", response(ClaimVerdict::Granted)),
        (
            "Vote of a key held",
            response(ClaimVerdict::HeldBy(KeyHolder {
                key: KeyDigest(KEY.0 + 2),
                claim: OTHER_CLAIM,
            })),
        ),
        ("Vote that is none", response(ClaimVerdict::Abstained)),
        ("NewVersion", committed),
        ("InForce", configuration),
    ]
}

/// Controller status, endpoint tables and host states sent to gateways.
fn table_samples() -> Vec<Sample> {
    let status = Message::ControllerStatus {
        is_synchronized: true,
        gateways: 8,
    };
    let replacement = Message::TableReplacement {
        service: SERVICE.into(),
        revision: 513,
        endpoints: endpoints(),
    };
    let update = Message::TableUpdate {
        service: SERVICE.into(),
        revision: 514,
        endpoints: endpoints(),
    };
    vec![
        ("Standing", status),
        ("Table", replacement),
        ("Lines", update),
        ("Out", Message::HostStates(vec![host(HostState::Gone)])),
    ]
}

/// Operation queries and replies between gateways, or between a gateway and a controller.
fn operation_samples() -> Vec<Sample> {
    let query = Message::OperationQuery {
        token: RequestToken(71),
        key: KEY,
        claim: CLAIM,
        offset: 32_768,
    };
    let reply = |token, state| Message::OperationReply {
        token: RequestToken(token),
        state,
    };
    vec![
        ("AskKey", query),
        ("TellKey running", reply(71, OperationState::Running)),
        (
            "TellKey answered",
            reply(72, OperationState::Completed(response_part())),
        ),
        ("TellKey unknown", reply(73, OperationState::Unknown)),
        ("TellKey nothing", reply(74, OperationState::NotFound)),
    ]
}

fn usage_counts() -> UsageCounts {
    let count = |tenant: &str, requests| TenantCount {
        tenant: tenant.into(),
        requests,
    };
    UsageCounts {
        gateway: CLAIM.node,
        incarnation: CLAIM.incarnation,
        window: WindowNumber(353_445_120),
        revision: 5,
        has_ended: true,
        counts: vec![count("cuka621", 300), count("yefi830", 412)],
    }
}

/// Consensus messages about the usage duty.
fn duty_samples() -> Vec<Sample> {
    let prepare = Message::Prepare {
        epoch: EPOCH,
        slot: DUTY_SLOT,
        ballot: BALLOT,
        removed: Some(NodeId(0x0a03_0024)),
    };
    let accept = Message::Accept {
        epoch: EPOCH,
        slot: DUTY_SLOT,
        proposal: proposal(),
    };
    vec![
        ("Prepare of a duty state", prepare),
        ("Accept of a duty state", accept),
    ]
}

fn configuration_lease_samples() -> Vec<Sample> {
    let request = Message::ConfigurationLeaseRequest {
        sent_at: Timestamp::from_millis(5_100),
    };
    let response = Message::ConfigurationLeaseResponse {
        sent_at: Timestamp::from_millis(5_101),
        version: VERSION,
        age: Millis(402),
    };
    vec![
        ("ConfigurationLeaseRequest", request),
        ("ConfigurationLeaseResponse", response),
    ]
}

/// Messages with the alias of an operation.
fn alias_samples() -> Vec<Sample> {
    let alias = |is_shared| {
        Some(KeyAlias {
            digest: KeyDigest(KEY.0 + 3),
            is_shared,
        })
    };
    let request = |is_shared| Message::ClaimRequest {
        epoch: EPOCH,
        keys: OperationKeys {
            key: KEY,
            alias: alias(is_shared),
        },
        claim: CLAIM,
    };
    let record = ClaimRecord {
        key: KEY,
        alias: alias(true),
        claim: CLAIM,
        age: Millis(60_001),
    };
    let chunk = SnapshotChunk {
        epoch: EPOCH,
        claims: vec![record],
        trailer: None,
    };
    vec![
        ("ClaimRequest with a shared alias", request(true)),
        ("ClaimRequest with an exclusive alias", request(false)),
        ("SnapshotChunk with an alias", Message::SnapshotChunk(chunk)),
    ]
}

/// The first part of a response.
fn response_part() -> ResponsePart {
    let head = ResponseHead {
        status: 201,
        headers: vec![
            ("content-type".into(), b"text/plain".to_vec()),
            ("response-seal".into(), b"3e1b".to_vec()),
        ],
    };
    let response = StoredResponse::new(&head, &[0, 1, 0xff]).expect("a short response");
    response.part(0).expect("a first part")
}

/// Shards of stored responses.
fn response_shard_samples() -> Vec<Sample> {
    let evicted = Message::OperationReply {
        token: RequestToken(75),
        state: OperationState::Evicted,
    };
    let shards = Message::ResponseShards {
        sequence: ReplicaSequence(402),
        parts: vec![ShardPart {
            key: KEY,
            claim_number: 80,
            part: response_part(),
        }],
    };
    let opened = Message::ResponseStoreOpened {
        store: ResponseStoreId(u64::MAX - 8),
    };
    let stored = Message::ResponseShardsStored {
        sequences: vec![ReplicaSequence(402), ReplicaSequence(404)],
    };
    vec![
        ("OperationReply evicted", evicted),
        ("ResponseStoreOpened", opened),
        ("ResponseShards", shards),
        ("ResponseShardsStored", stored),
    ]
}

/// States of leaving hosts.
fn leaving_host_samples() -> Vec<Sample> {
    let token = RequestToken(u64::MAX - 9);
    let record = host(HostState::Gone);
    vec![
        (
            "StoreLeavingHost",
            Message::StoreLeavingHost { token, record },
        ),
        ("LeavingHostStored", Message::LeavingHostStored { token }),
    ]
}

/// Every sample, in the order of the recorded frames.
pub fn samples() -> Vec<Sample> {
    [
        session_samples(),
        host_samples(),
        prepare_samples(),
        accept_samples(),
        snapshot_samples(),
        gateway_samples(),
        claim_response_samples(),
        table_samples(),
        operation_samples(),
        duty_samples(),
        configuration_lease_samples(),
        vec![("UsageCounts", Message::UsageCounts(usage_counts()))],
        alias_samples(),
        response_shard_samples(),
        leaving_host_samples(),
    ]
    .concat()
}

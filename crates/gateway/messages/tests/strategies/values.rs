//! Strategies for the values inside messages.

use proptest::prelude::*;
use rushcourse_messages::{
    AcceptorRecord, Ballot, ClaimRecord, ClaimVerdict, DurableVote, EndpointWeight, Handshake,
    Heartbeat, HostRecord, HostState, KeyHolder, OperationState, Proposal, ResponsePart, Role,
    ShardPart, Slot, SlotRecord, SnapshotChunk, SnapshotCursor, SnapshotTrailer,
};
use rushcourse_types::{
    CallSequence, ClaimId, ConfigurationVersion, DutySequence, Epoch, Incarnation, KeyAlias,
    KeyDigest, Millis, NodeId, RequestToken, Timestamp,
};
use std::sync::Arc;

pub fn text() -> impl Strategy<Value = Arc<str>> {
    "[a-z0-9.:-]{0,12}".prop_map(|text| Arc::from(text.as_str()))
}

pub fn node() -> impl Strategy<Value = NodeId> {
    any::<u32>().prop_map(NodeId)
}

pub fn nodes() -> impl Strategy<Value = Vec<NodeId>> {
    prop::collection::vec(node(), 0..9)
}

pub fn incarnation() -> impl Strategy<Value = Incarnation> {
    any::<u64>().prop_map(Incarnation)
}

pub fn epoch() -> impl Strategy<Value = Epoch> {
    any::<u64>().prop_map(Epoch)
}

pub fn version() -> impl Strategy<Value = ConfigurationVersion> {
    any::<u64>().prop_map(ConfigurationVersion)
}

pub fn duty_sequence() -> impl Strategy<Value = DutySequence> {
    any::<u64>().prop_map(DutySequence)
}

pub fn token() -> impl Strategy<Value = RequestToken> {
    any::<u64>().prop_map(RequestToken)
}

pub fn key() -> impl Strategy<Value = KeyDigest> {
    any::<u128>().prop_map(KeyDigest)
}

pub fn alias() -> impl Strategy<Value = Option<KeyAlias>> {
    let alias =
        (key(), any::<bool>()).prop_map(|(digest, is_shared)| KeyAlias { digest, is_shared });
    prop::option::of(alias)
}

pub fn timestamp() -> impl Strategy<Value = Timestamp> {
    any::<u64>().prop_map(Timestamp::from_millis)
}

pub fn millis() -> impl Strategy<Value = Millis> {
    any::<u64>().prop_map(Millis)
}

pub fn sequence() -> impl Strategy<Value = CallSequence> {
    any::<u64>().prop_map(CallSequence)
}

pub fn claim() -> impl Strategy<Value = ClaimId> {
    (node(), incarnation(), any::<u64>()).prop_map(|(node, incarnation, number)| ClaimId {
        node,
        incarnation,
        number,
    })
}

pub fn host() -> impl Strategy<Value = HostRecord> {
    let state = prop_oneof![
        Just(HostState::Ready),
        Just(HostState::Draining),
        Just(HostState::Gone)
    ];
    let texts = (text(), text(), text(), text());
    let times = (sequence(), millis(), millis());
    (texts, any::<u32>(), state, times).prop_map(
        |((id, service, zone, address), slots, state, (sequence, warm_up, age))| HostRecord {
            id,
            service,
            zone,
            address,
            slots,
            state,
            sequence,
            warm_up,
            age,
        },
    )
}

pub fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    (text(), sequence()).prop_map(|(host, sequence)| Heartbeat { host, sequence })
}

pub fn bytes() -> impl Strategy<Value = Arc<[u8]>> {
    prop::collection::vec(any::<u8>(), 0..64).prop_map(Arc::<[u8]>::from)
}

pub fn list<T: std::fmt::Debug>(item: impl Strategy<Value = T>) -> impl Strategy<Value = Vec<T>> {
    prop::collection::vec(item, 0..5)
}

pub fn slot() -> impl Strategy<Value = Slot> {
    prop_oneof![
        epoch().prop_map(Slot::VotingSet),
        version().prop_map(Slot::Configuration),
        duty_sequence().prop_map(Slot::UsageDuty)
    ]
}

pub fn ballot() -> impl Strategy<Value = Ballot> {
    (any::<u64>(), node(), incarnation()).prop_map(|(round, node, incarnation)| Ballot {
        round,
        node,
        incarnation,
    })
}

pub fn proposal() -> impl Strategy<Value = Proposal> {
    (ballot(), bytes()).prop_map(|(ballot, value)| Proposal { ballot, value })
}

pub fn vote() -> impl Strategy<Value = DurableVote> {
    (slot(), ballot()).prop_map(|(slot, ballot)| DurableVote { slot, ballot })
}

pub fn cursor() -> impl Strategy<Value = SnapshotCursor> {
    (incarnation(), any::<u64>()).prop_map(|(incarnation, position)| SnapshotCursor {
        incarnation,
        position,
    })
}

pub fn record() -> impl Strategy<Value = SlotRecord> {
    let record = (ballot(), prop::option::of(proposal()), any::<bool>()).prop_map(
        |(promised, accepted, is_vote)| AcceptorRecord {
            promised,
            accepted,
            is_vote,
        },
    );
    (slot(), record).prop_map(|(slot, record)| SlotRecord { slot, record })
}

pub fn snapshot_chunk() -> impl Strategy<Value = SnapshotChunk> {
    let claim_record =
        (key(), alias(), claim(), millis()).prop_map(|(key, alias, claim, age)| ClaimRecord {
            key,
            alias,
            claim,
            age,
        });
    let trailer = (cursor(), any::<u64>(), any::<u64>(), list(record())).prop_map(
        |(cursor, claim_count, claims_digest, records)| SnapshotTrailer {
            cursor,
            claim_count,
            claims_digest,
            records,
        },
    );
    (epoch(), list(claim_record), prop::option::of(trailer)).prop_map(|(epoch, claims, trailer)| {
        SnapshotChunk {
            epoch,
            claims,
            trailer,
        }
    })
}

pub fn handshake() -> impl Strategy<Value = Handshake> {
    let role = prop_oneof![Just(Role::Controller), Just(Role::Gateway)];
    (any::<u32>(), role, node(), incarnation(), text(), text()).prop_map(
        |(protocol_version, role, node, incarnation, name, zone)| Handshake {
            protocol_version,
            role,
            node,
            incarnation,
            name: name.to_string(),
            zone: zone.to_string(),
        },
    )
}

pub fn verdict() -> impl Strategy<Value = ClaimVerdict> {
    prop_oneof![
        Just(ClaimVerdict::Granted),
        Just(ClaimVerdict::Abstained),
        (key(), claim()).prop_map(|(key, claim)| ClaimVerdict::HeldBy(KeyHolder { key, claim }))
    ]
}

/// A part of a shard.
pub fn shard_part() -> impl Strategy<Value = ShardPart> {
    (key(), any::<u64>(), response_part()).prop_map(|(key, claim_number, part)| ShardPart {
        key,
        claim_number,
        part,
    })
}

pub fn response_part() -> impl Strategy<Value = ResponsePart> {
    let numbers = any::<(u32, u32)>();
    let bytes = prop::collection::vec(any::<u8>(), 0..64);
    (numbers, bytes).prop_map(|((offset, total_bytes), bytes)| ResponsePart {
        offset,
        total_bytes,
        bytes: bytes.into(),
    })
}

pub fn operation_state() -> impl Strategy<Value = OperationState> {
    prop_oneof![
        Just(OperationState::Running),
        Just(OperationState::Unknown),
        Just(OperationState::NotFound),
        Just(OperationState::Evicted),
        response_part().prop_map(OperationState::Completed)
    ]
}

pub fn endpoint() -> impl Strategy<Value = EndpointWeight> {
    // NaN is excluded, since a message with a NaN weight does not equal itself.
    (host(), -1e6f32..1e6).prop_map(|(host, weight)| EndpointWeight { host, weight })
}

//! Any message of any kind.

use proptest::prelude::*;
use proptest::strategy::Union;
use rushcourse_messages::{
    AcceptorRecord, Ballot, ClaimRecord, ClaimVerdict, DurableVote, EndpointWeight, Handshake,
    Heartbeat, HostRecord, HostState, Message, OperationState, Proposal, Role, Slot, SlotRecord,
    SnapshotChunk, SnapshotCursor, SnapshotTrailer, StoredResponse, VotingSet,
};
use rushcourse_types::{
    CallSequence, ClaimId, ConfigurationVersion, Epoch, Incarnation, KeyDigest, Millis, NodeId,
    RequestToken, Timestamp,
};
use std::sync::Arc;

fn text() -> impl Strategy<Value = Arc<str>> {
    "[a-z0-9.:-]{0,12}".prop_map(|text| Arc::from(text.as_str()))
}

fn node() -> impl Strategy<Value = NodeId> {
    any::<u32>().prop_map(NodeId)
}

fn nodes() -> impl Strategy<Value = Vec<NodeId>> {
    prop::collection::vec(node(), 0..9)
}

fn incarnation() -> impl Strategy<Value = Incarnation> {
    any::<u64>().prop_map(Incarnation)
}

fn epoch() -> impl Strategy<Value = Epoch> {
    any::<u64>().prop_map(Epoch)
}

fn version() -> impl Strategy<Value = ConfigurationVersion> {
    any::<u64>().prop_map(ConfigurationVersion)
}

fn token() -> impl Strategy<Value = RequestToken> {
    any::<u64>().prop_map(RequestToken)
}

fn key() -> impl Strategy<Value = KeyDigest> {
    any::<u128>().prop_map(KeyDigest)
}

fn timestamp() -> impl Strategy<Value = Timestamp> {
    any::<u64>().prop_map(Timestamp::from_millis)
}

fn millis() -> impl Strategy<Value = Millis> {
    any::<u64>().prop_map(Millis)
}

fn sequence() -> impl Strategy<Value = CallSequence> {
    any::<u64>().prop_map(CallSequence)
}

fn claim() -> impl Strategy<Value = ClaimId> {
    (node(), incarnation(), any::<u64>()).prop_map(|(node, incarnation, number)| ClaimId {
        node,
        incarnation,
        number,
    })
}

fn host() -> impl Strategy<Value = HostRecord> {
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

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    (text(), sequence()).prop_map(|(host, sequence)| Heartbeat { host, sequence })
}

fn bytes() -> impl Strategy<Value = Arc<[u8]>> {
    prop::collection::vec(any::<u8>(), 0..64).prop_map(Arc::<[u8]>::from)
}

fn list<T: std::fmt::Debug>(of: impl Strategy<Value = T>) -> impl Strategy<Value = Vec<T>> {
    prop::collection::vec(of, 0..5)
}

fn slot() -> impl Strategy<Value = Slot> {
    prop_oneof![
        epoch().prop_map(Slot::VotingSet),
        version().prop_map(Slot::Configuration)
    ]
}

fn ballot() -> impl Strategy<Value = Ballot> {
    (any::<u64>(), node(), incarnation()).prop_map(|(round, node, incarnation)| Ballot {
        round,
        node,
        incarnation,
    })
}

fn proposal() -> impl Strategy<Value = Proposal> {
    (ballot(), bytes()).prop_map(|(ballot, value)| Proposal { ballot, value })
}

fn vote() -> impl Strategy<Value = DurableVote> {
    (slot(), ballot()).prop_map(|(slot, ballot)| DurableVote { slot, ballot })
}

fn cursor() -> impl Strategy<Value = SnapshotCursor> {
    (incarnation(), any::<u64>()).prop_map(|(incarnation, position)| SnapshotCursor {
        incarnation,
        position,
    })
}

fn record() -> impl Strategy<Value = SlotRecord> {
    let record = (ballot(), prop::option::of(proposal()), any::<bool>()).prop_map(
        |(promised, accepted, is_vote)| AcceptorRecord {
            promised,
            accepted,
            is_vote,
        },
    );
    (slot(), record).prop_map(|(slot, record)| SlotRecord { slot, record })
}

fn snapshot_chunk() -> impl Strategy<Value = SnapshotChunk> {
    let claim_record =
        (key(), claim(), millis()).prop_map(|(key, claim, age)| ClaimRecord { key, claim, age });
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

fn handshake() -> impl Strategy<Value = Handshake> {
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

fn verdict() -> impl Strategy<Value = ClaimVerdict> {
    prop_oneof![
        Just(ClaimVerdict::Granted),
        Just(ClaimVerdict::Abstained),
        claim().prop_map(ClaimVerdict::HeldBy)
    ]
}

fn operation_state() -> impl Strategy<Value = OperationState> {
    let response =
        (any::<u16>(), prop::collection::vec(any::<u8>(), 0..64)).prop_map(|(status, body)| {
            StoredResponse {
                status,
                headers: vec![("a-b".into(), body.clone())],
                body,
            }
        });
    prop_oneof![
        Just(OperationState::Running),
        Just(OperationState::Unknown),
        Just(OperationState::NotFound),
        response.prop_map(OperationState::Completed)
    ]
}

fn endpoint() -> impl Strategy<Value = EndpointWeight> {
    // A weight that is no number equals nothing, itself included.
    (host(), -1e6f32..1e6).prop_map(|(host, weight)| EndpointWeight { host, weight })
}

/// Messages of sessions and hosts.
fn host_messages() -> Vec<BoxedStrategy<Message>> {
    vec![
        handshake().prop_map(Message::Handshake).boxed(),
        Just(Message::Ping).boxed(),
        nodes().prop_map(Message::Controllers).boxed(),
        nodes().prop_map(Message::GatewaySessions).boxed(),
        list(host()).prop_map(Message::HostUpdates).boxed(),
        list(heartbeat()).prop_map(Message::Heartbeats).boxed(),
        prop::collection::vec(any::<u64>(), 0..40)
            .prop_map(Message::HostDigests)
            .boxed(),
        prop::collection::vec(any::<u16>(), 0..40)
            .prop_map(Message::HostRangeRequest)
            .boxed(),
    ]
}

/// Messages of a gateway and its primary controller.
fn table_messages() -> Vec<BoxedStrategy<Message>> {
    let endpoints = || (text(), any::<u16>(), list(endpoint()));
    vec![
        any::<bool>().prop_map(Message::PrimarySelected).boxed(),
        (text(), any::<u16>())
            .prop_map(|(service, revision)| Message::TableApplied { service, revision })
            .boxed(),
        load_report().boxed(),
        any::<(bool, u32)>()
            .prop_map(|(is_synchronized, gateways)| Message::ControllerStatus {
                is_synchronized,
                gateways,
            })
            .boxed(),
        endpoints()
            .prop_map(|(service, revision, endpoints)| Message::TableReplacement {
                service,
                revision,
                endpoints,
            })
            .boxed(),
        endpoints()
            .prop_map(|(service, revision, endpoints)| Message::TableUpdate {
                service,
                revision,
                endpoints,
            })
            .boxed(),
        list(host()).prop_map(Message::HostStates).boxed(),
    ]
}

fn load_report() -> impl Strategy<Value = Message> {
    let counts = any::<(u32, u32, u32)>();
    (text(), counts).prop_map(
        |(service, (attempts, failures, interval_ms))| Message::LoadReport {
            service,
            attempts,
            failures,
            interval_ms,
        },
    )
}

/// Messages of ballots: what a majority of disks agrees on.
fn ballot_messages() -> Vec<BoxedStrategy<Message>> {
    vec![
        (epoch(), slot(), ballot(), prop::option::of(node()))
            .prop_map(|(epoch, slot, ballot, removed)| Message::Prepare {
                epoch,
                slot,
                ballot,
                removed,
            })
            .boxed(),
        (epoch(), slot(), ballot(), prop::option::of(proposal()))
            .prop_map(|(epoch, slot, ballot, accepted)| Message::Promise {
                epoch,
                slot,
                ballot,
                accepted,
            })
            .boxed(),
        (epoch(), slot(), proposal())
            .prop_map(|(epoch, slot, proposal)| Message::Accept {
                epoch,
                slot,
                proposal,
            })
            .boxed(),
        (epoch(), slot(), ballot())
            .prop_map(|(epoch, slot, promised)| Message::Reject {
                epoch,
                slot,
                promised,
            })
            .boxed(),
        replica_status().boxed(),
    ]
}

/// Messages of reads, and the configuration that they give.
fn configuration_messages() -> Vec<BoxedStrategy<Message>> {
    vec![
        (token(), epoch())
            .prop_map(|(token, epoch)| Message::ReadRequest { token, epoch })
            .boxed(),
        (token(), epoch(), any::<bool>(), version())
            .prop_map(
                |(token, epoch, is_voter, highest_accepted)| Message::ReadResponse {
                    token,
                    epoch,
                    is_voter,
                    highest_accepted,
                },
            )
            .boxed(),
        (version(), bytes())
            .prop_map(|(version, text)| Message::Configuration { version, text })
            .boxed(),
        version()
            .prop_map(|version| Message::CommittedVersion { version })
            .boxed(),
        version()
            .prop_map(|newer_than| Message::ConfigurationRequest { newer_than })
            .boxed(),
    ]
}

fn replica_status() -> impl Strategy<Value = Message> {
    let clocks = (timestamp(), timestamp());
    (clocks, epoch(), any::<bool>(), version(), list(vote())).prop_map(
        |((sent_at, echoed), epoch, is_voter, committed, votes)| Message::ReplicaStatus {
            sent_at,
            echoed,
            epoch,
            is_voter,
            committed,
            votes,
        },
    )
}

/// Messages of the voting set and of those that learn from it.
fn membership_messages() -> Vec<BoxedStrategy<Message>> {
    vec![
        (epoch(), nodes())
            .prop_map(|(epoch, members)| VotingSet { epoch, members })
            .prop_map(Message::VotingSet)
            .boxed(),
        (epoch(), prop::option::of(cursor()))
            .prop_map(|(epoch, after)| Message::SnapshotRequest { epoch, after })
            .boxed(),
        snapshot_chunk().prop_map(Message::SnapshotChunk).boxed(),
        epoch()
            .prop_map(|epoch| Message::LearnerInvitation { epoch })
            .boxed(),
        epoch()
            .prop_map(|epoch| Message::LearnerReady { epoch })
            .boxed(),
        Just(Message::ShuttingDown).boxed(),
    ]
}

/// Messages of operation keys.
fn claim_messages() -> Vec<BoxedStrategy<Message>> {
    vec![
        (epoch(), key(), claim())
            .prop_map(|(epoch, key, claim)| Message::ClaimRequest { epoch, key, claim })
            .boxed(),
        (key(), claim())
            .prop_map(|(key, claim)| Message::ClaimWithdrawal { key, claim })
            .boxed(),
        (epoch(), key(), claim(), verdict())
            .prop_map(|(epoch, key, claim, verdict)| Message::ClaimResponse {
                epoch,
                key,
                claim,
                verdict,
            })
            .boxed(),
        (token(), key(), claim())
            .prop_map(|(token, key, claim)| Message::OperationQuery { token, key, claim })
            .boxed(),
        (token(), operation_state())
            .prop_map(|(token, state)| Message::OperationReply { token, state })
            .boxed(),
    ]
}

/// A strategy for each kind of message.
pub fn strategies() -> Vec<BoxedStrategy<Message>> {
    [
        host_messages(),
        table_messages(),
        ballot_messages(),
        configuration_messages(),
        membership_messages(),
        claim_messages(),
    ]
    .concat()
}

/// Each kind of message as often as any other.
pub fn message() -> impl Strategy<Value = Message> {
    Union::new(strategies())
}

//! Strategies that generate messages of every kind.

mod values;

use proptest::prelude::*;
use proptest::strategy::Union;
use rushcourse_messages::{Message, RecoveryPoint, TenantCount, UsageCounts, VotingSet};
use rushcourse_types::{
    Generation, Incarnation, OperationKeys, ReplicaSequence, ResponseStoreId, WindowNumber,
};
use values::{
    alias, ballot, bytes, claim, cursor, duty_sequence, endpoint, epoch, handshake, heartbeat,
    host, key, list, millis, node, nodes, operation_state, proposal, shard_part, slot,
    snapshot_chunk, text, timestamp, token, verdict, version, vote,
};

/// Handshakes, pings, and messages about controllers, gateways and hosts.
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

/// Messages between a gateway and its primary controller about endpoint tables and load.
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

/// Paxos messages and replica reports.
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

/// Messages for reads and for the distribution of configurations.
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
        timestamp()
            .prop_map(|sent_at| Message::ConfigurationLeaseRequest { sent_at })
            .boxed(),
        (timestamp(), version(), millis())
            .prop_map(
                |(sent_at, version, age)| Message::ConfigurationLeaseResponse {
                    sent_at,
                    version,
                    age,
                },
            )
            .boxed(),
    ]
}

fn recovery_point() -> impl Strategy<Value = RecoveryPoint> {
    (any::<u64>(), cursor()).prop_map(|(generation, cursor)| RecoveryPoint {
        generation: Generation(generation),
        cursor,
    })
}

fn replica_status() -> impl Strategy<Value = Message> {
    let clocks = (timestamp(), timestamp());
    let generation = any::<u64>().prop_map(Generation);
    let disk = (
        any::<bool>(),
        generation,
        prop::option::of(recovery_point()),
    );
    let voter = (epoch(), any::<bool>());
    let decided = (version(), duty_sequence());
    (clocks, voter, disk, decided, list(vote())).prop_map(
        |(clocks, voter, disk, (committed, duty), votes)| Message::ReplicaStatus {
            sent_at: clocks.0,
            echoed: clocks.1,
            epoch: voter.0,
            is_voter: voter.1,
            is_disk_usable: disk.0,
            generation: disk.1,
            recovery_point: disk.2,
            committed,
            duty,
            votes,
        },
    )
}

/// Messages for voting set changes and for snapshots.
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

/// Messages for claims of operation keys and queries of operations.
fn claim_messages() -> Vec<BoxedStrategy<Message>> {
    vec![
        (epoch(), key(), alias(), claim())
            .prop_map(|(epoch, key, alias, claim)| Message::ClaimRequest {
                epoch,
                keys: OperationKeys { key, alias },
                claim,
            })
            .boxed(),
        (key(), claim())
            .prop_map(|(key, claim)| Message::ClaimWithdrawal { key, claim })
            .boxed(),
        (epoch(), any::<u64>(), verdict())
            .prop_map(|(epoch, claim_number, verdict)| Message::ClaimResponse {
                epoch,
                claim_number,
                verdict,
            })
            .boxed(),
        (token(), key(), claim(), any::<u32>())
            .prop_map(|(token, key, claim, offset)| Message::OperationQuery {
                token,
                key,
                claim,
                offset,
            })
            .boxed(),
        (token(), operation_state())
            .prop_map(|(token, state)| Message::OperationReply { token, state })
            .boxed(),
    ]
}

fn usage_counts() -> impl Strategy<Value = Message> {
    let count =
        (text(), any::<u32>()).prop_map(|(tenant, requests)| TenantCount { tenant, requests });
    let numbers = any::<(u64, u64, u64, bool)>();
    (node(), numbers, list(count)).prop_map(
        |(gateway, (incarnation, window, revision, has_ended), counts)| {
            Message::UsageCounts(UsageCounts {
                gateway,
                incarnation: Incarnation(incarnation),
                window: WindowNumber(window),
                revision,
                has_ended,
                counts,
            })
        },
    )
}

/// States of leaving hosts.
fn leaving_host_messages() -> Vec<BoxedStrategy<Message>> {
    vec![
        (token(), host())
            .prop_map(|(token, record)| Message::StoreLeavingHost { token, record })
            .boxed(),
        token()
            .prop_map(|token| Message::LeavingHostStored { token })
            .boxed(),
    ]
}

/// Shards of stored responses.
fn response_shard_messages() -> Vec<BoxedStrategy<Message>> {
    let sequence = || any::<u64>().prop_map(ReplicaSequence);
    vec![
        any::<u64>()
            .prop_map(|store| Message::ResponseStoreOpened {
                store: ResponseStoreId(store),
            })
            .boxed(),
        (sequence(), list(shard_part()))
            .prop_map(|(sequence, parts)| Message::ResponseShards { sequence, parts })
            .boxed(),
        list(sequence())
            .prop_map(|sequences| Message::ResponseShardsStored { sequences })
            .boxed(),
    ]
}

/// One strategy for each message kind.
pub fn strategies() -> Vec<BoxedStrategy<Message>> {
    [
        host_messages(),
        table_messages(),
        ballot_messages(),
        configuration_messages(),
        membership_messages(),
        claim_messages(),
        vec![usage_counts().boxed()],
        leaving_host_messages(),
        response_shard_messages(),
    ]
    .concat()
}

/// Generates messages of all kinds with equal probability.
pub fn message() -> impl Strategy<Value = Message> {
    Union::new(strategies())
}

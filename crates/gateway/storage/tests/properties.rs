//! What the file holds is what the ops say, in any order, over any number of starts.

mod common;

use common::batch;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rushcourse_consensus::{DurableState, PruneBounds, StoredClaim, WriteBatch, WriteOperation};
use rushcourse_messages::{
    AcceptorRecord, Ballot, ClaimId, HostRecord, HostState, Proposal, Slot, SlotRecord, VotingSet,
};
use rushcourse_storage::Store;
use rushcourse_types::{
    CallSequence, ConfigurationVersion, Epoch, Incarnation, KeyDigest, Millis, NodeId, WallTime,
};
use std::sync::Arc;

fn ballot() -> impl Strategy<Value = Ballot> {
    any::<(u64, u32, u64)>().prop_map(|(round, node, incarnation)| Ballot {
        round,
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
    })
}

/// Few slots, so that records are replaced and pruned; some at the ends of what a number can be.
fn slot() -> impl Strategy<Value = Slot> {
    let number = || prop_oneof![8 => 0u64..20, 1 => Just(u64::MAX), 1 => any::<u64>()];
    prop_oneof![
        number().prop_map(|n| Slot::VotingSet(Epoch(n))),
        number().prop_map(|n| Slot::Configuration(ConfigurationVersion(n)))
    ]
}

fn record() -> impl Strategy<Value = AcceptorRecord> {
    let value = prop::collection::vec(any::<u8>(), 0..600).prop_map(Arc::<[u8]>::from);
    let accepted = (ballot(), value).prop_map(|(ballot, value)| Proposal { ballot, value });
    (ballot(), prop::option::of(accepted), any::<bool>()).prop_map(
        |(promised, accepted, counts)| AcceptorRecord {
            promised,
            accepted,
            is_vote: counts,
        },
    )
}

fn op() -> impl Strategy<Value = WriteOperation> {
    let claim = (0u128..12, any::<u32>(), any::<u64>(), 0u64..5, any::<u64>()).prop_map(
        |(key, node, incarnation, number, at)| {
            WriteOperation::StoreClaim(StoredClaim {
                key: KeyDigest(key),
                id: ClaimId {
                    node: NodeId(node),
                    incarnation: Incarnation(incarnation),
                    number,
                },
                claimed_at: WallTime(at),
            })
        },
    );
    let prune = (0u64..20, 0u64..8).prop_map(|(versions_below, epochs_through)| {
        WriteOperation::PruneRecords(PruneBounds {
            versions_below: ConfigurationVersion(versions_below),
            epochs_through: Epoch(epochs_through),
        })
    });
    let state = prop_oneof![
        Just(HostState::Ready),
        Just(HostState::Draining),
        Just(HostState::Gone)
    ];
    let host = (0u8..6, state, any::<u64>()).prop_map(|(id, state, sequence)| {
        let word = |w: &str| Arc::<str>::from(w);
        let (service, zone, address) = (word("s"), word("z"), word("10.0.0.1:80"));
        let id = format!("i-{id}").into();
        WriteOperation::StoreHost(HostRecord {
            id,
            service,
            zone,
            address,
            slots: 4,
            state,
            sequence: CallSequence(sequence),
            warm_up: Millis(0),
            age: Millis(0),
        })
    });
    let set = (1u64..4, prop::collection::vec(any::<u32>(), 0..5)).prop_map(|(number, members)| {
        WriteOperation::StoreVotingSet(VotingSet {
            epoch: Epoch(number),
            members: members.into_iter().map(NodeId).collect(),
        })
    });
    prop_oneof![
        6 => claim,
        3 => (0u128..12).prop_map(|key| WriteOperation::RemoveClaim(KeyDigest(key))),
        4 => (slot(), record()).prop_map(|(slot, record)| WriteOperation::StoreRecord(SlotRecord { slot, record })),
        1 => prune,
        2 => host,
        1 => set,
        1 => Just(WriteOperation::MarkStateComplete),
        1 => Just(WriteOperation::MarkStateIncomplete),
    ]
}

fn sorted(mut stored: DurableState) -> DurableState {
    stored.claims.sort_by_key(|claim| claim.key);
    stored.hosts.sort_by(|a, b| a.id.cmp(&b.id));
    stored
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default()
    })]

    #[test]
    fn the_file_holds_what_was_written_over_any_number_of_starts(
        lives in prop::collection::vec(prop::collection::vec(prop::collection::vec(op(), 0..6), 0..5), 1..5)
    ) {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("controller.redb");
        let mut wanted = DurableState::default();
        for life in lives {
            let (mut store, found) = Store::open(&file).expect("its own file");
            prop_assert_eq!(format!("{:?}", sorted(found)), format!("{:?}", sorted(wanted.clone())));
            let batches: Vec<WriteBatch> = life.into_iter().enumerate().map(|(k, ops)| batch(k as u64, ops)).collect();
            store.write(&batches).expect("room");
            batches.into_iter().for_each(|batch| wanted.apply(batch.operations));
        }
        let (_, found) = Store::open(&file).expect("its own file");
        prop_assert_eq!(format!("{:?}", sorted(found)), format!("{:?}", sorted(wanted)));
    }
}

//! Property test: the restored state equals the applied operations, in any order and across restarts.

mod common;

use common::{StateFile, batch, host};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rushcourse_consensus::{DurableState, PruneBounds, StoredClaim, WriteBatch, WriteOperation};
use rushcourse_messages::{
    AcceptorRecord, Ballot, HostState, Proposal, Slot, SlotRecord, VotingSet,
};
use rushcourse_storage::Store;
use rushcourse_types::{
    ClaimId, ConfigurationVersion, DutySequence, Epoch, Incarnation, KeyAlias, KeyDigest, NodeId,
    WallTime,
};
use std::sync::Arc;

fn any_ballot() -> impl Strategy<Value = Ballot> {
    any::<(u64, u32, u64)>().prop_map(|(round, node, incarnation)| Ballot {
        round,
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
    })
}

/// A small range of slots, so that records are replaced and pruned, plus extreme numbers.
fn any_slot() -> impl Strategy<Value = Slot> {
    let number = || prop_oneof![8 => 0u64..20, 1 => Just(u64::MAX), 1 => any::<u64>()];
    prop_oneof![
        number().prop_map(|number| Slot::VotingSet(Epoch(number))),
        number().prop_map(|number| Slot::Configuration(ConfigurationVersion(number))),
        number().prop_map(|number| Slot::UsageDuty(DutySequence(number)))
    ]
}

fn any_record() -> impl Strategy<Value = AcceptorRecord> {
    let value = prop::collection::vec(any::<u8>(), 0..600).prop_map(Arc::<[u8]>::from);
    let accepted = (any_ballot(), value).prop_map(|(ballot, value)| Proposal { ballot, value });
    let accepted = prop::option::of(accepted);
    (any_ballot(), accepted, any::<bool>()).prop_map(|(promised, accepted, is_vote)| {
        AcceptorRecord {
            promised,
            accepted,
            is_vote,
        }
    })
}

/// A small range of keys, so that claims are replaced and removed.
fn any_claim() -> impl Strategy<Value = StoredClaim> {
    let id =
        (any::<u32>(), any::<u64>(), 0u64..5).prop_map(|(node, incarnation, number)| ClaimId {
            node: NodeId(node),
            incarnation: Incarnation(incarnation),
            number,
        });
    (0u128..12, any_alias(), id, any::<u64>()).prop_map(|(key, alias, id, claimed_at)| {
        StoredClaim {
            key: KeyDigest(key),
            alias,
            id,
            claimed_at: WallTime(claimed_at),
        }
    })
}

fn any_alias() -> impl Strategy<Value = Option<KeyAlias>> {
    let alias = any::<(u128, bool)>().prop_map(|(digest, is_shared)| KeyAlias {
        digest: KeyDigest(digest),
        is_shared,
    });
    prop::option::of(alias)
}

fn any_prune_bounds() -> impl Strategy<Value = PruneBounds> {
    (0u64..20, 0u64..8, 0u64..20).prop_map(|(versions_below, epochs_through, duties_below)| {
        PruneBounds {
            versions_below: ConfigurationVersion(versions_below),
            epochs_through: Epoch(epochs_through),
            duties_below: DutySequence(duties_below),
        }
    })
}

fn any_host_state() -> impl Strategy<Value = HostState> {
    prop_oneof![
        Just(HostState::Ready),
        Just(HostState::Draining),
        Just(HostState::Gone)
    ]
}

fn any_voting_set() -> impl Strategy<Value = VotingSet> {
    let members = prop::collection::vec(any::<u32>(), 0..5);
    (1u64..4, members).prop_map(|(epoch, members)| common::voting_set(epoch, &members))
}

fn any_operation() -> impl Strategy<Value = WriteOperation> {
    let host = (0u8..6, any_host_state(), any::<u64>())
        .prop_map(|(id, state, sequence)| host(&format!("i-{id}"), sequence, state));
    let record = (any_slot(), any_record());
    prop_oneof![
        6 => any_claim().prop_map(WriteOperation::StoreClaim),
        3 => (0u128..12).prop_map(|key| WriteOperation::RemoveClaim(KeyDigest(key))),
        4 => record.prop_map(|(slot, record)| WriteOperation::StoreRecord(SlotRecord { slot, record })),
        1 => any_prune_bounds().prop_map(WriteOperation::PruneRecords),
        2 => host.prop_map(WriteOperation::StoreHost),
        1 => (0u8..6).prop_map(|id| WriteOperation::RemoveHost(format!("i-{id}").into())),
        1 => any_voting_set().prop_map(WriteOperation::StoreVotingSet),
        1 => Just(WriteOperation::MarkStateComplete),
        1 => Just(WriteOperation::MarkStateIncomplete),
    ]
}

/// The batches written between two restarts.
fn any_run() -> impl Strategy<Value = Vec<Vec<WriteOperation>>> {
    prop::collection::vec(prop::collection::vec(any_operation(), 0..6), 0..5)
}

/// Debug text of a state with claims and hosts sorted, for comparison independent of their order in the file.
fn sorted_text(mut state: DurableState) -> String {
    state.claims.sort_by_key(|claim| claim.key);
    state.hosts.sort_by(|a, b| a.id.cmp(&b.id));
    format!("{state:?}")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default()
    })]

    #[test]
    fn written_state_is_restored_after_every_restart(runs in prop::collection::vec(any_run(), 1..5)) {
        let file = StateFile::new();
        let mut expected = DurableState::default();
        for run in runs {
            let (mut store, state) = Store::open(file.path()).expect("open the state file");
            prop_assert_eq!(sorted_text(state), sorted_text(expected.clone()));
            let batches: Vec<WriteBatch> = (0..).zip(run).map(|(number, run)| batch(number, run)).collect();
            store.write(&batches).expect("write succeeds");
            batches.into_iter().for_each(|batch| expected.apply(batch.operations));
        }
        let (_, state) = Store::open(file.path()).expect("open the state file");
        prop_assert_eq!(sorted_text(state), sorted_text(expected));
    }
}

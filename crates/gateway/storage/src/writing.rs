//! Writes to a state file: one transaction and one sync for all operations that are given.

use crate::claim_positions::ClaimPositions;
use crate::tables::{
    CLAIMS, ClaimRow, FORMAT, HOSTS, META, META_COMPLETE_STATE, META_FORMAT, META_GENERATION,
    META_VOTING_SET, VERSION_RECORDS, VOTING_SET_RECORDS, encode, record_key, row_of_claim,
};
use redb::{Database, Table, WriteTransaction};
use rushcourse_consensus::{PruneBounds, StoredClaim, WriteBatch, WriteOperation};
use rushcourse_messages::{HostRecord, HostState, Slot, SlotRecord};
use rushcourse_types::{ConfigurationVersion, Epoch, Generation, KeyDigest};

type ClaimTable<'t> = Table<'t, u64, ClaimRow>;

/// Any value: the key alone says that the replica has complete state.
const COMPLETE: &[u8] = &[1];

/// Makes an empty state file of the present format.
pub(crate) fn initialize(database: &Database) -> Result<(), redb::Error> {
    let writing = database.begin_write()?;
    mark_format(&writing)?;
    writing.open_table(VOTING_SET_RECORDS)?;
    writing.open_table(VERSION_RECORDS)?;
    writing.open_table(CLAIMS)?;
    writing.open_table(HOSTS)?;
    writing.commit()?;
    Ok(())
}

/// Marks the file as of the present format.
pub(crate) fn mark_format(writing: &WriteTransaction) -> Result<(), redb::Error> {
    store_meta(writing, META_FORMAT, &FORMAT.to_be_bytes())
}

/// Writes an acceptor's record in place of an earlier one of its slot.
pub(crate) fn store_record(
    writing: &WriteTransaction,
    stored: &SlotRecord,
) -> Result<(), redb::Error> {
    let (table, key) = record_key(stored.slot);
    let bytes = encode(&stored.record)?;
    writing.open_table(table)?.insert(key, bytes.as_slice())?;
    Ok(())
}

/// Writes the operations of all batches, together or not at all. Where this fails, `positions` no longer fit the file.
pub(crate) fn write(
    database: &Database,
    batches: &[WriteBatch],
    positions: &mut ClaimPositions,
) -> Result<(), redb::Error> {
    let writing = database.begin_write()?;
    // Most operations are claims: their table is opened once.
    let mut claims = writing.open_table(CLAIMS)?;
    for operation in batches.iter().flat_map(|batch| &batch.operations) {
        apply(&writing, &mut claims, operation, positions)?;
    }
    drop(claims);
    if let Some(generation) = highest_generation(batches) {
        store_meta(&writing, META_GENERATION, &generation.0.to_be_bytes())?;
    }
    writing.commit()?;
    Ok(())
}

/// The generation of the file once it holds these batches. Each batch has one; it is written once for all of them.
fn highest_generation(batches: &[WriteBatch]) -> Option<Generation> {
    let operations = batches.iter().flat_map(|batch| &batch.operations);
    let generations = operations.filter_map(|operation| match operation {
        WriteOperation::StoreGeneration(generation) => Some(*generation),
        _ => None,
    });
    generations.max()
}

fn apply(
    writing: &WriteTransaction,
    claims: &mut ClaimTable,
    operation: &WriteOperation,
    positions: &mut ClaimPositions,
) -> Result<(), redb::Error> {
    match operation {
        WriteOperation::StoreVotingSet(voting_set) => {
            store_meta(writing, META_VOTING_SET, &encode(voting_set)?)
        }
        WriteOperation::MarkStateComplete => store_meta(writing, META_COMPLETE_STATE, COMPLETE),
        WriteOperation::MarkStateIncomplete => remove_meta(writing, META_COMPLETE_STATE),
        // Of all batches together: `highest_generation`.
        WriteOperation::StoreGeneration(_) => Ok(()),
        WriteOperation::StoreRecord(stored) => store_record(writing, stored),
        WriteOperation::PruneRecords(bounds) => prune_records(writing, *bounds),
        WriteOperation::StoreClaim(claim) => store_claim(claims, claim, positions),
        WriteOperation::RemoveClaim(key) => remove_claim(claims, *key, positions),
        WriteOperation::StoreHost(host) => store_host(writing, host),
    }
}

fn store_meta(writing: &WriteTransaction, key: &str, value: &[u8]) -> Result<(), redb::Error> {
    writing.open_table(META)?.insert(key, value)?;
    Ok(())
}

fn remove_meta(writing: &WriteTransaction, key: &str) -> Result<(), redb::Error> {
    writing.open_table(META)?.remove(key)?;
    Ok(())
}

fn prune_records(writing: &WriteTransaction, bounds: PruneBounds) -> Result<(), redb::Error> {
    let is_kept = |slot: Slot| !bounds.contains(slot);
    writing
        .open_table(VOTING_SET_RECORDS)?
        .retain_in(..=bounds.epochs_through.0, |number, _| {
            is_kept(Slot::VotingSet(Epoch(number)))
        })?;
    writing
        .open_table(VERSION_RECORDS)?
        .retain_in(..bounds.versions_below.0, |number, _| {
            is_kept(Slot::Configuration(ConfigurationVersion(number)))
        })?;
    Ok(())
}

fn store_claim(
    claims: &mut ClaimTable,
    claim: &StoredClaim,
    positions: &mut ClaimPositions,
) -> Result<(), redb::Error> {
    let appended = positions.append(claim.key);
    claims.insert(appended.position, row_of_claim(claim))?;
    if let Some(replaced) = appended.replaced {
        claims.remove(replaced)?;
    }
    Ok(())
}

fn remove_claim(
    claims: &mut ClaimTable,
    key: KeyDigest,
    positions: &mut ClaimPositions,
) -> Result<(), redb::Error> {
    if let Some(position) = positions.remove(key) {
        claims.remove(position)?;
    }
    Ok(())
}

fn store_host(writing: &WriteTransaction, host: &HostRecord) -> Result<(), redb::Error> {
    let mut hosts = writing.open_table(HOSTS)?;
    if host.state == HostState::Gone {
        hosts.remove(&*host.id)?;
        return Ok(());
    }
    let bytes = encode(host)?;
    hosts.insert(&*host.id, bytes.as_slice())?;
    Ok(())
}

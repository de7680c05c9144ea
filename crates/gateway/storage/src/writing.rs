//! Applies write operations to the tables of a state file, in one transaction per call.

use crate::claim_positions::ClaimPositions;
use crate::claim_tables::ClaimTables;
use crate::tables::{
    CLAIMS, DUTY_RECORDS, FORMAT, HOSTS, META, META_COMPLETE_STATE, META_FORMAT, META_GENERATION,
    META_VOTING_SET, VERSION_RECORDS, VOTING_SET_RECORDS, encode, record_key,
};
use redb::{Database, WriteTransaction};
use rushcourse_consensus::{PruneBounds, WriteBatch, WriteOperation};
use rushcourse_messages::{HostRecord, Slot, SlotRecord};
use rushcourse_types::{ConfigurationVersion, DutySequence, Epoch, Generation};

/// Value stored under [`META_COMPLETE_STATE`]. Only the presence of the key is significant.
const COMPLETE: &[u8] = &[1];

/// Creates the tables of the current format in an empty database.
pub(crate) fn initialize(database: &Database) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    mark_format(&transaction)?;
    transaction.open_table(VOTING_SET_RECORDS)?;
    transaction.open_table(VERSION_RECORDS)?;
    transaction.open_table(CLAIMS)?;
    transaction.open_table(HOSTS)?;
    transaction.commit()?;
    Ok(())
}

/// Sets the format number of the file to [`FORMAT`].
pub(crate) fn mark_format(transaction: &WriteTransaction) -> Result<(), redb::Error> {
    store_meta(transaction, META_FORMAT, &FORMAT.to_be_bytes())
}

/// Stores an acceptor record, replacing the earlier record of the same slot.
pub(crate) fn store_record(
    transaction: &WriteTransaction,
    stored: &SlotRecord,
) -> Result<(), redb::Error> {
    let (table, key) = record_key(stored.slot);
    let bytes = encode(&stored.record)?;
    transaction
        .open_table(table)?
        .insert(key, bytes.as_slice())?;
    Ok(())
}

/// Commits the operations of all batches atomically. After an error, `positions` no longer match the file and must be
/// reloaded.
pub(crate) fn write(
    database: &Database,
    batches: &[WriteBatch],
    positions: &mut ClaimPositions,
) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    let mut claims = ClaimTables::open(&transaction)?;
    for operation in batches.iter().flat_map(|batch| &batch.operations) {
        apply(&transaction, &mut claims, operation, positions)?;
    }
    drop(claims);
    if let Some(generation) = highest_generation(batches) {
        store_meta(&transaction, META_GENERATION, &generation.0.to_be_bytes())?;
    }
    transaction.commit()?;
    Ok(())
}

/// Returns the highest generation in the batches, which is stored once per transaction; `None` if no batch has one.
fn highest_generation(batches: &[WriteBatch]) -> Option<Generation> {
    let operations = batches.iter().flat_map(|batch| &batch.operations);
    let generations = operations.filter_map(|operation| match operation {
        WriteOperation::StoreGeneration(generation) => Some(*generation),
        _ => None,
    });
    generations.max()
}

fn apply(
    transaction: &WriteTransaction,
    claims: &mut ClaimTables,
    operation: &WriteOperation,
    positions: &mut ClaimPositions,
) -> Result<(), redb::Error> {
    match operation {
        WriteOperation::StoreVotingSet(voting_set) => {
            store_meta(transaction, META_VOTING_SET, &encode(voting_set)?)
        }
        WriteOperation::MarkStateComplete => store_meta(transaction, META_COMPLETE_STATE, COMPLETE),
        WriteOperation::MarkStateIncomplete => remove_meta(transaction, META_COMPLETE_STATE),
        // `write` stores the highest generation of all batches.
        WriteOperation::StoreGeneration(_) => Ok(()),
        WriteOperation::StoreRecord(stored) => store_record(transaction, stored),
        WriteOperation::PruneRecords(bounds) => prune_records(transaction, *bounds),
        WriteOperation::StoreClaim(claim) => claims.store(claim, positions),
        WriteOperation::RemoveClaim(key) => claims.remove(*key, positions),
        WriteOperation::StoreHost(host) => store_host(transaction, host),
        WriteOperation::RemoveHost(id) => remove_host(transaction, id),
    }
}

fn store_meta(transaction: &WriteTransaction, key: &str, value: &[u8]) -> Result<(), redb::Error> {
    transaction.open_table(META)?.insert(key, value)?;
    Ok(())
}

fn remove_meta(transaction: &WriteTransaction, key: &str) -> Result<(), redb::Error> {
    transaction.open_table(META)?.remove(key)?;
    Ok(())
}

fn prune_records(transaction: &WriteTransaction, bounds: PruneBounds) -> Result<(), redb::Error> {
    let is_kept = |slot: Slot| !bounds.contains(slot);
    transaction
        .open_table(VOTING_SET_RECORDS)?
        .retain_in(..=bounds.epochs_through.0, |number, _| {
            is_kept(Slot::VotingSet(Epoch(number)))
        })?;
    transaction
        .open_table(VERSION_RECORDS)?
        .retain_in(..bounds.versions_below.0, |number, _| {
            is_kept(Slot::Configuration(ConfigurationVersion(number)))
        })?;
    // Opening the table would create it.
    if bounds.duties_below.is_none() {
        return Ok(());
    }
    transaction
        .open_table(DUTY_RECORDS)?
        .retain_in(..bounds.duties_below.0, |number, _| {
            is_kept(Slot::UsageDuty(DutySequence(number)))
        })?;
    Ok(())
}

fn store_host(transaction: &WriteTransaction, host: &HostRecord) -> Result<(), redb::Error> {
    let bytes = encode(host)?;
    transaction
        .open_table(HOSTS)?
        .insert(&*host.id, bytes.as_slice())?;
    Ok(())
}

fn remove_host(transaction: &WriteTransaction, id: &str) -> Result<(), redb::Error> {
    transaction.open_table(HOSTS)?.remove(id)?;
    Ok(())
}

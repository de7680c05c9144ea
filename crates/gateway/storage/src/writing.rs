//! Writes to a state file: one transaction and one sync for all operations that are given.

use crate::claims::ClaimPlaces;
use crate::tables::{
    CLAIMS, ClaimRow, FORMAT, HOSTS, META, META_FORMAT, META_REMEMBERS, META_SET, SET_RECORDS,
    VERSION_RECORDS, encode, record_place,
};
use redb::{Database, Table, WriteTransaction};
use rushcourse_consensus::{PruneBounds, StoredClaim, WriteOperation};
use rushcourse_messages::{AcceptorRecord, HostRecord, HostState, Slot, SlotRecord};
use rushcourse_types::{ConfigurationVersion, Epoch, KeyDigest};

type ClaimTable<'t> = Table<'t, u64, ClaimRow>;

/// Any value: the key alone says that the replica remembers.
const REMEMBERS: &[u8] = &[1];

/// Makes an empty state file of the present form.
pub(crate) fn begin(database: &Database) -> Result<(), redb::Error> {
    let writing = database.begin_write()?;
    mark_format(&writing)?;
    writing.open_table(SET_RECORDS)?;
    writing.open_table(VERSION_RECORDS)?;
    writing.open_table(CLAIMS)?;
    writing.open_table(HOSTS)?;
    writing.commit()?;
    Ok(())
}

/// Marks the file as of the present form.
pub(crate) fn mark_format(writing: &WriteTransaction) -> Result<(), redb::Error> {
    put_meta(writing, META_FORMAT, &FORMAT.to_be_bytes())
}

/// Writes an acceptor's record in place of an earlier one of its slot.
pub(crate) fn put_record(
    writing: &WriteTransaction,
    slot: Slot,
    record: &AcceptorRecord,
) -> Result<(), redb::Error> {
    let (table, number) = record_place(slot);
    let bytes = encode(record)?;
    writing
        .open_table(table)?
        .insert(number, bytes.as_slice())?;
    Ok(())
}

/// Writes the operations of all batches, together or not at all. `places` is spoilt where this fails.
pub(crate) fn write(
    database: &Database,
    batches: &[(u64, Vec<WriteOperation>)],
    places: &mut ClaimPlaces,
) -> Result<(), redb::Error> {
    let writing = database.begin_write()?;
    // Most operations are claims: their table is opened once.
    let mut claims = writing.open_table(CLAIMS)?;
    for op in batches.iter().flat_map(|b| &b.1) {
        apply(&writing, &mut claims, op, places)?;
    }
    drop(claims);
    writing.commit()?;
    Ok(())
}

fn apply(
    writing: &WriteTransaction,
    claims: &mut ClaimTable,
    op: &WriteOperation,
    places: &mut ClaimPlaces,
) -> Result<(), redb::Error> {
    match op {
        WriteOperation::StoreVotingSet(set) => put_meta(writing, META_SET, &encode(set)?),
        WriteOperation::MarkStateComplete => put_meta(writing, META_REMEMBERS, REMEMBERS),
        WriteOperation::MarkStateIncomplete => remove_meta(writing, META_REMEMBERS),
        WriteOperation::StoreRecord(SlotRecord { slot, record }) => {
            put_record(writing, *slot, record)
        }
        WriteOperation::PruneRecords(bounds) => prune(writing, *bounds),
        WriteOperation::StoreClaim(claim) => put_claim(claims, claim, places),
        WriteOperation::RemoveClaim(key) => remove_claim(claims, *key, places),
        WriteOperation::StoreHost(news) => put_host(writing, news),
    }
}

fn put_meta(writing: &WriteTransaction, key: &str, value: &[u8]) -> Result<(), redb::Error> {
    writing.open_table(META)?.insert(key, value)?;
    Ok(())
}

fn remove_meta(writing: &WriteTransaction, key: &str) -> Result<(), redb::Error> {
    writing.open_table(META)?.remove(key)?;
    Ok(())
}

fn prune(writing: &WriteTransaction, bounds: PruneBounds) -> Result<(), redb::Error> {
    let is_kept = |slot: Slot| !bounds.contains(slot);
    writing
        .open_table(SET_RECORDS)?
        .retain_in(..=bounds.epochs_through.0, |number, _| {
            is_kept(Slot::VotingSet(Epoch(number)))
        })?;
    writing
        .open_table(VERSION_RECORDS)?
        .retain_in(..bounds.versions_below.0, |version, _| {
            is_kept(Slot::Configuration(ConfigurationVersion(version)))
        })?;
    Ok(())
}

fn put_claim(
    claims: &mut ClaimTable,
    claim: &StoredClaim,
    places: &mut ClaimPlaces,
) -> Result<(), redb::Error> {
    let (place, earlier) = places.add(claim.key);
    let id = claim.id;
    claims.insert(
        place,
        (
            claim.key.0,
            id.node.0,
            id.incarnation.0,
            id.number,
            claim.claimed_at.0,
        ),
    )?;
    if let Some(earlier) = earlier {
        claims.remove(earlier)?;
    }
    Ok(())
}

fn remove_claim(
    claims: &mut ClaimTable,
    key: KeyDigest,
    places: &mut ClaimPlaces,
) -> Result<(), redb::Error> {
    if let Some(place) = places.remove(key) {
        claims.remove(place)?;
    }
    Ok(())
}

fn put_host(writing: &WriteTransaction, news: &HostRecord) -> Result<(), redb::Error> {
    let mut hosts = writing.open_table(HOSTS)?;
    if news.state == HostState::Gone {
        hosts.remove(&*news.id)?;
        return Ok(());
    }
    let bytes = encode(news)?;
    hosts.insert(&*news.id, bytes.as_slice())?;
    Ok(())
}

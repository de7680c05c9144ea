//! Reads a state file whole.

use crate::claims::ClaimPlaces;
use crate::tables::{
    CLAIMS, HOSTS, META, META_FORMAT, META_REMEMBERS, META_SET, RecordTable, SET_RECORDS,
    VERSION_RECORDS, decode,
};
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable, TableError};
use rushcourse_consensus::{DurableState, StoredClaim};
use rushcourse_messages::{Slot, SlotRecord};
use rushcourse_types::{
    ClaimId, ConfigurationVersion, Epoch, Incarnation, KeyDigest, NodeId, WallTime,
};

/// What a file holds.
#[derive(Debug, Default)]
pub(crate) struct Contents {
    pub stored: DurableState,
    pub places: ClaimPlaces,
}

/// The form of a file; none if it was never written to.
pub(crate) fn format(database: &Database) -> Result<Option<u64>, redb::Error> {
    let meta = match database.begin_read()?.open_table(META) {
        Ok(meta) => meta,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(e) => return Err(e.into()),
    };
    let number = |bytes: &[u8]| bytes.try_into().map(u64::from_be_bytes).unwrap_or(0);
    Ok(meta.get(META_FORMAT)?.map(|v| number(v.value())))
}

/// All that a file of the present form holds.
pub(crate) fn contents(database: &Database) -> Result<Contents, redb::Error> {
    let reading = database.begin_read()?;
    let mut contents = all_but_records(&reading)?;
    let records = &mut contents.stored.records;
    read_records(
        &reading,
        SET_RECORDS,
        |n| Slot::VotingSet(Epoch(n)),
        records,
    )?;
    read_records(
        &reading,
        VERSION_RECORDS,
        |n| Slot::Configuration(ConfigurationVersion(n)),
        records,
    )?;
    Ok(contents)
}

/// What stands in the same tables in this form of the file and in the one before.
pub(crate) fn all_but_records(reading: &ReadTransaction) -> Result<Contents, redb::Error> {
    let mut contents = Contents::default();
    read_meta(reading, &mut contents.stored)?;
    read_claims(reading, &mut contents)?;
    read_hosts(reading, &mut contents.stored)?;
    Ok(contents)
}

fn read_meta(reading: &ReadTransaction, stored: &mut DurableState) -> Result<(), redb::Error> {
    let meta = reading.open_table(META)?;
    stored.has_complete_state = meta.get(META_REMEMBERS)?.is_some();
    if let Some(set) = meta.get(META_SET)? {
        stored.voting_set = decode(set.value(), "voting set")?;
    }
    Ok(())
}

fn read_records(
    reading: &ReadTransaction,
    table: RecordTable,
    slot: impl Fn(u64) -> Slot,
    records: &mut Vec<SlotRecord>,
) -> Result<(), redb::Error> {
    for entry in reading.open_table(table)?.iter()? {
        let (number, bytes) = entry?;
        // A record that can't be read may be a promise or a vote: without it this replica must not vote.
        let record = decode(bytes.value(), "acceptor's record")?;
        records.push(SlotRecord {
            slot: slot(number.value()),
            record,
        });
    }
    Ok(())
}

fn read_claims(reading: &ReadTransaction, contents: &mut Contents) -> Result<(), redb::Error> {
    for entry in reading.open_table(CLAIMS)?.iter()? {
        let (place, value) = entry?;
        let (key, node, incarnation, number, at) = value.value();
        let id = ClaimId {
            node: NodeId(node),
            incarnation: Incarnation(incarnation),
            number,
        };
        contents.stored.claims.push(StoredClaim {
            key: KeyDigest(key),
            id,
            claimed_at: WallTime(at),
        });
        contents.places.found(KeyDigest(key), place.value());
    }
    Ok(())
}

fn read_hosts(reading: &ReadTransaction, stored: &mut DurableState) -> Result<(), redb::Error> {
    for entry in reading.open_table(HOSTS)?.iter()? {
        // A record that can't be read is a host that calls again soon.
        stored
            .hosts
            .extend(postcard::from_bytes(entry?.1.value()).ok());
    }
    Ok(())
}

//! Reads a state file whole.

use crate::claim_positions::ClaimPositions;
use crate::tables::{
    CLAIMS, HOSTS, META, META_COMPLETE_STATE, META_FORMAT, META_GENERATION, META_VOTING_SET,
    RecordTable, VERSION_RECORDS, VOTING_SET_RECORDS, claim_of_row, decode,
};
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable, TableError};
use rushcourse_consensus::DurableState;
use rushcourse_messages::{Slot, SlotRecord};
use rushcourse_types::{ConfigurationVersion, Epoch, Generation};

/// What a file holds.
#[derive(Debug, Default)]
pub(crate) struct Contents {
    pub(crate) state: DurableState,
    pub(crate) claim_positions: ClaimPositions,
}

/// The format of a file; `None` if it was never written to.
pub(crate) fn read_format(database: &Database) -> Result<Option<u64>, redb::Error> {
    let meta = match database.begin_read()?.open_table(META) {
        Ok(meta) => meta,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    Ok(meta
        .get(META_FORMAT)?
        .map(|value| number(value.value()).unwrap_or(0)))
}

/// The number that eight bytes are.
fn number(bytes: &[u8]) -> Option<u64> {
    bytes.try_into().map(u64::from_be_bytes).ok()
}

/// All that a file of the present format holds.
pub(crate) fn read_contents(database: &Database) -> Result<Contents, redb::Error> {
    let reading = database.begin_read()?;
    let mut contents = read_all_but_records(&reading)?;
    let records = &mut contents.state.records;
    read_records(&reading, VOTING_SET_RECORDS, records, |number| {
        Slot::VotingSet(Epoch(number))
    })?;
    read_records(&reading, VERSION_RECORDS, records, |number| {
        Slot::Configuration(ConfigurationVersion(number))
    })?;
    Ok(contents)
}

/// What stands in the same tables in this format and in the one before.
pub(crate) fn read_all_but_records(reading: &ReadTransaction) -> Result<Contents, redb::Error> {
    let mut contents = Contents::default();
    read_meta(reading, &mut contents.state)?;
    read_claims(reading, &mut contents)?;
    read_hosts(reading, &mut contents.state)?;
    Ok(contents)
}

fn read_meta(reading: &ReadTransaction, state: &mut DurableState) -> Result<(), redb::Error> {
    let meta = reading.open_table(META)?;
    state.has_complete_state = meta.get(META_COMPLETE_STATE)?.is_some();
    if let Some(generation) = meta.get(META_GENERATION)? {
        let corrupted = || redb::Error::Corrupted("generation: not eight bytes".into());
        state.generation = Generation(number(generation.value()).ok_or_else(corrupted)?);
    }
    if let Some(voting_set) = meta.get(META_VOTING_SET)? {
        state.voting_set = decode(voting_set.value(), "voting set")?;
    }
    Ok(())
}

fn read_records(
    reading: &ReadTransaction,
    table: RecordTable,
    records: &mut Vec<SlotRecord>,
    slot: impl Fn(u64) -> Slot,
) -> Result<(), redb::Error> {
    for entry in reading.open_table(table)?.iter()? {
        let (number, bytes) = entry?;
        // A record that can't be read may be a promise or a vote: without it this replica must not vote.
        let record = decode(bytes.value(), "acceptor's record")?;
        let slot = slot(number.value());
        records.push(SlotRecord { slot, record });
    }
    Ok(())
}

fn read_claims(reading: &ReadTransaction, contents: &mut Contents) -> Result<(), redb::Error> {
    for entry in reading.open_table(CLAIMS)?.iter()? {
        let (position, row) = entry?;
        let claim = claim_of_row(row.value());
        contents
            .claim_positions
            .add_stored(claim.key, position.value());
        contents.state.claims.push(claim);
    }
    Ok(())
}

fn read_hosts(reading: &ReadTransaction, state: &mut DurableState) -> Result<(), redb::Error> {
    for entry in reading.open_table(HOSTS)?.iter()? {
        // A record that can't be read is of a host that calls again soon.
        let host = postcard::from_bytes(entry?.1.value());
        state.hosts.extend(host.ok());
    }
    Ok(())
}

//! Loads the complete contents of a state file.

use crate::claim_positions::{ClaimPosition, ClaimPositions};
use crate::tables::{
    CLAIM_ALIASES, CLAIMS, DUTY_RECORDS, HOSTS, META, META_COMPLETE_STATE, META_FORMAT,
    META_GENERATION, META_VOTING_SET, RecordTable, VERSION_RECORDS, VOTING_SET_RECORDS,
    alias_from_row, claim_from_row, decode,
};
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable, TableError, TableHandle};
use rushcourse_consensus::DurableState;
use rushcourse_messages::{Slot, SlotRecord};
use rushcourse_types::{ConfigurationVersion, DutySequence, Epoch, Generation};

/// The durable state loaded from a file, with the table positions of its claims.
#[derive(Debug, Default)]
pub(crate) struct Contents {
    pub(crate) state: DurableState,
    pub(crate) claim_positions: ClaimPositions,
}

/// Reads the format number of a file; `None` if the file has none, 0 if the number can't be decoded.
pub(crate) fn read_format(database: &Database) -> Result<Option<u64>, redb::Error> {
    let meta = match database.begin_read()?.open_table(META) {
        Ok(meta) => meta,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    Ok(meta
        .get(META_FORMAT)?
        .map(|value| parse_u64(value.value()).unwrap_or(0)))
}

/// Decodes a big-endian number; `None` unless there are exactly eight bytes.
fn parse_u64(bytes: &[u8]) -> Option<u64> {
    bytes.try_into().map(u64::from_be_bytes).ok()
}

/// Reads all tables of a file that has the current format.
pub(crate) fn read_contents(database: &Database) -> Result<Contents, redb::Error> {
    let transaction = database.begin_read()?;
    let mut contents = read_all_but_records(&transaction)?;
    let records = &mut contents.state.records;
    read_records(&transaction, VOTING_SET_RECORDS, records, |number| {
        Slot::VotingSet(Epoch(number))
    })?;
    read_records(&transaction, VERSION_RECORDS, records, |number| {
        Slot::Configuration(ConfigurationVersion(number))
    })?;
    read_records(&transaction, DUTY_RECORDS, records, |number| {
        Slot::UsageDuty(DutySequence(number))
    })?;
    Ok(contents)
}

/// Reads the tables that formats 1 and 2 have in common: metadata, claims and hosts.
pub(crate) fn read_all_but_records(transaction: &ReadTransaction) -> Result<Contents, redb::Error> {
    let mut contents = Contents::default();
    read_meta(transaction, &mut contents.state)?;
    read_claims(transaction, &mut contents)?;
    read_hosts(transaction, &mut contents.state)?;
    Ok(contents)
}

fn read_meta(transaction: &ReadTransaction, state: &mut DurableState) -> Result<(), redb::Error> {
    let meta = transaction.open_table(META)?;
    state.has_complete_state = meta.get(META_COMPLETE_STATE)?.is_some();
    if let Some(generation) = meta.get(META_GENERATION)? {
        let corrupted = || redb::Error::Corrupted("generation: expected eight bytes".into());
        state.generation = Generation(parse_u64(generation.value()).ok_or_else(corrupted)?);
    }
    if let Some(voting_set) = meta.get(META_VOTING_SET)? {
        state.voting_set = decode(voting_set.value(), "voting set")?;
    }
    Ok(())
}

fn read_records(
    transaction: &ReadTransaction,
    table: RecordTable,
    records: &mut Vec<SlotRecord>,
    slot: impl Fn(u64) -> Slot,
) -> Result<(), redb::Error> {
    let table = match transaction.open_table(table) {
        Err(TableError::TableDoesNotExist(name)) if name == DUTY_RECORDS.name() => return Ok(()),
        table => table?,
    };
    for entry in table.iter()? {
        let (number, bytes) = entry?;
        // A damaged record may hold a promise or a vote. Skipping it could make this replica vote twice, so loading
        // fails.
        let record = decode(bytes.value(), "acceptor record")?;
        let slot = slot(number.value());
        records.push(SlotRecord { slot, record });
    }
    Ok(())
}

fn read_claims(transaction: &ReadTransaction, contents: &mut Contents) -> Result<(), redb::Error> {
    let aliases = match transaction.open_table(CLAIM_ALIASES) {
        Err(TableError::TableDoesNotExist(_)) => None,
        table => Some(table?),
    };
    for entry in transaction.open_table(CLAIMS)?.iter()? {
        let (position, row) = entry?;
        let mut claim = claim_from_row(row.value());
        if let Some(aliases) = &aliases {
            let row = aliases.get(position.value())?;
            claim.alias = row.and_then(|row| alias_from_row(claim.key, row.value()));
        }
        let position = ClaimPosition {
            number: position.value(),
            has_alias: claim.alias.is_some(),
        };
        contents.claim_positions.add_stored(claim.key, position);
        contents.state.claims.push(claim);
    }
    Ok(())
}

fn read_hosts(transaction: &ReadTransaction, state: &mut DurableState) -> Result<(), redb::Error> {
    for entry in transaction.open_table(HOSTS)?.iter()? {
        // Damaged host records are skipped: the host registers again with its next heartbeat.
        let host = postcard::from_bytes(entry?.1.value());
        state.hosts.extend(host.ok());
    }
    Ok(())
}

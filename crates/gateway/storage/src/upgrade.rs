//! Turns a file of format 1 into one of the present format, in one transaction: power that is lost meanwhile leaves the
//! one or the other.
//!
//! Format 1 had no ballots: a disk kept the text of its newest version. That text becomes a vote for its version under a
//! ballot of round 0, which is below all that are proposed since. The ballot is made of the text: two disks that hold the
//! same text cast one vote, two texts under one number stand under different ballots.

use crate::reading::read_all_but_records;
use crate::tables::{FORMAT, VERSION_RECORDS, VOTING_SET_RECORDS};
use crate::writing::{mark_format, store_record};
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition};
use rushcourse_messages::{AcceptorRecord, Ballot, Proposal, Slot, SlotRecord};
use rushcourse_types::hash::hash64;
use rushcourse_types::{ConfigurationVersion, Incarnation, NodeId};
use std::sync::Arc;

/// The format that is upgraded. It has the tables `meta`, `claims` and `hosts` as now, and `CONFIGURATIONS`.
pub(crate) const PREVIOUS_FORMAT: u64 = 1;

/// Texts by their versions; the highest one counts.
const CONFIGURATIONS: TableDefinition<u64, &[u8]> = TableDefinition::new("configurations");

/// Seed of the digest of a text, as the programs of format 1 used it between each other. Disks must agree, so it never
/// changes.
const DIGEST_SEED: u64 = 13;

/// A configuration as format 1 held it.
pub(crate) struct PreviousConfiguration {
    version: ConfigurationVersion,
    text: Arc<[u8]>,
}

/// The newest configuration of a file of format 1. All else is read as well, so that a damaged file is found before it
/// is changed.
pub(crate) fn read_previous(
    database: &Database,
) -> Result<Option<PreviousConfiguration>, redb::Error> {
    let reading = database.begin_read()?;
    read_all_but_records(&reading)?;
    newest_configuration(&reading)
}

fn newest_configuration(
    reading: &ReadTransaction,
) -> Result<Option<PreviousConfiguration>, redb::Error> {
    let table = reading.open_table(CONFIGURATIONS)?;
    let newest = table.last()?;
    Ok(newest.map(|(version, text)| PreviousConfiguration {
        version: ConfigurationVersion(version.value()),
        text: text.value().into(),
    }))
}

/// Writes the present format in place of format 1.
pub(crate) fn upgrade(
    database: &Database,
    newest: Option<PreviousConfiguration>,
) -> Result<(), redb::Error> {
    let version = newest
        .as_ref()
        .map_or(ConfigurationVersion::NONE, |newest| newest.version);
    let writing = database.begin_write()?;
    writing.open_table(VOTING_SET_RECORDS)?;
    writing.open_table(VERSION_RECORDS)?;
    if let Some(newest) = newest {
        store_record(&writing, &vote_for(newest))?;
    }
    writing.delete_table(CONFIGURATIONS)?;
    mark_format(&writing)?;
    writing.commit()?;
    log::info!(
        "event=state_file_upgraded from={PREVIOUS_FORMAT} to={FORMAT} configuration={version}"
    );
    Ok(())
}

/// A vote for a text that was written without a ballot.
fn vote_for(configuration: PreviousConfiguration) -> SlotRecord {
    let digest = hash64(&configuration.text, DIGEST_SEED);
    let ballot = Ballot {
        round: 0,
        node: NodeId(0),
        incarnation: Incarnation(digest),
    };
    SlotRecord {
        slot: Slot::Configuration(configuration.version),
        record: AcceptorRecord {
            promised: ballot,
            accepted: Some(Proposal {
                ballot,
                value: configuration.text,
            }),
            is_vote: true,
        },
    }
}

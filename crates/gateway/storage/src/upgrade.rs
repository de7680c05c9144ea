//! Upgrades a file of format 1 to the current format in one transaction, so that a power loss leaves one format or the
//! other.
//!
//! Format 1 has no ballots; it stores configuration texts by version. The newest text becomes a vote for its version
//! under a ballot of round 0, which is lower than any ballot proposed later. The ballot contains a digest of the text:
//! replicas that hold the same text vote under the same ballot, and different texts of one version get different
//! ballots.

use crate::reading::read_all_but_records;
use crate::tables::{FORMAT, VERSION_RECORDS, VOTING_SET_RECORDS};
use crate::writing::{mark_format, store_record};
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition};
use rushcourse_messages::{AcceptorRecord, Ballot, Proposal, Slot, SlotRecord};
use rushcourse_types::hash::hash64;
use rushcourse_types::{ConfigurationVersion, Incarnation, NodeId};
use std::sync::Arc;

/// The only format that can be upgraded. Its tables `meta`, `claims` and `hosts` are the same as in the current format;
/// configurations are stored in `CONFIGURATIONS`.
pub(crate) const PREVIOUS_FORMAT: u64 = 1;

/// Configuration texts of format 1, keyed by version. Only the highest version is in use.
const CONFIGURATIONS: TableDefinition<u64, &[u8]> = TableDefinition::new("configurations");

/// Seed of the configuration digest. All replicas must derive the same ballot from the same text, so it never changes.
const DIGEST_SEED: u64 = 13;

/// A configuration stored in format 1.
pub(crate) struct PreviousConfiguration {
    version: ConfigurationVersion,
    text: Arc<[u8]>,
}

/// Reads the newest configuration of a file of format 1. The other tables are read as well, so that a damaged file is
/// rejected before anything is changed.
pub(crate) fn read_previous(
    database: &Database,
) -> Result<Option<PreviousConfiguration>, redb::Error> {
    let transaction = database.begin_read()?;
    read_all_but_records(&transaction)?;
    newest_configuration(&transaction)
}

fn newest_configuration(
    transaction: &ReadTransaction,
) -> Result<Option<PreviousConfiguration>, redb::Error> {
    let table = transaction.open_table(CONFIGURATIONS)?;
    let newest = table.last()?;
    Ok(newest.map(|(version, text)| PreviousConfiguration {
        version: ConfigurationVersion(version.value()),
        text: text.value().into(),
    }))
}

/// Replaces format 1 by the current format in one transaction.
pub(crate) fn upgrade(
    database: &Database,
    newest: Option<PreviousConfiguration>,
) -> Result<(), redb::Error> {
    let version = newest
        .as_ref()
        .map_or(ConfigurationVersion::NONE, |newest| newest.version);
    let transaction = database.begin_write()?;
    transaction.open_table(VOTING_SET_RECORDS)?;
    transaction.open_table(VERSION_RECORDS)?;
    if let Some(newest) = newest {
        store_record(&transaction, &vote_for(newest))?;
    }
    transaction.delete_table(CONFIGURATIONS)?;
    mark_format(&transaction)?;
    transaction.commit()?;
    log::info!(
        "event=state_file_upgraded from={PREVIOUS_FORMAT} to={FORMAT} configuration={version}"
    );
    Ok(())
}

/// Builds the vote that represents a configuration of format 1.
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

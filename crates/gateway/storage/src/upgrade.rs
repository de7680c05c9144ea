//! Turns a file of form 1 into one of the present form, in one transaction: power that is lost meanwhile leaves the one
//! or the other.
//!
//! Form 1 had no ballots: a disk kept the text of its newest version. That text becomes a vote for its version under a
//! ballot of round 0, which is below all that are proposed since. The ballot is made of the text: two disks that hold the
//! same text cast one vote, two texts under one number stand under different ballots.

use crate::reading::all_but_records;
use crate::tables::{FORMAT, SET_RECORDS, VERSION_RECORDS};
use crate::writing::{mark_format, put_record};
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition};
use rushcourse_messages::{AcceptorRecord, Ballot, Proposal, Slot};
use rushcourse_types::hash::hash64;
use rushcourse_types::{ConfigurationVersion, NodeId};
use std::sync::Arc;

/// The form that is upgraded. It has the tables `meta`, `claims` and `hosts` as now, and `CONFIGURATIONS`.
pub(crate) const EARLIER: u64 = 1;

/// Texts by their versions; the highest one counts.
const CONFIGURATIONS: TableDefinition<u64, &[u8]> = TableDefinition::new("configurations");

/// Seed of the digest of a text, as form 1's programs used it between each other.
const DIGEST_SEED: u64 = 13;

/// A version of the configuration and its text.
type Configuration = (u64, Arc<[u8]>);

/// What form 1 said by tables of its own. All else is read as well, so that a damaged file is found before it is changed.
pub(crate) fn read_earlier(database: &Database) -> Result<Option<Configuration>, redb::Error> {
    let reading = database.begin_read()?;
    all_but_records(&reading)?;
    newest_configuration(&reading)
}

fn newest_configuration(reading: &ReadTransaction) -> Result<Option<Configuration>, redb::Error> {
    let table = reading.open_table(CONFIGURATIONS)?;
    let newest = table.last()?;
    Ok(newest.map(|(version, text)| (version.value(), Arc::from(text.value()))))
}

/// Writes the present form in place of form 1.
pub(crate) fn upgrade(
    database: &Database,
    newest: Option<Configuration>,
) -> Result<(), redb::Error> {
    let version = newest.as_ref().map_or(0, |c| c.0);
    let writing = database.begin_write()?;
    writing.open_table(SET_RECORDS)?;
    writing.open_table(VERSION_RECORDS)?;
    if let Some((version, text)) = newest {
        put_record(
            &writing,
            Slot::Configuration(ConfigurationVersion(version)),
            &vote_for(text),
        )?;
    }
    writing.delete_table(CONFIGURATIONS)?;
    mark_format(&writing)?;
    writing.commit()?;
    log::info!("event=state_file_upgraded from={EARLIER} to={FORMAT} configuration={version}");
    Ok(())
}

/// A vote for a text that was written without a ballot.
fn vote_for(text: Arc<[u8]>) -> AcceptorRecord {
    let life = hash64(&text, DIGEST_SEED);
    let ballot = Ballot {
        round: 0,
        node: NodeId(0),
        incarnation: rushcourse_types::Incarnation(life),
    };
    AcceptorRecord {
        promised: ballot,
        accepted: Some(Proposal {
            ballot,
            value: text,
        }),
        is_vote: true,
    }
}

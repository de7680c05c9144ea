//! The tables of the state file, and how single values stand in them.

use redb::TableDefinition;
use rushcourse_messages::Slot;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The form of the file as a whole. Earlier forms are upgraded at opening; a file of any other form is not touched.
pub(crate) const FORMAT: u64 = 2;

/// Single values by the keys below.
pub(crate) const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The file's form, eight bytes big-endian.
pub(crate) const META_FORMAT: &str = "format";
/// The voting set in postcard's form.
pub(crate) const META_SET: &str = "set";
/// There while the replica holds what a voter of its set has to hold.
pub(crate) const META_REMEMBERS: &str = "remembers";

/// A table of acceptor's records by the numbers of their slots, in postcard's form.
pub(crate) type RecordTable = TableDefinition<'static, u64, &'static [u8]>;
/// Records of slots `Slot::VotingSet`.
pub(crate) const SET_RECORDS: RecordTable = TableDefinition::new("set_records");
/// Records of slots `Slot::Configuration`.
pub(crate) const VERSION_RECORDS: RecordTable = TableDefinition::new("version_records");

/// A claim: key, node, incarnation, number, time of day.
pub(crate) type ClaimRow = (u128, u32, u64, u64, u64);
/// Claims by their places in the order of coming.
pub(crate) const CLAIMS: TableDefinition<u64, ClaimRow> = TableDefinition::new("claims");

/// Lives of hosts by their ids, in postcard's form.
pub(crate) const HOSTS: TableDefinition<&str, &[u8]> = TableDefinition::new("hosts");

/// The table that holds a slot's record, and the record's key there.
pub(crate) fn record_place(slot: Slot) -> (RecordTable, u64) {
    match slot {
        Slot::VotingSet(number) => (SET_RECORDS, number.0),
        Slot::Configuration(version) => (VERSION_RECORDS, version.0),
    }
}

/// A value as it stands in a table.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, redb::Error> {
    postcard::to_allocvec(value).map_err(|e| redb::Error::Io(std::io::Error::other(e)))
}

/// The value that these bytes are, all of them. `what` names it for the error.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8], what: &str) -> Result<T, redb::Error> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(redb::Error::Corrupted(format!(
            "{what}: {} bytes left over",
            rest.len()
        ))),
        Err(e) => Err(redb::Error::Corrupted(format!("{what}: {e}"))),
    }
}

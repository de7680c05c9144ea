//! The tables of the state file, and how single values stand in them. Names and bytes are those of files on disks.

use redb::TableDefinition;
use rushcourse_consensus::StoredClaim;
use rushcourse_messages::Slot;
use rushcourse_types::{ClaimId, Incarnation, KeyDigest, NodeId, WallTime};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The format of the file as a whole. The one before is upgraded at opening; a file of any other format is not touched.
pub(crate) const FORMAT: u64 = 2;

/// Single values by the keys below.
pub(crate) const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The file's format, eight bytes big-endian.
pub(crate) const META_FORMAT: &str = "format";
/// The voting set in postcard's form.
pub(crate) const META_VOTING_SET: &str = "set";
/// The file's generation, eight bytes big-endian; files of programs before it was counted have none.
pub(crate) const META_GENERATION: &str = "generation";
/// There while the replica holds what a voter of its set has to hold.
pub(crate) const META_COMPLETE_STATE: &str = "remembers";

/// A table of acceptor's records by the numbers of their slots, in postcard's form.
pub(crate) type RecordTable = TableDefinition<'static, u64, &'static [u8]>;
/// Records of slots `Slot::VotingSet`.
pub(crate) const VOTING_SET_RECORDS: RecordTable = TableDefinition::new("set_records");
/// Records of slots `Slot::Configuration`.
pub(crate) const VERSION_RECORDS: RecordTable = TableDefinition::new("version_records");

/// A claim as the database holds it: key, node, incarnation, number, time of day.
pub(crate) type ClaimRow = (u128, u32, u64, u64, u64);
/// Claims by their positions in the order of coming.
pub(crate) const CLAIMS: TableDefinition<u64, ClaimRow> = TableDefinition::new("claims");

/// Instances of hosts by their ids, in postcard's form.
pub(crate) const HOSTS: TableDefinition<&str, &[u8]> = TableDefinition::new("hosts");

/// The table that holds a slot's record, and the record's key there.
pub(crate) fn record_key(slot: Slot) -> (RecordTable, u64) {
    match slot {
        Slot::VotingSet(epoch) => (VOTING_SET_RECORDS, epoch.0),
        Slot::Configuration(version) => (VERSION_RECORDS, version.0),
    }
}

/// A claim as its row holds it.
pub(crate) fn row_of_claim(claim: &StoredClaim) -> ClaimRow {
    let ClaimId {
        node,
        incarnation,
        number,
    } = claim.id;
    let WallTime(claimed_at) = claim.claimed_at;
    (claim.key.0, node.0, incarnation.0, number, claimed_at)
}

/// The claim that a row holds.
pub(crate) fn claim_of_row((key, node, incarnation, number, claimed_at): ClaimRow) -> StoredClaim {
    StoredClaim {
        key: KeyDigest(key),
        id: ClaimId {
            node: NodeId(node),
            incarnation: Incarnation(incarnation),
            number,
        },
        claimed_at: WallTime(claimed_at),
    }
}

/// A value as it stands in a table.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, redb::Error> {
    postcard::to_allocvec(value).map_err(|error| redb::Error::Io(std::io::Error::other(error)))
}

/// The value that these bytes are, all of them. `what` names it for the error.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8], what: &str) -> Result<T, redb::Error> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => {
            let reason = format!("{what}: {} bytes left over", rest.len());
            Err(redb::Error::Corrupted(reason))
        }
        Err(error) => Err(redb::Error::Corrupted(format!("{what}: {error}"))),
    }
}

//! Table definitions and value encodings of the state file. Both are a stable on-disk format.

use redb::TableDefinition;
use rushcourse_consensus::StoredClaim;
use rushcourse_messages::Slot;
use rushcourse_types::{ClaimId, Incarnation, KeyAlias, KeyDigest, NodeId, WallTime};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Current format number of the file. Files of format 1 are upgraded at opening; files of any other format are rejected.
pub(crate) const FORMAT: u64 = 2;

/// Single values, stored under the `META_` keys.
pub(crate) const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Key of the format number, eight bytes big-endian.
pub(crate) const META_FORMAT: &str = "format";
/// Key of the adopted voting set, encoded with postcard.
pub(crate) const META_VOTING_SET: &str = "set";
/// Key of the file's generation, eight bytes big-endian. Missing in files of earlier releases.
pub(crate) const META_GENERATION: &str = "generation";
/// Key that is present while the replica holds the complete state required for voting. Its value is ignored.
pub(crate) const META_COMPLETE_STATE: &str = "remembers";

/// A table of acceptor records encoded with postcard, keyed by the number of the slot.
pub(crate) type RecordTable = TableDefinition<'static, u64, &'static [u8]>;
/// Acceptor records of `Slot::VotingSet`, keyed by epoch.
pub(crate) const VOTING_SET_RECORDS: RecordTable = TableDefinition::new("set_records");
/// Acceptor records of `Slot::Configuration`, keyed by configuration version.
pub(crate) const VERSION_RECORDS: RecordTable = TableDefinition::new("version_records");
/// Acceptor records of `Slot::UsageDuty`, keyed by position. The table is missing until the first record is stored.
pub(crate) const DUTY_RECORDS: RecordTable = TableDefinition::new("duty_records");

/// Row of a claim: key digest, node, incarnation, claim number, and wall-clock time of the claim.
pub(crate) type ClaimRow = (u128, u32, u64, u64, u64);
/// Claims keyed by their positions, in the order of arrival.
pub(crate) const CLAIMS: TableDefinition<u64, ClaimRow> = TableDefinition::new("claims");

/// Row of a claim's alias: digest of the claim's key, digest of the alias, and whether the alias is shared.
pub(crate) type AliasRow = (u128, u128, bool);
/// Aliases of claims, at the positions of their claims. The table is missing until the first alias is stored. Earlier
/// releases neither read nor remove its rows, so a row counts only if it names the key of the claim at its position.
pub(crate) const CLAIM_ALIASES: TableDefinition<u64, AliasRow> =
    TableDefinition::new("claim_aliases");

/// Host records encoded with postcard, keyed by host id.
pub(crate) const HOSTS: TableDefinition<&str, &[u8]> = TableDefinition::new("hosts");

/// Returns the table that stores the slot's record, and the record's key in it.
pub(crate) fn record_key(slot: Slot) -> (RecordTable, u64) {
    match slot {
        Slot::VotingSet(epoch) => (VOTING_SET_RECORDS, epoch.0),
        Slot::Configuration(version) => (VERSION_RECORDS, version.0),
        Slot::UsageDuty(sequence) => (DUTY_RECORDS, sequence.0),
    }
}

pub(crate) fn claim_to_row(claim: &StoredClaim) -> ClaimRow {
    let ClaimId {
        node,
        incarnation,
        number,
    } = claim.id;
    let WallTime(claimed_at) = claim.claimed_at;
    (claim.key.0, node.0, incarnation.0, number, claimed_at)
}

/// Decodes a claim without its alias.
pub(crate) fn claim_from_row(
    (key, node, incarnation, number, claimed_at): ClaimRow,
) -> StoredClaim {
    StoredClaim {
        key: KeyDigest(key),
        alias: None,
        id: ClaimId {
            node: NodeId(node),
            incarnation: Incarnation(incarnation),
            number,
        },
        claimed_at: WallTime(claimed_at),
    }
}

pub(crate) fn alias_to_row(key: KeyDigest, alias: KeyAlias) -> AliasRow {
    (key.0, alias.digest.0, alias.is_shared)
}

/// Decodes the alias of the claim with this key; `None` if the row was left behind by another claim.
pub(crate) fn alias_from_row(key: KeyDigest, row: AliasRow) -> Option<KeyAlias> {
    let (claimed_key, digest, is_shared) = row;
    (claimed_key == key.0).then_some(KeyAlias {
        digest: KeyDigest(digest),
        is_shared,
    })
}

/// Encodes a table value with postcard.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, redb::Error> {
    postcard::to_allocvec(value).map_err(|error| redb::Error::Io(std::io::Error::other(error)))
}

/// Decodes a postcard value that must use up all bytes. `value_name` is used in the error message.
pub(crate) fn decode<T: DeserializeOwned>(
    bytes: &[u8],
    value_name: &str,
) -> Result<T, redb::Error> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => {
            let reason = format!("{value_name}: {} bytes left over", rest.len());
            Err(redb::Error::Corrupted(reason))
        }
        Err(error) => Err(redb::Error::Corrupted(format!("{value_name}: {error}"))),
    }
}

//! Tables and rows of the file of stored responses. Both are a stable on-disk format.

use crate::error::StorageError;
use crate::response_parts::StoredPart;
use error_stack::Report;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use rushcourse_messages::ResponsePart;
use rushcourse_types::{ClaimId, KeyDigest, ResponseStoreId};
use std::fs::OpenOptions;
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Size of redb's page cache in bytes. Small, because most rows are written once and never read.
const CACHE_BYTES: usize = 1 << 20;
/// Mode of new files: responses may hold personal data, so only the owner may read them.
const FILE_MODE: u32 = 0o600;
/// Position of a part: node, incarnation and number of the claim, and offset within the response.
pub(crate) type RowKey = (u32, u64, u64, u32);
/// A part: digest of the operation key, length of the whole response in bytes, and the bytes of the part.
type RowValue = (u128, u32, &'static [u8]);
const PARTS: TableDefinition<RowKey, RowValue> = TableDefinition::new("response_parts");
/// The identifier of the file, under [`META_STORE`].
const META: TableDefinition<&str, u64> = TableDefinition::new("response_meta");
const META_STORE: &str = "store";

/// What a file holds when it is opened.
pub(crate) struct Contents {
    pub(crate) id: ResponseStoreId,
    /// Keys and sizes of all rows.
    pub(crate) rows: Vec<(RowKey, u64)>,
}

/// The key of a part's row.
pub(crate) fn row_key(claim: ClaimId, offset: u32) -> RowKey {
    (claim.node.0, claim.incarnation.0, claim.number, offset)
}

/// Opens the file, or creates an empty one.
pub(crate) fn open_database(path: &Path) -> Result<Database, Report<StorageError>> {
    let refused = |error: io::Error| StorageError::write_refused(error);
    // The database would create the file with the default mode.
    OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .mode(FILE_MODE)
        .open(path)
        .map_err(refused)?;
    let mut builder = redb::Builder::new();
    builder.set_cache_size(CACHE_BYTES);
    builder.create(path).map_err(StorageError::from_open_error)
}

/// Reads an open file, and gives it an identifier if it has none.
pub(crate) fn load(
    database: Database,
    new_id: ResponseStoreId,
) -> Result<(Database, Contents), Report<StorageError>> {
    let id = identify(&database, new_id).map_err(|error| match *error {
        redb::Error::Io(error) => StorageError::write_refused(error),
        other => StorageError::unreadable(other),
    })?;
    let rows = read_rows(&database).map_err(StorageError::unreadable)?;
    Ok((database, Contents { id, rows }))
}

fn identify(
    database: &Database,
    new_id: ResponseStoreId,
) -> Result<ResponseStoreId, Box<redb::Error>> {
    let boxed = |error: redb::Error| Box::new(error);
    let transaction = database
        .begin_write()
        .map_err(|error| boxed(error.into()))?;
    let id = store_id(&transaction, new_id).map_err(boxed)?;
    transaction.commit().map_err(|error| boxed(error.into()))?;
    Ok(id)
}

/// Reads the identifier of the file, or stores `new_id`. Creates the tables.
fn store_id(
    transaction: &redb::WriteTransaction,
    new_id: ResponseStoreId,
) -> Result<ResponseStoreId, redb::Error> {
    transaction.open_table(PARTS)?;
    let mut meta = transaction.open_table(META)?;
    let known = meta.get(META_STORE)?.map(|value| value.value());
    if let Some(known) = known {
        return Ok(ResponseStoreId(known));
    }
    meta.insert(META_STORE, new_id.0)?;
    Ok(new_id)
}

fn read_rows(database: &Database) -> Result<Vec<(RowKey, u64)>, redb::Error> {
    let table = database.begin_read()?.open_table(PARTS)?;
    let mut rows = Vec::new();
    for row in table.iter()? {
        let (key, value) = row?;
        let (_, _, bytes) = value.value();
        rows.push((key.value(), bytes.len() as u64));
    }
    Ok(rows)
}

/// Removes and inserts rows in one transaction with one sync.
pub(crate) fn write_rows(
    database: &Database,
    removed: impl Iterator<Item = RowKey>,
    parts: &[StoredPart],
) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut table = transaction.open_table(PARTS)?;
        for key in removed {
            table.remove(key)?;
        }
        for StoredPart {
            key, claim, part, ..
        } in parts
        {
            let value = (key.0, part.total_bytes, &*part.bytes);
            table.insert(row_key(*claim, part.offset), value)?;
        }
    }
    transaction.commit()?;
    Ok(())
}

/// Reads a part and the digest of its operation key.
pub(crate) fn read_row(
    database: &Database,
    row_key: RowKey,
) -> Result<Option<(KeyDigest, ResponsePart)>, redb::Error> {
    let table = database.begin_read()?.open_table(PARTS)?;
    let Some(row) = table.get(row_key)? else {
        return Ok(None);
    };
    let (key, total_bytes, bytes) = row.value();
    let (.., offset) = row_key;
    let part = ResponsePart {
        offset,
        total_bytes,
        bytes: bytes.into(),
    };
    Ok(Some((KeyDigest(key), part)))
}

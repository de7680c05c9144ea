//! Shards of responses in a redb file of their own. They are kept for the key window only, and a file that can't be read is
//! replaced by an empty one: as many controllers as may be lost at once may lack their shards.
//!
//! A part of a shard is a row. Files of earlier releases hold parts of whole responses, in the same form. The clock of a row's age is the monotonic one, as with claims, so rows that are loaded
//! from disk start a new retention.

use crate::error::StorageError;
use crate::response_parts::{PartQuery, StoredPart};
use crate::response_tables::{RowKey, load, open_database, read_row, row_key, write_rows};
use error_stack::Report;
use redb::Database;
use rushcourse_messages::ResponsePart;
use rushcourse_types::{ResponseStoreId, Timestamp};
use std::collections::VecDeque;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Maximum number of rows; beyond it, the oldest are removed.
const MAX_ROWS: usize = 200_000;

/// Limits of a [`ResponseStore`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseStoreLimits {
    /// Time for which a part is kept.
    pub retention: Duration,
    /// Limit of the bytes of all parts; beyond it, the oldest are removed.
    pub max_bytes: u64,
}

/// Age and size of a row.
#[derive(Clone, Copy, Debug)]
struct Row {
    key: RowKey,
    bytes: u64,
    expires_at: Timestamp,
}

/// An open file of stored responses. A single thread owns it.
pub struct ResponseStore {
    path: PathBuf,
    id: ResponseStoreId,
    limits: ResponseStoreLimits,
    /// `None` after a failed write, until the next one reopens the file.
    database: Option<Database>,
    /// All rows in the order in which they expire.
    rows: VecDeque<Row>,
    stored_bytes: u64,
}

impl ResponseStore {
    /// Opens the file, or creates one with the identifier `new_id` if it is missing or can't be read.
    ///
    /// # Errors
    /// [`StorageError::Unavailable`] or [`StorageError::WriteRefused`] if the disk fails.
    pub fn open(
        path: &Path,
        limits: ResponseStoreLimits,
        new_id: ResponseStoreId,
        now: Timestamp,
    ) -> Result<ResponseStore, Report<StorageError>> {
        let opened = open_database(path).and_then(|database| load(database, new_id));
        let (database, contents) = match opened {
            Err(report) if *report.current_context() == StorageError::Unreadable => {
                log::warn!("event=response_store_replaced why={:?}", report.to_string());
                fs::remove_file(path).map_err(StorageError::write_refused)?;
                load(open_database(path)?, new_id)?
            }
            opened => opened?,
        };
        let expires_at = now + limits.retention;
        let rows = contents.rows.into_iter().map(|(key, bytes)| Row {
            key,
            bytes,
            expires_at,
        });
        let rows: VecDeque<Row> = rows.collect();
        Ok(ResponseStore {
            path: path.to_path_buf(),
            id: contents.id,
            limits,
            database: Some(database),
            stored_bytes: rows.iter().map(|row| row.bytes).sum(),
            rows,
        })
    }

    /// The identifier of the file, which another file does not have.
    pub fn id(&self) -> ResponseStoreId {
        self.id
    }

    /// The bytes of all parts.
    pub fn stored_bytes(&self) -> u64 {
        self.stored_bytes
    }

    /// The number of parts.
    pub fn part_count(&self) -> usize {
        self.rows.len()
    }

    /// Writes parts and removes those that have expired or exceed the limits, in one transaction with one sync.
    ///
    /// # Errors
    /// [`StorageError`]: nothing was written.
    pub fn write(
        &mut self,
        now: Timestamp,
        parts: &[StoredPart],
    ) -> Result<(), Report<StorageError>> {
        let database = match self.database.take() {
            Some(database) => database,
            None => open_database(&self.path)?,
        };
        let added = parts.iter().map(|part| part.part.bytes.len() as u64).sum();
        let removed = self.count_removable(now, added, parts.len());
        let removable = self.rows.range(..removed).map(|row| row.key);
        write_rows(&database, removable, parts).map_err(StorageError::write_refused)?;
        self.database = Some(database);
        for row in self.rows.drain(..removed) {
            self.stored_bytes -= row.bytes;
        }
        for part in parts {
            self.record_row(now, part);
        }
        Ok(())
    }

    /// Whether some parts have expired, so that a write without new parts would remove them.
    pub fn has_expired(&self, now: Timestamp) -> bool {
        self.rows.front().is_some_and(|row| row.expires_at <= now)
    }

    /// Reads a part; `None` if it is not stored, or is of another operation.
    ///
    /// # Errors
    /// [`StorageError::Unreadable`] if the file can't be read.
    pub fn read(&self, query: PartQuery) -> Result<Option<ResponsePart>, Report<StorageError>> {
        let Some(database) = &self.database else {
            return Ok(None);
        };
        let found = read_row(database, row_key(query.claim, query.offset))
            .map_err(StorageError::unreadable)?;
        let found = found.filter(|(key, _)| *key == query.key);
        Ok(found.map(|(_, part)| part))
    }

    /// The number of oldest rows to remove, so that parts with `added_bytes` find room.
    fn count_removable(&self, now: Timestamp, added_bytes: u64, added_rows: usize) -> usize {
        let mut bytes = self.stored_bytes + added_bytes;
        let mut count = self.rows.len() + added_rows;
        let mut removable = 0;
        for row in &self.rows {
            let is_beyond_limit = bytes > self.limits.max_bytes || count > MAX_ROWS;
            if row.expires_at > now && !is_beyond_limit {
                break;
            }
            bytes -= row.bytes;
            count -= 1;
            removable += 1;
        }
        removable
    }

    fn record_row(&mut self, now: Timestamp, stored: &StoredPart) {
        let bytes = stored.part.bytes.len() as u64;
        self.stored_bytes += bytes;
        let expires_at = now + self.limits.retention;
        self.rows.push_back(Row {
            key: row_key(stored.claim, stored.part.offset),
            bytes,
            expires_at,
        });
    }
}

//! The open state file. Opening creates, upgrades and loads it; after a failed write it is reopened.

use crate::claim_positions::ClaimPositions;
use crate::error::StorageError;
use crate::reading::{Contents, read_contents, read_format};
use crate::tables::FORMAT;
use crate::{upgrade, writing};
use error_stack::Report;
use redb::{Database, StorageBackend};
use rushcourse_consensus::{DurableState, WriteBatch};
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Size of redb's page cache in bytes. It stays small because the tables are read only once, at opening.
const CACHE_BYTES: usize = 4 << 20;

/// Mode of new state files: only the owner may read the API keys in the configuration.
const FILE_MODE: u32 = 0o600;

/// Opens the database, at a path or on a custom backend. Called again after a failed write.
type Opener = Box<dyn Fn() -> Result<Database, redb::DatabaseError> + Send>;

/// An open state file of a controller. A single thread owns and writes it.
pub struct Store {
    opener: Opener,
    /// `None` after a failed write, until the next write reopens the file.
    database: Option<Database>,
    claim_positions: ClaimPositions,
}

impl Store {
    /// Opens the file and loads its state. A missing file is created under a temporary name and then renamed, so an
    /// interrupted creation leaves no partial file at `path`. A file of format 1 is upgraded first.
    ///
    /// # Errors
    /// [`StorageError::Unreadable`] or [`StorageError::UnknownFormat`] if the file can't be decoded; it is left
    /// unchanged. [`StorageError::Unavailable`] or [`StorageError::WriteRefused`] if the disk fails while the file is
    /// opened, created or upgraded.
    pub fn open(path: &Path) -> Result<(Store, DurableState), Report<StorageError>> {
        if !path.exists() {
            create_file(path)?;
        }
        let path = path.to_path_buf();
        Store::open_with(Box::new(move || builder().create(&path)))
    }

    /// Opens a state file on a custom storage backend, such as an in-memory disk. `backend` is called for each
    /// opening: now, and after each failed write.
    ///
    /// # Errors
    /// The same as for [`Store::open`].
    pub fn open_with_backend<B: StorageBackend>(
        backend: impl Fn() -> B + Send + 'static,
    ) -> Result<(Store, DurableState), Report<StorageError>> {
        Store::open_with(Box::new(move || builder().create_with_backend(backend())))
    }

    fn open_with(opener: Opener) -> Result<(Store, DurableState), Report<StorageError>> {
        let database = opener().map_err(StorageError::from_open_error)?;
        initialize_or_upgrade(&database)?;
        let contents = load_contents(&database)?;
        let store = Store {
            opener,
            database: Some(database),
            claim_positions: contents.claim_positions,
        };
        Ok((store, contents.state))
    }

    /// Commits all operations of all batches in one transaction with one sync.
    ///
    /// # Errors
    /// The write failed and none of the batches is stored. The next write reopens the file first.
    pub fn write(&mut self, batches: &[WriteBatch]) -> Result<(), Report<StorageError>> {
        let database = match self.database.take() {
            Some(database) => database,
            None => self.reopen()?,
        };
        // A failed transaction leaves the file unchanged but may leave the handle unusable, so the handle is dropped.
        writing::write(&database, batches, &mut self.claim_positions)
            .map_err(StorageError::write_refused)?;
        self.database = Some(database);
        Ok(())
    }

    /// Opens the file again and reloads the claim positions, which a failed write may have changed.
    fn reopen(&mut self) -> Result<Database, Report<StorageError>> {
        let database = (self.opener)().map_err(StorageError::unreadable)?;
        match load_format(&database)? {
            Some(FORMAT) => {}
            Some(other) => return Err(Report::new(StorageError::UnknownFormat(other))),
            None => return Err(StorageError::unreadable("the reopened file is empty")),
        }
        self.claim_positions = load_contents(&database)?.claim_positions;
        Ok(database)
    }
}

/// Creates an empty state file under a temporary name and renames it to `path` once it is synced.
fn create_file(path: &Path) -> Result<(), Report<StorageError>> {
    let temporary_path = path.with_extension("new");
    let refused = |error: io::Error| StorageError::write_refused(error);
    match fs::remove_file(&temporary_path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(refused(error)),
        _ => {}
    }
    OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(FILE_MODE)
        .open(&temporary_path)
        .map_err(refused)?;
    let database = builder()
        .create(&temporary_path)
        .map_err(StorageError::from_open_error)?;
    initialize_or_upgrade(&database)?;
    drop(database);
    fs::rename(&temporary_path, path).map_err(refused)?;
    let directory = path.parent().unwrap_or(Path::new("."));
    // The rename is durable only once the directory is synced.
    File::open(directory)
        .and_then(|directory| directory.sync_all())
        .map_err(refused)
}

/// Initializes an empty file and upgrades a file of format 1. Fails for any other format except the current one.
fn initialize_or_upgrade(database: &Database) -> Result<(), Report<StorageError>> {
    match load_format(database)? {
        Some(FORMAT) => Ok(()),
        Some(upgrade::PREVIOUS_FORMAT) => {
            let newest = upgrade::read_previous(database).map_err(StorageError::unreadable)?;
            upgrade::upgrade(database, newest).map_err(StorageError::write_refused)
        }
        Some(other) => Err(Report::new(StorageError::UnknownFormat(other))),
        None => writing::initialize(database).map_err(StorageError::write_refused),
    }
}

fn load_format(database: &Database) -> Result<Option<u64>, Report<StorageError>> {
    read_format(database).map_err(StorageError::unreadable)
}

fn load_contents(database: &Database) -> Result<Contents, Report<StorageError>> {
    read_contents(database).map_err(StorageError::unreadable)
}

fn builder() -> redb::Builder {
    let mut builder = redb::Builder::new();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

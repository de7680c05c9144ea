//! The open file: it is made, read or upgraded at opening, and opened anew after a refused write.

use crate::claim_positions::ClaimPositions;
use crate::error::StorageError;
use crate::reading::{Contents, read_contents, read_format};
use crate::tables::FORMAT;
use crate::{upgrade, writing};
use error_stack::Report;
use redb::{Database, StorageBackend};
use rushcourse_consensus::{DurableState, WriteBatch};
use std::fs::{self, File};
use std::io;
use std::path::Path;

/// Bytes of pages that are kept in memory: a window's claims are some megabytes, and are read once (ours).
const CACHE_BYTES: usize = 4 << 20;

/// Opens the file: at its path, or over another backend, which a test may let fail.
type Opener = Box<dyn Fn() -> Result<Database, redb::DatabaseError> + Send>;

/// The state file of a controller.
pub struct Store {
    opener: Opener,
    /// `None` after a refused write, until the file is open again.
    database: Option<Database>,
    claim_positions: ClaimPositions,
}

impl Store {
    /// Opens the file, or makes it, and reads what it holds. A file of the format before is upgraded first. A new file has
    /// its name only once it is complete: one that a full disk cut short is made anew.
    ///
    /// # Errors
    /// A file that can't be read or has another format: it is left as it is. [`StorageError::Unavailable`] or
    /// [`StorageError::WriteRefused`] where the disk refuses what opening, making or upgrading it takes.
    pub fn open(path: &Path) -> Result<(Store, DurableState), Report<StorageError>> {
        if !path.exists() {
            make(path)?;
        }
        let path = path.to_path_buf();
        Store::open_by(Box::new(move || builder().create(&path)))
    }

    /// The same over any backend of the database: `make` gives one for each opening.
    ///
    /// # Errors
    /// As `open`.
    pub fn open_with_backend<B: StorageBackend>(
        make: impl Fn() -> B + Send + 'static,
    ) -> Result<(Store, DurableState), Report<StorageError>> {
        Store::open_by(Box::new(move || builder().create_with_backend(make())))
    }

    fn open_by(opener: Opener) -> Result<(Store, DurableState), Report<StorageError>> {
        let database = opener().map_err(StorageError::opening)?;
        prepare(&database)?;
        let contents = contents_of(&database)?;
        let store = Store {
            opener,
            database: Some(database),
            claim_positions: contents.claim_positions,
        };
        Ok((store, contents.state))
    }

    /// Writes all operations of all batches together and syncs once.
    ///
    /// # Errors
    /// The disk refused; nothing of it counts. The file is opened anew for the next write.
    pub fn write(&mut self, batches: &[WriteBatch]) -> Result<(), Report<StorageError>> {
        let database = match self.database.take() {
            Some(database) => database,
            None => self.reopen()?,
        };
        // A transaction that failed leaves the file as it was; the handle may be unusable, and is dropped.
        writing::write(&database, batches, &mut self.claim_positions)
            .map_err(StorageError::write_refused)?;
        self.database = Some(database);
        Ok(())
    }

    /// Opens the file again: what a failed transaction left behind in memory is read anew.
    fn reopen(&mut self) -> Result<Database, Report<StorageError>> {
        let database = (self.opener)().map_err(StorageError::unreadable)?;
        match format_of(&database)? {
            Some(FORMAT) => {}
            Some(other) => return Err(Report::new(StorageError::UnknownFormat(other))),
            None => return Err(StorageError::unreadable("it was there and is empty now")),
        }
        self.claim_positions = contents_of(&database)?.claim_positions;
        Ok(database)
    }
}

/// Makes an empty file under another name, and gives it its own name once the disk holds it.
fn make(path: &Path) -> Result<(), Report<StorageError>> {
    let unfinished = path.with_extension("new");
    let refused = |error: io::Error| StorageError::write_refused(error);
    match fs::remove_file(&unfinished) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(refused(error)),
        _ => {}
    }
    let database = builder()
        .create(&unfinished)
        .map_err(StorageError::opening)?;
    prepare(&database)?;
    drop(database);
    fs::rename(&unfinished, path).map_err(refused)?;
    let folder = path.parent().unwrap_or(Path::new("."));
    // The new name has to reach the disk as well.
    File::open(folder)
        .and_then(|folder| folder.sync_all())
        .map_err(refused)
}

/// Brings a file to the present format.
fn prepare(database: &Database) -> Result<(), Report<StorageError>> {
    match format_of(database)? {
        Some(FORMAT) => Ok(()),
        Some(upgrade::PREVIOUS_FORMAT) => {
            let newest = upgrade::read_previous(database).map_err(StorageError::unreadable)?;
            upgrade::upgrade(database, newest).map_err(StorageError::write_refused)
        }
        Some(other) => Err(Report::new(StorageError::UnknownFormat(other))),
        None => writing::initialize(database).map_err(StorageError::write_refused),
    }
}

fn format_of(database: &Database) -> Result<Option<u64>, Report<StorageError>> {
    read_format(database).map_err(StorageError::unreadable)
}

fn contents_of(database: &Database) -> Result<Contents, Report<StorageError>> {
    read_contents(database).map_err(StorageError::unreadable)
}

fn builder() -> redb::Builder {
    let mut builder = redb::Builder::new();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

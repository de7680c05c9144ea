//! The open file: it is made, read or upgraded at opening, and opened anew after a refused write.

use crate::claims::ClaimPlaces;
use crate::damage::Damaged;
use crate::reading::{self, Contents};
use crate::tables::FORMAT;
use crate::{upgrade, writing};
use error_stack::Report;
use redb::{Database, StorageBackend};
use rushcourse_consensus::{DurableState, WriteOperation};
use std::path::Path;

/// Bytes of pages that are kept in memory: a window's claims are some megabytes, and are read once (ours).
const CACHE: usize = 4 << 20;

/// Opens the file: at its place, or over another backend, which a test may let fail.
type Opener = Box<dyn Fn() -> Result<Database, redb::DatabaseError> + Send>;

/// The state file of a controller.
pub struct Store {
    opener: Opener,
    /// None after a refused write, until the file is open again.
    database: Option<Database>,
    places: ClaimPlaces,
}

impl Store {
    /// Opens the file, or makes it, and reads what it holds. A file of an earlier form is upgraded first.
    ///
    /// # Errors
    /// A file that can't be read or has another form: it is left as it is. An upgrade that the disk refused.
    pub fn open(path: &Path) -> Result<(Store, DurableState), Report<Damaged>> {
        let path = path.to_path_buf();
        Store::open_by(Box::new(move || builder().create(&path)))
    }

    /// The same over any backend of the database: `make` gives one for each opening.
    ///
    /// # Errors
    /// As `open`.
    pub fn open_over<B: StorageBackend>(
        make: impl Fn() -> B + Send + 'static,
    ) -> Result<(Store, DurableState), Report<Damaged>> {
        Store::open_by(Box::new(move || builder().create_with_backend(make())))
    }

    fn open_by(opener: Opener) -> Result<(Store, DurableState), Report<Damaged>> {
        let database = opener().map_err(Damaged::unreadable)?;
        prepare(&database)?;
        let Contents { stored, places } =
            reading::contents(&database).map_err(Damaged::unreadable)?;
        Ok((
            Store {
                opener,
                database: Some(database),
                places,
            },
            stored,
        ))
    }

    /// Writes all operations of all batches together and syncs once.
    ///
    /// # Errors
    /// The disk refused; nothing of it counts. The file is opened anew for the next write.
    pub fn write(&mut self, batches: &[(u64, Vec<WriteOperation>)]) -> Result<(), Report<Damaged>> {
        let database = match self.database.take() {
            Some(database) => database,
            None => self.reopen()?,
        };
        // A transaction that failed leaves the file as it was; the handle may be spoilt, and is dropped.
        writing::write(&database, batches, &mut self.places).map_err(Damaged::refused)?;
        self.database = Some(database);
        Ok(())
    }

    /// Opens the file again: what a failed transaction left behind in memory is read anew.
    fn reopen(&mut self) -> Result<Database, Report<Damaged>> {
        let database = (self.opener)().map_err(Damaged::unreadable)?;
        match reading::format(&database).map_err(Damaged::unreadable)? {
            Some(FORMAT) => {}
            Some(other) => return Err(Report::new(Damaged::Format(other))),
            None => return Err(Damaged::unreadable("it was there and is empty now")),
        }
        self.places = reading::contents(&database)
            .map_err(Damaged::unreadable)?
            .places;
        Ok(database)
    }
}

/// Brings a file to the present form.
fn prepare(database: &Database) -> Result<(), Report<Damaged>> {
    match reading::format(database).map_err(Damaged::unreadable)? {
        Some(FORMAT) => Ok(()),
        Some(upgrade::EARLIER) => {
            let newest = upgrade::read_earlier(database).map_err(Damaged::unreadable)?;
            upgrade::upgrade(database, newest).map_err(Damaged::refused)
        }
        Some(other) => Err(Report::new(Damaged::Format(other))),
        None => writing::begin(database).map_err(Damaged::refused),
    }
}

fn builder() -> redb::Builder {
    let mut builder = redb::Builder::new();
    builder.set_cache_size(CACHE);
    builder
}

//! A controller's disk. [`Store::open`] reads what is there; [`run_writer`] is the work of the storage thread: it takes
//! batches of operations, writes all that wait in one transaction, syncs once, and reports what became of each batch.
//!
//! * [`store`]: the open file; [`writer`]: the storage thread; [`outcome`]: what it reports; [`disk_health`]: what pages show of it.
//! * `tables`: the file's tables; `reading`, `writing`: what goes between them and the types of `rushcourse-consensus`.
//! * `upgrade`: files of the format before the present one.
//! * `claim_positions`: where claims stand in their table.
//!
//! Tables, keys and the bytes of rows are those of files on disks: `tests/format.rs` and `tests/fixture.rs` hold them.

mod claim_positions;
pub mod disk_health;
pub mod error;
pub mod outcome;
mod reading;
pub mod store;
mod tables;
mod upgrade;
pub mod writer;
mod writing;

pub use disk_health::{DiskHealth, DiskStatistics};
pub use error::StorageError;
pub use outcome::WriteOutcome;
pub use store::Store;
pub use writer::run_writer;

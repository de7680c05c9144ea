//! The state file of a controller. [`Store::open`] reads it; [`run_writer`] is the loop of the storage thread: it receives
//! batches of operations, writes all that wait in one transaction, syncs once, and reports the outcome of each batch.
//!
//! * [`store`]: the open file; [`writer`]: the storage thread; [`disk_health`]: its statistics; [`error`]: its errors.
//! * `tables`: the file's tables; `reading`, `writing`: their rows as the types of `rushcourse-consensus`, and back.
//! * `upgrade`: files of the format before the present one.
//! * `claim_positions`: the positions of claims in their table.
//!
//! Tables, keys and the bytes of rows must not change, since there are files on disks: `tests/format.rs` and
//! `tests/fixture.rs` check them.

mod claim_positions;
pub mod disk_health;
pub mod error;
mod reading;
pub mod store;
mod tables;
mod upgrade;
pub mod writer;
mod writing;

pub use disk_health::{DiskHealth, DiskStatistics};
pub use error::StorageError;
pub use store::Store;
pub use writer::{WriteOutcome, run_writer};

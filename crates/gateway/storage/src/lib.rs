//! Durable state of a controller in a redb file. [`Store::open`] loads it. [`run_writer`] is the loop of the storage
//! thread: it receives batches of write operations, commits all pending batches in one transaction with one sync, and
//! reports the outcome of each batch.
//!
//! * [`store`]: opens, creates and writes the file; [`writer`]: the storage thread; [`disk_health`]: sync statistics;
//!   [`error`]: errors.
//! * [`response_store`]: shards of responses, in a file of their own; [`response_parts`]: what is written and read;
//!   `response_tables`: its tables.
//! * `tables`: table definitions and row encodings; `reading` and `writing`: conversion between rows and the types of
//!   `rushcourse-consensus`.
//! * `upgrade`: upgrades files of format 1.
//! * `claim_positions`: assigns positions in the claims table.
//! * `claim_tables`: writes claims and their aliases.
//!
//! Table names, keys and row encodings are a stable on-disk format, checked by `tests/format.rs` and
//! `tests/fixture.rs`.

mod claim_positions;
mod claim_tables;
pub mod disk_health;
pub mod error;
mod reading;
pub mod response_parts;
pub mod response_store;
mod response_tables;
pub mod store;
mod tables;
mod upgrade;
pub mod writer;
mod writing;

pub use disk_health::{DiskHealth, DiskStatistics};
pub use error::StorageError;
pub use response_parts::{PartQuery, StoredPart};
pub use response_store::{ResponseStore, ResponseStoreLimits};
pub use store::Store;
pub use writer::{WriteOutcome, run_writer};

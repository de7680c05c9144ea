//! What a frontend director decides for a request. Pure: times come in as ms of a steady clock, chance as numbers.
//!
//! * `tables.rs`: tables as core directors order them, what was met at hosts, the pick.
//! * `budget.rs`: further tries, within what all directors share.
//! * `claims.rs`: votes of core directors on a claim of an operation key.
//! * `operations.rs`: what became of operations that were claimed here.
//! * `homing.rs`: which core director the tables come from.
//! * `versions.rs`: which one is asked for the text of a new configuration.

pub mod budget;
pub mod claims;
pub mod homing;
pub mod operations;
pub mod tables;
pub mod versions;

pub use budget::Budget;
pub use claims::{Claims, Decision, Renewal, Verdicts, VoteRequest, Withdrawal};
pub use homing::Homing;
pub use operations::{Operations, State};
pub use tables::{Met, Pick, Tables};
pub use versions::VersionFetch;

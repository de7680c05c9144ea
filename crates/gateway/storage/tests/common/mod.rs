//! What the tests of the state file share.
#![allow(dead_code)]

use rushcourse_consensus::Op;
use rushcourse_storage::WriteBatch;

/// A batch as the storage thread gets it.
pub fn batch(number: u64, operations: Vec<Op>) -> WriteBatch {
    WriteBatch { number, operations }
}

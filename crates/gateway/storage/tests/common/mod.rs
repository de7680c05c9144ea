//! What the tests of the state file share.
#![allow(dead_code)]

use rushcourse_consensus::{BatchId, WriteBatch, WriteOperation};

/// A batch as the storage thread gets it.
pub fn batch(number: u64, operations: Vec<WriteOperation>) -> WriteBatch {
    WriteBatch {
        id: BatchId(number),
        operations,
    }
}

//! Errors of a state file.

use crate::tables::FORMAT;
use error_stack::Report;
use std::fmt;

/// Why a state file can't be opened, or a write did not reach the disk. The report's attachment is the database's own
/// reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageError {
    /// The file can't be opened or read, or holds what can't be read.
    Unreadable,
    /// The file has a format that this program does not know.
    UnknownFormat(u64),
    /// The disk refused a write.
    WriteRefused,
}

impl StorageError {
    pub(crate) fn unreadable(cause: impl fmt::Display) -> Report<StorageError> {
        Report::new(StorageError::Unreadable).attach(cause.to_string())
    }

    pub(crate) fn write_refused(cause: impl fmt::Display) -> Report<StorageError> {
        Report::new(StorageError::WriteRefused).attach(cause.to_string())
    }
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StorageError::Unreadable => write!(f, "the state file can't be read"),
            StorageError::UnknownFormat(format) => write!(
                f,
                "the state file has format {format}, this program knows {FORMAT}"
            ),
            StorageError::WriteRefused => write!(f, "the disk refused a write"),
        }
    }
}

impl std::error::Error for StorageError {}

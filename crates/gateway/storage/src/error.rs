//! Errors of a state file.

use crate::tables::FORMAT;
use error_stack::Report;
use std::fmt;
use std::io::ErrorKind;

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
    /// The disk refused what opening the file takes; it may be opened later.
    Unavailable,
}

impl StorageError {
    pub(crate) fn unreadable(cause: impl fmt::Display) -> Report<StorageError> {
        Report::new(StorageError::Unreadable).attach(cause.to_string())
    }

    /// A file that can't be opened: as it is, or for now.
    pub(crate) fn opening(cause: redb::DatabaseError) -> Report<StorageError> {
        let kind = match &cause {
            redb::DatabaseError::Storage(redb::StorageError::Io(error)) => Some(error.kind()),
            _ => None,
        };
        let context = match kind {
            None | Some(ErrorKind::NotFound | ErrorKind::PermissionDenied) => {
                StorageError::Unreadable
            }
            Some(ErrorKind::InvalidData) => StorageError::Unreadable,
            Some(_) => StorageError::Unavailable,
        };
        Report::new(context).attach(cause.to_string())
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
            StorageError::Unavailable => write!(f, "the disk refused to open the state file"),
        }
    }
}

impl std::error::Error for StorageError {}

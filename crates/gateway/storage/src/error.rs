//! Errors of opening and writing a state file.

use crate::tables::FORMAT;
use error_stack::Report;
use std::fmt;
use std::io::ErrorKind;

/// Error of opening or writing a state file. The report carries the database's error message as an attachment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageError {
    /// The file can't be opened, or its contents can't be decoded.
    Unreadable,
    /// The file has this format number, which the program doesn't support.
    UnknownFormat(u64),
    /// A write, or the creation or upgrade of the file, failed. No part of it is stored.
    WriteRefused,
    /// Opening failed with an I/O error that may be temporary, such as a full disk. The caller may retry.
    Unavailable,
}

impl StorageError {
    pub(crate) fn unreadable(cause: impl fmt::Display) -> Report<StorageError> {
        Report::new(StorageError::Unreadable).attach(cause.to_string())
    }

    /// Classifies an error of opening the database: [`StorageError::Unavailable`] if it may be temporary, otherwise
    /// [`StorageError::Unreadable`].
    pub(crate) fn from_open_error(cause: redb::DatabaseError) -> Report<StorageError> {
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
                "the state file has format {format}; this program supports {FORMAT}"
            ),
            StorageError::WriteRefused => write!(f, "writing the state file failed"),
            StorageError::Unavailable => write!(f, "the state file can't be opened now"),
        }
    }
}

impl std::error::Error for StorageError {}

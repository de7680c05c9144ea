//! What can be wrong with a state file.

use crate::tables::FORMAT;
use error_stack::Report;
use std::fmt;

/// The file can't be read, or a write was refused.
#[derive(Debug)]
pub enum Damaged {
    /// It can't be opened or read.
    Unreadable,
    /// Of a form that this program does not know.
    Format(u64),
    /// The disk refused a write.
    Refused,
}

impl Damaged {
    pub(crate) fn unreadable(cause: impl fmt::Display) -> Report<Damaged> {
        Report::new(Damaged::Unreadable).attach(cause.to_string())
    }

    pub(crate) fn refused(cause: impl fmt::Display) -> Report<Damaged> {
        Report::new(Damaged::Refused).attach(cause.to_string())
    }
}

impl fmt::Display for Damaged {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Damaged::Unreadable => write!(f, "the state file can't be read"),
            Damaged::Format(n) => write!(
                f,
                "the state file has form {n}, this program knows {FORMAT}"
            ),
            Damaged::Refused => write!(f, "the disk refused a write"),
        }
    }
}

impl std::error::Error for Damaged {}

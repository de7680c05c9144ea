//! What is wrong with a body, and where.

use std::fmt;

/// Why a configuration can't be taken, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    pub place: String,
    pub why: String,
}

impl Invalid {
    pub fn at(place: &str, why: impl Into<String>) -> Invalid {
        Invalid {
            place: place.to_string(),
            why: why.into(),
        }
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.why)
    }
}

impl std::error::Error for Invalid {}

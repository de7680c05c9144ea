//! Validation errors of JSON bodies.

use std::fmt;

/// Error in a JSON body, such as an uploaded configuration, with the path of the invalid field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Path of the invalid field, such as `routes.rows[1].service`, or `body` for the whole body.
    pub field: String,
    /// Description of the error, written to follow the field name in a message: `must be an object`.
    pub reason: String,
}

impl ValidationError {
    /// Creates an error for the field at this path.
    pub fn at(field: &str, reason: impl Into<String>) -> ValidationError {
        ValidationError {
            field: field.to_string(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for ValidationError {}

//! Validation errors: what is wrong with a body that a person or a program wrote, and where.

use std::fmt;

/// Why a configuration, or another body, is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Where, as a path: `routes.rows[1].service`.
    pub field: String,
    /// What is wrong there. Follows the field in messages.
    pub reason: String,
}

impl ValidationError {
    /// An error at a field.
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

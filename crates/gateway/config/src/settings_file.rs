//! The settings file format: lines of the form `a.b=value`. Empty lines and lines starting with `#` are skipped. If a
//! field is repeated, the last line wins.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Maximum number of characters of a malformed line that an error quotes.
const MAX_QUOTED_CHARS: usize = 60;

/// Error in a settings file, with the line and field that caused it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Line number, starting at 1; `None` if the field is missing.
    pub line: Option<usize>,
    /// Name of the field, or the beginning of a line without `=`.
    pub field: String,
    /// Description of the error, written to follow the field name in a message: `is missing`.
    pub reason: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            None => write!(f, "{}: {}", self.field, self.reason),
            Some(line) => write!(f, "line {line}: {}: {}", self.field, self.reason),
        }
    }
}

impl std::error::Error for SettingsError {}

/// A field's trimmed value and its line number.
#[derive(Clone, Copy)]
struct Field<'a> {
    line: usize,
    value: &'a str,
}

/// The fields of a settings file by name, not yet typed.
pub(crate) struct SettingsFile<'a> {
    fields: BTreeMap<&'a str, Field<'a>>,
}

impl<'a> SettingsFile<'a> {
    /// Splits the text of a settings file into fields.
    ///
    /// # Errors
    /// A line that is neither empty nor a comment has no `=`.
    pub(crate) fn read(text: &'a str) -> Result<SettingsFile<'a>, SettingsError> {
        let mut fields = BTreeMap::new();
        for (index, text) in text.lines().enumerate() {
            let (line, text) = (index + 1, text.trim());
            if text.is_empty() || text.starts_with('#') {
                continue;
            }
            let Some((name, value)) = text.split_once('=') else {
                return Err(SettingsError {
                    line: Some(line),
                    field: text.chars().take(MAX_QUOTED_CHARS).collect(),
                    reason: "is not of the form a.b=value".into(),
                });
            };
            let value = value.trim();
            fields.insert(name.trim(), Field { line, value });
        }
        Ok(SettingsFile { fields })
    }

    /// Returns the names of all fields with this prefix, without the prefix and in ascending order.
    pub(crate) fn names_with_prefix(&self, prefix: &str) -> impl Iterator<Item = &'a str> {
        self.fields
            .keys()
            .filter_map(move |name| name.strip_prefix(prefix))
    }

    /// Returns whether a field is missing or has an empty value.
    pub(crate) fn is_empty(&self, name: &str) -> bool {
        self.fields
            .get(name)
            .is_none_or(|field| field.value.is_empty())
    }

    /// Creates an error for a field, with its line number if the file contains it.
    pub(crate) fn error(&self, name: &str, reason: String) -> SettingsError {
        SettingsError {
            line: self.fields.get(name).map(|field| field.line),
            field: name.into(),
            reason,
        }
    }

    /// Parses a field; `None` if it is missing or empty. `expected` describes a valid value in the error message.
    ///
    /// # Errors
    /// The value can't be parsed as `T`.
    pub(crate) fn optional<T: FromStr>(
        &self,
        name: &str,
        expected: &str,
    ) -> Result<Option<T>, SettingsError> {
        let Some(field) = self.fields.get(name).filter(|_| !self.is_empty(name)) else {
            return Ok(None);
        };
        match field.value.parse() {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(self.error(name, format!("{:?} is not {expected}", field.value))),
        }
    }

    /// Parses a required field. `expected` describes a valid value in the error message.
    ///
    /// # Errors
    /// The field is missing or empty, or its value can't be parsed as `T`.
    pub(crate) fn required<T: FromStr>(
        &self,
        name: &str,
        expected: &str,
    ) -> Result<T, SettingsError> {
        let missing = || SettingsError {
            line: None,
            field: name.into(),
            reason: format!("is missing; expected {expected}"),
        };
        self.optional(name, expected)?.ok_or_else(missing)
    }

    /// Parses a comma-separated list; empty if the field is missing. `expected` describes a valid item in the error
    /// message.
    ///
    /// # Errors
    /// An item can't be parsed as `T`.
    pub(crate) fn list<T: FromStr>(
        &self,
        name: &str,
        expected: &str,
    ) -> Result<Vec<T>, SettingsError> {
        let Some(field) = self.fields.get(name) else {
            return Ok(Vec::new());
        };
        let parts = field.value.split(',').map(str::trim);
        parts
            .filter(|part| !part.is_empty())
            .map(|part| {
                part.parse()
                    .map_err(|_| self.error(name, format!("{part:?} is not {expected}")))
            })
            .collect()
    }

    /// Parses a non-negative finite number, or returns the default if the field is missing or empty.
    ///
    /// # Errors
    /// The value is not a number, not finite, or negative.
    pub(crate) fn number(&self, name: &str, default: f64) -> Result<f64, SettingsError> {
        match self.optional::<f64>(name, "a number")? {
            None => Ok(default),
            Some(value) if value.is_finite() && value >= 0.0 => Ok(value),
            Some(value) => Err(self.error(name, format!("{value} is negative or not finite"))),
        }
    }
}

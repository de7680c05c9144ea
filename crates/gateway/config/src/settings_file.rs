//! Lines of a settings file: `a.b=value`. Empty lines and lines that begin with `#` are skipped; of two lines with one
//! name the later one counts.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Letters of a line that can't be read, as the error quotes them.
const MAX_QUOTED_LETTERS: usize = 60;

/// What is wrong with a settings file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// From 1 on; `None`: the field is not there at all.
    pub line: Option<usize>,
    /// The field's name, or the beginning of a line that has none.
    pub field: String,
    /// What is wrong. Follows the field in messages.
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

/// The value of a field, and its line in the file.
#[derive(Clone, Copy)]
struct Field<'a> {
    line: usize,
    value: &'a str,
}

/// All fields of a settings file.
pub(crate) struct SettingsFile<'a> {
    fields: BTreeMap<&'a str, Field<'a>>,
}

impl<'a> SettingsFile<'a> {
    /// Splits a text into its fields.
    ///
    /// # Errors
    /// A line without `=`.
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
                    field: text.chars().take(MAX_QUOTED_LETTERS).collect(),
                    reason: "is not of the form a.b=value".into(),
                });
            };
            let value = value.trim();
            fields.insert(name.trim(), Field { line, value });
        }
        Ok(SettingsFile { fields })
    }

    /// What follows a prefix in the names of fields, in their order.
    pub(crate) fn names_below(&self, prefix: &str) -> impl Iterator<Item = &'a str> {
        self.fields
            .keys()
            .filter_map(move |name| name.strip_prefix(prefix))
    }

    /// Whether a field is missing or empty.
    pub(crate) fn is_empty(&self, name: &str) -> bool {
        self.fields
            .get(name)
            .is_none_or(|field| field.value.is_empty())
    }

    /// An error at a field.
    pub(crate) fn error(&self, name: &str, reason: String) -> SettingsError {
        SettingsError {
            line: self.fields.get(name).map(|field| field.line),
            field: name.into(),
            reason,
        }
    }

    /// A value; `None` if the field is missing or empty. `expected` says what it has to be, for the error.
    ///
    /// # Errors
    /// A value that is something else.
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

    /// A value that must be there.
    ///
    /// # Errors
    /// It is missing, or is something else.
    pub(crate) fn required<T: FromStr>(
        &self,
        name: &str,
        expected: &str,
    ) -> Result<T, SettingsError> {
        let missing = || SettingsError {
            line: None,
            field: name.into(),
            reason: format!("is missing; it is {expected}"),
        };
        self.optional(name, expected)?.ok_or_else(missing)
    }

    /// Values with commas between them; none if the field is missing.
    ///
    /// # Errors
    /// A value that is something else.
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

    /// A finite number from 0 on, or its default.
    ///
    /// # Errors
    /// No number, or one below 0.
    pub(crate) fn number(&self, name: &str, default: f64) -> Result<f64, SettingsError> {
        match self.optional::<f64>(name, "a number")? {
            None => Ok(default),
            Some(value) if value.is_finite() && value >= 0.0 => Ok(value),
            Some(value) => Err(self.error(name, format!("{value} is under 0"))),
        }
    }
}

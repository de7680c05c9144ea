//! Codec of the host list that discovery serves. Entries are decoded one by one, so that an invalid entry does not
//! invalidate the list.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;
use std::time::Duration;

/// HTTP path of the complete list.
pub const LIST_PATH: &str = "/v1/endpoints";

/// HTTP path of a long poll. Discovery responds once its list is newer than `revision`, or after `wait`.
pub fn watch_path(revision: u64, wait: Duration) -> String {
    format!("{LIST_PATH}?after={revision}&wait_ms={}", wait.as_millis())
}

/// A host list, as discovery sends it and as a configuration file may hold it.
#[derive(Deserialize, Debug)]
pub struct EndpointList<'a> {
    /// Increases with every change of the list, so that an outdated list can be recognized.
    pub revision: u64,
    /// Whether the list holds all hosts; otherwise it holds only those that changed.
    #[serde(rename = "complete")]
    pub is_complete: bool,
    #[serde(borrow)]
    members: Vec<&'a RawValue>,
}

/// An entry of the host list. Names on the wire that differ are in parentheses.
#[derive(Deserialize, Debug, Clone)]
pub struct ListedHost<'a> {
    /// Identifies the host; all directors see the same id.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// Address and port at which this director reaches the host (`host_port`); empty if missing.
    #[serde(borrow, default, rename = "host_port")]
    pub address: Cow<'a, str>,
    /// Name of the host's zone (`locality`); empty if missing.
    #[serde(borrow, default, rename = "locality")]
    pub zone: Cow<'a, str>,
    /// Group of hosts that deduplicate each other's repeated requests; 0 if missing.
    #[serde(default, deserialize_with = "number_or_zero")]
    pub cell: f64,
    /// Lifecycle phase: `Ready`, `Terminating` or `Gone`.
    #[serde(borrow)]
    pub phase: Cow<'a, str>,
    /// Capacity relative to other hosts (`size`); 0 if missing.
    #[serde(default, rename = "size", deserialize_with = "number_or_zero")]
    pub weight: f64,
    /// Last start of the host as Unix time in ms (`up_since_ms`); 0 if it started long ago.
    #[serde(default, rename = "up_since_ms", deserialize_with = "number_or_zero")]
    pub started_at: f64,
}

/// Deserializes a number. Any other value, including null, becomes 0 rather than invalidating the entry.
fn number_or_zero<'de, D: serde::Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    let value = serde_json::Value::deserialize(from)?;
    Ok(value.as_f64().unwrap_or(0.0))
}

/// Why an entry of a list is skipped.
#[derive(Debug)]
pub enum EntryError {
    /// The entry is not an object, or a field is missing or has the wrong type.
    Malformed(serde_json::Error),
    /// The id is empty or contains whitespace, a control character, a comma or a semicolon.
    InvalidId(String),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EntryError::Malformed(error) => error.fmt(f),
            EntryError::InvalidId(id) => write!(f, "id {id:?} is empty or contains a separator"),
        }
    }
}

impl std::error::Error for EntryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            EntryError::Malformed(error) => Some(error),
            EntryError::InvalidId(_) => None,
        }
    }
}

impl<'a> EndpointList<'a> {
    /// Decodes the entries. Ids that would not be a single word in the relay's orders are rejected.
    pub fn hosts(&self) -> impl Iterator<Item = Result<ListedHost<'a>, EntryError>> + '_ {
        let is_separator = |c: char| c.is_whitespace() || c.is_control() || c == ',' || c == ';';
        self.members.iter().map(move |raw| {
            let host: ListedHost<'a> =
                serde_json::from_str(raw.get()).map_err(EntryError::Malformed)?;
            if host.id.is_empty() || host.id.contains(is_separator) {
                return Err(EntryError::InvalidId(host.id.into_owned()));
            }
            Ok(host)
        })
    }
}

/// Decodes a list, except for its entries; see [`EndpointList::hosts`].
///
/// # Errors
/// The bytes are not a JSON object with `revision`, `complete` and `members`.
pub fn decode(body: &[u8]) -> Result<EndpointList<'_>, serde_json::Error> {
    serde_json::from_slice(body)
}

//! Discovery's list of hosts. Each entry is read by itself: one that can't be read does not cost the others.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;
use std::time::Duration;

/// The path of the complete list.
pub const LIST_PATH: &str = "/v1/endpoints";

/// The path of a watch, which is answered once there is something newer than a revision, or after `wait`.
pub fn watch_path(revision: u64, wait: Duration) -> String {
    format!("{LIST_PATH}?after={revision}&wait_ms={}", wait.as_millis())
}

/// An answer of discovery, or the list within a configuration.
#[derive(Deserialize, Debug)]
pub struct EndpointList<'a> {
    /// Numbers the list's changes.
    pub revision: u64,
    /// Whether all hosts are in it, or only those that changed.
    #[serde(rename = "complete")]
    pub is_complete: bool,
    #[serde(borrow)]
    members: Vec<&'a RawValue>,
}

/// A host as listed.
#[derive(Deserialize, Debug, Clone)]
pub struct ListedHost<'a> {
    /// Its name, the same for all directors.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// Where this director reaches it (`host_port`).
    #[serde(borrow, default, rename = "host_port")]
    pub address: Cow<'a, str>,
    /// The name of its zone (`locality`).
    #[serde(borrow, default, rename = "locality")]
    pub zone: Cow<'a, str>,
    /// The group of hosts that recognize each other's repeated requests.
    #[serde(default, deserialize_with = "number_or_zero")]
    pub cell: f64,
    /// `Ready`, `Terminating` or `Gone`.
    #[serde(borrow)]
    pub phase: Cow<'a, str>,
    /// Its weight beside other hosts (`size`).
    #[serde(default, rename = "size", deserialize_with = "number_or_zero")]
    pub weight: f64,
    /// Its last start as Unix time in milliseconds (`up_since_ms`); 0 for long ago.
    #[serde(default, rename = "up_since_ms", deserialize_with = "number_or_zero")]
    pub started_at: f64,
}

/// A number; 0 for any other value, null included: an odd figure does not cost the entry.
fn number_or_zero<'de, D: serde::Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    let value = serde_json::Value::deserialize(from)?;
    Ok(value.as_f64().unwrap_or(0.0))
}

/// Why an entry of a list can't be used.
#[derive(Debug)]
pub enum EntryError {
    /// A field is missing or of another type.
    Malformed(serde_json::Error),
    /// The host's name is empty, or could not be read back by the relay.
    InvalidId(String),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EntryError::Malformed(error) => error.fmt(f),
            EntryError::InvalidId(id) => write!(f, "id {id:?} is no word"),
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
    /// The entries, each by itself. A host's name has to be one word in the relay's orders.
    pub fn hosts(&self) -> impl Iterator<Item = Result<ListedHost<'a>, EntryError>> + '_ {
        let separates = |c: char| c.is_whitespace() || c.is_control() || c == ',' || c == ';';
        self.members.iter().map(move |raw| {
            let host: ListedHost<'a> =
                serde_json::from_str(raw.get()).map_err(EntryError::Malformed)?;
            if host.id.is_empty() || host.id.contains(separates) {
                return Err(EntryError::InvalidId(host.id.into_owned()));
            }
            Ok(host)
        })
    }
}

/// Reads a list.
///
/// # Errors
/// The bytes are no JSON object with `revision`, `complete` and `members`.
pub fn decode(body: &[u8]) -> Result<EndpointList<'_>, serde_json::Error> {
    serde_json::from_slice(body)
}

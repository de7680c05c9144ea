//! Discovery's list of hosts. Every entry is read on its own: one that can't be read does not cost the others.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// An answer of discovery, or the list in the configuration.
#[derive(Deserialize, Debug)]
pub struct Listing<'a> {
    pub revision: u64,
    pub complete: bool,
    #[serde(borrow)]
    members: Vec<&'a RawValue>,
}

/// One host.
#[derive(Deserialize, Debug, Clone)]
pub struct Member<'a> {
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    #[serde(borrow, default)]
    pub host_port: Cow<'a, str>,
    #[serde(borrow, default)]
    pub locality: Cow<'a, str>,
    #[serde(default, deserialize_with = "figure")]
    pub cell: f64,
    #[serde(borrow)]
    pub phase: Cow<'a, str>,
    #[serde(default, deserialize_with = "figure")]
    pub size: f64,
    #[serde(default, deserialize_with = "figure")]
    pub up_since_ms: f64,
}

/// A figure; 0 for anything else, as where it is null.
fn figure<'de, D: serde::Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    Ok(serde_json::Value::deserialize(from)?
        .as_f64()
        .unwrap_or(0.0))
}

impl<'a> Listing<'a> {
    /// The entries, or why one can't be used. An id must be a word that the relay can read back.
    pub fn members(&self) -> impl Iterator<Item = Result<Member<'a>, String>> + '_ {
        self.members.iter().map(|raw| {
            let m: Member<'a> = serde_json::from_str(raw.get()).map_err(|e| e.to_string())?;
            let odd = |c: char| c.is_whitespace() || c.is_control() || c == ',' || c == ';';
            if m.id.is_empty() || m.id.contains(odd) {
                Err(format!("id {:?} is no word", m.id))
            } else {
                Ok(m)
            }
        })
    }
}

pub fn decode(body: &[u8]) -> Result<Listing<'_>, serde_json::Error> {
    serde_json::from_slice(body)
}

/// The path of the whole list.
pub const WHOLE: &str = "/v1/endpoints";

/// The path of a watch for what is newer than a revision.
pub fn watch(after: u64, wait_ms: u64) -> String {
    format!("{WHOLE}?after={after}&wait_ms={wait_ms}")
}

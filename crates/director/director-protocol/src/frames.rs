//! What is spoken at the director's address: a length of four bytes, least significant first, and one JSON
//! object whose `@type` names its kind.

use crate::load;
use bytes::{BufMut, Bytes, BytesMut};
use rushcourse_policy::interface::HostLoad;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// No message exceeds this.
pub const MESSAGE_MOST: usize = 1 << 20;
/// Nor does one of somebody who has not joined: a ping or a joining takes some tens of bytes.
pub const FIRST_MOST: usize = 4 << 10;

/// Whether the first four bytes of a connection begin a message. The word of an HTTP method, read as a length,
/// is far beyond the longest message, so the two can't be mistaken for each other.
pub fn is_http(first: [u8; 4]) -> bool {
    u32::from_le_bytes(first) as usize > MESSAGE_MOST
        && first.iter().all(|b| b.is_ascii_uppercase() || *b == b' ')
}

/// A message by its kind. What is not needed here is not read.
#[derive(Debug)]
pub enum Message<'a> {
    Ping,
    Collector {
        zone: Cow<'a, str>,
    },
    Heard(Heard<'a>),
    Usage(Usage<'a>),
    /// A kind that this program has no use for.
    Other(Cow<'a, str>),
    /// A field of it is missing or of another type. The messages around it may be good.
    Spoilt(&'static str),
}

/// What the proxies of a zone met at a host. All fields are of their types; whether they make sense is not
/// looked at here.
#[derive(Debug)]
pub struct Heard<'a> {
    pub az: Cow<'a, str>,
    pub host: Cow<'a, str>,
    pub n: f64,
    pub bad: f64,
    /// Nothing where no try was good.
    pub avg: Option<f64>,
    pub window: f64,
    pub load: HostLoad,
}

/// What came to a proxy.
#[derive(Debug)]
pub struct Usage<'a> {
    pub sidecar: u32,
    pub kind: Cow<'a, str>,
    pub n: f64,
    pub bad: f64,
    pub window: f64,
}

/// The fields of a message as they came: one that can't be read does not cost the others.
struct Fields<'a>(BTreeMap<String, &'a RawValue>);

impl<'a> Fields<'a> {
    /// A field by its name; null is none.
    fn maybe<T: Deserialize<'a>>(&self, name: &'static str) -> Result<Option<T>, &'static str> {
        let raw = self.0.get(name);
        raw.map_or(Ok(None), |raw| {
            serde_json::from_str(raw.get()).map_err(|_| name)
        })
    }

    fn field<T: Deserialize<'a>>(&self, name: &'static str) -> Result<T, &'static str> {
        self.maybe(name)?.ok_or(name)
    }

    fn word(&self, name: &'static str) -> Result<Cow<'a, str>, &'static str> {
        #[derive(Deserialize)]
        struct Word<'a>(#[serde(borrow)] Cow<'a, str>);
        Ok(self.field::<Word>(name)?.0)
    }

    fn message(&self) -> Result<Message<'a>, &'static str> {
        let kind = self.word("@type")?;
        Ok(match kind.as_ref() {
            "ping" => Message::Ping,
            "collector" => Message::Collector {
                zone: self.word("az")?,
            },
            "heard" => Message::Heard(Heard {
                az: self.word("az")?,
                host: self.word("host")?,
                n: self.field("n")?,
                bad: self.field("bad")?,
                avg: self.maybe("avg")?,
                window: self.field("window")?,
                load: load::object(self.0.get("report").copied()).ok_or("report")?,
            }),
            "usage" => Message::Usage(Usage {
                sidecar: self.field("sidecar")?,
                kind: self.word("kind")?,
                n: self.field("n")?,
                bad: self.field("bad")?,
                window: self.field("window")?,
            }),
            _ => Message::Other(kind),
        })
    }
}

/// Reads a message; an error where the bytes are no JSON object.
pub fn decode(frame: &[u8]) -> Result<Message<'_>, serde_json::Error> {
    let fields = Fields(serde_json::from_slice(frame)?);
    Ok(fields.message().unwrap_or_else(Message::Spoilt))
}

/// A message with its length before it.
pub fn encode(json: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(4 + json.len());
    out.put_u32_le(json.len() as u32);
    out.put_slice(json);
    out.freeze()
}

pub fn pong() -> Bytes {
    encode(br#"{"@type":"pong"}"#)
}

/// The last word to somebody who is not served.
pub fn refused(why: &'static str) -> Bytes {
    encode(
        serde_json::json!({"@type": "refused", "why": why})
            .to_string()
            .as_bytes(),
    )
}

//! What is spoken at the director's address: a length of four bytes, least significant first, and one JSON
//! object whose `@type` names its kind.

use bytes::{BufMut, Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use tokio_util::codec::LengthDelimitedCodec;

/// No message exceeds this.
pub const MESSAGE_MOST: usize = 1 << 20;

/// Cuts a stream into messages; a longer one is an error.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().little_endian().max_frame_length(MESSAGE_MOST).new_codec()
}

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
}

#[derive(Deserialize)]
struct Head<'a> {
    #[serde(rename = "@type", borrow)]
    kind: Cow<'a, str>,
}

#[derive(Deserialize)]
struct Collector<'a> {
    #[serde(borrow)]
    az: Cow<'a, str>,
}

/// What the proxies of a zone met at a host.
#[derive(Deserialize, Debug)]
pub struct Heard<'a> {
    #[serde(borrow)]
    pub az: Cow<'a, str>,
    #[serde(borrow)]
    pub host: Cow<'a, str>,
    pub n: f64,
    #[serde(default)]
    pub bad: f64,
    #[serde(default)]
    pub avg: Option<f64>,
    #[serde(default)]
    pub window: f64,
    /// The host's load report, as it came.
    #[serde(default, borrow)]
    pub report: Option<&'a RawValue>,
}

/// What came to a proxy.
#[derive(Deserialize, Debug)]
pub struct Usage<'a> {
    pub sidecar: u32,
    #[serde(borrow)]
    pub kind: Cow<'a, str>,
    pub n: f64,
    #[serde(default)]
    pub bad: f64,
    #[serde(default)]
    pub window: f64,
}

pub fn decode(frame: &[u8]) -> Result<Message<'_>, serde_json::Error> {
    let head: Head = serde_json::from_slice(frame)?;
    Ok(match head.kind.as_ref() {
        "ping" => Message::Ping,
        "collector" => Message::Collector { zone: serde_json::from_slice::<Collector>(frame)?.az },
        "heard" => Message::Heard(serde_json::from_slice(frame)?),
        "usage" => Message::Usage(serde_json::from_slice(frame)?),
        _ => Message::Other(head.kind),
    })
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

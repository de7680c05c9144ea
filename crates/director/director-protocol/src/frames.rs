//! Messages at the director's own address. A frame is a length of four bytes, least significant first, and one JSON
//! object of that length, whose `@type` names its kind.

use crate::load_report;
use bytes::{BufMut, Bytes, BytesMut};
use rushcourse_policy::interface::{HostLoad, Ms, ProxyId};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;

/// No message is longer.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// No message of a peer is longer that has not registered as a collector: a ping or a registration takes some tens of
/// bytes.
pub const MAX_UNREGISTERED_MESSAGE_BYTES: usize = 4 << 10;

/// Bytes of a frame before its message.
const LENGTH_BYTES: usize = 4;

/// Whether the first four bytes of a connection begin an HTTP request instead of a frame. The name of an HTTP method,
/// read as a length, is far beyond the longest message, so that neither is taken for the other.
pub fn is_http(first: [u8; LENGTH_BYTES]) -> bool {
    u32::from_le_bytes(first) as usize > MAX_MESSAGE_BYTES
        && first
            .iter()
            .all(|byte| byte.is_ascii_uppercase() || *byte == b' ')
}

/// A message to a director.
#[derive(Debug)]
pub enum Message<'a> {
    /// Asks for a pong (`ping`).
    Ping,
    /// The sender is the collector of a zone and reports from now on (`collector`).
    RegisterCollector {
        /// The zone's name.
        zone: Cow<'a, str>,
    },
    /// What proxies met at a host (`heard`).
    HostReport(HostReport<'a>),
    /// What clients sent to a proxy (`usage`).
    TrafficReport(TrafficReport<'a>),
    /// A message of a kind that directors have no use for; its `@type`.
    Unknown(Cow<'a, str>),
}

/// What the proxies of a zone met at a host. All fields are of their types; whether their values make sense is looked at
/// elsewhere.
#[derive(Debug)]
pub struct HostReport<'a> {
    /// The zone's name (`az`).
    pub zone: Cow<'a, str>,
    /// The host's name.
    pub host: Cow<'a, str>,
    /// Attempts that ended (`n`).
    pub attempts: f64,
    /// Attempts that failed (`bad`).
    pub failed: f64,
    /// Mean time of the others (`avg`); nothing where there are none.
    pub mean_latency: Option<Ms>,
    /// The span that the report covers (`window`).
    pub span: Ms,
    /// The host's last load report (`report`).
    pub load: HostLoad,
}

/// What clients sent to a proxy. All fields are of their types; whether their values make sense is looked at elsewhere.
#[derive(Debug)]
pub struct TrafficReport<'a> {
    /// The proxy's number (`sidecar`).
    pub proxy: ProxyId,
    /// The name of the requests' class (`kind`).
    pub class: Cow<'a, str>,
    /// Requests that the proxy admitted (`n`).
    pub attempts: f64,
    /// Requests that it could not serve (`bad`).
    pub failed: f64,
    /// The span that the report covers (`window`).
    pub span: Ms,
}

/// Why a message can't be read.
#[derive(Debug)]
pub enum MessageError {
    /// The bytes are no JSON object.
    NotAnObject(serde_json::Error),
    /// This field is missing or of another type. The messages around may be good.
    InvalidField(&'static str),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MessageError::NotAnObject(error) => write!(f, "no JSON object ({error})"),
            MessageError::InvalidField(name) => {
                write!(f, "field {name} is missing or of another type")
            }
        }
    }
}

impl std::error::Error for MessageError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            MessageError::NotAnObject(error) => Some(error),
            MessageError::InvalidField(_) => None,
        }
    }
}

/// The fields of a message, each read by itself: fields that nobody needs may hold anything.
struct Fields<'a>(BTreeMap<String, &'a RawValue>);

impl<'a> Fields<'a> {
    /// A field that may be missing; null stands for none.
    fn optional<T: Deserialize<'a>>(&self, name: &'static str) -> Result<Option<T>, MessageError> {
        self.0.get(name).map_or(Ok(None), |raw| {
            serde_json::from_str(raw.get()).map_err(|_| MessageError::InvalidField(name))
        })
    }

    fn required<T: Deserialize<'a>>(&self, name: &'static str) -> Result<T, MessageError> {
        self.optional(name)?.ok_or(MessageError::InvalidField(name))
    }

    /// A text, borrowed from the message wherever it holds no escape.
    fn text(&self, name: &'static str) -> Result<Cow<'a, str>, MessageError> {
        #[derive(Deserialize)]
        struct Borrowed<'a>(#[serde(borrow)] Cow<'a, str>);
        Ok(self.required::<Borrowed>(name)?.0)
    }

    fn load(&self, name: &'static str) -> Result<HostLoad, MessageError> {
        load_report::from_json(self.0.get(name).copied()).ok_or(MessageError::InvalidField(name))
    }

    fn message(&self) -> Result<Message<'a>, MessageError> {
        let kind = self.text("@type")?;
        Ok(match kind.as_ref() {
            "ping" => Message::Ping,
            "collector" => Message::RegisterCollector {
                zone: self.text("az")?,
            },
            "heard" => Message::HostReport(HostReport {
                zone: self.text("az")?,
                host: self.text("host")?,
                attempts: self.required("n")?,
                failed: self.required("bad")?,
                mean_latency: self.optional("avg")?,
                span: self.required("window")?,
                load: self.load("report")?,
            }),
            "usage" => Message::TrafficReport(TrafficReport {
                proxy: self.required("sidecar")?,
                class: self.text("kind")?,
                attempts: self.required("n")?,
                failed: self.required("bad")?,
                span: self.required("window")?,
            }),
            _ => Message::Unknown(kind),
        })
    }
}

/// Reads a message, without the length before it.
///
/// # Errors
/// The bytes are no JSON object, or the message lacks a field that its kind needs.
pub fn decode(message: &[u8]) -> Result<Message<'_>, MessageError> {
    let fields = serde_json::from_slice(message).map_err(MessageError::NotAnObject)?;
    Fields(fields).message()
}

/// A frame with this message.
fn encode(json: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + json.len());
    frame.put_u32_le(json.len() as u32);
    frame.put_slice(json);
    frame.freeze()
}

/// The frame that answers a ping.
pub fn pong() -> Bytes {
    encode(br#"{"@type":"pong"}"#)
}

/// The last frame to a peer that is not served.
pub fn refused(why: &'static str) -> Bytes {
    let message = serde_json::json!({"@type": "refused", "why": why});
    encode(message.to_string().as_bytes())
}

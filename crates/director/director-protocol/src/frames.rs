//! Codec of the messages on the director's own port. A frame is a length of four bytes in little-endian order, followed
//! by a JSON object of that many bytes, whose `@type` names the kind of message.

use crate::load_report;
use bytes::{BufMut, Bytes, BytesMut};
use rushcourse_policy::interface::{HostLoad, Ms, ProxyId};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;

/// Longest message that a registered collector may send, without the length prefix.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Longest message of a peer that has not registered as a collector, which only sends pings and its registration.
/// These take some tens of bytes.
pub const MAX_UNREGISTERED_MESSAGE_BYTES: usize = 4 << 10;

/// Size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

/// Whether the first four bytes of a connection begin an HTTP request rather than a frame. This is unambiguous: the
/// name of an HTTP method, read as a length, exceeds [`MAX_MESSAGE_BYTES`].
pub fn is_http(first: [u8; LENGTH_BYTES]) -> bool {
    u32::from_le_bytes(first) as usize > MAX_MESSAGE_BYTES
        && first
            .iter()
            .all(|byte| byte.is_ascii_uppercase() || *byte == b' ')
}

/// A message to a director. The `@type` of each kind is in parentheses.
#[derive(Debug)]
pub enum Message<'a> {
    /// Requests a pong (`ping`).
    Ping,
    /// Registers the sender as the collector of a zone, which sends reports from then on (`collector`).
    RegisterCollector {
        /// Name of the zone (`az`).
        zone: Cow<'a, str>,
    },
    /// Results of the attempts that a zone's proxies made at one host (`heard`).
    HostReport(HostReport<'a>),
    /// Requests that clients sent to one proxy (`usage`).
    TrafficReport(TrafficReport<'a>),
    /// A message of a kind that directors ignore, with its `@type`.
    Unknown(Cow<'a, str>),
}

/// Results of the attempts that a zone's proxies made at one host. Decoding checks only the types of the fields; the
/// receiver has to check their ranges.
#[derive(Debug)]
pub struct HostReport<'a> {
    /// Name of the proxies' zone (`az`).
    pub zone: Cow<'a, str>,
    /// Id of the host in discovery's list.
    pub host: Cow<'a, str>,
    /// Finished attempts, including failed ones (`n`).
    pub attempts: f64,
    /// Failed attempts (`bad`).
    pub failed: f64,
    /// Mean latency of the successful attempts (`avg`); `None` if there were none.
    pub mean_latency: Option<Ms>,
    /// Time that the report covers, in ms (`window`).
    pub span: Ms,
    /// Latest load report of the host (`report`); empty if there is none.
    pub load: HostLoad,
}

/// Requests that clients sent to one proxy. Decoding checks only the types of the fields; the receiver has to check
/// their ranges.
#[derive(Debug)]
pub struct TrafficReport<'a> {
    /// Number of the proxy (`sidecar`).
    pub proxy: ProxyId,
    /// Name of the request class (`kind`).
    pub class: Cow<'a, str>,
    /// Requests that the proxy admitted (`n`).
    pub attempts: f64,
    /// Requests that the proxy could not serve (`bad`); not a subset of `attempts`.
    pub failed: f64,
    /// Time that the report covers, in ms (`window`).
    pub span: Ms,
}

/// Why a message can't be decoded.
#[derive(Debug)]
pub enum MessageError {
    /// The bytes are not a JSON object.
    NotAnObject(serde_json::Error),
    /// The named field is missing or has the wrong type. Later messages on the connection are unaffected.
    InvalidField(&'static str),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MessageError::NotAnObject(error) => write!(f, "no JSON object ({error})"),
            MessageError::InvalidField(name) => {
                write!(f, "field {name} is missing or has the wrong type")
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

/// The undecoded fields of a message. Fields that its kind doesn't use may hold any value.
struct Fields<'a>(BTreeMap<String, &'a RawValue>);

impl<'a> Fields<'a> {
    /// Decodes a field; `None` if it is missing or null.
    fn optional<T: Deserialize<'a>>(&self, name: &'static str) -> Result<Option<T>, MessageError> {
        self.0.get(name).map_or(Ok(None), |raw| {
            serde_json::from_str(raw.get()).map_err(|_| MessageError::InvalidField(name))
        })
    }

    fn required<T: Deserialize<'a>>(&self, name: &'static str) -> Result<T, MessageError> {
        self.optional(name)?.ok_or(MessageError::InvalidField(name))
    }

    /// Decodes a string, borrowed from the message unless it contains escapes.
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

/// Decodes a message, without its length prefix.
///
/// # Errors
/// The bytes are not a JSON object, or a field that the message's kind requires is missing or has the wrong type.
pub fn decode(message: &[u8]) -> Result<Message<'_>, MessageError> {
    let fields = serde_json::from_slice(message).map_err(MessageError::NotAnObject)?;
    Fields(fields).message()
}

/// Prepends the length to a JSON message.
fn encode(json: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + json.len());
    frame.put_u32_le(json.len() as u32);
    frame.put_slice(json);
    frame.freeze()
}

/// The frame that responds to a ping.
pub fn pong() -> Bytes {
    encode(br#"{"@type":"pong"}"#)
}

/// The last frame to a peer that is not served; `reason` tells the peer why.
pub fn refused(reason: &'static str) -> Bytes {
    let message = serde_json::json!({"@type": "refused", "why": reason});
    encode(message.to_string().as_bytes())
}

//! Parts that several messages have: nodes, addresses, spans.

use crate::proto::envoy::config::core::v3 as core;
use prost_types::Duration;
use prost_types::value::Kind;
use rushcourse_policy::interface::Ms;
use rushcourse_xds::Node;

const NANOS_PER_MS: f64 = 1e6;
const NANOS_PER_SECOND: i32 = 1_000_000_000;

/// An address from host:port; an IPv6 address stands in brackets. A host's name is kept as it is.
pub(super) fn encode_address(text: &str) -> core::Address {
    let (host, port) = text.rsplit_once(':').unwrap_or((text, ""));
    let port = core::socket_address::PortSpecifier::PortValue(port.parse().unwrap_or(0));
    let socket_address = core::SocketAddress {
        protocol: 0,
        address: host
            .trim_start_matches('[')
            .trim_end_matches(']')
            .to_string(),
        port_specifier: Some(port),
    };
    core::Address {
        address: Some(core::address::Address::SocketAddress(socket_address)),
    }
}

/// An address as host:port; nothing where it has no port.
pub(super) fn decode_address(address: Option<&core::Address>) -> Option<String> {
    let core::address::Address::SocketAddress(socket_address) = address?.address.as_ref()?;
    let Some(core::socket_address::PortSpecifier::PortValue(port)) = &socket_address.port_specifier
    else {
        return None;
    };
    let host = &socket_address.address;
    Some(if host.contains(':') {
        format!("[{host}]:{port}")
    } else {
        format!("{host}:{port}")
    })
}

/// A span of so many ms.
pub fn encode_duration(ms: Ms) -> Duration {
    Duration {
        seconds: (ms / 1000.0).floor() as i64,
        nanos: (ms % 1000.0 * NANOS_PER_MS) as i32,
    }
}

/// A span in ms; nothing where it is negative, or its nanoseconds are a second or more.
pub fn decode_duration(duration: &Duration) -> Option<Ms> {
    let is_valid = duration.seconds >= 0 && (0..NANOS_PER_SECOND).contains(&duration.nanos);
    is_valid.then(|| duration.seconds as f64 * 1000.0 + f64::from(duration.nanos) / NANOS_PER_MS)
}

pub(super) fn decode_node(node: &core::Node) -> Node {
    let metadata = node.metadata.as_ref();
    let rate = metadata.and_then(|metadata| metadata.fields.get("rate"));
    Node {
        id: node.id.clone(),
        zone: node
            .locality
            .as_ref()
            .map(|locality| locality.zone.clone())
            .unwrap_or_default(),
        rate: rate.and_then(|value| match value.kind {
            Some(Kind::NumberValue(rate)) => Some(rate),
            _ => None,
        }),
    }
}

//! Conversion of nodes, addresses and durations.

use crate::proto::envoy::config::core::v3 as core;
use prost_types::Duration;
use prost_types::value::Kind;
use rushcourse_policy::interface::Ms;
use rushcourse_xds::Node;

const NANOS_PER_MS: f64 = 1e6;
const NANOS_PER_SECOND: i32 = 1_000_000_000;

/// Encodes `host:port`, where an IPv6 address is in brackets. Host names are not resolved. A missing or invalid port
/// becomes 0.
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

/// Decodes an address to `host:port`, with brackets around an IPv6 address. Returns `None` if the address or its
/// numeric port is missing.
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

/// Converts non-negative milliseconds to a protobuf duration.
pub fn encode_duration(ms: Ms) -> Duration {
    Duration {
        seconds: (ms / 1000.0).floor() as i64,
        nanos: (ms % 1000.0 * NANOS_PER_MS) as i32,
    }
}

/// Converts a protobuf duration to milliseconds. Returns `None` if it is negative or `nanos` is not below one second.
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

//! Endpoint table of a class, decoded from a `ClusterLoadAssignment`.

use envoy_types::pb::envoy::config::core::v3::{
    Address, HealthStatus, Metadata, address, socket_address,
};
use envoy_types::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, LbEndpoint, lb_endpoint,
};
use envoy_types::pb::google::protobuf::value::Kind;
use std::collections::BTreeMap;

/// Key in `filter_metadata` of the director's own metadata fields.
const METADATA_NAMESPACE: &str = "rushcourse";

/// A host of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Address as `host:port`. Empty if the message has none.
    pub address: String,
    /// Zone of the endpoint's locality.
    pub zone: String,
    /// Load balancing weight. 0 if the message has none.
    pub weight: u32,
    /// Whether the health status is `DRAINING`: the host receives no new requests.
    pub draining: bool,
}

/// Endpoints and admission settings of a class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Endpoints by the host's ID in the membership list.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// Share of requests that the proxy must reject, in parts per million.
    pub drop_per_million: u32,
    /// Name of the retry policy from the locality metadata, such as `never`.
    pub retry_policy: String,
}

impl Table {
    pub(super) fn decode(assignment: &ClusterLoadAssignment) -> Table {
        let mut table = Table::default();
        for locality in &assignment.endpoints {
            table.retry_policy = metadata_text(locality.metadata.as_ref(), "again");
            let zone = locality.locality.as_ref().map(|locality| &locality.zone);
            for endpoint in &locality.lb_endpoints {
                let host = metadata_text(endpoint.metadata.as_ref(), "host");
                let zone = zone.cloned().unwrap_or_default();
                if let Some(endpoint) = Endpoint::decode(endpoint, zone) {
                    table.endpoints.insert(host, endpoint);
                }
            }
        }
        table.drop_per_million = assignment
            .policy
            .iter()
            .flat_map(|policy| &policy.drop_overloads)
            .filter_map(|drop| drop.drop_percentage.as_ref())
            .map(|share| share.numerator)
            .sum();
        table
    }
}

impl Endpoint {
    fn decode(message: &LbEndpoint, zone: String) -> Option<Endpoint> {
        let Some(lb_endpoint::HostIdentifier::Endpoint(endpoint)) = &message.host_identifier else {
            return None;
        };
        Some(Endpoint {
            address: address_text(endpoint.address.as_ref()),
            zone,
            weight: message
                .load_balancing_weight
                .as_ref()
                .map_or(0, |weight| weight.value),
            draining: message.health_status == HealthStatus::Draining as i32,
        })
    }
}

fn metadata_text(metadata: Option<&Metadata>, field: &str) -> String {
    let namespace = metadata.and_then(|metadata| metadata.filter_metadata.get(METADATA_NAMESPACE));
    let value = namespace.and_then(|namespace| namespace.fields.get(field)?.kind.as_ref());
    match value {
        Some(Kind::StringValue(text)) => text.clone(),
        _ => String::new(),
    }
}

fn address_text(address: Option<&Address>) -> String {
    let Some(address::Address::SocketAddress(socket_address)) =
        address.and_then(|address| address.address.as_ref())
    else {
        return String::new();
    };
    match socket_address.port_specifier {
        Some(socket_address::PortSpecifier::PortValue(port)) => {
            format!("{}:{port}", socket_address.address)
        }
        _ => socket_address.address.clone(),
    }
}

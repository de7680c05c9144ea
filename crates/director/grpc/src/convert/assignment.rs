//! Conversion of endpoint tables from and to `ClusterLoadAssignment` messages.

use super::common::{decode_address, encode_address};
use crate::proto::envoy::config::core::v3 as core;
use crate::proto::envoy::config::endpoint::v3 as endpoint;
use crate::proto::envoy::r#type::v3 as percent;
use endpoint::cluster_load_assignment::Policy;
use endpoint::cluster_load_assignment::policy::DropOverload;
use endpoint::lb_endpoint::HostIdentifier;
use percent::fractional_percent::DenominatorType;
use prost_types::value::Kind;
use prost_types::{Struct, Value};
use rushcourse_policy::interface::RetryPolicy;
use rushcourse_xds::{ClusterLoadAssignment, Endpoint, Locality};
use std::collections::BTreeMap;

/// Key in `metadata.filter_metadata` of the director's own metadata fields.
const METADATA_NAMESPACE: &str = "rushcourse";
/// Locality metadata field with the retry policy, one of [`RETRY_POLICY_NAMES`].
const RETRY_POLICY_FIELD: &str = "again";
/// Endpoint metadata field with the host's ID from the membership list.
const HOST_FIELD: &str = "host";
/// Retry policies and their names in metadata.
const RETRY_POLICY_NAMES: [(RetryPolicy, &str); 4] = [
    (RetryPolicy::Never, "never"),
    (RetryPolicy::OnceIfNotRun, "after_proof"),
    (RetryPolicy::OnceAfterFailure, "once_after_any"),
    (RetryPolicy::TwiceAfterFailure, "twice_after_any"),
];
/// Drop category of the requests that admission control rejects.
const ADMISSION_CATEGORY: &str = "admission";

/// Encodes an assignment as an xDS message.
pub fn encode_assignment(assignment: &ClusterLoadAssignment) -> endpoint::ClusterLoadAssignment {
    let retry_policy = encode_retry_policy(assignment.retry_policy);
    let drop_overloads = if assignment.drop_per_million > 0 {
        vec![encode_drop(assignment.drop_per_million)]
    } else {
        Vec::new()
    };
    endpoint::ClusterLoadAssignment {
        cluster_name: assignment.cluster_name.clone(),
        endpoints: assignment
            .localities
            .iter()
            .map(|locality| encode_locality(locality, retry_policy))
            .collect(),
        policy: Some(Policy { drop_overloads }),
    }
}

/// Decodes an xDS message. Returns `None` if a required field is missing or the retry policy is unknown.
pub fn decode_assignment(
    message: &endpoint::ClusterLoadAssignment,
) -> Option<ClusterLoadAssignment> {
    let mut retry_policy = RetryPolicy::Never;
    let mut localities = Vec::new();
    for locality in &message.endpoints {
        retry_policy = decode_retry_policy(metadata_text(&locality.metadata, RETRY_POLICY_FIELD)?)?;
        let endpoints = locality.lb_endpoints.iter().map(decode_endpoint);
        localities.push(Locality {
            endpoints: endpoints.collect::<Option<_>>()?,
            zone: locality.locality.as_ref()?.zone.clone(),
        });
    }
    let drop_per_million = message
        .policy
        .iter()
        .flat_map(|policy| &policy.drop_overloads)
        .filter(|drop| drop.category == ADMISSION_CATEGORY)
        .filter_map(|drop| drop.drop_percentage.as_ref())
        .map(per_million)
        .sum();
    Some(ClusterLoadAssignment {
        cluster_name: message.cluster_name.clone(),
        localities,
        drop_per_million,
        retry_policy,
    })
}

fn encode_retry_policy(retry_policy: RetryPolicy) -> &'static str {
    RETRY_POLICY_NAMES
        .iter()
        .find(|(policy, _)| *policy == retry_policy)
        .map_or("never", |(_, word)| word)
}

fn decode_retry_policy(text: &str) -> Option<RetryPolicy> {
    RETRY_POLICY_NAMES
        .iter()
        .find(|(_, word)| *word == text)
        .map(|(policy, _)| *policy)
}

fn encode_locality(locality: &Locality, retry_policy: &str) -> endpoint::LocalityLbEndpoints {
    endpoint::LocalityLbEndpoints {
        locality: Some(core::Locality {
            zone: locality.zone.clone(),
            ..core::Locality::default()
        }),
        // The sum of the endpoint weights, so that locality-weighted balancing gives each endpoint the same share as
        // balancing over all endpoints.
        load_balancing_weight: Some(
            locality
                .endpoints
                .iter()
                .map(|endpoint| endpoint.weight)
                .fold(0u32, u32::saturating_add),
        ),
        lb_endpoints: locality.endpoints.iter().map(encode_endpoint).collect(),
        metadata: Some(metadata(RETRY_POLICY_FIELD, retry_policy)),
        priority: 0,
    }
}

fn encode_endpoint(endpoint: &Endpoint) -> endpoint::LbEndpoint {
    let health_status = if endpoint.draining {
        core::HealthStatus::Draining
    } else {
        core::HealthStatus::Healthy
    };
    let identifier = HostIdentifier::Endpoint(endpoint::Endpoint {
        address: Some(encode_address(&endpoint.address)),
        hostname: String::new(),
    });
    endpoint::LbEndpoint {
        host_identifier: Some(identifier),
        health_status: health_status as i32,
        metadata: Some(metadata(HOST_FIELD, &endpoint.host)),
        load_balancing_weight: Some(endpoint.weight),
    }
}

fn decode_endpoint(message: &endpoint::LbEndpoint) -> Option<Endpoint> {
    let Some(HostIdentifier::Endpoint(identifier)) = &message.host_identifier else {
        return None;
    };
    Some(Endpoint {
        host: metadata_text(&message.metadata, HOST_FIELD)?.into(),
        address: decode_address(identifier.address.as_ref())?,
        weight: message.load_balancing_weight?,
        draining: message.health_status == core::HealthStatus::Draining as i32,
    })
}

fn encode_drop(drop_per_million: u32) -> DropOverload {
    DropOverload {
        category: ADMISSION_CATEGORY.into(),
        drop_percentage: Some(percent::FractionalPercent {
            numerator: drop_per_million,
            denominator: DenominatorType::Million as i32,
        }),
    }
}

/// Converts a fraction to parts per million.
fn per_million(share: &percent::FractionalPercent) -> u32 {
    const MILLION: i32 = DenominatorType::Million as i32;
    const TEN_THOUSAND: i32 = DenominatorType::TenThousand as i32;
    match share.denominator {
        MILLION => share.numerator,
        TEN_THOUSAND => share.numerator.saturating_mul(100),
        _ => share.numerator.saturating_mul(10_000),
    }
}

fn metadata(field: &str, text: &str) -> core::Metadata {
    let value = Value {
        kind: Some(Kind::StringValue(text.into())),
    };
    let fields = BTreeMap::from([(field.to_string(), value)]);
    core::Metadata {
        filter_metadata: [(METADATA_NAMESPACE.to_string(), Struct { fields })].into(),
    }
}

fn metadata_text<'a>(metadata: &'a Option<core::Metadata>, field: &str) -> Option<&'a str> {
    let namespace = metadata.as_ref()?.filter_metadata.get(METADATA_NAMESPACE)?;
    match &namespace.fields.get(field)?.kind {
        Some(Kind::StringValue(text)) => Some(text),
        _ => None,
    }
}

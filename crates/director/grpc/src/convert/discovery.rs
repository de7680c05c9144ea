//! Conversion of discovery requests and responses.

use super::assignment::encode_assignment;
use super::common::decode_node;
use crate::proto::envoy::config::core::v3 as core;
use crate::proto::envoy::service::discovery::v3 as discovery;
use prost::Message;
use prost_types::Any;
use rushcourse_xds::{
    CLUSTER_LOAD_ASSIGNMENT_TYPE_URL, DeltaDiscoveryRequest, DeltaDiscoveryResponse,
    DiscoveryRequest, DiscoveryResponse, Resource,
};

pub(crate) fn decode_request(request: discovery::DiscoveryRequest) -> DiscoveryRequest {
    DiscoveryRequest {
        node: request.node.as_ref().map(decode_node),
        type_url: request.type_url,
        resource_names: request.resource_names,
        version_info: request.version_info,
        response_nonce: request.response_nonce,
        error_detail: request.error_detail.map(|status| status.message),
    }
}

pub(crate) fn decode_delta_request(
    request: discovery::DeltaDiscoveryRequest,
) -> DeltaDiscoveryRequest {
    DeltaDiscoveryRequest {
        node: request.node.as_ref().map(decode_node),
        type_url: request.type_url,
        resource_names_subscribe: request.resource_names_subscribe,
        resource_names_unsubscribe: request.resource_names_unsubscribe,
        initial_resource_versions: request.initial_resource_versions,
        response_nonce: request.response_nonce,
        error_detail: request.error_detail.map(|status| status.message),
    }
}

/// Encodes a state-of-the-world response. `director` is sent as the control plane identifier.
pub(crate) fn encode_response(
    director: &str,
    response: DiscoveryResponse,
) -> discovery::DiscoveryResponse {
    discovery::DiscoveryResponse {
        version_info: response.version_info,
        resources: response.resources.iter().map(encode_any).collect(),
        type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
        nonce: response.nonce,
        control_plane: Some(control_plane(director)),
    }
}

/// Encodes a delta response. `director` is sent as the control plane identifier.
pub(crate) fn encode_delta_response(
    director: &str,
    response: DeltaDiscoveryResponse,
) -> discovery::DeltaDiscoveryResponse {
    discovery::DeltaDiscoveryResponse {
        system_version_info: response.system_version_info,
        resources: response.resources.iter().map(encode_resource).collect(),
        type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
        nonce: response.nonce,
        removed_resources: response.removed_resources,
        control_plane: Some(control_plane(director)),
    }
}

fn encode_resource(resource: &Resource) -> discovery::Resource {
    discovery::Resource {
        version: resource.version.clone(),
        resource: Some(encode_any(resource)),
        name: resource.assignment.cluster_name.clone(),
        aliases: Vec::new(),
    }
}

fn encode_any(resource: &Resource) -> Any {
    Any {
        type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
        value: encode_assignment(&resource.assignment).encode_to_vec(),
    }
}

fn control_plane(director: &str) -> core::ControlPlane {
    core::ControlPlane {
        identifier: director.into(),
    }
}

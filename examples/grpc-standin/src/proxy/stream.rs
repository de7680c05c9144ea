//! Discovery stream of a proxy, state of the world or delta.

use super::table::Table;
use super::{Behavior, ProxyOptions, SharedState, State};
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use envoy_types::pb::google::protobuf::Any;
use envoy_types::pb::google::rpc;
use prost::Message;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Channel;
use tonic::{Code, Status};

const CLUSTER_LOAD_ASSIGNMENT_TYPE_URL: &str =
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
/// Capacity of the queue of requests to send.
const REQUEST_CHANNEL_CAPACITY: usize = 16;

/// An ACK or NACK of the response with this nonce.
struct Acknowledgement {
    nonce: String,
    is_nack: bool,
}

impl Acknowledgement {
    fn error_detail(&self) -> Option<rpc::Status> {
        self.is_nack.then(|| rpc::Status {
            code: Code::InvalidArgument as i32,
            message: "rejected by the stand-in proxy".into(),
            ..rpc::Status::default()
        })
    }
}

impl State {
    /// Applies a resource and returns its name, or `None` if it can't be decoded.
    fn apply(&mut self, resource: &Any) -> Option<String> {
        let assignment = ClusterLoadAssignment::decode(&resource.value[..]).ok()?;
        self.resource_bytes += resource.value.len();
        let name = assignment.cluster_name.clone();
        self.tables.insert(name.clone(), Table::decode(&assignment));
        Some(name)
    }

    /// Records a response's nonce and returns the acknowledgement to send, if any.
    fn acknowledge(&mut self, behavior: Behavior, nonce: String) -> Option<Acknowledgement> {
        self.nonces.push(nonce.clone());
        let (nonce, is_nack) = match behavior {
            Behavior::Acknowledges | Behavior::ReadsNothing => (nonce, false),
            Behavior::Rejects => (nonce, true),
            Behavior::AcknowledgesOlder => (self.nonces.iter().rev().nth(1)?.clone(), false),
            Behavior::IsSilent => return None,
        };
        Some(Acknowledgement { nonce, is_nack })
    }
}

/// Opens a stream, applies its responses until it ends, and records its final status.
pub(super) async fn run(channel: Channel, options: ProxyOptions, state: SharedState) {
    let ended = if options.is_delta {
        follow_delta(channel, &options, &state).await
    } else {
        follow_state_of_the_world(channel, &options, &state).await
    };
    let status = ended.err().unwrap_or_else(stream_ended);
    state.lock().status = Some(status);
}

/// Status recorded for a stream that the director ended without an error.
pub(crate) fn stream_ended() -> Status {
    Status::ok("the stream has ended")
}

async fn follow_state_of_the_world(
    channel: Channel,
    options: &ProxyOptions,
    state: &SharedState,
) -> Result<(), Status> {
    let (requests, queued_requests) = mpsc::channel(REQUEST_CHANNEL_CAPACITY);
    let subscription = DiscoveryRequest {
        resource_names: options.classes.clone(),
        type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
        ..DiscoveryRequest::default()
    };
    let first = DiscoveryRequest {
        node: Some(options.node()),
        version_info: options.held.combined.clone(),
        ..subscription.clone()
    };
    _ = requests.send(first).await;
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let mut responses = client
        .stream_aggregated_resources(ReceiverStream::new(queued_requests))
        .await?
        .into_inner();
    if options.behavior == Behavior::ReadsNothing {
        return std::future::pending().await;
    }
    while let Some(response) = responses.message().await? {
        let acknowledgement = {
            let mut state = state.lock();
            for resource in &response.resources {
                state.apply(resource);
            }
            state.held.combined = response.version_info.clone();
            state.acknowledge(options.behavior, response.nonce)
        };
        if let Some(acknowledgement) = acknowledgement {
            let request = DiscoveryRequest {
                version_info: response.version_info,
                error_detail: acknowledgement.error_detail(),
                response_nonce: acknowledgement.nonce,
                ..subscription.clone()
            };
            _ = requests.send(request).await;
        }
    }
    Ok(())
}

async fn follow_delta(
    channel: Channel,
    options: &ProxyOptions,
    state: &SharedState,
) -> Result<(), Status> {
    let (requests, queued_requests) = mpsc::channel(REQUEST_CHANNEL_CAPACITY);
    let first = initial_delta_request(options);
    _ = requests.send(first).await;
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let mut responses = client
        .delta_aggregated_resources(ReceiverStream::new(queued_requests))
        .await?
        .into_inner();
    if options.behavior == Behavior::ReadsNothing {
        return std::future::pending().await;
    }
    while let Some(response) = responses.message().await? {
        let acknowledgement = {
            let mut state = state.lock();
            for resource in &response.resources {
                let name = resource.resource.as_ref().and_then(|any| state.apply(any));
                if let Some(name) = name {
                    let version = resource.version.clone();
                    state.held.by_name.insert(name, version);
                }
            }
            state.acknowledge(options.behavior, response.nonce)
        };
        if let Some(acknowledgement) = acknowledgement {
            let request = DeltaDiscoveryRequest {
                type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
                error_detail: acknowledgement.error_detail(),
                response_nonce: acknowledgement.nonce,
                ..DeltaDiscoveryRequest::default()
            };
            _ = requests.send(request).await;
        }
    }
    Ok(())
}

fn initial_delta_request(options: &ProxyOptions) -> DeltaDiscoveryRequest {
    let held = options.held.by_name.clone();
    DeltaDiscoveryRequest {
        node: Some(options.node()),
        resource_names_subscribe: options.classes.clone(),
        type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
        initial_resource_versions: held.into_iter().collect(),
        ..DeltaDiscoveryRequest::default()
    }
}

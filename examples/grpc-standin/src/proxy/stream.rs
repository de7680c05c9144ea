//! A proxy's discovery stream, state of the world or delta.

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
/// Requests that may wait to be sent.
const MAX_WAITING_REQUESTS: usize = 16;

/// An answer to a response.
struct Answer {
    nonce: String,
    is_nack: bool,
}

impl Answer {
    /// What a NACK says.
    fn error_detail(&self) -> Option<rpc::Status> {
        self.is_nack.then(|| rpc::Status {
            code: Code::InvalidArgument as i32,
            message: "it is not to this relay's taste".into(),
            ..rpc::Status::default()
        })
    }
}

impl State {
    /// Takes a resource over. Returns its name; nothing where it can't be read.
    fn apply(&mut self, resource: &Any) -> Option<String> {
        let assignment = ClusterLoadAssignment::decode(&resource.value[..]).ok()?;
        self.resource_bytes += resource.value.len();
        let name = assignment.cluster_name.clone();
        self.tables.insert(name.clone(), Table::decode(&assignment));
        Some(name)
    }

    /// The answer to a response; nothing where the proxy gives none.
    fn answer(&mut self, behavior: Behavior, nonce: String) -> Option<Answer> {
        self.nonces.push(nonce.clone());
        let (nonce, is_nack) = match behavior {
            Behavior::Acknowledges | Behavior::ReadsNothing => (nonce, false),
            Behavior::Rejects => (nonce, true),
            Behavior::AcknowledgesOlder => (self.nonces.iter().rev().nth(1)?.clone(), false),
            Behavior::IsSilent => return None,
        };
        Some(Answer { nonce, is_nack })
    }
}

/// Follows a stream until it ends.
pub(super) async fn run(channel: Channel, options: ProxyOptions, state: SharedState) {
    let ended = if options.is_delta {
        follow_delta(channel, &options, &state).await
    } else {
        follow_state_of_the_world(channel, &options, &state).await
    };
    let status = ended.err().unwrap_or_else(stream_ended);
    state.lock().status = Some(status);
}

/// The status of a stream that the director ends properly.
pub(crate) fn stream_ended() -> Status {
    Status::ok("the stream has ended")
}

async fn follow_state_of_the_world(
    channel: Channel,
    options: &ProxyOptions,
    state: &SharedState,
) -> Result<(), Status> {
    let (requests, waiting_requests) = mpsc::channel(MAX_WAITING_REQUESTS);
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
        .stream_aggregated_resources(ReceiverStream::new(waiting_requests))
        .await?
        .into_inner();
    if options.behavior == Behavior::ReadsNothing {
        return std::future::pending().await;
    }
    while let Some(response) = responses.message().await? {
        let answer = {
            let mut state = state.lock();
            for resource in &response.resources {
                state.apply(resource);
            }
            state.held.combined = response.version_info.clone();
            state.answer(options.behavior, response.nonce)
        };
        if let Some(answer) = answer {
            let request = DiscoveryRequest {
                version_info: response.version_info,
                error_detail: answer.error_detail(),
                response_nonce: answer.nonce,
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
    let (requests, waiting_requests) = mpsc::channel(MAX_WAITING_REQUESTS);
    let first = first_delta_request(options);
    _ = requests.send(first).await;
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let mut responses = client
        .delta_aggregated_resources(ReceiverStream::new(waiting_requests))
        .await?
        .into_inner();
    if options.behavior == Behavior::ReadsNothing {
        return std::future::pending().await;
    }
    while let Some(response) = responses.message().await? {
        let answer = {
            let mut state = state.lock();
            for resource in &response.resources {
                let name = resource.resource.as_ref().and_then(|any| state.apply(any));
                if let Some(name) = name {
                    let version = resource.version.clone();
                    state.held.by_name.insert(name, version);
                }
            }
            state.answer(options.behavior, response.nonce)
        };
        if let Some(answer) = answer {
            let request = DeltaDiscoveryRequest {
                type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
                error_detail: answer.error_detail(),
                response_nonce: answer.nonce,
                ..DeltaDiscoveryRequest::default()
            };
            _ = requests.send(request).await;
        }
    }
    Ok(())
}

fn first_delta_request(options: &ProxyOptions) -> DeltaDiscoveryRequest {
    let held = options.held.by_name.clone();
    DeltaDiscoveryRequest {
        node: Some(options.node()),
        resource_names_subscribe: options.classes.clone(),
        type_url: CLUSTER_LOAD_ASSIGNMENT_TYPE_URL.into(),
        initial_resource_versions: held.into_iter().collect(),
        ..DeltaDiscoveryRequest::default()
    }
}

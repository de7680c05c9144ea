//! Load reporting stream (LRS) of a proxy.

use crate::channel::connect;
use crate::error::StandinError;
use crate::proxy::{ProxyOptions, stream_ended};
use envoy_types::pb::envoy::config::core::v3::{Address, SocketAddress, address, socket_address};
use envoy_types::pb::envoy::config::endpoint::v3::{
    ClusterStats, EndpointLoadMetricStats, UpstreamEndpointStats, UpstreamLocalityStats,
};
use envoy_types::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_client::LoadReportingServiceClient;
use envoy_types::pb::google::protobuf::Duration;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Status;
use tonic::transport::Channel;

/// Capacity of the queue of requests to send.
const REQUEST_CHANNEL_CAPACITY: usize = 16;
/// Value of `load_report_interval` in each report.
const REPORT_SPAN: Duration = Duration {
    seconds: 1,
    nanos: 0,
};

/// Requests from a proxy to one host within a report interval.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Endpoint of the host as `host:port`.
    pub address: String,
    /// Number of requests sent to the host.
    pub attempts: u64,
    /// Number of failed requests; at most `attempts`.
    pub failed: u64,
    /// Mean latency of the successful requests in ms.
    pub mean_latency: f64,
}

impl Observation {
    fn successes(&self) -> u64 {
        self.attempts - self.failed
    }

    fn encode(&self) -> UpstreamEndpointStats {
        let latency = EndpointLoadMetricStats {
            metric_name: "latency_ms".into(),
            num_requests_finished_with_metric: self.successes(),
            total_metric_value: self.mean_latency * self.successes() as f64,
        };
        UpstreamEndpointStats {
            address: Some(encode_address(&self.address)),
            total_issued_requests: self.attempts,
            total_error_requests: self.failed,
            total_successful_requests: self.successes(),
            load_metric_stats: vec![latency],
            ..UpstreamEndpointStats::default()
        }
    }
}

#[derive(Debug, Default)]
struct State {
    /// Report interval in the director's last response, in ms.
    report_interval: Option<f64>,
    /// Final status of the stream. `None` while it is open.
    status: Option<Status>,
}

type SharedState = Arc<Mutex<State>>;

/// A load reporting stream, closed on drop.
pub struct LoadReporter {
    requests: mpsc::Sender<LoadStatsRequest>,
    state: SharedState,
    task: JoinHandle<()>,
}

impl Drop for LoadReporter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LoadReporter {
    /// Connects to a director and opens a stream for a proxy with this node ID and zone.
    ///
    /// # Errors
    /// Returns an error if the connection can't be established.
    pub async fn start(
        director: SocketAddr,
        id: &str,
        zone: &str,
    ) -> Result<LoadReporter, StandinError> {
        let channel = connect(director).await?;
        let (requests, queued_requests) = mpsc::channel(REQUEST_CHANNEL_CAPACITY);
        let first = LoadStatsRequest {
            node: Some(ProxyOptions::new(id, zone, &[], false).node()),
            cluster_stats: Vec::new(),
        };
        _ = requests.send(first).await;
        let state = SharedState::default();
        let task = tokio::spawn(run(channel, queued_requests, state.clone()));
        Ok(LoadReporter {
            requests,
            state,
            task,
        })
    }

    /// Sends a report on a class that covers one second.
    pub async fn report(&self, class: &str, observations: &[Observation]) {
        let locality = UpstreamLocalityStats {
            total_successful_requests: observations.iter().map(Observation::successes).sum(),
            total_error_requests: observations.iter().map(|seen| seen.failed).sum(),
            upstream_endpoint_stats: observations.iter().map(Observation::encode).collect(),
            ..UpstreamLocalityStats::default()
        };
        let stats = ClusterStats {
            cluster_name: class.into(),
            upstream_locality_stats: vec![locality],
            load_report_interval: Some(REPORT_SPAN),
            ..ClusterStats::default()
        };
        let request = LoadStatsRequest {
            node: None,
            cluster_stats: vec![stats],
        };
        _ = self.requests.send(request).await;
    }

    /// Report interval requested by the director, in ms. `None` before its first response.
    pub fn report_interval(&self) -> Option<f64> {
        lock(&self.state).report_interval
    }

    /// Final status of the stream. `None` while it is open.
    pub fn status(&self) -> Option<Status> {
        lock(&self.state).status.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn run(channel: Channel, requests: mpsc::Receiver<LoadStatsRequest>, state: SharedState) {
    let ended = read_responses(channel, requests, &state).await;
    let status = ended.err().unwrap_or_else(stream_ended);
    lock(&state).status = Some(status);
}

async fn read_responses(
    channel: Channel,
    requests: mpsc::Receiver<LoadStatsRequest>,
    state: &Mutex<State>,
) -> Result<(), Status> {
    let mut client = LoadReportingServiceClient::new(channel);
    let mut responses = client
        .stream_load_stats(ReceiverStream::new(requests))
        .await?
        .into_inner();
    while let Some(response) = responses.message().await? {
        let millis = |span: Duration| span.seconds as f64 * 1000.0 + f64::from(span.nanos) / 1e6;
        lock(state).report_interval = response.load_reporting_interval.map(millis);
    }
    Ok(())
}

fn encode_address(text: &str) -> Address {
    let (host, port) = text.rsplit_once(':').unwrap_or((text, "0"));
    let port = socket_address::PortSpecifier::PortValue(port.parse().unwrap_or(0));
    let socket_address = SocketAddress {
        address: host.into(),
        port_specifier: Some(port),
        ..SocketAddress::default()
    };
    Address {
        address: Some(address::Address::SocketAddress(socket_address)),
    }
}

//! A relay: it holds the tables that it was sent, and answers them, well or badly.

use crate::told;
use envoy_types::pb::envoy::config::core::v3::{
    Address, Locality, Node, SocketAddress, address, socket_address,
};
use envoy_types::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, ClusterStats, EndpointLoadMetricStats, UpstreamEndpointStats,
    UpstreamLocalityStats, lb_endpoint,
};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use envoy_types::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_client::LoadReportingServiceClient;
use envoy_types::pb::google::protobuf::value::Kind;
use envoy_types::pb::google::protobuf::{Any, Duration as Span, Struct, Value};
use envoy_types::pb::google::rpc::Status as Refusal;
use prost::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};

pub const TABLE_TYPE: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";

/// How a relay answers what it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Acknowledges,
    /// It reads and follows, and says nothing.
    IsSilent,
    /// It says that it can't take what it was sent.
    Refuses,
    /// It answers the one before the last, again and again.
    AnswersOlder,
    /// It reads nothing after its first request.
    ReadsNothing,
}

/// One host of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub address: String,
    pub zone: String,
    pub weight: u32,
    pub draining: bool,
}

/// A class's table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// By the host's own word for itself.
    pub lines: BTreeMap<String, Line>,
    /// Millionths that are turned away.
    pub drop_ppm: u32,
    pub again: String,
}

#[derive(Debug, Default)]
struct State {
    tables: BTreeMap<String, Table>,
    versions: BTreeMap<String, String>,
    version: String,
    nonces: Vec<String>,
    responses: usize,
    bytes: usize,
    ended: Option<tonic::Status>,
}

/// A relay with its stream.
pub struct Relay {
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What a relay starts from.
#[derive(Clone, Debug)]
pub struct Start {
    pub id: String,
    pub zone: String,
    pub rate: f64,
    pub classes: Vec<String>,
    /// Incremental, or state of the world.
    pub delta: bool,
    pub manner: Manner,
    /// What it holds from before: by class, and as a whole.
    pub held: BTreeMap<String, String>,
    pub version: String,
}

impl Start {
    pub fn new(id: &str, zone: &str, classes: &[&str], delta: bool) -> Start {
        Start {
            id: id.into(),
            zone: zone.into(),
            rate: 5.0,
            classes: classes.iter().map(|c| c.to_string()).collect(),
            delta,
            manner: Manner::Acknowledges,
            held: BTreeMap::new(),
            version: String::new(),
        }
    }

    fn node(&self) -> Node {
        let rate = Value {
            kind: Some(Kind::NumberValue(self.rate)),
        };
        Node {
            id: self.id.clone(),
            locality: Some(Locality {
                zone: self.zone.clone(),
                ..Locality::default()
            }),
            metadata: Some(Struct {
                fields: [("rate".to_string(), rate)].into(),
            }),
            ..Node::default()
        }
    }
}

fn word(
    metadata: Option<&envoy_types::pb::envoy::config::core::v3::Metadata>,
    field: &str,
) -> String {
    let value = metadata.and_then(|m| m.filter_metadata.get("rushcourse")?.fields.get(field));
    match value.and_then(|v| v.kind.as_ref()) {
        Some(Kind::StringValue(text)) => text.clone(),
        _ => String::new(),
    }
}

fn text(address: Option<&Address>) -> String {
    match address.and_then(|a| a.address.as_ref()) {
        Some(address::Address::SocketAddress(socket)) => match socket.port_specifier {
            Some(socket_address::PortSpecifier::PortValue(port)) => {
                format!("{}:{port}", socket.address)
            }
            _ => socket.address.clone(),
        },
        _ => String::new(),
    }
}

fn table(a: &ClusterLoadAssignment) -> Table {
    let mut table = Table::default();
    for locality in &a.endpoints {
        table.again = word(locality.metadata.as_ref(), "again");
        let zone = locality
            .locality
            .as_ref()
            .map(|l| l.zone.clone())
            .unwrap_or_default();
        for e in &locality.lb_endpoints {
            let Some(lb_endpoint::HostIdentifier::Endpoint(inner)) = &e.host_identifier else {
                continue;
            };
            let line = Line {
                address: text(inner.address.as_ref()),
                zone: zone.clone(),
                weight: e.load_balancing_weight.as_ref().map_or(0, |w| w.value),
                // `DRAINING` of the published health statuses.
                draining: e.health_status == 3,
            };
            table.lines.insert(word(e.metadata.as_ref(), "host"), line);
        }
    }
    let drops = a.policy.iter().flat_map(|p| &p.drop_overloads);
    table.drop_ppm = drops
        .filter_map(|d| d.drop_percentage.as_ref())
        .map(|p| p.numerator)
        .sum();
    table
}

impl State {
    fn take(&mut self, resource: &Any) -> Option<String> {
        let a = ClusterLoadAssignment::decode(&resource.value[..]).ok()?;
        self.bytes += resource.value.len();
        self.tables.insert(a.cluster_name.clone(), table(&a));
        Some(a.cluster_name)
    }

    /// The nonce to answer, and whether the answer is a refusal; nothing where it says nothing.
    fn answer(&mut self, manner: Manner, nonce: String) -> Option<(String, bool)> {
        self.responses += 1;
        self.nonces.push(nonce.clone());
        match manner {
            Manner::Acknowledges | Manner::ReadsNothing => Some((nonce, false)),
            Manner::IsSilent => None,
            Manner::Refuses => Some((nonce, true)),
            Manner::AnswersOlder => self.nonces.iter().rev().nth(1).cloned().map(|n| (n, false)),
        }
    }
}

/// A channel to a director, or to a host.
pub async fn channel(to: SocketAddr) -> Result<Channel, String> {
    let endpoint = Endpoint::from_shared(format!("http://{to}")).map_err(|e| told(&e))?;
    endpoint
        .connect_timeout(Duration::from_secs(5))
        .connect()
        .await
        .map_err(|e| told(&e))
}

/// A channel that greets, and trusts those whom this certificate (PEM) has signed; it shows who it is, where given.
pub async fn greeted(
    to: SocketAddr,
    ca: &str,
    own: Option<(&str, &str)>,
) -> Result<Channel, String> {
    let mut tls = ClientTlsConfig::new()
        .ca_certificate(Certificate::from_pem(ca))
        .domain_name("director.test");
    if let Some((cert, key)) = own {
        tls = tls.identity(Identity::from_pem(cert, key));
    }
    let endpoint = Endpoint::from_shared(format!("https://{to}")).map_err(|e| told(&e))?;
    let endpoint = endpoint.tls_config(tls).map_err(|e| told(&e))?;
    endpoint
        .connect_timeout(Duration::from_secs(5))
        .connect()
        .await
        .map_err(|e| told(&e))
}

impl Relay {
    /// Opens a stream and follows it.
    pub async fn start(to: SocketAddr, start: Start) -> Result<Relay, String> {
        Ok(Relay::on(channel(to).await?, start))
    }

    /// The same on a channel that stands.
    pub fn on(channel: Channel, start: Start) -> Relay {
        let state: Arc<Mutex<State>> = Arc::default();
        let own = state.clone();
        let task = tokio::spawn(async move {
            let done = if start.delta {
                follow_delta(channel, start, &own).await
            } else {
                follow(channel, start, &own).await
            };
            let status = done
                .err()
                .unwrap_or_else(|| tonic::Status::ok("the stream has ended"));
            lock(&own).ended = Some(status);
        });
        Relay { state, task }
    }

    pub fn table(&self, class: &str) -> Table {
        lock(&self.state)
            .tables
            .get(class)
            .cloned()
            .unwrap_or_default()
    }

    /// Weights of the hosts that it may pick for a class.
    pub fn lines(&self, class: &str) -> BTreeMap<String, u32> {
        let table = self.table(class);
        table
            .lines
            .into_iter()
            .filter(|(_, l)| !l.draining)
            .map(|(host, l)| (host, l.weight))
            .collect()
    }

    pub fn responses(&self) -> usize {
        lock(&self.state).responses
    }

    /// Bytes of the tables that came.
    pub fn bytes(&self) -> usize {
        lock(&self.state).bytes
    }

    pub fn held(&self) -> (BTreeMap<String, String>, String) {
        let state = lock(&self.state);
        (state.versions.clone(), state.version.clone())
    }

    /// The status that its stream ended with.
    pub fn ended(&self) -> Option<tonic::Status> {
        lock(&self.state).ended.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|e| e.into_inner())
}

fn refusal(refused: bool) -> Option<Refusal> {
    refused.then(|| Refusal {
        code: 3,
        message: "it is not to this relay's taste".into(),
        ..Refusal::default()
    })
}

async fn follow(channel: Channel, start: Start, state: &Mutex<State>) -> Result<(), tonic::Status> {
    let (say, requests) = mpsc::channel(16);
    let first = DiscoveryRequest {
        node: Some(start.node()),
        resource_names: start.classes.clone(),
        type_url: TABLE_TYPE.into(),
        version_info: start.version.clone(),
        ..DiscoveryRequest::default()
    };
    _ = say.send(first).await;
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let mut responses = client
        .stream_aggregated_resources(ReceiverStream::new(requests))
        .await?
        .into_inner();
    if start.manner == Manner::ReadsNothing {
        return std::future::pending().await;
    }
    while let Some(response) = responses.message().await? {
        let answer = {
            let mut state = lock(state);
            response.resources.iter().for_each(|r| drop(state.take(r)));
            state.version = response.version_info.clone();
            state.answer(start.manner, response.nonce)
        };
        if let Some((nonce, refused)) = answer {
            let request = DiscoveryRequest {
                resource_names: start.classes.clone(),
                type_url: TABLE_TYPE.into(),
                version_info: response.version_info,
                response_nonce: nonce,
                error_detail: refusal(refused),
                ..DiscoveryRequest::default()
            };
            _ = say.send(request).await;
        }
    }
    Ok(())
}

async fn follow_delta(
    channel: Channel,
    start: Start,
    state: &Mutex<State>,
) -> Result<(), tonic::Status> {
    let (say, requests) = mpsc::channel(16);
    let first = DeltaDiscoveryRequest {
        node: Some(start.node()),
        resource_names_subscribe: start.classes.clone(),
        type_url: TABLE_TYPE.into(),
        initial_resource_versions: start.held.clone().into_iter().collect(),
        ..DeltaDiscoveryRequest::default()
    };
    _ = say.send(first).await;
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let mut responses = client
        .delta_aggregated_resources(ReceiverStream::new(requests))
        .await?
        .into_inner();
    if start.manner == Manner::ReadsNothing {
        return std::future::pending().await;
    }
    while let Some(response) = responses.message().await? {
        let answer = {
            let mut state = lock(state);
            for resource in &response.resources {
                if let Some(name) = resource.resource.as_ref().and_then(|r| state.take(r)) {
                    state.versions.insert(name, resource.version.clone());
                }
            }
            state.answer(start.manner, response.nonce)
        };
        if let Some((nonce, refused)) = answer {
            let request = DeltaDiscoveryRequest {
                type_url: TABLE_TYPE.into(),
                response_nonce: nonce,
                error_detail: refusal(refused),
                ..DeltaDiscoveryRequest::default()
            };
            _ = say.send(request).await;
        }
    }
    Ok(())
}

/// What a relay met at a host, and how long good answers took in ms.
#[derive(Clone, Debug)]
pub struct Met {
    pub address: String,
    pub tries: u64,
    pub failed: u64,
    pub mean: f64,
}

/// A stream of load reports.
pub struct Reports {
    say: mpsc::Sender<LoadStatsRequest>,
    ended: Arc<Mutex<Option<tonic::Status>>>,
    /// The interval that the director asked for, in ms.
    pub every: Arc<Mutex<Option<f64>>>,
    task: JoinHandle<()>,
}

impl Drop for Reports {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Reports {
    pub async fn start(to: SocketAddr, id: &str, zone: &str) -> Result<Reports, String> {
        let channel = channel(to).await?;
        let (say, requests) = mpsc::channel(16);
        let node = Start::new(id, zone, &[], false).node();
        _ = say
            .send(LoadStatsRequest {
                node: Some(node),
                cluster_stats: Vec::new(),
            })
            .await;
        let (ended, every): (Arc<Mutex<_>>, Arc<Mutex<_>>) = Default::default();
        let (its, told) = (ended.clone(), every.clone());
        let task = tokio::spawn(async move {
            let mut client = LoadReportingServiceClient::new(channel);
            let done: Result<(), tonic::Status> = async {
                let mut responses = client
                    .stream_load_stats(ReceiverStream::new(requests))
                    .await?
                    .into_inner();
                while let Some(response) = responses.message().await? {
                    let ms = |d: Span| d.seconds as f64 * 1000.0 + f64::from(d.nanos) / 1e6;
                    *told.lock().unwrap_or_else(|e| e.into_inner()) =
                        response.load_reporting_interval.map(ms);
                }
                Ok(())
            }
            .await;
            let status = done
                .err()
                .unwrap_or_else(|| tonic::Status::ok("the stream has ended"));
            *its.lock().unwrap_or_else(|e| e.into_inner()) = Some(status);
        });
        Ok(Reports {
            say,
            ended,
            every,
            task,
        })
    }

    /// A report of a class over a second.
    pub async fn report(&self, class: &str, met: &[Met]) {
        let endpoint = |m: &Met| UpstreamEndpointStats {
            address: Some(address_of(&m.address)),
            total_issued_requests: m.tries,
            total_error_requests: m.failed,
            total_successful_requests: m.tries - m.failed,
            load_metric_stats: vec![EndpointLoadMetricStats {
                metric_name: "latency_ms".into(),
                num_requests_finished_with_metric: m.tries - m.failed,
                total_metric_value: m.mean * (m.tries - m.failed) as f64,
            }],
            ..UpstreamEndpointStats::default()
        };
        let locality = UpstreamLocalityStats {
            total_successful_requests: met.iter().map(|m| m.tries - m.failed).sum(),
            total_error_requests: met.iter().map(|m| m.failed).sum(),
            upstream_endpoint_stats: met.iter().map(endpoint).collect(),
            ..UpstreamLocalityStats::default()
        };
        let stats = ClusterStats {
            cluster_name: class.into(),
            upstream_locality_stats: vec![locality],
            load_report_interval: Some(Span {
                seconds: 1,
                nanos: 0,
            }),
            ..ClusterStats::default()
        };
        _ = self
            .say
            .send(LoadStatsRequest {
                node: None,
                cluster_stats: vec![stats],
            })
            .await;
    }

    pub fn ended(&self) -> Option<tonic::Status> {
        self.ended.lock().unwrap_or_else(|e| e.into_inner()).clone()
    }
}

fn address_of(text: &str) -> Address {
    let (host, port) = text.rsplit_once(':').unwrap_or((text, "0"));
    let socket = SocketAddress {
        address: host.into(),
        port_specifier: Some(socket_address::PortSpecifier::PortValue(
            port.parse().unwrap_or(0),
        )),
        ..SocketAddress::default()
    };
    Address {
        address: Some(address::Address::SocketAddress(socket)),
    }
}

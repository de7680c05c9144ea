//! Proxy with a discovery stream. It keeps the tables from the director's responses and acknowledges or rejects them as
//! configured.

mod stream;
mod table;

use crate::channel::connect;
use crate::error::StandinError;
use envoy_types::pb::envoy::config::core::v3::{Locality, Node};
use envoy_types::pb::google::protobuf::value::Kind;
use envoy_types::pb::google::protobuf::{Struct, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
pub(crate) use stream::stream_ended;
pub use table::{Endpoint, Table};
use tokio::task::JoinHandle;
use tonic::transport::Channel;

/// Value of `rate` in the node metadata: approximate requests per second.
const DEFAULT_RATE: f64 = 5.0;

/// How a proxy reacts to responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Applies each response and acknowledges it (ACK).
    Acknowledges,
    /// Applies each response and sends no further request.
    IsSilent,
    /// Applies each response, but rejects it (NACK).
    Rejects,
    /// Applies each response, but acknowledges the previous one.
    AcknowledgesOlder,
    /// Reads no responses after subscribing.
    ReadsNothing,
}

/// Resource versions that a proxy has applied, sent when it subscribes on a new stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldVersions {
    /// Versions by resource name, for delta streams.
    pub by_name: BTreeMap<String, String>,
    /// Version of all resources, for state-of-the-world streams. Empty if none was applied.
    pub combined: String,
}

/// Identity, subscription and behavior of a proxy.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// Node ID (`node.id`).
    pub id: String,
    /// Zone (`node.locality.zone`).
    pub zone: String,
    /// Names of the subscribed classes.
    pub classes: Vec<String>,
    /// Opens a delta stream instead of a state-of-the-world stream.
    pub is_delta: bool,
    /// How the proxy reacts to responses.
    pub behavior: Behavior,
    /// Versions applied on an earlier stream. Empty for a new proxy.
    pub held: HeldVersions,
}

impl ProxyOptions {
    /// Returns options of a new proxy that acknowledges all responses.
    pub fn new(id: &str, zone: &str, classes: &[&str], is_delta: bool) -> ProxyOptions {
        ProxyOptions {
            id: id.into(),
            zone: zone.into(),
            classes: classes.iter().map(|class| class.to_string()).collect(),
            is_delta,
            behavior: Behavior::Acknowledges,
            held: HeldVersions::default(),
        }
    }

    pub(crate) fn node(&self) -> Node {
        let rate = Value {
            kind: Some(Kind::NumberValue(DEFAULT_RATE)),
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

#[derive(Debug, Default)]
struct State {
    /// Applied tables by class.
    tables: BTreeMap<String, Table>,
    held: HeldVersions,
    /// Nonces of all responses, in the order of arrival.
    nonces: Vec<String>,
    /// Total encoded size of the received resources.
    resource_bytes: usize,
    /// Final status of the stream. `None` while it is open.
    status: Option<tonic::Status>,
}

/// State shared by [`Proxy`] and its stream's task.
#[derive(Clone, Debug, Default)]
struct SharedState(Arc<Mutex<State>>);

impl SharedState {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A proxy with a discovery stream, closed on drop.
pub struct Proxy {
    state: SharedState,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Connects to a director and opens a stream.
    ///
    /// # Errors
    /// Returns an error if the connection can't be established.
    pub async fn start(director: SocketAddr, options: ProxyOptions) -> Result<Proxy, StandinError> {
        Ok(Proxy::on_channel(connect(director).await?, options))
    }

    /// Opens a stream on an existing channel.
    pub fn on_channel(channel: Channel, options: ProxyOptions) -> Proxy {
        let state = SharedState::default();
        let task = tokio::spawn(stream::run(channel, options, state.clone()));
        Proxy { state, task }
    }

    /// Returns the applied table of a class. Empty if none was received.
    pub fn table(&self, class: &str) -> Table {
        let state = self.state.lock();
        state.tables.get(class).cloned().unwrap_or_default()
    }

    /// Returns the weights by host ID of a class's table, without draining hosts.
    pub fn weights(&self, class: &str) -> BTreeMap<String, u32> {
        let table = self.table(class);
        table
            .endpoints
            .into_iter()
            .filter(|(_, endpoint)| !endpoint.draining)
            .map(|(host, endpoint)| (host, endpoint.weight))
            .collect()
    }

    /// Number of responses received.
    pub fn response_count(&self) -> usize {
        self.state.lock().nonces.len()
    }

    /// Total encoded size of all received resources, in bytes.
    pub fn resource_bytes(&self) -> usize {
        self.state.lock().resource_bytes
    }

    /// Returns the applied versions, for the options of a reconnecting proxy.
    pub fn held(&self) -> HeldVersions {
        self.state.lock().held.clone()
    }

    /// Final status of the stream. `None` while it is open.
    pub fn status(&self) -> Option<tonic::Status> {
        self.state.lock().status.clone()
    }
}

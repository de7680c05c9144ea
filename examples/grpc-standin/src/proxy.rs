//! A proxy: it holds the tables that it was sent, and answers them, well or badly.

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

/// Requests a second that a proxy says it brings.
const DEFAULT_RATE: f64 = 5.0;

/// How a proxy answers what it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// It follows each response and acknowledges it (ACK).
    Acknowledges,
    /// It reads and follows, and answers nothing.
    IsSilent,
    /// It answers that it can't use what it was sent (NACK).
    Rejects,
    /// It acknowledges the response before the last, again and again.
    AcknowledgesOlder,
    /// It reads nothing after its first request.
    ReadsNothing,
}

/// What a proxy holds from an earlier stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldVersions {
    /// By resource name (delta streams).
    pub by_name: BTreeMap<String, String>,
    /// Of all resources together (state-of-the-world streams).
    pub combined: String,
}

/// What a proxy starts from.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// `node.id`.
    pub id: String,
    /// `node.locality.zone`.
    pub zone: String,
    /// The classes that it subscribes to.
    pub classes: Vec<String>,
    /// A delta stream, or state of the world.
    pub is_delta: bool,
    /// How it answers.
    pub behavior: Behavior,
    /// What it holds from before.
    pub held: HeldVersions,
}

impl ProxyOptions {
    /// A proxy that holds nothing and acknowledges all.
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

/// What a proxy has received.
#[derive(Debug, Default)]
struct State {
    tables: BTreeMap<String, Table>,
    held: HeldVersions,
    nonces: Vec<String>,
    /// Bytes of the resources that came.
    resource_bytes: usize,
    /// The status that its stream ended with.
    status: Option<tonic::Status>,
}

/// The state as the proxy's task and its owner share it.
#[derive(Clone, Debug, Default)]
struct SharedState(Arc<Mutex<State>>);

impl SharedState {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A proxy with its stream, which ends with it.
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
    /// Opens a stream to a director and follows it.
    ///
    /// # Errors
    /// The connection can't be made.
    pub async fn start(director: SocketAddr, options: ProxyOptions) -> Result<Proxy, StandinError> {
        Ok(Proxy::on_channel(connect(director).await?, options))
    }

    /// The same on a channel that is open.
    pub fn on_channel(channel: Channel, options: ProxyOptions) -> Proxy {
        let state = SharedState::default();
        let task = tokio::spawn(stream::run(channel, options, state.clone()));
        Proxy { state, task }
    }

    /// The table that it holds for a class.
    pub fn table(&self, class: &str) -> Table {
        let state = self.state.lock();
        state.tables.get(class).cloned().unwrap_or_default()
    }

    /// Weights of the hosts that it may pick for a class.
    pub fn weights(&self, class: &str) -> BTreeMap<String, u32> {
        let table = self.table(class);
        table
            .endpoints
            .into_iter()
            .filter(|(_, endpoint)| !endpoint.draining)
            .map(|(host, endpoint)| (host, endpoint.weight))
            .collect()
    }

    /// How many responses came.
    pub fn response_count(&self) -> usize {
        self.state.lock().nonces.len()
    }

    /// Bytes of the resources that came.
    pub fn resource_bytes(&self) -> usize {
        self.state.lock().resource_bytes
    }

    /// The versions that it holds.
    pub fn held(&self) -> HeldVersions {
        self.state.lock().held.clone()
    }

    /// The status that its stream ended with.
    pub fn status(&self) -> Option<tonic::Status> {
        self.state.lock().status.clone()
    }
}

//! Discovery service over HTTP. It serves the host list, complete or as changes since a revision (long poll), and can
//! simulate a server that stops responding or returns invalid JSON.

use axum::Router;
use axum::extract::{RawQuery, State};
use axum::routing::get;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Upper bound of a long poll's `wait_ms` parameter.
const MAX_WAIT_MS: u64 = 60_000;

/// How discovery responds to requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Responds according to the protocol.
    Normal,
    /// Accepts requests and never responds.
    Silent,
    /// Responds with truncated JSON.
    Garbled,
}

/// A list entry.
struct Member {
    /// Revision in which the entry last changed.
    revision: u64,
    entry: Value,
}

/// Discovery server on a TCP socket. Clones share the same list.
#[derive(Clone)]
pub struct Discovery {
    /// Bound listen address.
    pub address: SocketAddr,
    members: Arc<Mutex<BTreeMap<String, Member>>>,
    revision: Arc<watch::Sender<u64>>,
    behavior: Arc<watch::Sender<Behavior>>,
    request_count: Arc<watch::Sender<u64>>,
}

impl Discovery {
    /// Starts a server with an empty list. Port 0 selects a free port.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Discovery> {
        let listener = TcpListener::bind(address).await?;
        let discovery = Discovery {
            address: listener.local_addr()?,
            members: Arc::default(),
            revision: Arc::new(watch::channel(1).0),
            behavior: Arc::new(watch::channel(Behavior::Normal).0),
            request_count: Arc::default(),
        };
        let router = Router::new()
            .route("/v1/endpoints", get(list_endpoints))
            .with_state(discovery.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(discovery)
    }

    /// Changes the behavior for pending and future requests.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.behavior.send_replace(behavior);
    }

    /// Number of requests received so far, including those without a response.
    pub fn request_count(&self) -> u64 {
        *self.request_count.borrow()
    }

    /// Adds or replaces a list entry under a new revision. `phase` is `Ready`, `Terminating` or `Gone`.
    pub fn set_host(&self, id: &str, zone: &str, phase: &str, address: &str, up_since_ms: f64) {
        let entry = json!({"id": id, "host_port": address, "locality": zone, "flavor": "toy", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": up_since_ms});
        let revision = *self.revision.borrow() + 1;
        self.members
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(id.into(), Member { revision, entry });
        self.revision.send_replace(revision);
    }

    /// Returns the complete list, or only the entries newer than a revision. Entries in phase `Gone` are included only
    /// in the latter.
    pub fn list(&self, newer_than: Option<u64>) -> Value {
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let is_listed = |member: &Member| match newer_than {
            Some(revision) => member.revision > revision,
            None => member.entry["phase"] != "Gone",
        };
        let entries: Vec<&Value> = members
            .values()
            .filter(|member| is_listed(member))
            .map(|member| &member.entry)
            .collect();
        json!({"revision": *self.revision.borrow(), "complete": newer_than.is_none(), "members": entries})
    }

    /// Waits until the list is newer than a revision or `wait` has passed. Never returns if the behavior changes to
    /// [`Behavior::Silent`] meanwhile.
    async fn wait_for_change(&self, newer_than: u64, wait: Duration) {
        let (mut revision, mut behavior) = (self.revision.subscribe(), self.behavior.subscribe());
        let is_newer = async {
            revision
                .wait_for(|revision| *revision > newer_than)
                .await
                .is_ok()
        };
        let is_silent = async {
            behavior
                .wait_for(|behavior| *behavior == Behavior::Silent)
                .await
                .is_ok()
        };
        tokio::select! {
            _ = is_newer => {}
            _ = is_silent => future::pending().await,
            _ = tokio::time::sleep(wait) => {}
        }
    }
}

/// Returns a numeric query parameter, or `None` if it is missing or invalid.
fn query_number(query: &str, key: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .filter(|(name, _)| *name == key)
        .find_map(|(_, value)| value.parse().ok())
}

async fn list_endpoints(State(discovery): State<Discovery>, RawQuery(query): RawQuery) -> String {
    discovery.request_count.send_modify(|count| *count += 1);
    if *discovery.behavior.borrow() == Behavior::Silent {
        return future::pending().await;
    }
    let query = query.unwrap_or_default();
    let newer_than = query_number(&query, "after");
    if let Some(revision) = newer_than {
        let wait_ms = query_number(&query, "wait_ms")
            .unwrap_or(0)
            .min(MAX_WAIT_MS);
        discovery
            .wait_for_change(revision, Duration::from_millis(wait_ms))
            .await;
    }
    if *discovery.behavior.borrow() == Behavior::Garbled {
        "{\"revision\":".into()
    } else {
        discovery.list(newer_than).to_string()
    }
}

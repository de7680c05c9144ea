//! Discovery: the list of hosts, complete, or as changes to those who watch. It can be made to fall silent or to answer
//! nonsense.

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

/// A watch waits no longer, whatever it asks for.
const MAX_WAIT_MS: u64 = 60_000;

/// How discovery answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// As it should.
    Normal,
    /// Not at all.
    Silent,
    /// With a part of a JSON text.
    Garbled,
}

/// A host as listed, and the revision in which it last changed.
struct Member {
    revision: u64,
    entry: Value,
}

/// Discovery on a socket. Clones stand for the same one.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    members: Arc<Mutex<BTreeMap<String, Member>>>,
    revision: Arc<watch::Sender<u64>>,
    behavior: Arc<watch::Sender<Behavior>>,
    request_count: Arc<watch::Sender<u64>>,
}

impl Discovery {
    /// Starts discovery with an empty list.
    ///
    /// # Errors
    /// The address can't be bound.
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
            .route("/v1/endpoints", get(answer))
            .with_state(discovery.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(discovery)
    }

    /// Changes how requests are answered from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.behavior.send_replace(behavior);
    }

    /// Requests so far, answered or not.
    pub fn request_count(&self) -> u64 {
        *self.request_count.borrow()
    }

    /// Lists a host, or changes it. `phase` is `Ready`, `Terminating` or `Gone`.
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

    /// The complete list, or what of it is newer than a revision. Hosts that are gone appear among changes only.
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

    /// Waits until something is newer than a revision, or until the time is over. Whoever waits when discovery falls
    /// silent gets no answer any more.
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

/// A number in the query of a request.
fn query_number(query: &str, key: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .filter(|(name, _)| *name == key)
        .find_map(|(_, value)| value.parse().ok())
}

async fn answer(State(discovery): State<Discovery>, RawQuery(query): RawQuery) -> String {
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

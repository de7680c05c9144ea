//! Discovery: the list of hosts, whole or as changes to those who watch. It can be told to fall silent or to
//! answer nonsense.

use axum::Router;
use axum::extract::{RawQuery, State};
use axum::routing::get;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How it answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    Well,
    Silent,
    Nonsense,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    members: Arc<Mutex<BTreeMap<String, (u64, Value)>>>,
    revision: Arc<watch::Sender<u64>>,
    mood: Arc<watch::Sender<Mood>>,
    asked: Arc<watch::Sender<u64>>,
}

impl Discovery {
    pub async fn start(address: SocketAddr) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind(address).await?;
        let discovery = Discovery {
            address: listener.local_addr()?,
            members: Arc::default(),
            revision: Arc::new(watch::channel(1).0),
            mood: Arc::new(watch::channel(Mood::Well).0),
            asked: Arc::default(),
        };
        let router = Router::new()
            .route("/v1/endpoints", get(answer))
            .with_state(discovery.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(discovery)
    }

    pub fn mood(&self, mood: Mood) {
        self.mood.send_replace(mood);
    }

    /// Calls answered or not, so far.
    pub fn asked(&self) -> u64 {
        *self.asked.borrow()
    }

    /// Lists a host, or changes it.
    pub fn put(&self, id: &str, zone: &str, phase: &str, address: &str, up_since_ms: f64) {
        let member = json!({"id": id, "host_port": address, "locality": zone, "flavor": "toy", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": up_since_ms});
        let revision = *self.revision.borrow() + 1;
        self.members
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .insert(id.into(), (revision, member));
        self.revision.send_replace(revision);
    }

    /// The list, or what of it is newer than a revision. Hosts that are gone are told among changes only.
    pub fn list(&self, after: Option<u64>) -> Value {
        let members = self.members.lock().unwrap_or_else(|e| e.into_inner());
        let told = members.values().filter(|(revision, m)| match after {
            Some(after) => *revision > after,
            None => m["phase"] != "Gone",
        });
        let told: Vec<&Value> = told.map(|(_, m)| m).collect();
        json!({"revision": *self.revision.borrow(), "complete": after.is_none(), "members": told})
    }
}

async fn answer(State(d): State<Discovery>, RawQuery(query): RawQuery) -> String {
    d.asked.send_modify(|n| *n += 1);
    if *d.mood.borrow() == Mood::Silent {
        return std::future::pending().await;
    }
    let query = query.unwrap_or_default();
    let number = |key: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(k, _)| *k == key)
            .find_map(|(_, v)| v.parse::<u64>().ok())
    };
    let after = number("after");
    if let Some(after) = after {
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
        let (mut revision, mut mood) = (d.revision.subscribe(), d.mood.subscribe());
        let newer = async { revision.wait_for(|r| *r > after).await.is_ok() };
        let silent = async { mood.wait_for(|m| *m == Mood::Silent).await.is_ok() };
        tokio::select! {
            _ = newer => {}
            // Whoever waits when discovery goes silent hears nothing more.
            _ = silent => std::future::pending().await,
            _ = tokio::time::sleep(wait) => {}
        }
    }
    if *d.mood.borrow() == Mood::Nonsense {
        "{\"revision\":".into()
    } else {
        d.list(after).to_string()
    }
}

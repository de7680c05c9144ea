//! A relay: it takes calls with orders, keeps the tables that they make, and notifies of proxies. It can be made to
//! misbehave.
//!
//! * `tables`: what orders make of the relay's tables.
//! * `state`: proxies, faults and records, shared by all connections.
//! * `server`: calls and notifications on connections.

mod server;
mod state;
mod tables;

pub use state::CallFault;

use state::{JoinedProxy, Notice, Shared};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// A relay on a socket. Clones stand for the same relay at the same address.
#[derive(Clone)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// Whether this address still serves.
    is_serving: Arc<watch::Sender<bool>>,
}

impl Relay {
    /// Starts a relay without proxies and tables.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Relay> {
        Relay::serve(Arc::default(), address).await
    }

    /// The same relay at another address as well.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn listen_at(&self, address: SocketAddr) -> io::Result<Relay> {
        Relay::serve(self.shared.clone(), address).await
    }

    async fn serve(shared: Arc<Shared>, address: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind(address).await?;
        let relay = Relay {
            address: listener.local_addr()?,
            shared,
            is_serving: Arc::new(watch::channel(true).0),
        };
        let own = relay.clone();
        tokio::spawn(async move {
            server::serve(&own.shared, listener, own.is_serving.subscribe()).await;
        });
        Ok(relay)
    }

    /// This address accepts no new connection and closes those that are open.
    pub fn close(&self) {
        self.is_serving.send_replace(false);
    }

    /// A proxy joins; `rate` is a rough figure of its requests a second.
    pub fn join_proxy(&self, proxy: u32, zone: &str, rate: f64) {
        let joined = JoinedProxy {
            zone: zone.into(),
            rate,
            is_fresh: true,
        };
        let notification = joined.notification(proxy);
        self.shared.state().joined.insert(proxy, joined);
        self.notify(&notification);
    }

    /// A proxy leaves.
    pub fn remove_proxy(&self, proxy: u32) {
        {
            let mut state = self.shared.state();
            state.joined.remove(&proxy);
            state.messages.remove(&proxy);
            state.tables.unbind(proxy);
        }
        self.notify(&format!("* left {proxy}"));
    }

    /// The next call without a fault meets this one.
    pub fn inject_fault(&self, fault: CallFault) {
        self.shared.state().faults.push_back(fault);
    }

    /// Calls meet no faults any more.
    pub fn clear_faults(&self) {
        self.shared.state().faults.clear();
    }

    /// Breaks all watches.
    pub fn disconnect_watchers(&self) {
        self.shared.send(Notice::Disconnect);
    }

    /// Sends a line to all that watch.
    pub fn notify(&self, line: &str) {
        self.shared.send(Notice::Line(line.into()));
    }

    /// Puts the relay out of reach: connections stay open, and nothing is sent on them. Or back.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        self.shared.state().is_unreachable = is_unreachable;
    }

    /// Every call that came, as its orders.
    pub fn received_calls(&self) -> Vec<String> {
        self.shared.state().received_calls.clone()
    }

    /// Every order that was accepted.
    pub fn accepted_orders(&self) -> Vec<String> {
        self.shared.state().accepted_orders.clone()
    }

    /// The most messages that one proxy got within a span.
    pub fn max_messages_within(&self, span: Duration) -> usize {
        let state = self.shared.state();
        let from = |times: &[Instant]| {
            times
                .iter()
                .take_while(|time| time.duration_since(times[0]) <= span)
                .count()
        };
        let counts = state.messages.values().flat_map(|times| {
            (0..times.len())
                .map(|first| from(&times[first..]))
                .collect::<Vec<_>>()
        });
        counts.max().unwrap_or(0)
    }

    /// The weights of a table, by host.
    pub fn table(&self, table: u32) -> BTreeMap<String, f64> {
        self.shared.state().tables.weights(table)
    }

    /// The weights by host that a proxy may pick from: of all its tables, what is not withdrawn.
    pub fn endpoints(&self, proxy: u32) -> BTreeMap<String, f64> {
        self.shared.state().tables.endpoints(proxy)
    }

    /// Whether the tables of a proxy hold a host, withdrawn or not.
    pub fn has_endpoint(&self, proxy: u32, host: &str) -> bool {
        self.shared.state().tables.has_endpoint(proxy, host)
    }

    /// Watches that stand.
    pub fn watcher_count(&self) -> usize {
        self.shared.state().watcher_count
    }

    /// Watches that ever stood.
    pub fn total_watch_count(&self) -> usize {
        self.shared.state().total_watch_count
    }
}

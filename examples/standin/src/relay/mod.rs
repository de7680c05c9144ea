//! Relay stand-in. It applies the orders of calls to its tables and sends notifications of proxies to watchers. Tests
//! can inject faults.
//!
//! * `tables`: endpoint tables and the orders that change them.
//! * `state`: proxies, injected faults and recorded calls, shared by all connections.
//! * `server`: serves calls and watches on connections.

mod server;
mod state;
mod tables;

pub use state::CallFault;

use state::{JoinedProxy, Notification, Shared};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Relay on a TCP socket. Clones share the same state and listen address.
#[derive(Clone)]
pub struct Relay {
    /// Bound listen address.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// Set to false by [`Relay::close`].
    is_serving: Arc<watch::Sender<bool>>,
}

impl Relay {
    /// Starts a relay without proxies and tables. Port 0 selects a free port.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Relay> {
        Relay::serve(Arc::default(), address).await
    }

    /// Listens on an additional address and returns a handle that shares this relay's state. Closing either handle does
    /// not affect the other address.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
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

    /// Stops listening on this handle's address and closes its connections.
    pub fn close(&self) {
        self.is_serving.send_replace(false);
    }

    /// Adds a proxy and notifies watchers. `rate` is its approximate number of requests per second.
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

    /// Removes a proxy with its bindings and notifies watchers.
    pub fn remove_proxy(&self, proxy: u32) {
        {
            let mut state = self.shared.state();
            state.joined.remove(&proxy);
            state.messages.remove(&proxy);
            state.tables.unbind(proxy);
        }
        self.notify(&format!("* left {proxy}"));
    }

    /// Queues a fault. Each call takes one from the queue, in order.
    pub fn inject_fault(&self, fault: CallFault) {
        self.shared.state().faults.push_back(fault);
    }

    /// Discards all queued faults.
    pub fn clear_faults(&self) {
        self.shared.state().faults.clear();
    }

    /// Closes the connections of all watchers.
    pub fn disconnect_watchers(&self) {
        self.shared.send(Notification::Disconnect);
    }

    /// Sends a line to all watchers.
    pub fn notify(&self, line: &str) {
        self.shared.send(Notification::Line(line.into()));
    }

    /// Simulates a network partition: while set, connections stay open, but nothing is sent on them.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        self.shared.state().is_unreachable = is_unreachable;
    }

    /// Returns the orders text of every call received, including calls that met a fault.
    pub fn received_calls(&self) -> Vec<String> {
        self.shared.state().received_calls.clone()
    }

    /// Returns all accepted orders in the order of their arrival.
    pub fn accepted_orders(&self) -> Vec<String> {
        self.shared.state().accepted_orders.clone()
    }

    /// Returns the maximum number of messages to a single proxy within any time window of length `span`.
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

    /// Returns the weights of a table by host. Empty for an unknown table.
    pub fn table(&self, table: u32) -> BTreeMap<String, f64> {
        self.shared.state().tables.weights(table)
    }

    /// Returns the weights by host of all tables bound to a proxy, without withdrawn hosts.
    pub fn endpoints(&self, proxy: u32) -> BTreeMap<String, f64> {
        self.shared.state().tables.endpoints(proxy)
    }

    /// Returns whether a table bound to a proxy contains a host, withdrawn or not.
    pub fn has_endpoint(&self, proxy: u32, host: &str) -> bool {
        self.shared.state().tables.has_endpoint(proxy, host)
    }

    /// Number of open watches.
    pub fn watcher_count(&self) -> usize {
        self.shared.state().watcher_count
    }

    /// Number of watches opened since the relay started, including closed ones.
    pub fn total_watch_count(&self) -> usize {
        self.shared.state().total_watch_count
    }
}

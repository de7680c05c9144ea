//! Fake relay with scripted outcomes of calls.

use rushcourse_director_protocol::relay;
use rushcourse_director_state::{Input, RelayConnectionId, RelayLink};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Scripted reaction of the relay to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// Replies that all orders are accepted.
    Accept,
    /// Replies with this line.
    Reply(String),
    /// Breaks the connection without a reply.
    Disconnect,
    /// Keeps the connection open without a reply.
    Silence,
}

impl CallOutcome {
    pub fn reply(line: &str) -> CallOutcome {
        CallOutcome::Reply(line.into())
    }
}

/// A connection to the relay requested by the session.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    pub id: RelayConnectionId,
    pub address: SocketAddr,
}

/// Fake relay that records the calls and connections of the session.
pub struct FakeRelay {
    /// Whether connections are established at once; otherwise they stay pending.
    pub is_reachable: bool,
    /// Outcomes of the next calls; calls beyond them are accepted.
    pub outcomes: VecDeque<CallOutcome>,
    /// Orders of each received call, separated by semicolons.
    pub calls: Vec<String>,
    /// Whether a call is in flight.
    pub is_call_open: bool,
    /// Notifications sent to a new watch as its snapshot of joined proxies.
    pub joined: Vec<String>,
    /// All connections requested by the session, in order.
    pub connections: Vec<Connection>,
    /// All connections closed by the session, in order.
    pub disconnected: Vec<RelayConnectionId>,
}

impl FakeRelay {
    pub(super) fn new() -> FakeRelay {
        FakeRelay {
            is_reachable: true,
            outcomes: VecDeque::new(),
            calls: Vec::new(),
            is_call_open: false,
            joined: Vec::new(),
            connections: Vec::new(),
            disconnected: Vec::new(),
        }
    }

    /// Returns the latest connection of a link, established or not.
    pub fn latest(&self, link: RelayLink) -> Option<Connection> {
        self.connections
            .iter()
            .rfind(|connection| connection.id.link == link)
            .copied()
    }

    /// Identifier of the latest connection of a link; generation 0, which is never used, before the first.
    pub fn current(&self, link: RelayLink) -> RelayConnectionId {
        let none = RelayConnectionId {
            link,
            generation: 0,
        };
        self.latest(link).map_or(none, |connection| connection.id)
    }

    /// Number of connections of a link that the session requested.
    pub fn connect_count(&self, link: RelayLink) -> usize {
        self.connections
            .iter()
            .filter(|connection| connection.id.link == link)
            .count()
    }

    /// Number of connections of a link that the session closed.
    pub fn disconnect_count(&self, link: RelayLink) -> usize {
        self.disconnected
            .iter()
            .filter(|connection| connection.link == link)
            .count()
    }

    /// Orders of all calls starting with the call at index `first_call`.
    pub fn orders_from(&self, first_call: usize) -> Vec<String> {
        self.calls[first_call..]
            .iter()
            .flat_map(|call| call.split(';'))
            .map(str::to_string)
            .collect()
    }

    /// Number of orders that bind a proxy, starting with the call at index `first_call`.
    pub fn bind_count(&self, first_call: usize, proxy: u32) -> usize {
        let bind = format!("bind,{proxy},");
        self.orders_from(first_call)
            .iter()
            .filter(|order| order.starts_with(&bind))
            .count()
    }

    pub(super) fn connect(&mut self, connection: Connection, inputs: &mut VecDeque<Input>) {
        self.connections.push(connection);
        if connection.id.link == RelayLink::Calls {
            self.is_call_open = false;
        }
        if self.is_reachable {
            let connection = connection.id;
            inputs.push_back(Input::RelayConnected { connection });
        }
    }

    pub(super) fn disconnect(&mut self, connection: RelayConnectionId) {
        let is_known = self.connections.iter().any(|known| known.id == connection);
        assert!(is_known, "only requested connections are closed");
        let is_latest = connection == self.current(connection.link);
        assert!(
            is_latest || connection.link == RelayLink::Watch,
            "only a watch may be closed after its replacement was requested"
        );
        self.disconnected.push(connection);
        if connection.link == RelayLink::Calls {
            self.is_call_open = false;
        }
    }

    pub(super) fn watch(
        &self,
        connection: RelayConnectionId,
        request: &str,
        inputs: &mut VecDeque<Input>,
    ) {
        assert_eq!(request, relay::WATCH_REQUEST);
        if self.is_reachable {
            let line = |line: String| Input::RelayLine { connection, line };
            inputs.push_back(line("OK".into()));
            inputs.extend(self.joined.iter().cloned().map(line));
        }
    }

    pub(super) fn call(
        &mut self,
        connection: RelayConnectionId,
        line: &str,
        inputs: &mut VecDeque<Input>,
    ) {
        assert!(!self.is_call_open, "at most one call is in flight");
        assert!(line.ends_with("\r\n") && line.len() <= relay::MAX_ORDER_BYTES + 8);
        let orders = line
            .trim_end()
            .strip_prefix("APPLY ")
            .expect("line is a call");
        let accepted = format!("OK {}", orders.split(';').count());
        self.calls.push(orders.to_string());
        self.is_call_open = true;
        let outcome = self.outcomes.pop_front().unwrap_or(CallOutcome::Accept);
        inputs.push_back(match outcome {
            CallOutcome::Accept => Input::RelayLine {
                connection,
                line: accepted,
            },
            CallOutcome::Reply(line) => Input::RelayLine { connection, line },
            CallOutcome::Disconnect => Input::RelayDisconnected {
                connection,
                reason: "reset".into(),
            },
            CallOutcome::Silence => return,
        });
        self.is_call_open = false;
    }
}

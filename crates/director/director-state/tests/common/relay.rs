//! A relay that does as it is told.

use rushcourse_director_protocol::relay;
use rushcourse_director_state::{Input, RelayConnectionId, RelayLink};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// What the relay does with a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// Accepts all orders.
    Accept,
    /// Replies with this line.
    Reply(String),
    /// Breaks the connection.
    Disconnect,
    /// Does not reply.
    Silence,
}

impl CallOutcome {
    pub fn reply(line: &str) -> CallOutcome {
        CallOutcome::Reply(line.into())
    }
}

/// A connection to the relay that the session asked for.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    pub id: RelayConnectionId,
    pub address: SocketAddr,
}

/// The relay, and what the session did with it.
pub struct RelayStandIn {
    /// Connections are established at once; without, they never are.
    pub is_reachable: bool,
    /// For the calls to come; after those, each is accepted.
    pub outcomes: VecDeque<CallOutcome>,
    /// The orders of each call that came.
    pub calls: Vec<String>,
    /// A call waits for its reply.
    pub is_call_open: bool,
    /// Notifications of the proxies that are joined, sent to a new watch.
    pub joined: Vec<String>,
    /// All connections that the session asked for, the latest last.
    pub connections: Vec<Connection>,
    /// All connections that the session ended.
    pub disconnected: Vec<RelayConnectionId>,
}

impl RelayStandIn {
    pub(super) fn new() -> RelayStandIn {
        RelayStandIn {
            is_reachable: true,
            outcomes: VecDeque::new(),
            calls: Vec::new(),
            is_call_open: false,
            joined: Vec::new(),
            connections: Vec::new(),
            disconnected: Vec::new(),
        }
    }

    /// The latest connection of a link.
    pub fn latest(&self, link: RelayLink) -> Option<Connection> {
        self.connections
            .iter()
            .rfind(|connection| connection.id.link == link)
            .copied()
    }

    /// The name of the latest connection of a link; before the first, one that never stood.
    pub fn current(&self, link: RelayLink) -> RelayConnectionId {
        let none = RelayConnectionId {
            link,
            generation: 0,
        };
        self.latest(link).map_or(none, |connection| connection.id)
    }

    /// How often the session connected.
    pub fn connect_count(&self, link: RelayLink) -> usize {
        self.connections
            .iter()
            .filter(|connection| connection.id.link == link)
            .count()
    }

    /// How often the session ended a connection.
    pub fn disconnect_count(&self, link: RelayLink) -> usize {
        self.disconnected
            .iter()
            .filter(|connection| connection.link == link)
            .count()
    }

    /// The orders of all calls from one of them on.
    pub fn orders_from(&self, first_call: usize) -> Vec<String> {
        self.calls[first_call..]
            .iter()
            .flat_map(|call| call.split(';'))
            .map(str::to_string)
            .collect()
    }

    /// How often a proxy was bound, from a call on.
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
        assert!(is_known, "what was connected is ended");
        let is_latest = connection == self.current(connection.link);
        assert!(
            is_latest || connection.link == RelayLink::Watch,
            "only a watch is kept beside its successor"
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
        assert!(!self.is_call_open, "one call is in flight");
        assert!(line.ends_with("\r\n") && line.len() <= relay::MAX_ORDER_BYTES + 8);
        let orders = line.trim_end().strip_prefix("APPLY ").expect("a call");
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

//! Inputs to the director's session, and its start and restart.

use super::queue::Pending;
use super::setup;
use super::state::World;
use super::times::{RECONNECT_DELAY, START_TIME};
use bytes::Bytes;
use rushcourse_director_state::{InboundId, Input, RelayConnectionId, RelayLink};
use rushcourse_xds as xds;
use serde_json::{Value, json};
use std::collections::VecDeque;

/// Identifier of the collector's connection, the only inbound one.
const COLLECTOR: InboundId = InboundId(1);

impl World<'_> {
    /// Passes an input to the session and applies its effects, including inputs that these cause immediately.
    pub(super) fn handle_input(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input, Input::Wake]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.director.session.step(START_TIME + self.now, input) {
                self.apply_effect(effect, &mut inputs);
            }
        }
    }

    /// Passes an event of a discovery or load report stream to the session.
    pub(super) fn handle_stream_input(&mut self, input: xds::Input) {
        self.handle_input(Input::Stream(input));
    }

    /// Sends a line from the relay on the director's current watch connection.
    pub(super) fn watch_line(&mut self, line: String) {
        let connection = RelayConnectionId {
            link: RelayLink::Watch,
            generation: self.director.watch_generation,
        };
        self.handle_input(Input::RelayLine { connection, line });
    }

    /// Sends a message from the collector to the director.
    pub(super) fn collector_message(&mut self, message: &Value) {
        self.handle_input(Input::InboundMessage {
            inbound: COLLECTOR,
            message: Bytes::from(message.to_string()),
        });
    }

    /// Answers the director's last discovery request with changed members of the list.
    pub(super) fn list_changes(&mut self, members: &[Value]) {
        let body = json!({"revision": self.list.revision, "complete": false, "members": members});
        self.handle_input(Input::EndpointsFetched {
            request: self.director.list_request,
            body: body.to_string().into(),
        });
    }

    /// Starts the session and connects the collector, which registers for the first zone.
    pub(super) fn start_director(&mut self) {
        self.handle_input(Input::Start);
        self.handle_input(Input::InboundOpened {
            inbound: COLLECTOR,
            peer: "collector".into(),
        });
        let joins = json!({"@type": "collector", "az": self.script.zones[0]});
        self.collector_message(&joins);
    }

    /// Replaces the session by a new one that has only the cached list of hosts. The relay's tables and responses in
    /// transit are lost. Joined proxies reconnect after [`RECONNECT_DELAY`].
    pub(super) fn restart_director(&mut self) {
        self.director.starts += 1;
        self.director.session = setup::new_session(self.script, &self.list, self.director.starts);
        self.director.wake_at = f64::INFINITY;
        self.streams.proxies.clear();
        // Proxies keep the tables that they received before the restart.
        self.relay.relay = setup::new_relay();
        self.checker.director_restarted(self.now);
        self.queue.drop_director_traffic();
        self.start_director();
        for proxy in 0..self.proxies.len() {
            let state = &mut self.proxies[proxy];
            if state.is_joined {
                state.undelivered.clear();
                state.has_unaccepted_response = false;
                self.schedule_after(RECONNECT_DELAY, Pending::ProxyReconnects(proxy));
            }
        }
    }
}

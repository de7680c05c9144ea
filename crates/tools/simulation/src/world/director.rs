//! What the world hands to the director.

use super::queue::Pending;
use super::setup;
use super::state::World;
use super::times::{REOPEN_DELAY, START};
use bytes::Bytes;
use rushcourse_director_state::{Conn, Input, Link};
use rushcourse_xds as xds;
use serde_json::{Value, json};
use std::collections::VecDeque;

/// The collector's connection.
const COLLECTOR: Conn = 1;

impl World<'_> {
    /// Hands an input over and does what comes of it.
    pub(super) fn give(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input, Input::Wake]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.director.session.step(START + self.now, input) {
                self.carry_out(effect, &mut inputs);
            }
        }
    }

    /// Hands over what happens on a stream.
    pub(super) fn give_stream(&mut self, input: xds::Input) {
        self.give(Input::Stream(input));
    }

    /// The relay writes a line on its watch.
    pub(super) fn watch_line(&mut self, text: String) {
        let turn = self.director.watch_generation;
        self.give(Input::Line {
            link: Link::News,
            turn,
            text,
        });
    }

    /// The collector writes a message.
    pub(super) fn collector_message(&mut self, message: &Value) {
        self.give(Input::Frame {
            conn: COLLECTOR,
            bytes: Bytes::from(message.to_string()),
        });
    }

    /// Discovery answers the last request with changes of the list.
    pub(super) fn list_changes(&mut self, members: &[Value]) {
        let body = json!({"revision": self.list.revision, "complete": false, "members": members});
        self.give(Input::Listed {
            ask: self.director.list_request,
            body: body.to_string().into(),
        });
    }

    /// A director starts: collectors dial in.
    pub(super) fn start_director(&mut self) {
        self.give(Input::Start);
        self.give(Input::Opened {
            conn: COLLECTOR,
            peer: "collector".into(),
        });
        let joins = json!({"@type": "collector", "az": self.script.zones[0]});
        self.collector_message(&joins);
    }

    /// The director dies and comes back with the list that it had: streams are opened anew, and the relay says who is
    /// joined. What was on its way from the old one is lost with it.
    pub(super) fn restart_director(&mut self) {
        self.director.starts += 1;
        self.director.session = setup::director(self.script, &self.list, self.director.starts);
        self.director.wake_at = f64::INFINITY;
        self.streams.proxies.clear();
        // What the relay kept of the old one's tables went with it; proxies hold what they had.
        self.relay.relay = setup::relay();
        self.checker.director_restarted(self.now);
        self.queue.drop_director_traffic();
        self.start_director();
        for proxy in 0..self.proxies.len() {
            let state = &mut self.proxies[proxy];
            if state.is_joined {
                state.waiting.clear();
                state.has_unaccepted_response = false;
                self.after(REOPEN_DELAY, Pending::Reopens(proxy));
            }
        }
    }
}

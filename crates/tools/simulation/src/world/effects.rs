//! What the director asks for is carried out.

use super::outcome::Flaw;
use super::queue::Pending;
use super::setup;
use super::state::World;
use super::times::TRANSIT;
use crate::script::CLASSES;
use rushcourse_director_state::{Effect, Input, Link};
use rushcourse_policy::interface::{Ms, RetryPolicy};
use rushcourse_xds as xds;
use serde_json::json;
use std::collections::VecDeque;
use std::rc::Rc;

/// ms after which a watch of the list ends without a change.
const WATCH_TIMEOUT: Ms = 3900.0;
/// ms after which a relay whose stream was ended opens another one.
const STREAM_RETRY_DELAY: Ms = 300.0;
/// How often each response goes out where the flaw asks for too many messages.
const FLAWED_REPEATS: usize = 20;
/// Weights below this are those of warming hosts, where the flaw gives them another one.
const WARMING_WEIGHT: u32 = 9000;
const FLAWED_WARMING_WEIGHT: u32 = 60_000;

impl World<'_> {
    /// Carries an effect out; what answers it at once goes to the inputs.
    pub(super) fn carry_out(&mut self, effect: Effect, inputs: &mut VecDeque<Input>) {
        match effect {
            Effect::Connect { link, turn, .. } => {
                if link == Link::News {
                    self.director.watch_generation = turn;
                }
                inputs.extend([Input::Up { link, turn }, Input::Wake]);
            }
            Effect::Send { link, turn, text } => {
                if let Some(text) = self.answer_line(link, &text) {
                    inputs.extend([Input::Line { link, turn, text }, Input::Wake]);
                }
            }
            Effect::List { ask, path, .. } => {
                self.director.list_request = ask;
                if path.contains('?') {
                    self.after(WATCH_TIMEOUT, Pending::WatchEnds(ask));
                } else {
                    let body = self.complete_list().into();
                    inputs.extend([Input::Listed { ask, body }, Input::Wake]);
                }
            }
            Effect::Wake { at } => self.director.wake_at = at,
            Effect::Stream(xds::Effect::SendResponse { stream, response }) => {
                self.respond(stream, response, inputs);
            }
            Effect::Stream(xds::Effect::EndStream { stream, .. }) => self.end_stream(stream),
            _ => {}
        }
    }

    /// What the relay answers to a line; nothing to a call while it stalls.
    fn answer_line(&mut self, link: Link, text: &str) -> Option<String> {
        if link == Link::News {
            return Some("OK".into());
        }
        if self.relay.is_stalled {
            return None;
        }
        let orders = text.trim_end().trim_start_matches("APPLY ");
        self.relay_call(orders);
        Some(format!("OK {}", orders.split(';').count()))
    }

    /// The platform's relay carries a call out: all that it has for a proxy is one message.
    fn relay_call(&mut self, orders: &str) {
        let reach = self.relay.relay.apply(orders, &CLASSES);
        let index = |number: &u32| self.script.proxies.iter().position(|p| p.number == *number);
        let reached = reach.proxies.iter().filter_map(index);
        let proxies: Vec<usize> = reached
            .filter(|proxy| self.proxies[*proxy].is_joined)
            .collect();
        proxies.iter().for_each(|proxy| self.count_message(*proxy));
        if !proxies.is_empty() {
            let tables = Pending::RelayTables {
                proxies,
                tables: Rc::new(self.relay.relay.clone()),
                ack_number: reach.ack_number,
            };
            self.after(TRANSIT, tables);
        }
    }

    fn complete_list(&self) -> String {
        let members = setup::members(self.script, &self.list);
        json!({"revision": self.list.revision, "complete": true, "members": members}).to_string()
    }

    /// The director ended a stream: its relay opens another one a little later.
    fn end_stream(&mut self, stream: xds::StreamId) {
        let Some(proxy) = self.streams.proxies.remove(&stream) else {
            return;
        };
        let state = &self.proxies[proxy];
        let is_its = state.discovery_stream == stream || state.report_stream == stream;
        if state.is_joined && is_its {
            self.after(STREAM_RETRY_DELAY, Pending::Reopens(proxy));
        }
    }

    fn respond(
        &mut self,
        stream: xds::StreamId,
        mut response: xds::Response,
        inputs: &mut VecDeque<Input>,
    ) {
        let Some(proxy) = self.streams.proxies.get(&stream).copied() else {
            return;
        };
        if matches!(response, xds::Response::LoadStats(_)) {
            return;
        }
        self.spoil(&mut response);
        let repeats = if self.flaw == Some(Flaw::RepeatsMessages) {
            FLAWED_REPEATS
        } else {
            1
        };
        (0..repeats).for_each(|_| self.count_message(proxy));
        let response = Pending::Response { stream, response };
        let state = &mut self.proxies[proxy];
        if state.is_stalled {
            state.has_unaccepted_response = true;
            state.waiting.push(response);
        } else {
            let accepted = Input::Stream(xds::Input::ResponseAccepted { stream });
            inputs.extend([accepted, Input::Wake]);
            self.after(TRANSIT, response);
        }
    }

    /// Puts the flaw of this run into a response.
    fn spoil(&self, response: &mut xds::Response) {
        let (Some(flaw), Some(resources)) = (self.flaw, resources_mut(response)) else {
            return;
        };
        for resource in resources {
            let mut table = (*resource.assignment).clone();
            spoil_table(flaw, &mut table);
            resource.assignment = table.into();
        }
    }
}

fn spoil_table(flaw: Flaw, table: &mut xds::ClusterLoadAssignment) {
    let localities = &mut table.localities;
    let endpoints = localities.iter_mut().flat_map(|l| l.endpoints.iter_mut());
    match flaw {
        Flaw::KeepsHosts => endpoints.for_each(|endpoint| endpoint.draining = false),
        Flaw::OverloadsWarmingHosts => endpoints
            .filter(|endpoint| endpoint.weight < WARMING_WEIGHT)
            .for_each(|endpoint| endpoint.weight = FLAWED_WARMING_WEIGHT),
        Flaw::EmptiesTables => localities.clear(),
        Flaw::RetriesAll => table.retry_policy = RetryPolicy::TwiceAfterFailure,
        Flaw::RepeatsMessages => {}
    }
}

/// The tables that a response carries, if it is one of tables.
fn resources_mut(response: &mut xds::Response) -> Option<&mut Vec<xds::Resource>> {
    match response {
        xds::Response::Discovery(response) => Some(&mut response.resources),
        xds::Response::Delta(response) => Some(&mut response.resources),
        xds::Response::LoadStats(_) => None,
    }
}

//! Effects of the director's session: responses of the relay, discovery and proxies.

use super::outcome::InjectedFault;
use super::queue::Pending;
use super::setup;
use super::state::World;
use super::times::TRANSIT_TIME;
use crate::script::CLASSES;
use rushcourse_director_state::{Effect, Input, RelayLink};
use rushcourse_policy::interface::{Ms, RetryPolicy};
use rushcourse_xds as xds;
use serde_json::json;
use std::collections::VecDeque;
use std::rc::Rc;

/// Time after which discovery answers a watch without changes, in ms.
const WATCH_TIMEOUT: Ms = 3900.0;
/// Time until a proxy opens new streams after the director has ended one, in ms.
const STREAM_RETRY_DELAY: Ms = 300.0;
/// Number of times that each response counts as a message with [`InjectedFault::RepeatMessages`].
const INJECTED_REPEATS: usize = 20;
/// Hosts with a lower weight are taken for warming ones by [`InjectedFault::OverloadWarmingHosts`].
const MAX_WARMING_WEIGHT: u32 = 9000;
/// Weight that replaces a warming host's weight with [`InjectedFault::OverloadWarmingHosts`].
const INJECTED_WARMING_WEIGHT: u32 = 60_000;

impl World<'_> {
    /// Applies an effect of the session. Immediate responses are appended to `inputs`, later ones are scheduled.
    pub(super) fn apply_effect(&mut self, effect: Effect, inputs: &mut VecDeque<Input>) {
        match effect {
            Effect::ConnectRelay { connection, .. } => {
                if connection.link == RelayLink::Watch {
                    self.director.watch_generation = connection.generation;
                }
                inputs.extend([Input::RelayConnected { connection }, Input::Wake]);
            }
            Effect::SendRelay { connection, line } => {
                if let Some(line) = self.answer_line(connection.link, &line) {
                    inputs.extend([Input::RelayLine { connection, line }, Input::Wake]);
                }
            }
            Effect::FetchEndpoints { request, path, .. } => {
                self.director.list_request = request;
                if path.contains('?') {
                    self.schedule_after(WATCH_TIMEOUT, Pending::WatchTimeout(request));
                } else {
                    let body = self.complete_list().into();
                    inputs.extend([Input::EndpointsFetched { request, body }, Input::Wake]);
                }
            }
            Effect::ScheduleWake { at } => self.director.wake_at = at,
            Effect::Stream(xds::Effect::SendResponse { stream, response }) => {
                self.respond(stream, response, inputs);
            }
            Effect::Stream(xds::Effect::EndStream { stream, .. }) => self.end_stream(stream),
            _ => {}
        }
    }

    /// Handles a line to the relay and returns its answer; a call to a stalled relay has no effect and no answer.
    fn answer_line(&mut self, link: RelayLink, text: &str) -> Option<String> {
        if link == RelayLink::Watch {
            return Some("OK".into());
        }
        if self.relay.is_stalled {
            return None;
        }
        let orders = text.trim_end().trim_start_matches("APPLY ");
        self.relay_call(orders);
        Some(format!("OK {}", orders.split(';').count()))
    }

    /// Applies a call on the relay. Each affected proxy gets one message, regardless of the number of orders.
    fn relay_call(&mut self, orders: &str) {
        let recipients = self.relay.relay.apply(orders, &CLASSES);
        let index = |number: &u32| self.script.proxies.iter().position(|p| p.number == *number);
        let reached = recipients.proxies.iter().filter_map(index);
        let proxies: Vec<usize> = reached
            .filter(|proxy| self.proxies[*proxy].is_joined)
            .collect();
        proxies.iter().for_each(|proxy| self.count_message(*proxy));
        if !proxies.is_empty() {
            let tables = Pending::RelayTables {
                proxies,
                tables: Rc::new(self.relay.relay.clone()),
                ack_number: recipients.ack_number,
            };
            self.schedule_after(TRANSIT_TIME, tables);
        }
    }

    fn complete_list(&self) -> String {
        let members = setup::members(self.script, &self.list);
        json!({"revision": self.list.revision, "complete": true, "members": members}).to_string()
    }

    /// Handles a stream that the director ended. If it is a current stream of a joined proxy, the proxy opens new streams
    /// after [`STREAM_RETRY_DELAY`].
    fn end_stream(&mut self, stream: xds::StreamId) {
        let Some(proxy) = self.streams.proxies.remove(&stream) else {
            return;
        };
        let state = &self.proxies[proxy];
        let is_current = state.discovery_stream == stream || state.report_stream == stream;
        if state.is_joined && is_current {
            self.schedule_after(STREAM_RETRY_DELAY, Pending::ProxyReconnects(proxy));
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
        self.inject_fault(&mut response);
        let repeats = if self.injected_fault == Some(InjectedFault::RepeatMessages) {
            INJECTED_REPEATS
        } else {
            1
        };
        (0..repeats).for_each(|_| self.count_message(proxy));
        let response = Pending::Response { stream, response };
        let state = &mut self.proxies[proxy];
        if state.is_stalled {
            state.has_unaccepted_response = true;
            state.undelivered.push(response);
        } else {
            let accepted = Input::Stream(xds::Input::ResponseAccepted { stream });
            inputs.extend([accepted, Input::Wake]);
            self.schedule_after(TRANSIT_TIME, response);
        }
    }

    /// Applies the injected fault of this run, if any, to the tables of a response.
    fn inject_fault(&self, response: &mut xds::Response) {
        let (Some(injected_fault), Some(resources)) =
            (self.injected_fault, resources_mut(response))
        else {
            return;
        };
        for resource in resources {
            let mut table = (*resource.assignment).clone();
            inject_table_fault(injected_fault, &mut table);
            resource.assignment = table.into();
        }
    }
}

fn inject_table_fault(injected_fault: InjectedFault, table: &mut xds::ClusterLoadAssignment) {
    let localities = &mut table.localities;
    let endpoints = localities.iter_mut().flat_map(|l| l.endpoints.iter_mut());
    match injected_fault {
        InjectedFault::KeepRemovedHosts => endpoints.for_each(|endpoint| endpoint.draining = false),
        InjectedFault::OverloadWarmingHosts => endpoints
            .filter(|endpoint| endpoint.weight < MAX_WARMING_WEIGHT)
            .for_each(|endpoint| endpoint.weight = INJECTED_WARMING_WEIGHT),
        InjectedFault::EmptyTables => localities.clear(),
        InjectedFault::RetryAll => table.retry_policy = RetryPolicy::TwiceAfterFailure,
        InjectedFault::RepeatMessages => {}
    }
}

/// The tables of a discovery response, or `None` for a load report response.
fn resources_mut(response: &mut xds::Response) -> Option<&mut Vec<xds::Resource>> {
    match response {
        xds::Response::Discovery(response) => Some(&mut response.resources),
        xds::Response::Delta(response) => Some(&mut response.resources),
        xds::Response::LoadStats(_) => None,
    }
}

//! What the director asks for is carried out.

use super::outcome::Flaw;
use super::setup;
use super::state::{Pending, World};
use super::times::{START, TRANSIT};
use crate::script::{At, CLASSES};
use rushcourse_director_state::{Effect, Input, Link};
use rushcourse_xds as xds;
use serde_json::json;
use std::collections::VecDeque;
use std::rc::Rc;

/// ms after which a watch of the list ends without a change.
const WATCH: At = 3900.0;
/// ms after which a relay whose stream was ended opens another one.
const STREAM_RETRY: At = 300.0;
/// How often each response goes out where the flaw asks for too many messages.
const BABBLED: usize = 20;

impl World<'_> {
    /// Hands an input over and does what comes of it.
    pub(super) fn give(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input, Input::Wake]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.session.step(START + self.now, input) {
                self.carry_out(effect, &mut inputs);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect, inputs: &mut VecDeque<Input>) {
        match effect {
            Effect::Connect { link, turn, .. } => {
                if link == Link::News {
                    self.news_turn = turn;
                }
                inputs.extend([Input::Up { link, turn }, Input::Wake]);
            }
            Effect::Send {
                link: Link::News,
                turn,
                ..
            } => {
                inputs.push_back(Input::Line {
                    link: Link::News,
                    turn,
                    text: "OK".into(),
                });
                inputs.push_back(Input::Wake);
            }
            Effect::Send {
                link: Link::Calls,
                turn,
                text,
            } if !self.relay_stalls => {
                let orders = text.trim_end().trim_start_matches("APPLY ").to_string();
                self.relay_call(&orders);
                let text = format!("OK {}", orders.split(';').count());
                inputs.extend([
                    Input::Line {
                        link: Link::Calls,
                        turn,
                        text,
                    },
                    Input::Wake,
                ]);
            }
            Effect::List { ask, path, .. } => {
                self.list_request = ask;
                if path.contains('?') {
                    self.after(WATCH, Pending::WatchEnds(ask));
                } else {
                    let members = setup::members(self.script, &self.hosts);
                    let body =
                        json!({"revision": self.revision, "complete": true, "members": members});
                    inputs.extend([
                        Input::Listed {
                            ask,
                            body: body.to_string().into(),
                        },
                        Input::Wake,
                    ]);
                }
            }
            Effect::Wake { at } => self.wake = at,
            Effect::Stream(xds::Effect::SendResponse { stream, response }) => {
                self.respond(stream, response, inputs)
            }
            Effect::Stream(xds::Effect::EndStream { stream, .. }) => {
                // Its relay opens another one a little later.
                if let Some(k) = self.streams.remove(&stream)
                    && self.proxies[k].joined
                    && (self.proxies[k].ads == stream || self.proxies[k].lrs == stream)
                {
                    self.after(STREAM_RETRY, Pending::Reopens(k));
                }
            }
            _ => {}
        }
    }

    /// The platform's relay carries a call out: all that it has for a proxy is one message.
    fn relay_call(&mut self, orders: &str) {
        let (reached, mark) = self.relay.apply(orders, &CLASSES);
        let index = |number: &u32| self.script.proxies.iter().position(|p| p.number == *number);
        let proxies: Vec<usize> = reached
            .iter()
            .filter_map(index)
            .filter(|k| self.proxies[*k].joined)
            .collect();
        for k in &proxies {
            self.messages += 1;
            self.checker
                .message(self.now, self.script.proxies[*k].number);
        }
        if !proxies.is_empty() {
            let tables = Rc::new(self.relay.clone());
            self.after(
                TRANSIT,
                Pending::RelayTables {
                    proxies,
                    tables,
                    mark,
                },
            );
        }
    }

    fn respond(
        &mut self,
        stream: xds::StreamId,
        mut response: xds::Response,
        inputs: &mut VecDeque<Input>,
    ) {
        let Some(k) = self.streams.get(&stream).copied() else {
            return;
        };
        if matches!(response, xds::Response::LoadStats(_)) {
            return;
        }
        self.spoil(&mut response);
        let number = self.script.proxies[k].number;
        let times = if self.flaw == Some(Flaw::Babbles) {
            BABBLED
        } else {
            1
        };
        for _ in 0..times {
            self.messages += 1;
            self.checker.message(self.now, number);
        }
        if self.proxies[k].stalled {
            self.proxies[k].untaken = true;
            self.proxies[k]
                .waiting
                .push(Pending::Response { stream, response });
        } else {
            inputs.extend([
                Input::Stream(xds::Input::ResponseAccepted { stream }),
                Input::Wake,
            ]);
            self.after(TRANSIT, Pending::Response { stream, response });
        }
    }

    /// Puts the flaw of this run into a response.
    fn spoil(&self, response: &mut xds::Response) {
        let resources = match response {
            xds::Response::Discovery(response) => &mut response.resources,
            xds::Response::Delta(response) => &mut response.resources,
            xds::Response::LoadStats(_) => return,
        };
        for r in resources {
            let mut table = (*r.assignment).clone();
            for e in table
                .localities
                .iter_mut()
                .flat_map(|l| l.endpoints.iter_mut())
            {
                match self.flaw {
                    Some(Flaw::KeepsHosts) => e.draining = false,
                    Some(Flaw::FloodsColdHosts) if e.weight < 9000 => e.weight = 60_000,
                    _ => {}
                }
            }
            match self.flaw {
                Some(Flaw::EmptiesTables) => table.localities.clear(),
                Some(Flaw::RepeatsAll) => {
                    table.retry_policy = rushcourse_policy::interface::Again::TwiceAfterAny
                }
                _ => {}
            }
            r.assignment = table.into();
        }
    }
}

//! The module's orders and the proxies' answers.

use super::state::{Open, Streams, Use};
use crate::ads::Came;
use crate::interface::{Effect, StatusCode, StreamId};
use crate::members::Who;
use crate::nodes::Askable;
use crate::outbox::Severity;
use crate::resources::Place;
use rushcourse_policy::interface::*;

impl Streams {
    /// Carries out what came of a stream's message or of time.
    pub(super) fn came(&mut self, now: Ms, stream: StreamId, who: Who, came: Option<Came>) {
        self.members.heard(now, who.proxy);
        match came {
            Some(came) => self.carry(stream, who.proxy, came),
            // Types of resources that are not served here are never answered, as the protocol has it.
            None => self.out.count("types_unserved", 1),
        }
        let many = matches!(self.open.get(&stream), Some(Open { is: Use::Tables(_, ads), .. }) if ads.too_many_names());
        if many {
            self.out.count("streams_refused", 1);
            self.end(
                now,
                stream,
                StatusCode::ResourceExhausted,
                "it asks for more names than there may be",
            );
        }
    }

    /// Counts, notes, events and the response of one look at a stream.
    pub(super) fn carry(&mut self, stream: StreamId, proxy: ProxyId, came: Came) {
        came.counts
            .into_iter()
            .for_each(|name| self.out.count(name, 1));
        if let Some(error) = came.refused {
            let text = format!("relay {proxy} does not take its tables: {error}");
            self.out.log(Severity::Warning, "tables refused", text);
        }
        if let Some((mark, took)) = came.proved {
            self.out.event(Event::Acknowledged {
                ack_number: mark,
                proxy,
                elapsed: took,
                channel: Channel::Dedicated,
            });
        }
        if let Some((mark, again)) = came.behind {
            self.out.event(Event::NotApplied {
                proxy,
                ack_number: mark,
                is_resent: again,
            });
        }
        if let Some(response) = came.response {
            self.out.count("tables_sent", 1);
            self.out.effect(Effect::SendResponse { stream, response });
        }
    }

    /// What the module ordered, in one reply.
    pub fn apply_actions(&mut self, now: Ms, actions: &[Action]) {
        actions.iter().for_each(|action| self.cache.apply(action));
        let mark = actions.iter().rev().find_map(|a| match a {
            Action::RequestAck { ack_number: number } => Some(*number),
            _ => None,
        });
        for proxy in self.cache.reached() {
            let Some(stream) = self.members.stream(proxy) else {
                continue;
            };
            self.touched.insert(stream);
            if let Some(Open {
                is: Use::Tables(_, ads),
                ..
            }) = self.open.get_mut(&stream)
                && let Some(mark) = mark
            {
                ads.reply(now, mark);
            }
        }
    }

    /// The hosts as the list has them now, with what the list says of each.
    pub fn update_hosts<'a>(
        &mut self,
        now: Ms,
        hosts: impl Iterator<Item = (&'a HostEntry, &'a String)> + Clone,
    ) {
        let place = |(e, address): (&HostEntry, &String)| {
            (
                e.host.clone(),
                Place {
                    zone: e.zone,
                    address: address.clone(),
                },
            )
        };
        self.cache.listed(hosts.clone().map(place));
        for proxy in self.cache.reached() {
            self.touched.extend(self.members.stream(proxy));
        }
        if self.rules.request_host_reports || self.nodes.count() > 0 {
            let ready =
                hosts.filter(|(e, address)| e.readiness == Readiness::Ready && !address.is_empty());
            let askable = |(e, address): (&HostEntry, &String)| Askable {
                host: e.host.clone(),
                address: address.clone(),
                up_since: e.started_at,
            };
            self.nodes
                .listed(now, ready.map(askable).collect(), &mut self.out);
        }
    }
}

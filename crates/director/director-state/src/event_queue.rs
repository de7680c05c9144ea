//! Events queued for the next policy batch, and the channel by which each proxy is reached.

use rushcourse_policy::interface::{Channel, Event, Ms, ProxyId};
use std::collections::BTreeSet;

/// Queue length from which on reports are dropped. Events of other kinds are always queued.
const MAX_EVENTS: usize = 8192;

/// Error returned when a report is dropped because the queue is full.
pub(crate) struct ReportDropped;

#[derive(Default)]
pub(crate) struct EventQueue {
    events: Vec<Event>,
    /// Time at which the oldest queued event was added.
    first_at: Option<Ms>,
    /// Proxies whose latest join was on a dedicated xDS stream.
    streamed: BTreeSet<ProxyId>,
    /// Proxies that joined at the relay after joining on a dedicated stream; that stream has to be ended.
    superseded: Vec<ProxyId>,
}

impl EventQueue {
    /// Queues an event. Reports are rejected while the queue is full; other events never are.
    pub(crate) fn push(&mut self, now: Ms, event: Event) -> Result<(), ReportDropped> {
        let is_report = matches!(
            event,
            Event::HostReported { .. } | Event::TrafficReported { .. }
        );
        if is_report && self.is_full() {
            return Err(ReportDropped);
        }
        self.track_channel(&event);
        self.first_at.get_or_insert(now);
        self.events.push(event);
        Ok(())
    }

    /// Updates the channel of a proxy from a join or leave event. The latest join takes precedence on either channel.
    fn track_channel(&mut self, event: &Event) {
        match event {
            Event::ProxyJoined {
                proxy,
                channel: Channel::Dedicated,
                ..
            } => _ = self.streamed.insert(*proxy),
            Event::ProxyLeft {
                proxy,
                channel: Channel::Dedicated,
            } => _ = self.streamed.remove(proxy),
            Event::ProxyJoined { proxy, .. } if self.streamed.remove(proxy) => {
                self.superseded.push(*proxy);
            }
            _ => {}
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.events.len()
    }

    /// Whether the queue has reached [`MAX_EVENTS`].
    pub(crate) fn is_full(&self) -> bool {
        self.events.len() >= MAX_EVENTS
    }

    pub(crate) fn first_at(&self) -> Option<Ms> {
        self.first_at
    }

    /// Removes and returns all queued events with the time at which the oldest was added.
    pub(crate) fn take(&mut self) -> (Vec<Event>, Option<Ms>) {
        (std::mem::take(&mut self.events), self.first_at.take())
    }

    /// Whether the latest join of a proxy was on a dedicated stream.
    pub(crate) fn is_streamed(&self, proxy: ProxyId) -> bool {
        self.streamed.contains(&proxy)
    }

    /// Whether any proxy is reached by a dedicated stream.
    pub(crate) fn has_streamed_proxies(&self) -> bool {
        !self.streamed.is_empty()
    }

    /// Removes and returns the proxies whose streams were superseded since the last call.
    pub(crate) fn take_superseded(&mut self) -> Vec<ProxyId> {
        std::mem::take(&mut self.superseded)
    }
}

//! Events that wait until the policy is asked, and by which channel each proxy is reached.

use rushcourse_policy::interface::{Channel, Event, Ms, ProxyId};
use std::collections::BTreeSet;

/// Events that may wait; beyond, reports are dropped.
const MAX_EVENTS: usize = 8192;

/// Why an event does not wait.
pub(crate) struct ReportDropped;

#[derive(Default)]
pub(crate) struct EventQueue {
    events: Vec<Event>,
    /// When the first of the events came.
    first_at: Option<Ms>,
    /// Proxies that have joined by a stream of their own.
    streamed: BTreeSet<ProxyId>,
    /// Those of them that have joined at the relay since.
    superseded: Vec<ProxyId>,
}

impl EventQueue {
    /// Adds an event that happened now. Reports are dropped where too many events wait; others never are.
    pub(crate) fn push(&mut self, now: Ms, event: Event) -> Result<(), ReportDropped> {
        let is_report = matches!(
            event,
            Event::HostReported { .. } | Event::TrafficReported { .. }
        );
        if is_report && self.is_full() {
            return Err(ReportDropped);
        }
        self.note_channel(&event);
        self.first_at.get_or_insert(now);
        self.events.push(event);
        Ok(())
    }

    /// The newest joining counts, whichever channel it came by.
    fn note_channel(&mut self, event: &Event) {
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

    /// Whether as many events wait as may.
    pub(crate) fn is_full(&self) -> bool {
        self.events.len() >= MAX_EVENTS
    }

    /// When the first of the events that wait came.
    pub(crate) fn first_at(&self) -> Option<Ms> {
        self.first_at
    }

    /// All that wait, with the time at which the first of them came.
    pub(crate) fn take(&mut self) -> (Vec<Event>, Option<Ms>) {
        (std::mem::take(&mut self.events), self.first_at.take())
    }

    /// Whether a proxy is reached by a stream of its own.
    pub(crate) fn is_streamed(&self, proxy: ProxyId) -> bool {
        self.streamed.contains(&proxy)
    }

    /// Whether any proxy is reached by a stream of its own.
    pub(crate) fn has_streamed(&self) -> bool {
        !self.streamed.is_empty()
    }

    /// Proxies whose streams have been superseded since the last call.
    pub(crate) fn take_superseded(&mut self) -> Vec<ProxyId> {
        std::mem::take(&mut self.superseded)
    }
}

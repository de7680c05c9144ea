//! The channel beside the relay: what came of the streams' state goes to the module, the log and the counts.

use crate::boundary::{Effect, Weight};
use crate::step_context::StepContext;
use rushcourse_policy::interface::{Channel, Event, ProxyId};
use rushcourse_xds::{Severity, Streams};

/// Hands over what streams left behind; answers the proxies that have left theirs.
pub fn hand_over(streams: &mut Streams, context: &mut StepContext) -> Vec<ProxyId> {
    let out = streams.take_outbox();
    let mut left = Vec::new();
    for event in out.events {
        if let Event::ProxyLeft {
            proxy,
            channel: Channel::Dedicated,
        } = &event
        {
            left.push(*proxy);
        }
        context.event(event);
    }
    out.effects
        .into_iter()
        .for_each(|effect| context.ask(Effect::Stream(effect)));
    out.increments
        .into_iter()
        .for_each(|(name, n)| context.counters.add(name, n));
    out.violations
        .into_iter()
        .for_each(|what| context.must(false, what));
    for note in out.log_entries {
        let weight = match note.severity {
            Severity::Info => Weight::Info,
            Severity::Warning => Weight::Warning,
        };
        context.note(weight, note.kind, || note.text);
    }
    left
}

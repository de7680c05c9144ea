//! The channel beside the relay: what came of the streams' state goes to the module, the log and the counts.

use crate::boundary::{Effect, Weight};
use crate::step_context::StepContext;
use rushcourse_policy::interface::{Channel, Event, ProxyId};
use rushcourse_xds::{Grade, Streams};

/// Hands over what streams left behind; answers the proxies that have left theirs.
pub fn hand_over(streams: &mut Streams, context: &mut StepContext) -> Vec<ProxyId> {
    let out = streams.take();
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
    out.counts
        .into_iter()
        .for_each(|(name, n)| context.counters.add(name, n));
    out.broken
        .into_iter()
        .for_each(|what| context.must(false, what));
    for note in out.notes {
        let weight = match note.grade {
            Grade::Info => Weight::Info,
            Grade::Warning => Weight::Warning,
            Grade::Error => Weight::Error,
        };
        context.note(weight, note.kind, || note.text);
    }
    left
}

//! Proxies that are reached by streams of their own: what came of the streams' state goes to the policy, the log and the
//! counters.

use crate::effect::{Effect, Severity};
use crate::step_context::StepContext;
use rushcourse_policy::interface::{Channel, Event, ProxyId};
use rushcourse_xds::{Grade, Streams};

/// Hands over what streams left behind; returns the proxies whose streams have ended.
pub(crate) fn hand_over(streams: &mut Streams, context: &mut StepContext) -> Vec<ProxyId> {
    let outbox = streams.take();
    let mut left = Vec::new();
    for event in outbox.events {
        if let Event::ProxyLeft {
            proxy,
            channel: Channel::Dedicated,
        } = event
        {
            left.push(proxy);
        }
        context.emit(event);
    }
    for effect in outbox.effects {
        context.request(Effect::Stream(effect));
    }
    for (counter, count) in outbox.counts {
        context.counters.add_of_streams(counter, count);
    }
    for invariant in outbox.broken {
        context.check_invariant(false, invariant);
    }
    for entry in outbox.notes {
        let severity = match entry.grade {
            Grade::Info => Severity::Info,
            Grade::Warning => Severity::Warning,
            Grade::Error => Severity::Error,
        };
        context.log(severity, entry.kind, || entry.text);
    }
    left
}

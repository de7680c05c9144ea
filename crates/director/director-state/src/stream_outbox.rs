//! Proxies that are reached by streams of their own: what came of the streams' state goes to the policy, the log and the
//! counters.

use crate::effect::{Effect, Severity};
use crate::step_context::StepContext;
use rushcourse_policy::interface::{Channel, Event, ProxyId};
use rushcourse_xds::{Severity as StreamSeverity, Streams};

/// Hands over what streams left behind; returns the proxies whose streams have ended.
pub(crate) fn hand_over(streams: &mut Streams, context: &mut StepContext) -> Vec<ProxyId> {
    let outbox = streams.take_outbox();
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
    for (counter, count) in outbox.increments {
        context.counters.add_of_streams(counter, count);
    }
    for invariant in outbox.violations {
        context.check_invariant(false, invariant);
    }
    for entry in outbox.log_entries {
        let severity = match entry.severity {
            StreamSeverity::Info => Severity::Info,
            StreamSeverity::Warning => Severity::Warning,
        };
        context.log(severity, entry.kind, || entry.text);
    }
    left
}

//! Forwards the output of the xDS streams to the event queue, the effects, the counters and the log of a session.

use crate::effect::{Effect, Severity};
use crate::step_context::StepContext;
use rushcourse_policy::interface::{Channel, Event, ProxyId};
use rushcourse_xds::{Severity as StreamSeverity, Streams};

/// Forwards and clears the outbox of the streams; returns the proxies whose dedicated stream has ended.
pub(crate) fn forward_outbox(streams: &mut Streams, context: &mut StepContext) -> Vec<ProxyId> {
    let outbox = streams.take_outbox();
    let mut left_proxies = Vec::new();
    for event in outbox.events {
        if let Event::ProxyLeft {
            proxy,
            channel: Channel::Dedicated,
        } = event
        {
            left_proxies.push(proxy);
        }
        context.emit(event);
    }
    for effect in outbox.effects {
        context.request(Effect::Stream(effect));
    }
    for (counter, count) in outbox.increments {
        context.counters.add_stream_counter(counter, count);
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
    left_proxies
}

//! The channel beside the relay: what came of the streams' state goes to the module, the log and the counts.

use crate::boundary::{Effect, Weight};
use crate::desk::Desk;
use rushcourse_core::interface::{Channel, Event, ProxyId};
use rushcourse_xds::{Grade, Streams};

/// Hands over what streams left behind; answers the proxies that have left theirs.
pub fn hand_over(streams: &mut Streams, desk: &mut Desk) -> Vec<ProxyId> {
    let out = streams.take();
    let mut left = Vec::new();
    for event in out.events {
        if let Event::Left { proxy, channel: Channel::Own } = &event {
            left.push(*proxy);
        }
        desk.event(event);
    }
    out.effects.into_iter().for_each(|effect| desk.ask(Effect::Stream(effect)));
    out.counts.into_iter().for_each(|(name, n)| desk.counters.add(name, n));
    out.broken.into_iter().for_each(|what| desk.must(false, what));
    for note in out.notes {
        let weight = match note.grade {
            Grade::Info => Weight::Info,
            Grade::Warning => Weight::Warning,
            Grade::Error => Weight::Error,
        };
        desk.note(weight, note.kind, || note.text);
    }
    left
}

//! The open streams and their timers.

use crate::discovery::DiscoveryStream;
use crate::interface::{ConnectionId, StreamId, StreamKind};
use crate::load_reports::BurstFilter;
use crate::registry::ProxyIdentity;
use rushcourse_policy::interface::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Whole microseconds, because `f64` times have no total order.
type Micros = u64;
/// Due time of a stream without a timer.
const NEVER: Micros = u64::MAX;

/// What a stream is used for, known once it has identified itself.
#[derive(Debug)]
pub(super) enum StreamRole {
    /// The first request has not arrived yet.
    Unidentified,
    /// A proxy's discovery stream.
    Discovery(ProxyIdentity, Box<DiscoveryStream>),
    /// A proxy's load reporting stream.
    LoadReporting(ProxyIdentity, BurstFilter),
}

/// A stream opened by a peer.
#[derive(Debug)]
pub(super) struct OpenStream {
    pub(super) kind: StreamKind,
    pub(super) connection: ConnectionId,
    /// The peer's address, for log lines.
    pub(super) peer: String,
    pub(super) opened_at: Ms,
    pub(super) role: StreamRole,
    due_at: Micros,
}

impl OpenStream {
    /// Creates a stream that is opened at `now` and has not identified itself.
    pub(super) fn new(
        now: Ms,
        kind: StreamKind,
        connection: ConnectionId,
        peer: String,
    ) -> OpenStream {
        OpenStream {
            kind,
            connection,
            peer,
            opened_at: now,
            role: StreamRole::Unidentified,
            due_at: NEVER,
        }
    }

    pub(super) fn is_unidentified(&self) -> bool {
        matches!(self.role, StreamRole::Unidentified)
    }
}

/// All open streams with their timers. Invariants: `due` contains exactly the streams whose `due_at` isn't `NEVER`, and
/// `ready` and `due` contain only open streams.
#[derive(Debug, Default)]
pub(super) struct OpenStreams {
    by_id: BTreeMap<StreamId, OpenStream>,
    /// Streams to process in the next `advance`.
    ready: BTreeSet<StreamId>,
    due: BTreeSet<(Micros, StreamId)>,
}

impl OpenStreams {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// All open streams, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (StreamId, &OpenStream)> {
        self.by_id.iter().map(|(id, stream)| (*id, stream))
    }

    pub(super) fn get(&self, id: StreamId) -> Option<&OpenStream> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: StreamId) -> Option<&mut OpenStream> {
        self.by_id.get_mut(&id)
    }

    /// State of a discovery stream; `None` for streams of other kinds.
    pub(super) fn discovery_mut(&mut self, id: StreamId) -> Option<&mut DiscoveryStream> {
        match &mut self.by_id.get_mut(&id)?.role {
            StreamRole::Discovery(_, discovery) => Some(discovery),
            _ => None,
        }
    }

    /// Burst filter of a load reporting stream; `None` for streams of other kinds.
    pub(super) fn burst_filter_mut(&mut self, id: StreamId) -> Option<&mut BurstFilter> {
        match &mut self.by_id.get_mut(&id)?.role {
            StreamRole::LoadReporting(_, filter) => Some(filter),
            _ => None,
        }
    }

    pub(super) fn insert(&mut self, id: StreamId, stream: OpenStream) {
        self.by_id.insert(id, stream);
    }

    /// Removes a stream together with its timer.
    pub(super) fn remove(&mut self, id: StreamId) -> Option<OpenStream> {
        let stream = self.by_id.remove(&id)?;
        self.due.remove(&(stream.due_at, id));
        self.ready.remove(&id);
        Some(stream)
    }

    /// Schedules a stream for the next `advance`.
    pub(super) fn mark_ready(&mut self, id: StreamId) {
        self.ready.insert(id);
    }

    /// Sets the stream's timer, replacing an earlier one; an infinite time clears it.
    pub(super) fn schedule(&mut self, id: StreamId, at: Ms) {
        let Some(stream) = self.by_id.get_mut(&id) else {
            return;
        };
        let due_at = micros(at);
        if stream.due_at != due_at {
            self.due.remove(&(stream.due_at, id));
            stream.due_at = due_at;
            if due_at != NEVER {
                self.due.insert((due_at, id));
            }
        }
    }

    /// Returns the streams that are marked ready or whose timer has expired, and clears both.
    pub(super) fn take_ready(&mut self, now: Ms) -> BTreeSet<StreamId> {
        while let Some((at, id)) = self.due.first().copied()
            && at <= micros(now)
        {
            self.due.remove(&(at, id));
            if let Some(stream) = self.by_id.get_mut(&id) {
                stream.due_at = NEVER;
            }
            self.ready.insert(id);
        }
        std::mem::take(&mut self.ready)
    }

    /// Time of the earliest timer, in ms; infinite if none is set.
    pub(super) fn next_due_at(&self) -> Ms {
        self.due
            .first()
            .map_or(f64::INFINITY, |(at, _)| *at as f64 / 1000.0)
    }
}

fn micros(at: Ms) -> Micros {
    if at.is_finite() {
        (at.max(0.0) * 1000.0).ceil() as Micros
    } else {
        NEVER
    }
}

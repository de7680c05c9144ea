//! The streams that are open, and when each is looked at next.

use crate::discovery::DiscoveryStream;
use crate::interface::{ConnectionId, StreamId, StreamKind};
use crate::load_reports::BurstFilter;
use crate::registry::ProxyIdentity;
use rushcourse_policy::interface::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// Microseconds, whole, so that times can be ordered.
type Micros = u64;
/// When a stream is due that waits for nothing.
const NEVER: Micros = u64::MAX;

/// What a stream is used for.
#[derive(Debug)]
pub(super) enum StreamUse {
    /// It has not identified itself.
    Unidentified,
    /// It is a proxy's discovery stream.
    Discovery(ProxyIdentity, Box<DiscoveryStream>),
    /// It is a proxy's load reporting stream.
    LoadReporting(ProxyIdentity, BurstFilter),
}

/// A stream that is open.
#[derive(Debug)]
pub(super) struct OpenStream {
    pub(super) kind: StreamKind,
    pub(super) connection: ConnectionId,
    /// The peer's address, for the log.
    pub(super) peer: String,
    pub(super) opened_at: Ms,
    pub(super) used_for: StreamUse,
    due_at: Micros,
}

impl OpenStream {
    /// A stream that was opened now and has not identified itself.
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
            used_for: StreamUse::Unidentified,
            due_at: NEVER,
        }
    }

    /// Whether it has not identified itself.
    pub(super) fn is_unidentified(&self) -> bool {
        matches!(self.used_for, StreamUse::Unidentified)
    }
}

/// All open streams, with their schedule. Invariant: `due` holds just the streams whose `due_at` is not `NEVER`, and
/// `touched` and `due` name open streams only.
#[derive(Debug, Default)]
pub(super) struct OpenStreams {
    by_id: BTreeMap<StreamId, OpenStream>,
    /// Streams that something has happened to.
    touched: BTreeSet<StreamId>,
    due: BTreeSet<(Micros, StreamId)>,
}

impl OpenStreams {
    /// How many are open.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// All of them, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (StreamId, &OpenStream)> {
        self.by_id.iter().map(|(id, stream)| (*id, stream))
    }

    /// One of them.
    pub(super) fn get(&self, id: StreamId) -> Option<&OpenStream> {
        self.by_id.get(&id)
    }

    /// One of them, to change what it is used for.
    pub(super) fn get_mut(&mut self, id: StreamId) -> Option<&mut OpenStream> {
        self.by_id.get_mut(&id)
    }

    /// The discovery stream of this number, if it is one.
    pub(super) fn discovery_mut(&mut self, id: StreamId) -> Option<&mut DiscoveryStream> {
        match &mut self.by_id.get_mut(&id)?.used_for {
            StreamUse::Discovery(_, discovery) => Some(discovery),
            _ => None,
        }
    }

    /// The reports on the load reporting stream of this number, if it is one.
    pub(super) fn burst_filter_mut(&mut self, id: StreamId) -> Option<&mut BurstFilter> {
        match &mut self.by_id.get_mut(&id)?.used_for {
            StreamUse::LoadReporting(_, filter) => Some(filter),
            _ => None,
        }
    }

    /// A stream was opened.
    pub(super) fn insert(&mut self, id: StreamId, stream: OpenStream) {
        self.by_id.insert(id, stream);
    }

    /// A stream has ended.
    pub(super) fn remove(&mut self, id: StreamId) -> Option<OpenStream> {
        let stream = self.by_id.remove(&id)?;
        self.due.remove(&(stream.due_at, id));
        self.touched.remove(&id);
        Some(stream)
    }

    /// Something has happened to a stream: it is looked at in the next advance.
    pub(super) fn touch(&mut self, id: StreamId) {
        self.touched.insert(id);
    }

    /// Looks at a stream at this time next.
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

    /// The streams to look at now: those that were touched or are due.
    pub(super) fn take_ready(&mut self, now: Ms) -> BTreeSet<StreamId> {
        while let Some((at, id)) = self.due.first().copied()
            && at <= micros(now)
        {
            self.due.remove(&(at, id));
            if let Some(stream) = self.by_id.get_mut(&id) {
                stream.due_at = NEVER;
            }
            self.touched.insert(id);
        }
        std::mem::take(&mut self.touched)
    }

    /// When the first stream is due.
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

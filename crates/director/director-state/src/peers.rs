//! Whoever connects to the director's address. A peer is new until it joins as a collector; only then it may
//! report. Everybody else is answered what they are owed, and goes.

use crate::boundary::{Conn, Effect, Weight};
use crate::bounds::Bounds;
use crate::reports::Known;
use crate::step_context::StepContext;
use bytes::Bytes;
use rushcourse_director_protocol::frames::{self, Message, MessageError};
use rushcourse_policy::interface::Ms;
use std::collections::BTreeMap;

/// ms in which a connection must have joined: a stranger is owed a word or a close within 3 s.
const JOIN_WITHIN: Ms = 1200.0;
/// ms in which a page must have been served.
const PAGE_WITHIN: Ms = 2000.0;
/// ms of silence after which a collector may be closed for another one that joins: it reports each second.
const SILENT: Ms = 5000.0;

/// What a peer is told that says anything but a ping before it has joined.
const NOT_SERVED: &str = "only a collector of a known zone is served";

/// Where a peer stands. Who is closed is forgotten.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Standing {
    New,
    /// It has asked by HTTP.
    Page,
    /// It has joined.
    Collector,
}

struct Peer {
    standing: Standing,
    name: String,
    /// When it came to stand so, and when it last said something.
    since: Ms,
    last: Ms,
}

pub struct Peers {
    bounds: Bounds,
    open: BTreeMap<Conn, Peer>,
}

impl Peers {
    pub fn new(bounds: Bounds) -> Peers {
        Peers {
            bounds,
            open: BTreeMap::new(),
        }
    }

    pub fn count(&self) -> usize {
        self.open.len()
    }

    fn collectors(&self) -> impl Iterator<Item = (Conn, &Peer)> {
        let joined = self
            .open
            .iter()
            .filter(|(_, p)| p.standing == Standing::Collector);
        joined.map(|(conn, p)| (*conn, p))
    }

    pub fn joined(&self) -> usize {
        self.collectors().count()
    }

    pub fn has_joined(&self, conn: Conn) -> bool {
        self.open
            .get(&conn)
            .is_some_and(|p| p.standing == Standing::Collector)
    }

    /// Somebody connected. Where there are too many, who came first of those that have not joined goes: that
    /// is never a collector, which joins at once.
    pub fn opened(&mut self, context: &mut StepContext, conn: Conn, name: String) {
        let now = context.now;
        self.open.insert(
            conn,
            Peer {
                standing: Standing::New,
                name,
                since: now,
                last: now,
            },
        );
        if self.open.len() > self.bounds.peers {
            let strangers = self
                .open
                .iter()
                .filter(|(_, p)| p.standing != Standing::Collector);
            let first = strangers
                .min_by(|a, b| a.1.since.total_cmp(&b.1.since))
                .map(|(conn, _)| *conn);
            self.close(context, first.unwrap_or(conn), "too many connections", None);
        }
    }

    fn close(&mut self, context: &mut StepContext, conn: Conn, why: &str, last: Option<Bytes>) {
        if let Some(peer) = self.open.remove(&conn) {
            context.counters.add("peers_closed", 1);
            context.note(Weight::Warning, "connection closed", || {
                format!("{}: {why}", peer.name)
            });
            context.ask(Effect::Close { conn, last });
        }
    }

    /// The last word to somebody who may not say what it said.
    fn refuse(&mut self, context: &mut StepContext, conn: Conn, why: &'static str) {
        context.counters.add("peers_refused", 1);
        self.close(context, conn, why, Some(frames::refused(why)));
    }

    pub fn page(&mut self, context: &mut StepContext, conn: Conn) {
        if let Some(peer) = self.open.get_mut(&conn) {
            (peer.standing, peer.since) = (Standing::Page, context.now);
        }
    }

    pub fn closed(&mut self, context: &mut StepContext, conn: Conn, why: &str) {
        if let Some(peer) = self.open.remove(&conn).filter(|_| !why.is_empty()) {
            context.counters.add("peers_broken", 1);
            context.note(Weight::Info, "connection ended", || {
                format!("{}: {why}", peer.name)
            });
        }
    }

    pub fn frame(&mut self, context: &mut StepContext, conn: Conn, bytes: &Bytes, known: &Known) {
        let now = context.now;
        let Some(peer) = self.open.get_mut(&conn) else {
            return;
        };
        peer.last = now;
        let joined = peer.standing == Standing::Collector;
        let message = match frames::decode(bytes) {
            Ok(message) => message,
            Err(MessageError::NotAnObject(e)) => {
                context.counters.add("frames_malformed", 1);
                context.note(Weight::Info, "message", || format!("no JSON object ({e})"));
                return self.refuse(context, conn, "a message can't be read");
            }
            Err(MessageError::InvalidField(_)) if !joined => {
                return self.refuse(context, conn, NOT_SERVED);
            }
            Err(MessageError::InvalidField(name)) => {
                return Self::skipped(context, "fields_spoilt", name, bytes);
            }
        };
        let event = match message {
            Message::Ping => {
                return context.ask(Effect::Write {
                    conn,
                    bytes: frames::pong(),
                });
            }
            Message::RegisterCollector { zone } if known.zone(&zone).is_some() => {
                if !joined {
                    self.join(context, conn, &zone);
                }
                return;
            }
            _ if !joined => {
                return self.refuse(context, conn, NOT_SERVED);
            }
            Message::RegisterCollector { .. } => {
                Err(("messages_odd", "collector of an unknown zone"))
            }
            // Its last reports may come after the list has forgotten it.
            Message::HostReport(h) => match (known.host)(&h.host) {
                None => return context.counters.add("heard_unlisted", 1),
                Some(host) => known
                    .heard(h, host)
                    .map(|e| ("reports_heard", e))
                    .map_err(|why| ("heard_spoilt", why)),
            },
            Message::TrafficReport(u) => known
                .usage(u)
                .map(|e| ("reports_usage", e))
                .map_err(|why| ("usage_spoilt", why)),
            Message::Unknown(_) => Err(("messages_odd", "of a kind that is no report")),
        };
        match event {
            Ok((count, event)) => {
                context.counters.add(count, 1);
                context.event(event);
            }
            // The messages around it are good.
            Err((count, why)) => Self::skipped(context, count, why, bytes),
        }
    }

    fn skipped(context: &mut StepContext, count: &'static str, why: &str, bytes: &Bytes) {
        context.counters.add(count, 1);
        context.note(Weight::Info, "report skipped", || {
            format!("{why}: {}", String::from_utf8_lossy(bytes))
        });
    }

    /// It becomes a collector. Where there are too many, it takes the place of one that is long silent.
    fn join(&mut self, context: &mut StepContext, conn: Conn, zone: &str) {
        let now = context.now;
        if self.joined() >= self.bounds.collectors {
            let silent = self
                .collectors()
                .min_by(|a, b| a.1.last.total_cmp(&b.1.last));
            match silent
                .filter(|(_, p)| now - p.last > SILENT)
                .map(|(conn, _)| conn)
            {
                Some(silent) => {
                    self.close(context, silent, "silent, another collector joins", None)
                }
                None => return self.refuse(context, conn, "too many collectors"),
            }
        }
        if let Some(peer) = self.open.get_mut(&conn) {
            (peer.standing, peer.since) = (Standing::Collector, now);
            context.note(Weight::Info, "collector", || {
                format!("{} collects for {zone}", peer.name)
            });
        }
    }

    pub fn advance(&mut self, context: &mut StepContext) -> Option<Ms> {
        let by = |p: &Peer| match p.standing {
            Standing::New => Some(p.since + JOIN_WITHIN),
            Standing::Page => Some(p.since + PAGE_WITHIN),
            Standing::Collector => None,
        };
        let due = self
            .open
            .iter()
            .filter(|(_, p)| by(p).is_some_and(|by| context.now >= by));
        for conn in due.map(|(conn, _)| *conn).collect::<Vec<_>>() {
            self.close(context, conn, "has not joined in time", None);
        }
        self.open.values().filter_map(by).reduce(f64::min)
    }
}

//! Whoever connects to the director's address: collectors, those who ping, those who ask for a page, strangers.

use crate::desk::Desk;
use crate::{Conn, Effect, Weight};
use bytes::Bytes;
use rushcourse_core::interface::{Event, Ms};
use rushcourse_protocol::frames::{self, Message};
use rushcourse_protocol::load;
use std::collections::BTreeMap;

/// Connections held at a time: each may hold a message of 1 MiB that is not complete, a third of the memory.
const PEERS_MOST: usize = 64;
/// ms in which a connection must have said a first message, and a page must have been served.
const FIRST_WITHIN: Ms = 10_000.0;
const PAGE_WITHIN: Ms = 30_000.0;

#[derive(Debug, PartialEq)]
enum Kind {
    Silent,
    Speaks,
    Page,
}

struct Peer {
    kind: Kind,
    name: String,
    last: Ms,
}

#[derive(Default)]
pub struct Peers {
    open: BTreeMap<Conn, Peer>,
}

/// The words that reports use for zones and classes.
pub struct Words<'a> {
    pub zones: &'a [String],
    pub classes: &'a [String],
}

impl Peers {
    pub fn count(&self) -> usize {
        self.open.len()
    }

    pub fn opened(&mut self, desk: &mut Desk, conn: Conn, name: String) {
        self.open.insert(conn, Peer { kind: Kind::Silent, name, last: desk.now });
        while self.open.len() > PEERS_MOST {
            // Who has said nothing goes first, then who has not said anything for longest.
            let idle = self.open.iter().min_by(|a, b| {
                let key = |p: &Peer| p.kind == Kind::Speaks;
                key(a.1).cmp(&key(b.1)).then(a.1.last.total_cmp(&b.1.last))
            });
            let Some(conn) = idle.map(|(conn, _)| *conn) else { return };
            self.close(desk, conn, "too many connections");
        }
    }

    fn close(&mut self, desk: &mut Desk, conn: Conn, why: &str) {
        if let Some(peer) = self.open.remove(&conn) {
            desk.counters.add("peers_closed", 1);
            desk.note(Weight::Warning, "connection closed", || format!("{}: {why}", peer.name));
            desk.ask(Effect::Close { conn });
        }
    }

    pub fn page(&mut self, desk: &mut Desk, conn: Conn) {
        if let Some(peer) = self.open.get_mut(&conn) {
            (peer.kind, peer.last) = (Kind::Page, desk.now);
        }
    }

    pub fn closed(&mut self, desk: &mut Desk, conn: Conn, why: &str) {
        if let Some(peer) = self.open.remove(&conn).filter(|_| !why.is_empty()) {
            desk.counters.add("peers_broken", 1);
            desk.note(Weight::Info, "connection ended", || format!("{}: {why}", peer.name));
        }
    }

    pub fn frame(&mut self, desk: &mut Desk, conn: Conn, bytes: &Bytes, words: &Words) {
        let Some(peer) = self.open.get_mut(&conn) else { return };
        let message = match frames::decode(bytes) {
            Ok(message) => message,
            Err(e) => {
                desk.counters.add("frames_malformed", 1);
                return self.close(desk, conn, &format!("a message can't be read ({e})"));
            }
        };
        (peer.kind, peer.last) = (Kind::Speaks, desk.now);
        let odd = match message {
            Message::Ping => {
                desk.ask(Effect::Write { conn, bytes: frames::pong() });
                None
            }
            Message::Collector { zone } => {
                let known = words.zones.iter().any(|z| *z == zone);
                if known {
                    desk.note(Weight::Info, "collector", || format!("{} collects for {zone}", peer.name));
                }
                (!known).then(|| format!("collector of unknown zone {zone:?}"))
            }
            Message::Heard(h) => match words.zones.iter().position(|z| *z == h.az) {
                Some(zone) => {
                    desk.counters.add("reports_heard", 1);
                    desk.event(Event::Heard {
                        zone,
                        host: h.host.as_ref().into(),
                        tries: h.n.max(0.0),
                        failed: h.bad.clamp(0.0, h.n.max(0.0)),
                        mean: h.avg.unwrap_or(0.0).max(0.0),
                        span: h.window.max(0.0),
                        load: load::object(h.report),
                    });
                    None
                }
                None => Some(format!("report from unknown zone {:?}", h.az)),
            },
            Message::Usage(u) => match words.classes.iter().position(|c| *c == u.kind) {
                Some(class) => {
                    desk.counters.add("reports_usage", 1);
                    let (tries, span) = (u.n.max(0.0), u.window.max(0.0));
                    let failed = u.bad.clamp(0.0, tries);
                    desk.event(Event::Usage { proxy: u.sidecar, class, tries, failed, span });
                    None
                }
                None => Some(format!("usage of unknown class {:?}", u.kind)),
            },
            Message::Other(kind) => Some(format!("message of unknown kind {kind:?}")),
        };
        if let Some(odd) = odd {
            desk.counters.add("messages_odd", 1);
            desk.note(Weight::Info, "message skipped", || odd);
        }
    }

    pub fn advance(&mut self, desk: &mut Desk) -> Option<Ms> {
        let within = |p: &Peer| match p.kind {
            Kind::Silent => Some(p.last + FIRST_WITHIN),
            Kind::Page => Some(p.last + PAGE_WITHIN),
            Kind::Speaks => None,
        };
        loop {
            let next = self.open.iter().filter_map(|(c, p)| within(p).map(|at| (at, *c)));
            let (at, conn) = next.min_by(|a, b| a.0.total_cmp(&b.0))?;
            if desk.now < at {
                return Some(at);
            }
            self.close(desk, conn, "said nothing in time");
        }
    }
}

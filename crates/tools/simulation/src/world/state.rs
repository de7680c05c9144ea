//! The world's state, and the queue of what is on its way.

use super::outcome::{Flaw, Mode, Tables};
use super::setup;
use crate::check::Checker;
use crate::proxy::{Relay, Streamed, Table, Way};
use crate::script::{At, CLASSES, Phase, Reported, Script};
use rushcourse_director_state::Session;
use rushcourse_xds as xds;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What is on its way, or due at a time.
pub(super) enum Pending {
    /// The script's event of this index.
    Event(usize),
    /// A watch of the list comes to its end, by the number of its request.
    WatchEnds(u64),
    /// The relay's news say that it is there.
    Keepalive,
    /// The platform's tables reach proxies, as they stood then.
    RelayTables {
        proxies: Vec<usize>,
        tables: Rc<Relay>,
        mark: Option<u16>,
    },
    /// The relay says that a proxy has applied a call.
    Applied { proxy: usize, mark: u16 },
    /// A response reaches its proxy.
    Response {
        stream: xds::StreamId,
        response: xds::Response,
    },
    /// A proxy's answer reaches the director.
    Answer {
        stream: xds::StreamId,
        nonce: String,
    },
    /// A proxy opens its streams, or the relay tells that it stands.
    Reopens(usize),
    /// The collector passes reports on.
    Reports(Rc<Vec<Reported>>),
}

/// A stand-in proxy.
#[derive(Default)]
pub(super) struct Proxy {
    pub(super) joined: bool,
    pub(super) stalled: bool,
    pub(super) tables: Option<Rc<Relay>>,
    pub(super) streamed: Streamed,
    pub(super) ads: xds::StreamId,
    pub(super) lrs: xds::StreamId,
    /// What came while it stalled.
    pub(super) waiting: Vec<Pending>,
    /// A response that the transport has not taken.
    pub(super) untaken: bool,
}

/// One director and all that is around it, on a fake clock.
pub struct World<'a> {
    pub(super) script: &'a Script,
    pub(super) mode: Mode,
    pub(super) flaw: Option<Flaw>,
    pub(super) session: Session,
    pub(super) now: At,
    pub(super) wake: f64,
    pub(super) queue: BTreeMap<(u64, u64), Pending>,
    pub(super) sequence: u64,
    pub(super) proxies: Vec<Proxy>,
    /// By stream: its proxy.
    pub(super) streams: BTreeMap<xds::StreamId, usize>,
    pub(super) last_stream: u64,
    pub(super) relay: Relay,
    pub(super) relay_stalls: bool,
    pub(super) news_turn: u64,
    pub(super) list_request: u64,
    pub(super) revision: u64,
    pub(super) hosts: Vec<Option<(Phase, f64)>>,
    pub(super) director_starts: u64,
    /// When reports last came.
    pub(super) last_report: At,
    pub(super) checker: Checker,
    pub(super) messages: u64,
    pub(super) steps: u64,
}

impl<'a> World<'a> {
    /// A world at the beginning of a script.
    pub fn new(script: &'a Script, mode: Mode, flaw: Option<Flaw>) -> World<'a> {
        let up = |k: usize| (k < script.first).then_some((Phase::Ready, 0.0));
        let hosts: Vec<_> = (0..script.hosts.len()).map(up).collect();
        World {
            session: setup::director(script, setup::members(script, &hosts), 1),
            script,
            mode,
            flaw,
            now: 0.0,
            wake: f64::INFINITY,
            queue: BTreeMap::new(),
            sequence: 0,
            proxies: script.proxies.iter().map(|_| Proxy::default()).collect(),
            streams: BTreeMap::new(),
            last_stream: 0,
            relay: setup::relay(),
            relay_stalls: false,
            news_turn: 0,
            list_request: 0,
            revision: 1,
            hosts,
            director_starts: 1,
            last_report: 0.0,
            checker: Checker::new(setup::limits()),
            messages: 0,
            steps: 0,
        }
    }
}

impl World<'_> {
    /// Puts something on its way: it arrives in so many ms.
    pub(super) fn after(&mut self, ms: At, pending: Pending) {
        self.sequence += 1;
        self.queue
            .insert((((self.now + ms) * 1000.0) as u64, self.sequence), pending);
    }

    /// What a proxy holds for a class.
    pub(super) fn held(&self, k: usize, class: &str) -> Option<Table> {
        match self.mode.way(k) {
            Way::Platform => self.proxies[k]
                .tables
                .as_ref()?
                .table(self.script.proxies[k].number, class),
            _ => self.proxies[k].streamed.table(class),
        }
    }

    /// A proxy holds something else now.
    pub(super) fn table_changed(&mut self, k: usize) {
        for class in CLASSES {
            if let Some(table) = self.held(k, class) {
                self.checker
                    .holds(self.script.proxies[k].number, class, table);
            }
        }
    }

    /// What all proxies hold.
    pub(super) fn all_tables(&self) -> Tables {
        let mut tables = BTreeMap::new();
        for (k, p) in self.script.proxies.iter().enumerate() {
            for class in CLASSES {
                let held = if self.proxies[k].joined {
                    self.held(k, class)
                } else {
                    None
                };
                tables.insert((p.number, class), held);
            }
        }
        tables
    }
}

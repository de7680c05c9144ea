//! The world's state.

use super::list::HostList;
use super::outcome::{Flaw, Mode, ProxyClass, Tables};
use super::queue::{Pending, PendingQueue};
use super::setup;
use crate::check::Checker;
use crate::proxy::{PlatformRelay, Protocol, ProxyTable, StreamTables};
use crate::script::{CLASSES, Script};
use rushcourse_director_state::Session;
use rushcourse_policy::interface::Ms;
use rushcourse_xds as xds;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A stand-in proxy.
#[derive(Default)]
pub(super) struct StandInProxy {
    pub(super) is_joined: bool,
    pub(super) is_stalled: bool,
    /// The relay's tables as they reached it last.
    pub(super) relay_tables: Option<Rc<PlatformRelay>>,
    pub(super) stream_tables: StreamTables,
    /// Its discovery stream.
    pub(super) discovery_stream: xds::StreamId,
    /// Its stream of load reports.
    pub(super) report_stream: xds::StreamId,
    /// What came while it stalled.
    pub(super) waiting: Vec<Pending>,
    /// A response that the transport has not accepted.
    pub(super) has_unaccepted_response: bool,
}

/// The director, and what it has asked for last.
pub(super) struct DirectorState {
    pub(super) session: Session,
    /// When it wants to be called, by the time of day.
    pub(super) wake_at: Ms,
    /// How often it was started.
    pub(super) starts: u64,
    /// The generation of its connection to the relay's watch.
    pub(super) watch_generation: u64,
    /// The number of its last request for the list.
    pub(super) list_request: u64,
}

/// The platform's relay.
pub(super) struct RelayState {
    pub(super) relay: PlatformRelay,
    pub(super) is_stalled: bool,
}

/// Streams and the proxies that opened them.
#[derive(Default)]
pub(super) struct StreamIndex {
    pub(super) proxies: BTreeMap<xds::StreamId, usize>,
    pub(super) last_stream: u64,
}

/// One director and all that is around it, on a fake clock.
pub struct World<'a> {
    pub(super) script: &'a Script,
    pub(super) mode: Mode,
    pub(super) flaw: Option<Flaw>,
    /// ms since the start.
    pub(super) now: Ms,
    pub(super) queue: PendingQueue,
    pub(super) director: DirectorState,
    pub(super) relay: RelayState,
    pub(super) list: HostList,
    pub(super) proxies: Vec<StandInProxy>,
    pub(super) streams: StreamIndex,
    /// When reports last came.
    pub(super) last_report: Ms,
    pub(super) checker: Checker,
    /// Messages to proxies.
    pub(super) messages: u64,
}

impl<'a> World<'a> {
    /// A world at the beginning of a script.
    pub fn new(script: &'a Script, mode: Mode, flaw: Option<Flaw>) -> World<'a> {
        let list = HostList::at_start(script);
        World {
            director: DirectorState {
                session: setup::director(script, &list, 1),
                wake_at: f64::INFINITY,
                starts: 1,
                watch_generation: 0,
                list_request: 0,
            },
            script,
            mode,
            flaw,
            now: 0.0,
            queue: PendingQueue::default(),
            relay: RelayState {
                relay: setup::relay(),
                is_stalled: false,
            },
            list,
            proxies: script
                .proxies
                .iter()
                .map(|_| StandInProxy::default())
                .collect(),
            streams: StreamIndex::default(),
            last_report: 0.0,
            checker: Checker::new(setup::limits()),
            messages: 0,
        }
    }
}

impl World<'_> {
    /// Puts something on its way: it arrives in so many ms.
    pub(super) fn after(&mut self, delay: Ms, pending: Pending) {
        self.queue.schedule(self.now + delay, pending);
    }

    /// The number of a proxy.
    pub(super) fn number(&self, proxy: usize) -> u32 {
        self.script.proxies[proxy].number
    }

    /// Whether a proxy is reached through the platform's relay.
    pub(super) fn is_on_relay(&self, proxy: usize) -> bool {
        self.mode.protocol(proxy) == Protocol::Platform
    }

    /// A message was written to a proxy.
    pub(super) fn count_message(&mut self, proxy: usize) {
        self.messages += 1;
        self.checker.message_sent(self.now, self.number(proxy));
    }

    /// What a proxy holds for a class.
    fn held(&self, proxy: usize, class: &str) -> Option<ProxyTable> {
        let state = &self.proxies[proxy];
        if self.is_on_relay(proxy) {
            let relay = state.relay_tables.as_ref()?;
            relay.table(self.number(proxy), class)
        } else {
            state.stream_tables.table(class)
        }
    }

    /// A proxy holds something else now.
    pub(super) fn table_changed(&mut self, proxy: usize) {
        for class in CLASSES {
            if let Some(table) = self.held(proxy, class) {
                self.checker.table_held(self.number(proxy), class, table);
            }
        }
    }

    /// What all proxies hold.
    pub(super) fn all_tables(&self) -> Tables {
        let mut tables = BTreeMap::new();
        for (proxy, state) in self.proxies.iter().enumerate() {
            for class in CLASSES {
                let held = state.is_joined.then(|| self.held(proxy, class)).flatten();
                let proxy = self.number(proxy);
                tables.insert(ProxyClass { proxy, class }, held);
            }
        }
        tables
    }
}

//! State of the simulation.

use super::list::HostList;
use super::outcome::{InjectedFault, Mode, ProxyClass, Tables};
use super::queue::{Pending, PendingQueue};
use super::setup;
use crate::check::Checker;
use crate::proxy::{PlatformRelay, Protocol, ProxyTable, StreamTables};
use crate::script::{CLASSES, Script};
use rushcourse_director_state::{FetchId, Session};
use rushcourse_policy::interface::Ms;
use rushcourse_xds as xds;
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Default)]
pub(super) struct SimulatedProxy {
    pub(super) is_joined: bool,
    pub(super) is_stalled: bool,
    /// Last delivered snapshot of the relay's tables.
    pub(super) relay_tables: Option<Rc<PlatformRelay>>,
    pub(super) stream_tables: StreamTables,
    pub(super) discovery_stream: xds::StreamId,
    pub(super) report_stream: xds::StreamId,
    /// Messages that are held back until the end of a stall.
    pub(super) undelivered: Vec<Pending>,
    /// Whether the transport has yet to accept a response, which it does at the end of a stall.
    pub(super) has_unaccepted_response: bool,
}

/// The director's session and its latest requests.
pub(super) struct DirectorState {
    pub(super) session: Session,
    /// Time of the next requested wake, in ms since 1970; infinite if there is none.
    pub(super) wake_at: Ms,
    /// Number of starts, including the first one.
    pub(super) starts: u64,
    /// Generation of the current connection to the relay's watch.
    pub(super) watch_generation: u64,
    /// Identifier of the latest request for the list of hosts.
    pub(super) list_request: FetchId,
}

pub(super) struct RelayState {
    pub(super) relay: PlatformRelay,
    pub(super) is_stalled: bool,
}

/// Open streams, each with the index of its proxy.
#[derive(Default)]
pub(super) struct StreamIndex {
    pub(super) proxies: BTreeMap<xds::StreamId, usize>,
    pub(super) last_stream: u64,
}

/// Simulation of one director and its environment on a fake clock.
pub struct World<'a> {
    pub(super) script: &'a Script,
    pub(super) mode: Mode,
    pub(super) injected_fault: Option<InjectedFault>,
    /// Current time, in ms since the start.
    pub(super) now: Ms,
    pub(super) queue: PendingQueue,
    pub(super) director: DirectorState,
    pub(super) relay: RelayState,
    pub(super) list: HostList,
    pub(super) proxies: Vec<SimulatedProxy>,
    pub(super) streams: StreamIndex,
    /// Time of the latest reports, in ms since the start.
    pub(super) last_report: Ms,
    pub(super) checker: Checker,
    /// Number of messages sent to proxies.
    pub(super) messages: u64,
}

impl<'a> World<'a> {
    /// Creates the initial state for a script: the director has not started, and no proxy has joined.
    pub fn new(script: &'a Script, mode: Mode, injected_fault: Option<InjectedFault>) -> World<'a> {
        let list = HostList::at_start(script);
        World {
            director: DirectorState {
                session: setup::new_session(script, &list, 1),
                wake_at: f64::INFINITY,
                starts: 1,
                watch_generation: 0,
                list_request: FetchId(0),
            },
            script,
            mode,
            injected_fault,
            now: 0.0,
            queue: PendingQueue::default(),
            relay: RelayState {
                relay: setup::new_relay(),
                is_stalled: false,
            },
            list,
            proxies: script
                .proxies
                .iter()
                .map(|_| SimulatedProxy::default())
                .collect(),
            streams: StreamIndex::default(),
            last_report: 0.0,
            checker: Checker::new(setup::limits()),
            messages: 0,
        }
    }
}

impl World<'_> {
    /// Schedules a delivery after a delay in ms.
    pub(super) fn schedule_after(&mut self, delay: Ms, pending: Pending) {
        self.queue.schedule(self.now + delay, pending);
    }

    /// Number of the proxy with this index.
    pub(super) fn proxy_number(&self, proxy: usize) -> u32 {
        self.script.proxies[proxy].number
    }

    /// Whether a proxy is served through the platform's relay and not by streams.
    pub(super) fn uses_relay(&self, proxy: usize) -> bool {
        self.mode.protocol(proxy) == Protocol::Platform
    }

    /// Counts a message to a proxy and passes it to the checker.
    pub(super) fn count_message(&mut self, proxy: usize) {
        self.messages += 1;
        self.checker
            .message_sent(self.now, self.proxy_number(proxy));
    }

    /// The table that a proxy uses for a class, or `None` if it has received none.
    fn current_table(&self, proxy: usize, class: &str) -> Option<ProxyTable> {
        let state = &self.proxies[proxy];
        if self.uses_relay(proxy) {
            let relay = state.relay_tables.as_ref()?;
            relay.table(self.proxy_number(proxy), class)
        } else {
            state.stream_tables.table(class)
        }
    }

    pub(super) fn report_tables_to_checker(&mut self, proxy: usize) {
        for class in CLASSES {
            if let Some(table) = self.current_table(proxy, class) {
                self.checker
                    .table_applied(self.proxy_number(proxy), class, table);
            }
        }
    }

    pub(super) fn all_tables(&self) -> Tables {
        let mut tables = BTreeMap::new();
        for (proxy, state) in self.proxies.iter().enumerate() {
            for class in CLASSES {
                let table = state
                    .is_joined
                    .then(|| self.current_table(proxy, class))
                    .flatten();
                let proxy = self.proxy_number(proxy);
                tables.insert(ProxyClass { proxy, class }, table);
            }
        }
        tables
    }
}

//! Discovery: the complete list of hosts at first and after a gap, then one watch after the other, in order of revision.

use crate::backoff::Backoff;
use crate::counter::Counter;
use crate::effect::{Effect, Severity};
use crate::endpoint_table::EndpointTable;
use crate::identifiers::FetchId;
use crate::step_context::StepContext;
use crate::time::millis;
use rushcourse_director_protocol::discovery::{self, EndpointList};
use rushcourse_policy::interface::{Event, HostListKind, Ms};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a watch waits for something newer. What discovery has to tell counts as told 2 s later, come or not.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// How long a request may take beyond its wait. The director's I/O keeps this time-out; if it says nothing, the request is
/// given up after as long again.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// A watch is continued if the next one begins within this after its end.
const MAX_WATCH_GAP: Duration = Duration::from_millis(200);
/// First and longest delay between attempts.
const FIRST_DELAY: Duration = Duration::from_millis(25);
const MAX_DELAY: Duration = Duration::from_millis(400);
/// A watch that ends this early with nothing new is followed by the next one after a delay only.
const EARLY_END: Duration = Duration::from_millis(50);
const EARLY_END_DELAY: Duration = Duration::from_millis(100);
/// Complete lists in a row that are older than the one held, after which the older one is believed.
const MAX_OUTDATED_LISTS: u32 = 3;

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Idle {
        until: Ms,
    },
    /// A request is open. `is_full`: for the complete list.
    AwaitingList {
        deadline: Ms,
        is_full: bool,
    },
}

pub(crate) struct EndpointDiscovery {
    state: State,
    /// Where discovery is.
    address: SocketAddr,
    /// It has moved, and nothing was told at the new address yet: its revisions count anew.
    has_moved: bool,
    /// The last request, and when it was made.
    request: FetchId,
    requested_at: Ms,
    /// The request to where discovery was before that may still be answered.
    former_request: Option<FetchId>,
    backoff: Backoff,
    /// The complete list is wanted: at first, and after a gap.
    wants_full: bool,
    revision: u64,
    /// Answers in a row that were older than the list held.
    outdated_lists: u32,
    /// When the last answer came that could be used.
    answered_at: Option<Ms>,
    table: EndpointTable,
}

impl EndpointDiscovery {
    pub(crate) fn new(address: SocketAddr) -> EndpointDiscovery {
        EndpointDiscovery {
            state: State::Idle { until: 0.0 },
            address,
            has_moved: false,
            request: FetchId::default(),
            requested_at: 0.0,
            former_request: None,
            backoff: Backoff::new(FIRST_DELAY, MAX_DELAY),
            wants_full: true,
            revision: 0,
            outdated_lists: 0,
            answered_at: None,
            table: EndpointTable::default(),
        }
    }

    /// What was last told of each host.
    pub(crate) fn table(&self) -> &EndpointTable {
        &self.table
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Time since the last answer that could be used.
    pub(crate) fn age(&self, now: Ms) -> Option<Ms> {
        self.answered_at.map(|at| now - at)
    }

    /// Discovery is elsewhere from now on: the complete list is asked for there at once. A watch at the former address
    /// that is open still counts until then.
    pub(crate) fn move_to(&mut self, context: &StepContext, address: SocketAddr) {
        if let State::AwaitingList { is_full: false, .. } = self.state {
            self.former_request = Some(self.request);
        }
        self.address = address;
        self.has_moved = true;
        self.wants_full = true;
        self.outdated_lists = 0;
        self.backoff.reset();
        self.state = State::Idle { until: context.now };
    }

    /// Asks for the complete list with the next request.
    pub(crate) fn request_full_list(&mut self) {
        self.wants_full = true;
    }

    /// The list that the director had before its start; it may be old.
    pub(crate) fn load_cached(
        &mut self,
        context: &mut StepContext,
        list: &EndpointList,
        zones: &[String],
    ) {
        self.apply(context, list, HostListKind::Cached, zones);
    }

    fn apply(
        &mut self,
        context: &mut StepContext,
        list: &EndpointList,
        kind: HostListKind,
        zones: &[String],
    ) {
        let applied = self.table.apply(list, kind, zones);
        for skipped in applied.skipped {
            context.count(Counter::EntriesSkipped);
            context.log(Severity::Warning, "list entry skipped", || {
                skipped.to_string()
            });
        }
        let entries = applied.entries;
        if kind != HostListKind::Delta || !entries.is_empty() {
            context.emit(Event::HostsListed { kind, entries });
        }
    }

    /// Discovery answered a request.
    pub(crate) fn fetched(
        &mut self,
        context: &mut StepContext,
        request: FetchId,
        body: &[u8],
        zones: &[String],
    ) {
        if self.former_request == Some(request) {
            return self.former_fetched(context, body, zones);
        }
        let State::AwaitingList { is_full, .. } = self.state else {
            return;
        };
        if request != self.request {
            return;
        }
        match discovery::decode(body) {
            Ok(list) => self.list_received(context, &list, is_full, zones),
            Err(error) => self.failed(context, &format!("its answer can't be read ({error})")),
        }
    }

    /// `was_full`: the complete list was asked for.
    fn list_received(
        &mut self,
        context: &mut StepContext,
        list: &EndpointList,
        was_full: bool,
        zones: &[String],
    ) {
        self.state = State::Idle { until: context.now };
        self.backoff.reset();
        if self.is_outdated(list, was_full) {
            return self.reject_outdated(context, list.revision);
        }
        self.answered_at = Some(context.now);
        if list.is_complete {
            self.has_moved = false;
            self.former_request = None;
        }
        let is_newer = list.revision > self.revision;
        if list.is_complete && (is_newer || was_full) {
            self.apply(context, list, HostListKind::Full, zones);
        } else if was_full {
            return self.failed(context, "asked for the whole list, it told changes");
        } else if is_newer {
            self.apply(context, list, HostListKind::Delta, zones);
        }
        self.revision = list.revision;
        self.wants_full &= !list.is_complete;
        let is_early = context.now - self.requested_at < millis(EARLY_END);
        if !is_newer && is_early && !was_full {
            self.state = State::Idle {
                until: context.after(EARLY_END_DELAY),
            };
        }
    }

    /// Whether a list is older than the one held, and not believed yet.
    fn is_outdated(&mut self, list: &EndpointList, was_full: bool) -> bool {
        let counts_anew = self.has_moved && list.is_complete;
        if list.revision >= self.revision || counts_anew {
            self.outdated_lists = 0;
            return false;
        }
        self.outdated_lists += 1;
        let is_believed = was_full && list.is_complete && self.outdated_lists >= MAX_OUTDATED_LISTS;
        !is_believed
    }

    fn reject_outdated(&mut self, context: &mut StepContext, revision: u64) {
        let held = self.revision;
        context.count(Counter::ListsOutdated);
        context.log(Severity::Warning, "list outdated", || {
            format!("{revision} while {held} is held")
        });
        self.wants_full = true;
        self.state = State::Idle {
            until: context.after(MAX_DELAY),
        };
    }

    /// Changes told by the watch that was open when discovery moved.
    fn former_fetched(&mut self, context: &mut StepContext, body: &[u8], zones: &[String]) {
        self.former_request = None;
        let Ok(list) = discovery::decode(body) else {
            return;
        };
        if list.revision <= self.revision {
            return;
        }
        let kind = if list.is_complete {
            HostListKind::Full
        } else {
            HostListKind::Delta
        };
        self.revision = list.revision;
        self.apply(context, &list, kind, zones);
    }

    /// Discovery did not answer a request as it should.
    pub(crate) fn fetch_failed(
        &mut self,
        context: &mut StepContext,
        request: FetchId,
        reason: &str,
    ) {
        if request == self.request && matches!(self.state, State::AwaitingList { .. }) {
            self.failed(context, reason);
        }
    }

    /// No answer, or none that can be used: what changed meanwhile is in the complete list only.
    fn failed(&mut self, context: &mut StepContext, reason: &str) {
        self.wants_full = true;
        self.state = State::Idle {
            until: context.after(self.backoff.next_delay()),
        };
        context.count(Counter::FetchesFailed);
        context.log(Severity::Warning, "discovery", || {
            format!("{reason}; the whole list is asked for")
        });
    }

    /// Does what is due; returns when it wants to be called again.
    pub(crate) fn advance(&mut self, context: &mut StepContext) -> Ms {
        match self.state {
            State::Idle { until } if context.now < until => {}
            State::Idle { .. } => self.fetch(context),
            State::AwaitingList { deadline, .. } if context.now >= deadline => {
                self.failed(context, "no answer");
            }
            State::AwaitingList { .. } => {}
        }
        match self.state {
            State::Idle { until } => until,
            State::AwaitingList { deadline, .. } => deadline,
        }
    }

    /// Asks for the complete list, or for what is newer than the one held.
    fn fetch(&mut self, context: &mut StepContext) {
        self.wants_full |= self
            .age(context.now)
            .is_none_or(|age| age > millis(MAX_WATCH_GAP));
        self.request.0 += 1;
        self.requested_at = context.now;
        let (path, wait) = if self.wants_full {
            (discovery::LIST_PATH.to_string(), Duration::ZERO)
        } else {
            let path = discovery::watch_path(self.revision, WATCH_WAIT);
            (path, WATCH_WAIT)
        };
        let timeout = wait + FETCH_TIMEOUT;
        context.request(Effect::FetchEndpoints {
            request: self.request,
            address: self.address,
            path,
            timeout,
        });
        self.state = State::AwaitingList {
            deadline: context.after(timeout + FETCH_TIMEOUT),
            is_full: self.wants_full,
        };
    }
}

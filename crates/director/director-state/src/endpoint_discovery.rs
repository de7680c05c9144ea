//! Client of the discovery service. It fetches the complete list of hosts at startup and after a gap, and follows changes
//! with consecutive watches (long polls) in order of revision.

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

/// Time after which discovery answers a watch without changes.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Timeout of a request beyond its wait time, enforced by the I/O layer. The session itself gives up after twice that.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time between two watches; after a longer one the complete list is fetched.
const MAX_WATCH_GAP: Duration = Duration::from_millis(200);
/// Bounds of the backoff between failed requests.
const INITIAL_DELAY: Duration = Duration::from_millis(25);
const MAX_DELAY: Duration = Duration::from_millis(400);
/// A watch that ends sooner than this without changes is followed by [`EARLY_END_DELAY`], so that a discovery service that
/// does not wait is not polled in a tight loop.
const EARLY_END_THRESHOLD: Duration = Duration::from_millis(50);
const EARLY_END_DELAY: Duration = Duration::from_millis(100);
/// Number of consecutive responses with an old revision after which a complete list is accepted anyway, because the
/// discovery service must have lost its state.
const MAX_OUTDATED_LISTS: u32 = 3;

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Idle {
        until: Ms,
    },
    /// A request is pending; `is_full` if it is for the complete list.
    AwaitingList {
        deadline: Ms,
        is_full: bool,
    },
}

pub(crate) struct EndpointDiscovery {
    state: State,
    address: SocketAddr,
    /// The address changed and no complete list was received from the new one yet. Its revisions are unrelated.
    has_address_changed: bool,
    /// Identifier of the latest request, which was sent at `requested_at`.
    request: FetchId,
    requested_at: Ms,
    /// Watch at the previous address that may still be answered.
    previous_request: Option<FetchId>,
    backoff: Backoff,
    /// The next request is for the complete list.
    needs_full_list: bool,
    revision: u64,
    /// Consecutive responses with a revision lower than the current one.
    outdated_lists: u32,
    /// Time of the last response that was not outdated.
    last_response_at: Option<Ms>,
    table: EndpointTable,
}

impl EndpointDiscovery {
    pub(crate) fn new(address: SocketAddr) -> EndpointDiscovery {
        EndpointDiscovery {
            state: State::Idle { until: 0.0 },
            address,
            has_address_changed: false,
            request: FetchId::default(),
            requested_at: 0.0,
            previous_request: None,
            backoff: Backoff::new(INITIAL_DELAY, MAX_DELAY),
            needs_full_list: true,
            revision: 0,
            outdated_lists: 0,
            last_response_at: None,
            table: EndpointTable::default(),
        }
    }

    pub(crate) fn table(&self) -> &EndpointTable {
        &self.table
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Time since the last response that was not outdated; `None` before the first.
    pub(crate) fn age(&self, now: Ms) -> Option<Ms> {
        self.last_response_at.map(|at| now - at)
    }

    /// Changes the address of the discovery service and schedules a request for its complete list. A pending watch at the
    /// previous address is still used until that list arrives.
    pub(crate) fn set_address(&mut self, context: &StepContext, address: SocketAddr) {
        if let State::AwaitingList { is_full: false, .. } = self.state {
            self.previous_request = Some(self.request);
        }
        self.address = address;
        self.has_address_changed = true;
        self.needs_full_list = true;
        self.outdated_lists = 0;
        self.backoff.reset();
        self.state = State::Idle { until: context.now };
    }

    /// Makes the next request one for the complete list.
    pub(crate) fn request_full_list(&mut self) {
        self.needs_full_list = true;
    }

    /// Applies the list cached before startup, which may be out of date. The revision stays 0.
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

    /// Handles a response; one that belongs neither to the pending request nor to the previous address is ignored.
    pub(crate) fn on_fetched(
        &mut self,
        context: &mut StepContext,
        request: FetchId,
        body: &[u8],
        zones: &[String],
    ) {
        if self.previous_request == Some(request) {
            return self.on_previous_fetched(context, body, zones);
        }
        let State::AwaitingList { is_full, .. } = self.state else {
            return;
        };
        if request != self.request {
            return;
        }
        match discovery::decode(body) {
            Ok(list) => self.on_list(context, &list, is_full, zones),
            Err(error) => self.on_failed(context, &format!("invalid response ({error})")),
        }
    }

    /// Applies a decoded response to the pending request; `requested_full` if that was for the complete list.
    fn on_list(
        &mut self,
        context: &mut StepContext,
        list: &EndpointList,
        requested_full: bool,
        zones: &[String],
    ) {
        self.state = State::Idle { until: context.now };
        self.backoff.reset();
        if self.is_outdated(list, requested_full) {
            return self.reject_outdated(context, list.revision);
        }
        self.last_response_at = Some(context.now);
        if list.is_complete {
            self.has_address_changed = false;
            self.previous_request = None;
        }
        let is_newer = list.revision > self.revision;
        if list.is_complete && (is_newer || requested_full) {
            self.apply(context, list, HostListKind::Full, zones);
        } else if requested_full {
            return self.on_failed(context, "received a delta instead of the complete list");
        } else if is_newer {
            self.apply(context, list, HostListKind::Delta, zones);
        }
        self.revision = list.revision;
        self.needs_full_list &= !list.is_complete;
        let is_early = context.now - self.requested_at < millis(EARLY_END_THRESHOLD);
        if !is_newer && is_early && !requested_full {
            self.state = State::Idle {
                until: context.after(EARLY_END_DELAY),
            };
        }
    }

    /// Whether to ignore a list because its revision is lower than the current one.
    fn is_outdated(&mut self, list: &EndpointList, requested_full: bool) -> bool {
        let revisions_restart = self.has_address_changed && list.is_complete;
        if list.revision >= self.revision || revisions_restart {
            self.outdated_lists = 0;
            return false;
        }
        self.outdated_lists += 1;
        let is_accepted =
            requested_full && list.is_complete && self.outdated_lists >= MAX_OUTDATED_LISTS;
        !is_accepted
    }

    fn reject_outdated(&mut self, context: &mut StepContext, revision: u64) {
        let held = self.revision;
        context.count(Counter::ListsOutdated);
        context.log(Severity::Warning, "list outdated", || {
            format!("{revision} while {held} is held")
        });
        self.needs_full_list = true;
        self.state = State::Idle {
            until: context.after(MAX_DELAY),
        };
    }

    /// Applies the response to the watch that was pending when the address changed.
    fn on_previous_fetched(&mut self, context: &mut StepContext, body: &[u8], zones: &[String]) {
        self.previous_request = None;
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

    /// Handles the failure of a request; ignored unless the request is pending.
    pub(crate) fn on_fetch_failed(
        &mut self,
        context: &mut StepContext,
        request: FetchId,
        reason: &str,
    ) {
        if request == self.request && matches!(self.state, State::AwaitingList { .. }) {
            self.on_failed(context, reason);
        }
    }

    /// Schedules a request for the complete list after a failure, because changes may have been missed.
    fn on_failed(&mut self, context: &mut StepContext, reason: &str) {
        self.needs_full_list = true;
        self.state = State::Idle {
            until: context.after(self.backoff.next_delay()),
        };
        context.count(Counter::FetchesFailed);
        context.log(Severity::Warning, "discovery", || {
            format!("{reason}; the whole list is asked for")
        });
    }

    /// Sends the next request or times out the pending one, if due; returns the next deadline.
    pub(crate) fn advance(&mut self, context: &mut StepContext) -> Ms {
        match self.state {
            State::Idle { until } if context.now < until => {}
            State::Idle { .. } => self.fetch(context),
            State::AwaitingList { deadline, .. } if context.now >= deadline => {
                self.on_failed(context, "no response in time");
            }
            State::AwaitingList { .. } => {}
        }
        match self.state {
            State::Idle { until } => until,
            State::AwaitingList { deadline, .. } => deadline,
        }
    }

    /// Requests the complete list, or a watch for changes after the current revision.
    fn fetch(&mut self, context: &mut StepContext) {
        self.needs_full_list |= self
            .age(context.now)
            .is_none_or(|age| age > millis(MAX_WATCH_GAP));
        self.request.0 += 1;
        self.requested_at = context.now;
        let (path, wait) = if self.needs_full_list {
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
            is_full: self.needs_full_list,
        };
    }
}

//! State of a gateway, shared by all tasks of its single thread. The `RefCell`s are borrowed only within methods of
//! this module and its children, which are not `async`, so no borrow is held across an `await`.
//!
//! * `session_events.rs`: handles messages from controllers and other gateways.
//! * `maintenance.rs`: periodic work.
//! * `upstreams.rs`: host choice, attempts and upstream connections, called by request tasks.
//! * `usage.rs`: counts of executed requests per tenant.
//! * `operations.rs`: operations with an idempotency key, called by request tasks.

mod maintenance;
mod operations;
mod session_events;
mod upstreams;
mod usage;

use crate::connection_pool::ConnectionPools;
use crate::control_plane::ControlPlane;
use crate::deadline::Deadline;
use crate::drain::{DrainSchedule, EndedRequests};
use crate::keyed_operations::KeyedOperations;
use crate::local_response::{LocalResponse, Rejection};
use crate::peer_sessions::PeerSessions;
use crate::random_source::RandomSource;
use crate::response_body::ResponseBody;
use crate::usage::Usage;
use hyper::{Response, StatusCode};
use rushcourse_config::{Configuration, Limits, NodeSettings};
use rushcourse_routing::{
    Claims, ControllerSelection, EndpointTables, Operations, ReplicationSetup, ResponseReplication,
    RetryBudget,
};
use rushcourse_transport::{Clock, ReasonCounters};
use rushcourse_types::{Incarnation, NodeId, Timestamp};
use std::cell::{Cell, RefCell};
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::Instant;

/// Fraction of `limits.memory_mb` that stored responses of operations may take.
const STORED_RESPONSES_MEMORY_FRACTION: f64 = 0.15;
/// Fraction of the machine's link that shards of responses may take.
const REPLICATION_LINK_FRACTION: f64 = 0.25;

pub(crate) struct GatewayState {
    clock: Clock,
    random: RandomSource,
    control_plane: RefCell<ControlPlane>,
    endpoints: RefCell<EndpointTables>,
    retry_budget: RefCell<RetryBudget>,
    pools: RefCell<ConnectionPools>,
    operations: RefCell<KeyedOperations>,
    /// Local responses counted by reason.
    local_responses: RefCell<ReasonCounters>,
    last_load_report: Cell<Timestamp>,
    /// Counts for usage reports; `None` if the settings ask for none.
    usage: RefCell<Option<Usage>>,
    /// Set on SIGTERM and never cleared; the gateway is not ready while it is set. Request tasks watch it.
    drain: watch::Sender<Option<DrainSchedule>>,
    ended_requests: Cell<EndedRequests>,
    /// Operations being forwarded under a won claim.
    running_operations: Cell<usize>,
}

impl GatewayState {
    /// Creates a state without endpoint tables or configuration; both come from controllers.
    pub(crate) fn new(
        settings: &NodeSettings,
        clock: Clock,
        incarnation: Incarnation,
        sessions: PeerSessions,
    ) -> GatewayState {
        let node = NodeId::from(settings.node.ip_address);
        let controller_selection = ControllerSelection::new(node, &settings.node.zone);
        let claims = Claims::new(node, incarnation);
        let operations = Operations::new(
            settings.bounds.key_window,
            (settings.limits.memory_bytes() * STORED_RESPONSES_MEMORY_FRACTION) as usize,
        );
        let retry_budget = RetryBudget::new(
            settings.bounds.retry_budget_ratio,
            settings.bounds.retry_budget_slack,
            settings.bounds.budget_window,
        );
        GatewayState {
            clock,
            random: RandomSource::new(incarnation),
            control_plane: RefCell::new(ControlPlane::new(
                sessions,
                controller_selection,
                settings.bounds.revocation,
            )),
            endpoints: RefCell::new(EndpointTables::new(&settings.node.zone)),
            retry_budget: RefCell::new(retry_budget),
            pools: RefCell::default(),
            operations: RefCell::new(KeyedOperations::new(
                claims,
                operations,
                ResponseReplication::new(replication_setup(settings)),
            )),
            local_responses: RefCell::new(ReasonCounters::new("local_responses")),
            last_load_report: Cell::new(Timestamp::ZERO),
            usage: RefCell::new(Usage::new(settings, incarnation)),
            drain: watch::Sender::new(None),
            ended_requests: Cell::default(),
            running_operations: Cell::new(0),
        }
    }

    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the current time of the monotonic clock.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the configuration in use, `None` until a controller has sent one.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.control_plane.borrow().configuration().cloned()
    }

    /// Returns the size and time limits for clients, `None` until a controller has sent a configuration.
    pub(crate) fn limits(&self) -> Option<Limits> {
        let control_plane = self.control_plane.borrow();
        control_plane
            .configuration()
            .map(|configuration| configuration.limits)
    }

    /// Adds controllers to those that the gateway keeps sessions with.
    pub(crate) fn add_controllers(&self, nodes: impl IntoIterator<Item = NodeId>) {
        let mut control_plane = self.control_plane.borrow_mut();
        control_plane.sessions_mut().add_controllers(nodes);
    }

    /// Whether API keys may be accepted now, by the configuration in use: revocation is not bounded, or a lease is held.
    pub(crate) fn may_accept_api_keys(&self) -> bool {
        self.control_plane.borrow().may_accept_api_keys(self.now())
    }

    /// Whether the platform may send clients to this gateway: it has a configuration, the lease that its routes need, a
    /// primary controller and an available host for at least one route, and is not draining.
    pub(crate) fn is_ready(&self) -> bool {
        let control_plane = self.control_plane.borrow();
        let Some(configuration) = control_plane.configuration() else {
            return false;
        };
        self.drain_schedule().is_none()
            && control_plane.primary().is_some()
            && self.may_serve_every_route(configuration)
            && self.has_routable_host(configuration)
    }

    /// Whether no route is refused for want of a lease. Otherwise clients are better served by a gateway that holds one;
    /// if too few do, the platform uses all of them.
    fn may_serve_every_route(&self, configuration: &Configuration) -> bool {
        let mut routes = configuration.routes.iter();
        let needs_no_key = configuration.tenants.is_none() || routes.all(|route| route.is_public);
        needs_no_key || self.may_accept_api_keys()
    }

    fn has_routable_host(&self, configuration: &Configuration) -> bool {
        let is_routed = |service: &str| {
            let routes = configuration.routes.iter();
            let mut parts = routes.flat_map(|route| &route.services);
            parts.any(|part| part.service == service)
        };
        let endpoints = self.endpoints.borrow();
        let mut services = configuration.services.keys();
        services.any(|service| is_routed(service) && endpoints.has_available_host(service))
    }

    /// Makes the gateway not ready for the rest of the process, and brings forward the deadlines of pending requests to
    /// the end of the drain. A repeated call changes nothing.
    pub(crate) fn start_draining(&self, schedule: DrainSchedule) {
        if self.drain_schedule().is_none() {
            self.drain.send_replace(Some(schedule));
            self.operations.borrow_mut().start_draining();
        }
    }

    /// Returns the schedule of the shutdown, `None` before SIGTERM.
    pub(crate) fn drain_schedule(&self) -> Option<DrainSchedule> {
        *self.drain.borrow()
    }

    /// Fails if the shutdown is so far advanced that a request that has arrived now must not be sent to a host.
    pub(crate) fn check_admission(&self) -> Result<(), Rejection> {
        let schedule = self.drain_schedule();
        if schedule.is_some_and(|schedule| Instant::now() >= schedule.admission_ends_at) {
            return Err(Rejection::ShuttingDown);
        }
        Ok(())
    }

    /// Returns the deadline of a request that expires at `expires_at` unless the process drains.
    pub(crate) fn deadline(&self, expires_at: Instant) -> Deadline {
        Deadline::new(expires_at, self.drain.subscribe())
    }

    /// Records a response if it was pending when the drain made responses due.
    pub(crate) fn request_answered(&self, arrived_at: Instant, status: StatusCode) {
        let now = Instant::now();
        let schedule = self.drain_schedule();
        if schedule.is_some_and(|schedule| now >= schedule.responses_due_at) {
            let mut ended = self.ended_requests.get();
            ended.record(status, now - arrived_at);
            self.ended_requests.set(ended);
        }
    }

    /// Returns the requests that were pending when the drain made responses due.
    pub(crate) fn ended_requests(&self) -> EndedRequests {
        self.ended_requests.get()
    }

    /// Builds a response that the gateway generates itself and counts its reason.
    pub(crate) fn respond_locally(&self, local: LocalResponse) -> Response<ResponseBody> {
        self.local_responses.borrow_mut().count(local.reason());
        local.into_response(self.random.fraction())
    }
}

fn replication_setup(settings: &NodeSettings) -> ReplicationSetup {
    let link_bytes = settings.limits.link_bytes_per_second();
    ReplicationSetup {
        local_node: NodeId::from(settings.node.ip_address),
        zone: settings.node.zone.clone(),
        tolerated_losses: settings.tolerated_losses,
        bytes_per_second: link_bytes * REPLICATION_LINK_FRACTION,
        key_window: settings.bounds.key_window,
    }
}

//! What a gateway knows, shared by all tasks of its one thread. Its parts are borrowed only within methods of this module
//! and its children, none of which waits: no borrow is ever held across an `await`.
//!
//! * `session_events.rs`: what controllers and other gateways say.
//! * `upkeep.rs`: what is done at each tick.
//! * `upstreams.rs`: hosts, attempts at them and connections to them, for a request on its way.
//! * `operations.rs`: operations with a key, for a request on its way.

mod operations;
mod session_events;
mod upkeep;
mod upstreams;

use crate::connection_pool::ConnectionPools;
use crate::control_plane::ControlPlane;
use crate::keyed_operations::KeyedOperations;
use crate::local_response::LocalResponse;
use crate::peer_sessions::PeerSessions;
use crate::random_source::RandomSource;
use crate::response_body::ResponseBody;
use hyper::Response;
use rushcourse_config::{Configuration, Limits, NodeSettings};
use rushcourse_routing::{Claims, ControllerSelection, EndpointTables, Operations, RetryBudget};
use rushcourse_transport::{Clock, ReasonCounters};
use rushcourse_types::{Incarnation, NodeId, Timestamp};
use std::cell::{Cell, RefCell};
use std::sync::Arc;

/// Part of the machine's memory that stored responses of operations may take (ours).
const STORED_RESPONSES_PART: f64 = 0.15;
const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;

/// The state of a gateway.
pub(crate) struct GatewayState {
    clock: Clock,
    random: RandomSource,
    control_plane: RefCell<ControlPlane>,
    endpoints: RefCell<EndpointTables>,
    retry_budget: RefCell<RetryBudget>,
    pools: RefCell<ConnectionPools>,
    operations: RefCell<KeyedOperations>,
    /// The gateway's own responses, counted by their reason.
    local_responses: RefCell<ReasonCounters>,
    last_load_report: Cell<Timestamp>,
    /// Told to end: it takes no new clients.
    is_draining: Cell<bool>,
    /// Operations that were sent to a host and have not ended.
    running_operations: Cell<usize>,
}

impl GatewayState {
    /// The state at the start of an incarnation: no tables, no configuration.
    pub(crate) fn new(
        settings: &NodeSettings,
        clock: Clock,
        incarnation: Incarnation,
        sessions: PeerSessions,
    ) -> GatewayState {
        let node = NodeId::from(settings.node.ip_address);
        let controllers = ControllerSelection::new(node, &settings.node.zone);
        let claims = Claims::new(node, incarnation);
        let operations = Operations::new(
            settings.bounds.key_window,
            (settings.limits.memory_mb * STORED_RESPONSES_PART * BYTES_PER_MEGABYTE) as usize,
        );
        let retry_budget = RetryBudget::new(
            settings.bounds.retry_budget_ratio,
            settings.bounds.retry_budget_slack,
            settings.bounds.budget_window,
        );
        GatewayState {
            clock,
            random: RandomSource::new(incarnation),
            control_plane: RefCell::new(ControlPlane::new(sessions, controllers)),
            endpoints: RefCell::new(EndpointTables::new(&settings.node.zone)),
            retry_budget: RefCell::new(retry_budget),
            pools: RefCell::default(),
            operations: RefCell::new(KeyedOperations::new(claims, operations)),
            local_responses: RefCell::new(ReasonCounters::new("local_responses")),
            last_load_report: Cell::new(Timestamp::ZERO),
            is_draining: Cell::new(false),
            running_operations: Cell::new(0),
        }
    }

    /// The clocks of this process.
    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    /// The present moment by the steady clock.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// The configuration that requests go by, if there is one yet.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.control_plane.borrow().configuration().cloned()
    }

    /// What clients may send and how long they may take, if there is a configuration yet.
    pub(crate) fn limits(&self) -> Option<Limits> {
        let control_plane = self.control_plane.borrow();
        control_plane
            .configuration()
            .map(|configuration| configuration.limits)
    }

    /// Controllers that sessions are to be held with.
    pub(crate) fn add_controllers(&self, nodes: impl IntoIterator<Item = NodeId>) {
        let mut control_plane = self.control_plane.borrow_mut();
        control_plane.sessions_mut().add_controllers(nodes);
    }

    /// Whether clients may be sent here: it has a configuration, hosts of some route, and a primary controller, and was
    /// not told to end.
    pub(crate) fn is_ready(&self) -> bool {
        let control_plane = self.control_plane.borrow();
        let Some(configuration) = control_plane.configuration() else {
            return false;
        };
        !self.is_draining.get()
            && control_plane.primary().is_some()
            && self.has_host_of_a_route(configuration)
    }

    fn has_host_of_a_route(&self, configuration: &Configuration) -> bool {
        let is_routed = |service: &str| {
            let routes = configuration.routes.iter();
            let mut parts = routes.flat_map(|route| &route.services);
            parts.any(|part| part.service == service)
        };
        let endpoints = self.endpoints.borrow();
        let mut services = configuration.services.keys();
        services.any(|service| is_routed(service) && endpoints.has_available_host(service))
    }

    /// The process was told to end: it is no longer ready.
    pub(crate) fn start_draining(&self) {
        self.is_draining.set(true);
    }

    /// Answers a request without a host, and counts why.
    pub(crate) fn respond_locally(&self, local: LocalResponse) -> Response<ResponseBody> {
        self.local_responses.borrow_mut().count(local.reason());
        local.into_response(self.random.fraction())
    }
}

//! Host choice, attempts and upstream connections, as called by request tasks.

use super::GatewayState;
use crate::connection_pool::UpstreamSender;
use rushcourse_routing::{HostChoice, HostObservation};
use rushcourse_types::Timestamp;
use std::rc::Rc;
use std::sync::Arc;

impl GatewayState {
    /// Counts a client request, which raises the retry budget of its service.
    pub(crate) fn count_request(&self, service: &Arc<str>) {
        let now = self.now();
        self.retry_budget.borrow_mut().record_request(now, service);
    }

    /// Takes one retry from the budget of a service. Returns false if the budget is exhausted.
    pub(crate) fn spend_retry(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        self.retry_budget.borrow_mut().try_spend(now, service)
    }

    /// Chooses an available host outside `tried_hosts` and counts an attempt on it. `record_attempt` or
    /// `cancel_attempt` has to follow.
    pub(crate) fn choose_host(
        &self,
        service: &Arc<str>,
        tried_hosts: &[Arc<str>],
    ) -> Option<HostChoice> {
        let now = self.now();
        let random = || self.random.fraction();
        self.endpoints
            .borrow_mut()
            .choose_host(now, service, tried_hosts, random)
    }

    /// Whether new requests for a service may go to a host.
    pub(crate) fn is_host_available(&self, service: &str, host: &str) -> bool {
        self.endpoints.borrow().is_available(service, host)
    }

    /// Ends an attempt that `choose_host` counted and records its result.
    pub(crate) fn record_attempt(
        &self,
        service: &str,
        host: &Arc<str>,
        observation: HostObservation,
    ) {
        let now = self.now();
        self.endpoints
            .borrow_mut()
            .record_attempt(now, service, host, observation);
    }

    /// Ends an attempt that `choose_host` counted without a result, because the client disconnected.
    pub(crate) fn cancel_attempt(&self, service: &str, host: &Arc<str>) {
        self.endpoints.borrow_mut().cancel_attempt(service, host);
    }

    /// Takes a usable idle connection to a host out of the pool.
    pub(crate) fn take_idle_connection(&self, host: &Arc<str>) -> Option<UpstreamSender> {
        let now = self.now();
        self.pools.borrow_mut().take_idle(now, host)
    }

    /// Returns a connection to the pool, where it may be reused until `expires_at`.
    pub(crate) fn return_connection(
        &self,
        host: &Arc<str>,
        sender: UpstreamSender,
        expires_at: Timestamp,
    ) {
        self.pools
            .borrow_mut()
            .return_idle(host, sender, expires_at);
    }

    /// Reserves a slot for a new connection. `None` if this gateway's share of the host's capacity is in use.
    pub(crate) fn reserve_connection(
        self: &Rc<Self>,
        service: &str,
        host: &Arc<str>,
    ) -> Option<ConnectionSlot> {
        let now = self.now();
        let is_reserved = self.pools.borrow_mut().reserve(now, service, host);
        is_reserved.then(|| ConnectionSlot {
            gateway: self.clone(),
            host: host.clone(),
        })
    }
}

/// Reservation for one connection to a host; dropping it releases the slot.
pub(crate) struct ConnectionSlot {
    gateway: Rc<GatewayState>,
    host: Arc<str>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.gateway.pools.borrow_mut().release(&self.host);
    }
}

//! Hosts, attempts at them and connections to them, as a request on its way asks for them.

use super::GatewayState;
use crate::connection_pool::UpstreamSender;
use rushcourse_routing::{HostChoice, HostObservation};
use rushcourse_types::Timestamp;
use std::rc::Rc;
use std::sync::Arc;

impl GatewayState {
    /// A request for a service arrived: retries may be made in proportion.
    pub(crate) fn count_request(&self, service: &Arc<str>) {
        let now = self.now();
        self.retry_budget.borrow_mut().record_request(now, service);
    }

    /// Spends one retry if the budget has room for it. Returns whether it had.
    pub(crate) fn spend_retry(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        self.retry_budget.borrow_mut().try_spend(now, service)
    }

    /// Chooses a host that was not tried yet and counts an attempt on it.
    pub(crate) fn choose_host(&self, service: &Arc<str>, tried: &[Arc<str>]) -> Option<HostChoice> {
        let now = self.now();
        let random = || self.random.fraction();
        self.endpoints
            .borrow_mut()
            .choose_host(now, service, tried, random)
    }

    /// Whether new requests for a service may go to a host.
    pub(crate) fn is_host_available(&self, service: &str, host: &str) -> bool {
        self.endpoints.borrow().is_available(service, host)
    }

    /// An attempt at a chosen host ended.
    pub(crate) fn record_attempt(&self, service: &str, host: &Arc<str>, observed: HostObservation) {
        let now = self.now();
        self.endpoints
            .borrow_mut()
            .record_attempt(now, service, host, observed);
    }

    /// An attempt at a chosen host was cancelled by its client.
    pub(crate) fn cancel_attempt(&self, service: &str, host: &Arc<str>) {
        self.endpoints.borrow_mut().cancel_attempt(service, host);
    }

    /// An idle connection to a host that is still good, if there is one.
    pub(crate) fn take_idle_connection(&self, host: &Arc<str>) -> Option<UpstreamSender> {
        let now = self.now();
        self.pools.borrow_mut().take_idle(now, host)
    }

    /// Keeps a connection for further requests until `expires_at`.
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

    /// Counts a connection that is about to be opened, if one more may be.
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

/// A connection to a host that is counted until this is dropped.
pub(crate) struct ConnectionSlot {
    gateway: Rc<GatewayState>,
    host: Arc<str>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.gateway.pools.borrow_mut().release(&self.host);
    }
}

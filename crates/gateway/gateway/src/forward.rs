//! Forwards a request: chooses a host, makes an attempt, and retries at another host where that may be (retry policy and
//! retry budget).

use crate::local_response::{LocalResponse, Rejection};
use crate::response_body::ResponseBody;
use crate::state::GatewayState;
use crate::upstream::{AttemptOutcome, UpstreamRequest, attempt};
use hyper::Response;
use rushcourse_config::RouteKind;
use rushcourse_routing::{HostChoice, HostObservation};
use rushcourse_types::KeyDigest;
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::Instant;

/// Hosts that may turn out not to be reached before a request is given up (ours); they saw nothing of it, so they count
/// neither as attempts nor against the retry budget.
const MAX_CONNECT_FAILURES: u32 = 3;

/// A host's response, or why there is none.
pub(crate) type ForwardOutcome = Result<Response<ResponseBody>, LocalResponse>;

/// A request that is checked, matched to a route, and read whole.
pub(crate) struct RoutedRequest {
    /// The digest of its idempotency key, on an idempotent route.
    pub(crate) operation_key: Option<KeyDigest>,
    /// What goes to a host.
    pub(crate) upstream: UpstreamRequest,
    /// What may be repeated.
    pub(crate) route_kind: RouteKind,
    /// Hosts that it may be sent to.
    pub(crate) max_attempts: u32,
    /// When its client stops waiting, less what the way back takes.
    pub(crate) expires_at: Instant,
}

/// Sends a request to a host, and to another one where it can't run twice, or may, and the retry budget has room.
///
/// # Errors
/// The last reason for which no host's response came.
pub(crate) async fn forward(gateway: &Rc<GatewayState>, request: &RoutedRequest) -> ForwardOutcome {
    let mut attempts = Attempts::new(request);
    loop {
        let host = attempts.choose_next_host(gateway)?;
        match attempt(gateway, &request.upstream, &host, request.expires_at).await {
            AttemptOutcome::Response(response) => return Ok(response),
            AttemptOutcome::NotExecuted(observed) => attempts.record_not_executed(observed),
            AttemptOutcome::Failed => attempts.record_failed(),
            AttemptOutcome::TimedOut => return Err(LocalResponse::DeadlineExceeded),
        }
        attempts.log_failure(&host);
        if !attempts.may_retry() {
            return Err(attempts.last_failure);
        }
    }
}

/// The attempts of one request so far.
struct Attempts<'a> {
    request: &'a RoutedRequest,
    /// Hosts that were chosen, by their ids.
    tried: Vec<Arc<str>>,
    /// Attempts in which a host saw something of the request.
    reached: u32,
    connect_failures: u32,
    last_failure: LocalResponse,
}

impl<'a> Attempts<'a> {
    fn new(request: &'a RoutedRequest) -> Attempts<'a> {
        Attempts {
            request,
            tried: Vec::new(),
            reached: 0,
            connect_failures: 0,
            last_failure: LocalResponse::Rejected(Rejection::NoHost),
        }
    }

    /// The host of the next attempt, as long as there is time, a retry in the budget, and a host that was not tried.
    fn choose_next_host(&mut self, gateway: &GatewayState) -> Result<HostChoice, LocalResponse> {
        let service = &self.request.upstream.service;
        if Instant::now() >= self.request.expires_at {
            return Err(self.failure_at_deadline());
        }
        if self.reached > 0 && !gateway.spend_retry(service) {
            return Err(self.last_failure);
        }
        let host = gateway
            .choose_host(service, &self.tried)
            .ok_or(self.last_failure)?;
        self.tried.push(host.id.clone());
        Ok(host)
    }

    /// A request that may have run is not promised not to have.
    fn failure_at_deadline(&self) -> LocalResponse {
        if self.last_failure == LocalResponse::NoValidResponse {
            self.last_failure
        } else {
            LocalResponse::Rejected(Rejection::DeadlineExceeded)
        }
    }

    fn record_not_executed(&mut self, observed: HostObservation) {
        let rejection = if observed == HostObservation::ConnectFailed {
            self.connect_failures += 1;
            Rejection::HostsUnreachable
        } else {
            self.reached += 1;
            Rejection::HostsAtCapacity
        };
        self.last_failure = LocalResponse::Rejected(rejection);
    }

    fn record_failed(&mut self) {
        self.reached += 1;
        self.last_failure = LocalResponse::NoValidResponse;
    }

    fn may_retry(&self) -> bool {
        let may_have_run = self.last_failure == LocalResponse::NoValidResponse;
        let may_run_again = !may_have_run || self.request.route_kind == RouteKind::ReadOnly;
        may_run_again
            && self.reached < self.request.max_attempts.max(1)
            && self.connect_failures < MAX_CONNECT_FAILURES
    }

    fn log_failure(&self, host: &HostChoice) {
        log::debug!(
            "event=attempt_failed attempt={:?} service={} host={} why={:?} attempts={}",
            self.request.upstream.attempt_id,
            self.request.upstream.service,
            host.id,
            self.last_failure.reason(),
            self.tried.len()
        );
    }
}

//! Forwards a request: chooses a host, makes an attempt, and retries at another host within the retry policy and the
//! retry budget.

use crate::deadline::Deadline;
use crate::local_response::{LocalResponse, Rejection};
use crate::response_body::ResponseBody;
use crate::state::GatewayState;
use crate::upstream::{AttemptOutcome, UpstreamRequest, attempt};
use hyper::Response;
use rushcourse_config::RouteKind;
use rushcourse_routing::{HostChoice, HostObservation};
use rushcourse_types::OperationKeys;
use std::rc::Rc;
use std::sync::Arc;

/// Failed connects after which a request is rejected. They count neither as attempts nor against the retry budget,
/// since the hosts received nothing.
const MAX_CONNECT_FAILURES: u32 = 3;

pub(crate) type ForwardResult = Result<Response<ResponseBody>, LocalResponse>;

/// A validated request with its route and its complete body.
pub(crate) struct RoutedRequest {
    /// Name of the tenant that holds the client's API key; `None` without tenants or, on a public route, without key.
    pub(crate) tenant: Option<Arc<str>>,
    /// Digests of the idempotency key; `None` unless the route is idempotent.
    pub(crate) operation_keys: Option<OperationKeys>,
    pub(crate) upstream: UpstreamRequest,
    /// Decides whether an attempt that may have been executed is retried.
    pub(crate) route_kind: RouteKind,
    /// Attempts that may reach a host; failed connects are not counted. 0 is treated as 1.
    pub(crate) max_attempts: u32,
    pub(crate) deadline: Deadline,
}

/// Sends a request to a host. Retries at another host if the first did not execute the request or the route is
/// read-only, as long as attempts, time and the retry budget allow.
///
/// # Errors
/// The failure of the last attempt, or the reason why no attempt was made.
pub(crate) async fn forward(gateway: &Rc<GatewayState>, request: &RoutedRequest) -> ForwardResult {
    let mut attempts = Attempts::new(request);
    loop {
        let host = attempts.choose_next_host(gateway)?;
        let counted = gateway.start_usage(request.tenant.as_ref());
        match attempt(gateway, &request.upstream, &host, &request.deadline).await {
            AttemptOutcome::Response(response) => return Ok(response),
            AttemptOutcome::NotExecuted(observation) => {
                gateway.retract_usage(counted);
                attempts.record_not_executed(observation);
            }
            AttemptOutcome::Failed => attempts.record_failed(),
            AttemptOutcome::TimedOut => return Err(LocalResponse::DeadlineExceeded),
        }
        attempts.log_failure(&host);
        if !attempts.may_retry() {
            return Err(attempts.last_failure);
        }
    }
}

/// Retry state of one request.
struct Attempts<'a> {
    request: &'a RoutedRequest,
    /// Ids of all hosts chosen so far.
    tried_hosts: Vec<Arc<str>>,
    /// Attempts that did not fail at connecting. Compared with `max_attempts`.
    reached_hosts: u32,
    connect_failures: u32,
    last_failure: LocalResponse,
}

impl<'a> Attempts<'a> {
    fn new(request: &'a RoutedRequest) -> Attempts<'a> {
        Attempts {
            request,
            tried_hosts: Vec::new(),
            reached_hosts: 0,
            connect_failures: 0,
            last_failure: LocalResponse::Rejected(Rejection::NoHost),
        }
    }

    /// Chooses an untried host for the next attempt. Fails if the deadline has passed, the retry budget is exhausted or
    /// no host is left.
    fn choose_next_host(&mut self, gateway: &GatewayState) -> Result<HostChoice, LocalResponse> {
        let service = &self.request.upstream.service;
        if self.request.deadline.has_passed() {
            return Err(self.failure_at_deadline());
        }
        if self.reached_hosts > 0 && !gateway.spend_retry(service) {
            return Err(self.last_failure);
        }
        let host = gateway
            .choose_host(service, &self.tried_hosts)
            .ok_or(self.last_failure)?;
        self.tried_hosts.push(host.id.clone());
        Ok(host)
    }

    /// Returns a rejection, which promises that the request was not executed, unless an earlier attempt may have been.
    fn failure_at_deadline(&self) -> LocalResponse {
        if self.last_failure == LocalResponse::NoValidResponse {
            self.last_failure
        } else {
            LocalResponse::Rejected(Rejection::DeadlineExceeded)
        }
    }

    fn record_not_executed(&mut self, observation: HostObservation) {
        let rejection = if observation == HostObservation::ConnectFailed {
            self.connect_failures += 1;
            Rejection::HostsUnreachable
        } else {
            self.reached_hosts += 1;
            Rejection::HostsAtCapacity
        };
        self.last_failure = LocalResponse::Rejected(rejection);
    }

    fn record_failed(&mut self) {
        self.reached_hosts += 1;
        self.last_failure = LocalResponse::NoValidResponse;
    }

    fn may_retry(&self) -> bool {
        let may_have_been_executed = self.last_failure == LocalResponse::NoValidResponse;
        let may_be_executed_again =
            !may_have_been_executed || self.request.route_kind == RouteKind::ReadOnly;
        may_be_executed_again
            && self.reached_hosts < self.request.max_attempts.max(1)
            && self.connect_failures < MAX_CONNECT_FAILURES
    }

    fn log_failure(&self, host: &HostChoice) {
        log::debug!(
            "event=attempt_failed attempt={:?} tenant={:?} service={} host={} why={:?} attempts={}",
            self.request.upstream.attempt_id,
            self.request.tenant.as_deref().unwrap_or_default(),
            self.request.upstream.service,
            host.id,
            self.last_failure.reason(),
            self.tried_hosts.len()
        );
    }
}

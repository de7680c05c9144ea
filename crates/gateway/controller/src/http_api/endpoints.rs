//! The table of HTTP endpoints for hosts and operators. Requests that match no entry get 404 or 405.

use axum::http::Method;

/// The intended caller of an endpoint; only logged.
#[derive(Clone, Copy, Debug)]
pub(super) enum Caller {
    Host,
    Operator,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Operation {
    RegisterHost,
    DeregisterHost,
    PutConfiguration,
    GetConfiguration,
    GetStatus,
    GetKey,
    GetClaim,
}

pub(super) struct Endpoint {
    pub(super) method: Method,
    pub(super) path: &'static str,
    pub(super) caller: Caller,
    pub(super) operation: Operation,
    pub(super) max_body_bytes: usize,
}

pub(super) static ENDPOINTS: [Endpoint; 7] = [
    Endpoint {
        method: Method::PUT,
        path: "/-/instances/{id}",
        caller: Caller::Host,
        operation: Operation::RegisterHost,
        max_body_bytes: 16 << 10,
    },
    Endpoint {
        method: Method::DELETE,
        path: "/-/instances/{id}",
        caller: Caller::Host,
        operation: Operation::DeregisterHost,
        max_body_bytes: 1 << 10,
    },
    Endpoint {
        method: Method::PUT,
        path: "/-/configuration",
        caller: Caller::Operator,
        operation: Operation::PutConfiguration,
        max_body_bytes: 8 << 20,
    },
    Endpoint {
        method: Method::GET,
        path: "/-/configuration",
        caller: Caller::Operator,
        operation: Operation::GetConfiguration,
        max_body_bytes: 1 << 10,
    },
    Endpoint {
        method: Method::GET,
        path: "/-/status",
        caller: Caller::Operator,
        operation: Operation::GetStatus,
        max_body_bytes: 1 << 10,
    },
    Endpoint {
        method: Method::GET,
        path: "/-/keys/{id}",
        caller: Caller::Operator,
        operation: Operation::GetKey,
        max_body_bytes: 1 << 10,
    },
    Endpoint {
        method: Method::GET,
        path: "/-/claims/{id}",
        caller: Caller::Operator,
        operation: Operation::GetClaim,
        max_body_bytes: 1 << 10,
    },
];

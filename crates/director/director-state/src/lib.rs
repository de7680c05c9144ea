//! One director's session as a pure state machine: what was read comes in as an [`Input`], what is to be written,
//! connected, asked or waited for goes out as an [`Effect`]. Nothing here does I/O or reads a clock.
//!
//! * `session`: [`Session::step`], the policy's batches, and how a session stands.
//! * `relay_client`: the relay over two connections; `call_sender` and `call_queue` send orders to it, `membership_watch`
//!   and `membership` know who is joined, `relay_connection` is what both have in common.
//! * `endpoint_discovery`, `endpoint_table`: the list of hosts.
//! * `inbound_connections`, `report_validation`: whoever connects to the director's address, and what collectors report.
//! * `stream_outbox`: what came of streams of proxies and hosts, which `rushcourse-xds` serves.
//! * `health_checks`, `config_reload`, `policy_timers`: what their names say.
//! * `step_context`, `event_queue`, `log_limiter`, `counter`, `gauge`, `histogram`, `backoff`, `time`: what the others
//!   share.
//! * `config`, `limits`, `input`, `effect`, `identifiers`: the boundary.

mod backoff;
mod call_queue;
mod call_sender;
mod config;
mod config_reload;
mod counter;
mod effect;
mod endpoint_discovery;
mod endpoint_table;
mod event_queue;
mod gauge;
mod health_checks;
mod histogram;
mod identifiers;
mod inbound_connections;
mod input;
mod limits;
mod log_limiter;
mod membership;
mod membership_watch;
mod policy_timers;
mod relay_client;
mod relay_connection;
mod report_validation;
mod session;
mod step_context;
mod stream_outbox;
mod time;

pub use config::{ReloadedConfig, ServiceAddresses, SessionConfig};
pub use counter::{Counter, CounterSample, Counters};
pub use effect::{Effect, Severity};
pub use endpoint_table::{AppliedList, EndpointTable, SkippedEntry};
pub use gauge::GaugeSample;
pub use health_checks::{HealthChecks, MAX_IN_FLIGHT, MAX_WAITING};
pub use histogram::{Bucket, DelayHistogram};
pub use identifiers::{FetchId, InboundId, RelayConnectionId, RelayLink};
pub use input::Input;
pub use limits::{
    GRPC_CONNECTION_KIB, GrpcLimits, ProcessLimits, RESERVED_DESCRIPTORS, SessionLimits,
};
pub use session::Session;

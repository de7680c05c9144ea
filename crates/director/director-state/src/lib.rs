//! The session of one director as a sans-I/O state machine: [`Session::step`] takes an [`Input`] and the current time,
//! and returns the [`Effect`]s that the caller has to carry out. Nothing here does I/O or reads a clock.
//!
//! * `session`: the state machine itself, policy batches, deadlines, gauges and the status line.
//! * `relay_client`: the client of the relay, with one connection for calls and one for notifications. `call_sender` and
//!   `call_queue` deliver orders, `membership_watch` and `membership` track the joined proxies, and `relay_connection`
//!   holds the connection state that both use.
//! * `endpoint_discovery`, `endpoint_table`: the client of the discovery service and the list of hosts.
//! * `inbound_connections`, `report_validation`: connections to the listening address and the reports of collectors.
//! * `stream_outbox`: forwards the output of the streams that `rushcourse-xds` serves.
//! * `health_checks`, `config_reload`, `policy_timers`: host health checks, configuration reloads, timers of the policy.
//! * `step_context`, `event_queue`, `log_limiter`, `counter`, `gauge`, `histogram`, `backoff`, `time`: shared helpers.
//! * `config`, `limits`, `input`, `effect`, `identifiers`: types of the public interface.

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

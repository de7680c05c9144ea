//! What a gateway decides for a request: the host of each attempt, retries and their budget, claims of operation keys and
//! the responses that repeats get. Pure: moments of the steady clock and random numbers come from the caller.
//!
//! * [`endpoint_tables`]: the hosts of each service, and what attempts met at them; `upstream_host.rs` (latency, outlier
//!   ejection), `load_balancing.rs` (the choice of a host) and `ended_hosts.rs` are parts of it.
//! * [`retry_budget`]: retries, within what all gateways share.
//! * [`claims`]: claims of operation (idempotency) keys at the voters.
//! * [`operations`]: what became of the operations that were claimed here.
//! * [`controller_selection`]: which controller the tables come from.
//! * [`configuration_fetch`]: which controller is asked for the text of a new configuration.

pub mod claims;
pub mod configuration_fetch;
pub mod controller_selection;
mod ended_hosts;
pub mod endpoint_tables;
mod load_balancing;
pub mod operations;
pub mod retry_budget;
mod upstream_host;

pub use claims::{
    ClaimActions, ClaimDecision, ClaimOutcome, ClaimRequest, ClaimResponse, ClaimWithdrawal, Claims,
};
pub use configuration_fetch::ConfigurationFetch;
pub use controller_selection::{
    ControllerSelection, FAILBACK_DELAY, FAILBACK_JITTER, PrimaryChange,
};
pub use endpoint_tables::{EndpointTables, HostChoice, ServiceUsage};
pub use operations::{OperationStatus, Operations};
pub use retry_budget::RetryBudget;
pub use upstream_host::HostObservation;

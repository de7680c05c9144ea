//! The decisions a gateway makes for a request: which host serves each attempt, whether a retry is allowed, who owns an
//! operation key, and which stored response a repeated request gets. The crate does no I/O; the caller passes in
//! timestamps and random numbers.
//!
//! * [`endpoint_tables`]: the hosts of each service with the results of attempts at them. Uses `upstream_host.rs`
//!   (latency and outlier ejection), `load_balancing.rs` (host selection) and `ended_hosts.rs`.
//! * [`retry_budget`]: this gateway's share of the retry budget.
//! * [`claims`]: claims of operation (idempotency) keys at the voters.
//! * [`operations`]: state and stored responses of the operations that this gateway claimed.
//! * [`response_replication`]: shards of these responses at controllers.
//! * [`controller_selection`]: which controller sends this gateway its endpoint tables.
//! * [`configuration_fetch`]: which controller to request a new configuration from.
//! * [`configuration_lease`]: until when this gateway may accept API keys by its configuration.

pub mod claims;
pub mod configuration_fetch;
pub mod configuration_lease;
pub mod controller_selection;
mod ended_hosts;
pub mod endpoint_tables;
mod load_balancing;
pub mod operations;
pub mod response_replication;
pub mod retry_budget;
mod upstream_host;

pub use claims::{
    ClaimActions, ClaimDecision, ClaimOutcome, ClaimRequest, ClaimResponse, ClaimWithdrawal, Claims,
};
pub use configuration_fetch::ConfigurationFetch;
pub use configuration_lease::{ConfigurationLease, LeaseChange, LeaseResponse, LeaseTargets};
pub use controller_selection::{
    ControllerSelection, FAILBACK_DELAY, FAILBACK_JITTER, PrimaryChange,
};
pub use endpoint_tables::{EndpointTables, HostChoice, ServiceUsage};
pub use operations::{OperationStatus, Operations};
pub use response_replication::{ReplicationSetup, ResponseReplication, ShardBatch, ShardSet};
pub use retry_budget::RetryBudget;
pub use upstream_host::HostObservation;

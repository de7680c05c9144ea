//! The `controller` program: the I/O and the event loop around the state machines of `rushcourse-consensus` and
//! `rushcourse-cluster`.
//!
//! * `startup.rs`: creates the controller and its tasks from the settings.
//! * `event_loop.rs`: the event loop, its queues, and the dispatch of requests and write outcomes.
//! * `controller.rs`: the controller's state; applies the effects of consensus and cluster.
//! * `host_requests.rs`, `operator_requests.rs`, `pending_requests.rs`: requests of hosts and operators.
//! * `configuration.rs`: distribution of the committed configuration to gateways.
//! * `configuration_lease.rs`: confirmations of the configuration, on which gateways hold leases.
//! * `contact.rs`, `contact_state.rs`, `probes.rs`: quorum contact, which is required to acknowledge requests.
//! * `usage_reports.rs`, `usage_state.rs`, `platform_client.rs`: the duty of reporting usage to the platform.
//! * `shutdown.rs`: graceful shutdown.
//! * `session_events.rs`, `peer_sessions.rs`: sessions with other nodes.
//! * `control_request.rs`, `http_api/`: the HTTP API for hosts and operators.
//! * `admin.rs`, `json.rs`: status pages.
//! * `state_file.rs`, `storage_thread.rs`: the state file and the thread that writes it.
//! * `response_shards.rs`: shards of gateways' responses; `response_storage.rs`, `response_commands.rs`,
//!   `response_storage_worker.rs`: the thread that stores them.
//! * `host_writes.rs`: writes of leaving hosts that somebody waits for.
//! * `storage_opener.rs`, `deferred_restore.rs`: a state file that can't be opened at startup.

mod admin;
mod configuration;
mod configuration_lease;
mod contact;
mod contact_state;
mod control_request;
mod controller;
mod deferred_restore;
mod event_loop;
mod host_requests;
mod host_writes;
mod http_api;
mod json;
mod operator_requests;
mod peer_sessions;
mod pending_requests;
mod platform_client;
mod probes;
mod response_commands;
mod response_shards;
mod response_storage;
mod response_storage_worker;
mod session_events;
mod shutdown;
mod startup;
mod state_file;
mod storage_opener;
mod storage_thread;
mod usage_reports;
mod usage_state;

pub use startup::serve;

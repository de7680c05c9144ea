//! The program `controller`: requests of hosts and operators over HTTP, sessions with other nodes, the state file, and
//! the event loop that works through all of it and carries out what the pure packages decide.
//!
//! * `startup.rs`: from the settings to a running controller.
//! * `event_loop.rs`: the loop, its queues, and what goes where.
//! * `controller.rs`: all state, and the steps of consensus and cluster with their effects.
//! * `host_requests.rs`, `operator_requests.rs`, `pending_requests.rs`: what callers get.
//! * `configuration.rs`: what gateways get.
//! * `contact.rs`, `contact_state.rs`, `probes.rs`: whether this controller may speak for the system.
//! * `shutdown.rs`: the end of the process.
//! * `session_events.rs`, `peer_sessions.rs`: other nodes.
//! * `control_request.rs`, `http_api/`: the HTTP interface.
//! * `admin.rs`, `json.rs`: pages for operators.
//! * `state_file.rs`, `storage_thread.rs`: the disk; `storage_opener.rs`, `late_state.rs`: one that was full at the start.

mod admin;
mod configuration;
mod contact;
mod contact_state;
mod control_request;
mod controller;
mod event_loop;
mod host_requests;
mod http_api;
mod json;
mod late_state;
mod operator_requests;
mod peer_sessions;
mod pending_requests;
mod probes;
mod session_events;
mod shutdown;
mod startup;
mod state_file;
mod storage_opener;
mod storage_thread;

pub use startup::serve;

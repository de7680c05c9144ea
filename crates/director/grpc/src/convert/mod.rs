//! The published messages and the plain types of `rushcourse_xds`, each way. What a message may say and is not used is
//! not looked at; figures are checked by whoever uses them.
//!
//! * `assignment.rs`: endpoint tables.
//! * `discovery.rs`: requests and responses of discovery streams.
//! * `load_reports.rs`: load reports of proxies (LRS) and of hosts (ORCA).
//! * `common.rs`: nodes, addresses, spans.

mod assignment;
mod common;
mod discovery;
mod load_reports;

pub use assignment::{decode_assignment, encode_assignment};
pub use common::{decode_duration, encode_duration};
pub(crate) use discovery::{
    decode_delta_request, decode_request, encode_delta_response, encode_response,
};
pub(crate) use load_reports::{decode_load_stats, decode_orca_report, encode_load_stats_response};

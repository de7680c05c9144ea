//! Conversion between protobuf messages and the types of `rushcourse_xds`. Fields that the director doesn't use are
//! ignored. Numeric ranges are validated by `rushcourse_xds`, not here.
//!
//! * `assignment.rs`: endpoint tables.
//! * `discovery.rs`: discovery requests and responses.
//! * `load_reports.rs`: load reports from proxies (LRS) and from hosts (ORCA).
//! * `common.rs`: nodes, addresses, durations.

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

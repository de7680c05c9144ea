//! Load reports of proxies (LRS).
//!
//! * `burst_filter.rs`: discards reports that were delayed in transit.
//! * `conversion.rs`: validates reports and converts them to events for the policy.

mod burst_filter;
mod conversion;

pub(crate) use burst_filter::{BurstFilter, FilterDecision};
pub(crate) use conversion::{ReportContext, convert};

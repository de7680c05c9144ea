//! Load reports of proxies (LRS): which of them are believed, and what they say.
//!
//! * `burst_filter.rs`: holds back reports that may be of an earlier time.
//! * `conversion.rs`: from a report to events for the policy, and what makes a report invalid.

mod burst_filter;
mod conversion;

pub(crate) use burst_filter::{Admission, BurstFilter};
pub(crate) use conversion::{ReportContext, convert};

//! Protocol-independent form of a proxy's table, for comparison.

use std::collections::BTreeMap;

/// Protocol by which a proxy receives its tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// Orders through the platform's relay.
    Platform,
    /// State-of-the-world discovery stream.
    StateOfTheWorld,
    /// Incremental (delta) discovery stream.
    Delta,
}

/// Table that a proxy uses for the requests of a class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyTable {
    /// Weights of the available hosts, scaled to integers as on discovery streams.
    pub weights: BTreeMap<String, u32>,
    /// Admitted requests per million.
    pub admitted_per_million: u32,
    /// Numeric value of the `RetryPolicy`, from 0 (never) to 3 (twice after any failure).
    pub retry_policy: u8,
}

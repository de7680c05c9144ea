//! What a proxy holds, and how it came there.

use std::collections::BTreeMap;

/// How a proxy is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// Through the platform's relay.
    Platform,
    /// By a discovery stream that sends the state of the world.
    StateOfTheWorld,
    /// By a discovery stream that sends changes.
    Delta,
}

/// A class's table as a proxy follows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyTable {
    /// Hosts that it may pick, with their weight in the whole numbers that streams carry.
    pub weights: BTreeMap<String, u32>,
    /// Requests of a million that it admits.
    pub admitted_per_million: u32,
    /// When it retries, 0 (never) to 3.
    pub retry_policy: u8,
}

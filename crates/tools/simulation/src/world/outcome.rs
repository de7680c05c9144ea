//! Modes, injected faults and outcomes of runs.

use crate::check::Violation;
use crate::proxy::{Protocol, ProxyTable};
use std::collections::BTreeMap;

/// Protocols that the proxies of a run use. The variants' names appear in the program's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// All proxies are served through the platform's relay.
    Platform,
    /// All proxies use state-of-the-world discovery streams.
    Whole,
    /// All proxies use incremental (delta) discovery streams.
    Delta,
    /// The three protocols alternate by the index of the proxy.
    Mix,
}

impl Mode {
    /// All modes, starting with the baseline `Platform`.
    pub const ALL: [Mode; 4] = [Mode::Platform, Mode::Whole, Mode::Delta, Mode::Mix];

    /// The protocol of the proxy with this index.
    pub(super) fn protocol(self, proxy: usize) -> Protocol {
        match self {
            Mode::Platform => Protocol::Platform,
            Mode::Whole => Protocol::StateOfTheWorld,
            Mode::Delta => Protocol::Delta,
            Mode::Mix => [
                Protocol::Platform,
                Protocol::StateOfTheWorld,
                Protocol::Delta,
            ][proxy % 3],
        }
    }
}

/// Fault that is injected into proxies on discovery streams, to test that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Proxies never remove a host from their tables and ignore its drain.
    KeepRemovedHosts,
    /// All hosts are removed from the tables in transit.
    EmptyTables,
    /// The low weights of warming hosts are replaced by a high one.
    OverloadWarmingHosts,
    /// Each response counts as twenty messages.
    RepeatMessages,
    /// Proxies retry all requests up to twice after any failure.
    RetryAll,
}

/// Key of a table: a proxy and a request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyClass {
    /// Number of the proxy, as in `Proxy::number`.
    pub proxy: u32,
    /// Name of the class, one of `CLASSES`.
    pub class: &'static str,
}

/// Tables of all proxies by class; `None` if the proxy is not joined or has received no table.
pub type Tables = BTreeMap<ProxyClass, Option<ProxyTable>>;

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Violations of the rules, in order of time.
    pub violations: Vec<Violation>,
    /// Number of checks by rule.
    pub checks: BTreeMap<&'static str, u64>,
    /// Tables just before the director's final restart.
    pub tables_before_restart: Tables,
    /// Tables at the end of the run, which the director rebuilt after its final restart.
    pub tables_after_restart: Tables,
    /// Number of messages sent to proxies.
    pub messages: u64,
    /// Number of failed invariants that the director counted since its final restart.
    pub invariant_failures: u64,
}

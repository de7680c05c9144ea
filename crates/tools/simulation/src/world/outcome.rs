//! The ways to run a script, the faults put in on purpose, and what came of a run.

use crate::check::Violation;
use crate::proxy::{Protocol, ProxyTable};
use std::collections::BTreeMap;

/// Which protocol the proxies of a run speak. The names stand in the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The platform's, through its relay.
    Platform,
    /// Discovery streams that send the state of the world.
    Whole,
    /// Discovery streams that send changes.
    Delta,
    /// Each third proxy another one.
    Mix,
}

impl Mode {
    /// All modes, that of the platform first.
    pub const ALL: [Mode; 4] = [Mode::Platform, Mode::Whole, Mode::Delta, Mode::Mix];

    /// The protocol that a proxy speaks, by its index.
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

/// A fault put in on purpose, to see the checker find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Proxies on streams go on with each host that they ever had.
    KeepsHosts,
    /// Tables reach proxies on streams without their hosts.
    EmptiesTables,
    /// Hosts that have just started get their full weight at once.
    OverloadsWarmingHosts,
    /// Each response goes out twenty times.
    RepeatsMessages,
    /// All requests may be retried after any failure.
    RetriesAll,
}

/// A proxy and a class of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyClass {
    /// The number of the proxy.
    pub proxy: u32,
    /// The class.
    pub class: &'static str,
}

/// What proxies hold for each class; none where a proxy is not joined or has no table.
pub type Tables = BTreeMap<ProxyClass, Option<ProxyTable>>;

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// What broke a rule.
    pub violations: Vec<Violation>,
    /// Checks made, by rule.
    pub checks: BTreeMap<&'static str, u64>,
    /// What proxies hold after what happened.
    pub tables: Tables,
    /// What they hold once tables were made from nothing.
    pub fresh_tables: Tables,
    /// Messages to proxies.
    pub messages: u64,
    /// Things that must hold in the director and did not.
    pub invariant_failures: u64,
}

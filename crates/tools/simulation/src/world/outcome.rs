//! The ways to run a script, the faults put in on purpose, and what came of a run.

use crate::check::Broken;
use crate::proxy::{Table, Way};
use std::collections::BTreeMap;

/// Which protocol the proxies of a run speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Platform,
    Whole,
    Delta,
    /// Each third proxy another one.
    Mix,
}

impl Mode {
    pub const ALL: [Mode; 4] = [Mode::Platform, Mode::Whole, Mode::Delta, Mode::Mix];

    /// The protocol that a proxy speaks, by its index.
    pub(super) fn way(self, proxy: usize) -> Way {
        match self {
            Mode::Platform => Way::Platform,
            Mode::Whole => Way::Whole,
            Mode::Delta => Way::Delta,
            Mode::Mix => [Way::Platform, Way::Whole, Way::Delta][proxy % 3],
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
    FloodsColdHosts,
    /// Each response goes out twenty times.
    Babbles,
    /// All may be tried again after any failure.
    RepeatsAll,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub broken: Vec<Broken>,
    pub made: BTreeMap<&'static str, u64>,
    /// What each proxy holds, by class: after what happened, and once tables were made from nothing.
    pub tables: Tables,
    pub anew: Tables,
    /// Messages to proxies, and things that must hold in the director and did not.
    pub messages: u64,
    pub invariants: u64,
    pub steps: u64,
}

/// What proxies hold, by number and class.
pub type Tables = BTreeMap<(u32, &'static str), Option<Table>>;

//! Plain records that the decisions keep. No logic.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// One proxy's line as the model sees it (paper, section 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    Certain,
    Adding,
    Removing,
}

#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub standing: Standing,
    /// Number of the reply that last touched it, and when that went out.
    pub reply: u64,
    pub since: Ms,
    /// When a removal was answered.
    pub answered: Option<Ms>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Proxy {
    pub zone: ZoneId,
    pub rate: f64,
    pub joined: Ms,
    /// By group of classes: the table, and the lines the model gives it.
    pub bound: Vec<Option<TableId>>,
    pub lines: Vec<ByHost<Held>>,
    /// When messages were written to it.
    pub written: VecDeque<Ms>,
}

#[derive(Clone, Debug)]
pub(crate) struct Table {
    pub zone: ZoneId,
    pub group: usize,
    pub reach: usize,
    pub lines: ByHost<f64>,
    pub levels: BTreeMap<ClassId, (f64, Again)>,
}

/// Messages of one reply that wait for answers, with their lines.
#[derive(Clone, Debug, Default)]
pub(crate) struct Flight {
    pub at: Ms,
    pub lines: BTreeMap<ProxyId, f64>,
}

/// Decayed sums of what proxies met.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sums {
    pub tries: f64,
    pub failed: f64,
    pub time: f64,
    pub at: Ms,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Out of the tables since, and until when at least.
    pub out: Option<(Ms, Ms)>,
    /// Easing back in since.
    pub eased: Option<Ms>,
    pub strikes: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Listed {
    pub entry: Entry,
    /// Shut out of all tables by an order.
    pub withdrawn: bool,
    pub busy: Option<f64>,
    /// The pool of tables that it serves.
    pub pool: usize,
}

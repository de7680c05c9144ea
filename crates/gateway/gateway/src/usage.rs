//! The usage counts of this gateway and the state of their reports to controllers.

use rushcourse_config::NodeSettings;
use rushcourse_types::{Incarnation, NodeId, Timestamp};
use rushcourse_usage::{ReportWindows, UsageCounter};

/// The usage counts of this gateway.
pub(crate) struct Usage {
    pub(crate) windows: ReportWindows,
    pub(crate) counter: UsageCounter,
    /// When counts were last reported to controllers.
    pub(crate) reported_at: Timestamp,
    /// Number of reports so far.
    pub(crate) reports: u64,
}

impl Usage {
    /// Creates empty counts; `None` if the settings ask for no usage reports.
    pub(crate) fn new(settings: &NodeSettings, incarnation: Incarnation) -> Option<Usage> {
        let usage = settings.usage.as_ref()?;
        let node = NodeId::from(settings.node.ip_address);
        Some(Usage {
            windows: ReportWindows::new(usage.window),
            counter: UsageCounter::new(node, incarnation),
            reported_at: Timestamp::ZERO,
            reports: 0,
        })
    }
}

//! The controller's state of the reporting duty.

use crate::control_request::EventSender;
use rushcourse_config::NodeSettings;
use rushcourse_types::{Fence, NodeId, Timestamp};
use rushcourse_usage::{ReporterSetup, UsageReporter};
use std::net::SocketAddrV4;

/// A fence, and when this controller learned of it.
#[derive(Clone, Copy)]
pub(crate) struct FenceSince {
    pub(crate) fence: Fence,
    pub(crate) since: Timestamp,
}

/// The reporting duty of this controller, and where reports are sent.
pub(crate) struct UsageReports {
    pub(crate) reporter: UsageReporter,
    pub(crate) platform: SocketAddrV4,
    pub(crate) events: EventSender,
    /// The newest fence known to this controller, and since when.
    pub(crate) fence_since: Option<FenceSince>,
}

impl UsageReports {
    /// Creates the duty; `None` if the settings ask for no usage reports.
    pub(crate) fn new(settings: &NodeSettings, events: EventSender) -> Option<UsageReports> {
        let usage = settings.usage.as_ref()?;
        let setup = ReporterSetup {
            node: NodeId::from(settings.node.ip_address),
            name: settings.node.name.clone(),
            window: usage.window,
            lateness: usage.lateness,
            lease_duration: usage.lease_duration,
        };
        Some(UsageReports {
            reporter: UsageReporter::new(setup),
            platform: usage.platform,
            events,
            fence_since: None,
        })
    }
}

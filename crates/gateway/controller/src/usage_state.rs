//! The controller's state of the reporting duty.

use crate::control_request::EventSender;
use rushcourse_config::NodeSettings;
use rushcourse_types::NodeId;
use rushcourse_usage::{ReporterSetup, UsageReporter};
use std::net::SocketAddrV4;

/// The reporting duty of this controller, and where reports are sent.
pub(crate) struct UsageReports {
    pub(crate) reporter: UsageReporter,
    pub(crate) platform: SocketAddrV4,
    pub(crate) events: EventSender,
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
        })
    }
}

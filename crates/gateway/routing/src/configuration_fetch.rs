//! Selects the controller from which a gateway requests a new configuration. Normally the primary controller pushes the
//! text, and the other controllers only announce its version, so each gateway receives the text once. If the push does
//! not arrive in time, the gateway requests the text from the controllers that announced the version, one after
//! another.

use rushcourse_types::{ConfigurationVersion, NodeId, Timestamp};
use std::time::Duration;

/// How long a gateway that already has a configuration waits for the primary controller to push a newer one before it
/// sends a request.
const PUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// How long to wait for a response before requesting the configuration from the next controller.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of controllers to remember for one version. More than one is needed only if a request fails.
const MAX_HOLDERS: usize = 8;

#[derive(Clone, Debug)]
struct MissingVersion {
    version: ConfigurationVersion,
    /// Controllers that announced the version, in the order in which they will be requested.
    holders: Vec<NodeId>,
    announced_at: Timestamp,
    requested_at: Option<Timestamp>,
}

impl MissingVersion {
    fn new(version: ConfigurationVersion, announced_at: Timestamp) -> MissingVersion {
        MissingVersion {
            version,
            holders: Vec::new(),
            announced_at,
            requested_at: None,
        }
    }

    fn add_holder(&mut self, holder: NodeId) {
        if !self.holders.contains(&holder) && self.holders.len() < MAX_HOLDERS {
            self.holders.push(holder);
        }
    }

    /// Whether to send a request now. The first one is due `push_timeout` after the announcement.
    fn is_due(&self, now: Timestamp, push_timeout: Duration) -> bool {
        match self.requested_at {
            Some(requested_at) => now >= requested_at + RETRY_DELAY,
            None => now >= self.announced_at + push_timeout,
        }
    }
}

/// Tracks the newest announced configuration version that this gateway does not have yet.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationFetch {
    missing: Option<MissingVersion>,
}

impl ConfigurationFetch {
    /// Handles a controller's announcement of its committed version. `current` is this gateway's version, or
    /// `ConfigurationVersion::NONE` if it has no configuration.
    pub fn version_announced(
        &mut self,
        now: Timestamp,
        holder: NodeId,
        version: ConfigurationVersion,
        current: ConfigurationVersion,
    ) {
        if version <= current {
            return;
        }
        let is_outdated = |missing: &MissingVersion| missing.version < version;
        if self.missing.as_ref().is_none_or(is_outdated) {
            self.missing = Some(MissingVersion::new(version, now));
        }
        if let Some(missing) = &mut self.missing
            && missing.version == version
        {
            missing.add_holder(holder);
        }
    }

    /// Returns the controller to request the configuration from if a request is due. Must be called periodically.
    /// `current` is this gateway's version, or `ConfigurationVersion::NONE` if it has no configuration; controllers for
    /// which `is_connected` returns `false` are skipped.
    pub fn next_request(
        &mut self,
        now: Timestamp,
        current: ConfigurationVersion,
        is_connected: impl Fn(NodeId) -> bool,
    ) -> Option<NodeId> {
        self.missing.take_if(|missing| missing.version <= current);
        let missing = self.missing.as_mut()?;
        let push_timeout = if current.is_none() {
            Duration::ZERO
        } else {
            PUSH_TIMEOUT
        };
        if !missing.is_due(now, push_timeout) {
            return None;
        }
        let connected = missing
            .holders
            .iter()
            .position(|holder| is_connected(*holder));
        let holder = missing.holders.remove(connected?);
        missing.holders.push(holder);
        missing.requested_at = Some(now);
        Some(holder)
    }
}

//! Which controller a gateway asks for the text of a new configuration. The primary controller sends the text unasked;
//! the others only announce the version, so that a text crosses to each gateway once. Where the text does not come by
//! itself, one of those that announced the version is asked, then the next.

use rushcourse_types::{ConfigurationVersion, NodeId, Timestamp};
use std::time::Duration;

/// How long a gateway that has a configuration waits for a newer one to come by itself; far under
/// `configuration_apply_s` (seconds).
const UNASKED_DELAY: Duration = Duration::from_millis(100);
/// How long an asked controller is waited for before the next one is asked.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Controllers that are remembered as having a version: one is enough, the others are for its loss.
const MAX_HOLDERS: usize = 8;

#[derive(Clone, Debug)]
struct MissingVersion {
    version: ConfigurationVersion,
    /// Controllers that announced it, the one to be asked next in front.
    holders: Vec<NodeId>,
    announced_at: Timestamp,
    asked_at: Option<Timestamp>,
}

impl MissingVersion {
    fn new(version: ConfigurationVersion, announced_at: Timestamp) -> MissingVersion {
        MissingVersion {
            version,
            holders: Vec::new(),
            announced_at,
            asked_at: None,
        }
    }

    fn add_holder(&mut self, holder: NodeId) {
        if !self.holders.contains(&holder) && self.holders.len() < MAX_HOLDERS {
            self.holders.push(holder);
        }
    }

    /// Whether a controller is to be asked now; `unasked_delay`: how long the text is waited for before the first is.
    fn is_due(&self, now: Timestamp, unasked_delay: Duration) -> bool {
        match self.asked_at {
            Some(asked_at) => now >= asked_at + RETRY_DELAY,
            None => now >= self.announced_at + unasked_delay,
        }
    }
}

/// A configuration that was announced and is not here yet, if there is one.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationFetch {
    missing: Option<MissingVersion>,
}

impl ConfigurationFetch {
    /// A controller announces the committed version. `current`: the one that is here, or `ConfigurationVersion::NONE`.
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

    /// The controller to be asked for the text now, if it is due. `current`: the version that is here, or
    /// `ConfigurationVersion::NONE`; `is_connected`: whether a session with a controller stands.
    pub fn next_request(
        &mut self,
        now: Timestamp,
        current: ConfigurationVersion,
        is_connected: impl Fn(NodeId) -> bool,
    ) -> Option<NodeId> {
        self.missing.take_if(|missing| missing.version <= current);
        let missing = self.missing.as_mut()?;
        let unasked_delay = if current.is_none() {
            Duration::ZERO
        } else {
            UNASKED_DELAY
        };
        if !missing.is_due(now, unasked_delay) {
            return None;
        }
        let connected = missing
            .holders
            .iter()
            .position(|holder| is_connected(*holder));
        let holder = missing.holders.remove(connected?);
        missing.holders.push(holder);
        missing.asked_at = Some(now);
        Some(holder)
    }
}

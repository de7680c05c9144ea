//! The lease under which a gateway accepts API keys where revocation is bounded.
//!
//! A lease proves that the gateway's configuration was up to date at a recent time `t`: no version above the gateway's
//! own had been acknowledged to an operator before `t`. It ends `revocation_s` after `t`, less a margin. Controllers
//! give the proof: each confirms a version by majority reads of its own (`rushcourse-cluster`,
//! `configuration_confirmation.rs`), and responds to a gateway's request with the version and the time since the read
//! began.
//!
//! **Why the bound holds.** Let a version `r` that revokes a key be acknowledged at time `a`, and let a gateway without
//! `r` accept the key in a request that arrives at time `x`. The gateway holds a lease, from a read that began at `t`
//! and confirmed a version not above the gateway's own, hence below `r`. Had `r` been acknowledged before `t`, the read
//! would have returned at least `r`; so `t <= a`. The lease ends before `t + revocation_s`, so the request arrived, and
//! was sent, before `a + revocation_s`. The end is computed from the time at which the gateway sent its own request,
//! which precedes the controller's response, so the delay of messages and stalls of either process can only shorten the
//! lease. Both durations are measured by steady clocks, each within one process.
//!
//! The steady clock continues while a process is stopped (SIGSTOP), so a process that resumes holds no lease that has
//! ended meanwhile. It does not continue while a whole machine is suspended.

use rushcourse_types::{ConfigurationVersion, NodeId, Timestamp};
use std::time::Duration;

/// Upper limit of the interval between requests.
const MAX_REQUEST_INTERVAL: Duration = Duration::from_secs(1);
/// Requests sent within the duration of a lease, so that some may be lost before it ends.
const REQUESTS_PER_LEASE: u32 = 5;
/// Interval between requests while no lease is held, if that is shorter than the regular one.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Covers the truncation of three clock readings to whole milliseconds.
const CLOCK_GRANULARITY: Duration = Duration::from_millis(3);
/// Share of the duration, as a divisor, that covers the difference in rate between two steady clocks. Far above the 500
/// parts per million by which a clock is slewed.
const CLOCK_RATE_DIVISOR: u32 = 100;

/// A controller's confirmation of a configuration version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseResponse {
    /// When this gateway sent the request, by its own clock.
    pub sent_at: Timestamp,
    /// Highest version that can have been acknowledged when the majority read began.
    pub version: ConfigurationVersion,
    /// Time from the start of the majority read until the controller's response.
    pub age: Duration,
}

/// The controllers to request a lease from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseTargets {
    /// The primary controller only, while the lease is recent.
    Primary(NodeId),
    /// All connected controllers.
    AllControllers,
}

/// A change between holding a lease and holding none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// A lease is held that was not held at the last check.
    Acquired,
    /// The lease has ended without renewal.
    Lost,
}

/// A lease that a controller's response would give if this gateway had the confirmed version.
#[derive(Clone, Copy, Debug)]
struct WithheldLease {
    version: ConfigurationVersion,
    expires_at: Timestamp,
}

/// The lease of this gateway, and when to request its renewal.
#[derive(Clone, Debug)]
pub struct ConfigurationLease {
    /// Time from the start of the majority read to the end of the lease: `revocation_s` less the margin.
    duration: Duration,
    /// End of the lease; [`Timestamp::ZERO`] before the first one.
    expires_at: Timestamp,
    /// The lease of the highest confirmed version that this gateway does not have yet.
    withheld: Option<WithheldLease>,
    requested_at: Option<Timestamp>,
    /// Whether a lease was held at the last [`ConfigurationLease::take_change`].
    was_held: bool,
}

impl ConfigurationLease {
    /// Creates the state of a gateway without a lease. `revocation` is `bounds.revocation_s`.
    pub fn new(revocation: Duration) -> ConfigurationLease {
        let margin = CLOCK_GRANULARITY + revocation / CLOCK_RATE_DIVISOR;
        ConfigurationLease {
            duration: revocation.saturating_sub(margin),
            expires_at: Timestamp::ZERO,
            withheld: None,
            requested_at: None,
            was_held: false,
        }
    }

    /// Whether the gateway may accept API keys in requests that arrive at `now`.
    pub fn is_held(&self, now: Timestamp) -> bool {
        now < self.expires_at
    }

    /// Returns whom to request a lease from if a request is due, and counts it as sent. Must be called periodically.
    /// `primary` is the primary controller, if there is one.
    pub fn next_request(
        &mut self,
        now: Timestamp,
        primary: Option<NodeId>,
    ) -> Option<LeaseTargets> {
        if let Some(requested_at) = self.requested_at
            && now < requested_at + self.request_interval(now)
        {
            return None;
        }
        self.requested_at = Some(now);
        let is_recent = now + self.duration / 2 < self.expires_at;
        let primary = primary.filter(|_| is_recent);
        Some(primary.map_or(LeaseTargets::AllControllers, LeaseTargets::Primary))
    }

    /// Handles a new session with a controller: without a lease, the next request is due at once.
    pub fn controller_connected(&mut self, now: Timestamp) {
        if !self.is_held(now) {
            self.requested_at = None;
        }
    }

    /// Handles a controller's response. Late and repeated responses are harmless: none extends the lease beyond the
    /// time that its own read allows. `current` is the version of this gateway's configuration, or
    /// [`ConfigurationVersion::NONE`]. The confirmation of a higher version counts once that version is applied.
    pub fn response_received(
        &mut self,
        now: Timestamp,
        current: ConfigurationVersion,
        response: LeaseResponse,
    ) {
        if response.sent_at > now || response.age >= self.duration {
            return;
        }
        let expires_at = response.sent_at + (self.duration - response.age);
        if response.version <= current {
            return self.extend(expires_at);
        }
        let withheld = WithheldLease {
            version: response.version,
            expires_at,
        };
        let order = |lease: &WithheldLease| (lease.version, lease.expires_at);
        if self
            .withheld
            .is_none_or(|earlier| order(&earlier) < order(&withheld))
        {
            self.withheld = Some(withheld);
        }
    }

    /// Handles a new configuration of this gateway.
    pub fn configuration_applied(&mut self, version: ConfigurationVersion) {
        let withheld = self
            .withheld
            .take_if(|withheld| withheld.version <= version);
        if let Some(withheld) = withheld {
            self.extend(withheld.expires_at);
        }
    }

    /// Returns the change since the last call, if any.
    pub fn take_change(&mut self, now: Timestamp) -> Option<LeaseChange> {
        let is_held = self.is_held(now);
        let was_held = std::mem::replace(&mut self.was_held, is_held);
        match (was_held, is_held) {
            (false, true) => Some(LeaseChange::Acquired),
            (true, false) => Some(LeaseChange::Lost),
            _ => None,
        }
    }

    fn request_interval(&self, now: Timestamp) -> Duration {
        let interval = MAX_REQUEST_INTERVAL.min(self.duration / REQUESTS_PER_LEASE);
        if self.is_held(now) {
            interval
        } else {
            interval.min(RETRY_INTERVAL)
        }
    }

    fn extend(&mut self, expires_at: Timestamp) {
        self.expires_at = self.expires_at.max(expires_at);
    }
}

//! Health checks of hosts: few in flight, few that wait, none where the settings forbid them.

use crate::effect::Effect;
use bytes::Bytes;
use rushcourse_director_protocol::load_report;
use rushcourse_policy::interface::{Event, HostId, HostLoad, LoadSource, Ms, Settings};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Health checks in flight at a time.
pub const MAX_IN_FLIGHT: usize = 8;
/// Health checks that may wait.
pub const MAX_WAITING: usize = 64;
/// After this a health check is given up.
const TIMEOUT: Duration = Duration::from_millis(500);
/// The status of a healthy host.
const STATUS_OK: u16 = 200;

/// A health check that waits.
struct PendingCheck {
    host: HostId,
    address: String,
}

/// Health checks that wait or are in flight.
#[derive(Default)]
pub struct HealthChecks {
    in_flight: BTreeSet<HostId>,
    waiting: VecDeque<PendingCheck>,
}

impl HealthChecks {
    /// Adds the check of a host that listens at this address. Returns the event of one that can't be made: it counts as
    /// unanswered.
    pub fn request(
        &mut self,
        settings: &Settings,
        host: HostId,
        address: Option<&String>,
    ) -> Option<Event> {
        match address {
            Some(address) if settings.may_check_health && self.has_room_for(&host) => {
                let address = address.clone();
                self.waiting.push_back(PendingCheck { host, address });
                None
            }
            _ => Some(Event::HealthChecked {
                host,
                elapsed: 0.0,
                is_answered: false,
                load: HostLoad::default(),
            }),
        }
    }

    /// Whether one more check may wait; a host is checked once at a time.
    fn has_room_for(&self, host: &HostId) -> bool {
        let is_pending = self.in_flight.contains(host)
            || self.waiting.iter().any(|pending| pending.host == *host);
        !is_pending && self.waiting.len() < MAX_WAITING
    }

    /// A check has ended. Returns its event; nothing if nobody waited for it.
    pub fn complete(
        &mut self,
        host: HostId,
        elapsed: Ms,
        status: Option<u16>,
        body: &Bytes,
    ) -> Option<Event> {
        if !self.in_flight.remove(&host) {
            return None;
        }
        Some(Event::HealthChecked {
            host,
            elapsed,
            is_answered: status == Some(STATUS_OK),
            load: load_report::from_text(body),
        })
    }

    /// The effect of the next check that may start; nothing if enough are in flight or none waits.
    pub fn start_next(&mut self, settings: &Settings) -> Option<Effect> {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return None;
        }
        let PendingCheck { host, address } = self.waiting.pop_front()?;
        self.in_flight.insert(host.clone());
        Some(Effect::CheckHealth {
            host,
            address,
            path: path(settings.load_source),
            timeout: TIMEOUT,
        })
    }
}

/// What a host is asked for.
fn path(load_source: LoadSource) -> &'static str {
    if load_source == LoadSource::Unreported {
        "/health"
    } else {
        "/status/load"
    }
}

//! Queue of host health checks with bounds on the checks in flight and waiting.

use crate::effect::Effect;
use bytes::Bytes;
use rushcourse_director_protocol::load_report;
use rushcourse_policy::interface::{Event, HostId, HostLoad, LoadSource, Ms, Settings};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Maximum number of health checks in flight.
pub const MAX_IN_FLIGHT: usize = 8;
/// Maximum number of health checks waiting to be started; further ones count as unanswered.
pub const MAX_WAITING: usize = 64;
/// Time limit for the response of a host.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// HTTP status code of a healthy host.
const STATUS_OK: u16 = 200;

struct PendingCheck {
    host: HostId,
    address: String,
}

/// Health checks waiting or in flight, at most one per host.
#[derive(Default)]
pub struct HealthChecks {
    in_flight: BTreeSet<HostId>,
    waiting: VecDeque<PendingCheck>,
}

impl HealthChecks {
    /// Queues a check of a host. If it cannot be sent (no address, disabled in the settings, a check of the host pending, or
    /// queue full), returns the event of an unanswered check instead.
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

    /// Whether the queue is not full and no check of this host is pending.
    fn has_room_for(&self, host: &HostId) -> bool {
        let is_pending = self.in_flight.contains(host)
            || self.waiting.iter().any(|pending| pending.host == *host);
        !is_pending && self.waiting.len() < MAX_WAITING
    }

    /// Completes a check and returns its event, or `None` if no check of this host is in flight.
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

    /// Starts the next check and returns its effect, or `None` if [`MAX_IN_FLIGHT`] is reached or none is waiting.
    pub fn start_next(&mut self, settings: &Settings) -> Option<Effect> {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            return None;
        }
        let PendingCheck { host, address } = self.waiting.pop_front()?;
        self.in_flight.insert(host.clone());
        Some(Effect::CheckHealth {
            host,
            address,
            path: check_path(settings.load_source),
            timeout: CHECK_TIMEOUT,
        })
    }
}

/// Request path of a health check, which also returns a load report if hosts provide one.
fn check_path(load_source: LoadSource) -> &'static str {
    if load_source == LoadSource::Unreported {
        "/health"
    } else {
        "/status/load"
    }
}

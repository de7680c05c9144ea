//! The one place that looks at reports: a report reaches the module whole or not at all, as it came.

use rushcourse_director_protocol::frames::{HostReport, TrafficReport};
use rushcourse_director_settings::{Names, report_limits};
use rushcourse_policy::interface::{Event, HostId, Settings};

/// What reports may speak of.
pub struct Known<'a> {
    pub names: &'a Names,
    pub settings: &'a Settings,
    /// A listed host's own word for itself.
    pub host: &'a dyn Fn(&str) -> Option<HostId>,
}

impl Known<'_> {
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.names.zones.iter().position(|z| z == name)
    }

    /// What was met at a listed host.
    pub fn heard(&self, h: HostReport, host: HostId) -> Result<Event, &'static str> {
        let zone = self.zone(&h.zone).ok_or("az is no known zone")?;
        report_limits::check_counts(h.attempts, h.failed, h.span).map_err(|e| e.reason())?;
        // Of its tries; of a usage report it is not part of `n`: what fails was let in earlier, or not at all.
        if h.failed > h.attempts {
            return Err("bad is more than n");
        }
        let mean = match h.mean_latency {
            Some(avg) if report_limits::is_plausible_mean(avg, self.settings) => avg,
            None if h.failed >= h.attempts => 0.0,
            _ => return Err("avg is out of range"),
        };
        Ok(Event::HostReported {
            zone,
            host,
            attempts: h.attempts,
            failed: h.failed,
            mean_latency: mean,
            span: h.span,
            load: h.load,
        })
    }

    pub fn usage(&self, u: TrafficReport) -> Result<Event, &'static str> {
        let class = self
            .names
            .classes
            .iter()
            .position(|c| *c == u.class)
            .ok_or("kind is no known class")?;
        let proxies = self.settings.fleet.proxies;
        if proxies > 0 && u.proxy as usize >= proxies {
            return Err("sidecar is no proxy");
        }
        match report_limits::check_counts(u.attempts, u.failed, u.span) {
            Err(error) => Err(error.reason()),
            Ok(()) => Ok(Event::TrafficReported {
                proxy: u.proxy,
                class,
                attempts: u.attempts,
                failed: u.failed,
                span: u.span,
            }),
        }
    }
}

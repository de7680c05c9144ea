//! The one place that looks at reports: a report reaches the module whole or not at all, as it came.

use rushcourse_director_protocol::frames::{Heard, Usage};
use rushcourse_director_settings::{Names, figures};
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
    pub fn heard(&self, h: Heard, host: HostId) -> Result<Event, &'static str> {
        let zone = self.zone(&h.az).ok_or("az is no known zone")?;
        if let Some(why) = figures::spoilt(h.n, h.bad, h.window) {
            return Err(why);
        }
        // Of its tries; of a usage report it is not part of `n`: what fails was let in earlier, or not at all.
        if h.bad > h.n {
            return Err("bad is more than n");
        }
        let mean = match h.avg {
            Some(avg) if figures::is_mean(avg, self.settings) => avg,
            None if h.bad >= h.n => 0.0,
            _ => return Err("avg is out of range"),
        };
        Ok(Event::HostReported {
            zone,
            host,
            attempts: h.n,
            failed: h.bad,
            mean_latency: mean,
            span: h.window,
            load: h.load,
        })
    }

    pub fn usage(&self, u: Usage) -> Result<Event, &'static str> {
        let class = self
            .names
            .classes
            .iter()
            .position(|c| *c == u.kind)
            .ok_or("kind is no known class")?;
        let proxies = self.settings.fleet.proxies;
        if proxies > 0 && u.sidecar as usize >= proxies {
            return Err("sidecar is no proxy");
        }
        match figures::spoilt(u.n, u.bad, u.window) {
            Some(why) => Err(why),
            None => Ok(Event::TrafficReported {
                proxy: u.sidecar,
                class,
                attempts: u.n,
                failed: u.bad,
                span: u.window,
            }),
        }
    }
}

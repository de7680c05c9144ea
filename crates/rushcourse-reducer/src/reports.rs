//! The one place that looks at reports: a report reaches the module whole or not at all, as it came.

use rushcourse_core::interface::{Event, HostId, Ms, Settings};
use rushcourse_protocol::frames::{Heard, Usage};
use rushcourse_settings::Names;

/// ms that a report covers at most: it goes back to the last one of its host or proxy, which may be long ago.
const WINDOW_MOST: Ms = 600_000.0;
/// A good answer takes at most so many times the longest deadline: later, nobody waits for it.
const DEADLINES_MOST: f64 = 4.0;
/// Tries a ms that a zone's proxies, or one of them, can make at most: far beyond what one host can serve.
const TRIES_MOST: f64 = 100.0;

/// What reports may speak of.
pub struct Known<'a> {
    pub names: &'a Names,
    pub settings: &'a Settings,
    /// A listed host's own word for itself.
    pub host: &'a dyn Fn(&str) -> Option<HostId>,
}

/// What spoils the figures that both kinds have, if anything does.
fn spoilt(n: f64, bad: f64, window: Ms) -> Option<&'static str> {
    if !(window > 0.0 && window <= WINDOW_MOST) {
        return Some("window is out of range");
    }
    let most = 0.0..=TRIES_MOST * window;
    if !most.contains(&n) {
        Some("n is out of range")
    } else if !most.contains(&bad) {
        Some("bad is out of range")
    } else {
        None
    }
}

impl Known<'_> {
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.names.zones.iter().position(|z| z == name)
    }

    /// What was met at a listed host.
    pub fn heard(&self, h: Heard, host: HostId) -> Result<Event, &'static str> {
        let zone = self.zone(&h.az).ok_or("az is no known zone")?;
        if let Some(why) = spoilt(h.n, h.bad, h.window) {
            return Err(why);
        }
        // Of its tries; of a usage report it is not part of `n`: what fails was let in earlier, or not at all.
        if h.bad > h.n {
            return Err("bad is more than n");
        }
        let deadline = self.settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let mean = match h.avg {
            Some(avg) if avg >= 0.0 && avg <= DEADLINES_MOST * deadline => avg,
            None if h.bad >= h.n => 0.0,
            _ => return Err("avg is out of range"),
        };
        Ok(Event::Heard { zone, host, tries: h.n, failed: h.bad, mean, span: h.window, load: h.load })
    }

    pub fn usage(&self, u: Usage) -> Result<Event, &'static str> {
        let class = self.names.classes.iter().position(|c| *c == u.kind).ok_or("kind is no known class")?;
        let proxies = self.settings.proxies;
        if proxies > 0 && u.sidecar as usize >= proxies {
            return Err("sidecar is no proxy");
        }
        match spoilt(u.n, u.bad, u.window) {
            Some(why) => Err(why),
            None => Ok(Event::Usage { proxy: u.sidecar, class, tries: u.n, failed: u.bad, span: u.window }),
        }
    }
}

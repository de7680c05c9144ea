//! Load reports of one relay (LRS): whole or not at all, and never late ones for fresh.

use crate::messages::LoadStatsRequest;
use crate::resources::ResourceCache;
use rushcourse_director_settings::figures;
use rushcourse_policy::interface::*;

/// Report periods that a report may cover: what it tells of before is too old to judge anybody by.
const PERIODS_MOST: f64 = 2.5;
/// ms without a further report after which the last of a burst is believed: what a relay could not send for a
/// while comes all at once.
const BURST: Ms = 200.0;
/// Report periods of silence after which a stream is ended: its relay dials anew.
const SILENT: f64 = 6.0;
/// The metric that carries the time of good answers, in ms.
const LATENCY: &str = "latency_ms";

#[derive(Debug)]
pub struct Loads {
    every: Ms,
    /// When it last reported, or opened.
    last: Ms,
    /// After a silence: since when the newest report waits, and what it says.
    held: Option<(Ms, Vec<Event>)>,
}

/// What a report spoils: the count that rises, and what is wrong.
pub type Spoilt = (&'static str, String);

impl Loads {
    pub fn new(now: Ms, every: Ms) -> Loads {
        Loads {
            every,
            last: now,
            held: None,
        }
    }

    /// Takes a report. Answers the events that hold at once, and counts.
    pub fn take(&mut self, now: Ms, events: Vec<Event>) -> (Vec<Event>, Option<&'static str>) {
        let silent = now - self.last > PERIODS_MOST * self.every;
        self.last = now;
        match self.held.take() {
            // Only the last report of a burst is of now.
            Some(_) => {
                self.held = Some((now, events));
                (Vec::new(), Some("loads_old"))
            }
            None if silent => {
                self.held = Some((now, events));
                (Vec::new(), None)
            }
            None => (events, Some("loads_taken")),
        }
    }

    /// The report that was held back, once no later one came.
    pub fn released(&mut self, now: Ms) -> Vec<Event> {
        match self.held.take_if(|(since, _)| now - *since >= BURST) {
            Some((_, events)) => events,
            None => Vec::new(),
        }
    }

    /// When it has been silent for so long that its stream is ended.
    pub fn silent_at(&self) -> Ms {
        self.last + SILENT * self.every
    }

    /// When there is something to do next.
    pub fn due(&self) -> Ms {
        self.held
            .as_ref()
            .map_or(f64::INFINITY, |(since, _)| since + BURST)
            .min(self.silent_at())
    }
}

/// What a report says, in events: whole or not at all. Hosts that no list names are left out, and counted.
pub fn read(
    stats: &LoadStatsRequest,
    proxy: ProxyId,
    zone: ZoneId,
    settings: &Settings,
    cache: &ResourceCache,
    load_of: impl Fn(&HostId) -> HostLoad,
) -> Result<(Vec<Event>, u64), Spoilt> {
    let (mut events, mut unlisted) = (Vec::new(), 0);
    for c in &stats.cluster_stats {
        let spoilt =
            |count, why: &str| Err((count, format!("cluster {:.40}: {why}", c.cluster_name)));
        let Some(class) = cache.class(&c.cluster_name) else {
            return spoilt("loads_unknown", "no class of that name");
        };
        let Some(span) = c
            .load_report_interval
            .filter(|i| *i > 0.0 && *i <= figures::WINDOW_MOST)
        else {
            return spoilt(
                "loads_interval",
                "load_report_interval is missing or out of range",
            );
        };
        if span > PERIODS_MOST * settings.report_interval.max(1.0) {
            return spoilt("loads_old", "it covers more than what is judged by");
        }
        let (let_in, failed) = (
            c.successful_requests as f64 + c.error_requests as f64,
            c.error_requests as f64,
        );
        if let Some(why) = figures::spoilt(let_in, failed, span) {
            return spoilt("loads_figures", why);
        }
        events.push(Event::TrafficReported {
            proxy,
            class,
            attempts: let_in,
            failed,
            span,
        });
        for h in &c.endpoints {
            let Some(host) = cache.host_at(&h.address) else {
                unlisted += 1;
                continue;
            };
            let (tries, failed) = (h.issued_requests as f64, h.error_requests as f64);
            if let Some(why) = figures::spoilt(tries, failed, span) {
                return spoilt("loads_figures", &format!("{}: {why}", h.address));
            }
            if failed > tries {
                return spoilt(
                    "loads_figures",
                    &format!("{}: more errors than requests", h.address),
                );
            }
            let mean = match h.load_metrics.get(LATENCY) {
                Some(m) if m.finished_requests > 0 => m.total_value / m.finished_requests as f64,
                _ if failed >= tries => 0.0,
                _ => {
                    return spoilt(
                        "loads_latency",
                        &format!("{}: no metric {LATENCY}", h.address),
                    );
                }
            };
            if !figures::is_mean(mean, settings) {
                return spoilt(
                    "loads_latency",
                    &format!("{}: {LATENCY} is out of range", h.address),
                );
            }
            let load = HostLoad {
                in_flight: Some(h.requests_in_progress as f64),
                ..load_of(host)
            };
            events.push(Event::HostReported {
                zone,
                host: host.clone(),
                attempts: tries,
                failed,
                mean_latency: mean,
                span,
                load,
            });
        }
    }
    Ok((events, unlisted))
}

//! The tables that this director is bound to, one a service, and what it met at their hosts itself.

use rushcourse_messages::{EndpointWeight, HostRecord, HostState};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Part by which a host's cost is blurred by lot, so that directors that see the same do not all run to the same
/// host (ours).
const BLUR: f64 = 0.5;
/// ms that a host stays out after a connection to it could not be made; doubled each time, up to the most (ours).
const OUT_FIRST: u64 = 300;
const OUT_MOST: u64 = 4_000;
/// Weight of the newest time in a host's mean (ours).
const NEWEST: f64 = 0.15;
/// A host of another zone is taken if it is better than this part of one of the own zone (ours).
const ZONE_PART: f64 = 0.5;
/// Ended lives that are remembered, oldest first out (ours): a late table must not bring one back.
const ENDED_MOST: usize = 4_096;

/// What came of a try at a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Met {
    /// An answer, after so many ms.
    Answer(f64),
    /// It turned the request away.
    Full,
    /// No connection could be made.
    Unreached,
    /// It broke off, or what came was no answer.
    Broke,
    /// Another life answers at its address.
    Other,
}

/// A host as it is picked.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    pub id: Arc<str>,
    pub address: Arc<str>,
}

#[derive(Clone, Debug)]
struct Known {
    address: Arc<str>,
    near: bool,
    weight: f64,
    /// Drains or is gone.
    out: bool,
    busy: u32,
    mean_ms: f64,
    shut_until: u64,
    shut_for: u64,
}

#[derive(Default)]
struct Table {
    hosts: BTreeMap<Arc<str>, Known>,
    tries: u32,
    failed: u32,
}

pub struct Tables {
    zone: Arc<str>,
    services: BTreeMap<Arc<str>, Table>,
    ended: BTreeMap<Arc<str>, u64>,
    ended_order: u64,
}

impl Tables {
    pub fn new(zone: &str) -> Tables {
        Tables {
            zone: zone.into(),
            services: BTreeMap::new(),
            ended: BTreeMap::new(),
            ended_order: 0,
        }
    }

    fn end(&mut self, id: &Arc<str>) {
        self.ended_order += 1;
        self.ended.insert(id.clone(), self.ended_order);
        if self.ended.len() > ENDED_MOST {
            let oldest = self.ended.iter().min_by_key(|e| e.1).map(|e| e.0.clone());
            oldest.and_then(|id| self.ended.remove(&id));
        }
    }

    /// The whole table that a service is bound to now. Hosts of the old one that are not in it go.
    pub fn table(&mut self, service: &Arc<str>, lines: Vec<EndpointWeight>) {
        let kept: Vec<Arc<str>> = lines.iter().map(|l| l.host.id.clone()).collect();
        self.lines(service, lines);
        if let Some(table) = self.services.get_mut(service) {
            for (id, host) in &mut table.hosts {
                host.weight = if kept.contains(id) { host.weight } else { 0.0 };
            }
            table.hosts.retain(|_, h| h.weight > 0.0 || h.busy > 0);
        }
    }

    pub fn lines(&mut self, service: &Arc<str>, lines: Vec<EndpointWeight>) {
        for line in lines {
            let id = line.host.id.clone();
            if line.host.state == HostState::Gone && line.weight > 0.0 {
                self.end(&id);
            }
            let ended = self.ended.contains_key(&id);
            let near = line.host.zone == self.zone;
            let table = self.services.entry(service.clone()).or_default();
            let known = table.hosts.entry(id).or_insert_with(|| Known {
                address: line.host.address.clone(),
                near,
                weight: 0.0,
                out: false,
                busy: 0,
                mean_ms: 0.0,
                shut_until: 0,
                shut_for: 0,
            });
            (known.address, known.weight) = (line.host.address, f64::from(line.weight));
            known.out = line.host.state != HostState::Ready || ended;
        }
        if let Some(table) = self.services.get_mut(service) {
            table.hosts.retain(|_, h| h.weight > 0.0 || h.busy > 0);
        }
    }

    /// Hosts that drain or are gone, or are back.
    pub fn out(&mut self, news: &[HostRecord]) -> Vec<Arc<str>> {
        let mut shut = Vec::new();
        for n in news {
            if n.state == HostState::Gone {
                self.end(&n.id);
            }
            let out = n.state != HostState::Ready || self.ended.contains_key(&n.id);
            for table in self.services.values_mut() {
                if let Some(host) = table.hosts.get_mut(&n.id) {
                    host.out = out;
                }
            }
            if out {
                shut.push(n.id.clone());
            }
        }
        shut
    }

    /// Services with at least one host that may be picked.
    pub fn serves(&self, service: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(|t| t.hosts.values().any(|h| h.weight > 0.0 && !h.out))
    }

    /// Whether new requests may go to a host.
    pub fn open(&self, service: &str, id: &str) -> bool {
        self.services
            .get(service)
            .and_then(|t| t.hosts.get(id))
            .is_some_and(|h| h.weight > 0.0 && !h.out)
    }

    /// Picks a host that was not tried yet and counts a request on it; `chance` gives numbers from 0 up to 1.
    pub fn pick(
        &mut self,
        now: u64,
        service: &str,
        tried: &[Arc<str>],
        mut chance: impl FnMut() -> f64,
    ) -> Option<Pick> {
        let table = self.services.get_mut(service)?;
        let may =
            |h: &(&Arc<str>, &mut Known)| h.1.weight > 0.0 && !h.1.out && !tried.contains(h.0);
        let mut all: Vec<(&Arc<str>, &mut Known)> = table.hosts.iter_mut().filter(may).collect();
        // Where all are shut, those that are shut are tried: one of them may be back.
        if all.iter().any(|h| h.1.shut_until <= now) {
            all.retain(|h| h.1.shut_until <= now);
        }
        if all.is_empty() {
            return None;
        }
        let means: Vec<f64> = all
            .iter()
            .map(|h| h.1.mean_ms)
            .filter(|m| *m > 0.0)
            .collect();
        let usual = if means.is_empty() {
            1.0
        } else {
            means.iter().sum::<f64>() / means.len() as f64
        };
        let cost = |h: &Known| {
            let mean = if h.mean_ms > 0.0 { h.mean_ms } else { usual };
            let far = if h.near { 1.0 } else { 1.0 / ZONE_PART };
            (f64::from(h.busy) + 1.0) / h.weight * mean * far
        };
        let mut best: Option<(f64, usize)> = None;
        for (at, (_, host)) in all.iter().enumerate() {
            let found = cost(host) * (1.0 + BLUR * chance());
            if best.is_none_or(|b| found < b.0) {
                best = Some((found, at));
            }
        }
        let (id, host) = all.swap_remove(best?.1);
        host.busy += 1;
        table.tries += 1;
        Some(Pick {
            id: id.clone(),
            address: host.address.clone(),
        })
    }

    /// A try at a host ended.
    pub fn met(&mut self, now: u64, service: &str, id: &Arc<str>, met: Met) {
        let Some(table) = self.services.get_mut(service) else {
            return;
        };
        table.failed += u32::from(!matches!(met, Met::Answer(_)));
        let Some(host) = table.hosts.get_mut(id) else {
            return;
        };
        host.busy = host.busy.saturating_sub(1);
        match met {
            Met::Answer(ms) => {
                let old = if host.mean_ms > 0.0 { host.mean_ms } else { ms };
                host.mean_ms = old + (ms - old) * NEWEST;
                host.shut_for = 0;
            }
            Met::Full => host.mean_ms *= 1.0 + NEWEST,
            Met::Unreached | Met::Other => {
                host.shut_for = (host.shut_for * 2).clamp(OUT_FIRST, OUT_MOST);
                host.shut_until = now + host.shut_for;
            }
            Met::Broke => {}
        }
        if host.weight <= 0.0 && host.busy == 0 {
            table.hosts.remove(id);
        }
    }

    /// A try that was given up by its client, or never begun.
    pub fn dropped(&mut self, service: &str, id: &Arc<str>) {
        if let Some(host) = self
            .services
            .get_mut(service)
            .and_then(|t| t.hosts.get_mut(id))
        {
            host.busy = host.busy.saturating_sub(1);
        }
    }

    /// Tries and failures for each service since the last call.
    pub fn usage(&mut self) -> Vec<(Arc<str>, u32, u32)> {
        let take = |(s, t): (&Arc<str>, &mut Table)| {
            (
                s.clone(),
                std::mem::take(&mut t.tries),
                std::mem::take(&mut t.failed),
            )
        };
        self.services.iter_mut().map(take).collect()
    }

    /// Hosts of a service that may be picked, for the pages and tests.
    pub fn hosts(&self, service: &str) -> Vec<Arc<str>> {
        let open = |h: &(&Arc<str>, &Known)| h.1.weight > 0.0 && !h.1.out;
        let all = self
            .services
            .get(service)
            .into_iter()
            .flat_map(|t| t.hosts.iter());
        all.filter(open).map(|h| h.0.clone()).collect()
    }
}

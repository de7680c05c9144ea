//! Report streams to hosts (ORCA out of band, `StreamCoreMetrics`): who is asked, when a lost one is dialled anew, and
//! how long what a host said of itself counts.

use crate::interface::{DialId, Effect};
use crate::messages::OrcaLoadReport;
use crate::outbox::{Outbox, Severity};
use crate::retry::Retry;
use rushcourse_policy::interface::*;
use std::collections::BTreeMap;

/// First and longest pause between tries to reach a host, in ms.
const PAUSE: Ms = 200.0;
const PAUSE_MOST: Ms = 20_000.0;
/// ms for a stream to stand.
const DIAL_WITHIN: Ms = 2000.0;
/// Report periods after which what a host said of itself counts no more, and after which its stream is dialled anew,
/// whether it is dead, answers pings alone, or hangs in the middle of a message.
const FRESH: f64 = 2.5;
const SILENT: f64 = 4.0;
/// Share of its processors that a host may report, and requests that may wait there, at most.
const UTIL_MOST: f64 = 64.0;
const QUEUE_MOST: f64 = 1e6;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Down { until: Ms },
    Dialling { by: Ms },
    Live { silent: Ms },
}

#[derive(Debug)]
struct Host {
    address: String,
    up_since: Ms,
    state: State,
    turn: DialId,
    retry: Retry,
    /// What it last said, and when.
    said: Option<(Ms, HostLoad)>,
}

/// A host that may be asked.
#[derive(Clone, Debug, PartialEq)]
pub struct Askable {
    pub host: HostId,
    pub address: String,
    pub up_since: Ms,
}

#[derive(Debug)]
pub struct Nodes {
    every: Ms,
    most: usize,
    seed: u64,
    turn: DialId,
    hosts: ByHost<Host>,
    /// Hosts that are not asked as there are too many.
    beyond: usize,
}

impl Nodes {
    pub fn new(every: Ms, most: usize, seed: u64) -> Nodes {
        Nodes {
            every: every.max(100.0),
            most,
            seed,
            turn: DialId(0),
            hosts: BTreeMap::new(),
            beyond: 0,
        }
    }

    /// From the next list on, so many hosts are asked at most.
    pub fn most_is(&mut self, most: usize) {
        self.most = most;
    }

    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    pub fn live(&self) -> usize {
        self.hosts
            .values()
            .filter(|h| matches!(h.state, State::Live { .. }))
            .count()
    }

    pub fn beyond(&self) -> usize {
        self.beyond
    }

    /// What a host said of itself, while that counts.
    pub fn load(&self, now: Ms, host: &HostId) -> HostLoad {
        let said = self.hosts.get(host).and_then(|h| h.said.as_ref());
        let fresh = said.filter(|(at, _)| now - at <= FRESH * self.every);
        fresh.map(|(_, load)| load.clone()).unwrap_or_default()
    }

    /// The hosts to ask from now on. One that started anew or moved is dialled anew, and what it said before is
    /// forgotten: a restarted host is cold.
    pub fn listed(&mut self, now: Ms, hosts: Vec<Askable>, out: &mut Outbox) {
        self.beyond = hosts.len().saturating_sub(self.most);
        // Those that are asked already go on; new ones fill what is left.
        let (old, new): (Vec<_>, Vec<_>) = hosts
            .into_iter()
            .partition(|a| self.hosts.contains_key(&a.host));
        let asked: ByHost<Askable> = old
            .into_iter()
            .chain(new)
            .take(self.most)
            .map(|a| (a.host.clone(), a))
            .collect();
        let gone: Vec<HostId> = self
            .hosts
            .keys()
            .filter(|h| !asked.contains_key(*h))
            .cloned()
            .collect();
        for host in gone {
            if let Some(h) = self.hosts.remove(&host) {
                hang(&host, &h, out);
            }
        }
        for (host, a) in asked {
            let same = |h: &Host| h.address == a.address && h.up_since == a.up_since;
            if let Some(h) = self.hosts.get(&host) {
                if same(h) {
                    continue;
                }
                if h.up_since != a.up_since {
                    out.count("node_restarts", 1);
                }
                hang(&host, h, out);
            }
            let retry = Retry::new(PAUSE, PAUSE_MOST, self.seed, &host);
            let (state, said) = (State::Down { until: now }, None);
            let fresh = Host {
                address: a.address,
                up_since: a.up_since,
                state,
                turn: DialId(0),
                retry,
                said,
            };
            self.hosts.insert(host, fresh);
        }
    }

    fn of(&mut self, host: &HostId, turn: DialId) -> Option<&mut Host> {
        self.hosts
            .get_mut(host)
            .filter(|h| h.turn == turn && !matches!(h.state, State::Down { .. }))
    }

    pub fn up(&mut self, now: Ms, host: &HostId, turn: DialId) {
        let silent = now + SILENT * self.every;
        if let Some(h) = self.of(host, turn) {
            h.state = State::Live { silent };
        }
    }

    /// A report. It is believed whole or not at all.
    pub fn said(
        &mut self,
        now: Ms,
        host: &HostId,
        turn: DialId,
        report: &OrcaLoadReport,
        out: &mut Outbox,
    ) {
        let silent = now + SILENT * self.every;
        let Some(h) = self.of(host, turn) else { return };
        h.state = State::Live { silent };
        h.retry.reset();
        let queue = report.queue.unwrap_or(0.0);
        if !(0.0..=UTIL_MOST).contains(&report.utilization) || !(0.0..=QUEUE_MOST).contains(&queue)
        {
            out.count("node_reports_spoilt", 1);
            let text = format!(
                "{host}: util {}, queue {queue} are out of range",
                report.utilization
            );
            return out.log(Severity::Info, "host report skipped", text);
        }
        out.count("node_reports_taken", 1);
        let load = HostLoad {
            cpu_utilization: Some(report.utilization),
            queued: report.queue,
            in_flight: None,
        };
        h.said = Some((now, load.clone()));
        out.event(Event::HealthChecked {
            host: host.clone(),
            elapsed: 0.0,
            is_answered: true,
            load,
        });
    }

    pub fn down(&mut self, now: Ms, host: &HostId, turn: DialId, why: &str, out: &mut Outbox) {
        if let Some(h) = self.of(host, turn) {
            lost(now, host, h, why, out);
        }
    }

    /// Dials who is due and gives up who is silent; answers when there is something to do next.
    pub fn advance(&mut self, now: Ms, out: &mut Outbox) -> f64 {
        let mut next = f64::INFINITY;
        for (host, h) in self.hosts.iter_mut() {
            match h.state {
                State::Dialling { by } if now >= by => {
                    hang(host, h, out);
                    lost(now, host, h, "no stream in time", out);
                }
                State::Live { silent } if now >= silent => {
                    hang(host, h, out);
                    out.count("node_stalls", 1);
                    lost(now, host, h, "no report for too long", out);
                }
                _ => {}
            }
            if let State::Down { until } = h.state
                && now >= until
            {
                self.turn.0 += 1;
                (h.turn, h.state) = (
                    self.turn,
                    State::Dialling {
                        by: now + DIAL_WITHIN,
                    },
                );
                out.count("node_dials", 1);
                let (host, address) = (host.clone(), h.address.clone());
                out.effect(Effect::OpenReportStream {
                    host,
                    dial: h.turn,
                    address,
                    report_interval: self.every,
                });
            }
            let (State::Down { until: at }
            | State::Dialling { by: at }
            | State::Live { silent: at }) = h.state;
            next = next.min(at);
        }
        next
    }
}

fn hang(host: &HostId, h: &Host, out: &mut Outbox) {
    if !matches!(h.state, State::Down { .. }) {
        out.effect(Effect::CloseReportStream {
            host: host.clone(),
            dial: h.turn,
        });
    }
}

fn lost(now: Ms, host: &HostId, h: &mut Host, why: &str, out: &mut Outbox) {
    h.state = State::Down {
        until: now + h.retry.pause(),
    };
    out.count("node_losses", 1);
    out.log(
        Severity::Info,
        "host reports lost",
        format!("{host}: {why}"),
    );
}

#[cfg(test)]
mod tests {
    use super::*;

    fn askable(host: &str, up_since: Ms) -> Askable {
        Askable {
            host: host.into(),
            address: format!("{host}:1"),
            up_since,
        }
    }

    fn dials(out: &mut Outbox) -> Vec<(String, u64)> {
        let dialled = std::mem::take(&mut out.effects)
            .into_iter()
            .filter_map(|e| match e {
                Effect::OpenReportStream { host, dial, .. } => Some((host.to_string(), dial.0)),
                _ => None,
            });
        dialled.collect()
    }

    fn report(util: f64) -> OrcaLoadReport {
        OrcaLoadReport {
            utilization: util,
            queue: Some(2.0),
        }
    }

    #[test]
    fn a_stalled_report_stream_is_dialled_anew_and_what_it_said_grows_old() {
        let (mut nodes, mut out, host) = (Nodes::new(1000.0, 8, 1), Outbox::default(), "a".into());
        nodes.listed(0.0, vec![askable("a", 0.0)], &mut out);
        nodes.advance(0.0, &mut out);
        assert_eq!(dials(&mut out), [("a".into(), 1)]);
        nodes.up(10.0, &host, DialId(1));
        nodes.said(1000.0, &host, DialId(1), &report(0.5), &mut out);
        assert_eq!(nodes.load(3000.0, &host).cpu_utilization, Some(0.5));
        assert_eq!(
            nodes.load(3600.0, &host).cpu_utilization,
            None,
            "old by now"
        );
        let next = nodes.advance(3600.0, &mut out);
        assert_eq!(next, 5000.0);
        nodes.advance(5000.0, &mut out);
        assert!(out.effects.contains(&Effect::CloseReportStream {
            host: "a".into(),
            dial: DialId(1)
        }));
        let again = nodes.advance(5000.0, &mut out);
        assert!(again > 5000.0 && again <= 5200.0, "after a pause: {again}");
        nodes.advance(again, &mut out);
        assert_eq!(dials(&mut out), [("a".into(), 2)]);
        nodes.said(again, &host, DialId(1), &report(0.9), &mut out);
        assert_eq!(
            nodes.load(again, &host).cpu_utilization,
            None,
            "of an earlier stream"
        );
    }

    #[test]
    fn what_a_host_said_before_it_started_anew_is_not_believed() {
        let (mut nodes, mut out, host) = (Nodes::new(1000.0, 8, 1), Outbox::default(), "a".into());
        nodes.listed(0.0, vec![askable("a", 0.0)], &mut out);
        nodes.advance(0.0, &mut out);
        nodes.said(100.0, &host, DialId(1), &report(0.5), &mut out);
        nodes.listed(200.0, vec![askable("a", 150.0)], &mut out);
        assert_eq!(nodes.load(201.0, &host), HostLoad::default());
        nodes.said(210.0, &host, DialId(1), &report(0.5), &mut out);
        assert_eq!(
            nodes.load(211.0, &host),
            HostLoad::default(),
            "it lay in the old stream"
        );
        nodes.advance(220.0, &mut out);
        nodes.said(230.0, &host, DialId(2), &report(0.1), &mut out);
        assert_eq!(nodes.load(231.0, &host).cpu_utilization, Some(0.1));
    }

    #[test]
    fn spoilt_reports_are_not_believed_in_part() {
        let (mut nodes, mut out, host) = (Nodes::new(1000.0, 8, 1), Outbox::default(), "a".into());
        nodes.listed(0.0, vec![askable("a", 0.0)], &mut out);
        nodes.advance(0.0, &mut out);
        for (util, queue) in [
            (f64::NAN, 1.0),
            (-0.1, 1.0),
            (1e9, 1.0),
            (0.5, f64::INFINITY),
            (0.5, -1.0),
        ] {
            nodes.said(
                1.0,
                &host,
                DialId(1),
                &OrcaLoadReport {
                    utilization: util,
                    queue: Some(queue),
                },
                &mut out,
            );
        }
        assert_eq!(nodes.load(2.0, &host), HostLoad::default());
        assert_eq!(
            out.increments
                .iter()
                .filter(|c| c.0 == "node_reports_spoilt")
                .count(),
            5
        );
        assert!(out.events.is_empty());
    }

    #[test]
    fn no_more_hosts_are_asked_than_may_be_and_the_first_stay() {
        let (mut nodes, mut out) = (Nodes::new(1000.0, 2, 1), Outbox::default());
        nodes.listed(0.0, vec![askable("b", 0.0), askable("c", 0.0)], &mut out);
        nodes.listed(
            0.0,
            vec![askable("a", 0.0), askable("b", 0.0), askable("c", 0.0)],
            &mut out,
        );
        nodes.advance(0.0, &mut out);
        assert_eq!(dials(&mut out), [("b".into(), 1), ("c".into(), 2)]);
        assert_eq!((nodes.count(), nodes.beyond()), (2, 1));
        nodes.listed(0.0, vec![], &mut out);
        assert_eq!(nodes.count(), 0);
    }
}

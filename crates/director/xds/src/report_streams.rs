//! Report streams to hosts (ORCA out of band, `StreamCoreMetrics`): which hosts are asked, when a lost stream is opened
//! anew, and how long a report counts.

use crate::backoff::Backoff;
use crate::interface::{DialId, Effect};
use crate::messages::OrcaLoadReport;
use crate::outbox::{Outbox, Severity};
use rushcourse_policy::interface::{ByHost, Event, HostId, HostLoad, Ms};
use std::collections::BTreeMap;

/// First and longest delay between attempts to reach a host, in ms.
const FIRST_DIAL_DELAY: Ms = 200.0;
const MAX_DIAL_DELAY: Ms = 20_000.0;
/// ms within which a stream has to open.
const DIAL_TIMEOUT: Ms = 2000.0;
/// The shortest interval between reports, in ms, whatever the settings say.
const MIN_REPORT_INTERVAL: Ms = 100.0;
/// Report intervals for which a report counts.
const FRESH_INTERVALS: f64 = 2.5;
/// Report intervals without a report after which a stream is opened anew: its host may be dead, may answer pings and
/// nothing else, or may hang in the middle of a message.
const SILENT_INTERVALS: f64 = 4.0;
/// The largest share of its processors that a host may report. Above 1 is usual where more than one core counts.
const MAX_UTILIZATION: f64 = 64.0;
/// The largest number of waiting requests that a host may report.
const MAX_QUEUE: f64 = 1e6;

/// A host that can be asked for reports.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportingHost {
    /// Its name in the membership list.
    pub host: HostId,
    /// Where it listens: host:port.
    pub address: String,
    /// When it started, as the list has it.
    pub started_at: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Connection {
    Closed { dial_at: Ms },
    Dialing { deadline: Ms },
    Open { silent_at: Ms },
}

impl Connection {
    /// When there is something to do next, if nothing is read before.
    fn due_at(self) -> Ms {
        match self {
            Connection::Closed { dial_at } => dial_at,
            Connection::Dialing { deadline } => deadline,
            Connection::Open { silent_at } => silent_at,
        }
    }
}

#[derive(Debug)]
struct ReportStream {
    address: String,
    started_at: Ms,
    connection: Connection,
    /// The latest attempt.
    dial: DialId,
    backoff: Backoff,
    last_report: Option<ReceivedReport>,
}

#[derive(Debug)]
struct ReceivedReport {
    at: Ms,
    load: HostLoad,
}

impl ReportStream {
    fn is_closed(&self) -> bool {
        matches!(self.connection, Connection::Closed { .. })
    }

    /// Gives up the stream, if there is one.
    fn hang_up(&self, host: &HostId, outbox: &mut Outbox) {
        if !self.is_closed() {
            outbox.effect(Effect::CloseReportStream {
                host: host.clone(),
                dial: self.dial,
            });
        }
    }

    /// The stream is lost, or did not open: it is dialed anew after a delay.
    fn lost(&mut self, now: Ms, host: &HostId, reason: &str, outbox: &mut Outbox) {
        self.connection = Connection::Closed {
            dial_at: now + self.backoff.next_delay(),
        };
        outbox.count("node_losses", 1);
        outbox.log(
            Severity::Info,
            "host reports lost",
            format!("{host}: {reason}"),
        );
    }
}

/// The report streams to all hosts that are asked.
#[derive(Debug)]
pub struct ReportStreams {
    report_interval: Ms,
    max_streams: usize,
    seed: u64,
    last_dial: DialId,
    streams: ByHost<ReportStream>,
    /// Hosts that are not asked as there are too many.
    hosts_over_limit: usize,
}

impl ReportStreams {
    /// No stream yet; at most `max_streams` later. `seed` spreads the delays between attempts.
    pub fn new(report_interval: Ms, max_streams: usize, seed: u64) -> ReportStreams {
        ReportStreams {
            report_interval: report_interval.max(MIN_REPORT_INTERVAL),
            max_streams,
            seed,
            last_dial: DialId(0),
            streams: BTreeMap::new(),
            hosts_over_limit: 0,
        }
    }

    /// From the next list of hosts on, so many are asked at most.
    pub fn set_max_streams(&mut self, max_streams: usize) {
        self.max_streams = max_streams;
    }

    /// How many hosts are asked.
    pub fn host_count(&self) -> usize {
        self.streams.len()
    }

    /// How many of their streams are open.
    pub fn open_count(&self) -> usize {
        self.streams
            .values()
            .filter(|stream| matches!(stream.connection, Connection::Open { .. }))
            .count()
    }

    /// How many hosts of the last list are not asked.
    pub fn hosts_over_limit(&self) -> usize {
        self.hosts_over_limit
    }

    /// A host's own report, while it counts; else a load that says nothing.
    pub fn load(&self, now: Ms, host: &HostId) -> HostLoad {
        let report = self
            .streams
            .get(host)
            .and_then(|stream| stream.last_report.as_ref());
        report
            .filter(|report| now - report.at <= FRESH_INTERVALS * self.report_interval)
            .map(|report| report.load.clone())
            .unwrap_or_default()
    }

    /// The hosts to ask from now on. One that restarted or moved is dialed anew, and its earlier report is forgotten:
    /// a restarted host is cold, whatever it reported before.
    pub fn update_hosts(&mut self, now: Ms, hosts: Vec<ReportingHost>, outbox: &mut Outbox) {
        self.hosts_over_limit = hosts.len().saturating_sub(self.max_streams);
        let chosen = self.choose(hosts);
        self.remove_all_but(&chosen, outbox);
        for host in chosen.into_values() {
            self.update_host(now, host, outbox);
        }
    }

    /// As many hosts as may be asked. Those that are asked already stay; new ones get what is left.
    fn choose(&self, hosts: Vec<ReportingHost>) -> ByHost<ReportingHost> {
        let (asked, new): (Vec<_>, Vec<_>) = hosts
            .into_iter()
            .partition(|host| self.streams.contains_key(&host.host));
        asked
            .into_iter()
            .chain(new)
            .take(self.max_streams)
            .map(|host| (host.host.clone(), host))
            .collect()
    }

    fn remove_all_but(&mut self, chosen: &ByHost<ReportingHost>, outbox: &mut Outbox) {
        self.streams.retain(|host, stream| {
            let stays = chosen.contains_key(host);
            if !stays {
                stream.hang_up(host, outbox);
            }
            stays
        });
    }

    fn update_host(&mut self, now: Ms, host: ReportingHost, outbox: &mut Outbox) {
        if let Some(stream) = self.streams.get(&host.host) {
            let has_restarted = stream.started_at != host.started_at;
            if !has_restarted && stream.address == host.address {
                return;
            }
            if has_restarted {
                outbox.count("node_restarts", 1);
            }
            stream.hang_up(&host.host, outbox);
        }
        let stream = ReportStream {
            backoff: Backoff::new(FIRST_DIAL_DELAY, MAX_DIAL_DELAY, self.seed, &host.host),
            address: host.address,
            started_at: host.started_at,
            connection: Connection::Closed { dial_at: now },
            dial: DialId(0),
            last_report: None,
        };
        self.streams.insert(host.host, stream);
    }

    /// The stream that an input belongs to; nothing where the input is of an earlier attempt.
    fn current(&mut self, host: &HostId, dial: DialId) -> Option<&mut ReportStream> {
        self.streams
            .get_mut(host)
            .filter(|stream| stream.dial == dial && !stream.is_closed())
    }

    /// A stream has opened.
    pub fn opened(&mut self, now: Ms, host: &HostId, dial: DialId) {
        let silent_at = now + SILENT_INTERVALS * self.report_interval;
        if let Some(stream) = self.current(host, dial) {
            stream.connection = Connection::Open { silent_at };
        }
    }

    /// A host has reported. A report is believed as a whole or not at all.
    pub fn report(
        &mut self,
        now: Ms,
        host: &HostId,
        dial: DialId,
        report: &OrcaLoadReport,
        outbox: &mut Outbox,
    ) {
        let silent_at = now + SILENT_INTERVALS * self.report_interval;
        let Some(stream) = self.current(host, dial) else {
            return;
        };
        stream.connection = Connection::Open { silent_at };
        stream.backoff.reset();
        let queue = report.queue.unwrap_or(0.0);
        let is_valid = (0.0..=MAX_UTILIZATION).contains(&report.utilization)
            && (0.0..=MAX_QUEUE).contains(&queue);
        if !is_valid {
            outbox.count("node_reports_spoilt", 1);
            let text = format!(
                "{host}: util {}, queue {queue} are out of range",
                report.utilization
            );
            return outbox.log(Severity::Info, "host report skipped", text);
        }
        outbox.count("node_reports_taken", 1);
        let load = HostLoad {
            cpu_utilization: Some(report.utilization),
            queued: report.queue,
            in_flight: None,
        };
        stream.last_report = Some(ReceivedReport {
            at: now,
            load: load.clone(),
        });
        outbox.event(Event::HealthChecked {
            host: host.clone(),
            elapsed: 0.0,
            is_answered: true,
            load,
        });
    }

    /// A stream has ended, or could not be opened.
    pub fn closed(
        &mut self,
        now: Ms,
        host: &HostId,
        dial: DialId,
        reason: &str,
        outbox: &mut Outbox,
    ) {
        if let Some(stream) = self.current(host, dial) {
            stream.lost(now, host, reason, outbox);
        }
    }

    /// Dials the hosts that are due and gives up silent streams. Returns when there is something to do next.
    pub fn advance(&mut self, now: Ms, outbox: &mut Outbox) -> Ms {
        let mut next = f64::INFINITY;
        for (host, stream) in &mut self.streams {
            match stream.connection {
                Connection::Dialing { deadline } if now >= deadline => {
                    stream.hang_up(host, outbox);
                    stream.lost(now, host, "no stream in time", outbox);
                }
                Connection::Open { silent_at } if now >= silent_at => {
                    stream.hang_up(host, outbox);
                    outbox.count("node_stalls", 1);
                    stream.lost(now, host, "no report for too long", outbox);
                }
                _ => {}
            }
            if let Connection::Closed { dial_at } = stream.connection
                && now >= dial_at
            {
                self.last_dial.0 += 1;
                stream.dial = self.last_dial;
                stream.connection = Connection::Dialing {
                    deadline: now + DIAL_TIMEOUT,
                };
                outbox.count("node_dials", 1);
                outbox.effect(Effect::OpenReportStream {
                    host: host.clone(),
                    dial: stream.dial,
                    address: stream.address.clone(),
                    report_interval: self.report_interval,
                });
            }
            next = next.min(stream.connection.due_at());
        }
        next
    }
}

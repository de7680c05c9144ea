//! Out-of-band load report streams to hosts (ORCA, `StreamCoreMetrics`): selection of hosts, reconnection, and expiry
//! of reports.

use crate::backoff::Backoff;
use crate::interface::{DialId, Effect};
use crate::messages::OrcaLoadReport;
use crate::outbox::{Outbox, Severity};
use rushcourse_policy::interface::{ByHost, Event, HostId, HostLoad, Ms};
use std::collections::BTreeMap;

/// Bounds of the exponential backoff between dial attempts, in ms.
const FIRST_DIAL_DELAY: Ms = 200.0;
const MAX_DIAL_DELAY: Ms = 20_000.0;
/// Time in which a dialed stream has to open, in ms.
const DIAL_TIMEOUT: Ms = 2000.0;
/// Lower bound on the configured report interval, in ms.
const MIN_REPORT_INTERVAL: Ms = 100.0;
/// Report intervals after which a report expires.
const REPORT_TTL_INTERVALS: f64 = 2.5;
/// Report intervals without a report after which a stream is closed and redialed. Covers hosts that still answer pings
/// or stop in the middle of a message.
const STALL_INTERVALS: f64 = 4.0;
/// Largest valid utilization. Values above 1 are normal for hosts that sum over several cores.
const MAX_UTILIZATION: f64 = 64.0;
/// Largest valid number of queued requests.
const MAX_QUEUE: f64 = 1e6;

/// A host from which load reports can be requested.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportingHost {
    /// The host, as named in the membership list.
    pub host: HostId,
    /// The host's address, as host:port.
    pub address: String,
    /// When the host's process started, from the membership list; a change means a restart.
    pub started_at: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Connection {
    Closed { dial_at: Ms },
    Dialing { deadline: Ms },
    Open { report_deadline: Ms },
}

impl Connection {
    /// When the connection needs attention next, unless an input comes first.
    fn due_at(self) -> Ms {
        match self {
            Connection::Closed { dial_at } => dial_at,
            Connection::Dialing { deadline } => deadline,
            Connection::Open { report_deadline } => report_deadline,
        }
    }
}

#[derive(Debug)]
struct ReportStream {
    address: String,
    started_at: Ms,
    connection: Connection,
    /// Id of the latest dial attempt.
    dial: DialId,
    backoff: Backoff,
    last_report: Option<ReceivedReport>,
}

#[derive(Debug)]
struct ReceivedReport {
    received_at: Ms,
    load: HostLoad,
}

impl ReportStream {
    fn is_closed(&self) -> bool {
        matches!(self.connection, Connection::Closed { .. })
    }

    /// Requests the close of the stream unless it is closed already.
    fn close(&self, host: &HostId, outbox: &mut Outbox) {
        if !self.is_closed() {
            outbox.effect(Effect::CloseReportStream {
                host: host.clone(),
                dial: self.dial,
            });
        }
    }

    /// Marks the stream as closed and schedules the next dial attempt.
    fn schedule_redial(&mut self, now: Ms, host: &HostId, reason: &str, outbox: &mut Outbox) {
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

/// Report streams to all selected hosts.
#[derive(Debug)]
pub struct ReportStreams {
    report_interval: Ms,
    max_streams: usize,
    seed: u64,
    last_dial: DialId,
    streams: ByHost<ReportStream>,
    /// Number of hosts left out because of `max_streams`.
    hosts_over_limit: usize,
}

impl ReportStreams {
    /// Creates an empty set of at most `max_streams` streams, with reports every `report_interval` ms. `seed`
    /// determines the jitter of the backoff.
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

    /// Changes the limit on streams; takes effect with the next `update_hosts`.
    pub fn set_max_streams(&mut self, max_streams: usize) {
        self.max_streams = max_streams;
    }

    /// Number of hosts selected for reporting.
    pub fn host_count(&self) -> usize {
        self.streams.len()
    }

    /// Number of report streams that are open.
    pub fn open_count(&self) -> usize {
        self.streams
            .values()
            .filter(|stream| matches!(stream.connection, Connection::Open { .. }))
            .count()
    }

    /// Number of hosts in the last list that were left out because of `max_streams`.
    pub fn hosts_over_limit(&self) -> usize {
        self.hosts_over_limit
    }

    /// The last reported load of a host; empty if there is none or it has expired.
    pub fn load(&self, now: Ms, host: &HostId) -> HostLoad {
        let report = self
            .streams
            .get(host)
            .and_then(|stream| stream.last_report.as_ref());
        report
            .filter(|report| {
                now - report.received_at <= REPORT_TTL_INTERVALS * self.report_interval
            })
            .map(|report| report.load.clone())
            .unwrap_or_default()
    }

    /// Sets the hosts to request reports from. A host that restarted or moved is redialed and its last report dropped,
    /// since a restarted host is cold and its earlier load no longer applies.
    pub fn update_hosts(&mut self, now: Ms, hosts: Vec<ReportingHost>, outbox: &mut Outbox) {
        self.hosts_over_limit = hosts.len().saturating_sub(self.max_streams);
        let selected = self.select_hosts(hosts);
        self.retain_streams(&selected, outbox);
        for host in selected.into_values() {
            self.update_host(now, host, outbox);
        }
    }

    /// Limits the hosts to `max_streams`, preferring those that already have a stream.
    fn select_hosts(&self, hosts: Vec<ReportingHost>) -> ByHost<ReportingHost> {
        let (existing, new): (Vec<_>, Vec<_>) = hosts
            .into_iter()
            .partition(|host| self.streams.contains_key(&host.host));
        existing
            .into_iter()
            .chain(new)
            .take(self.max_streams)
            .map(|host| (host.host.clone(), host))
            .collect()
    }

    fn retain_streams(&mut self, selected: &ByHost<ReportingHost>, outbox: &mut Outbox) {
        self.streams.retain(|host, stream| {
            let is_selected = selected.contains_key(host);
            if !is_selected {
                stream.close(host, outbox);
            }
            is_selected
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
            stream.close(&host.host, outbox);
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

    /// The stream that an input refers to; `None` if the input belongs to an earlier dial attempt.
    fn current_stream(&mut self, host: &HostId, dial: DialId) -> Option<&mut ReportStream> {
        self.streams
            .get_mut(host)
            .filter(|stream| stream.dial == dial && !stream.is_closed())
    }

    /// Starts the report deadline of a stream that has opened.
    pub fn on_opened(&mut self, now: Ms, host: &HostId, dial: DialId) {
        let report_deadline = now + STALL_INTERVALS * self.report_interval;
        if let Some(stream) = self.current_stream(host, dial) {
            stream.connection = Connection::Open { report_deadline };
        }
    }

    /// Handles a host's report. An invalid report is discarded as a whole.
    pub fn on_report(
        &mut self,
        now: Ms,
        host: &HostId,
        dial: DialId,
        report: &OrcaLoadReport,
        outbox: &mut Outbox,
    ) {
        let report_deadline = now + STALL_INTERVALS * self.report_interval;
        let Some(stream) = self.current_stream(host, dial) else {
            return;
        };
        stream.connection = Connection::Open { report_deadline };
        stream.backoff.reset();
        let queue = report.queue.unwrap_or(0.0);
        let is_valid = (0.0..=MAX_UTILIZATION).contains(&report.utilization)
            && (0.0..=MAX_QUEUE).contains(&queue);
        if !is_valid {
            outbox.count("node_reports_spoilt", 1);
            let text = format!(
                "{host}: utilization {} or queue {queue} is out of range",
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
            received_at: now,
            load: load.clone(),
        });
        outbox.event(Event::HealthChecked {
            host: host.clone(),
            elapsed: 0.0,
            is_answered: true,
            load,
        });
    }

    /// Schedules a redial of a stream that has ended or could not be opened.
    pub fn on_closed(
        &mut self,
        now: Ms,
        host: &HostId,
        dial: DialId,
        reason: &str,
        outbox: &mut Outbox,
    ) {
        if let Some(stream) = self.current_stream(host, dial) {
            stream.schedule_redial(now, host, reason, outbox);
        }
    }

    /// Dials hosts whose backoff has expired and closes streams that time out. Returns the time of the next call.
    pub fn advance(&mut self, now: Ms, outbox: &mut Outbox) -> Ms {
        let mut next = f64::INFINITY;
        for (host, stream) in &mut self.streams {
            match stream.connection {
                Connection::Dialing { deadline } if now >= deadline => {
                    stream.close(host, outbox);
                    stream.schedule_redial(now, host, "timeout opening the stream", outbox);
                }
                Connection::Open { report_deadline } if now >= report_deadline => {
                    stream.close(host, outbox);
                    outbox.count("node_stalls", 1);
                    stream.schedule_redial(now, host, "timeout waiting for a report", outbox);
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

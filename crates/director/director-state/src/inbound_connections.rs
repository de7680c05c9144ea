//! Connections to the director's listening address. A connection is unidentified until it registers as a collector or
//! sends an HTTP request. Unidentified connections may only ping; anything else is answered with an error and closes them.

use crate::counter::Counter;
use crate::effect::{Effect, Severity};
use crate::identifiers::InboundId;
use crate::limits::SessionLimits;
use crate::report_validation::ReportValidator;
use crate::step_context::StepContext;
use crate::time::millis;
use bytes::Bytes;
use rushcourse_director_protocol::frames::{
    self, HostReport, Message, MessageError, TrafficReport,
};
use rushcourse_policy::interface::{Event, Ms};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::time::Duration;

/// Time within which a connection has to register. The protocol requires an answer or a close within 3 s.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time within which an HTTP request has to be served.
const HTTP_TIMEOUT: Duration = Duration::from_secs(2);
/// A collector that sends nothing for this long may be closed in favour of a new one; collectors report every second.
const COLLECTOR_INACTIVITY_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason sent to an unregistered peer for any message but a ping or the registration of a collector of a known zone.
const NOT_SERVED: &str = "only a collector of a known zone is served";
/// Reason sent to a peer whose message is not a JSON object.
const UNREADABLE: &str = "a message can't be read";

/// Purpose of an open connection, which determines what it may send and when it expires.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Purpose {
    Unidentified,
    /// The peer sent an HTTP request, which the I/O layer serves.
    Http,
    /// The peer registered as a collector and may send reports.
    Collector,
}

struct InboundConnection {
    purpose: Purpose,
    /// Peer address for log lines.
    peer: String,
    /// Time of the last change of `purpose`, or of the connect while unidentified.
    purpose_since: Ms,
    last_message_at: Ms,
}

impl InboundConnection {
    fn is_collector(&self) -> bool {
        self.purpose == Purpose::Collector
    }

    /// Time at which the connection expires unless its purpose changes; `None` for collectors.
    fn deadline(&self) -> Option<Ms> {
        match self.purpose {
            Purpose::Unidentified => Some(self.purpose_since + millis(REGISTRATION_TIMEOUT)),
            Purpose::Http => Some(self.purpose_since + millis(HTTP_TIMEOUT)),
            Purpose::Collector => None,
        }
    }
}

pub(crate) struct InboundConnections {
    limits: SessionLimits,
    open: BTreeMap<InboundId, InboundConnection>,
}

impl InboundConnections {
    pub(crate) fn new(limits: SessionLimits) -> InboundConnections {
        InboundConnections {
            limits,
            open: BTreeMap::new(),
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn collector_count(&self) -> usize {
        self.open
            .values()
            .filter(|connection| connection.is_collector())
            .count()
    }

    pub(crate) fn is_collector(&self, inbound: InboundId) -> bool {
        self.open
            .get(&inbound)
            .is_some_and(InboundConnection::is_collector)
    }

    /// Adds a connection. If there are too many, the oldest one that is not a collector is closed; collectors register
    /// immediately after connecting, so they are not affected.
    pub(crate) fn on_open(&mut self, context: &mut StepContext, inbound: InboundId, peer: String) {
        let connection = InboundConnection {
            purpose: Purpose::Unidentified,
            peer,
            purpose_since: context.now,
            last_message_at: context.now,
        };
        self.open.insert(inbound, connection);
        if self.open.len() > self.limits.max_inbound {
            let oldest = self
                .open
                .iter()
                .filter(|(_, connection)| !connection.is_collector())
                .min_by(|a, b| a.1.purpose_since.total_cmp(&b.1.purpose_since))
                .map(|(oldest, _)| *oldest);
            let oldest = oldest.unwrap_or(inbound);
            self.close(context, oldest, "too many connections", None);
        }
    }

    /// Marks a connection as HTTP and restarts its deadline.
    pub(crate) fn on_http_request(&mut self, context: &StepContext, inbound: InboundId) {
        if let Some(connection) = self.open.get_mut(&inbound) {
            connection.purpose = Purpose::Http;
            connection.purpose_since = context.now;
        }
    }

    /// Removes a connection that the peer closed or that failed with an I/O error.
    pub(crate) fn on_closed(
        &mut self,
        context: &mut StepContext,
        inbound: InboundId,
        error: Option<&str>,
    ) {
        if let (Some(connection), Some(error)) = (self.open.remove(&inbound), error) {
            context.count(Counter::InboundFailed);
            context.log(Severity::Info, "connection ended", || {
                format!("{}: {error}", connection.peer)
            });
        }
    }

    fn close(
        &mut self,
        context: &mut StepContext,
        inbound: InboundId,
        reason: &str,
        last_frame: Option<Bytes>,
    ) {
        if let Some(connection) = self.open.remove(&inbound) {
            context.count(Counter::InboundClosed);
            context.log(Severity::Warning, "connection closed", || {
                format!("{}: {reason}", connection.peer)
            });
            context.request(Effect::CloseInbound {
                inbound,
                last_frame,
            });
        }
    }

    /// Closes a connection because of its last message, after sending it the reason.
    fn reject(&mut self, context: &mut StepContext, inbound: InboundId, reason: &'static str) {
        context.count(Counter::InboundRejected);
        self.close(context, inbound, reason, Some(frames::refused(reason)));
    }

    /// Handles a message: a ping, a registration or, from collectors, a report.
    pub(crate) fn on_message(
        &mut self,
        context: &mut StepContext,
        inbound: InboundId,
        message: &Bytes,
        validator: &ReportValidator,
    ) {
        let Some(connection) = self.open.get_mut(&inbound) else {
            return;
        };
        connection.last_message_at = context.now;
        let is_collector = connection.is_collector();
        match frames::decode(message) {
            Err(MessageError::NotAnObject(error)) => {
                context.count(Counter::MessagesUnreadable);
                context.log(Severity::Info, "message", || {
                    format!("no JSON object ({error})")
                });
                self.reject(context, inbound, UNREADABLE);
            }
            Ok(Message::Ping) => context.request(Effect::SendInbound {
                inbound,
                frame: frames::pong(),
            }),
            Ok(Message::RegisterCollector { zone }) if validator.zone(&zone).is_some() => {
                if !is_collector {
                    self.register_collector(context, inbound, &zone);
                }
            }
            _ if !is_collector => self.reject(context, inbound, NOT_SERVED),
            decoded => {
                if let Err(skipped) = handle_report(context, decoded, validator) {
                    skipped.log(context, message);
                }
            }
        }
    }

    /// Registers a collector. If there are too many, it replaces the one that has been inactive longest, or is rejected
    /// if none has been inactive for [`COLLECTOR_INACTIVITY_TIMEOUT`].
    fn register_collector(&mut self, context: &mut StepContext, inbound: InboundId, zone: &str) {
        if self.collector_count() >= self.limits.max_collectors {
            match self.inactive_collector(context.now) {
                Some(inactive) => {
                    self.close(context, inactive, "silent, another collector joins", None);
                }
                None => return self.reject(context, inbound, "too many collectors"),
            }
        }
        if let Some(connection) = self.open.get_mut(&inbound) {
            connection.purpose = Purpose::Collector;
            connection.purpose_since = context.now;
            context.log(Severity::Info, "collector", || {
                format!("{} collects for {zone}", connection.peer)
            });
        }
    }

    /// Returns the collector that has been inactive longest, if it exceeds [`COLLECTOR_INACTIVITY_TIMEOUT`].
    fn inactive_collector(&self, now: Ms) -> Option<InboundId> {
        let (inbound, connection) = self
            .open
            .iter()
            .filter(|(_, connection)| connection.is_collector())
            .min_by(|a, b| a.1.last_message_at.total_cmp(&b.1.last_message_at))?;
        (now - connection.last_message_at > millis(COLLECTOR_INACTIVITY_TIMEOUT))
            .then_some(*inbound)
    }

    /// Closes expired connections; returns the next deadline.
    pub(crate) fn advance(&mut self, context: &mut StepContext) -> Option<Ms> {
        let now = context.now;
        let expired: Vec<InboundId> = self
            .open
            .iter()
            .filter(|(_, connection)| connection.deadline().is_some_and(|at| now >= at))
            .map(|(inbound, _)| *inbound)
            .collect();
        for inbound in expired {
            self.close(context, inbound, "has not joined in time", None);
        }
        self.open
            .values()
            .filter_map(InboundConnection::deadline)
            .reduce(f64::min)
    }
}

/// A message of a collector that is counted, logged and ignored; the connection stays open.
struct SkippedMessage {
    counter: Counter,
    reason: String,
}

impl SkippedMessage {
    fn new(counter: Counter, reason: impl Display) -> SkippedMessage {
        SkippedMessage {
            counter,
            reason: reason.to_string(),
        }
    }

    fn log(&self, context: &mut StepContext, message: &Bytes) {
        context.count(self.counter);
        context.log(Severity::Info, "report skipped", || {
            format!("{}: {}", self.reason, String::from_utf8_lossy(message))
        });
    }
}

/// Validates a message of a collector and queues it as an event for the policy.
fn handle_report(
    context: &mut StepContext,
    decoded: Result<Message, MessageError>,
    validator: &ReportValidator,
) -> Result<(), SkippedMessage> {
    match decoded {
        Ok(Message::HostReport(report)) => handle_host_report(context, report, validator),
        Ok(Message::TrafficReport(report)) => handle_traffic_report(context, &report, validator),
        Ok(Message::RegisterCollector { .. }) => Err(SkippedMessage::new(
            Counter::MessagesUnexpected,
            "collector of an unknown zone",
        )),
        Ok(Message::Unknown(_) | Message::Ping) => Err(SkippedMessage::new(
            Counter::MessagesUnexpected,
            "not a report",
        )),
        Err(MessageError::InvalidField(name)) => {
            Err(SkippedMessage::new(Counter::MessagesInvalid, name))
        }
        Err(MessageError::NotAnObject(error)) => {
            Err(SkippedMessage::new(Counter::MessagesUnreadable, error))
        }
    }
}

fn handle_host_report(
    context: &mut StepContext,
    report: HostReport,
    validator: &ReportValidator,
) -> Result<(), SkippedMessage> {
    let Some(host) = validator.host(&report.host) else {
        // Reports on a host may arrive after its removal from the list and are not worth a log line.
        context.count(Counter::HostReportsUnlisted);
        return Ok(());
    };
    let event = validator
        .host_report(report, host)
        .map_err(|error| SkippedMessage::new(Counter::HostReportsInvalid, error))?;
    emit_report(context, Counter::HostReports, event);
    Ok(())
}

fn handle_traffic_report(
    context: &mut StepContext,
    report: &TrafficReport,
    validator: &ReportValidator,
) -> Result<(), SkippedMessage> {
    let event = validator
        .traffic_report(report)
        .map_err(|error| SkippedMessage::new(Counter::TrafficReportsInvalid, error))?;
    emit_report(context, Counter::TrafficReports, event);
    Ok(())
}

fn emit_report(context: &mut StepContext, counter: Counter, event: Event) {
    context.count(counter);
    context.emit(event);
}

//! Whoever connects to the director's address. A connection is unidentified until it registers as a collector; only then
//! it may report. All others get the answer that they are owed, and are closed.

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

/// Within this a connection must have registered: a stranger is owed an answer or a close within 3 s.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1200);
/// Within this a page must have been served.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// After this without a message a collector may be closed for another one that registers: it reports each second.
const COLLECTOR_SILENCE: Duration = Duration::from_secs(5);

/// What a peer is told that sends anything but a ping before it has registered.
const NOT_SERVED: &str = "only a collector of a known zone is served";
/// What a peer is told whose message can't be read.
const UNREADABLE: &str = "a message can't be read";

/// What a connection is for. One that is closed is forgotten.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Purpose {
    Unidentified,
    /// It has asked for a page by HTTP.
    Page,
    /// It has registered as a collector.
    Collector,
}

struct InboundConnection {
    purpose: Purpose,
    /// Who it is, for the log.
    peer: String,
    /// When its purpose became known; its beginning before that.
    since: Ms,
    last_message_at: Ms,
}

impl InboundConnection {
    fn is_collector(&self) -> bool {
        self.purpose == Purpose::Collector
    }

    /// When it is closed if nothing more is known of it.
    fn deadline(&self) -> Option<Ms> {
        match self.purpose {
            Purpose::Unidentified => Some(self.since + millis(REGISTRATION_TIMEOUT)),
            Purpose::Page => Some(self.since + millis(PAGE_TIMEOUT)),
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

    /// Whether a connection has registered as a collector.
    pub(crate) fn is_collector(&self, inbound: InboundId) -> bool {
        self.open
            .get(&inbound)
            .is_some_and(InboundConnection::is_collector)
    }

    /// Somebody connected. Where there are too many, the first of those that have not registered is closed: that is never a
    /// collector, which registers at once.
    pub(crate) fn opened(&mut self, context: &mut StepContext, inbound: InboundId, peer: String) {
        let connection = InboundConnection {
            purpose: Purpose::Unidentified,
            peer,
            since: context.now,
            last_message_at: context.now,
        };
        self.open.insert(inbound, connection);
        if self.open.len() > self.limits.max_inbound {
            let first = self
                .open
                .iter()
                .filter(|(_, connection)| !connection.is_collector())
                .min_by(|a, b| a.1.since.total_cmp(&b.1.since))
                .map(|(first, _)| *first);
            let first = first.unwrap_or(inbound);
            self.close(context, first, "too many connections", None);
        }
    }

    /// A connection asks for a page.
    pub(crate) fn page_requested(&mut self, context: &StepContext, inbound: InboundId) {
        if let Some(connection) = self.open.get_mut(&inbound) {
            connection.purpose = Purpose::Page;
            connection.since = context.now;
        }
    }

    /// A connection has ended, with an error or as usual.
    pub(crate) fn closed(
        &mut self,
        context: &mut StepContext,
        inbound: InboundId,
        error: Option<&str>,
    ) {
        if let (Some(connection), Some(error)) = (self.open.remove(&inbound), error) {
            context.count(Counter::InboundBroken);
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

    /// Closes a connection that may not send what it sent, and tells it why.
    fn reject(&mut self, context: &mut StepContext, inbound: InboundId, reason: &'static str) {
        context.count(Counter::InboundRejected);
        self.close(context, inbound, reason, Some(frames::refused(reason)));
    }

    /// A message came.
    pub(crate) fn message_received(
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
                if let Err(skipped) = take_report(context, decoded, validator) {
                    skipped.log(context, message);
                }
            }
        }
    }

    /// Registers a collector. Where there are too many, it takes the place of one that has long been silent.
    fn register_collector(&mut self, context: &mut StepContext, inbound: InboundId, zone: &str) {
        if self.collector_count() >= self.limits.max_collectors {
            match self.silent_collector(context.now) {
                Some(silent) => {
                    self.close(context, silent, "silent, another collector joins", None);
                }
                None => return self.reject(context, inbound, "too many collectors"),
            }
        }
        if let Some(connection) = self.open.get_mut(&inbound) {
            connection.purpose = Purpose::Collector;
            connection.since = context.now;
            context.log(Severity::Info, "collector", || {
                format!("{} collects for {zone}", connection.peer)
            });
        }
    }

    /// The collector that has been silent the longest, if that is too long.
    fn silent_collector(&self, now: Ms) -> Option<InboundId> {
        let (inbound, connection) = self
            .open
            .iter()
            .filter(|(_, connection)| connection.is_collector())
            .min_by(|a, b| a.1.last_message_at.total_cmp(&b.1.last_message_at))?;
        (now - connection.last_message_at > millis(COLLECTOR_SILENCE)).then_some(*inbound)
    }

    /// Does what is due; returns when it wants to be called again.
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

/// A message of a collector that does not reach the policy. The messages around it are good.
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

/// Hands the report of a collector to the policy.
fn take_report(
    context: &mut StepContext,
    decoded: Result<Message, MessageError>,
    validator: &ReportValidator,
) -> Result<(), SkippedMessage> {
    match decoded {
        Ok(Message::HostReport(report)) => take_host_report(context, report, validator),
        Ok(Message::TrafficReport(report)) => take_traffic_report(context, &report, validator),
        Ok(Message::RegisterCollector { .. }) => Err(SkippedMessage::new(
            Counter::MessagesUnexpected,
            "collector of an unknown zone",
        )),
        Ok(Message::Unknown(_) | Message::Ping) => Err(SkippedMessage::new(
            Counter::MessagesUnexpected,
            "of a kind that is no report",
        )),
        Err(MessageError::InvalidField(name)) => {
            Err(SkippedMessage::new(Counter::MessagesInvalid, name))
        }
        Err(MessageError::NotAnObject(error)) => {
            Err(SkippedMessage::new(Counter::MessagesUnreadable, error))
        }
    }
}

fn take_host_report(
    context: &mut StepContext,
    report: HostReport,
    validator: &ReportValidator,
) -> Result<(), SkippedMessage> {
    let Some(host) = validator.host(&report.host) else {
        // The last reports on a host may come after the list has forgotten it.
        context.count(Counter::HostReportsUnlisted);
        return Ok(());
    };
    let event = validator
        .host_report(report, host)
        .map_err(|error| SkippedMessage::new(Counter::HostReportsInvalid, error))?;
    accept(context, Counter::HostReports, event);
    Ok(())
}

fn take_traffic_report(
    context: &mut StepContext,
    report: &TrafficReport,
    validator: &ReportValidator,
) -> Result<(), SkippedMessage> {
    let event = validator
        .traffic_report(report)
        .map_err(|error| SkippedMessage::new(Counter::TrafficReportsInvalid, error))?;
    accept(context, Counter::TrafficReports, event);
    Ok(())
}

fn accept(context: &mut StepContext, counter: Counter, event: Event) {
    context.count(counter);
    context.emit(event);
}

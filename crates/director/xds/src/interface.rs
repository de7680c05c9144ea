//! What crosses the package's boundary: inputs that were read from sockets, and effects to be carried out on them.

use crate::messages::{OrcaLoadReport, Request, Response};
use rushcourse_policy::interface::{HostId, Ms};

/// A stream that a peer opened. Numbers rise and are never used twice in a run of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// A connection, which may carry many streams. Numbers rise and are never used twice in a run of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// One attempt to hold a report stream to a host; tells its inputs from those of earlier attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DialId(pub u64);

/// The method of the service that a stream calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamKind {
    /// Aggregated discovery, state of the world (`StreamAggregatedResources`).
    StateOfTheWorld,
    /// Aggregated discovery, incremental (`DeltaAggregatedResources`).
    Delta,
    /// Load reports of proxies (`StreamLoadStats`).
    LoadReporting,
}

/// What was read from a socket, or happened to one.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A peer opened a stream.
    StreamOpened {
        /// The new stream.
        stream: StreamId,
        /// The connection that carries it.
        connection: ConnectionId,
        /// What it is for.
        kind: StreamKind,
        /// The peer's address, for the log.
        peer: String,
    },
    /// A request came on a stream.
    RequestReceived {
        /// The stream.
        stream: StreamId,
        /// What came.
        request: Request,
    },
    /// The transport has accepted the last response: there is room for another one.
    ResponseAccepted {
        /// The stream.
        stream: StreamId,
    },
    /// The stream has ended, by its peer or by the transport.
    StreamClosed {
        /// The stream.
        stream: StreamId,
        /// What went wrong; empty where its peer ended it properly.
        reason: String,
    },
    /// A report stream to a host is open.
    ReportStreamOpened {
        /// The host.
        host: HostId,
        /// The attempt that succeeded.
        dial: DialId,
    },
    /// A host reported its load.
    ReportReceived {
        /// The host.
        host: HostId,
        /// The report stream's attempt.
        dial: DialId,
        /// What it reported.
        report: OrcaLoadReport,
    },
    /// A report stream ended, or could not be opened.
    ReportStreamClosed {
        /// The host.
        host: HostId,
        /// The attempt that failed or ended.
        dial: DialId,
        /// Why.
        reason: String,
    },
}

/// The gRPC status that a stream ends with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusCode {
    /// The first request names no node, or a zone that doesn't exist.
    InvalidArgument,
    /// It didn't identify itself, or report, in time.
    DeadlineExceeded,
    /// Its node is not known here.
    PermissionDenied,
    /// Another stream of its proxy is alive.
    AlreadyExists,
    /// Too many streams, proxies or names.
    ResourceExhausted,
    /// Another stream took its place.
    Aborted,
    /// It reads nothing, or the director ends.
    Unavailable,
}

/// What is to be done on sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a response. At most one is with the transport: the next one comes after `Input::ResponseAccepted`.
    SendResponse {
        /// The stream.
        stream: StreamId,
        /// What to send.
        response: Response,
    },
    /// End a stream.
    EndStream {
        /// The stream.
        stream: StreamId,
        /// Its status code.
        status: StatusCode,
        /// Its status message.
        message: String,
    },
    /// Open a report stream to a host.
    OpenReportStream {
        /// The host.
        host: HostId,
        /// This attempt; all inputs of the stream name it.
        dial: DialId,
        /// Where the host listens: host:port.
        address: String,
        /// ms between two reports, as asked of the host.
        report_interval: Ms,
    },
    /// Give up a report stream, open or not.
    CloseReportStream {
        /// The host.
        host: HostId,
        /// The attempt to give up.
        dial: DialId,
    },
}

//! The state machine's boundary: inputs read from the network, and effects for the transport to execute.

use crate::messages::{OrcaLoadReport, Request, Response};
use rushcourse_policy::interface::{HostId, Ms};

/// A stream opened by a peer. Ids increase and aren't reused within a run of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u64);

/// A connection, which may carry many streams. Ids increase and aren't reused within a run of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// One attempt to open a report stream to a host. Inputs that carry the id of an earlier attempt are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DialId(pub u64);

/// The RPC that a stream belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamKind {
    /// Aggregated discovery, state of the world (`StreamAggregatedResources`).
    StateOfTheWorld,
    /// Aggregated discovery, incremental (`DeltaAggregatedResources`).
    Delta,
    /// Load reports of proxies (`StreamLoadStats`).
    LoadReporting,
}

/// A network event for [`Streams::step`](crate::Streams::step).
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A peer opened a stream.
    StreamOpened {
        /// Id of the new stream.
        stream: StreamId,
        /// The connection that carries the stream.
        connection: ConnectionId,
        /// The RPC that the peer called.
        kind: StreamKind,
        /// The peer's address; used in log lines.
        peer: String,
    },
    /// A stream received a request.
    RequestReceived {
        /// The stream that received the request.
        stream: StreamId,
        /// The decoded request.
        request: Request,
    },
    /// The transport accepted the previous response and has room for another one.
    ResponseAccepted {
        /// The stream that the response was sent on.
        stream: StreamId,
    },
    /// The peer or the transport ended the stream.
    StreamClosed {
        /// The stream that has ended.
        stream: StreamId,
        /// What failed; empty if the peer ended the stream normally.
        reason: String,
    },
    /// A report stream to a host is open.
    ReportStreamOpened {
        /// Name of the host in the membership list.
        host: HostId,
        /// The dial attempt that opened the stream.
        dial: DialId,
    },
    /// A host reported its load.
    ReportReceived {
        /// Name of the host in the membership list.
        host: HostId,
        /// The dial attempt that opened the report stream.
        dial: DialId,
        /// The decoded report, not yet validated.
        report: OrcaLoadReport,
    },
    /// A report stream ended or couldn't be opened.
    ReportStreamClosed {
        /// Name of the host in the membership list.
        host: HostId,
        /// The dial attempt that failed or whose stream ended.
        dial: DialId,
        /// The transport's error text; used in log lines.
        reason: String,
    },
}

/// The gRPC status that a stream ends with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusCode {
    /// The first request has no node, or names an unknown zone.
    InvalidArgument,
    /// The peer didn't identify itself or didn't report in time.
    DeadlineExceeded,
    /// The node id maps to no proxy.
    PermissionDenied,
    /// Another active stream belongs to the same proxy.
    AlreadyExists,
    /// A limit on streams, proxies or resource names is exceeded.
    ResourceExhausted,
    /// A newer stream of the same proxy, or its connection through the platform's relay, replaced this one.
    Aborted,
    /// The peer doesn't read its responses, or the director is shutting down.
    Unavailable,
}

/// An operation for the transport to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a response. The next one on the stream follows only after `Input::ResponseAccepted`.
    SendResponse {
        /// The stream to send on.
        stream: StreamId,
        /// The response to encode and send.
        response: Response,
    },
    /// End a stream with a gRPC status.
    EndStream {
        /// The stream to end.
        stream: StreamId,
        /// The gRPC status code.
        status: StatusCode,
        /// The gRPC status message.
        message: String,
    },
    /// Open a report stream to a host.
    OpenReportStream {
        /// Name of the host in the membership list.
        host: HostId,
        /// Id of this attempt; all inputs that concern the stream carry it.
        dial: DialId,
        /// The host's address, as host:port.
        address: String,
        /// Interval between two reports to request from the host, in ms.
        report_interval: Ms,
    },
    /// Close a report stream, or abandon the attempt to open it.
    CloseReportStream {
        /// Name of the host in the membership list.
        host: HostId,
        /// The attempt whose stream is closed.
        dial: DialId,
    },
}

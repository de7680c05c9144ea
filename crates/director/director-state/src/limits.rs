//! Bounds on connections and buffers, derived from the memory and descriptor limits of the process.
//!
//! Without gRPC, the memory limit is divided as follows: an eighth each for buffered inbound messages, for the list of
//! hosts and for queued calls, and a quarter for incomplete messages of collectors. The remainder covers the program
//! itself and unregistered connections. A quarter of the descriptors is reserved for the director's own use.
//!
//! With gRPC, a quarter of the memory goes to connections of proxies, and incomplete messages of collectors get an
//! eighth. Fewer connections are accepted at the director's listening address, and the remaining descriptors are used
//! for proxies, except for a quarter that is used for load report streams to hosts if those are enabled.

/// Resource limits of the process, as configured by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// Memory in MiB; an infinite value means no limit.
    pub memory_mb: f64,
    /// Maximum number of open file descriptors.
    pub descriptors: usize,
}

/// Bounds on the connections and buffers of a session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionLimits {
    /// Connections at the director's listening address.
    pub max_inbound: usize,
    /// Connections at the listening address that may be registered as collectors.
    pub max_collectors: usize,
    /// KiB of inbound messages that are being read or wait for the event loop.
    pub max_buffered_kib: usize,
    /// Size limit for a response of the discovery service, in bytes.
    pub max_list_bytes: usize,
    /// Bytes of orders in queued calls from which on the policy is not run.
    pub max_queued_call_bytes: usize,
}

/// Bounds on the gRPC server, in addition to [`SessionLimits`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrpcLimits {
    /// Connections accepted from proxies.
    pub max_connections: usize,
    /// Size limit for a message of a proxy, in bytes.
    pub max_message_bytes: usize,
    /// Limits for the streams on these connections and for load report streams to hosts.
    pub streams: rushcourse_xds::StreamLimits,
}

/// Minimum number of descriptors reserved for the log, signals, timers, the listener, the relay, discovery and health
/// checks.
pub const RESERVED_DESCRIPTORS: usize = 64;
/// Upper bound on the memory of a proxy connection in KiB: flow-control window, a partial message, responses and HTTP/2
/// state.
pub const GRPC_CONNECTION_KIB: usize = 64 + GRPC_MESSAGE_KIB + 32;

/// Upper bound on connections at the listening address, whatever the descriptor limit.
const MAX_INBOUND: usize = 256;
const MAX_COLLECTORS: usize = 64;
/// Upper bound on connections at the listening address if proxies connect by gRPC.
const MAX_INBOUND_WITH_GRPC: usize = 64;
/// Size limit for a message of a proxy in KiB; a load report on 30 hosts and four classes takes 16 KiB.
const GRPC_MESSAGE_KIB: usize = 64;
/// One stream for tables and one for load reports, doubled to let a proxy open replacements before it closes them.
const STREAMS_PER_CONNECTION: usize = 4;
const MAX_UNIDENTIFIED_STREAMS: usize = 256;
/// Memory limit in MiB above which [`SessionLimits`] do not increase further.
const MAX_SESSION_MEMORY_MB: f64 = 1024.0;
/// Memory limit in MiB above which [`GrpcLimits`] do not increase further.
const MAX_GRPC_MEMORY_MB: f64 = 16_384.0;
/// Smallest memory limit in MiB that bounds are derived from.
const MIN_MEMORY_MB: f64 = 8.0;
/// Memory in MiB that bounds are derived from if the process has no limit.
const UNLIMITED_MEMORY_MB: f64 = 1024.0;

impl ProcessLimits {
    /// Returns the bounds of a session whose proxies are all reached by the relay.
    pub fn session_limits(self) -> SessionLimits {
        let kib = self.memory_kib(MAX_SESSION_MEMORY_MB);
        let max_inbound = self
            .descriptors
            .saturating_sub(self.reserved_descriptors())
            .clamp(16, MAX_INBOUND);
        // An incomplete message of a collector takes up to 1 MiB.
        let max_collectors = (kib / 4 / 1024)
            .clamp(4, MAX_COLLECTORS)
            .min(max_inbound / 2);
        SessionLimits {
            max_inbound,
            max_collectors,
            max_buffered_kib: kib / 8,
            max_list_bytes: kib * 128,
            max_queued_call_bytes: kib * 128,
        }
    }

    /// Returns the bounds of a session that runs next to a gRPC server.
    pub fn session_limits_with_grpc(self) -> SessionLimits {
        let without_grpc = self.session_limits();
        let max_inbound = without_grpc
            .max_inbound
            .min(MAX_INBOUND_WITH_GRPC)
            .min(self.descriptors / 4)
            .max(8);
        let max_collectors = (without_grpc.max_buffered_kib / 1024)
            .clamp(4, MAX_COLLECTORS)
            .min(max_inbound / 2);
        SessionLimits {
            max_inbound,
            max_collectors,
            ..without_grpc
        }
    }

    /// Returns the bounds of the gRPC server. `allowed_streams` is the limit set by the operator, if any;
    /// `request_host_reports` reserves descriptors for load report streams to hosts.
    pub fn grpc_limits(
        self,
        allowed_streams: Option<usize>,
        request_host_reports: bool,
    ) -> GrpcLimits {
        // Deployments with thousands of proxies need more than a session may use.
        let kib = self.memory_kib(MAX_GRPC_MEMORY_MB);
        let max_inbound = self.session_limits_with_grpc().max_inbound;
        let available = self
            .descriptors
            .saturating_sub(self.reserved_descriptors() + max_inbound);
        let for_hosts = if request_host_reports {
            available / 4
        } else {
            0
        };
        let max_connections = (kib / 4 / GRPC_CONNECTION_KIB)
            .min(available - for_hosts)
            .max(4);
        let max_streams =
            (STREAMS_PER_CONNECTION * max_connections).min(allowed_streams.unwrap_or(usize::MAX));
        GrpcLimits {
            max_connections,
            max_message_bytes: GRPC_MESSAGE_KIB * 1024,
            streams: rushcourse_xds::StreamLimits {
                max_streams,
                max_unidentified: (max_streams / 4).clamp(4, MAX_UNIDENTIFIED_STREAMS),
                max_report_streams: for_hosts,
            },
        }
    }

    fn memory_kib(self, max_mb: f64) -> usize {
        let mb = if self.memory_mb.is_finite() {
            self.memory_mb.clamp(MIN_MEMORY_MB, max_mb)
        } else {
            UNLIMITED_MEMORY_MB
        };
        (mb * 1024.0) as usize
    }

    /// Descriptors that are not available to inbound connections, proxies or hosts.
    fn reserved_descriptors(self) -> usize {
        RESERVED_DESCRIPTORS.max(self.descriptors / 4)
    }
}

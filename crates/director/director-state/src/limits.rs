//! What may be held at a time, derived from the limits of the process: the one place where they meet.
//!
//! Memory, in parts of the limit: messages that wait for the loop an eighth, messages of collectors that are not
//! complete a quarter, lists an eighth, calls that wait an eighth. The program itself, its model of 400 proxies
//! and 256 strangers with a small message each take 8 MB. Descriptors: a quarter stays for the director's own.
//!
//! With gRPC, connections of proxies take a quarter of the memory, messages of collectors an eighth, and connections at
//! the director's own address are fewer: what descriptors are left go to proxies, and a quarter of them to hosts.

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// Memory in MB.
    pub memory_mb: f64,
    /// File descriptors.
    pub descriptors: usize,
}

/// What a session may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionLimits {
    /// Connections at the director's address.
    pub max_inbound: usize,
    /// Those of them that may have registered as collectors.
    pub max_collectors: usize,
    /// KiB of messages at the director's address that are being read or wait for the loop.
    pub max_buffered_kib: usize,
    /// Bytes of a list of discovery.
    pub max_list_bytes: usize,
    /// Bytes of calls that wait.
    pub max_queued_call_bytes: usize,
}

/// What gRPC may hold beside that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrpcLimits {
    /// Connections of proxies.
    pub max_connections: usize,
    /// Bytes of a proxy's message.
    pub max_message_bytes: usize,
    /// Streams on these connections, and streams to hosts.
    pub streams: rushcourse_xds::StreamLimits,
}

/// Descriptors of the director's own: log, signals, timers, listener, relay, discovery, health checks; some to spare.
pub const RESERVED_DESCRIPTORS: usize = 64;
/// KiB that a connection of a proxy takes at most: its window, a message in the making, responses, and what HTTP/2 keeps.
pub const GRPC_CONNECTION_KIB: usize = 64 + GRPC_MESSAGE_KIB + 32;

/// More connections than this are never of use.
const MAX_INBOUND: usize = 256;
const MAX_COLLECTORS: usize = 64;
/// Connections at the director's own address where proxies come by gRPC.
const MAX_INBOUND_BESIDE_GRPC: usize = 64;
/// KiB of a proxy's message: a report on 30 hosts in four classes takes 16.
const GRPC_MESSAGE_KIB: usize = 64;
/// Streams to a connection: tables, loads, and their successors while a proxy changes over.
const STREAMS_PER_CONNECTION: usize = 4;
const MAX_UNIDENTIFIED_STREAMS: usize = 256;
/// MB of memory beyond which a session does not grow any more.
const MAX_SESSION_MEMORY_MB: f64 = 1024.0;
/// MB of memory beyond which nothing grows any more.
const MAX_GRPC_MEMORY_MB: f64 = 16_384.0;
/// MB that the smallest process is taken to have, and one without a limit where proxies come by gRPC.
const MIN_MEMORY_MB: f64 = 8.0;
const UNLIMITED_MEMORY_MB: f64 = 1024.0;

impl ProcessLimits {
    /// What a session may hold without gRPC.
    pub fn session_limits(self) -> SessionLimits {
        let kib = self.memory_kib(MAX_SESSION_MEMORY_MB);
        let max_inbound = self
            .descriptors
            .saturating_sub(self.reserved_descriptors())
            .clamp(16, MAX_INBOUND);
        // A message that is not complete takes up to 1 MiB.
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

    /// What a session may hold beside gRPC.
    pub fn session_limits_with_grpc(self) -> SessionLimits {
        let alone = self.session_limits();
        let max_inbound = alone
            .max_inbound
            .min(MAX_INBOUND_BESIDE_GRPC)
            .min(self.descriptors / 4)
            .max(8);
        let max_collectors = (alone.max_buffered_kib / 1024)
            .clamp(4, MAX_COLLECTORS)
            .min(max_inbound / 2);
        SessionLimits {
            max_inbound,
            max_collectors,
            ..alone
        }
    }

    /// What gRPC may hold. `allowed_streams` is what an operator allows, `request_host_reports` whether hosts are asked for their load.
    pub fn grpc_limits(
        self,
        allowed_streams: Option<usize>,
        request_host_reports: bool,
    ) -> GrpcLimits {
        // What proxies may take follows the whole limit: an install of thousands has it.
        let kib = self.memory_kib(MAX_GRPC_MEMORY_MB);
        let max_inbound = self.session_limits_with_grpc().max_inbound;
        let free = self
            .descriptors
            .saturating_sub(self.reserved_descriptors() + max_inbound);
        let for_hosts = if request_host_reports { free / 4 } else { 0 };
        let max_connections = (kib / 4 / GRPC_CONNECTION_KIB).min(free - for_hosts).max(4);
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

    /// Descriptors that stay for the director's own.
    fn reserved_descriptors(self) -> usize {
        RESERVED_DESCRIPTORS.max(self.descriptors / 4)
    }
}

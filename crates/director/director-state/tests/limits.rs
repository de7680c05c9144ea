//! Session and gRPC limits derived from the limits of the process.

use rushcourse_director_state::{
    GRPC_CONNECTION_KIB, ProcessLimits, RESERVED_DESCRIPTORS, SessionLimits,
};

/// Processes of increasing size, each above the minimum that limits are clamped to.
const PROCESSES: [ProcessLimits; 4] = [
    process(32.0, 256),
    process(48.0, 384),
    process(192.0, 1024),
    process(2048.0, 65_536),
];
/// Maximum size of an incomplete message of a collector, in bytes. [`UNREGISTERED_BYTES`] is that of other peers.
const COLLECTOR_BYTES: usize = 1 << 20;
const UNREGISTERED_BYTES: usize = 16 * 1024;

const fn process(memory_mb: f64, descriptors: usize) -> ProcessLimits {
    ProcessLimits {
        memory_mb,
        descriptors,
    }
}

/// Upper bound on the memory that a session uses for connections and buffers.
fn session_bytes(session: SessionLimits) -> usize {
    session.max_buffered_kib * 1024
        + session.max_collectors * COLLECTOR_BYTES
        + session.max_list_bytes
        + session.max_queued_call_bytes
        + session.max_inbound * UNREGISTERED_BYTES
}

#[test]
fn session_limits_fit_into_the_process_limits() {
    for process in PROCESSES {
        let session = process.session_limits();
        assert!(
            session.max_inbound + RESERVED_DESCRIPTORS <= process.descriptors,
            "{session:?}"
        );
        assert!(
            session.max_collectors >= 8 && session.max_collectors < session.max_inbound,
            "{session:?}"
        );
        let bytes = session_bytes(session);
        assert!(
            (bytes as f64) < 0.8 * process.memory_mb * 1024.0 * 1024.0,
            "{process:?}: {bytes}"
        );
    }
}

#[test]
fn session_and_grpc_limits_fit_into_the_process_limits() {
    for process in PROCESSES {
        for request_host_reports in [false, true] {
            let session = process.session_limits_with_grpc();
            let grpc = process.grpc_limits(None, request_host_reports);
            let for_hosts = grpc.streams.max_report_streams;
            assert!(
                session.max_inbound + grpc.max_connections + for_hosts + RESERVED_DESCRIPTORS
                    <= process.descriptors,
                "{session:?} {grpc:?}"
            );
            assert!(
                session.max_collectors >= 4
                    && grpc.max_connections >= 40
                    && (for_hosts >= 16) == request_host_reports,
                "{session:?} {grpc:?}"
            );
            let bytes = session_bytes(session)
                + grpc.max_connections * GRPC_CONNECTION_KIB * 1024
                + for_hosts * 32 * 1024;
            assert!(
                (bytes as f64) < 0.9 * process.memory_mb * 1024.0 * 1024.0,
                "{process:?}: {bytes}"
            );
        }
    }
}

#[test]
fn stream_limit_of_the_operator_is_applied() {
    let grpc = process(192.0, 1024).grpc_limits(Some(10), false);
    assert_eq!(grpc.streams.max_streams, 10);
}

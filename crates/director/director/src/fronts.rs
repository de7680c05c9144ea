//! Loads the operators' fronts file and combines it with the limits of the process.

use rushcourse_director_state::{GrpcLimits, ProcessLimits, SessionLimits};
use rushcourse_grpc::GrpcServerConfig;
use rushcourse_policy::interface::Ms;
use rushcourse_starlark::{FrontsConfig, FrontsError, GrpcConfig, TlsPaths};
use rushcourse_tls::TlsFiles;
use rushcourse_xds::{NodeIdentities, StreamConfig};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Default path of the fronts file, relative to the working directory. It is optional.
const DEFAULT_PATH: &str = "deploy/fronts.star";
/// gRPC connections without streams are closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Location of the fronts file. A file named on the command line must exist; the default one may be missing.
#[derive(Clone, Debug, Default)]
pub(crate) struct FrontsSource {
    named: Option<PathBuf>,
}

/// The fronts to serve, that is, the ways in which proxies are reached.
#[derive(Clone, Debug)]
pub(crate) struct Fronts {
    /// Whether proxies are reached over the platform's relay.
    pub(crate) relay: bool,
    /// Smaller if gRPC is served as well.
    pub(crate) limits: SessionLimits,
    /// `None` if the file doesn't enable gRPC.
    pub(crate) grpc: Option<GrpcFront>,
}

/// Configuration of the gRPC front.
#[derive(Clone, Debug)]
pub(crate) struct GrpcFront {
    /// The session's part: identities, limits and timeouts of streams.
    pub(crate) streams: StreamConfig,
    /// The transport's part: address, connections and TLS.
    pub(crate) server: GrpcServerConfig,
}

impl FrontsSource {
    /// The file with this path; `None` selects `deploy/fronts.star` if it exists.
    pub(crate) fn new(named: Option<PathBuf>) -> FrontsSource {
        FrontsSource { named }
    }

    fn read(&self) -> Result<FrontsConfig, FrontsError> {
        match &self.named {
            Some(path) => rushcourse_starlark::read_fronts(path),
            None if Path::new(DEFAULT_PATH).exists() => {
                rushcourse_starlark::read_fronts(Path::new(DEFAULT_PATH))
            }
            None => Ok(FrontsConfig::default()),
        }
    }

    /// Reads the file and derives limits from those of the process. `incarnation` distinguishes this run of the
    /// director from others.
    pub(crate) fn load(
        &self,
        process: ProcessLimits,
        incarnation: u64,
    ) -> Result<Fronts, FrontsError> {
        let FrontsConfig { grpc, relay } = self.read()?;
        let Some(grpc) = grpc else {
            return Ok(Fronts {
                relay,
                limits: process.session_limits(),
                grpc: None,
            });
        };
        let limits = process.grpc_limits(grpc.max_streams, grpc.ask_hosts);
        Ok(Fronts {
            relay,
            limits: process.session_limits_with_grpc(),
            grpc: Some(GrpcFront {
                streams: stream_config(&grpc, limits, incarnation),
                server: server_config(&grpc, limits),
            }),
        })
    }
}

fn stream_config(grpc: &GrpcConfig, limits: GrpcLimits, incarnation: u64) -> StreamConfig {
    StreamConfig {
        identities: NodeIdentities {
            prefix: grpc.node_prefix.clone(),
            names: grpc.node_names.clone(),
        },
        incarnation,
        limits: limits.streams,
        join_timeout: millis(grpc.join_timeout),
        accept_timeout: millis(grpc.accept_timeout),
        request_host_reports: grpc.ask_hosts,
    }
}

fn server_config(grpc: &GrpcConfig, limits: GrpcLimits) -> GrpcServerConfig {
    GrpcServerConfig {
        listen: grpc.listen,
        max_connections: limits.max_connections,
        max_message_size: limits.max_message_bytes,
        ping_interval: grpc.ping_interval,
        ping_timeout: grpc.ping_timeout,
        idle_timeout: IDLE_TIMEOUT,
        tls: grpc.tls.clone().map(tls_files),
    }
}

fn tls_files(paths: TlsPaths) -> TlsFiles {
    TlsFiles {
        certificate: paths.certificate,
        private_key: paths.private_key,
        authorities: paths.client_authorities,
    }
}

fn millis(span: Duration) -> Ms {
    span.as_millis() as Ms
}

//! Validation of the arguments of `grpc(...)`.

use crate::error::FieldError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Limit on the entries of `node_names`; no more are needed than there are proxies.
const MAX_NODE_NAMES: usize = 10_000;
/// Largest proxy number in `node_names`.
const MAX_PROXY_NUMBER: i32 = 1_000_000;
/// Largest value of `streams`.
const MAX_STREAMS: i32 = 100_000;
/// Largest value of all durations, in ms.
const MAX_MILLIS: i32 = 600_000;

/// Configuration of the gRPC front.
#[derive(Clone, Debug, PartialEq)]
pub struct GrpcConfig {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// A node id consists of this prefix and the proxy's number.
    pub node_prefix: String,
    /// Node ids that don't have the prefix, with the proxy number of each.
    pub node_names: BTreeMap<String, u32>,
    /// Limit on concurrent streams (`streams`); `None` derives it from the process's limits.
    pub max_streams: Option<usize>,
    /// Whether hosts are asked for out-of-band load reports.
    pub ask_hosts: bool,
    /// Time in which a stream has to identify itself (`join_within_ms`).
    pub join_timeout: Duration,
    /// Time in which the transport has to accept a response before the stream is ended (`take_within_ms`).
    pub accept_timeout: Duration,
    /// Interval between two HTTP/2 pings on a connection (`ping_every_ms`).
    pub ping_interval: Duration,
    /// Time in which a ping has to be answered (`ping_within_ms`).
    pub ping_timeout: Duration,
    /// TLS files; connections are unencrypted if this is `None`.
    pub tls: Option<TlsPaths>,
}

/// Paths of PEM files.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsPaths {
    /// The server's certificate chain (`tls_cert`).
    pub certificate: PathBuf,
    /// The private key of `certificate` (`tls_key`).
    pub private_key: PathBuf,
    /// CA certificates that client certificates are verified against (`tls_client_ca`); without them, clients need no
    /// certificate.
    pub client_authorities: Option<PathBuf>,
}

/// Arguments of `grpc(...)`, not yet validated.
pub(crate) struct GrpcArguments<'a> {
    pub(crate) listen: &'a str,
    pub(crate) node_prefix: &'a str,
    pub(crate) node_names: Vec<(String, i32)>,
    pub(crate) streams: i32,
    pub(crate) ask_hosts: bool,
    pub(crate) join_within_ms: i32,
    pub(crate) take_within_ms: i32,
    pub(crate) ping_every_ms: i32,
    pub(crate) ping_within_ms: i32,
    pub(crate) tls_cert: &'a str,
    pub(crate) tls_key: &'a str,
    pub(crate) tls_client_ca: &'a str,
}

impl GrpcArguments<'_> {
    /// Validates the arguments; reports the first invalid one.
    pub(crate) fn check(self) -> Result<GrpcConfig, FieldError> {
        let listen = self
            .listen
            .parse()
            .map_err(|_| FieldError::Listen(self.listen.into()))?;
        if self.node_prefix.is_empty() && self.node_names.is_empty() {
            return Err(FieldError::NoNodeIds);
        }
        let node_names = check_node_names(self.node_names)?;
        let streams = check_range("streams", self.streams, 0, MAX_STREAMS)? as usize;
        let tls = check_tls(self.tls_cert, self.tls_key, self.tls_client_ca)?;
        Ok(GrpcConfig {
            listen,
            node_prefix: self.node_prefix.to_string(),
            node_names,
            max_streams: (streams > 0).then_some(streams),
            ask_hosts: self.ask_hosts,
            join_timeout: check_duration("join_within_ms", self.join_within_ms, 100)?,
            accept_timeout: check_duration("take_within_ms", self.take_within_ms, 1000)?,
            ping_interval: check_duration("ping_every_ms", self.ping_every_ms, 100)?,
            ping_timeout: check_duration("ping_within_ms", self.ping_within_ms, 100)?,
            tls,
        })
    }
}

/// Checks that the proxy numbers are in range and distinct.
fn check_node_names(node_names: Vec<(String, i32)>) -> Result<BTreeMap<String, u32>, FieldError> {
    if node_names.len() > MAX_NODE_NAMES {
        return Err(FieldError::TooManyNodeNames {
            count: node_names.len(),
            max: MAX_NODE_NAMES,
        });
    }
    let mut checked = BTreeMap::new();
    let mut names_by_proxy: BTreeMap<u32, String> = BTreeMap::new();
    for (name, number) in node_names {
        let field = format!("node_names[{name:?}]");
        let proxy = check_range(&field, number, 0, MAX_PROXY_NUMBER)? as u32;
        if let Some(first) = names_by_proxy.insert(proxy, name.clone()) {
            return Err(FieldError::NodeNamedTwice {
                proxy,
                first,
                second: name,
            });
        }
        checked.insert(name, proxy);
    }
    Ok(checked)
}

/// Checks that certificate and key are both present or both empty. Returns `None` if TLS is disabled.
fn check_tls(
    certificate: &str,
    private_key: &str,
    client_authorities: &str,
) -> Result<Option<TlsPaths>, FieldError> {
    if certificate.is_empty() != private_key.is_empty() {
        return Err(FieldError::IncompleteTls);
    }
    if certificate.is_empty() {
        return if client_authorities.is_empty() {
            Ok(None)
        } else {
            Err(FieldError::ClientCaWithoutTls)
        };
    }
    Ok(Some(TlsPaths {
        certificate: certificate.into(),
        private_key: private_key.into(),
        client_authorities: (!client_authorities.is_empty()).then(|| client_authorities.into()),
    }))
}

fn check_range(field: &str, value: i32, min: i32, max: i32) -> Result<i32, FieldError> {
    if (min..=max).contains(&value) {
        Ok(value)
    } else {
        Err(FieldError::OutOfRange {
            field: field.into(),
            min,
            max,
            value,
        })
    }
}

fn check_duration(field: &str, value: i32, min: i32) -> Result<Duration, FieldError> {
    let value = check_range(field, value, min, MAX_MILLIS)?;
    Ok(Duration::from_millis(value as u64))
}

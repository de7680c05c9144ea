//! The arguments of `grpc(...)`: how proxies and hosts are reached over gRPC.

use crate::error::FieldError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Entries of `node_names`: no more are needed than there are proxies.
const MAX_NODE_NAMES: usize = 10_000;
/// The largest number of a proxy.
const MAX_PROXY_NUMBER: i32 = 1_000_000;
/// The largest value of `streams`.
const MAX_STREAMS: i32 = 100_000;
/// The largest value of every time, in ms.
const MAX_MILLIS: i32 = 600_000;

/// The gRPC front, as an operator sets it.
#[derive(Clone, Debug, PartialEq)]
pub struct GrpcConfig {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// A node's id is this and the proxy's number.
    pub node_prefix: String,
    /// Ids that don't follow the prefix, and their proxies' numbers.
    pub node_names: BTreeMap<String, u32>,
    /// Streams at a time; nothing: as many as the process's limits allow.
    pub max_streams: Option<usize>,
    /// Hosts are asked for their load, out of band.
    pub ask_hosts: bool,
    /// A stream has to identify itself within this (`join_within_ms`).
    pub join_timeout: Duration,
    /// A stream that reads nothing is ended after this (`take_within_ms`).
    pub accept_timeout: Duration,
    /// Between two HTTP/2 pings (`ping_every_ms`).
    pub ping_interval: Duration,
    /// For the answer to a ping (`ping_within_ms`).
    pub ping_timeout: Duration,
    /// Where the TLS files are; without, connections are plain.
    pub tls: Option<TlsPaths>,
}

/// Files in PEM form.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsPaths {
    /// The server's certificate (`tls_cert`).
    pub certificate: PathBuf,
    /// Its private key (`tls_key`).
    pub private_key: PathBuf,
    /// The authorities of whom clients must show a certificate (`tls_client_ca`).
    pub client_authorities: Option<PathBuf>,
}

/// The arguments as the script gives them.
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
    /// Checks the arguments; the first that is wrong is named.
    pub(crate) fn check(self) -> Result<GrpcConfig, FieldError> {
        let listen = self
            .listen
            .parse()
            .map_err(|_| FieldError::Listen(self.listen.into()))?;
        if self.node_prefix.is_empty() && self.node_names.is_empty() {
            return Err(FieldError::NoNodeIds);
        }
        let node_names = check_node_names(self.node_names)?;
        let streams = in_range("streams", self.streams, 0, MAX_STREAMS)? as usize;
        let tls = check_tls(self.tls_cert, self.tls_key, self.tls_client_ca)?;
        Ok(GrpcConfig {
            listen,
            node_prefix: self.node_prefix.to_string(),
            node_names,
            max_streams: (streams > 0).then_some(streams),
            ask_hosts: self.ask_hosts,
            join_timeout: millis("join_within_ms", self.join_within_ms, 100)?,
            accept_timeout: millis("take_within_ms", self.take_within_ms, 1000)?,
            ping_interval: millis("ping_every_ms", self.ping_every_ms, 100)?,
            ping_timeout: millis("ping_within_ms", self.ping_within_ms, 100)?,
            tls,
        })
    }
}

/// Each name has a number of its own.
fn check_node_names(node_names: Vec<(String, i32)>) -> Result<BTreeMap<String, u32>, FieldError> {
    if node_names.len() > MAX_NODE_NAMES {
        return Err(FieldError::TooManyNodeNames {
            count: node_names.len(),
            max: MAX_NODE_NAMES,
        });
    }
    let mut checked = BTreeMap::new();
    let mut named: BTreeMap<u32, String> = BTreeMap::new();
    for (name, number) in node_names {
        let field = format!("node_names[{name:?}]");
        let proxy = in_range(&field, number, 0, MAX_PROXY_NUMBER)? as u32;
        if let Some(first) = named.insert(proxy, name.clone()) {
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

/// Certificate and key go together; empty stands for none.
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

fn in_range(field: &str, value: i32, min: i32, max: i32) -> Result<i32, FieldError> {
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

fn millis(field: &str, value: i32, min: i32) -> Result<Duration, FieldError> {
    let value = in_range(field, value, min, MAX_MILLIS)?;
    Ok(Duration::from_millis(value as u64))
}

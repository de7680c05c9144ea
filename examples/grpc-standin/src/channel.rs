//! Client channels to a director's gRPC address.

use crate::error::StandinError;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// DNS name in the director's test certificates.
const DIRECTOR_NAME: &str = "director.test";

/// Connects without TLS.
///
/// # Errors
/// Returns an error if the connection can't be established within 5 s.
pub async fn connect(to: SocketAddr) -> Result<Channel, StandinError> {
    let endpoint = Endpoint::from_shared(format!("http://{to}"))?;
    Ok(endpoint.connect_timeout(CONNECT_TIMEOUT).connect().await?)
}

/// Connects with TLS. `authority` is the trusted CA certificate and `own` the client certificate with its key, all in
/// PEM format.
///
/// # Errors
/// Returns an error if the connection can't be established or the handshake fails.
pub async fn connect_tls(
    to: SocketAddr,
    authority: &str,
    own: Option<(&str, &str)>,
) -> Result<Channel, StandinError> {
    let mut tls = ClientTlsConfig::new()
        .ca_certificate(Certificate::from_pem(authority))
        .domain_name(DIRECTOR_NAME);
    if let Some((certificate, key)) = own {
        tls = tls.identity(Identity::from_pem(certificate, key));
    }
    let endpoint = Endpoint::from_shared(format!("https://{to}"))?.tls_config(tls)?;
    Ok(endpoint.connect_timeout(CONNECT_TIMEOUT).connect().await?)
}

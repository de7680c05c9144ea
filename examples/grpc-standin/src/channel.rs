//! Channels to a director.

use crate::error::StandinError;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// The name that a director's certificate bears in tests.
const DIRECTOR_NAME: &str = "director.test";

/// A plain channel.
///
/// # Errors
/// The connection can't be made.
pub async fn connect(to: SocketAddr) -> Result<Channel, StandinError> {
    let endpoint = Endpoint::from_shared(format!("http://{to}"))?;
    Ok(endpoint.connect_timeout(CONNECT_TIMEOUT).connect().await?)
}

/// A channel over TLS, which trusts those whom this certificate (PEM) has signed. It shows a certificate of its own with
/// its key, where they are given.
///
/// # Errors
/// The connection can't be made, or the handshake fails.
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

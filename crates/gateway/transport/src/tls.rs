//! Mutual TLS between nodes, with certificates signed by the authority of the deployment.

use crate::error::SessionError;
use rushcourse_config::{CONTROLLER_DNS_NAME, LEGACY_CONTROLLER_DNS_NAME, PeerKeyFiles};
use rushcourse_messages::{CertifiedIdentity, PeerIdentity};
use rushcourse_tls::{TlsError, TlsFiles};
use rushcourse_types::NodeId;
use std::fmt;
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use tokio::net::TcpStream;
use tokio_rustls::rustls::pki_types::{CertificateDer, ServerName};
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};

/// A certificate, key or authority file (`peers.` settings) is unusable. The message names the file and the reason.
#[derive(Debug)]
pub struct KeysError(TlsError);

impl fmt::Display for KeysError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl std::error::Error for KeysError {}

/// The side that opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// Opened by the peer; this node acts as the TLS server.
    Inbound,
    /// Opened by this node, which acts as the TLS client.
    Outbound,
}

/// TLS server and client configurations with the node's certificate and its trusted authorities.
#[derive(Clone)]
pub(crate) struct SessionKeys {
    acceptor: TlsAcceptor,
    connector: TlsConnector,
}

impl SessionKeys {
    /// Reads and validates the certificate, key and authority files.
    ///
    /// # Errors
    /// Returns an error that names the unusable file.
    pub(crate) fn load(keys: &PeerKeyFiles) -> Result<SessionKeys, KeysError> {
        let files = TlsFiles {
            certificate: keys.certificate.clone().into(),
            private_key: keys.key.clone().into(),
            authorities: Some(keys.authority.clone().into()),
        };
        Ok(SessionKeys {
            acceptor: TlsAcceptor::from(files.server_config(&[]).map_err(KeysError)?),
            connector: TlsConnector::from(files.client_config().map_err(KeysError)?),
        })
    }

    /// Performs the TLS handshake and verifies the names in the peer's certificate.
    ///
    /// # Errors
    /// Returns [`SessionError::BadCertificate`] if TLS data or a certificate is invalid, or [`SessionError::Io`] if the
    /// connection fails.
    pub(crate) async fn establish_tls(
        &self,
        stream: TcpStream,
        address: Ipv4Addr,
        direction: Direction,
    ) -> Result<(TlsStream<TcpStream>, PeerIdentity), SessionError> {
        let name = ServerName::from(IpAddr::from(address));
        let handshake = match direction {
            Direction::Outbound => {
                let connecting = self.connector.connect(name, stream);
                connecting.await.map(TlsStream::from)
            }
            Direction::Inbound => self.acceptor.accept(stream).await.map(TlsStream::from),
        };
        let stream = handshake.map_err(|error| match error.kind() {
            io::ErrorKind::InvalidData => SessionError::BadCertificate(error),
            _ => SessionError::Io(error),
        })?;
        let (_, connection) = stream.get_ref();
        let chain = connection.peer_certificates();
        let identity = PeerIdentity {
            address: NodeId::from(address),
            certificate: Some(certified_identity(chain, address)),
        };
        Ok((stream, identity))
    }
}

/// Verifies the names in the leaf certificate of a chain against the peer's address and the controller name.
fn certified_identity(
    chain: Option<&[CertificateDer<'_>]>,
    address: Ipv4Addr,
) -> CertifiedIdentity {
    let Some(certificate) = chain.and_then(<[_]>::first) else {
        return CertifiedIdentity {
            names_machine: false,
            names_controller: false,
        };
    };
    CertifiedIdentity {
        names_machine: rushcourse_tls::matches_ip_address(certificate, address),
        names_controller: rushcourse_tls::matches_dns_name(certificate, CONTROLLER_DNS_NAME)
            || rushcourse_tls::matches_dns_name(certificate, LEGACY_CONTROLLER_DNS_NAME),
    }
}

//! TLS between nodes: both sides show a certificate of the deployment's authority.

use crate::error::SessionError;
use rushcourse_config::{CONTROLLER_NAME, LEGACY_CONTROLLER_NAME, PeerKeys};
use rushcourse_messages::{CertifiedIdentity, PeerIdentity};
use rushcourse_tls::{TlsError, TlsFiles};
use rushcourse_types::NodeId;
use std::fmt;
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use tokio::net::TcpStream;
use tokio_rustls::rustls::pki_types::{CertificateDer, ServerName};
use tokio_rustls::{TlsAcceptor, TlsConnector, TlsStream};

/// Files for sessions (`peers.` settings) that can't be used: which one, and why.
#[derive(Debug)]
pub struct KeysError(TlsError);

impl fmt::Display for KeysError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl std::error::Error for KeysError {}

/// Which side opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// The peer dialed.
    Inbound,
    /// This node dialed.
    Outbound,
}

/// A node's own certificate and its authorities, ready for both directions.
#[derive(Clone)]
pub(crate) struct SessionKeys {
    acceptor: TlsAcceptor,
    connector: TlsConnector,
}

impl SessionKeys {
    /// Reads and checks the files.
    ///
    /// # Errors
    /// The file that can't be used, and why.
    pub(crate) fn load(keys: &PeerKeys) -> Result<SessionKeys, KeysError> {
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

    /// Makes a connection private, and sees whose certificate the peer shows.
    ///
    /// # Errors
    /// A certificate that the authorities don't vouch for; a connection that broke.
    pub(crate) async fn secure(
        &self,
        stream: TcpStream,
        address: Ipv4Addr,
        direction: Direction,
    ) -> Result<(TlsStream<TcpStream>, PeerIdentity), SessionError> {
        let name = ServerName::from(IpAddr::from(address));
        let secured = match direction {
            Direction::Outbound => {
                let connecting = self.connector.connect(name, stream);
                connecting.await.map(TlsStream::from)
            }
            Direction::Inbound => self.acceptor.accept(stream).await.map(TlsStream::from),
        };
        let stream = secured.map_err(|error| match error.kind() {
            io::ErrorKind::InvalidData => SessionError::BadCertificate(error),
            _ => SessionError::Io(error),
        })?;
        let (_, connection) = stream.get_ref();
        let presented = connection.peer_certificates();
        let identity = PeerIdentity {
            address: NodeId::from(address),
            certificate: Some(certified_identity(presented, address)),
        };
        Ok((stream, identity))
    }
}

/// What the first certificate of a chain, its holder's, says of a node at this address.
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
        names_controller: rushcourse_tls::matches_dns_name(certificate, CONTROLLER_NAME)
            || rushcourse_tls::matches_dns_name(certificate, LEGACY_CONTROLLER_NAME),
    }
}

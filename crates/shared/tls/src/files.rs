//! Server and client configurations that are built from PEM files.

use crate::error::TlsError;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio_rustls::rustls::client::WebPkiServerVerifier;
use tokio_rustls::rustls::crypto::{CryptoProvider, ring};
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig};

/// Paths of the PEM files of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsFiles {
    /// Certificate chain of this endpoint, its own certificate first.
    pub certificate: PathBuf,
    /// Private key of the first certificate.
    pub private_key: PathBuf,
    /// CA certificates that verify the peer. Required for clients; without them, servers accept clients
    /// without a certificate.
    pub authorities: Option<PathBuf>,
}

impl TlsFiles {
    /// Builds a server configuration. Client certificates are required only if `authorities` is set. `alpn` lists the
    /// protocols to offer, in order of preference.
    ///
    /// # Errors
    /// Fails if a file cannot be read or parsed, or if the private key does not match the certificate.
    pub fn server_config(&self, alpn: &[&[u8]]) -> Result<Arc<ServerConfig>, TlsError> {
        let certificates = read_certificates(&self.certificate)?;
        let provider = provider();
        let builder = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(TlsError::Protocol)?;
        let builder = match &self.authorities {
            None => builder.with_no_client_auth(),
            Some(path) => {
                let roots = read_authorities(path)?;
                let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider)
                    .build()
                    .map_err(TlsError::verifier(path))?;
                builder.with_client_cert_verifier(verifier)
            }
        };
        let mut config = builder
            .with_single_cert(certificates, read_private_key(&self.private_key)?)
            .map_err(TlsError::rejected(&self.private_key))?;
        config.alpn_protocols = alpn.iter().map(|protocol| protocol.to_vec()).collect();
        Ok(Arc::new(config))
    }

    /// Builds a client configuration that presents the certificate and verifies the server against `authorities`.
    ///
    /// # Errors
    /// Fails for the same reasons as `server_config`, and if `authorities` is not set.
    pub fn client_config(&self) -> Result<Arc<ClientConfig>, TlsError> {
        let certificates = read_certificates(&self.certificate)?;
        let provider = provider();
        let path = self.authorities.as_deref().ok_or(TlsError::NoAuthorities)?;
        let roots = read_authorities(path)?;
        let verifier = WebPkiServerVerifier::builder_with_provider(roots, provider.clone()).build();
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(TlsError::Protocol)?
            .with_webpki_verifier(verifier.map_err(TlsError::verifier(path))?);
        let config = builder
            .with_client_auth_cert(certificates, read_private_key(&self.private_key)?)
            .map_err(TlsError::rejected(&self.private_key))?;
        Ok(Arc::new(config))
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certificates = CertificateDer::pem_file_iter(path)
        .map_err(TlsError::pem(path))?
        .collect::<Result<Vec<_>, _>>()
        .map_err(TlsError::pem(path))?;
    if certificates.is_empty() {
        return Err(TlsError::NoCertificate { path: path.into() });
    }
    Ok(certificates)
}

fn read_authorities(path: &Path) -> Result<Arc<RootCertStore>, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(path)? {
        roots.add(certificate).map_err(TlsError::rejected(path))?;
    }
    Ok(Arc::new(roots))
}

fn read_private_key(path: &Path) -> Result<PrivateKeyDer<'static>, TlsError> {
    PrivateKeyDer::from_pem_file(path).map_err(TlsError::pem(path))
}

//! Errors of reading TLS files and building configurations from them.

use std::error::Error;
use std::fmt;
use std::path::{Path, PathBuf};
use tokio_rustls::rustls;
use tokio_rustls::rustls::pki_types::pem;
use tokio_rustls::rustls::server::VerifierBuilderError;

/// Error of building a TLS configuration from PEM files.
#[derive(Debug)]
pub enum TlsError {
    /// A file cannot be read, is not valid PEM, or lacks the expected section.
    Pem {
        /// File that was read.
        path: PathBuf,
        /// I/O or syntax error.
        source: pem::Error,
    },
    /// A file contains no certificate.
    NoCertificate {
        /// File that was expected to contain a certificate.
        path: PathBuf,
    },
    /// A CA certificate is invalid, or a private key is invalid or does not match its certificate.
    Rejected {
        /// File with the CA certificates or the private key.
        path: PathBuf,
        /// Reason given by rustls.
        source: rustls::Error,
    },
    /// No certificate verifier can be built from the CA certificates.
    Verifier {
        /// File with the CA certificates.
        path: PathBuf,
        /// Reason given by rustls.
        source: VerifierBuilderError,
    },
    /// A client configuration was requested without a file of CA certificates.
    NoAuthorities,
    /// The crypto provider supports none of the default protocol versions.
    Protocol(rustls::Error),
}

impl TlsError {
    pub(crate) fn pem(path: &Path) -> impl Fn(pem::Error) -> TlsError {
        let path = path.to_path_buf();
        move |source| TlsError::Pem {
            path: path.clone(),
            source,
        }
    }

    pub(crate) fn rejected(path: &Path) -> impl Fn(rustls::Error) -> TlsError {
        let path = path.to_path_buf();
        move |source| TlsError::Rejected {
            path: path.clone(),
            source,
        }
    }

    pub(crate) fn verifier(path: &Path) -> impl Fn(VerifierBuilderError) -> TlsError {
        let path = path.to_path_buf();
        move |source| TlsError::Verifier {
            path: path.clone(),
            source,
        }
    }
}

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TlsError::Pem { path, source } => write!(f, "{}: {source}", path.display()),
            TlsError::NoCertificate { path } => {
                write!(f, "{}: contains no certificate", path.display())
            }
            TlsError::Rejected { path, source } => write!(f, "{}: {source}", path.display()),
            TlsError::Verifier { path, source } => write!(f, "{}: {source}", path.display()),
            TlsError::NoAuthorities => write!(f, "no CA certificate file configured"),
            TlsError::Protocol(source) => write!(f, "{source}"),
        }
    }
}

impl Error for TlsError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            TlsError::Pem { source, .. } => Some(source),
            TlsError::Rejected { source, .. } | TlsError::Protocol(source) => Some(source),
            TlsError::Verifier { source, .. } => Some(source),
            TlsError::NoCertificate { .. } | TlsError::NoAuthorities => None,
        }
    }
}

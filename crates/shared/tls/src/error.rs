//! What can be wrong with TLS files.

use std::error::Error;
use std::fmt;
use std::path::{Path, PathBuf};
use tokio_rustls::rustls;
use tokio_rustls::rustls::pki_types::pem;
use tokio_rustls::rustls::server::VerifierBuilderError;

/// A file that can't be used, or files that don't fit together.
#[derive(Debug)]
pub enum TlsError {
    /// A file can't be read, or holds no PEM section of the wanted kind.
    Pem {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: pem::Error,
    },
    /// A file holds no certificate.
    NoCertificate {
        /// The file.
        path: PathBuf,
    },
    /// A certificate, or the private key that goes with it, can't be used.
    Rejected {
        /// The file of the authorities, or of the private key.
        path: PathBuf,
        /// What is wrong with it.
        source: rustls::Error,
    },
    /// No verifier can be made of the authorities.
    Verifier {
        /// The file of the authorities.
        path: PathBuf,
        /// What is wrong with them.
        source: VerifierBuilderError,
    },
    /// A side that checks certificates has no file of authorities.
    NoAuthorities,
    /// The provider of the cryptography supports no version of the protocol.
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
                write!(f, "{}: no certificate in it", path.display())
            }
            TlsError::Rejected { path, source } => write!(f, "{}: {source}", path.display()),
            TlsError::Verifier { path, source } => write!(f, "{}: {source}", path.display()),
            TlsError::NoAuthorities => write!(f, "no file of authorities"),
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

//! TLS at the gRPC address, with keys that change in service: new connections get the newest, those that stand go on.

use crate::gate::{Bounded, Info};
use std::io;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::sync::{Arc, RwLock};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::{RootCertStore, ServerConfig, crypto::ring};
use tokio_rustls::server::TlsStream;
use tonic::transport::server::Connected;

/// A greeting takes no longer: whoever says none is let go.
const GREETING: Duration = Duration::from_secs(2);

/// Files in PEM form.
#[derive(Clone, Debug, PartialEq)]
pub struct Tls {
    pub cert: PathBuf,
    pub key: PathBuf,
    /// Those who connect must show a certificate of these.
    pub client_ca: Option<PathBuf>,
}

/// The keys that new connections get; none: they speak plainly.
#[derive(Clone, Default)]
pub struct Keys(Arc<RwLock<Option<TlsAcceptor>>>);

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let name = path.display();
    let read = CertificateDer::pem_file_iter(path).map_err(|e| format!("{name}: {e}"))?;
    let all: Vec<_> = read.collect::<Result<_, _>>().map_err(|e| format!("{name}: {e}"))?;
    if all.is_empty() {
        return Err(format!("{name}: no certificate in it"));
    }
    Ok(all)
}

impl Tls {
    /// Reads the files. A key that is not the certificate's is refused.
    fn acceptor(&self) -> Result<TlsAcceptor, String> {
        let certs = certificates(&self.cert)?;
        let name = self.key.display();
        let key = PrivateKeyDer::from_pem_file(&self.key).map_err(|e| format!("{name}: {e}"))?;
        let provider = Arc::new(ring::default_provider());
        let builder = ServerConfig::builder_with_provider(provider.clone());
        let builder = builder.with_safe_default_protocol_versions().map_err(|e| e.to_string())?;
        let builder = match &self.client_ca {
            None => builder.with_no_client_auth(),
            Some(path) => {
                let mut roots = RootCertStore::empty();
                for cert in certificates(path)? {
                    roots.add(cert).map_err(|e| format!("{}: {e}", path.display()))?;
                }
                let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider).build();
                builder.with_client_cert_verifier(verifier.map_err(|e| format!("{}: {e}", path.display()))?)
            }
        };
        let mut config = builder.with_single_cert(certs, key).map_err(|e| format!("{name}: {e}"))?;
        config.alpn_protocols = vec![b"h2".to_vec()];
        Ok(TlsAcceptor::from(Arc::new(config)))
    }
}

impl Keys {
    /// New connections get these from now on. Files that can't be used change nothing.
    pub fn set(&self, tls: Option<&Tls>) -> Result<(), String> {
        let acceptor = tls.map(Tls::acceptor).transpose()?;
        *self.0.write().unwrap_or_else(|e| e.into_inner()) = acceptor;
        Ok(())
    }

    /// Greets a connection, if connections are to be greeted; none where it says something else, or nothing.
    pub async fn greet(&self, stream: Bounded) -> Option<Io> {
        let acceptor = self.0.read().unwrap_or_else(|e| e.into_inner()).clone();
        match acceptor {
            None => Some(Io::Plain(stream)),
            Some(acceptor) => {
                let greeted = timeout(GREETING, acceptor.accept(stream)).await;
                greeted.ok()?.ok().map(|stream| Io::Tls(Box::new(stream)))
            }
        }
    }
}

/// A connection, greeted or plain.
pub enum Io {
    Plain(Bounded),
    Tls(Box<TlsStream<Bounded>>),
}

macro_rules! through {
    ($self:ident, $stream:ident => $call:expr) => {
        match $self.get_mut() {
            Io::Plain($stream) => $call,
            Io::Tls(boxed) => {
                let $stream = &mut **boxed;
                $call
            }
        }
    };
}

impl Connected for Io {
    type ConnectInfo = Info;

    fn connect_info(&self) -> Info {
        match self {
            Io::Plain(stream) => stream.connect_info(),
            Io::Tls(stream) => stream.get_ref().0.connect_info(),
        }
    }
}

impl AsyncRead for Io {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        through!(self, stream => Pin::new(stream).poll_read(cx, to))
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        through!(self, stream => Pin::new(stream).poll_write(cx, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        through!(self, stream => Pin::new(stream).poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        through!(self, stream => Pin::new(stream).poll_shutdown(cx))
    }
}

//! TLS for the gRPC server. Certificates can be replaced while serving: new connections use the latest ones, open
//! connections are not affected.

use crate::connections::{ConnectionInfo, LimitedConnection};
use rushcourse_tls::{TlsError, TlsFiles};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, PoisonError, RwLock};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;
use tonic::transport::server::Connected;

/// A connection whose TLS handshake takes longer is closed.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// ALPN protocol ID.
const HTTP2: &[u8] = b"h2";

/// TLS configuration of new connections, shared by all listeners. `None` means plaintext.
#[derive(Clone, Default)]
pub(crate) struct TlsSettings(Arc<RwLock<Option<TlsAcceptor>>>);

impl TlsSettings {
    /// Loads the certificates for new connections. `None` switches to plaintext. On error, the previous configuration
    /// stays.
    pub(crate) fn set(&self, files: Option<&TlsFiles>) -> Result<(), TlsError> {
        let config = files
            .map(|files| files.server_config(&[HTTP2]))
            .transpose()?;
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = config.map(TlsAcceptor::from);
        Ok(())
    }

    /// Performs the TLS handshake if TLS is configured. Returns `None` if the handshake fails or times out.
    pub(crate) async fn handshake(&self, stream: LimitedConnection) -> Option<ServerStream> {
        let acceptor = self
            .0
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let Some(acceptor) = acceptor else {
            return Some(ServerStream::Plain(stream));
        };
        let handshake = timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await;
        let stream = handshake.ok()?.ok()?;
        Some(ServerStream::Tls(Box::new(stream)))
    }
}

/// A server connection, with or without TLS.
pub(crate) enum ServerStream {
    Plain(LimitedConnection),
    Tls(Box<TlsStream<LimitedConnection>>),
}

/// Evaluates an expression with the stream of either variant.
macro_rules! delegate {
    ($self:ident, $stream:ident => $call:expr) => {
        match $self.get_mut() {
            ServerStream::Plain($stream) => $call,
            ServerStream::Tls(boxed) => {
                let $stream = &mut **boxed;
                $call
            }
        }
    };
}

impl Connected for ServerStream {
    type ConnectInfo = ConnectionInfo;

    fn connect_info(&self) -> ConnectionInfo {
        match self {
            ServerStream::Plain(stream) => stream.connect_info(),
            ServerStream::Tls(stream) => stream.get_ref().0.connect_info(),
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        delegate!(self, stream => Pin::new(stream).poll_read(cx, buffer))
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        delegate!(self, stream => Pin::new(stream).poll_write(cx, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        delegate!(self, stream => Pin::new(stream).poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        delegate!(self, stream => Pin::new(stream).poll_shutdown(cx))
    }
}
